"""
Bring serving tasks together by what disturbs them and by when their users come.

A filler may use the spare processors of a worker only where it disturbs none of the
tasks that serve there: one sensitive task among tolerant ones, or one at its highest
load among idle ones, closes the whole worker. Where fillers wait, tasks change places
in pairs, or move to free room, when that opens enough processors over the coming swing:
they are stopped, and each starts again on the other worker, where its room is reserved
meanwhile.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, TypeVar

from ..resources import NOTHING, Resources
from .jobs import TaskKey
from .outlook import Kind, Outlook, serving_on
from .placing import suits
from .progress import Run, RunPhase, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

T = TypeVar("T")

REASON = "separates"
# The whole cell is looked over this often: an exchange takes about a second.
LOOK_EVERY_S = 0.4
# A move costs the users of a task about a second of it. It has to open so many
# thousandths of a core over the coming swing for each task that moves.
GAIN_MILLIS_MIN = 1000.0
# At most this share of the serving tasks is away for exchanges at a time.
AWAY_RATIO = 0.12
# A task that has just come back is left alone for so long.
UNDISTURBED_S = 6.0
# Room stays reserved for so long: a stop, its report and a start take 1 s, with one
# answer lost 2 s.
RESERVED_S = 2.5
# A lasting task that has waited for so long finds no room: one that changes places is
# back before its reservation is over.
SHORT_AFTER_S = 3.0
# Tasks that are compared in one look, at most: those whose leaving opens most, each
# with so many others, drawn anew each time.
LEAVING_MAX = 16
PARTNERS_MAX = 12
# Workers that are looked at in one look, drawn anew each time: all who wait for a start
# wait for the look.
PLACES_MAX = 80


@dataclass(frozen=True, slots=True)
class Place:
    """
    A worker as fillers see it.

    ``kinds`` are those of its serving tasks, with repeats; ``reserved_millis`` is what
    they reserve together, ``value_millis`` how much the worker opens to fillers.
    """

    worker: WorkerState
    kinds: tuple[Kind, ...]
    reserved_millis: int
    value_millis: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A task that may change places, and what its worker gains without it."""

    place: Place
    run: Run
    gain_millis: float

    @property
    def kind(self) -> Kind:
        """Return its job and image."""
        return (self.run.key.job_id, self.run.step.image)


