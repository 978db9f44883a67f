"""
Hold a cell: make scheduling decisions, store them, then send them to the workers.

Each iteration of the loop makes one decision, stores its records in one append under
the holder's epoch, and only then acknowledges ended runs and sends starts. A successor
therefore finds in the log every start that may have been sent, and the end of every
run that was acknowledged.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import asdict

import structlog

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.effects import AdviceQuestion, Decision, LogEntry, StopOrder
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.learned import encode_all
from hornbeampaddle.cell.progress import RunPhase, UnusableProgressError
from hornbeampaddle.cell.reports import Report
from hornbeampaddle.cell.restarts import replace_incarnation
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.summary import summary
from hornbeampaddle.cell.workers import WorkerListing

from .backlog_record import backlog_record
from .leadership import HOLDER_KEY, HolderRecord, encode_holder
from .ledger import (
    CANCEL_PREFIX,
    JobChange,
    Ledger,
    birth_record,
    interference_record,
    lease_expiry_record,
    load_period_record,
)
from .load import HolderLoad
from .metrics import MeteredWorker, Metrics
from .ports import (
    AdvicePort,
    Clock,
    Configuration,
    Keyed,
    Producer,
    StorePort,
    Topic,
    WorkerFactory,
)
from .progress_log import ProgressLog
from .session import Session
from .settings import InstanceSettings

log = structlog.get_logger()

# Longest wait for an event: leases and due times are checked at least this often.
IDLE_INTERVAL_S = 0.1
# Time between the starts of two decisions, as a multiple of the last decision's
# duration: deciding takes at most a quarter of the CPU, and a third if decisions are
# long, and leaves the rest to orders and reports.
DECISION_INTERVAL_RATIO = 4.0
LONG_DECISION_INTERVAL_RATIO = 3.0
# Shortest interval between long decisions.
LONG_DECISION_INTERVAL_MIN_S = 0.1
# How often finished jobs are deleted, and how many jobs are deleted at a time.
JOB_CLEANUP_INTERVAL_S = 5.0
JOB_CLEANUP_BATCH_SIZE = 100
# How often the interference model is stored; its records are about 1 KB.
MODEL_SAVE_INTERVAL_S = 2.0
# How often the errors of estimates and predictions are logged.
RUN_TIMES_LOG_INTERVAL_S = 5.0
# How often the state of the cell is logged; a summary takes about 1 ms.
SUMMARY_INTERVAL_S = 1.0


class Holder:
    """One instance's term as the holder of a cell, under one epoch."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        store: StorePort,
        ledger: Ledger,
        make_worker: WorkerFactory,
        advice: AdvicePort | None,
        epoch: int,
        fenced_at_s: float,
        metrics: Metrics,
    ) -> None:
        """
        Start from the ledger as read from the log.

        ``fenced_at_s`` is the local time at which the fence was sent: the time for
        which this instance may hold the cell without a stored record starts there.
        """
        self.settings = settings
        self.clock = clock
        self.store = store
        self.ledger = ledger
        self.make_worker = make_worker
        self.advice = advice
        self.metrics = metrics
        self.epoch = epoch
        self.cell = Scheduler(settings.cell, self._log_entry)
        self.lost = asyncio.Event()
        self.log = ProgressLog(
            settings, clock, store, ledger, epoch, fenced_at_s, self.step_down
        )
        self.first_report_slots = asyncio.Semaphore(settings.cell.first_reports_max)
        self._sessions: dict[WorkerId, Session] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._woken = asyncio.Event()
        self._next_job_cleanup_s = fenced_at_s + JOB_CLEANUP_INTERVAL_S
        self._next_summary_s = fenced_at_s
        self._next_run_times_log_s = fenced_at_s + RUN_TIMES_LOG_INTERVAL_S
        self.load = HolderLoad()
        self._next_model_save_s = fenced_at_s + MODEL_SAVE_INTERVAL_S
        # Jobs deleted from the log of jobs whose progress records are still stored.
        self._deleted_jobs: set[str] = set()
        self._releasing = False
        self._next_decision_s = float("-inf")
        # Returns the local time as of which the list of workers is complete.
        self.list_complete_at_s: Callable[[], float] = lambda: float("inf")
        # Returns the size of the next read of the list of workers, 0 if it is not read.
        self.list_read_bytes: Callable[[], int] = lambda: 0
        # Returns the local time as of which the operator's evacuations are complete.
        self.evacuations_complete_at_s: Callable[[], float] = lambda: float("inf")
        self._may_start = True

    def _log_entry(self, entry: LogEntry) -> None:
        self.metrics.count_log_entry(entry)
        log.info(entry.event, job=entry.job_id, epoch=self.epoch, **entry.detail)

    # Called by the instance

    def begin(self) -> None:
        """Load the ledger's jobs, leases and interference model into the scheduler."""
        now_s = self.clock.now_s()
        self.cell.model.inherit(self.ledger.slopes)
        if self.ledger.period_s is not None:
            self.cell.model.forecaster.inherit(self.ledger.period_s)
        self.cell.inherit_learned(self.ledger.learned)
        self.cell.incarnations.stored_births_ms = dict(self.ledger.births_ms)
        self.cell.lapses.inherit(self.ledger.lease_expiry_at_s)
        for job_id in self.ledger.jobs:
            self._add_job(job_id, now_s)
        for job_id in list(self.ledger.cancelled):
            self.cell.cancel(job_id, now_s)

    def _add_job(self, job_id: str, now_s: float) -> None:
        job = self.ledger.jobs[job_id]
        # Both wall clocks may be off by seconds; an age below zero or above one minute
        # would distort the order in which jobs are due.
        age_s = min(60.0, max(0.0, self.clock.wall_s() - job.accepted_at_s))
        progress = self.ledger.progress.get(job_id)
        try:
            self.cell.add_job(job, progress, now_s - age_s, now_s)
        except UnusableProgressError as error:
            # What has run of it is not known: it must not begin anew, and must not
            # keep the other jobs from a holder.
            log.error("job: progress not understood", job=job_id, error=str(error))

    def job_changed(self, change: JobChange, job_id: str) -> None:
        """Apply a change read from the log of jobs."""
        now_s = self.clock.now_s()
        match change:
            case JobChange.ACCEPTED:
                self._add_job(job_id, now_s)
                if job_id in self.ledger.cancelled:
                    # The cancellation may have been read before the job itself, when
                    # there was nothing to cancel; without this the job would run.
                    self.cell.cancel(job_id, now_s)
            case JobChange.CANCELLED:
                self.cell.cancel(job_id, now_s)
            case JobChange.FORGOTTEN:
                self.cell.forget(job_id)
                self._deleted_jobs.add(job_id)
            case JobChange.REPEATED | JobChange.UNREADABLE:
                return
        self.wake()

    def configure(self, configuration: Configuration) -> None:
        """Update the configured queues, including their service and advice."""
        for route in configuration.routes:
            self.cell.queues[route.queue.name] = route.queue
        self.wake()

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Replace the set of data centres in which no task may start."""
        self.cell.evacuate(data_centres)
        self.wake()

    def update_worker_list(
        self, listed: Sequence[WorkerListing], gone: Sequence[str]
    ) -> None:
        """Apply changes of the list of workers; ``gone`` are the names to remove."""
        now_s = self.clock.now_s()
        for listing in listed:
            self._list_worker(listing, now_s)
        for name in gone:
            self.cell.unlist_worker(name)
        unconfirmed = self.cell.unconfirmed.names()
        for worker_id, session in self._sessions.items():
            if worker_id.name in unconfirmed:
                session.report_soon()
        self.wake()

    def _list_worker(self, listing: WorkerListing, now_s: float) -> None:
        worker = self.cell.list_worker(listing, now_s)
        if worker is not None and listing.worker_id not in self._sessions:
            self._open_session(listing)

    def worker_restarted(self, earlier_id: WorkerId, report: Report) -> None:
        """Apply the first report of a worker that has started again under its id."""
        now_s = self.clock.now_s()
        listing = replace_incarnation(self.cell, earlier_id, report.born_ms, now_s)
        if listing is None:
            # Known already: the report may be older than others of this incarnation.
            return
        self._open_session(listing)
        self.handle_report(listing.worker_id, report)

    def _open_session(self, listing: WorkerListing) -> None:
        port = MeteredWorker(self.make_worker(listing, self.epoch), self.metrics)
        session = Session(self, listing.worker_id, port)
        self._sessions[listing.worker_id] = session
        self.spawn(self._run_session(session))

    async def _run_session(self, session: Session) -> None:
        try:
            await session.run()
        finally:
            session.port.close()
            self._sessions.pop(session.worker_id, None)

    # Called by the sessions

    def may_send_orders(self) -> bool:
        """
        Return whether this instance certainly still holds the cell.

        The clock also counts while the machine is suspended, so a holder that resumes
        after its successor took over sends no more orders.
        """
        return self._stored_within(self.settings.cell.holder_lapse_s)

    def may_renew_leases(self) -> bool:
        """
        Return whether this instance may still renew leases.

        The limit is ``renew_on_s`` later than that for orders: workers refuse renewals
        of a replaced holder, and its successor allows for leases renewed until then.
        """
        cell = self.settings.cell
        return self._stored_within(cell.holder_lapse_s + cell.renew_on_s)

    def _stored_within(self, lapse_s: float) -> bool:
        age_s = self.clock.now_s() - self.log.stored_at_s
        return age_s < lapse_s and not self.lost.is_set()

    def handle_report(self, worker_id: WorkerId, report: Report) -> None:
        """Pass a worker's report to the scheduler and wake the loop."""
        began_s = self.clock.now_s()
        first = self.cell.intake.report(worker_id, report)
        self.load.reported(self.clock.now_s() - began_s)
        if first:
            # A start to an earlier incarnation may be carried out at any moment: its
            # stop does not wait for the record of a decision that is being stored.
            self._send_stops(self.cell.take_stops(self.clock.now_s()))
        self.wake()

    def step_down(self, why: str) -> None:
        """Stop holding the cell because another instance does or a task failed."""
        if not self.lost.is_set():
            log.warning("holder: lost", epoch=self.epoch, why=why)
        self.lost.set()
        self.log.stop()
        self.wake()

    def wake(self) -> None:
        """Run the next iteration of the loop without waiting for the interval."""
        self._woken.set()

    # The loop

    async def run(self) -> None:
        """Make and store decisions until the cell is lost or released."""
        log.info("holder: began", epoch=self.epoch, jobs=len(self.ledger.jobs))
        self.metrics.holding.set(1)
        try:
            while not self.lost.is_set() and not self._releasing:
                await self._iterate()
            if self._releasing and not self.lost.is_set():
                await self._release()
        finally:
            await self._close()

    def release(self) -> None:
        """Release the cell after the current iteration."""
        self._releasing = True
        self.wake()

    async def _release(self) -> None:
        value = encode_holder(HolderRecord("", self.epoch, self.settings.name))
        await self.log.append([Keyed(HOLDER_KEY, value)])
        self.lost.set()
        log.info("holder: released", epoch=self.epoch)

    async def _close(self) -> None:
        self.metrics.holding.set(0)
        self.lost.set()
        self.log.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _iterate(self) -> None:
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._woken.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self._next_decision_s - self.clock.now_s())
        self._woken.clear()
        now_s = self.clock.now_s()
        self._update_view_ages(now_s)
        for listing in self.cell.unconfirmed.of_silent_workers():
            self._list_worker(listing, now_s)
        decision = self.cell.decide(now_s, self.clock.wall_s())
        took_s = self.clock.now_s() - now_s
        self.load.decided(took_s)
        self._next_decision_s = now_s + _decision_interval_s(took_s)
        self._dispatch_without_storing(decision)
        ends = [(worker, end) for worker, end in self.cell.acknowledgements()]
        self._delete_finished_jobs(now_s)
        records = self._take_progress_deletions()
        records += [Keyed(key, value) for key, value in decision.records.items()]
        records += self._model_records(now_s)
        records += [birth_record(*change) for change in decision.births_ms.items()]
        if decision.lapses is not None:
            records.append(lease_expiry_record(decision.lapses))
        if decision.backlog is not None:
            wall_s = self.clock.wall_s()
            records.append(backlog_record(decision.backlog, self.epoch, wall_s))
        self._log_summary(now_s)
        self._log_run_times(now_s)
        unacked = any(worker.acked_end < end for worker, end in ends)
        if records or unacked or self._heartbeat_due(now_s):
            active = self.cell.take_newly_active()
            records += [Keyed(key, value) for key, value in active.items()]
            if not records:
                records.append(self._heartbeat())
            if not await self.log.append(records):
                return
        self.cell.late_starts.recorded(decision.late_starts)
        if decision.lapses is not None:
            self.cell.lapses.stored(now_s)
        for worker, end in ends:
            self._acknowledge(worker.worker_id, end)
        self._send_starts(decision)

    def _update_view_ages(self, now_s: float) -> None:
        """
        Update the times as of which the scheduler's views are complete.

        Logs when a view becomes too old to start tasks, and when starts are allowed
        again.
        """
        cell = self.cell
        cell.list_complete_at_s = self.list_complete_at_s()
        cell.evacuations_complete_at_s = self.evacuations_complete_at_s()
        may_start = cell.may_start(now_s)
        if may_start != self._may_start:
            log.warning(
                "starts: allowed again" if may_start else "starts: views too old",
                epoch=self.epoch,
                list_age_s=_age_s(now_s, cell.list_complete_at_s),
                evacuations_age_s=_age_s(now_s, cell.evacuations_complete_at_s),
            )
        self._may_start = may_start

    def _dispatch_without_storing(self, decision: Decision) -> None:
        self._send_stops(decision.stops)
        for pace in decision.paces:
            session = self._sessions.get(pace.worker_id)
            if session is not None:
                self.spawn(session.pace(pace))
        for question in decision.questions:
            self.spawn(self._ask_advice(question))

    def _send_stops(self, stops: Sequence[StopOrder]) -> None:
        for stop in stops:
            session = self._sessions.get(stop.worker_id)
            if session is not None:
                self.spawn(session.stop(stop))

    def _send_starts(self, decision: Decision) -> None:
        for run in decision.starts:
            session = self._sessions.get(run.worker_id)
            # A run that was stopped while its record was being stored is not sent.
            if session is None or run.phase is not RunPhase.RECORDING:
                continue
            task = self.cell.task(run.key)
            if task is None or task.run is not run:
                # Another writer deleted its job meanwhile.
                self.cell.release(run, self.clock.now_s(), "job_deleted")
                continue
            payload = self.cell.jobs[run.key.job_id].job.payload
            self.spawn(session.start(run, payload))

    def _acknowledge(self, worker_id: WorkerId, end: int) -> None:
        worker = self.cell.workers.get(worker_id)
        if worker is None or worker.acked_end >= end:
            return
        worker.acked_end = end
        session = self._sessions.get(worker_id)
        if session is not None:
            session.acked.set()

    async def _ask_advice(self, question: AdviceQuestion) -> None:
        allowance: Allowance | None = None
        if self.advice is not None:
            allowance = await self.advice.ask(question.step, question.worker_ids)
        now_s = self.clock.now_s()
        if allowance is not None:
            until_s = now_s + allowance.valid_until_s
            allowance = Allowance(allowance.tickets, until_s)
        log.info(
            "advice: answered",
            job=question.step.job_id,
            step=question.step,
            asked=len(question.worker_ids),
            allowed=len(allowance.tickets) if allowance is not None else None,
        )
        self.cell.take_advice(question.step, allowance, now_s)
        self.wake()

    def _heartbeat_due(self, now_s: float) -> bool:
        return now_s - self.log.stored_at_s >= self.settings.cell.heartbeat_s

    def _heartbeat(self) -> Keyed:
        record = HolderRecord(self.settings.instance_id, self.epoch, self.settings.name)
        return Keyed(HOLDER_KEY, encode_holder(record))

    def _model_records(self, now_s: float) -> list[Keyed]:
        """Return the records of all that was learned, for the next holder."""
        if now_s < self._next_model_save_s:
            return []
        self._next_model_save_s = now_s + MODEL_SAVE_INTERVAL_S
        records = [interference_record(self.cell.model.table())]
        period_s = self.cell.model.forecaster.period_s
        if period_s is not None:
            records.append(load_period_record(period_s))
        records += [
            Keyed(key, value)
            for key, value in encode_all(self.cell.learners)
            if self.ledger.learned.get(key) != value
        ]
        return records

    def _log_summary(self, now_s: float) -> None:
        if now_s < self._next_summary_s:
            return
        self._next_summary_s = now_s + SUMMARY_INTERVAL_S
        state = summary(self.cell, now_s)
        self.metrics.update_cell_gauges(state)
        self._log_backlog()
        lag_s = round(self.metrics.loop_lag_s, 3)
        log.info(
            "cell: state",
            epoch=self.epoch,
            loop_lag_s=lag_s,
            list_age_s=_age_s(now_s, self.cell.list_complete_at_s),
            stored_age_s=round(now_s - self.log.stored_at_s, 3),
            list_read_bytes=self.list_read_bytes(),
            **self.load.fields(now_s),
            **asdict(state),
        )
        self.load = HolderLoad.since(now_s)

    def _log_run_times(self, now_s: float) -> None:
        if now_s < self._next_run_times_log_s:
            return
        self._next_run_times_log_s = now_s + RUN_TIMES_LOG_INTERVAL_S
        for errors in self.cell.run_times.errors():
            self.metrics.update_run_time_errors(errors)
            log.info("cell: run times", epoch=self.epoch, **asdict(errors))

    def _log_backlog(self) -> None:
        backlog = self.cell.backlog.backlog
        self.metrics.update_backlog(backlog)
        for name, queue in backlog.items():
            log.info(
                "backlog: measured",
                epoch=self.epoch,
                queue=name,
                drained_s=round(queue.drained_s, 3),
                rate_cpu_millis=round(queue.rate_millis),
                jobs_per_s=round(queue.jobs_per_s, 3),
            )

    def _delete_finished_jobs(self, now_s: float) -> None:
        if now_s < self._next_job_cleanup_s:
            return
        self._next_job_cleanup_s = now_s + JOB_CLEANUP_INTERVAL_S
        for job_id in self.cell.forgettable(now_s)[:JOB_CLEANUP_BATCH_SIZE]:
            self.spawn(self._delete_job(job_id))

    def _take_progress_deletions(self) -> list[Keyed]:
        """
        Return tombstones for the progress of jobs deleted from the log of jobs.

        The job is deleted before its progress: a job without progress looks as if
        nothing of it had started, and a finished job would run a second time. A holder
        that crashes between the two deletions leaves a progress record without a job.
        """
        dropped, self._deleted_jobs = self._deleted_jobs, set()
        return [Keyed(job_id, None) for job_id in sorted(dropped)]

    async def _delete_job(self, job_id: str) -> None:
        producer = Producer(f"{self.settings.instance_id}-drop-{job_id}", 1, 0)
        records = [Keyed(job_id, None), Keyed(CANCEL_PREFIX + job_id, None)]
        await self.store.append(Topic.JOBS, records, producer, None)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """
        Do work beside the loop until the term is over; an error ends the term.

        Guards against a holder of which a part is dead, and which keeps the cell.
        """
        task = asyncio.create_task(work, name=getattr(work, "__qualname__", ""))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error(
                "holder: task failed",
                epoch=self.epoch,
                work=task.get_name(),
                error=repr(error),
                exc_info=error,
            )
            self.step_down("a task broke an invariant")


def _decision_interval_s(took_s: float) -> float:
    """Return the time from the start of a decision that took ``took_s`` to the next."""
    longest_s = max(LONG_DECISION_INTERVAL_MIN_S, LONG_DECISION_INTERVAL_RATIO * took_s)
    return min(DECISION_INTERVAL_RATIO * took_s, longest_s)


def _age_s(now_s: float, complete_at_s: float) -> float | None:
    """Return the age of a view; ``None`` before it was first complete."""
    age_s = now_s - complete_at_s
    return round(age_s, 3) if math.isfinite(age_s) else None
