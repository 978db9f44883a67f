"""Simulated log service: streams, offsets, retention, outages."""

from dataclasses import dataclass, field
from enum import Enum


class LogFault(Enum):
    """The current fault of the log service."""

    NONE = "none"
    DOWN = "down"
    LOSES_ANSWERS = "loses_answers"


@dataclass(frozen=True, slots=True)
class Entry:
    """One record at its offset."""

    offset: int
    record: bytes


@dataclass(slots=True)
class Stream:
    """One append-only stream."""

    entries: list[Entry] = field(default_factory=list)
    next_offset: int = 0

    @property
    def oldest_offset(self) -> int:
        """Return the oldest retained offset."""
        return self.entries[0].offset if self.entries else self.next_offset


@dataclass(slots=True)
class LogMachine:
    """All streams; each retains at most ``kept`` records."""

    kept: int = 1_000_000
    fault: LogFault = LogFault.NONE
    appends: int = 0
    streams: dict[str, Stream] = field(default_factory=dict)

    def append(self, name: str, records: tuple[bytes, ...]) -> int:
        """Append records in order; return the offset of the first."""
        stream = self.streams.setdefault(name, Stream())
        first = stream.next_offset
        self.appends += 1
        for record in records:
            stream.entries.append(Entry(stream.next_offset, record))
            stream.next_offset += 1
        if len(stream.entries) > self.kept:
            del stream.entries[: len(stream.entries) - self.kept]
        return first

    def read(self, name: str, from_offset: int, limit: int) -> tuple[Stream, list]:
        """Return a stream and up to ``limit`` entries from an offset on."""
        stream = self.streams.setdefault(name, Stream())
        start = max(0, from_offset - stream.oldest_offset)
        return stream, stream.entries[start : start + limit]
