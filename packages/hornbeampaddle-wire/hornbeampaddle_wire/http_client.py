"""
Call one HTTP/1.1 server over a bounded pool of connections.

Every call returns a value that tells how far it got: nothing sent, sent without a
complete response, response truncated, or a complete response. A connection is reused
only after a complete exchange that left no unread data.
"""

import asyncio
import sys
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from hornbeampaddle.machines import Address

from .http_messages import CutShort, Exchange, NoResponse, NotSent, Request, Response

READ_CHUNK_BYTES = 64 * 1024
RESPONSE_HEAD_BYTES_MAX = 32 * 1024
# Pooled connections that have been idle for longer are not reused: a network device on
# the path may have dropped their state, and a request would get no response.
IDLE_MAX_S = 15.0
UNBOUNDED = sys.maxsize


@dataclass(slots=True, eq=False)
class _PooledConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since_s: float
    # Whether it has carried a complete exchange.
    reused: bool = False

    def usable(self, now_s: float) -> bool:
        if self.writer.is_closing() or self.reader.at_eof():
            return False
        return now_s - self.idle_since_s < IDLE_MAX_S


@dataclass(slots=True)
class HttpTraffic:
    """Counts of calls and bytes since the start; clients may share them."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class ConnectionBudget:
    """
    A limit on the total number of open connections of several clients.

    At the limit, each new connection closes the one that has been idle longest.
    Connections in use and those of non-evictable clients are never closed, so the total
    may exceed the limit.
    """

    def __init__(self, connections_max: int) -> None:
        """Start with no open connections."""
        self.connections_max = connections_max
        self.open_count = 0
        self._idle: OrderedDict[_PooledConnection, HttpClient] = OrderedDict()

    def reserve(self) -> None:
        """Count a new connection; close idle ones while over the limit."""
        self.open_count += 1
        while self.open_count > self.connections_max and self._idle:
            pooled, client = next(iter(self._idle.items()))
            client.discard_idle(pooled)

    def release(self, pooled: _PooledConnection | None) -> None:
        """Stop counting a closed connection; ``None`` if it failed to open."""
        self.open_count -= 1
        if pooled is not None:
            self._idle.pop(pooled, None)

    def mark_idle(self, pooled: _PooledConnection, client: "HttpClient") -> None:
        """Make a connection eligible for closing at the limit."""
        self._idle[pooled] = client

    def mark_in_use(self, pooled: _PooledConnection) -> None:
        """Protect a connection from closing at the limit."""
        self._idle.pop(pooled, None)


@dataclass(slots=True)
class HttpClient:
    """The connections of this process to one server."""

    address: Address
    connections_max: int
    response_bytes: int = 8 * 1024 * 1024
    clock: Callable[[], float] | None = None
    traffic: HttpTraffic = field(default_factory=HttpTraffic)
    budget: ConnectionBudget = field(
        default_factory=lambda: ConnectionBudget(UNBOUNDED)
    )
    # Whether the budget may close idle connections at its limit.
    evictable: bool = True
    _idle: deque[_PooledConnection] = field(default_factory=deque)
    _open: int = 0
    _waiters: deque[asyncio.Future[None]] = field(default_factory=deque)

    def _now_s(self) -> float:
        return self.clock() if self.clock else asyncio.get_running_loop().time()

    async def call(
        self,
        request: Request,
        timeout_s: float,
        first_request: Callable[[], Request] | None = None,
    ) -> Exchange:
        """
        Make one exchange; failures of the network or the server do not raise.

        On a new connection the server may be another process than before: the result
        of ``first_request`` is sent there instead, if given.
        """
        pooled: _PooledConnection | None = None
        sent = False
        whole = False
        try:
            async with asyncio.timeout(timeout_s):
                pooled = await self._acquire()
                if first_request is not None and not pooled.reused:
                    request = first_request()
                sent = True
                self.traffic.calls += 1
                response = await _exchange(
                    pooled, request, self.response_bytes, self.traffic
                )
                whole = isinstance(response, Response)
                return response
        except TimeoutError:
            return NoResponse("timed out") if sent else NotSent("connect timed out")
        except (OSError, EOFError) as error:
            return NoResponse(repr(error)) if sent else NotSent(repr(error))
        finally:
            self._release(pooled, whole)

    async def _acquire(self) -> _PooledConnection:
        while self._open >= self.connections_max and not self._idle:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise
        now_s = self._now_s()
        while self._idle:
            pooled = self._idle.pop()
            self.budget.mark_in_use(pooled)
            if await self._still_usable(pooled, now_s):
                return pooled
            self._discard(pooled)
        self._open += 1
        self.budget.reserve()
        try:
            reader, writer = await asyncio.open_connection(
                self.address.host, self.address.port, limit=READ_CHUNK_BYTES
            )
        except BaseException:
            self._open -= 1
            self.budget.release(None)
            self._wake_waiter()
            raise
        return _PooledConnection(reader, writer, now_s)

    async def _still_usable(self, pooled: _PooledConnection, now_s: float) -> bool:
        # Prevents sending a request on a connection that the server has closed: its
        # outcome would be unknown. One iteration of the event loop processes an end of
        # file that has already been received.
        try:
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._discard(pooled)
            raise
        return pooled.usable(now_s)

    def _discard(self, pooled: _PooledConnection) -> None:
        self._open -= 1
        self.budget.release(pooled)
        pooled.writer.transport.abort()

    def _release(self, pooled: _PooledConnection | None, whole: bool) -> None:
        if pooled is None:
            return
        if whole and not pooled.writer.is_closing():
            pooled.idle_since_s = self._now_s()
            pooled.reused = True
            self._idle.append(pooled)
            if self.evictable:
                self.budget.mark_idle(pooled, self)
        else:
            # Prevents a late response from reaching the wrong caller: data that is
            # still in transit on this connection must never be read.
            self._discard(pooled)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def discard_idle(self, pooled: _PooledConnection) -> None:
        """Close an idle connection and remove it from the pool."""
        self._idle.remove(pooled)
        self._discard(pooled)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.pop())


async def _exchange(
    pooled: _PooledConnection,
    request: Request,
    response_bytes: int,
    traffic: HttpTraffic,
) -> Response | NoResponse | CutShort:
    state = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=RESPONSE_HEAD_BYTES_MAX
    )
    extra_headers = dict(request.headers)
    headers = [
        ("host", extra_headers.pop("host", "worker")),
        ("content-length", str(len(request.body))),
        *extra_headers.items(),
    ]
    head = h11.Request(method=request.method, target=request.path, headers=headers)
    chunks = [state.send(head), state.send(h11.Data(data=request.body))]
    chunks.append(state.send(h11.EndOfMessage()))
    data = b"".join(chunk or b"" for chunk in chunks)
    traffic.sent_bytes += len(data)
    pooled.writer.write(data)
    await pooled.writer.drain()
    return await _read_response(pooled, state, response_bytes, traffic)


async def _read_response(
    pooled: _PooledConnection,
    state: h11.Connection,
    response_bytes: int,
    traffic: HttpTraffic,
) -> Response | NoResponse | CutShort:
    head: h11.Response | None = None
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        try:
            event = state.next_event()
        except h11.RemoteProtocolError as error:
            if head is None:
                return NoResponse(str(error))
            return CutShort(str(error))
        if event is h11.NEED_DATA:
            data = await pooled.reader.read(READ_CHUNK_BYTES)
            traffic.received_bytes += len(data)
            state.receive_data(data)
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
            if size_bytes > response_bytes:
                return CutShort("the answer is larger than the limit")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _complete_response(pooled, state, head, b"".join(parts))
        elif isinstance(event, h11.ConnectionClosed):
            return NoResponse("connection closed")


def _complete_response(
    pooled: _PooledConnection, state: h11.Connection, head: h11.Response, body: bytes
) -> Response | CutShort:
    headers = {n.decode("ascii"): v.decode("latin-1") for n, v in head.headers}
    framed = "content-length" in headers or "transfer-encoding" in headers
    if not framed and body:
        # Without a length, the body ends when the connection closes, which cannot be
        # distinguished from a connection that broke.
        return CutShort("the answer has no length")
    if state.trailing_data[0] or state.their_state is not h11.DONE:
        pooled.writer.transport.abort()
    content_type = headers.get("content-type", "application/octet-stream")
    return Response(head.status_code, body, content_type, headers)
