"""Determine when the remaining attempts of a succeeded owner are settled."""

from collections.abc import Container
from dataclasses import dataclass, field


@dataclass(slots=True)
class Takeover:
    """
    The takeover of one dead owner's tasks.

    ``stopped_s`` is the local time by which the old owner has certainly
    stopped, ``over_by_s`` the time by which every lease that it could have had
    has expired. ``unreported_workers`` contains the workers that haven't
    reported since ``stopped_s`` which of its attempts they run or have ended.
    """

    dead_owner: str
    stopped_s: float
    over_by_s: float
    unreported_workers: set[str] = field(default_factory=set)
    asked_s: float = float("-inf")

    def settled(self, now_s: float, listed: Container[str]) -> bool:
        """
        Tell whether an attempt that no worker has reported is certainly over.

        Waiting until ``over_by_s`` is enough to prevent two concurrent runs. But
        an attempt may have finished on a worker that is unreachable now, and its
        task would run again. Each worker is therefore waited for until it reports
        or is removed from the instance list.
        """
        if now_s <= self.over_by_s:
            return False
        return not any(worker_id in listed for worker_id in self.unreported_workers)
