"""Steps that play a cell in simulated time."""

import asyncio
import math
from dataclasses import fields

from behave import given, step, then, when
from support.cell_walk import FAULTS, FAULTS_UNWELL, build, new_world, plain, walk
from support.virtual_loop import VirtualLoop

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.jobs import Advice, Job, Queue, TaskKey
from hornbeampaddle.cell.progress import JobStatus, Run
from hornbeampaddle.cell.reports import EndKind
from hornbeampaddle.resources import NOTHING
from hornbeampaddle_cell.callers import Accepted, Gone, NotAccepted
from hornbeampaddle_cell.ports import Keyed, Topic
from hornbeampaddle_standins.cell.store import StoreFault
from hornbeampaddle_standins.cell.workers import OrderFate
from hornbeampaddle_standins.cell.world import BATCH, URGENT, World

STORE_FAULTS = {
    "refuses": StoreFault.REFUSES,
    "is silent": StoreFault.SILENT,
    "loses answers": StoreFault.LOSES_ANSWERS,
    "acts late": StoreFault.LATE,
}
ADVISED = Queue("advised", "compute", 0, 4, 1.5, 0.25, Advice(0.02, 0.001))


def play(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def act(context, change, *arguments):
    """Change a stand-in at a moment of the cell's time."""

    async def change_now():
        change(*arguments)

    play(context, change_now())


def new_loop(context):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(close_loop, context)


def close_loop(context):
    context.loop.run_until_complete(context.world.close())
    context.loop.close()


def job_id(text):
    return text.rjust(16, "0")


@given("a cell of {instances:d} instances and {workers:d} workers")
def start_cell(context, instances, workers):
    new_loop(context)

    async def begin():
        context.world = World(7)
        await build(context.world, instances, workers)

    play(context, begin())


@given("tasks take {seconds_s:g} s")
def set_work(context, seconds_s):
    context.world.work_s = seconds_s


@given("one order in ten is carried out 4 s late")
def late_orders(context):
    context.world.faults.late_ratio = 0.1


@given("one worker fails everything")
def failing_worker(context):
    context.world.workers["w0"].fails_all = True


@given("one worker stands still")
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


def running(world, name):
    wanted = job_id(name)
    return sum(
        1 for w in world.workers.values() for key in w.runs if key.job_id == wanted
    )


@given('the image "heavy" disturbs the image "serving" and "light" does not')
def disturbs(context):
    def slope(serving, filling):
        return 8.0 if filling == "heavy" else 0.0

    for worker in context.world.workers.values():
        worker.slopes = slope


@given('advice allows only the workers "{one}" and "{other}"')
def advise(context, one, other):
    context.asked = []

    def answer(step_key, worker_ids):
        context.asked += worker_ids
        allowed = {name: "ticket" for name in worker_ids if name in (one, other)}
        return Allowance(allowed, 3.0)

    context.world.advised = answer
    world = context.world

    async def restart():
        for name in list(world.instances):
            await world.kill(name)
            world.start_instance(name)
        world.configure(URGENT, BATCH, ADVISED)
        await asyncio.sleep(5)

    play(context, restart())


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in')
def hand_in(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, URGENT)


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in for advice')
def hand_in_advised(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, ADVISED)


@when(
    'a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in through "{via}"'
)
def hand_in_via(context, name, steps, tasks, via):
    submit_job(context, name, steps, tasks, URGENT, via)


def submit_job(context, name, steps, tasks, queue, via=None):
    chain = [plain(tasks, after=(n - 1,) if n else ()) for n in range(steps)]
    context.outcome = play(
        context, context.world.submit(job_id(name), queue, *chain, via=via)
    )


@when("{jobs:d} jobs of {steps:d} steps of {tasks:d} tasks are handed in")
def hand_in_many(context, jobs, steps, tasks):
    for number in range(jobs):
        submit_job(context, f"c{number:03d}", steps, tasks, URGENT)


@when('10 filling jobs each of the images "heavy" and "light" are handed in over 10 s')
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


@when(
    'a gang job "{name}" of {tasks:d} tasks of {cores:d} cores is handed in for advice'
)
def hand_in_advised_gang(context, name, tasks, cores):
    step_ = plain(tasks, cores * 1000, gang=True)
    context.outcome = play(context, context.world.submit(job_id(name), ADVISED, step_))


def record_runs(world):
    """Note every run that begins, with its time."""
    runs = []
    for worker in world.workers.values():

        def begin(run, worker=worker, original=worker._begin):
            runs.append((worker.now_s(), run))
            original(run)

        worker._begin = begin
    return runs


@when('a job "{name}" due 3 times every 2 s is handed in')
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


@when("the store {how} for everybody")
def fault_all(context, how):
    context.world.store.faults[""] = STORE_FAULTS[how]


@when('the store is silent for "{name}"')
def fault_one(context, name):
    context.world.store.faults[name] = StoreFault.SILENT


@when("the store serves everybody again")
def heal_store(context):
    context.world.store.faults.clear()


@when("the log forgets its history")
def compact(context):
    context.world.store.forget_history()


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
def promises(context):
    broken = context.world.judge.broken
    assert not broken, broken[:5]


@then("no task was started more often than needed")
def starts(context):
    judge = context.world.judge
    assert judge.starts == len(judge.done), (judge.starts, len(judge.done))


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


@then('nothing of "{name}" runs {seconds_s:g} s later')
def nothing_runs(context, name, seconds_s):
    play(context, asyncio.sleep(seconds_s))
    assert running(context.world, name) == 0


@then('{tasks:d} tasks of "{name}" are at work')
def at_work(context, tasks, name):
    assert running(context.world, name) == tasks


@then("nothing runs on the draining worker")
def drained(context):
    assert not context.draining.runs


@then("the job was refused")
def refused(context):
    assert isinstance(context.outcome, NotAccepted), context.outcome


@then("nothing has started")
def nothing_started(context):
    assert context.world.judge.starts == 0


@then("serving tasks were over their target for less than {seconds_s:g} task-seconds")
def over_target(context, seconds_s):
    over_s = context.world.judge.over_target_s
    assert over_s < seconds_s, over_s


@then('it ran only on "{one}" and "{other}"')
def ran_on(context, one, other):
    used = {name for name, w in context.world.workers.items() if w.highest}
    assert used and used <= {one, other}, used


@then("nobody was asked again about a worker that may not run the step")
def asked_once(context):
    used = {name for name, w in context.world.workers.items() if w.highest}
    others = [name for name in context.asked if name not in used]
    assert others and len(others) == len(set(others)), others


@then("no advice is kept {seconds_s:g} s later")
def no_advice(context, seconds_s):
    play(context, asyncio.sleep(seconds_s))
    world = context.world
    book = world.instances[world.holder()].holder.cell.advice
    kept = {f.name: getattr(book, f.name) for f in fields(book)}
    assert context.asked and not any(kept.values()), kept


@then("every member had the same run number")
def same_number(context):
    numbers = {run.number for _, run in context.runs}
    assert numbers == {1}, numbers


@then("its occurrences started in turn and not early")
def in_turn(context):
    first_s: dict[int, float] = {}
    for at_s, run in context.runs:
        first_s[run.key.occurrence] = min(
            at_s, first_s.get(run.key.occurrence, math.inf)
        )
    assert sorted(first_s) == [0, 1, 2], first_s
    for number, at_s in first_s.items():
        due_s = context.due_s - 1_700_000_000 + 2.0 * number
        assert due_s - 0.25 <= at_s < due_s + 1.0, (number, at_s, due_s)


@then('"{name}" is not ready')
def not_ready(context, name):
    assert not context.world.instances[name].ready()


@then('"{name}" does not deny the job "{job}"')
def not_denied(context, name, job):
    status = play(context, context.world.status(job_id(job), name))
    assert not isinstance(status, Gone), status


@given("a random walk of a cell with seed {seed:d}")
def random_walk(context, seed, faults=FAULTS):
    new_loop(context)

    async def begin():
        context.world = new_world(seed)
        await walk(context.world, faults)

    play(context, begin())


@given("a random walk with workers that refuse orders and seed {seed:d}")
def random_walk_unwell(context, seed):
    random_walk(context, seed, FAULTS_UNWELL)


@then("no worker's room is booked")
def nothing_booked(context):
    world = context.world
    assert world.holder() is not None
    cell = world.instances[world.holder()].holder.cell
    booked = [key for worker in cell.workers.values() for key in worker.runs]
    assert cell.workers and not booked, booked


@then("every accepted job came to its end")
def came_to_end(context):
    world = context.world

    async def states():
        return {name: await world.status(name) for name in world.accepted}

    left = {
        name: status
        for name, status in play(context, states()).items()
        if not isinstance(status, JobStatus) or not status.final
    }
    assert not left, left


@then("no job has nothing at work")
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
def rest_all(context, name):
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    for worker in cell.workers.values():
        worker.rest_until_s = context.loop.time() + 30.0
    worker = next(w for w in world.workers.values() if w.runs)
    act(context, worker._end, next(iter(worker.runs)), EndKind.FAILED)


@then('{tasks:d} tasks of "{name}" are at work within {seconds_s:g} s')
def at_work_within(context, tasks, name, seconds_s):
    world = context.world
    play(context, asyncio.sleep(0.3))
    assert play(
        context, world.until(lambda: running(world, name) == tasks, seconds_s)
    ), running(world, name)


@when("the other instance reads no jobs")
def unread_jobs(context):
    world = context.world
    context.other = next(n for n in world.instances if n != world.holder())
    world.store.unread.add((context.other, Topic.JOBS))


@when("only one instance reads jobs, and it is not the holder")
def one_reads_jobs(context):
    world = context.world
    context.reader = next(n for n in world.instances if n != world.holder())
    others = [n for n in world.instances if n != context.reader]
    world.store.unread |= {(name, Topic.JOBS) for name in others}
    # The silence of reads takes a second to begin: the one on its way is answered.
    play(context, asyncio.sleep(1.5))


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in there')
def hand_in_at_reader(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, URGENT, context.reader)
    assert context.outcome == Accepted()


@when('the job "{name}" is cancelled there')
def cancel_at_reader(context, name):
    outcome = play(context, context.world.cancel(job_id(name), context.reader))
    assert outcome == Accepted(), outcome


@when("all instances read jobs again")
@when("the other instance reads jobs again")
def read_jobs(context):
    context.world.store.unread.clear()


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in at the holder')
def hand_in_at_holder(context, name, steps, tasks):
    # The silence of reads takes a second to begin: the one on its way is answered.
    play(context, asyncio.sleep(1.5))
    submit_job(context, name, steps, tasks, URGENT, context.world.holder())
    play(context, asyncio.sleep(0.3))


@when(
    'a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in '
    "while no worker is reached"
)
def hand_in_cut_off(context, name, steps, tasks):
    world = context.world
    world.faults.cut |= {(i, w) for i in world.instances for w in world.workers}
    submit_job(context, name, steps, tasks, URGENT)


@when("the workers are reached again")
def reach_workers(context):
    context.world.faults.cut.clear()


@when("the workers are reached again but carry out no order")
def reach_unwell_workers(context):
    reach_workers(context)
    for worker in context.world.workers.values():
        worker.unwell = True


@when("the workers carry out orders again")
def make_well(context):
    for worker in context.world.workers.values():
        worker.unwell = False


@when(
    'a lasting job "{name}" of {tasks:d} tasks that take a whole worker each '
    "is handed in"
)
def hand_in_whole(context, name, tasks):
    step_ = plain(tasks, 16_000, lasting=True)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))


