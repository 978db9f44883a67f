"""
Fit the run times of one queue to its submitters' estimates.

The fit is a weighted line of log run time on log estimate, one reading a step. It is
shrunk to the estimate itself: with no reading, a run time is what was estimated. The
spread of tasks about their step is kept as a histogram of the ratio of the two.
"""

import math
import statistics
from dataclasses import dataclass, field

import msgspec

from .jobs import ESTIMATE_MIN_S

# Weight of the estimate, in readings: a handful of steps outweighs it.
SHIFT_PRIOR = 4.0
# The same for the slope, times the square of a usual spread of log estimates.
SLOPE_PRIOR = 4.0 * 0.5**2
# Time in which readings lose half of their weight: longer than a wave of users, so that
# one wave does not forget the last.
HALF_LIFE_S = 120.0
# Weight that older readings keep at most, in readings.
WEIGHT_MAX = 100.0
# Mean error of estimates, as a factor, from which they are called off, and below which
# they are trusted again. An objective is a small multiple of the run time: with errors
# of about that multiple, jobs on time cannot be told from late ones.
OFF_FACTOR = 2.0
TRUSTED_FACTOR = 1.8
# Readings before estimates may be called off.
READINGS_MIN = 8.0
# Upper bounds of the ratio of a task's run time to its step's, and the ratio that
# stands for each bin.
RATIO_BOUNDS = (1.0, 1.15, 1.3, 1.6, 2.0, 3.0, 5.0, 8.0)
RATIOS = (0.9, 1.08, 1.22, 1.45, 1.8, 2.5, 4.0, 6.5, 9.0)
# The least number of tasks of a step whose ratios are counted.
RATIO_TASKS_MIN = 4
# Weight of tasks that all take as long as their step, in tasks.
RATIO_PRIOR = 20.0
TASKS_WEIGHT_MAX = 2000.0
# Predictions kept at a time.
PREDICTIONS_MAX = 4096
# Above the logarithm of every time in seconds.
LOG_MAX = 30.0
# Largest size of a fit's sums for each reading, in the order of its record.
SUMS_MAX = (1.0, LOG_MAX, LOG_MAX, *[LOG_MAX**2] * 2, 2 * LOG_MAX, 4 * LOG_MAX**2)
# Error of a record's sums by their rounding.
SUM_ERROR = 0.1


def log_s(time_s: float) -> float:
    """Return the logarithm of a time, at least ``ESTIMATE_MIN_S``."""
    return math.log(max(ESTIMATE_MIN_S, time_s))


class FitRecord(msgspec.Struct, array_like=True, frozen=True):
    """
    The stored form of a fit: the weighted sums and the histogram.

    ``sums`` are those of weight, x, y, x x, x y, |y - x| and the squared error of
    prediction, x the log estimate and y the log run time, both of seconds. ``age_s``
    is the time since the newest reading.
    """

    age_s: float
    sums: tuple[float, float, float, float, float, float, float]
    ratios: tuple[float, ...]
    off: bool


