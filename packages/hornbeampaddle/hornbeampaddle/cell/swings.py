"""
Follow how the load of a job's users swings, and say what it will be soon.

What a serving task's users leave of its slack, its own slack, is the same on all tasks
of its job. It often swings: with a period that the jobs of a cell share, each at a
moment of its own. The period is looked for among a few dozen, as the one whose waves
leave the least of the jobs' readings unexplained. Until it is found, and for jobs whose
readings it does not explain, the recent trend is extended instead.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

# Readings of so long a span are taken together: about one report of each task.
BIN_S = 0.5
# A bin with so many readings counts fully.
FULL_BIN = 4
# A bin loses half of its weight in this time: less than a usual period would forget the
# wave, much more would not follow a load that changes.
HALF_LIFE_S = 12.0
# Periods that are tried, each a tenth longer than the one before: from the shortest
# that bins show to one that is hardly more than a trend.
PERIOD_MIN_S = 5.0
PERIOD_RATIO = 1.1
PERIOD_COUNT = 25
PERIODS_S = tuple(PERIOD_MIN_S * PERIOD_RATIO**n for n in range(PERIOD_COUNT))
# The period is chosen again this often, by the jobs with most readings.
CHOOSE_EVERY_S = 1.0
CHOOSE_JOBS_MAX = 12
# A wave counts from so much of its period on, and while it explains so much of a job's
# variance. With less the first waves of a day were off by 0.9, a trend by 0.5.
SPAN_MIN_RATIO = 0.8
KNOWN_SPAN_MIN_RATIO = 0.4
EXPLAINED_MIN = 0.6
# Weight against large waves, in full bins: a few readings fit many waves.
AMPLITUDE_WEIGHT = 0.15
# A trend is taken from the bins of this long a span, and extended this far. Its weight
# against steep trends is in full bins x s².
TREND_SPAN_S = 1.8
TREND_AHEAD_S = 1.0
TREND_WEIGHT = 1.0
# A trend holds for so many readings: each of them asks for it five times, and it moves
# little by one. Working it out each time was half of the cost of a report.
TREND_EVERY = FULL_BIN
# How much of what the last bins differ from the wave goes on, and for how long.
REST_RATIO = 0.5
REST_FADES_S = 1.5
# A job with no bin for so long is forgotten.
FORGET_AFTER_S = 20.0
# Fewer readings than this do not show what a job's own slack is.
READINGS_MIN = 3
# Steps in which the lowest slack of a span is looked for.
LOOK_STEP_S = 0.5

# Sums over a job's bins for one period: weight, sin x cos, sin, cos, sin², cos², value,
# value x sin, value x cos, value².
Sums = list[float]
# A wave's level, and its factors of sine and cosine.
Wave = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Trend:
    """A straight line through a job's newest bins; ``slope`` is slack a second."""

    newest_s: float
    mean_s: float
    mean: float
    slope: float

    def at(self, at_s: float) -> float:
        """Return its value at a time, no further than it may be extended."""
        until_s = min(at_s, self.newest_s + TREND_AHEAD_S)
        return self.mean + self.slope * (until_s - self.mean_s)


@dataclass(slots=True)
class Track:
    """The own slack of one job over time."""

    first_s: float
    last_s: float
    open_at_s: float
    open_values: list[float] = field(default_factory=list)
    open_times_s: list[float] = field(default_factory=list)
    recent: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=5))
    sums: list[Sums] = field(
        default_factory=lambda: [[0.0] * 10 for _ in range(PERIOD_COUNT)]
    )
    # For the chosen period; nothing while the trend is the better guess.
    wave: Wave | None = None
    rest: float = 0.0
    readings: int = 0
    # Worked out again when so many readings have come, see ``TREND_EVERY``.
    trend: Trend | None = None
    trend_until: int = 0

    @property
    def span_s(self) -> float:
        """Return how long it has been read."""
        return self.last_s - self.first_s


