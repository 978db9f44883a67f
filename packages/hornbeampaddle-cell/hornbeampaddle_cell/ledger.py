"""
Keep the newest record of each job, as any instance reads it from the log.

Every instance has one, so every instance answers callers, and whoever becomes
the holder starts from it.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.progress import JobStatus, decode_status

from .ports import Keyed
from .unreadable import Unreadable

CANCEL_MARK = "x"
# Records of the log of progress that are no job's begin with this.
SPECIAL_MARK = "."
INTERFERENCE_KEY = ".interference"
LAPSES_KEY = ".lapses"
SWINGS_KEY = ".swings"
_job_decoder = msgspec.msgpack.Decoder(Job)
_job_encoder = msgspec.msgpack.Encoder()
_lapses_decoder = msgspec.msgpack.Decoder(dict[str, float])
_slopes_decoder = msgspec.msgpack.Decoder(dict[str, dict[str, float]])
_period_decoder = msgspec.msgpack.Decoder(float)


class Change(Enum):
    """What a record of the log of jobs was."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    FORGOTTEN = "forgotten"
    REPEATED = "repeated"
    UNREADABLE = "unreadable"


def job_record(job: Job) -> Keyed:
    """Return the record by which a job is accepted."""
    return Keyed(job.job_id, _job_encoder.encode(job))


def slopes_record(slopes: dict[str, dict[str, float]]) -> Keyed:
    """Return the record of what was learned of pairs of images."""
    return Keyed(INTERFERENCE_KEY, msgspec.msgpack.encode(slopes))


def period_record(period_s: float) -> Keyed:
    """Return the record of the period that users' loads share."""
    return Keyed(SWINGS_KEY, msgspec.msgpack.encode(period_s))


def lapses_record(left_s: dict[str, float]) -> Keyed:
    """Return the record that says how long the leases of silent workers may last."""
    return Keyed(LAPSES_KEY, msgspec.msgpack.encode(left_s))


def cancel_record(job_id: str) -> Keyed:
    """Return the record by which a job is cancelled."""
    return Keyed(CANCEL_MARK + job_id, b"1")


@dataclass(slots=True)
class Ledger:
    """Jobs, cancellations and progress by job id."""

    jobs: dict[str, Job] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    progress: dict[str, bytes] = field(default_factory=dict)
    # What the holder has learned: slopes of pairs of images, and the period that users'
    # loads share, if one was found.
    slopes: dict[str, dict[str, float]] = field(default_factory=dict)
    period_s: float | None = None
    # When the leases of silent workers are over, by this instance's clock. It is
    # counted from the time at which the record was read: after it was written, so
    # that the leases end no later.
    lapses_at_s: dict[str, float] = field(default_factory=dict)
    by_queue: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    unreadable_jobs: Unreadable = field(default_factory=lambda: Unreadable("jobs"))
    unreadable_progress: Unreadable = field(
        default_factory=lambda: Unreadable("progress")
    )

    def take_job(self, record: Keyed) -> tuple[Change, str]:
        """Take in a record of the log of jobs."""
        if record.key.startswith(CANCEL_MARK):
            job_id = record.key[len(CANCEL_MARK) :]
            if record.value is None:
                self.cancelled.discard(job_id)
                return Change.FORGOTTEN, job_id
            self.cancelled.add(job_id)
            return Change.CANCELLED, job_id
        job_id = record.key
        if record.value is None:
            self._forget(job_id)
            return Change.FORGOTTEN, job_id
        if job_id in self.jobs:
            # The first record of an id is the job; another instance took in
            # the same request again.
            return Change.REPEATED, job_id
        try:
            job = _job_decoder.decode(record.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.unreadable_jobs.note(job_id, str(error))
            return Change.UNREADABLE, job_id
        self.jobs[job_id] = job
        self.by_queue[job.queue.name].add(job_id)
        return Change.ACCEPTED, job_id

    def _forget(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self.by_queue[job.queue.name].discard(job_id)
        self.progress.pop(job_id, None)
        self.cancelled.discard(job_id)

    def take_progress(self, record: Keyed, read_at_s: float) -> None:
        """Take in a record of the log of progress, read at a local time."""
        try:
            self._take_progress(record, read_at_s)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            # Guards against a job that begins anew, or a holder that ends: what was
            # read of the key before holds.
            self.unreadable_progress.note(record.key, str(error))

    def _take_progress(self, record: Keyed, read_at_s: float) -> None:
        value = record.value
        if record.key == LAPSES_KEY:
            left_s = _lapses_decoder.decode(value) if value else {}
            self.lapses_at_s = {name: read_at_s + s for name, s in left_s.items()}
        elif record.key == INTERFERENCE_KEY:
            self.slopes = _slopes_decoder.decode(value) if value else {}
        elif record.key == SWINGS_KEY:
            self.period_s = _period_decoder.decode(value) if value else None
        elif record.key.startswith(SPECIAL_MARK):
            return
        elif value is None:
            self.progress.pop(record.key, None)
        else:
            # Read for its form alone: what can be read now can be read later.
            decode_status(value)
            self.progress[record.key] = value

    def status(self, job_id: str) -> JobStatus | None:
        """Return a job's status, or nothing if it is not known."""
        if job_id not in self.jobs:
            return None
        value = self.progress.get(job_id)
        status = decode_status(value) if value is not None else JobStatus.QUEUED
        if job_id in self.cancelled and not status.final:
            return JobStatus.CANCELLED
        return status

    def pending(self, queue_name: str) -> int:
        """Count a queue's jobs of which nothing has started."""
        return sum(
            1
            for job_id in self.by_queue.get(queue_name, ())
            if job_id not in self.progress and job_id not in self.cancelled
        )
