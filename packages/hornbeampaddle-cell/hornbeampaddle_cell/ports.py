"""
Define the interfaces through which an instance uses external systems.

An adapter implements these protocols. No method raises an error because of the remote
side: every outcome of a call is returned as a value.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Queue, StepKey
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.reports import HoldOutcome, NoAnswer, OrderOutcome
from hornbeampaddle.cell.workers import WorkerListing


class Topic(Enum):
    """The logs that an instance reads; it writes only the first three."""

    JOBS = "jobs"
    PROGRESS = "progress"
    PEERS = "peers"
    OPERATOR = "operator"
    WORKERS = "workers"


# Length of the longest key, in UTF-8, that a log takes.
KEY_MAX_BYTES = 255


@dataclass(frozen=True, slots=True)
class Keyed:
    """A record of a compacted log; without a value it deletes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Producer:
    """A writer's identity: the log accepts each sequence number of an epoch once."""

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored durably; the log then ends at ``end_offset``."""

    end_offset: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The log does not end at the expected offset; nothing was stored."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """A writer with a higher epoch has appended; nothing was stored."""


@dataclass(frozen=True, slots=True)
class OutOfSequence:
    """The log expects another sequence number; nothing was stored."""

    expected: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store refused the call; nothing was done."""

    detail: str


@dataclass(frozen=True, slots=True)
class Span:
    """
    The parameters of a read of a log.

    The read waits up to ``wait_s`` for a record at ``offset``, and returns records of
    about ``size_max_bytes`` in total.
    """

    offset: int
    wait_s: float
    size_max_bytes: int


AppendOutcome = (
    Appended | Conflict | Superseded | OutOfSequence | Unavailable | NoAnswer
)


@dataclass(frozen=True, slots=True)
class Batch:
    """
    Records from an offset on, and the offset at which the log ends.

    The answer is complete as of ``waited_s`` after the call was sent: how long the
    store at least waited for a record before it answered that there is none. It is
    negative if a peer answered from a view older than the call.
    """

    records: Sequence[Keyed]
    next_offset: int
    end_offset: int
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Expired:
    """The requested offset was compacted away; the newest of each key remain."""


@dataclass(frozen=True, slots=True)
class Newest:
    """
    The newest record of each key, and an offset from which to read on.

    ``waited_s`` is as in ``Batch``.
    """

    records: Sequence[Keyed]
    end_offset: int
    waited_s: float = 0.0


ReadOutcome = Batch | Expired | Unavailable | NoAnswer
NewestOutcome = Newest | Unavailable | NoAnswer


class StorePort(Protocol):
    """The log service."""

    async def append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        """Append all records or none; no record at all only raises the epoch."""

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset; wait for a record if there is none."""

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""


class WorkerPort(Protocol):
    """One incarnation of a worker, under one fencing token."""

    async def start(self, run: Run, payload: str, deadline_s: float) -> OrderOutcome:
        """Start a run; ``deadline_s`` of the lease is on the worker's clock."""

    async def stop(self, run: Run) -> OrderOutcome:
        """Stop a run."""

    async def pace(self, run: Run, percent: int) -> OrderOutcome:
        """Limit a run to ``percent`` of its speed."""

    async def report(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        """
        Renew the lease, acknowledge ended runs, and read the worker's report.

        ``last_seen`` is sent only over the connection of the last report, which ends
        with the worker's incarnation; over a new one no end is acknowledged, and the
        worker answers at once. A worker that has started again would drop ends that no
        report has listed.
        """

    def close(self) -> None:
        """Close the connections."""


class AdvicePort(Protocol):
    """The service that advises which workers may run a step."""

    async def ask(
        self, step: StepKey, worker_ids: Sequence[WorkerId]
    ) -> Allowance | None:
        """Return the allowed workers; ``valid_until_s`` counts from the answer."""


class Clock(Protocol):
    """The two clocks of this instance."""

    def now_s(self) -> float:
        """Return monotonic seconds that also count while the machine is suspended."""

    def wall_s(self) -> float:
        """Return Unix time in seconds; may jump."""


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Where callers reach a queue."""

    host: str
    path_prefix: str
    queue: Queue


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' connections, set by the operator."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """
    The operator's newest configuration.

    ``services`` are the names of all services, empty if it does not list them.
    """

    version: int
    routes: tuple[QueueRoute, ...]
    limits: CallerLimits
    services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class UnreadableConfiguration:
    """An operator configuration that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """
    The operator's order to evacuate a data centre, or its end.

    While it is ``active`` no task may start there.
    """

    data_centre: str
    active: bool


class Codec(Protocol):
    """Read what the operator and the workers wrote to the store."""

    def configuration(
        self, record: Keyed
    ) -> Configuration | UnreadableConfiguration | None:
        """Return the configuration, readable or not; ``None`` for other records."""

    def evacuation(self, record: Keyed) -> Evacuation | None:
        """Return an evacuation that begins or ends; ``None`` for other records."""

    def worker(self, record: Keyed) -> WorkerListing | None:
        """Return the listing, or ``None`` if the worker has left."""


class WorkerFactory(Protocol):
    """Create the port to one worker."""

    def __call__(self, listing: WorkerListing, token: int) -> WorkerPort:
        """Return a port whose calls carry the fencing token."""
