"""
Serve the requests of one connection, one after the other.

A connection is one task that owns its stream and its h11 state. A request is read
completely and passed to the handler, and its response is sent before the next request
is read. The work on what arrives is done in bounded pieces, a turn of the event loop
each, and what the connection holds is charged to the account of the process.
"""

import asyncio
import re
from typing import Protocol

import h11
import structlog

from hornbeampaddle.machines import Address

from .account import Account, Holding
from .http_limits import Handler, HttpLimits, error_response
from .http_messages import Request, Response
from .stream import Stream, StreamClosed
from .turns import Turns

HEAD_END = b"\r\n\r\n"
BARE_LF = re.compile(rb"(?<!\r)\n")
FOLDED_LINE = re.compile(rb"\r\n[ \t]")
# Parts of a body that are decoded in one turn, however small they are.
PARTS_PER_TURN = 32
# How long a client may go on sending after a refusal: it reads the refusal meanwhile.
LINGER_S = 2.0
# Another instance most likely has room; this one has, once those that hold most end.
RETRY_AFTER_S = 1

log = structlog.get_logger()


class BadRequest(Exception):
    """A request that is rejected before it reaches the handler."""

    def __init__(self, status: int, detail: str, reason: str = "bad_request") -> None:
        """Store the response status and a description of the error for the caller."""
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.reason = reason


class Listener(Protocol):
    """What a connection needs of the listener that accepted it."""

    name: str
    limits: HttpLimits
    handler: Handler
    account: Account
    refusal_headers: dict[str, str]
    turns: Turns
    stopping: bool
    close_after_response: bool

    def mark_idle(self, idle: bool) -> None:
        """Record whether the current connection is waiting for a request."""


