"""Steps on the room that a full cell keeps for urgent jobs."""

from dataclasses import replace

from behave import given, then, when
from support.cell_player import BATCH, LASTING, URGENT, Player, step

from hornbeampaddle.cell import victims
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.learned import URGENT_DEMAND_KEY, UnusableRecordError
from hornbeampaddle.cell.preempting import AHEAD_REASON
from hornbeampaddle.cell.progress import Run, RunPhase, encode
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.urgent_demand import (
    RECORD_VERSION,
    UrgentDemand,
    UrgentDemandRecord,
    _encoder,
)
from hornbeampaddle.cell.waiting import WaitReason
from hornbeampaddle.cell.workers import WorkerListing, WorkerState
from hornbeampaddle.clocks import RemoteClock
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_standins.cell.demand import Demand, DemandSettings
from hornbeampaddle_standins.cell.emulator import Emulator

SERVICE = "compute"
# A stop may take longer than the objective of the urgent jobs leaves.
SLOW_STOPS = CellSettings(stop_s=0.9)


def kept(player):
    return player.cell.kept_room.kept_workers(SERVICE)


def stopped_ahead(player):
    """Return when tasks were stopped ahead, with their keys."""
    return [
        (at_s, entry.detail["task"])
        for at_s, entry in player.notes
        if entry.event == "stop" and entry.detail["why"] == AHEAD_REASON
    ]


def lasting_waits_s(player):
    """Return how long each waiting lasting task has waited."""
    return [
        player.now_s - max(steps[0].ready_at_s or player.now_s, task.ended_at_s)
        for state in player.cell.open_jobs.values()
        if state.job.lasting
        for steps in state.occurrences.values()
        for task in steps[0].waiting()
    ]


def run_with_urgent(context, seconds_s):
    player = context.player
    for tick in range(round(10 * seconds_s)):
        if tick % 5 == 0:
            name = f"urgent{len(player.cell.jobs)}"
            player.submit(name, URGENT, step(4, 3_000, 1.0), 1.0)
        player.tick()
        context.longest_s = max([context.longest_s, *lasting_waits_s(player)])


@given("a full cell with urgent jobs")
def full_cell(context):
    context.longest_s = 0.0
    context.player = player = Player(cell=Scheduler(SLOW_STOPS))
    player.add_workers(16, 16_000)
    for number in range(21):
        lasting = step(4, 3_200, lasting=True)
        player.submit(f"lasting{number}", LASTING, lasting, 1e9)
    filler = step(1, 1_000, image="fill", filler=True)
    player.submit("batch", BATCH, filler, 1e9)


@when("it runs for {seconds_s:g} s")
def runs_for(context, seconds_s):
    run_with_urgent(context, seconds_s)


@then("workers are kept for urgent jobs")
def workers_kept(context):
    assert kept(context.player)
    assert stopped_ahead(context.player)
    assert any(entry.event == "kept_room" for _, entry in context.player.notes)


@then("no lasting task waited for longer than {most_s:g} s")
def longest_wait(context, most_s):
    assert context.longest_s <= most_s, context.longest_s


@then("a lasting task takes turns only after {least_s:g} s at work")
def at_work_before(context, least_s):
    started_s = {}
    for at_s, entry in context.player.notes:
        if entry.event == "start":
            started_s[entry.detail["task"]] = at_s
        if entry.event == "stop" and entry.detail["why"] == AHEAD_REASON:
            at_work_s = at_s - started_s[entry.detail["task"]]
            assert at_work_s >= least_s - 0.2, at_work_s


@when("no lasting task beside the kept workers may leave any more")
def none_may_leave(context):
    cell = context.player.cell
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if run.step.lasting and not cell.kept_room.keeps(worker):
                run.step = replace(run.step, unavailable_max=1)
                context.lost_run = run


@when("a lasting task is lost with two workers in turn")
def lost_twice(context):
    cell, run = context.player.cell, context.lost_run
    context.lost_task = cell.task(run.key)
    context.lost_task.crashed_runs.update({1: WorkerId("gone1"), 2: WorkerId("gone2")})
    cell.release(run, context.player.now_s, "worker_ended")


