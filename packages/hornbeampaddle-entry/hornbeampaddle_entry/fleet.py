"""Control this instance's share of the workers of its data centre."""

from collections.abc import Container, Iterable

import structlog

from hornbeampaddle.calls import ClaimWorker, RenewLeases, StartAttempt, StopAttempt
from hornbeampaddle.configuration import resources_of
from hornbeampaddle.contracts import Ending, Fenced, Refused, TaskOrder
from hornbeampaddle.decider import Decider, Step
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.machines import Worker
from hornbeampaddle.messages import WorkerSummary
from hornbeampaddle.notices import AttemptEnded, Notice
from hornbeampaddle.resources import NOTHING
from hornbeampaddle.slots import SlotGroup, SlotPool
from hornbeampaddle.wire_conversion import wire_needs

from .context import Context
from .mail import WorkerAnswer, WorkerMail
from .ports import WorkerPort

log = structlog.get_logger()


class Fleet:
    """
    The listed workers, with a decider for each.

    The instance controls those workers whose deciders hold an epoch.
    """

    def __init__(self, context: Context, slots: SlotPool) -> None:
        """Start without workers; ``set_workers`` adds them from the instance list."""
        self.context = context
        self.slots = slots
        self.deciders: dict[str, Decider] = {}
        self.ports: dict[str, WorkerPort] = {}
        self._summaries: dict[str, WorkerSummary] = {}
        self._changed: set[str] = set()
        self._released: set[str] = set()
        # Workers whose slot groups stay closed until batch attempts have ended.
        self._awaiting_capacity: set[str] = set()
        self._rotation_index = 0

    def set_workers(self, workers: Iterable[Worker]) -> None:
        """
        Apply the instance list.

        The decider of an unlisted worker is kept while it controls the worker,
        because the list lags and may be wrong.
        """
        context = self.context
        listed = {worker.worker_id: worker for worker in workers}
        context.workers.clear()
        context.workers.update(listed)
        for worker in listed.values():
            known = self.deciders.get(worker.worker_id)
            if known is None or known.worker.address != worker.address:
                self._add(worker)
            else:
                known.update_listing(worker)
        for worker_id in list(self.deciders):
            if worker_id not in listed and not self.deciders[worker_id].holding:
                del self.deciders[worker_id]
                self.ports.pop(worker_id).close()

    def _add(self, worker: Worker) -> None:
        old = self.ports.get(worker.worker_id)
        if old is not None:
            old.close()
            self.slots.drop_worker(worker.worker_id)
        self.ports[worker.worker_id] = self.context.port_of(worker)
        self.deciders[worker.worker_id] = Decider(
            worker, self.context.incarnation, self.context.timing, self.context.owners
        )

    def held(self) -> list[Decider]:
        """Return the deciders that control their workers with a valid epoch."""
        return [d for d in self.deciders.values() if d.holding]

    def tick(self, now_s: float) -> list[Notice]:
        """Claim workers, renew leases and evict attempts, each where it is due."""
        live = self.context.membership.live(now_s)
        notices: list[Notice] = []
        for worker_id, decider in list(self.deciders.items()):
            chosen = self.context.membership.choose(worker_id, live)
            ours = chosen == self.context.settings.instance_id
            if ours and self._may_claim(now_s):
                notices.extend(self._send_calls(decider, decider.claim_if_due(now_s)))
            notices.extend(self._send_calls(decider, decider.tick(now_s)))
            if decider.holding:
                notices.extend(self._evict(decider, now_s))
                if worker_id in self._awaiting_capacity:
                    self.update_slot_groups(decider, claimed=False)
        return notices

    def _may_claim(self, now_s: float) -> bool:
        # Guards against claims by a newly started instance that hasn't heard its
        # peers yet: it would briefly take every worker from its decider, and the
        # workers would refuse requests in transit.
        context = self.context
        if context.leaving:
            return False
        members = context.membership.members.values()
        if all(member.incarnation for member in members):
            return True
        return now_s >= context.started_s + context.timing.suspect_after_s

    def _evict(self, decider: Decider, now_s: float) -> list[Notice]:
        drained = not self.context.may_keep_attempts(decider.worker)
        if not drained and not decider.allocation_table.is_overcommitted():
            return []
        notices: list[Notice] = []
        for attempt in decider.evictions(drained, now_s):
            self._event(f"Evict {attempt} from {decider.worker.worker_id}.")
            notices.extend(
                self._send_calls(decider, decider.stop(attempt, checkpoint=True))
            )
        return notices

    def start(self, order: TaskOrder, worker_id: str, now_s: float) -> list[Notice]:
        """Start an attempt, or return the notice that it never started."""
        decider = self.deciders.get(worker_id)
        if decider is None:
            return [never_started(order, worker_id)]
        if not self.context.usable(decider.worker):
            return [never_started(order, worker_id)]
        match decider.start(order, now_s):
            case Refused():
                return [never_started(order, worker_id)]
            case Step() as step:
                self._changed.add(worker_id)
                return self._send_calls(decider, step)

    def cancel(self, attempt: AttemptId, worker_id: str) -> list[Notice]:
        """Stop an attempt permanently, without a checkpoint."""
        decider = self.deciders.get(worker_id)
        if decider is None:
            return []
        return self._send_calls(decider, decider.stop(attempt, checkpoint=False))

    def on_answer(self, mail: WorkerMail, now_s: float) -> list[Notice]:
        """Handle a worker's answer to a decider's call."""
        decider = self.deciders.get(mail.worker_id)
        if decider is None:
            return []
        held = decider.epoch
        step = _apply_answer(decider, mail, now_s)
        notices = self._send_calls(decider, step)
        if decider.epoch != held:
            self._epoch_changed(decider, mail)
        if isinstance(mail.call, RenewLeases | ClaimWorker) and decider.holding:
            self._apply_reported_slots(decider)
        self._changed.add(mail.worker_id)
        return notices

    def fenced(self, worker_id: str, answer: Fenced, now_s: float) -> None:
        """Handle a worker's refusal of a request because our epoch is superseded."""
        decider = self.deciders.get(worker_id)
        if decider is None or not decider.holding:
            return
        decider.on_fenced(answer, now_s)
        if not decider.holding:
            self._on_control_lost(worker_id, answer.decider)

    def _epoch_changed(self, decider: Decider, mail: WorkerMail) -> None:
        worker_id = decider.worker.worker_id
        self.slots.drop_worker(worker_id)
        if decider.holding:
            self._released.discard(worker_id)
            self._event(f"Decide for {worker_id} at epoch {decider.epoch}.")
            self.context.metrics.count("fleet.claims")
            self.update_slot_groups(decider, claimed=True)
            return
        by = mail.answer.decider if isinstance(mail.answer, Fenced) else "nobody"
        self._on_control_lost(worker_id, by)

    def _on_control_lost(self, worker_id: str, by: str) -> None:
        self.slots.drop_worker(worker_id)
        self._released.add(worker_id)
        self._event(f"Gave up {worker_id} to {by}.")
        self.context.metrics.count("fleet.fenced")

    def _apply_reported_slots(self, decider: Decider) -> None:
        worker_id = decider.worker.worker_id
        for slot_group in self.slots.slot_groups_of(worker_id):
            in_flight = decider.slots_reported.get(slot_group.service, 0)
            slot_group.reported(in_flight, decider.report_requested_s)
        if decider.allocation_table.blocked or self._has_closing_slot_group(worker_id):
            self.update_slot_groups(decider, claimed=False)

    def _has_closing_slot_group(self, worker_id: str) -> bool:
        return any(
            slot_group.total == 0 for slot_group in self.slots.slot_groups_of(worker_id)
        )

    def configure(self) -> None:
        """Apply a change of the configuration or the instance list."""
        for decider in self.held():
            self.update_slot_groups(decider, claimed=False)

    def update_slot_groups(self, decider: Decider, claimed: bool) -> None:
        """
        Make a worker's slot groups and reservations match the configuration.

        ``claimed`` tells that the worker was claimed just now.
        """
        worker_id = decider.worker.worker_id
        usable = self.context.usable(decider.worker)
        services = self.context.configuration.services_on(worker_id)
        wanted = {service.service: service for service in services}
        for name, service in wanted.items():
            slot_group = self._slot_group(decider, name, claimed)
            slot_group.resize(service.slots_per_worker, resources_of(service.needs))
        decider.allocation_table.blocked = self._track_removed_services(
            decider, wanted, claimed
        )
        reserved = NOTHING
        for slot_group in self.slots.slot_groups_of(worker_id):
            if slot_group.service not in wanted:
                # Guards against allocating capacity twice when a service is removed
                # from a worker: its requests in flight use it until they have ended.
                slot_group.open = False
                slot_group.total = 0
                if slot_group.in_use() == 0:
                    del self.slots.slot_groups[(worker_id, slot_group.service)]
                    continue
            reserved = reserved + slot_group.held()
        decider.reserve(reserved)
        self._open_slot_groups(decider, wanted, usable)
        self._changed.add(worker_id)

    def _slot_group(self, decider: Decider, service: str, claimed: bool) -> SlotGroup:
        worker_id = decider.worker.worker_id
        slot_group = self.slots.slot_groups.get((worker_id, service))
        if slot_group is None:
            slot_group = SlotGroup(worker_id, service, 0, decider.epoch, open=False)
            if claimed:
                slot_group.unaccounted = decider.slots_reported.get(service, 0)
            self.slots.slot_groups[(worker_id, service)] = slot_group
        return slot_group

    def _track_removed_services(
        self, decider: Decider, wanted: Container[str], claimed: bool
    ) -> bool:
        """
        Account for requests in flight of services not placed on the worker.

        Return whether the resource needs of some of these services are unknown.
        """
        unknown = False
        for service, in_flight in decider.slots_reported.items():
            if service in wanted or not in_flight:
                continue
            known = self.context.configuration.services.get(service)
            if known is not None and claimed:
                slot_group = self._slot_group(decider, service, claimed)
                slot_group.resize(0, resources_of(known.needs))
            slot_group_key = (decider.worker.worker_id, service)
            unknown = unknown or slot_group_key not in self.slots.slot_groups
        return unknown

    def _open_slot_groups(
        self, decider: Decider, wanted: Iterable[str], usable: bool
    ) -> None:
        # Guards against a worker overloaded by a new service: its slots open only
        # after the batch attempts that use their capacity are known to have ended.
        fits = (
            not decider.allocation_table.is_overcommitted()
            and not decider.allocation_table.blocked
        )
        # Guards against a worker overloaded by slots that exceed its reduced capacity:
        # evicting attempts can't help there, so the slots close until it is restored.
        slots_fit = decider.allocation_table.reserved.fits_in(
            decider.allocation_table.capacity
        )
        for name in wanted:
            slot_group = self.slots.slot_groups[(decider.worker.worker_id, name)]
            slot_group.open = usable and slots_fit and (slot_group.open or fits)
        if usable and not fits:
            self._awaiting_capacity.add(decider.worker.worker_id)
        else:
            self._awaiting_capacity.discard(decider.worker.worker_id)

    def _send_calls(self, decider: Decider, step: Step) -> list[Notice]:
        for call in step.calls:
            port = self.ports[decider.worker.worker_id]
            self.context.spawn(self._call(decider.worker.worker_id, port, call))
        return step.notices

    async def _call(
        self,
        worker_id: str,
        port: WorkerPort,
        call: ClaimWorker | StartAttempt | StopAttempt | RenewLeases,
    ) -> None:
        answer = await self._send_call(port, call)
        self.context.post(WorkerMail(worker_id, call, answer))

    async def _send_call(
        self,
        port: WorkerPort,
        call: ClaimWorker | StartAttempt | StopAttempt | RenewLeases,
    ) -> WorkerAnswer:
        match call:
            case ClaimWorker():
                return await port.claim(call, self.context.incarnation)
            case StartAttempt():
                return await port.start(call)
            case StopAttempt():
                return await port.stop(call)
            case RenewLeases():
                return await port.renew(call)

    def summaries(self, full: bool) -> tuple[WorkerSummary, ...]:
        """
        Return the summaries of the workers that changed since the last call.

        One more worker is added in rotation, so that a lost summary is sent again
        eventually. With ``full``, all controlled workers are included.
        """
        held = self.held()
        chosen = {d.worker.worker_id for d in held} if full else self._changed
        if held and not full:
            self._rotation_index = (self._rotation_index + 1) % len(held)
            chosen = chosen | {held[self._rotation_index].worker.worker_id}
        self._changed = set()
        summaries = []
        for worker_id in sorted(chosen):
            decider = self.deciders.get(worker_id)
            if decider is not None and decider.holding:
                summaries.append(self._summary(decider))
        return tuple(summaries)

    def _summary(self, decider: Decider) -> WorkerSummary:
        worker_id = decider.worker.worker_id
        slot_groups = self.slots.slot_groups_of(worker_id)
        free_slots = {
            slot_group.service: slot_group.free() for slot_group in slot_groups
        }
        usable = self.context.usable(decider.worker)
        room = wire_needs(decider.allocation_table.batch_room())
        return WorkerSummary(worker_id, decider.epoch, room, usable, free_slots)

    def take_released(self) -> tuple[str, ...]:
        """Return the workers whose control was lost since the last call."""
        released = tuple(sorted(self._released))
        self._released.clear()
        return released

    def _event(self, text: str) -> None:
        now_s = self.context.now_s()
        self.context.events.add(now_s - self.context.started_s, "fleet", text)
        log.info(f"fleet: {text}")


def never_started(order: TaskOrder, worker_id: str) -> AttemptEnded:
    """Return the notice that an order was refused and the attempt never started."""
    return AttemptEnded(order, worker_id, Ending.NEVER_STARTED, order.generation, 0.0)


def _apply_answer(decider: Decider, mail: WorkerMail, now_s: float) -> Step:
    answer = mail.answer
    match mail.call:
        case ClaimWorker():
            return decider.on_claim(answer, now_s)  # type: ignore[arg-type]
        case StartAttempt(order=order, epoch=epoch):
            if epoch != decider.epoch:
                return Step()
            return decider.on_start(order.attempt, answer, now_s)  # type: ignore[arg-type]
        case StopAttempt(attempt=attempt, epoch=epoch):
            if epoch != decider.epoch:
                return Step()
            return decider.on_stop(attempt, answer, now_s)  # type: ignore[arg-type]
        case RenewLeases():
            return decider.on_report(answer, now_s)  # type: ignore[arg-type]
