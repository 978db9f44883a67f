"""Steps on callers who are refused and come back."""

import asyncio

from behave import given, then, when
from support.cell_scene import STORE_FAULTS, job_id, play
from support.cell_walk import plain

from hornbeampaddle_cell.callers import NotAccepted
from hornbeampaddle_cell.retries import retry_after_s
from hornbeampaddle_standins.cell.world import URGENT

TRIES_MAX = 5
CALLERS = 400


@given("callers at every moment of an outage of the store of {outage_s:d} s")
def callers(context, outage_s):
    context.outage_s = outage_s
    context.came_s = [outage_s * n / CALLERS for n in range(CALLERS)]


def served_at_s(came_s, outage_s, told):
    """Return when a caller is served, or nothing if its tries are used up."""
    at_s = came_s
    for _ in range(TRIES_MAX):
        if at_s >= outage_s:
            return at_s
        at_s += told(at_s)
    return None


def served(context, told):
    return [served_at_s(came_s, context.outage_s, told) for came_s in context.came_s]


def soon(outage_s):
    return 1


def per_hundred(times_s):
    return 100 * sum(at_s is not None for at_s in times_s) / len(times_s)


@when("each comes back after what it is told")
def come_back(context):
    context.served = served(context, retry_after_s)


@then("at least {count:d} of 100 are served")
def enough(context, count):
    assert per_hundred(context.served) >= count, per_hundred(context.served)


@then("with a second each time no more than {count:d} of 100 are")
def before(context, count):
    got = per_hundred(served(context, soon))
    assert got <= count, got


@then("no caller is served later than with a second each time")
def not_later(context):
    assert context.served == served(context, soon)


@when(
    "the store {how} for everybody for {seconds_s:d} s while a caller comes "
    "every {every_s:g} s"
)
def come_during_outage(context, how, seconds_s, every_s):
    world = context.world
    context.told_s = []

    async def come():
        world.store.faults[""] = STORE_FAULTS[how]
        for number in range(round(seconds_s / every_s)):
            name = job_id(f"fa{number:02}")
            outcome = await world.submit(name, URGENT, plain(1))
            assert isinstance(outcome, NotAccepted), outcome
            context.told_s.append(outcome.retry_after_s)
            await asyncio.sleep(every_s)
        world.store.faults.clear()

    play(context, come())


@then(
    "callers are first told to come back after {soon_s:d} s, "
    "and at last after {later_s:d} s"
)
def told(context, soon_s, later_s):
    assert context.told_s[0] == soon_s, context.told_s
    assert context.told_s[-1] == later_s, context.told_s
    assert context.told_s == sorted(context.told_s), context.told_s
