"""
Preempt long-running tasks to make room for short urgent tasks.

A latency-critical job needs a few cores for about a second, while a long-running task
holds several times as many for minutes. Preempting one makes a single task unavailable
to its users for a second or two. Without preemption, the whole urgent job is late.

In a full cell, the workers that are kept for urgent tasks are emptied ahead. Lasting
tasks then take turns: shortly before one has waited for as long as it may, the one that
was at work for longest makes room for it on another worker.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .incarnations import WorkerId
from .progress import JobState, Run, RunPhase, StepState
from .urgency import OWED_AFTER_S, waits_since_s
from .urgent_demand import HAND_OVER_S
from .victims import JUST_STARTED_S, may_stop, ranked_sets
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

REASON = "makes_room"
AHEAD_REASON = "makes_room_ahead"
ROTATION_REASON = "rotates"
# Maximum share of the running long-running tasks that may be stopping for preemption at
# the same time. Preempted tasks that have ended and wait for a worker are not counted:
# under heavy load there are so many that urgent jobs would find no room.
STOPPING_RATIO_MAX = 0.08
# The same for room that is made ahead, for which nobody waits yet, and for rotation.
AHEAD_RATIO_MAX = 0.02
ROTATING_RATIO_MAX = 0.005
# Minimum time that a task runs before it may be preempted, since it must finish
# starting up before it serves any user.
PREEMPTION_COOLDOWN_S = 2.0


def make_room(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> None:
    """Preempt as many long-running tasks as the waiting tasks of a step need."""
    missing = len(step.waiting()) - _expected_slots(cell, step)
    budget = _budget(cell)
    if cell.kept_room.active(cell.service_of(state.job), now_s):
        _stop_cheapest_sets(cell, state, step, missing, budget, now_s)
        return
    while missing > 0 and budget > 0:
        victim = _victim(cell, state, step, now_s)
        if victim is None:
            return
        worker = cell.workers[victim.worker_id]
        missing -= _slots_after(worker, victim, step)
        budget -= 1
        cell.stop(victim, REASON)


def _stop_cheapest_sets(
    cell: "Scheduler",
    state: JobState,
    step: StepState,
    missing: int,
    budget: int,
    now_s: float,
) -> None:
    """Stop sets of tasks, each on one worker, by what their callers lose."""
    if missing < 1 or budget < 1:
        return
    service = cell.service_of(state.job)
    place_millis = max(1, step.step.need.cpu_millis)
    workers = [
        worker
        for worker in cell.workers.values()
        if worker.listing.service == service
        and worker.usable(now_s)
        and not any(run.stop_reason for run in worker.runs.values())
    ]
    sets = ranked_sets(
        workers,
        place_millis,
        missing,
        lambda run: _may_preempt(cell, run, state, now_s),
        cell.settings.stop_s,
        now_s,
    )
    for found in sets:
        if missing < 1 or len(found.runs) > budget:
            return
        for run in found.runs:
            cell.stop(run, REASON)
        missing -= found.places
        budget -= len(found.runs)


def keep_room(cell: "Scheduler", now_s: float) -> None:
    """Forecast what urgent jobs need, and choose the workers kept for them."""
    demand = cell.urgent_demand
    demand.observe(cell.open_jobs.values(), cell.service_of, now_s)
    for service in demand.services():
        short_ratio = demand.short_ratio(service, now_s)
        if not cell.kept_room.to_plan(service, short_ratio, now_s):
            continue
        workers = [
            worker
            for worker in cell.workers.values()
            if worker.listing.service == service and worker.may_be_kept()
        ]
        entry = cell.kept_room.plan(
            service,
            workers,
            demand.forecast(service, now_s),
            short_ratio,
            cell.settings.stop_s,
            now_s,
        )
        if entry is not None:
            cell.log(entry)
    demand.keep(cell.kept_room.kept_services())


def make_room_ahead(cell: "Scheduler", now_s: float) -> None:
    """Stop lasting tasks on the workers that are kept, and rotate the others."""
    kept_runs = [
        run
        for service in cell.kept_room.services
        for worker_id in cell.kept_room.kept_workers(service)
        for run in cell.workers[worker_id].runs.values()
    ]
    if not cell.kept_room.keeps_any() or not _all_reported(cell):
        # A new holder does not know yet what runs where.
        return
    lasting = _lasting_runs(cell)
    for service in cell.kept_room.kept_services():
        _rotate(cell, service, lasting, now_s)
    leaving = sum(run.stop_reason == AHEAD_REASON for run in lasting)
    budget = max(1, int(AHEAD_RATIO_MAX * len(lasting))) - leaving
    for run in kept_runs:
        if budget < 1:
            return
        if may_stop(run, now_s, JUST_STARTED_S):
            cell.stop(run, AHEAD_REASON)
            budget -= 1


def _all_reported(cell: "Scheduler") -> bool:
    return all(w.known() or w.silent for w in cell.workers.values() if w.listed)


def _rotate(cell: "Scheduler", service: str, lasting: list[Run], now_s: float) -> None:
    """Make places for the lasting tasks that are owed one when the stops have ended."""
    notice_s = cell.settings.stop_s + HAND_OVER_S
    owed_from_s = now_s - (OWED_AFTER_S - notice_s)
    needs = sorted(_needs_waiting_since(cell, service, owed_from_s), reverse=True)
    leaving = [run for run in lasting if run.stop_reason == ROTATION_REASON]
    needs = needs[: max(0, len(needs) - len(leaving))]
    budget = max(1, int(ROTATING_RATIO_MAX * len(lasting))) - len(leaving)
    if not needs or budget < 1:
        return
    longest_first = sorted(lasting, key=lambda run: run.confirmed_at_s)
    used: set[WorkerId] = set()
    for run in longest_first:
        if not needs or budget < 1:
            return
        if not may_stop(run, now_s, JUST_STARTED_S):
            continue
        worker = cell.workers[run.worker_id]
        if worker.listing.service != service or not worker.usable(now_s):
            continue
        if cell.kept_room.keeps(worker) or worker.worker_id in used:
            continue
        room_millis = worker.free().cpu_millis + run.charge.cpu_millis
        fitting = next((need for need in needs if need <= room_millis), None)
        if fitting is None:
            continue
        needs.remove(fitting)
        used.add(worker.worker_id)
        budget -= 1
        cell.stop(run, ROTATION_REASON)


def _needs_waiting_since(
    cell: "Scheduler", service: str, since_s: float
) -> Iterator[int]:
    """Return the CPU need of each lasting task that has waited since a time."""
    for state in cell.open_jobs.values():
        if not state.job.lasting or state.status.final:
            continue
        if cell.service_of(state.job) != service:
            continue
        for steps in state.occurrences.values():
            for step in steps:
                if not step.step.lasting or step.step.filler:
                    continue
                for task in step.waiting():
                    if waits_since_s(step, task, since_s + 1) <= since_s:
                        yield step.step.need.cpu_millis


def _lasting_runs(cell: "Scheduler") -> list[Run]:
    return [
        run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.step.lasting
    ]


def _budget(cell: "Scheduler") -> int:
    lasting = _lasting_runs(cell)
    away = sum(run.stop_reason == REASON for run in lasting)
    return int(STOPPING_RATIO_MAX * len(lasting)) - away


def _expected_slots(cell: "Scheduler", step: StepState) -> int:
    """Return how many tasks of a step fit once the tasks being preempted have ended."""
    slots = 0
    for worker in cell.workers.values():
        leaving = [r for r in worker.runs.values() if r.stop_reason == REASON]
        if leaving:
            freed = worker.free().cpu_millis
            freed += sum(run.charge.cpu_millis for run in leaving)
            slots += freed // max(1, step.step.need.cpu_millis)
    return slots


def _slots_after(worker: WorkerState, victim: Run, step: StepState) -> int:
    freed = worker.free().cpu_millis + victim.charge.cpu_millis
    return freed // max(1, step.step.need.cpu_millis)


def _victim(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> Run | None:
    """Return the long-running task with the lowest cost per task it makes room for."""
    service = cell.service_of(state.job)
    best: tuple[float, float, Run] | None = None
    for worker in cell.workers.values():
        if worker.listing.service != service or not worker.usable(now_s):
            continue
        if any(run.stop_reason == REASON for run in worker.runs.values()):
            continue
        for run in worker.runs.values():
            if not _may_preempt(cell, run, state, now_s):
                continue
            slots = _slots_after(worker, run, step)
            if slots < 1:
                continue
            cost = run.charge.cpu_millis / min(slots, len(step.waiting()))
            entry = (cost, run.confirmed_at_s)
            if best is None or entry < best[:2]:
                best = (*entry, run)
    return best[2] if best is not None else None


def _may_preempt(cell: "Scheduler", run: Run, state: JobState, now_s: float) -> bool:
    if not run.step.lasting or run.phase is not RunPhase.RUNNING:
        return False
    if run.step.unavailable_max or run.step.gang:
        # The operator limits how many of these the scheduler may make unavailable.
        return False
    owner = cell.jobs.get(run.key.job_id)
    if owner is None or owner.job.queue.priority < state.job.queue.priority:
        return False
    return now_s - run.confirmed_at_s > PREEMPTION_COOLDOWN_S
