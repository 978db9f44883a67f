"""
Judge a job by what it costs every instance, before it is stored.

Every instance keeps every job, and the holder all of its tasks, until the job is
forgotten. A job whose records the store would refuse, or that would take much of the
memory, is refused for good.
"""

from dataclasses import dataclass

from hornbeampaddle.cell.jobs import Job

from .ports import Keyed
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
