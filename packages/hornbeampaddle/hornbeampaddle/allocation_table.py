"""
Account for all capacity that is allocated on one worker, certainly or possibly.

An attempt's capacity is allocated before its start is sent, and released once its
end is certain. If the answer to a start or stop is lost, the capacity stays
allocated until the lease has expired on the worker's own clock, so that it is
never allocated twice.
"""

from dataclasses import dataclass, field
from enum import Enum

from .contracts import TaskOrder
from .identity import AttemptId
from .resources import NOTHING, Resources


class AllocationState(Enum):
    """How certain the decider is that an attempt uses its allocated capacity."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DOUBT = "doubt"


@dataclass(slots=True)
class Allocation:
    """
    The capacity allocated on a worker to one attempt.

    ``lease_deadline_s`` is on the worker's clock: once it has passed, the worker
    has ended the attempt even if it was unreachable. ``adopted`` tells whether
    the current owner knows of the attempt and wants it to continue.
    """

    order: TaskOrder
    state: AllocationState
    lease_deadline_s: float
    adopted: bool = False
    progress_ratio: float = 0.0
    generation: int = 0
    # The lease deadline of the start call: the worker refuses a delayed start that
    # arrives after it. Renewals don't move it.
    start_deadline_s: float = 0.0
    start_repeated: bool = False
    # A start whose answer was lost isn't repeated once a stop has been requested.
    stop_asked: bool = False
    # Local time since when the attempt is known to have started.
    confirmed_s: float | None = None
    # Local time at which ``progress_ratio`` was reported.
    progress_at_s: float = 0.0

    def work_done_s(self, now_s: float) -> float:
        """Estimate the run time, in seconds, lost by a stop without a checkpoint."""
        before_s = self.progress_ratio * self.order.run_s
        return before_s + max(0.0, now_s - self.progress_at_s)


@dataclass(slots=True)
class AllocationTable:
    """All capacity allocated on one worker: service reservations and attempts."""

    capacity: Resources
    reserved: Resources = NOTHING
    # Capacity being freed for urgent tasks; batch attempts can't use it.
    reserved_for_urgent: Resources = NOTHING
    # Requests of a service of unknown size run on the worker; no attempt is added
    # until they end.
    blocked: bool = False
    allocations: dict[AttemptId, Allocation] = field(default_factory=dict)
    _allocated: Resources = NOTHING

    def room(self) -> Resources:
        """Return the unallocated capacity."""
        return self.capacity - self.reserved - self._allocated

    def batch_room(self) -> Resources:
        """Return the capacity available to batch attempts."""
        return self.room() - self.reserved_for_urgent

    def take(self, allocation: Allocation) -> bool:
        """
        Allocate capacity to an attempt that is about to be started.

        Return False and change nothing if it doesn't fit, is already recorded or the
        worker is blocked.
        """
        if self.blocked or allocation.order.attempt in self.allocations:
            return False
        room = self.room() if allocation.order.urgent else self.batch_room()
        if not allocation.order.needs.fits_in(room):
            return False
        self.adopt(allocation)
        return True

    def adopt(self, allocation: Allocation) -> None:
        """Record an attempt that the worker already runs, whether it fits or not."""
        self.release(allocation.order.attempt)
        self.allocations[allocation.order.attempt] = allocation
        self._allocated = self._allocated + allocation.order.needs

    def release(self, attempt: AttemptId) -> Allocation | None:
        """Release the capacity of an attempt whose end is certain."""
        allocation = self.allocations.pop(attempt, None)
        if allocation is not None:
            self._allocated = self._allocated - allocation.order.needs
        return allocation

    def is_overcommitted(self) -> bool:
        """Tell whether reservations and attempts exceed the worker's capacity."""
        return not NOTHING.fits_in(self.room())
