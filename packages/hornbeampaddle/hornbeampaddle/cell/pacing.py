"""
Keep tasks that serve others under their tail target.

Fillers work on what the others leave, and disturb them by amounts that differ
by image and change within seconds. On each report the worst ratio of tail to
target on a worker decides whether its fillers slow down or speed up. The pace
falls by half and rises in small steps, as readings are half a second old.
"""

from .effects import PaceOrder, StopOrder
from .settings import CellSettings
from .workers import WorkerState


class Pacer:
    """The pace of all fillers of one cell."""

    def __init__(self, settings: CellSettings) -> None:
        """Start with every filler at full speed."""
        self.settings = settings
        self._orders: list[PaceOrder] = []

    def observe(self, worker: WorkerState, now_s: float) -> list[StopOrder]:
        """Take in a worker's newest tails; queue the changes of pace."""
        worker.worst_tail_ratio = worst_ratio(worker)
        target = self._next_pace(worker, now_s)
        if target != worker.pace_percent:
            worker.pace_percent = target
            worker.paced_at_s = now_s
        self._apply(worker)
        return []

    def _next_pace(self, worker: WorkerState, now_s: float) -> int:
        pace = worker.pace_percent
        waited_s = now_s - worker.paced_at_s
        if worker.worst_tail_ratio >= self.settings.pace_from_ratio:
            if waited_s < SETTLE_DOWN_S:
                return pace
            return max(self.settings.pace_floor_percent, pace // 2)
        if worker.worst_tail_ratio <= self.settings.relax_below_ratio:
            if waited_s < SETTLE_UP_S:
                return pace
            return min(100, pace + self.settings.pace_up_percent)
        return pace

    def _apply(self, worker: WorkerState) -> None:
        for run in worker.runs.values():
            if not run.step.filler or run.confirmed_at_s == float("inf"):
                continue
            if run.pace_percent != worker.pace_percent:
                run.pace_percent = worker.pace_percent
                order = PaceOrder(run, worker.worker_id, worker.pace_percent)
                self._orders.append(order)

    def take(self) -> list[PaceOrder]:
        """Return the changes of pace since the last call."""
        orders, self._orders = self._orders, []
        return orders


# A tail is a figure of the last half second, a new pace holds from 0.1 s on:
# an earlier reading would still show the old pace.
SETTLE_DOWN_S = 0.65
# Slower up than down: a target missed costs more than a filler's delay.
SETTLE_UP_S = 0.9


def worst_ratio(worker: WorkerState) -> float:
    """Return the largest ratio of tail to target among a worker's tasks."""
    worst = 0.0
    for run in worker.runs.values():
        if run.step.tail_target_s and run.tail_s > 0:
            worst = max(worst, run.tail_s / run.step.tail_target_s)
    return worst
