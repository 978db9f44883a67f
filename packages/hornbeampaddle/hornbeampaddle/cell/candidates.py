"""
Find the workers that may take a step without looking at each of them.

In a full cell a decision places few tasks and finds no place for dozens of steps. What
they ask of the workers is worked out once for each kind of step.

A decision only takes room, so what was worked out at its beginning is never too little;
the caller checks exactly.
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

# Rounding may hide this much of a core, in thousandths; the caller checks exactly.
ROUNDING_MILLIS = 1.0


@dataclass(frozen=True, slots=True)
class Group:
    """The usable workers of a service with a label; each has at least so much."""

    workers: list[WorkerState]
    least: Resources


@dataclass(frozen=True, slots=True)
class Opening:
    """
    The largest filler of an image that a worker is open to.

    Up to ``quiet_millis`` it disturbs nobody, up to ``spare_millis`` it finds
    processors.
    """

    quiet_millis: float
    spare_millis: float
    worker: WorkerState


class Candidates:
    """The workers that one decision may use."""

    def __init__(self, usable: list[WorkerState], model: Interference) -> None:
        """Take in the workers; nothing is worked out yet."""
        self._usable = usable
        self._model = model
        self._groups: dict[tuple[str, str], Group] = {}
        self._openings: dict[tuple[str, str, str], list[Opening]] = {}

    def suited(self, service: str, step: Step) -> list[WorkerState]:
        """Return the workers that could ever run a task of a step."""
        group = self._group(service, step)
        if step.need.fits_in(group.least):
            return group.workers
        return [worker for worker in group.workers if suits(step, worker)]

    def _group(self, service: str, step: Step) -> Group:
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
            group = self._groups[key] = Group(workers, _least(workers))
        return group

    def open_to(self, service: str, step: Step) -> list[WorkerState]:
        """Return the workers where a filler disturbs nobody and finds processors."""
        needed = FILLER_SPARE_RATIO * step.need.cpu_millis - ROUNDING_MILLIS
        return [
            opening.worker
            for opening in self._quiet(service, step)
            if opening.spare_millis >= needed
        ]

    def quiet_for(self, service: str, step: Step) -> Iterator[WorkerState]:
        """Return the workers where a filler disturbs nobody, busy or not."""
        return (opening.worker for opening in self._quiet(service, step))

    def _quiet(self, service: str, step: Step) -> Iterator[Opening]:
        least = step.need.cpu_millis - ROUNDING_MILLIS
        openings = self._openings_for(service, step)
        return takewhile(lambda opening: opening.quiet_millis >= least, openings)

    def _openings_for(self, service: str, step: Step) -> list[Opening]:
        """Return what each worker is open to, the largest opening first."""
        key = (service, step.worker_label, step.image)
        openings = self._openings.get(key)
        if openings is None:
            workers = self._group(service, step).workers
            openings = [self._opening(worker, step.image) for worker in workers]
            openings.sort(key=lambda opening: opening.quiet_millis, reverse=True)
            self._openings[key] = openings
        return openings

    def _opening(self, worker: WorkerState, image: str) -> Opening:
        quiet_millis = 0.0
        if worker.over_since_s is None:
            room = worker.filler_room(image, self._model)
            quiet_millis = room.share * worker.listing.capacity.cpu_millis
        # Where no filler works yet, one may use whatever the others leave.
        spare_millis = math.inf
        if worker.filler_cpu_millis:
            spare_millis = worker.spare_cpu_millis()
        return Opening(quiet_millis, spare_millis, worker)


def _least(workers: Iterable[WorkerState]) -> Resources:
    """Return the smallest of each resource; nothing at all if there is no worker."""
    capacities = [worker.listing.capacity for worker in workers]
    return Resources(
        min((room.cpu_millis for room in capacities), default=0),
        min((room.memory_bytes for room in capacities), default=0),
        min((room.accelerators for room in capacities), default=0),
    )
