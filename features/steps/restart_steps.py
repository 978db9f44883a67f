"""Steps on workers that start again under the id that they had."""

import asyncio
import json
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import structlog
from behave import given, then, when
from support.cell_player import Player
from support.cell_scene import job_id, new_loop, play
from support.cell_walk import FAULTS_RESTARTING, build, new_world, plain, walk

sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from hornbeampaddle.cell import restarts  # noqa: E402
from hornbeampaddle.cell.incarnations import WorkerId  # noqa: E402
from hornbeampaddle.cell.jobs import Job  # noqa: E402
from hornbeampaddle.cell.lapses import LeaseLapses  # noqa: E402
from hornbeampaddle.cell.progress import (  # noqa: E402
    JobState,
    Run,
    encode,
    restore,
)
from hornbeampaddle.cell.reports import NoAnswer, Report  # noqa: E402
from hornbeampaddle.cell.workers import WorkerListing  # noqa: E402
from hornbeampaddle.machines import Address  # noqa: E402
from hornbeampaddle.resources import NOTHING, Resources  # noqa: E402
from hornbeampaddle_cell.ledger import (  # noqa: E402
    BIRTH_PREFIX,
    LEASE_EXPIRY_KEY,
    Ledger,
    lease_expiry_record,
)
from hornbeampaddle_cell.ports import Keyed, Topic  # noqa: E402
from hornbeampaddle_platform.workers import Worker  # noqa: E402
from hornbeampaddle_standins.cell.access import OrderFate  # noqa: E402
from hornbeampaddle_standins.cell.world import URGENT, World  # noqa: E402
from hornbeampaddle_wire.http_messages import Response  # noqa: E402
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer  # noqa: E402

LOOPBACK = "127.0.0.1"
FIRST_BIRTH_MS = 1_780_251_652_342
SERVER_LIMITS = HttpLimits(connections=20, body_bytes=4096)


@given("a cell of {instances:d} instances and {workers:d} workers that state {births}")
def start_cell_stating(context, instances, workers, births):
    new_loop(context)

    async def begin():
        context.world = World(7, states_births=births != "no birth")
        await build(context.world, instances, workers)

    play(context, begin())


@given("workers that ignore acknowledgements of ends that are still to come")
def ignore_early_acknowledgements(context):
    for worker in context.world.workers.values():
        worker.drops_ends_ahead = False


@when("no worker writes its entry from now on")
def stop_listing(context):
    context.world.list_worker = lambda worker: None


@when("the workers write their entries again")
def list_again(context):
    world = context.world
    del world.list_worker

    async def write():
        for worker in world.workers.values():
            world.list_worker(worker)

    play(context, write())


@given("crashed workers start again under their ids after {down_s:g} s")
def begin_again(context, down_s):
    context.world.begin_again_after_s = down_s


@given("a random walk with workers that start again and seed {seed:d}")
def random_walk_restarting(context, seed):
    new_loop(context)
    context.events = []

    async def begin():
        context.world = new_world(seed)
        await walk(context.world, FAULTS_RESTARTING)

    with structlog.testing.capture_logs() as context.lines:
        play(context, begin())


@then("workers started again under their ids, and unsettled starts were stopped")
def walk_entered_the_path(context):
    reasons = [(line["event"], line.get("why")) for line in context.lines]
    assert ("worker_ended", "restarted") in reasons
    assert ("stop", restarts.REASON) in reasons


@when("every worker starts again under its id after {down_s:g} s")
def restart_all(context, down_s):
    restart_each(context, sorted(context.world.workers), down_s)


@when("every busy worker starts again under its id after {down_s:g} s")
def restart_busy(context, down_s):
    workers = context.world.workers
    restart_each(context, sorted(n for n, w in workers.items() if w.runs), down_s)


@when("every worker with a start under way starts again")
def restart_starting(context):
    workers = holder_of(context.world).cell.workers.values()
    names = sorted(w.worker_id.name for w in workers if w.runs)
    assert names
    restart_each(context, names, 0.0)


@when("the first stops are lost")
def lose_first_stops(context):
    """Lose the stops that are sent within 0.1 s of the first one."""
    world = context.world
    stops = world.faults.fates
    stops["stop"] = OrderFate.LOST
    holder = holder_of(world)
    send = holder._send_stops

    def send_and_recover(orders):
        send(orders)
        if orders:
            context.loop.call_later(0.1, stops.clear)

    holder._send_stops = send_and_recover


