"""
Answer callers' requests to submit, query, cancel and count jobs.

Any instance answers from its own view of the log, and says so when it cannot know the
answer. A refused submission means that the job is certain not to run from it.
"""

import math
from dataclasses import dataclass, replace

import structlog

from hornbeampaddle.cell.jobs import Job
from hornbeampaddle.cell.progress import JobStatus

from .admission import Refuse
from .appender import Appender
from .follower import Follower
from .job_costs import CostGate, TooCostly, excess
from .ledger import Ledger, cancel_record, job_record
from .load_gate import LoadGate
from .metrics import Metrics
from .ports import Clock
from .relay_messages import Stored
from .retries import RETRY_LATER_S, retry_after_s
from .settings import InstanceSettings

log = structlog.get_logger()

# How long a query for an unknown job waits for a fresh read of the log: ten times the
# usual duration of a read.
FRESH_READ_TIMEOUT_S = 0.4


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request took effect, now or by an earlier call."""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The request is refused and not stored; a job never runs from it."""

    reason: str
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is not known yet; the same request may be repeated."""

    reason: str


@dataclass(frozen=True, slots=True)
class Gone:
    """No such job exists."""


Submitted = Accepted | NotAccepted | TooCostly | Unknown
Queried = JobStatus | Gone | NotAccepted
Cancelled = Accepted | Gone | NotAccepted | Unknown


class CallerApi:
    """The operations that an instance offers to callers."""

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
        load_gate: LoadGate,
        cost_gate: CostGate,
    ) -> None:
        """Store the components that answers are computed from."""
        self.settings = settings
        self.clock = clock
        self.ledger = ledger
        self.jobs = jobs
        self.progress = progress
        self.operator = operator
        self.appender = appender
        self.metrics = metrics
        self.load_gate = load_gate
        self.cost_gate = cost_gate

    def fresh(self) -> bool:
        """Return whether the views of jobs and progress are recent."""
        age_s = max(self.jobs.age_s(), self.progress.age_s())
        return age_s < self.settings.stale_s

    def _record_answer(self, call: str, outcome: object, started_s: float) -> None:
        took_s = self.clock.now_s() - started_s
        name = type(outcome).__name__.lower()
        self.metrics.answered(call, name, took_s)

    async def submit(self, job: Job, deadline_s: float) -> Submitted:
        """Store a job, once for each id."""
        started_s = self.clock.now_s()
        if job.job_id in self.ledger.jobs:
            log.info("submit: repeated", job=job.job_id)
            self._record_answer("submit", Accepted(), started_s)
            return Accepted()
        if refused := await self._refuse_for_cost(job):
            self._record_answer("submit", refused, started_s)
            return refused
        if self.operator.age_s() >= self.settings.configuration_recent_s:
            # The queue may have been closed, or moved to another service, while this
            # instance could not read the operator's log; the job must not run then.
            age_s = round(self.operator.age_s(), 3)
            log.warning("submit: configuration too old", job=job.job_id, age_s=age_s)
            outcome: Submitted = self._refused("configuration_too_old")
            self._record_answer("submit", outcome, started_s)
            return outcome
        if refused := await self._refuse_for_load(job):
            self._record_answer("submit", refused, started_s)
            return refused
        job = replace(job, accepted_at_s=self.clock.wall_s())
        self.cost_gate.storing(job)
        stored = await self.appender.put(job_record(job), deadline_s)
        if stored is Stored.NO:
            self.cost_gate.not_stored(job.job_id)
        took_s = round(self.clock.now_s() - started_s, 4)
        log.info(
            "submit: answered",
            job=job.job_id,
            queue=job.queue.name,
            stored=stored.value,
            took_s=took_s,
        )
        outcome = self._submitted(stored)
        self._record_answer("submit", outcome, started_s)
        return outcome

    async def _refuse_for_cost(self, job: Job) -> Submitted | None:
        """
        Return the answer to a job that can't be kept, None if it can.

        As for load, a job that is stored already is not refused for want of room.
        """
        too_costly = excess(job, job_record(job), self.settings)
        if too_costly is not None:
            return self._refuse_costly(job, too_costly.what, too_costly)
        if self.cost_gate.admits(job) or self.appender.has(job.job_id):
            return None
        if not await self.jobs.catch_up(FRESH_READ_TIMEOUT_S):
            return self._refused("view_too_old")
        if job.job_id in self.ledger.jobs:
            log.info("submit: repeated", job=job.job_id)
            return Accepted()
        no_room = NotAccepted("no_room_for_jobs", RETRY_LATER_S)
        return self._refuse_costly(job, no_room.reason, no_room)

    def _refuse_costly(
        self, job: Job, reason: str, outcome: TooCostly | NotAccepted
    ) -> TooCostly | NotAccepted:
        self.metrics.refusals.labels(reason, job.queue.name).inc()
        log.info("submit: refused for cost", job=job.job_id, outcome=repr(outcome))
        return outcome

    async def _refuse_for_load(self, job: Job) -> Submitted | None:
        """
        Return the answer to a job without a chance, None if it is to be stored.

        Guards against a refusal of a job that is stored: an earlier request with its id
        may have got no answer from another instance, whose record this one has not read
        yet, or from this one, which may still be storing it. If that cannot be ruled
        out now, the job is stored, for which a repeat makes no difference.
        """
        age_s = self.load_gate.age_s()
        if math.isfinite(age_s):
            self.metrics.backlog_age_seconds.observe(age_s)
        if not isinstance(self.load_gate.decide(job), Refuse):
            return None
        if self.appender.has(job.job_id):
            return None
        if not await self.jobs.catch_up(FRESH_READ_TIMEOUT_S):
            return None
        if job.job_id in self.ledger.jobs:
            log.info("submit: repeated", job=job.job_id)
            return Accepted()
        # Decided anew: the read took its time.
        decision = self.load_gate.decide(job)
        if not isinstance(decision, Refuse) or self.appender.has(job.job_id):
            return None
        retry_after_s = self.load_gate.retry_after_s(job, decision)
        log.info(
            "submit: refused for load",
            job=job.job_id,
            queue=job.queue.name,
            reason=decision.reason,
            wait_s=round(decision.wait_s, 3),
            limit_s=round(decision.limit_s, 3),
            retry_after_s=retry_after_s,
            age_s=round(age_s, 3),
        )
        self.metrics.refusals.labels(decision.reason, job.queue.name).inc()
        return NotAccepted(decision.reason, retry_after_s)

    async def _job_exists(self, job_id: str) -> bool | None:
        """Return whether a job exists; ``None`` if that cannot be known now."""
        if job_id in self.ledger.jobs:
            return True
        if not await self.jobs.catch_up(FRESH_READ_TIMEOUT_S):
            return None
        return job_id in self.ledger.jobs

    async def query(self, job_id: str) -> Queried:
        """Return a job's status."""
        started_s = self.clock.now_s()
        outcome = await self._query(job_id)
        self._record_answer("query", outcome, started_s)
        return outcome

    async def _query(self, job_id: str) -> Queried:
        known = await self._job_exists(job_id)
        if known is None:
            log.warning("query: view too old", job=job_id, age_s=self.jobs.age_s())
            return self._refused("view_too_old")
        status = self.ledger.status(job_id)
        return status if status is not None else Gone()

    async def cancel(self, job_id: str, deadline_s: float) -> Cancelled:
        """Store a cancellation; the holder then stops the job's runs."""
        started_s = self.clock.now_s()
        outcome = await self._cancel(job_id, deadline_s)
        self._record_answer("cancel", outcome, started_s)
        return outcome

    async def _cancel(self, job_id: str, deadline_s: float) -> Cancelled:
        known = await self._job_exists(job_id)
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
        """Count a queue's jobs without a start; ``None`` if the view is too old."""
        return self.ledger.pending(queue_name) if self.fresh() else None

    def _submitted(self, stored: Stored) -> Accepted | NotAccepted | Unknown:
        """Return the answer to a caller whose record was given to the appender."""
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
