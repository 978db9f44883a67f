"""
Name the records that cannot be read, once each.

Other writers may put anything into the logs. Such a record names nothing, and what was
read before it holds; an error that left the reader would end every instance, for all
read the same record.
"""

import structlog

log = structlog.get_logger()

# Keys that are remembered as named; with more, some are named a second time.
KEYS_MAX = 1000


class Unreadable:
    """The keys of one log whose newest record cannot be read."""

    def __init__(self, log_name: str) -> None:
        """Start with none."""
        self.log_name = log_name
        self._keys: set[str] = set()

    def note(self, key: str, why: str) -> None:
        """Take in a record that cannot be read; the first of its key is logged."""
        if key in self._keys:
            return
        if len(self._keys) >= KEYS_MAX:
            self._keys.clear()
        self._keys.add(key)
        log.error("record: not understood", log=self.log_name, key=key, why=why)

    def readable(self, key: str) -> None:
        """Take in that the newest record of a key can be read."""
        self._keys.discard(key)
