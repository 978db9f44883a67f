"""
Choose a worker for an attempt from what the deciders last said of their room.

The view lags. It only says where to ask: the decider's own book decides, and
the worker has the last word.
"""

import random
from dataclasses import dataclass, field

from .machines import Worker
from .resources import Resources

SAMPLE = 24
SICK_AFTER_FAILURES = 3
SICK_FIRST_S = 5.0
SICK_MAX_S = 300.0


@dataclass(slots=True)
class Room:
    """What one worker can still take, as its decider last said."""

    worker: Worker
    decider: str
    epoch: int
    free: Resources
    open: bool
    heard_s: float
    failures: int = 0
    sick_until_s: float = 0.0
    sick_s: float = SICK_FIRST_S


@dataclass(frozen=True, slots=True)
class Fits:
    """The attempt can be tried on this worker."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class NoRoomNow:
    """Some worker is large enough but none has room at present."""


@dataclass(frozen=True, slots=True)
class NeverFits:
    """No worker of the data centre is large enough even when empty."""

    lacking: str
    largest_worker: str


Choice = Fits | NoRoomNow | NeverFits


@dataclass(slots=True)
class Rooms:
    """The room of all workers of one data centre."""

    rng: random.Random
    rooms: dict[str, Room] = field(default_factory=dict)

    def heard(
        self,
        worker: Worker,
        decider: str,
        epoch: int,
        free: Resources,
        open_: bool,
        now_s: float,
    ) -> bool:
        """
        Take in what a decider says of one of its workers.

        Return whether the worker has passed to a new epoch.
        """
        room = self.rooms.get(worker.worker_id)
        if room is None:
            room = Room(worker, decider, epoch, free, open_, now_s)
            self.rooms[worker.worker_id] = room
            return False
        # A decider that was replaced may go on talking; the later epoch is true.
        if epoch < room.epoch:
            return False
        changed = epoch > room.epoch
        room.worker = worker
        room.decider = decider
        room.epoch = epoch
        room.free = free
        room.open = open_
        room.heard_s = now_s
        return changed

    def epoch(self, worker_id: str) -> int:
        """Return the latest epoch of a worker that was heard of."""
        room = self.rooms.get(worker_id)
        return room.epoch if room is not None else 0

    def choose(self, needs: Resources, avoid: set[str], now_s: float) -> Choice:
        """Choose a worker for ``needs``: the emptiest of a random sample."""
        names = list(self.rooms)
        if len(names) > SAMPLE:
            sample = self.rng.sample(names, SAMPLE)
            chosen = self._best(sample, needs, avoid, now_s)
            if chosen is not None:
                return Fits(chosen.worker.worker_id)
        chosen = self._best(names, needs, avoid, now_s)
        if chosen is not None:
            return Fits(chosen.worker.worker_id)
        return never_fits(needs, [r.worker for r in self.rooms.values()])

    def choose_to_clear(self, needs: Resources, now_s: float) -> str | None:
        """
        Choose a worker at random that could hold ``needs`` if it made room.

        Its decider knows whether it can; if not, the next try asks another.
        """
        names = [
            name
            for name, room in self.rooms.items()
            if room.open
            and room.sick_until_s <= now_s
            and needs.fits_in(room.worker.capacity)
        ]
        return self.rng.choice(names) if names else None

    def _best(
        self, names: list[str], needs: Resources, avoid: set[str], now_s: float
    ) -> Room | None:
        best: Room | None = None
        best_score = (True, True, 0.0)
        for name in names:
            room = self.rooms[name]
            if not room.open or room.sick_until_s > now_s:
                continue
            if not needs.fits_in(room.free):
                continue
            score = self._score(room, needs, name in avoid)
            if best is None or score < best_score:
                best, best_score = room, score
        return best

    def _score(
        self, room: Room, needs: Resources, avoid: bool
    ) -> tuple[bool, bool, float]:
        capacity = room.worker.capacity
        wastes_accelerator = capacity.accelerators > 0 and needs.accelerators == 0
        used = (capacity - room.free + needs).share_of(capacity)
        return (avoid, wastes_accelerator, used)

    def deduct(self, worker_id: str, needs: Resources) -> None:
        """Count an order as room taken until the decider says otherwise."""
        room = self.rooms.get(worker_id)
        if room is not None:
            room.free = room.free - needs

    def failed(self, worker_id: str, now_s: float) -> None:
        """
        Count a failed attempt; a worker that fails in a row is avoided.

        Each time it fails again after its rest, the rest is twice as long.
        """
        room = self.rooms.get(worker_id)
        if room is None:
            return
        room.failures += 1
        if room.failures >= SICK_AFTER_FAILURES:
            room.failures = SICK_AFTER_FAILURES - 1
            room.sick_until_s = now_s + room.sick_s
            room.sick_s = min(SICK_MAX_S, 2 * room.sick_s)

    def succeeded(self, worker_id: str) -> None:
        """Count a finished attempt; the worker is trusted again."""
        room = self.rooms.get(worker_id)
        if room is not None:
            room.failures = 0
            room.sick_s = SICK_FIRST_S

    def sick(self, now_s: float) -> list[str]:
        """Return the workers that are being avoided."""
        return [n for n, r in self.rooms.items() if r.sick_until_s > now_s]


def never_fits(needs: Resources, workers: list[Worker]) -> Choice:
    """Say why ``needs`` can never fit, or that it only lacks room now."""
    if not workers:
        return NeverFits("any worker", "none")
    if any(needs.fits_in(w.capacity) for w in workers):
        return NoRoomNow()
    closest = min(workers, key=lambda w: len(needs.lacking_in(w.capacity)))
    largest = max(workers, key=lambda w: needs_key(w, closest, needs))
    lacking = ", ".join(needs.lacking_in(largest.capacity))
    return NeverFits(lacking, largest.worker_id)


def needs_key(worker: Worker, closest: Worker, needs: Resources) -> tuple[int, ...]:
    """Rank workers by the dimensions in which even the closest is too small."""
    lacking = needs.lacking_in(closest.capacity)
    return tuple(getattr(worker.capacity, name) for name in lacking)