@then('the earlier holder shows the job "{name}" as completed')
def shown_by_earlier(context, name):
    status = play(context, context.world.status(job_id(name), context.before))
    assert status is JobStatus.COMPLETED, status


@when("the log of jobs refuses every record")
def refuse_jobs(context):
    context.world.store.unwritten.add(Topic.JOBS)


@when("the log of jobs takes records again")
def take_jobs(context):
    context.world.store.unwritten.clear()


@then('neither the log nor any instance keeps anything of the job "{name}"')
def nothing_kept(context, name):
    wanted = job_id(name)
    logs = context.world.store.logs
    kept = [topic for topic, log in logs.items() if wanted in log.newest]
    for instance in context.world.instances.values():
        ledger = instance.ledger
        if wanted in ledger.jobs or wanted in ledger.progress:
            kept.append(instance.settings.name)
        if instance.holder is not None and wanted in instance.holder.cell.jobs:
            kept.append("holder")
    assert not kept, kept


@step("{kind}s {fate} from now on")
def order_fate(context, kind, fate):
    if fate.endswith(" s late"):
        context.world.faults.late_s = float(fate.split()[-3])
        fate = OrderFate.LATE.value
    context.world.faults.fates[kind] = OrderFate(fate)


@step("orders are carried out at once again")
def no_fates(context):
    context.world.faults.fates.clear()


