"""
Place the tasks of a step on a sample of the workers of a large cell.

With thousands of workers, ranking all of them for every step dominates the cost of a
decision. While a cell has spare capacity, a sample offers equally good placements.
Tasks that do not fit on the sample are placed among all workers.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .crashes import suspected
from .placing import has_spare_cpu
from .workers import WorkerState

if TYPE_CHECKING:
    from .turns import Turn

# Maximum number of workers ranked for a step before falling back to all workers.
SAMPLE_SIZE = 500


class Sampler:
    """Selects workers in round-robin order, so that all of them receive tasks."""

    def __init__(self) -> None:
        """Start with the first worker."""
        self._next_index = 0

    def next_sample(self, workers: Sequence[WorkerState]) -> list[WorkerState] | None:
        """Return the next sample, or None if there are too few workers to sample."""
        if len(workers) <= SAMPLE_SIZE:
            return None
        start = self._next_index % len(workers)
        self._next_index = start + SAMPLE_SIZE
        wrapped_count = SAMPLE_SIZE - len(workers[start : start + SAMPLE_SIZE])
        return [*workers[start : start + SAMPLE_SIZE], *workers[:wrapped_count]]


def place_in_sample(turn: "Turn", workers: Sequence[WorkerState]) -> None:
    """
    Start the tasks of a step that fit on the sampled workers.

    A task that does not fit is not recorded as unplaceable or given a wait reason: the
    caller then tries its step on all workers. Gangs and steps restricted by advice, a
    data rack or a worker label are left to that second pass.
    """
    step = turn.step.step
    if turn.advised or step.gang or step.data_rack or step.worker_label:
        return
    ranking = turn.ranking()
    ranking.fill(workers)
    for task in turn.step.waiting():
        if not turn.cell.orders.may_add_starts():
            return
        if task.late_worker_name:
            continue
        if suspected(task) or turn.cell.separator.reserved_worker(task.key) is not None:
            continue
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None or (step.filler and not has_spare_cpu(step, worker)):
            return
        turn.start(task, worker)
        ranking.booked(worker)
