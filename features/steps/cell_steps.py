"""Steps that run a cell in simulated time."""

import asyncio
import math
from unittest.mock import patch

from behave import given, step, then, when
from support.cell_scene import (
    STORE_FAULTS,
    act,
    job_id,
    new_loop,
    play,
    running,
    submit_job,
)
from support.cell_walk import (
    FAULTS,
    FAULTS_BREAKING,
    FAULTS_REFUSING,
    build,
    given_up,
    new_world,
    plain,
    walk,
)

from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.learned import LEARNED_PREFIX, RUN_TIMES_KEY
from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle.cell.reports import EndKind
from hornbeampaddle_cell.callers import Accepted, NotAccepted
from hornbeampaddle_cell.holder import Holder
from hornbeampaddle_cell.ports import Topic
from hornbeampaddle_standins.cell.world import BATCH, URGENT, World


@given("a cell of {instances:d} instances and {workers:d} workers")
def start_cell(context, instances, workers):
    new_loop(context)

    async def begin():
        context.world = World(7)
        await build(context.world, instances, workers)

    play(context, begin())


@given("tasks take {seconds_s:g} s")
def set_task_duration(context, seconds_s):
    context.world.work_s = seconds_s


@given("one worker fails every attempt")
def failing_worker(context):
    context.world.workers["w0"].fails_all = True


@given("one worker makes no progress")
def stalled_worker(context):
    context.world.workers["w0"].stalled = True


@given('a lasting job "{name}" of {tasks:d} tasks is at work')
def lasting(context, name, tasks):
    lasting_steps(context, name, plain(tasks, 4000, lasting=True), tasks)


@given('a lasting job "{name}" of {tasks:d} tasks of the image "{image}" is at work')
def lasting_image(context, name, tasks, image):
    step_ = plain(
        tasks, 6000, lasting=True, image=image, tail_target_s=0.05, per_worker_max=1
    )
    lasting_steps(context, name, step_, tasks)


def lasting_steps(context, name, step_, tasks):
    world = context.world
    outcome = play(context, world.submit(job_id(name), URGENT, step_))
    assert outcome == Accepted()
    assert play(context, world.until(lambda: running(world, name) == tasks, 5))


@given('the image "heavy" interferes with the image "serving" and "light" does not')
def disturbs(context):
    def slope(serving, filling):
        return 8.0 if filling == "heavy" else 0.0

    for worker in context.world.workers.values():
        worker.slope_of = slope


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in')
def hand_in(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, URGENT)


@when("{jobs:d} jobs of {steps:d} steps of {tasks:d} tasks are handed in")
def hand_in_many(context, jobs, steps, tasks):
    for number in range(jobs):
        submit_job(context, f"c{number:03d}", steps, tasks, URGENT)


@when('10 filler jobs each of the images "heavy" and "light" are handed in over 10 s')
def hand_in_fillers(context):
    async def load():
        for number in range(10):
            for image in ("heavy", "light"):
                step_ = plain(4, 3000, image=image, filler=True, saves_checkpoints=True)
                name = job_id(f"{ord(image[0]):x}{number:02d}")
                await context.world.submit(name, BATCH, step_)
            await asyncio.sleep(1.0)

    context.lasting = set(context.world.accepted)
    play(context, load())


@when('a gang job "{name}" of {tasks:d} tasks is handed in')
def hand_in_gang(context, name, tasks):
    context.runs = record_runs(context.world)
    step_ = plain(tasks, gang=True)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))


def record_runs(world):
    """Record every run that begins, with its time."""
    runs = []
    for worker in world.workers.values():

        def begin(run, worker=worker, original=worker._begin):
            runs.append((worker.now_s(), run))
            original(run)

        worker._begin = begin
    return runs


@when('a job "{name}" with 3 occurrences, one every 2 s, is handed in')
def hand_in_due(context, name):
    context.runs = record_runs(context.world)
    world = context.world
    instance = world.instances["i0"]

    async def submit():
        context.due_s = instance.clock.wall_s() + 2.0
        job = Job(job_id(name), URGENT, "p", (plain(2),), 0.0, 3, context.due_s, 2.0)
        return await instance.callers.submit(job, instance.clock.now_s() + 3)

    assert play(context, submit()) == Accepted()


@step("{seconds_s:g} s pass in the cell")
def pass_time(context, seconds_s):
    play(context, asyncio.sleep(seconds_s))


