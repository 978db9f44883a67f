"""Keep the last events of one instance for operators who follow it."""

from collections import deque
from dataclasses import dataclass, field

EVENTS_KEPT = 2000


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happened; ``at_s`` is seconds since the instance started."""

    number: int
    at_s: float
    part: str
    text: str


@dataclass(slots=True)
class EventRing:
    """The newest events, numbered without gaps."""

    events: deque[Event] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    next_number: int = 0

    def add(self, at_s: float, part: str, text: str) -> None:
        """Note an event."""
        self.events.append(Event(self.next_number, at_s, part, text))
        self.next_number += 1

    def since(self, number: int) -> list[Event]:
        """Return the kept events from a number on."""
        return [event for event in self.events if event.number >= number]
