"""
Apply the configuration stream in offset order, without ever reverting.

Every instance applies the same records in the same order and reaches the same
verdict on each, so the offset alone identifies the configuration in force.
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
APPLIED_RECORD_IDS_MAX = 10_000


class Repeat(Enum):
    """How a service allows a request to be repeated that may already have run."""

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
    """Return the name of the versioned object that a change writes."""
    match change:
        case SetService() | RemoveService() | SetLimit():
            return f"service:{change.service}"
        case SetDrain():
            return f"{change.zone}:{change.name}"
        case SetEvacuation():
            return f"evacuation:{change.data_centre}"
        case SetQuota():
            return f"quota:{change.team}"


def capacity_object_of(worker_id: str) -> str:
    """Return the name of the versioned object for a worker's capacity."""
    return f"room:{worker_id}"


def resources_of(needs: Needs) -> Resources:
    """Convert needs from their serialized form into ``Resources``."""
    return Resources(needs.cpu_millis, needs.memory_bytes, needs.accelerators)


@dataclass(slots=True)
class Configuration:
    """The configuration in force, and the stream offset through which it is applied."""

    offset: int = UNKNOWN_OFFSET
    services: dict[str, SetService] = field(default_factory=dict)
    drains: dict[tuple[str, str], SetDrain] = field(default_factory=dict)
    evacuations: dict[str, SetEvacuation] = field(default_factory=dict)
    quotas: dict[str, SetQuota] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    applied: dict[str, int] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        """Tell whether any record or snapshot has been applied."""
        return self.offset != UNKNOWN_OFFSET

    def version(self, name: str) -> int:
        """Return the offset of the last change to an object, or -1."""
        return self.versions.get(name, UNKNOWN_OFFSET)

    def apply(self, offset: int, record: ConfigRecord) -> Verdict:
        """Apply one record read from the stream at ``offset``."""
        # Guards against a configuration that reverts: a lagging peer or a
        # repeated read delivers old records again, and a service or drain would
        # flip back. Offsets only increase, so a record at a lower one is older.
        if offset <= self.offset:
            return Stale(offset)
        self.offset = offset
        match record:
            case ConfigSnapshot():
                # A reader at this offset has already applied all that it contains.
                return Applied(offset)
            case ConfigChange():
                return self._apply_change(offset, record)

    def _apply_change(self, offset: int, record: ConfigChange) -> Verdict:
        # Guards against a duplicate change: the answer to an append was lost and
        # the writer appended the same record again.
        if record.record_id in self.applied:
            return Void(offset, "repeated record")
        for name, seen in record.based_on.items():
            if self.version(name) != seen:
                return Void(offset, f"{name} changed at offset {self.version(name)}")
        for change in record.changes:
            for name in self._capacity_objects_of(change):
                self.versions[name] = offset
            self._write(change)
            self.versions[object_of(change)] = offset
        self.applied[record.record_id] = offset
        if len(self.applied) > APPLIED_RECORD_IDS_MAX:
            self.applied.pop(next(iter(self.applied)))
        return Applied(offset)

    def _capacity_objects_of(self, change: Change) -> set[str]:
        # Guards against two plans that reserve the same capacity: each is computed
        # without the other and writes a different service, so their conflict shows
        # only in an object for the worker itself, which both read and write.
        match change:
            case SetService():
                old = self.services.get(change.service)
                workers = set(change.placement) | set(old.placement if old else ())
            case RemoveService():
                old = self.services.get(change.service)
                workers = set(old.placement if old else ())
            case _:
                workers = set()
        return {capacity_object_of(worker_id) for worker_id in workers}

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
                self._apply_limit(change)

    def _apply_limit(self, change: SetLimit) -> None:
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
        Replace the configuration by a snapshot, if it is newer than the one in force.

        Records after ``snapshot.through_offset`` must be applied next.
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
        """Tell whether the worker, its rack or its data centre is being drained."""
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
        """Return the services that have capacity reserved on a worker."""
        return [s for s in self.services.values() if worker_id in s.placement]

    def reserved_on(self, worker_id: str) -> Resources:
        """Return the capacity that the services on a worker reserve for their slots."""
        total = NOTHING
        for service in self.services_on(worker_id):
            total = total + resources_of(service.needs).times(service.slots_per_worker)
        return total
