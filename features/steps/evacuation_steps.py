"""Steps on data centres in which nothing more may start."""

import asyncio
from dataclasses import replace

from behave import given, step, then, when
from structlog.testing import capture_logs
from support.cell_player import prepared
from support.cell_scene import act, job_id, new_loop, play
from support.cell_walk import FAULTS_EVACUATING, new_world, plain, walk

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Advice, Queue
from hornbeampaddle_standins.cell.world import BATCH, URGENT, World

ADVISED = Queue("advised", "compute", 0, 4, 1.5, 0.25, Advice(0.02, 0.001))
KINDS = {
    "plain": (URGENT, {}),
    "lasting": (URGENT, {"lasting": True}),
    "filling": (BATCH, {"filler": True, "image": "light"}),
    "gang": (URGENT, {"gang": True}),
    "advised": (ADVISED, {}),
    "speculative": (URGENT, {"allows_copies": True}),
}


@given(
    "a cell of {instances:d} instances, with {workers:d} workers in each of "
    "{data_centres:d} data centres"
)
def start_cell(context, instances, workers, data_centres):
    new_loop(context)

    async def begin():
        context.world = world = World(7)
        world.configure(URGENT, BATCH, ADVISED)
        for number in range(workers * data_centres):
            place = f"dc-{1 + number % data_centres}"
            world.add_worker(f"w{number}", data_centre=place)
        world.advised = allow_all
        for number in range(instances):
            world.start_instance(f"i{number}")
        await asyncio.sleep(2.0)

    play(context, begin())


def allow_all(step_key, worker_ids):
    return Allowance(dict.fromkeys(worker_ids, "ticket"), 3.0)


@step('the data centre "{name}" is evacuated')
def evacuate(context, name):
    act(context, context.world.evacuate, name)


@step('the evacuation of the data centre "{name}" is taken back')
def end_evacuation(context, name):
    act(context, context.world.end_evacuation, name)


@when('a {kind} job "{name}" of {tasks:d} tasks is handed in')
def hand_in_kind(context, kind, name, tasks):
    queue, more = KINDS[kind]
    job = context.world.submit(job_id(name), queue, plain(tasks, **more))
    context.outcome = play(context, job)


@when("the store discards its history")
def forget_history(context):
    context.world.store.forget_history()


@when("every instance restarts")
def restart_all(context):
    world = context.world

    async def restart():
        names = list(world.instances)
        for name in names:
            await world.kill(name)
        for name in names:
            world.start_instance(name)

    play(context, restart())


def at_work(context, name, data_centre):
    return [
        key
        for worker in context.world.workers.values()
        if worker.listing.data_centre == data_centre
        for key in worker.runs
        if key.job_id == job_id(name)
    ]


@then('tasks of "{name}" have started')
def some_started(context, name):
    begun = context.world.checker.begun_at_s
    assert any(key.job_id == job_id(name) for key in begun)


@then('tasks of "{name}" are at work in "{data_centre}"')
def work_there(context, name, data_centre):
    assert at_work(context, name, data_centre)


@then('the holder says that "{name}" waits for an evacuated data centre')
def logs_wait_reason(context, name):
    with capture_logs() as lines:
        play(context, asyncio.sleep(6.0))
    notes = [line for line in lines if line["event"] == "job_waits"]
    reasons = {line["reason"] for line in notes if line["job"] == job_id(name)}
    assert reasons == {"evacuated"}, reasons


@then('no lasting task was stopped in "{data_centre}" to make room')
def none_stopped(context, data_centre):
    assert len(at_work(context, "ee09", data_centre)) == 8


@given("a random walk with evacuations and seed {seed:d}")
def random_walk(context, seed):
    new_loop(context)

    async def begin():
        context.world = new_world(seed)
        await walk(context.world, FAULTS_EVACUATING)

    play(context, begin())


@when("a fifth worker with no task is listed, in a data centre that is evacuated")
def evacuated_fifth(context):
    context.player = player = prepared(context)
    player.cell.evacuate(frozenset({"dc-9"}))
    listing = player.cell.workers[WorkerId("w0")].listing
    fifth = replace(listing, worker_id=WorkerId("w9"), data_centre="dc-9")
    player.cell.list_worker(fifth, player.now_s)
    player.ends[WorkerId("w9")] = []
    player.tick()


@then("all of the service's processors count as reserved")
def all_reserved(context):
    assert context.player.cell.use_ratio("compute") == 1.0
