"""
Bound what the clients of a process hold together: connections and bytes.

All listeners of a process share one account, whose size follows from the memory and the
descriptors of the process. When it is full, the connection that holds most for longest
ends, so that short ordinary requests go on.
"""

import math
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

log = structlog.get_logger()

# The memory of one connection that nobody reads: its buffer in the kernel, what is read
# ahead, and its objects.
CONNECTION_BYTES = 72 * 1024
# What a request may hold without being charged: part of the memory of its connection.
UNCHARGED_BYTES = 16 * 1024
# Share of the clients' memory for connections; the rest is for what they send.
CONNECTIONS_MEMORY_RATIO = 0.5
# Share of the account's connections that each listener has for itself, by its name; the
# rest is for those who come first.
RESERVED_RATIOS = {"callers": 0.25, "peers": 0.25, "operators": 0.1}
RESERVED_RATIO = 0.05
# Shortest time between two log lines of one reason at one listener.
LINE_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """How many connections all listeners have together, and what these may hold."""

    connections: int
    held_bytes: int

    @property
    def request_bytes(self) -> int:
        """Return the largest request that fits beside one of the same size."""
        return self.held_bytes // 2


def account_limits(clients_bytes: int, connections_max: int) -> AccountLimits:
    """
    Return the limits for clients that may hold ``clients_bytes`` of the memory.

    ``connections_max`` is the number of descriptors for their connections.
    """
    by_memory = int(clients_bytes * CONNECTIONS_MEMORY_RATIO) // CONNECTION_BYTES
    connections = max(1, min(connections_max, by_memory))
    return AccountLimits(connections, clients_bytes - connections * CONNECTION_BYTES)


@dataclass(slots=True, eq=False)
class Holding:
    """
    What one connection holds.

    ``since_s`` is when its present request began, or when it became idle. ``end`` ends
    the connection.
    """

    listener: str
    end: Callable[[], None]
    since_s: float
    held_bytes: int = 0
    left: bool = False


@dataclass(slots=True)
class _Listener:
    reserved: int
    connections_max: int
    connections: int = 0
    # Connections between two requests, and those that wait for their client in the
    # middle of one, the longest first. Those that are at work are in neither.
    idle: OrderedDict[Holding, None] = field(default_factory=OrderedDict)
    waiting: OrderedDict[Holding, None] = field(default_factory=OrderedDict)

    def longest(self) -> Holding | None:
        """Return the connection to end if one has to make room."""
        for holdings in (self.idle, self.waiting):
            if holdings:
                return next(iter(holdings))
        return None


