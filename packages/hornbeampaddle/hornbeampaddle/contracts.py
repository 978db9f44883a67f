"""Define the worker's contract: its orders, reports and answers to calls."""

from dataclasses import dataclass, field
from enum import Enum

from .identity import AttemptId
from .resources import Resources


class Ending(Enum):
    """How an attempt ended; used only where the end is certain."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    LAPSED = "lapsed"
    NEVER_STARTED = "never_started"
    # Never started either; the worker's decider is preempting other attempts for it.
    ROOM_COMING = "room_coming"


class RunState(Enum):
    """The state of an attempt as reported by its worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Everything that a worker needs to run one attempt of a task."""

    attempt: AttemptId
    owner: str
    team: str
    kind: str
    needs: Resources
    run_s: float
    urgent: bool = False
    costly_to_evict: bool = False
    at_most_once: bool = False
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Attempt:
    """
    One attempt as listed in a worker's inventory.

    ``lease_deadline_s`` is on the worker's clock. ``ending`` is None while the
    attempt runs. A worker lists an ended attempt until it is acknowledged.
    """

    order: TaskOrder
    state: RunState
    lease_deadline_s: float
    ending: Ending | None = None
    generation: int = 0
    progress_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """
    A worker's answer to a claim or a renewal.

    ``clock_s`` is the worker's clock when it answered. ``slots_used`` is the
    number of requests in flight by service. The answer to a claim lists every
    attempt. The answer to a renewal is a ``delta``: of the attempts named in the
    renewal, those that still run are omitted and those that the worker doesn't
    have are in ``absent``.
    """

    worker_id: str
    epoch: int
    clock_s: float
    attempts: tuple[Attempt, ...] = ()
    slots_used: dict[str, int] = field(default_factory=dict)
    cpu_used_millis: int = 0
    memory_used_bytes: int = 0
    delta: bool = False
    absent: tuple[AttemptId, ...] = ()


@dataclass(frozen=True, slots=True)
class Fenced:
    """The worker refused the call: another decider holds a later epoch."""

    epoch: int
    decider: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was refused for another reason; nothing was started."""

    reason: str


@dataclass(frozen=True, slots=True)
class Started:
    """The worker runs the attempt, or has run it, as a start is idempotent."""

    clock_s: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """The attempt has ended and can never start again."""

    clock_s: float
    ending: Ending
    generation: int


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call may or may not have taken effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The call certainly had no effect: no byte of it was sent."""

    detail: str
