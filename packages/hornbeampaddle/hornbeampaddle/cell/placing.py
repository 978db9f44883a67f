"""
Rank the workers for the tasks of one step.

Fillers are best-effort tasks: they reserve no CPU and use what others leave idle. All
other tasks reserve CPU and are packed onto the fullest worker with room, so that large
tasks still find an empty worker. Serving tasks have a tail latency target. They go
where they take the least CPU away from waiting fillers or, if no filler waits, next to
similar tasks. Fillers go where there is spare CPU and they interfere with no serving
task.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .incarnations import WorkerId
from .interference import Interference
from .jobs import Step, TaskKey
from .outlook import Outlook
from .workers import WorkerState

# Cost of the slack that a filler takes from serving tasks, in thousandths of a core per
# unit of slack. It counts even where slack is plentiful, so that pairs without
# interference are preferred among workers with spare CPU.
SLACK_COST_MILLIS = 20_000
# Share of a filler's CPU need that a worker's spare CPU must cover. With less, the
# filler would only slow down those already running there.
FILLER_SPARE_RATIO = 1.0
# Preference of a serving task for workers that serve its own job or image, in
# thousandths of a core of free CPU. The load of a job's tasks rises and falls together,
# so a worker that serves a single job has room for fillers while that load is low.
SIMILARITY_WEIGHT_MILLIS = 200_000
# Similarity of a task with the same image but of another job, relative to a task of the
# same job.
SAME_IMAGE_WEIGHT = 0.6
# Weight of CPU that a serving task makes unavailable to fillers, relative to free CPU.
# The CPU stays unavailable for as long as the task runs.
FILLER_CPU_WEIGHT = 1.0
# Memory is rarely the limiting resource; it only breaks ties between equal workers.
MEMORY_WEIGHT = 0.1
# Score of a filler at full speed. It outweighs any amount of spare CPU.
FULL_SPEED_SCORE_MILLIS = 1e6
# Larger than any difference in free resources. A worker outside the data's rack, like
# the worker of the task's last run, is chosen only when no other has room.
RACK_PENALTY_MILLIS = 1e7


def suits(step: Step, worker: WorkerState) -> bool:
    """Return whether a worker could ever run a task of this step."""
    listing = worker.listing
    if step.worker_label and step.worker_label not in listing.labels:
        return False
    return step.need.fits_in(listing.capacity)


def can_place(
    step: Step, worker: WorkerState, key: TaskKey, used: dict[WorkerId, int]
) -> bool:
    """
    Return whether a worker has room for a task now and the step allows it there.

    ``used`` maps worker ids to the number of tasks of the step on that worker.
    """
    if key in worker.runs or not step.charge.fits_in(worker.free()):
        return False
    return (
        not step.per_worker_max or used.get(worker.worker_id, 0) < step.per_worker_max
    )


@dataclass(slots=True)
class Ranking:
    """
    A priority queue of the workers for one step, the best first.

    Scores are updated as tasks are placed.
    """

    job_id: str
    step: Step
    model: Interference
    used: dict[WorkerId, int]
    # Fillers may also go where they would interfere at full speed or find no spare
    # CPU. Workers that allow the highest speed come first.
    allow_reduced_pace: bool = False
    # CPU that workers can offer to fillers. Without it, serving tasks are placed by
    # their similarity to the tasks on a worker.
    outlook: Outlook | None = None
    _heap: list[tuple[float, WorkerId, WorkerState]] = field(default_factory=list)

    def fill(self, workers: Iterable[WorkerState]) -> None:
        """Score all workers that have room and add them to the ranking."""
        charge = self.step.charge
        for worker in workers:
            if not charge.fits_in(worker.free()):
                continue
            score = self._score(worker)
            if score is not None:
                self._heap.append((-score, worker.worker_id, worker))
        heapq.heapify(self._heap)

    def choose(self, key: TaskKey, avoid: WorkerId) -> WorkerState | None:
        """
        Remove and return the best worker for one task, or None if none has room.

        ``avoid`` is the worker of the task's last run, chosen only if there is no
        other. The caller must book the task on the worker, then call ``booked``,
        before the next choice.
        """
        skipped: list[tuple[float, WorkerId, WorkerState]] = []
        fallback: tuple[float, WorkerId, WorkerState] | None = None
        chosen: WorkerState | None = None
        while self._heap and chosen is None:
            entry = heapq.heappop(self._heap)
            worker = entry[2]
            if key in worker.runs:
                skipped.append(entry)
                continue
            if not can_place(self.step, worker, key, self.used):
                continue
            if worker.worker_id == avoid and fallback is None:
                fallback = entry
                continue
            chosen = worker
        if chosen is None and fallback is not None:
            chosen, fallback = fallback[2], None
        if fallback is not None:
            skipped.append(fallback)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen

    def booked(self, worker: WorkerState) -> None:
        """Count one more task on a worker and update the worker's score."""
        name = worker.worker_id
        self.used[name] = self.used.get(name, 0) + 1
        if not self.step.charge.fits_in(worker.free()):
            return
        score = self._score(worker)
        if score is not None:
            heapq.heappush(self._heap, (-score, name, worker))

    def _score(self, worker: WorkerState) -> float | None:
        if self.step.filler and self.allow_reduced_pace:
            share = allowed_share(self.step, worker, self.model)
            score = share * FULL_SPEED_SCORE_MILLIS + worker.spare_cpu_millis()
        elif self.step.filler:
            filling = filler_score(self.step, worker, self.model)
            if filling is None:
                return None
            # Workers in the data's rack outrank any other. Skip those without spare
            # CPU, or the filler would wait for them although other workers are idle.
            # Without a data rack, the score itself accounts for spare CPU.
            if self.step.data_rack and not has_spare_cpu(self.step, worker):
                return None
            score = filling
        else:
            score = _packing_score(worker)
            if self.step.tail_target_s:
                score += self._serving_score(worker)
        if self.step.data_rack and self.step.data_rack not in worker.listing.labels:
            score -= RACK_PENALTY_MILLIS
        return score

    def _serving_score(self, worker: WorkerState) -> float:
        """Return how well a serving task fits with those already on a worker."""
        if self.outlook is not None:
            kind = (self.job_id, self.step.image)
            return FILLER_CPU_WEIGHT * self.outlook.gain_millis(
                worker, kind, self.step.need.cpu_millis
            )
        return SIMILARITY_WEIGHT_MILLIS * _similarity(
            self.job_id, self.step.image, worker, self.model
        )


