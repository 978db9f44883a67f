"""
Receive the messages of peers within the account of the process.

Peers push their messages over pynng. Its receiving sockets take any number of
connections, and a whole message of each, so the receiving side of its protocol for TCP
is served here: a greeting of 8 bytes, and before each message its length in 8 bytes.
Source: the NNG manual, and the SP mapping for TCP.
"""

import asyncio
import socket
from dataclasses import dataclass
from functools import partial

from hornbeampaddle.machines import Address

from . import background
from .account import Account, Holding
from .stream import Stream, StreamClosed, bind, serve
from .turns import Turns

LISTENER = "peers"
PUSH_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
PULL_GREETING = b"\x00SP\x00\x00\x51\x00\x00"
LENGTH_BYTES = 8
GREETING_TIMEOUT_S = 5.0
MESSAGE_TIMEOUT_S = 20.0
TURNS_PER_ITERATION = 8


class PeerListener:
    """A listener for messages of peers, and the message that was received last."""

    def __init__(self, account: Account, message_bytes_max: int) -> None:
        """Charge what peers send to ``account``."""
        self.account = account
        self.message_bytes_max = min(message_bytes_max, account.limits.request_bytes)
        self.turns = Turns(TURNS_PER_ITERATION)
        account.register(LISTENER)
        # One message at a time: the others wait with their connections.
        self.received: asyncio.Queue[bytes] = asyncio.Queue(1)
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, address: Address) -> None:
        """Take the address; raises ``OSError``."""
        self._socket = bind(address.host, address.port)

    async def receive(self) -> bytes:
        """Return the next message of any peer."""
        if self._server is None:
            assert self._socket is not None
            self._server = await serve(self._socket, self._accept)
        return await self.received.get()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        elif self._socket is not None:
            self._socket.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, stream: Stream) -> None:
        holding = self.account.admit(LISTENER, stream.abort)
        if holding is None:
            stream.abort()
            return
        connection = _PeerConnection(self, stream, holding)
        task = background.start(connection.run(), "connection of peers")
        self._tasks.add(task)
        task.add_done_callback(partial(self._forget, connection))

    def _forget(self, connection: "_PeerConnection", task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self.account.leave(connection.holding)
        connection.stream.abort()


@dataclass(slots=True)
class _PeerConnection:
    """The connection of one peer that pushes messages."""

    listener: PeerListener
    stream: Stream
    holding: Holding
    buffer: bytes = b""

    async def run(self) -> None:
        """Receive messages until the peer closes or violates the protocol."""
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                greeting = await self._take(len(PUSH_GREETING))
        except (StreamClosed, TimeoutError):
            return
        if greeting != PUSH_GREETING:
            self._refuse("no_peer")
            return
        self.stream.write(PULL_GREETING)
        try:
            while await self._receive():
                pass
        except StreamClosed:
            return
        except TimeoutError:
            self._refuse("message_timeout")

    async def _receive(self) -> bool:
        """Receive one message; return whether the connection goes on."""
        account = self.listener.account
        account.idle(self.holding)
        if not self.buffer:
            self.buffer = await self.stream.read()
        account.receiving(self.holding)
        async with asyncio.timeout(MESSAGE_TIMEOUT_S):
            size_bytes = int.from_bytes(await self._take(LENGTH_BYTES))
            if size_bytes > self.listener.message_bytes_max:
                return self._refuse("message_too_large")
            message = await self._take_charged(size_bytes)
        if message is None:
            return self._refuse("overloaded")
        account.serving(self.holding)
        await self.listener.received.put(message)
        return True

    def _refuse(self, reason: str) -> bool:
        self.listener.account.count(LISTENER, reason)
        return False

    async def _take(self, size_bytes: int) -> bytes:
        """Return the next bytes, few of them."""
        while len(self.buffer) < size_bytes:
            self.buffer += await self.stream.read()
        taken, self.buffer = self.buffer[:size_bytes], self.buffer[size_bytes:]
        return taken

    async def _take_charged(self, size_bytes: int) -> bytes | None:
        """Return the next bytes; None if the account has no room for them."""
        taken = bytearray(self.buffer[:size_bytes])
        self.buffer = self.buffer[size_bytes:]
        while len(taken) < size_bytes:
            data = await self.stream.read()
            await self.listener.turns.take()
            missing_bytes = size_bytes - len(taken)
            taken += data[:missing_bytes]
            self.buffer = data[missing_bytes:]
            if not self.listener.account.charge(self.holding, len(taken)):
                return None
        return bytes(taken)
