"""
Decode bytes that other programs wrote.

A decoder raises more than its documented error. Foreign bytes are decoded here, so that
no reader is ended by a form of input that its author did not know of.
"""

from typing import Any, Protocol, TypeVar, overload

import msgspec

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

# All that msgspec raises because of its input: RecursionError for values nested more
# deeply than the interpreter allows, also in fields that are not read.
_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class UnreadableError(ValueError):
    """The bytes are not of the expected type; the message says why."""


class Decoder(Protocol[T_co]):
    """A decoder of one type, such as ``msgspec.json.Decoder``."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the decoded value."""


def decode(decoder: Decoder[T_co], data: bytes) -> T_co:
    """Return the decoded value; raises only ``UnreadableError`` for any bytes."""
    try:
        return decoder.decode(data)
    except _ERRORS as error:
        raise UnreadableError(str(error)) from error


@overload
def decode_json(data: bytes, kind: type[T]) -> T: ...


@overload
def decode_json(data: bytes, kind: Any) -> Any: ...


def decode_json(data: bytes, kind: Any) -> Any:
    """Return a decoded JSON body; raises only ``UnreadableError`` for any bytes."""
    return decode(msgspec.json.Decoder(kind), data)


def convert(value: object, kind: type[T]) -> T:
    """Return a decoded value as ``kind``; raises only ``UnreadableError``."""
    try:
        return msgspec.convert(value, kind, builtin_types=(bytes,))
    except _ERRORS as error:
        raise UnreadableError(str(error)) from error
