"""Records that are valid but for one field."""

import json
from copy import deepcopy

MISSING = object()
# What stands in the place of a field: other types, numbers that are huge or negative,
# and a text that cannot be encoded as UTF-8.
WRONG_VALUES = (
    MISSING,
    None,
    True,
    "",
    "text",
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
    """Yield each field's path and the record in which it has a wrong value."""
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


def json_bytes(record):
    """Return a record as JSON; a text that is not UTF-8 becomes bytes that are not."""
    text = json.dumps(record, ensure_ascii=False)
    return text.encode(errors="surrogateescape")
