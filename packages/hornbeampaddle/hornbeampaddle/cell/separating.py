"""
Bring serving tasks together by what disturbs them.

A filler may use all spare processors of a worker only where it disturbs none of the
images that serve there: there the worker is open to it. One sensitive task among
tolerant ones closes the whole worker. Where fillers wait, tasks change places in
pairs when that opens enough processors: both are stopped, and each starts again on
the other's worker, where its room is reserved meanwhile.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..resources import NOTHING, Resources
from .interference import Interference
from .jobs import TaskKey
from .progress import Run, RunPhase
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

REASON = "separates"
# The whole cell is looked over this often: an exchange takes about a second.
LOOK_EVERY_S = 0.6
# An exchange costs the users of each task about a second of it. It has to open so many
# thousandths of a core for each task that moves. With 1,500 and half as many tasks
# away, two emulated loads earned 0.015 less of what they were owed.
GAIN_MILLIS_MIN = 700.0
# At most this share of the serving tasks is away for exchanges at a time.
AWAY_RATIO = 0.12
# A task that has just come back is left alone for so long.
UNDISTURBED_S = 6.0
# Room stays reserved for so long: a stop, its report and a start take 1 s, with one
# answer lost 2 s.
RESERVED_S = 2.5
# Tasks that are compared, at most: those that close most of their worker, with those
# that are at home on an open worker and sit on a closed one.
LEAVING_MAX = 30
PARTNERS_MAX = 60


@dataclass(slots=True)
class Mix:
    """The images that fillers wait for, by their share of the waiting processors."""

    shares: dict[str, float]
    model: Interference
    _open: dict[tuple[str, str], float] = field(default_factory=dict)

    def open_ratio(self, left: str, right: str) -> float:
        """Return the share of the waiting fillers that disturb neither image."""
        ratio = self._open.get((left, right))
        if ratio is None:
            ratio = sum(
                share
                for filling, share in self.shares.items()
                if self.model.harmless(left, filling)
                and self.model.harmless(right, filling)
            )
            self._open[left, right] = self._open[right, left] = ratio
        return ratio


@dataclass(frozen=True, slots=True)
class Place:
    """
    A worker as fillers see it.

    ``serving_millis`` is what the tasks of each image reserve, ``spare_millis`` what
    fillers may use where the worker is open to them, ``value_millis`` how much of that
    it is open to now.
    """

    worker: WorkerState
    serving_millis: dict[str, int]
    spare_millis: float
    value_millis: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A task that may change places, and what its worker gains without it."""

    place: Place
    run: Run
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Exchange:
    """Two tasks that change places; ``gain_millis`` is what that opens."""

    left: Candidate
    right: Candidate
    gain_millis: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room for one task on the worker that it moves to, until a deadline."""

    worker_id: str
    charge: Resources
    until_s: float


class Separator:
    """The exchanges of one cell that are under way."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start with none."""
        self.cell = cell
        self._looked_at_s = float("-inf")
        self._reserved: dict[TaskKey, Reservation] = {}

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
        """Begin the exchanges that open most to the fillers that wait."""
        for key, reservation in list(self._reserved.items()):
            if now_s >= reservation.until_s:
                self.settle(key)
        if now_s < self._looked_at_s + LOOK_EVERY_S:
            return
        self._looked_at_s = now_s
        budget = self._budget()
        if budget < 2:
            return
        mix = waiting_mix(self.cell)
        if not mix.shares:
            return
        candidates = self._candidates(mix, now_s)
        while budget >= 2:
            exchange = _best(candidates, mix)
            if exchange is None:
                return
            budget -= 2
            self._begin(exchange, now_s)
            busy = (exchange.left.place, exchange.right.place)
            candidates = [c for c in candidates if c.place not in busy]

    def _budget(self) -> int:
        serving = sum(
            sum(worker.serving.values()) for worker in self.cell.workers.values()
        )
        return max(2, int(AWAY_RATIO * serving)) - len(self._reserved)

    def _begin(self, exchange: Exchange, now_s: float) -> None:
        self._move(exchange.left.run, exchange.right.place.worker, now_s)
        self._move(exchange.right.run, exchange.left.place.worker, now_s)

    def _move(self, run: Run, target: WorkerState, now_s: float) -> None:
        until_s = now_s + RESERVED_S
        reservation = Reservation(target.worker_id, run.charge, until_s)
        self._reserved[run.key] = reservation
        target.hold(run.charge)
        self.cell.stop(run, REASON)

    def _candidates(self, mix: Mix, now_s: float) -> list[Candidate]:
        """Return the tasks that close most of their workers to fillers."""
        found = [
            candidate
            for worker in self.cell.workers.values()
            if worker.usable(now_s) and worker.held == NOTHING
            for candidate in self._candidates_of(worker, mix, now_s)
        ]
        found.sort(key=lambda candidate: candidate.gain_millis, reverse=True)
        return found

    def _candidates_of(
        self, worker: WorkerState, mix: Mix, now_s: float
    ) -> Iterator[Candidate]:
        if len(worker.serving) < 2:
            return
        place = _place_of(worker, mix)
        seen: set[str] = set()
        for run in worker.runs.values():
            image = run.step.image
            if image in seen or not self._may_move(run, now_s):
                continue
            seen.add(image)
            without = _value(place, mix, leaving=run)
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
        if state is None or state.job.queue.advice is not None:
            return False
        return now_s - run.confirmed_at_s > UNDISTURBED_S