@then("it waits for no longer than {most_s:g} s beside kept room for two of it")
def not_beside_room(context, most_s):
    player, task = context.player, context.lost_task
    for _ in range(60):
        run_with_urgent(context, 0.5)
        waited_s = player.now_s - task.ended_at_s
        room = max(player.cell.workers[w].free().cpu_millis for w in kept(player))
        assert not task.waiting or waited_s <= most_s or room < 6_400, waited_s
    assert not task.waiting


@when("no urgent job comes for {seconds_s:g} s")
def no_urgent(context, seconds_s):
    context.player.play(seconds_s)


@then("no worker is kept")
def none_kept(context):
    assert not kept(context.player), kept(context.player)


@then("no lasting task waits beside free room")
def none_waits(context):
    cell = context.player.cell
    room = max(worker.free().cpu_millis for worker in cell.workers.values())
    assert not lasting_waits_s(context.player) or room < 3_200, room


def hold_anew(player):
    """Let another holder take over; return its scheduler."""
    before = player.cell
    player.cell = cell = Scheduler(SLOW_STOPS, before.log)
    cell.inherit_learned({URGENT_DEMAND_KEY: before.urgent_demand.encode()})
    ends, player.ends = player.ends, {}
    for worker in before.workers.values():
        cell.list_worker(worker.listing, player.now_s)
    for state in before.jobs.values():
        if not state.status.final:
            cell.add_job(state.job, encode(state), state.accepted_at_s, player.now_s)
    player.ends = ends
    return cell


@when("a lasting task ends, and another holder takes over {later_s:g} s later")
def ends_before_takeover(context, later_s):
    player, key = context.player, context.lost_run.key
    player.cell.release(context.lost_run, player.now_s, "not_on_worker")
    run_with_urgent(context, later_s)
    assert player.cell.task(key).waiting
    hold_anew(player)


@then("it is at work within {seconds_s:g} s")
def at_work_within(context, seconds_s):
    run_with_urgent(context, seconds_s)
    assert context.player.cell.task(context.lost_run.key).run is not None


@when("another holder takes over and has no report of one worker")
def taken_over(context):
    player = context.player
    context.silent = next(iter(player.cell.workers))
    cell = hold_anew(player)
    context.takeover_at_s = player.now_s
    report = cell.intake.report

    def without_silent(worker_id, heard):
        if worker_id == context.silent:
            return False
        return report(worker_id, heard)

    cell.intake.report = without_silent
    context.hear_all = lambda: setattr(cell.intake, "report", report)
    run_with_urgent(context, 6.0)


@then("it stops nobody ahead, although it keeps workers")
def nobody_stopped(context):
    assert kept(context.player)
    after = [
        at for at, _ in stopped_ahead(context.player) if at > context.takeover_at_s
    ]
    assert not after, after


@then("after that worker's report it goes on")
def goes_on(context):
    context.hear_all()
    run_with_urgent(context, 12.0)
    last_s = max(at_s for at_s, _ in stopped_ahead(context.player))
    assert last_s > context.takeover_at_s


@when("its list of workers gets too old")
def list_too_old(context):
    player = context.player
    player.cell.list_complete_at_s = player.now_s
    player.play(1.3)
    context.old_from_s = player.now_s
    player.play(10.0)


@then("nobody is stopped ahead any more")
def none_ahead(context):
    assert kept(context.player) or stopped_ahead(context.player)
    late = [at for at, _ in stopped_ahead(context.player) if at >= context.old_from_s]
    assert not late, late


@when("the end of a task that was stopped ahead is not reported for {seconds_s:g} s")
def end_not_reported(context, seconds_s):
    player = context.player
    while not (found := _leaving_ahead(player)):
        run_with_urgent(context, 0.1)
    context.run = found[0]
    context.taken = []
    for _ in range(round(10 * seconds_s)):
        player.stops = [item for item in player.stops if item[1] is not context.run]
        run_with_urgent(context, 0.1)
        worker = player.cell.workers[context.run.worker_id]
        context.taken.append(worker.taken.fits_in(worker.listing.capacity))


