"""
Reach the store through a peer while it refuses or ignores this instance.

The store may refuse or ignore single instances and serve all others. What such an
instance can tell its callers, and whether it may go on holding the cell, depends on
the store, so a peer that can reach the store forwards its calls. A call is forwarded
only once: a peer that itself cannot reach the store refuses it immediately.

An append that may already have been stored is repeated only with its producer and
sequence number, which the log accepts once. A claim has no producer, so it is
forwarded only after the store refused it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Protocol

import structlog

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.decoding import UnreadableError
from hornbeampaddle.machines import Address

from .appender import Appender
from .follower import Follower
from .group_commit import serve_put
from .peers import PeerDirectory
from .ports import (
    AppendOutcome,
    Batch,
    Clock,
    Expired,
    Keyed,
    Newest,
    NewestOutcome,
    Producer,
    ReadOutcome,
    Span,
    StorePort,
    Topic,
    Unavailable,
)
from .relay_messages import (
    AppendAsk,
    NewestAsk,
    Outcome,
    PutAnswer,
    PutAsk,
    ReadAsk,
    SlowNotice,
    StoreAsk,
    answers,
    compress,
    decode_ask,
    decode_outcome,
    encode_ask,
    encode_outcome,
)

log = structlog.get_logger()

# How often the store is probed directly while peers are used: direct calls resume
# within this time after it serves this instance again. A failed probe costs one call.
STORE_PROBE_INTERVAL_S = 1.0
# The probe: a short read of the log of peers; any answer but a refusal counts.
STORE_PROBE = Span(0, 0.0, 1024)
# How long no peer is called after all that were asked answered that they cannot reach
# the store, which is then down for all: three of four instances would call in vain.
PEERS_BACKOFF_S = 1.0
# Number of peers tried for one call. They refuse within milliseconds; if a third of
# them cannot reach the store, one call in 6,561 meets only those.
PEERS_PER_CALL_MAX = 8
# Number of peers tried that do not answer, for one append.
TIMEOUTS_PER_APPEND_MAX = 3
# A peer answers after one call to the store, which takes 4 to 20 ms. A peer that takes
# longer than this most likely cannot reach the store either.
PEER_TIMEOUT_S = 0.3
# Longest wait for a record in a read through a peer: a peer that has just lost the
# store would hold the call for the whole of a longer wait.
PEER_READ_WAIT_MAX_S = 0.2
# Largest read through a peer: fits through the slowest links, of 5 Mbit/s, within the
# timeout of the call.
PEER_READ_MAX_BYTES = 128 * 1024

# Timeout of a read of the newest records through a peer. A configuration with 1,700
# routes is 0.45 MB on the wire, which takes 0.7 s on the slowest links, of 5 Mbit/s;
# with a shorter timeout an instance there would never get it from a peer.
PEER_NEWEST_TIMEOUT_S = 1.0
# Oldest view of a log that is shared with a peer: the peer refuses new jobs by a
# configuration that is older than 1.8 s.
SHARED_VIEW_AGE_MAX_S = 1.5


TOPIC_VALUES = frozenset(topic.value for topic in Topic)


class PeerCaller(Protocol):
    """The client for requests to other instances."""

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Send a request; return the answer, empty if none came within the timeout."""


def _timeouts_max(ask: StoreAsk, idempotent: bool) -> int:
    """
    Return how many peers may leave a call unanswered.

    An append is repeated, because the holder has 1.5 s to store a record. A claim is
    not, because it may have been stored; nor a read, whose second answer would only
    delay the first on a busy link.
    """
    if isinstance(ask, AppendAsk) and idempotent:
        return TIMEOUTS_PER_APPEND_MAX
    return 1