@when("the busy worker is out of reach from now on")
def cut_off_busy(context):
    world = context.world
    (name,) = [name for name, worker in world.workers.items() if worker.runs]
    world.faults.partitioned |= {(i, name) for i in world.instances}


@when("the same workers start again")
def restart_same(context):
    restart_each(context, sorted(context.earlier), 0.0)


@then("the holder knows the new incarnations")
def new_incarnations_known(context):
    world = context.world
    living = {w.listing.worker_id for w in world.workers.values()}
    assert set(holder_of(world).cell.workers) == living


def restart_each(context, names, down_s):
    world = context.world
    context.earlier = {name: world.workers[name].listing for name in names}

    async def restart():
        await asyncio.gather(*[world.restart_worker(name, down_s) for name in names])

    play(context, restart())


@when("every worker starts again under its id as the starts are sent")
def restart_before_starts(context):
    """Restart the workers after the holder's decision and before its starts."""
    world = context.world
    holder = world.instances[world.holder()].holder
    send = holder._send_starts

    def restart_and_send(decision):
        if decision.starts:
            for worker in list(world.workers.values()):
                worker.on_crash = world.begin_again
                worker.crash()
            holder._send_starts = send
        send(decision)

    holder._send_starts = restart_and_send


@then('no crash counts against "{name}", whose tasks are at work')
def no_crash_counts(context, name):
    tasks = list(holder_of(context.world).cell.jobs[job_id(name)].tasks())
    assert tasks and all(task.run is not None for task in tasks), tasks
    assert not any(task.crashed_runs for task in tasks), tasks


@when("every worker starts again with {cpu_millis:d} millicores, {detected}")
def restart_smaller(context, cpu_millis, detected):
    world = context.world
    world.faults.fates.clear()
    write = world.list_worker

    async def restart():
        for worker in list(world.workers.values()):
            capacity = replace(worker.listing.capacity, cpu_millis=cpu_millis)
            worker.listing = replace(worker.listing, capacity=capacity)
            worker.on_crash = world.begin_again
            worker.crash()

    if "report" not in detected:
        partition = {(i, w) for i in world.instances for w in world.workers}
        world.faults.partitioned |= partition
        play(context, restart())
        play(context, asyncio.sleep(1.5))
        world.faults.partitioned -= partition
        return
    world.list_worker = lambda worker: None
    play(context, restart())
    play(context, asyncio.sleep(1.0))
    world.list_worker = write
    for worker in world.workers.values():
        write(worker)


@when("every worker starts again, {back_s:d} s before its earlier birth by its clock")
def restart_before_birth(context, back_s):
    world = context.world
    ids = {name: w.listing.worker_id for name, w in world.workers.items()}
    world._new_worker_id = lambda name: WorkerId(
        name, ids[name].born_ms - 1000 * back_s
    )
    restart_all(context, 0.2)


@when("every worker writes its entry")
def write_entries(context):
    async def write():
        for worker in context.world.workers.values():
            context.world.list_worker(worker)

    play(context, write())


@when("the entries of the earlier incarnations are written again")
def write_earlier_entries(context):
    world = context.world

    async def write():
        for name, listing in context.earlier.items():
            value = msgspec.msgpack.encode(listing)
            world.store.write(Topic.WORKERS, Keyed(name, value))

    play(context, write())


@then("no task was started more often than 1 time")
def started_once(context):
    starts = [span.key for span in context.world.checker.spans]
    assert len(starts) == len(set(starts)), starts


@when("the stored births are removed")
def remove_births(context):
    for instance in context.world.instances.values():
        assert instance.ledger.births_ms
        instance.ledger.births_ms.clear()


@when('a holder inherits a run on "{name}", whose birth is not stored')
def inherit_run(context, name):
    context.player = Player()
    step = plain(1)
    job = Job("job", URGENT, "", (step,), 0.0)
    state = JobState(job)
    (task,) = state.open_occurrence(0)[0].tasks
    task.last_run = 1
    task.run = Run(task.key, 1, WorkerId(name), step, step.charge)
    now_s = context.player.now_s
    context.player.cell.add_job(job, encode(state), now_s, now_s)


