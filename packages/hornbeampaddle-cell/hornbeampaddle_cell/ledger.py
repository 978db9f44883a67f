"""
Keep the jobs and their progress, as read from the logs of jobs and progress.

Every instance keeps a ledger, so that every instance can answer callers, and a new
holder starts from it.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.learned import LEARNED_PREFIX
from hornbeampaddle.cell.progress import JobStatus, decode_status
from hornbeampaddle.decoding import UnreadableError, decode

from .backlog_record import BACKLOG_KEY, PublishedBacklog, decode_backlog
from .job_costs import JobCosts
from .ports import Keyed
from .unreadable import UnreadableRecords

CANCEL_PREFIX = "x"
# Prefix of the keys in the log of progress that are not job ids.
NON_JOB_PREFIX = "."
INTERFERENCE_KEY = ".interference"
LEASE_EXPIRY_KEY = ".lapses"
# Prefix of the key of a worker's birth; its name follows.
BIRTH_PREFIX = ".birth/"
LOAD_PERIOD_KEY = ".swings"
_job_decoder = msgspec.msgpack.Decoder(Job)
_job_encoder = msgspec.msgpack.Encoder()
_lease_expiry_decoder = msgspec.msgpack.Decoder(dict[str, float])
_slopes_decoder = msgspec.msgpack.Decoder(dict[str, dict[str, float]])
_period_decoder = msgspec.msgpack.Decoder(float)
_birth_decoder = msgspec.msgpack.Decoder(int)


class JobChange(Enum):
    """What a record of the log of jobs changed."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    FORGOTTEN = "forgotten"
    REPEATED = "repeated"
    UNREADABLE = "unreadable"


def job_record(job: Job) -> Keyed:
    """Return the record that accepts a job."""
    return Keyed(job.job_id, _job_encoder.encode(job))


def interference_record(slopes: dict[str, dict[str, float]]) -> Keyed:
    """Return the record of the slopes of interference between pairs of images."""
    return Keyed(INTERFERENCE_KEY, msgspec.msgpack.encode(slopes))


def load_period_record(period_s: float) -> Keyed:
    """Return the record of the common period of the users' loads."""
    return Keyed(LOAD_PERIOD_KEY, msgspec.msgpack.encode(period_s))


def lease_expiry_record(left_s: dict[WorkerId, float]) -> Keyed:
    """Return the record of how long the leases of silent workers may still last."""
    by_text = {str(worker_id): seconds_s for worker_id, seconds_s in left_s.items()}
    return Keyed(LEASE_EXPIRY_KEY, msgspec.msgpack.encode(by_text))


def birth_record(name: str, born_ms: int | None) -> Keyed:
    """Return the record of the birth of a worker's incarnation; None deletes it."""
    value = msgspec.msgpack.encode(born_ms) if born_ms is not None else None
    return Keyed(BIRTH_PREFIX + name, value)


def cancel_record(job_id: str) -> Keyed:
    """Return the record that cancels a job."""
    return Keyed(CANCEL_PREFIX + job_id, b"1")