def has_spare_cpu(step: Step, worker: WorkerState) -> bool:
    """Return whether a worker has enough spare CPU for a filler."""
    needed = FILLER_SPARE_RATIO * step.need.cpu_millis
    return worker.filler_cpu_millis == 0 or worker.spare_cpu_millis() >= needed


def filler_score(step: Step, worker: WorkerState, model: Interference) -> float | None:
    """Return a worker's score for a filler, or None if the filler would interfere."""
    if allowed_share(step, worker, model) < 1.0:
        return None
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    taken = share * worker.filler_headroom(step.image, model).slope
    return worker.spare_cpu_millis() - taken * SLACK_COST_MILLIS


def allowed_share(
    step: Step, worker: WorkerState, model: Interference, placed: bool = False
) -> float:
    """
    Return the share of its full speed at which a filler does not interfere.

    The result is between 0 and 1. ``placed`` means that the filler's need is already
    part of the worker's demand.
    """
    if worker.over_since_s is not None:
        # A serving task here is over its latency target. A filler started now would
        # keep it there by running on while the other fillers are paused.
        return 0.0
    room = worker.filler_headroom(step.image, model).share
    if room == math.inf:
        return 1.0
    share = step.need.cpu_millis / worker.listing.capacity.cpu_millis
    if placed:
        room += share
    return min(1.0, room / share) if share else 1.0


def choose_for_slow_start(
    step: Step, workers: Iterable[WorkerState], model: Interference, share_min: float
) -> tuple[WorkerState, float] | None:
    """
    Return the worker on which a filler may run fastest, and the share of its speed.

    Return None if no worker allows at least ``share_min``.
    """
    best: tuple[float, float, WorkerId, WorkerState] | None = None
    for worker in workers:
        share = allowed_share(step, worker, model)
        entry = (share, worker.spare_cpu_millis(), worker.worker_id, worker)
        if best is None or entry > best:
            best = entry
    if best is None or best[0] < share_min:
        return None
    return best[3], best[0]


def _similarity(
    job_id: str, image: str, worker: WorkerState, model: Interference
) -> float:
    """Return how similar a worker's serving tasks are to one of this job, 0 to 1."""
    total = sum(worker.serving.values())
    if not total:
        return EMPTY_WORKER_SIMILARITY
    same_job = worker.serving_jobs.get(job_id, 0)
    similar = -same_job * SAME_IMAGE_WEIGHT
    for name, count in worker.serving.items():
        similar += count * SAME_IMAGE_WEIGHT * model.similarity(image, name)
    return (same_job + similar) / total


# Similarity assumed for a worker without serving tasks. It ranks above a worker that
# serves other images and below one that serves the task's own.
EMPTY_WORKER_SIMILARITY = 0.5


def _packing_score(worker: WorkerState) -> float:
    free = worker.free()
    memory_mib = free.memory_bytes / 2**20
    return -free.cpu_millis - MEMORY_WEIGHT * memory_mib
