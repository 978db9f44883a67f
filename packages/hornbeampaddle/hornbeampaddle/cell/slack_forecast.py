"""
Forecast the baseline slack of serving jobs from the periodicity of their load.

The baseline slack of a serving task is the slack that its users' load leaves it with no
filler beside it. It is the same for all tasks of a job. It often oscillates, with a
period that all jobs of a cell share and a phase of each job's own. The period is
selected from a few dozen candidates: the one whose fitted sinusoids leave the least
residual variance in the jobs' readings. Until a period is found, and for jobs whose
readings it does not explain, the recent linear trend is extrapolated instead.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

# Width of the time bins in which readings are combined: about one report per task.
BIN_WIDTH_S = 0.5
# Number of readings from which a bin has full weight.
FULL_BIN_READINGS = 4
# Half-life of a bin's weight. Less than a typical period would lose the oscillation;
# much more would not follow a load that changes.
HALF_LIFE_S = 12.0
# Candidate periods in geometric progression, each 10% longer than the previous one:
# from the shortest that the bins resolve to one that is barely distinguishable from a
# trend.
PERIOD_MIN_S = 5.0
PERIOD_RATIO = 1.1
PERIOD_COUNT = 25
PERIODS_S = tuple(PERIOD_MIN_S * PERIOD_RATIO**n for n in range(PERIOD_COUNT))
# Interval between two searches for the period, and the number of jobs that take part in
# one: those with the most weight in their bins.
PERIOD_SEARCH_INTERVAL_S = 1.0
PERIOD_SEARCH_JOBS_MAX = 12
# Share of a period that the readings must span before a search selects it, share that a
# job's readings must span before a sinusoid of the selected period is fitted to them,
# and share of the variance that a sinusoid must explain. With lower thresholds the
# first fitted sinusoids are off by 0.9 of slack, where a trend is off by 0.5.
SEARCH_SPAN_MIN_RATIO = 0.8
FIT_SPAN_MIN_RATIO = 0.4
EXPLAINED_VARIANCE_MIN = 0.6
# Ridge penalty on the amplitude, in full bins: a few readings fit many sinusoids.
AMPLITUDE_PENALTY = 0.15
# Window of the newest bins that a trend is fitted to, how far ahead it is extrapolated,
# and the ridge penalty on its slope, in full bins x s².
TREND_WINDOW_S = 1.8
TREND_HORIZON_S = 1.0
TREND_SLOPE_PENALTY = 1.0
# Number of readings after which a trend is fitted again. Each reading evaluates the
# trend five times and changes it little; refitting it at each evaluation takes half of
# the processing time of a report.
TREND_REFIT_READINGS = FULL_BIN_READINGS
# Share of the last bins' mean residual that is added to the forecast, and the time
# constant with which that correction decays.
RESIDUAL_CARRY_RATIO = 0.5
RESIDUAL_DECAY_S = 1.5
# Time without a new bin after which a job's history is dropped.
FORGET_AFTER_S = 20.0
# Number of readings below which a job's baseline slack is unknown.
READINGS_MIN = 3
# Sampling step of the search for the lowest slack in a time span.
LOWEST_STEP_S = 0.5

# Weighted sums over a job's bins for one period: weight, sin x cos, sin, cos, sin²,
# cos², value, value x sin, value x cos, value².
RegressionSums = list[float]
# Mean level, sine coefficient, cosine coefficient.
Sinusoid = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Trend:
    """A line fitted to a job's newest bins; ``slope`` is in slack per second."""

    newest_s: float
    mean_s: float
    mean: float
    slope: float

    def at(self, at_s: float) -> float:
        """Return the value at a time, constant beyond the extrapolation horizon."""
        until_s = min(at_s, self.newest_s + TREND_HORIZON_S)
        return self.mean + self.slope * (until_s - self.mean_s)


@dataclass(slots=True)
class JobHistory:
    """The baseline slack of one job over time."""

    first_s: float
    last_s: float
    open_at_s: float
    open_values: list[float] = field(default_factory=list)
    open_times_s: list[float] = field(default_factory=list)
    recent: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=5))
    sums: list[RegressionSums] = field(
        default_factory=lambda: [[0.0] * 10 for _ in range(PERIOD_COUNT)]
    )
    # Fitted for the selected period; None while the trend is used instead.
    sinusoid: Sinusoid | None = None
    residual: float = 0.0
    readings: int = 0
    # Refitted when ``readings`` reaches this count, see ``TREND_REFIT_READINGS``.
    trend: Trend | None = None
    trend_refit_at_readings: int = 0

    @property
    def span_s(self) -> float:
        """Return the time from the first reading to the last closed bin."""
        return self.last_s - self.first_s