class Swings:
    """The own slack of all jobs of a cell."""

    def __init__(self) -> None:
        """Start with no reading."""
        self._tracks: dict[str, Track] = {}
        self._choose_at_s = float("-inf")
        self._chosen: int | None = None

    @property
    def period_s(self) -> float | None:
        """Return the period that the jobs share, if one was found."""
        return None if self._chosen is None else PERIODS_S[self._chosen]

    def observe(self, job_id: str, value: float, at_s: float) -> None:
        """Take in a reading of a job's own slack, of a moment in local time."""
        track = self._tracks.get(job_id)
        if track is None:
            track = self._tracks[job_id] = Track(at_s, at_s, at_s)
        if track.open_values and at_s - track.open_at_s >= BIN_S:
            self._close_bin(track)
        if not track.open_values:
            track.open_at_s = at_s
        track.readings += 1
        track.open_values.append(value)
        track.open_times_s.append(at_s)

    def _close_bin(self, track: Track) -> None:
        value = statistics.median(track.open_values)
        at_s = statistics.fmean(track.open_times_s)
        weight = min(1.0, len(track.open_values) / FULL_BIN)
        kept = 0.5 ** (max(0.0, at_s - track.last_s) / HALF_LIFE_S)
        for sums, period_s in zip(track.sums, PERIODS_S, strict=True):
            _add(sums, period_s, at_s, value, weight, kept)
        track.recent.append((at_s, value))
        track.last_s = at_s
        track.open_values.clear()
        track.open_times_s.clear()
        self._fit(track)

    def _fit(self, track: Track) -> None:
        """Work out the wave of one job, or that there is none."""
        track.wave = None
        if self._chosen is None:
            return
        period_s = PERIODS_S[self._chosen]
        span_min_s = KNOWN_SPAN_MIN_RATIO * period_s
        if track.span_s < span_min_s:
            return
        sums = track.sums[self._chosen]
        wave = _solve(sums)
        if _explained(sums, wave) < EXPLAINED_MIN:
            return
        track.wave = wave
        rests = [value - _at(wave, period_s, at_s) for at_s, value in track.recent]
        track.rest = REST_RATIO * statistics.fmean(rests[-2:]) if rests else 0.0

    def choose(self, now_s: float) -> None:
        """Choose the period again, if the last time was long ago."""
        if now_s < self._choose_at_s:
            return
        self._choose_at_s = now_s + CHOOSE_EVERY_S
        for job_id, track in list(self._tracks.items()):
            if now_s - max(track.last_s, track.open_at_s) > FORGET_AFTER_S:
                del self._tracks[job_id]
        tracks = sorted(
            self._tracks.values(), key=lambda track: track.sums[0][0], reverse=True
        )[:CHOOSE_JOBS_MAX]
        chosen = _best_period(tracks)
        if chosen is None or chosen == self._chosen:
            return
        self._chosen = chosen
        for track in self._tracks.values():
            self._fit(track)

    def known(self, job_id: str) -> bool:
        """Tell whether a job's wave is known, not only its recent trend."""
        track = self._tracks.get(job_id)
        return track is not None and track.wave is not None

    def expected(self, job_id: str, at_s: float) -> float | None:
        """Return a job's own slack at a time; nothing with few readings of it."""
        track = self._tracks.get(job_id)
        if track is None or track.readings < READINGS_MIN:
            return None
        if track.wave is not None and self._chosen is not None:
            ahead_s = max(0.0, at_s - track.last_s)
            rest = track.rest * math.exp(-ahead_s / REST_FADES_S)
            return _at(track.wave, PERIODS_S[self._chosen], at_s) + rest
        if track.readings >= track.trend_until:
            track.trend = _trend_of(track)
            track.trend_until = track.readings + TREND_EVERY
        return track.trend.at(at_s) if track.trend is not None else None

    def lowest(self, job_id: str, from_s: float, to_s: float) -> float | None:
        """Return the lowest own slack that is expected in a span of time."""
        lowest = self.expected(job_id, from_s)
        at_s = from_s + LOOK_STEP_S
        while lowest is not None and at_s <= to_s:
            later = self.expected(job_id, at_s)
            if later is not None:
                lowest = min(lowest, later)
            at_s += LOOK_STEP_S
        return lowest

    def inherit(self, period_s: float) -> None:
        """
        Begin with the period that an earlier holder found.

        Not with its waves: a record is read up to seconds after it was written, and
        waves that are off by a second cost the callers of a day with changes of the
        holder 0.035 of what they were owed.
        """
        self._chosen = min(
            range(PERIOD_COUNT), key=lambda n: abs(PERIODS_S[n] - period_s)
        )