class Account:
    """The connections of all clients of a process, and what they hold."""

    def __init__(
        self,
        limits: AccountLimits,
        clock: Callable[[], float] = time.monotonic,
        on_ended: Callable[[str, str], None] = lambda listener, reason: None,
    ) -> None:
        """
        Start without connections.

        ``on_ended`` is called with the listener and the reason whenever a connection is
        ended or turned away.
        """
        self.limits = limits
        self.clock = clock
        self.on_ended = on_ended
        self.held_bytes = 0
        self.connections = 0
        # What was ended and not logged yet, by listener and reason.
        self._unlogged: Counter[tuple[str, str]] = Counter()
        self._next_line_at_s: dict[tuple[str, str], float] = {}
        self._listeners: dict[str, _Listener] = {}

    def register(self, listener: str, connections_max: int | None = None) -> None:
        """Reserve a listener's part of the connections, up to its own limit."""
        if connections_max is None:
            connections_max = self.limits.connections
        ratio = RESERVED_RATIOS.get(listener, RESERVED_RATIO)
        reserved = max(1, int(self.limits.connections * ratio))
        self._listeners[listener] = _Listener(reserved, connections_max)

    def count(self, listener: str, reason: str) -> None:
        """Count a connection or request that was ended or refused; log a few."""
        self.on_ended(listener, reason)
        self._unlogged[listener, reason] += 1
        now_s = self.clock()
        if now_s < self._next_line_at_s.get((listener, reason), -math.inf):
            return
        self._next_line_at_s[listener, reason] = now_s + LINE_INTERVAL_S
        log.warning(
            "clients: ended",
            listener=listener,
            reason=reason,
            count=self._unlogged.pop((listener, reason)),
            connections=self.connections,
            held_bytes=self.held_bytes,
        )

    def admit(self, listener: str, end: Callable[[], None]) -> Holding | None:
        """Return the holding of a new connection; None if there is no room for it."""
        part = self._listeners[listener]
        full = part.connections >= part.connections_max
        if full or self.connections >= self.limits.connections:
            victim = part.longest() if full else self._longest_of(listener)
            if victim is None:
                self.count(listener, "connections")
                return None
            self._end(victim, "connections")
        holding = Holding(listener, end, self.clock())
        part.connections += 1
        part.idle[holding] = None
        self.connections += 1
        return holding

    def _longest_of(self, listener: str) -> Holding | None:
        """Return the connection that makes room for a new one of a listener."""
        own = self._listeners[listener]
        if own.connections >= own.reserved:
            return own.longest()
        parts = sorted(
            self._listeners.values(), key=lambda part: part.reserved - part.connections
        )
        for part in parts:
            if part.connections > part.reserved and (longest := part.longest()):
                return longest
        return own.longest()

    def leave(self, holding: Holding) -> None:
        """Forget a connection that is closed; repeats change nothing."""
        if holding.left:
            return
        holding.left = True
        self._move(holding)
        self.release(holding)
        self._listeners[holding.listener].connections -= 1
        self.connections -= 1

    def idle(self, holding: Holding) -> None:
        """Note that a connection is between two requests; it holds nothing now."""
        self.release(holding)
        holding.since_s = self.clock()
        self._move(holding, self._listeners[holding.listener].idle)

    def receiving(self, holding: Holding) -> None:
        """Note that a request begins to arrive."""
        holding.since_s = self.clock()
        self._move(holding, self._listeners[holding.listener].waiting)

    def serving(self, holding: Holding) -> None:
        """Note that a request is at work: its connection is not ended for room."""
        self._move(holding)

    def sending(self, holding: Holding) -> None:
        """Note that the client has not read its answer."""
        self._move(holding, self._listeners[holding.listener].waiting)

    def _move(
        self, holding: Holding, to: OrderedDict[Holding, None] | None = None
    ) -> None:
        part = self._listeners[holding.listener]
        part.idle.pop(holding, None)
        part.waiting.pop(holding, None)
        if to is not None and not holding.left:
            to[holding] = None

    def charge(self, holding: Holding, size_bytes: int) -> bool:
        """
        Charge a connection for what it holds now, in total.

        If that is too much, those that hold most for longest end. Returns False if
        this one does, or nobody can.
        """
        charged_bytes = max(0, size_bytes - UNCHARGED_BYTES)
        self.held_bytes += charged_bytes - holding.held_bytes
        holding.held_bytes = charged_bytes
        while charged_bytes and self.held_bytes > self.limits.held_bytes:
            victim = self._heaviest(holding)
            if victim is holding:
                self.release(holding)
                return False
            self._end(victim, "memory")
        return True

    def release(self, holding: Holding) -> None:
        """Give back what a connection was charged for."""
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0

    def _heaviest(self, asking: Holding) -> Holding:
        now_s = self.clock()

        def weight(holding: Holding) -> float:
            return holding.held_bytes * (now_s - holding.since_s)

        waiting = [
            holding for part in self._listeners.values() for holding in part.waiting
        ]
        heaviest = max(waiting, key=weight, default=asking)
        return heaviest if heaviest.held_bytes else asking

    def _end(self, holding: Holding, reason: str) -> None:
        self.count(holding.listener, reason)
        self.leave(holding)
        holding.end()
