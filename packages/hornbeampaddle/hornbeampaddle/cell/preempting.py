"""
Preempt long-running tasks to make room for short urgent tasks.

A latency-critical job needs a few cores for about a second, while a long-running task
holds several times as many for minutes. Preempting one makes a single task unavailable
to its users for a second or two. Without preemption, the whole urgent job is late.
"""

from typing import TYPE_CHECKING

from .progress import JobState, Run, RunPhase, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

REASON = "makes_room"
# Maximum share of the running long-running tasks that may be stopping for preemption at
# the same time. Preempted tasks that have ended and wait for a worker are not counted:
# under heavy load there are so many that urgent jobs would find no room.
STOPPING_RATIO_MAX = 0.08
# Minimum time that a task runs before it may be preempted, since it must finish
# starting up before it serves any user.
PREEMPTION_COOLDOWN_S = 2.0


def make_room(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> None:
    """Preempt as many long-running tasks as the waiting tasks of a step need."""
    missing = len(step.waiting()) - _expected_slots(cell, step)
    budget = _budget(cell)
    while missing > 0 and budget > 0:
        victim = _victim(cell, state, step, now_s)
        if victim is None:
            return
        worker = cell.workers[victim.worker_id]
        missing -= _slots_after(worker, victim, step)
        budget -= 1
        cell.stop(victim, REASON)


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
