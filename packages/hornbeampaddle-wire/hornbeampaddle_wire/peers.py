"""
Send and receive peer messages over pynng, authenticated and numbered.

Sending never blocks: messages to an unreachable peer are lost, and the protocols built
on this retransmit those that must arrive.
"""

import asyncio
import hmac
from collections.abc import Callable
from dataclasses import dataclass, field

import pynng
import structlog

from hornbeampaddle.decoding import UnreadableError, decode
from hornbeampaddle.machines import Address
from hornbeampaddle.messages import (
    PROTOCOL_VERSION,
    Envelope,
    Message,
    envelope_decoder,
    envelope_encoder,
)

from . import background
from .account import Account, AccountLimits
from .peer_listener import PeerListener

MAC_BYTES = 16
DIGEST = "blake2s"
SEND_BUFFER_MESSAGES = 128
RECEIVE_BYTES_MAX = 16 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# For sockets that share their account with no other listener.
UNSHARED_LIMITS = AccountLimits(512, 16 * RECEIVE_BYTES_MAX)

log = structlog.get_logger()

Receiver = Callable[[str, Message], None]


@dataclass(slots=True)
class PeerTraffic:
    """Counts of messages and bytes since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0


@dataclass(slots=True)
class PeerSockets:
    """The sockets of one entry instance to its peers in the same data centre."""

    data_centre: str
    incarnation: str
    key: bytes
    receiver: Receiver
    traffic: PeerTraffic = field(default_factory=PeerTraffic)
    account: Account = field(default_factory=lambda: Account(UNSHARED_LIMITS))
    _listener: PeerListener | None = None
    _dialers: dict[str, pynng.Push0] = field(default_factory=dict)
    _numbers: dict[str, int] = field(default_factory=dict)
    _last_numbers: dict[str, int] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None
    _logged_refusals: set[str] = field(default_factory=set)

    def listen(self, address: Address) -> None:
        """Listen and start to receive messages; raises ``OSError``."""
        self._listener = PeerListener(self.account, RECEIVE_BYTES_MAX)
        self._listener.bind(address)
        self._task = background.start(self._receive(), "messages of peers")

    def dial(self, instance_id: str, address: Address) -> None:
        """Open a connection to a peer; it reconnects automatically."""
        self._dialers[instance_id] = pynng.Push0(
            dial=f"tcp://{address}",
            block_on_dial=False,
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )

    def send(self, instance_id: str, message: Message) -> bool:
        """Send a message without blocking; return whether the socket accepted it."""
        number = self._numbers.get(instance_id, 0) + 1
        self._numbers[instance_id] = number
        envelope = Envelope(
            PROTOCOL_VERSION, self.data_centre, self.incarnation, number, message
        )
        data = envelope_encoder.encode(envelope)
        if not self._push(instance_id, self._mac(data) + data):
            self.traffic.dropped += 1
            return False
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data) + MAC_BYTES
        return True

    def _push(self, instance_id: str, data: bytes) -> bool:
        """Pass data to a peer's socket without blocking."""
        dialer = self._dialers.get(instance_id)
        if dialer is None:
            return False
        try:
            dialer.send(data, block=False)
        except pynng.exceptions.NNGException:
            return False
        return True

    async def _receive(self) -> None:
        assert self._listener is not None
        while True:
            data = await self._listener.receive()
            self.traffic.received += 1
            self.traffic.received_bytes += len(data)
            self.take(data)

    def take(self, data: bytes) -> None:
        """Validate received data and pass its message to the receiver."""
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(data[:MAC_BYTES], self._mac(body)):
            self._refuse("wrong key")
            return
        try:
            envelope = decode(envelope_decoder, body)
        except UnreadableError as error:
            self._refuse(f"unreadable: {error}")
            return
        if envelope.version != PROTOCOL_VERSION:
            self._refuse(f"unknown version {envelope.version}")
            return
        if envelope.data_centre != self.data_centre:
            self._refuse(f"data centre {envelope.data_centre}")
            return
        if not self._accept_number(envelope):
            return
        try:
            self.receiver(envelope.incarnation, envelope.message)
        except Exception:
            # Only a broken invariant gets here; one message must not end the task that
            # receives all messages.
            log.exception("peers: Message handler failed.", sender=envelope.incarnation)

    def _accept_number(self, envelope: Envelope) -> bool:
        # Drops messages that were delayed on an old connection and arrive after newer
        # ones: a late order would cause an attempt that its owner has given up on to be
        # adopted again. Sequence numbers only increase.
        last_number = self._last_numbers.get(envelope.incarnation, 0)
        if envelope.number <= last_number:
            return False
        self._last_numbers[envelope.incarnation] = envelope.number
        return True

    def _refuse(self, why: str) -> None:
        self.traffic.dropped += 1
        if why not in self._logged_refusals and len(self._logged_refusals) < 100:
            self._logged_refusals.add(why)
            log.warning("peers: Message refused.", why=why)

    def _mac(self, data: bytes) -> bytes:
        digest = hmac.new(self.key, data, DIGEST).digest()
        return digest[:MAC_BYTES]

    def close(self) -> None:
        """Close all sockets immediately."""
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()
        for dialer in self._dialers.values():
            dialer.close()
