"""
Move fillers away from where they disturb or stand still.

A stop saves a checkpoint; the task starts again elsewhere from it, or waits
until there is a place. Only tasks that save checkpoints move. A filler that is
only slow moves when another worker is clearly better, one that disturbs also
when there is none: a task over its target costs its users more than a batch
task that waits.
"""

from typing import TYPE_CHECKING

from .placing import allowed_share, filler_score, suits
from .progress import Run, RunPhase

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A filler has been slow for so long before it moves: shorter than the swing of
# a serving task's load, longer than one correction of the pace.
SLOW_FOR_S = 0.9
# Moves at a time: each changes what the next one would see.
MOVES_AT_ONCE = 6
# The whole cell is looked over this often.
LOOK_EVERY_S = 0.4


def move_slow_fillers(cell: "Scheduler", now_s: float) -> None:
    """Stop some fillers that would run better elsewhere."""
    if now_s < cell.moves_looked_at_s + LOOK_EVERY_S:
        return
    cell.moves_looked_at_s = now_s
    moved = 0
    for run in _slow(cell, now_s):
        if moved >= MOVES_AT_ONCE:
            return
        if _disturbs(cell, run) or _better_exists(cell, run, now_s):
            cell.stop(run, "moves_away")
            moved += 1


def _slow(cell: "Scheduler", now_s: float) -> list[Run]:
    slow = [
        run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.slow_since_s is not None
        and run.phase is RunPhase.RUNNING
        and run.step.saves_checkpoints
        and not run.step.gang
        and now_s - run.slow_since_s > SLOW_FOR_S
        and now_s - run.confirmed_at_s > SLOW_FOR_S
    ]
    return sorted(slow, key=lambda run: run.slow_since_s or 0.0)


def _disturbs(cell: "Scheduler", run: Run) -> bool:
    worker = cell.workers[run.worker_id]
    allowed = allowed_share(run.step, worker, cell.model, placed=True)
    return allowed < run.pace_percent / 100


def _better_exists(cell: "Scheduler", run: Run, now_s: float) -> bool:
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
        if score >= need_millis * ROOM_RATIO and worker.over_since_s is None:
            return True
    return False


# The other worker has at least this share of the filler's need to spare, after
# what its pressure counts for.
ROOM_RATIO = 0.5