class SlackForecaster:
    """Forecasts of the baseline slack of all jobs of a cell."""

    def __init__(self) -> None:
        """Start without readings."""
        self._histories: dict[str, JobHistory] = {}
        self._next_search_at_s = float("-inf")
        self._period_index: int | None = None

    @property
    def period_s(self) -> float | None:
        """Return the period that the jobs share, or None if none is known."""
        return None if self._period_index is None else PERIODS_S[self._period_index]

    def observe(self, job_id: str, value: float, at_s: float) -> None:
        """Add a reading of a job's baseline slack at a local time."""
        history = self._histories.get(job_id)
        if history is None:
            history = self._histories[job_id] = JobHistory(at_s, at_s, at_s)
        if history.open_values and at_s - history.open_at_s >= BIN_WIDTH_S:
            self._close_bin(history)
        if not history.open_values:
            history.open_at_s = at_s
        history.readings += 1
        history.open_values.append(value)
        history.open_times_s.append(at_s)

    def _close_bin(self, history: JobHistory) -> None:
        value = statistics.median(history.open_values)
        at_s = statistics.fmean(history.open_times_s)
        weight = min(1.0, len(history.open_values) / FULL_BIN_READINGS)
        decay = 0.5 ** (max(0.0, at_s - history.last_s) / HALF_LIFE_S)
        for sums, period_s in zip(history.sums, PERIODS_S, strict=True):
            _accumulate(sums, period_s, at_s, value, weight, decay)
        history.recent.append((at_s, value))
        history.last_s = at_s
        history.open_values.clear()
        history.open_times_s.clear()
        self._update_fit(history)

    def _update_fit(self, history: JobHistory) -> None:
        """Fit a job's sinusoid, or clear it if the readings do not support one."""
        history.sinusoid = None
        if self._period_index is None:
            return
        period_s = PERIODS_S[self._period_index]
        span_min_s = FIT_SPAN_MIN_RATIO * period_s
        if history.span_s < span_min_s:
            return
        sums = history.sums[self._period_index]
        sinusoid = _fit_sinusoid(sums)
        if _explained_ratio(sums, sinusoid) < EXPLAINED_VARIANCE_MIN:
            return
        history.sinusoid = sinusoid
        residuals = [
            value - _evaluate(sinusoid, period_s, at_s)
            for at_s, value in history.recent
        ]
        history.residual = (
            RESIDUAL_CARRY_RATIO * statistics.fmean(residuals[-2:])
            if residuals
            else 0.0
        )

    def choose(self, now_s: float) -> None:
        """Drop stale jobs and search for the period again, if a search is due."""
        if now_s < self._next_search_at_s:
            return
        self._next_search_at_s = now_s + PERIOD_SEARCH_INTERVAL_S
        for job_id, history in list(self._histories.items()):
            if now_s - max(history.last_s, history.open_at_s) > FORGET_AFTER_S:
                del self._histories[job_id]
        histories = sorted(
            self._histories.values(),
            key=lambda history: history.sums[0][0],
            reverse=True,
        )[:PERIOD_SEARCH_JOBS_MAX]
        period_index = _best_period(histories)
        if period_index is None or period_index == self._period_index:
            return
        self._period_index = period_index
        for history in self._histories.values():
            self._update_fit(history)

    def known(self, job_id: str) -> bool:
        """Return whether a sinusoid is fitted to a job, not only a recent trend."""
        history = self._histories.get(job_id)
        return history is not None and history.sinusoid is not None

    def expected(self, job_id: str, at_s: float) -> float | None:
        """Return a job's expected baseline slack, or None with too few readings."""
        history = self._histories.get(job_id)
        if history is None or history.readings < READINGS_MIN:
            return None
        if history.sinusoid is not None and self._period_index is not None:
            ahead_s = max(0.0, at_s - history.last_s)
            residual = history.residual * math.exp(-ahead_s / RESIDUAL_DECAY_S)
            return (
                _evaluate(history.sinusoid, PERIODS_S[self._period_index], at_s)
                + residual
            )
        if history.readings >= history.trend_refit_at_readings:
            history.trend = _trend_of(history)
            history.trend_refit_at_readings = history.readings + TREND_REFIT_READINGS
        return history.trend.at(at_s) if history.trend is not None else None

    def lowest(self, job_id: str, from_s: float, to_s: float) -> float | None:
        """Return the lowest expected baseline slack in a time span."""
        lowest = self.expected(job_id, from_s)
        at_s = from_s + LOWEST_STEP_S
        while lowest is not None and at_s <= to_s:
            later = self.expected(job_id, at_s)
            if later is not None:
                lowest = min(lowest, later)
            at_s += LOWEST_STEP_S
        return lowest

    def inherit(self, period_s: float) -> None:
        """
        Start with the period that a previous holder found.

        Its fitted sinusoids are not taken over: the record is read up to seconds after
        it was written, and on a day with changes of the holder, sinusoids that are off
        by one second cost callers 0.035 of what they are owed.
        """
        self._period_index = min(
            range(PERIOD_COUNT), key=lambda n: abs(PERIODS_S[n] - period_s)
        )


