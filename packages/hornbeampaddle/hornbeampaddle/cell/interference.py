"""
Learn how much fillers disturb tasks that serve, from the reports alone.

For each image that serves, the logarithm of tail over target is fitted to the
processor use of each filling image beside it, as a share of the worker. A fit
of that form explains a third of the variance of tails, and it tells the one
pair in three that disturbs (slope 5 to 9) from those that do not (slope near 0).
Readings count less as they age, since the amounts change.

The tasks of one job share the load of its users, wherever they run. What the
fillers do not explain, in most of a job's tasks alike, is that load: its own
level. It is taken off before the slopes are fitted.
"""

import math
from dataclasses import dataclass, field

from .jobs import TaskKey

# A reading loses half of its weight in about this many seconds.
HALF_LIFE_S = 25.0
# The fit is solved again after so long; readings come every half second.
SOLVE_EVERY_S = 1.0
# Slope of a pair that has not been seen, less the noise: two fillers of a tenth
# of a worker each may try it out there, no more.
PRIOR_SLOPE = 1.0
# Weight of that prior, in units of squared shares: about 20 readings of a
# filler that uses a tenth of a worker.
PRIOR_WEIGHT = 0.15
# Weight of a slope that an earlier holder had learned: about a second of its
# readings, since the amounts change.
INHERITED_WEIGHT = 0.6
# A serving image with no reading is taken to be at this share of its target.
PRIOR_LEVEL = math.log(0.4)
# The level of a fit is what a task's tail differs from its job's by itself.
LEVEL_WEIGHT = 2.0
# Readings of a job's tasks count for its own level while they are this young:
# two reports.
OWN_AGE_S = 1.8
# The own level is low among the tasks' residuals: a disturbance that the fit
# has not learned raises some of them, the users' load raises all.
OWN_QUANTILE = 0.3
# Fewer readings than this do not show that a job is over its target by itself.
OWN_READINGS_MIN = 3
# Tails beyond this say only "far too much": near saturation they grow without
# bound, and one such reading would outweigh a hundred others.
LEVEL_MAX = math.log(2.5)
LEVEL_MIN = math.log(0.1)
# The noise of a fitted slope; harmless pairs come out between 0 and this.
SLOPE_NOISE = 0.7
# Bounds on memory: images beyond these are treated by the prior.
SERVING_IMAGES_MAX = 64
FILLING_IMAGES_MAX = 64


@dataclass(slots=True)
class _Fit:
    """Normal equations of one serving image: a level and a slope a filler."""

    columns: dict[str, int] = field(default_factory=dict)
    matrix: list[list[float]] = field(default_factory=lambda: [[0.0]])
    right: list[float] = field(default_factory=lambda: [0.0])
    level: float = 0.0
    slopes: dict[str, float] = field(default_factory=dict)
    # What an earlier holder had learned.
    inherited: dict[str, float] = field(default_factory=dict)

    def add(self, uses: dict[str, float], level: float) -> None:
        cells = [(0, 1.0)]
        for image, use in uses.items():
            column = self._column(image)
            if column:
                cells.append((column, use))
        for row, left in cells:
            target = self.matrix[row]
            for column, right in cells:
                target[column] += left * right
            self.right[row] += left * level

    def _column(self, image: str) -> int:
        column = self.columns.get(image)
        if column is not None:
            return column
        if len(self.columns) >= FILLING_IMAGES_MAX:
            return 0
        column = len(self.columns) + 1
        self.columns[image] = column
        for row in self.matrix:
            row.append(0.0)
        self.matrix.append([0.0] * (column + 1))
        self.right.append(0.0)
        return column

    def known(self) -> dict[str, float]:
        """Return all slopes, also those that were only inherited."""
        return {**self.inherited, **self.slopes}

    def solve(self, kept: float) -> None:
        """Age the readings by a factor and fit again."""
        size = len(self.right)
        for row in self.matrix:
            for column in range(size):
                row[column] *= kept
        self.right = [value * kept for value in self.right]
        matrix = [row[:] for row in self.matrix]
        right = self.right[:]
        matrix[0][0] += LEVEL_WEIGHT
        for image, column in self.columns.items():
            slope, weight = PRIOR_SLOPE, PRIOR_WEIGHT
            if image in self.inherited:
                slope, weight = self.inherited[image], INHERITED_WEIGHT
            matrix[column][column] += weight
            right[column] += weight * (slope + SLOPE_NOISE)
        values = solve_linear(matrix, right)
        self.level = values[0]
        for image, column in self.columns.items():
            self.slopes[image] = max(0.0, values[column] - SLOPE_NOISE)


