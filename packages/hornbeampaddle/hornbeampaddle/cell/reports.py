"""Define what workers answer, as the scheduler reads it."""

from dataclasses import dataclass
from enum import Enum

from .jobs import TaskKey


class EndKind(Enum):
    """How an attempt ended, as its worker says."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """
    An attempt that a worker has; ``measure`` is a tail or a use of CPU.

    ``measure`` is the tail latency in milliseconds for a task with a tail
    target, otherwise thousandths of a core in use; -1 if it was not given.
    """

    key: TaskKey
    number: int
    checkpoint: str
    progress_percent: float
    measure: float = -1.0


@dataclass(frozen=True, slots=True)
class EndedRow:
    """An end that a worker lists until it is acknowledged."""

    position: int
    key: TaskKey
    number: int
    how: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Report:
    """
    All that one worker has, at one moment between two local times.

    ``sent_at_s`` and ``received_at_s`` are local; ``clock_s`` is the worker's.
    """

    sent_at_s: float
    received_at_s: float
    clock_s: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@dataclass(frozen=True, slots=True)
class Done:
    """The worker has carried the order out, now or before."""

    clock_s: float = 0.0


class Reason(Enum):
    """Why a worker did not carry an order out."""

    FENCED = "fenced"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    INVALID = "invalid"
    UNWELL = "unwell"


@dataclass(frozen=True, slots=True)
class Refused:
    """The worker did nothing, and says why."""

    reason: Reason
    clock_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """At this address answers another process: the one we meant has ended."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Nothing came back: carried out, not carried out, or carried out later."""

    detail: str = ""


OrderOutcome = Done | Refused | OtherIncarnation | NoAnswer
HoldOutcome = Report | Refused | OtherIncarnation | NoAnswer
