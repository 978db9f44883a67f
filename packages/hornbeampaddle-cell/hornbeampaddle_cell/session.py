"""
Communicate with one worker on behalf of the holder.

One asyncio task renews the lease and reads ended runs in a loop; each order is sent by
a task of its own. No order is sent once the holder may have been replaced.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

import structlog

from hornbeampaddle.cell.effects import PaceOrder, StopOrder
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.polling import Poll
from hornbeampaddle.cell.progress import Run, RunPhase
from hornbeampaddle.cell.reports import (
    HoldOutcome,
    NoAnswer,
    OtherIncarnation,
    Reason,
    Refused,
    Report,
)
from hornbeampaddle.cell.restarts import REASON as UNSETTLED
from hornbeampaddle.cell.restarts import Answering, answering

from .ports import WorkerPort

if TYPE_CHECKING:
    from .holder import Holder

log = structlog.get_logger()

Outcome = TypeVar("Outcome")


class CallFailed(NoAnswer):
    """An error of the adapter ended the call: it may have reached the worker or not."""


# Length of the logged error of a call.
ERROR_MAX_CHARS = 200
# Pause before a call that failed or may not be sent yet is tried again. Leases last
# 10 s, so the pause costs little of one, and a worker that answers again is seen soon.
RETRY_PAUSE_S = 0.3
# How long the worker holds back its first report until a run ends: not at all, for
# the takeover needs the report.
FIRST_REPORT_WAIT_S = 0.0
# How often a start or a report checks whether the worker's lease, which must not be
# extended for now, may be renewed: about the duration of one append to the store.
LEASE_CHECK_INTERVAL_S = 0.02
# How long a report waits for that: a few appends.
RENEWAL_WAIT_MAX_S = 0.2
# How often a start that is sent again checks whether the record of the copies before
# it is stored.
RECORD_CHECK_INTERVAL_S = 0.01
# Pause before an unsettled stop is sent again; it doubles up to the maximum. Including
# the timeout of an answer, stops go out 0.8 s apart at first and 1.6 s apart later.
STOP_RETRY_BASE_S = 0.2
STOP_RETRY_MAX_S = 1.0
# Copies of the stop of an unsettled start, sent STOP_RETRY_BASE_S apart until one is
# answered: that start may be carried out at any moment.
UNSETTLED_STOP_COPIES = 3
# For a worker that has been removed.
NO_POLL = Poll(0.0, 0.0)


class Session:
    """The holder's exchange of reports and orders with one worker incarnation."""

    def __init__(self, holder: "Holder", worker_id: WorkerId, port: WorkerPort) -> None:
        """Store the port; nothing is sent before ``run``."""
        self.holder = holder
        self.worker_id = worker_id
        self.port = port
        self.acked = asyncio.Event()
        # Set when an order is sent, to end the pause between reports.
        self._report_due = asyncio.Event()
        # The last end whose acknowledgement the worker has received.
        self._delivered_acked_end = 0
        # Whether the last report came over a new connection.
        self._connected_anew = False
        self._unanswered_since_s: float | None = None
        self._stops_in_progress: set[tuple[TaskKey, int]] = set()
        # Whether the last call ended by an error of the adapter.
        self._call_failed = False

    async def run(self) -> None:
        """Request reports until the worker is removed or the task is cancelled."""
        cell = self.holder.cell
        wait_s = FIRST_REPORT_WAIT_S
        while self.worker_id in cell.workers:
            if not self.holder.may_renew_leases():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            worker = cell.workers[self.worker_id]
            now_s = self.holder.clock.now_s()
            deadline_s = cell.lease_deadline(self.worker_id, now_s)
            first = deadline_s is None
            acked_end = min(worker.acked_end, worker.acknowledgeable_end(now_s))
            last_seen = self._last_seen(acked_end)
            if first or worker.silent:
                wait_s = FIRST_REPORT_WAIT_S if first else wait_s
                outcome = await self._report_in_turn(last_seen, deadline_s, wait_s)
            else:
                outcome = await self._report(last_seen, deadline_s, wait_s)
            if isinstance(outcome, Report) and not outcome.connected_anew:
                self._delivered_acked_end = acked_end
            if not await self._handle_outcome(outcome):
                pause_s = max(RETRY_PAUSE_S, self._next_poll().pause_s)
                await self._pause_before_report(pause_s)
                continue
            # A worker that closes each connection answers at once each time.
            anew = isinstance(outcome, Report) and outcome.connected_anew
            min_pause_s = RETRY_PAUSE_S if anew and self._connected_anew else 0.0
            self._connected_anew = anew
            poll = self._next_poll()
            wait_s = FIRST_REPORT_WAIT_S if first else poll.wait_s
            await self._pause_before_report(max(min_pause_s, poll.pause_s))

    def _last_seen(self, acked_end: int) -> int:
        """
        Return the end to acknowledge, or 0 if the worker knows of its acknowledgement.

        Guards against ends that the next incarnation drops unread, as it carries this
        request out late. The incarnations of a worker that states no birth can't be
        told apart, nor their ends.
        """
        delivered = acked_end <= self._delivered_acked_end
        return 0 if delivered and self.worker_id.birth_known else acked_end

    async def _report_in_turn(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        """
        Request a report over a new connection, once a slot is free.

        Without the limit a holder would connect to thousands of workers at once, when
        it begins or when they have started again. That blocks its appends to the store
        for seconds and makes it lose the cell.
        """
        async with self.holder.first_report_slots:
            return await self._report(last_seen, deadline_s, wait_s)

    async def _report(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        return await self._contained(self.port.report(last_seen, deadline_s, wait_s))

    async def _contained(self, call: Awaitable[Outcome]) -> Outcome | CallFailed:
        """
        Return the outcome of a call, also if it ends by an error of the adapter.

        Guards against a cell that no instance can hold: a task that fails ends the
        holder's term, and its successors make the same call to the same worker.
        """
        try:
            outcome = await call
        except Exception as error:
            detail = repr(error)[:ERROR_MAX_CHARS]
            if not self._call_failed:
                log.error("worker: call failed", worker=self.worker_id, error=detail)
            self._call_failed = True
            return CallFailed(detail)
        self._call_failed = False
        return outcome

    def _next_poll(self) -> Poll:
        """Return how to ask for the next report, with a pause if the cell is large."""
        cell = self.holder.cell
        worker = cell.workers.get(self.worker_id)
        if worker is None:
            return NO_POLL
        poll = cell.polling.next_poll(worker)
        # No pause while an end waits to be acknowledged: if the worker went down during
        # the pause, the end would count as if it had never happened.
        now_s = self.holder.clock.now_s()
        if self._delivered_acked_end < worker.acknowledgeable_end(now_s):
            return replace(poll, pause_s=0.0)
        return poll

    async def _pause_before_report(self, pause_s: float) -> None:
        """Wait before the next report, unless an order makes one due."""
        if not pause_s:
            return
        self._report_due.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._report_due.wait()
        except TimeoutError:
            pass

    def report_soon(self) -> None:
        """End the pause before the next report."""
        self._report_due.set()

    async def _handle_outcome(self, outcome: object) -> bool:
        match outcome:
            case Report() as report:
                return await self._handle_report(report)
            case OtherIncarnation():
                now_s = self.holder.clock.now_s()
                self.holder.cell.worker_ended(self.worker_id, now_s, "replaced")
                self.holder.wake()
            case Refused(Reason.FENCED):
                self.holder.step_down("a worker has seen a higher token")
            case Refused(reason):
                self._mark_unanswered(reason.value)
            case NoAnswer(detail):
                self._mark_unanswered(detail)
        return False

    async def _handle_report(self, report: Report) -> bool:
        match answering(self.worker_id, report.born_ms):
            case Answering.ADDRESSED:
                self._mark_answered()
                self._log_delivered_ends(report)
                self.holder.handle_report(self.worker_id, report)
                await self._wait_for_acknowledgement()
                await self._wait_for_renewal()
                return True
            case Answering.SUCCESSOR:
                self.holder.worker_restarted(self.worker_id, report)
            case Answering.UNKNOWN:
                # Another program wrote the entry, or answers at its address.
                self._mark_unanswered(f"states the birth {report.born_ms}")
        return False

    def _log_delivered_ends(self, report: Report) -> None:
        """Log ends that a worker lists although it received their acknowledgement."""
        acked_end = self._delivered_acked_end
        positions = [e.position for e in report.ended if e.position <= acked_end]
        if positions:
            log.warning(
                "worker: lists acknowledged ends",
                worker=self.worker_id,
                acked_end=acked_end,
                first=positions[0],
                last=positions[-1],
            )

    async def _wait_for_acknowledgement(self) -> None:
        """Wait until the ends of the last report are stored, for 1 s at most."""
        worker = self.holder.cell.workers.get(self.worker_id)
        if worker is None or worker.acked_end >= worker.seen_end:
            return
        self.acked.clear()
        try:
            async with asyncio.timeout(1.0):
                await self.acked.wait()
        except TimeoutError:
            pass

    async def _wait_for_renewal(self) -> None:
        """
        Wait until the lease may be extended, for RENEWAL_WAIT_MAX_S at most.

        Guards against leases that expire although the worker answers now and then: the
        next request would hold the old deadline for as long as the worker waits for an
        end, and the worker may be out of reach again by then.
        """
        lapses = self.holder.cell.lapses
        deadline_s = self.holder.clock.now_s() + RENEWAL_WAIT_MAX_S
        while lapses.running_out(self.worker_id):
            if self.holder.clock.now_s() >= deadline_s:
                return
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    def _mark_answered(self) -> None:
        if self._unanswered_since_s is None:
            return
        gone_s = round(self.holder.clock.now_s() - self._unanswered_since_s, 3)
        log.info("worker: regained", worker=self.worker_id, gone_s=gone_s)
        self._unanswered_since_s = None

    def _mark_unanswered(self, detail: str) -> None:
        now_s = self.holder.clock.now_s()
        self.holder.cell.worker_silent(self.worker_id, now_s)
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
            log.warning("worker: lost", worker=self.worker_id, detail=detail)

    async def start(self, run: Run, payload: str) -> None:
        """Send a start, and repeat it until its outcome is known."""
        cell = self.holder.cell
        run.phase = RunPhase.SENDING
        self._report_due.set()
        while run.phase is RunPhase.SENDING:
            if not cell.booked(run):
                # The run was given up while this waited to retry. Its task may run
                # elsewhere by now, so this start would run it twice.
                return
            if not self.holder.may_send_orders():
                # The store cannot be reached. If it returns while this instance still
                # holds the cell, the start must still be sent: no other instance will.
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            now_s = self.holder.clock.now_s()
            if not cell.may_start(now_s):
                # The holder's views are too old: the worker's capacity may have been
                # reduced or its data centre evacuated without this holder knowing.
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            deadline_s = cell.lease_deadline(self.worker_id, now_s)
            if deadline_s is None:
                # The worker's lease was about to expire before its first report to this
                # holder: it gets a new lease once a record of that is stored.
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
                continue
            if run.sent_at_s == float("inf"):
                run.sent_at_s = now_s
            run.copies_sent += 1
            outcome = await self._contained(self.port.start(run, payload, deadline_s))
            if isinstance(outcome, CallFailed):
                # A repeat would probably fail alike, and the task would wait for good:
                # the run is settled by a stop, and the worker gets nothing for a while.
                run.unanswered += 1
                cell.late_starts.note(run, self.holder.clock.now_s())
                outcome = Refused(Reason.UNWELL)
            if outcome == Refused(Reason.FENCED):
                self.holder.step_down("a start was refused for its token")
                return
            now_s = self.holder.clock.now_s()
            pause_s = cell.orders.start_answered(run, outcome, now_s)
            self.holder.wake()
            if pause_s is None:
                return
            log.info(
                "start: retrying",
                job=run.key.job_id,
                task=run.key,
                run=run.number,
                worker=self.worker_id,
                outcome=repr(outcome),
                copies_sent=run.copies_sent,
                pause_s=pause_s,
            )
            await asyncio.sleep(pause_s)
            await self._wait_for_record(run)

    async def _wait_for_record(self, run: Run) -> None:
        """Wait until the next holder would know of the copies sent so far."""
        cell = self.holder.cell
        while cell.booked(run) and not cell.late_starts.may_resend(run):
            await asyncio.sleep(RECORD_CHECK_INTERVAL_S)

    async def stop(self, order: StopOrder) -> None:
        """
        Send a stop, and repeat it until it is answered or its run has ended.

        A run whose start was lost is in no report, so no report triggers its stop
        again. Without the repeats such a run would count as stopping for good: its
        resources would stay reserved and its task would never run again. The run is
        released only by an answer, its end or the expiry of the worker's lease.
        """
        name = (order.run.key, order.run.number)
        if name in self._stops_in_progress:
            # One loop per run: while an answer is late, each report that lists the
            # run orders its stop again.
            return
        self._stops_in_progress.add(name)
        try:
            await self._stop(order)
        finally:
            self._stops_in_progress.discard(name)

    async def _stop(self, order: StopOrder) -> None:
        copies = UNSETTLED_STOP_COPIES if order.reason == UNSETTLED else 1
        answered = asyncio.Event()
        self._report_due.set()
        await asyncio.gather(
            *[
                self._repeat_stop(order, answered, copy * STOP_RETRY_BASE_S)
                for copy in range(copies)
            ]
        )

    async def _repeat_stop(
        self, order: StopOrder, answered: asyncio.Event, after_s: float
    ) -> None:
        cell = self.holder.cell
        pause_s = STOP_RETRY_BASE_S
        await asyncio.sleep(after_s)
        while cell.booked(order.run) and not answered.is_set():
            order.run.stop_sent_at_s = self.holder.clock.now_s()
            if not self.holder.may_send_orders():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            outcome = await self._contained(self.port.stop(order.run))
            now_s = self.holder.clock.now_s()
            if not cell.orders.stop_answered(order, outcome, now_s):
                answered.set()
                return
            await asyncio.sleep(pause_s)
            pause_s = min(STOP_RETRY_MAX_S, 2 * pause_s)

    async def pace(self, order: PaceOrder) -> None:
        """Send a pace once; a lost one is sent again with the next change."""
        if not self.holder.may_send_orders():
            return
        outcome = await self._contained(self.port.pace(order.run, order.percent))
        if isinstance(outcome, NoAnswer):
            order.run.pace_percent = -1
