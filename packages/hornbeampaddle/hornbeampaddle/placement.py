"""
Choose a worker for an attempt by the free capacity that deciders last reported.

This view lags behind and only selects where to ask: the decider
checks the attempt against its own allocation table, and the worker may still
refuse it.
"""

import random
from dataclasses import dataclass, field

from .machines import Worker
from .resources import Resources

SAMPLE_SIZE = 24
AVOID_AFTER_FAILURES = 3
AVOID_FIRST_S = 5.0
AVOID_MAX_S = 300.0
# On how many workers, or on all if there are fewer, a job has failed if it is at fault.
JOB_WORKERS_MIN = 3
# Number of jobs with failures that are remembered, the newest.
FAILING_JOBS_MAX = 1000


@dataclass(slots=True)
class WorkerCapacity:
    """A worker's free capacity as last reported by its decider."""

    worker: Worker
    decider: str
    epoch: int
    free: Resources
    open: bool
    heard_s: float
    # The jobs whose attempts have failed here since the last success.
    failed_jobs: list[str] = field(default_factory=list)
    avoided_until_s: float = 0.0
    avoid_s: float = AVOID_FIRST_S


@dataclass(slots=True)
class JobFailures:
    """Where the attempts of a job have failed, and whether any has succeeded."""

    workers: set[str] = field(default_factory=set)
    succeeded: bool = False


