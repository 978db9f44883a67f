"""
Apply the configuration stream in offset order, and never go back.

Every instance applies the same records in the same order and reaches the same
verdict on each, so the offset alone says which configuration is in force.
"""

from dataclasses import dataclass, field
from enum import Enum

from .machines import Worker
from .records import (
    Change,
    ConfigChange,
    ConfigRecord,
    ConfigSnapshot,
    Needs,
    RemoveService,
    SetDrain,
    SetEvacuation,
    SetLimit,
    SetQuota,
    SetService,
)
from .resources import NOTHING, Resources

UNKNOWN_OFFSET = -1
APPLIED_IDS_KEPT = 10_000


class Repeat(Enum):
    """What a service allows when a request may already have run."""

    IDEMPOTENT = "idempotent"
    EXCLUSIVE = "exclusive"
    AT_MOST_ONCE = "at_most_once"


class ZoneKind(Enum):
    """The kinds of zone that an operator can drain."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


@dataclass(frozen=True, slots=True)
class Applied:
    """The record took effect at this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Void:
    """The record has no effect, here and on every other instance."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class Stale:
    """The record is at or before the offset in force; nothing changed."""

    offset: int


Verdict = Applied | Void | Stale


def object_of(change: Change) -> str:
    """Return the name of the object that a change writes."""
    match change:
        case SetService() | RemoveService() | SetLimit():
            return f"service:{change.service}"
        case SetDrain():
            return f"{change.zone}:{change.name}"
        case SetEvacuation():
            return f"evacuation:{change.data_centre}"
        case SetQuota():
            return f"quota:{change.team}"


def room_of(worker_id: str) -> str:
    """Return the name of the object that stands for a worker's room."""
    return f"room:{worker_id}"


def resources_of(needs: Needs) -> Resources:
    """Turn the border model of needs into the inner data class."""
    return Resources(needs.cpu_millis, needs.memory_bytes, needs.accelerators)


@dataclass(slots=True)
class Configuration:
    """What is in force, and the offset that put it in force."""

    offset: int = UNKNOWN_OFFSET
    services: dict[str, SetService] = field(default_factory=dict)
    drains: dict[tuple[str, str], SetDrain] = field(default_factory=dict)
    evacuations: dict[str, SetEvacuation] = field(default_factory=dict)
    quotas: dict[str, SetQuota] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    applied: dict[str, int] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        """Tell whether any point of the stream has been reached."""
        return self.offset != UNKNOWN_OFFSET

    def version(self, name: str) -> int:
        """Return the offset of the last change to an object, or -1."""
        return self.versions.get(name, UNKNOWN_OFFSET)

    def apply(self, offset: int, record: ConfigRecord) -> Verdict:
        """Apply one record read from the stream at ``offset``."""
        # Guards against a configuration that reverts: a lagging peer or a
        # repeated read delivers old records again, which shows as a service or
        # drain flipping back. Offsets only grow, so an old one is never newer.
        if offset <= self.offset:
            return Stale(offset)
        self.offset = offset
        match record:
            case ConfigSnapshot():
                # Whoever reads it here has applied all that it sums up.
                return Applied(offset)
            case ConfigChange():
                return self._change(offset, record)

    def _change(self, offset: int, record: ConfigChange) -> Verdict:
        # Guards against a doubled change: the answer of an append was lost and
        # the writer appended the same record again.
        if record.record_id in self.applied:
            return Void(offset, "repeated record")
        for name, seen in record.based_on.items():
            if self.version(name) != seen:
                return Void(offset, f"{name} changed at offset {self.version(name)}")
        for change in record.changes:
            for name in self._rooms_of(change):
                self.versions[name] = offset
            self._write(change)
            self.versions[object_of(change)] = offset
        self.applied[record.record_id] = offset
        if len(self.applied) > APPLIED_IDS_KEPT:
            self.applied.pop(next(iter(self.applied)))
        return Applied(offset)

    def _rooms_of(self, change: Change) -> set[str]:
        # Guards against two plans that reserve the same room: each was computed
        # without the other and writes another service, so only an object of the
        # worker itself, which both read and both write, lets one of them win.
        match change:
            case SetService():
                old = self.services.get(change.service)
                workers = set(change.placement) | set(old.placement if old else ())
            case RemoveService():
                old = self.services.get(change.service)
                workers = set(old.placement if old else ())
            case _:
                workers = set()
        return {room_of(worker_id) for worker_id in workers}

    def _write(self, change: Change) -> None:
        match change:
            case SetService():
                self.services[change.service] = change
            case RemoveService():
                self.services.pop(change.service, None)
            case SetDrain(draining=True):
                self.drains[(change.zone, change.name)] = change
            case SetDrain():
                self.drains.pop((change.zone, change.name), None)
            case SetEvacuation(evacuated=True):
                self.evacuations[change.data_centre] = change
            case SetEvacuation():
                self.evacuations.pop(change.data_centre, None)
            case SetQuota():
                self.quotas[change.team] = change
            case SetLimit():
                self._limit(change)

    def _limit(self, change: SetLimit) -> None:
        old = self.services.get(change.service)
        if old is None:
            return
        self.services[change.service] = SetService(
            service=old.service,
            repeat=old.repeat,
            needs=old.needs,
            slots_per_worker=old.slots_per_worker,
            team=old.team,
            placement=old.placement,
            in_flight_max=change.in_flight_max,
        )

    def restore(self, snapshot: ConfigSnapshot) -> Verdict:
        """
        Take over a whole configuration, if it is newer than the one in force.

        Records after ``snapshot.through_offset`` are to be applied next.
        """
        if snapshot.through_offset <= self.offset:
            return Stale(snapshot.through_offset)
        self.offset = snapshot.through_offset
        self.services = {s.service: s for s in snapshot.services}
        self.drains = {(d.zone, d.name): d for d in snapshot.drains}
        self.evacuations = {e.data_centre: e for e in snapshot.evacuations}
        self.quotas = {q.team: q for q in snapshot.quotas}
        self.versions = dict(snapshot.versions)
        self.applied = dict(snapshot.applied)
        return Applied(self.offset)

    def snapshot(self, record_id: str) -> ConfigSnapshot:
        """Return a record that restores exactly this configuration."""
        return ConfigSnapshot(
            record_id=record_id,
            through_offset=self.offset,
            services=tuple(self.services.values()),
            drains=tuple(self.drains.values()),
            evacuations=tuple(self.evacuations.values()),
            quotas=tuple(self.quotas.values()),
            versions=dict(self.versions),
            applied=dict(self.applied),
        )

    def is_draining(self, worker: Worker) -> bool:
        """Tell whether the worker, its rack or its data centre is drained."""
        if not self.drains:
            return False
        zones = (
            (ZoneKind.WORKER.value, worker.worker_id),
            (ZoneKind.RACK.value, worker.rack),
            (ZoneKind.DATA_CENTRE.value, worker.data_centre),
        )
        return any(zone in self.drains for zone in zones)

    def takes_work(self, worker: Worker) -> bool:
        """Tell whether anything new may start on a worker."""
        evacuated = worker.data_centre in self.evacuations
        return not evacuated and not self.is_draining(worker)

    def services_on(self, worker_id: str) -> list[SetService]:
        """Return the services that have room reserved on a worker."""
        return [s for s in self.services.values() if worker_id in s.placement]

    def reserved_on(self, worker_id: str) -> Resources:
        """Return what the services on a worker hold back for their slots."""
        total = NOTHING
        for service in self.services_on(worker_id):
            total = total + resources_of(service.needs).times(service.slots_per_worker)
        return total