def _leaving_ahead(player):
    return [
        run
        for worker in player.cell.workers.values()
        for run in worker.runs.values()
        if run.stop_reason == AHEAD_REASON
    ]


@then("nothing starts in its room")
def room_taken(context):
    assert context.player.cell.booked(context.run)
    assert all(context.taken)


@when("a kept worker goes down as its tasks are stopped")
def kept_worker_down(context):
    player = context.player
    while not (found := _leaving_ahead(player)):
        run_with_urgent(context, 0.1)
    context.lost = player.cell.workers[found[0].worker_id]
    context.lost_keys = [
        key for key, run in context.lost.runs.items() if run.step.lasting
    ]
    lost_id = context.lost.worker_id
    player.stops = [item for item in player.stops if item[1].worker_id != lost_id]
    player.replace_worker(lost_id)
    run_with_urgent(context, 10.0)


@then("another worker is kept instead")
def replaced(context):
    assert kept(context.player)
    assert context.lost.worker_id not in kept(context.player)


@then("the lost tasks wait for a place like others")
def lost_wait(context):
    assert context.lost_keys
    for key in context.lost_keys:
        starts = [
            at_s
            for at_s, entry in context.player.notes
            if entry.event == "start" and entry.detail["task"] == key
        ]
        assert len(starts) >= 2, key


@given("a learned record with {what}")
def record_with(context, what):
    version = RECORD_VERSION + 1 if what == "another version" else RECORD_VERSION
    need_millis = -1 if what == "a negative need" else 1_000
    record = UrgentDemandRecord(version, [(SERVICE, need_millis, 500)])
    context.record = b"?" if what == "other bytes" else _encoder.encode(record)


@then("it cannot be used, and nothing is forecast")
def unusable(context):
    demand = UrgentDemand(0.4, WaitReason.NO_ROOM.value)
    try:
        demand.inherit(context.record)
    except UnusableRecordError:
        assert demand.forecast(SERVICE, 100.0) is None
    else:
        raise AssertionError("the record was used")


@given("a worker with lasting tasks of 3, 3 and 9 cores, the last one just started")
def worker_with_three(context):
    listing = WorkerListing(
        WorkerId("w"),
        SERVICE,
        Address("127.0.0.1", 1),
        "dc-1",
        Resources(16_000, 2**40, 0),
    )
    context.worker = WorkerState(listing, RemoteClock(0.02))
    for position, (millis, since_s) in enumerate([(3_000, 0), (3_000, 0), (9_000, 97)]):
        needed = step(1, millis, lasting=True)
        run = Run(
            TaskKey(f"j{position}", 0, 0, 0), 1, listing.worker_id, needed, needed.need
        )
        run.phase, run.confirmed_at_s = RunPhase.RUNNING, since_s
        context.worker.add(run)


@when("a place of 6 cores is to be made")
def place_to_make(context):
    context.found = victims.ranked_sets(
        [context.worker],
        6_000,
        1,
        lambda run: victims.may_stop(run, 100.0, 2.0),
        0.4,
        100.0,
    )


@then("both tasks of 3 cores are stopped")
def both_stopped(context):
    assert [run.charge.cpu_millis for run in context.found[0].runs] == [3_000, 3_000]


@then("a task whose step limits the unavailable ones never is")
def limited_stays(context):
    run = context.found[0].runs[0]
    run.step = replace(run.step, unavailable_max=1)
    assert not victims.may_stop(run, 100.0, 2.0)


@given("an emulated day of urgent, lasting and batch jobs with room for all of them")
def roomy_day(context):
    context.demand = lambda: Demand(3, DemandSettings(serving_jobs=14))


@when("{seconds_s:g} s of it pass with kept room and without")
def pass_both(context, seconds_s):
    context.logs = []
    for on in (True, False):
        emulator = Emulator(context.demand(), CellSettings(keeps_urgent_room=on))
        entries = []
        emulator.cell.log = entries.append
        emulator.play(seconds_s)
        context.logs.append(entries)


@then("both days have the same decisions")
def same_decisions(context):
    with_part, without = context.logs
    assert any(entry.event == "start" for entry in with_part)
    assert with_part == without
