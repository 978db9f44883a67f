"""
Speak to one worker on behalf of the holder.

One task renews the lease and reads what ended, over and over; each order is a
task of its own. Nothing is sent once the holder may have been replaced.
"""

import asyncio
from typing import TYPE_CHECKING

import structlog

from hornbeampaddle.cell.effects import PaceOrder, StopOrder
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import Run, RunPhase
from hornbeampaddle.cell.reports import (
    HoldOutcome,
    NoAnswer,
    OtherIncarnation,
    Reason,
    Refused,
    Report,
)

from .ports import WorkerPort

if TYPE_CHECKING:
    from .holder import Holder

log = structlog.get_logger()

# Between reports of a worker that does not answer: leases last 10 s, so a
# pause of this length costs little and a worker that is back is seen soon.
SILENT_PAUSE_S = 0.3
# The first report is not to wait for an end, it is needed for the takeover.
FIRST_WAIT_S = 0.0
# Between looks at a lease that may not be extended: about one append to the store.
LAPSE_PAUSE_S = 0.02
# A stop that settled nothing is sent again after a pause that doubles: at first one in
# 0.8 s, with the time that an answer may take, then one in 1.6 s.
STOP_PAUSE_S = 0.2
STOP_PAUSE_MAX_S = 1.0


class Session:
    """The holder's conversation with one incarnation of a worker."""

    def __init__(self, holder: "Holder", worker_id: str, port: WorkerPort) -> None:
        """Keep the port; nothing is sent before ``run``."""
        self.holder = holder
        self.worker_id = worker_id
        self.port = port
        self.acked = asyncio.Event()
        # Set before a start is sent, to end the pause between reports.
        self._report_due = asyncio.Event()
        # The last end whose acknowledgement the worker has received.
        self._delivered_acked_end = 0
        self._silent_since_s: float | None = None
        self._stopping: set[tuple[TaskKey, int]] = set()

    async def run(self) -> None:
        """Report after report, until the worker is gone or the holder ends."""
        cell = self.holder.cell
        wait_s = FIRST_WAIT_S
        while self.worker_id in cell.workers:
            if not self.holder.may_renew():
                await asyncio.sleep(SILENT_PAUSE_S)
                continue
            worker = cell.workers[self.worker_id]
            now_s = self.holder.clock.now_s()
            deadline_s = cell.lease_deadline(self.worker_id, now_s)
            first = deadline_s is None
            acked_end = worker.acked_end
            if first:
                outcome = await self._first_report(acked_end)
            else:
                outcome = await self.port.report(acked_end, deadline_s, wait_s)
            if isinstance(outcome, Report):
                self._delivered_acked_end = acked_end
            if not await self._take(outcome):
                await self._pause_before_report(SILENT_PAUSE_S)
                continue
            wait_s = FIRST_WAIT_S if first else self._wait_s()
            await self._pause_before_report(0.0)

    async def _first_report(self, last_seen: int) -> HoldOutcome:
        """
        Request a report that carries the worker's clock, once a slot is free.

        Guards against a new holder losing the cell: connecting to thousands of workers
        at once would block its writes to the store for seconds.
        """
        async with self.holder.first_report_slots:
            return await self.port.report(last_seen, None, FIRST_WAIT_S)

    async def _pause_before_report(self, min_pause_s: float) -> None:
        """
        Wait before the next report, longer while the worker is idle.

        Guards against saturating the holder's CPU: reading the reports of thousands of
        idle workers would take a whole core, and the list of workers would be too old
        to start tasks by.
        """
        cell = self.holder.cell
        worker = cell.workers.get(self.worker_id)
        pause_s = min_pause_s
        # Guards against leaving an end unacknowledged during the idle pause: if the
        # worker goes down meanwhile, the end counts as if it had never happened.
        if (
            worker is not None
            and worker.idle()
            and self._delivered_acked_end >= worker.seen_end
        ):
            pause_s = max(min_pause_s, cell.idle_pause_s())
        if not pause_s:
            return
        self._report_due.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._report_due.wait()
        except TimeoutError:
            pass

    def _wait_s(self) -> float:
        settings = self.holder.cell.settings
        worker = self.holder.cell.workers.get(self.worker_id)
        if worker is not None and worker.over_since_s is not None:
            return settings.report_wait_over_s
        return settings.report_wait_s

    async def _take(self, outcome: object) -> bool:
        match outcome:
            case Report() as report:
                self._heard()
                self.holder.take_report(self.worker_id, report)
                await self._acknowledged()
                return True
            case OtherIncarnation():
                now_s = self.holder.clock.now_s()
                self.holder.cell.worker_ended(self.worker_id, now_s, "replaced")
                self.holder.wake()
            case Refused(Reason.FENCED):
                self.holder.lose("a worker has seen a higher token")
            case Refused(reason):
                self._silent(reason.value)
            case NoAnswer(detail):
                self._silent(detail)
        return False

    async def _acknowledged(self) -> None:
        """Wait until the ends of the last report are stored, or for a while."""
        worker = self.holder.cell.workers.get(self.worker_id)
        if worker is None or worker.acked_end >= worker.seen_end:
            return
        self.acked.clear()
        try:
            async with asyncio.timeout(1.0):
                await self.acked.wait()
        except TimeoutError:
            pass

    def _heard(self) -> None:
        if self._silent_since_s is None:
            return
        gone_s = round(self.holder.clock.now_s() - self._silent_since_s, 3)
        log.info("worker: regained", worker=self.worker_id, gone_s=gone_s)
        self._silent_since_s = None

    def _silent(self, detail: str) -> None:
        now_s = self.holder.clock.now_s()
        self.holder.cell.worker_silent(self.worker_id, now_s)
        if self._silent_since_s is None:
            self._silent_since_s = now_s
            log.warning("worker: lost", worker=self.worker_id, detail=detail)

    async def start(self, run: Run, payload: str) -> None:
        """Send a start until its fate is known."""
        cell = self.holder.cell
        run.phase = RunPhase.SENDING
        self._report_due.set()
        while run.phase is RunPhase.SENDING:
            if not cell.booked(run):
                # Given up while this waited to send it again: its task may run
                # elsewhere by now, and this start would be a second run of it.
                return
            if not self.holder.may_order():
                # The store is away. If it comes back with this holder still in
                # place, the start is still to be sent: nobody else will.
                await asyncio.sleep(SILENT_PAUSE_S)
                continue
            now_s = self.holder.clock.now_s()
            if not cell.may_start(now_s):
                # The worker may have shrunk, or its data centre be evacuated, and this
                # holder cannot read it.
                await asyncio.sleep(SILENT_PAUSE_S)
                continue
            deadline_s = cell.lease_deadline(self.worker_id, now_s)
            if deadline_s is None:
                # Its lease was running out before it reported to this holder: it gets
                # a new one as soon as a record says so.
                await asyncio.sleep(LAPSE_PAUSE_S)
                continue
            if run.sent_at_s == float("inf"):
                run.sent_at_s = now_s
            outcome = await self.port.start(run, payload, deadline_s)
            if outcome == Refused(Reason.FENCED):
                self.holder.lose("a start was refused for its token")
                return
            now_s = self.holder.clock.now_s()
            pause_s = cell.orders.start_answered(run, outcome, now_s)
            self.holder.wake()
            if pause_s is None:
                return
            log.info(
                "start: again",
                job=run.key.job_id,
                task=run.key,
                run=run.number,
                worker=self.worker_id,
                outcome=repr(outcome),
                pause_s=pause_s,
            )
            await asyncio.sleep(pause_s)

    async def stop(self, order: StopOrder) -> None:
        """
        Send a stop until it is answered or its run has ended.

        Guards against a run that counts as being stopped for good: a start that was
        lost is in no report, so no report repeats its stop. Its room would stay
        taken and its task would never run again. Nothing but an answer, an end or
        the end of the worker's lease lets go of the run, and this goes on until then.
        """
        name = (order.run.key, order.run.number)
        if name in self._stopping:
            # Guards against ever more loops for one run: a report that lists it
            # orders the stop again while an answer is late.
            return
        self._stopping.add(name)
        try:
            await self._stop(order)
        finally:
            self._stopping.discard(name)

    async def _stop(self, order: StopOrder) -> None:
        cell = self.holder.cell
        pause_s = STOP_PAUSE_S
        while cell.booked(order.run):
            order.run.stop_sent_at_s = self.holder.clock.now_s()
            if not self.holder.may_order():
                await asyncio.sleep(SILENT_PAUSE_S)
                continue
            outcome = await self.port.stop(order.run)
            now_s = self.holder.clock.now_s()
            if not cell.orders.stop_answered(order, outcome, now_s):
                return
            await asyncio.sleep(pause_s)
            pause_s = min(STOP_PAUSE_MAX_S, 2 * pause_s)

    async def pace(self, order: PaceOrder) -> None:
        """Send a pace; a lost one is sent again with the next change."""
        if not self.holder.may_order():
            return
        outcome = await self.port.pace(order.run, order.percent)
        if isinstance(outcome, NoAnswer):
            order.run.pace_percent = -1
