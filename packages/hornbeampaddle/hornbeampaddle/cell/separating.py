"""
Group serving tasks by the fillers that affect them and by when their load peaks.

A filler (best-effort task) may use a worker's spare CPU only if it interferes with none
of the serving tasks there. One sensitive task among tolerant ones, or one at peak load
among idle ones, makes the whole worker's spare CPU unavailable. Sensitive tasks are
therefore separated from tolerant ones. While fillers wait, pairs of serving tasks are
exchanged, or single ones relocated to free room, if that makes enough CPU available to
fillers over the next load cycle. The tasks are stopped and started again on the other
worker, where room is reserved for them in the meantime.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, TypeVar

from ..resources import NOTHING, Resources
from .incarnations import WorkerId
from .jobs import TaskKey
from .outlook import Outlook, ServingKind, serving_on
from .placing import suits
from .progress import Run, RunPhase, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

T = TypeVar("T")

REASON = "separates"
# Interval between scans of the cell for moves. An exchange takes about a second.
SCAN_INTERVAL_S = 0.4
# Minimum gain of a move for each task moved: CPU made available to fillers over the
# next load cycle, in thousandths of a core. A move makes the task unavailable to its
# users for about a second.
GAIN_MILLIS_MIN = 1000.0
# Maximum share of the serving tasks that may be moving at the same time.
MOVING_RATIO_MAX = 0.12
# Minimum time that a task runs between its start and its next move.
MOVE_COOLDOWN_S = 6.0
# How long room stays reserved for a moving task. A stop, its report and a start take
# 1 s in total, or 2 s if one response is lost.
RESERVATION_TIMEOUT_S = 2.5
# A long-running task that has waited longer than this is taken to find no room. A task
# that is being moved restarts before its reservation expires, which is sooner.
ROOM_SHORTAGE_WAIT_S = 3.0
# Maximum number of tasks considered for a move in one scan, those with the largest gain
# first.
CANDIDATES_MAX = 16
# Maximum number of tasks, and of workers, that each of them is compared with. They are
# sampled anew each time.
PARTNERS_PER_CANDIDATE_MAX = 12
# Maximum number of workers examined in one scan, sampled anew for each scan. All
# waiting starts are delayed while a scan runs.
SAMPLED_WORKERS_MAX = 80


@dataclass(frozen=True, slots=True)
class Place:
    """
    A worker and the CPU it makes available to fillers.

    ``kinds`` lists the kind of each of its serving tasks, with repeats.
    ``reserved_millis`` is the CPU they reserve in total, ``value_millis`` the CPU that
    the worker makes available to fillers, both in thousandths of a core.
    """

    worker: WorkerState
    kinds: tuple[ServingKind, ...]
    reserved_millis: int
    value_millis: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    A task that may be moved.

    ``gain_millis`` is the additional CPU that its worker would offer to fillers
    without it.
    """

    place: Place
    run: Run
    gain_millis: float

    @property
    def kind(self) -> ServingKind:
        """Return the task's job id and image."""
        return (self.run.key.job_id, self.run.step.image)


