"""Simulated log service: conditional appends, producer epochs, compacted logs."""

import asyncio
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle_cell.ports import (
    Appended,
    AppendOutcome,
    Batch,
    Conflict,
    Expired,
    Keyed,
    Newest,
    NewestOutcome,
    OutOfSequence,
    Producer,
    ReadOutcome,
    Span,
    Superseded,
    Topic,
    Unavailable,
)

from .processor import Processor

# Response time of a call, about that of the users' store.
ROUND_TRIP_S = 0.006
# Time after which a call without an answer fails, in addition to the time for which
# the caller asked the store to wait for a record.
CALL_TIMEOUT_S = 1.0
# Number of append outcomes that the store remembers for each producer.
REMEMBERED_APPENDS_MAX = 5
# Size of the answer to an append.
APPEND_ANSWER_BYTES = 200
# Reads of the newest records return them as base64 text.
BASE64_SIZE_RATIO = 4 / 3
# The store refuses an append if it would wait longer than this for earlier ones.
APPEND_LINE_MAX_S = 2.0


class StoreFault(Enum):
    """The fault that the store shows to one instance, or to all."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"
    LATE = "late"


@dataclass(slots=True)
class _Writer:
    """The state that a log keeps of one producer, for idempotent appends."""

    epoch: int = -1
    next_sequence: int = 0
    outcomes: dict[int, Appended] = field(default_factory=dict)


@dataclass(slots=True)
class KeyedLog:
    """One compacted log; ``first`` is the oldest readable offset."""

    records: list[Keyed] = field(default_factory=list)
    newest: dict[str, bytes] = field(default_factory=dict)
    writers: dict[str, _Writer] = field(default_factory=dict)
    first: int = 0

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return len(self.records)

    def append(
        self, records: Sequence[Keyed], producer: Producer | None, at: int | None
    ) -> AppendOutcome:
        """
        Append all records or none; return the outcome.

        An append without records only raises the epoch; its number is not checked.
        """
        if producer is not None:
            outcome = self._admit(producer)
            if not records and not isinstance(outcome, Superseded):
                return Appended(self.end)
            if outcome is not None:
                return outcome
        if at is not None and at != self.end:
            return Conflict()
        self.records += records
        for record in records:
            # Reads of the newest records return them in the order of writing.
            self.newest.pop(record.key, None)
            if record.value is not None:
                self.newest[record.key] = record.value
        done = Appended(self.end)
        if producer is not None and records:
            writer = self.writers[producer.name]
            writer.outcomes[producer.sequence] = done
            writer.outcomes.pop(producer.sequence - REMEMBERED_APPENDS_MAX, None)
            writer.next_sequence = producer.sequence + 1
        return done

    def _admit(self, producer: Producer) -> AppendOutcome | None:
        writer = self.writers.setdefault(producer.name, _Writer())
        if producer.epoch < writer.epoch:
            return Superseded()
        if producer.epoch > writer.epoch:
            self.writers[producer.name] = _Writer(producer.epoch, producer.sequence)
            return None
        if producer.sequence in writer.outcomes:
            return writer.outcomes[producer.sequence]
        if producer.sequence != writer.next_sequence:
            return OutOfSequence(writer.next_sequence)
        return None


@dataclass(slots=True)
class Link:
    """
    The low-bandwidth link of one instance, which transfers answers one by one.

    An answer uses the link even if its caller has timed out.
    """

    bytes_per_s: float
    free_at_s: float = 0.0
    # For how long it has transferred in total.
    used_s: float = 0.0

    async def transfer(self, size_bytes: float) -> None:
        """Wait until an answer of this size is transferred."""
        now_s = asyncio.get_running_loop().time()
        transfer_s = size_bytes / self.bytes_per_s
        self.used_s += transfer_s
        self.free_at_s = max(self.free_at_s, now_s) + transfer_s
        await asyncio.sleep(self.free_at_s - now_s)


@dataclass(slots=True)
class CellStore:
    """All logs, and the current faults by instance."""

    logs: dict[Topic, KeyedLog] = field(
        default_factory=lambda: {topic: KeyedLog() for topic in Topic}
    )
    faults: dict[str, StoreFault] = field(default_factory=dict)
    # Pairs of instance and log whose reads get no answer.
    unanswered_reads: set[tuple[str, Topic]] = field(default_factory=set)
    # Instances with a low-bandwidth link; for others the transfer takes no time.
    links: dict[str, Link] = field(default_factory=dict)
    # Logs that refuse every append.
    read_only: set[Topic] = field(default_factory=set)
    round_trip_s: float = ROUND_TRIP_S
    # How long the store is at work on each append to a log, one after the other.
    append_s: float = 0.0
    # When the store is done with the appends that wait, by log.
    busy_until_s: dict[Topic, float] = field(default_factory=dict)
    late_s: float = 3.0
    # Read rate limit shared by all instances; reads above it are refused.
    reads_per_s: float = math.inf
    appends: int = 0
    reads: int = 0
    reads_refused: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    _current_second: int = 0
    _reads_in_second: int = 0

    def fault(self, name: str) -> StoreFault:
        """Return the fault shown to one instance."""
        return self.faults.get(name) or self.faults.get("", StoreFault.NONE)

    def admit_read(self) -> bool:
        """Count a read; return whether it is within the limit for this second."""
        self.reads += 1
        second = int(asyncio.get_running_loop().time())
        if second != self._current_second:
            self._current_second = second
            self._reads_in_second = 0
        self._reads_in_second += 1
        if self._reads_in_second <= self.reads_per_s:
            return True
        self.reads_refused += 1
        return False

    def port(
        self, name: str, processor: Processor | None = None
    ) -> "StoreAccess | ChargedStoreAccess":
        """Return the store port of one instance; ``processor`` reads the answers."""
        access = StoreAccess(self, name)
        return access if processor is None else ChargedStoreAccess(access, processor)

    def write(self, topic: Topic, record: Keyed) -> None:
        """Append as an operator or a worker, unaffected by faults."""
        self.logs[topic].append([record], None, None)
        self.wake()

    def append_delay_s(self, topic: Topic) -> float | None:
        """Line up an append; return when it is done, None if the line is too long."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self.busy_until_s.get(topic, 0.0))
        if begin_s - now_s > APPEND_LINE_MAX_S:
            return None
        self.busy_until_s[topic] = begin_s + self.append_s
        return begin_s + self.append_s - now_s

    def forget_history(self) -> None:
        """Keep only the newest record of each key."""
        for log in self.logs.values():
            log.first = log.end

    def wake(self) -> None:
        """Wake the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()


class StoreAccess:
    """The store port of one instance."""

    def __init__(self, store: CellStore, name: str) -> None:
        """Access ``store`` under the faults set for ``name``."""
        self.store = store
        self.name = name

    async def append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        """Append all records or none."""
        self.store.appends += 1
        await asyncio.sleep(self.store.round_trip_s / 2)
        if topic in self.store.read_only:
            return Unavailable("refused")
        match self.store.fault(self.name):
            case StoreFault.REFUSES:
                return Unavailable("refused")
            case StoreFault.SILENT:
                return await self._time_out()
            case StoreFault.LATE:
                asyncio.get_running_loop().call_later(
                    self.store.late_s, self._append, topic, records, producer, at_offset
                )
                return await self._time_out()
            case StoreFault.LOSES_ANSWERS:
                self._append(topic, records, producer, at_offset)
                return await self._time_out()
        delay_s = self.store.append_delay_s(topic)
        if delay_s is None:
            return Unavailable("too many appends wait")
        if delay_s > CALL_TIMEOUT_S:
            asyncio.get_running_loop().call_later(
                delay_s, self._append, topic, records, producer, at_offset
            )
            return await self._time_out()
        await asyncio.sleep(delay_s)
        outcome = self._append(topic, records, producer, at_offset)
        await asyncio.sleep(self.store.round_trip_s / 2)
        if not await self._delivered(APPEND_ANSWER_BYTES):
            return NoAnswer("timed out")
        return outcome

    def _append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        outcome = self.store.logs[topic].append(records, producer, at_offset)
        self.store.wake()
        return outcome

    async def _time_out(self, timeout_s: float = CALL_TIMEOUT_S) -> NoAnswer:
        await asyncio.sleep(timeout_s)
        return NoAnswer("timed out")

    async def _refused(
        self, timeout_s: float = CALL_TIMEOUT_S
    ) -> Unavailable | NoAnswer | None:
        match self.store.fault(self.name):
            case StoreFault.REFUSES:
                return Unavailable("refused")
            case StoreFault.SILENT:
                return await self._time_out(timeout_s)
        return None

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset, and wait up to ``span.wait_s`` for a record."""
        offset, wait_s = span.offset, span.wait_s
        await asyncio.sleep(self.store.round_trip_s / 2)
        if not self.store.admit_read():
            return Unavailable("too many reads")
        log = self.store.logs[topic]
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            left_s = deadline_s - asyncio.get_running_loop().time()
            timeout_s = left_s + CALL_TIMEOUT_S
            if (self.name, topic) in self.store.unanswered_reads:
                return await self._time_out(timeout_s)
            refused = await self._refused(timeout_s)
            if refused is not None:
                return refused
            if log.end > offset or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(self.store.round_trip_s / 2)
        if offset < log.first:
            return Expired()
        records = _page(log.records[offset:], span.size_max_bytes)
        waited_s = 0.0 if records else wait_s
        batch = Batch(records, offset + len(records), log.end, waited_s)
        if not await self._delivered(_size_bytes(records)):
            return NoAnswer("timed out")
        return batch

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        await asyncio.sleep(self.store.round_trip_s)
        if not self.store.admit_read():
            return Unavailable("too many reads")
        if (self.name, topic) in self.store.unanswered_reads:
            return await self._time_out()
        refused = await self._refused()
        if refused is not None:
            return refused
        log = self.store.logs[topic]
        records = [Keyed(key, value) for key, value in log.newest.items()]
        newest = Newest(records, log.end)
        if not await self._delivered(BASE64_SIZE_RATIO * _size_bytes(records)):
            return NoAnswer("timed out")
        return newest

    async def _delivered(self, size_bytes: float) -> bool:
        """Return whether an answer is transferred before the call times out."""
        link = self.store.links.get(self.name)
        if link is None:
            return True
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await link.transfer(size_bytes)
        except TimeoutError:
            return False
        return True


