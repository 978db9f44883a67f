"""Steps on reports of workers, and on what they leave out."""

import asyncio
import json
from dataclasses import replace

from behave import given, step, then, when
from support.cell_player import BATCH, Player
from support.cell_player import step as plain_step
from support.cell_scene import act, job_id, new_loop, play, running
from support.cell_walk import FAULTS_BREAKING, MIB, new_world, walk

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Step
from hornbeampaddle.cell.polling import Poll
from hornbeampaddle.cell.progress import RunPhase
from hornbeampaddle.cell.reports import Done, EndedRow, EndKind, Report
from hornbeampaddle.resources import Resources
from hornbeampaddle_standins.cell.world import URGENT, World
from hornbeampaddle_wire.http_messages import Response

JOB_ID = "reported"
WORKER_ID = WorkerId("w0")
TASK_MILLIS = 10
TICK_S = 0.1


# Reports to a scheduler alone


def report(context, ended=(), complete=True):
    player = context.player
    player.now_s += TICK_S
    now_s = player.now_s
    answer = Report(now_s, now_s, now_s, (), tuple(ended), ends_complete=complete)
    player.cell.intake.report(WORKER_ID, answer)
    player.cell.lease_deadline(WORKER_ID, now_s)


def decide(context):
    """Make a decision, and let the worker carry out its starts."""
    player = context.player
    decision = player.cell.decide(player.now_s, player.now_s)
    for run in decision.starts:
        run.phase = RunPhase.SENDING
        run.sent_at_s = player.now_s
        player.cell.orders.start_answered(run, Done(player.now_s), player.now_s)
    return decision.starts


def store_ends(context):
    for worker, end in context.player.cell.acknowledgements():
        worker.acked_end = end


def entries(context, event):
    return [log.detail for _, log in context.player.notes if log.event == event]


def done_rows(runs):
    return [
        EndedRow(position, run.key, run.number, EndKind.DONE, "")
        for position, run in enumerate(runs, 1)
    ]


@given("a holder that has released a run of a task, and started it {starts}")
def released_run(context, starts):
    context.player = player = Player()
    player.add_workers(1, 64_000)
    player.submit(JOB_ID, BATCH, plain_step(1, 1_000), 1.0)
    (context.run,) = decide(context)
    report(context)
    if starts == "twice":
        (again,) = decide(context)
        assert again.number == 2


@when("the worker lists that the released run is done")
def list_released(context):
    report(context, done_rows([context.run]))


@then("the log names run 1 as done, released, beside run {newest:d} as the newest")
def released_logged(context, newest):
    done = {"task": context.run.key, "run": 1, "worker": WORKER_ID}
    assert entries(context, "run_done") == [done]
    assert entries(context, "released_run_done") == [done | {"newest_run": newest}]


@given("a holder whose worker has {count:d} runs that are done and room for 1 more")
def done_unlisted(context, count):
    context.player = player = Player()
    player.add_workers(1, (count + 1) * TASK_MILLIS)
    player.submit(JOB_ID, BATCH, plain_step(count, TASK_MILLIS), 1.0)
    runs = []
    while len(runs) < count:
        runs += decide(context)
    context.rows = done_rows(runs)


@given("another task waits")
def submit_another(context):
    context.player.submit("another", BATCH, plain_step(1, TASK_MILLIS), 1.0)


@when("the worker lists {count:d} ends and leaves out the others")
def list_some(context, count):
    context.listed = context.rows[:count]
    report(context, context.listed, complete=False)


@when("the worker lists the other {count:d} ends")
def list_others(context, count):
    store_ends(context)
    others = context.rows[len(context.listed) :]
    assert len(others) == count
    report(context, others)


@then("no run is released, and nothing starts")
def nothing_released(context):
    assert not entries(context, "run_released")
    nothing_starts(context)


@then(
    "it is asked for its next report {pause_s:g} s later, and does not wait for an end"
)
def asked_again(context, pause_s):
    cell = context.player.cell
    poll = cell.polling.next_poll(cell.workers[WORKER_ID])
    assert poll == Poll(pause_s, 0.0), poll


@then("nothing starts")
def nothing_starts(context):
    starts = decide(context)
    assert not starts, starts


@then("all {count:d} tasks are done, and 1 task starts")
def all_done(context, count):
    assert len(entries(context, "run_done")) == count
    assert not entries(context, "run_released")
    assert len(decide(context)) == 1


@when("the worker is lost")
def lose_worker(context):
    context.player.cell.worker_ended(WORKER_ID, context.player.now_s, "replaced")


