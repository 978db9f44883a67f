"""Define what a decider tells the owners of attempts."""

from dataclasses import dataclass

from .contracts import Ending, TaskOrder


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; repeated until its owner acknowledges it."""

    order: TaskOrder
    worker_id: str
    ending: Ending
    generation: int
    progress_ratio: float


@dataclass(frozen=True, slots=True)
class AttemptRunning:
    """
    An attempt is known to run; repeated until its owner adopts it.

    ``epoch`` is the worker's epoch under which that was known.
    """

    order: TaskOrder
    worker_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class AttemptInDoubt:
    """The worker does not answer; the attempt may or may not be running."""

    order: TaskOrder
    worker_id: str


@dataclass(frozen=True, slots=True)
class OwnerInventory:
    """
    All that a worker runs or has ended of one owner that was succeeded.

    It is complete: what it does not name is not on the worker and cannot start
    there any more.
    """

    dead_owner: str
    worker_id: str
    epoch: int
    running: tuple[AttemptRunning, ...]
    ended: tuple[AttemptEnded, ...]


Notice = AttemptEnded | AttemptRunning | AttemptInDoubt | OwnerInventory