class ChargedStoreAccess:
    """The store port of an instance whose processor may read an answer too late."""

    def __init__(self, access: StoreAccess, processor: Processor) -> None:
        """Wrap a port."""
        self.access = access
        self.processor = processor

    async def append(
        self,
        topic: Topic,
        records: Sequence[Keyed],
        producer: Producer | None,
        at_offset: int | None,
    ) -> AppendOutcome:
        """Append all records or none."""
        due_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        outcome = await self.access.append(topic, records, producer, at_offset)
        if isinstance(outcome, NoAnswer):
            return outcome
        in_time = await self.processor.answer(0.0, due_s)
        return outcome if in_time else NoAnswer("read too late")

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset."""
        due_s = asyncio.get_running_loop().time() + span.wait_s + CALL_TIMEOUT_S
        outcome = await self.access.read(topic, span)
        if isinstance(outcome, NoAnswer):
            return outcome
        records = outcome.records if isinstance(outcome, Batch) else ()
        in_time = await self.processor.answer(self._cost_s(topic, records), due_s)
        return outcome if in_time else NoAnswer("read too late")

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        due_s = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        outcome = await self.access.newest(topic)
        if isinstance(outcome, NoAnswer):
            return outcome
        records = outcome.records if isinstance(outcome, Newest) else ()
        in_time = await self.processor.answer(self._cost_s(topic, records), due_s)
        return outcome if in_time else NoAnswer("read too late")

    def _cost_s(self, topic: Topic, records: Sequence[Keyed]) -> float:
        listed = topic is Topic.WORKERS
        return len(records) * self.processor.costs.listing_s if listed else 0.0


def _size_bytes(records: Sequence[Keyed]) -> int:
    return sum(len(record.key) + len(record.value or b"") for record in records)


def _page(records: Sequence[Keyed], size_max_bytes: int) -> list[Keyed]:
    """Return the records that fit in one read, at least one."""
    page: list[Keyed] = []
    left_bytes = size_max_bytes
    for record in records:
        left_bytes -= _size_bytes([record])
        if page and left_bytes < 0:
            break
        page.append(record)
    return page