@when("the worker starts again under its id")
def restart_worker(context):
    player = context.player
    listing = player.cell.workers[WORKER_ID].listing
    context.restarted_id = WorkerId(WORKER_ID.name, 7)
    player.cell.list_worker(
        replace(listing, worker_id=context.restarted_id), player.now_s
    )


@then("{count:d} run is booked on it that may have begun")
def booked_again(context, count):
    runs = context.player.cell.workers[context.restarted_id].runs.values()
    assert [run.end_unlisted for run in runs] == count * [False]


@then("{count:d} task waits for a worker, and no crash counts against it")
def waits_uncounted(context, count):
    state = context.player.cell.jobs[JOB_ID]
    waiting = [task for task in state.tasks() if task.waiting]
    assert len(waiting) == count, len(waiting)
    assert not any(task.crashed_runs for task in waiting)


@step("it lists the same ends for {seconds_s:g} s")
def list_same(context, seconds_s):
    for _ in range(round(seconds_s / TICK_S)):
        store_ends(context)
        report(context, context.listed, complete=False)
        context.player.cell.expire(context.player.now_s)


@when("it lists the same ends for {seconds_s:g} s while they are not stored")
def list_unstored(context, seconds_s):
    for _ in range(round(seconds_s / TICK_S)):
        report(context, context.listed, complete=False)


@then("the worker does not count as silent")
def not_silent(context):
    assert not context.player.cell.workers[WORKER_ID].silent


@then("the worker counts as silent, and its lease is not extended")
def silent(context):
    worker = context.player.cell.workers[WORKER_ID]
    before_s = worker.lease_over_at_s
    list_same(context, TICK_S)
    assert worker.silent
    assert worker.lease_over_at_s == before_s


# Answers of a worker over HTTP


@given("a worker that answers a report with {count:d} ends")
def answer_ends(context, count):
    rows = [[n, f"{n:016x}.0.0.0", 1, "done", ""] for n in range(1, count + 1)]

    async def handle(request):
        body = {"clockMs": 1, "born": 5, "running": [], "endedRuns": rows}
        return Response(200, json.dumps(body).encode())

    context.handle = handle


@then("the report has {count:d} ends, and that they are all is known: {complete}")
def ends_known(context, count, complete):
    assert len(context.outcome.ended) == count
    assert context.outcome.ends_complete == (complete == "yes")


# A cell in simulated time


def small(count):
    return Step(count, Resources(TASK_MILLIS, MIB, 0), 1.0)


@given(
    "a cell of {instances:d} instances and {workers:d} workers "
    "with room for {each:d} tasks each"
)
def start_roomy_cell(context, instances, workers, each):
    new_loop(context)
    context.tasks = workers * each

    async def begin():
        context.world = world = World(7, work_s=2.0)
        world.configure(URGENT)
        for number in range(workers):
            world.add_worker(f"w{number}", each * TASK_MILLIS)
        for number in range(instances):
            world.start_instance(f"i{number}")
        await asyncio.sleep(2.0)

    play(context, begin())


@given('the workers are full of tasks of "{name}", and another worker joins')
def fill_workers_but_one(context, name):
    fill_workers(context, name)
    world = context.world
    act(context, world.add_worker, "joins", context.tasks * TASK_MILLIS)


@given('the workers are full of tasks of "{name}"')
def fill_workers(context, name):
    world = context.world
    outcome = world.submit(job_id(name), URGENT, small(context.tasks))
    play(context, outcome)
    started = world.until(lambda: running(world, name) == context.tasks, 1.0)
    assert play(context, started), running(world, name)


@when("no worker is reached for {seconds_s:g} s, and the holder {what}")
def cut_off(context, seconds_s, what):
    world = context.world
    partitioned_before = set(world.faults.partitioned)
    world.faults.partitioned |= {(i, w) for i in world.instances for w in world.workers}
    if what == "dies":
        context.before = world.holder()
        play(context, world.kill(context.before))
    play(context, asyncio.sleep(seconds_s))
    ends = [len(worker.ends) for worker in world.workers.values()]
    assert sum(ends) == context.tasks, ends
    world.faults.partitioned = partitioned_before


@given("a random walk with reports of {ends:d} ends and seed {seed:d}")
def random_walk_short(context, ends, seed):
    new_loop(context)

    async def begin():
        context.world = new_world(seed)
        context.world.ends_per_report = ends
        await walk(context.world, FAULTS_BREAKING)

    play(context, begin())


@when("one worker closes its connection after each report")
def close_connections(context):
    world = context.world
    sessions = world.instances[world.holder()].holder._sessions
    (session,) = [s for s in sessions.values() if s.worker_id.name == "w0"]

    def on_report_read():
        session.port._worker._connected_to = None

    world.faults.on_report_read = on_report_read
