"""
Schedule the jobs of one cell on its workers.

The instance that holds a cell owns one ``Scheduler``. The scheduler receives jobs,
cancellations, the list of workers and the workers' answers; ``decide`` returns the
records to store and the orders to send. It uses no socket and no clock.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from ..clocks import RemoteClock
from ..machines import Address
from ..resources import NOTHING
from . import crashes, dispatch, moving, pacing, preempting, restarts
from .advice import AdviceCache, Allowance
from .backlog import BacklogMeter
from .effects import Decision, LogEntry, PaceOrder, StopOrder
from .health import HealthJudge
from .incarnations import Incarnations, WorkerId
from .intake import ReportIntake
from .interference import Interference
from .jobs import Job, Queue, StepKey, TaskKey
from .kept_room import KeptRoom
from .lapses import LeaseLapses
from .late_starts import LateStarts
from .learned import (
    RUN_TIMES_KEY,
    URGENT_DEMAND_KEY,
    Learner,
    UnusableRecordError,
)
from .orders import OrderTracker
from .outlook import Outlook, waiting_shares
from .polling import Polling
from .progress import (
    JobState,
    JobStatus,
    Run,
    RunPhase,
    StepState,
    Task,
    encode,
    restore,
)
from .run_times import RunTimes
from .sampling import Sampler
from .separating import Separator
from .settings import CellSettings
from .unconfirmed import UnconfirmedEntries
from .urgency import MeanWork
from .urgent_demand import UrgentDemand
from .waiting import WaitReason, WaitTracker
from .workers import WorkerListing, WorkerState

# Added to the bound on a lease's end: orders have a network delay, and deadlines are
# rounded.
LEASE_MARGIN_S = 0.2
# Lifetime of the cached outlook on the workers' headroom for fillers: users' loads
# swing over several seconds.
OUTLOOK_CACHE_S = 0.4
# Number of recent worker silences kept: a quarter of the largest cell's workers may
# stop answering at the same moment.
RECENT_SILENCES_MAX = 128
# Largest view age at which running tasks are displaced, as a fraction of its maximum
# age for starts. A stop takes up to 0.9 s and a start about as long; half of the
# shortest maximum age of a view is left for them.
DISPLACE_VIEW_AGE_RATIO = 0.5
# Placeholder address of a worker that is known only from an old record.
NO_ADDRESS = Address("", 0)


class Scheduler:
    """The state of one cell and the decisions on it."""

    def __init__(
        self, settings: CellSettings, log: Callable[[LogEntry], None] | None = None
    ) -> None:
        """Start with no job and no worker."""
        self.settings = settings
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[WorkerId, WorkerState] = {}
        self.incarnations = Incarnations()
        # Time as of which the list of workers is complete; infinite if no list is
        # followed.
        self.list_complete_at_s = float("inf")
        # Data centres in which no task may start, and the time as of which this set is
        # complete; that time is infinite if the operator's log is not followed.
        self.evacuated: frozenset[str] = frozenset()
        self.evacuations_complete_at_s = float("inf")
        # The most recent workers that stopped answering, each with the time.
        self.recent_silences: deque[tuple[WorkerId, float]] = deque(
            maxlen=RECENT_SILENCES_MAX
        )
        self.open_jobs: dict[str, JobState] = {}
        self.dirty: set[str] = set()
        self._newly_active: set[str] = set()
        self.advice = AdviceCache()
        self.queues: dict[str, Queue] = {}
        self.log = log or _discard_log_entry
        self.stops: list[StopOrder] = []
        self.model = Interference()
        self.moves_checked_at_s = float("-inf")
        self.pacer = pacing.Pacer(settings, self.model)
        self.separator = Separator(self)
        self.sampler = Sampler()
        self.polling = Polling(settings)
        self.waits = WaitTracker()
        self.mean_work = MeanWork()
        self.run_times = RunTimes(settings)
        # What the next holder goes on with, by the key of its record.
        self.learners: dict[str, Learner] = {RUN_TIMES_KEY: self.run_times}
        self.urgent_demand = UrgentDemand(settings.stop_s, WaitReason.NO_ROOM.value)
        self.kept_room = KeptRoom()
        if settings.keeps_urgent_room:
            self.learners[URGENT_DEMAND_KEY] = self.urgent_demand
        self.backlog = BacklogMeter(settings)
        self.lapses = LeaseLapses()
        self.late_starts = LateStarts(self)
        self.unconfirmed = UnconfirmedEntries(self)
        self._outlook: Outlook | None = None
        self._outlook_until_s = float("-inf")
        # Cache for one decision: each of hundreds of waiting jobs reads these.
        self._use_ratios: dict[str, float] = {}
        # The two latest acceptances of jobs that are not lasting, latest first.
        self._recent_acceptances: list[tuple[float, str]] = []
        self.intake = ReportIntake(self)
        self.orders = OrderTracker(self)
        self.health = HealthJudge(self)

    def inherit_learned(self, records: Mapping[str, bytes]) -> None:
        """Let each learner go on from its stored record, if it can be used."""
        for key, learner in self.learners.items():
            value = records.get(key)
            if value is None:
                continue
            try:
                learner.inherit(value)
            except UnusableRecordError as error:
                detail: dict[str, object] = {"record": key, "error": str(error)}
                self.log(LogEntry("learned_record_unusable", "", detail))

    # Jobs

    def add_job(
        self, job: Job, progress: bytes | None, accepted_at_s: float, now_s: float
    ) -> None:
        """
        Add a job with its stored progress; idempotent.

        ``accepted_at_s`` is a local time, in the past for an old job. The leases of
        inherited attempts are counted from ``now_s``, never from that time.
        """
        if job.job_id in self.jobs:
            return
        births_ms = self.incarnations.stored_births_ms
        state = restore(job, progress, accepted_at_s, births_ms)
        state.times = self.run_times
        self.jobs[job.job_id] = state
        self.late_starts.inherit(state, now_s)
        if not job.lasting:
            newest = [*self._recent_acceptances, (accepted_at_s, job.job_id)]
            self._recent_acceptances = sorted(newest, reverse=True)[:2]
            self.mean_work.add(state)
        for run in state.runs():
            self._inherit(run, now_s)
            if state.status.final:
                # Guards against a task that keeps running after its job was cancelled
                # because its stop was lost with the previous holder: for this holder
                # the job has already ended, and until a report arrives nothing else
                # would order the stop.
                self.stop(run, "job_ended")
        if state.status.final and not state.runs():
            state.finished_at_s = now_s
        else:
            self.open_jobs[job.job_id] = state

    def _inherit(self, run: Run, now_s: float) -> None:
        worker = self.workers.get(run.worker_id)
        if worker is None:
            # Guards against a duplicate run of a task that an unreachable worker
            # still runs: the attempt counts as running until the longest possible
            # lease has expired or the worker has answered.
            listing = WorkerListing(run.worker_id, "", NO_ADDRESS, "", NOTHING)
            worker = self._new_worker(listing)
            worker.listed = False
            self._inherit_lease(worker, now_s)
        worker.add(run)

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if its job is not known or has no such task."""
        state = self.jobs.get(key.job_id)
        return state.task(key) if state is not None else None

    def step(self, key: TaskKey) -> StepState | None:
        """Return the step of a task, or None if its job has no such task."""
        if self.task(key) is None:
            return None
        return self.jobs[key.job_id].occurrences[key.occurrence][key.step]

    def cancel(self, job_id: str, now_s: float) -> None:
        """Cancel a job and stop its runs; unknown and ended jobs are unchanged."""
        state = self.jobs.get(job_id)
        if state is None or state.cancelled:
            return
        state.cancelled = True
        if not state.status.final:
            self.finish(state, JobStatus.CANCELLED, now_s, "cancelled")

    def forget(self, job_id: str) -> None:
        """Remove a finished job from memory."""
        state = self.jobs.pop(job_id, None)
        if state is not None:
            self._close_advice(state)
        self.open_jobs.pop(job_id, None)
        self.dirty.discard(job_id)

    # Workers

    def list_worker(self, listing: WorkerListing, now_s: float) -> WorkerState | None:
        """
        Add or update one worker from the list of workers.

        Returns None if the entry was written by an earlier incarnation, or states a
        birth that the worker has to confirm.
        """
        worker_id = listing.worker_id
        if self.incarnations.outdated(worker_id):
            self.log(LogEntry("listing_outdated", "", {"worker": worker_id}))
            return None
        if self.unconfirmed.put_off(listing, now_s):
            return None
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = self.begin_incarnation(listing, now_s)
            self.log(LogEntry("worker_listed", "", {"worker": worker_id}))
        was_draining = worker.listing.draining
        shrank = not worker.listing.capacity.fits_in(listing.capacity)
        worker.update_listing(listing)
        worker.listed = True
        self._take_evacuation(worker)
        if shrank:
            self._handle_shrink(worker)
        if listing.draining and not was_draining:
            self._stop_for_drain(worker)
        return worker

    def begin_incarnation(self, listing: WorkerListing, now_s: float) -> WorkerState:
        """Add a worker; an earlier incarnation of it has ended."""
        earlier_id = self.incarnations.current(listing.worker_id.name)
        worker = self._new_worker(listing)
        worker.listed_at_s = now_s
        self._inherit_lease(worker, now_s)
        if earlier_id is not None:
            self.worker_ended(earlier_id, now_s, "restarted", worker)
        return worker

    def may_start(self, now_s: float) -> bool:
        """
        Return whether the views of workers and evacuations are recent enough to start.

        Guards against overloaded workers and against tasks that start in a data centre
        that is being evacuated: this instance may be unable to read such changes
        although it can read everything else.
        """
        return self._views_age_ratio(now_s) <= 1.0

    def may_displace(self, now_s: float) -> bool:
        """
        Return whether healthy runs may be stopped so that tasks can start elsewhere.

        Guards against lasting tasks that are stopped just before starts are suspended,
        and then wait for as long as the views stay out of date.
        """
        return self._views_age_ratio(now_s) <= DISPLACE_VIEW_AGE_RATIO

    def _views_age_ratio(self, now_s: float) -> float:
        """Return the age of the older view, as a fraction of its maximum age."""
        list_age_s = now_s - self.list_complete_at_s
        evacuations_age_s = now_s - self.evacuations_complete_at_s
        return max(
            list_age_s / self.settings.list_recent_s,
            evacuations_age_s / self.settings.evacuations_recent_s,
        )

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Set the data centres in which no task may start."""
        self.evacuated = data_centres
        for worker in self.workers.values():
            self._take_evacuation(worker)

    def _take_evacuation(self, worker: WorkerState) -> None:
        evacuated = worker.listing.data_centre in self.evacuated
        if evacuated == worker.evacuated:
            return
        worker.evacuated = evacuated
        if evacuated:
            self._withdraw_starts(worker, "evacuated")

    def unlist_worker(self, name: str) -> None:
        """Mark a worker as absent from the list of workers."""
        self.unconfirmed.forget(name)
        worker_id = self.incarnations.current(name)
        worker = self.workers.get(worker_id) if worker_id is not None else None
        if worker is not None and worker.listed:
            worker.listed = False
            self.log(LogEntry("worker_unlisted", "", {"worker": worker_id}))

    def worker_ended(
        self,
        worker_id: WorkerId,
        now_s: float,
        why: str,
        successor: WorkerState | None = None,
    ) -> None:
        """
        Release all runs of a worker whose process has certainly ended.

        If it has started again under its id, runs whose starts may still be carried out
        stay booked on its ``successor``.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.gone = True
        detail: dict[str, object] = {
            "worker": worker_id,
            "why": why,
            "runs": len(worker.runs),
        }
        self.log(LogEntry("worker_ended", "", detail))
        if successor is not None:
            detail["successor"] = successor.worker_id
        self._release_lost_runs(worker, now_s, f"worker_{why}", successor)
        del self.workers[worker_id]
        self.incarnations.end(worker_id)

    def _release_lost_runs(
        self,
        worker: WorkerState,
        now_s: float,
        why: str,
        successor: WorkerState | None = None,
    ) -> None:
        """Release the runs of a lost worker; detect whether a task crashed it."""
        # A listed worker is still alive to the list of workers, even if it does not
        # answer here, and a draining worker was about to exit.
        crashed = worker.gone or not worker.listed
        if not worker.worker_id.birth_known and worker.last_report_at_s == -math.inf:
            # Known only from a record without births: its successor may be the worker
            # that the record names.
            crashed = crashed and successor is None
        failing: list[JobState] = []
        if crashed and not worker.listing.draining:
            failing = crashes.count(self, worker, now_s)
        if successor is not None:
            restarts.allow_for_late_renewals(self.settings, worker, successor)
            restarts.carry_over(self, worker, successor, now_s)
        for run in worker.all_runs():
            self.release(run, now_s, why)
        crashes.fail_jobs(self, failing, now_s)

    def _new_worker(self, listing: WorkerListing) -> WorkerState:
        clock = RemoteClock(self.settings.clock_error_ratio)
        worker = WorkerState(listing, clock)
        self.workers[listing.worker_id] = worker
        self.incarnations.begin(listing.worker_id)
        return worker

    def _lease_bound_s(self) -> float:
        """Return the local duration after which a lease granted now has expired."""
        lease_s = self.settings.lease_s * (1 + self.settings.clock_error_ratio)
        return lease_s + LEASE_MARGIN_S

    def _stop_for_drain(self, worker: WorkerState) -> None:
        # A draining worker ends all its runs when it exits. Runs that would not finish
        # by themselves, and runs that save checkpoints, move now with their checkpoint
        # instead of being lost later.
        self.log(LogEntry("worker_draining", "", {"worker": worker.worker_id}))
        for run in list(worker.runs.values()):
            if run.step.lasting or run.step.saves_checkpoints:
                self.stop(run, "worker_draining")

    def _handle_shrink(self, worker: WorkerState) -> None:
        """Withdraw starts if the booked runs exceed a worker's reduced capacity."""
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "cpu_millis": worker.listing.capacity.cpu_millis,
            "taken_cpu_millis": worker.taken.cpu_millis,
        }
        self.log(LogEntry("worker_shrank", "", detail))
        if not worker.taken.fits_in(worker.listing.capacity):
            self._withdraw_starts(worker, "worker_shrank")

    def _withdraw_starts(self, worker: WorkerState, why: str) -> None:
        """
        Stop the attempts on a worker whose starts are unanswered.

        Guards against a start that is carried out on a worker that may not take it by
        then: an unanswered start is sent again until it is carried out, which may be
        long after the worker was chosen. All of them are stopped, since any of them may
        be carried out before its stop. Running tasks stay: they were started while that
        was allowed.
        """
        for run in list(worker.runs.values()):
            if run.phase in (RunPhase.RECORDING, RunPhase.SENDING):
                self.stop(run, why)

    def _inherit_lease(self, worker: WorkerState, now_s: float) -> None:
        # The previous holder may renew leases for ``renew_on_s`` after its own term
        # has lapsed.
        bound_s = now_s + self._lease_bound_s() + self.settings.renew_on_s
        worker.lease_over_at_s = self.lapses.inherited_over_at_s(
            worker.worker_id, bound_s
        )

    def expire(self, now_s: float) -> None:
        """Release the runs of workers whose lease has certainly expired."""
        for worker in list(self.workers.values()):
            over_at_s = worker.lease_over_at_s
            if worker.all_runs():
                over_at_s = worker.runs_over_at_s()
            if now_s < over_at_s:
                continue
            if worker.runs:
                self._log_lease_over(worker, now_s)
                self._release_lost_runs(worker, now_s, "lease_over")
            worker.reported = False
            if not worker.listed:
                del self.workers[worker.worker_id]
                self.incarnations.remove(worker.worker_id)

    def _log_lease_over(self, worker: WorkerState, now_s: float) -> None:
        detail: dict[str, object] = {"worker": worker.worker_id}
        if worker.granted_deadline_s is not None:
            detail["granted_deadline_s"] = round(worker.granted_deadline_s, 3)
        if math.isfinite(worker.last_report_at_s):
            detail["report_age_s"] = round(now_s - worker.last_report_at_s, 3)
        self.log(LogEntry("lease_over", "", detail))

    def lease_deadline(self, worker_id: WorkerId, now_s: float) -> float | None:
        """
        Return the deadline, on the worker's clock, of a lease that begins now.

        Returns None before the worker's clock is known. A silent worker gets its last
        granted deadline again, and so does a worker whose lease is running out
        according to a stored record; for the latter it is None if this holder has not
        granted one yet. The local time by which the lease has expired is kept for
        ``expire``.
        """
        worker = self.workers[worker_id]
        deadline_s = self._lease_deadline(worker, now_s)
        if deadline_s is not None:
            worker.renewed_at_s = now_s
        return deadline_s

    def _lease_deadline(self, worker: WorkerState, now_s: float) -> float | None:
        if not worker.clock.known:
            return None
        if worker.silent and worker.granted_deadline_s is not None:
            # Guards against a dead worker that keeps its tasks forever: any order
            # may have arrived, so a new deadline in each order would postpone the end
            # of the lease again and again. A silent worker is only sent the deadline
            # that it may already know.
            return worker.granted_deadline_s
        if self.lapses.running_out(worker.worker_id):
            return worker.granted_deadline_s
        over_at_s = now_s + self._lease_bound_s() + self.settings.answer_timeout_s
        worker.lease_over_at_s = max(worker.lease_over_at_s, over_at_s)
        worker.granted_deadline_s = worker.clock.remote_deadline_before(
            now_s + self.settings.lease_s
        )
        return worker.granted_deadline_s

    def worker_silent(self, worker_id: WorkerId, now_s: float) -> None:
        """Mark a worker as not answering; its lease is not renewed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.silent = True
            if worker.silent_since_s is None:
                worker.silent_since_s = now_s
                self.recent_silences.append((worker_id, now_s))

    def use_ratio(self, service: str) -> float:
        """Return the reserved fraction of a service's CPU at the decision's start."""
        ratio = self._use_ratios.get(service)
        if ratio is None:
            ratio = self._use_ratios[service] = self._use_ratio(service)
        return ratio

    def _use_ratio(self, service: str) -> float:
        workers = [
            w
            for w in self.workers.values()
            if w.reported
            and not w.gone
            and not w.evacuated
            and w.listing.service == service
        ]
        total = sum(w.listing.capacity.cpu_millis for w in workers)
        return sum(w.taken.cpu_millis for w in workers) / total if total else 1.0

    def outlook(self, now_s: float) -> Outlook | None:
        """Return the headroom outlook for waiting fillers, or None if none waits."""
        if now_s >= self._outlook_until_s:
            shares = waiting_shares(self.open_jobs.values())
            self._outlook = Outlook(self.model, shares, now_s) if shares else None
            self._outlook_until_s = now_s + OUTLOOK_CACHE_S
        return self._outlook

    def since_last_arrival_s(self, job_id: str, now_s: float) -> float:
        """Return the time since another job that is not lasting was accepted."""
        others = [at_s for at_s, other in self._recent_acceptances if other != job_id]
        return now_s - max(others, default=float("-inf"))

    def service_of(self, job: Job) -> str:
        """Return the service that runs a job under the newest configuration."""
        return self._queue_of(job).service

    def advised(self, job: Job) -> bool:
        """
        Return whether a job's queue requires advice under the newest configuration.

        The stored job may predate the advice setting of its queue, and workers would
        refuse every start without a ticket.
        """
        return self._queue_of(job).advice is not None

    def _queue_of(self, job: Job) -> Queue:
        return self.queues.get(job.queue.name, job.queue)

    def release(self, run: Run, now_s: float, why: str) -> None:
        """Release an attempt's room; requeue its task if this is its current run."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        task = self.task(run.key)
        if task is None or task.run is not run:
            return
        if run.may_arrive:
            self.late_starts.note(run, now_s)
        unanswered = worker is not None and worker.has_unanswered(run)
        if task.late_start_open and (run.may_arrive or unanswered):
            task.late_worker_name = run.worker_id.name
        task.run = None
        task.ended_at_s = now_s
        task.last_worker_id = run.worker_id
        if run.checkpoint:
            task.checkpoint = run.checkpoint
        self.dirty.add(run.key.job_id)
        detail: dict[str, object] = {
            "task": run.key,
            "run": run.number,
            "worker": run.worker_id,
            "why": why,
            "reported": run.reported,
        }
        # The age of a run that an earlier holder started is unknown.
        if math.isfinite(run.sent_at_s):
            lost_at_s = worker.lost_at_s(now_s) if worker is not None else now_s
            detail["lost_after_s"] = round(lost_at_s - run.sent_at_s, 3)
        self.log(LogEntry("run_released", run.key.job_id, detail))

    # Attempts

    def booked(self, run: Run) -> bool:
        """Return whether an attempt still occupies room on its worker."""
        worker = self.workers.get(run.worker_id)
        return worker is not None and worker.books(run)

    def stop(self, run: Run, reason: str) -> None:
        """Order a worker to stop an attempt, unless it is already being stopped."""
        if run.phase is RunPhase.STOPPING:
            return
        if run.phase is RunPhase.RECORDING:
            run.stop_reason = reason
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        detail: dict[str, object] = {
            "task": run.key,
            "run": run.number,
            "worker": run.worker_id,
            "why": reason,
        }
        self.log(LogEntry("stop", run.key.job_id, detail))
        self.stops.append(StopOrder(run, run.worker_id, reason))

    # Status and decisions

    def mark_active(self, job_id: str) -> None:
        """Show a job as active as soon as a worker is known to have started a task."""
        state = self.jobs.get(job_id)
        if state is not None and state.status is JobStatus.QUEUED:
            state.status = JobStatus.ACTIVE
            self._newly_active.add(job_id)

    def take_newly_active(self) -> dict[str, bytes]:
        """
        Return the records of jobs that have become active and are not stored as such.

        Nothing depends on them but what callers see, so they wait for the next append.
        """
        states = [self.jobs.get(job_id) for job_id in self._newly_active]
        self._newly_active.clear()
        return {s.job.job_id: encode(s) for s in states if s is not None}

    def finish(
        self, state: JobState, status: JobStatus, now_s: float, why: str
    ) -> None:
        """Set a job's final status and stop its runs."""
        state.status = status
        state.finished_at_s = now_s
        self.dirty.add(state.job.job_id)
        detail: dict[str, object] = {
            "status": status.name.lower(),
            "why": why,
            "age_s": round(now_s - state.accepted_at_s, 3),
            "waited_s": {k: round(v, 3) for k, v in state.waited_s.items() if v},
        }
        if not state.job.lasting and not state.job.repeat_count:
            chain_s = self.run_times.taken_chain_s(state.job)
            detail["objective_s"] = round(state.job.objective_s(chain_s), 3)
            detail["estimated_s"] = round(state.job.objective_s(), 3)
        self.log(LogEntry("job_finished", state.job.job_id, detail))
        self._close_advice(state)
        self.run_times.forget_job(state.job)
        for run in state.runs():
            self.stop(run, why)

    def _close_advice(self, state: JobState) -> None:
        for steps in state.occurrences.values():
            for step in steps:
                self.advice.forget_step(step.key)

    def take_advice(
        self, key: StepKey, allowance: Allowance | None, now_s: float
    ) -> None:
        """
        Store the advice service's answer about a step; None if it did not answer.

        Guards against an ``AdviceBook`` that grows with every job: an answer that
        arrives after the step is done or its job has ended is dropped, as the earlier
        advice on it is.
        """
        state = self.open_jobs.get(key.job_id)
        if state is None or state.status.final:
            return
        if not state.occurrences[key.occurrence][key.step].done:
            self.advice.answer(key, allowance, now_s)

    def decide(self, now_s: float, wall_s: float) -> Decision:
        """Place waiting tasks; return the records to store and orders to send."""
        self._use_ratios.clear()
        self.expire(now_s)
        self.health.review(now_s)
        self.polling.count(self.workers.values(), now_s)
        self.model.solve(now_s)
        self.late_starts.expire(now_s)
        decision = Decision()
        if self.settings.keeps_urgent_room:
            preempting.keep_room(self, now_s)
        if self.may_displace(now_s):
            moving.move_slow_fillers(self, now_s)
            self.separator.separate(now_s)
        if self.may_start(now_s):
            dispatch.place(self, decision, now_s, wall_s)
        if self.may_displace(now_s):
            preempting.make_room_ahead(self, now_s)
        decision.stops = self.take_stops(now_s)
        decision.paces = self.pacer.take_orders()
        for order in decision.paces:
            self._log_pace(order)
        for job_id in self.dirty:
            state = self.jobs.get(job_id)
            if state is not None:
                decision.records[job_id] = encode(state)
        self._newly_active -= self.dirty
        self.dirty.clear()
        decision.late_starts = self.late_starts.unrecorded_runs()
        self._close_finished(now_s)
        decision.births_ms = self.incarnations.take_birth_changes()
        decision.lapses = self.lapses.due(self, now_s)
        decision.backlog = self.backlog.due(
            self.open_jobs.values(), self.mean_work, self.run_times, now_s
        )
        return decision

    def _log_pace(self, order: PaceOrder) -> None:
        worker = self.workers.get(order.worker_id)
        over = worker is not None and worker.over_since_s is not None
        detail: dict[str, object] = {
            "task": order.run.key,
            "worker": order.worker_id,
            "percent": order.percent,
            "why": "neighbour_over_target" if over else "pressure",
        }
        self.log(LogEntry("pace", order.run.key.job_id, detail))

    def take_stops(self, now_s: float) -> list[StopOrder]:
        """Return the stops for workers that can be reached; keep the others."""
        ready: list[StopOrder] = []
        kept: list[StopOrder] = []
        for order in self.stops:
            if not self.booked(order.run):
                continue
            worker = self.workers[order.worker_id]
            # Guards against a task that keeps running after its job was cancelled
            # because the worker's reports do not reach a new holder: a stop needs only
            # the worker's address, and its fencing token makes the worker refuse late
            # starts from then on.
            if worker.listed or worker.reported:
                order.run.stop_sent_at_s = now_s
                order.run.stop_first_sent_at_s = min(
                    order.run.stop_first_sent_at_s, now_s
                )
                ready.append(order)
            else:
                kept.append(order)
        self.stops = kept
        return ready

    def _close_finished(self, now_s: float) -> None:
        for job_id, state in list(self.open_jobs.items()):
            if state.status.final and not state.runs():
                if state.finished_at_s is None:
                    # Guards against jobs that are kept forever: a job that ended under
                    # an earlier holder and still has runs is restored without the time
                    # at which it finished.
                    state.finished_at_s = now_s
                del self.open_jobs[job_id]

    def forgettable(self, now_s: float) -> list[str]:
        """Return the finished jobs whose retention time has passed."""
        limit_s = now_s - self.settings.keep_finished_s
        return [
            job_id
            for job_id, state in self.jobs.items()
            if state.finished_at_s is not None
            and state.finished_at_s < limit_s
            and job_id not in self.open_jobs
        ]

    def acknowledgements(self) -> Iterable[tuple[WorkerState, int]]:
        """Return each worker with the position of its last processed end."""
        return [(w, w.seen_end) for w in self.workers.values()]


def _discard_log_entry(log: LogEntry) -> None:
    """Discard a log entry, for callers without a log."""
