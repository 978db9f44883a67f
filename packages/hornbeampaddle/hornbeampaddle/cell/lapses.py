"""
Say for the next holder when the leases of silent workers are over.

A holder that takes over cannot know since when a worker is silent: without a record,
its lasting tasks would wait for a whole lease once more, counted from the takeover.
So a holder stores how long each silent worker's lease may still last, and grants such
a worker nothing more until a record without it is stored.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .scheduler import Scheduler
    from .workers import WorkerState

# While workers are silent their record is stored again after so long, for instances
# that start meanwhile: they count from the time at which they read it.
STORE_EVERY_S = 2.0


class Lapses:
    """The leases of one cell that are running out."""

    def __init__(self) -> None:
        """Start with none."""
        # Workers of a record that is stored, or may be.
        self._named: set[str] = set()
        self._newest: set[str] = set()
        self._stored_at_s = float("-inf")
        # What the holder before has stored: when each lease is over, in local time.
        self._inherited_at_s: dict[str, float] = {}

    def inherit(self, over_at_s: dict[str, float]) -> None:
        """Take in when leases are over, as the holder before has stored it."""
        self._inherited_at_s = dict(over_at_s)
        self._named = set(over_at_s)
        self._newest = set(over_at_s)

    def inherited_over_at_s(self, worker_id: str, bound_s: float) -> float:
        """Return when an inherited lease is over, ``bound_s`` if nothing says so."""
        return min(bound_s, self._inherited_at_s.get(worker_id, bound_s))

    def running_out(self, worker_id: str) -> bool:
        """
        Tell whether a worker's lease must not be extended now.

        Guards against two runs of one task: a worker that is back would be granted a
        later end than the record names, and the next holder would start its tasks
        elsewhere while they run. It shows when the holder dies soon after such a grant.
        """
        return worker_id in self._named

    def due(self, cell: "Scheduler", now_s: float) -> dict[str, float] | None:
        """Return the seconds left of each lease, if that is to be stored now."""
        workers = [w for w in cell.workers.values() if self._runs_out(w)]
        names = {worker.worker_id for worker in workers}
        recent = now_s < self._stored_at_s + STORE_EVERY_S
        if names == self._newest and (recent or not names):
            return None
        self._newest = names
        self._named |= names
        return {w.worker_id: max(0.0, w.lease_over_at_s - now_s) for w in workers}

    def _runs_out(self, worker: "WorkerState") -> bool:
        if not worker.all_runs():
            return False
        return worker.silent or (
            not worker.reported and worker.worker_id in self._inherited_at_s
        )

    def stored(self, now_s: float) -> None:
        """Note that the newest record is stored: only its workers are named now."""
        self._stored_at_s = now_s
        self._named = set(self._newest)
