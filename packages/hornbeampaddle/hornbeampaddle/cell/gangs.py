"""
Place gangs: all members at the same time, or none.

A gang that asks for a single rack is placed within one if possible.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .placing import Ranking
from .progress import Run, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


def choose_workers(
    cell: "Scheduler",
    step: StepState,
    workers: list[WorkerState],
    allow_reduced_pace: bool = False,
) -> list[WorkerState] | None:
    """
    Return a worker for each member, in the order of the members, or None.

    ``allow_reduced_pace`` also considers workers where fillers must run slowly.
    """
    for group in _worker_groups(step, workers):
        chosen = _try_placement(cell, step, group, allow_reduced_pace)
        if chosen is not None:
            return chosen
    return None


def align_members(step: StepState) -> None:
    """Make all members resume from the same checkpoint with the same run number."""
    last_run = max(task.last_run for task in step.tasks)
    checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
    for task in step.tasks:
        task.last_run = last_run
        task.checkpoint = checkpoint


def _worker_groups(
    step: StepState, workers: list[WorkerState]
) -> Iterator[list[WorkerState]]:
    if step.step.one_rack:
        for rack in sorted({w.listing.rack for w in workers}):
            yield [w for w in workers if w.listing.rack == rack]
    yield workers


def _try_placement(
    cell: "Scheduler",
    step: StepState,
    workers: list[WorkerState],
    allow_reduced_pace: bool,
) -> list[WorkerState] | None:
    """
    Return a worker for each member, or None if they do not all fit.

    Members are booked temporarily, so that each is placed with regard to the others.
    """
    ranking = Ranking(step.key.job_id, step.step, cell.model, {}, allow_reduced_pace)
    ranking.fill(workers)
    booked: list[tuple[WorkerState, Run]] = []
    for task in step.tasks:
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            break
        run = Run(task.key, 0, worker.worker_id, step.step, step.step.charge)
        worker.add(run)
        booked.append((worker, run))
        ranking.booked(worker)
    for worker, run in booked:
        worker.remove(run)
    if len(booked) < len(step.tasks):
        return None
    return [worker for worker, _ in booked]
