"""Queue requests that wait for a slot: bounded, urgent first, by deadline."""

import heapq
from dataclasses import dataclass, field
from enum import Enum
from itertools import count


class Urgency(Enum):
    """The priority classes of requests."""

    URGENT = "urgent"
    BATCH = "batch"


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A queued request; requests are ordered by deadline, then by arrival."""

    deadline_s: float
    arrival: int
    ticket: object = field(compare=False)
    gone: bool = field(default=False, compare=False)


@dataclass(slots=True)
class RequestQueue:
    """
    The queued requests of one service on one entry instance.

    Every ``batch_pick_interval``-th pick prefers the batch class, so that a
    steady stream of urgent requests can't starve it.
    """

    waiting_max: int
    batch_pick_interval: int = 8
    _heaps: dict[Urgency, list[QueuedRequest]] = field(
        default_factory=lambda: {urgency: [] for urgency in Urgency}
    )
    _arrivals: count = field(default_factory=count)
    _picks: int = 0
    _queued_count: int = 0

    def __len__(self) -> int:
        return self._queued_count

    def push(
        self, ticket: object, urgency: Urgency, deadline_s: float
    ) -> QueuedRequest | None:
        """
        Queue a request; return None if the queue is full.

        Batch requests are accepted only while the queue is less than half full, so
        that a burst of them leaves space for urgent ones.
        """
        room = self.waiting_max
        if urgency is Urgency.BATCH:
            room //= 2
        if self._queued_count >= room:
            return None
        waiting = QueuedRequest(deadline_s, next(self._arrivals), ticket)
        heapq.heappush(self._heaps[urgency], waiting)
        self._queued_count += 1
        return waiting

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request that was cancelled or has passed its deadline."""
        if not waiting.gone:
            waiting.gone = True
            self._queued_count -= 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the request to run next, or None if the queue is empty."""
        self._drop_gone()
        urgent, batch = self._heaps[Urgency.URGENT], self._heaps[Urgency.BATCH]
        self._picks += 1
        batch_first = bool(batch) and self._picks % self.batch_pick_interval == 0
        heap = batch if batch_first or not urgent else urgent
        if not heap:
            return None
        waiting = heapq.heappop(heap)
        waiting.gone = True
        self._queued_count -= 1
        return waiting

    def expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
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
