"""Steps on copies of starts that are carried out late by restarted workers."""

import asyncio

import msgspec
from behave import given, then, when
from support.cell_player import Player
from support.cell_player import step as plain_step
from support.cell_scene import job_id, play, running
from support.cell_walk import plain

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, Queue, TaskKey
from hornbeampaddle.cell.polling import Poll
from hornbeampaddle.cell.progress import JobState, RunPhase, encode, restore
from hornbeampaddle.cell.reports import (
    Done,
    EndedRow,
    EndKind,
    NoAnswer,
    Report,
    RunningRow,
)
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_standins.cell.world import URGENT

GIB = 2**30
BORN_MS = 20
STEPS = {
    "a job": plain_step(1, 1000),
    "a job of one attempt": plain_step(1, 1000),
    "a speculative job": plain_step(1, 1000, allows_copies=True),
    "a lasting job": plain_step(1, 1000, lasting=True),
}


@when('a {work} "{name}" of {tasks:d} tasks comes')
def hand_in(context, work, name, tasks):
    world = context.world
    step = plain(tasks, gang=work == "gang job")
    play(context, world.submit(job_id(name), URGENT, step))


@when("the holder dies as every worker starts again under its id after {down_s:g} s")
def lose_holder_and_workers(context, down_s):
    world = context.world

    async def lose():
        restarts = [world.restart_worker(name, down_s) for name in world.workers]
        await asyncio.gather(world.kill(world.holder()), *restarts)

    play(context, lose())


@when("the worker that is sent the start is noted")
def note_worker(context):
    cell = context.world.instances[context.world.holder()].holder.cell
    (context.noted,) = [w.worker_id.name for w in cell.workers.values() if w.runs]


@when(
    "the holder dies as the noted worker starts again under its id after {down_s:g} s"
)
def lose_holder_and_worker(context, down_s):
    world = context.world

    async def lose():
        restart = world.restart_worker(context.noted, down_s)
        await asyncio.gather(world.kill(world.holder()), restart)

    play(context, lose())


@when("the noted worker starts again under its id after {down_s:g} s")
def restart_noted(context, down_s):
    play(context, context.world.restart_worker(context.noted, down_s))


@then('a task of "{name}" is at work')
def task_at_work(context, name):
    assert running(context.world, name) == 1


@then("the late start was carried out")
def late_start_begun(context):
    assert context.world.checker.late_starts == 1, context.world.checker


@then("{count:d} late starts were carried out")
def late_starts_begun(context, count):
    assert context.world.checker.late_starts == count, context.world.checker


@then("at least {count:d} late starts were carried out")
def some_late_starts_begun(context, count):
    assert context.world.checker.late_starts >= count, context.world.checker


# The scheduler alone


def list_worker(player, worker_id):
    room = Resources(64_000, 512 * GIB, 0)
    listing = WorkerListing(worker_id, "compute", Address("127.0.0.1", 1), "dc-1", room)
    player.cell.list_worker(listing, player.now_s)
    report(player, worker_id)


def report(player, worker_id, running=(), ended=()):
    now_s = player.now_s
    answer = Report(now_s, now_s, now_s, tuple(running), tuple(ended))
    player.cell.intake.report(worker_id, answer)
    player.cell.lease_deadline(worker_id, now_s)


def start_one(player, *outcomes):
    """Send the start that is due, once for each outcome; return its run."""
    decision = player.cell.decide(player.now_s, player.now_s)
    (run,) = decision.starts
    run.phase = RunPhase.SENDING
    run.sent_at_s = player.now_s
    for outcome in outcomes:
        player.now_s += 0.1
        player.cell.orders.start_answered(run, outcome, player.now_s)
    return run


def row(position, run, how):
    return EndedRow(position, run.key, run.number, how, "")


@given("a holder whose start of {kind} got {answer} from a worker that states {birth}")
def unanswered_start(context, kind, answer, birth):
    context.player = player = Player()
    born_ms = BORN_MS if birth == "its birth" else 0
    context.worker_id = WorkerId("w0", born_ms)
    list_worker(player, context.worker_id)
    context.worker = player.cell.workers[context.worker_id]
    attempts = 1 if kind == "a job of one attempt" else 4
    queue = Queue("queue", "compute", 0, attempts, 1.5, 0.25)
    player.submit("late", queue, STEPS[kind], 1.0)
    outcomes = [NoAnswer()] if answer == "no answer" else []
    context.run = start_one(player, *outcomes, Done(0.0))


