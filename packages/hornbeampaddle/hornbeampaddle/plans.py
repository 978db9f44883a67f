"""
Turn an operator's intent into a plan, and a confirmed plan into a record.

A plan is an immutable value: it contains the intent, the changes to make, the
versions that it was computed from and what it would move, stop or refuse. On
confirmation it is computed again; if by then more would be stopped or refused,
the plan is rejected and the operator has to request a new one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash
from msgspec import Struct
from result import Err, Ok, Result

from .configuration import (
    Configuration,
    Repeat,
    ZoneKind,
    capacity_object_of,
    object_of,
    resources_of,
)
from .contracts import TaskOrder
from .intents import (
    AddJob,
    AddService,
    ChangeLimit,
    ChangeQuota,
    Drain,
    DropService,
    Evacuate,
    Intent,
)
from .machines import Standing, Worker
from .placement import NeverFits, never_fits
from .records import (
    Change,
    ConfigChange,
    Needs,
    RemoveService,
    SetDrain,
    SetEvacuation,
    SetLimit,
    SetQuota,
    SetService,
)
from .resources import NOTHING, Resources

NO_NEW_WORK = "gets no new work"
TAKEN_BACK = "takes new work again"


class Effect(Struct, frozen=True):
    """One effect of a plan; ``verb`` is move, stop, refuse or reserve."""

    verb: str
    subject: str
    detail: str


class Plan(Struct, frozen=True):
    """The effects of confirming an intent, and the versions they are computed from."""

    plan_id: str
    intent: Intent
    config_offset: int
    based_on: dict[str, int]
    changes: tuple[Change, ...]
    effects: tuple[Effect, ...]
    capacity_left: Needs
    risks: tuple[str, ...] = ()

    def refused(self) -> bool:
        """Tell whether the plan refuses the intent."""
        return any(effect.verb == "refuse" for effect in self.effects)


@dataclass(slots=True)
class PlanInputs:
    """The state that a plan is computed from."""

    configuration: Configuration
    workers: list[Worker]
    # Attempts by worker id, as far as this data centre knows them.
    running: dict[str, list[TaskOrder]] = field(default_factory=dict)
    free: dict[str, Resources] = field(default_factory=dict)
    # Entry instances that didn't report what runs on their workers.
    silent: tuple[str, ...] = ()


def make_plan(intent: Intent, inputs: PlanInputs) -> Result[Plan, str]:
    """Compute a plan, or return an error if the intent itself is invalid."""
    match intent:
        case AddService():
            return _add_service(intent, inputs)
        case DropService():
            return _drop_service(intent, inputs)
        case Drain():
            return _drain(intent, inputs)
        case Evacuate():
            return _evacuate(intent, inputs)
        case ChangeQuota():
            change = SetQuota(intent.team, intent.needs)
            return Ok(_plan(intent, inputs, [change], []))
        case ChangeLimit():
            return _change_limit(intent, inputs)
        case AddJob():
            return _add_job(intent, inputs)


def added_disruptions(plan: Plan, again: Plan) -> list[Effect]:
    """Return what the recomputed plan would stop or refuse in addition."""
    known = {(e.verb, e.subject) for e in plan.effects}
    return [
        effect
        for effect in again.effects
        if effect.verb in ("stop", "refuse")
        and (effect.verb, effect.subject) not in known
    ]


def record_of(plan: Plan, operator: str) -> ConfigChange:
    """Return the record that puts a plan into force."""
    return ConfigChange(plan.plan_id, plan.based_on, plan.changes, operator)


def _plan(
    intent: Intent,
    inputs: PlanInputs,
    changes: Iterable[Change],
    effects: list[Effect],
    also_read: Iterable[str] = (),
    risks: Iterable[str] = (),
) -> Plan:
    changes = tuple(changes)
    configuration = inputs.configuration
    names = {object_of(change) for change in changes} | set(also_read)
    based_on = {name: configuration.version(name) for name in sorted(names)}
    seed = msgspec.msgpack.encode([intent, based_on, changes])
    return Plan(
        plan_id=xxhash.xxh3_64_hexdigest(seed),
        intent=intent,
        config_offset=configuration.offset,
        based_on=based_on,
        changes=changes,
        effects=tuple(effects),
        capacity_left=_capacity_left(inputs),
        risks=(*risks, *_unknown_risks(inputs)),
    )


def _unknown_risks(inputs: PlanInputs) -> list[str]:
    return [
        f"{name} did not answer; what runs on its workers is not in this plan"
        for name in inputs.silent
    ]


def _usable(inputs: PlanInputs) -> list[Worker]:
    return [
        worker
        for worker in inputs.workers
        if worker.standing is Standing.LIVE and inputs.configuration.takes_work(worker)
    ]


def _not_draining(inputs: PlanInputs) -> list[Worker]:
    """Return the live workers that aren't draining, including evacuated ones."""
    return [
        worker
        for worker in inputs.workers
        if worker.standing is Standing.LIVE
        and not inputs.configuration.is_draining(worker)
    ]


