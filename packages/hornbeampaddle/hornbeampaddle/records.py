"""
Define the durable records in the log service's streams.

Each record has an id that is generated before its first append. An append whose
answer was lost is repeated with the same id, and readers skip ids that they have
already applied, so a record takes effect once.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._/-]+$")]
Count = Annotated[int, Meta(ge=0, le=10**15)]
Ratio = Annotated[float, Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, Meta(ge=0.0, le=10.0**9)]

CONFIG_STREAM = "config"


def home_stream(data_centre: str) -> str:
    """Return the name of the stream of one data centre's jobs."""
    return f"home.{data_centre}"


class Needs(Struct, frozen=True, forbid_unknown_fields=True):
    """The resources of one slot or one task, as stated by users."""

    cpu_millis: Count = 0
    memory_bytes: Count = 0
    accelerators: Count = 0


class SetService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Add or replace a service; ``placement`` names the workers that reserve slots."""

    service: Name
    repeat: str
    needs: Needs
    slots_per_worker: Annotated[int, Meta(ge=1, le=1000)]
    team: Name
    placement: tuple[Name, ...] = ()
    in_flight_max: Annotated[int, Meta(ge=1)] = 1_000_000


class RemoveService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Remove a service; requests in flight finish, new ones are refused."""

    service: Name


class SetDrain(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Start or end the drain of a worker, a rack or a data centre."""

    zone: str
    name: Name
    draining: bool


class SetEvacuation(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Start or end an evacuation: no new work starts, running work continues."""

    data_centre: Name
    evacuated: bool


class SetQuota(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit the total resources of one team's running batch tasks."""

    team: Name
    needs: Needs


class SetLimit(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit the number of a service's requests in flight."""

    service: Name
    in_flight_max: Annotated[int, Meta(ge=1)]


Change = SetService | RemoveService | SetDrain | SetEvacuation | SetQuota | SetLimit


class ConfigChange(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """
    A confirmed plan: either all of its changes take effect or none.

    ``based_on`` maps each object that the plan was computed from to the offset of
    the object's last change (-1 for none). If the offset of any object differs, the
    record is void, for every reader alike.
    """

    record_id: str
    based_on: dict[str, int]
    changes: tuple[Change, ...]
    operator: str = ""


class ConfigSnapshot(Struct, frozen=True, tag=True):
    """The full configuration through an offset, written before records expire."""

    record_id: str
    through_offset: int
    services: tuple[SetService, ...] = ()
    drains: tuple[SetDrain, ...] = ()
    evacuations: tuple[SetEvacuation, ...] = ()
    quotas: tuple[SetQuota, ...] = ()
    versions: dict[str, int] = msgspec.field(default_factory=dict)
    applied: dict[str, int] = msgspec.field(default_factory=dict)


ConfigRecord = ConfigChange | ConfigSnapshot


class JobSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """A job as specified by its submitter: ``tasks`` identical tasks."""

    job_id: Name
    team: Name
    kind: Name
    tasks: Annotated[int, Meta(ge=1, le=10_000)]
    needs: Needs
    run_s: Seconds
    urgent: bool = False
    costly_to_evict: bool = False
    at_most_once: bool = False


class JobAccepted(Struct, frozen=True, tag=True):
    """A job was accepted; the first record of a job id determines its owner."""

    record_id: str
    spec: JobSpec
    owner: str


class TasksEnded(Struct, frozen=True, tag=True):
    """Final results of tasks, which may be of several jobs, in one batch."""

    record_id: str
    ended: dict[str, str]


class Setbacks(Struct, frozen=True, array_like=True):
    """
    The attempts of a task that count against its limits, as (term, number).

    ``failed`` contains all failed attempts, ``lost`` the consecutive attempts that
    were lost with their workers.
    """

    failed: list[tuple[int, int]]
    lost: list[tuple[int, int]]


class TasksAdvanced(Struct, frozen=True, tag=True):
    """
    The progress of tasks, as known to their owner.

    ``advanced`` maps a task id to (attempt number, generation).
    """

    record_id: str
    advanced: dict[str, tuple[int, int]]
    setbacks: dict[str, Setbacks] = msgspec.field(default_factory=dict)


class JobCancelled(Struct, frozen=True, tag=True):
    """A job was cancelled and must not run any further."""

    record_id: str
    job_id: str


class Succession(Struct, frozen=True, tag=True):
    """
    One owner takes over all jobs of another.

    The first record for a dead owner wins, in the order of the log.
    """

    record_id: str
    dead_owner: str
    successor: str


class JobSnapshot(Struct, frozen=True, tag=True):
    """
    The full state of a live job, rewritten before its older records expire.

    ``term`` is the offset of the record that made ``owner`` the job's owner.
    """

    record_id: str
    spec: JobSpec
    owner: str
    term: int
    ended: dict[str, str]
    advanced: dict[str, tuple[int, int]]
    cancelled: bool = False
    setbacks: dict[str, Setbacks] = msgspec.field(default_factory=dict)


HomeRecord = (
    JobAccepted | JobSnapshot | TasksEnded | TasksAdvanced | JobCancelled | Succession
)
