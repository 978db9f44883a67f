"""
Keep some workers of a full cell free of lasting tasks, for urgent ones.

What lasting tasks release is taken by the next one that waits, and a place for an
urgent task is then a stop away, which takes most of the time that the urgent job has.
While the cell is full, as many workers are kept as the forecast of the urgent demand
asks for. Fillers use them meanwhile. A lasting task goes there only if it is owed a
place: one that has waited for so long takes any room.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .effects import LogEntry
from .incarnations import WorkerId
from .urgent_demand import Forecast
from .victims import loss_s, may_stop
from .workers import WorkerState

# How long room is kept once its need was seen: some waves of urgent jobs, since nobody
# lacks room while it is kept.
NEEDED_FOR_S = 60.0
# Share of the urgent jobs that were late for want of room from which the need is seen.
SHORT_RATIO_MIN = 0.1
# Share of the CPU that is reserved in a full cell. With less, a job that finds no room
# shows only that the room is in pieces.
FULL_USE_RATIO = 0.9
# Time between two releases of a worker, and the workers that are kept beyond the
# forecast before one is released: taking one back costs a stop of all its tasks.
RELEASE_INTERVAL_S = 2.0
SPARE_WORKERS = 1
# Largest share of a service's workers that is kept.
KEPT_RATIO_MAX = 0.25


@dataclass(slots=True)
class ServiceRoom:
    """The kept workers of one service and until when they are needed."""

    needed_until_s: float = -math.inf
    released_at_s: float = -math.inf
    # The kept workers, those kept for longest first, with the places on each.
    kept: dict[WorkerId, int] = field(default_factory=dict)
    places_wanted: int = 0
    place_millis: int = 0

    @property
    def places(self) -> int:
        """Return the places on the kept workers without their lasting tasks."""
        return sum(self.kept.values())


class KeptRoom:
    """The workers of a cell that are kept for urgent tasks."""

    def __init__(self) -> None:
        """Start without any kept worker."""
        self.services: dict[str, ServiceRoom] = {}
        self._kept: frozenset[WorkerId] = frozenset()

    def active(self, service: str, now_s: float) -> bool:
        """Return whether the need for kept room was seen in the last waves."""
        room = self.services.get(service)
        return room is not None and now_s < room.needed_until_s

    def to_plan(self, service: str, short_ratio: float, now_s: float) -> bool:
        """Return whether ``plan`` may have anything to do."""
        if short_ratio >= SHORT_RATIO_MIN or self.active(service, now_s):
            return True
        return bool(self.kept_workers(service))

    def keeps(self, worker: WorkerState) -> bool:
        """Return whether a worker is kept for urgent tasks."""
        return worker.worker_id in self._kept

    def keeps_any(self) -> bool:
        """Return whether any worker is kept for urgent tasks."""
        return bool(self._kept)

    def kept_services(self) -> list[str]:
        """Return the services with kept workers."""
        return [service for service, room in self.services.items() if room.kept]

    def kept_workers(self, service: str) -> list[WorkerId]:
        """Return the kept workers of a service."""
        room = self.services.get(service)
        return list(room.kept) if room is not None else []

    def plan(
        self,
        service: str,
        workers: list[WorkerState],
        forecast: Forecast | None,
        short_ratio: float,
        stop_s: float,
        now_s: float,
    ) -> LogEntry | None:
        """
        Choose the kept ones among a service's workers; return a log entry of changes.

        ``short_ratio`` is the share of the urgent jobs that were late for want of room.
        Without a forecast or a need seen in a full cell, none is kept.
        """
        room = self.services.setdefault(service, ServiceRoom())
        if short_ratio >= SHORT_RATIO_MIN and _use_ratio(workers) >= FULL_USE_RATIO:
            room.needed_until_s = now_s + NEEDED_FOR_S
        if forecast is None or not self.active(service, now_s):
            room.places_wanted = 0
            return self._keep(service, room, {})
        room.places_wanted = forecast.places
        room.place_millis = forecast.place_millis
        place_millis = forecast.place_millis
        present = {worker.worker_id: worker for worker in workers}
        kept = {
            worker_id: _places(present[worker_id], place_millis)
            for worker_id in room.kept
            if worker_id in present
        }
        wanted = forecast.places - sum(kept.values())
        if wanted > 0:
            most = int(KEPT_RATIO_MAX * len(workers)) - len(kept)
            others = [w for w in workers if w.worker_id not in kept]
            kept |= _cheapest(others, place_millis, wanted, most, stop_s, now_s)
        elif now_s >= room.released_at_s + RELEASE_INTERVAL_S:
            last = list(kept)[-1 - SPARE_WORKERS :]
            if sum(kept[worker_id] for worker_id in last) <= -wanted:
                del kept[last[-1]]
                room.released_at_s = now_s
        return self._keep(service, room, kept)

    def _keep(
        self, service: str, room: ServiceRoom, kept: dict[WorkerId, int]
    ) -> LogEntry | None:
        before = room.kept
        room.kept = kept
        if kept.keys() == before.keys():
            return None
        self._kept = frozenset(
            worker_id for other in self.services.values() for worker_id in other.kept
        )
        detail: dict[str, object] = {
            "service": service,
            "workers": len(kept),
            "added": len(kept.keys() - before.keys()),
            "places": room.places,
            "places_wanted": room.places_wanted,
            "place_cpu_millis": room.place_millis,
        }
        return LogEntry("kept_room", "", detail)


def _use_ratio(workers: Iterable[WorkerState]) -> float:
    """Return the share of the workers' CPU that is reserved."""
    capacity_millis = taken_millis = 0
    for worker in workers:
        capacity_millis += worker.listing.capacity.cpu_millis
        taken_millis += worker.taken.cpu_millis
    return taken_millis / capacity_millis if capacity_millis else 0.0


def _places(worker: WorkerState, place_millis: int) -> int:
    """Return the places on a worker once its lasting tasks have left."""
    staying_millis = sum(
        run.charge.cpu_millis
        for run in worker.runs.values()
        if run.step.lasting and (run.step.unavailable_max or run.step.gang)
    )
    return max(0, worker.listing.capacity.cpu_millis - staying_millis) // place_millis


def _cheapest(
    workers: Iterable[WorkerState],
    place_millis: int,
    wanted: int,
    most: int,
    stop_s: float,
    now_s: float,
) -> dict[WorkerId, int]:
    """Return the workers that give the places at the lowest loss, at most ``most``."""
    ranked: list[tuple[float, WorkerId, int]] = []
    for worker in workers:
        places = _places(worker, place_millis)
        if not places:
            continue
        lost_s = sum(
            loss_s(run, stop_s, now_s)
            for run in worker.runs.values()
            if may_stop(run, now_s, -math.inf)
        )
        ranked.append((lost_s / places, worker.worker_id, places))
    ranked.sort()
    chosen: dict[WorkerId, int] = {}
    for _, worker_id, places in ranked[: max(0, most)]:
        if wanted <= 0:
            break
        chosen[worker_id] = places
        wanted -= places
    return chosen
