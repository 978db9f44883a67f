"""
Read and write the bytes of one connection with bounded buffers.

At most ``READ_AHEAD_BYTES`` are taken from the kernel before somebody reads them, and
the kernel's own buffer has a fixed size, so a connection that nobody reads holds a
bounded amount, whatever its client sends.
"""

import asyncio
import socket
from collections.abc import Callable

READ_AHEAD_BYTES = 16 * 1024
# Sizes of the kernel's buffers of a connection; it allows itself twice as much.
RECEIVE_BUFFER_BYTES = 16 * 1024
SEND_BUFFER_BYTES = 64 * 1024
BACKLOG = 128
# Connections that are accepted in one iteration of the event loop: more would take
# descriptors before those that make room are closed.
ACCEPTED_PER_ITERATION = 8


class StreamClosed(Exception):
    """The client has closed the connection, or it was ended."""


class Stream(asyncio.BufferedProtocol):
    """The bytes of one connection."""

    def __init__(self, on_connected: Callable[["Stream"], None]) -> None:
        """Create the protocol; ``on_connected`` is called with it."""
        self._on_connected = on_connected
        self._buffer = bytearray()
        self._received = bytearray()
        self._paused = False
        self._discarding = False
        self._ended = False
        self._can_read = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._lost = asyncio.Event()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the write buffer: all of one answer is sent before the next."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self._on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next receipt: what may still be read ahead."""
        room_bytes = READ_AHEAD_BYTES - len(self._received)
        self._buffer = bytearray(room_bytes)
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep what was received; stop receiving when nobody reads it."""
        if self._discarding:
            return
        self._received += memoryview(self._buffer)[:nbytes]
        self._buffer = bytearray()
        if len(self._received) >= READ_AHEAD_BYTES:
            self._paused = True
            self.transport.pause_reading()
        self._can_read.set()

    def eof_received(self) -> bool:
        """Keep the connection open for the answer after the last request."""
        self._ended = True
        self._can_read.set()
        self._lost.set()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Wake whoever waits for this connection."""
        self._ended = True
        self._can_read.set()
        self._can_write.set()
        self._lost.set()

    def pause_writing(self) -> None:
        """Note that the client has not read all of the answer."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Note that the client has read all of the answer."""
        self._can_write.set()

    async def read(self) -> bytes:
        """Return what has been received, at least a byte; raises ``StreamClosed``."""
        while not self._received:
            if self._ended:
                raise StreamClosed
            self._can_read.clear()
            await self._can_read.wait()
        data = bytes(self._received)
        self._received.clear()
        if self._paused and not self._ended:
            self._paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until the client reads."""
        self.transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what the client has not read yet."""
        return self.transport.get_write_buffer_size()

    async def sent(self) -> None:
        """Wait until all that was written is sent; raises ``StreamClosed``."""
        await self._can_write.wait()
        if self.transport.is_closing():
            raise StreamClosed

    async def discard(self, timeout_s: float) -> None:
        """
        Send what is left, and drop what arrives until the client has closed.

        Guards against an answer that is lost: closing a connection with unread bytes
        resets it.
        """
        self._discarding = True
        self._received.clear()
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        try:
            async with asyncio.timeout(timeout_s):
                await self._lost.wait()
        except TimeoutError:
            pass

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()


def bind(host: str, port: int) -> socket.socket:
    """Return a socket for streams that is bound; raises ``OSError``."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Connections inherit both sizes.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


async def serve(
    listener: socket.socket, on_connected: Callable[[Stream], None]
) -> asyncio.Server:
    """Start to accept streams from a bound socket."""
    server = await asyncio.get_running_loop().create_server(
        lambda: Stream(on_connected), sock=listener, backlog=ACCEPTED_PER_ITERATION
    )
    # The loop accepts as many at a time as its backlog; more may wait in the kernel.
    listener.listen(BACKLOG)
    return server