@when('"{name}" of birth {born_ms:d} is listed, and reports no run')
def list_idle_worker(context, name, born_ms):
    player = context.player
    address = Address(LOOPBACK, 1)
    room = Resources(16_000, 2**36, 0)
    worker_id = WorkerId(name, born_ms)
    listing = WorkerListing(worker_id, "compute", address, "dc-1", room)
    player.cell.list_worker(listing, player.now_s)
    player.now_s += 0.1
    report = Report(player.now_s, player.now_s, 1.0, (), (), born_ms)
    player.cell.intake.report(worker_id, report)


@then("its task waits for a worker, and no crash counts against it")
def waits_without_crash(context):
    (state,) = context.player.cell.jobs.values()
    (task,) = state.tasks()
    assert task.waiting and not task.crashed_runs


def stored_bytes(births_ms):
    """Return the size of a record with a run on a worker of each birth."""
    step = plain(len(births_ms))
    state = JobState(Job("job", URGENT, "", (step,), 0.0))
    for task, born_ms in zip(state.open_occurrence(0)[0].tasks, births_ms, strict=True):
        task.last_run = 1
        worker_id = WorkerId("i-7bc664542c", born_ms)
        task.run = Run(task.key, 1, worker_id, step, step.charge)
    return len(encode(state))


@when("a job's progress is stored with {runs:d} runs on workers born within {ms:d} ms")
def store_runs(context, runs, ms):
    births_ms = [FIRST_BIRTH_MS + (number * 37) % ms for number in range(runs)]
    context.stored_bytes = stored_bytes(births_ms), stored_bytes([0] * runs)


@then("the record has {count:d} bytes, as without births")
def record_bytes(context, count):
    assert context.stored_bytes == (count, count), context.stored_bytes


@when('the worker "{name}" leaves')
def worker_leaves(context, name):
    world = context.world

    async def leave():
        world.workers[name].die()
        world.unlist_worker(name)

    play(context, leave())


@then("{count:d} births were stored, and {deleted:d} deleted")
def births_stored(context, count, deleted):
    records = context.world.store.logs[Topic.PROGRESS].records
    births = [r for r in records if r is not None and r.key.startswith(BIRTH_PREFIX)]
    assert sum(r.value is not None for r in births) == count, births
    assert sum(r.value is None for r in births) == deleted, births


@when("the worker closes its connection after each report")
def close_each_connection(context):
    world = context.world
    context.reports = []

    def on_report_read():
        context.reports.append(context.loop.time())
        session = next(iter(holder_of(world)._sessions.values()))
        session.port._worker._connected_to = None

    world.faults.on_report_read = on_report_read


def holder_of(world):
    return world.instances[world.holder()].holder


@then("the worker was asked for at most {most:d} reports in that time")
def reports_at_most(context, most):
    assert 0 < len(context.reports) <= most, len(context.reports)


@when(
    "a job's progress is stored with a run and a crash on two incarnations of "
    '"{worker}"'
)
def store_progress(context, worker):
    step = plain(2)
    job = Job("job", URGENT, "", (step,), 0.0)
    state = JobState(job)
    first, second = state.open_occurrence(0)[0].tasks
    first.last_run = 2
    first.run = Run(first.key, 2, WorkerId(worker, 20), step, step.charge)
    first.crashed_runs = {1: WorkerId(worker, 10)}
    second.last_run = 1
    second.run = Run(second.key, 1, WorkerId("w2"), step, step.charge)
    context.value = encode(state)
    restored = restore(job, context.value, 0.0, {worker: 20})
    context.tasks = restored.occurrences[0][0].tasks


@then("the restored job names the same incarnations")
def same_incarnations(context):
    first, second = context.tasks
    assert first.run.worker_id.born_ms == 20
    assert first.crashed_runs[1].born_ms == 10
    assert not second.run.worker_id.birth_known


@then('an older instance reads "{worker}" and "{other}"')
def read_by_older(context, worker, other):
    class OlderRecord(msgspec.Struct, array_like=True):
        status: int
        occurrences: list[tuple[int, list[int | tuple[int, list[int], str, str]]]]
        crashes: list[tuple[int, int, dict[int, str], list[int]]] = []

    record = msgspec.msgpack.decode(context.value, type=OlderRecord)
    ((_, tasks),) = record.occurrences
    assert [task[2] for task in tasks] == [worker, other]
    assert record.crashes[0][2] == {1: worker}


