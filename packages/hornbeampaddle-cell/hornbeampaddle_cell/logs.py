"""
Write structured logs to standard output without ever waiting for its reader.

Lines are collected and written together a few times a second. What the reader
has not taken stays in a bounded buffer; beyond it lines are dropped, counted,
and the count is logged as soon as there is room.
"""

import asyncio
import os
import select
from collections import Counter, deque
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

FLUSH_S = 0.2
# One buffer of a pipe, several times over: a reader that is away for a second
# loses nothing at 2,000 lines a second.
BUFFER_BYTES = 1024 * 1024
# Each write carries whole lines up to this size: a pipe takes so much whole or not at
# all, and of more it may take a part.
WRITE_BYTES = select.PIPE_BUF
# Repeats of one event beyond this many a second are counted instead of kept;
# refusals and failures have few events of their own and stay below it.
EVENT_LINES_PER_S = 600

_encode = msgspec.json.Encoder(enc_hook=repr).encode


class LogWriter:
    """A bounded buffer in front of a file descriptor that never blocks."""

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        self.descriptor = descriptor
        # Lines that were dropped since that was last logged, by their event.
        self.dropped: Counter[str] = Counter()
        self.dropped_total = 0
        self.on_drop: Callable[[], None] | None = None
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self._counts: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def add(self, event: str, line: bytes) -> None:
        """Keep a line, or count it as dropped."""
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        limit = EVENT_LINES_PER_S * FLUSH_S
        if count > limit or self._size_bytes + len(line) > BUFFER_BYTES:
            self.dropped[event] += 1
            if self.on_drop is not None:
                self.on_drop()
            return
        self._lines.append(line)
        self._size_bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._counts.clear()
        self._note_dropped()
        while self._lines and self._write(self._chunk()):
            pass

    def _chunk(self) -> bytes:
        """
        Take as many whole lines as one write carries, or one that is longer.

        Guards against lines that are torn, and others that are lost between: a reader
        was found that says it has taken a longer write whole, and has taken 8 KiB.
        """
        taken = [self._lines.popleft()]
        size_bytes = len(taken[0])
        while self._lines and size_bytes + len(self._lines[0]) <= WRITE_BYTES:
            size_bytes += len(self._lines[0])
            taken.append(self._lines.popleft())
        return b"".join(taken)

    def _write(self, data: bytes) -> bool:
        """Write once; keep what was not taken, and tell whether all was."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; the process goes on without its log.
            written = len(data)
        self._size_bytes -= written
        if written < len(data):
            self._lines.appendleft(data[written:])
        return written == len(data)

    def _note_dropped(self) -> None:
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
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()


class _Logger:
    """What structlog calls with a finished line."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def msg(self, event: str, line: bytes) -> None:
        self._writer.add(event, line)

    info = warning = error = critical = debug = exception = msg


def set_up(instance: str, descriptor: int = 1) -> LogWriter:
    """Send all logs of this process through one writer."""
    writer = LogWriter(descriptor)

    def render(
        _: object, level: str, fields: MutableMapping[str, Any]
    ) -> tuple[tuple[Any, ...], dict[str, Any]]:
        event = str(fields.pop("event"))
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
