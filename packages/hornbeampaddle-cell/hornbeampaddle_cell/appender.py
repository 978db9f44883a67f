"""
Store the records of many callers in few appends.

All queued records go into one append. An append without an answer is sent again under
the same sequence number until its outcome is known, because a caller may be told "not
accepted" only if the record is certain not to be stored.
"""

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

import structlog

from hornbeampaddle.cell.reports import NoAnswer

from .group_commit import SLOW_APPEND_S, GroupCommit, stored_values
from .ports import (
    Appended,
    AppendOutcome,
    Clock,
    Keyed,
    OutOfSequence,
    Producer,
    StorePort,
    Topic,
    Unavailable,
)
from .relay_messages import PutAnswer, Stored
from .settings import InstanceSettings

log = structlog.get_logger()

# Largest number of records and bytes in one append; both are well below the store's
# own limits for a call.
BATCH_MAX_RECORDS = 200
BATCH_MAX_BYTES = 512 * 1024
# Pause between attempts of one append: a store that refuses usually serves again within
# seconds, and the callers of the queued records have a deadline of 3 s.
RETRY_INTERVAL_S = 0.06


@dataclass(slots=True)
class _QueuedRecord:
    record: Keyed
    queued_at_s: float
    # Whether this instance must append it itself, for a peer that asked it to.
    directly: bool = False
    # How many wait for it; one that has given up no longer counts.
    callers: int = 0
    done: asyncio.Future[Stored] = field(default_factory=asyncio.Future)


