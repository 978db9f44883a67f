"""
Judge a job by what it costs every instance, before it is stored.

Every instance keeps every job, and the holder all of its tasks, until the job is
forgotten. A job whose records the store would refuse, or that would take much of the
memory, is refused for good; one for which there is no room now may come back.
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
# Of a job's record of progress: a task at work with its worker and checkpoint, and a
# task that has not begun or is done.
ACTIVE_TASK_RECORD_BYTES = 64
OTHER_TASK_RECORD_BYTES = 1
# Occurrences that begin within this time of one another may be at work together.
OVERLAP_S = 600.0
# A job that has not been read this long after it was handed to the store is not there.
UNREAD_MAX_S = 10.0
# Share of the memory for jobs that one of them may take.
ONE_JOB_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class TooCostly:
    """The job is never accepted: its ``size`` of ``what`` is above the ``limit``."""

    what: str
    size: int
    limit: int


def _tasks(job: Job) -> int:
    return sum(step.count for step in job.steps)


def memory_bytes(job: Job) -> int:
    """Return the memory that a job takes on the holder."""
    payload_bytes = len(job.payload.encode())
    occurrence_bytes = STEP_BYTES * len(job.steps) + TASK_BYTES * _tasks(job)
    return JOB_BYTES + payload_bytes + job.occurrences * occurrence_bytes


def tasks_at_once(job: Job) -> int:
    """Return how many tasks of a job may be at work at the same time."""
    together = job.occurrences
    if job.interval_s > 0:
        together = min(together, 1 + int(OVERLAP_S / job.interval_s))
    return _tasks(job) * together


def excess(job: Job, record: Keyed, settings: InstanceSettings) -> TooCostly | None:
    """Return why a job can never be kept; None if it can."""
    at_once = tasks_at_once(job)
    others = _tasks(job) * job.occurrences - at_once
    progress_bytes = (
        ACTIVE_TASK_RECORD_BYTES * at_once + OTHER_TASK_RECORD_BYTES * others
    )
    one_job_bytes = int(settings.jobs_memory_bytes * ONE_JOB_RATIO)
    sizes = (
        ("payload_bytes", len(job.payload.encode()), settings.job_payload_bytes),
        ("record_bytes", len(record.value or b""), settings.record_bytes),
        ("tasks", at_once, settings.record_bytes // ACTIVE_TASK_RECORD_BYTES),
        ("progress_bytes", progress_bytes, settings.record_bytes),
        ("memory_bytes", memory_bytes(job), one_job_bytes),
    )
    for what, size, limit in sizes:
        if size > limit:
            return TooCostly(what, size, limit)
    return None


@dataclass(slots=True)
class JobCosts:
    """The memory of the jobs that an instance has read from the log."""

    total_bytes: int = 0
    _by_job: dict[str, int] = field(default_factory=dict)

    def add(self, job: Job) -> None:
        """Count a job that is kept from now on."""
        self.remove(job.job_id)
        cost_bytes = memory_bytes(job)
        self._by_job[job.job_id] = cost_bytes
        self.total_bytes += cost_bytes

    def remove(self, job_id: str) -> None:
        """Count a job that is forgotten no more."""
        self.total_bytes -= self._by_job.pop(job_id, 0)

    def has(self, job_id: str) -> bool:
        """Return whether a job is counted."""
        return job_id in self._by_job


@dataclass(frozen=True, slots=True)
class _Unread:
    cost_bytes: int
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
        memory_max_bytes: Callable[[], int],
        instances: Callable[[], int],
    ) -> None:
        """
        Decide by the jobs in ``costs``.

        ``memory_max_bytes`` returns what the smallest instance has for jobs.
        """
        self.clock = clock
        self.costs = costs
        self.memory_max_bytes = memory_max_bytes
        self.instances = instances
        # What was accepted and not read yet, the oldest first.
        self._unread: OrderedDict[str, _Unread] = OrderedDict()

    def admits(self, job: Job) -> bool:
        """Return whether there is room for a job now."""
        self._forget_read()
        room_bytes = self.memory_max_bytes() - self.costs.total_bytes
        cost_bytes = memory_bytes(job)
        unread_bytes = sum(unread.cost_bytes for unread in self._unread.values())
        if cost_bytes > room_bytes - unread_bytes:
            return False
        part_bytes = room_bytes / self.instances()
        return not unread_bytes or unread_bytes + cost_bytes <= part_bytes

    def _forget_read(self) -> None:
        now_s = self.clock.now_s()
        for job_id, unread in list(self._unread.items()):
            if self.costs.has(job_id) or unread.forget_at_s <= now_s:
                del self._unread[job_id]

    def storing(self, job: Job) -> None:
        """Count a job that is being stored."""
        forget_at_s = self.clock.now_s() + UNREAD_MAX_S
        self._unread[job.job_id] = _Unread(memory_bytes(job), forget_at_s)

    def not_stored(self, job_id: str) -> None:
        """Count a job that was not stored no more."""
        self._unread.pop(job_id, None)