def _place_of(worker: WorkerState, mix: Mix) -> Place:
    millis: dict[str, int] = {}
    for run in worker.runs.values():
        if run.step.tail_target_s:
            image = run.step.image
            millis[image] = millis.get(image, 0) + run.charge.cpu_millis
    spare_millis = max(0.0, worker.spare_cpu_millis() + worker.filler_cpu_millis)
    place = Place(worker, millis, spare_millis, 0.0)
    return replace(place, value_millis=_value(place, mix))


def _value(
    place: Place, mix: Mix, leaving: Run | None = None, coming: Run | None = None
) -> float:
    """
    Return how many processors a worker opens to the fillers that wait.

    Each pair of images counts by what both reserve. Strictly one closing image
    would count as much as three, and no single step towards order would pay.
    """
    millis = dict(place.serving_millis)
    if leaving is not None:
        millis[leaving.step.image] -= leaving.charge.cpu_millis
    if coming is not None:
        image = coming.step.image
        millis[image] = millis.get(image, 0) + coming.charge.cpu_millis
    total = sum(millis.values())
    if not total:
        return place.spare_millis
    value = 0.0
    for left, left_millis in millis.items():
        for right, right_millis in millis.items():
            value += left_millis * right_millis * mix.open_ratio(left, right)
    return value * place.spare_millis / total**2


def _best(candidates: list[Candidate], mix: Mix) -> Exchange | None:
    """
    Return the exchange that opens most.

    A worker rarely gains by losing a tolerant task, so the partners are not those
    that gain most by themselves.
    """
    best: Exchange | None = None
    partners = sorted(
        candidates, key=lambda partner: _misplaced_ratio(partner, mix), reverse=True
    )[:PARTNERS_MAX]
    for left in candidates[:LEAVING_MAX]:
        for right in partners:
            exchange = _exchange(left, right, mix)
            if exchange is None:
                continue
            if best is None or exchange.gain_millis > best.gain_millis:
                best = exchange
    return best


def waiting_mix(cell: "Scheduler") -> Mix:
    """Return the images of the fillers that wait for a worker."""
    needs: dict[str, float] = {}
    for state in cell.open_jobs.values():
        if state.status.final:
            continue
        for steps in state.occurrences.values():
            for step in steps:
                if step.step.filler and step.ready_at_s is not None:
                    millis = step.step.need.cpu_millis * len(step.waiting())
                    needs[step.step.image] = needs.get(step.step.image, 0.0) + millis
    total = sum(needs.values())
    shares = {image: millis / total for image, millis in needs.items() if millis}
    return Mix(shares, cell.model)


def _misplaced_ratio(candidate: Candidate, mix: Mix) -> float:
    """Return how much more open a task's image is than its worker."""
    place = candidate.place
    image = candidate.run.step.image
    if not place.spare_millis:
        return 0.0
    return mix.open_ratio(image, image) - place.value_millis / place.spare_millis


def _exchange(left: Candidate, right: Candidate, mix: Mix) -> Exchange | None:
    """Return the exchange of two tasks, if both fit and it opens enough."""
    if left.place is right.place or left.run.step.image == right.run.step.image:
        return None
    if not _fits(left, right) or not _fits(right, left):
        return None
    value = _value(left.place, mix, left.run, right.run)
    value += _value(right.place, mix, right.run, left.run)
    gain = value - left.place.value_millis - right.place.value_millis
    if gain < 2 * GAIN_MILLIS_MIN:
        return None
    return Exchange(left, right, gain)


def _fits(moving: Candidate, other: Candidate) -> bool:
    """Tell whether a task may take the other's place."""
    worker = other.place.worker
    if worker.listing.service != moving.place.worker.listing.service:
        return False
    if not moving.run.charge.fits_in(worker.free() + other.run.charge):
        return False
    return (
        not moving.run.step.per_worker_max
        or step_count(worker, moving.run.key) < moving.run.step.per_worker_max
    )


def step_count(worker: WorkerState, key: TaskKey) -> int:
    """Count the tasks on a worker that are of the same step as this one."""
    return sum(other[:3] == key[:3] for other in worker.runs)
