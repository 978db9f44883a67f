"""
Estimate from worker reports how much fillers slow down serving tasks.

The slack of a serving task is its latency target divided by its tail latency: 1 at the
target, more when the task is faster. As in a single-server queue, slack falls linearly
with the load of the task's users and with the CPU use of the fillers that interfere,
as a share of the worker. The slopes form two groups: near 0 for pairs of images that do
not interfere, several times the slack at the target for the others.

The tasks of one job share the load of its users, wherever they run. The part of the
slack that fillers do not explain, and that most of a job's tasks have in common, is
that load: the job's baseline slack, which its tasks have with no filler beside them.
Readings lose weight with age, since the slopes and the loads change.
"""

from dataclasses import dataclass, field

from .jobs import TaskKey
from .slack_forecast import SlackForecaster

# Half-life of a reading's weight.
HALF_LIFE_S = 25.0
# Interval between two fits; readings arrive every half second.
SOLVE_INTERVAL_S = 1.0
# Slope assumed for a pair of images without readings: a filler that uses a tenth of a
# worker takes 0.15 of slack, so a few of them may run where there is room, and give
# readings of the pair.
PRIOR_SLOPE = 1.5
# Weight of that prior, in squared worker shares: equal to a few seconds of readings
# with a filler that uses a tenth of a worker.
PRIOR_WEIGHT = 0.05
# Weight of a slope inherited from a previous holder: equal to about one second of that
# holder's readings, since slopes change.
INHERITED_WEIGHT = 0.6
# Baseline slack assumed for a job without readings: about one and a half times the
# slack at the target, as jobs have at their users' highest load.
PRIOR_BASELINE_SLACK = 1.6
# Ridge penalty on the constant term of a fit, which is the difference between the slack
# of an image's tasks and the baseline slack of their jobs.
CONSTANT_WEIGHT = 2.0
# A reading covers the last half second and is dated to its middle.
READING_AGE_S = 0.25
# Bounds to which slack is clamped; values beyond them mean only "far too little" or
# "plenty".
SLACK_MIN = 0.1
SLACK_MAX = 8.0
# Smaller slopes are noise of the fit and are treated as 0.
NOISE_SLOPE_MAX = 0.5
# Slope below which a pair of images counts as harmless: a worker full of such fillers
# takes less slack than one oscillation of its users' load.
HARMLESS_SLOPE_MAX = 1.0
# Filling images that two serving images must have in common to be compared.
SIMILARITY_IMAGES_MIN = 3
# Bounds on memory; images beyond them are treated by the prior.
SERVING_IMAGES_MAX = 64
FILLING_IMAGES_MAX = 64


@dataclass(slots=True)
class _Fit:
    """
    Least-squares fit for one serving image, as normal equations.

    The unknowns are a constant and one slope for each filling image.
    """

    columns: dict[str, int] = field(default_factory=dict)
    matrix: list[list[float]] = field(default_factory=lambda: [[0.0]])
    right: list[float] = field(default_factory=lambda: [0.0])
    slopes: dict[str, float] = field(default_factory=dict)
    # Slopes that a previous holder learned.
    inherited: dict[str, float] = field(default_factory=dict)

    def add(self, uses: dict[str, float], loss: float) -> None:
        entries = [(0, 1.0)]
        for image, use in uses.items():
            column = self._column(image)
            if column:
                entries.append((column, use))
        for row, left in entries:
            target = self.matrix[row]
            for column, right in entries:
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
        """Return all slopes, including those that are only inherited."""
        return {**self.inherited, **self.slopes}

    def solve(self, decay: float) -> None:
        """Multiply the weight of all readings by a factor and fit again."""
        size = len(self.right)
        for row in self.matrix:
            for column in range(size):
                row[column] *= decay
        self.right = [value * decay for value in self.right]
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
    """
    Solve a positive definite linear system by Gaussian elimination.

    Both arguments are overwritten.
    """
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
    """The slack of one task: its latency target over its tail latency."""

    key: TaskKey
    image: str
    slack: float


