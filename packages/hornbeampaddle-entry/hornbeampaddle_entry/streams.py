"""
Follow a stream of the log service and append to it, one task each.

A record counts as durable when it has been read back, so an append whose
answer was lost needs no case of its own: the next read shows whether it took
effect, and only records that did not are appended again.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from result import Err, Ok

from hornbeampaddle.contracts import NoAnswer
from hornbeampaddle.records import ConfigRecord, HomeRecord

from .mail import StreamDown, StreamMail
from .ports import LogPort, Page

BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
RECORDS_PER_APPEND = 200

log = structlog.get_logger()

Record = ConfigRecord | HomeRecord


class StreamLink:
    """One stream: where it has been read to, and what waits to be appended."""

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
        """Keep the port; ``post`` takes what is read."""
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
        self._work = asyncio.Event()
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
        self._work.set()
        return True

    def withdraw(self, record_id: str) -> bool:
        """Take back a queued record; False if an append may have carried it."""
        if record_id in self._attempted or record_id not in self._unsent:
            return False
        del self._unsent[record_id]
        return True

    def skip_to(self, offset: int) -> None:
        """Go on reading after a state that came from elsewhere."""
        self.next_offset = max(self.next_offset, offset)

    async def follow(self) -> None:
        """Read the stream for ever."""
        while True:
            asked_s = asyncio.get_running_loop().time()
            answer = await self.port.read(self.stream, self.next_offset)
            match answer:
                case Ok(page):
                    more = self._take(page, asked_s)
                    if more:
                        continue
                case Err(detail):
                    self.reachable = False
                    self.post(StreamDown(self.stream, detail))
            await self._pause()

    async def _pause(self) -> None:
        # Jitter keeps the instances of all data centres from asking at once,
        # above all when the log service returns from an outage.
        interval_s = self.poll_interval_s * self._rng.uniform(0.75, 1.25)
        try:
            async with asyncio.timeout(interval_s):
                await self._poll_now.wait()
        except TimeoutError:
            pass
        self._poll_now.clear()

    def _take(self, page: Page, asked_s: float) -> bool:
        """Hand on a page; return whether there is more to read at once."""
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
            return self._decoder.decode(data)
        except ValueError as error:
            # A record of a later version, or of somebody else: all instances
            # skip it alike, so they still agree.
            log.warning(
                "log: Record skipped.",
                stream=self.stream,
                offset=offset,
                error=str(error),
            )
            return None

    async def write(self) -> None:
        """Append queued records for ever, in groups."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            await self._work.wait()
            await asyncio.sleep(self.commit_interval_s)
            if await self._write_group():
                backoff_s = BACKOFF_FIRST_S
                continue
            # Guards against a herd: after an outage every writer would repeat
            # at once and push the log service down again.
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, 2 * backoff_s)

    async def _write_group(self) -> bool:
        group = list(self._unsent.values())[:RECORDS_PER_APPEND]
        if not group:
            self._work.clear()
            return True
        fresh = {record.record_id for record in group} - self._attempted
        self._attempted |= fresh
        data = tuple(msgspec.msgpack.encode(record) for record in group)
        answer = await self.port.append(self.stream, data)
        self.appends += 1
        asked_s = asyncio.get_running_loop().time()
        match answer:
            case Ok(_):
                await self._read_past(asked_s)
                return True
            case Err(NoAnswer()):
                await self._read_past(asked_s)
                return False
            case _:
                self._attempted -= fresh
                return False

    async def _read_past(self, asked_s: float) -> None:
        """Wait until a read begun after ``asked_s`` has reached the end."""
        while self._read_to_end_s < asked_s:
            self._read_done.clear()
            self._poll_now.set()
            await self._read_done.wait()
