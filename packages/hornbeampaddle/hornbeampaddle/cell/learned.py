"""
Store what a holder has learned, so that the next one goes on with it.

Each learner owns one record in the log of progress, under its key. A record that cannot
be used is as good as none: the learner begins again, and says so once.
"""

from collections.abc import Iterator, Mapping
from typing import Protocol

# Keys of the records; the prefix tells them from the ids of jobs.
LEARNED_PREFIX = ".learned/"
RUN_TIMES_KEY = LEARNED_PREFIX + "run-times"
URGENT_DEMAND_KEY = LEARNED_PREFIX + "urgent-demand"


class UnusableRecordError(Exception):
    """A stored record has another version or cannot be decoded; the message tells."""


class Learner(Protocol):
    """A model that is learned while a cell is held."""

    def encode(self) -> bytes | None:
        """Return the record for the next holder, or None if nothing is known."""

    def inherit(self, value: bytes) -> None:
        """Go on from a record of an earlier holder; raises ``UnusableRecordError``."""


def encode_all(learners: Mapping[str, Learner]) -> Iterator[tuple[str, bytes]]:
    """Return the key and the record of each learner that knows something."""
    for key, learner in learners.items():
        value = learner.encode()
        if value is not None:
            yield key, value
