"""Stand in for the log service: conditional appends, epochs, compacted logs."""

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

# One answer takes about as long as the users' store takes.
ANSWER_S = 0.006
# A caller gives up a call that gets no answer after so long, not counting the time for
# which it asked the store to wait for a record.
CALLER_PATIENCE_S = 1.0
# A store remembers the outcome of this many appends of each producer.
REMEMBERED = 5
# The records of a read of newest records travel as text.
NEWEST_SIZE_RATIO = 4 / 3


class StoreFault(Enum):
    """How the store treats one instance, or all."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"
    LATE = "late"


@dataclass(slots=True)
class _Writer:
    """What the log remembers of one producer's appends."""

    epoch: int = -1
    next_sequence: int = 0
    outcomes: dict[int, Appended] = field(default_factory=dict)


@dataclass(slots=True)
class KeyedLog:
    """One compacted log; ``first`` is the oldest offset that can be read."""

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
        """Append all or none."""
        if producer is not None:
            outcome = self._admit(producer)
            if outcome is not None:
                return outcome
        if at is not None and at != self.end:
            return Conflict()
        self.records += records
        for record in records:
            # The newest records are read in the order in which they were written.
            self.newest.pop(record.key, None)
            if record.value is not None:
                self.newest[record.key] = record.value
        done = Appended(self.end)
        if producer is not None and records:
            writer = self.writers[producer.name]
            writer.outcomes[producer.sequence] = done
            writer.outcomes.pop(producer.sequence - REMEMBERED, None)
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
    The narrow link of one instance: answers pass it one after the other.

    An answer that its caller no longer waits for takes its time all the same.
    """

    bytes_per_s: float
    free_at_s: float = 0.0

    async def carry(self, size_bytes: float) -> None:
        """Return when an answer of this size has passed."""
        now_s = asyncio.get_running_loop().time()
        self.free_at_s = max(self.free_at_s, now_s) + size_bytes / self.bytes_per_s
        await asyncio.sleep(self.free_at_s - now_s)


@dataclass(slots=True)
class CellStore:
    """All logs, and how each instance is treated at present."""

    logs: dict[Topic, KeyedLog] = field(
        default_factory=lambda: {topic: KeyedLog() for topic in Topic}
    )
    faults: dict[str, StoreFault] = field(default_factory=dict)
    # Reads of a log that one instance gets no answer to.
    unread: set[tuple[str, Topic]] = field(default_factory=set)
    # Instances whose link is narrow; what others read takes no time to travel.
    links: dict[str, Link] = field(default_factory=dict)
    # Logs that refuse every append.
    unwritten: set[Topic] = field(default_factory=set)
    answer_s: float = ANSWER_S
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
        """Return the fault that one instance meets."""
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

    def port(self, name: str) -> "StoreAccess":
        """Return the store as one instance reaches it."""
        return StoreAccess(self, name)

    def write(self, topic: Topic, record: Keyed) -> None:
        """Write as an operator or a worker does: past all faults."""
        self.logs[topic].append([record], None, None)
        self.wake()

    def forget_history(self) -> None:
        """Keep only the newest record of each key."""
        for log in self.logs.values():
            log.first = log.end

    def wake(self) -> None:
        """Let the reads that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class StoreAccess:
    """The store port of one instance."""

    def __init__(self, store: CellStore, name: str) -> None:
        """Reach ``store`` under the faults set for ``name``."""
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
        await asyncio.sleep(self.store.answer_s / 2)
        if topic in self.store.unwritten:
            return Unavailable("refused")
        match self.store.fault(self.name):
            case StoreFault.REFUSES:
                return Unavailable("refused")
            case StoreFault.SILENT:
                return await self._silence()
            case StoreFault.LATE:
                asyncio.get_running_loop().call_later(
                    self.store.late_s, self._append, topic, records, producer, at_offset
                )
                return await self._silence()
            case StoreFault.LOSES_ANSWERS:
                self._append(topic, records, producer, at_offset)
                return await self._silence()
        outcome = self._append(topic, records, producer, at_offset)
        await asyncio.sleep(self.store.answer_s / 2)
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

    async def _silence(self, patience_s: float = CALLER_PATIENCE_S) -> NoAnswer:
        await asyncio.sleep(patience_s)
        return NoAnswer("timed out")

    async def _refused(
        self, patience_s: float = CALLER_PATIENCE_S
    ) -> Unavailable | NoAnswer | None:
        match self.store.fault(self.name):
            case StoreFault.REFUSES:
                return Unavailable("refused")
            case StoreFault.SILENT:
                return await self._silence(patience_s)
        return None

    async def read(self, topic: Topic, span: Span) -> ReadOutcome:
        """Read from an offset; wait for a record if there is none."""
        offset, wait_s = span.offset, span.wait_s
        await asyncio.sleep(self.store.answer_s / 2)
        if not self.store.admit_read():
            return Unavailable("too many reads")
        log = self.store.logs[topic]
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            left_s = deadline_s - asyncio.get_running_loop().time()
            patience_s = left_s + CALLER_PATIENCE_S
            if (self.name, topic) in self.store.unread:
                return await self._silence(patience_s)
            refused = await self._refused(patience_s)
            if refused is not None:
                return refused
            if log.end > offset or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(self.store.answer_s / 2)
        if offset < log.first:
            return Expired()
        records = _page(log.records[offset:], span.size_max_bytes)
        waited_s = 0.0 if records else wait_s
        batch = Batch(records, offset + len(records), log.end, waited_s)
        if not await self._carried(_size_bytes(records)):
            return NoAnswer("timed out")
        return batch

    async def newest(self, topic: Topic) -> NewestOutcome:
        """Read the newest record of each key."""
        await asyncio.sleep(self.store.answer_s)
        if not self.store.admit_read():
            return Unavailable("too many reads")
        if (self.name, topic) in self.store.unread:
            return await self._silence()
        refused = await self._refused()
        if refused is not None:
            return refused
        log = self.store.logs[topic]
        records = [Keyed(key, value) for key, value in log.newest.items()]
        newest = Newest(records, log.end)
        if not await self._carried(NEWEST_SIZE_RATIO * _size_bytes(records)):
            return NoAnswer("timed out")
        return newest

    async def _carried(self, size_bytes: float) -> bool:
        """Tell whether an answer reached the instance while it was waited for."""
        link = self.store.links.get(self.name)
        if link is None:
            return True
        try:
            async with asyncio.timeout(CALLER_PATIENCE_S):
                await link.carry(size_bytes)
        except TimeoutError:
            return False
        return True


def _size_bytes(records: Sequence[Keyed]) -> int:
    return sum(len(record.key) + len(record.value or b"") for record in records)


def _page(records: Sequence[Keyed], size_max_bytes: int) -> list[Keyed]:
    """Return the records that one read carries: one at least."""
    page: list[Keyed] = []
    left_bytes = size_max_bytes
    for record in records:
        left_bytes -= _size_bytes([record])
        if page and left_bytes < 0:
            break
        page.append(record)
    return page