@dataclass(slots=True)
class QueueFit:
    """What is known of the run times of one queue's steps."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    sum_error: float = 0.0
    sum_squared_miss: float = 0.0
    ratios: list[float] = field(default_factory=lambda: [0.0] * len(RATIOS))
    # Whether the submitters' estimates were seen to be off.
    off: bool = False
    # When the newest reading came: -inf if under an earlier holder, ``age_s`` ago.
    read_at_s: float = -math.inf
    age_s: float = 0.0
    # Predictions since the last reading: each waiting job asks in each decision.
    _predicted_s: dict[float, float] = field(default_factory=dict)
    _longest: dict[int, float] = field(default_factory=dict)

    def add_step(self, estimate_s: float, works_s: list[float], now_s: float) -> None:
        """Learn from the work of the tasks of one step."""
        median_s = statistics.median(works_s)
        self.add(estimate_s, median_s, now_s)
        if len(works_s) >= RATIO_TASKS_MIN:
            for work_s in works_s:
                self._add_ratio(work_s / median_s)

    def add(self, estimate_s: float, run_s: float, now_s: float) -> None:
        """Learn from a step whose tasks took ``run_s`` in the median."""
        self._age(now_s)
        x, y = log_s(estimate_s), log_s(run_s)
        self.sum_squared_miss += (y - log_s(self._predict_s(estimate_s))) ** 2
        self.weight += 1
        self.sum_x += x
        self.sum_y += y
        self.sum_xx += x * x
        self.sum_xy += x * y
        self.sum_error += abs(y - x)
        limit = TRUSTED_FACTOR if self.off else OFF_FACTOR
        self._predicted_s.clear()
        self.off = self.weight >= READINGS_MIN and self.estimate_error > limit

    def _add_ratio(self, ratio: float) -> None:
        self._longest.clear()
        self.ratios[_ratio_bin(ratio)] += 1
        total = sum(self.ratios)
        if total > TASKS_WEIGHT_MAX:
            scale = TASKS_WEIGHT_MAX / total
            self.ratios = [scale * count for count in self.ratios]

    def _age(self, now_s: float) -> None:
        elapsed_s = self.age_s
        if math.isfinite(self.read_at_s):
            elapsed_s = max(0.0, now_s - self.read_at_s)
        self.read_at_s = now_s
        keep = 0.5 ** (elapsed_s / HALF_LIFE_S)
        keep = min(keep, WEIGHT_MAX / max(WEIGHT_MAX, self.weight + 1))
        self.weight *= keep
        self.sum_x *= keep
        self.sum_y *= keep
        self.sum_xx *= keep
        self.sum_xy *= keep
        self.sum_error *= keep
        self.sum_squared_miss *= keep

    @property
    def estimate_error(self) -> float:
        """Return the mean error of estimates, as a factor, 1.0 if nothing is known."""
        return math.exp(self.sum_error / (self.weight + SHIFT_PRIOR))

    @property
    def prediction_error(self) -> float:
        """Return the typical error of predictions, as a factor."""
        return math.exp(self.spread)

    @property
    def spread(self) -> float:
        """Return the standard deviation of log run time about its prediction."""
        if not self.weight:
            return 0.0
        return math.sqrt(self.sum_squared_miss / self.weight)

    def predict_s(self, estimate_s: float) -> float:
        """Return the median run time of the tasks of a step."""
        known_s = self._predicted_s.get(estimate_s)
        if known_s is None:
            if len(self._predicted_s) >= PREDICTIONS_MAX:
                self._predicted_s.clear()
            known_s = self._predicted_s[estimate_s] = self._predict_s(estimate_s)
        return known_s

    def _predict_s(self, estimate_s: float) -> float:
        x = log_s(estimate_s)
        if not self.weight:
            return math.exp(x)
        mean_x = self.sum_x / self.weight
        shift = (self.sum_y - self.sum_x) / (self.weight + SHIFT_PRIOR)
        spread_xx = self.sum_xx - self.weight * mean_x * mean_x
        spread_xy = self.sum_xy - mean_x * self.sum_y
        slope = (spread_xy - spread_xx) / (spread_xx + SLOPE_PRIOR)
        return math.exp(min(LOG_MAX, x + shift + slope * (x - mean_x)))

    def longest_ratio(self, count: int) -> float:
        """Return the run time of the longest of ``count`` tasks, in their medians."""
        if count not in self._longest:
            self._longest[count] = self._longest_ratio(count)
        return self._longest[count]

    def _longest_ratio(self, count: int) -> float:
        counts = [RATIO_PRIOR / 2, RATIO_PRIOR / 2, *([0.0] * (len(RATIOS) - 2))]
        total = RATIO_PRIOR + sum(self.ratios)
        below = expected = reached = 0.0
        for ratio, prior, seen in zip(RATIOS, counts, self.ratios, strict=True):
            reached += (prior + seen) / total
            upto = min(1.0, reached) ** count
            expected += ratio * (upto - below)
            below = upto
        return expected

    def record(self, now_s: float) -> FitRecord:
        """Return the stored form."""
        age_s = self.age_s
        if math.isfinite(self.read_at_s):
            age_s = max(0.0, now_s - self.read_at_s)
        sums = (
            self.weight,
            self.sum_x,
            self.sum_y,
            self.sum_xx,
            self.sum_xy,
            self.sum_error,
            self.sum_squared_miss,
        )
        return FitRecord(
            round(age_s, 1),
            tuple(round(value, 4) for value in sums),  # type: ignore[arg-type]
            tuple(round(count, 1) for count in self.ratios),
            self.off,
        )

    @classmethod
    def restored(cls, record: FitRecord) -> "QueueFit":
        """Return the fit of a record; raises ``ValueError``."""
        if len(record.ratios) != len(RATIOS):
            raise ValueError(f"{len(record.ratios)} ratios instead of {len(RATIOS)}")
        values = (record.age_s, *record.sums, *record.ratios)
        least = min(record.age_s, record.sums[0], *record.sums[5:], *record.ratios)
        if not all(map(math.isfinite, values)) or least < 0:
            raise ValueError("a sum is out of range")
        if not 0 < record.sums[0] <= WEIGHT_MAX + 1:
            raise ValueError("the weight is out of range")
        weight, sum_x, _, sum_xx, *_ = record.sums
        spread_xx = sum_xx - sum_x * sum_x / weight
        bounds = zip(record.sums, SUMS_MAX, strict=True)
        bounded = all(abs(value) <= weight * most for value, most in bounds)
        if not bounded or spread_xx < -SUM_ERROR:
            raise ValueError("the sums do not belong together")
        fit = cls(*record.sums, list(record.ratios), record.off)
        fit.age_s = record.age_s
        return fit


def _ratio_bin(ratio: float) -> int:
    for number, bound in enumerate(RATIO_BOUNDS):
        if ratio <= bound:
            return number
    return len(RATIO_BOUNDS)
