"""Reach simulated workers as one instance, under the faults of the network."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.reports import (
    Done,
    HoldOutcome,
    NoAnswer,
    OrderOutcome,
    OtherIncarnation,
    Reason,
    Refused,
    Report,
)

from .processor import Processor
from .workers import CALL_TIMEOUT_S, ROUND_TRIP_S, CellWorker


class OrderFate(Enum):
    """The fault that affects every order of one kind."""

    LATE = "are carried out late"
    LOST = "are lost"
    UNWELL = "are refused as unwell"
    IGNORED = "are answered and ignored"


@dataclass(slots=True)
class OrderFaults:
    """
    The faults that orders meet between instances and workers.

    ``lost_ratio`` is the share of orders whose answer is lost, ``late_ratio`` the
    share that takes effect ``late_s`` later, and ``partitioned`` the pairs of
    instance and worker that cannot reach each other.
    """

    random: Random
    lost_ratio: float = 0.0
    late_ratio: float = 0.0
    late_s: float = 4.0
    partitioned: set[tuple[str, str]] = field(default_factory=set)
    # By the kind of order: start, stop, pace, report.
    fates: dict[str, OrderFate] = field(default_factory=dict)
    # Called for each report that an instance reads.
    on_report_read: Callable[[], None] = lambda: None


class WorkerAccess:
    """
    The worker port of one instance, under one token.

    A worker that starts again under its id answers in place of its earlier
    incarnation, and carries out the late orders to it.
    """

    def __init__(
        self,
        find: Callable[[], CellWorker],
        caller: str,
        token: int,
        faults: OrderFaults,
        processor: Processor | None = None,
    ) -> None:
        """
        Reach what ``find`` returns at the moment, under the network's faults.

        The caller's ``processor`` reads the answers; without one that takes no time.
        """
        self.find = find
        self.processor = processor
        self.caller = caller
        self.token = token
        self.faults = faults
        # The incarnation that the connection of the last report leads to.
        self._connected_to: CellWorker | None = None

    def close(self) -> None:
        """Do nothing: there is no connection to close."""

    async def _order(
        self, kind: str, act: Callable[[CellWorker], OrderOutcome]
    ) -> OrderOutcome:
        await asyncio.sleep(ROUND_TRIP_S / 2)
        worker = self.find()
        if self._partitioned(worker):
            return await self._time_out()
        if not worker.alive:
            return await self._answer_when_dead(worker)
        fate = self.faults.fates.get(kind)
        if fate is OrderFate.UNWELL:
            return Refused(Reason.UNWELL)
        if fate is OrderFate.LOST:
            return await self._time_out()
        if fate is OrderFate.IGNORED:
            return Done(worker.clock_s())
        drawn = self.faults.random.random()
        if fate is OrderFate.LATE or drawn < self.faults.late_ratio:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_s, self._deliver_late, act)
            return await self._time_out()
        outcome = act(worker)
        if drawn < self.faults.late_ratio + self.faults.lost_ratio:
            return await self._time_out()
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return outcome

    def _partitioned(self, worker: CellWorker) -> bool:
        return (self.caller, worker.listing.worker_id.name) in self.faults.partitioned

    async def _charged_order(
        self, kind: str, act: Callable[[CellWorker], OrderOutcome]
    ) -> OrderOutcome:
        """Send an order and read its answer, which the processor may do too late."""
        if self.processor is None:
            return await self._order(kind, act)
        due_s = self.find().now_s() + CALL_TIMEOUT_S
        outcome = await self._order(kind, act)
        if isinstance(outcome, NoAnswer):
            return outcome
        in_time = await self.processor.answer(self.processor.costs.order_s, due_s)
        return outcome if in_time else NoAnswer("read too late")

    def _deliver_late(self, act: Callable[[CellWorker], OrderOutcome]) -> None:
        worker = self.find()
        if not worker.alive:
            return
        worker.delivering_late = True
        act(worker)
        worker.delivering_late = False

    async def _answer_when_dead(
        self, worker: CellWorker
    ) -> NoAnswer | OtherIncarnation:
        if worker.replaced:
            return OtherIncarnation()
        if worker.refuses:
            return NoAnswer("connection refused")
        return await self._time_out()

    async def _time_out(self) -> NoAnswer:
        await asyncio.sleep(CALL_TIMEOUT_S)
        return NoAnswer("timed out")

    async def start(self, run: Run, payload: str, deadline_s: float) -> OrderOutcome:
        """Start a run, unless the worker is unwell."""
        return await self._charged_order(
            "start",
            lambda worker: _unless_unwell(
                worker, lambda: worker.start(run, self.token, deadline_s)
            ),
        )

    async def stop(self, run: Run) -> OrderOutcome:
        """Stop a run, unless the worker is unwell."""
        return await self._charged_order(
            "stop",
            lambda worker: _unless_unwell(worker, lambda: worker.stop(run, self.token)),
        )

    async def pace(self, run: Run, percent: int) -> OrderOutcome:
        """Limit a run to a percentage of its speed."""
        return await self._charged_order(
            "pace", lambda worker: worker.pace(run, self.token, percent)
        )

    async def report(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        """Renew the lease, acknowledge ends and read the worker's report."""
        sent_at_s = self.find().now_s()
        anew = self._connected_to is not self.find()
        if anew:
            last_seen, wait_s = 0, 0.0
        self._connected_to = None
        answering: list[CellWorker] = []

        def renew(worker: CellWorker) -> OrderOutcome:
            answering.append(worker)
            refused = worker.renew(self.token, last_seen, deadline_s)
            return refused or Done(worker.clock_s())

        outcome = await self._order("report", renew)
        if not isinstance(outcome, Done):
            return outcome
        worker = answering[0] if answering else self.find()
        await worker.wait_for_end(wait_s)
        if not worker.alive:
            return await self._answer_when_dead(worker)
        if self._partitioned(worker):
            # Cut off while it waited: the answer is lost.
            return await self._time_out()
        self._connected_to = worker
        self.faults.on_report_read()
        ended = worker.listed_ends()
        report = Report(
            sent_at_s,
            worker.now_s(),
            worker.clock_s(),
            worker.rows(),
            ended,
            worker.listing.worker_id.born_ms,
            anew,
            ends_complete=len(ended) < worker.ends_per_report,
        )
        due_s = sent_at_s + wait_s + CALL_TIMEOUT_S
        if self.processor is None or await self._read(self.processor, report, due_s):
            return report
        return NoAnswer("read too late")

    async def _read(self, processor: Processor, report: Report, due_s: float) -> bool:
        costs = processor.costs
        cost_s = costs.report_s + costs.end_s * len(report.ended)
        if report.connected_anew:
            cost_s += costs.first_report_s
        return await processor.answer(cost_s, due_s)


def _unless_unwell(worker: CellWorker, act: Callable[[], OrderOutcome]) -> OrderOutcome:
    return Refused(Reason.UNWELL) if worker.unwell else act()
