"""
Log records that cannot be read, once per key.

Other writers may put anything into the logs. An unreadable record is skipped, and the
value read before it stays valid. An error raised out of the reader would end every
instance, since all read the same record.
"""

import structlog

log = structlog.get_logger()

# Number of keys remembered as logged; beyond it, some keys are logged again.
REMEMBERED_KEYS_MAX = 1000
# Length of a logged reason, which may quote what another writer stored.
WHY_MAX_CHARS = 200


class UnreadableRecords:
    """The keys of one log whose newest record cannot be read."""

    def __init__(self, log_name: str) -> None:
        """Start with no unreadable keys."""
        self.log_name = log_name
        self._keys: set[str] = set()

    def mark_unreadable(self, key: str, why: str) -> None:
        """Mark a key's newest record as unreadable; logs the first of each key."""
        if key in self._keys:
            return
        if len(self._keys) >= REMEMBERED_KEYS_MAX:
            self._keys.clear()
        self._keys.add(key)
        why = why[:WHY_MAX_CHARS]
        log.error("record: not understood", log=self.log_name, key=key, why=why)

    def mark_readable(self, key: str) -> None:
        """Mark a key's newest record as readable."""
        self._keys.discard(key)
