"""Steps on cells with many workers."""

import asyncio
from unittest.mock import patch

from behave import given, step, then, when
from support.cell_player import BATCH as BATCH_QUEUE
from support.cell_player import LASTING, prepared
from support.cell_player import URGENT as URGENT_QUEUE
from support.cell_player import step as make_step
from support.cell_scene import new_loop, play
from support.cell_walk import build
from support.holder_load import CASES, REPORT_S, LoadedCell, scaled_costs
from support.holder_load import play as play_loaded

from hornbeampaddle.cell.placing import Ranking
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.machines import Address
from hornbeampaddle_standins.cell.access import WorkerAccess
from hornbeampaddle_standins.cell.world import World
from hornbeampaddle_wire.http_client import ConnectionBudget, HttpClient
from hornbeampaddle_wire.http_messages import Request, Response

INSTANCES = 2
CONNECTIONS_MAX = 6
TIMEOUT_S = 5.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _start_cell(context, workers, cell_settings):
    new_loop(context)

    async def begin():
        context.world = World(7, cell_settings=cell_settings)
        await build(context.world, INSTANCES, workers)

    play(context, begin())


@given(
    "a large cell of {workers:d} workers "
    "with an idle report rate of {rate:d} per second"
)
def cell_with_idle_report_rate(context, workers, rate):
    _start_cell(context, workers, CellSettings(idle_reports_per_s=rate))


@given(
    "a large cell of {workers:d} workers "
    "with a limit of {limit:d} concurrent first reports"
)
def cell_with_first_report_limit(context, workers, limit):
    cell_settings = CellSettings(first_reports_max=limit, idle_reports_per_s=2 * limit)
    _start_cell(context, workers, cell_settings)


@step("reading a report takes the holder {cost_ms:d} ms")
def report_read_cost(context, cost_ms):
    def advance_clock():
        context.loop.now_s += cost_ms / 1000

    context.world.faults.on_report_read = advance_clock


@then("the same instance still holds the cell {delay_s:d} s later")
def same_holder_later(context, delay_s):
    world = context.world
    name = world.holder()
    epoch = world.instances[name].holder.epoch
    play(context, asyncio.sleep(delay_s))
    assert world.holder() == name, (name, world.holder())
    assert world.instances[name].holder.epoch == epoch


@then("no worker still lists an end {delay_s:g} s later")
def all_ends_acknowledged_later(context, delay_s):
    play(context, asyncio.sleep(delay_s))
    workers = context.world.workers.values()
    unacknowledged = [w.listing.worker_id for w in workers if w.ends]
    assert not unacknowledged, unacknowledged


@given("{count:d} HTTP servers")
def http_servers(context, count):
    context.server_count = count


async def _respond(reader, writer):
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def _call_all(server_count, concurrency, budget):
    servers = [
        await asyncio.start_server(_respond, "127.0.0.1", 0)
        for _ in range(server_count)
    ]
    exchanges = []
    clients = []
    for server in servers:
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(Address("127.0.0.1", port), CONNECTIONS_MAX, budget=budget)
        clients.append(client)
        calls = [
            client.call(Request("GET", "/"), TIMEOUT_S) for _ in range(concurrency)
        ]
        exchanges += await asyncio.gather(*calls)
    open_count = budget.open_count
    for client, server in zip(clients, servers, strict=True):
        client.close()
        server.close()
        await server.wait_closed()
    await asyncio.sleep(0.05)
    return exchanges, open_count


@when(
    "each server receives {concurrency:d} concurrent calls "
    "under a shared limit of {limit:d} connections"
)
def call_all(context, concurrency, limit):
    budget = ConnectionBudget(limit)
    outcome = asyncio.run(_call_all(context.server_count, concurrency, budget))
    context.exchanges, context.open_count = outcome
    assert budget.open_count == 0


@then("every call gets a response")
def all_calls_get_response(context):
    assert all(isinstance(e, Response) for e in context.exchanges), context.exchanges


@then("at most {limit:d} connections remain open")
def connections_remain_open(context, limit):
    assert 0 < context.open_count <= limit, context.open_count


@given(
    "a non-evictable client of another server "
    "under a shared limit of {limit:d} connections"
)
def non_evictable_client(context, limit):
    context.connection_limit = limit


async def _call_with_non_evictable_client(server_count, concurrency, limit):
    accepted_count = 0

    async def respond(reader, writer):
        nonlocal accepted_count
        accepted_count += 1
        await _respond(reader, writer)

    budget = ConnectionBudget(limit)
    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(Address("127.0.0.1", port), 1, budget=budget, evictable=False)
    exchanges = [await client.call(Request("GET", "/"), TIMEOUT_S)]
    others, _ = await _call_all(server_count, concurrency, budget)
    exchanges.append(await client.call(Request("GET", "/"), TIMEOUT_S))
    client.close()
    server.close()
    await server.wait_closed()
    await asyncio.sleep(0.05)
    return exchanges + others, accepted_count


@when(
    "the client makes a call before and after {concurrency:d} concurrent calls "
    "to each HTTP server"
)
def call_with_non_evictable_client(context, concurrency):
    outcome = _call_with_non_evictable_client(
        context.server_count, concurrency, context.connection_limit
    )
    context.exchanges, context.accepted_count = asyncio.run(outcome)


