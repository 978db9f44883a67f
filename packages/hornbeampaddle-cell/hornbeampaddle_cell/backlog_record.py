"""
Publish the queues' backlogs in the log of progress, and judge what was read.

The record only advises: an instance that has none which is recent and of the present
holder accepts every job.
"""

import math
from dataclasses import dataclass

import msgspec

from hornbeampaddle.cell.backlog import Backlog, QueueBacklog
from hornbeampaddle.decoding import decode

from .ports import Keyed

BACKLOG_KEY = ".backlog"
BACKLOG_VERSION = 1
# Age from which a record counts as missing: four measurements were not read.
BACKLOG_RECENT_S = 2.0


class _QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """One queue, see ``QueueBacklog``; ``ahead`` has rising rows of two numbers."""

    name: str
    ahead: list[tuple[float, float]]
    rate_millis: float
    mean_work_millis_s: float
    run_time_ratio: float
    mean_run_time_s: float


class _BacklogRecord(msgspec.Struct, array_like=True, frozen=True):
    """All queues that callers may be refused for, measured at a Unix time."""

    version: int
    epoch: int
    measured_at_s: float
    queues: list[_QueueRow]


# The version is the first field of every version.
_header_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
_version_decoder = msgspec.msgpack.Decoder(int)
_decoder = msgspec.msgpack.Decoder(_BacklogRecord)


@dataclass(frozen=True, slots=True)
class PublishedBacklog:
    """A backlog as read from the log at ``read_at_s`` on this instance's clock."""

    backlog: Backlog
    epoch: int
    measured_at_s: float
    read_at_s: float

    def age_s(self, now_s: float, wall_s: float) -> float:
        """
        Return how old the measurement may be.

        The wall clocks of two instances may differ by seconds, and the log may be read
        late, so the larger age counts. A time in the future is as doubtful as one in
        the past.
        """
        return max(now_s - self.read_at_s, abs(wall_s - self.measured_at_s))


def backlog_record(backlog: Backlog, epoch: int, measured_at_s: float) -> Keyed:
    """Return the record of the backlogs, or the one that deletes it if all is empty."""
    if not backlog:
        return Keyed(BACKLOG_KEY, None)
    queues = [
        _QueueRow(
            name,
            [(_rounded(order), _rounded(work)) for order, work in queue.ahead],
            _rounded(queue.rate_millis),
            _rounded(queue.mean_work_millis_s),
            queue.run_time_ratio,
            queue.mean_run_time_s,
        )
        for name, queue in backlog.items()
    ]
    record = _BacklogRecord(BACKLOG_VERSION, epoch, measured_at_s, queues)
    return Keyed(BACKLOG_KEY, msgspec.msgpack.encode(record))


def decode_backlog(value: bytes, read_at_s: float) -> PublishedBacklog:
    """Decode and check a record; raises ``ValueError``."""
    header = decode(_header_decoder, value)
    version = decode(_version_decoder, header[0]) if header else 0
    if version != BACKLOG_VERSION:
        raise ValueError(f"backlog of version {version}")
    record = decode(_decoder, value)
    backlog = {row.name: _queue_backlog(row) for row in record.queues}
    return PublishedBacklog(backlog, record.epoch, record.measured_at_s, read_at_s)


def _queue_backlog(row: _QueueRow) -> QueueBacklog:
    numbers = (
        row.rate_millis,
        row.mean_work_millis_s,
        row.run_time_ratio,
        row.mean_run_time_s,
    )
    if not all(math.isfinite(number) and number > 0 for number in numbers):
        raise ValueError(f"backlog of {row.name} with {numbers}")
    for column in zip(*row.ahead, strict=True):
        if list(column) != sorted(column) or not all(map(math.isfinite, column)):
            raise ValueError(f"backlog of {row.name} with rows {row.ahead}")
    return QueueBacklog(tuple(row.ahead), *numbers)


def _rounded(number: float) -> int | float:
    """Return a large number as a whole one, which takes fewer bytes."""
    return round(number) if number >= 1 else number
