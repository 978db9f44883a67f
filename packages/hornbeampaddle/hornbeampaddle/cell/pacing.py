"""
Keep tasks that serve others under their tail target.

A report shows the tails of the last half second. Where one is too near to its
target, the fillers that disturb its image give way, by as much as the learned
slopes say is needed; where all are far from it, paced fillers speed up again.
What stays slowed down for long moves to a worker where it disturbs nobody.
"""

import math

from .effects import PaceOrder
from .interference import Interference
from .progress import Run, RunPhase
from .settings import CellSettings
from .workers import WorkerState

# A tail is a figure of the last half second, a new pace holds from 0.1 s on:
# an earlier reading would still show the old pace.
SETTLE_S = 0.65
# Contributions below this much of a logarithm are noise of the fit.
CULPRIT_LEVEL = 0.05
# With no culprit known, all fillers of the worker slow down by this factor.
BLIND_FACTOR = 0.5
# One change of pace moves by no less than this, to save calls.
PACE_STEP_PERCENT = 8


class Pacer:
    """The pace of all fillers of one cell."""

    def __init__(self, settings: CellSettings, model: Interference) -> None:
        """Start with every filler at full speed."""
        self.settings = settings
        self.model = model
        self._orders: list[PaceOrder] = []

    def observe(self, worker: WorkerState, now_s: float) -> None:
        """Take in a worker's newest tails; queue the changes of pace."""
        fillers = [run for run in worker.runs.values() if _paceable(run)]
        serving = [run for run in worker.runs.values() if run.step.tail_target_s]
        worker.filling = _filling(worker)
        settled = now_s - worker.paced_at_s >= SETTLE_S
        worst: Run | None = None
        for run in serving:
            if run.tail_s <= 0 or run.progress_percent < 100:
                continue
            ratio = run.tail_s / run.step.tail_target_s
            self.model.observe(run.step.image, worker.filling, ratio)
            if worst is None or ratio > worst.tail_s / worst.step.tail_target_s:
                worst = run
        if not fillers:
            return
        if worst is None:
            self._speed_up(worker, fillers, 1.0, now_s)
            return
        level = math.log(worst.tail_s / worst.step.tail_target_s)
        slow_from = math.log(self.settings.pace_from_ratio)
        if level > slow_from and settled:
            self._slow_down(worker, fillers, worst, level - slow_from, now_s)
        elif level < math.log(self.settings.relax_below_ratio) and settled:
            room = math.log(self.settings.relax_below_ratio) - level
            self._speed_up(worker, fillers, room, now_s)

    def _slow_down(
        self,
        worker: WorkerState,
        fillers: list[Run],
        worst: Run,
        excess: float,
        now_s: float,
    ) -> None:
        """Take the excess from the fillers that disturb the worst task."""
        shares = [(run, self._pressure(worker, worst, run)) for run in fillers]
        culprits = [(run, share) for run, share in shares if share > CULPRIT_LEVEL]
        total = sum(share for _, share in culprits)
        if total <= 0:
            for run in fillers:
                self._set(worker, run, run.pace_percent * BLIND_FACTOR, now_s)
            return
        factor = max(0.0, 1 - MARGIN * excess / total)
        for run, _ in culprits:
            self._set(worker, run, run.pace_percent * factor, now_s)

    def _pressure(self, worker: WorkerState, serving: Run, filler: Run) -> float:
        slope = self.model.slope(serving.step.image, filler.step.image)
        return slope * use_of(filler) / worker.listing.capacity.cpu_millis

    def _speed_up(
        self, worker: WorkerState, fillers: list[Run], room: float, now_s: float
    ) -> None:
        """Give the paced fillers as much more as the room allows."""
        for run in fillers:
            if run.pace_percent >= 100:
                continue
            step = self.settings.pace_up_percent
            if room > math.log(2):
                step *= 2
            self._set(worker, run, run.pace_percent + step, now_s)

    def _set(
        self, worker: WorkerState, run: Run, percent: float, now_s: float
    ) -> None:
        floor = self.settings.pace_floor_percent
        wanted = max(floor, min(100, round(percent)))
        small = abs(wanted - run.pace_percent) < PACE_STEP_PERCENT
        if wanted == run.pace_percent or (small and wanted not in (floor, 100)):
            return
        if run.pace_percent >= 100 or run.paced_since_s is None:
            run.paced_since_s = now_s
        if wanted >= 100:
            run.paced_since_s = None
        run.pace_percent = wanted
        worker.paced_at_s = now_s
        self._orders.append(PaceOrder(run, worker.worker_id, wanted))

    def take(self) -> list[PaceOrder]:
        """Return the changes of pace since the last call."""
        orders, self._orders = self._orders, []
        return orders


# The slopes are estimates: take a little more than they say is needed.
MARGIN = 1.3


def use_of(run: Run) -> float:
    """Return a filler's processor use, as measured or as expected."""
    if run.used_cpu_millis >= 0:
        return run.used_cpu_millis
    return run.step.need.cpu_millis * run.pace_percent / 100


def _paceable(run: Run) -> bool:
    return run.step.filler and run.phase is RunPhase.RUNNING


def _filling(worker: WorkerState) -> dict[str, float]:
    """Return the share of a worker that each filling image uses."""
    capacity_millis = worker.listing.capacity.cpu_millis
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.filler:
            share = use_of(run) / capacity_millis
            uses[run.step.image] = uses.get(run.step.image, 0.0) + share
    return uses
