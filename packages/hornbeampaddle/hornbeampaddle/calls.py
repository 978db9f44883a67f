"""Define the calls that a decider makes to its worker."""

from dataclasses import dataclass

from .contracts import TaskOrder
from .identity import AttemptId


@dataclass(frozen=True, slots=True)
class ClaimWorker:
    """Ask the worker for a new epoch and its inventory."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; the lease deadline is on the worker's clock."""

    worker_id: str
    epoch: int
    order: TaskOrder
    lease_deadline_s: float


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Stop an attempt, after a checkpoint if ``checkpoint`` is set."""

    worker_id: str
    epoch: int
    attempt: AttemptId
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class RenewLeases:
    """
    Extend the leases of ``attempts`` and request a report.

    ``acknowledged`` lists ended attempts that the worker may forget.
    """

    worker_id: str
    epoch: int
    attempts: tuple[AttemptId, ...]
    lease_deadline_s: float
    acknowledged: tuple[AttemptId, ...]


Call = ClaimWorker | StartAttempt | StopAttempt | RenewLeases
