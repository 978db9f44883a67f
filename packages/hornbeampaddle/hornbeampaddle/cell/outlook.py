"""
Work out how many processors a worker opens to fillers over the next swing of its users.

A worker is open to a filling image as far as every serving task keeps enough slack,
and their slack swings with their users' load. A worker whose tasks swing together is
open for half of the time; where each swings at a time of its own, one of them always
closes it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .interference import PRIOR_OWN, Interference
from .progress import JobState
from .workers import LASTING_USE_RATIO, PLACE_SLACK, WorkerState

# Moments of a swing that are looked at: a wave is followed to within a few hundredths.
MOMENT_COUNT = 8
# The span that is looked at while no period is known.
USUAL_PERIOD_S = 12.0
# A pair with a smaller slope does not close a worker.
SLOPE_MIN = 0.05

# A job and the image of its serving tasks.
Kind = tuple[str, str]


@dataclass(slots=True)
class Outlook:
    """The coming swing, for the filling images that wait, by their share."""

    model: Interference
    shares: dict[str, float]
    now_s: float
    _moments_s: tuple[float, ...] = ()
    _room: dict[Kind, list[list[float]]] = field(default_factory=dict)
    _values: dict[tuple[tuple[Kind, ...], int, int], float] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Choose the moments."""
        period_s = self.model.swings.period_s or USUAL_PERIOD_S
        step_s = period_s / MOMENT_COUNT
        self._moments_s = tuple(self.now_s + n * step_s for n in range(MOMENT_COUNT))

    def value_millis(
        self, kinds: Iterable[Kind], capacity_millis: int, reserved_millis: int
    ) -> float:
        """
        Return the mean of the processors that a worker opens to the waiting fillers.

        ``kinds`` are those of its serving tasks, which reserve so much together.
        """
        serving = tuple(sorted(set(kinds)))
        key = (serving, capacity_millis, reserved_millis)
        value = self._values.get(key)
        if value is None:
            value = self._work_out(serving, capacity_millis, reserved_millis)
            self._values[key] = value
        return value

    def gain_millis(
        self, worker: WorkerState, kind: Kind, reserved_millis: int
    ) -> float:
        """Return how much more a worker opens with another task; mostly below zero."""
        kinds, before_millis = serving_on(worker)
        capacity_millis = worker.listing.capacity.cpu_millis
        after_millis = before_millis + reserved_millis
        after = self.value_millis([*kinds, kind], capacity_millis, after_millis)
        return after - self.value_millis(kinds, capacity_millis, before_millis)

    def _work_out(
        self, serving: tuple[Kind, ...], capacity_millis: int, reserved_millis: int
    ) -> float:
        spare = max(0.0, capacity_millis - LASTING_USE_RATIO * reserved_millis)
        if not serving:
            return spare
        rooms = [self._room_of(kind) for kind in serving]
        most = spare / capacity_millis
        total = 0.0
        for number, share in enumerate(self.shares.values()):
            columns = [room[number] for room in rooms]
            if len(columns) == 1:
                open_sum = sum(min(most, x) for x in columns[0])
            else:
                open_sum = sum(min(most, *xs) for xs in zip(*columns, strict=True))
            total += share * open_sum
        return total / MOMENT_COUNT * capacity_millis

    def _room_of(self, kind: Kind) -> list[list[float]]:
        """Return the share of a worker that each filling image may use, by moment."""
        room = self._room.get(kind)
        if room is None:
            job_id, image = kind
            left = [max(0.0, own - PLACE_SLACK) for own in self._own(job_id)]
            room = []
            for filling in self.shares:
                slope = self.model.slope(image, filling)
                if slope < SLOPE_MIN:
                    room.append([math.inf] * MOMENT_COUNT)
                else:
                    room.append([slack / slope for slack in left])
            self._room[kind] = room
        return room

    def _own(self, job_id: str) -> list[float]:
        swings = self.model.swings
        if not swings.known(job_id):
            return [PRIOR_OWN] * MOMENT_COUNT
        values = [swings.expected(job_id, at_s) for at_s in self._moments_s]
        return [PRIOR_OWN if value is None else value for value in values]


def serving_on(worker: WorkerState) -> tuple[list[Kind], int]:
    """Return the kinds of a worker's serving tasks, and what they reserve together."""
    serving = [run for run in worker.runs.values() if run.step.tail_target_s]
    kinds = [(run.key.job_id, run.step.image) for run in serving]
    return kinds, sum(run.charge.cpu_millis for run in serving)


def waiting_shares(jobs: Iterable[JobState]) -> dict[str, float]:
    """Return the images of the fillers that wait, each with its share of their need."""
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
