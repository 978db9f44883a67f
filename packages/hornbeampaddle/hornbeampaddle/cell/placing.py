"""
Choose the worker for a task.

Tasks that reserve processors are packed: the fullest worker that has room, so
that wide tasks still find a whole worker. Fillers are spread: the worker with
the most processor time to spare, away from tasks that are near their target.
"""

from collections.abc import Iterable

from .jobs import Step, TaskKey
from .workers import WorkerState

# A filler beside a task at its target counts as if so much less were spare.
TAIL_PENALTY_MILLIS = 40_000
# Memory is rarely what binds; it only breaks ties between equal workers.
MEMORY_WEIGHT = 0.1


def suits(step: Step, worker: WorkerState) -> bool:
    """Tell whether a worker could ever run a task of this step."""
    listing = worker.listing
    if step.worker_label and step.worker_label not in listing.labels:
        return False
    return step.need.fits_in(listing.capacity)


def choose(
    key: TaskKey,
    step: Step,
    workers: Iterable[WorkerState],
    used: dict[str, int],
    avoid: str,
) -> WorkerState | None:
    """
    Return the best worker for one task, or nothing if none has room.

    ``workers`` are usable and suit the step; ``used`` counts the tasks of the
    step on each worker; ``avoid`` is the worker where the task failed last.
    """
    best: WorkerState | None = None
    best_score = float("-inf")
    charge = step.charge
    for worker in workers:
        if not charge.fits_in(worker.free()) or key in worker.runs:
            continue
        worker_id = worker.listing.worker_id
        if step.per_worker_max and used.get(worker_id, 0) >= step.per_worker_max:
            continue
        score = _filler_score(worker) if step.filler else _packing_score(worker)
        if step.data_rack and step.data_rack not in worker.listing.labels:
            score -= RACK_PENALTY
        if worker_id == avoid:
            score -= AVOID_PENALTY
        if score > best_score:
            best, best_score = worker, score
    return best


# Larger than any difference in room: the other rack and the worker of the last
# failure are taken only when nothing else has room.
RACK_PENALTY = 1e7
AVOID_PENALTY = 1e8


def _filler_score(worker: WorkerState) -> float:
    pressure = max(0.0, worker.worst_tail_ratio - 0.5)
    return worker.spare_cpu_millis() - pressure * TAIL_PENALTY_MILLIS


def _packing_score(worker: WorkerState) -> float:
    free = worker.free()
    memory_mib = free.memory_bytes / 2**20
    return -free.cpu_millis - MEMORY_WEIGHT * memory_mib
