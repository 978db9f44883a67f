"""
Forecast how much CPU fillers can use on a worker over the next period of user load.

Fillers of an image can use a worker as far as every serving task there keeps enough
slack, and that slack oscillates with the load of the tasks' users. A worker whose tasks
oscillate in phase has room for fillers half of the time; where each task has a phase of
its own, one of them leaves no room at any time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .interference import PRIOR_BASELINE_SLACK, Interference
from .progress import JobState
from .workers import LASTING_USE_RATIO, PLACE_SLACK, WorkerState

# Number of points in time at which a period is sampled: enough to follow a sinusoid to
# within a few hundredths.
SAMPLE_COUNT = 8
# Length of the forecast while no period is known.
DEFAULT_PERIOD_S = 12.0
# Interference slope below which a serving image does not limit a filling image.
SLOPE_MIN = 0.05

# Job id and image of a serving task.
ServingKind = tuple[str, str]


@dataclass(slots=True)
class Outlook:
    """
    Forecast over the coming period for the filling images that wait for a worker.

    ``shares`` is the share of each image in the CPU that all waiting fillers need.
    """

    model: Interference
    shares: dict[str, float]
    now_s: float
    _sample_times_s: tuple[float, ...] = ()
    _room: dict[ServingKind, list[list[float]]] = field(default_factory=dict)
    _values: dict[tuple[tuple[ServingKind, ...], int, int], float] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Compute the sample times."""
        period_s = self.model.forecaster.period_s or DEFAULT_PERIOD_S
        step_s = period_s / SAMPLE_COUNT
        self._sample_times_s = tuple(
            self.now_s + n * step_s for n in range(SAMPLE_COUNT)
        )

    def value_millis(
        self, kinds: Iterable[ServingKind], capacity_millis: int, reserved_millis: int
    ) -> float:
        """
        Return the mean CPU that waiting fillers can use, in thousandths of a core.

        ``kinds`` are those of the worker's serving tasks; ``reserved_millis`` is what
        these reserve in total.
        """
        serving = tuple(sorted(set(kinds)))
        key = (serving, capacity_millis, reserved_millis)
        value = self._values.get(key)
        if value is None:
            value = self._compute_value(serving, capacity_millis, reserved_millis)
            self._values[key] = value
        return value

    def gain_millis(
        self, worker: WorkerState, kind: ServingKind, reserved_millis: int
    ) -> float:
        """Return the change of a worker's value by one more task, mostly negative."""
        kinds, before_millis = serving_on(worker)
        capacity_millis = worker.listing.capacity.cpu_millis
        after_millis = before_millis + reserved_millis
        after = self.value_millis([*kinds, kind], capacity_millis, after_millis)
        return after - self.value_millis(kinds, capacity_millis, before_millis)

    def _compute_value(
        self,
        serving: tuple[ServingKind, ...],
        capacity_millis: int,
        reserved_millis: int,
    ) -> float:
        spare = max(0.0, capacity_millis - LASTING_USE_RATIO * reserved_millis)
        if not serving:
            return spare
        rooms = [self._room_of(kind) for kind in serving]
        spare_ratio = spare / capacity_millis
        total = 0.0
        for number, share in enumerate(self.shares.values()):
            columns = [room[number] for room in rooms]
            if len(columns) == 1:
                open_sum = sum(min(spare_ratio, x) for x in columns[0])
            else:
                open_sum = sum(
                    min(spare_ratio, *xs) for xs in zip(*columns, strict=True)
                )
            total += share * open_sum
        return total / SAMPLE_COUNT * capacity_millis

    def _room_of(self, kind: ServingKind) -> list[list[float]]:
        """Return the worker share that each filling image may use, by sample time."""
        room = self._room.get(kind)
        if room is None:
            job_id, image = kind
            left = [
                max(0.0, baseline_slack - PLACE_SLACK)
                for baseline_slack in self._baseline_slacks(job_id)
            ]
            room = []
            for filling in self.shares:
                slope = self.model.slope(image, filling)
                if slope < SLOPE_MIN:
                    room.append([math.inf] * SAMPLE_COUNT)
                else:
                    room.append([slack / slope for slack in left])
            self._room[kind] = room
        return room

    def _baseline_slacks(self, job_id: str) -> list[float]:
        forecaster = self.model.forecaster
        if not forecaster.known(job_id):
            return [PRIOR_BASELINE_SLACK] * SAMPLE_COUNT
        values = [forecaster.expected(job_id, at_s) for at_s in self._sample_times_s]
        return [PRIOR_BASELINE_SLACK if value is None else value for value in values]


def serving_on(worker: WorkerState) -> tuple[list[ServingKind], int]:
    """Return the kinds of a worker's serving tasks and their total reserved CPU."""
    serving = [run for run in worker.runs.values() if run.step.tail_target_s]
    kinds = [(run.key.job_id, run.step.image) for run in serving]
    return kinds, sum(run.charge.cpu_millis for run in serving)


def waiting_shares(jobs: Iterable[JobState]) -> dict[str, float]:
    """Return the share of each image in the CPU that all waiting fillers need."""
    needs: dict[str, float] = {}
    for state in jobs:
        if state.status.final:
            continue
        for steps in state.occurrences.values():
            for step in steps:
                if step.step.filler and step.ready_at_s is not None:
                    image = step.step.image
                    millis = step.step.need.cpu_millis * len(step.waiting())
                    needs[image] = needs.get(image, 0.0) + millis
    total = sum(needs.values())
    return {image: millis / total for image, millis in needs.items() if millis}
