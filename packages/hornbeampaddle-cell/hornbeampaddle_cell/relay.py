"""
Reach the store through a peer while it turns this instance away.

The store may refuse or ignore single instances and serve all others. What such an
instance would tell its callers, and whether it may go on holding the cell, depends on
the store; a peer that is served passes its calls on. A call is passed on once, never
further: a peer that is turned away itself says so at once.

An append that may have been done is only repeated with its producer's number, which
the log takes once. A claim has none: it is passed on only if it was refused.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Protocol

import msgspec
import structlog

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.machines import Address

from .peers import PeerBook
from .ports import (
    Appended,
    AppendOutcome,
    Batch,
    Clock,
    Conflict,
    Expired,
    Keyed,
    Newest,
    NewestOutcome,
    OutOfSequence,
    Producer,
    ReadOutcome,
    Span,
    StorePort,
    Superseded,
    Topic,
    Unavailable,
)

log = structlog.get_logger()

# The store itself is tried again this often while peers are used: it is back within
# this time after it serves us again, and each try in vain is one call.
DIRECT_EVERY_S = 1.0
# What it is tried with: a read that any answer settles.
TRY = Span(0, 0.0, 1024)
# If no peer was served either, the store is down for all, and peers are left alone for
# so long: three instances of four would ask in vain, and each call that waits for a
# silent peer would find the store's return that much later.
PEERS_REST_S = 1.0
# Peers that are tried for one call: with a third of them turned away, one in 27 calls
# meets three such.
PEERS_TRIED = 3
# A peer answers after one call to the store, 4 to 20 ms. One that takes longer than
# this is most likely without the store itself.
PEER_MARGIN_S = 0.3
# A read through a peer waits no longer for a record than this: a peer that has just
# lost the store would hold it for the whole of a long read.
PEER_READ_WAIT_S = 0.2
# A read through a peer asks for no more than passes the narrowest links, of 5 Mbit/s,
# within its time.
PEER_READ_BYTES = 128 * 1024

# The newest configuration, with 1,700 routes, is 0.45 MB as it travels: 0.7 s on the
# narrowest link, of 5 Mbit/s. With less, an instance there never gets it from a peer.
PEER_NEWEST_S = 1.0


class AppendAsk(msgspec.Struct, tag="append", frozen=True):
    """An append that a peer is to make."""

    topic: str
    records: list[tuple[str, bytes | None]]
    producer: tuple[str, int, int] | None
    at_offset: int | None


class ReadAsk(msgspec.Struct, tag="read", frozen=True):
    """A read that a peer is to make."""

    topic: str
    offset: int
    wait_s: float
    size_max_bytes: int


class NewestAsk(msgspec.Struct, tag="newest", frozen=True):
    """A read of the newest records that a peer is to make."""

    topic: str


Ask = AppendAsk | ReadAsk | NewestAsk
Outcome = AppendOutcome | ReadOutcome | NewestOutcome

# What a peer answers: the name of the outcome's type and its fields.
OUTCOMES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        Appended,
        Conflict,
        Superseded,
        OutOfSequence,
        Unavailable,
        NoAnswer,
        Batch,
        Expired,
        Newest,
    )
}
_ask_decoder = msgspec.msgpack.Decoder(Ask)
_answer_decoder = msgspec.msgpack.Decoder(tuple[str, dict])
_encode = msgspec.msgpack.Encoder().encode


class PeerCaller(Protocol):
    """Send a request to a peer's process."""

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Return the answer; empty if none came in time."""


def encode_outcome(outcome: Outcome) -> bytes:
    """Return what goes back to the peer that asked."""
    fields = msgspec.to_builtins(outcome, builtin_types=(bytes,))
    return _encode((type(outcome).__name__, fields))


def decode_outcome(data: bytes) -> Outcome:
    """Return what a peer answered; raises ``msgspec.MsgspecError``, ``KeyError``."""
    name, fields = _answer_decoder.decode(data)
    outcome: Outcome = msgspec.convert(fields, OUTCOMES[name], builtin_types=(bytes,))
    return outcome


class Relay:
    """A store port that falls back on peers, and serves them in turn."""

    def __init__(
        self, direct: StorePort, book: PeerBook, peers: PeerCaller, clock: Clock
    ) -> None:
        """Use ``direct`` as long as it serves."""
        self.direct = direct
        self.book = book
        self.peers = peers
        self.clock = clock
        self._peers_at_s = float("-inf")
        self._away_since_s: float | None = None

    @property
    def away(self) -> bool:
        """Tell whether the store serves this instance only through its peers."""
        return self._away_since_s is not None

    async def append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        """Append all records or none; no record at all only raises the epoch."""
        rows = [(record.key, record.value) for record in records]
        number = None
        if producer is not None:
            number = (producer.name, producer.epoch, producer.sequence)
        outcome = await self._call(
            lambda: self.direct.append(topic, records, producer, at_offset),
            AppendAsk(topic.value, rows, number, at_offset),
            PEER_MARGIN_S,
            repeatable=producer is not None,
        )
        assert not isinstance(outcome, Batch | Expired | Newest)
        return outcome

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset; wait for a record if there is none."""
        wait_s = min(span.wait_s, PEER_READ_WAIT_S)
        direct_span = span
        if self.away:
            # A long read that stays unanswered costs its whole wait before a peer is
            # asked; while the store is out of reach, that makes every view 2 s old.
            direct_span = replace(span, wait_s=0.0)
        size_max_bytes = min(span.size_max_bytes, PEER_READ_BYTES)
        outcome = await self._call(
            lambda: self.direct.read(topic, direct_span),
            ReadAsk(topic.value, span.offset, wait_s, size_max_bytes),
            PEER_READ_WAIT_S + PEER_MARGIN_S,
        )
        assert isinstance(outcome, ReadOutcome)
        return outcome

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        outcome = await self._call(
            lambda: self.direct.newest(topic),
            NewestAsk(topic.value),
            PEER_NEWEST_S,
        )
        assert isinstance(outcome, NewestOutcome)
        return outcome

    async def _call(
        self,
        direct: Callable[[], Awaitable[Outcome]],
        ask: Ask,
        timeout_s: float,
        repeatable: bool = True,
    ) -> Outcome:
        outcome: Outcome = Unavailable("turned away a moment ago")
        if not self.away or self.clock.now_s() < self._peers_at_s:
            # While peers are left alone as well, only the store itself can help.
            outcome = await direct()
            if not isinstance(outcome, Unavailable | NoAnswer):
                self._served()
                return outcome
            self._turned_away()
        if isinstance(outcome, NoAnswer) and not repeatable:
            return outcome
        relayed = await self._relayed(ask, timeout_s)
        if relayed is None:
            return outcome
        if isinstance(outcome, NoAnswer) and isinstance(relayed, Unavailable):
            # Guards against a job that runs though its caller was told that it never
            # will: the store may have done what it did not answer, whatever the peers
            # say of their own tries.
            return outcome
        return relayed

    async def run(self) -> None:
        """
        Look for ever whether the store serves this instance again.

        Guards against views that get old, and a holder that lapses, while the store is
        silent to it: a call that tried the store itself would wait a second in vain.
        """
        while True:
            await asyncio.sleep(DIRECT_EVERY_S)
            if not self.away:
                continue
            outcome = await self.direct.read(Topic.PEERS, TRY)
            if not isinstance(outcome, Unavailable | NoAnswer):
                self._served()

    def _served(self) -> None:
        if self._away_since_s is not None:
            gone_s = round(self.clock.now_s() - self._away_since_s, 3)
            log.info("relay: store serves us again", gone_s=gone_s)
            self._away_since_s = None

    def _turned_away(self) -> None:
        if self._away_since_s is None:
            self._away_since_s = self.clock.now_s()
            log.warning("relay: store turns us away", peers=len(self.book.shuffled()))

    async def _relayed(self, ask: Ask, timeout_s: float) -> Outcome | None:
        """Ask a few peers; nothing if none of them was served."""
        if self.clock.now_s() < self._peers_at_s:
            return None
        data = _encode(ask)
        outcome: Outcome | None = None
        for address in self.book.shuffled()[:PEERS_TRIED]:
            outcome = await self._ask(address, data, timeout_s)
            if not isinstance(outcome, Unavailable | NoAnswer):
                return outcome
            if isinstance(outcome, NoAnswer):
                # An append may be on its way: whoever asked repeats it by its number.
                # For a read, another silent peer would only cost as much again.
                break
        self._peers_at_s = self.clock.now_s() + PEERS_REST_S
        return outcome

    async def _ask(self, address: Address, data: bytes, timeout_s: float) -> Outcome:
        answer = await self.peers.call(address, data, timeout_s)
        if not answer:
            return NoAnswer(f"peer {address} timed out")
        try:
            return decode_outcome(answer)
        except (msgspec.MsgspecError, KeyError) as error:
            log.error(
                "relay: answer not understood", peer=str(address), error=str(error)
            )
            return NoAnswer(f"peer {address} answered {error}")

    # For peers

    async def serve(self, data: bytes) -> bytes:
        """Answer a peer's request."""
        try:
            ask = _ask_decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.error("relay: request not understood", error=str(error))
            return encode_outcome(Unavailable("request not understood"))
        if self.away:
            return encode_outcome(Unavailable("this peer is turned away too"))
        outcome = await self._for_peer(ask)
        if isinstance(outcome, Unavailable | NoAnswer):
            self._turned_away()
        return encode_outcome(outcome)

    async def _for_peer(self, ask: Ask) -> Outcome:
        topic = Topic(ask.topic)
        match ask:
            case AppendAsk(records=rows, producer=number, at_offset=at_offset):
                records = [Keyed(key, value) for key, value in rows]
                producer = Producer(*number) if number is not None else None
                return await self.direct.append(topic, records, producer, at_offset)
            case ReadAsk(offset=offset, wait_s=wait_s, size_max_bytes=size_max_bytes):
                span = Span(offset, wait_s, size_max_bytes)
                return await self.direct.read(topic, span)
            case NewestAsk():
                return await self.direct.newest(topic)
