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

from .incarnations import WorkerId
from .urgent_demand import Forecast
from .victims import loss_s, may_stop
from .workers import WorkerState

# How long a cell counts as full after a step found no room: as long as a wave of urgent
# jobs, or the room would be given up between two waves.
FULL_FOR_S = 20.0
# Time between two releases of a worker, and the workers that are kept beyond the
# forecast before one is released: taking one back costs a stop of all its tasks.
RELEASE_INTERVAL_S = 2.0
SPARE_WORKERS = 1
# Largest share of a service's workers that is kept.
KEPT_RATIO_MAX = 0.25


@dataclass(slots=True)
class ServiceRoom:
    """The kept workers of one service and since when it is known to be full."""

    full_until_s: float = -math.inf
    released_at_s: float = -math.inf
    # The kept workers, those kept for longest first, with the places on each.
    kept: dict[WorkerId, int] = field(default_factory=dict)
    missing_places: int = 0


class KeptRoom:
    """The workers of a cell that are kept for urgent tasks."""

    def __init__(self) -> None:
        """Start without any kept worker."""
        self.services: dict[str, ServiceRoom] = {}
        self._kept: frozenset[WorkerId] = frozenset()

    def note_no_room(self, service: str, now_s: float) -> None:
        """Note that a lasting or an urgent step found no room in a service."""
        room = self.services.setdefault(service, ServiceRoom())
        room.full_until_s = now_s + FULL_FOR_S

    def full(self, service: str, now_s: float) -> bool:
        """Return whether a step of the service found no room within the last wave."""
        room = self.services.get(service)
        return room is not None and now_s < room.full_until_s

    def keeps(self, worker: WorkerState) -> bool:
        """Return whether a worker is kept for urgent tasks."""
        return worker.worker_id in self._kept

    def kept_workers(self, service: str) -> list[WorkerId]:
        """Return the kept workers of a service."""
        room = self.services.get(service)
        return list(room.kept) if room is not None else []

    def plan(
        self,
        service: str,
        workers: list[WorkerState],
        forecast: Forecast | None,
        stop_s: float,
        now_s: float,
    ) -> None:
        """
        Choose the kept ones among a service's usable workers.

        Without a forecast, or in a cell that is not full, none is kept.
        """
        room = self.services.get(service)
        if room is None:
            return
        if forecast is None or not self.full(service, now_s):
            self._set(room, {})
            return
        place_millis = forecast.place_millis
        present = {worker.worker_id: worker for worker in workers}
        kept = {
            worker_id: _places(present[worker_id], place_millis, now_s)
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
        room.missing_places = max(0, forecast.places - sum(kept.values()))
        self._set(room, kept)

    def _set(self, room: ServiceRoom, kept: dict[WorkerId, int]) -> None:
        if kept.keys() != room.kept.keys():
            room.kept = kept
            self._kept = frozenset(
                worker_id for other in self.services.values() for worker_id in other.kept
            )
        room.kept = kept


def _places(worker: WorkerState, place_millis: int, now_s: float) -> int:
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
        places = _places(worker, place_millis, now_s)
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