@when("the worker lists that the run ended as {how}")
def list_end(context, how):
    context.player.now_s += 0.1
    end = row(1, context.run, EndKind(how))
    report(context.player, context.worker_id, ended=[end])
    # It is stored.
    context.worker.acked_end = 1


@then("the end may be acknowledged at once")
def acknowledged_at_once(context):
    assert context.worker.acknowledgeable_end(context.player.now_s) == 1


@then("the end may be acknowledged 15 s later")
def acknowledged_later(context):
    player = context.player
    status = player.cell.jobs["late"].status
    assert status.final, status
    assert context.worker.acknowledgeable_end(player.now_s) == 0
    assert context.worker.acknowledgeable_end(player.now_s + 14.7) == 0
    assert context.worker.acknowledgeable_end(player.now_s + 15.0) == 1


@then(
    "the holder waits {pause_s:g} s before the next report, and the worker not at all"
)
def paused(context, pause_s):
    polling = context.player.cell.polling
    polling.count(context.player.cell.workers.values(), context.player.now_s)
    poll = polling.next_poll(context.worker)
    assert poll == Poll(pause_s, 0.0), poll


@when("another task is at work there")
def work_on(context):
    player = context.player
    player.submit("other", URGENT, plain_step(1, 1000), 1.0)
    run = start_one(player, Done(0.0))
    player.now_s += 0.1
    running = RunningRow(run.key, run.number, "", 1.0)
    report(player, context.worker_id, running=[running])


@when("{count:d} workers hold ends back")
def hold_back_many(context, count):
    player = context.player
    for number in range(1, count):
        list_worker(player, WorkerId(f"w{number}", BORN_MS))
    for worker in player.cell.workers.values():
        worker.held_ends = dict(context.worker.held_ends)
    player.now_s += 1.0


@when("it lists {count:d} other ends behind it")
def list_more_ends(context, count):
    first = context.worker.seen_end + 1
    rows = [
        EndedRow(first + n, TaskKey("gone", 0, 0, n), 1, EndKind.DONE, "")
        for n in range(count)
    ]
    report(context.player, context.worker_id, ended=rows)


@then("it is usable")
def usable(context):
    assert context.worker.usable(context.player.now_s)


@then("it is not usable")
def not_usable(context):
    assert not context.worker.usable(context.player.now_s)


@when("{seconds_s:g} s pass for the holder")
def pass_time(context, seconds_s):
    context.player.now_s += seconds_s


@then("the ends may be acknowledged, and it is usable")
def released(context):
    worker, now_s = context.worker, context.player.now_s
    assert worker.acknowledgeable_end(now_s) == worker.seen_end
    assert worker.usable(now_s)


@then('the holder has sent {count:d} starts of "{name}"')
def starts_sent(context, count, name):
    cell = context.world.instances[context.world.holder()].holder.cell
    (task,) = cell.jobs[job_id(name)].tasks()
    assert task.run.copies_sent == count, task.run


# Records


class OlderProgressRecord(msgspec.Struct, array_like=True, frozen=True):
    status: int
    occurrences: list
    crashes: list = []
    crash_births: list = []


@when("a job's progress is stored with a task of which a copy may arrive late")
def store_late(context):
    context.job = Job("late", URGENT, "p", (plain_step(3, 1000),), 0.0)
    state = JobState(context.job)
    tasks = state.open_occurrence(0)[0].tasks
    context.plain_record = encode(state)
    tasks[1].late_start_until_s = 115.0
    context.record = encode(state)


@then("the restored job has one such task")
def restored_late(context):
    tasks = list(restore(context.job, context.record, 0.0).tasks())
    assert [task.late_start_open for task in tasks] == [False, True, False]


@then("an older instance reads the record")
def older_reads(context):
    older = msgspec.msgpack.decode(context.record, type=OlderProgressRecord)
    assert older.occurrences == [[0, [0, 0, 0]]]


@then("the record of a job without such tasks is as before")
def plain_record(context):
    older = msgspec.msgpack.decode(context.plain_record, type=OlderProgressRecord)
    assert msgspec.msgpack.encode(older) == context.plain_record
