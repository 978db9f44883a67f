"""
Account for everything one worker holds, in doubt or for certain.

Work counts from before its start is sent until its end is certain. A start or
a stop whose answer was lost keeps its room until the lease has lapsed by the
worker's own clock, so the room is never given twice.
"""

from dataclasses import dataclass, field
from enum import Enum

from .contracts import TaskOrder
from .identity import AttemptId
from .resources import NOTHING, Resources


class HoldState(Enum):
    """How certain the decider is that an attempt uses its room."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DOUBT = "doubt"


@dataclass(slots=True)
class Hold:
    """
    Room taken on a worker by one attempt.

    ``lease_deadline_s`` is on the worker's clock: after it the worker has
    ended the attempt even if nobody could tell it to. ``adopted`` says that
    the current owner knows of the attempt and wants it to go on.
    """

    order: TaskOrder
    state: HoldState
    lease_deadline_s: float
    adopted: bool = False
    progress_ratio: float = 0.0
    generation: int = 0
    # The lease deadline of the start itself: past it the worker refuses a start
    # that is still on its way. Renewals do not move it.
    start_deadline_s: float = 0.0
    start_repeated: bool = False
    # A start whose answer was lost is not repeated once a stop was asked for.
    stop_asked: bool = False
    # Local time since which the attempt is known to have started.
    confirmed_s: float | None = None
    # Local time at which ``progress_ratio`` was heard.
    progress_at_s: float = 0.0

    def work_done_s(self, now_s: float) -> float:
        """Estimate the work that a stop without a checkpoint would lose."""
        before_s = self.progress_ratio * self.order.run_s
        return before_s + max(0.0, now_s - self.progress_at_s)


@dataclass(slots=True)
class Book:
    """What one worker holds: room reserved for services, and attempts."""

    capacity: Resources
    reserved: Resources = NOTHING
    # Room that is being made for urgent tasks; batch attempts may not take it.
    promised: Resources = NOTHING
    # Something runs there whose size nobody knows; nothing is added until it ends.
    blocked: bool = False
    holds: dict[AttemptId, Hold] = field(default_factory=dict)
    _held: Resources = NOTHING

    def room(self) -> Resources:
        """Return what nothing holds."""
        return self.capacity - self.reserved - self._held

    def open_room(self) -> Resources:
        """Return what can still be given to batch attempts."""
        return self.room() - self.promised

    def take(self, hold: Hold) -> bool:
        """Take room for an attempt; return False, changing nothing, if full."""
        if self.blocked or hold.order.attempt in self.holds:
            return False
        room = self.room() if hold.order.urgent else self.open_room()
        if not hold.order.needs.fits_in(room):
            return False
        self.adopt(hold)
        return True

    def adopt(self, hold: Hold) -> None:
        """Record an attempt that the worker already runs, fitting or not."""
        self.release(hold.order.attempt)
        self.holds[hold.order.attempt] = hold
        self._held = self._held + hold.order.needs

    def release(self, attempt: AttemptId) -> Hold | None:
        """Give back the room of an attempt whose end is certain."""
        hold = self.holds.pop(attempt, None)
        if hold is not None:
            self._held = self._held - hold.order.needs
        return hold

    def overdrawn(self) -> bool:
        """Tell whether reservations and attempts exceed the hardware."""
        return not NOTHING.fits_in(self.room())
