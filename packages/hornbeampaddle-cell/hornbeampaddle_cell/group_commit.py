"""
Let a few instances append for all while the store is slow.

The store handles the appends to one log one after the other. While each takes long, one
append for each instance and moment is more than it handles: the line grows until every
append times out and is repeated, and callers are refused although the store serves. A
peer appends the records of many instances together.

An instance whose append turns out to be slow tells all others at once. If each had to
find out by an append of its own, these alone would fill the line.

The peers that append for all are agreed on without a message: the first in an order of
all known names. A record may be stored twice, by the peer and, if the peer did not
answer, by this instance; the first one counts, since records of jobs are idempotent.
"""

import asyncio
import zlib
from collections.abc import Sequence
from typing import TYPE_CHECKING

import structlog

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.decoding import UnreadableError
from hornbeampaddle.machines import Address
from hornbeampaddle_wire import background

from .peers import PeerDirectory
from .ports import Clock, Keyed, Topic, Unavailable
from .relay_messages import (
    PutAnswer,
    PutAsk,
    SlowNotice,
    Stored,
    decode_outcome,
    encode_ask,
)

if TYPE_CHECKING:
    from .appender import Appender
    from .relay import PeerCaller

log = structlog.get_logger()

# Duration of an append from which the store counts as slow: 25 times the usual one.
# Fifteen such appends a second are the most that a log handles in its time.
SLOW_APPEND_S = 0.1
# Number of instances that append for all. One that is gone or cut off leaves others;
# more of them would put more appends in line.
GATHERERS = 3
# Timeout of a put: the peer's append waits for its previous one and for those of the
# other gatherers.
PUT_TIMEOUT_S = 1.2
# Number of peers asked for one put: a caller waits 3 s for all of them. If those of a
# peer that is gone appended directly, they would fill the line.
PEERS_PER_PUT_MAX = 2
# Timeout of a notice that appends are slow; one that is lost costs one more append.
NOTICE_TIMEOUT_S = 0.3
# How long peers are not told again: an instance on a slow link would send all others
# on a detour with every second append.
NOTICE_INTERVAL_S = 5.0
# How long a peer is not asked again after a put that it did not carry out.
PEER_BACKOFF_S = 5.0


class GroupCommit:
    """Puts records through a peer that appends for several instances."""

    def __init__(
        self, peer_directory: PeerDirectory, peers: "PeerCaller", clock: Clock
    ) -> None:
        """Append directly until an append turns out to be slow."""
        self.peer_directory = peer_directory
        self.peers = peers
        self.clock = clock
        self._slow = False
        self._next_notice_s = float("-inf")
        self._failed_until_s: dict[Address, float] = {}
        self._notices: set[asyncio.Task[None]] = set()

    def note_append(self, took_s: float) -> None:
        """Note the duration of an append, finished or not; tell peers of a slow one."""
        slow = took_s >= SLOW_APPEND_S
        now_s = self.clock.now_s()
        if slow and not self._slow and now_s >= self._next_notice_s:
            self._next_notice_s = now_s + NOTICE_INTERVAL_S
            notice = background.start(self._tell_peers(), "notice of slow appends")
            self._notices.add(notice)
            notice.add_done_callback(self._notices.discard)
        self._set_slow(slow, f"own append took {took_s:.3f} s")

    def told_slow(self) -> None:
        """Note that a peer's append is slow."""
        self._set_slow(True, "a peer's append is slow")

    def _set_slow(self, slow: bool, why: str) -> None:
        if slow != self._slow:
            log.info("appends: gathered" if slow else "appends: direct again", why=why)
        self._slow = slow

    async def _tell_peers(self) -> None:
        data = encode_ask(SlowNotice())
        addresses = self.peer_directory.shuffled()
        calls = (self.peers.call(a, data, NOTICE_TIMEOUT_S) for a in addresses)
        await asyncio.gather(*calls)

    def peers_to_ask(self) -> list[Address]:
        """Return the peers to put records through, in order; none to append here."""
        if not self._slow:
            return []
        ranked = sorted(
            (zlib.crc32(name.encode()), address)
            for name, address in self.peer_directory.addresses().items()
        )
        own_rank = zlib.crc32(self.peer_directory.own_name.encode())
        now_s = self.clock.now_s()
        usable = [
            (rank, address)
            for rank, address in ranked
            if self._failed_until_s.get(address, 0.0) <= now_s
        ]
        gatherers = usable[:GATHERERS]
        if len(gatherers) < GATHERERS or own_rank < gatherers[-1][0]:
            # This instance is one of them, or too few are known to gain anything.
            return []
        first = own_rank % GATHERERS
        in_turn = gatherers[first:] + gatherers[:first]
        return [address for _, address in in_turn[:PEERS_PER_PUT_MAX]]

    async def put(
        self, address: Address, topic: Topic, records: Sequence[Keyed]
    ) -> PutAnswer | NoAnswer | Unavailable:
        """Have a peer store records; ``Unavailable`` if it certainly has not."""
        rows = [(record.key, record.value) for record in records]
        data = encode_ask(PutAsk(topic.value, rows, PUT_TIMEOUT_S))
        answer = await self.peers.call(address, data, PUT_TIMEOUT_S)
        outcome = _decode(answer)
        if isinstance(outcome, PutAnswer):
            slow = outcome.append_s >= SLOW_APPEND_S
            self._set_slow(slow, f"a peer's append took {outcome.append_s:.3f} s")
        else:
            self._failed_until_s[address] = self.clock.now_s() + PEER_BACKOFF_S
        return outcome


async def serve_put(
    ask: PutAsk, appender: "Appender", clock: Clock
) -> PutAnswer | Unavailable:
    """Append a peer's records with this instance's own, and tell what is certain."""
    if Topic(ask.topic) is not appender.topic:
        return Unavailable("not the log that is gathered")
    deadline_s = clock.now_s() + ask.timeout_s
    puts = [
        appender.put(Keyed(key, value), deadline_s, directly=True)
        for key, value in ask.records
    ]
    stored = [outcome.value for outcome in await asyncio.gather(*puts)]
    return PutAnswer(stored, appender.last_append_s)


def _decode(answer: bytes) -> PutAnswer | NoAnswer | Unavailable:
    if not answer:
        return NoAnswer("peer timed out")
    try:
        outcome = decode_outcome(answer)
    except UnreadableError as error:
        log.error("appends: cannot decode answer of peer", error=str(error))
        return NoAnswer(f"peer answered {error}")
    if isinstance(outcome, PutAnswer | Unavailable):
        return outcome
    return NoAnswer("peer answered something else")


def stored_values(answer: PutAnswer, count: int) -> list[Stored]:
    """Return what is certain of each record; unknown where the answer is no such."""
    known = {item.value: item for item in Stored}
    values = [known.get(text, Stored.UNKNOWN) for text in answer.stored]
    return values if len(values) == count else [Stored.UNKNOWN] * count
