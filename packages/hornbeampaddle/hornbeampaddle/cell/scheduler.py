"""
Decide for one cell what runs where.

The holder of a cell owns one ``Scheduler``. It takes in jobs, cancellations,
the list of workers and what workers answer, and ``decide`` returns what to
store and which orders to give. It owns no socket and no clock.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable

from ..clocks import RemoteClock
from ..machines import Address
from ..resources import NOTHING
from . import crashes, dispatch, moving, pacing
from .advice import AdviceBook, Allowance
from .effects import Decision, Note, PaceOrder, StopOrder
from .intake import Intake
from .interference import Interference
from .jobs import Job, Queue, StepKey
from .lapses import Lapses
from .orders import Orders
from .outlook import Outlook, waiting_shares
from .progress import JobState, JobStatus, Run, RunPhase, encode, restore
from .sampling import Sampler
from .separating import Separator
from .settings import CellSettings
from .urgency import UsualWork
from .waiting import WaitBook
from .workers import WorkerListing, WorkerState

# Orders take a moment on their way, and a deadline is rounded.
LEASE_MARGIN_S = 0.2
# What workers open to fillers is worked out anew after so long: users' loads swing over
# several seconds.
OUTLOOK_S = 0.4
# A quarter of the largest cell's workers may stop answering in one moment.
SILENCES_KEPT = 128
# A stop takes up to 0.9 s and a start about as long: half of the shortest time in which
# views may be started by.
DISPLACE_AGE_RATIO = 0.5
# Longest pause between two reports, as a fraction of the lease.
IDLE_PAUSE_RATIO = 0.6
# Stands for the address of a worker that only an old record names.
NO_ADDRESS = Address("", 0)


class Scheduler:
    """The state of one cell and the decisions on it."""

    def __init__(
        self, settings: CellSettings, note: Callable[[Note], None] | None = None
    ) -> None:
        """Start with no job and no worker."""
        self.settings = settings
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, WorkerState] = {}
        # As of when the list of workers is complete; known where a list is followed.
        self.list_complete_at_s = float("inf")
        # Data centres in which nothing more may start, and as of when that is complete;
        # known where the operator's log is followed.
        self.evacuated: frozenset[str] = frozenset()
        self.evacuations_complete_at_s = float("inf")
        # Workers that stopped answering, and when; the last of them.
        self.silences: deque[tuple[str, float]] = deque(maxlen=SILENCES_KEPT)
        self.open_jobs: dict[str, JobState] = {}
        self.dirty: set[str] = set()
        self.advice = AdviceBook()
        self.queues: dict[str, Queue] = {}
        self.note = note or _ignore
        self.stops: list[StopOrder] = []
        self.model = Interference()
        self.moves_looked_at_s = float("-inf")
        self.pacer = pacing.Pacer(settings, self.model)
        self.separator = Separator(self)
        self.sampler = Sampler()
        self.waits = WaitBook()
        self.usual_work = UsualWork()
        self.lapses = Lapses()
        self._outlook: Outlook | None = None
        self._outlook_until_s = float("-inf")
        # Worked out once in a decision: each of hundreds of jobs that wait asks.
        self._use_ratios: dict[str, float] = {}
        # The two newest acceptances of jobs that end, the newest first.
        self._newest: list[tuple[float, str]] = []
        self.intake = Intake(self)
        self.orders = Orders(self)

    # Jobs

    def add_job(
        self, job: Job, progress: bytes | None, accepted_at_s: float, now_s: float
    ) -> None:
        """
        Take in a job with its stored progress; a repeat changes nothing.

        ``accepted_at_s`` is local, and for an old job in the past. Leases of
        inherited attempts count from ``now_s``, never from that time.
        """
        if job.job_id in self.jobs:
            return
        state = restore(job, progress, accepted_at_s)
        self.jobs[job.job_id] = state
        if not job.lasting:
            newest = [*self._newest, (accepted_at_s, job.job_id)]
            self._newest = sorted(newest, reverse=True)[:2]
            self.usual_work.add(job)
        for run in state.runs():
            self._inherit(run, now_s)
            if state.status.final:
                # Guards against a task that works on after its job's cancellation,
                # whose stop was lost with the holder before: to this one the job has
                # ended already, and nothing else would order the stop before a report.
                self.stop(run, "job_ended")
        if state.status.final and not state.runs():
            state.finished_at_s = now_s
        else:
            self.open_jobs[job.job_id] = state

    def _inherit(self, run: Run, now_s: float) -> None:
        worker = self.workers.get(run.worker_id)
        if worker is None:
            # Guards against a second run beside one that an unreachable worker
            # still holds: until its longest possible lease has passed, or the
            # worker has answered, the attempt counts as running.
            listing = WorkerListing(run.worker_id, "", NO_ADDRESS, "", NOTHING)
            worker = self._new_worker(listing)
            worker.listed = False
            self._inherit_lease(worker, now_s)
        worker.add(run)

    def cancel(self, job_id: str, now_s: float) -> None:
        """End a job and everything it runs; unknown and ended jobs stay."""
        state = self.jobs.get(job_id)
        if state is None or state.cancelled:
            return
        state.cancelled = True
        if not state.status.final:
            self.finish(state, JobStatus.CANCELLED, now_s, "cancelled")

    def forget(self, job_id: str) -> None:
        """Drop a finished job."""
        state = self.jobs.pop(job_id, None)
        if state is not None:
            self._close_advice(state)
        self.open_jobs.pop(job_id, None)
        self.dirty.discard(job_id)

    # Workers

    def list_worker(self, listing: WorkerListing, now_s: float) -> WorkerState:
        """Take in what the list says of one worker."""
        worker = self.workers.get(listing.worker_id)
        if worker is None:
            worker = self._new_worker(listing)
            worker.listed_at_s = now_s
            self._inherit_lease(worker, now_s)
            self.note(Note("worker_listed", "", {"worker": listing.worker_id}))
        was_draining = worker.listing.draining
        shrank = not worker.listing.capacity.fits_in(listing.capacity)
        worker.relist(listing)
        worker.listed = True
        self._take_evacuation(worker)
        if shrank:
            self._shrink(worker)
        if listing.draining and not was_draining:
            self._leave(worker)
        return worker

    def may_start(self, now_s: float) -> bool:
        """
        Tell whether what is known of workers and evacuations is recent enough to start.

        Guards against workers that are overrun, and tasks that start in a data centre
        that is being emptied: that is said where it cannot be read, while everything
        else can.
        """
        return self._views_age_ratio(now_s) <= 1.0

    def may_displace(self, now_s: float) -> bool:
        """
        Tell whether to stop what runs well, to let it or others start elsewhere.

        Guards against lasting tasks that are stopped in the last moment in which
        anything may start, and then wait for as long as the views stay old.
        """
        return self._views_age_ratio(now_s) <= DISPLACE_AGE_RATIO

    def _views_age_ratio(self, now_s: float) -> float:
        """Return the age of the older view, as a share of that at which starts end."""
        list_age_s = now_s - self.list_complete_at_s
        evacuations_age_s = now_s - self.evacuations_complete_at_s
        return max(
            list_age_s / self.settings.list_recent_s,
            evacuations_age_s / self.settings.evacuations_recent_s,
        )

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take in the data centres in which nothing more may start."""
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

    def unlist_worker(self, worker_id: str) -> None:
        """Take in that the list no longer names a worker."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            self.note(Note("worker_unlisted", "", {"worker": worker_id}))

    def worker_ended(self, worker_id: str, now_s: float, why: str) -> None:
        """Give up everything on a worker whose process is certain to be gone."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.gone = True
        detail: dict[str, object] = {
            "worker": worker_id,
            "why": why,
            "runs": len(worker.runs),
        }
        self.note(Note("worker_ended", "", detail))
        self._give_up_runs(worker, now_s, f"worker_{why}")
        del self.workers[worker_id]

    def _give_up_runs(self, worker: WorkerState, now_s: float, why: str) -> None:
        """Release all that a lost worker had; find out whether a task crashed it."""
        # A worker that is listed shows signs of life to the list, if not to us, and one
        # that drains was about to exit.
        crashed = worker.gone or not worker.listed
        hopeless: list[JobState] = []
        if crashed and not worker.listing.draining:
            hopeless = crashes.count(self, worker, now_s)
        for run in worker.all_runs():
            self.release(run, now_s, why)
        crashes.give_up(self, hopeless, now_s)

    def _new_worker(self, listing: WorkerListing) -> WorkerState:
        clock = RemoteClock(self.settings.clock_error_ratio)
        worker = WorkerState(listing, clock)
        self.workers[listing.worker_id] = worker
        return worker

    def _lease_bound_s(self) -> float:
        """Return the local time in which a lease granted now has passed."""
        lease_s = self.settings.lease_s * (1 + self.settings.clock_error_ratio)
        return lease_s + LEASE_MARGIN_S

    def _leave(self, worker: WorkerState) -> None:
        # A draining worker ends everything when it exits. What would not end by
        # itself moves now, with its checkpoint, instead of being lost later.
        self.note(Note("worker_draining", "", {"worker": worker.worker_id}))
        for run in list(worker.runs.values()):
            if run.step.lasting or run.step.saves_checkpoints:
                self.stop(run, "worker_draining")

    def _shrink(self, worker: WorkerState) -> None:
        """Withdraw starts from a worker that holds less, if not all booked fits."""
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "cpu_millis": worker.listing.capacity.cpu_millis,
            "taken_cpu_millis": worker.taken.cpu_millis,
        }
        self.note(Note("worker_shrank", "", detail))
        if not worker.taken.fits_in(worker.listing.capacity):
            self._withdraw_starts(worker, "worker_shrank")

    def _withdraw_starts(self, worker: WorkerState, why: str) -> None:
        """
        Stop the starts on a worker that have no answer yet.

        Guards against a start that is carried out where by now it may not be: without
        an answer it is sent again until it is carried out, which may be long after the
        worker was chosen. All of them are stopped, for any of them may be carried out
        before its stop. What runs stays; it was started when it was allowed.
        """
        for run in list(worker.runs.values()):
            if run.phase in (RunPhase.RECORDING, RunPhase.SENDING):
                self.stop(run, why)

    def _inherit_lease(self, worker: WorkerState, now_s: float) -> None:
        # The holder before this one may renew for a while after it lapsed.
        bound_s = now_s + self._lease_bound_s() + self.settings.renew_on_s
        worker.lease_over_at_s = self.lapses.inherited_over_at_s(
            worker.worker_id, bound_s
        )

    def expire(self, now_s: float) -> None:
        """Give up the runs of workers whose lease has certainly passed."""
        for worker in list(self.workers.values()):
            if now_s < worker.lease_over_at_s:
                continue
            if worker.runs:
                self.note(Note("lease_over", "", {"worker": worker.worker_id}))
                self._give_up_runs(worker, now_s, "lease_over")
            worker.reported = False
            if not worker.listed:
                del self.workers[worker.worker_id]

    def lease_deadline(self, worker_id: str, now_s: float) -> float | None:
        """
        Return the deadline, on the worker's clock, for a lease from now on.

        Nothing is returned before the worker's clock is known, or while a record says
        that its lease is running out. The local time by which the lease has passed is
        kept for ``expire``.
        """
        worker = self.workers[worker_id]
        if not worker.clock.known:
            return None
        if worker.silent and worker.granted_s is not None:
            # Guards against a dead worker that keeps its tasks for ever: each
            # order may have arrived, so a new deadline in each of them would
            # push the end of its lease ahead of us. A silent worker is only
            # told the deadline that it may know already.
            return worker.granted_s
        if self.lapses.running_out(worker_id):
            return worker.granted_s
        over_at_s = now_s + self._lease_bound_s() + self.settings.answer_timeout_s
        worker.lease_over_at_s = max(worker.lease_over_at_s, over_at_s)
        worker.granted_s = worker.clock.deadline_there(now_s + self.settings.lease_s)
        return worker.granted_s

    def idle_pause_s(self) -> float:
        """Return the pause between two reports of an idle worker."""
        interval_s = len(self.workers) / self.settings.idle_reports_per_s
        # Guards against a lease that expires during the pause: nothing would start on
        # the worker before its next report.
        max_pause_s = IDLE_PAUSE_RATIO * self.settings.lease_s
        return min(max_pause_s, max(0.0, interval_s - self.settings.report_wait_s))

    def worker_silent(self, worker_id: str, now_s: float) -> None:
        """Take in that a worker has not answered; its lease is not renewed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.silent = True
            if worker.silent_since_s is None:
                worker.silent_since_s = now_s
                self.silences.append((worker_id, now_s))

    def use_ratio(self, service: str) -> float:
        """Return the share of a service's processors reserved as the decision began."""
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
        """Return what workers open to the fillers that wait; nothing if none does."""
        if now_s >= self._outlook_until_s:
            shares = waiting_shares(self.open_jobs.values())
            self._outlook = Outlook(self.model, shares, now_s) if shares else None
            self._outlook_until_s = now_s + OUTLOOK_S
        return self._outlook

    def quiet_s(self, job_id: str, now_s: float) -> float:
        """Return the time since another job that ends was accepted."""
        others = [at_s for at_s, other in self._newest if other != job_id]
        return now_s - max(others, default=float("-inf"))

    def service_of(self, job: Job) -> str:
        """Return the service to which the newest configuration sends a job."""
        return self._queue_of(job).service

    def advised(self, job: Job) -> bool:
        """
        Tell whether a job's queue takes advice in the newest configuration.

        The stored job may predate advice on its queue, and workers would refuse
        every start without a ticket.
        """
        return self._queue_of(job).advice is not None

    def _queue_of(self, job: Job) -> Queue:
        return self.queues.get(job.queue.name, job.queue)

    def release(self, run: Run, now_s: float, why: str) -> None:
        """Free an attempt's room; its task waits again if it is still its run."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        state = self.jobs.get(run.key.job_id)
        task = state.task(run.key) if state is not None else None
        if task is None or task.run is not run:
            return
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
        # A run that an earlier holder has sent has no known age.
        if math.isfinite(run.sent_at_s):
            lost_at_s = worker.lost_at_s(now_s) if worker is not None else now_s
            detail["lost_after_s"] = round(lost_at_s - run.sent_at_s, 3)
        self.note(Note("run_released", run.key.job_id, detail))

    # Attempts

    def booked(self, run: Run) -> bool:
        """Tell whether an attempt still takes room on its worker."""
        worker = self.workers.get(run.worker_id)
        return worker is not None and worker.books(run)

    def stop(self, run: Run, reason: str) -> None:
        """Order the end of an attempt, once."""
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
        self.note(Note("stop", run.key.job_id, detail))
        self.stops.append(StopOrder(run, run.worker_id, reason))

    # Status and decisions

    def finish(
        self, state: JobState, status: JobStatus, now_s: float, why: str
    ) -> None:
        """Give a job its final status and stop what it runs."""
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
            detail["objective_s"] = round(state.job.objective_s(), 3)
        self.note(Note("job_finished", state.job.job_id, detail))
        self._close_advice(state)
        for run in state.runs():
            self.stop(run, why)

    def _close_advice(self, state: JobState) -> None:
        for steps in state.occurrences.values():
            for step in steps:
                self.advice.close(step.key)

    def take_advice(
        self, key: StepKey, allowance: Allowance | None, now_s: float
    ) -> None:
        """
        Take in the answer to a question about a step; nothing means none came.

        Guards against a book that grows with every job: an answer that comes after
        the step was done, or its job ended, is dropped like what was known before.
        """
        state = self.open_jobs.get(key.job_id)
        if state is None or state.status.final:
            return
        if not state.occurrences[key.occurrence][key.step].done:
            self.advice.answer(key, allowance, now_s)

    def decide(self, now_s: float, wall_s: float) -> Decision:
        """Place what waits; return what to store and which orders to give."""
        self._use_ratios.clear()
        self.expire(now_s)
        self.model.solve(now_s)
        decision = Decision()
        if self.may_displace(now_s):
            moving.move_slow_fillers(self, now_s)
            self.separator.separate(now_s)
        if self.may_start(now_s):
            dispatch.place(self, decision, now_s, wall_s)
        decision.stops = self._take_stops(now_s)
        decision.paces = self.pacer.take()
        for order in decision.paces:
            self._note_pace(order)
        for job_id in self.dirty:
            state = self.jobs.get(job_id)
            if state is not None:
                decision.records[job_id] = encode(state)
        self.dirty.clear()
        self._close_finished(now_s)
        decision.lapses = self.lapses.due(self, now_s)
        return decision

    def _note_pace(self, order: PaceOrder) -> None:
        worker = self.workers.get(order.worker_id)
        over = worker is not None and worker.over_since_s is not None
        detail: dict[str, object] = {
            "task": order.run.key,
            "worker": order.worker_id,
            "percent": order.percent,
            "why": "neighbour_over_target" if over else "pressure",
        }
        self.note(Note("pace", order.run.key.job_id, detail))

    def _take_stops(self, now_s: float) -> list[StopOrder]:
        """Return the stops for workers that can be told; keep the others."""
        ready: list[StopOrder] = []
        kept: list[StopOrder] = []
        for order in self.stops:
            if not self.booked(order.run):
                continue
            worker = self.workers[order.worker_id]
            # Guards against a task that works on after its job's cancellation, because
            # the worker's reports don't get through to a new holder: a stop needs only
            # the worker's address, and its token refuses late starts from then on.
            if worker.listed or worker.reported:
                order.run.stop_sent_at_s = now_s
                ready.append(order)
            else:
                kept.append(order)
        self.stops = kept
        return ready

    def _close_finished(self, now_s: float) -> None:
        for job_id, state in list(self.open_jobs.items()):
            if state.status.final and not state.runs():
                if state.finished_at_s is None:
                    # Guards against jobs that are kept for good: one that ended under
                    # an earlier holder came without the time, and with runs.
                    state.finished_at_s = now_s
                del self.open_jobs[job_id]

    def forgettable(self, now_s: float) -> list[str]:
        """Return the jobs that ended long ago."""
        limit_s = now_s - self.settings.keep_finished_s
        return [
            job_id
            for job_id, state in self.jobs.items()
            if state.finished_at_s is not None
            and state.finished_at_s < limit_s
            and job_id not in self.open_jobs
        ]

    def acknowledgements(self) -> Iterable[tuple[WorkerState, int]]:
        """Return each worker with the last end that was taken in."""
        return [(w, w.seen_end) for w in self.workers.values()]


def _ignore(note: Note) -> None:
    """Drop a note, for callers that keep no log."""
