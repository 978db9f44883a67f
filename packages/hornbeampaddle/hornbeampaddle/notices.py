"""Define the notices that a decider sends to the owners of attempts."""

from dataclasses import dataclass

from .contracts import Ending, TaskOrder


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; repeated until its owner acknowledges it."""

    order: TaskOrder
    worker_id: str
    ending: Ending
    generation: int
    progress_ratio: float


@dataclass(frozen=True, slots=True)
class AttemptRunning:
    """
    An attempt is known to run; repeated until its owner adopts it.

    ``epoch`` is the worker's epoch at which this was known.
    """

    order: TaskOrder
    worker_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class AttemptInDoubt:
    """The worker doesn't answer; the attempt may or may not be running."""

    order: TaskOrder
    worker_id: str


@dataclass(frozen=True, slots=True)
class OwnerInventory:
    """
    All attempts that a worker runs or has ended, for a succeeded owner's successor.

    The inventory is complete: an attempt of the old owner that it doesn't list is
    not on the worker and can't be started there any more.
    """

    dead_owner: str
    worker_id: str
    epoch: int
    running: tuple[AttemptRunning, ...]
    ended: tuple[AttemptEnded, ...]


Notice = AttemptEnded | AttemptRunning | AttemptInDoubt | OwnerInventory
