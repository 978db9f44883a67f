"""
Learn how much fillers disturb tasks that serve, from the reports alone.

The slack of a serving task is its target over its tail: 1 at the target, more when
it does better. As in a queue with one server it falls in proportion to the load of
the task's users and to the processor use of the fillers that disturb it, taken as a
share of the worker. The slopes fall into two groups: near 0 for the pairs of images
that do not disturb, several times the slack at the target for the others.

The tasks of one job share the load of its users, wherever they run. What the
fillers do not explain, in most of a job's tasks alike, is that load: the job's own
slack, which it would have with no filler beside it. Readings count less as they age,
since the amounts change.
"""

from dataclasses import dataclass, field

from .jobs import TaskKey
from .swings import Swings

# A reading loses half of its weight in about this many seconds.
HALF_LIFE_S = 25.0
# The fit is solved again after so long; readings come every half second.
SOLVE_EVERY_S = 1.0
# Slope of a pair that has not been seen: a filler of a tenth of a worker takes 0.15 of
# slack, so a few of them may try a pair out where there is room.
PRIOR_SLOPE = 1.5
# Weight of that prior, in units of squared shares: a few seconds of a filler that uses
# a tenth of a worker.
PRIOR_WEIGHT = 0.05
# Weight of a slope that an earlier holder had learned: about a second of its
# readings, since the amounts change.
INHERITED_WEIGHT = 0.6
# A job with no reading is taken to have this slack: half as much again as its target,
# where the users' jobs are at their highest load.
PRIOR_OWN = 1.6
# Weight of the constant part of a fit, by which an image's tasks differ from what
# their jobs' own slack says.
CONSTANT_WEIGHT = 2.0
# A reading is a figure of the last half second: of its middle.
READING_AGE_S = 0.25
# Slack beyond these bounds says only "far too little" or "plenty".
SLACK_MIN = 0.1
SLACK_MAX = 8.0
# Smaller slopes are the noise of the fit, and count as none.
SLOPE_NOISE = 0.5
# A pair with a smaller slope counts as harmless: a worker full of such fillers takes
# less slack than one swing of its users' load.
HARMLESS_SLOPE = 1.0
# Two serving images are compared by at least so many filling images.
LIKENESS_IMAGES_MIN = 3
# Bounds on memory: images beyond these are treated by the prior.
SERVING_IMAGES_MAX = 64
FILLING_IMAGES_MAX = 64


@dataclass(slots=True)
class _Fit:
    """Normal equations of one serving image: a constant and a slope a filler."""

    columns: dict[str, int] = field(default_factory=dict)
    matrix: list[list[float]] = field(default_factory=lambda: [[0.0]])
    right: list[float] = field(default_factory=lambda: [0.0])
    slopes: dict[str, float] = field(default_factory=dict)
    # What an earlier holder had learned.
    inherited: dict[str, float] = field(default_factory=dict)

    def add(self, uses: dict[str, float], loss: float) -> None:
        cells = [(0, 1.0)]
        for image, use in uses.items():
            column = self._column(image)
            if column:
                cells.append((column, use))
        for row, left in cells:
            target = self.matrix[row]
            for column, right in cells:
                target[column] += left * right
            self.right[row] += left * loss

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
        matrix[0][0] += CONSTANT_WEIGHT
        for image, column in self.columns.items():
            slope, weight = PRIOR_SLOPE, PRIOR_WEIGHT
            if image in self.inherited:
                slope, weight = self.inherited[image], INHERITED_WEIGHT
            matrix[column][column] += weight
            right[column] += weight * slope
        values = solve_linear(matrix, right)
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


@dataclass(frozen=True, slots=True)
class Reading:
    """The tail of one task: ``slack`` is its target over its tail."""

    key: TaskKey
    image: str
    slack: float


class Interference:
    """What is known of all pairs of serving and filling images."""

    def __init__(self) -> None:
        """Start with the prior alone."""
        self._fits: dict[str, _Fit] = {}
        self._solve_at_s = float("-inf")
        # Worked out when first asked for, until the fits change.
        self._likeness: dict[tuple[str, str], float] = {}
        self.swings = Swings()

    def observe(
        self, readings: list[Reading], uses: dict[str, float], now_s: float
    ) -> None:
        """
        Take in the tails on one worker.

        ``uses`` is the processor use of each filling image there, as a share of
        the worker's capacity.
        """
        at_s = now_s - READING_AGE_S
        for reading in readings:
            job_id = reading.key.job_id
            slack = min(SLACK_MAX, max(SLACK_MIN, reading.slack))
            own = self.swings.expected(job_id, at_s)
            if own is not None:
                fit = self._fit(reading.image)
                if fit is not None:
                    fit.add(uses, own - slack)
            alone = slack + self.pressure(reading.image, uses)
            self.swings.observe(job_id, alone, at_s)

    def _fit(self, serving: str) -> _Fit | None:
        fit = self._fits.get(serving)
        if fit is None and len(self._fits) < SERVING_IMAGES_MAX:
            fit = self._fits[serving] = _Fit()
        return fit

    def pressure(self, serving: str, uses: dict[str, float]) -> float:
        """Return how much slack fillers take from a serving image."""
        return sum(self.slope(serving, image) * use for image, use in uses.items())

    def own(self, job_id: str, from_s: float, ahead_s: float = 0.0) -> float:
        """Return the lowest own slack that a job is expected to have in a span."""
        own = self.swings.lowest(job_id, from_s, from_s + ahead_s)
        return PRIOR_OWN if own is None else own

    def solve(self, now_s: float) -> None:
        """Fit again, if the last time was long ago."""
        self.swings.choose(now_s)
        if now_s < self._solve_at_s + SOLVE_EVERY_S:
            return
        passed_s = min(SOLVE_EVERY_S * 5, now_s - self._solve_at_s)
        self._solve_at_s = now_s
        kept = 0.5 ** (passed_s / HALF_LIFE_S)
        for fit in self._fits.values():
            fit.solve(kept)
        self._likeness.clear()

    def slope(self, serving: str, filling: str) -> float:
        """Return the slack that a filler takes for each worker that it fills."""
        known = self._known_slope(serving, filling)
        if known is None:
            return PRIOR_SLOPE
        return known if known >= SLOPE_NOISE else 0.0

    def _known_slope(self, serving: str, filling: str) -> float | None:
        fit = self._fits.get(serving)
        if fit is None:
            return None
        return fit.slopes.get(filling, fit.inherited.get(filling))

    def harmless(self, serving: str, filling: str) -> bool:
        """Tell whether a filling image is known to disturb a serving one little."""
        known = self._known_slope(serving, filling)
        return known is not None and known < HARMLESS_SLOPE

    def likeness(self, left: str, right: str) -> float:
        """
        Return how alike two serving images are in what disturbs them, 0 to 1.

        Images of which nothing is known are not alike.
        """
        if left == right:
            return 1.0
        likeness = self._likeness.get((left, right))
        if likeness is None:
            likeness = self._compare(left, right)
            self._likeness[left, right] = self._likeness[right, left] = likeness
        return likeness

    def _compare(self, left: str, right: str) -> float:
        fillers = self._filling_images(left) & self._filling_images(right)
        if len(fillers) < LIKENESS_IMAGES_MIN:
            return 0.0
        same = sum(
            self.harmless(left, filling) is self.harmless(right, filling)
            for filling in fillers
        )
        return same / len(fillers)

    def _filling_images(self, serving: str) -> set[str]:
        fit = self._fits.get(serving)
        return set(fit.known()) if fit is not None else set()

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
