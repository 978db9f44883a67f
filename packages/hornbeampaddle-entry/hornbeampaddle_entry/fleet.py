"""Decide for this instance's share of the workers of its data centre."""

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
    """The deciders of the workers that this instance decides for."""

    def __init__(self, context: Context, slots: SlotPool) -> None:
        """Start without workers; the instance list brings them."""
        self.context = context
        self.slots = slots
        self.deciders: dict[str, Decider] = {}
        self.ports: dict[str, WorkerPort] = {}
        self._summaries: dict[str, WorkerSummary] = {}
        self._changed: set[str] = set()
        self._released: set[str] = set()
        # Workers with slot groups that wait for batch attempts to leave.
        self._making_room: set[str] = set()
        self._turn = 0

    def set_workers(self, workers: Iterable[Worker]) -> None:
        """
        Take in the instance list.

        A worker that the list no longer names keeps its decider while that
        holds it: the list lags and may be wrong.
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
        """Return the deciders whose workers honour our epoch."""
        return [d for d in self.deciders.values() if d.holding]

    def tick(self, now_s: float) -> list[Notice]:
        """Claim what is ours, renew what is held, evict what must leave."""
        live = self.context.membership.live(now_s)
        notices: list[Notice] = []
        for worker_id, decider in list(self.deciders.items()):
            chosen = self.context.membership.choose(worker_id, live)
            ours = chosen == self.context.settings.instance_id
            if ours and self._may_claim(now_s):
                notices.extend(self._do(decider, decider.claim_if_due(now_s)))
            notices.extend(self._do(decider, decider.tick(now_s)))
            if decider.holding:
                notices.extend(self._evict(decider, now_s))
                if worker_id in self._making_room:
                    self.open_lanes(decider, claimed=False)
        return notices

    def _may_claim(self, now_s: float) -> bool:
        # Guards against claims by an instance that has just started and thinks
        # itself alone: each would take every worker from its decider for a
        # moment, and requests on their way would be refused.
        context = self.context
        if context.leaving:
            return False
        members = context.membership.members.values()
        if all(member.incarnation for member in members):
            return True
        return now_s >= context.started_s + context.timing.suspect_after_s

    def _evict(self, decider: Decider, now_s: float) -> list[Notice]:
        drained = not self.context.keeps_work(decider.worker)
        if not drained and not decider.allocation_table.is_overcommitted():
            return []
        notices: list[Notice] = []
        for attempt in decider.evictions(drained, now_s):
            self._event(f"Evict {attempt} from {decider.worker.worker_id}.")
            notices.extend(self._do(decider, decider.stop(attempt, checkpoint=True)))
        return notices

    def start(self, order: TaskOrder, worker_id: str, now_s: float) -> list[Notice]:
        """Start an attempt, or say that it never started."""
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
                return self._do(decider, step)

    def cancel(self, attempt: AttemptId, worker_id: str) -> list[Notice]:
        """Stop an attempt for good."""
        decider = self.deciders.get(worker_id)
        if decider is None:
            return []
        return self._do(decider, decider.stop(attempt, checkpoint=False))

    def on_answer(self, mail: WorkerMail, now_s: float) -> list[Notice]:
        """Take a worker's answer."""
        decider = self.deciders.get(mail.worker_id)
        if decider is None:
            return []
        held = decider.epoch
        step = _apply(decider, mail, now_s)
        notices = self._do(decider, step)
        if decider.epoch != held:
            self._epoch_changed(decider, mail)
        if isinstance(mail.call, RenewLeases | ClaimWorker) and decider.holding:
            self._read_slots(decider)
        self._changed.add(mail.worker_id)
        return notices

    def fenced(self, worker_id: str, answer: Fenced, now_s: float) -> None:
        """Take a worker's refusal of a request that carried our epoch."""
        decider = self.deciders.get(worker_id)
        if decider is None or not decider.holding:
            return
        decider.on_fenced(answer, now_s)
        if not decider.holding:
            self._gave_up(worker_id, answer.decider)

    def _epoch_changed(self, decider: Decider, mail: WorkerMail) -> None:
        worker_id = decider.worker.worker_id
        self.slots.drop_worker(worker_id)
        if decider.holding:
            self._released.discard(worker_id)
            self._event(f"Decide for {worker_id} at epoch {decider.epoch}.")
            self.context.metrics.count("fleet.claims")
            self.open_lanes(decider, claimed=True)
            return
        by = mail.answer.decider if isinstance(mail.answer, Fenced) else "nobody"
        self._gave_up(worker_id, by)

    def _gave_up(self, worker_id: str, by: str) -> None:
        self.slots.drop_worker(worker_id)
        self._released.add(worker_id)
        self._event(f"Gave up {worker_id} to {by}.")
        self.context.metrics.count("fleet.fenced")

    def _read_slots(self, decider: Decider) -> None:
        worker_id = decider.worker.worker_id
        for lane in self.slots.slot_groups_of(worker_id):
            in_flight = decider.slots_reported.get(lane.service, 0)
            lane.reported(in_flight, decider.report_requested_s)
        if decider.allocation_table.blocked or self._has_leaving_lane(worker_id):
            self.open_lanes(decider, claimed=False)

    def _has_leaving_lane(self, worker_id: str) -> bool:
        return any(lane.total == 0 for lane in self.slots.slot_groups_of(worker_id))

    def configure(self) -> None:
        """Follow a change of the configuration or the instance list."""
        for decider in self.held():
            self.open_lanes(decider, claimed=False)

    def open_lanes(self, decider: Decider, claimed: bool) -> None:
        """Make a worker's slot groups and reservations match the configuration."""
        worker_id = decider.worker.worker_id
        usable = self.context.usable(decider.worker)
        services = self.context.configuration.services_on(worker_id)
        wanted = {service.service: service for service in services}
        for name, service in wanted.items():
            lane = self._lane(decider, name, claimed)
            lane.resize(service.slots_per_worker, resources_of(service.needs))
        decider.allocation_table.blocked = self._block_unknown(decider, wanted, claimed)
        reserved = NOTHING
        for lane in self.slots.slot_groups_of(worker_id):
            if lane.service not in wanted:
                # Guards against room given twice when a service leaves a worker:
                # its requests in flight hold it until the last one has ended.
                lane.open = False
                lane.total = 0
                if lane.in_use() == 0:
                    del self.slots.slot_groups[(worker_id, lane.service)]
                    continue
            reserved = reserved + lane.held()
        decider.reserve(reserved)
        self._open_what_fits(decider, wanted, usable)
        self._changed.add(worker_id)

    def _lane(self, decider: Decider, service: str, claimed: bool) -> SlotGroup:
        worker_id = decider.worker.worker_id
        lane = self.slots.slot_groups.get((worker_id, service))
        if lane is None:
            lane = SlotGroup(worker_id, service, 0, decider.epoch, open=False)
            if claimed:
                lane.unaccounted = decider.slots_reported.get(service, 0)
            self.slots.slot_groups[(worker_id, service)] = lane
        return lane

    def _block_unknown(
        self, decider: Decider, wanted: Container[str], claimed: bool
    ) -> bool:
        """
        Take in requests in flight of services that are placed here no more.

        Return whether some are of a service whose size is not known any more.
        """
        unknown = False
        for service, in_flight in decider.slots_reported.items():
            if service in wanted or not in_flight:
                continue
            known = self.context.configuration.services.get(service)
            if known is not None and claimed:
                lane = self._lane(decider, service, claimed)
                lane.resize(0, resources_of(known.needs))
            lane_key = (decider.worker.worker_id, service)
            unknown = unknown or lane_key not in self.slots.slot_groups
        return unknown

    def _open_what_fits(
        self, decider: Decider, wanted: Iterable[str], usable: bool
    ) -> None:
        # Guards against a worker overrun by a new service: its slots open only
        # once the batch attempts in its room are known to be over.
        fits = (
            not decider.allocation_table.is_overcommitted()
            and not decider.allocation_table.blocked
        )
        # Guards against a worker that shrank below its slots and is overrun by them:
        # no attempt can make room there, so they close until the room is back.
        slots_fit = decider.allocation_table.reserved.fits_in(
            decider.allocation_table.capacity
        )
        for name in wanted:
            lane = self.slots.slot_groups[(decider.worker.worker_id, name)]
            lane.open = usable and slots_fit and (lane.open or fits)
        if usable and not fits:
            self._making_room.add(decider.worker.worker_id)
        else:
            self._making_room.discard(decider.worker.worker_id)

    def _do(self, decider: Decider, step: Step) -> list[Notice]:
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
        answer = await self._ask(port, call)
        self.context.post(WorkerMail(worker_id, call, answer))

    async def _ask(
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

    def summaries(self, everything: bool) -> tuple[WorkerSummary, ...]:
        """
        Return what changed since the last call, and one more worker in turn.

        A summary that a peer lost comes again when its turn does.
        """
        held = self.held()
        chosen = {d.worker.worker_id for d in held} if everything else self._changed
        if held and not everything:
            self._turn = (self._turn + 1) % len(held)
            chosen = chosen | {held[self._turn].worker.worker_id}
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
        free_slots = {lane.service: lane.free() for lane in slot_groups}
        usable = self.context.usable(decider.worker)
        room = wire_needs(decider.allocation_table.batch_room())
        return WorkerSummary(worker_id, decider.epoch, room, usable, free_slots)

    def take_released(self) -> tuple[str, ...]:
        """Return the workers given up since the last call."""
        released = tuple(sorted(self._released))
        self._released.clear()
        return released

    def _event(self, text: str) -> None:
        now_s = self.context.now_s()
        self.context.events.add(now_s - self.context.started_s, "fleet", text)
        log.info(f"fleet: {text}")


def never_started(order: TaskOrder, worker_id: str) -> AttemptEnded:
    """Return the notice that an order was turned down."""
    return AttemptEnded(order, worker_id, Ending.NEVER_STARTED, order.generation, 0.0)


def _apply(decider: Decider, mail: WorkerMail, now_s: float) -> Step:
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
