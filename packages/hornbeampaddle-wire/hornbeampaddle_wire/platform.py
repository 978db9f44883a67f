"""
Define the bodies that the platform's HTTP interfaces exchange.

These models represent what is known of the platform; docs/PLATFORM.md lists the
assumptions. Only the adapters and the stand-ins use them.
"""

from msgspec import Struct


class NeedsBody(Struct, frozen=True):
    """An amount of resources."""

    cpu_millis: int = 0
    memory_bytes: int = 0
    accelerators: int = 0


class OrderBody(Struct, frozen=True):
    """A task order; ``attempt`` is the text form of the attempt's ID."""

    attempt: str
    owner: str
    team: str
    kind: str
    needs: NeedsBody
    run_s: float
    urgent: bool = False
    costly_to_evict: bool = False
    at_most_once: bool = False
    generation: int = 0


class ClaimBody(Struct, frozen=True):
    """Request a new epoch from a worker."""

    decider: str


class StartBody(Struct, frozen=True):
    """Start an attempt; its lease deadline is on the worker's clock."""

    epoch: int
    order: OrderBody
    lease_deadline_s: float


class StopBody(Struct, frozen=True):
    """Stop an attempt, after a checkpoint if ``checkpoint`` is set."""

    epoch: int
    attempt: str
    checkpoint: bool


class RenewBody(Struct, frozen=True):
    """Renew leases, discard acknowledged ends and request a report."""

    epoch: int
    attempts: tuple[str, ...]
    lease_deadline_s: float
    acknowledged: tuple[str, ...] = ()


class AttemptBody(Struct, frozen=True):
    """One attempt in a report; ``ending`` is empty while the attempt runs."""

    order: OrderBody
    state: str
    lease_deadline_s: float
    ending: str = ""
    generation: int = 0
    progress_ratio: float = 0.0


class ReportBody(Struct, frozen=True):
    """A worker's response to a claim or a renewal."""

    worker_id: str
    epoch: int
    clock_s: float
    attempts: tuple[AttemptBody, ...] = ()
    slots_used: dict[str, int] = {}
    cpu_used_millis: int = 0
    memory_used_bytes: int = 0
    delta: bool = False
    absent: tuple[str, ...] = ()


class StartedBody(Struct, frozen=True):
    """The attempt is running or has already run."""

    clock_s: float


class StoppedBody(Struct, frozen=True):
    """The attempt has ended."""

    clock_s: float
    ending: str
    generation: int


class FencedBody(Struct, frozen=True):
    """A later epoch than the request's is in force."""

    epoch: int
    decider: str


class RefusedBody(Struct, frozen=True):
    """The worker refused the request and started nothing."""

    reason: str


class AppendBody(Struct, frozen=True):
    """Records to append, in the writer's encoding."""

    records: tuple[bytes, ...]


class AppendedBody(Struct, frozen=True):
    """The offset of the first appended record."""

    offset: int


class EntryBody(Struct, frozen=True):
    """One record of a stream."""

    offset: int
    record: bytes


class PageBody(Struct, frozen=True):
    """
    A page of a stream's records.

    ``oldest_offset`` is the offset of the oldest retained record, ``next_offset`` that
    of the next record to be appended.
    """

    entries: tuple[EntryBody, ...]
    oldest_offset: int
    next_offset: int


class MachineBody(Struct, frozen=True):
    """One target in the instance list."""

    worker_id: str
    host: str
    port: int
    data_centre: str
    rack: str
    capacity: NeedsBody
    slots: int
    connections: int
    standing: str


class ListBody(Struct, frozen=True):
    """The instance list."""

    machines: tuple[MachineBody, ...]
