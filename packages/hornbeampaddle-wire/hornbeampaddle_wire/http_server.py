"""
Serve HTTP/1.1 on one listener, with limits on everything that a client can send.

Each connection is one task that owns its socket and its h11 state. A request is read
completely and passed to the handler, and its response is written before the next
request is read.
"""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
import msgspec
import structlog

from hornbeampaddle.machines import Address

from .http_messages import Request, Response

READ_CHUNK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
BARE_LF = re.compile(rb"(?<!\r)\n")
# Delay before the listener is closed, and again before idle connections are closed:
# several iterations of the event loop, in which data that has arrived is read.
DRAIN_READ_WINDOW_S = 0.05
FOLDED_LINE = re.compile(rb"\r\n[ \t]")

log = structlog.get_logger()

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on one listener's connections and requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 5.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 60.0
    connections: int = 512


class BadRequest(Exception):
    """A request that is rejected before it reaches the handler."""

    def __init__(self, status: int, detail: str) -> None:
        """Store the response status and a description of the error for the caller."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class ConnectionClosed(Exception):
    """The peer closed the connection or exceeded the idle timeout."""


def error_response(status: int, reason: str, detail: str) -> Response:
    """Return a JSON error with a machine-readable reason and a readable detail."""
    body = msgspec.json.encode({"error": reason, "detail": detail})
    return Response(status, body)


class HttpServer:
    """An HTTP server with one listener and its connections."""

    def __init__(self, name: str, limits: HttpLimits, handler: Handler) -> None:
        """Create a server; ``name`` is the prefix of its log messages."""
        self.name = name
        self.limits = limits
        self.handler = handler
        self.stopping = False
        # Set during shutdown: requests are still served, but each connection is closed
        # after its response, so that callers have moved on before the process ends.
        self.close_after_response = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Start to listen; return the address, with the assigned port if 0."""
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port, limit=READ_CHUNK_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    async def drain(self, timeout_s: float) -> int:
        """
        Stop accepting, wait for active requests; return how many did not finish.

        Ensures that requests that have arrived but have not been read get a response:
        under load, connections that appear idle may have unread data. They are read
        once more, and each connection is closed after its response.
        """
        self.close_after_response = True
        # Accept the pending connections while the server is still open: if it closes
        # while accepting, the new connection stays open but is never read.
        await asyncio.sleep(DRAIN_READ_WINDOW_S)
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(DRAIN_READ_WINDOW_S)
        self.stopping = True
        for task in list(self._idle):
            task.cancel()
        busy = [task for task in self._tasks if task not in self._idle]
        if busy:
            remaining_s = max(0.0, timeout_s - 2 * DRAIN_READ_WINDOW_S)
            await asyncio.wait(busy, timeout=remaining_s)
        return sum(1 for task in busy if not task.done())

    async def close(self) -> None:
        """Close the listener and every connection at once."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None or len(self._tasks) >= self.limits.connections:
            writer.transport.abort()
            return
        self._tasks.add(task)
        connection = _Connection(self, reader, writer)
        try:
            await connection.serve()
        except asyncio.CancelledError:
            # asyncio's stream server logs a cancelled connection task as an error; here
            # this server cancelled it, and nothing is left to do.
            pass
        finally:
            self._tasks.discard(task)
            self._idle.discard(task)
            writer.transport.abort() if connection.failed else writer.close()

    def mark_idle(self, idle: bool) -> None:
        """Record whether the current connection is waiting for a request."""
        task = asyncio.current_task()
        if task is None:
            return
        if idle:
            self._idle.add(task)
        else:
            self._idle.discard(task)


class _Connection:
    """One accepted connection."""

    def __init__(
        self,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.server = server
        self.limits = server.limits
        self.reader = reader
        self.writer = writer
        self.buffer = b""
        self.failed = False
        host, port = writer.get_extra_info("peername")[:2]
        self.peer = Address(host, port)

    async def serve(self) -> None:
        """Serve requests until the peer closes or violates the protocol."""
        try:
            while not self.server.stopping:
                if not await self._serve_request():
                    return
        except ConnectionClosed:
            return
        except (ConnectionError, TimeoutError):
            self.failed = True

    async def _serve_request(self) -> bool:
        # A new h11 state for each request: data left over from the last one is in
        # ``buffer`` and passes the same checks as newly received data.
        state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        try:
            request = await self._read_request(state)
        except BadRequest as error:
            await self._refuse(state, error)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(state, BadRequest(error.error_status_hint, str(error)))
            return False
        response = await self._handle(request)
        closing = self.server.stopping or self.server.close_after_response
        keep_alive = state.their_state is h11.DONE and not closing
        await self._write(state, response, keep_alive)
        self.buffer = state.trailing_data[0]
        return keep_alive and state.our_state is h11.DONE

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.server.handler(request)
        except Exception:
            # Only a broken invariant gets here. Status 500 tells the caller
            # that the outcome of its request is unknown; the server continues.
            log.exception(f"{self.server.name}: Handler failed.", path=request.path)
            return error_response(500, "internal_error", "the instance's log says why")

    async def _read_request(self, state: h11.Connection) -> Request:
        head = await self._read_head()
        _check_head(head)
        state.receive_data(self.buffer)
        event = state.next_event()
        if not isinstance(event, h11.Request):
            raise BadRequest(400, "the request has no complete head")
        headers = _decode_headers(event)
        self._check_length(headers)
        if state.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(state.send(continue_response) or b"")
        body = await self._read_body(state)
        return Request(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            headers,
            body,
            self.peer,
        )

    async def _read_head(self) -> bytes:
        """Read into ``buffer`` up to the end of a head and return the head."""
        if not self.buffer:
            await self._wait_for_first_byte()
        async with asyncio.timeout(self.limits.head_timeout_s):
            while HEAD_END not in self.buffer:
                if len(self.buffer) > self.limits.header_bytes:
                    raise BadRequest(431, "the request's head is too large")
                self.buffer += await self._read_chunk()
        head = self.buffer[: self.buffer.index(HEAD_END) + len(HEAD_END)]
        if len(head) > self.limits.header_bytes:
            raise BadRequest(431, "the request's head is too large")
        return head

    async def _wait_for_first_byte(self) -> None:
        self.server.mark_idle(True)
        try:
            async with asyncio.timeout(self.limits.idle_timeout_s):
                self.buffer = await self._read_chunk()
        except TimeoutError:
            raise ConnectionClosed from None
        finally:
            self.server.mark_idle(False)

    async def _read_chunk(self) -> bytes:
        data = await self.reader.read(READ_CHUNK_BYTES)
        if not data:
            raise ConnectionClosed
        return data

    def _check_length(self, headers: dict[str, str]) -> None:
        length = headers.get("content-length")
        if length is not None and "transfer-encoding" in headers:
            # Prevents request smuggling: if two parties disagree on where the body
            # ends, one of them treats the rest of it as another request.
            raise BadRequest(400, "both content-length and transfer-encoding are set")
        if length is not None and int(length) > self.limits.body_bytes:
            raise BadRequest(413, f"the body exceeds {self.limits.body_bytes} bytes")

    async def _read_body(self, state: h11.Connection) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        async with asyncio.timeout(self.limits.body_timeout_s):
            while True:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    state.receive_data(await self._read_chunk())
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    size_bytes += len(event.data)
                    if size_bytes > self.limits.body_bytes:
                        limit = self.limits.body_bytes
                        raise BadRequest(413, f"the body exceeds {limit} bytes")
                else:
                    return b"".join(parts)

    async def _refuse(self, state: h11.Connection, error: BadRequest) -> None:
        response = error_response(error.status, "bad_request", error.detail)
        if state.our_state is h11.ERROR or state.our_state is h11.CLOSED:
            self.failed = True
            return
        try:
            await self._write(state, response, keep_alive=False)
        except h11.LocalProtocolError:
            self.failed = True

    async def _write(
        self, state: h11.Connection, response: Response, keep_alive: bool
    ) -> None:
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers.items(),
        ]
        if not keep_alive:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        chunks = [state.send(head), state.send(h11.Data(data=response.body))]
        chunks.append(state.send(h11.EndOfMessage()))
        self.writer.write(b"".join(chunk or b"" for chunk in chunks))
        async with asyncio.timeout(self.limits.body_timeout_s):
            await self.writer.drain()


def _check_head(head: bytes) -> None:
    """Reject line endings and folded headers that parsers interpret differently."""
    if BARE_LF.search(head):
        raise BadRequest(400, "a line of the head ends without a carriage return")
    if FOLDED_LINE.search(head):
        raise BadRequest(400, "a header is folded over several lines")


def _decode_headers(event: h11.Request) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, raw_value in event.headers:
        name = raw_name.decode("ascii")
        if name in headers:
            raise BadRequest(400, f"header {name} is set twice")
        headers[name] = raw_value.decode("latin-1")
    return headers
