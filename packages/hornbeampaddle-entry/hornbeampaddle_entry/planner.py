"""Compute plans for operators' intents, and apply the plans they confirm."""

import asyncio
import itertools
from dataclasses import dataclass, field

import structlog
from result import Err, Ok

from hornbeampaddle.configuration import Applied, Verdict, Void
from hornbeampaddle.contracts import TaskOrder
from hornbeampaddle.identity import instance_of
from hornbeampaddle.intents import AddJob
from hornbeampaddle.messages import AskInventory, Inventory, WorkerInventory
from hornbeampaddle.plans import (
    Plan,
    PlanInputs,
    added_disruptions,
    make_plan,
    record_of,
)
from hornbeampaddle.records import ConfigRecord
from hornbeampaddle.wire_conversion import order_of, wire_order

from .context import Context
from .fleet import Fleet
from .job_manager import JobManager
from .mail import ConfirmAnswer, ConfirmMail, JobAnswer, JobMail, PlanAnswer, PlanMail
from .streams import StreamLink

REMEMBERED_VERDICTS_MAX = 1000

log = structlog.get_logger()


@dataclass(slots=True)
class _InventoryCollection:
    """A plan or confirmation that waits for the peers' inventories."""

    mail: PlanMail | ConfirmMail
    silent: set[str]
    deadline_s: float
    asked_again: bool = False
    running: dict[str, list[TaskOrder]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)

    def add_inventory(
        self, worker_id: str, epoch: int, orders: list[TaskOrder]
    ) -> None:
        """
        Apply a decider's inventory of a worker.

        A replaced decider that hasn't noticed it may answer too; the inventory with
        the latest epoch is the valid one.
        """
        if epoch > self.epochs.get(worker_id, 0):
            self.epochs[worker_id] = epoch
            self.running[worker_id] = orders