def _capacity_left(inputs: PlanInputs) -> Needs:
    left = NOTHING
    for worker in _usable(inputs):
        reserved = inputs.configuration.reserved_on(worker.worker_id)
        free = inputs.free.get(worker.worker_id, worker.capacity - reserved)
        left = left + free
    return Needs(
        max(0, left.cpu_millis), max(0, left.memory_bytes), max(0, left.accelerators)
    )


def _add_service(intent: AddService, inputs: PlanInputs) -> Result[Plan, str]:
    if intent.repeat not in {repeat.value for repeat in Repeat}:
        choices = ", ".join(repeat.value for repeat in Repeat)
        return Err(f"repeat must be one of {choices}")
    if intent.slots_per_worker < 1:
        return Err("slots_per_worker must be at least 1")
    needs = resources_of(intent.needs).times(intent.slots_per_worker)
    old = inputs.configuration.services.get(intent.service)
    chosen = _choose_workers(intent, needs, inputs)
    if not chosen:
        detail = _why_no_worker(needs, intent, inputs)
        effects = [Effect("refuse", intent.service, detail)]
        return Ok(_plan(intent, inputs, [], effects))
    placement = tuple(worker.worker_id for worker in chosen)
    change = SetService(
        service=intent.service,
        repeat=intent.repeat,
        needs=intent.needs,
        slots_per_worker=intent.slots_per_worker,
        team=intent.team,
        placement=placement,
    )
    effects = [
        Effect("reserve", worker.worker_id, f"{intent.slots_per_worker} slots")
        for worker in chosen
    ]
    for worker in chosen:
        effects.extend(_evictions_on(worker, needs, old, inputs))
    zones = _zones_of(chosen)
    rooms = {capacity_object_of(worker.worker_id) for worker in chosen}
    return Ok(
        _plan(
            intent,
            inputs,
            [change],
            effects,
            also_read=zones | rooms,
            risks=_rack_risks(chosen, intent.slots_per_worker),
        )
    )


def _choose_workers(
    intent: AddService, needs: Resources, inputs: PlanInputs
) -> list[Worker]:
    """Choose workers with enough capacity for the reservation, spread over racks."""
    racks: dict[tuple[str, str], list[Worker]] = {}
    for worker in _usable(inputs):
        if intent.data_centres and worker.data_centre not in intent.data_centres:
            continue
        others = _others_on(inputs, worker, intent.service)
        slots = sum(s.slots_per_worker for s in others) + intent.slots_per_worker
        if slots > worker.slots:
            continue
        if needs.fits_in(worker.capacity - _reserved(others)):
            racks.setdefault((worker.data_centre, worker.rack), []).append(worker)
    spread: list[Worker] = []
    queues = [sorted(rack, key=lambda w: w.worker_id) for rack in racks.values()]
    while any(queues):
        spread.extend(queue.pop(0) for queue in queues if queue)
    return spread[: intent.workers] if intent.workers else spread


def _others_on(
    inputs: PlanInputs, worker: Worker, excluded_service: str
) -> list[SetService]:
    services = inputs.configuration.services_on(worker.worker_id)
    return [s for s in services if s.service != excluded_service]


def _reserved(services: list[SetService]) -> Resources:
    total = NOTHING
    for service in services:
        needs = resources_of(service.needs)
        total = total + needs.times(service.slots_per_worker)
    return total


def _why_no_worker(needs: Resources, intent: AddService, inputs: PlanInputs) -> str:
    match never_fits(needs, _usable(inputs)):
        case NeverFits() as never:
            return (
                f"{intent.slots_per_worker} slots never fit: {never.lacking} "
                f"too small even on the largest worker, {never.largest_worker}"
            )
        case _:
            return "no worker has room left beside the services already placed"


def _evictions_on(
    worker: Worker, needs: Resources, old: SetService | None, inputs: PlanInputs
) -> list[Effect]:
    """Return the evictions from a worker that a reservation requires."""
    free = inputs.free.get(worker.worker_id)
    if free is None:
        return []
    if old is not None and worker.worker_id in old.placement:
        free = free + resources_of(old.needs).times(old.slots_per_worker)
    effects = []
    orders = sorted(
        inputs.running.get(worker.worker_id, []),
        key=lambda order: (order.urgent, order.costly_to_evict),
    )
    for order in orders:
        if needs.fits_in(free):
            break
        free = free + order.needs
        effects.append(_stop(order, worker))
    return effects


def _stop(order: TaskOrder, worker: Worker) -> Effect:
    detail = f"evicted from {worker.worker_id} with a checkpoint, resumes elsewhere"
    return Effect("stop", str(order.attempt), detail)


