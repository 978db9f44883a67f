"""Place gangs: all members at once, on one rack if that is asked for, or none."""

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
    at_any_pace: bool = False,
) -> list[WorkerState] | None:
    """
    Return a worker for each member, in their order, or nothing.

    ``at_any_pace`` takes workers where fillers have to work slowly.
    """
    for group in _rooms(step, workers):
        chosen = _trial(cell, step, group, at_any_pace)
        if chosen is not None:
            return chosen
    return None


def begin_run(step: StepState) -> None:
    """Let all members go on from one checkpoint, under one number."""
    last_run = max(task.last_run for task in step.tasks)
    checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
    for task in step.tasks:
        task.last_run = last_run
        task.checkpoint = checkpoint


def _rooms(step: StepState, workers: list[WorkerState]) -> Iterator[list[WorkerState]]:
    if step.step.one_rack:
        for rack in sorted({w.listing.rack for w in workers}):
            yield [w for w in workers if w.listing.rack == rack]
    yield workers


def _trial(
    cell: "Scheduler", step: StepState, workers: list[WorkerState], at_any_pace: bool
) -> list[WorkerState] | None:
    """Book each member for a moment; return the workers, or nothing."""
    ranking = Ranking(step.key.job_id, step.step, cell.model, {}, at_any_pace)
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