class Planner:
    """
    Handles plans and confirmations at one entry instance.

    Plans are computed from this instance's view of its data centre.
    """

    def __init__(
        self, context: Context, fleet: Fleet, jobs: JobManager, link: StreamLink
    ) -> None:
        """Start without history; ``link`` is the configuration stream."""
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.link = link
        self.history: dict[str, ConfirmAnswer] = {}
        self._waiters: dict[str, list[asyncio.Future[ConfirmAnswer]]] = {}
        self._collections: dict[str, _InventoryCollection] = {}
        self._numbers = itertools.count(1)

    def plan(self, mail: PlanMail, now_s: float) -> None:
        """Compute a plan for an intent, without applying it."""
        if not self.context.configuration.known and not self.link.reachable:
            error = "no configuration is known here; ask again when the log is back"
            mail.done.set_result(PlanAnswer(None, error))
            return
        self._collect_inventories(mail, now_s)

    def confirm(self, mail: ConfirmMail, now_s: float) -> None:
        """Apply a plan if the state that it is based on hasn't changed."""
        known = self.history.get(mail.plan.plan_id)
        if known is not None:
            mail.done.set_result(known)
            return
        self._collect_inventories(mail, now_s)

    def _collect_inventories(self, mail: PlanMail | ConfirmMail, now_s: float) -> None:
        """
        Request inventories from the live peers.

        Peers that don't answer in time are left out.
        """
        call_id = f"{self.context.incarnation}/plan/{next(self._numbers)}"
        live = set(self.context.membership.live(now_s))
        live.discard(self.context.settings.instance_id)
        deadline_s = now_s + self.context.timing.suspect_after_s
        collection = _InventoryCollection(mail, live, deadline_s)
        self._collections[call_id] = collection
        for name in live:
            self.context.send(name, AskInventory(call_id))
        self._finish_collections(now_s)

    def on_inventory(self, sender: str, message: Inventory, now_s: float) -> None:
        """Handle a peer's inventory."""
        collection = self._collections.get(message.call_id)
        if collection is None:
            return
        collection.silent.discard(instance_of(sender))
        for worker in message.workers:
            orders = [order_of(order) for order in worker.orders]
            collection.add_inventory(worker.worker_id, worker.epoch, orders)
        self._finish_collections(now_s)

    def on_ask_inventory(self, sender: str, message: AskInventory) -> None:
        """Send the inventory of the workers that this instance controls."""
        workers = tuple(
            WorkerInventory(
                decider.worker.worker_id,
                decider.epoch,
                tuple(
                    wire_order(allocation.order) for allocation in decider.inventory()
                ),
            )
            for decider in self.fleet.held()
        )
        answer = Inventory(message.call_id, workers)
        self.context.send(instance_of(sender), answer)

    def tick(self, now_s: float) -> None:
        """Finish the collections whose deadline has passed."""
        self._finish_collections(now_s)

    def _finish_collections(self, now_s: float) -> None:
        for call_id, collection in list(self._collections.items()):
            if collection.silent and now_s < collection.deadline_s:
                self._ask_again(call_id, collection, now_s)
                continue
            del self._collections[call_id]
            inputs = self._plan_inputs(collection)
            match collection.mail:
                case PlanMail() as mail:
                    self._answer(mail, inputs)
                case ConfirmMail() as mail:
                    self._confirm(mail, inputs)

    def _ask_again(
        self, call_id: str, collection: "_InventoryCollection", now_s: float
    ) -> None:
        """Repeat the request once, because the first message may have been lost."""
        half_s = self.context.timing.suspect_after_s / 2
        if collection.asked_again or now_s < collection.deadline_s - half_s:
            return
        collection.asked_again = True
        for name in collection.silent:
            self.context.send(name, AskInventory(call_id))

    def _plan_inputs(self, collection: "_InventoryCollection") -> PlanInputs:
        free = {}
        for decider in self.fleet.held():
            worker_id = decider.worker.worker_id
            orders = [allocation.order for allocation in decider.inventory()]
            collection.add_inventory(worker_id, decider.epoch, orders)
            free[worker_id] = decider.allocation_table.room()
        for worker_id, room in self.jobs.capacity_view.capacities.items():
            free.setdefault(worker_id, room.free)
        workers = list(self.context.workers.values())
        silent = tuple(sorted(collection.silent))
        return PlanInputs(
            self.context.configuration, workers, collection.running, free, silent
        )

    def _answer(self, mail: PlanMail, inputs: PlanInputs) -> None:
        match make_plan(mail.intent, inputs):
            case Ok(plan):
                mail.done.set_result(PlanAnswer(plan))
            case Err(error):
                mail.done.set_result(PlanAnswer(None, error))

    def _confirm(self, mail: ConfirmMail, inputs: PlanInputs) -> None:
        refusal = self._refusal(mail.plan, inputs)
        if refusal:
            mail.done.set_result(ConfirmAnswer(False, refusal))
            return
        if isinstance(mail.plan.intent, AddJob):
            self._submit(mail, mail.plan.intent)
            return
        self._waiters.setdefault(mail.plan.plan_id, []).append(mail.done)
        if not self.link.append(record_of(mail.plan, mail.operator)):
            self._answer_waiters(
                mail.plan.plan_id, ConfirmAnswer(False, "log_unavailable")
            )

    def _refusal(self, plan: Plan, inputs: PlanInputs) -> str:
        if plan.refused():
            return "the plan refuses what was intended; there is nothing to confirm"
        for name, seen in plan.based_on.items():
            version = self.context.configuration.version(name)
            if version != seen:
                return (
                    f"{name} changed at offset {version} after the plan was made; "
                    "make a new plan"
                )
        match make_plan(plan.intent, inputs):
            case Ok(recomputed):
                if recomputed.changes != plan.changes:
                    return "the plan would now change other things; make a new plan"
                disruptions = added_disruptions(plan, recomputed)
                if disruptions:
                    subjects = ", ".join(effect.subject for effect in disruptions[:5])
                    return f"it would now also stop {subjects}; make a new plan"
                return ""
            case Err(error):
                return error

    def _submit(self, mail: ConfirmMail, intent: AddJob) -> None:
        done: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()

        def _pass_on(future: asyncio.Future[JobAnswer]) -> None:
            if not future.cancelled() and not mail.done.done():
                answer = future.result()
                mail.done.set_result(ConfirmAnswer(answer.accepted, answer.reason))

        done.add_done_callback(_pass_on)
        self.jobs.submit(JobMail(intent.spec, done))

    def on_verdict(self, offset: int, record: ConfigRecord, verdict: Verdict) -> None:
        """Return a confirmed plan's verdict to the operators that wait for it."""
        match verdict:
            case Applied():
                answer = ConfirmAnswer(True, "applied", offset)
            case Void(reason=reason):
                answer = ConfirmAnswer(False, reason, offset)
            case _:
                return
        if record.record_id in self.history:
            return
        self.history[record.record_id] = answer
        if len(self.history) > REMEMBERED_VERDICTS_MAX:
            self.history.pop(next(iter(self.history)))
        self._answer_waiters(record.record_id, answer)

    def _answer_waiters(self, plan_id: str, answer: ConfirmAnswer) -> None:
        for done in self._waiters.pop(plan_id, []):
            if not done.done():
                done.set_result(answer)

    def on_timeout(self, plan_id: str) -> ConfirmAnswer:
        """Return the result of a confirmation whose operator's wait timed out."""
        if self.link.withdraw(plan_id):
            return ConfirmAnswer(False, "log_unavailable")
        return ConfirmAnswer(False, "unknown")