def _zones_of(workers: list[Worker]) -> set[str]:
    zones = set()
    for worker in workers:
        zones.add(f"{ZoneKind.WORKER.value}:{worker.worker_id}")
        zones.add(f"{ZoneKind.RACK.value}:{worker.rack}")
        zones.add(f"{ZoneKind.DATA_CENTRE.value}:{worker.data_centre}")
    return zones


def _rack_risks(workers: list[Worker], slots: int) -> list[str]:
    by_rack: dict[str, int] = {}
    for worker in workers:
        by_rack[worker.rack] = by_rack.get(worker.rack, 0) + slots
    total = sum(by_rack.values())
    if not total:
        return []
    rack, most = max(by_rack.items(), key=lambda item: item[1])
    return [f"losing rack {rack} would take {most} of {total} slots"]


def _drop_service(intent: DropService, inputs: PlanInputs) -> Result[Plan, str]:
    service = inputs.configuration.services.get(intent.service)
    if service is None:
        return Err(f"there is no service {intent.service}; see 'status' for names")
    detail = "new requests are refused, those in flight end"
    effects = [Effect("stop", intent.service, detail)]
    return Ok(_plan(intent, inputs, [RemoveService(intent.service)], effects))


def _drain(intent: Drain, inputs: PlanInputs) -> Result[Plan, str]:
    if intent.zone not in {zone.value for zone in ZoneKind}:
        return Err("zone must be one of worker, rack, data_centre")
    affected = [w for w in inputs.workers if _in_zone(w, intent)]
    if not affected and intent.draining:
        return Err(f"the instance list names no worker in {intent.zone} {intent.name}")
    change = SetDrain(intent.zone, intent.name, intent.draining)
    if not intent.draining:
        effects = [Effect("reserve", w.worker_id, TAKEN_BACK) for w in affected]
        return Ok(_plan(intent, inputs, [change], effects))
    effects = []
    for worker in affected:
        effects.append(Effect("move", worker.worker_id, NO_NEW_WORK))
        for order in inputs.running.get(worker.worker_id, []):
            effects.append(_stop(order, worker))
    risks = _drain_risks(affected, inputs)
    return Ok(_plan(intent, inputs, [change], effects, risks=risks))


def _evacuate(intent: Evacuate, inputs: PlanInputs) -> Result[Plan, str]:
    name = intent.data_centre
    affected = [w for w in inputs.workers if w.data_centre == name]
    change = SetEvacuation(name, intent.evacuated)
    if not intent.evacuated:
        effects = [Effect("reserve", w.worker_id, TAKEN_BACK) for w in affected]
        return Ok(_plan(intent, inputs, [change], effects))
    if not affected:
        return Err(f"the instance list names no worker in data centre {name}")
    detail = f"{NO_NEW_WORK}, what runs there runs on"
    effects = [Effect("move", w.worker_id, detail) for w in affected]
    risks = _drain_risks(affected, inputs)
    return Ok(_plan(intent, inputs, [change], effects, risks=risks))


def _in_zone(worker: Worker, intent: Drain) -> bool:
    match ZoneKind(intent.zone):
        case ZoneKind.WORKER:
            return worker.worker_id == intent.name
        case ZoneKind.RACK:
            return worker.rack == intent.name
        case ZoneKind.DATA_CENTRE:
            return worker.data_centre == intent.name


def _drain_risks(affected: list[Worker], inputs: PlanInputs) -> list[str]:
    gone = {worker.worker_id for worker in affected}
    usable = {worker.worker_id for worker in _usable(inputs)}
    risks = []
    for service in inputs.configuration.services.values():
        before = [w for w in service.placement if w in usable]
        after = [w for w in before if w not in gone]
        if len(after) == len(before):
            continue
        slots = service.slots_per_worker
        left = len(after) * slots
        risks.append(f"{service.service} keeps {left} of {len(before) * slots} slots")
    return risks


def _change_limit(intent: ChangeLimit, inputs: PlanInputs) -> Result[Plan, str]:
    if intent.service not in inputs.configuration.services:
        return Err(f"there is no service {intent.service}; see 'status' for names")
    if intent.in_flight_max < 1:
        return Err("in_flight_max must be at least 1; to stop a service, remove it")
    change = SetLimit(intent.service, intent.in_flight_max)
    return Ok(_plan(intent, inputs, [change], []))


def _add_job(intent: AddJob, inputs: PlanInputs) -> Result[Plan, str]:
    spec = intent.spec
    needs = resources_of(spec.needs)
    match never_fits(needs, _not_draining(inputs)):
        case NeverFits() as never:
            detail = (
                f"never fits: {never.lacking} too small even on the largest "
                f"worker, {never.largest_worker}"
            )
            effects = [Effect("refuse", spec.job_id, detail)]
        case _:
            effects = [Effect("reserve", spec.job_id, f"{spec.tasks} tasks")]
    return Ok(_plan(intent, inputs, [], effects))