def _accumulate(
    sums: RegressionSums,
    period_s: float,
    at_s: float,
    value: float,
    weight: float,
    decay: float,
) -> None:
    angle = 2 * math.pi * at_s / period_s
    sine, cosine = math.sin(angle), math.cos(angle)
    sums[0] = sums[0] * decay + weight
    sums[1] = sums[1] * decay + weight * sine * cosine
    sums[2] = sums[2] * decay + weight * sine
    sums[3] = sums[3] * decay + weight * cosine
    sums[4] = sums[4] * decay + weight * sine * sine
    sums[5] = sums[5] * decay + weight * cosine * cosine
    sums[6] = sums[6] * decay + weight * value
    sums[7] = sums[7] * decay + weight * value * sine
    sums[8] = sums[8] * decay + weight * value * cosine
    sums[9] = sums[9] * decay + weight * value * value


def _fit_sinusoid(sums: RegressionSums) -> Sinusoid:
    """Return the least-squares sinusoid of a job's bins, by Cramer's rule."""
    n, sc, s, c, ss, cc, y, ys, yc, _ = sums
    ss += AMPLITUDE_PENALTY
    cc += AMPLITUDE_PENALTY
    a = ss * cc - sc * sc
    b = s * cc - sc * c
    d = s * sc - ss * c
    determinant = n * a - s * b + c * d
    if abs(determinant) < 1e-9:
        return (y / n if n else 0.0, 0.0, 0.0)
    level = (y * a - s * (ys * cc - sc * yc) + c * (ys * sc - ss * yc)) / determinant
    sine = (n * (ys * cc - yc * sc) - y * b + c * (s * yc - ys * c)) / determinant
    cosine = (n * (ss * yc - sc * ys) - s * (s * yc - ys * c) + y * d) / determinant
    return (level, sine, cosine)


def _residual_sum(sums: RegressionSums, sinusoid: Sinusoid) -> float:
    """Return the residual sum of squares of a sinusoid."""
    return max(
        0.0,
        sums[9] - sinusoid[0] * sums[6] - sinusoid[1] * sums[7] - sinusoid[2] * sums[8],
    )


def _variance(sums: RegressionSums) -> float:
    return max(1e-9, sums[9] - sums[6] * sums[6] / sums[0]) if sums[0] else 1e-9


def _explained_ratio(sums: RegressionSums, sinusoid: Sinusoid) -> float:
    return 1 - _residual_sum(sums, sinusoid) / _variance(sums)


def _best_period(histories: list[JobHistory]) -> int | None:
    """
    Return the number of the period with the least residual variance, if low enough.

    A part of a long oscillation looks like a complete short one, which would select too
    short a period. So all periods are compared, and the best one is returned only once
    the readings of at least half of the jobs span it.
    """
    best: tuple[float, int] | None = None
    for number in range(PERIOD_COUNT):
        variance = sum(_variance(history.sums[number]) for history in histories)
        left = sum(
            _residual_sum(t.sums[number], _fit_sinusoid(t.sums[number]))
            for t in histories
        )
        if variance and (best is None or left / variance < best[0]):
            best = (left / variance, number)
    if best is None or best[0] > 1 - EXPLAINED_VARIANCE_MIN:
        return None
    span_min_s = SEARCH_SPAN_MIN_RATIO * PERIODS_S[best[1]]
    spanned = sum(history.span_s >= span_min_s for history in histories)
    return best[1] if 2 * spanned >= len(histories) else None


def _evaluate(sinusoid: Sinusoid, period_s: float, at_s: float) -> float:
    angle = 2 * math.pi * at_s / period_s
    return sinusoid[0] + sinusoid[1] * math.sin(angle) + sinusoid[2] * math.cos(angle)


def _trend_of(history: JobHistory) -> Trend | None:
    """Fit the trend of a job's newest bins, including the open one."""
    bins = list(history.recent)
    count = len(history.open_values)
    if count:
        value = statistics.median(history.open_values)
        bins.append((sum(history.open_times_s) / count, value))
    if not bins:
        return None
    newest_s = bins[-1][0]
    bins = [entry for entry in bins if newest_s - entry[0] <= TREND_WINDOW_S]
    mean_s = sum(entry[0] for entry in bins) / len(bins)
    mean = sum(entry[1] for entry in bins) / len(bins)
    covariance = sum((s - mean_s) * (value - mean) for s, value in bins)
    time_variance = sum((s - mean_s) ** 2 for s, _ in bins) + TREND_SLOPE_PENALTY
    return Trend(newest_s, mean_s, mean, covariance / time_variance)
