"""
Throttle fillers so that serving tasks stay within their tail latency target.

A report contains the tail latencies of the last half second. Where one is too close to
its target, the fillers that interfere with its image are slowed down by as much as the
learned slopes require. Where there is slack again, they are sped up by as much as it
allows. While a task stays over its target, every filler on its worker is paused.
"""

from dataclasses import replace

from .effects import PaceOrder
from .interference import Interference, Reading
from .progress import Run, RunPhase
from .settings import CellSettings
from .workers import WorkerState

# A tail latency covers the last half second, and a new pace takes effect within 0.1 s:
# an earlier reading would still reflect the old pace.
SETTLE_S = 0.65
# Slack loss at full speed below which a filler does not count as interfering: that is
# the noise of the fit.
HARMLESS_SLACK_LOSS_MAX = 0.06
# The slopes are estimates, so fillers are slowed down by more than these require and
# sped up by less than they allow.
SLOW_DOWN_GAIN = 1.3
SPEED_UP_GAIN = 0.7
# Forecast horizon for setting a pace: half of the time to the next report.
PACE_HORIZON_S = 0.4
# Forecast horizon for placing a filler, by the lowest slack within it. Most fillers run
# for longer, but their pace is adjusted from then on.
PLACEMENT_HORIZON_S = 1.5
# Smallest change of pace, to save calls to the worker.
PACE_STEP_MIN_PERCENT = 8


class Pacer:
    """The pace of all fillers of one cell."""

    def __init__(self, settings: CellSettings, model: Interference) -> None:
        """Start without changes of pace; every filler runs at full speed."""
        self.settings = settings
        self.model = model
        self._orders: list[PaceOrder] = []

    def observe(self, worker: WorkerState, now_s: float) -> None:
        """Process a worker's newest tail latencies and queue changes of pace."""
        uses = _filler_use_ratios(worker)
        worker.unused_filler_cpu_millis = _held_back_millis(worker)
        readings = _readings(worker)
        self.model.observe(readings, uses, now_s)
        self.update_baseline_slack(worker, now_s)
        worst = min(readings, key=lambda reading: reading.slack, default=None)
        self._update_over_target(worker, worst, now_s)
        fillers = [run for run in worker.runs.values() if _paceable(run)]
        if not fillers or now_s - worker.paced_at_s < SETTLE_S:
            return
        if self._over_target_too_long(worker, now_s):
            for run in fillers:
                self._set(worker, run, 0, now_s)
            return
        expected = [self._expected(reading, uses, now_s) for reading in readings]
        worst = min(expected, key=lambda reading: reading.slack, default=None)
        if worst is not None and worst.slack < self.settings.pace_below_slack:
            self._slow_down(worker, fillers, worst, now_s)
        else:
            self._speed_up(worker, fillers, expected, now_s)

    def _expected(
        self, reading: Reading, uses: dict[str, float], now_s: float
    ) -> Reading:
        """
        Return a reading whose slack is the mean of itself and the model's forecast.

        A single reading has an error of 10%, which the job's other tasks do not share.
        """
        at_s = now_s + PACE_HORIZON_S
        baseline_slack = self.model.forecaster.expected(reading.key.job_id, at_s)
        if baseline_slack is None:
            return reading
        modelled = baseline_slack - self.model.slack_loss(reading.image, uses)
        return replace(reading, slack=(reading.slack + modelled) / 2)

    def update_baseline_slack(self, worker: WorkerState, now_s: float) -> None:
        """Store the lowest baseline slack by serving image, for placing fillers."""
        worker.baseline_slack_by_image.clear()
        for run in worker.runs.values():
            if not run.step.tail_target_s:
                continue
            baseline_slack = self.model.baseline_slack(
                run.key.job_id, now_s, PLACEMENT_HORIZON_S
            )
            known = worker.baseline_slack_by_image.get(run.step.image, baseline_slack)
            worker.baseline_slack_by_image[run.step.image] = min(baseline_slack, known)
        worker.invalidate_cache()

    def _update_over_target(
        self, worker: WorkerState, worst: Reading | None, now_s: float
    ) -> None:
        # The limit has hysteresis: readings have an error of 10%, and for a task that
        # is slightly over its target for long, one good reading among bad ones would
        # restart the time that is counted.
        limit = self.settings.over_below_slack
        if worker.over_since_s is not None:
            limit = self.settings.well_above_slack
        if worst is None or worst.slack > limit:
            worker.over_since_s = None
        elif worker.over_since_s is None:
            worker.over_since_s = now_s

    def _over_target_too_long(self, worker: WorkerState, now_s: float) -> bool:
        # When a target is missed by little for long, the fit attributes it to no
        # filler. Every filler that runs then counts as a cause.
        if worker.over_since_s is None:
            return False
        return now_s - worker.over_since_s > self.settings.silence_after_s

    def _slow_down(
        self,
        worker: WorkerState,
        fillers: list[Run],
        worst: Reading,
        now_s: float,
    ) -> None:
        """Slow down the fillers that interfere with the task of least slack."""
        deficit = self.settings.relax_above_slack - worst.slack
        slack_losses = {
            id(run): self._slack_loss(worker, worst.image, run, cpu_use_millis(run))
            for run in fillers
            if self._slack_loss(worker, worst.image, run, run.step.need.cpu_millis)
            > HARMLESS_SLACK_LOSS_MAX
        }
        total = sum(slack_losses.values())
        if total <= 0:
            return
        factor = max(0.0, 1 - SLOW_DOWN_GAIN * deficit / total)
        for run in fillers:
            if id(run) in slack_losses:
                self._set(worker, run, run.pace_percent * factor, now_s)

    def _slack_loss(
        self, worker: WorkerState, image: str, filler: Run, cpu_millis: float
    ) -> float:
        slope = self.model.slope(image, filler.step.image)
        return slope * cpu_millis / worker.listing.capacity.cpu_millis

    def _speed_up(
        self,
        worker: WorkerState,
        fillers: list[Run],
        readings: list[Reading],
        now_s: float,
    ) -> None:
        """Speed up throttled fillers as far as the least slack allows, oldest first."""
        spare_millis = worker.spare_cpu_millis()
        room: dict[str, float] = {}
        for reading in readings:
            left = reading.slack - self.settings.relax_above_slack
            room[reading.image] = min(room.get(reading.image, left), left)
        for run in fillers:
            if run.pace_percent >= 100:
                continue
            need_millis = max(1, run.step.need.cpu_millis)
            more = 1.0 - run.pace_percent / 100
            if run.shares_processors:
                more = min(more, max(0.0, spare_millis / need_millis))
            full_speed_losses = {
                image: self._slack_loss(worker, image, run, run.step.need.cpu_millis)
                for image in room
            }
            for image, slack_loss in full_speed_losses.items():
                if slack_loss > HARMLESS_SLACK_LOSS_MAX:
                    more = min(more, max(0.0, SPEED_UP_GAIN * room[image] / slack_loss))
            for image, slack_loss in full_speed_losses.items():
                room[image] -= more * slack_loss
            spare_millis -= more * need_millis
            self._set(worker, run, run.pace_percent + 100 * more, now_s)

    def _set(self, worker: WorkerState, run: Run, percent: float, now_s: float) -> None:
        wanted = max(0, min(100, round(percent)))
        small = abs(wanted - run.pace_percent) < PACE_STEP_MIN_PERCENT
        if wanted == run.pace_percent or (small and wanted not in (0, 100)):
            return
        if wanted < SLOW_BELOW_PERCENT and run.slow_since_s is None:
            run.slow_since_s = now_s
        if wanted >= SLOW_BELOW_PERCENT:
            run.slow_since_s = None
        run.pace_percent = wanted
        worker.paced_at_s = now_s
        self._orders.append(PaceOrder(run, worker.worker_id, wanted))

    def set_initial_pace(self, worker: WorkerState, run: Run, now_s: float) -> None:
        """Set the pace with which a filler is placed."""
        if run.first_pace_percent < 100:
            self._set(worker, run, run.first_pace_percent, now_s)

    def take_orders(self) -> list[PaceOrder]:
        """Return and clear the queued changes of pace."""
        orders, self._orders = self._orders, []
        return orders


