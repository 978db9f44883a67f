"""
Follow one compacted log: the newest record of each key, then every later record.

A follower never gives up: when its offset has expired it starts again from the newest
records, and it retries failed reads indefinitely, with a growing pause.

Its view is complete as of a time: the time at which the last read that reached the end
of the log was sent, plus the store's own wait if that found no record. The arrival of
the answer does not count, for the answer may be old by then because the store was slow
or this machine was suspended.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
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

# Pauses between failed reads: short at first, since most refusals end soon, and bounded
# so that the return of the store is noticed within half a second.
RETRY_BASE_S = 0.05
RETRY_MAX_S = 0.4

# Size of a read without losses, about 1 MB: under a second on a 10 Mbit/s link.
READ_MAX_BYTES = 1024 * 1024
# After an unanswered read the next one asks for a quarter, down to this minimum.
READ_MIN_BYTES = 64 * 1024
READ_SHRINK_FACTOR = 4
# While catching up, the size is halved after a read that took longer than this, and
# doubled after one that took less than half of it. It is well below the timeout after
# which an answer counts as lost.
READ_DURATION_MAX_S = 0.4
# Size of a read of a log of which only the newest records matter: about one record.
# The rest of a backlog is never read.
LATEST_ONLY_READ_BYTES = 64 * 1024

# After reading a large change of such a log, the next read waits as long as that one
# took, at most this long: other calls get half of a slow link, and a change is still in
# force within 2 s on links of 10 Mbit/s.
LARGE_CHANGE_BYTES = 64 * 1024
LARGE_CHANGE_PAUSE_MIN_S = 0.2
LARGE_CHANGE_PAUSE_MAX_S = 0.4

# After a read that took longer than this and returned records, the next one does not
# wait for a record: well above the usual 4 to 20 ms of an answer, and well below the
# wait of a long read.
SKIP_WAIT_AFTER_S = 0.3

Handler = Callable[[Sequence[Keyed]], None]


class Follower:
    """One instance's reader of one log."""

    def __init__(
        self, store: StorePort, topic: Topic, clock: Clock, handler: Handler
    ) -> None:
        """Store the parts; ``handler`` is called with the records in log order."""
        self.store = store
        self.topic = topic
        self.clock = clock
        self.handler = handler
        self.pause_s = 0.0
        self.wait_s = 1.0
        # Whether only the newest record of each key matters, so that a backlog may be
        # skipped.
        self.latest_only = False
        self.offset: int | None = None
        # The offset up to which records were applied; stays when ``offset`` is cleared.
        self.applied_offset = 0
        # The newest value of each key, kept only if ``latest_only`` is set.
        self._values: dict[str, bytes] = {}
        self.complete_at_s = float("-inf")
        self.on_reload: Callable[[set[str]], None] | None = None
        self._read_requested = asyncio.Event()
        self._complete = asyncio.Event()
        # Whether the next read does not wait for a record. A long read that returns a
        # record proves the view complete only as of its start; with another wait on top
        # the view would count as old on a slow store. Without the wait its age stays
        # below one wait plus two answers.
        self._skip_wait = False
        # Size of the next read, reduced on a busy link: a backlog that does not pass
        # the link within the timeout would grow with each try, and the view would never
        # catch up.
        self._read_bytes = READ_MAX_BYTES
        # Whether the last read did not reach the end of the log; the next one then
        # follows without a pause.
        self._behind = False
        # Whether the last read returned records, so that more are probably stored now.
        self._last_read_had_records = False
        # Whether the log changes faster than this instance reads it. Its newest records
        # are then read directly, with pauses: reading each change first, which the next
        # one has already replaced, would fill a slow link and delay all other calls.
        self._changing = False
        self._newest_end_offset: int | None = None
        self._large_change_took_s = 0.0
        self._failures = 0
        self._lost_at_s: float | None = None
        self.random = Random()

    def age_s(self) -> float:
        """Return the seconds since the time as of which the view is complete."""
        return self.clock.now_s() - self.complete_at_s

    @property
    def read_bytes(self) -> int:
        """The size of the next read."""
        return self._read_bytes

    @property
    def lost(self) -> bool:
        """Whether the last read failed."""
        return self._lost_at_s is not None

    @property
    def large(self) -> bool:
        """Whether the newest records take long to pass a slow link."""
        return _size_bytes(self._values.values()) > LARGE_CHANGE_BYTES

    def newest(self) -> Newest:
        """Return the newest records as read so far, for a peer; see ``latest_only``."""
        records = [Keyed(key, value) for key, value in self._values.items()]
        return Newest(records, self.applied_offset, -self.age_s())

    def _note_applied(
        self, records: Sequence[Keyed], end_offset: int, sent_at_s: float
    ) -> None:
        self.applied_offset = end_offset
        if not self.latest_only:
            return
        size_bytes = _size_bytes(record.value or b"" for record in records)
        large = size_bytes > LARGE_CHANGE_BYTES
        self._large_change_took_s = self.clock.now_s() - sent_at_s if large else 0.0
        for record in records:
            if record.value is None:
                self._values.pop(record.key, None)
            else:
                self._values[record.key] = record.value

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            done = (
                await self._read_newest()
                if self.offset is None
                else await self._read_next()
            )
            if not done:
                await asyncio.sleep(self._backoff_s())
            elif not self._behind:
                await self._pause()

    async def _pause(self) -> None:
        pause_s = self.pause_s
        if self._large_change_took_s:
            large_change_pause_s = max(
                LARGE_CHANGE_PAUSE_MIN_S,
                min(self._large_change_took_s, LARGE_CHANGE_PAUSE_MAX_S),
            )
            pause_s = max(pause_s, large_change_pause_s)
        if not pause_s:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self._read_requested.wait()
        except TimeoutError:
            pass

    async def catch_up(self, timeout_s: float) -> bool:
        """
        Read now; return whether the view became complete as of this call or later.

        A read that was already under way does not count: it may have been answered
        before the record that the caller needs was stored. Returns false after
        ``timeout_s``.
        """
        started_s = self.clock.now_s()
        self._complete.clear()
        self._read_requested.set()
        try:
            async with asyncio.timeout(timeout_s):
                while self.complete_at_s < started_s:
                    await self._complete.wait()
                    self._complete.clear()
        except TimeoutError:
            return False
        return True

    async def _read_newest(self) -> bool:
        self._read_requested.clear()
        sent_at_s = self.clock.now_s()
        outcome = await self.store.newest(self.topic)
        match outcome:
            case Newest(records, end_offset, waited_s):
                self.handler(records)
                self._values.clear()
                self._note_applied(records, end_offset, sent_at_s)
                if self.on_reload is not None:
                    self.on_reload({record.key for record in records})
                self.offset = end_offset
                self._mark_complete(sent_at_s + waited_s)
                self._check_changing(end_offset)
                return True
            case Unavailable(detail) | NoAnswer(detail):
                self._mark_failed(detail)
        return False

    def _check_changing(self, end_offset: int) -> None:
        """Stop skipping changes after a full read that found none."""
        if end_offset == self._newest_end_offset:
            self._changing = False
        self._newest_end_offset = end_offset
        if self._changing:
            self.offset = None
            self._behind = False

    async def _read_next(self) -> bool:
        assert self.offset is not None
        at_once = self._read_requested.is_set() or self._skip_wait
        wait_s = 0.0 if at_once else self.wait_s
        self._read_requested.clear()
        sent_at_s = self.clock.now_s()
        size_max_bytes = (
            LATEST_ONLY_READ_BYTES if self.latest_only else self._read_bytes
        )
        span = Span(self.offset, wait_s, size_max_bytes)
        outcome = await self.store.read(self.topic, span)
        if self.offset != span.offset:
            # A reload was requested while this read was under way. Applying the batch
            # would set the offset and skip the reload, and with it earlier records.
            return True
        match outcome:
            case Batch():
                self._apply_batch(outcome, sent_at_s)
                return True
            case Expired():
                self.offset = None
                return True
            case Unavailable(detail):
                self._mark_failed(detail)
            case NoAnswer(detail):
                self._read_bytes = max(
                    READ_MIN_BYTES, self._read_bytes // READ_SHRINK_FACTOR
                )
                self._mark_failed(detail)
        return False

    def _apply_batch(self, batch: Batch, sent_at_s: float) -> None:
        now_s = self.clock.now_s()
        self.offset = batch.next_offset
        self._last_read_had_records = bool(batch.records)
        self._skip_wait = bool(batch.records) and now_s - sent_at_s > SKIP_WAIT_AFTER_S
        if batch.records:
            self.handler(self._newest_of(batch.records))
        self._note_applied(batch.records, batch.next_offset, sent_at_s)
        self._behind = batch.next_offset < batch.end_offset
        if self._behind:
            self._adapt_read_size(now_s - sent_at_s)
        else:
            self._mark_complete(min(sent_at_s + batch.waited_s, now_s))
        if self._behind and self.latest_only:
            # Skip to the newest records. Reading replaced records one by one would keep
            # an outdated one in force: on a slow link a configuration would come into
            # force seconds late.
            self.offset = None
            self._changing = True

    def _adapt_read_size(self, took_s: float) -> None:
        """Adapt the read size, so that an answer arrives well within its timeout."""
        if took_s > READ_DURATION_MAX_S:
            self._read_bytes = max(READ_MIN_BYTES, self._read_bytes // 2)
        elif took_s < READ_DURATION_MAX_S / 2:
            self._read_bytes = min(READ_MAX_BYTES, 2 * self._read_bytes)

    def _newest_of(self, records: Sequence[Keyed]) -> Sequence[Keyed]:
        if not self.latest_only:
            return records
        return list({record.key: record for record in records}.values())

    def _mark_complete(self, complete_at_s: float) -> None:
        now_s = self.clock.now_s()
        if self._lost_at_s is not None:
            gone_s = round(now_s - self._lost_at_s, 3)
            log.info("store: regained", topic=self.topic.value, gone_s=gone_s)
            self._lost_at_s = None
        self._failures = 0
        # A peer's view may be older than what this instance has read before.
        self.complete_at_s = max(self.complete_at_s, complete_at_s)
        self._complete.set()

    def _mark_failed(self, detail: str) -> None:
        self._failures += 1
        if self._lost_at_s is None:
            self._lost_at_s = self.clock.now_s()
            log.warning("store: lost", topic=self.topic.value, detail=detail)
        if self.latest_only and self._last_read_had_records:
            # Newer records have probably replaced those after this offset. If the last
            # read returned none, a read from the offset is cheaper than a full one.
            self.offset = None

    def _backoff_s(self) -> float:
        limit_s = min(RETRY_MAX_S, RETRY_BASE_S * 2**self._failures)
        return limit_s * self.random.uniform(0.5, 1.0)


def _size_bytes(values: Iterable[bytes]) -> int:
    return sum(len(value) for value in values)