class Relay:
    """A store port that falls back to peers, and serves their requests in turn."""

    def __init__(
        self,
        direct: StorePort,
        peer_directory: PeerDirectory,
        peers: PeerCaller,
        clock: Clock,
    ) -> None:
        """Use ``direct`` as long as it serves this instance."""
        self.direct = direct
        self.peer_directory = peer_directory
        self.peers = peers
        self.clock = clock
        # This instance's followers whose views it shares with peers.
        self.shared_views: dict[Topic, Follower] = {}
        # This instance's queue of records, which takes those of peers as well.
        self.appender: Appender | None = None
        # The peer that served the last call of a kind, by that and the log.
        self._last_peers: dict[tuple[type[StoreAsk], str], Address] = {}
        self._next_peer_call_s = float("-inf")
        self._away_since_s: float | None = None

    @property
    def away(self) -> bool:
        """Whether the store currently refuses or ignores this instance."""
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
            PEER_TIMEOUT_S,
            idempotent=producer is not None,
        )
        assert not isinstance(outcome, Batch | Expired | Newest | PutAnswer)
        return outcome

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset; wait for a record if there is none."""
        wait_s = min(span.wait_s, PEER_READ_WAIT_MAX_S)
        direct_span = span
        if self.away:
            # An unanswered long read uses up its whole wait before a peer is called;
            # while the store is out of reach, that would make every view 2 s old.
            direct_span = replace(span, wait_s=0.0)
        size_max_bytes = min(span.size_max_bytes, PEER_READ_MAX_BYTES)
        outcome = await self._call(
            lambda: self.direct.read(topic, direct_span),
            ReadAsk(topic.value, span.offset, wait_s, size_max_bytes, knows_views=True),
            PEER_READ_WAIT_MAX_S + PEER_TIMEOUT_S,
        )
        assert isinstance(outcome, ReadOutcome)
        return outcome

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        view = self.shared_views.get(topic)
        applied_offset = view.applied_offset if view is not None else 0
        outcome = await self._call(
            lambda: self.direct.newest(topic),
            NewestAsk(topic.value, applied_offset, knows_views=True),
            PEER_NEWEST_TIMEOUT_S,
        )
        assert isinstance(outcome, NewestOutcome)
        return outcome

    async def _call(
        self,
        direct: Callable[[], Awaitable[Outcome]],
        ask: StoreAsk,
        timeout_s: float,
        idempotent: bool = True,
    ) -> Outcome:
        outcome: Outcome = Unavailable("turned away a moment ago")
        if not self.away or self.clock.now_s() < self._next_peer_call_s:
            # While peers are not called either, the store is the only option.
            outcome = await direct()
            if not isinstance(outcome, Unavailable | NoAnswer):
                self._mark_store_reachable()
                return outcome
            self._mark_store_unreachable(outcome.detail)
        if isinstance(outcome, NoAnswer) and not idempotent:
            return outcome
        relayed = await self._call_peers(ask, timeout_s, idempotent)
        if relayed is None:
            return outcome
        if isinstance(outcome, NoAnswer) and isinstance(relayed, Unavailable):
            # The store may have executed the unanswered call even if every peer was
            # refused. Returning the refusal would tell a caller that its job never
            # runs when it may.
            return outcome
        return relayed

    async def run(self) -> None:
        """
        Probe until cancelled whether the store serves this instance again.

        Calls themselves do not try the store while it is silent: each would wait a
        second for nothing, so that views became old and a holder lost the cell.
        """
        while True:
            await asyncio.sleep(STORE_PROBE_INTERVAL_S)
            if not self.away:
                continue
            outcome = await self.direct.read(Topic.PEERS, STORE_PROBE)
            if not isinstance(outcome, Unavailable | NoAnswer):
                self._mark_store_reachable()

    def _mark_store_reachable(self) -> None:
        if self._away_since_s is not None:
            gone_s = round(self.clock.now_s() - self._away_since_s, 3)
            log.info("relay: store serves us again", gone_s=gone_s)
            self._away_since_s = None

    def _mark_store_unreachable(self, detail: str) -> None:
        if self._away_since_s is None:
            self._away_since_s = self.clock.now_s()
            log.warning(
                "relay: store turns us away",
                detail=detail,
                peers=len(self.peer_directory.shuffled()),
            )

    async def _call_peers(
        self, ask: StoreAsk, timeout_s: float, idempotent: bool
    ) -> Outcome | None:
        """Forward a call to a few peers; return its outcome, if any was called."""
        if self.clock.now_s() < self._next_peer_call_s:
            return None
        data = encode_ask(ask)
        timeouts_left = _timeouts_max(ask, idempotent)
        outcome: Outcome | None = None
        unanswered: NoAnswer | None = None
        for address in self._peers_for(ask):
            called_at_s = self.clock.now_s()
            outcome = await self._call_peer(address, data, timeout_s)
            if not answers(ask, outcome):
                kind = type(outcome).__name__
                log.error("relay: wrong answer of peer", peer=str(address), kind=kind)
                outcome = NoAnswer(f"peer {address} answered {kind}")
            match outcome:
                case NoAnswer():
                    self._last_peers.pop((type(ask), ask.topic), None)
                    unanswered = outcome
                    timeouts_left -= 1
                    if not timeouts_left:
                        break
                case Unavailable():
                    pass
                case _:
                    took_s = self.clock.now_s() - called_at_s
                    if took_s < timeout_s / 2:
                        self._last_peers[type(ask), ask.topic] = address
                    else:
                        self._last_peers.pop((type(ask), ask.topic), None)
                    return outcome
        if unanswered is not None:
            # The peers that did not answer may only have slow links, so the next call
            # tries others.
            return unanswered
        self._next_peer_call_s = self.clock.now_s() + PEERS_BACKOFF_S
        return outcome

    def _peers_for(self, ask: StoreAsk) -> list[Address]:
        """Return the peers to try for a call, in order."""
        addresses = self.peer_directory.shuffled()
        last_peer = self._last_peers.get((type(ask), ask.topic))
        if last_peer in addresses:
            # It reaches the store, and its link has room.
            addresses.remove(last_peer)
            addresses.insert(0, last_peer)
        return addresses[:PEERS_PER_CALL_MAX]

    async def _call_peer(
        self, address: Address, data: bytes, timeout_s: float
    ) -> Outcome:
        answer = await self.peers.call(address, data, timeout_s)
        if not answer:
            return NoAnswer(f"peer {address} timed out")
        try:
            return decode_outcome(answer)
        except UnreadableError as error:
            log.error(
                "relay: cannot decode answer of peer",
                peer=str(address),
                error=str(error),
            )
            return NoAnswer(f"peer {address} answered {error}")

    # Called for peers

    async def serve(self, data: bytes) -> bytes:
        """Execute a peer's encoded request and return the encoded outcome."""
        try:
            ask = decode_ask(data)
        except UnreadableError as error:
            log.error("relay: cannot decode request of peer", error=str(error))
            return encode_outcome(Unavailable("request not understood"))
        if not isinstance(ask, SlowNotice) and ask.topic not in TOPIC_VALUES:
            return encode_outcome(Unavailable("no such log"))
        if isinstance(ask, SlowNotice):
            if self.appender is not None and self.appender.group_commit is not None:
                self.appender.group_commit.told_slow()
            return encode_outcome(PutAnswer([], 0.0))
        if self.away:
            return encode_outcome(Unavailable("this peer is turned away too"))
        if isinstance(ask, PutAsk):
            if self.appender is None:
                return encode_outcome(Unavailable("this peer appends nothing"))
            return encode_outcome(await serve_put(ask, self.appender, self.clock))
        outcome = await self._answer_from_view(ask)
        if outcome is None:
            outcome = await self._execute_for_peer(ask)
        if isinstance(outcome, Unavailable | NoAnswer):
            self._mark_store_unreachable(outcome.detail)
        answer = encode_outcome(outcome)
        if isinstance(ask, NewestAsk) and ask.knows_views:
            return compress(answer)
        return answer

    async def _answer_from_view(self, ask: StoreAsk) -> Outcome | None:
        """
        Answer a read from what this instance has read itself; ``None`` if it cannot.

        A large change of the operator's log for each peer that asks would not pass the
        slow links on its way before the timeout.
        """
        view = self.shared_views.get(Topic(ask.topic))
        if view is None or view.age_s() > SHARED_VIEW_AGE_MAX_S:
            return None
        match ask:
            case NewestAsk(applied_offset=applied_offset, knows_views=True):
                if view.applied_offset >= applied_offset:
                    return view.newest()
            case ReadAsk(offset=offset, wait_s=wait_s, knows_views=True):
                if view.large and view.applied_offset == offset:
                    await asyncio.sleep(wait_s)
                    if view.applied_offset == offset:
                        return Batch([], offset, offset, wait_s - view.age_s())
                if view.applied_offset > offset:
                    # The asker then reads the newest records, from a view as well.
                    return Expired()
        return None

    async def _execute_for_peer(self, ask: StoreAsk) -> Outcome:
        topic = Topic(ask.topic)
        match ask:
            case AppendAsk(records=rows, producer=number, at_offset=at_offset):
                records = [Keyed(key, value) for key, value in rows]
                producer = Producer(*number) if number is not None else None
                return await self.direct.append(topic, records, producer, at_offset)
            case ReadAsk(offset=offset, wait_s=wait_s, size_max_bytes=size_max_bytes):
                span = Span(offset, min(wait_s, PEER_READ_WAIT_MAX_S), size_max_bytes)
                return await self.direct.read(topic, span)
            case NewestAsk():
                return await self.direct.newest(topic)