@when("the holder dies")
def kill_holder(context):
    context.before = context.world.holder()
    assert context.before is not None
    play(context, context.world.kill(context.before))


@when('the job "{name}" is cancelled at once')
def cancel(context, name):
    via = context.world.served()[0]
    outcome = play(context, context.world.cancel(job_id(name), via))
    assert outcome == Accepted(), outcome


@when("the store {how} for the holder only")
def fault_holder(context, how):
    context.before = context.world.holder()
    context.world.store.faults[context.before] = STORE_FAULTS[how]


@when("the store {how} for all instances")
def fault_all(context, how):
    context.world.store.faults[""] = STORE_FAULTS[how]


@when("the store serves all instances again")
def clear_store_faults(context):
    context.world.store.faults.clear()


@when("a busy worker dies")
def kill_worker(context):
    worker = next(w for w in context.world.workers.values() if w.runs)
    act(context, worker.die)


@when("a busy worker drains")
def drain_worker(context):
    world = context.world
    worker = next(w for w in world.workers.values() if w.runs)
    context.draining = worker
    listing = worker.listing
    worker.listing = type(listing)(
        listing.worker_id,
        listing.service,
        listing.address,
        listing.data_centre,
        listing.capacity,
        listing.labels,
        True,
    )
    world.list_worker(worker)


@then('the job "{name}" is shown as completed within {seconds_s:g} s')
def completed(context, name, seconds_s):
    done = play(context, context.world.until_done(job_id(name), seconds_s))
    assert done, play(context, context.world.status(job_id(name)))


@then("all jobs are shown as completed within {seconds_s:g} s")
def all_completed(context, seconds_s):
    world = context.world
    names = [n for n in world.accepted if n not in getattr(context, "lasting", set())]
    assert names

    async def wait():
        deadline_s = context.loop.time() + seconds_s
        open_ = set(names)
        while open_ and context.loop.time() < deadline_s:
            await asyncio.sleep(0.5)
            for name in sorted(open_):
                if await world.status(name) is JobStatus.COMPLETED:
                    open_.discard(name)
        return {name: await world.status(name) for name in open_}

    left = play(context, wait())
    assert not left, left


@then("no promise of the cell was broken")
def no_promise_broken(context):
    broken = context.world.checker.broken
    assert not broken, broken[:5]


@then("no task was started more often than needed")
def starts(context):
    checker = context.world.checker
    assert checker.starts == len(checker.done), (checker.starts, len(checker.done))


@then("exactly 1 instance believes that it holds the cell")
def one_holder(context):
    holders = [n for n, i in context.world.instances.items() if i.holder is not None]
    assert len(holders) == 1, holders


@then("another instance holds the cell within {seconds_s:g} s")
def taken_over(context, seconds_s):
    world = context.world

    def other():
        name = world.holder()
        return name is not None and name != context.before

    assert play(context, world.until(other, seconds_s)), world.holder()


@then('{tasks:d} tasks of "{name}" are at work')
def at_work(context, tasks, name):
    assert running(context.world, name) == tasks


@then("nothing runs on the draining worker")
def nothing_runs_on_draining(context):
    assert not context.draining.runs


@then("the job was refused")
def refused(context):
    assert isinstance(context.outcome, NotAccepted), context.outcome


@then("nothing has started")
def nothing_started(context):
    assert context.world.checker.starts == 0


@then(
    "serving tasks exceeded their latency target for less than "
    "{seconds_s:g} task-seconds"
)
def over_target(context, seconds_s):
    over_s = context.world.checker.over_target_s
    assert over_s < seconds_s, over_s


@then("every member had the same run number")
def same_number(context):
    numbers = {run.number for _, run in context.runs}
    assert numbers == {1}, numbers


@then("its occurrences started in order and not early")
def in_order(context):
    first_s: dict[int, float] = {}
    for at_s, run in context.runs:
        first_s[run.key.occurrence] = min(
            at_s, first_s.get(run.key.occurrence, math.inf)
        )
    assert sorted(first_s) == [0, 1, 2], first_s
    for number, at_s in first_s.items():
        due_s = context.due_s - 1_700_000_000 + 2.0 * number
        assert due_s - 0.25 <= at_s < due_s + 1.0, (number, at_s, due_s)


@given("a random walk of a cell with seed {seed:d}")
def random_walk(context, seed, faults=FAULTS):
    new_loop(context)

    async def begin():
        context.world = new_world(seed)
        await walk(context.world, faults)

    play(context, begin())


