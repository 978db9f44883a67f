"""
Track the booked runs, the capacity and the health of one worker.

The runs booked on a worker are the attempts that may be running there. Room is
released only when an attempt is known to have ended, so that an order whose answer
was lost can never overcommit a worker.
"""

import math
from dataclasses import dataclass, field

from ..clocks import RemoteClock
from ..machines import Address
from ..resources import NOTHING, Resources
from .health import WorkerHealth
from .incarnations import WorkerId
from .interference import PRIOR_BASELINE_SLACK, Interference
from .jobs import TaskKey
from .progress import Run, RunPhase, Task
from .reports import EndedRow

# Slack (target / tail latency) above which every serving task on a worker must be
# expected to stay when a filler starts there at full speed. 1 is the target, the users'
# load takes up to 0.35 of slack per second, and a pace is corrected within 1 s.
PLACE_SLACK = 1.3
# Unacknowledged ends from which on nothing more is placed on a worker: a report lists
# 500, and the runs that are at work then still fit in.
HELD_ENDS_MAX = 250


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """One entry of the list of workers; ``labels`` are its kind and its rack."""

    worker_id: WorkerId
    service: str
    address: Address
    data_centre: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    draining: bool = False

    @property
    def rack(self) -> str:
        """Return the label that names the rack, or an empty string."""
        return next((name for name in self.labels if "-" in name), "")


@dataclass(frozen=True, slots=True)
class FillerHeadroom:
    """
    The headroom of one worker for fillers of one image.

    ``share`` is the fraction of the worker that they may use while every serving task
    keeps enough slack, infinite if they disturb none; ``slope`` is the slack that the
    most sensitive serving task would lose if they used the whole worker.
    """

    share: float
    slope: float


@dataclass(frozen=True, slots=True)
class UnansweredStart:
    """A start of which a copy got no answer, and when that copy was sent."""

    run: Run
    sent_at_s: float