def solve_linear(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve a positive definite system in place by elimination."""
    size = len(right)
    for pivot in range(size):
        row = matrix[pivot]
        for lower in range(pivot + 1, size):
            factor = matrix[lower][pivot] / row[pivot]
            if not factor:
                continue
            below = matrix[lower]
            for column in range(pivot, size):
                below[column] -= factor * row[column]
            right[lower] -= factor * right[pivot]
    values = [0.0] * size
    for pivot in range(size - 1, -1, -1):
        row = matrix[pivot]
        known = sum(row[c] * values[c] for c in range(pivot + 1, size))
        values[pivot] = (right[pivot] - known) / row[pivot]
    return values


@dataclass(frozen=True, slots=True)
class Reading:
    """The tail of one task: ``level`` is the logarithm of tail over target."""

    key: TaskKey
    image: str
    level: float


class Interference:
    """What is known of all pairs of serving and filling images."""

    def __init__(self) -> None:
        """Start with the prior alone."""
        self._fits: dict[str, _Fit] = {}
        self._solve_at_s = float("-inf")
        self._residuals: dict[str, dict[TaskKey, tuple[float, float]]] = {}

    def observe(
        self, readings: list[Reading], uses: dict[str, float], now_s: float
    ) -> None:
        """
        Take in the tails on one worker.

        ``uses`` is the processor use of each filling image there, as a share of
        the worker's capacity.
        """
        for reading in readings:
            level = min(LEVEL_MAX, max(LEVEL_MIN, reading.level))
            own, count = self.own(reading.key.job_id, now_s)
            if count >= OWN_READINGS_MIN:
                fit = self._fit(reading.image)
                if fit is not None:
                    fit.add(uses, level - own)
            residual = level - self.pressure(reading.image, uses)
            rows = self._residuals.setdefault(reading.key.job_id, {})
            rows[reading.key] = (now_s, residual)

    def _fit(self, serving: str) -> _Fit | None:
        fit = self._fits.get(serving)
        if fit is None and len(self._fits) < SERVING_IMAGES_MAX:
            fit = self._fits[serving] = _Fit()
        return fit

    def pressure(self, serving: str, uses: dict[str, float]) -> float:
        """Return by how much fillers raise the level of a serving image."""
        return sum(self.slope(serving, image) * use for image, use in uses.items())

    def own(self, job_id: str, now_s: float) -> tuple[float, int]:
        """Return a job's own level, and from how many readings it comes."""
        rows = self._residuals.get(job_id)
        if not rows:
            return PRIOR_LEVEL, 0
        fresh = sorted(r for at_s, r in rows.values() if now_s - at_s < OWN_AGE_S)
        if not fresh:
            return PRIOR_LEVEL, 0
        return fresh[int(OWN_QUANTILE * (len(fresh) - 1))], len(fresh)

    def solve(self, now_s: float) -> None:
        """Fit again, if the last time was long ago."""
        if now_s < self._solve_at_s + SOLVE_EVERY_S:
            return
        passed_s = min(SOLVE_EVERY_S * 5, now_s - self._solve_at_s)
        self._solve_at_s = now_s
        kept = 0.5 ** (passed_s / HALF_LIFE_S)
        for fit in self._fits.values():
            fit.solve(kept)
        self._forget_old(now_s)

    def _forget_old(self, now_s: float) -> None:
        for job_id, rows in list(self._residuals.items()):
            for key, (at_s, _) in list(rows.items()):
                if now_s - at_s > OWN_AGE_S:
                    del rows[key]
            if not rows:
                del self._residuals[job_id]

    def slope(self, serving: str, filling: str) -> float:
        """Return how fast that logarithm grows with the filler's share."""
        fit = self._fits.get(serving)
        if fit is None:
            return PRIOR_SLOPE
        known = fit.slopes.get(filling)
        return known if known is not None else fit.inherited.get(filling, PRIOR_SLOPE)

    def table(self) -> dict[str, dict[str, float]]:
        """Return the slopes that were learned, to be logged or stored."""
        return {
            serving: {image: round(slope, 1) for image, slope in fit.known().items()}
            for serving, fit in self._fits.items()
        }

    def inherit(self, table: dict[str, dict[str, float]]) -> None:
        """Begin with the slopes that an earlier holder stored."""
        for serving, slopes in list(table.items())[:SERVING_IMAGES_MAX]:
            self._fits[serving] = _Fit(inherited=dict(slopes))