@given("a random walk with workers that refuse orders and seed {seed:d}")
def random_walk_refusing(context, seed):
    random_walk(context, seed, FAULTS_REFUSING)


@given("a random walk with crashing tasks and shrinking workers and seed {seed:d}")
def random_walk_breaking(context, seed):
    random_walk(context, seed, FAULTS_BREAKING)


@then("no job was given up except those that crash workers")
def none_given_up(context):
    assert not given_up(context.world), given_up(context.world)


@then("no worker's room is still occupied")
def no_room_occupied(context):
    world = context.world
    assert world.holder() is not None
    cell = world.instances[world.holder()].holder.cell
    booked = [key for worker in cell.workers.values() for key in worker.runs]
    assert cell.workers and not booked, booked


@then("every accepted job reached a final status")
def all_jobs_final(context):
    world = context.world

    async def states():
        return {name: await world.status(name) for name in world.accepted}

    left = {
        name: status
        for name, status in play(context, states()).items()
        if not isinstance(status, JobStatus) or not status.final
    }
    assert not left, left


@then("every unfinished filler job has a task at work")
def all_at_work(context):
    world = context.world

    async def idle():
        names = [n for n in world.accepted if n not in context.lasting]
        states = {name: await world.status(name) for name in names}
        open_ = [name for name, state in states.items() if not state.final]
        busy = {key.job_id for w in world.workers.values() for key in w.runs}
        return [name for name in open_ if name not in busy]

    assert not play(context, idle()), play(context, idle())


@when('every worker rests and a task of "{name}" fails')
def rest_all_workers(context, name):
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    for worker in cell.workers.values():
        worker.health.rest_until_s = context.loop.time() + 30.0
    worker = next(w for w in world.workers.values() if w.runs)
    act(context, worker._end, next(iter(worker.runs)), EndKind.FAILED)


@then('{tasks:d} tasks of "{name}" are at work within {seconds_s:g} s')
def at_work_within(context, tasks, name, seconds_s):
    world = context.world
    play(context, asyncio.sleep(0.3))
    assert play(
        context, world.until(lambda: running(world, name) == tasks, seconds_s)
    ), running(world, name)


@when(
    'a lasting job "{name}" of {tasks:d} tasks that take a whole worker each '
    "is handed in"
)
def hand_in_whole(context, name, tasks):
    step_ = plain(tasks, 16_000, lasting=True)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))


@when("the holder's term ends after {jobs:d} jobs")
def end_term(context, jobs):
    world = context.world
    context.terms = terms = []
    begin = Holder.begin

    def counted(holder):
        terms.append(holder.epoch)
        begin(holder)

    patched = patch.object(Holder, "begin", counted)
    patched.start()
    context.add_cleanup(patched.stop)

    async def submit_and_end():
        for number in range(jobs):
            await world.submit(job_id(f"e{number:03}"), URGENT, plain(1))
            await asyncio.sleep(0.2)
        holder = world.instances[world.holder()].holder
        context.ended_epoch = holder.epoch
        holder.step_down("a task broke an invariant")

    play(context, submit_and_end())


@then("the next term begins within {within_s:g} s, under a higher epoch")
def next_term(context, within_s):
    def begun():
        return context.world.holder() is not None and context.terms

    assert play(context, context.world.until(begun, within_s))
    play(context, asyncio.sleep(2.0))
    assert context.terms[0] > context.ended_epoch, context.terms


@then("no other term has begun")
def one_term(context):
    assert len(context.terms) == 1, context.terms


@then("the log has every record that the holder has stored")
def all_stored(context):
    world = context.world
    ledger = world.instances[world.holder()].ledger
    stored = world.store.logs[Topic.PROGRESS].newest
    missing = {key for key, value in ledger.progress.items() if stored[key] != value}
    assert ledger.progress and not missing, missing


def learned_records(context):
    log = context.world.store.logs[Topic.PROGRESS]
    return [r.key for r in log.records if r.key.startswith(LEARNED_PREFIX)]


@then("run times were learned and stored")
def run_times_stored(context):
    assert RUN_TIMES_KEY in learned_records(context)


@then("none of the learned records is stored in the next {seconds_s:d} s")
def learned_not_stored_again(context, seconds_s):
    before = learned_records(context)
    play(context, asyncio.sleep(seconds_s))
    assert learned_records(context) == before
