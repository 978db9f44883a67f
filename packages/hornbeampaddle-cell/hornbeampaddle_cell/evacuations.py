"""
Keep the data centres in which the operator wants nothing more to start.

They come with the operator's log: a record for each, for as long as it is evacuated.
Every instance knows them, so that the next holder need not ask.
"""

from collections.abc import Callable

import structlog

from .ports import Codec, Evacuation, Keyed

log = structlog.get_logger()


class Evacuations:
    """The evacuated data centres, by the key of the record that says so."""

    def __init__(self, codec: Codec, changed: Callable[[], None]) -> None:
        """Start with none; ``changed`` is called whenever one begins or ends."""
        self._codec = codec
        self._changed = changed
        self._by_key: dict[str, str] = {}

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the data centres in which nothing more may start."""
        return frozenset(self._by_key.values())

    def take(self, record: Keyed) -> None:
        """Take in a record of the operator's log, if it is an evacuation's."""
        match self._codec.evacuation(record):
            case Evacuation(data_centre, True) if record.key not in self._by_key:
                self._by_key[record.key] = data_centre
                log.warning("evacuation: began", data_centre=data_centre)
                self._changed()
            case Evacuation(_, False):
                self._end(record.key)

    def keep_only(self, keys: set[str]) -> None:
        """
        End the evacuations that the operator's log, read whole, no longer names.

        Guards against a data centre that stays empty for good: the newest records do
        not name what was removed.
        """
        for key in self._by_key.keys() - keys:
            self._end(key)

    def _end(self, key: str) -> None:
        data_centre = self._by_key.pop(key, None)
        if data_centre is not None:
            log.warning("evacuation: ended", data_centre=data_centre)
            self._changed()
