"""
Keep the set of data centres in which the operator has stopped new starts.

The operator's log has one record per evacuated data centre, for as long as the
evacuation lasts. Every instance follows it, so that a new holder knows the set at once.
"""

from collections.abc import Callable

import structlog

from .ports import Codec, Evacuation, Keyed

log = structlog.get_logger()


class Evacuations:
    """The evacuated data centres, by the key of the record that names them."""

    def __init__(self, codec: Codec, changed: Callable[[], None]) -> None:
        """Start with none; ``changed`` is called when an evacuation begins or ends."""
        self._codec = codec
        self._on_change = changed
        self._by_key: dict[str, str] = {}

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres in which no task may start."""
        return frozenset(self._by_key.values())

    def apply(self, record: Keyed) -> None:
        """Apply a record of the operator's log; ignores other kinds of record."""
        match self._codec.evacuation(record):
            case Evacuation(data_centre, True) if record.key not in self._by_key:
                self._by_key[record.key] = data_centre
                log.warning("evacuation: began", data_centre=data_centre)
                self._on_change()
            case Evacuation(_, False):
                self._end(record.key)

    def keep_only(self, keys: set[str]) -> None:
        """
        End the evacuations whose keys are not among ``keys``.

        Called after a full read of the operator's log, whose newest records do not
        include removed keys. Otherwise a data centre whose evacuation was removed
        meanwhile would stay empty for good.
        """
        for key in self._by_key.keys() - keys:
            self._end(key)

    def _end(self, key: str) -> None:
        data_centre = self._by_key.pop(key, None)
        if data_centre is not None:
            log.warning("evacuation: ended", data_centre=data_centre)
            self._on_change()
