"""
Store the records of many callers in few appends.

All records that wait go into one append. An append whose answer was lost is
sent again under the same sequence number until its fate is known, because a
caller may only be told "not accepted" when that is certain.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import structlog

from hornbeampaddle.cell.reports import NoAnswer

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
from .settings import InstanceSettings

log = structlog.get_logger()

# One append carries at most so many records and bytes; both are well below
# the store's own limits for a call.
BATCH_RECORDS = 200
BATCH_BYTES = 512 * 1024
# Between tries of one append: a store that refuses is mostly back in seconds,
# and the records that wait have callers with a deadline of 3 s.
RETRY_S = 0.06


class Stored(Enum):
    """What became of a record, as far as its caller may be told."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Waiting:
    record: Keyed
    queued_at_s: float
    done: asyncio.Future[Stored] = field(default_factory=asyncio.Future)


class Appender:
    """The queue of one log, with one append at a time."""

    def __init__(
        self, store: StorePort, topic: Topic, clock: Clock, settings: InstanceSettings
    ) -> None:
        """Start with an empty queue; the name of this life is the producer."""
        self.store = store
        self.topic = topic
        self.clock = clock
        self.settings = settings
        self._queue: list[_Waiting] = []
        self._wake = asyncio.Event()
        self._sequence = 0
        self.unknown_since_s: float | None = None

    async def put(self, record: Keyed, deadline_s: float) -> Stored:
        """
        Store one record; return what is certain by ``deadline_s``.

        A record that has been sent without an answer stays in the queue after
        that time, until its fate is known.
        """
        if self.stuck():
            return Stored.NO
        waiting = _Waiting(record, self.clock.now_s())
        self._queue.append(waiting)
        self._wake.set()
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                return await asyncio.shield(waiting.done)
        except TimeoutError:
            if waiting in self._queue:
                self._queue.remove(waiting)
                return Stored.NO
            return Stored.UNKNOWN

    def stuck(self) -> bool:
        """Tell whether an earlier append has had no answer for long."""
        if self.unknown_since_s is None:
            return False
        unknown_s = self.clock.now_s() - self.unknown_since_s
        return unknown_s > self.settings.append_patience_s

    async def run(self) -> None:
        """Append what waits, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._append(self._take())

    def _take(self) -> list[_Waiting]:
        taken: list[_Waiting] = []
        size_bytes = 0
        for waiting in self._queue[:BATCH_RECORDS]:
            size_bytes += len(waiting.record.value or b"")
            if taken and size_bytes > BATCH_BYTES:
                break
            taken.append(waiting)
        del self._queue[: len(taken)]
        return taken

    async def _append(self, batch: list[_Waiting]) -> None:
        records = [waiting.record for waiting in batch]
        oldest_s = batch[0].queued_at_s
        sent_unanswered = False
        while True:
            outcome = await self._send(records)
            match outcome:
                case Appended():
                    self._sequence += 1
                    return self._settle(batch, Stored.YES)
                case OutOfSequence(expected) if expected == self._sequence + 1:
                    # This very number was taken: an unanswered try was done.
                    self._sequence = expected
                    return self._settle(batch, Stored.YES)
                case NoAnswer(detail):
                    sent_unanswered = True
                    self._note_unknown(detail, records)
                case Unavailable(detail) if not sent_unanswered:
                    waited_s = self.clock.now_s() - oldest_s
                    if waited_s > self.settings.append_patience_s:
                        log.warning("append: refused", detail=detail)
                        return self._settle(batch, Stored.NO)
                case Unavailable():
                    pass
                case _:
                    log.error("append: unexpected", outcome=repr(outcome))
                    return self._settle(batch, Stored.UNKNOWN)
            await asyncio.sleep(RETRY_S)

    async def _send(self, records: Sequence[Keyed]) -> AppendOutcome:
        producer = Producer(self.settings.instance_id, 1, self._sequence)
        return await self.store.append(self.topic, records, producer, None)

    def _note_unknown(self, detail: str, records: Sequence[Keyed]) -> None:
        if self.unknown_since_s is None:
            self.unknown_since_s = self.clock.now_s()
        ids = [record.key for record in records[:5]]
        log.warning("append: no answer", detail=detail, records=ids)

    def _settle(self, batch: list[_Waiting], stored: Stored) -> None:
        self.unknown_since_s = None
        for waiting in batch:
            if not waiting.done.done():
                waiting.done.set_result(stored)
