"""Tell workers whose tasks take longer than those of their steps elsewhere."""

import math
import statistics
from collections import defaultdict
from dataclasses import dataclass, field

# Steps by which a worker's speed is told, and the weight that older ones keep.
STEPS_MIN = 3.0
STEPS_WEIGHT_MAX = 12.0
# Ratio of its tasks' run times to those elsewhere from which a worker is slow: above
# the usual spread of a few tasks.
SLOW_RATIO = 1.5
# The least number of tasks elsewhere that a worker's are compared with.
OTHERS_MIN = 2
# Workers of a step from which its median stands for all others'.
WORKERS_EACH_APART = 8
# A service's workers, and those that replaced others lately.
WORKERS_MAX = 1024


@dataclass(slots=True)
class WorkerSpeeds:
    """The mean logarithm of each worker's run times over those of the same steps."""

    _sums: dict[str, float] = field(default_factory=dict)
    _weights: dict[str, float] = field(default_factory=dict)

    def observe_step(self, works: list[tuple[float, str]]) -> None:
        """Take the work of a step's tasks, each with its worker."""
        by_worker: dict[str, list[float]] = defaultdict(list)
        for work_s, worker in works:
            by_worker[worker].append(work_s)
        overall_s = statistics.median(work_s for work_s, _ in works) if works else 0.0
        for worker, own_s in by_worker.items():
            others_s = overall_s
            if len(by_worker) < WORKERS_EACH_APART:
                # Guards against a slow worker that is compared with itself.
                apart = [work_s for work_s, other in works if other != worker]
                if len(apart) < OTHERS_MIN:
                    continue
                others_s = statistics.median(apart)
            if others_s > 0:
                self._observe(worker, statistics.median(own_s) / others_s)

    def _observe(self, worker: str, ratio: float) -> None:
        weight = self._weights.get(worker, 0.0)
        if not weight and len(self._weights) >= WORKERS_MAX:
            oldest = next(iter(self._weights))
            del self._weights[oldest], self._sums[oldest]
        keep = min(1.0, STEPS_WEIGHT_MAX / (weight + 1))
        self._weights[worker] = keep * (weight + 1)
        self._sums[worker] = keep * (self._sums.get(worker, 0.0) + math.log(ratio))

    def slow(self, worker: str) -> bool:
        """Return whether a worker's tasks were seen to take longer than elsewhere."""
        weight = self._weights.get(worker, 0.0)
        if weight < STEPS_MIN:
            return False
        return self._sums[worker] > weight * math.log(SLOW_RATIO)
