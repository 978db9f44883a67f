"""
Decide for one cell what runs where.

The holder of a cell owns one ``Scheduler``. It takes in jobs, cancellations,
the list of workers and what workers answer, and ``decide`` returns what to
store and which orders to give. It owns no socket and no clock.
"""

from collections.abc import Callable, Iterable

from ..clocks import RemoteClock
from ..machines import Address
from ..resources import NOTHING
from . import dispatch, moving, pacing
from .dispatch import AdviceBook
from .effects import Decision, Note, PaceOrder, StopOrder
from .interference import Interference
from .jobs import Job, Step, TaskKey
from .progress import JobState, JobStatus, Run, RunPhase, Task, encode, restore
from .reports import (
    Done,
    EndedRow,
    EndKind,
    NoAnswer,
    OrderOutcome,
    OtherIncarnation,
    Reason,
    Refused,
    Report,
    RunningRow,
)
from .settings import CellSettings
from .workers import WorkerListing, WorkerState

# Starts without an answer are sent again at once, then after growing pauses.
RESEND_BASE_S = 0.1
RESEND_MAX_S = 1.0
# A run that is still reported so long after it should have stopped is told again.
STOP_REPEAT_S = 0.4
# Orders take a moment on their way, and a deadline is rounded.
LEASE_MARGIN_S = 0.2
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
        self.open_jobs: dict[str, JobState] = {}
        self.dirty: set[str] = set()
        self.forgotten: list[str] = []
        self.advice = AdviceBook()
        self.services: dict[str, str] = {}
        self.note = note or _ignore
        self._stops: list[StopOrder] = []
        self.model = Interference()
        self.moves_looked_at_s = float("-inf")
        self._paces = pacing.Pacer(settings, self.model)

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
        for run in state.runs():
            self._inherit(run, now_s)
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
            worker.lease_over_at_s = now_s + self._inherited_bound_s()
        worker.add(run)

    def cancel(self, job_id: str, now_s: float) -> None:
        """End a job and everything it runs; unknown and ended jobs stay."""
        state = self.jobs.get(job_id)
        if state is None or state.cancelled:
            return
        state.cancelled = True
        if not state.status.final:
            self._finish(state, JobStatus.CANCELLED, now_s, "cancelled")

    def forget(self, job_id: str) -> None:
        """Drop a finished job."""
        self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        self.dirty.discard(job_id)

    # Workers

    def list_worker(self, listing: WorkerListing, now_s: float) -> WorkerState:
        """Take in what the list says of one worker."""
        worker = self.workers.get(listing.worker_id)
        if worker is None:
            worker = self._new_worker(listing)
            worker.lease_over_at_s = now_s + self._inherited_bound_s()
            self.note(Note("worker_listed", "", {"worker": listing.worker_id}))
        was_draining = worker.listing.draining
        worker.listing = listing
        worker.listed = True
        if listing.draining and not was_draining:
            self._leave(worker)
        return worker

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
        for run in list(worker.runs.values()):
            self._release(run, now_s, f"worker_{why}")
        del self.workers[worker_id]

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

    def _inherited_bound_s(self) -> float:
        # The holder before this one may renew for a while after it lapsed.
        return self._lease_bound_s() + self.settings.renew_on_s

    def expire(self, now_s: float) -> None:
        """Give up the runs of workers whose lease has certainly passed."""
        for worker in list(self.workers.values()):
            if now_s < worker.lease_over_at_s:
                continue
            if worker.runs:
                self.note(Note("lease_over", "", {"worker": worker.worker_id}))
            for run in list(worker.runs.values()):
                self._release(run, now_s, "lease_over")
            worker.reported = False
            if not worker.listed:
                del self.workers[worker.worker_id]

    def lease_deadline(self, worker_id: str, now_s: float) -> float | None:
        """
        Return the deadline, on the worker's clock, for a lease from now on.

        Nothing is returned before the worker's clock is known. The local time
        by which that lease has passed is kept for ``expire``.
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
        over_at_s = now_s + self._lease_bound_s() + self.settings.answer_timeout_s
        worker.lease_over_at_s = max(worker.lease_over_at_s, over_at_s)
        worker.granted_s = worker.clock.deadline_there(now_s + self.settings.lease_s)
        return worker.granted_s

    def worker_silent(self, worker_id: str) -> None:
        """Take in that a worker has not answered; its lease is not renewed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.silent = True

    def use_ratio(self) -> float:
        """Return the share of the usable workers' processors that is reserved."""
        workers = [w for w in self.workers.values() if w.reported and not w.gone]
        total = sum(w.listing.capacity.cpu_millis for w in workers)
        return sum(w.taken.cpu_millis for w in workers) / total if total else 1.0

    # What workers answer

    def report(self, worker_id: str, report: Report) -> None:
        """Take in everything that one worker says it has."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        now_s = report.received_at_s
        worker.clock.observe(report.clock_s, now_s)
        first = not worker.reported
        worker.reported = True
        worker.silent = False
        worker.last_report_at_s = now_s
        listed = set()
        for ended in report.ended:
            listed.add(ended.key)
            if ended.position > worker.seen_end:
                self._take_end(worker, ended, now_s)
        if report.ended:
            worker.seen_end = max(worker.seen_end, report.ended[-1].position)
        for row in report.running:
            listed.add(row.key)
            self._take_running(worker, row, now_s)
        self._find_missing(worker, report, listed)
        if first:
            detail: dict[str, object] = {
                "worker": worker_id,
                "running": len(report.running),
            }
            self.note(Note("worker_reported", "", detail))
        self._paces.observe(worker, now_s)

    def _take_end(self, worker: WorkerState, row: EndedRow, now_s: float) -> None:
        state = self.jobs.get(row.key.job_id)
        task = state.task(row.key) if state is not None else None
        if state is None or task is None:
            return
        run = task.run
        ours = (
            run is not None
            and run.number == row.number
            and run.worker_id == worker.worker_id
        )
        booked = worker.runs.get(row.key)
        if booked is not None and booked.number <= row.number:
            worker.remove(booked)
        self.dirty.add(row.key.job_id)
        if row.how is EndKind.DONE:
            self._task_done(state, task, run, worker, now_s)
            return
        if row.how is EndKind.FAILED:
            self._count_failure(state, task, row.number, now_s)
        if not ours or run is None:
            return
        detail: dict[str, object] = {
            "task": row.key,
            "run": row.number,
            "worker": worker.worker_id,
            "how": row.how.value,
            "asked": run.stop_reason,
        }
        self.note(Note("run_ended", row.key.job_id, detail))
        task.run = None
        task.last_worker_id = worker.worker_id
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.how is EndKind.FAILED:
            worker.note_end(False)
            self._maybe_rest(worker, now_s)

    def _task_done(
        self,
        state: JobState,
        task: Task,
        run: Run | None,
        worker: WorkerState,
        now_s: float,
    ) -> None:
        worker.note_end(True)
        if task.done:
            return
        detail: dict[str, object] = {
            "task": task.key,
            "run": task.last_run,
            "worker": worker.worker_id,
        }
        self.note(Note("run_done", task.key.job_id, detail))
        if state.occurrences[task.key.occurrence][task.key.step].step.gang:
            self._gang_done(state, task, now_s)
        task.done = True
        task.checkpoint = ""
        task.run = None
        if run is not None and run.key in self._runs_on(run.worker_id):
            # An attempt that was given up has ended well after all.
            self.stop(run, "already_done")
        if state.all_done() and not state.status.final:
            self._finish(state, JobStatus.COMPLETED, now_s, "all_done")

    def _runs_on(self, worker_id: str) -> dict[TaskKey, Run]:
        worker = self.workers.get(worker_id)
        return worker.runs if worker is not None else {}

    def _gang_done(self, state: JobState, task: Task, now_s: float) -> None:
        # The members of a gang end well together: one end stands for all.
        steps = state.occurrences[task.key.occurrence]
        for member in steps[task.key.step].tasks:
            member.done = True
            if member is not task and member.run is not None:
                other = self.workers.get(member.run.worker_id)
                if other is not None:
                    other.remove(member.run)
                member.run = None

    def _count_failure(
        self, state: JobState, task: Task, number: int, now_s: float
    ) -> None:
        step = state.occurrences[task.key.occurrence][task.key.step]
        if step.step.lasting or number in task.failed_runs:
            return
        task.failed_runs.append(number)
        used = step.failures(task) >= state.job.queue.attempts_max
        if used and not state.status.final:
            self._finish(state, JobStatus.FAILED, now_s, "attempts_used")

    def _maybe_rest(self, worker: WorkerState, now_s: float) -> None:
        many = len(worker.recent_ends) >= 4 and sum(worker.recent_ends) * 2 <= len(
            worker.recent_ends
        )
        if worker.failures_in_row >= self.settings.failures_in_row or many:
            worker.rest_until_s = now_s + self.settings.rest_s
            worker.recent_ends.clear()
            worker.failures_in_row = self.settings.failures_in_row - 1
            detail: dict[str, object] = {
                "worker": worker.worker_id,
                "until_s": worker.rest_until_s,
            }
            self.note(Note("worker_rests", "", detail))

    def _take_running(self, worker: WorkerState, row: RunningRow, now_s: float) -> None:
        run = worker.runs.get(row.key)
        if run is None or run.number != row.number:
            self._stop_stray(worker, row, now_s)
            return
        if run.phase < RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.confirmed_at_s = now_s
            run.progressed_at_s = now_s
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        if row.progress_percent != run.progress_percent:
            run.progress_percent = row.progress_percent
            run.progressed_at_s = now_s
        if run.step.tail_target_s:
            run.tail_s = row.measure / 1000
        else:
            run.used_cpu_millis = int(row.measure)
        if self.jobs[row.key.job_id].status.final:
            self.stop(run, "job_ended")
        self._repeat_stop(run, now_s)
        self._stop_if_stuck(worker, run, now_s)

    def _repeat_stop(self, run: Run, now_s: float) -> None:
        # Guards against a stop that never reached the worker: it was ordered
        # before the worker could be asked, or every try of it was lost. The run
        # would go on for as long as its lease is renewed.
        late = now_s - run.stop_sent_at_s > self.settings.stop_s + STOP_REPEAT_S
        if run.phase is RunPhase.STOPPING and late:
            run.stop_sent_at_s = now_s
            self._stops.append(StopOrder(run, run.worker_id, run.stop_reason))

    def _stop_stray(self, worker: WorkerState, row: RunningRow, now_s: float) -> None:
        # An order of an earlier holder, or one that was carried out late, whose
        # task has moved on. Its room is taken until its end is listed.
        step = self._step_of(row.key)
        if step is None:
            return
        stray = Run(row.key, row.number, worker.worker_id, step, step.charge)
        if row.key not in worker.runs:
            worker.add(stray)
            stray.phase = RunPhase.RUNNING
            stray.confirmed_at_s = now_s
        self.stop(stray, "superseded")

    def _step_of(self, key: TaskKey) -> Step | None:
        state = self.jobs.get(key.job_id)
        if state is None or key.step >= len(state.job.steps):
            return None
        return state.job.steps[key.step]

    def _stop_if_stuck(self, worker: WorkerState, run: Run, now_s: float) -> None:
        if run.step.lasting or run.step.gang or run.phase is not RunPhase.RUNNING:
            return
        if run.pace_percent < 100:
            run.progressed_at_s = now_s
        if run.progress_percent >= 99:
            return
        if now_s - run.progressed_at_s > self.settings.stall_s:
            worker.note_end(False)
            self._maybe_rest(worker, now_s)
            self.stop(run, "no_progress")

    def _find_missing(
        self, worker: WorkerState, report: Report, listed: set[TaskKey]
    ) -> None:
        """Release the attempts that the worker neither runs nor lists as ended."""
        for run in list(worker.runs.values()):
            if run.key in listed:
                continue
            inherited = run.phase is RunPhase.INHERITED
            # The report was asked for under this holder's token: an order of an
            # earlier holder that has not arrived by now is refused.
            confirmed = run.confirmed_at_s < report.sent_at_s
            if inherited or confirmed:
                self._release(run, report.received_at_s, "not_on_worker")

    def _release(self, run: Run, now_s: float, why: str) -> None:
        """Free an attempt's room; its task waits again if it is still its run."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        state = self.jobs.get(run.key.job_id)
        task = state.task(run.key) if state is not None else None
        if task is None or task.run is not run:
            return
        task.run = None
        task.last_worker_id = run.worker_id
        if run.checkpoint:
            task.checkpoint = run.checkpoint
        self.dirty.add(run.key.job_id)
        detail: dict[str, object] = {
            "task": run.key,
            "run": run.number,
            "worker": run.worker_id,
            "why": why,
        }
        self.note(Note("run_released", run.key.job_id, detail))

    # What became of orders

    def booked(self, run: Run) -> bool:
        """Tell whether an attempt still takes room on its worker."""
        worker = self.workers.get(run.worker_id)
        return worker is not None and worker.runs.get(run.key) is run

    def start_answered(
        self, run: Run, outcome: OrderOutcome, now_s: float
    ) -> float | None:
        """
        Take in what became of a start.

        Returns the pause in seconds after which the same start is sent again,
        or nothing if that is not needed.
        """
        worker = self.workers.get(run.worker_id)
        if worker is None or worker.runs.get(run.key) is not run:
            return None
        match outcome:
            case Done(clock_s):
                worker.clock.observe(clock_s, now_s)
                if run.phase < RunPhase.RUNNING:
                    run.phase = RunPhase.RUNNING
                    run.progressed_at_s = now_s
                if run.confirmed_at_s == float("inf"):
                    run.confirmed_at_s = now_s
                    self._paces.begin(worker, run, now_s)
                return None
            case NoAnswer():
                return self._resend_after_s(run)
            case OtherIncarnation():
                self.worker_ended(run.worker_id, now_s, "replaced")
                return None
            case Refused(reason, clock_s):
                return self._start_refused(worker, run, reason, clock_s, now_s)

    def _resend_after_s(self, run: Run) -> float | None:
        # The order may have been carried out, or may be later. Sent again with
        # the same number it is idempotent, and its answer settles both.
        run.unanswered += 1
        if run.phase >= RunPhase.RUNNING:
            return None
        return min(RESEND_MAX_S, RESEND_BASE_S * 2 ** (run.unanswered - 1))

    def _start_refused(
        self,
        worker: WorkerState,
        run: Run,
        reason: Reason,
        clock_s: float,
        now_s: float,
    ) -> float | None:
        if clock_s:
            worker.clock.observe(clock_s, now_s)
        detail: dict[str, object] = {
            "task": run.key,
            "run": run.number,
            "worker": worker.worker_id,
            "reason": reason.value,
            "unanswered": run.unanswered,
        }
        self.note(Note("start_refused", run.key.job_id, detail))
        if reason is Reason.EXPIRED:
            return RESEND_BASE_S
        if reason is Reason.OUTDATED:
            # It has run and ended: its end is in a report, or was in one.
            run.phase = RunPhase.RUNNING
            run.confirmed_at_s = now_s + self.settings.answer_timeout_s
            return None
        if reason is Reason.FENCED:
            return None
        if reason is Reason.TICKET:
            self.advice.drop(run.key)
        if reason in (Reason.UNWELL, Reason.NO_ROOM):
            worker.rest_until_s = max(
                worker.rest_until_s, now_s + self.settings.unwell_s
            )
        if run.unanswered:
            # An earlier copy of the order may still be carried out; an answered
            # stop of this run makes that harmless.
            self.stop(run, "unsettled_start")
            return None
        self._release(run, now_s, f"refused_{reason.value}")
        return None

    def stop_answered(
        self, order: StopOrder, outcome: OrderOutcome, now_s: float
    ) -> bool:
        """Take in what became of a stop; return whether to send it again."""
        worker = self.workers.get(order.worker_id)
        if worker is None or worker.runs.get(order.run.key) is not order.run:
            return False
        match outcome:
            case Done():
                if order.run.confirmed_at_s > now_s:
                    # Refused from now on, or ending: the reports tell which.
                    order.run.confirmed_at_s = now_s + self.settings.stop_s
                return False
            case NoAnswer():
                return True
            case OtherIncarnation():
                self.worker_ended(order.worker_id, now_s, "replaced")
                return False
            case _:
                return False

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
        self._stops.append(StopOrder(run, run.worker_id, reason))

    # Status and decisions

    def _finish(
        self, state: JobState, status: JobStatus, now_s: float, why: str
    ) -> None:
        state.status = status
        state.finished_at_s = now_s
        self.dirty.add(state.job.job_id)
        detail: dict[str, object] = {
            "status": status.name.lower(),
            "why": why,
            "age_s": round(now_s - state.accepted_at_s, 3),
        }
        self.note(Note("job_finished", state.job.job_id, detail))
        for run in state.runs():
            self.stop(run, why)

    def decide(self, now_s: float, wall_s: float) -> Decision:
        """Place what waits; return what to store and which orders to give."""
        self.expire(now_s)
        self.model.solve(now_s)
        decision = Decision()
        moving.move_slow_fillers(self, now_s)
        dispatch.place(self, decision, now_s, wall_s)
        decision.stops = self._take_stops(now_s)
        decision.paces = self._paces.take()
        for order in decision.paces:
            self._note_pace(order)
        for job_id in self.dirty:
            state = self.jobs.get(job_id)
            if state is not None:
                decision.records[job_id] = encode(state)
        self.dirty.clear()
        self._close_finished(now_s)
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
        """Return the stops for workers that can be asked; keep the others."""
        ready: list[StopOrder] = []
        kept: list[StopOrder] = []
        for order in self._stops:
            if not self.booked(order.run):
                continue
            if self.workers[order.worker_id].reported:
                order.run.stop_sent_at_s = now_s
                ready.append(order)
            else:
                kept.append(order)
        self._stops = kept
        return ready

    def _close_finished(self, now_s: float) -> None:
        for job_id, state in list(self.open_jobs.items()):
            if state.status.final and not state.runs():
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
