"""Define the requests and answers by which one instance calls the store for another."""

import zlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from hornbeampaddle.cell.reports import NoAnswer
from hornbeampaddle.decoding import UnreadableError, convert, decode

from .ports import (
    KEY_MAX_BYTES,
    Appended,
    AppendOutcome,
    Batch,
    Conflict,
    Expired,
    Newest,
    NewestOutcome,
    OutOfSequence,
    ReadOutcome,
    Superseded,
    Unavailable,
)

# Answers above this size are compressed. The first byte of one that is not is that of a
# MessagePack array.
COMPRESS_ABOVE_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
ZLIB_FIRST_BYTE = b"\x78"
# Several times a page of newest records, which is at most about 1 MB.
ANSWER_BYTES_MAX = 16 * 1024 * 1024


class AppendAsk(msgspec.Struct, tag="append", frozen=True):
    """A request to a peer to append records."""

    topic: str
    records: list[tuple[str, bytes | None]]
    producer: tuple[str, int, int] | None
    at_offset: int | None


class ReadAsk(msgspec.Struct, tag="read", frozen=True):
    """
    A request to a peer to read from an offset.

    ``knows_views`` is false for an asker of an earlier version, which would take an
    answer from the peer's own view as if the store had just given it.
    """

    topic: str
    offset: int
    wait_s: float
    size_max_bytes: int
    knows_views: bool = False


class NewestAsk(msgspec.Struct, tag="newest", frozen=True):
    """
    A request to a peer to read the newest record of each key.

    The asker has applied the log up to ``applied_offset`` and must not go back.
    ``knows_views`` is as in ``ReadAsk``; such an asker also reads compressed answers.
    """

    topic: str
    applied_offset: int = 0
    knows_views: bool = False


class PutAsk(msgspec.Struct, tag="put", frozen=True):
    """
    A request to a peer to append records of jobs together with its own.

    The asker waits for ``timeout_s``, the peer's own appends included.
    """

    topic: str
    records: list[tuple[str, bytes | None]]
    timeout_s: float


class SlowNotice(msgspec.Struct, tag="slow", frozen=True):
    """A notice that an append to the log of jobs is slow; its answer says nothing."""


class Stored(Enum):
    """Whether a record is stored, as far as is certain."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PutAnswer:
    """
    What is certain of each record of a put, as values of ``Stored``.

    ``append_s`` is the duration of the peer's last append.
    """

    stored: list[str]
    append_s: float


# A call to the store on behalf of the asker.
StoreAsk = AppendAsk | ReadAsk | NewestAsk
Ask = StoreAsk | PutAsk | SlowNotice
Outcome = AppendOutcome | ReadOutcome | NewestOutcome | PutAnswer

# Outcome types by the name under which a peer's answer carries them.
OUTCOMES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        Appended,
        Conflict,
        Superseded,
        OutOfSequence,
        Unavailable,
        NoAnswer,
        Batch,
        Expired,
        Newest,
        PutAnswer,
    )
}
_ask_decoder = msgspec.msgpack.Decoder(Ask)
_answer_decoder = msgspec.msgpack.Decoder(tuple[str, dict])
_encode = msgspec.msgpack.Encoder().encode


def answers(ask: StoreAsk, outcome: Outcome) -> bool:
    """Return whether an outcome is one of those that a request may have."""
    match ask:
        case AppendAsk():
            return isinstance(outcome, AppendOutcome)
        case ReadAsk():
            return isinstance(outcome, ReadOutcome)
        case NewestAsk():
            return isinstance(outcome, NewestOutcome)


def encode_ask(ask: Ask) -> bytes:
    """Encode a request to a peer."""
    return _encode(ask)


def decode_ask(data: bytes) -> Ask:
    """
    Decode a peer's request; raises ``UnreadableError``.

    Guards against a key that fits no record: it would end the queue of appends, and
    with it the process that serves the request.
    """
    ask = decode(_ask_decoder, data)
    if isinstance(ask, AppendAsk | PutAsk):
        for key, _ in ask.records:
            if len(key.encode()) > KEY_MAX_BYTES:
                raise UnreadableError(f"a key of {len(key)} characters")
    return ask


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome as the answer to a peer."""
    fields = msgspec.to_builtins(outcome, builtin_types=(bytes,))
    return _encode((type(outcome).__name__, fields))


def compress(answer: bytes) -> bytes:
    """Compress an encoded outcome if it is large."""
    if len(answer) <= COMPRESS_ABOVE_BYTES:
        return answer
    return zlib.compress(answer, COMPRESSION_LEVEL)


def decode_outcome(data: bytes) -> Outcome:
    """Decode a peer's answer, compressed or not; raises ``UnreadableError``."""
    if data[:1] == ZLIB_FIRST_BYTE:
        data = _decompress(data)
    name, fields = decode(_answer_decoder, data)
    kind = OUTCOMES.get(name)
    if kind is None:
        raise UnreadableError(f"no kind of answer: {name!r}")
    outcome: Outcome = convert(fields, kind)
    return outcome


def _decompress(data: bytes) -> bytes:
    """
    Return the whole answer; raises ``UnreadableError``.

    The size is limited: a few kilobytes may stand for more than the machine has.
    """
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(data, ANSWER_BYTES_MAX)
    except zlib.error as error:
        raise UnreadableError(str(error)) from error
    if not decompressor.eof:
        raise UnreadableError("cut off, or too large")
    return whole
