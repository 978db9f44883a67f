"""Steps that run a few jobs against the scheduler alone."""

from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when
from support.cell_player import BATCH, GIB, LASTING, URGENT, prepared, step

from hornbeampaddle.cell import advice, dispatch, separating, urgency
from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Advice, StepKey, TaskKey
from hornbeampaddle.cell.progress import Run, RunPhase
from hornbeampaddle.resources import Resources


@given("{count:d} workers of {cores:d} cores")
def workers(context, count, cores):
    context.setup = [lambda player: player.add_workers(count, cores * 1000)]


@given("lasting tasks of {cores:d} cores fill them")
def fill(context, cores):
    def lasting(player):
        player.submit("lasting", LASTING, step(16, cores * 1000, lasting=True), 1e9)
        player.play(3.0)

    context.setup.append(lasting)


def load(player, prefix, jobs, per_s, queue, make_step, work_s, watch=None):
    """Submit jobs at a rate, run on, and return when each was submitted."""
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
        submission_times_s = load(player, "batch", jobs, per_s, BATCH, make, work_s)
        return player.on_time("batch", 2 * work_s + 1.0, submission_times_s)

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
        submission_times_s = load(
            player, "urgent", jobs, 1, URGENT, make, work_s, watch
        )
        return player.on_time("urgent", 1.5 * work_s + 0.25, submission_times_s)

    context.play = play


@then("at least {count:d} of them are on time")
def at_least(context, count):
    on_time = context.play()
    assert on_time >= count, on_time


@then("ordered by due time alone, at most {count:d} of them are on time")
def ordered_by_due_time(context, count):
    with patch.object(urgency, "chance_of", lambda state, now_s: 0):
        on_time = context.play()
    assert on_time <= count, on_time


@then("without preemption none of them is done")
def without_preemption(context):
    with patch.object(dispatch, "make_room", lambda *arguments: None):
        on_time = context.play()
    assert on_time == 0, on_time


@then("no more than {count:d} lasting tasks were ever stopped at a time")
def away(context, count):
    assert max(context.away) <= count, max(context.away)


@given("advice for a queue names two workers that are full")
def advised_full(context):
    context.player = player = prepared(context)
    names = sorted(player.cell.workers)[:2]
    for name in names:
        full = step(1, 16_000, worker_label=name.name, lasting=True)
        listing = player.cell.workers[name].listing
        labels = listing.labels | {name.name}
        player.cell.list_worker(replace(listing, labels=labels), player.now_s)
        player.submit(f"full-{name.name}", LASTING, full, 1e9)
    player.play(1.0)
    context.allowed = dict.fromkeys(names, "ticket")


@when("a job of that queue and a plain one of the same size are handed in")
def two_jobs(context):
    player = context.player
    advised = replace(URGENT, name="advised", advice=Advice(0.01, 0.001))
    player.submit("advised", advised, step(1, 4_000), 1.0)
    allowance = Allowance(context.allowed, player.now_s + 60)
    with patch.object(advice, "_fits", lambda step, worker: True):
        player.cell.advice.answer(StepKey("advised", 0, 0), allowance, player.now_s)
        player.submit("plain", BATCH, step(1, 4_000), 1.0)
        player.tick()


@then("the plain job is at work")
def plain_runs(context):
    assert context.player.cell.jobs["plain"].runs()
    assert not context.player.cell.jobs["advised"].runs()


@when("two tasks that may not share a worker wait, one with its room reserved")
def reserved_and_not(context):
    context.player = player = prepared(context)
    player.submit("watch", LASTING, step(2, 4_000, lasting=True, per_worker_max=1), 1e9)
    key = TaskKey("watch", 0, 0, 0)
    charge = Resources(4_000, GIB, 0)
    worker = player.cell.workers[WorkerId("w0")]
    worker.reserve_room(charge)
    reservation = separating.Reservation("w0", charge, player.now_s + 2.0)
    player.cell.separator._reserved[key] = reservation
    player.tick()


@then("no worker has more than one of them")
def one_each(context):
    runs = context.player.cell.jobs["watch"].runs()
    workers = [run.worker_id for run in runs]
    assert len(workers) == 2, workers
    assert len(set(workers)) == 2, workers


@when(
    "only the worker with a stray run of a waiting task has room, and another job waits"
)
def stray_run(context):
    context.player = player = prepared(context)
    player.submit("full", LASTING, step(3, 16_000, lasting=True), 1e9)
    player.play(1.0)
    free = next(w for w in player.cell.workers.values() if not w.runs)
    player.submit("first", URGENT, step(2, 4_000), 9.0)
    key = TaskKey("first", 0, 0, 0)
    wanted = player.cell.jobs["first"].job.steps[0]
    stray = Run(key, 0, free.worker_id, wanted, wanted.charge, RunPhase.STOPPING)
    free.add(stray)
    player.submit("other", BATCH, step(1, 4_000), 9.0)
    player.tick()


@then("the other task of its step is at work")
def other_task_runs(context):
    runs = context.player.cell.jobs["first"].runs()
    assert [run.key.position for run in runs] == [1], runs


@then("the other job is at work")
def other_runs(context):
    assert context.player.cell.jobs["other"].runs()