def _add(
    sums: Sums, period_s: float, at_s: float, value: float, weight: float, kept: float
) -> None:
    angle = 2 * math.pi * at_s / period_s
    sine, cosine = math.sin(angle), math.cos(angle)
    sums[0] = sums[0] * kept + weight
    sums[1] = sums[1] * kept + weight * sine * cosine
    sums[2] = sums[2] * kept + weight * sine
    sums[3] = sums[3] * kept + weight * cosine
    sums[4] = sums[4] * kept + weight * sine * sine
    sums[5] = sums[5] * kept + weight * cosine * cosine
    sums[6] = sums[6] * kept + weight * value
    sums[7] = sums[7] * kept + weight * value * sine
    sums[8] = sums[8] * kept + weight * value * cosine
    sums[9] = sums[9] * kept + weight * value * value


def _solve(sums: Sums) -> Wave:
    """Return the wave that fits a job's bins best, by Cramer's rule."""
    n, sc, s, c, ss, cc, y, ys, yc, _ = sums
    ss += AMPLITUDE_WEIGHT
    cc += AMPLITUDE_WEIGHT
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


def _left(sums: Sums, wave: Wave) -> float:
    """Return the sum of squares that a wave leaves unexplained."""
    return max(0.0, sums[9] - wave[0] * sums[6] - wave[1] * sums[7] - wave[2] * sums[8])


def _variance(sums: Sums) -> float:
    return max(1e-9, sums[9] - sums[6] * sums[6] / sums[0]) if sums[0] else 1e-9


def _explained(sums: Sums, wave: Wave) -> float:
    return 1 - _left(sums, wave) / _variance(sums)


def _best_period(tracks: list[Track]) -> int | None:
    """
    Return the period that leaves least unexplained, if that is enough.

    Guards against a period that is too short: a part of a long wave looks like a whole
    short one. All periods compete, and the best waits until the readings span it.
    """
    best: tuple[float, int] | None = None
    for number in range(PERIOD_COUNT):
        variance = sum(_variance(track.sums[number]) for track in tracks)
        left = sum(_left(t.sums[number], _solve(t.sums[number])) for t in tracks)
        if variance and (best is None or left / variance < best[0]):
            best = (left / variance, number)
    if best is None or best[0] > 1 - EXPLAINED_MIN:
        return None
    span_min_s = SPAN_MIN_RATIO * PERIODS_S[best[1]]
    spanned = sum(track.span_s >= span_min_s for track in tracks)
    return best[1] if 2 * spanned >= len(tracks) else None


def _at(wave: Wave, period_s: float, at_s: float) -> float:
    angle = 2 * math.pi * at_s / period_s
    return wave[0] + wave[1] * math.sin(angle) + wave[2] * math.cos(angle)


def _trend_of(track: Track) -> Trend | None:
    """Return the trend of a job's newest bins, the open one included."""
    bins = list(track.recent)
    count = len(track.open_values)
    if count:
        value = statistics.median(track.open_values)
        bins.append((sum(track.open_times_s) / count, value))
    if not bins:
        return None
    newest_s = bins[-1][0]
    bins = [entry for entry in bins if newest_s - entry[0] <= TREND_SPAN_S]
    mean_s = sum(entry[0] for entry in bins) / len(bins)
    mean = sum(entry[1] for entry in bins) / len(bins)
    across = sum((s - mean_s) * (value - mean) for s, value in bins)
    spread = sum((s - mean_s) ** 2 for s, _ in bins) + TREND_WEIGHT
    return Trend(newest_s, mean_s, mean, across / spread)
