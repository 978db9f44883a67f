"""Hold requests that wait for a slot: urgent first, bounded, by deadline."""

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count


class Urgency(Enum):
    """The two classes of request."""

    URGENT = "urgent"
    BATCH = "batch"


@dataclass(order=True, slots=True)
class Waiting:
    """One waiting request; requests are ordered by deadline, then by arrival."""

    deadline_s: float
    arrival: int
    ticket: object = field(compare=False)
    gone: bool = field(default=False, compare=False)


@dataclass(slots=True)
class RequestQueue:
    """
    The waiting requests of one service on one entry instance.

    One of ``batch_turn`` picks goes to the batch class while it waits, so that
    a steady stream of urgent requests cannot starve it for ever.
    """

    waiting_max: int
    batch_turn: int = 8
    _heaps: dict[Urgency, list[Waiting]] = field(
        default_factory=lambda: {urgency: [] for urgency in Urgency}
    )
    _arrivals: count = field(default_factory=count)
    _picks: int = 0
    _live: int = 0

    def __len__(self) -> int:
        return self._live

    def push(
        self, ticket: object, urgency: Urgency, deadline_s: float
    ) -> Waiting | None:
        """
        Queue a request; return None if the queue is full.

        Batch requests may fill only half of the queue, so that a batch wave
        leaves room for urgent ones.
        """
        room = self.waiting_max
        if urgency is Urgency.BATCH:
            room //= 2
        if self._live >= room:
            return None
        waiting = Waiting(deadline_s, next(self._arrivals), ticket)
        heapq.heappush(self._heaps[urgency], waiting)
        self._live += 1
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take out a request that was cancelled or passed its deadline."""
        if not waiting.gone:
            waiting.gone = True
            self._live -= 1

    def pop(self) -> Waiting | None:
        """Take out the request that should run next."""
        self._drop_gone()
        urgent, batch = self._heaps[Urgency.URGENT], self._heaps[Urgency.BATCH]
        self._picks += 1
        batch_first = bool(batch) and self._picks % self.batch_turn == 0
        heap = batch if batch_first or not urgent else urgent
        if not heap:
            return None
        waiting = heapq.heappop(heap)
        waiting.gone = True
        self._live -= 1
        return waiting

    def expired(self, now_s: float) -> list[Waiting]:
        """Take out and return the requests whose deadline has passed."""
        expired = []
        for heap in self._heaps.values():
            while heap and (heap[0].gone or heap[0].deadline_s <= now_s):
                waiting = heapq.heappop(heap)
                if not waiting.gone:
                    self.remove(waiting)
                    expired.append(waiting)
        return expired

    def _drop_gone(self) -> None:
        for heap in self._heaps.values():
            while heap and heap[0].gone:
                heapq.heappop(heap)