@dataclass(slots=True)
class WorkerState:
    """The holder's view of one incarnation of a worker."""

    listing: WorkerListing
    clock: RemoteClock
    listed: bool = True
    reported: bool = False
    gone: bool = False
    # Whether its data centre is evacuated: nothing may start here, running tasks stay.
    evacuated: bool = False
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    # Runs that cannot be booked in ``runs``, by task and number: of unknown tasks, or
    # beside another run of their task. They are stopped, and occupy room until they
    # end.
    strays: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    taken: Resources = NOTHING
    # Room that is reserved for tasks that are being moved here.
    reserved_room: Resources = NOTHING
    # When this holder first saw the worker in the list.
    listed_at_s: float = float("-inf")
    # Run of a task suspected of crashing workers: nothing else starts here until a
    # report lists it.
    isolated_run: Run | None = None
    # Starts of this holder to this incarnation, or to earlier ones at moments ago, of
    # which a copy got no answer and may still be carried out, and when it was sent.
    unanswered_starts: dict[tuple[TaskKey, int], UnansweredStart] = field(
        default_factory=dict
    )
    # Positions of the last end that was processed and of the last one acknowledged.
    seen_end: int = 0
    acked_end: int = 0
    # Positions of the ends that must not be acknowledged yet, in order, each with the
    # tasks of which a copy of a start may be carried out late.
    held_ends: dict[int, tuple[Task, ...]] = field(default_factory=dict)
    # Whether its last report left out ends, and since when its reports have done so
    # without listing a new one, although all that they listed are stored.
    ends_left_out: bool = False
    ends_stuck_since_s: float | None = None
    # The last granted deadline, on the worker's clock, and the local time by which it
    # has certainly passed there.
    granted_deadline_s: float | None = None
    lease_over_at_s: float = float("-inf")
    # When an order that renews its lease was last sent, and by when the leases have
    # expired that such orders to its earlier incarnations may still grant to it.
    renewed_at_s: float = float("-inf")
    late_leases_over_at_s: float = float("-inf")
    silent: bool = False
    # When it first failed to answer since its last report.
    silent_since_s: float | None = None
    last_report_at_s: float = float("-inf")
    health: WorkerHealth = field(default_factory=WorkerHealth)
    # How long it gets no starts, as it refused one.
    unwell_until_s: float = float("-inf")
    # CPU requested by the booked runs, by kind of task.
    lasting_cpu_millis: int = 0
    plain_cpu_millis: int = 0
    filler_cpu_millis: int = 0
    paced_at_s: float = float("-inf")
    # Since when a serving task here has missed its tail latency target.
    over_since_s: float | None = None
    # Numbers of serving tasks by image and by job, and the CPU that fillers request, by
    # image.
    serving: dict[str, int] = field(default_factory=dict)
    serving_jobs: dict[str, int] = field(default_factory=dict)
    needed_cpu_millis: dict[str, int] = field(default_factory=dict)
    # The lowest slack without fillers of the jobs whose tasks serve here, by image.
    baseline_slack_by_image: dict[str, float] = field(default_factory=dict)
    # Requested CPU that fillers leave unused because they run at a reduced pace.
    unused_filler_cpu_millis: float = 0.0
    # Caches, filled on first use and invalidated when the worker changes: in a cell of
    # 250 workers, a decision reads each of them hundreds of times.
    _free: Resources | None = None
    _filler_headroom: dict[str, FillerHeadroom] = field(default_factory=dict)
    _slack_left: dict[str, float] = field(default_factory=dict)

    @property
    def worker_id(self) -> WorkerId:
        """Return the id of this incarnation of the worker."""
        return self.listing.worker_id

    def free(self) -> Resources:
        """Return the room that is certainly free; none while a run is isolated."""
        if self.isolated_run is not None:
            return NOTHING
        if self._free is None:
            self._free = self.listing.capacity - self.taken - self.reserved_room
        return self._free

    def update_listing(self, listing: WorkerListing) -> None:
        """Replace the listing; an unchanged one is ignored."""
        if listing == self.listing:
            return
        self.listing = listing
        self.invalidate_cache()

    def reserve_room(self, room: Resources) -> None:
        """Reserve room for a task that is being moved here."""
        self.reserved_room = self.reserved_room + room
        self.invalidate_cache()

    def release_reserved_room(self, room: Resources) -> None:
        """Release reserved room."""
        self.reserved_room = self.reserved_room - room
        self.invalidate_cache()

    def end_isolation(self) -> None:
        """End a run's isolation: other tasks may start here again."""
        self.isolated_run = None
        self.invalidate_cache()

    def invalidate_cache(self) -> None:
        """Clear the values computed from the earlier state."""
        self._free = None
        self._filler_headroom.clear()
        self._slack_left.clear()

    def filler_headroom(self, image: str, model: Interference) -> FillerHeadroom:
        """Return the headroom that serving tasks leave to fillers of an image."""
        room = self._filler_headroom.get(image)
        if room is None:
            room = self._filler_headroom[image] = self._compute_filler_headroom(
                image, model
            )
        return room

    def _compute_filler_headroom(
        self, filling: str, model: Interference
    ) -> FillerHeadroom:
        if not self._slack_left:
            self._slack_left = self._compute_slack_left(model)
        share = math.inf
        worst_slope = 0.0
        for serving, left in self._slack_left.items():
            slope = model.slope(serving, filling)
            if slope <= 0:
                continue
            share = min(share, max(0.0, left / slope))
            worst_slope = max(worst_slope, slope)
        return FillerHeadroom(share, worst_slope)

    def _compute_slack_left(self, model: Interference) -> dict[str, float]:
        """Return the slack that fillers may still use, by serving image."""
        demand = self.demand()
        return {
            serving: self.baseline_slack_by_image.get(serving, PRIOR_BASELINE_SLACK)
            - model.slack_loss(serving, demand)
            - PLACE_SLACK
            for serving in self.serving
        }

    def spare_cpu_millis(self) -> float:
        """
        Estimate the CPU available to more fillers, in thousandths of a core.

        Lasting tasks use about half of the CPU that they reserve, tasks that end use
        all of it.
        """
        used = self.lasting_cpu_millis * LASTING_USE_RATIO + self.plain_cpu_millis
        fillers = self.filler_cpu_millis - self.unused_filler_cpu_millis
        return self.listing.capacity.cpu_millis - used - fillers

    def demand(self) -> dict[str, float]:
        """Return the fraction of the worker that fillers request, by image."""
        # The capacity of a worker that is known only from an old record is unknown.
        capacity_millis = max(1, self.listing.capacity.cpu_millis)
        needed = self.needed_cpu_millis.items()
        return {image: millis / capacity_millis for image, millis in needed}

    def add(self, run: Run) -> None:
        """Book an attempt and the room that it occupies."""
        self.runs[run.key] = run
        self.taken = self.taken + run.charge
        self.invalidate_cache()
        self._count_use(run, 1)

    def add_stray(self, run: Run) -> None:
        """Book a run outside ``runs`` that is only waited for until it ends."""
        self.strays[run.key, run.number] = run
        self.taken = self.taken + run.charge
        self.invalidate_cache()

    def books(self, run: Run) -> bool:
        """Return whether a run occupies room here."""
        if self.runs.get(run.key) is run:
            return True
        return self.strays.get((run.key, run.number)) is run

    def books_end(self, row: EndedRow) -> bool:
        """Return whether the run that a report lists as ended occupies room here."""
        booked = self.runs.get(row.key)
        if booked is not None and booked.number == row.number:
            return True
        return (row.key, row.number) in self.strays

    def has_unanswered(self, run: Run) -> bool:
        """Return whether a copy of a run's start may be carried out here late."""
        return (run.key, run.number) in self.unanswered_starts

    def all_runs(self) -> list[Run]:
        """Return every run that occupies room here."""
        return [*self.runs.values(), *self.strays.values()]

    def remove(self, run: Run) -> None:
        """Release the room of an attempt that has ended."""
        if self.isolated_run is run:
            self.end_isolation()
        if self.strays.get((run.key, run.number)) is run:
            del self.strays[run.key, run.number]
            self.taken = self.taken - run.charge
            self.invalidate_cache()
            return
        if self.runs.get(run.key) is not run:
            return
        del self.runs[run.key]
        self.taken = self.taken - run.charge
        self.invalidate_cache()
        self._count_use(run, -1)

    def _count_use(self, run: Run, sign: int) -> None:
        step = run.step
        cpu_millis = sign * step.need.cpu_millis
        if step.filler:
            self.filler_cpu_millis += cpu_millis
            _add_to_count(self.needed_cpu_millis, step.image, cpu_millis)
        elif step.lasting:
            self.lasting_cpu_millis += cpu_millis
        else:
            self.plain_cpu_millis += cpu_millis
        if step.tail_target_s:
            _add_to_count(self.serving, step.image, sign)
            _add_to_count(self.serving_jobs, run.key.job_id, sign)

    def idle(self) -> bool:
        """Return whether nothing runs here and every end is acknowledged."""
        acknowledged = self.acked_end >= self.seen_end and not self.ends_left_out
        return not self.runs and not self.strays and acknowledged

    def acknowledgeable_end(self, now_s: float) -> int:
        """Return the position up to which ends may be acknowledged, if it is stored."""
        for position, tasks in list(self.held_ends.items()):
            if any(task.late_start_until_s >= now_s for task in tasks):
                return min(self.seen_end, position - 1)
            del self.held_ends[position]
        return self.seen_end

    def _held_back(self) -> int:
        """Return how many ends are not acknowledged because of the first one held."""
        first = next(iter(self.held_ends), None)
        return self.seen_end - first + 1 if first is not None else 0

    def awaits_report(self) -> bool:
        """Return whether the next report renews a doubtful lease or settles a run."""
        if self.silent or self.granted_deadline_s is None or self.strays:
            return True
        unsettled = any(run.phase < RunPhase.RUNNING for run in self.runs.values())
        return unsettled or self.isolated_run is not None

    def runs_over_at_s(self) -> float:
        """Return the local time by which its runs have ended if it stays silent."""
        return max(self.lease_over_at_s, self.late_leases_over_at_s)

    def known(self) -> bool:
        """Return whether this holder has heard of all that runs and has ended here."""
        return self.reported and not self.ends_left_out

    def lost_at_s(self, now_s: float) -> float:
        """Return when a worker that is lost now stopped answering."""
        return now_s if self.silent_since_s is None else self.silent_since_s

    def present(self) -> bool:
        """Return whether the worker is listed and answers, and its tasks may stay."""
        if not self.listed or not self.known() or self.gone or self.evacuated:
            return False
        return not self.silent and not self.listing.draining

    def may_be_kept(self) -> bool:
        """Return whether room here is worth keeping, even if it is silent for now."""
        if not self.listed or not self.reported or self.gone or self.evacuated:
            return False
        return not self.listing.draining

    def resting(self, now_s: float) -> bool:
        """Return whether the worker is temporarily excluded from new attempts."""
        return now_s < self.unwell_until_s or self.health.resting(now_s)

    def usable(self, now_s: float) -> bool:
        """Return whether a new attempt may be placed here."""
        if self._held_back() >= HELD_ENDS_MAX:
            return False
        return self.present() and not self.resting(now_s)


def _add_to_count(counts: dict[str, int], name: str, change: int) -> None:
    """Add to a count by name, and remove it at zero."""
    counts[name] = counts.get(name, 0) + change
    if not counts[name]:
        del counts[name]


# Mean CPU usage of lasting tasks, as a fraction of the CPU that they reserve.
LASTING_USE_RATIO = 0.5
