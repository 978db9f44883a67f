"""
Ask peers and answer peers, over pynng.

Each process pulls messages at one address and pushes to the addresses of its peers.
A request names its number and where the answer goes. Request sockets of the library
would do that by themselves, but end the process when one of their contexts is closed
while an answer is awaited on another.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import pynng
import structlog

from hornbeampaddle.machines import Address

log = structlog.get_logger()

# Requests of peers that are answered side by side; each may wait for one long read.
# Beyond it they are dropped, and the peer asks another.
SERVED_AT_ONCE = 32
# A page of newest records and a read of the log are at most about 1 MB.
MESSAGE_BYTES_MAX = 4 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# Messages that wait for a connection; a peer that is away loses them.
SEND_BUFFER_MESSAGES = 32
# Connections to peers that are kept: a relay asks three of them for one call.
PEERS_KEPT = 8

Handler = Callable[[bytes], Awaitable[bytes]]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One message: a request, or the answer to the request of that number."""

    number: int
    host: str
    port: int
    answer: bool
    data: bytes


_decoder = msgspec.msgpack.Decoder(Envelope)
_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class PeerChannel:
    """Requests to peers and from them; ``handler`` answers those that come in."""

    address: Address
    handler: Handler
    _pull: pynng.Pull0 | None = None
    _pushes: dict[Address, pynng.Push0] = field(default_factory=dict)
    _asked: dict[int, asyncio.Future[bytes]] = field(default_factory=dict)
    _serving: set[asyncio.Task[None]] = field(default_factory=set)
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    def listen(self) -> None:
        """Listen for peers; raises ``pynng.AddressInUse``."""
        self._pull = pynng.Pull0(
            listen=f"tcp://{self.address}", recv_max_size=MESSAGE_BYTES_MAX
        )

    async def run(self) -> None:
        """Take messages until cancelled."""
        assert self._pull is not None
        try:
            while True:
                self._take(await self._pull.arecv())
        finally:
            self.close()

    def _take(self, data: bytes) -> None:
        try:
            envelope = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.error("peer: message not understood", error=str(error))
            return
        if envelope.answer:
            asked = self._asked.get(envelope.number)
            if asked is not None and not asked.done():
                asked.set_result(envelope.data)
            return
        if len(self._serving) >= SERVED_AT_ONCE:
            log.warning("peer: request dropped", serving=len(self._serving))
            return
        task = asyncio.create_task(self._serve(envelope))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, request: Envelope) -> None:
        data = await self.handler(request.data)
        answer = Envelope(request.number, "", 0, True, data)
        self._push(Address(request.host, request.port), answer)

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Return a peer's answer; empty if none came in time."""
        number = next(self._numbers)
        asked: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._asked[number] = asked
        own = self.address
        try:
            if not self._push(
                address, Envelope(number, own.host, own.port, False, data)
            ):
                return b""
            async with asyncio.timeout(timeout_s):
                return await asked
        except TimeoutError:
            log.info("peer: no answer", peer=str(address), timeout_s=timeout_s)
            self._drop(address)
            return b""
        finally:
            del self._asked[number]

    def _push(self, address: Address, envelope: Envelope) -> bool:
        """Send without waiting; return whether the message was taken."""
        try:
            self._socket(address).send(_encode(envelope), block=False)
        except pynng.NNGException as error:
            log.info("peer: not sent", peer=str(address), error=repr(error))
            self._drop(address)
            return False
        return True

    def _socket(self, address: Address) -> pynng.Push0:
        socket = self._pushes.pop(address, None)
        if socket is None:
            socket = pynng.Push0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
        self._pushes[address] = socket
        if len(self._pushes) > PEERS_KEPT:
            self._drop(next(iter(self._pushes)))
        return socket

    def _drop(self, address: Address) -> None:
        # Guards against a connection that went silent: what is pushed into it would
        # never arrive, while a new one works.
        socket = self._pushes.pop(address, None)
        if socket is not None:
            socket.close()

    def close(self) -> None:
        """Stop listening and drop all connections."""
        for task in self._serving:
            task.cancel()
        for address in list(self._pushes):
            self._drop(address)
        if self._pull is not None:
            self._pull.close()
            self._pull = None
