"""
Follow one compacted log: the newest record of each key, then all that comes.

A follower survives everything that the store does: it begins again from the
newest records when its place in the log has expired, and retries for ever with
a pause that grows.

Its view is complete as of a time: that at which the last read which reached the log's
end was sent, and the store's own wait if it found nothing. An answer may be old when
it is read, because the store was slow or this machine was suspended meanwhile, so the
time of its arrival says nothing.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import structlog

from hornbeampaddle.cell.reports import NoAnswer

from .ports import (
    Batch,
    Clock,
    Expired,
    Keyed,
    Newest,
    Span,
    StorePort,
    Topic,
    Unavailable,
)

log = structlog.get_logger()

# Pauses between failed reads: short at first, for most refusals are over soon,
# and bounded so that a store that is back is noticed in half a second.
RETRY_BASE_S = 0.05
RETRY_MAX_S = 0.4

# One read of a log returns about so many bytes: below a second on a link of 10 Mbit/s.
READ_BYTES = 1024 * 1024
# After a read without an answer the next asks for a quarter, down to this.
READ_MIN_BYTES = 64 * 1024
READ_SHRINK = 4
# While behind, a read that took longer than this is followed by one for half, and one
# that took less than half of it by one for twice as much: well below the time after
# which an answer counts as lost.
READ_SLOW_S = 0.4
# A read of a log whose records replace one another: about one record. The rest of what
# it is behind by is never read.
REPLACING_READ_BYTES = 64 * 1024

# After a read that took longer than this and brought records, the next does not wait:
# well above an answer's usual 4 to 20 ms, well below a long read's wait.
LOOK_AGAIN_S = 0.3

Handler = Callable[[Sequence[Keyed]], None]


class Follower:
    """One log as this instance sees it."""

    def __init__(
        self, store: StorePort, topic: Topic, clock: Clock, handler: Handler
    ) -> None:
        """Keep what is needed; ``handler`` gets the records in their order."""
        self.store = store
        self.topic = topic
        self.clock = clock
        self.handler = handler
        self.pause_s = 0.0
        self.wait_s = 1.0
        # Whether every record replaces what came before it under the same key, so that
        # only the newest records matter.
        self.replacing = False
        self.offset: int | None = None
        self.complete_at_s = float("-inf")
        self.on_reload: Callable[[set[str]], None] | None = None
        self._poked = asyncio.Event()
        self._complete = asyncio.Event()
        # Guards against a view that is taken for old on a slow store: a long read that
        # ends with a record is as new as its start, and another wait comes on top. The
        # next read does not wait: the age stays below one wait and two answers.
        self._look_again = False
        # Guards against a view that never catches up: what was missed does not pass a
        # busy link in time, and more is missed with each try.
        self._read_bytes = READ_BYTES
        # The last read did not reach the log's end: the next follows at once.
        self._behind = False
        # The last read found something new, so more will have come meanwhile.
        self._growing = False
        self._failures = 0
        self._lost_at_s: float | None = None
        self.random = Random()

    def age_s(self) -> float:
        """Return how long ago this view was certainly complete."""
        return self.clock.now_s() - self.complete_at_s

    @property
    def lost(self) -> bool:
        """Tell whether the last read failed."""
        return self._lost_at_s is not None

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            done = await self._load() if self.offset is None else await self._step()
            if not done:
                await asyncio.sleep(self._backoff_s())
            elif self.pause_s and not self._behind:
                await self._pause()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self.pause_s):
                await self._poked.wait()
        except TimeoutError:
            pass

    async def catch_up(self, timeout_s: float) -> bool:
        """
        Read now; return whether the view is complete as of this call, or later.

        Guards against a read that was sent before the call: it may have been answered
        before what the caller has to know was stored.
        """
        begun_s = self.clock.now_s()
        self._complete.clear()
        self._poked.set()
        try:
            async with asyncio.timeout(timeout_s):
                while self.complete_at_s < begun_s:
                    await self._complete.wait()
                    self._complete.clear()
        except TimeoutError:
            return False
        return True

    async def _load(self) -> bool:
        sent_at_s = self.clock.now_s()
        outcome = await self.store.newest(self.topic)
        match outcome:
            case Newest(records, end_offset):
                self.handler(records)
                if self.on_reload is not None:
                    self.on_reload({record.key for record in records})
                self.offset = end_offset
                self._good(sent_at_s)
                return True
            case Unavailable(detail) | NoAnswer(detail):
                self._bad(detail)
        return False

    async def _step(self) -> bool:
        assert self.offset is not None
        at_once = self._poked.is_set() or self._look_again
        wait_s = 0.0 if at_once else self.wait_s
        self._poked.clear()
        sent_at_s = self.clock.now_s()
        size_max_bytes = REPLACING_READ_BYTES if self.replacing else self._read_bytes
        span = Span(self.offset, wait_s, size_max_bytes)
        outcome = await self.store.read(self.topic, span)
        if self.offset != span.offset:
            # Guards against a reload that was asked for while this read was under way
            # and would never take place: what came before it would stay untaken.
            return True
        match outcome:
            case Batch():
                self._take(outcome, sent_at_s)
                return True
            case Expired():
                self.offset = None
                return True
            case Unavailable(detail):
                self._bad(detail)
            case NoAnswer(detail):
                self._read_bytes = max(READ_MIN_BYTES, self._read_bytes // READ_SHRINK)
                self._bad(detail)
        return False

    def _take(self, batch: Batch, sent_at_s: float) -> None:
        now_s = self.clock.now_s()
        self.offset = batch.next_offset
        self._growing = bool(batch.records)
        self._look_again = bool(batch.records) and now_s - sent_at_s > LOOK_AGAIN_S
        if batch.records:
            self.handler(self._newest_of(batch.records))
        self._behind = batch.next_offset < batch.end_offset
        if self._behind:
            self._fit_reads(now_s - sent_at_s)
        else:
            self._good(min(sent_at_s + batch.waited_s, now_s))
        if self._behind and self.replacing:
            # Guards against reading what was replaced long ago, record by record,
            # while an answer is given from the one that it is at: a configuration
            # came into force seconds late on a narrow link.
            self.offset = None

    def _fit_reads(self, took_s: float) -> None:
        """Ask for as much at a time as passes the link well within an answer's time."""
        if took_s > READ_SLOW_S:
            self._read_bytes = max(READ_MIN_BYTES, self._read_bytes // 2)
        elif took_s < READ_SLOW_S / 2:
            self._read_bytes = min(READ_BYTES, 2 * self._read_bytes)

    def _newest_of(self, records: Sequence[Keyed]) -> Sequence[Keyed]:
        if not self.replacing:
            return records
        return list({record.key: record for record in records}.values())

    def _good(self, complete_at_s: float) -> None:
        now_s = self.clock.now_s()
        if self._lost_at_s is not None:
            gone_s = round(now_s - self._lost_at_s, 3)
            log.info("store: regained", topic=self.topic.value, gone_s=gone_s)
            self._lost_at_s = None
        self._failures = 0
        self.complete_at_s = complete_at_s
        self._complete.set()

    def _bad(self, detail: str) -> None:
        self._failures += 1
        if self._lost_at_s is None:
            self._lost_at_s = self.clock.now_s()
            log.warning("store: lost", topic=self.topic.value, detail=detail)
        if self.replacing and self._growing:
            # What came meanwhile has replaced what this place in the log leads to. If
            # nothing was new, a read from there is short, and one of everything is not.
            self.offset = None

    def _backoff_s(self) -> float:
        limit_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**self._failures)
        return limit_s * self.random.uniform(0.5, 1.0)
