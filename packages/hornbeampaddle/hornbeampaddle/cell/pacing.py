"""
Keep tasks that serve others under their tail target.

A report shows the tails of the last half second. Where one is too near to its
target, the fillers that disturb its image give way, by as much as the learned
slopes say is needed. Where there is room again they speed up, by as much as it
allows. A task that stays over its target silences every filler beside it.
"""

from dataclasses import replace

from .effects import PaceOrder
from .interference import Interference, Reading
from .progress import Run, RunPhase
from .settings import CellSettings
from .workers import WorkerState

# A tail is a figure of the last half second, a new pace holds from 0.1 s on:
# an earlier reading would still show the old pace.
SETTLE_S = 0.65
# A filler that takes less slack than this at full speed does not count as disturbing:
# that is the noise of the fit.
HARMLESS_SLACK = 0.06
# The slopes are estimates: take more than they say is needed, give less.
TAKE_RATIO = 1.3
GIVE_RATIO = 0.7
# A pace is set for this long ahead: half of the time to the next report.
PACE_AHEAD_S = 0.4
# A filler is placed by the lowest slack of this span: most work for longer, but their
# pace follows from there.
PLACE_AHEAD_S = 1.5
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
        uses = _filling(worker)
        worker.unused_filler_cpu_millis = _held_back(worker)
        readings = _readings(worker)
        self.model.observe(readings, uses, now_s)
        self.note_own(worker, now_s)
        worst = min(readings, key=lambda reading: reading.slack, default=None)
        self._note_over(worker, worst, now_s)
        fillers = [run for run in worker.runs.values() if _paceable(run)]
        if not fillers or now_s - worker.paced_at_s < SETTLE_S:
            return
        if self._over_for_long(worker, now_s):
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
        Return a reading with the mean of its slack and what the model says.

        A single reading is off by a tenth; its job's other tasks are not.
        """
        at_s = now_s + PACE_AHEAD_S
        own = self.model.swings.expected(reading.key.job_id, at_s)
        if own is None:
            return reading
        modelled = own - self.model.pressure(reading.image, uses)
        return replace(reading, slack=(reading.slack + modelled) / 2)

    def note_own(self, worker: WorkerState, now_s: float) -> None:
        """Keep the lowest own slack of each image that serves here, for placing."""
        worker.own_slack.clear()
        for run in worker.runs.values():
            if not run.step.tail_target_s:
                continue
            own = self.model.own(run.key.job_id, now_s, PLACE_AHEAD_S)
            known = worker.own_slack.get(run.step.image, own)
            worker.own_slack[run.step.image] = min(own, known)
        worker.invalidate_cache()

    def _note_over(
        self, worker: WorkerState, worst: Reading | None, now_s: float
    ) -> None:
        # Guards against a task that is a little over its target for long: readings are
        # off by a tenth, and one good one among bad ones would begin the count anew.
        limit = self.settings.over_below_slack
        if worker.over_since_s is not None:
            limit = self.settings.well_above_slack
        if worst is None or worst.slack > limit:
            worker.over_since_s = None
        elif worker.over_since_s is None:
            worker.over_since_s = now_s

    def _over_for_long(self, worker: WorkerState, now_s: float) -> bool:
        # Guards against a target that is missed by little for long: the fit
        # finds no culprit then, and every filler that works on counts as one.
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
        """Take the excess from the fillers that disturb the worst task."""
        missing = self.settings.relax_above_slack - worst.slack
        shares = {
            id(run): self._pressure(worker, worst.image, run, use_of(run))
            for run in fillers
            if self._pressure(worker, worst.image, run, run.step.need.cpu_millis)
            > HARMLESS_SLACK
        }
        total = sum(shares.values())
        if total <= 0:
            return
        factor = max(0.0, 1 - TAKE_RATIO * missing / total)
        for run in fillers:
            if id(run) in shares:
                self._set(worker, run, run.pace_percent * factor, now_s)

    def _pressure(
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
        """Give the paced fillers what the nearest tail leaves, the oldest first."""
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
            full = {
                image: self._pressure(worker, image, run, run.step.need.cpu_millis)
                for image in room
            }
            for image, pressure in full.items():
                if pressure > HARMLESS_SLACK:
                    more = min(more, max(0.0, GIVE_RATIO * room[image] / pressure))
            for image, pressure in full.items():
                room[image] -= more * pressure
            spare_millis -= more * need_millis
            self._set(worker, run, run.pace_percent + 100 * more, now_s)

    def _set(self, worker: WorkerState, run: Run, percent: float, now_s: float) -> None:
        wanted = max(0, min(100, round(percent)))
        small = abs(wanted - run.pace_percent) < PACE_STEP_PERCENT
        if wanted == run.pace_percent or (small and wanted not in (0, 100)):
            return
        if wanted < SLOW_PERCENT and run.slow_since_s is None:
            run.slow_since_s = now_s
        if wanted >= SLOW_PERCENT:
            run.slow_since_s = None
        run.pace_percent = wanted
        worker.paced_at_s = now_s
        self._orders.append(PaceOrder(run, worker.worker_id, wanted))

    def begin(self, worker: WorkerState, run: Run, now_s: float) -> None:
        """Set the pace at which a filler was placed."""
        if run.first_pace_percent < 100:
            self._set(worker, run, run.first_pace_percent, now_s)

    def take(self) -> list[PaceOrder]:
        """Return the changes of pace since the last call."""
        orders, self._orders = self._orders, []
        return orders


# A filler below this pace is better off on another worker, if there is one:
# a move costs about a second of stopping and restoring.
SLOW_PERCENT = 50


def use_of(run: Run) -> float:
    """
    Return a filler's processor use: as measured, else as expected.

    The measure is of the same half second as the tails beside it. The mean of both
    made the model's error a tenth larger: after a change of pace the expected use is
    of another moment than the tails.
    """
    if run.used_cpu_millis < 0:
        return run.step.need.cpu_millis * run.pace_percent / 100
    return run.used_cpu_millis


def _readings(worker: WorkerState) -> list[Reading]:
    """Return the tails of the serving tasks that are at work."""
    readings = []
    for run in worker.runs.values():
        target_s = run.step.tail_target_s
        if target_s and run.tail_s > 0 and run.progress_percent >= 100:
            readings.append(Reading(run.key, run.step.image, target_s / run.tail_s))
    return readings


def _held_back(worker: WorkerState) -> float:
    """Return the processor time that paced fillers leave of their need."""
    return sum(
        run.step.need.cpu_millis * (1 - run.pace_percent / 100)
        for run in worker.runs.values()
        if run.step.filler
    )


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