@then("both calls of the client use the same connection")
def same_connection(context):
    all_calls_get_response(context)
    assert context.accepted_count == 1, context.accepted_count


@given("lasting tasks of {cores:d} cores occupy all but {count:d} workers")
def occupy_all_but(context, cores, count):
    def occupy(player):
        tasks = len(player.cell.workers) - count
        player.submit(
            "lasting", LASTING, make_step(tasks, cores * 1000, lasting=True), 1e9
        )
        player.play(1.0)
        assert len(player.cell.jobs["lasting"].runs()) == tasks

    context.setup.append(occupy)


@when("{count:d} urgent jobs of {tasks:d} tasks of {cores:d} cores are submitted")
@when("{count:d} urgent job of {tasks:d} tasks of {cores:d} cores is submitted")
def submit_urgent_jobs(context, count, tasks, cores):
    context.player = player = prepared(context)
    context.ranked_counts = []
    original_fill = Ranking.fill

    def recording_fill(ranking, workers):
        workers = list(workers)
        context.ranked_counts.append(len(workers))
        original_fill(ranking, workers)

    with patch.object(Ranking, "fill", recording_fill):
        for number in range(count):
            player.submit(
                f"u{number}", URGENT_QUEUE, make_step(tasks, cores * 1000), 1.0
            )
            player.tick()
    context.job_names = [f"u{number}" for number in range(count)]


@then("all urgent jobs finish within {limit_s:g} s")
def urgent_jobs_finish(context, limit_s):
    context.player.play(limit_s)
    finished = context.player.finished_s
    assert all(name in finished for name in context.job_names), finished


@then("no ranking included more than {limit:d} workers")
def ranked_workers_within_limit(context, limit):
    ranked_counts = context.ranked_counts
    assert ranked_counts and max(ranked_counts) <= limit, max(ranked_counts)


@when(
    "{count:d} filler jobs of {tasks:d} tasks of {cores:d} cores are submitted over "
    "{duration_s:d} s"
)
def submit_filler_jobs(context, count, tasks, cores, duration_s):
    context.player = player = prepared(context)
    for number in range(count):
        filler_step = make_step(tasks, cores * 1000, filler=True, image="heavy")
        player.submit(f"f{number}", BATCH_QUEUE, filler_step, 5.0)
        player.play(duration_s / count)
    context.task_count = count * tasks


@then("no started task waited longer than {limit_s:g} s")
def task_waits_within_limit(context, limit_s):
    starts = [note for _, note in context.player.notes if note.event == "start"]
    assert len(starts) >= context.task_count, (len(starts), context.task_count)
    longest_s = max(float(note.detail["waited_s"]) for note in starts)
    assert longest_s <= limit_s, longest_s


@given("a cell of {workers:d} workers with the costs of 3000")
@given(
    "a cell of {workers:d} workers with the costs of 3000 and reports of {cost_ms:g} ms"
)
def charged_cell(context, workers, cost_ms=REPORT_S * 1000):
    costs = scaled_costs(workers, cost_ms / 1000)
    if not cost_ms:
        costs.first_report_s = 0.0
    context.loaded = LoadedCell(workers, costs)


@when('the case "{name}" is played')
def play_case(context, name):
    context.figures = play_loaded(context.loaded, CASES[name])


@then("no job with room waited {limit_s:g} s without a task at work")
def jobs_had_runs(context, limit_s):
    assert context.figures.without_run_s < limit_s, str(context.figures)


@then("no lasting task was away for {limit_s:g} s")
def lasting_tasks_returned(context, limit_s):
    assert context.figures.task_away_s < limit_s, str(context.figures)


@then("the list of workers was at most {limit_s:g} s old")
def list_was_recent(context, limit_s):
    assert context.figures.list_age_s <= limit_s, str(context.figures)


@then("the holder stored within {limit_s:g} s at all times")
def holder_stored(context, limit_s):
    assert context.figures.stored_age_s < limit_s, str(context.figures)


@then("the pending count was never under half")
def pending_count_right(context):
    assert context.figures.counts, "no count was compared"
    assert context.figures.count_ratio >= 0.5, str(context.figures)


@then("no run ended because a lease expired")
def no_lapsed_run(context):
    assert not context.figures.lapsed, str(context.figures)


@when("a worker is out of the holder's reach for {duration_s:d} s")
def worker_out_of_reach(context, duration_s):
    world = context.world
    name = min(world.workers)
    context.waits_s = []
    original_report = WorkerAccess.report

    async def recording_report(access, last_seen, deadline_s, wait_s):
        if access.find() is world.workers[name]:
            context.waits_s.append(wait_s)
        return await original_report(access, last_seen, deadline_s, wait_s)

    world.faults.partitioned.add((world.holder(), name))
    with patch.object(WorkerAccess, "report", recording_report):
        play(context, asyncio.sleep(duration_s))


@then("it was asked for reports with the usual wait all the time")
def usual_wait(context):
    assert len(context.waits_s) > 1, context.waits_s
    usual_s = context.world.cell_settings.report_wait_s
    assert set(context.waits_s) == {usual_s}, context.waits_s
