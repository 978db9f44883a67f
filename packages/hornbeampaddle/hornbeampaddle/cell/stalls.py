"""
Stop runs that stand still, so that their tasks run elsewhere.

Workers may report progress in whole percents, so a run of a long task shows none for
long although it is at work. How long one may show none grows with its estimate, and
with each time that runs of its step stood still on one worker after the other.
"""

from typing import TYPE_CHECKING

from .progress import Run, RunPhase
from .settings import CellSettings
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# How many times a hundredth of its estimate a run may take for one percent: estimates
# are often off by a factor of two, and data that is far away takes longer.
PERCENT_MARGIN = 3.0
# Largest factor on the time without progress, for a step whose runs all stood still.
PATIENCE_RATIO_MAX = 256.0
# The progress from which a run may only be waiting to be reported as ended.
NEARLY_DONE_PERCENT = 99


def stop_if_stalled(
    cell: "Scheduler", worker: WorkerState, run: Run, now_s: float
) -> None:
    """Stop a reported run that has made no progress for too long, at full pace."""
    if run.step.lasting or run.step.gang or run.phase is not RunPhase.RUNNING:
        return
    if run.pace_percent < 100:
        run.progressed_at_s = now_s
    if run.progress_percent >= NEARLY_DONE_PERCENT:
        return
    still_s = now_s - run.progressed_at_s
    if still_s <= cell.settings.stall_s:
        return
    step = cell.step(run.key)
    ratio = step.patience_ratio if step is not None else 1.0
    if still_s <= ratio * _shortest_patience_s(run, cell.settings):
        return
    if step is not None and cell.health.at_fault(step.key):
        # It stands still on any worker, so this one would only lose what it has done.
        step.patience_ratio = min(PATIENCE_RATIO_MAX, 2 * step.patience_ratio)
        return
    cell.health.failed(worker, run, now_s)
    cell.stop(run, "no_progress")


def _shortest_patience_s(run: Run, settings: CellSettings) -> float:
    """Return how long a run may show no progress, by its estimate alone."""
    return max(settings.stall_s, PERCENT_MARGIN * run.step.estimate_s / 100)
