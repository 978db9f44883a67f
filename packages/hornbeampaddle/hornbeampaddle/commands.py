"""Define the commands that an owner of jobs sends to deciders."""

from dataclasses import dataclass

from .contracts import TaskOrder
from .identity import AttemptId


@dataclass(frozen=True, slots=True)
class Place:
    """Ask a worker's decider to start an attempt while our authority lasts."""

    order: TaskOrder
    worker_id: str
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Adopt:
    """Tell a worker's decider that an attempt is known and should continue."""

    attempt: AttemptId
    worker_id: str


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Tell a worker's decider that an attempt's end has been processed."""

    attempt: AttemptId
    worker_id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Tell a worker's decider to stop an attempt for good."""

    attempt: AttemptId
    worker_id: str


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask a worker's decider for the state of an attempt."""

    order: TaskOrder
    worker_id: str


Command = Place | Adopt | Acknowledge | Cancel | Ask
