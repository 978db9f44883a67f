"""Records that are valid but for one field."""

import json
from copy import deepcopy

import msgspec

MISSING = object()
# Stands for lists that are nested more deeply than a decoder can follow.
NESTED = "nested lists"
NESTING_LEVELS = 5000
# Longer than a key may be.
LONG_TEXT = 300 * "k"
# A field that no reader knows.
UNKNOWN_FIELD = "fieldOfAnotherWriter"
# What stands in the place of a field: other types, numbers that are huge or negative,
# texts that are long or cannot be encoded as UTF-8, and lists that are nested too deep.
WRONG_VALUES = (
    MISSING,
    None,
    True,
    "",
    "text",
    LONG_TEXT,
    "\udcff",
    -1,
    -(2**70),
    2**64,
    2**70,
    1.5,
    1e308,
    [],
    [None],
    {},
    {"a": 1},
    NESTED,
)


def _paths(value, path=()):
    if path:
        yield path
    match value:
        case dict():
            items = value.items()
        case list():
            items = enumerate(value)
        case _:
            items = ()
    for name, inner in items:
        yield from _paths(inner, (*path, name))


def mutated(valid):
    """
    Yield each field's path and the record in which it has a wrong value.

    At last an unknown field is added to the record, which is valid but for its nesting.
    """
    for path in _paths(valid):
        for wrong in WRONG_VALUES:
            record = deepcopy(valid)
            *outer, last = path
            holder = record
            for name in outer:
                holder = holder[name]
            if wrong is MISSING:
                del holder[last]
            else:
                holder[last] = wrong
            yield path, record
    if isinstance(valid, dict):
        yield (UNKNOWN_FIELD,), {**valid, UNKNOWN_FIELD: NESTED}


def json_bytes(record):
    """Return a record as JSON; a text that is not UTF-8 becomes bytes that are not."""
    text = json.dumps(record, ensure_ascii=False)
    nested = NESTING_LEVELS * "[" + NESTING_LEVELS * "]"
    text = text.replace(json.dumps(NESTED), nested)
    return text.encode(errors="surrogateescape")


def packed_bytes(record):
    """Return a record as MessagePack; None if it cannot be written at all."""
    try:
        return msgspec.msgpack.encode(_with_nesting(record))
    except (OverflowError, UnicodeEncodeError):
        return None


def _with_nesting(value):
    match value:
        case str() if value == NESTED:
            return msgspec.Raw(NESTING_LEVELS * b"\x91" + b"\x90")
        case dict():
            return {name: _with_nesting(inner) for name, inner in value.items()}
        case list():
            return [_with_nesting(inner) for inner in value]
    return value
