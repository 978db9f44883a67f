"""Steps on callers that are refused and retry."""

import asyncio

from behave import given, then, when
from support.cell_scene import STORE_FAULTS, job_id, play
from support.cell_walk import plain

from hornbeampaddle_cell.callers import NotAccepted
from hornbeampaddle_cell.retries import retry_after_s
from hornbeampaddle_standins.cell.world import URGENT

ATTEMPTS_MAX = 5
CALLERS = 400


@given("callers that arrive throughout an outage of the store of {outage_s:d} s")
def callers(context, outage_s):
    context.outage_s = outage_s
    context.arrived_s = [outage_s * n / CALLERS for n in range(CALLERS)]


def served_at_s(arrived_s, outage_s, retry_delay):
    """Return when a caller is served, or None if its attempts are used up."""
    at_s = arrived_s
    for _ in range(ATTEMPTS_MAX):
        if at_s >= outage_s:
            return at_s
        at_s += retry_delay(at_s)
    return None


def served(context, retry_delay):
    return [
        served_at_s(arrived_s, context.outage_s, retry_delay)
        for arrived_s in context.arrived_s
    ]


def fixed_delay(outage_s):
    return 1


def per_hundred(times_s):
    return 100 * sum(at_s is not None for at_s in times_s) / len(times_s)


@when("each retries after the delay that it is told")
def retry_all(context):
    context.served = served(context, retry_after_s)


@then("at least {count:d} of 100 are served")
def served_at_least(context, count):
    assert per_hundred(context.served) >= count, per_hundred(context.served)


@then("with a delay of a second each time no more than {count:d} of 100 are")
def served_at_most(context, count):
    got = per_hundred(served(context, fixed_delay))
    assert got <= count, got


@then("no caller is served later than with a delay of a second each time")
def not_later(context):
    assert context.served == served(context, fixed_delay)


@when(
    "the store {how} for everybody for {seconds_s:d} s while a caller arrives "
    "every {every_s:g} s"
)
def arrive_during_outage(context, how, seconds_s, every_s):
    world = context.world
    context.delays_s = []

    async def arrive():
        world.store.faults[""] = STORE_FAULTS[how]
        for number in range(round(seconds_s / every_s)):
            name = job_id(f"fa{number:02}")
            outcome = await world.submit(name, URGENT, plain(1))
            assert isinstance(outcome, NotAccepted), outcome
            context.delays_s.append(outcome.retry_after_s)
            await asyncio.sleep(every_s)
        world.store.faults.clear()

    play(context, arrive())


@then(
    "callers are first told to retry after {first_s:d} s, "
    "and finally after {last_s:d} s"
)
def retry_delay(context, first_s, last_s):
    assert context.delays_s[0] == first_s, context.delays_s
    assert context.delays_s[-1] == last_s, context.delays_s
    assert context.delays_s == sorted(context.delays_s), context.delays_s
