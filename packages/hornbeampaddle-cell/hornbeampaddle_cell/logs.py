"""
Write structured logs to standard output without ever blocking on its reader.

Lines are collected and written in batches a few times a second. Lines that the reader
has not read yet stay in a bounded buffer. When it is full, lines are dropped and
counted, and the count is logged as soon as there is room.
"""

import asyncio
import os
import select
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

from hornbeampaddle.cell.incarnations import WorkerId

FLUSH_INTERVAL_S = 0.2
# Several times the buffer of a pipe: if the reader stalls for a second, no line is lost
# at 2,000 lines a second.
BUFFER_BYTES = 1024 * 1024
# Largest write of several lines: a pipe accepts up to this size completely or not at
# all, and may accept a part of a larger write.
ATOMIC_WRITE_MAX_BYTES = select.PIPE_BUF
# Lines of one event beyond this rate are counted instead of written; the few events
# for refusals and failures stay below it.
EVENT_LINES_PER_S_MAX = 600

# Longest text of a field: callers choose some of them, such as paths. The place of an
# error is longer.
TEXT_MAX_CHARS = 500
EXCEPTION_MAX_CHARS = 8000

_encode = msgspec.json.Encoder(enc_hook=repr).encode


class LogWriter:
    """A bounded buffer in front of a non-blocking file descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self.descriptor = descriptor
        # Number of dropped lines by event, since the last report of them.
        self.dropped: Counter[str] = Counter()
        self.dropped_total = 0
        self.on_drop: Callable[[], None] | None = None
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self._event_counts: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def add(self, event: str, line: bytes) -> None:
        """Buffer a line, or count it as dropped."""
        count = self._event_counts.get(event, 0) + 1
        self._event_counts[event] = count
        limit = EVENT_LINES_PER_S_MAX * FLUSH_INTERVAL_S
        if count > limit or self._size_bytes + len(line) > BUFFER_BYTES:
            self.dropped[event] += 1
            if self.on_drop is not None:
                self.on_drop()
            return
        self._lines.append(line)
        self._size_bytes += len(line)

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        self._event_counts.clear()
        self._log_dropped()
        while self._lines and self._write(self._next_chunk()):
            pass

    def _next_chunk(self) -> bytes:
        """
        Remove and return as many whole lines as fit into one write, at least one.

        Some readers report that they accepted a longer write completely but accept only
        8 KiB of it, which tears lines and loses others in between.
        """
        taken = [self._lines.popleft()]
        size_bytes = len(taken[0])
        while (
            self._lines and size_bytes + len(self._lines[0]) <= ATOMIC_WRITE_MAX_BYTES
        ):
            size_bytes += len(self._lines[0])
            taken.append(self._lines.popleft())
        return b"".join(taken)

    def _write(self, data: bytes) -> bool:
        """Write once, keep what was not accepted; return whether all was."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone; the process continues without its log.
            written = len(data)
        self._size_bytes -= written
        if written < len(data):
            self._lines.appendleft(data[written:])
        return written == len(data)

    def _log_dropped(self) -> None:
        if not self.dropped or self._size_bytes > BUFFER_BYTES // 2:
            return
        lines = self.dropped.total()
        self.dropped_total += lines
        fields = {"event": "log: dropped", "lines": lines, "total": self.dropped_total}
        line = _encode({**fields, "by_event": dict(self.dropped)}) + b"\n"
        self._lines.append(line)
        self._size_bytes += len(line)
        self.dropped.clear()

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()


class _Logger:
    """The logger that structlog calls with a rendered line."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def msg(self, event: str, line: bytes) -> None:
        self._writer.add(event, line)

    info = warning = error = critical = debug = exception = msg


def set_up(instance: str, descriptor: int = 1) -> LogWriter:
    """Configure structlog to send all logs of this process through one writer."""
    writer = LogWriter(descriptor)

    def render(
        _: object, level: str, fields: MutableMapping[str, Any]
    ) -> tuple[tuple[Any, ...], dict[str, Any]]:
        event = str(fields.pop("event"))
        for name, value in fields.items():
            if isinstance(value, WorkerId):
                fields[name] = str(value)
            elif isinstance(value, str):
                size = EXCEPTION_MAX_CHARS if name == "exception" else TEXT_MAX_CHARS
                fields[name] = value[:size]
        line = {"event": event, "level": level, "instance": instance, **fields}
        return (event, _encode(line) + b"\n"), {}

    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt=None, utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *_: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    return writer
