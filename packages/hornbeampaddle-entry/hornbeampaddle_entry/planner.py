"""Answer operators' intents with plans, and put confirmed plans into force."""

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
from .jobkeeper import JobKeeper
from .mail import ConfirmAnswer, ConfirmMail, JobAnswer, JobMail, PlanAnswer, PlanMail
from .streams import StreamLink

VERDICTS_KEPT = 1000

log = structlog.get_logger()


@dataclass(slots=True)
class _Gathering:
    """A plan or confirmation that waits for peers to say what they run."""

    mail: PlanMail | ConfirmMail
    silent: set[str]
    deadline_s: float
    asked_again: bool = False
    running: dict[str, list[TaskOrder]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)

    def learn(self, worker_id: str, epoch: int, orders: list[TaskOrder]) -> None:
        """
        Take in what a decider says runs on a worker.

        One that was replaced and has not noticed may answer too; the later
        epoch is the one in force.
        """
        if epoch > self.epochs.get(worker_id, 0):
            self.epochs[worker_id] = epoch
            self.running[worker_id] = orders


class Planner:
    """Plans and confirmations at one entry instance."""

    def __init__(
        self, context: Context, fleet: Fleet, jobs: JobKeeper, link: StreamLink
    ) -> None:
        """Plans are computed from this instance's view of its data centre."""
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.link = link
        self.history: dict[str, ConfirmAnswer] = {}
        self._waiting: dict[str, list[asyncio.Future[ConfirmAnswer]]] = {}
        self._gathering: dict[str, _Gathering] = {}
        self._numbers = itertools.count(1)

    def plan(self, mail: PlanMail, now_s: float) -> None:
        """Compute a plan; nothing changes."""
        if not self.context.configuration.known and not self.link.reachable:
            error = "no configuration is known here; ask again when the log is back"
            mail.done.set_result(PlanAnswer(None, error))
            return
        self._gather(mail, now_s)

    def confirm(self, mail: ConfirmMail, now_s: float) -> None:
        """Put a plan into force if the world is still what it was."""
        known = self.history.get(mail.plan.plan_id)
        if known is not None:
            mail.done.set_result(known)
            return
        self._gather(mail, now_s)

    def _gather(self, mail: PlanMail | ConfirmMail, now_s: float) -> None:
        """
        Ask the live peers what runs on their workers, and go on without those
        that do not answer in time.
        """
        call_id = f"{self.context.incarnation}/plan/{next(self._numbers)}"
        live = set(self.context.membership.live(now_s))
        live.discard(self.context.settings.instance_id)
        deadline_s = now_s + self.context.timing.suspect_after_s
        gathering = _Gathering(mail, live, deadline_s)
        self._gathering[call_id] = gathering
        for name in live:
            self.context.send(name, AskInventory(call_id))
        self._finish_gathering(now_s)

    def on_inventory(self, sender: str, message: Inventory, now_s: float) -> None:
        """Take a peer's answer."""
        gathering = self._gathering.get(message.call_id)
        if gathering is None:
            return
        gathering.silent.discard(instance_of(sender))
        for worker in message.workers:
            orders = [order_of(order) for order in worker.orders]
            gathering.learn(worker.worker_id, worker.epoch, orders)
        self._finish_gathering(now_s)

    def on_ask(self, sender: str, message: AskInventory) -> None:
        """Say what runs on our workers."""
        workers = tuple(
            WorkerInventory(
                decider.worker.worker_id,
                decider.epoch,
                tuple(wire_order(hold.order) for hold in decider.inventory()),
            )
            for decider in self.fleet.held()
        )
        answer = Inventory(message.call_id, workers)
        self.context.send(instance_of(sender), answer)

    def tick(self, now_s: float) -> None:
        """Go on where peers did not answer in time."""
        self._finish_gathering(now_s)

    def _finish_gathering(self, now_s: float) -> None:
        for call_id, gathering in list(self._gathering.items()):
            if gathering.silent and now_s < gathering.deadline_s:
                self._ask_again(call_id, gathering, now_s)
                continue
            del self._gathering[call_id]
            world = self._world(gathering)
            match gathering.mail:
                case PlanMail() as mail:
                    self._answer(mail, world)
                case ConfirmMail() as mail:
                    self._confirm(mail, world)

    def _ask_again(self, call_id: str, gathering: "_Gathering", now_s: float) -> None:
        """Repeat the question once: a peer may have lost the first."""
        half_s = self.context.timing.suspect_after_s / 2
        if gathering.asked_again or now_s < gathering.deadline_s - half_s:
            return
        gathering.asked_again = True
        for name in gathering.silent:
            self.context.send(name, AskInventory(call_id))

    def _world(self, gathering: "_Gathering") -> PlanInputs:
        free = {}
        for decider in self.fleet.held():
            worker_id = decider.worker.worker_id
            orders = [hold.order for hold in decider.inventory()]
            gathering.learn(worker_id, decider.epoch, orders)
            free[worker_id] = decider.allocation_table.room()
        for worker_id, room in self.jobs.rooms.rooms.items():
            free.setdefault(worker_id, room.free)
        workers = list(self.context.workers.values())
        silent = tuple(sorted(gathering.silent))
        return PlanInputs(
            self.context.configuration, workers, gathering.running, free, silent
        )

    def _answer(self, mail: PlanMail, world: PlanInputs) -> None:
        match make_plan(mail.intent, world):
            case Ok(plan):
                mail.done.set_result(PlanAnswer(plan))
            case Err(error):
                mail.done.set_result(PlanAnswer(None, error))

    def _confirm(self, mail: ConfirmMail, world: PlanInputs) -> None:
        refusal = self._refusal(mail.plan, world)
        if refusal:
            mail.done.set_result(ConfirmAnswer(False, refusal))
            return
        if isinstance(mail.plan.intent, AddJob):
            self._submit(mail, mail.plan.intent)
            return
        self._waiting.setdefault(mail.plan.plan_id, []).append(mail.done)
        if not self.link.append(record_of(mail.plan, mail.operator)):
            self._tell(mail.plan.plan_id, ConfirmAnswer(False, "log_unavailable"))

    def _refusal(self, plan: Plan, world: PlanInputs) -> str:
        if plan.refused():
            return "the plan refuses what was intended; there is nothing to confirm"
        for name, seen in plan.based_on.items():
            version = self.context.configuration.version(name)
            if version != seen:
                return (
                    f"{name} changed at offset {version} after the plan was made; "
                    "make a new plan"
                )
        match make_plan(plan.intent, world):
            case Ok(again):
                if again.changes != plan.changes:
                    return "the plan would now change other things; make a new plan"
                worse = added_disruptions(plan, again)
                if worse:
                    subjects = ", ".join(effect.subject for effect in worse[:5])
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
        """Tell who waits what became of a confirmed plan."""
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
        if len(self.history) > VERDICTS_KEPT:
            self.history.pop(next(iter(self.history)))
        self._tell(record.record_id, answer)

    def _tell(self, plan_id: str, answer: ConfirmAnswer) -> None:
        for done in self._waiting.pop(plan_id, []):
            if not done.done():
                done.set_result(answer)

    def give_up(self, plan_id: str) -> ConfirmAnswer:
        """Say what became of a confirmation whose operator waits no longer."""
        if self.link.withdraw(plan_id):
            return ConfirmAnswer(False, "log_unavailable")
        return ConfirmAnswer(False, "unknown")
