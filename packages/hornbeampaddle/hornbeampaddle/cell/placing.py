"""
Rank the workers for the tasks of one step.

Tasks that reserve processors are packed: the fullest worker that has room, so
that wide tasks still find a whole worker; tasks that serve go beside others of
their image, so that a filler that disturbs one image finds workers without it.
Fillers go where processors are to spare and nobody is disturbed.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from .interference import Interference
from .jobs import Step, TaskKey
from .workers import WorkerState

# Fillers that disturb an image may raise the logarithm of its tails by this
# much together, at full speed: alone, tails reach 0.72 of their target when the
# users' load is highest, and 0.72 x e^0.2 is 0.88.
PRESSURE_MAX = 0.2
# Pressure below that bound still counts, so that harmless pairs are preferred
# while both have processors to spare.
PRESSURE_MILLIS = 100_000
# A serving task prefers workers whose serving tasks are of its image; worth
# this much of a worker's free processors.
SAME_IMAGE_MILLIS = 200_000
# Memory is rarely what binds; it only breaks ties between equal workers.
MEMORY_WEIGHT = 0.1
# Larger than any difference in room: the other rack and the worker of the last
# failure are taken only when nothing else has room.
RACK_PENALTY = 1e7


def suits(step: Step, worker: WorkerState) -> bool:
    """Tell whether a worker could ever run a task of this step."""
    listing = worker.listing
    if step.worker_label and step.worker_label not in listing.labels:
        return False
    return step.need.fits_in(listing.capacity)


@dataclass(slots=True)
class Ranking:
    """The workers for one step, the best first; scores follow the choices."""

    step: Step
    model: Interference
    used: dict[str, int]
    _heap: list[tuple[float, str, WorkerState]] = field(default_factory=list)

    def fill(self, workers: Iterable[WorkerState]) -> None:
        """Score all workers that have room."""
        charge = self.step.charge
        for worker in workers:
            score = self._score(worker)
            if score is not None and charge.fits_in(worker.free()):
                self._heap.append((-score, worker.worker_id, worker))
        heapq.heapify(self._heap)

    def choose(self, key: TaskKey, avoid: str) -> WorkerState | None:
        """
        Take the best worker for one task, or nothing if none has room.

        ``avoid`` is the worker where the task failed last; it is taken only if
        there is no other. The caller books the task before the next choice.
        """
        passed: list[tuple[float, str, WorkerState]] = []
        fallback: tuple[float, str, WorkerState] | None = None
        chosen: WorkerState | None = None
        while self._heap and chosen is None:
            entry = heapq.heappop(self._heap)
            worker = entry[2]
            if not self._open(worker, key):
                continue
            if worker.worker_id == avoid and fallback is None:
                fallback = entry
                continue
            chosen = worker
        if chosen is None and fallback is not None:
            chosen, fallback = fallback[2], None
        if fallback is not None:
            passed.append(fallback)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return chosen

    def booked(self, worker: WorkerState) -> None:
        """Score a worker again, now that it holds one task more."""
        name = worker.worker_id
        self.used[name] = self.used.get(name, 0) + 1
        score = self._score(worker)
        if score is not None and self.step.charge.fits_in(worker.free()):
            heapq.heappush(self._heap, (-score, name, worker))

    def _open(self, worker: WorkerState, key: TaskKey) -> bool:
        if key in worker.runs or not self.step.charge.fits_in(worker.free()):
            return False
        most = self.step.per_worker_max
        return not most or self.used.get(worker.worker_id, 0) < most

    def _score(self, worker: WorkerState) -> float | None:
        if self.step.filler:
            filling = filler_score(self.step, worker, self.model)
            if filling is None:
                return None
            score = filling
        else:
            score = _packing_score(worker)
            if self.step.tail_target_s:
                score += SAME_IMAGE_MILLIS * _same_share(self.step.image, worker)
        if self.step.data_rack and self.step.data_rack not in worker.listing.labels:
            score -= RACK_PENALTY
        return score


def filler_score(step: Step, worker: WorkerState, model: Interference) -> float | None:
    """Return how good a worker is for a filler, or nothing if it would disturb."""
    if allowed_share(step, worker, model) < 1.0:
        return None
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    slopes = (model.slope(image, step.image) for image in worker.serving)
    pressure = share * max(slopes, default=0.0)
    return worker.spare_cpu_millis() - pressure * PRESSURE_MILLIS


def allowed_share(
    step: Step, worker: WorkerState, model: Interference, placed: bool = False
) -> float:
    """
    Return at which share of its speed a filler disturbs nobody on a worker.

    ``placed`` tells that its need is part of the worker's demand already.
    """
    if worker.over_since_s is not None:
        # What starts beside a task that is over its target works on while the
        # others stand still, and keeps it there.
        return 0.0
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    allowed = 1.0
    for image in worker.serving:
        full = model.slope(image, step.image) * share
        if full <= 0:
            continue
        others = model.pressure(image, worker.demand()) - (full if placed else 0.0)
        allowed = min(allowed, max(0.0, PRESSURE_MAX - others) / full)
    return allowed


def choose_slow(
    step: Step, workers: Iterable[WorkerState], model: Interference, share_min: float
) -> tuple[WorkerState, float] | None:
    """Return the worker that lets a disturbing filler work fastest, and how fast."""
    best: tuple[float, float, str, WorkerState] | None = None
    for worker in workers:
        if not step.charge.fits_in(worker.free()):
            continue
        share = allowed_share(step, worker, model)
        entry = (share, worker.spare_cpu_millis(), worker.worker_id, worker)
        if best is None or entry > best:
            best = entry
    if best is None or best[0] < share_min:
        return None
    return best[3], best[0]


def _same_share(image: str, worker: WorkerState) -> float:
    """Return the share of a worker's serving tasks that are of an image."""
    total = sum(worker.serving.values())
    if not total:
        return NEUTRAL_SHARE
    return worker.serving.get(image, 0) / total


# An empty worker is better than one of other images, worse than one of its own.
NEUTRAL_SHARE = 0.5


def _packing_score(worker: WorkerState) -> float:
    free = worker.free()
    memory_mib = free.memory_bytes / 2**20
    return -free.cpu_millis - MEMORY_WEIGHT * memory_mib
