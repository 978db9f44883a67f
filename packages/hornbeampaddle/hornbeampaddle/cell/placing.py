"""
Rank the workers for the tasks of one step.

Tasks that reserve processors are packed: the fullest worker that has room, so
that wide tasks still find a whole worker; tasks that serve go where they close
least to the fillers that wait, beside their own kin while none does. Fillers go
where processors are to spare and nobody is disturbed.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .interference import Interference
from .jobs import Step, TaskKey
from .outlook import Outlook
from .workers import WorkerState

# Slack that a filler takes still counts where there is enough, so that harmless pairs
# are preferred while both have processors to spare.
SLACK_MILLIS = 20_000
# A filler is placed while a worker's spare processors cover this share of its need;
# beyond that it would only slow those that came before it.
FILLER_SPARE_RATIO = 1.0
# A serving task prefers workers that serve its own job or its image; worth this much
# of a worker's free processors. The tasks of a job share the swing of its users' load,
# so a worker with one job has room for fillers while that load is low.
KIN_MILLIS = 200_000
SAME_IMAGE_SHARE = 0.6
# Processors that a serving task closes to fillers count so much more than free ones:
# they stay closed for as long as the task lasts.
OPEN_WEIGHT = 1.0
# Memory is rarely what binds; it only breaks ties between equal workers.
MEMORY_WEIGHT = 0.1
# A filler's whole speed outweighs any spare processors.
SHARE_MILLIS = 1e6
# Larger than any difference in room: the other rack and the worker of the last
# failure are taken only when nothing else has room.
RACK_PENALTY = 1e7


def suits(step: Step, worker: WorkerState) -> bool:
    """Tell whether a worker could ever run a task of this step."""
    listing = worker.listing
    if step.worker_label and step.worker_label not in listing.labels:
        return False
    return step.need.fits_in(listing.capacity)


def may_take(
    step: Step, worker: WorkerState, key: TaskKey, used: dict[str, int]
) -> bool:
    """
    Tell whether a worker has room for a task now and its step allows it there.

    ``used`` counts the tasks of the step by worker.
    """
    if key in worker.runs or not step.charge.fits_in(worker.free()):
        return False
    return (
        not step.per_worker_max or used.get(worker.worker_id, 0) < step.per_worker_max
    )


@dataclass(slots=True)
class Ranking:
    """The workers for one step, the best first; scores follow the choices."""

    job_id: str
    step: Step
    model: Interference
    used: dict[str, int]
    # Fillers may go where they disturb or share processors; the fastest place first.
    at_any_pace: bool = False
    # What workers open to fillers; without it serving tasks go beside their kin.
    outlook: Outlook | None = None
    _heap: list[tuple[float, str, WorkerState]] = field(default_factory=list)

    def fill(self, workers: Iterable[WorkerState]) -> None:
        """Score all workers that have room."""
        charge = self.step.charge
        for worker in workers:
            if not charge.fits_in(worker.free()):
                continue
            score = self._score(worker)
            if score is not None:
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
            if key in worker.runs:
                passed.append(entry)
                continue
            if not may_take(self.step, worker, key, self.used):
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
        if not self.step.charge.fits_in(worker.free()):
            return
        score = self._score(worker)
        if score is not None:
            heapq.heappush(self._heap, (-score, name, worker))

    def _score(self, worker: WorkerState) -> float | None:
        if self.step.filler and self.at_any_pace:
            share = allowed_share(self.step, worker, self.model)
            score = share * SHARE_MILLIS + worker.spare_cpu_millis()
        elif self.step.filler:
            filling = filler_score(self.step, worker, self.model)
            if filling is None:
                return None
            # Guards against a filler that waits beside idle workers because those in
            # the rack of its data, which outweigh any room, are in use: they are no
            # candidates then. Without a rack, the score weighs spare processors itself.
            if self.step.data_rack and not has_spare(self.step, worker):
                return None
            score = filling
        else:
            score = _packing_score(worker)
            if self.step.tail_target_s:
                score += self._serving_score(worker)
        if self.step.data_rack and self.step.data_rack not in worker.listing.labels:
            score -= RACK_PENALTY
        return score

    def _serving_score(self, worker: WorkerState) -> float:
        """Return how well a serving task fits beside those of a worker."""
        if self.outlook is not None:
            kind = (self.job_id, self.step.image)
            return OPEN_WEIGHT * self.outlook.gain_millis(
                worker, kind, self.step.need.cpu_millis
            )
        return KIN_MILLIS * _kin_share(self.job_id, self.step.image, worker, self.model)


def has_spare(step: Step, worker: WorkerState) -> bool:
    """Tell whether a filler would find processor time on a worker."""
    needed = FILLER_SPARE_RATIO * step.need.cpu_millis
    return worker.filler_cpu_millis == 0 or worker.spare_cpu_millis() >= needed


def filler_score(step: Step, worker: WorkerState, model: Interference) -> float | None:
    """Return how good a worker is for a filler, or nothing if it would disturb."""
    if allowed_share(step, worker, model) < 1.0:
        return None
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    taken = share * worker.filler_room(step.image, model).slope
    return worker.spare_cpu_millis() - taken * SLACK_MILLIS


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
    room = worker.filler_room(step.image, model).share
    if room == math.inf:
        return 1.0
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    if placed:
        room += share
    return min(1.0, room / share) if share else 1.0


def choose_slow(
    step: Step, workers: Iterable[WorkerState], model: Interference, share_min: float
) -> tuple[WorkerState, float] | None:
    """Return the worker that lets a disturbing filler work fastest, and how fast."""
    best: tuple[float, float, str, WorkerState] | None = None
    for worker in workers:
        share = allowed_share(step, worker, model)
        entry = (share, worker.spare_cpu_millis(), worker.worker_id, worker)
        if best is None or entry > best:
            best = entry
    if best is None or best[0] < share_min:
        return None
    return best[3], best[0]


def _kin_share(
    job_id: str, image: str, worker: WorkerState, model: Interference
) -> float:
    """Return how alike a worker's serving tasks are to one of this job, 0 to 1."""
    total = sum(worker.serving.values())
    if not total:
        return EMPTY_SHARE
    own = worker.serving_jobs.get(job_id, 0)
    kin = -own * SAME_IMAGE_SHARE
    for name, count in worker.serving.items():
        kin += count * SAME_IMAGE_SHARE * model.likeness(image, name)
    return (own + kin) / total


# An empty worker is better than one of other images, worse than one of its own.
EMPTY_SHARE = 0.5


def _packing_score(worker: WorkerState) -> float:
    free = worker.free()
    memory_mib = free.memory_bytes / 2**20
    return -free.cpu_millis - MEMORY_WEIGHT * memory_mib
