"""
Settle the orders to a worker's earlier incarnation when it starts again under its id.

All runs of the earlier incarnation have ended. But the new one answers to the same id
and refuses nothing of before: a start without an answer may still be carried out there,
seconds later. Such a run stays booked, on the new incarnation, until a report lists it
or a stop of it is answered there; only then may its task start elsewhere.
"""

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from .incarnations import WorkerId
from .late_starts import LATE_ORDER_MAX_S
from .progress import Run, RunPhase
from .settings import CellSettings
from .workers import UnansweredStart, WorkerListing, WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

REASON = "unsettled_start"


class Answering(Enum):
    """Which incarnation of a worker has sent a report."""

    ADDRESSED = "addressed"
    # Another one: the addressed incarnation has ended.
    SUCCESSOR = "successor"
    # Either the entry or the report states no birth, so they may not be of one worker.
    UNKNOWN = "unknown"


def answering(addressed: WorkerId, born_ms: int) -> Answering:
    """Return which incarnation sent a report that states this birth."""
    reported = WorkerId(addressed.name, born_ms)
    if reported == addressed:
        return Answering.ADDRESSED
    if addressed.birth_known and reported.birth_known:
        return Answering.SUCCESSOR
    return Answering.UNKNOWN


def replace_incarnation(
    cell: "Scheduler", earlier_id: WorkerId, born_ms: int, now_s: float
) -> WorkerListing | None:
    """
    Replace an incarnation by its successor, which has answered in its place.

    Returns a listing of the successor, whose capacity and labels may differ: nothing is
    placed there until the list of workers tells them, unless it has. Returns None if
    the incarnation was not known or had been replaced.
    """
    earlier = cell.workers.get(earlier_id)
    if earlier is None:
        return None
    worker_id = WorkerId(earlier_id.name, born_ms)
    confirmed = cell.unconfirmed.confirmed(worker_id)
    if confirmed is not None:
        cell.begin_incarnation(confirmed, now_s)
        return confirmed
    listing = replace(earlier.listing, worker_id=worker_id, draining=False)
    worker = cell.begin_incarnation(listing, now_s)
    worker.listed = False
    return listing


def allow_for_late_renewals(
    settings: CellSettings, old: WorkerState, new: WorkerState
) -> None:
    """
    Count the leases that late orders to the earlier incarnation may grant the new one.

    Guards against duplicate runs of a task: the deadline is one of the earlier clock,
    which may show far more than the new one, so only the longest lease bounds it.
    """
    lease_s = settings.lease_max_s * (1 + settings.clock_error_ratio)
    over_at_s = old.renewed_at_s + LATE_ORDER_MAX_S + lease_s
    new.late_leases_over_at_s = max(old.late_leases_over_at_s, over_at_s)


def carry_over(
    cell: "Scheduler", old: WorkerState, new: WorkerState, now_s: float
) -> None:
    """Book the runs whose starts may still be carried out on the new incarnation."""
    for name, start in old.unanswered_starts.items():
        if now_s - start.sent_at_s <= LATE_ORDER_MAX_S:
            new.unanswered_starts[name] = start
    for run in list(old.runs.values()):
        sent = float("-inf") < run.sent_at_s <= now_s
        if sent and run.confirmed_at_s == float("inf"):
            # Its answer is under way, and may never come.
            new.unanswered_starts[run.key, run.number] = UnansweredStart(run, now_s)
        if _may_arrive(run, new):
            _rebook(cell, old, new, run)
    for start in new.unanswered_starts.values():
        booked = new.runs.get(start.run.key)
        if booked is None or booked.number != start.run.number:
            # Its end is known, or its task has another run by now.
            stray = _copy(start.run, new, RunPhase.SENDING)
            new.add_stray(stray)
            cell.stop(stray, REASON)


def _may_arrive(run: Run, new: WorkerState) -> bool:
    if run.sent_at_s == float("-inf"):
        # The earlier holder sent it: whether it got an answer is unknown.
        return True
    if run.phase is RunPhase.RECORDING:
        return False
    # A start that was answered, but is in no report, may have been answered by the new
    # incarnation before it was known.
    return not run.reported or (run.key, run.number) in new.unanswered_starts


def _rebook(cell: "Scheduler", old: WorkerState, new: WorkerState, run: Run) -> None:
    # The fencing token of this holder's first report makes the worker refuse the orders
    # of earlier holders, so the report tells whether they were carried out.
    own = run.sent_at_s != float("-inf")
    copy = _copy(run, new, RunPhase.SENDING if own else RunPhase.INHERITED)
    old.remove(run)
    new.add(copy)
    task = cell.task(run.key)
    if task is not None and task.run is run:
        task.run = copy
        cell.dirty.add(run.key.job_id)
    if run.phase is RunPhase.STOPPING:
        cell.stop(copy, run.stop_reason)


def _copy(run: Run, new: WorkerState, phase: RunPhase) -> Run:
    return replace(
        run,
        worker_id=new.worker_id,
        phase=phase,
        confirmed_at_s=float("inf"),
        reported_at_s=float("inf"),
        end_unlisted=False,
        stop_sent_at_s=float("-inf"),
        stop_first_sent_at_s=float("inf"),
        stop_reason="",
    )


def note_unanswered(worker: WorkerState, run: Run, now_s: float) -> None:
    """Remember a start without an answer for as long as it may be carried out."""
    for name, start in list(worker.unanswered_starts.items()):
        if now_s - start.sent_at_s > LATE_ORDER_MAX_S:
            del worker.unanswered_starts[name]
    worker.unanswered_starts[run.key, run.number] = UnansweredStart(run, now_s)


def stop_unsettled(cell: "Scheduler", worker: WorkerState) -> None:
    """
    Stop the carried runs that the first report of an incarnation does not list.

    Nothing is placed on a worker before its first report, so each start that still has
    no answer is one to an earlier incarnation.
    """
    for run in list(worker.runs.values()):
        if run.phase is RunPhase.SENDING:
            cell.stop(run, REASON)