class Interference:
    """The interference model of all pairs of serving and filling images."""

    def __init__(self) -> None:
        """Start with the prior only."""
        self._fits: dict[str, _Fit] = {}
        self._solved_at_s = float("-inf")
        # Cache of similarities, cleared when the fits change.
        self._similarities: dict[tuple[str, str], float] = {}
        self.forecaster = SlackForecaster()

    def observe(
        self, readings: list[Reading], uses: dict[str, float], now_s: float
    ) -> None:
        """
        Add the readings of the serving tasks on one worker.

        ``uses`` is the CPU use of each filling image there, as a share of the worker's
        capacity.
        """
        at_s = now_s - READING_AGE_S
        for reading in readings:
            job_id = reading.key.job_id
            slack = min(SLACK_MAX, max(SLACK_MIN, reading.slack))
            baseline_slack = self.forecaster.expected(job_id, at_s)
            if baseline_slack is not None:
                fit = self._fit(reading.image)
                if fit is not None:
                    fit.add(uses, baseline_slack - slack)
            alone = slack + self.slack_loss(reading.image, uses)
            self.forecaster.observe(job_id, alone, at_s)

    def _fit(self, serving: str) -> _Fit | None:
        fit = self._fits.get(serving)
        if fit is None and len(self._fits) < SERVING_IMAGES_MAX:
            fit = self._fits[serving] = _Fit()
        return fit

    def slack_loss(self, serving: str, uses: dict[str, float]) -> float:
        """Return the slack that fillers take from a serving image."""
        return sum(self.slope(serving, image) * use for image, use in uses.items())

    def baseline_slack(self, job_id: str, from_s: float, ahead_s: float = 0.0) -> float:
        """Return the lowest expected baseline slack of a job in a time span."""
        baseline_slack = self.forecaster.lowest(job_id, from_s, from_s + ahead_s)
        return PRIOR_BASELINE_SLACK if baseline_slack is None else baseline_slack

    def solve(self, now_s: float) -> None:
        """Update the forecasts and the fits, if they are due."""
        self.forecaster.choose(now_s)
        if now_s < self._solved_at_s + SOLVE_INTERVAL_S:
            return
        elapsed_s = min(SOLVE_INTERVAL_S * 5, now_s - self._solved_at_s)
        self._solved_at_s = now_s
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for fit in self._fits.values():
            fit.solve(decay)
        self._similarities.clear()

    def slope(self, serving: str, filling: str) -> float:
        """Return the slack that a filler takes if it uses a whole worker."""
        known = self._known_slope(serving, filling)
        if known is None:
            return PRIOR_SLOPE
        return known if known >= NOISE_SLOPE_MAX else 0.0

    def _known_slope(self, serving: str, filling: str) -> float | None:
        fit = self._fits.get(serving)
        if fit is None:
            return None
        return fit.slopes.get(filling, fit.inherited.get(filling))

    def harmless(self, serving: str, filling: str) -> bool:
        """Return whether a filling image is known to affect a serving one little."""
        known = self._known_slope(serving, filling)
        return known is not None and known < HARMLESS_SLOPE_MAX

    def similarity(self, left: str, right: str) -> float:
        """
        Return the share of filling images that affect two serving images alike, 0 to 1.

        It is 0 for images with too few learned slopes in common.
        """
        if left == right:
            return 1.0
        similarity = self._similarities.get((left, right))
        if similarity is None:
            similarity = self._compare(left, right)
            self._similarities[left, right] = self._similarities[right, left] = (
                similarity
            )
        return similarity

    def _compare(self, left: str, right: str) -> float:
        fillers = self._filling_images(left) & self._filling_images(right)
        if len(fillers) < SIMILARITY_IMAGES_MIN:
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
        """Return the learned slopes by serving and filling image, for log and store."""
        return {
            serving: {image: round(slope, 1) for image, slope in fit.known().items()}
            for serving, fit in self._fits.items()
        }

    def inherit(self, table: dict[str, dict[str, float]]) -> None:
        """Start with the slopes that a previous holder stored."""
        for serving, slopes in list(table.items())[:SERVING_IMAGES_MAX]:
            self._fits[serving] = _Fit(inherited=dict(slopes))
