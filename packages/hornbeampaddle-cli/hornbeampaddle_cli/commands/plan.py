"""Request the plan for an intent; nothing changes until it is confirmed."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
import msgspec

from hornbeampaddle.intents import (
    AddJob,
    AddService,
    ChangeLimit,
    ChangeQuota,
    Drain,
    DropService,
    Evacuate,
    Intent,
)
from hornbeampaddle.records import JobSpec, Needs

from ..client import OperatorOptions, operator_call
from ..errors import EXIT_REFUSED, UserError
from ..tables import table

MIB = 1024 * 1024


@dataclass
class NeedsOptions:
    """Resource options of a slot, a task or a team's quota."""

    cpu_millis: Annotated[int, cappa.Arg(long="--cpu-millis")] = 1000
    memory_mib: Annotated[int, cappa.Arg(long="--memory-mib")] = 1024
    accelerators: Annotated[int, cappa.Arg(long="--accelerators")] = 0

    def needs(self) -> Needs:
        """Return the resources; raise UserError if one is negative."""
        if min(self.cpu_millis, self.memory_mib, self.accelerators) < 0:
            raise UserError("resource sizes must not be negative")
        return Needs(self.cpu_millis, self.memory_mib * MIB, self.accelerators)


@dataclass
class PlanOptions(OperatorOptions):
    """Options of every plan command."""

    out: Annotated[
        Path | None, cappa.Arg(long="--out", help="Where to write the plan.")
    ] = None

    def request_plan(self, intent: Intent) -> None:
        """Request the plan for an intent, save it to a file and print it."""
        body = msgspec.json.encode(intent)
        plan = operator_call(self, "POST", "/v1/plans", body)
        path = self.out or Path(f"plan-{plan['plan_id']}.json")
        path.write_text(json.dumps(plan, indent=2) + "\n")
        if self.json:
            print(json.dumps(plan))
        else:
            print_plan(plan, path)
        if any(effect["verb"] == "refuse" for effect in plan["effects"]):
            raise UserError("the plan refuses the intent", EXIT_REFUSED)


def print_plan(plan: dict[str, Any], path: Path) -> None:
    """Print a plan for people."""
    print(f"Plan {plan['plan_id']}, from configuration {plan['config_offset']}.")
    rows = [(e["verb"], e["subject"], e["detail"]) for e in plan["effects"]]
    if rows:
        print(table(("does", "to", "detail"), rows))
    left = plan["capacity_left"]
    print(
        f"Left for batch now: {left['cpu_millis'] / 1000:g} cores, "
        f"{left['memory_bytes'] // MIB} MiB, {left['accelerators']} accelerators."
    )
    for risk in plan["risks"]:
        print(f"Risk: {risk}.")
    print(f"Nothing has changed. To apply: hornbeampaddle confirm {path}")


@cappa.command(name="add-service", help="Add or resize a service.")
@dataclass
class PlanAddService(PlanOptions):
    """Plan a service."""

    service: str = ""
    team: Annotated[str, cappa.Arg(long="--team")] = "default"
    repeat: Annotated[
        Literal["idempotent", "exclusive", "at_most_once"],
        cappa.Arg(long="--repeat", help="How a repeated request is handled."),
    ] = "exclusive"
    slots: Annotated[int, cappa.Arg(long="--slots", help="Slots per worker.")] = 8
    workers: Annotated[
        int, cappa.Arg(long="--workers", help="Number of workers; 0 for all that fit.")
    ] = 0
    data_centre: Annotated[list[str], cappa.Arg(long="--data-centre")] = field(
        default_factory=list
    )
    needs: cappa.Destructured[NeedsOptions] = field(default_factory=NeedsOptions)

    def __call__(self) -> None:
        """Request the plan."""
        intent = AddService(
            service=self.service,
            repeat=self.repeat,
            needs=self.needs.needs(),
            team=self.team,
            slots_per_worker=self.slots,
            workers=self.workers,
            data_centres=tuple(self.data_centre),
        )
        self.request_plan(intent)


@cappa.command(name="remove-service", help="Remove a service.")
@dataclass
class PlanRemoveService(PlanOptions):
    """Plan a removal."""

    service: str = ""

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(DropService(self.service))


@cappa.command(name="drain", help="Drain a worker, rack or data centre.")
@dataclass
class PlanDrain(PlanOptions):
    """Plan a drain."""

    zone: Literal["worker", "rack", "data_centre"] = "worker"
    name: str = ""

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(Drain(self.zone, self.name, True))


@cappa.command(name="undrain", help="End the drain of a worker, rack or data centre.")
@dataclass
class PlanUndrain(PlanOptions):
    """Plan the end of a drain."""

    zone: Literal["worker", "rack", "data_centre"] = "worker"
    name: str = ""

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(Drain(self.zone, self.name, False))


@cappa.command(name="evacuate", help="Start nothing new in a data centre.")
@dataclass
class PlanEvacuate(PlanOptions):
    """Plan an evacuation; running tasks continue."""

    data_centre: str = ""

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(Evacuate(self.data_centre, True))


@cappa.command(name="take-back", help="End the evacuation of a data centre.")
@dataclass
class PlanTakeBack(PlanOptions):
    """Plan the end of an evacuation."""

    data_centre: str = ""

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(Evacuate(self.data_centre, False))


@cappa.command(name="set-limit", help="Limit a service's requests in flight.")
@dataclass
class PlanSetLimit(PlanOptions):
    """Plan a limit."""

    service: str = ""
    in_flight_max: int = 1

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(ChangeLimit(self.service, self.in_flight_max))


@cappa.command(name="set-quota", help="Limit the resources of a team's batch tasks.")
@dataclass
class PlanSetQuota(PlanOptions):
    """Plan a quota."""

    team: str = ""
    needs: cappa.Destructured[NeedsOptions] = field(default_factory=NeedsOptions)

    def __call__(self) -> None:
        """Request the plan."""
        self.request_plan(ChangeQuota(self.team, self.needs.needs()))


@cappa.command(name="add-job", help="Submit a job through a plan.")
@dataclass
class PlanAddJob(PlanOptions):
    """Plan a job."""

    job_id: str = ""
    team: Annotated[str, cappa.Arg(long="--team")] = "default"
    kind: Annotated[str, cappa.Arg(long="--kind")] = "batch"
    tasks: Annotated[int, cappa.Arg(long="--tasks")] = 1
    run_s: Annotated[float, cappa.Arg(long="--run-s")] = 1.0
    urgent: Annotated[bool, cappa.Arg(long="--urgent")] = False
    needs: cappa.Destructured[NeedsOptions] = field(default_factory=NeedsOptions)

    def __call__(self) -> None:
        """Request the plan."""
        spec = JobSpec(
            job_id=self.job_id,
            team=self.team,
            kind=self.kind,
            tasks=self.tasks,
            needs=self.needs.needs(),
            run_s=self.run_s,
            urgent=self.urgent,
        )
        self.request_plan(AddJob(spec))


@cappa.command(
    name="plan", help="Request the plan for an intent; print it and save it."
)
@dataclass
class PlanCommand:
    """The kinds of intent."""

    intent: cappa.Subcommands[
        PlanAddService
        | PlanRemoveService
        | PlanDrain
        | PlanUndrain
        | PlanEvacuate
        | PlanTakeBack
        | PlanSetLimit
        | PlanSetQuota
        | PlanAddJob
    ]
