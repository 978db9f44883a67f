"""
Find candidate workers for a step without examining each worker again.

In a full cell, a decision places few tasks and finds no worker for dozens of steps. The
candidates are therefore computed once for each kind of step and cached.

Within a decision, free room only shrinks, so a cached result never omits a suitable
worker. It may include unsuitable ones: the caller checks exactly.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import takewhile

from ..resources import Resources
from .interference import Interference
from .jobs import Step
from .placing import FILLER_SPARE_RATIO, suits
from .workers import WorkerState

# Tolerance for rounding errors, in thousandths of a core; the caller checks exactly.
ROUNDING_MILLIS = 1.0


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """
    The usable workers of a service with a label.

    ``minimum`` is the capacity that each of them has at least.
    """

    workers: list[WorkerState]
    minimum: Resources


@dataclass(frozen=True, slots=True)
class WorkerHeadroom:
    """
    The largest filler of an image that a worker can accept.

    A filler that needs up to ``undisturbed_millis`` interferes with no serving task,
    and one that needs up to ``spare_millis`` finds spare CPU. Both are in thousandths
    of a core.
    """

    undisturbed_millis: float
    spare_millis: float
    worker: WorkerState


class Candidates:
    """The workers that one decision may use, with cached lookups by step."""

    def __init__(self, usable: list[WorkerState], model: Interference) -> None:
        """Store the workers; lookups are computed on first use."""
        self._usable = usable
        self._model = model
        self._groups: dict[tuple[str, str], WorkerGroup] = {}
        self._headrooms: dict[tuple[str, str, str], list[WorkerHeadroom]] = {}

    def suited(self, service: str, step: Step) -> list[WorkerState]:
        """Return the workers that could ever run a task of a step."""
        group = self._group(service, step)
        if step.need.fits_in(group.minimum):
            return group.workers
        return [worker for worker in group.workers if suits(step, worker)]

    def _group(self, service: str, step: Step) -> WorkerGroup:
        key = (service, step.worker_label)
        group = self._groups.get(key)
        if group is None:
            workers = [
                worker
                for worker in self._usable
                if worker.listing.service == service
                and (
                    not step.worker_label or step.worker_label in worker.listing.labels
                )
            ]
            group = self._groups[key] = WorkerGroup(workers, _minimum_of(workers))
        return group

    def accepting(self, service: str, step: Step) -> list[WorkerState]:
        """Return the workers where a filler does not interfere and has spare CPU."""
        needed = FILLER_SPARE_RATIO * step.need.cpu_millis - ROUNDING_MILLIS
        return [
            headroom.worker
            for headroom in self._undisturbed(service, step)
            if headroom.spare_millis >= needed
        ]

    def undisturbed_by(self, service: str, step: Step) -> Iterator[WorkerState]:
        """Return the workers where a filler does not interfere, busy or not."""
        return (headroom.worker for headroom in self._undisturbed(service, step))

    def _undisturbed(self, service: str, step: Step) -> Iterator[WorkerHeadroom]:
        minimum = step.need.cpu_millis - ROUNDING_MILLIS
        headrooms = self._headrooms_for(service, step)
        return takewhile(
            lambda headroom: headroom.undisturbed_millis >= minimum, headrooms
        )

    def _headrooms_for(self, service: str, step: Step) -> list[WorkerHeadroom]:
        """Return the filler headroom of each worker, the largest first."""
        key = (service, step.worker_label, step.image)
        headrooms = self._headrooms.get(key)
        if headrooms is None:
            workers = self._group(service, step).workers
            headrooms = [self._headroom_of(worker, step.image) for worker in workers]
            headrooms.sort(
                key=lambda headroom: headroom.undisturbed_millis, reverse=True
            )
            self._headrooms[key] = headrooms
        return headrooms

    def _headroom_of(self, worker: WorkerState, image: str) -> WorkerHeadroom:
        undisturbed_millis = 0.0
        if worker.over_since_s is None:
            room = worker.filler_headroom(image, self._model)
            undisturbed_millis = room.share * worker.listing.capacity.cpu_millis
        # Where no filler runs yet, one may use whatever the other tasks leave.
        spare_millis = math.inf
        if worker.filler_cpu_millis:
            spare_millis = worker.spare_cpu_millis()
        return WorkerHeadroom(undisturbed_millis, spare_millis, worker)


def _minimum_of(workers: Iterable[WorkerState]) -> Resources:
    """Return the minimum capacity per resource; all zero if there is no worker."""
    capacities = [worker.listing.capacity for worker in workers]
    return Resources(
        min((room.cpu_millis for room in capacities), default=0),
        min((room.memory_bytes for room in capacities), default=0),
        min((room.accelerators for room in capacities), default=0),
    )