@dataclass(frozen=True, slots=True)
class Fits:
    """The attempt can be placed on this worker, by the reported capacity."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class NoRoomNow:
    """Some worker is large enough, but none has enough free capacity now."""


@dataclass(frozen=True, slots=True)
class NeverFits:
    """No worker of the data centre is large enough, even if it were idle."""

    lacking: str
    largest_worker: str


Choice = Fits | NoRoomNow | NeverFits


@dataclass(slots=True)
class CapacityView:
    """The last reported free capacity of all workers of one data centre."""

    rng: random.Random
    capacities: dict[str, WorkerCapacity] = field(default_factory=dict)
    _failing_jobs: dict[str, JobFailures] = field(default_factory=dict)

    def heard(
        self,
        worker: Worker,
        decider: str,
        epoch: int,
        free: Resources,
        open_: bool,
        now_s: float,
    ) -> bool:
        """
        Apply a decider's report on one of its workers.

        Return whether the worker has moved to a later epoch.
        """
        room = self.capacities.get(worker.worker_id)
        if room is None:
            room = WorkerCapacity(worker, decider, epoch, free, open_, now_s)
            self.capacities[worker.worker_id] = room
            return False
        # A replaced decider may go on sending reports; the later epoch wins.
        if epoch < room.epoch:
            return False
        changed = epoch > room.epoch
        room.worker = worker
        room.decider = decider
        room.epoch = epoch
        room.free = free
        room.open = open_
        room.heard_s = now_s
        return changed

    def epoch(self, worker_id: str) -> int:
        """Return the latest reported epoch of a worker, or 0 if there is none."""
        room = self.capacities.get(worker_id)
        return room.epoch if room is not None else 0

    def choose(self, needs: Resources, avoid: set[str], now_s: float) -> Choice:
        """
        Choose the least loaded suitable worker of a random sample.

        All workers are searched if no worker of the sample is suitable.
        """
        names = list(self.capacities)
        if len(names) > SAMPLE_SIZE:
            sample = self.rng.sample(names, SAMPLE_SIZE)
            chosen = self._best(sample, needs, avoid, now_s)
            if chosen is not None:
                return Fits(chosen.worker.worker_id)
        chosen = self._best(names, needs, avoid, now_s)
        if chosen is not None:
            return Fits(chosen.worker.worker_id)
        return never_fits(needs, [r.worker for r in self.capacities.values()])

    def choose_for_preemption(self, needs: Resources, now_s: float) -> str | None:
        """
        Choose a random worker whose total capacity is enough for ``needs``.

        Its decider knows whether preemption can free enough of it; if not, the next
        try asks another worker.
        """
        names = [
            name
            for name, room in self.capacities.items()
            if room.open
            and room.avoided_until_s <= now_s
            and needs.fits_in(room.worker.capacity)
        ]
        return self.rng.choice(names) if names else None

    def _best(
        self, names: list[str], needs: Resources, avoid: set[str], now_s: float
    ) -> WorkerCapacity | None:
        best: WorkerCapacity | None = None
        best_score = (True, True, 0.0)
        for name in names:
            room = self.capacities[name]
            if not room.open or room.avoided_until_s > now_s:
                continue
            if not needs.fits_in(room.free):
                continue
            score = self._score(room, needs, name in avoid)
            if best is None or score < best_score:
                best, best_score = room, score
        return best

    def _score(
        self, room: WorkerCapacity, needs: Resources, avoid: bool
    ) -> tuple[bool, bool, float]:
        capacity = room.worker.capacity
        wastes_accelerator = capacity.accelerators > 0 and needs.accelerators == 0
        used = (capacity - room.free + needs).share_of(capacity)
        return (avoid, wastes_accelerator, used)

    def deduct(self, worker_id: str, needs: Resources) -> None:
        """Deduct an order's needs until the decider's next report."""
        room = self.capacities.get(worker_id)
        if room is not None:
            room.free = room.free - needs

    def failed(self, worker_id: str, job_id: str, now_s: float) -> None:
        """
        Count a failed attempt; avoid the worker after several consecutive failures.

        If it fails again after that time, it is avoided for twice as long. A job that
        has failed on several workers, and nowhere succeeded, is at fault itself: its
        failures count against none of them.
        """
        room = self.capacities.get(worker_id)
        if room is None:
            return
        failures = self._failures_of(job_id)
        failures.workers.add(worker_id)
        workers_min = max(2, min(JOB_WORKERS_MIN, len(self.capacities)))
        if not failures.succeeded and len(failures.workers) >= workers_min:
            self._take_back(job_id, failures)
            return
        room.failed_jobs.append(job_id)
        if len(room.failed_jobs) >= AVOID_AFTER_FAILURES:
            del room.failed_jobs[: 1 - AVOID_AFTER_FAILURES]
            room.avoided_until_s = now_s + room.avoid_s
            room.avoid_s = min(AVOID_MAX_S, 2 * room.avoid_s)

    def _failures_of(self, job_id: str) -> JobFailures:
        """Return a job's failures; the oldest job's are forgotten at the limit."""
        if job_id not in self._failing_jobs:
            while len(self._failing_jobs) >= FAILING_JOBS_MAX:
                del self._failing_jobs[next(iter(self._failing_jobs))]
            self._failing_jobs[job_id] = JobFailures()
        return self._failing_jobs[job_id]

    def _take_back(self, job_id: str, failures: JobFailures) -> None:
        """Stop avoiding the workers that are avoided for failures of one job only."""
        for worker_id in failures.workers:
            room = self.capacities.get(worker_id)
            if room is None or job_id not in room.failed_jobs:
                continue
            if set(room.failed_jobs) == {job_id}:
                room.avoided_until_s = 0.0
                room.avoid_s = AVOID_FIRST_S
            room.failed_jobs = [name for name in room.failed_jobs if name != job_id]

    def succeeded(self, worker_id: str, job_id: str) -> None:
        """Reset the worker's failures and back-off after a successful attempt."""
        if job_id in self._failing_jobs:
            self._failing_jobs[job_id].succeeded = True
        room = self.capacities.get(worker_id)
        if room is not None:
            room.failed_jobs.clear()
            room.avoid_s = AVOID_FIRST_S

    def sick(self, now_s: float) -> list[str]:
        """Return the ids of the workers that are currently avoided."""
        return [n for n, r in self.capacities.items() if r.avoided_until_s > now_s]


def never_fits(needs: Resources, workers: list[Worker]) -> Choice:
    """Tell why ``needs`` can never fit, or that only free capacity is lacking now."""
    if not workers:
        return NeverFits("any worker", "none")
    if any(needs.fits_in(w.capacity) for w in workers):
        return NoRoomNow()
    closest = min(workers, key=lambda w: len(needs.lacking_in(w.capacity)))
    largest = max(workers, key=lambda w: shortfall_key(w, closest, needs))
    lacking = ", ".join(needs.lacking_in(largest.capacity))
    return NeverFits(lacking, largest.worker_id)


def shortfall_key(worker: Worker, closest: Worker, needs: Resources) -> tuple[int, ...]:
    """Return the sort key of a worker: its capacity where ``closest`` is too small."""
    lacking = needs.lacking_in(closest.capacity)
    return tuple(getattr(worker.capacity, name) for name in lacking)
