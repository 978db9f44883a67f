"""Exchange heartbeats with the other entry instances of the data centre."""

from collections import deque

import msgspec
import structlog

from hornbeampaddle.identity import AttemptId, instance_of
from hornbeampaddle.machines import Worker
from hornbeampaddle.membership import Member
from hornbeampaddle.messages import ConfigBatch, Heartbeat
from hornbeampaddle.records import ConfigChange, ConfigRecord, ConfigSnapshot
from hornbeampaddle.resources import Resources
from hornbeampaddle.wire_conversion import needs_of

from .context import Context
from .fleet import Fleet
from .job_manager import JobManager

RECENT_RECORDS_MAX = 500
BATCH_RECORDS_MAX = 100
HEARTBEATS_PER_FULL_SUMMARY = 20

log = structlog.get_logger()


class Peering:
    """Exchanges heartbeats with peers and sends configuration to those that lag."""

    def __init__(self, context: Context, fleet: Fleet, jobs: JobManager) -> None:
        """Add the peers in the settings to the membership."""
        self.context = context
        self.fleet = fleet
        self.jobs = jobs
        self.heartbeats_sent = 0
        # Number of free slots in peers' slot groups, by peer, worker and service.
        self.peer_slots: dict[str, dict[str, dict[str, int]]] = {}
        self.records: deque[tuple[int, ConfigRecord]] = deque(maxlen=RECENT_RECORDS_MAX)
        for peer in context.settings.peers:
            context.membership.add(peer.instance_id)

    def beat(self, now_s: float, log_reachable: bool) -> None:
        """Send a heartbeat to every peer."""
        self.heartbeats_sent += 1
        full = self.heartbeats_sent % HEARTBEATS_PER_FULL_SUMMARY == 1
        summaries = self.fleet.summaries(full)
        released = self.fleet.take_released()
        disowned = tuple(str(a) for a in self.jobs.owner.disowned())
        until_s = self.jobs.authority_until_s()
        for member in self.context.membership.members.values():
            clock = member.clock
            heartbeat = Heartbeat(
                owner=self.jobs.name,
                sent_s=now_s,
                echo_s=clock.stamp_s if clock.known else 0.0,
                leaving=self.context.leaving,
                log_reachable=log_reachable,
                config_offset=self.context.configuration.offset,
                home_offset=self.jobs.table.offset,
                authority_until_s=clock.remote_deadline_before(until_s)
                if clock.known
                else 0.0,
                promise_until_s=self._promise(member, now_s),
                disowned=disowned,
                workers=summaries,
                released=released,
            )
            self.context.send(member.instance_id, heartbeat)

    def _promise(self, member: Member, now_s: float) -> float:
        if not member.clock.known or not self.jobs.may_promise(member.owner):
            return 0.0
        return member.clock.remote_deadline_before(
            now_s + self.context.timing.authority_s
        )

    def heard(self, sender: str, beat: Heartbeat, now_s: float) -> None:
        """Handle a peer's heartbeat."""
        member = self.context.membership.members.get(instance_of(sender))
        if member is None:
            log.warning("peers: Heartbeat from an unknown instance.", sender=sender)
            return
        if member.incarnation != sender:
            self._new_incarnation(member, sender)
        member.owner = beat.owner
        member.heard_s = now_s
        member.leaving = beat.leaving
        member.log_reachable = beat.log_reachable
        member.config_offset = beat.config_offset
        member.home_offset = beat.home_offset
        member.clock.observe(beat.sent_s, now_s)
        self._apply_authority(member, beat)
        self._apply_worker_summaries(member, beat, now_s)
        if beat.config_offset < self.context.configuration.offset:
            self._send_configuration(member, beat.config_offset)

    def _new_incarnation(self, member: Member, sender: str) -> None:
        fresh = self.context.membership.add(member.instance_id)
        member.clock = fresh.clock
        member.incarnation = sender
        member.promised_until_s = float("-inf")
        self.context.membership.members[member.instance_id] = member
        self.peer_slots.pop(member.instance_id, None)
        log.info("peers: First heartbeat from an incarnation.", sender=sender)

    def _apply_authority(self, member: Member, beat: Heartbeat) -> None:
        # Both times are on our clock: the peer computed them from the last timestamp
        # that it received from us, so a delayed heartbeat can't extend them.
        self.context.owners.heard(beat.owner, beat.authority_until_s)
        if beat.promise_until_s > 0:
            member.promised_until_s = beat.promise_until_s
        else:
            member.promised_until_s = float("-inf")
        for text in beat.disowned:
            attempt = AttemptId.parse(text)
            for decider in self.fleet.held():
                decider.disown(attempt)

    def _apply_worker_summaries(
        self, member: Member, beat: Heartbeat, now_s: float
    ) -> None:
        slots = self.peer_slots.setdefault(member.instance_id, {})
        for worker_id in beat.released:
            slots.pop(worker_id, None)
        for summary in beat.workers:
            worker = self.context.workers.get(summary.worker_id)
            if worker is None:
                continue
            slots[summary.worker_id] = summary.free_slots
            open_ = summary.open and self.context.usable(worker)
            free = needs_of(summary.free)
            self._apply_capacity(
                worker, member.instance_id, summary.epoch, free, open_, now_s
            )

    def update_own_capacity(self, now_s: float) -> None:
        """Apply our own deciders' reports on their workers' capacity."""
        own_id = self.context.settings.instance_id
        for decider in self.fleet.held():
            open_ = self.context.usable(decider.worker) and not self.context.leaving
            room = decider.allocation_table.batch_room()
            self._apply_capacity(
                decider.worker, own_id, decider.epoch, room, open_, now_s
            )

    def _apply_capacity(
        self,
        worker: Worker,
        decider: str,
        epoch: int,
        free: Resources,
        open_: bool,
        now_s: float,
    ) -> None:
        capacity_view = self.jobs.capacity_view
        if capacity_view.heard(worker, decider, epoch, free, open_, now_s):
            self.jobs.owner.decider_changed(worker.worker_id)

    def doubt_attempts_without_decider(self, now_s: float) -> None:
        """Mark attempts as in doubt on workers whose decider is lost."""
        held = {d.worker.worker_id for d in self.fleet.held()}
        for worker_id, room in self.jobs.capacity_view.capacities.items():
            if worker_id in held:
                continue
            own_id = self.context.settings.instance_id
            lost = room.decider == own_id or not self.context.membership.is_live(
                room.decider, now_s
            )
            if lost:
                room.open = False
                self.jobs.owner.decider_lost(worker_id, now_s)

    def remember(self, offset: int, record: ConfigRecord) -> None:
        """Keep a configuration record to send to lagging peers."""
        self.records.append((offset, record))

    def _send_configuration(self, member: Member, offset: int) -> None:
        """
        Send a lagging peer the records that it lacks.

        If they are too many or not all kept, a snapshot is sent instead.
        """
        kept = [(o, r) for o, r in self.records if o > offset]
        complete = bool(self.records) and self.records[0][0] <= offset + 1
        if complete and len(kept) <= BATCH_RECORDS_MAX:
            entries = tuple((o, msgspec.msgpack.encode(r)) for o, r in kept)
            self.context.send(member.instance_id, ConfigBatch(offset, entries))
            return
        snapshot = self.context.configuration.snapshot("peer")
        entry = (snapshot.through_offset, msgspec.msgpack.encode(snapshot))
        batch = ConfigBatch(offset, (entry,), whole=True)
        self.context.send(member.instance_id, batch)


config_decoder = msgspec.msgpack.Decoder(ConfigChange | ConfigSnapshot)
