"""Steps on what a holder stores about the leases of silent workers."""

import asyncio

from behave import given, then, when
from support.cell_player import LASTING, TICK_S, Player, step
from support.cell_scene import play

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.progress import encode
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle_cell.ledger import Ledger, lease_expiry_record

JOB_ID = "lasting"
WORKER_ID = WorkerId("w0")


@given("a holder with a worker of 4 tasks that has fallen silent")
def silent_worker(context):
    context.player = Player()
    context.player.add_workers(1, 64_000)
    context.player.submit(JOB_ID, LASTING, step(4, 8_000, lasting=True), 1e9)
    context.player.play(1.0)
    context.cell = context.player.cell
    context.cell.worker_silent(WORKER_ID, context.player.now_s)
    context.worker = context.cell.workers[WORKER_ID]
    context.over_at_s = context.worker.lease_over_at_s
    context.granted_deadline_s = context.worker.granted_deadline_s


def decide(context, cell):
    now_s = context.player.now_s
    return cell.decide(now_s, now_s)


@when("the holder has sent when the lease expires, without an answer")
def sent(context):
    context.lapses = decide(context, context.cell).lapses
    left_s = context.over_at_s - context.player.now_s
    assert context.lapses == {WORKER_ID: left_s}, (context.lapses, left_s)


@when("the holder has stored when the lease expires")
def stored(context):
    sent(context)
    context.cell.lapses.stored(context.player.now_s)


@when("the worker reports again {pause_s:g} s later")
def reports(context, pause_s):
    context.player.now_s += pause_s
    context.player._report()
    assert not context.worker.silent


@then("its lease is not extended")
def not_extended(context):
    granted_deadline_s = context.cell.lease_deadline(WORKER_ID, context.player.now_s)
    assert granted_deadline_s == context.granted_deadline_s, (
        granted_deadline_s,
        context.granted_deadline_s,
    )
    assert context.worker.lease_over_at_s == context.over_at_s


@then("it is extended once a record without it is stored")
def extended(context):
    assert decide(context, context.cell).lapses == {}
    not_extended(context)
    context.cell.lapses.stored(context.player.now_s)
    granted_deadline_s = context.cell.lease_deadline(WORKER_ID, context.player.now_s)
    assert granted_deadline_s > context.granted_deadline_s + 1.0, granted_deadline_s
    assert context.worker.lease_over_at_s > context.over_at_s + 1.0


def next_holder(context, lease_expiry_at_s):
    """Return the cell of a holder that has read the log and knows the worker."""
    old = context.cell.jobs[JOB_ID]
    cell = Scheduler(CellSettings())
    cell.lapses.inherit(lease_expiry_at_s)
    now_s = context.player.now_s
    cell.add_job(old.job, encode(old), old.accepted_at_s, now_s)
    cell.list_worker(context.worker.listing, now_s)
    return cell


@when("another holder begins {pause_s:g} s later and does not reach the worker")
def another(context, pause_s):
    ledger = Ledger()
    # It reads the record a little after it was stored.
    ledger.apply_progress(
        lease_expiry_record(context.lapses), context.player.now_s + 0.1
    )
    context.player.now_s += pause_s
    context.begun_at_s = context.player.now_s
    context.informed = next_holder(context, ledger.lease_expiry_at_s)
    context.uninformed = next_holder(context, {})


def waits_from_s(context, cell):
    """Return when the tasks wait again, making a decision each tick."""
    now_s = context.begun_at_s
    while cell.jobs[JOB_ID].runs():
        now_s += TICK_S
        cell.decide(now_s, now_s)
        assert now_s < context.begun_at_s + 30
    return now_s


@then("the 4 tasks wait for a worker again when the record says")
def wait_again(context):
    context.waits_from_s = waits_from_s(context, context.informed)
    late_s = context.waits_from_s - context.over_at_s
    assert 0 <= late_s < 0.1 + 2 * TICK_S, late_s


@then(
    "a holder that has not read the record waits at least {more_s:g} s longer for them"
)
def waits_longer(context, more_s):
    later_s = waits_from_s(context, context.uninformed) - context.waits_from_s
    assert later_s >= more_s, later_s


@then("its first record names the worker, with less time left")
def names_again(context):
    lapses = decide(context, context.informed).lapses
    left_s = context.over_at_s - context.player.now_s
    assert left_s <= lapses[WORKER_ID] < left_s + 0.2, (lapses, left_s)
    assert lapses[WORKER_ID] < context.lapses[WORKER_ID]


@when(
    "the workers are out of reach but for {reach_s:g} s from an answer, {times:d} times"
)
def reach_now_and_then(context, reach_s, times):
    world = context.world
    pairs = {(i, w) for i in world.instances for w in world.workers}

    async def answer_once():
        answered = asyncio.Event()
        world.faults.on_report_read = answered.set
        world.faults.partitioned.clear()
        await answered.wait()
        await asyncio.sleep(reach_s)
        world.faults.partitioned |= pairs

    for _ in range(times):
        world.faults.partitioned |= pairs
        play(context, asyncio.sleep(3.0))
        play(context, answer_once())
    world.faults.on_report_read = lambda: None
    world.faults.partitioned.clear()


@then("no run was lost to an expired lease")
def nothing_lapsed(context):
    assert not context.world.checker.lapsed, context.world.checker.lapsed