@when('a lasting job "{name}" of {tasks:d} tasks is handed in')
def hand_in_lasting(context, name, tasks):
    step_ = plain(tasks, 4000, lasting=True)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))
    assert context.outcome == Accepted()


@then('{runs:d} runs of "{name}" began late')
def began_late(context, runs, name):
    spans = [s for s in context.world.judge.spans if s.key.job_id == job_id(name)]
    assert len(spans) == runs, spans


@then("no task of a cancelled job ran on")
def none_ran_on(context):
    ran_on = context.world.judge.ran_on(context.loop.time())
    assert not ran_on, ran_on


@then("no room is taken on any worker")
def no_room_taken(context):
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    taken = {name: w.taken for name, w in cell.workers.items() if w.taken != NOTHING}
    assert not taken, taken


@when("a worker runs a task of a job that nobody knows")
def unknown_run(context):
    world = context.world
    worker = world.workers["w0"]
    key = TaskKey(job_id("fade"), 0, 0, 0)
    need = plain(1, 10_000, lasting=True)
    context.stray = Run(key, 1, "w0", need, need.charge)
    act(context, worker._begin, context.stray)


@when('a worker runs an earlier start of a task of "{name}" beside its newest')
def earlier_run(context, name):
    """Let an order that was given up be carried out before the one that follows it."""
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    run = next(r for r in cell.jobs[job_id(name)].runs())
    worker = world.workers[run.worker_id]
    assert not worker.runs
    context.stray = Run(run.key, run.number, run.worker_id, run.step, run.charge)
    assert run.number == 1
    cell.jobs[job_id(name)].task(run.key).last_run = 2
    run.number = 2
    act(context, worker._begin, context.stray)


@then("that run is ended within {seconds_s:g} s")
def stray_ended(context, seconds_s):
    world = context.world
    worker = world.workers[context.stray.worker_id]

    def ended():
        return all(live.run is not context.stray for live in worker.runs.values())

    assert play(context, world.until(ended, seconds_s)), worker.runs


@when('the job "{name}" is dropped from the log')
def drop_job(context, name):
    context.before = context.world.holder()
    context.world.store.write(Topic.JOBS, Keyed(job_id(name), None))


@then("the holder is the same")
def same_holder(context):
    assert context.world.holder() == context.before, context.world.holder()


@then("the holder sent at most {most:d} stops")
def stops_sent(context, most):
    instance = context.world.instances[context.world.holder()]
    samples = next(iter(instance.metrics.worker_calls.collect())).samples
    sent = sum(
        sample.value
        for sample in samples
        if sample.name.endswith("_total") and sample.labels["call"] == "stop"
    )
    assert 0 < sent <= most, sent