# Pace below which a filler makes more progress on another worker, if there is one: a
# move costs about one second for stopping it and restoring its checkpoint.
SLOW_BELOW_PERCENT = 50


def cpu_use_millis(run: Run) -> float:
    """
    Return a filler's CPU use as reported, or as expected from its pace.

    The reported use covers the same half second as the tail latencies. The mean of
    reported and expected use makes the model's error 10% larger: after a change of
    pace, the expected use is of another time than the tail latencies.
    """
    if run.used_cpu_millis < 0:
        return run.step.need.cpu_millis * run.pace_percent / 100
    return run.used_cpu_millis


def _readings(worker: WorkerState) -> list[Reading]:
    """Return the readings of the serving tasks that run."""
    readings = []
    for run in worker.runs.values():
        target_s = run.step.tail_target_s
        if target_s and run.tail_s > 0 and run.progress_percent >= 100:
            readings.append(Reading(run.key, run.step.image, target_s / run.tail_s))
    return readings


def _held_back_millis(worker: WorkerState) -> float:
    """Return the CPU that throttled fillers do not use of what they need."""
    return sum(
        run.step.need.cpu_millis * (1 - run.pace_percent / 100)
        for run in worker.runs.values()
        if run.step.filler
    )


def _paceable(run: Run) -> bool:
    return run.step.filler and run.phase is RunPhase.RUNNING


def _filler_use_ratios(worker: WorkerState) -> dict[str, float]:
    """Return the share of a worker's CPU that each filling image uses."""
    capacity_millis = worker.listing.capacity.cpu_millis
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.filler:
            share = cpu_use_millis(run) / capacity_millis
            uses[run.step.image] = uses.get(run.step.image, 0.0) + share
    return uses
