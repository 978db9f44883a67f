"""Steps that play loads against the scheduler alone."""

from unittest.mock import patch

from behave import given, then, when
from support.cell_player import BATCH, LASTING, URGENT, Player, step

from hornbeampaddle.cell import dispatch


@given("{count:d} workers of {cores:d} cores")
def workers(context, count, cores):
    context.setup = [lambda player: player.add_workers(count, cores * 1000)]


@given("lasting tasks of {cores:d} cores fill them")
def fill(context, cores):
    def lasting(player):
        player.submit("lasting", LASTING, step(16, cores * 1000, lasting=True), 1e9)
        player.play(3.0)

    context.setup.append(lasting)


def prepared(context):
    player = Player()
    for act in context.setup:
        act(player)
    return player


def load(player, prefix, jobs, per_s, queue, make_step, work_s, watch=None):
    """Hand jobs in at a rate, play on, return when each came."""
    submitted_s = {}
    for number in range(jobs):
        job_id = f"{prefix}{number}"
        submitted_s[job_id] = player.now_s
        player.submit(job_id, queue, make_step(), work_s)
        for _ in range(round(10 / per_s)):
            player.tick()
            if watch is not None:
                watch(player)
    player.play(30.0)
    return submitted_s


@when(
    "{jobs:d} batch jobs of {tasks:d} x {cores:d} cores "
    "for {work_s:g} s at {per_s:d} a second"
)
def batch(context, jobs, tasks, cores, work_s, per_s):
    def make():
        return step(tasks, cores * 1000, work_s)

    def play():
        player = prepared(context)
        came_s = load(player, "batch", jobs, per_s, BATCH, make, work_s)
        return player.on_time("batch", 2 * work_s + 1.0, came_s)

    context.play = play


@when(
    "{jobs:d} urgent jobs of {tasks:d} x {cores:d} cores for {work_s:g} s at 1 a second"
)
def urgent(context, jobs, tasks, cores, work_s):
    context.away = []

    def watch(player):
        runs = player.cell.jobs["lasting"].runs()
        context.away.append(16 - len(runs))

    def make():
        return step(tasks, cores * 1000, work_s)

    def play():
        player = prepared(context)
        came_s = load(player, "urgent", jobs, 1, URGENT, make, work_s, watch)
        return player.on_time("urgent", 1.5 * work_s + 0.25, came_s)

    context.play = play


@then("at least {count:d} of them are on time")
def at_least(context, count):
    on_time = context.play()
    assert on_time >= count, on_time


@then("by due times alone at most {count:d} of them are on time")
def without_chance(context, count):
    with patch.object(dispatch, "_chance", lambda state, now_s: 0):
        on_time = context.play()
    assert on_time <= count, on_time


@then("without making room none of them is done")
def without_room(context):
    with patch.object(dispatch, "make_room", lambda *arguments: None):
        on_time = context.play()
    assert on_time == 0, on_time


@then("no more than {count:d} lasting tasks were ever away")
def away(context, count):
    assert max(context.away) <= count, max(context.away)
