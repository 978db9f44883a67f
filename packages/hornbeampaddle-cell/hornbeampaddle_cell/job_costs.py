"""
Judge a job by what it costs every instance, before it is stored.

Every instance keeps every job, and the holder all of its tasks, until the job is
forgotten; each decision of the holder walks over the steps of all jobs that have not
ended. A job whose records the store would refuse, or that would take much of either, is
refused for good; one for which there is no room now may come back.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from hornbeampaddle.cell.jobs import Job

from .ports import Clock, Keyed
from .settings import InstanceSettings

# Memory of a job, of one of its steps and of one of its tasks, on the holder.
JOB_BYTES = 1024
STEP_BYTES = 768
TASK_BYTES = 512
# What takes a decision as long as one step: a part of a job, and so many waits of steps
# for others, or tasks.
JOB_STEPS = 6
WAITS_PER_STEP = 32
TASKS_PER_STEP = 40
# Of a job's record of progress: a task at work with its worker and checkpoint, and a
# task that has not begun or is done.
ACTIVE_TASK_RECORD_BYTES = 64
OTHER_TASK_RECORD_BYTES = 1
# Occurrences that begin within this time of one another may be at work together.
OVERLAP_S = 600.0
# A job that has not been read this long after it was handed to the store is not there.
UNREAD_MAX_S = 10.0
# Share of the room that is left which one job may take: small jobs still find room when
# large ones no longer do.
ONE_JOB_RATIO = 0.125


@dataclass(frozen=True, slots=True)
class TooCostly:
    """The job is never accepted: its ``size`` of ``what`` is above the ``limit``."""

    what: str
    size: int
    limit: int


@dataclass(frozen=True, slots=True)
class Cost:
    """
    What one or several jobs cost the holder.

    ``decision_steps`` is the time of a decision, in steps of a job.
    """

    memory_bytes: int = 0
    decision_steps: int = 0

    def __add__(self, other: "Cost") -> "Cost":
        """Return the cost of both."""
        return Cost(
            self.memory_bytes + other.memory_bytes,
            self.decision_steps + other.decision_steps,
        )

    def __sub__(self, other: "Cost") -> "Cost":
        """Return the cost without ``other``."""
        return Cost(
            self.memory_bytes - other.memory_bytes,
            self.decision_steps - other.decision_steps,
        )

    def share(self, ratio: float) -> "Cost":
        """Return a share of it."""
        return Cost(int(self.memory_bytes * ratio), int(self.decision_steps * ratio))

    def fits(self, room: "Cost") -> bool:
        """Return whether there is room for it."""
        return (
            self.memory_bytes <= room.memory_bytes
            and self.decision_steps <= room.decision_steps
        )


def _tasks(job: Job) -> int:
    return sum(step.count for step in job.steps)


def _occurrences_at_once(job: Job) -> int:
    if job.interval_s <= 0:
        return job.occurrences
    return min(job.occurrences, 1 + int(OVERLAP_S / job.interval_s))


def cost_of(job: Job) -> Cost:
    """Return what a job costs the holder until it has ended."""
    payload_bytes = len(job.payload.encode())
    occurrence_bytes = STEP_BYTES * len(job.steps) + TASK_BYTES * _tasks(job)
    waits = sum(len(step.after) for step in job.steps)
    steps = len(job.steps) + waits // WAITS_PER_STEP + _tasks(job) // TASKS_PER_STEP
    return Cost(
        JOB_BYTES + payload_bytes + job.occurrences * occurrence_bytes,
        JOB_STEPS + _occurrences_at_once(job) * steps,
    )


def excess(job: Job, record: Keyed, settings: InstanceSettings) -> TooCostly | None:
    """Return why a job can never be kept; None if it can."""
    at_once = _tasks(job) * _occurrences_at_once(job)
    others = _tasks(job) * job.occurrences - at_once
    progress_bytes = (
        ACTIVE_TASK_RECORD_BYTES * at_once + OTHER_TASK_RECORD_BYTES * others
    )
    cost = cost_of(job)
    most = Cost(settings.jobs_memory_bytes, settings.decision_steps_max)
    most = most.share(ONE_JOB_RATIO)
    sizes = (
        ("payload_bytes", len(job.payload.encode()), settings.job_payload_bytes),
        ("record_bytes", len(record.value or b""), settings.record_bytes),
        ("tasks", at_once, settings.record_bytes // ACTIVE_TASK_RECORD_BYTES),
        ("progress_bytes", progress_bytes, settings.record_bytes),
        ("memory_bytes", cost.memory_bytes, most.memory_bytes),
        ("decision_steps", cost.decision_steps, most.decision_steps),
    )
    for what, size, limit in sizes:
        if size > limit:
            return TooCostly(what, size, limit)
    return None


@dataclass(slots=True)
class JobCosts:
    """What the jobs cost that an instance has read from the log."""

    total: Cost = Cost()
    _by_job: dict[str, Cost] = field(default_factory=dict)

    def add(self, job: Job) -> None:
        """Count a job that is kept from now on."""
        self._replace(job.job_id, cost_of(job))

    def end(self, job_id: str) -> None:
        """Count a job that has ended: it is kept, but decisions pass it by."""
        cost = self._by_job.get(job_id)
        if cost is not None and cost.decision_steps:
            self._replace(job_id, Cost(cost.memory_bytes))

    def remove(self, job_id: str) -> None:
        """Count a job that is forgotten no more."""
        self.total -= self._by_job.pop(job_id, Cost())

    def _replace(self, job_id: str, cost: Cost) -> None:
        self.remove(job_id)
        self._by_job[job_id] = cost
        self.total += cost

    def has(self, job_id: str) -> bool:
        """Return whether a job is counted."""
        return job_id in self._by_job


@dataclass(frozen=True, slots=True)
class _Unread:
    cost: Cost
    forget_at_s: float


class CostGate:
    """
    Decides whether there is room for a job on every instance that may hold the cell.

    Each instance hands out its part of the room that its view of the log shows, until
    it has read the jobs that it accepted. Guards against instances that all give the
    same room away.
    """

    def __init__(
        self,
        clock: Clock,
        costs: JobCosts,
        limit: Callable[[], Cost],
        instances: Callable[[], int],
    ) -> None:
        """
        Decide by the jobs in ``costs``.

        ``limit`` returns what all jobs may cost on the smallest instance.
        """
        self.clock = clock
        self.costs = costs
        self.limit = limit
        self.instances = instances
        # What was accepted and not read yet, the oldest first.
        self._unread: OrderedDict[str, _Unread] = OrderedDict()

    def admits(self, job: Job) -> bool:
        """Return whether there is room for a job now."""
        self._forget_read()
        room = self.limit() - self.costs.total
        cost = cost_of(job)
        unread = sum((unread.cost for unread in self._unread.values()), Cost())
        if not cost.fits((room - unread).share(ONE_JOB_RATIO)):
            return False
        part = room.share(1 / self.instances())
        return not self._unread or (unread + cost).fits(part)

    def _forget_read(self) -> None:
        now_s = self.clock.now_s()
        for job_id, unread in list(self._unread.items()):
            if self.costs.has(job_id) or unread.forget_at_s <= now_s:
                del self._unread[job_id]

    def storing(self, job: Job) -> None:
        """Count a job that is being stored."""
        forget_at_s = self.clock.now_s() + UNREAD_MAX_S
        self._unread[job.job_id] = _Unread(cost_of(job), forget_at_s)

    def not_stored(self, job_id: str) -> None:
        """Count a job that was not stored no more."""
        self._unread.pop(job_id, None)
