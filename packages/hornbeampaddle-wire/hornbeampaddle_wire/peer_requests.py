"""
Send requests to peers and respond to theirs, over pynng.

Each process listens at one address and pushes to the addresses of its peers.
A request contains its number and the address for the response. pynng's request sockets
provide this, but crash the process when one of their contexts is closed while another
waits for a response.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec
import pynng
import structlog

from hornbeampaddle.decoding import UnreadableError, decode
from hornbeampaddle.machines import Address

from . import background
from .account import Account, AccountLimits
from .peer_listener import PeerListener

log = structlog.get_logger()

# Maximum number of peers' requests that are handled concurrently; each may wait for one
# long-polling read. Further requests are dropped, and the peer asks another instance.
CONCURRENT_REQUESTS_MAX = 32
# A page of newest records and a read of the log are at most about 1 MB.
MESSAGE_BYTES_MAX = 4 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# Messages queued per connection; those to an unreachable peer are lost.
SEND_BUFFER_MESSAGES = 32
# Maximum number of open connections to peers: a relay asks up to eight for one call,
# and makes a few calls at once.
PEER_CONNECTIONS_MAX = 24
# For a channel that shares its account with no other listener.
UNSHARED_LIMITS = AccountLimits(512, 16 * MESSAGE_BYTES_MAX)

Handler = Callable[[bytes], Awaitable[bytes]]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One message: a request, or the response to the request with that number."""

    number: int
    host: str
    port: int
    answer: bool
    data: bytes


_decoder = msgspec.msgpack.Decoder(Envelope)
_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class PeerChannel:
    """A channel for requests to and from peers; ``handler`` serves theirs."""

    address: Address
    handler: Handler
    account: Account = field(default_factory=lambda: Account(UNSHARED_LIMITS))
    _listener: PeerListener | None = None
    _push_sockets: dict[Address, pynng.Push0] = field(default_factory=dict)
    _pending: dict[int, asyncio.Future[bytes]] = field(default_factory=dict)
    _serving: set[asyncio.Task[None]] = field(default_factory=set)
    _serving_bytes: int = 0
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def listen(self) -> None:
        """Listen for peers; raises ``OSError``."""
        self._listener = PeerListener(self.account, MESSAGE_BYTES_MAX)
        self._listener.bind(self.address)

    async def run(self) -> None:
        """Receive messages until cancelled."""
        assert self._listener is not None
        try:
            while True:
                self._handle_message(await self._listener.receive())
        finally:
            self.close()

    def _handle_message(self, data: bytes) -> None:
        try:
            envelope = decode(_decoder, data)
        except UnreadableError as error:
            log.error("peer: cannot decode message", error=str(error))
            return
        if envelope.answer:
            asked = self._pending.get(envelope.number)
            if asked is not None and not asked.done():
                asked.set_result(envelope.data)
            return
        served_bytes = self._serving_bytes + len(envelope.data)
        if (
            len(self._serving) >= CONCURRENT_REQUESTS_MAX
            or served_bytes > self.account.limits.request_bytes
        ):
            log.warning(
                "peer: request dropped, too many in progress",
                serving=len(self._serving),
                size_bytes=served_bytes,
            )
            return
        self._serving_bytes = served_bytes
        task = background.start(self._serve(envelope), "request of a peer")
        self._serving.add(task)
        task.add_done_callback(partial(self._served, len(envelope.data)))

    def _served(self, size_bytes: int, task: asyncio.Task[None]) -> None:
        self._serving.discard(task)
        self._serving_bytes -= size_bytes

    async def _serve(self, request: Envelope) -> None:
        data = await self.handler(request.data)
        answer = Envelope(request.number, "", 0, True, data)
        self._push(Address(request.host, request.port), answer)

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Return a peer's response; empty if none arrived before the timeout."""
        number = next(self._numbers)
        asked: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending[number] = asked
        own_address = self.address
        try:
            if not self._push(
                address,
                Envelope(number, own_address.host, own_address.port, False, data),
            ):
                return b""
            async with asyncio.timeout(timeout_s):
                return await asked
        except TimeoutError:
            log.info("peer: no answer", peer=str(address), timeout_s=timeout_s)
            self._disconnect(address)
            return b""
        finally:
            del self._pending[number]

    def _push(self, address: Address, envelope: Envelope) -> bool:
        """Send without blocking; return whether the socket accepted the message."""
        try:
            self._socket(address).send(_encode(envelope), block=False)
        except pynng.NNGException as error:
            log.info("peer: message not sent", peer=str(address), error=repr(error))
            self._disconnect(address)
            return False
        return True

    def _socket(self, address: Address) -> pynng.Push0:
        socket = self._push_sockets.pop(address, None)
        if socket is None:
            socket = pynng.Push0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
        self._push_sockets[address] = socket
        if len(self._push_sockets) > PEER_CONNECTIONS_MAX:
            self._disconnect(next(iter(self._push_sockets)))
        return socket

    def _disconnect(self, address: Address) -> None:
        # Handles connections that failed silently: messages sent on them would never
        # arrive, while a new connection works.
        socket = self._push_sockets.pop(address, None)
        if socket is not None:
            socket.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        for task in self._serving:
            task.cancel()
        for address in list(self._push_sockets):
            self._disconnect(address)
        if self._listener is not None:
            self._listener.close()
            self._listener = None