class HttpConnection:
    """One accepted connection."""

    def __init__(self, server: Listener, stream: Stream, holding: Holding) -> None:
        """Serve a stream; what it holds is charged to ``holding``."""
        self.server = server
        self.limits = server.limits
        self.account = server.account
        self.stream = stream
        self.holding = holding
        self.buffer = b""
        self.failed = False
        host, port = stream.transport.get_extra_info("peername")[:2]
        self.peer = Address(host, port)

    async def run(self) -> None:
        """Serve requests until the peer closes or violates the protocol."""
        try:
            while not self.server.stopping:
                if not await self._serve_request():
                    return
        except StreamClosed:
            return
        except (ConnectionError, TimeoutError):
            self.failed = True

    def close(self) -> None:
        """Close the stream, at once after a failure."""
        self.account.leave(self.holding)
        if self.failed:
            self.stream.abort()
        else:
            self.stream.close()

    async def _serve_request(self) -> bool:
        # A new h11 state for each request: data left over from the last one is in
        # ``buffer`` and passes the same checks as newly received data.
        self.limits = self.server.limits
        state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.header_bytes
        )
        request = await self._receive(state)
        if isinstance(request, BadRequest):
            await self._refuse(state, request)
            return False
        self.account.serving(self.holding)
        response = await self._handle(request)
        # Its body is not charged any more while the client leaves the answer unread.
        del request
        closing = self.server.stopping or self.server.close_after_response
        keep_alive = state.their_state is h11.DONE and not closing
        await self._write(state, response, keep_alive)
        self.buffer = state.trailing_data[0]
        return keep_alive and state.our_state is h11.DONE

    async def _receive(self, state: h11.Connection) -> Request | BadRequest:
        try:
            return await self._read_request(state)
        except BadRequest as error:
            # Its traceback would keep what has been read of the body.
            return error.with_traceback(None)
        except h11.RemoteProtocolError as error:
            return BadRequest(error.error_status_hint, str(error))

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
        await self.server.turns.take()
        _check_head(head)
        state.receive_data(self.buffer)
        self.buffer = b""
        event = state.next_event()
        if not isinstance(event, h11.Request):
            raise BadRequest(400, "the request has no complete head")
        headers = _decode_headers(event)
        self._check_length(headers)
        if state.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.stream.write(state.send(continue_response) or b"")
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
        self.account.receiving(self.holding)
        try:
            async with asyncio.timeout(self.limits.head_timeout_s):
                while HEAD_END not in self.buffer:
                    self._check_head_size(len(self.buffer))
                    self.buffer += await self.stream.read()
                    self._charge(len(self.buffer))
        except TimeoutError:
            self.account.count(self.server.name, "head_timeout")
            raise
        head = self.buffer[: self.buffer.index(HEAD_END) + len(HEAD_END)]
        self._check_head_size(len(head))
        return head

    def _check_head_size(self, size_bytes: int) -> None:
        if size_bytes > self.limits.header_bytes:
            raise BadRequest(431, "the request's head is too large", "head_too_large")

    async def _wait_for_first_byte(self) -> None:
        self.account.idle(self.holding)
        self.server.mark_idle(True)
        try:
            async with asyncio.timeout(self.limits.idle_timeout_s):
                self.buffer = await self.stream.read()
        except TimeoutError:
            raise StreamClosed from None
        finally:
            self.server.mark_idle(False)

    def _check_length(self, headers: dict[str, str]) -> None:
        length = headers.get("content-length")
        if length is not None and "transfer-encoding" in headers:
            # Prevents request smuggling: if two parties disagree on where the body
            # ends, one of them treats the rest of it as another request.
            raise BadRequest(400, "both content-length and transfer-encoding are set")
        if length is not None:
            self._check_body_size(int(length))

    def _check_body_size(self, size_bytes: int) -> None:
        limit_bytes = min(self.limits.body_bytes, self.account.limits.request_bytes)
        if size_bytes > limit_bytes:
            detail = f"the body exceeds {limit_bytes} bytes"
            raise BadRequest(413, detail, "body_too_large")

    def _charge(self, size_bytes: int) -> None:
        """Charge the account for what this connection holds of a request."""
        if not self.account.charge(self.holding, size_bytes):
            detail = "the instance holds as much as it can; the request did not run"
            raise BadRequest(503, detail, "overloaded")

    async def _read_body(self, state: h11.Connection) -> bytes:
        try:
            async with asyncio.timeout(self.limits.body_timeout_s):
                return await self._read_parts(state)
        except TimeoutError:
            self.account.count(self.server.name, "body_timeout")
            raise

    async def _read_parts(self, state: h11.Connection) -> bytes:
        body = bytearray()
        parts = 0
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await self.stream.read())
                await self.server.turns.take()
                parts = 0
            elif isinstance(event, h11.Data):
                body += event.data
                self._check_body_size(len(body))
                self._charge(len(body))
                parts += 1
                if parts % PARTS_PER_TURN == 0:
                    await self.server.turns.take()
            else:
                return bytes(body)

    async def _refuse(self, state: h11.Connection, error: BadRequest) -> None:
        self.account.count(self.server.name, error.reason)
        headers = dict(self.server.refusal_headers)
        if error.status == 503:
            headers["retry-after"] = str(RETRY_AFTER_S)
        response = error_response(error.status, error.reason, error.detail, headers)
        if state.our_state is h11.ERROR or state.our_state is h11.CLOSED:
            self.failed = True
            return
        try:
            self.stream.write(_encode(state, response, keep_alive=False))
        except h11.LocalProtocolError:
            self.failed = True
            return
        self.buffer = b""
        self.account.charge(self.holding, self.stream.unsent_bytes)
        self.account.sending(self.holding)
        self.server.mark_idle(True)
        await self.stream.discard(LINGER_S)

    async def _write(
        self, state: h11.Connection, response: Response, keep_alive: bool
    ) -> None:
        self.stream.write(_encode(state, response, keep_alive))
        unsent_bytes = self.stream.unsent_bytes
        if not unsent_bytes:
            return
        self.account.sending(self.holding)
        if not self.account.charge(self.holding, unsent_bytes):
            self.failed = True
            raise StreamClosed
        try:
            async with asyncio.timeout(self.limits.send_timeout_s):
                await self.stream.sent()
        except TimeoutError:
            self.account.count(self.server.name, "answer_unread")
            raise


def _encode(state: h11.Connection, response: Response, keep_alive: bool) -> bytes:
    """Return the bytes of a response; raises ``h11.LocalProtocolError``."""
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
    return b"".join(chunk or b"" for chunk in chunks)


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