@dataclass(frozen=True, slots=True)
class Exchange:
    """Two tasks that change places; ``gain_millis`` is what that opens."""

    left: Candidate
    right: Candidate
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Relocation:
    """A task that moves to free room; ``gain_millis`` is what that opens."""

    moving: Candidate
    target: Place
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room for one task on the worker that it moves to, until a deadline."""

    worker_id: str
    charge: Resources
    until_s: float


class Separator:
    """The moves of serving tasks in one cell that are under way."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start with none."""
        self.cell = cell
        self._looked_at_s = float("-inf")
        self._reserved: dict[TaskKey, Reservation] = {}
        self._random = Random(0)

    def reserved(self, key: TaskKey) -> WorkerState | None:
        """Return the worker where room is reserved for a task."""
        reservation = self._reserved.get(key)
        if reservation is None:
            return None
        return self.cell.workers.get(reservation.worker_id)

    def settle(self, key: TaskKey) -> None:
        """Give up a reservation: the task has started, or will not."""
        reservation = self._reserved.pop(key, None)
        if reservation is None:
            return
        worker = self.cell.workers.get(reservation.worker_id)
        if worker is not None:
            worker.let_go(reservation.charge)

    def separate(self, now_s: float) -> None:
        """Begin the moves that open most to the fillers that wait."""
        for key, reservation in list(self._reserved.items()):
            if now_s >= reservation.until_s:
                self.settle(key)
        if now_s < self._looked_at_s + LOOK_EVERY_S:
            return
        self._looked_at_s = now_s
        budget = self._budget()
        if budget < 1 or self._room_is_short(now_s):
            return
        outlook = self.cell.outlook(now_s)
        if outlook is None:
            return
        places = self._places(outlook, now_s)
        candidates = self._candidates(places, outlook, now_s)
        busy: set[str] = set()
        for move in self._moves(candidates, places, outlook):
            if budget < 1:
                return
            names = _workers_of(move)
            if busy & names or (isinstance(move, Exchange) and budget < 2):
                continue
            busy |= names
            budget -= self._begin(move, now_s)

    def _budget(self) -> int:
        serving = sum(
            sum(worker.serving.values()) for worker in self.cell.workers.values()
        )
        return max(2, int(AWAY_RATIO * serving)) - len(self._reserved)

    def _room_is_short(self, now_s: float) -> bool:
        """
        Tell whether a lasting task waits that some worker could run.

        Guards against tasks that stay away for 10 s beside room that is free: each task
        that changes places keeps room on two workers for about a second, and where the
        lasting tasks fill the cell, that is the room that the others wait for.
        """
        workers = [w for w in self.cell.workers.values() if w.usable(now_s)]
        return any(
            _waits_s(step, now_s) > SHORT_AFTER_S
            and any(suits(step.step, worker) for worker in workers)
            for state in self.cell.open_jobs.values()
            if state.job.lasting and not state.status.final
            for steps in state.occurrences.values()
            for step in steps
        )

    def _begin(self, move: Relocation | Exchange, now_s: float) -> int:
        """Begin a move; return how many tasks are away for it."""
        match move:
            case Relocation(moving, target):
                self._move(moving.run, target.worker, now_s)
                return 1
            case Exchange(left, right):
                self._move(left.run, right.place.worker, now_s)
                self._move(right.run, left.place.worker, now_s)
                return 2

    def _move(self, run: Run, target: WorkerState, now_s: float) -> None:
        until_s = now_s + RESERVED_S
        reservation = Reservation(target.worker_id, run.charge, until_s)
        self._reserved[run.key] = reservation
        target.hold(run.charge)
        self.cell.stop(run, REASON)

    def _places(self, outlook: Outlook, now_s: float) -> list[Place]:
        workers = [
            worker
            for worker in self.cell.workers.values()
            if worker.usable(now_s) and worker.held == NOTHING
        ]
        return [_place_of(w, outlook) for w in self._draw(workers, PLACES_MAX)]

    def _candidates(
        self, places: list[Place], outlook: Outlook, now_s: float
    ) -> list[Candidate]:
        """Return the tasks that may move, those that close most of a worker first."""
        found = [
            candidate
            for place in places
            for candidate in self._candidates_of(place, outlook, now_s)
        ]
        found.sort(key=lambda candidate: candidate.gain_millis, reverse=True)
        return found

    def _candidates_of(
        self, place: Place, outlook: Outlook, now_s: float
    ) -> Iterator[Candidate]:
        seen: set[Kind] = set()
        for run in place.worker.runs.values():
            kind = (run.key.job_id, run.step.image)
            if kind in seen or not self._may_move(run, now_s):
                continue
            seen.add(kind)
            without = _value(place, outlook, leaving=run)
            yield Candidate(place, run, without - place.value_millis)

    def _may_move(self, run: Run, now_s: float) -> bool:
        step = run.step
        if not step.tail_target_s or run.phase is not RunPhase.RUNNING:
            return False
        # The operator bounds how many of some tasks may be away through us, and others
        # may only run in a few places.
        if step.unavailable_max or step.gang or step.worker_label or step.data_rack:
            return False
        state = self.cell.jobs.get(run.key.job_id)
        if state is None or self.cell.advised(state.job):
            return False
        return now_s - run.confirmed_at_s > UNDISTURBED_S

    def _moves(
        self, candidates: list[Candidate], places: list[Place], outlook: Outlook
    ) -> list[Relocation | Exchange]:
        """Return moves that open enough, those that open most for each task first."""
        found: list[tuple[float, Relocation | Exchange]] = []
        for left in candidates[:LEAVING_MAX]:
            for target in self._draw(places, PARTNERS_MAX):
                relocation = _relocation(left, target, outlook)
                if relocation is not None:
                    found.append((relocation.gain_millis, relocation))
            for right in self._draw(candidates, PARTNERS_MAX):
                exchange = _exchange(left, right, outlook)
                if exchange is not None:
                    found.append((exchange.gain_millis / 2, exchange))
        found.sort(key=lambda item: item[0], reverse=True)
        return [move for _, move in found]

    def _draw(self, items: list[T], most: int) -> list[T]:
        """Return some of the items: who compares all takes too long in a large cell."""
        return items if len(items) <= most else self._random.sample(items, most)


