"""
Record for the next holder when the leases of silent workers expire.

A holder that takes over cannot know since when a worker has been silent: without a
record, the worker's lasting tasks would wait for another whole lease, counted from the
takeover. So a holder stores how long each silent worker's lease may still last, and
does not extend that lease until a record without the worker is stored.
"""

from typing import TYPE_CHECKING

from .incarnations import WorkerId

if TYPE_CHECKING:
    from .scheduler import Scheduler
    from .workers import WorkerState

# Interval at which the record is stored again while workers are silent, for instances
# that start meanwhile: they count the leases from the time at which they read it.
RECORD_REFRESH_S = 2.0


class LeaseLapses:
    """The leases of one cell that are not renewed and run out."""

    def __init__(self) -> None:
        """Start with no lease running out."""
        # Workers named in a record that is, or may be, stored.
        self._recorded_ids: set[WorkerId] = set()
        self._newest_recorded_ids: set[WorkerId] = set()
        self._stored_at_s = float("-inf")
        # Local time at which each lease expires, from the previous holder's record.
        self._inherited_over_at_s: dict[WorkerId, float] = {}

    def inherit(self, over_at_s: dict[WorkerId, float]) -> None:
        """
        Load the local times at which leases expire from the previous holder.

        A worker whose birth the record does not state may be any incarnation.
        """
        self._inherited_over_at_s = dict(over_at_s)
        self._recorded_ids = set(over_at_s)
        self._newest_recorded_ids = set(over_at_s)

    def inherited_over_at_s(self, worker_id: WorkerId, bound_s: float) -> float:
        """
        Return when an inherited lease expires, ``bound_s`` if no record states it.

        It may be later than ``bound_s``: late renewals to an earlier incarnation
        prolong the lease beyond what a holder grants.
        """
        over_at_s = self._inherited_over_at_s.get(worker_id)
        if over_at_s is None:
            over_at_s = self._inherited_over_at_s.get(
                worker_id.without_birth(), bound_s
            )
        return over_at_s

    def running_out(self, worker_id: WorkerId) -> bool:
        """
        Return whether a worker's lease must not be extended now.

        Guards against duplicate runs of a task: a worker that answers again would be
        granted a later deadline than the record states, and the next holder would
        start its tasks elsewhere while they still run. This happens if the holder dies
        soon after such a grant.
        """
        ids = (worker_id, worker_id.without_birth())
        return any(recorded in self._recorded_ids for recorded in ids)

    def due(self, cell: "Scheduler", now_s: float) -> dict[WorkerId, float] | None:
        """Return the seconds left of each lease, or None if no record is due."""
        workers = [w for w in cell.workers.values() if self._is_running_out(w)]
        worker_ids = {worker.worker_id for worker in workers}
        recent = now_s < self._stored_at_s + RECORD_REFRESH_S
        if worker_ids == self._newest_recorded_ids and (recent or not worker_ids):
            return None
        self._newest_recorded_ids = worker_ids
        self._recorded_ids |= worker_ids
        return {w.worker_id: max(0.0, w.runs_over_at_s() - now_s) for w in workers}

    def _is_running_out(self, worker: "WorkerState") -> bool:
        if not worker.all_runs():
            return False
        return worker.silent or (
            not worker.reported and worker.worker_id in self._inherited_over_at_s
        )

    def stored(self, now_s: float) -> None:
        """Mark the newest record as stored; it replaces the earlier ones."""
        self._stored_at_s = now_s
        self._recorded_ids = set(self._newest_recorded_ids)
