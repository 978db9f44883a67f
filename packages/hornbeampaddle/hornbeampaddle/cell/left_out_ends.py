"""
Handle reports that leave out ends.

A worker lists a limited number of the ends that are not acknowledged, the oldest
first, and the next ones once these are. Until a report lists all of them, it is not
known how the runs ended that it does not name: they stay booked, and nothing starts on
the worker.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .effects import LogEntry
from .progress import Run
from .reports import Report
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# How long a worker may leave out ends without listing a new one before it counts as
# silent: a connection that breaks costs one or two such reports.
ENDS_STUCK_MAX_S = 2.0


def last_end(report: Report) -> int:
    """Return the position of the last end that a report lists, 0 if it lists none."""
    return report.ended[-1].position if report.ended else 0


def note_report(worker: WorkerState, report: Report) -> None:
    """Update whether the worker leaves out ends, and whether it is stuck there."""
    worker.ends_left_out = not report.ends_complete
    # Until they are stored and acknowledged, it is this holder that keeps the worker
    # from the rest.
    stored = worker.acked_end >= worker.seen_end
    ours = not stored or bool(worker.held_ends)
    if report.ends_complete or last_end(report) > worker.seen_end or ours:
        worker.ends_stuck_since_s = None
    elif worker.ends_stuck_since_s is None:
        worker.ends_stuck_since_s = report.received_at_s


def are_stuck(worker: WorkerState, now_s: float) -> bool:
    """Return whether the worker has left out the same ends for too long."""
    since_s = worker.ends_stuck_since_s
    return since_s is not None and now_s - since_s > ENDS_STUCK_MAX_S


def let_lease_run_out(cell: "Scheduler", worker: WorkerState, now_s: float) -> None:
    """Count a worker whose ends are stuck as silent: its tasks run elsewhere then."""
    if not worker.silent:
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "seen_end": worker.seen_end,
        }
        cell.log(LogEntry("ends_stuck", "", detail))
    cell.worker_silent(worker.worker_id, now_s)


def await_ends(cell: "Scheduler", worker: WorkerState, runs: Iterable[Run]) -> None:
    """Keep runs booked that have ended, though the report does not say how."""
    waiting_runs = 0
    for run in runs:
        run.end_unlisted = True
        waiting_runs += 1
    if worker.ends_stuck_since_s is None and not worker.held_ends:
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "seen_end": worker.seen_end,
            "waiting_runs": waiting_runs,
        }
        cell.log(LogEntry("ends_left_out", "", detail))