def _place_of(worker: WorkerState, outlook: Outlook) -> Place:
    kinds, reserved_millis = serving_on(worker)
    capacity_millis = worker.listing.capacity.cpu_millis
    value = outlook.value_millis(kinds, capacity_millis, reserved_millis)
    return Place(worker, tuple(kinds), reserved_millis, value)


def _value(
    place: Place,
    outlook: Outlook,
    leaving: Run | None = None,
    coming: Run | None = None,
) -> float:
    """Return what a worker would open without one task, with another."""
    kinds = list(place.kinds)
    reserved_millis = place.reserved_millis
    if leaving is not None:
        kinds.remove((leaving.key.job_id, leaving.step.image))
        reserved_millis -= leaving.charge.cpu_millis
    if coming is not None:
        kinds.append((coming.key.job_id, coming.step.image))
        reserved_millis += coming.charge.cpu_millis
    capacity_millis = place.worker.listing.capacity.cpu_millis
    return outlook.value_millis(kinds, capacity_millis, reserved_millis)


def _workers_of(move: Relocation | Exchange) -> set[str]:
    match move:
        case Relocation(moving, target):
            return {moving.place.worker.worker_id, target.worker.worker_id}
        case Exchange(left, right):
            return {left.place.worker.worker_id, right.place.worker.worker_id}


def _relocation(
    moving: Candidate, target: Place, outlook: Outlook
) -> Relocation | None:
    """Return the move of a task to free room, if it fits and opens enough."""
    if target is moving.place or not _fits(moving, target, NOTHING):
        return None
    loss_millis = target.value_millis - _value(target, outlook, coming=moving.run)
    gain_millis = moving.gain_millis - loss_millis
    if gain_millis < GAIN_MILLIS_MIN:
        return None
    return Relocation(moving, target, gain_millis)


def _exchange(left: Candidate, right: Candidate, outlook: Outlook) -> Exchange | None:
    """Return the exchange of two tasks, if both fit and it opens enough."""
    if left.place is right.place or left.kind == right.kind:
        return None
    if not _fits(left, right.place, right.run.charge):
        return None
    if not _fits(right, left.place, left.run.charge):
        return None
    value = _value(left.place, outlook, left.run, right.run)
    value += _value(right.place, outlook, right.run, left.run)
    gain = value - left.place.value_millis - right.place.value_millis
    if gain < 2 * GAIN_MILLIS_MIN:
        return None
    return Exchange(left, right, gain)


def _fits(moving: Candidate, target: Place, freed: Resources) -> bool:
    """Tell whether a worker may take a task once so much room is freed there."""
    worker = target.worker
    if worker.listing.service != moving.place.worker.listing.service:
        return False
    if not moving.run.charge.fits_in(worker.free() + freed):
        return False
    most = moving.run.step.per_worker_max
    return not most or step_count(worker, moving.run.key) < most


def _waits_s(step: StepState, now_s: float) -> float:
    """Return how long the task of a step has waited that has waited longest."""
    if step.step.filler or step.ready_at_s is None:
        return 0.0
    ready_at_s = step.ready_at_s
    since_s = [max(ready_at_s, task.ended_at_s) for task in step.waiting()]
    return now_s - min(since_s, default=now_s)


def step_count(worker: WorkerState, key: TaskKey) -> int:
    """Count the tasks on a worker that are of the same step as this one."""
    return sum(other[:3] == key[:3] for other in worker.runs)
