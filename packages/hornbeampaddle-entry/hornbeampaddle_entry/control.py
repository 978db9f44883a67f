"""
Run the control task, which makes all decisions of an entry instance.

Every other task owns a socket and posts what it receives to the control task's
mailbox. The control task handles one message at a time and never blocks, so its
state needs no lock.
"""

import asyncio
import random

import structlog

from hornbeampaddle.commands import Acknowledge, Adopt, Ask, Cancel, Command, Place
from hornbeampaddle.configuration import Stale, resources_of
from hornbeampaddle.contracts import Ending
from hornbeampaddle.decoding import decode
from hornbeampaddle.identity import AttemptId, incarnation_of, instance_of
from hornbeampaddle.messages import (
    AcknowledgeEnd,
    AdoptOrder,
    AskAttempt,
    AskInventory,
    AskOwned,
    BorrowSlots,
    CancelOrder,
    ConfigBatch,
    DoubtNotice,
    EndedNotice,
    ForwardAnswer,
    ForwardRequest,
    Heartbeat,
    Inventory,
    LendSlots,
    Owned,
    PlaceOrder,
    PlaceRefused,
    ReturnSlots,
    RunningNotice,
)
from hornbeampaddle.notices import AttemptEnded, Notice, OwnerInventory
from hornbeampaddle.placement import CapacityView
from hornbeampaddle.records import CONFIG_STREAM, ConfigRecord, ConfigSnapshot
from hornbeampaddle.resources import Resources
from hornbeampaddle.slots import SlotPool
from hornbeampaddle.wire_conversion import notice_of, order_of, wire_notice

from .context import Context
from .dispatcher import RequestDispatcher
from .fleet import Fleet
from .job_manager import JobManager
from .mail import (
    CancelMail,
    ConfirmMail,
    JobMail,
    KeysMail,
    LeaveMail,
    ListMail,
    Mail,
    PeerMail,
    PlanMail,
    RequestMail,
    RunMail,
    StreamDown,
    StreamMail,
    Tick,
    WorkerMail,
)
from .peering import Peering, config_decoder
from .planner import Planner
from .streams import StreamLink
from .telemetry import Traces

NOT_STARTED = (Ending.NEVER_STARTED, Ending.ROOM_COMING)

log = structlog.get_logger()


