"""
Learn how much fillers disturb tasks that serve, from the reports alone.

For each image that serves, the logarithm of tail over target is fitted to the
processor use of each filling image beside it, as a share of the worker. A fit
of that form explains a third of the variance of tails, and it tells the one
pair in three that disturbs (slope 5 to 9) from those that do not (slope near 0).
Readings count less as they age, since the amounts change.
"""

import math
from dataclasses import dataclass, field

# A reading loses half of its weight in about this many seconds.
HALF_LIFE_S = 25.0
# The fit is solved again after so long; readings come every half second.
SOLVE_EVERY_S = 1.0
# Slope of a pair that has not been seen: enough to prefer pairs that are known
# to be harmless, too little to shut out a new image.
PRIOR_SLOPE = 1.5
# Weight of that prior, in units of squared shares: about 20 readings of a
# filler that uses a tenth of a worker.
PRIOR_WEIGHT = 0.15
# A serving image with no reading is taken to be at this share of its target.
PRIOR_LEVEL = math.log(0.4)
LEVEL_WEIGHT = 2.0
# Tails beyond four times the target say only "far too much".
LEVEL_MAX = math.log(4.0)
LEVEL_MIN = math.log(0.02)
# Bounds on memory: images beyond these are treated by the prior.
SERVING_IMAGES_MAX = 64
FILLING_IMAGES_MAX = 64


@dataclass(slots=True)
class _Fit:
    """Normal equations of one serving image: a level and a slope a filler."""

    columns: dict[str, int] = field(default_factory=dict)
    matrix: list[list[float]] = field(default_factory=lambda: [[0.0]])
    right: list[float] = field(default_factory=lambda: [0.0])
    level: float = PRIOR_LEVEL
    slopes: dict[str, float] = field(default_factory=dict)

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
        right[0] += LEVEL_WEIGHT * PRIOR_LEVEL
        for column in range(1, size):
            matrix[column][column] += PRIOR_WEIGHT
            right[column] += PRIOR_WEIGHT * PRIOR_SLOPE
        values = solve_linear(matrix, right)
        self.level = values[0]
        for image, column in self.columns.items():
            self.slopes[image] = max(0.0, values[column])


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


class Interference:
    """What is known of all pairs of serving and filling images."""

    def __init__(self) -> None:
        """Start with the prior alone."""
        self._fits: dict[str, _Fit] = {}
        self._solve_at_s = float("-inf")

    def observe(self, serving: str, uses: dict[str, float], ratio: float) -> None:
        """
        Take in one reading.

        ``uses`` is the processor use of each filling image on the worker, as a
        share of its capacity; ``ratio`` is the tail over its target.
        """
        fit = self._fits.get(serving)
        if fit is None:
            if len(self._fits) >= SERVING_IMAGES_MAX:
                return
            fit = self._fits[serving] = _Fit()
        level = math.log(max(ratio, 1e-6))
        fit.add(uses, min(LEVEL_MAX, max(LEVEL_MIN, level)))

    def solve(self, now_s: float) -> None:
        """Fit again, if the last time was long ago."""
        if now_s < self._solve_at_s + SOLVE_EVERY_S:
            return
        passed_s = min(SOLVE_EVERY_S * 5, now_s - self._solve_at_s)
        self._solve_at_s = now_s
        kept = 0.5 ** (passed_s / HALF_LIFE_S)
        for fit in self._fits.values():
            fit.solve(kept)

    def level(self, serving: str) -> float:
        """Return the usual logarithm of tail over target with no filler."""
        fit = self._fits.get(serving)
        return fit.level if fit is not None else PRIOR_LEVEL

    def slope(self, serving: str, filling: str) -> float:
        """Return how fast that logarithm grows with the filler's share."""
        fit = self._fits.get(serving)
        if fit is None:
            return PRIOR_SLOPE
        return fit.slopes.get(filling, PRIOR_SLOPE)

    def table(self) -> dict[str, dict[str, float]]:
        """Return the slopes that were learned, for the log."""
        return {
            serving: {image: round(slope, 1) for image, slope in fit.slopes.items()}
            for serving, fit in self._fits.items()
        }