@dataclass(frozen=True, slots=True)
class Exchange:
    """Two tasks that swap workers; ``gain_millis`` is the CPU gained for fillers."""

    left: Candidate
    right: Candidate
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Relocation:
    """A task moved to free room; ``gain_millis`` is the CPU gained for fillers."""

    moving: Candidate
    target: Place
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Resources reserved until a deadline on the worker that a task moves to."""

    worker_id: WorkerId
    charge: Resources
    until_s: float


class Separator:
    """Moves serving tasks of one cell and keeps room reserved for those on the way."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start without any reservation."""
        self.cell = cell
        self._scanned_at_s = float("-inf")
        self._reserved: dict[TaskKey, Reservation] = {}
        self._random = Random(0)

    def reserved_worker(self, key: TaskKey) -> WorkerState | None:
        """Return the worker where room is reserved for a task, or None."""
        reservation = self._reserved.get(key)
        if reservation is None:
            return None
        return self.cell.workers.get(reservation.worker_id)

    def release(self, key: TaskKey) -> None:
        """Release a task's reservation once it starts or can no longer use it."""
        reservation = self._reserved.pop(key, None)
        if reservation is None:
            return
        worker = self.cell.workers.get(reservation.worker_id)
        if worker is not None:
            worker.release_reserved_room(reservation.charge)

    def separate(self, now_s: float) -> None:
        """Begin the moves that make the most CPU available to waiting fillers."""
        for key, reservation in list(self._reserved.items()):
            if now_s >= reservation.until_s:
                self.release(key)
        if now_s < self._scanned_at_s + SCAN_INTERVAL_S:
            return
        self._scanned_at_s = now_s
        budget = self._budget()
        if budget < 1 or self._room_is_short(now_s):
            return
        outlook = self.cell.outlook(now_s)
        if outlook is None:
            return
        places = self._places(outlook, now_s)
        candidates = self._candidates(places, outlook, now_s)
        busy: set[WorkerId] = set()
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
        return max(2, int(MOVING_RATIO_MAX * serving)) - len(self._reserved)

    def _room_is_short(self, now_s: float) -> bool:
        """
        Return whether a long-running task lacks room although some worker suits it.

        No moves begin then. Each moving task holds room on two workers for about a
        second. In a cell full of long-running tasks, this is the room that others wait
        for, and they would be stopped for 10 s although there is free room.
        """
        workers = [w for w in self.cell.workers.values() if w.usable(now_s)]
        return any(
            _longest_wait_s(step, now_s) > ROOM_SHORTAGE_WAIT_S
            and any(suits(step.step, worker) for worker in workers)
            for state in self.cell.open_jobs.values()
            if state.job.lasting and not state.status.final
            for steps in state.occurrences.values()
            for step in steps
        )

    def _begin(self, move: Relocation | Exchange, now_s: float) -> int:
        """Begin a move and return the number of tasks that it stops."""
        match move:
            case Relocation(moving, target):
                self._move(moving.run, target.worker, now_s)
                return 1
            case Exchange(left, right):
                self._move(left.run, right.place.worker, now_s)
                self._move(right.run, left.place.worker, now_s)
                return 2

    def _move(self, run: Run, target: WorkerState, now_s: float) -> None:
        until_s = now_s + RESERVATION_TIMEOUT_S
        reservation = Reservation(target.worker_id, run.charge, until_s)
        self._reserved[run.key] = reservation
        target.reserve_room(run.charge)
        self.cell.stop(run, REASON)

    def _places(self, outlook: Outlook, now_s: float) -> list[Place]:
        workers = [
            worker
            for worker in self.cell.workers.values()
            if worker.usable(now_s)
            and worker.reserved_room == NOTHING
            and not self.cell.kept_room.keeps(worker)
        ]
        return [
            _place_of(w, outlook) for w in self._sample(workers, SAMPLED_WORKERS_MAX)
        ]

    def _candidates(
        self, places: list[Place], outlook: Outlook, now_s: float
    ) -> list[Candidate]:
        """Return the tasks that may be moved, those with the largest gain first."""
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
        seen: set[ServingKind] = set()
        for run in place.worker.runs.values():
            kind = (run.key.job_id, run.step.image)
            if kind in seen or not self._may_move(run, now_s):
                continue
            seen.add(kind)
            without = _value_after(place, outlook, leaving=run)
            yield Candidate(place, run, without - place.value_millis)

    def _may_move(self, run: Run, now_s: float) -> bool:
        step = run.step
        if not step.tail_target_s or run.phase is not RunPhase.RUNNING:
            return False
        # The operator limits how many tasks of some steps the scheduler may make
        # unavailable, and some tasks can run on few workers only.
        if step.unavailable_max or step.gang or step.worker_label or step.data_rack:
            return False
        state = self.cell.jobs.get(run.key.job_id)
        if state is None or self.cell.advised(state.job):
            return False
        return now_s - run.confirmed_at_s > MOVE_COOLDOWN_S

    def _moves(
        self, candidates: list[Candidate], places: list[Place], outlook: Outlook
    ) -> list[Relocation | Exchange]:
        """Return worthwhile moves, those with the largest gain per task first."""
        found: list[tuple[float, Relocation | Exchange]] = []
        for left in candidates[:CANDIDATES_MAX]:
            for target in self._sample(places, PARTNERS_PER_CANDIDATE_MAX):
                relocation = _relocation(left, target, outlook)
                if relocation is not None:
                    found.append((relocation.gain_millis, relocation))
            for right in self._sample(candidates, PARTNERS_PER_CANDIDATE_MAX):
                exchange = _exchange(left, right, outlook)
                if exchange is not None:
                    found.append((exchange.gain_millis / 2, exchange))
        found.sort(key=lambda item: item[0], reverse=True)
        return [move for _, move in found]

    def _sample(self, items: list[T], limit: int) -> list[T]:
        """
        Return a random sample of at most ``limit`` items.

        Comparing all of them would take too long in a large cell.
        """
        return items if len(items) <= limit else self._random.sample(items, limit)


