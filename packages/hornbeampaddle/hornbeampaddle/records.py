"""
Define the records that last, as they stand in the log service's streams.

Each record carries an id chosen before the first append. An append whose
answer was lost is repeated with the same id, and readers skip an id that they
have already applied, so a record takes effect once.
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
    """Return the stream that holds one data centre's jobs."""
    return f"home.{data_centre}"


class Needs(Struct, frozen=True, forbid_unknown_fields=True):
    """What one slot or one task needs, as written by people."""

    cpu_millis: Count = 0
    memory_bytes: Count = 0
    accelerators: Count = 0


class SetService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Add or replace a service, with the workers it has room on."""

    service: Name
    repeat: str
    needs: Needs
    slots_per_worker: Annotated[int, Meta(ge=1, le=1000)]
    team: Name
    placement: tuple[Name, ...] = ()
    in_flight_max: Annotated[int, Meta(ge=1)] = 1_000_000


class RemoveService(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Take a service out; requests in flight end, new ones are refused."""

    service: Name


class SetDrain(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Start or end the drain of a worker, a rack or a data centre."""

    zone: str
    name: Name
    draining: bool


class SetEvacuation(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Let nothing new start in a data centre, or end that; what runs there runs on."""

    data_centre: Name
    evacuated: bool


class SetQuota(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit what the batch tasks of one team hold at once."""

    team: Name
    needs: Needs


class SetLimit(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Limit the requests of a service that are in flight at once."""

    service: Name
    in_flight_max: Annotated[int, Meta(ge=1)]


Change = SetService | RemoveService | SetDrain | SetEvacuation | SetQuota | SetLimit


class ConfigChange(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """
    A confirmed plan: all of its changes take effect, or none.

    ``based_on`` gives, for each object the plan was computed from, the offset
    of the change that the object had last seen (-1 for none). A reader that
    finds another offset there voids the record, as every other reader does.
    """

    record_id: str
    based_on: dict[str, int]
    changes: tuple[Change, ...]
    operator: str = ""


class ConfigSnapshot(Struct, frozen=True, tag=True):
    """The whole configuration through an offset, written before records expire."""

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
    """A job as its submitter states it: ``tasks`` equal tasks."""

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
    """A job is durable; the first record of a job id names its owner."""

    record_id: str
    spec: JobSpec
    owner: str


class TasksEnded(Struct, frozen=True, tag=True):
    """Tasks of any jobs reached their end; written in groups."""

    record_id: str
    ended: dict[str, str]


class Setbacks(Struct, frozen=True, array_like=True):
    """
    The attempts of a task that count against its limits, as (term, number).

    ``failed`` are all that failed, ``lost`` those in a row that went with their
    workers.
    """

    failed: list[tuple[int, int]]
    lost: list[tuple[int, int]]


class TasksAdvanced(Struct, frozen=True, tag=True):
    """
    How far tasks are, as their owner knows it.

    ``advanced`` maps a task id to (attempt number, generation).
    """

    record_id: str
    advanced: dict[str, tuple[int, int]]
    setbacks: dict[str, Setbacks] = msgspec.field(default_factory=dict)


class JobCancelled(Struct, frozen=True, tag=True):
    """A job must not run any further."""

    record_id: str
    job_id: str


class Succession(Struct, frozen=True, tag=True):
    """
    One incarnation takes over all jobs of another.

    The first record for a dead owner wins: the log's order is the arbiter.
    """

    record_id: str
    dead_owner: str
    successor: str


class JobSnapshot(Struct, frozen=True, tag=True):
    """
    All that matters of a live job, written anew before older records expire.

    ``term`` is the offset that made ``owner`` its owner.
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
