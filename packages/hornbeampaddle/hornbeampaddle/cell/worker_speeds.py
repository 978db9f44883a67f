"""Tell workers whose tasks take longer than those of their steps elsewhere."""

import math
from dataclasses import dataclass, field

# Tasks of which a worker's speed is told, and the weight that older ones keep.
TASKS_MIN = 3.0
TASKS_WEIGHT_MAX = 12.0
# Ratio of its tasks' run times to those elsewhere from which a worker is slow: above
# the usual spread of a few tasks.
SLOW_RATIO = 1.5
# The least number of tasks of a step that are compared.
COMPARED_MIN = 3
# A service's workers, and those that replaced others lately.
WORKERS_MAX = 1024


@dataclass(slots=True)
class WorkerSpeeds:
    """The mean logarithm of each worker's run times over those of the same steps."""

    _sums: dict[str, float] = field(default_factory=dict)
    _weights: dict[str, float] = field(default_factory=dict)

    def observe(self, worker: str, ratio: float, compared: int) -> None:
        """Take the ratio of a task's work to the median of ``compared`` tasks."""
        if compared < COMPARED_MIN:
            return
        weight = self._weights.get(worker, 0.0)
        if not weight and len(self._weights) >= WORKERS_MAX:
            oldest = next(iter(self._weights))
            del self._weights[oldest], self._sums[oldest]
        keep = min(1.0, TASKS_WEIGHT_MAX / (weight + 1))
        self._weights[worker] = keep * (weight + 1)
        self._sums[worker] = keep * (self._sums.get(worker, 0.0) + math.log(ratio))

    def slow(self, worker: str) -> bool:
        """Return whether a worker's tasks were seen to take longer than elsewhere."""
        weight = self._weights.get(worker, 0.0)
        if weight < TASKS_MIN:
            return False
        return self._sums[worker] > weight * math.log(SLOW_RATIO)