def _place_of(worker: WorkerState, outlook: Outlook) -> Place:
    kinds, reserved_millis = serving_on(worker)
    capacity_millis = worker.listing.capacity.cpu_millis
    value = outlook.value_millis(kinds, capacity_millis, reserved_millis)
    return Place(worker, tuple(kinds), reserved_millis, value)


def _value_after(
    place: Place,
    outlook: Outlook,
    leaving: Run | None = None,
    coming: Run | None = None,
) -> float:
    """Return a worker's value for fillers with one task removed and another added."""
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


def _workers_of(move: Relocation | Exchange) -> set[WorkerId]:
    match move:
        case Relocation(moving, target):
            return {moving.place.worker.worker_id, target.worker.worker_id}
        case Exchange(left, right):
            return {left.place.worker.worker_id, right.place.worker.worker_id}


def _relocation(
    moving: Candidate, target: Place, outlook: Outlook
) -> Relocation | None:
    """Return the relocation of a task if it fits and gains enough, or None."""
    if target is moving.place or not _fits(moving, target, NOTHING):
        return None
    loss_millis = target.value_millis - _value_after(target, outlook, coming=moving.run)
    gain_millis = moving.gain_millis - loss_millis
    if gain_millis < GAIN_MILLIS_MIN:
        return None
    return Relocation(moving, target, gain_millis)


def _exchange(left: Candidate, right: Candidate, outlook: Outlook) -> Exchange | None:
    """Return the exchange of two tasks if both fit and it gains enough, or None."""
    if left.place is right.place or left.kind == right.kind:
        return None
    if not _fits(left, right.place, right.run.charge):
        return None
    if not _fits(right, left.place, left.run.charge):
        return None
    value = _value_after(left.place, outlook, left.run, right.run)
    value += _value_after(right.place, outlook, right.run, left.run)
    gain = value - left.place.value_millis - right.place.value_millis
    if gain < 2 * GAIN_MILLIS_MIN:
        return None
    return Exchange(left, right, gain)


def _fits(moving: Candidate, target: Place, freed: Resources) -> bool:
    """Return whether a worker can take a task after ``freed`` is released there."""
    worker = target.worker
    if worker.listing.service != moving.place.worker.listing.service:
        return False
    if not moving.run.charge.fits_in(worker.free() + freed):
        return False
    limit = moving.run.step.per_worker_max
    return not limit or count_step_tasks(worker, moving.run.key) < limit


def _longest_wait_s(step: StepState, now_s: float) -> float:
    """Return the longest wait among the waiting tasks of a step; 0 for fillers."""
    if step.step.filler or step.ready_at_s is None:
        return 0.0
    ready_at_s = step.ready_at_s
    since_s = [max(ready_at_s, task.ended_at_s) for task in step.waiting()]
    return now_s - min(since_s, default=now_s)


def count_step_tasks(worker: WorkerState, key: TaskKey) -> int:
    """Return the number of tasks on a worker that belong to the same step as a task."""
    return sum(other[:3] == key[:3] for other in worker.runs)