@dataclass(slots=True)
class Ledger:
    """Jobs, cancellations, progress and the holder's models, from the logs."""

    jobs: dict[str, Job] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    progress: dict[str, bytes] = field(default_factory=dict)
    # The status in each record of ``progress``.
    statuses: dict[str, JobStatus] = field(default_factory=dict)
    # The holder's interference model: slopes by pairs of images, and the common period
    # of the users' loads, if one was found.
    slopes: dict[str, dict[str, float]] = field(default_factory=dict)
    period_s: float | None = None
    # What waits in the queues, as the holder last published it; None if nothing is.
    backlog: PublishedBacklog | None = None
    # The records of the holder's other learners, by key.
    learned: dict[str, bytes] = field(default_factory=dict)
    # When the leases of silent workers expire, on this instance's clock. The remaining
    # time counts from when the record was read, which is after it was written, so the
    # leases end no later than that.
    lease_expiry_at_s: dict[WorkerId, float] = field(default_factory=dict)
    # Births of workers by name, of the incarnations that records of runs mean.
    births_ms: dict[str, int] = field(default_factory=dict)
    # What the jobs cost whoever holds the cell.
    costs: JobCosts = field(default_factory=JobCosts)
    by_queue: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    unreadable_jobs: UnreadableRecords = field(
        default_factory=lambda: UnreadableRecords("jobs")
    )
    unreadable_progress: UnreadableRecords = field(
        default_factory=lambda: UnreadableRecords("progress")
    )

    def apply_job(self, record: Keyed) -> tuple[JobChange, str]:
        """Apply a record of the log of jobs; return its change and the job id."""
        if record.key.startswith(CANCEL_PREFIX):
            job_id = record.key[len(CANCEL_PREFIX) :]
            if record.value is None:
                self.cancelled.discard(job_id)
                return JobChange.FORGOTTEN, job_id
            self.cancelled.add(job_id)
            return JobChange.CANCELLED, job_id
        job_id = record.key
        if record.value is None:
            self._remove_job(job_id)
            return JobChange.FORGOTTEN, job_id
        if job_id in self.jobs:
            # The first record of an id defines the job. Another instance accepted the
            # same request again.
            return JobChange.REPEATED, job_id
        try:
            job = decode(_job_decoder, record.value)
        except UnreadableError as error:
            self.unreadable_jobs.mark_unreadable(job_id, str(error))
            return JobChange.UNREADABLE, job_id
        self.jobs[job_id] = job
        self.costs.add(job)
        self.by_queue[job.queue.name].add(job_id)
        return JobChange.ACCEPTED, job_id

    def _remove_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        self.costs.remove(job_id)
        if job is not None:
            self.by_queue[job.queue.name].discard(job_id)
        self._remove_progress(job_id)
        self.cancelled.discard(job_id)

    def apply_progress(self, record: Keyed, read_at_s: float) -> None:
        """Apply a record of the log of progress, read at ``read_at_s`` local time."""
        try:
            self._apply_progress(record, read_at_s)
        except ValueError as error:
            # The value read before stays valid: without it a job would start again, and
            # an error raised here would end the holder.
            self.unreadable_progress.mark_unreadable(record.key, str(error))

    def _apply_progress(self, record: Keyed, read_at_s: float) -> None:
        value = record.value
        if record.key == LEASE_EXPIRY_KEY:
            left_s = decode(_lease_expiry_decoder, value) if value else {}
            self.lease_expiry_at_s = {
                WorkerId.parse(text): read_at_s + s for text, s in left_s.items()
            }
        elif record.key == INTERFERENCE_KEY:
            self.slopes = decode(_slopes_decoder, value) if value else {}
        elif record.key == LOAD_PERIOD_KEY:
            self.period_s = decode(_period_decoder, value) if value else None
        elif record.key == BACKLOG_KEY:
            # One that cannot be read leaves none: the one before it is outdated.
            self.backlog = None
            self.backlog = decode_backlog(value, read_at_s) if value else None
        elif record.key.startswith(LEARNED_PREFIX):
            self._apply_learned(record.key, value)
        elif record.key.startswith(BIRTH_PREFIX):
            self._apply_birth(record.key.removeprefix(BIRTH_PREFIX), value)
        elif record.key.startswith(NON_JOB_PREFIX):
            return
        elif value is None:
            self._remove_progress(record.key)
        else:
            self.statuses[record.key] = decode_status(value)
            self.progress[record.key] = value
            if self.statuses[record.key].final:
                self.costs.end(record.key)

    def _apply_learned(self, key: str, value: bytes | None) -> None:
        if value is None:
            self.learned.pop(key, None)
        else:
            self.learned[key] = value

    def _apply_birth(self, name: str, value: bytes | None) -> None:
        if value is None:
            self.births_ms.pop(name, None)
        else:
            self.births_ms[name] = decode(_birth_decoder, value)

    def _remove_progress(self, job_id: str) -> None:
        self.progress.pop(job_id, None)
        self.statuses.pop(job_id, None)

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status, or ``None`` if the job is not known."""
        if job_id not in self.jobs:
            return None
        status = self.statuses.get(job_id, JobStatus.QUEUED)
        if job_id in self.cancelled and not status.final:
            return JobStatus.CANCELLED
        return status

    def pending(self, queue_name: str) -> int:
        """
        Count a queue's jobs of which no worker is known to have started a task.

        Starts are stored before they are sent, so a job with a progress record may
        still wait: for its workers to answer, or for the holder to send them.
        """
        return sum(
            self.status(job_id) is JobStatus.QUEUED
            for job_id in self.by_queue.get(queue_name, ())
        )