class Control:
    """The state of one entry instance and the handler of its messages."""

    def __init__(
        self,
        context: Context,
        config_link: StreamLink,
        home_link: StreamLink,
        traces: Traces,
    ) -> None:
        """Create the components that handle the messages."""
        self.context = context
        self.mailbox: asyncio.Queue[Mail] = asyncio.Queue()
        self.config_link = config_link
        self.home_link = home_link
        self.slots = SlotPool()
        self.fleet = Fleet(context, self.slots)
        capacity_view = CapacityView(random.Random(context.rng.random()))
        self.jobs = JobManager(context, capacity_view, home_link, self._run_locally)
        self.peering = Peering(context, self.fleet, self.jobs)
        self.dispatcher = RequestDispatcher(context, self.fleet, self.slots, traces)
        self.planner = Planner(context, self.fleet, self.jobs, config_link)
        self.heartbeat_due_s = 0.0
        self.scan_due_s = 0.0
        self._quota_shares: dict[str, Resources] = {}
        self._quota_shares_key = (-1, 0)
        self._snapshot_offset = -1

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            mail = await self.mailbox.get()
            try:
                self.handle(mail)
            except Exception:
                # Only a violated invariant raises here. The message is dropped and
                # its type logged. The guarantees depend on the workers' own answers,
                # so continuing is safer than giving up all workers at once.
                log.exception(
                    "control: Handling a message failed.", mail=type(mail).__name__
                )

    def handle(self, mail: Mail) -> None:
        """Handle one message."""
        now_s = self.context.now_s()
        match mail:
            case RequestMail(ticket):
                self.dispatcher.submit(ticket, now_s)
            case RunMail():
                self.dispatcher.on_run(mail, now_s)
            case WorkerMail():
                self._notify_owners(self.fleet.on_answer(mail, now_s), now_s)
                self._serve_queues(now_s)
            case PeerMail(sender, message):
                self._on_peer(sender, message, now_s)
            case Tick():
                self._tick(now_s)
            case StreamMail(stream=stream) if stream == CONFIG_STREAM:
                self._on_config_stream(mail)
            case StreamMail():
                self._on_home_stream(mail, now_s)
            case StreamDown():
                pass
            case ListMail(workers):
                self.fleet.set_workers(workers)
                self.fleet.configure()
            case KeysMail(count, deadline_s, done):
                done.set_result(self.dispatcher.mint(count, deadline_s))
            case JobMail():
                self.jobs.submit(mail)
            case CancelMail():
                self.jobs.cancel(mail)
            case PlanMail():
                self.planner.plan(mail, now_s)
            case ConfirmMail():
                self.planner.confirm(mail, now_s)
            case LeaveMail(done):
                self._leave(done, now_s)

    def _tick(self, now_s: float) -> None:
        self.dispatcher.tick(now_s, self.peering.peer_slots)
        self.planner.tick(now_s)
        if now_s >= self.scan_due_s or self.jobs.busy():
            self.scan_due_s = now_s + self.context.timing.heartbeat_interval_s / 2
            self._scan(now_s)
        if now_s >= self.heartbeat_due_s:
            self.heartbeat_due_s = now_s + self.context.timing.heartbeat_interval_s
            self.peering.beat(now_s, self.home_link.reachable)
            self.dispatcher.loans.forget_unanswered()
            self._drop_slots_of_dead_peers(now_s)
            self._update_gauges()

    def _scan(self, now_s: float) -> None:
        """Check all workers and tasks; an idle instance doesn't do so at every tick."""
        self._notify_owners(self.fleet.tick(now_s), now_s)
        self.peering.update_own_capacity(now_s)
        self.peering.doubt_attempts_without_decider(now_s)
        self.jobs.tick(now_s, self._quotas(now_s))
        self._request_inherited_attempts(now_s)

    def _drop_slots_of_dead_peers(self, now_s: float) -> None:
        for peer in list(self.peering.peer_slots):
            if not self.context.membership.is_live(peer, now_s):
                del self.peering.peer_slots[peer]

    def _update_gauges(self) -> None:
        metrics = self.context.metrics
        metrics.gauge("config.offset", self.context.configuration.offset)
        metrics.gauge("fleet.held", len(self.fleet.held()))
        metrics.gauge("requests.busy", self.dispatcher.busy())

    def _quotas(self, now_s: float) -> dict[str, Resources]:
        """
        Return this instance's share of each team's quota.

        Quotas are split evenly among the live instances of the data centre, so the
        sum of the shares stays within the quota while they agree on who is live.
        """
        live = len(self.context.membership.live(now_s))
        # Cached until the configuration or the number of instances changes. Without
        # the cache, 510 teams take a third of an idle instance's processor time.
        known = (self.context.configuration.offset, live)
        if known == self._quota_shares_key:
            return self._quota_shares
        shares = {}
        for team, quota in self.context.configuration.quotas.items():
            whole = resources_of(quota.needs)
            shares[team] = Resources(
                whole.cpu_millis // live,
                whole.memory_bytes // live,
                whole.accelerators // live,
            )
        self._quota_shares, self._quota_shares_key = shares, known
        return shares

    def _notify_owners(self, notices: list[Notice], now_s: float) -> None:
        for notice in notices:
            owner = self.context.owners.current(_owner_of(notice))
            if owner == self.jobs.name:
                self.jobs.on_notice(notice, now_s)
                continue
            self.context.send(instance_of(owner), wire_notice(notice))

    def _run_locally(self, command: Command) -> None:
        """Execute our own owner's command on a worker that this instance controls."""
        now_s = self.context.now_s()
        decider = self.fleet.deciders.get(command.worker_id)
        match command:
            case Place(order, worker_id):
                self._notify_owners(self.fleet.start(order, worker_id, now_s), now_s)
            case Cancel(attempt, worker_id):
                self._notify_owners(self.fleet.cancel(attempt, worker_id), now_s)
            case Adopt(attempt) if decider is not None:
                decider.adopt(attempt, self.jobs.name)
            case Acknowledge(attempt) if decider is not None:
                decider.acknowledge(attempt)
            case Ask(order) if decider is not None and decider.holding:
                decider.query(order, now_s)
            case _:
                pass

    def _on_peer(self, sender: str, message: object, now_s: float) -> None:
        match message:
            case Heartbeat():
                self.peering.heard(sender, message, now_s)
                self._serve_queues(now_s)
            case BorrowSlots():
                self.dispatcher.loans.on_borrow(sender, message, now_s)
            case LendSlots():
                self.dispatcher.loans.on_lend(sender, message, now_s)
            case ReturnSlots():
                self.dispatcher.loans.on_return(message, now_s)
            case AskOwned(dead_owner=dead_owner, successor=successor):
                self._on_early_succession(dead_owner, successor)
                self._ask_inventories(dead_owner, now_s)
            case AskInventory():
                self.planner.on_ask_inventory(sender, message)
            case Inventory():
                self.planner.on_inventory(sender, message, now_s)
            case ForwardRequest():
                self.dispatcher.on_forward(sender, message, now_s)
            case ForwardAnswer():
                self.dispatcher.on_forward_answer(message)
            case ConfigBatch():
                self._on_config_batch(message)
            case RunningNotice() | EndedNotice() | DoubtNotice() | Owned():
                self.jobs.on_notice(notice_of(message), now_s)
            case PlaceRefused():
                self.jobs.refused(message, now_s)
            case _:
                self._on_order(sender, message, now_s)

    def _on_order(self, sender: str, message: object, now_s: float) -> None:
        """Execute a peer owner's command on a worker that this instance controls."""
        match message:
            case PlaceOrder():
                self._place(sender, message, now_s)
            case CancelOrder(attempt=attempt, worker_id=worker_id):
                notices = self.fleet.cancel(AttemptId.parse(attempt), worker_id)
                self._notify_owners(notices, now_s)
            case AdoptOrder(owner=owner, attempt=attempt, worker_id=worker_id):
                decider = self.fleet.deciders.get(worker_id)
                if decider is not None:
                    decider.adopt(AttemptId.parse(attempt), owner)
            case AcknowledgeEnd(attempt=attempt, worker_id=worker_id):
                decider = self.fleet.deciders.get(worker_id)
                if decider is not None:
                    decider.acknowledge(AttemptId.parse(attempt))
            case AskAttempt(order=order, worker_id=worker_id):
                decider = self.fleet.deciders.get(worker_id)
                if decider is not None and decider.holding:
                    decider.query(order_of(order), now_s)

    def _place(self, sender: str, message: PlaceOrder, now_s: float) -> None:
        order = order_of(message.order)
        # Guards against an order delayed beyond its owner's authority: a successor
        # may have started the task elsewhere by now.
        if now_s >= message.valid_until_s or incarnation_of(order.owner) != sender:
            refusal = PlaceRefused(message.order.attempt, message.worker_id, "late")
            self.context.send(instance_of(sender), refusal)
            return
        for notice in self.fleet.start(order, message.worker_id, now_s):
            if isinstance(notice, AttemptEnded) and notice.ending in NOT_STARTED:
                refusal = PlaceRefused(
                    message.order.attempt, message.worker_id, notice.ending.value
                )
                self.context.send(instance_of(sender), refusal)
            else:
                self._notify_owners([notice], now_s)

    def _on_home_stream(self, mail: StreamMail, now_s: float) -> None:
        known = dict(self.context.owners.successors)
        self.jobs.on_stream(mail, now_s)
        for dead_owner in self.context.owners.successors.keys() - known.keys():
            self._apply_succession(dead_owner)

    def _on_early_succession(self, dead_owner: str, successor: str) -> None:
        """Apply a succession reported by the successor, before our log shows it."""
        if dead_owner not in self.context.owners.successors:
            self.context.owners.succeed(dead_owner, successor)
            self._apply_succession(dead_owner)

    def _apply_succession(self, dead_owner: str) -> None:
        for decider in self.fleet.held():
            decider.on_succession(dead_owner)

    def _ask_inventories(self, dead_owner: str, now_s: float) -> None:
        for decider in self.fleet.held():
            decider.ask_inventory(dead_owner, now_s)

    def _request_inherited_attempts(self, now_s: float) -> None:
        """Request inventories of the attempts of the owners that we succeeded."""
        for dead_owner in self.jobs.owner.inventories_to_ask(now_s):
            self._ask_inventories(dead_owner, now_s)
            for name in self.context.membership.live(now_s):
                if name != self.context.settings.instance_id:
                    self.context.send(name, AskOwned(dead_owner, self.jobs.name))

    def _on_config_stream(self, mail: StreamMail) -> None:
        records = list(mail.records)
        if mail.gap:
            records = self._restore(records)
        for offset, record in records:
            self._apply(offset, record)
        if mail.records:
            self.fleet.configure()
            self._snapshot()

    def _restore(self, records: list) -> list:
        """
        Restore the newest snapshot that the stream continues without a gap.

        Return the records after it, or none if there is no such snapshot.
        """
        offsets = [offset for offset, _ in records]
        for _, record in reversed(records):
            if not isinstance(record, ConfigSnapshot):
                continue
            if record.through_offset + 1 >= offsets[0]:
                self.context.configuration.restore(record)
                return [(o, r) for o, r in records if o > record.through_offset]
        # Guards against an incomplete configuration: records expired before they
        # were read, and no snapshot covers them. A peer may still send the whole
        # configuration; until then the old one, if any, stays in force.
        log.error(
            "config: Records expired before they were read.", oldest_offset=offsets[:1]
        )
        return []

    def _apply(self, offset: int, record: ConfigRecord) -> None:
        verdict = self.context.configuration.apply(offset, record)
        if isinstance(verdict, Stale):
            return
        self.peering.remember(offset, record)
        self.planner.on_verdict(offset, record, verdict)
        if isinstance(record, ConfigSnapshot):
            self._snapshot_offset = offset
        now_s = self.context.now_s()
        text = f"Offset {offset}: {type(verdict).__name__.lower()}."
        self.context.events.add(now_s - self.context.started_s, "config", text)
        log.info(f"config: {text}", record=record.record_id)

    def _on_config_batch(self, batch: ConfigBatch) -> None:
        """Apply configuration records that a peer sent."""
        configuration = self.context.configuration
        for offset, data in batch.entries:
            record = decode(config_decoder, data)
            if batch.whole and isinstance(record, ConfigSnapshot):
                configuration.restore(record)
            elif batch.after_offset <= configuration.offset:
                self._apply(offset, record)
        self.config_link.skip_to(configuration.offset + 1)
        self.fleet.configure()

    def _snapshot(self) -> None:
        """
        Append a snapshot of the configuration before its records expire.

        Rendezvous hashing selects the instance that appends it. If two do, the
        second snapshot has the same content and changes nothing.
        """
        configuration = self.context.configuration
        since = configuration.offset - self._snapshot_offset
        if since < self.context.limits.config_snapshot_records:
            return
        live = self.context.membership.live(self.context.now_s())
        own_id = self.context.settings.instance_id
        if self.context.membership.choose("config-snapshot", live) != own_id:
            return
        record_id = f"snapshot/{self.context.incarnation}/{configuration.offset}"
        self.config_link.append(configuration.snapshot(record_id))
        self._snapshot_offset = configuration.offset

    def _serve_queues(self, now_s: float) -> None:
        for service in self.dispatcher.service_load:
            self.dispatcher.serve_queue(service, now_s)

    def _leave(self, done: asyncio.Future[None], now_s: float) -> None:
        """Stop accepting work and name a successor for the owned jobs."""
        self.context.leaving = True
        live = self.context.membership.live(now_s)
        self.jobs.hand_over(live)
        self.heartbeat_due_s = now_s
        done.set_result(None)


def _owner_of(notice: Notice) -> str:
    if isinstance(notice, OwnerInventory):
        return notice.dead_owner
    return notice.order.owner