class Appender:
    """A queue of records for one log, with one append in flight at a time."""

    def __init__(
        self, store: StorePort, topic: Topic, clock: Clock, settings: InstanceSettings
    ) -> None:
        """Start with an empty queue; the producer's name is ``instance_id``."""
        self.store = store
        self.topic = topic
        self.clock = clock
        self.settings = settings
        self._queue: list[_QueuedRecord] = []
        # The records of the append in flight.
        self._in_flight: list[_QueuedRecord] = []
        self._wake = asyncio.Event()
        self._sequence = 0
        self.unanswered_since_s: float | None = None
        # The duration of the last append that was answered.
        self.last_append_s = 0.0
        # Appends through a peer while the store is slow; without it, none.
        self.group_commit: GroupCommit | None = None

    async def put(
        self, record: Keyed, deadline_s: float, directly: bool = False
    ) -> Stored:
        """
        Store one record; return what is certain by ``deadline_s``.

        ``deadline_s`` is on this instance's clock. An append that was sent without an
        answer is still repeated after that time, until its outcome is known. A record
        of the same key that is being stored stands for this one. A record that is to be
        appended ``directly`` is not put through a peer, unless it already is.
        """
        waiting = self._find(record.key)
        if waiting is None:
            if self.stuck():
                return Stored.NO
            waiting = _QueuedRecord(record, self.clock.now_s())
            self._queue.append(waiting)
            self._wake.set()
        waiting.directly |= directly
        waiting.callers += 1
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                return await asyncio.shield(waiting.done)
        except TimeoutError:
            waiting.callers -= 1
            if not waiting.callers and waiting in self._queue:
                self._queue.remove(waiting)
                return Stored.NO
            return Stored.UNKNOWN

    def has(self, key: str) -> bool:
        """Return whether a record of this key may still be stored from here."""
        return self._find(key) is not None

    def _find(self, key: str) -> _QueuedRecord | None:
        queued = (*self._in_flight, *self._queue)
        return next((w for w in queued if w.record.key == key), None)

    def stuck(self) -> bool:
        """Return whether an append is unanswered beyond ``append_patience_s``."""
        if self.unanswered_since_s is None:
            return False
        unknown_s = self.clock.now_s() - self.unanswered_since_s
        return unknown_s > self.settings.append_patience_s

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                self._in_flight = self._take_batch()
                await self._append(self._in_flight)
                self._in_flight = []

    def _take_batch(self) -> list[_QueuedRecord]:
        taken: list[_QueuedRecord] = []
        size_bytes = 0
        for waiting in self._queue[:BATCH_MAX_RECORDS]:
            size_bytes += len(waiting.record.value or b"")
            if taken and size_bytes > BATCH_MAX_BYTES:
                break
            taken.append(waiting)
        del self._queue[: len(taken)]
        return taken

    async def _append(self, batch: list[_QueuedRecord]) -> None:
        maybe_stored = False
        if not any(waiting.directly for waiting in batch):
            batch, maybe_stored = await self._put_through_peer(batch)
        if batch:
            await self._append_directly(batch, maybe_stored)

    async def _put_through_peer(
        self, batch: list[_QueuedRecord]
    ) -> tuple[list[_QueuedRecord], bool]:
        """
        Put records through a peer, if one appends for this instance now.

        Returns the records that are still to be appended here, and whether they may
        have been stored all the same.
        """
        if self.group_commit is None:
            return batch, False
        maybe_stored = False
        for address in self.group_commit.peers_to_ask():
            records = [waiting.record for waiting in batch]
            outcome = await self.group_commit.put(address, self.topic, records)
            if not isinstance(outcome, PutAnswer):
                maybe_stored |= isinstance(outcome, NoAnswer)
                continue
            values = stored_values(outcome, len(batch))
            left = []
            for waiting, stored in zip(batch, values, strict=True):
                if stored is Stored.YES:
                    self._resolve([waiting], stored)
                else:
                    left.append(waiting)
            return left, maybe_stored or Stored.UNKNOWN in values
        return batch, maybe_stored

    async def _append_directly(
        self, batch: list[_QueuedRecord], maybe_stored: bool
    ) -> None:
        records = [waiting.record for waiting in batch]
        oldest_s = batch[0].queued_at_s
        # A refusal tells nothing of a record that a peer may have stored.
        refused = Stored.UNKNOWN if maybe_stored else Stored.NO
        sent_unanswered = False
        while True:
            outcome = await self._send(records)
            match outcome:
                case Appended():
                    self._sequence += 1
                    return self._resolve(batch, Stored.YES)
                case OutOfSequence(expected) if expected == self._sequence + 1:
                    # The log has this sequence number: an unanswered try was stored.
                    self._sequence = expected
                    return self._resolve(batch, Stored.YES)
                case NoAnswer(detail):
                    sent_unanswered = True
                    self._note_unanswered(detail, records)
                case Unavailable(detail) if not sent_unanswered:
                    waited_s = self.clock.now_s() - oldest_s
                    if waited_s > self.settings.append_patience_s:
                        log.warning("append: refused", detail=detail)
                        return self._resolve(batch, refused)
                case Unavailable():
                    pass
                case _:
                    log.error("append: unexpected outcome", outcome=repr(outcome))
                    return self._resolve(batch, Stored.UNKNOWN)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send(self, records: Sequence[Keyed]) -> AppendOutcome:
        producer = Producer(self.settings.instance_id, 1, self._sequence)
        sent_at_s = self.clock.now_s()
        with self._noticed_if_slow():
            outcome = await self.store.append(self.topic, records, producer, None)
        if not isinstance(outcome, Unavailable):
            self.last_append_s = self.clock.now_s() - sent_at_s
            if self.group_commit is not None:
                self.group_commit.note_append(self.last_append_s)
        return outcome

    @contextmanager
    def _noticed_if_slow(self) -> Iterator[None]:
        """Note an append that is slow while it is still under way."""
        if self.group_commit is None:
            yield
            return
        timer = asyncio.get_running_loop().call_later(
            SLOW_APPEND_S, self.group_commit.note_append, SLOW_APPEND_S
        )
        try:
            yield
        finally:
            timer.cancel()

    def _note_unanswered(self, detail: str, records: Sequence[Keyed]) -> None:
        if self.unanswered_since_s is None:
            self.unanswered_since_s = self.clock.now_s()
        ids = [record.key for record in records[:5]]
        log.warning("append: no answer", detail=detail, records=ids)

    def _resolve(self, batch: list[_QueuedRecord], stored: Stored) -> None:
        self.unanswered_since_s = None
        for waiting in batch:
            if not waiting.done.done():
                waiting.done.set_result(stored)
