"""
Stop lasting tasks to make room for urgent tasks that end soon.

A latency-critical job needs a few cores for about a second; a lasting task
holds several times that for minutes. Stopping one for a moment costs its users
a second or two of one task; not stopping it makes the whole urgent job late.
"""

from typing import TYPE_CHECKING

from .progress import JobState, Run, RunPhase, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

REASON = "makes_room"
# At most this share of the running lasting tasks is on its way out for others at once.
# Those that have ended and wait for a place do not count: under a pressing load there
# are so many of them that urgent jobs would find no room.
AWAY_RATIO = 0.08
# A task that has just come back is left alone for so long: it has to start up
# before it serves anybody.
UNDISTURBED_S = 2.0


def make_room(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> None:
    """Stop as many lasting tasks as the waiting tasks of a step need."""
    missing = len(step.waiting()) - _promised(cell, step)
    budget = _budget(cell)
    while missing > 0 and budget > 0:
        victim = _victim(cell, state, step, now_s)
        if victim is None:
            return
        worker = cell.workers[victim.worker_id]
        missing -= _slots_after(worker, victim, step)
        budget -= 1
        cell.stop(victim, REASON)


def _lasting(cell: "Scheduler") -> list[Run]:
    return [
        run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.step.lasting
    ]


def _budget(cell: "Scheduler") -> int:
    lasting = _lasting(cell)
    away = sum(run.stop_reason == REASON for run in lasting)
    return int(AWAY_RATIO * len(lasting)) - away


def _promised(cell: "Scheduler", step: StepState) -> int:
    """Count the tasks that fit once the lasting tasks on their way out are gone."""
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
    """Return the lasting task whose stop costs least for the room it makes."""
    service = cell.service_of(state.job)
    best: tuple[float, float, Run] | None = None
    for worker in cell.workers.values():
        if worker.listing.service != service or not worker.usable(now_s):
            continue
        if any(run.stop_reason == REASON for run in worker.runs.values()):
            continue
        for run in worker.runs.values():
            if not _may_leave(cell, run, state, now_s):
                continue
            slots = _slots_after(worker, run, step)
            if slots < 1:
                continue
            cost = run.charge.cpu_millis / min(slots, len(step.waiting()))
            entry = (cost, run.confirmed_at_s)
            if best is None or entry < best[:2]:
                best = (*entry, run)
    return best[2] if best is not None else None


def _may_leave(cell: "Scheduler", run: Run, state: JobState, now_s: float) -> bool:
    if not run.step.lasting or run.phase is not RunPhase.RUNNING:
        return False
    if run.step.unavailable_max or run.step.gang:
        # The operator bounds how many of these may be away through us.
        return False
    owner = cell.jobs.get(run.key.job_id)
    if owner is None or owner.job.queue.priority < state.job.queue.priority:
        return False
    return now_s - run.confirmed_at_s > UNDISTURBED_S
