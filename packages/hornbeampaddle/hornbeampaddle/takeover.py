"""Wait until it is certain what an owner that was succeeded left behind."""

from collections.abc import Container
from dataclasses import dataclass, field


@dataclass(slots=True)
class Takeover:
    """
    The inherited work of one dead owner.

    ``stopped_s`` is the local time by which the old owner has certainly
    stopped, ``over_by_s`` the time by which every lease it could have had has
    run out. ``unseen`` holds the workers that have not said, since
    ``stopped_s``, which of its attempts they run or have ended.
    """

    dead_owner: str
    stopped_s: float
    over_by_s: float
    unseen: set[str] = field(default_factory=set)
    asked_s: float = float("-inf")

    def settled(self, now_s: float, listed: Container[str]) -> bool:
        """
        Tell whether an attempt that nobody reported is certainly over.

        Time alone would do against two runs at once. But an attempt may have
        finished on a worker that cannot be asked now, and its task would run
        again; so each worker is waited for until it answers or the instance
        list no longer names it.
        """
        if now_s <= self.over_by_s:
            return False
        return not any(worker_id in listed for worker_id in self.unseen)
