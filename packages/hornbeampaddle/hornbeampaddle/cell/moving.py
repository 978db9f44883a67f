"""
Move fillers off workers where they interfere with serving tasks or are slowed down.

Stopping a task saves a checkpoint, from which it resumes on another worker once one has
room. Only tasks that save checkpoints are moved. A filler that is merely slow moves if
another worker is clearly better. A filler that interferes moves in any case: a serving
task over its latency target costs users more than a batch task that waits.
"""

from typing import TYPE_CHECKING

from .placing import allowed_share, filler_score, suits
from .progress import Run, RunPhase

if TYPE_CHECKING:
    from .scheduler import Scheduler

# How long a filler must have been slow before it moves. This is shorter than a load
# cycle of a serving task and longer than one correction of the pace.
SLOW_BEFORE_MOVE_S = 0.9
# Maximum number of fillers moved in one scan. Each move changes the conditions on which
# the next would be decided.
MOVES_PER_SCAN_MAX = 6
# Interval between scans of the cell for slow fillers.
SCAN_INTERVAL_S = 0.4


def move_slow_fillers(cell: "Scheduler", now_s: float) -> None:
    """Stop slow fillers that interfere or would run better on another worker."""
    if now_s < cell.moves_checked_at_s + SCAN_INTERVAL_S:
        return
    cell.moves_checked_at_s = now_s
    moved = 0
    for run in _slow_runs(cell, now_s):
        if moved >= MOVES_PER_SCAN_MAX:
            return
        if _disturbs(cell, run) or _better_worker_exists(cell, run, now_s):
            cell.stop(run, "moves_away")
            moved += 1


def _slow_runs(cell: "Scheduler", now_s: float) -> list[Run]:
    slow = [
        run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.slow_since_s is not None
        and run.phase is RunPhase.RUNNING
        and run.step.saves_checkpoints
        and not run.step.gang
        and now_s - run.slow_since_s > SLOW_BEFORE_MOVE_S
        and now_s - run.confirmed_at_s > SLOW_BEFORE_MOVE_S
    ]
    return sorted(slow, key=lambda run: run.slow_since_s or 0.0)


def _disturbs(cell: "Scheduler", run: Run) -> bool:
    worker = cell.workers[run.worker_id]
    allowed = allowed_share(run.step, worker, cell.model, placed=True)
    return allowed < run.pace_percent / 100


def _better_worker_exists(cell: "Scheduler", run: Run, now_s: float) -> bool:
    here = cell.workers[run.worker_id]
    need_millis = run.step.need.cpu_millis
    for worker in cell.workers.values():
        if worker is here or not worker.usable(now_s):
            continue
        if worker.listing.service != here.listing.service:
            continue
        if not suits(run.step, worker):
            continue
        if not run.charge.fits_in(worker.free()):
            continue
        score = filler_score(run.step, worker, cell.model)
        if score is None:
            continue
        if score >= need_millis * SPARE_RATIO_MIN and worker.over_since_s is None:
            return True
    return False


# Minimum spare CPU on another worker, as a share of the filler's need, after deducting
# the cost of its interference there.
SPARE_RATIO_MIN = 0.5
