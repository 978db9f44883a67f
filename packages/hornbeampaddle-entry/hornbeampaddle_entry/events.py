"""Keep the latest events of one instance for operators."""

from collections import deque
from dataclasses import dataclass, field

EVENTS_MAX = 2000


@dataclass(frozen=True, slots=True)
class Event:
    """One event; ``at_s`` is in seconds since the instance started."""

    number: int
    at_s: float
    part: str
    text: str


@dataclass(slots=True)
class EventRing:
    """A ring buffer of the newest events, numbered consecutively."""

    events: deque[Event] = field(default_factory=lambda: deque(maxlen=EVENTS_MAX))
    next_number: int = 0

    def add(self, at_s: float, part: str, text: str) -> None:
        """Append an event and drop the oldest one if the buffer is full."""
        self.events.append(Event(self.next_number, at_s, part, text))
        self.next_number += 1

    def since(self, number: int) -> list[Event]:
        """Return the stored events from a number on."""
        return [event for event in self.events if event.number >= number]
