"""Steps on tasks that crash the workers that start them."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from support.cell_player import LASTING, prepared, step
from support.cell_scene import act, job_id, play, running, submit_job
from support.cell_walk import plain

from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import JobStatus, RunPhase
from hornbeampaddle_standins.cell.world import URGENT

CRASH_AFTER_S = 0.01
RESTART_TIMEOUT_S = 6.0
# Time between a crash and the death of the holder that detects it: before or after its
# decision is stored.
HOLDER_DEATH_DELAYS_S = (0.001, 0.02, 2.01, 2.03)


@given("workers that crash stay away")
def crashes_silent(context):
    context.world.crashes_silent = True


@given("crashing tasks crash after {after_s:g} s")
def crash_after(context, after_s):
    context.crash_after_s = after_s


@when('a job "{name}" of {tasks:d} tasks is handed in')
def hand_in_tasks(context, name, tasks):
    submit_job(context, name, 1, tasks, URGENT)


@when(
    "{jobs:d} jobs of {steps:d} steps of {tasks:d} tasks are handed in "
    "while a worker crashes every {pause_s:g} s"
)
def hand_in_while_crashing(context, jobs, steps, tasks, pause_s):
    world = context.world

    async def crash_one():
        alive = [name for name, worker in world.workers.items() if worker.alive]
        world.workers[world.random.choice(sorted(alive))].crash()

    for number in range(jobs):
        submit_job(context, f"cc{number:02d}", steps, tasks, URGENT)
        play(context, crash_one())
        play(context, asyncio.sleep(pause_s))


@when(
    'the worker of "{name}" crashes {times:d} times after {after_s:g} s, '
    "with {at_work_s:g} s at work in between"
)
def worker_crashes(context, name, times, after_s, at_work_s):
    world = context.world
    for _ in range(times):
        play(context, asyncio.sleep(after_s))
        act(context, busy_worker(world).crash)
        assert play(
            context, world.until(lambda: running(world, name) == 1, RESTART_TIMEOUT_S)
        )
        play(context, asyncio.sleep(at_work_s))
        act(context, busy_worker(world).crash)
        assert play(
            context, world.until(lambda: running(world, name) == 1, RESTART_TIMEOUT_S)
        )


def busy_worker(world):
    return next(worker for worker in world.workers.values() if worker.runs)


@when("{jobs:d} jobs of which a task crashes its workers come, one every {pause_s:g} s")
def crashing_jobs(context, jobs, pause_s):
    for number in range(jobs):
        hand_in_crashing(context, f"cd{number:02d}", 1, 0)
        play(context, asyncio.sleep(pause_s))


@when("all workers are out of reach and unlisted for {seconds_s:g} s")
def out_of_reach(context, seconds_s):
    world = context.world
    play(context, asyncio.sleep(2.0))
    world.faults.partitioned |= {(i, w) for i in world.instances for w in world.workers}
    play(context, asyncio.sleep(3.0))
    for name in world.workers:
        act(context, world.unlist_worker, name)
    play(context, asyncio.sleep(seconds_s))
    world.faults.partitioned.clear()
    for worker in world.workers.values():
        act(context, world.list_worker, worker)
    play(context, asyncio.sleep(3.0))


def watch_runs(context, times):
    """Submit a job of one lasting task; yield its runs until the job is given up."""
    context.player = player = prepared(context)
    player.submit("late", LASTING, step(1, 2000, lasting=True), 1e9)
    for _ in range(times):
        starts = player.cell.decide(player.now_s, player.now_s).starts
        if player.cell.jobs["late"].status.final:
            return
        (run,) = starts
        run.phase = RunPhase.SENDING
        run.sent_at_s = player.now_s
        yield run


@when(
    "a task's worker and {others:d} others go down within a moment of its start, "
    "{times:d} times"
)
def lose_workers_together(context, others, times):
    for run in watch_runs(context, times):
        player = context.player
        away = [name for name in player.cell.workers if name != run.worker_id]
        names = [run.worker_id, *away[:others]]
        for name in names:
            player.now_s += 0.01
            player.cell.worker_silent(name, player.now_s)
        player.now_s += 2.0
        for name in names:
            player.replace_worker(name)


@when("a task's worker goes down after {at_work_s:g} s at work, {times:d} times")
def lose_worker_after_work(context, at_work_s, times):
    for run in watch_runs(context, times):
        player = context.player
        player._report()
        player.play(at_work_s)
        player.cell.worker_silent(run.worker_id, player.now_s)
        player.now_s += 2.0
        player.replace_worker(run.worker_id)


@then("the job is not given up")
def not_given_up(context):
    state = context.player.cell.jobs["late"]
    assert not state.status.final, state.status


@when("a task's worker goes silent before its start is sent, {times:d} times")
def lose_worker_before_start(context, times):
    context.player = player = prepared(context)
    cell = player.cell
    player.submit("late", LASTING, step(1, 2000, lasting=True), 1e9)
    for _ in range(times):
        (run,) = cell.decide(player.now_s, player.now_s).starts
        cell.worker_silent(run.worker_id, player.now_s + 0.1)
        run.phase = RunPhase.SENDING
        run.sent_at_s = player.now_s + 0.2
        player.now_s += 2.0
        cell.worker_ended(run.worker_id, player.now_s, "replaced")


@when("a task's worker drains and exits soon after its start, {times:d} times")
def drained(context, times):
    context.player = player = prepared(context)
    cell = player.cell
    player.submit("late", URGENT, step(1, 2000), 1e9)
    for _ in range(times):
        (run,) = cell.decide(player.now_s, player.now_s).starts
        run.phase = RunPhase.SENDING
        run.sent_at_s = player.now_s
        listing = cell.workers[run.worker_id].listing
        cell.list_worker(replace(listing, draining=True), player.now_s)
        player.now_s += 0.1
        cell.worker_ended(run.worker_id, player.now_s, "replaced")


@then("the task is not suspected and its job not given up")
def not_suspected(context):
    state = context.player.cell.jobs["late"]
    assert not state.status.final, state.status
    assert not any(task.crashed_runs for task in state.tasks())


@then('no task of "{name}" is suspected')
def none_suspected(context, name):
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    steps = cell.jobs[job_id(name)].occurrences[0]
    suspects = [t for step in steps for t in step.tasks if t.crashed_runs]
    assert not suspects, suspects


@then('all jobs but "{name}" are shown as completed within {seconds_s:g} s')
def others_completed(context, name, seconds_s):
    for other in context.world.accepted:
        if other != job_id(name):
            done = play(context, context.world.until_done(other, seconds_s))
            assert done, other


@when(
    'a job "{name}" of {tasks:d} tasks is handed in, '
    "of which task {position:d} crashes its workers"
)
def hand_in_crashing(context, name, tasks, position):
    world = context.world
    after_s = getattr(context, "crash_after_s", CRASH_AFTER_S)
    world.crashing[TaskKey(job_id(name), 0, 0, position)] = after_s
    context.outcome = play(context, world.submit(job_id(name), URGENT, plain(tasks)))


@when("the holder dies soon after each crash, {times:d} times")
def holder_dies(context, times):
    world = context.world

    async def next_crash(seen):
        await world.until(lambda: world.checker.crashes.total() > seen, 15)

    async def kill_after_each_crash():
        for number in range(times):
            await next_crash(world.checker.crashes.total())
            await asyncio.sleep(
                HOLDER_DEATH_DELAYS_S[number % len(HOLDER_DEATH_DELAYS_S)]
            )
            name = world.holder()
            if name is None:
                continue
            await world.kill(name)
            await asyncio.sleep(1.0)
            world.start_instance(name)

    play(context, kill_after_each_crash())


@then('the job "{name}" is shown as failed within {seconds_s:g} s')
def shown_as_failed(context, name, seconds_s):
    world = context.world

    async def wait():
        deadline_s = context.loop.time() + seconds_s
        status = None
        while context.loop.time() < deadline_s:
            status = await world.status(job_id(name))
            if status is JobStatus.FAILED:
                return status
            await asyncio.sleep(0.1)
        return status

    status = play(context, wait())
    assert status is JobStatus.FAILED, (status, world.checker.crashes)


@then("at most {most:d} workers crashed")
def workers_crashed(context, most):
    crashes = context.world.checker.crashes
    assert crashes.total() <= most, crashes
