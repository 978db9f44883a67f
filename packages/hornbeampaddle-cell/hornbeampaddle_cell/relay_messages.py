"""Define the requests and answers by which one instance calls the store for another."""

import msgspec

from hornbeampaddle.cell.reports import NoAnswer

from .ports import (
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


class AppendAsk(msgspec.Struct, tag="append", frozen=True):
    """A request to a peer to append records."""

    topic: str
    records: list[tuple[str, bytes | None]]
    producer: tuple[str, int, int] | None
    at_offset: int | None


class ReadAsk(msgspec.Struct, tag="read", frozen=True):
    """A request to a peer to read from an offset."""

    topic: str
    offset: int
    wait_s: float
    size_max_bytes: int


class NewestAsk(msgspec.Struct, tag="newest", frozen=True):
    """
    A request to a peer to read the newest record of each key.

    The asker has applied the log up to ``applied_offset`` and must not go back.
    """

    topic: str
    applied_offset: int = 0


Ask = AppendAsk | ReadAsk | NewestAsk
Outcome = AppendOutcome | ReadOutcome | NewestOutcome

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
    )
}
_ask_decoder = msgspec.msgpack.Decoder(Ask)
_answer_decoder = msgspec.msgpack.Decoder(tuple[str, dict])
_encode = msgspec.msgpack.Encoder().encode


def encode_ask(ask: Ask) -> bytes:
    """Encode a request to a peer."""
    return _encode(ask)


def decode_ask(data: bytes) -> Ask:
    """Decode a peer's request; raises ``msgspec.MsgspecError``."""
    return _ask_decoder.decode(data)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome as the answer to a peer."""
    fields = msgspec.to_builtins(outcome, builtin_types=(bytes,))
    return _encode((type(outcome).__name__, fields))


def decode_outcome(data: bytes) -> Outcome:
    """Decode a peer's answer; raises ``msgspec.MsgspecError`` or ``KeyError``."""
    name, fields = _answer_decoder.decode(data)
    outcome: Outcome = msgspec.convert(fields, OUTCOMES[name], builtin_types=(bytes,))
    return outcome
