"""Define the workers' reports and answers to orders, as the scheduler reads them."""

from dataclasses import dataclass
from enum import Enum

from .incarnations import UNKNOWN_BIRTH_MS
from .jobs import TaskKey


class EndKind(Enum):
    """How an attempt ended, as reported by its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


@dataclass(frozen=True, slots=True)
class RunningRow:
    """
    An attempt that is running on a worker, with its latest measurement.

    ``measure`` is the tail latency in milliseconds for a task with a tail latency
    target, otherwise the CPU usage in thousandths of a core; -1 if not reported.
    """

    key: TaskKey
    number: int
    checkpoint: str
    progress_percent: float
    measure: float = -1.0


@dataclass(frozen=True, slots=True)
class EndedRow:
    """The end of an attempt, which its worker lists until it is acknowledged."""

    position: int
    key: TaskKey
    number: int
    how: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Report:
    """
    What one worker tells of itself at a moment between two local times.

    ``running`` is everything that runs there. ``ended`` are the oldest ends that are
    not acknowledged, in order, and ``ends_complete`` tells that there are no others.
    A worker lists a limited number of ends; unless they are complete, it is not known
    how a run ended that the report does not name.

    ``sent_at_s`` and ``received_at_s`` are local times of the request and the answer;
    ``clock_s`` is the time on the worker's clock. ``born_ms`` is the birth that the
    worker states; ``connected_anew`` tells that the request went over a new connection,
    and acknowledged no end.
    """

    sent_at_s: float
    received_at_s: float
    clock_s: float
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    born_ms: int = UNKNOWN_BIRTH_MS
    connected_anew: bool = False
    ends_complete: bool = True


@dataclass(frozen=True, slots=True)
class Done:
    """The worker has carried out the order, now or earlier."""

    clock_s: float = 0.0


class Reason(Enum):
    """Why a worker refused an order."""

    FENCED = "fenced"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    TICKET = "ticket"
    INVALID = "invalid"
    UNWELL = "unwell"


@dataclass(frozen=True, slots=True)
class Refused:
    """The worker did not carry out the order, for the reason given."""

    reason: Reason
    clock_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Another process answers at this address: the addressed one has ended."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer: the order was, was not, or may later be carried out."""

    detail: str = ""


OrderOutcome = Done | Refused | OtherIncarnation | NoAnswer
HoldOutcome = Report | Refused | OtherIncarnation | NoAnswer
