"""
Track the authority of owners and their successions.

An owner may start attempts of its jobs only while it has authority: proof that
no succession of it can have been recorded in the log. The proof is a read of the
log up to its end without such a record, or a promise from every peer of the data
centre not to record one. Authority expires at a deadline; an owner that was paused
past it does nothing until it has proof again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .defaults import Timing

NEVER_S = float("-inf")


@dataclass(slots=True)
class Authority:
    """An owner's proof that it still owns its jobs."""

    timing: Timing
    _log_clear_s: float = NEVER_S
    _until_s: float = NEVER_S

    def log_was_clear(self, asked_s: float) -> None:
        """
        Record a read up to the log's end without a succession of this incarnation.

        ``asked_s`` is the local time at which the read was requested.
        """
        self._log_clear_s = max(self._log_clear_s, asked_s)

    def until_s(self, promises_s: Iterable[float], now_s: float) -> float:
        """
        Return the local time until which this incarnation may act as owner.

        ``promises_s`` contains, for every peer of the data centre, the local time
        until which it promised not to record a succession.
        """
        # The span is shortened by the clock rate error, so that a successor that
        # waits the full span on a faster clock still starts after we have stopped.
        span_s = self.timing.authority_s * (1 - self.timing.clock_rate_error_ratio)
        from_log_s = self._log_clear_s + span_s
        self._until_s = max(self._until_s, from_log_s)
        # Guards against an owner that was succeeded while it was paused: peers'
        # promises cover only the time since they were made. They extend an
        # authority that hasn't expired; after it has, only the log gives proof.
        if now_s < self._until_s:
            from_peers_s = min(promises_s, default=NEVER_S)
            self._until_s = max(self._until_s, from_peers_s)
        return self._until_s


def succession_wait_s(timing: Timing) -> float:
    """Return how long a successor waits for the old owner to have stopped."""
    return timing.authority_s / (1 - timing.clock_rate_error_ratio)


def lease_expiry_wait_s(timing: Timing) -> float:
    """Return the time, after an owner has stopped, until its last lease expires."""
    return timing.lease_s / (1 - timing.clock_rate_error_ratio) ** 2


@dataclass(slots=True)
class Owners:
    """The known authority deadlines and successors of owners."""

    successors: dict[str, str] = field(default_factory=dict)
    _until_s: dict[str, float] = field(default_factory=dict)

    def heard(self, owner: str, until_s: float) -> None:
        """Record that an owner has authority until a local time."""
        self._until_s[owner] = max(self._until_s.get(owner, NEVER_S), until_s)

    def has_authority(self, owner: str, now_s: float) -> bool:
        """Tell whether an owner has authority now."""
        if owner in self.successors:
            return False
        return now_s < self._until_s.get(owner, NEVER_S)

    def succeed(self, dead_owner: str, successor: str) -> None:
        """Record the first succession of an owner; later ones change nothing."""
        self.successors.setdefault(dead_owner, successor)

    def current(self, owner: str) -> str:
        """Return the owner at the end of the chain of successors of ``owner``."""
        seen = set()
        while owner in self.successors and owner not in seen:
            seen.add(owner)
            owner = self.successors[owner]
        return owner
