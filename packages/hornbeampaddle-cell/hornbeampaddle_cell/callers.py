"""
Answer callers: submit, query, cancel, count.

Any instance answers from its own view of the log. What it cannot know it says:
a refusal means that the job is certain not to run.
"""

from dataclasses import dataclass, replace

import structlog

from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.progress import JobStatus

from .appender import Appender, Stored
from .follower import Follower
from .ledger import Ledger, cancel_record, job_record
from .metrics import Metrics
from .ports import Clock
from .retries import retry_after_s
from .settings import InstanceSettings

log = structlog.get_logger()

# How long a query for an unknown job waits for a fresh read of the log: ten
# times a usual read.
FRESH_READ_S = 0.4


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored, now or before."""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The job is not stored and never runs from this request."""

    reason: str
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody can say yet; the same request may be repeated."""

    reason: str


@dataclass(frozen=True, slots=True)
class Gone:
    """No such job exists."""


Submitted = Accepted | NotAccepted | Unknown
Queried = JobStatus | Gone | NotAccepted
Cancelled = Accepted | Gone | NotAccepted | Unknown


class Callers:
    """The part of an instance that callers speak to."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        ledger: Ledger,
        jobs: Follower,
        progress: Follower,
        operator: Follower,
        appender: Appender,
        metrics: Metrics,
    ) -> None:
        """Keep the parts that answers are made of."""
        self.settings = settings
        self.clock = clock
        self.ledger = ledger
        self.jobs = jobs
        self.progress = progress
        self.operator = operator
        self.appender = appender
        self.metrics = metrics

    def fresh(self) -> bool:
        """Tell whether this instance's view of the log is recent."""
        age_s = max(self.jobs.age_s(), self.progress.age_s())
        return age_s < self.settings.stale_s

    def _answered(self, call: str, outcome: object, begun_s: float) -> None:
        took_s = self.clock.now_s() - begun_s
        name = type(outcome).__name__.lower()
        self.metrics.answered(call, name, took_s)

    async def submit(self, job: Job, deadline_s: float) -> Submitted:
        """Store a job, once for each id."""
        begun_s = self.clock.now_s()
        if job.job_id in self.ledger.jobs:
            log.info("submit: repeated", job=job.job_id)
            self._answered("submit", Accepted(), begun_s)
            return Accepted()
        if self.operator.age_s() >= self.settings.configuration_recent_s:
            # Guards against a job that runs on a queue which was closed, or for a
            # service which it left, while this instance could not read of it.
            age_s = round(self.operator.age_s(), 3)
            log.warning("submit: configuration too old", job=job.job_id, age_s=age_s)
            outcome: Submitted = self._refused("configuration_too_old")
            self._answered("submit", outcome, begun_s)
            return outcome
        job = replace(job, accepted_at_s=self.clock.wall_s())
        stored = await self.appender.put(job_record(job), deadline_s)
        took_s = round(self.clock.now_s() - begun_s, 4)
        log.info(
            "submit: answered",
            job=job.job_id,
            queue=job.queue.name,
            stored=stored.value,
            took_s=took_s,
        )
        outcome = self._submitted(stored)
        self._answered("submit", outcome, begun_s)
        return outcome

    async def _known(self, job_id: str) -> bool | None:
        """Tell whether a job exists; nothing if that cannot be known now."""
        if job_id in self.ledger.jobs:
            return True
        if not await self.jobs.catch_up(FRESH_READ_S):
            return None
        return job_id in self.ledger.jobs

    async def query(self, job_id: str) -> Queried:
        """Return a job's status."""
        begun_s = self.clock.now_s()
        outcome = await self._query(job_id)
        self._answered("query", outcome, begun_s)
        return outcome

    async def _query(self, job_id: str) -> Queried:
        known = await self._known(job_id)
        if known is None:
            log.warning("query: view too old", job=job_id, age_s=self.jobs.age_s())
            return self._refused("view_too_old")
        status = self.ledger.status(job_id)
        return status if status is not None else Gone()

    async def cancel(self, job_id: str, deadline_s: float) -> Cancelled:
        """Store a cancellation; the holder ends what runs."""
        begun_s = self.clock.now_s()
        outcome = await self._cancel(job_id, deadline_s)
        self._answered("cancel", outcome, begun_s)
        return outcome

    async def _cancel(self, job_id: str, deadline_s: float) -> Cancelled:
        known = await self._known(job_id)
        if known is None:
            return self._refused("view_too_old")
        if not known:
            return Gone()
        status = self.ledger.status(job_id)
        if status is not None and status.final:
            return Accepted()
        stored = await self.appender.put(cancel_record(job_id), deadline_s)
        log.info("cancel: answered", job=job_id, stored=stored.value)
        return self._submitted(stored)

    def pending(self, queue_name: str) -> int | None:
        """Count the jobs that wait; nothing if the view is too old."""
        return self.ledger.pending(queue_name) if self.fresh() else None

    def _submitted(self, stored: Stored) -> Submitted:
        """Return what a caller may be told of a record."""
        match stored:
            case Stored.YES:
                return Accepted()
            case Stored.NO:
                return self._refused("store_unavailable")
            case Stored.UNKNOWN:
                return Unknown("store_gave_no_answer")

    def _refused(self, reason: str) -> NotAccepted:
        followers = (self.jobs, self.progress, self.operator)
        outage_s = min(follower.age_s() for follower in followers)
        return NotAccepted(reason, retry_after_s(outage_s))
