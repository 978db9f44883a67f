"""
Keep entries that state a new birth of a worker until the worker confirms it.

Another writer may store an entry under the id of a worker that has not started again.
Taken at its word, it would end an incarnation that is at work, and its tasks would run
twice. So while that incarnation answers, only its next report decides: it states the
new birth, or the entry is of no worker. A worker that is silent cannot be asked; then
the entry counts.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .effects import LogEntry
from .incarnations import WorkerId
from .reports import Report
from .workers import WorkerListing, WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class _Entry:
    listing: WorkerListing
    noted_at_s: float


class UnconfirmedEntries:
    """The entries of one cell that no report has confirmed or contradicted yet."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start without any; ``cell`` is the scheduler of the workers."""
        self.cell = cell
        self._entries: dict[str, _Entry] = {}

    def put_off(self, listing: WorkerListing, now_s: float) -> bool:
        """Keep an entry if it has to be confirmed; return whether that is so."""
        name = listing.worker_id.name
        self._entries.pop(name, None)
        earlier = self._answering(name)
        if earlier is None or not _restarted(earlier.worker_id, listing.worker_id):
            return False
        self._entries[name] = _Entry(listing, now_s)
        # It does not describe the incarnation that answers.
        earlier.listed = False
        return True

    def _answering(self, name: str) -> WorkerState | None:
        worker_id = self.cell.incarnations.current(name)
        worker = self.cell.workers.get(worker_id) if worker_id is not None else None
        if worker is None or worker.silent or not worker.reported:
            return None
        return worker

    def forget(self, name: str) -> None:
        """Drop the entry of a worker that has left the list."""
        self._entries.pop(name, None)

    def confirmed(self, worker_id: WorkerId) -> WorkerListing | None:
        """Return the entry of an incarnation that a report has shown; forget it."""
        entry = self._entries.get(worker_id.name)
        if entry is None or entry.listing.worker_id != worker_id:
            return None
        del self._entries[worker_id.name]
        return entry.listing

    def reported(self, worker_id: WorkerId, report: Report) -> None:
        """Drop an entry that a later report of the earlier incarnation contradicts."""
        entry = self._entries.get(worker_id.name)
        if entry is None or report.sent_at_s < entry.noted_at_s:
            return
        del self._entries[worker_id.name]
        detail: dict[str, object] = {
            "worker": worker_id,
            "listed": entry.listing.worker_id,
        }
        self.cell.log(LogEntry("listing_contradicted", "", detail))

    def of_silent_workers(self) -> list[WorkerListing]:
        """Return the entries of workers that cannot be asked any more."""
        return [
            entry.listing
            for name, entry in self._entries.items()
            if self._answering(name) is None
        ]

    def names(self) -> set[str]:
        """Return the workers that have an entry to be confirmed."""
        return set(self._entries)


def _restarted(earlier: WorkerId, listed: WorkerId) -> bool:
    return earlier.birth_known and listed.birth_known and earlier != listed
