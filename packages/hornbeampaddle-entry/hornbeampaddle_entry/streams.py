"""
Read streams of the log service and append to them, in a task each.

A record counts as durable when it has been read back. An append whose answer was
lost therefore needs no special handling: the next read shows which records were
appended, and only the others are appended again.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from result import Err, Ok

from hornbeampaddle.contracts import NoAnswer
from hornbeampaddle.decoding import UnreadableError, decode
from hornbeampaddle.records import ConfigRecord, HomeRecord

from .mail import StreamDown, StreamMail
from .ports import LogPort, Page

BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
RECORDS_PER_APPEND = 200

log = structlog.get_logger()

Record = ConfigRecord | HomeRecord


class StreamLink:
    """One stream, with its read position and the queue of records to append."""

    def __init__(
        self,
        stream: str,
        record_type: Any,
        port: LogPort,
        post: Callable[[StreamMail | StreamDown], None],
        poll_interval_s: float,
        commit_interval_s: float,
        unsent_max: int,
        rng: random.Random,
    ) -> None:
        """Start at offset 0; ``post`` receives what is read."""
        self.stream = stream
        self.port = port
        self.post = post
        self.poll_interval_s = poll_interval_s
        self.commit_interval_s = commit_interval_s
        self.unsent_max = unsent_max
        self.next_offset = 0
        self.reachable = False
        self.appends = 0
        self._decoder = msgspec.msgpack.Decoder(record_type)
        self._unsent: dict[str, Record] = {}
        self._attempted: set[str] = set()
        self._has_unsent = asyncio.Event()
        self._poll_now = asyncio.Event()
        self._read_to_end_s = 0.0
        self._read_done = asyncio.Event()
        self._rng = rng

    def append(self, record: Record) -> bool:
        """Queue a record; return False, changing nothing, if the queue is full."""
        if record.record_id in self._unsent:
            return True
        if len(self._unsent) >= self.unsent_max:
            return False
        self._unsent[record.record_id] = record
        self._has_unsent.set()
        return True

    def withdraw(self, record_id: str) -> bool:
        """Remove a queued record; return False if it may have been appended."""
        if record_id in self._attempted or record_id not in self._unsent:
            return False
        del self._unsent[record_id]
        return True

    def skip_to(self, offset: int) -> None:
        """Skip records that are covered by a state from another source."""
        self.next_offset = max(self.next_offset, offset)

    async def follow(self) -> None:
        """Read the stream until cancelled."""
        while True:
            asked_s = asyncio.get_running_loop().time()
            answer = await self.port.read(self.stream, self.next_offset)
            match answer:
                case Ok(page):
                    more = self._process_page(page, asked_s)
                    if more:
                        continue
                case Err(detail):
                    self.reachable = False
                    self.post(StreamDown(self.stream, detail))
            await self._pause()

    async def _pause(self) -> None:
        # Jitter prevents the instances of all data centres from reading at the same
        # time, in particular when the log service recovers from an outage.
        interval_s = self.poll_interval_s * self._rng.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout(interval_s):
                await self._poll_now.wait()
        except TimeoutError:
            pass
        self._poll_now.clear()

    def _process_page(self, page: Page, asked_s: float) -> bool:
        """Post a page's records; return whether there are more to read now."""
        self.reachable = True
        gap = page.oldest_offset > self.next_offset and page.oldest_offset > 0
        records = []
        for offset, data in page.entries:
            if offset < self.next_offset:
                continue
            self.next_offset = offset + 1
            record = self._decode(offset, data)
            if record is not None:
                records.append((offset, record))
                self._unsent.pop(record.record_id, None)
                self._attempted.discard(record.record_id)
        reached_end = self.next_offset >= page.next_offset
        if gap and not page.entries:
            self.next_offset = page.next_offset
        if reached_end:
            self._read_to_end_s = asked_s
            self._read_done.set()
        mail = StreamMail(
            self.stream,
            tuple(records),
            asked_s,
            reached_end,
            gap,
            page.oldest_offset,
            page.next_offset,
        )
        self.post(mail)
        return not reached_end

    def _decode(self, offset: int, data: bytes) -> Any:
        try:
            return decode(self._decoder, data)
        except UnreadableError as error:
            # The record has a later format or a foreign writer. All instances skip
            # it, so their states stay consistent.
            log.warning(
                "log: Skipped a record that could not be decoded.",
                stream=self.stream,
                offset=offset,
                error=str(error),
            )
            return None

    async def write(self) -> None:
        """Append queued records in batches until cancelled."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            await self._has_unsent.wait()
            await asyncio.sleep(self.commit_interval_s)
            if await self._append_batch():
                backoff_s = BACKOFF_FIRST_S
                continue
            # Guards against a thundering herd: after an outage all writers would
            # retry at the same time and overload the log service again.
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, 2 * backoff_s)

    async def _append_batch(self) -> bool:
        batch = list(self._unsent.values())[:RECORDS_PER_APPEND]
        if not batch:
            self._has_unsent.clear()
            return True
        fresh = {record.record_id for record in batch} - self._attempted
        self._attempted |= fresh
        data = tuple(msgspec.msgpack.encode(record) for record in batch)
        answer = await self.port.append(self.stream, data)
        self.appends += 1
        asked_s = asyncio.get_running_loop().time()
        match answer:
            case Ok(_):
                await self._wait_for_read_since(asked_s)
                return True
            case Err(NoAnswer()):
                await self._wait_for_read_since(asked_s)
                return False
            case _:
                self._attempted -= fresh
                return False

    async def _wait_for_read_since(self, asked_s: float) -> None:
        """Wait until a read requested at ``asked_s`` or later has reached the end."""
        while self._read_to_end_s < asked_s:
            self._read_done.clear()
            self._poll_now.set()
            await self._read_done.wait()
