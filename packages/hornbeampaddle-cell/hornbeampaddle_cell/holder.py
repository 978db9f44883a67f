"""
Hold a cell: decide, store what was decided, then tell the workers.

Each turn of the loop takes one decision, stores its records in one append
under the holder's epoch, and only then acknowledges ends and sends starts. So
a holder that follows finds in the log every order that may have been given,
and never an end that was forgotten.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import asdict

import structlog

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.effects import AdviceQuestion, Decision, LogEntry
from hornbeampaddle.cell.progress import RunPhase
from hornbeampaddle.cell.reports import Report
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.summary import summary
from hornbeampaddle.cell.workers import WorkerListing

from .leadership import HOLDER_KEY, HolderRecord, encode_holder
from .ledger import (
    CANCEL_MARK,
    Change,
    Ledger,
    lapses_record,
    period_record,
    slopes_record,
)
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

# A turn without any event: leases and due times are looked at this often.
IDLE_TURN_S = 0.1
# Between two decisions passes this many times what the last one took: deciding gets a
# quarter of the processor at most, and orders and reports the rest.
TURN_GAP_RATIO = 4.0
TURN_GAP_MAX_S = 0.1
# Finished jobs are looked for this often, and dropped so many at a time.
FORGET_EVERY_S = 5.0
FORGET_COUNT = 100
# What was learned is stored this often; it is about 1 KB.
LEARNED_EVERY_S = 2.0
# The state of the cell is logged this often; it costs about 1 ms.
SUMMARY_EVERY_S = 1.0


class Holder:
    """One instance's time as the holder of a cell."""

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        store: StorePort,
        ledger: Ledger,
        make_worker: WorkerFactory,
        advice: AdvicePort | None,
        epoch: int,
        claimed_at_s: float,
        metrics: Metrics,
    ) -> None:
        """Begin with what the log says; ``claimed_at_s`` is when it was asked."""
        self.settings = settings
        self.clock = clock
        self.store = store
        self.ledger = ledger
        self.make_worker = make_worker
        self.advice = advice
        self.metrics = metrics
        self.epoch = epoch
        self.cell = Scheduler(settings.cell, self._log_note)
        self.lost = asyncio.Event()
        self.log = ProgressLog(
            settings, clock, store, ledger, epoch, claimed_at_s, self.lose
        )
        self.first_report_slots = asyncio.Semaphore(settings.cell.first_reports_max)
        self._sessions: dict[str, Session] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._woken = asyncio.Event()
        self._forget_at_s = claimed_at_s + FORGET_EVERY_S
        self._summary_at_s = claimed_at_s
        self._learned_at_s = claimed_at_s + LEARNED_EVERY_S
        # Jobs that the log of jobs has dropped, whose progress is still stored.
        self._dropped: set[str] = set()
        self._releasing = False
        self._next_turn_s = float("-inf")
        # Returns as of when the list of workers is complete.
        self.list_complete_at_s: Callable[[], float] = lambda: float("inf")
        # The same for the operator's evacuations.
        self.evacuations_complete_at_s: Callable[[], float] = lambda: float("inf")
        self._may_start = True

    def _log_note(self, note: LogEntry) -> None:
        self.metrics.noted(note)
        log.info(note.event, job=note.job_id, epoch=self.epoch, **note.detail)

    # What the instance tells the holder

    def begin(self) -> None:
        """Take in all jobs of the ledger, and what was learned before."""
        now_s = self.clock.now_s()
        self.cell.model.inherit(self.ledger.slopes)
        if self.ledger.period_s is not None:
            self.cell.model.forecaster.inherit(self.ledger.period_s)
        self.cell.lapses.inherit(self.ledger.lapses_at_s)
        for job_id in self.ledger.jobs:
            self._add_job(job_id, now_s)
        for job_id in list(self.ledger.cancelled):
            self.cell.cancel(job_id, now_s)

    def _add_job(self, job_id: str, now_s: float) -> None:
        job = self.ledger.jobs[job_id]
        # Both clocks may be off by seconds; an age below zero or beyond a
        # minute would only make nonsense of the order in which jobs are due.
        age_s = min(60.0, max(0.0, self.clock.wall_s() - job.accepted_at_s))
        progress = self.ledger.progress.get(job_id)
        self.cell.add_job(job, progress, now_s - age_s, now_s)

    def job_changed(self, change: Change, job_id: str) -> None:
        """Take in a record of the log of jobs."""
        now_s = self.clock.now_s()
        match change:
            case Change.ACCEPTED:
                self._add_job(job_id, now_s)
                if job_id in self.ledger.cancelled:
                    # Guards against a cancelled job that runs: its cancellation may
                    # be read before it, when nothing was there to be cancelled.
                    self.cell.cancel(job_id, now_s)
            case Change.CANCELLED:
                self.cell.cancel(job_id, now_s)
            case Change.FORGOTTEN:
                self.cell.forget(job_id)
                self._dropped.add(job_id)
            case Change.REPEATED | Change.UNREADABLE:
                return
        self.wake()

    def configure(self, configuration: Configuration) -> None:
        """Update the configured queues, including their service and advice."""
        for route in configuration.routes:
            self.cell.queues[route.queue.name] = route.queue
        self.wake()

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Take in the data centres in which nothing more may start."""
        self.cell.evacuate(data_centres)
        self.wake()

    def list_workers(
        self, listed: Sequence[WorkerListing], gone: Sequence[str]
    ) -> None:
        """Take in changes of the list of workers."""
        now_s = self.clock.now_s()
        for listing in listed:
            self.cell.list_worker(listing, now_s)
            if listing.worker_id not in self._sessions:
                self._open(listing)
        for worker_id in gone:
            self.cell.unlist_worker(worker_id)
        self.wake()

    def _open(self, listing: WorkerListing) -> None:
        port = MeteredWorker(self.make_worker(listing, self.epoch), self.metrics)
        session = Session(self, listing.worker_id, port)
        self._sessions[listing.worker_id] = session
        self._spawn(self._run_session(session))

    async def _run_session(self, session: Session) -> None:
        try:
            await session.run()
        finally:
            session.port.close()
            self._sessions.pop(session.worker_id, None)

    # What sessions tell the holder

    def may_order(self) -> bool:
        """
        Tell whether this instance certainly still holds the cell.

        The clock counts while the machine is suspended, so a holder that wakes
        up after its successor began finds that its time is over.
        """
        return self._lives(self.settings.cell.holder_lapse_s)

    def may_renew(self) -> bool:
        """
        Tell whether this instance may still renew leases.

        Somewhat longer than it may order: workers refuse the renewals of a
        holder that was replaced, and its successor counts with the rest.
        """
        cell = self.settings.cell
        return self._lives(cell.holder_lapse_s + cell.renew_on_s)

    def _lives(self, lapse_s: float) -> bool:
        age_s = self.clock.now_s() - self.log.stored_at_s
        return age_s < lapse_s and not self.lost.is_set()

    def take_report(self, worker_id: str, report: Report) -> None:
        """Take in a report, and turn the loop."""
        self.cell.intake.report(worker_id, report)
        self.wake()

    def lose(self, why: str) -> None:
        """Stop holding the cell: another one does."""
        if not self.lost.is_set():
            log.warning("holder: lost", epoch=self.epoch, why=why)
        self.lost.set()
        self.log.stop()
        self.wake()

    def wake(self) -> None:
        """Turn the loop soon."""
        self._woken.set()

    # The loop

    async def run(self) -> None:
        """Decide and store until the cell is lost or released."""
        log.info("holder: began", epoch=self.epoch, jobs=len(self.ledger.jobs))
        self.metrics.holding.set(1)
        try:
            while not self.lost.is_set() and not self._releasing:
                await self._turn()
            if self._releasing and not self.lost.is_set():
                await self._release()
        finally:
            await self._close()

    def release(self) -> None:
        """Let the cell go after the current turn."""
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

    async def _turn(self) -> None:
        try:
            async with asyncio.timeout(IDLE_TURN_S):
                await self._woken.wait()
        except TimeoutError:
            pass
        await asyncio.sleep(self._next_turn_s - self.clock.now_s())
        self._woken.clear()
        now_s = self.clock.now_s()
        self._watch_views(now_s)
        decision = self.cell.decide(now_s, self.clock.wall_s())
        took_s = self.clock.now_s() - now_s
        self._next_turn_s = now_s + min(TURN_GAP_MAX_S, TURN_GAP_RATIO * took_s)
        self._give_urgent(decision)
        ends = [(worker, end) for worker, end in self.cell.acknowledgements()]
        self._forget(now_s)
        records = self._take_dropped()
        records += [Keyed(key, value) for key, value in decision.records.items()]
        records += self._learned(now_s)
        if decision.lapses is not None:
            records.append(lapses_record(decision.lapses))
        self._log_summary(now_s)
        unacked = any(worker.acked_end < end for worker, end in ends)
        if records or unacked or self._heartbeat_due(now_s):
            if not records:
                records.append(self._heartbeat())
            if not await self.log.append(records):
                return
        if decision.lapses is not None:
            self.cell.lapses.stored(now_s)
        for worker, end in ends:
            self._acknowledge(worker.worker_id, end)
        self._send_starts(decision)

    def _watch_views(self, now_s: float) -> None:
        """Tell the cell how old its views are; log when one is too old to start by."""
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

    def _give_urgent(self, decision: Decision) -> None:
        for stop in decision.stops:
            session = self._sessions.get(stop.worker_id)
            if session is not None:
                self._spawn(session.stop(stop))
        for pace in decision.paces:
            session = self._sessions.get(pace.worker_id)
            if session is not None:
                self._spawn(session.pace(pace))
        for question in decision.questions:
            self._spawn(self._ask(question))

    def _send_starts(self, decision: Decision) -> None:
        for run in decision.starts:
            session = self._sessions.get(run.worker_id)
            # A run that was stopped while it was being stored is never sent.
            if session is not None and run.phase is RunPhase.RECORDING:
                payload = self.cell.jobs[run.key.job_id].job.payload
                self._spawn(session.start(run, payload))

    def _acknowledge(self, worker_id: str, end: int) -> None:
        worker = self.cell.workers.get(worker_id)
        if worker is None or worker.acked_end >= end:
            return
        worker.acked_end = end
        session = self._sessions.get(worker_id)
        if session is not None:
            session.acked.set()

    async def _ask(self, question: AdviceQuestion) -> None:
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

    def _learned(self, now_s: float) -> list[Keyed]:
        """Return what was learned of interference, for the next holder."""
        if now_s < self._learned_at_s:
            return []
        self._learned_at_s = now_s + LEARNED_EVERY_S
        records = [slopes_record(self.cell.model.table())]
        period_s = self.cell.model.forecaster.period_s
        if period_s is not None:
            records.append(period_record(period_s))
        return records

    def _log_summary(self, now_s: float) -> None:
        if now_s < self._summary_at_s:
            return
        self._summary_at_s = now_s + SUMMARY_EVERY_S
        state = summary(self.cell, now_s)
        self.metrics.summed_up(state)
        lag_s = round(self.metrics.loop_lag_s, 3)
        log.info("cell: state", epoch=self.epoch, loop_lag_s=lag_s, **asdict(state))

    def _forget(self, now_s: float) -> None:
        if now_s < self._forget_at_s:
            return
        self._forget_at_s = now_s + FORGET_EVERY_S
        for job_id in self.cell.forgettable(now_s)[:FORGET_COUNT]:
            self._spawn(self._drop(job_id))

    def _take_dropped(self) -> list[Keyed]:
        """
        Return the deletions of the progress of jobs that the log of jobs dropped.

        Guards against a finished job that runs a second time: a job without progress
        looks like one of which nothing has started, so the job goes first. A holder
        that dies between the two leaves a record of progress that names no job.
        """
        dropped, self._dropped = self._dropped, set()
        return [Keyed(job_id, None) for job_id in sorted(dropped)]

    async def _drop(self, job_id: str) -> None:
        producer = Producer(f"{self.settings.instance_id}-drop-{job_id}", 1, 0)
        records = [Keyed(job_id, None), Keyed(CANCEL_MARK + job_id, None)]
        await self.store.append(Topic.JOBS, records, producer, None)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("holder: task failed", error=repr(task.exception()))
            self.lose("a task broke an invariant")


def _age_s(now_s: float, complete_at_s: float) -> float | None:
    """Return the age of a view; nothing before it was complete for the first time."""
    age_s = now_s - complete_at_s
    return round(age_s, 3) if math.isfinite(age_s) else None
