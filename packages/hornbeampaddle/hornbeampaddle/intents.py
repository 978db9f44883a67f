"""Define the intents that operators can submit for planning."""

from msgspec import Struct

from .records import JobSpec, Name, Needs


class AddService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Add or resize a service on up to ``workers`` workers (0: all that fit)."""

    service: Name
    repeat: str
    needs: Needs
    team: Name
    slots_per_worker: int = 8
    workers: int = 0
    data_centres: tuple[Name, ...] = ()


class DropService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Remove a service."""

    service: Name


class Drain(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Drain a worker, a rack or a data centre, or end its drain."""

    zone: str
    name: Name
    draining: bool = True


class Evacuate(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Start or end the evacuation of a data centre, where no new work starts."""

    data_centre: Name
    evacuated: bool = True


class ChangeQuota(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit the total resources of a team's running batch tasks."""

    team: Name
    needs: Needs


class ChangeLimit(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit the number of a service's requests in flight."""

    service: Name
    in_flight_max: int


class AddJob(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Submit a job through a plan."""

    spec: JobSpec


Intent = (
    AddService | DropService | Drain | Evacuate | ChangeQuota | ChangeLimit | AddJob
)