@then(
    'the leases of "{one}" of birth {born_ms:d} and of "{other}" of no known birth '
    "are read as written"
)
def lease_records(context, one, born_ms, other):
    left_s = {WorkerId(one, born_ms): 3.0, WorkerId(other): 4.0}
    ledger = Ledger()
    ledger.apply_progress(lease_expiry_record(left_s), 100.0)
    expected = {worker_id: 100.0 + s for worker_id, s in left_s.items()}
    assert ledger.lease_expiry_at_s == expected, ledger.lease_expiry_at_s


@then('a record of an older instance applies to every incarnation of "{name}"')
def older_lease_record(context, name):
    ledger = Ledger()
    value = msgspec.msgpack.encode({name: 4.0})
    ledger.apply_progress(Keyed(LEASE_EXPIRY_KEY, value), 100.0)
    lapses = LeaseLapses()
    lapses.inherit(ledger.lease_expiry_at_s)
    assert lapses.running_out(WorkerId(name, 9))
    assert lapses.inherited_over_at_s(WorkerId(name, 9), 200.0) == 104.0
    assert not lapses.running_out(WorkerId("another", 9))


class _Clock:
    def now_s(self):
        return asyncio.get_running_loop().time()


def request_reports(handle, count, last_seen):
    """Return the outcomes of reports that a worker requests one after the other."""

    async def request_all():
        server = HttpServer("worker", SERVER_LIMITS, handle)
        address = await server.start(Address(LOOPBACK, 0))
        listing = WorkerListing(WorkerId("w1", 5), "s", address, "dc-1", NOTHING)
        worker = Worker(listing, 1, _Clock())
        outcomes = [await worker.report(last_seen, None, 0.1) for _ in range(count)]
        worker.close()
        await server.close()
        return outcomes

    return asyncio.run(request_all())


@given("a server that closes its connection after each second response")
def closing_server(context):
    context.sent, context.waits = [], []

    async def handle(request):
        body = json.loads(request.body)
        context.sent.append(body["lastSeen"])
        context.waits.append("waitMs" in body)
        closing = {"connection": "close"} if len(context.sent) % 2 == 0 else {}
        return Response(200, b'{"clockMs": 1, "born": 5}', headers=closing)

    context.handle = handle


@when("{count:d} reports are requested that acknowledge end {last_seen:d}")
def request_many(context, count, last_seen):
    context.outcomes = request_reports(context.handle, count, last_seen)


@then("the acknowledgements were sent as {values}")
def acknowledged_as(context, values):
    expected = [int(value) for value in values.split(", ")]
    assert context.sent == expected, context.sent
    reports = [o for o in context.outcomes if isinstance(o, Report)]
    assert [r.connected_anew for r in reports] == [not value for value in expected]


@then("the reports over new connections did not wait for an end")
def new_connections_no_wait(context):
    assert context.waits == [value > 0 for value in context.sent], context.waits


BIRTHS = {
    "a birth that is a text": "5",
    "a birth that is null": None,
    "a birth that is a fraction": 5.5,
}


STRANGE_ROWS = {
    "1e300 percent": {"running": [["job.0.0.0", 1, "", 1e300]]},
    "a measure of 1e300": {"running": [["job.0.0.0", 1, "", 1, 1e300]]},
}


@given("a worker that answers a report with {what}")
def strange_report(context, what):
    strange = STRANGE_ROWS.get(what) or {"born": BIRTHS[what]}
    body = json.dumps({"clockMs": 1} | strange).encode()

    async def handle(request):
        return Response(200, body)

    context.handle = handle


@when("its report is requested")
def request_one(context):
    with structlog.testing.capture_logs() as context.lines:
        (context.outcome,) = request_reports(context.handle, 1, 0)


@then("the worker counts as not answering, which is logged")
def not_answering(context):
    assert isinstance(context.outcome, NoAnswer), context.outcome
    (line,) = [x for x in context.lines if x["event"] == "report: not understood"]
    assert line["worker"] == "w1"


@then(
    "a report to birth {listed:d} that states {stated:d} is from the "
    '"{sender}" incarnation'
)
def sender_of(context, listed, stated, sender):
    answering = restarts.answering(WorkerId("w1", listed), stated)
    assert answering.value == sender, answering
