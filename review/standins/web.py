"""A small HTTP/1.1 server and client with keep-alive, on the standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

READ_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    """A request whose headers have names in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; ``None`` as the reply of a handler means that none is sent."""

    status: int
    body: bytes = b"{}"
    content_type: str = "application/json"


Handler = Callable[[Request], Awaitable[Reply | None]]


def json_reply(status: int, value: object) -> Reply:
    """Return a response with a JSON body."""
    return Reply(status, json.dumps(value).encode())


class Server:
    """An HTTP server on one address."""

    def __init__(self, handler: Handler) -> None:
        """Create a server that is not listening yet."""
        self.handler = handler
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port, a free one if it is 0."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=READ_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                reply = await self.handler(request)
                if reply is None:
                    return
                head = (
                    f"HTTP/1.1 {reply.status} X\r\n"
                    f"content-type: {reply.content_type}\r\n"
                    f"content-length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    host_header: str,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call on a new connection; status 0 means that no answer came."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {host_header}\r\n"
                f"content-type: application/json\r\n"
                f"hornbeampaddle-deadline-ms: {int(timeout_s * 1000)}\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            headers = await _read_headers(reader)
            length = int(headers.get("content-length", "0"))
            return status, await reader.readexactly(length)
    except (OSError, EOFError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
