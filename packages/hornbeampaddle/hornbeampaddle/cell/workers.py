"""
Track what one worker holds and how far it can be trusted.

The book of a worker is the attempts that may be running there. Room is given
back only when an attempt is known to have ended, so that an order whose answer
was lost can never bring a worker over its capacity.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from ..clocks import RemoteClock
from ..machines import Address
from ..resources import NOTHING, Resources
from .interference import PRIOR_OWN, Interference
from .jobs import TaskKey
from .progress import Run

ENDS_KEPT = 6
# A filler starts where the slack of every serving task is expected to stay above this,
# at full speed: 1 is the target, the users' load takes up to 0.35 of slack a second,
# and a pace is corrected within 1 s.
PLACE_SLACK = 1.3


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """What the list of workers says of one; ``labels`` are kind and rack."""

    worker_id: str
    service: str
    address: Address
    data_centre: str
    capacity: Resources
    labels: frozenset[str] = frozenset()
    draining: bool = False

    @property
    def rack(self) -> str:
        """Return the label that names the rack, or empty."""
        return next((name for name in self.labels if "-" in name), "")


@dataclass(frozen=True, slots=True)
class FillerRoom:
    """
    What fillers of one image may still use of a worker.

    ``share`` is the share of the worker that no serving task's slack would notice,
    infinite if they disturb nobody; ``slope`` is the slack that a whole worker of them
    would take from the most sensitive one.
    """

    share: float
    slope: float


@dataclass(slots=True)
class WorkerState:
    """One incarnation of a worker as the holder sees it."""

    listing: WorkerListing
    clock: RemoteClock
    listed: bool = True
    reported: bool = False
    gone: bool = False
    # Its data centre is evacuated: nothing new may start here, what runs runs on.
    evacuated: bool = False
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    # Runs that no task's book has a place for, by task and number: of unknown jobs, or
    # beside another run of their task. They are stopped, and take room until they end.
    strays: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    taken: Resources = NOTHING
    # Room that is kept for tasks on their way here.
    held: Resources = NOTHING
    # When this holder first saw the worker in the list.
    listed_at_s: float = float("-inf")
    # A run of a suspected task: nothing more starts here until a report shows it.
    trial: Run | None = None
    seen_end: int = 0
    acked_end: int = 0
    # The last deadline that was sent, on the worker's clock, and the local time
    # by which it has certainly passed there.
    granted_s: float | None = None
    lease_over_at_s: float = float("-inf")
    silent: bool = False
    # When it first did not answer, since the last report.
    silent_since_s: float | None = None
    last_report_at_s: float = float("-inf")
    rest_until_s: float = float("-inf")
    failures_in_row: int = 0
    recent_ends: deque[bool] = field(default_factory=lambda: deque(maxlen=ENDS_KEPT))
    lasting_cpu_millis: int = 0
    busy_cpu_millis: int = 0
    filler_cpu_millis: int = 0
    paced_at_s: float = float("-inf")
    over_since_s: float | None = None
    # Serving tasks by image and by job, and the processors that fillers of each
    # image need.
    serving: dict[str, int] = field(default_factory=dict)
    serving_jobs: dict[str, int] = field(default_factory=dict)
    needed_cpu_millis: dict[str, int] = field(default_factory=dict)
    # The lowest own slack of the jobs whose tasks serve here, by image.
    own_slack: dict[str, float] = field(default_factory=dict)
    # What paced fillers do not use of their need.
    held_back_cpu_millis: float = 0.0
    # Worked out when first asked for, until something on the worker changes: a cell of
    # 250 workers looks at each of them hundreds of times in a decision.
    _free: Resources | None = None
    _filler_room: dict[str, FillerRoom] = field(default_factory=dict)
    _slack_left: dict[str, float] = field(default_factory=dict)

    @property
    def worker_id(self) -> str:
        """Return the id of this incarnation."""
        return self.listing.worker_id

    def free(self) -> Resources:
        """Return the room that is certain to be free; none during a trial."""
        if self.trial is not None:
            return NOTHING
        if self._free is None:
            self._free = self.listing.capacity - self.taken - self.held
        return self._free

    def relist(self, listing: WorkerListing) -> None:
        """Replace the listing; an unchanged one is ignored."""
        if listing == self.listing:
            return
        self.listing = listing
        self.changed()

    def hold(self, room: Resources) -> None:
        """Keep room for a task on its way here."""
        self.held = self.held + room
        self.changed()

    def let_go(self, room: Resources) -> None:
        """Give back room that was kept."""
        self.held = self.held - room
        self.changed()

    def end_trial(self) -> None:
        """Let other tasks start here again."""
        self.trial = None
        self.changed()

    def changed(self) -> None:
        """Forget what was worked out from the state before."""
        self._free = None
        self._filler_room.clear()
        self._slack_left.clear()

    def filler_room(self, image: str, model: Interference) -> FillerRoom:
        """Return the room that serving tasks leave to fillers of an image."""
        room = self._filler_room.get(image)
        if room is None:
            room = self._filler_room[image] = self._room_for(image, model)
        return room

    def _room_for(self, filling: str, model: Interference) -> FillerRoom:
        if not self._slack_left:
            self._slack_left = self._work_out_slack(model)
        share = math.inf
        worst_slope = 0.0
        for serving, left in self._slack_left.items():
            slope = model.slope(serving, filling)
            if slope <= 0:
                continue
            share = min(share, max(0.0, left / slope))
            worst_slope = max(worst_slope, slope)
        return FillerRoom(share, worst_slope)

    def _work_out_slack(self, model: Interference) -> dict[str, float]:
        """Return the slack that fillers may still take from each serving image."""
        demand = self.demand()
        return {
            serving: self.own_slack.get(serving, PRIOR_OWN)
            - model.pressure(serving, demand)
            - PLACE_SLACK
            for serving in self.serving
        }

    def spare_cpu_millis(self) -> float:
        """
        Estimate the processor time that fillers share here.

        Lasting tasks use about half of what they reserve, tasks that end use
        all of it.
        """
        used = self.lasting_cpu_millis * LASTING_USE_RATIO + self.busy_cpu_millis
        fillers = self.filler_cpu_millis - self.held_back_cpu_millis
        return self.listing.capacity.cpu_millis - used - fillers

    def demand(self) -> dict[str, float]:
        """Return the share of the worker that fillers of each image ask for."""
        # The capacity of a worker that only an old record names is unknown.
        capacity_millis = max(1, self.listing.capacity.cpu_millis)
        needed = self.needed_cpu_millis.items()
        return {image: millis / capacity_millis for image, millis in needed}

    def add(self, run: Run) -> None:
        """Book an attempt."""
        self.runs[run.key] = run
        self.taken = self.taken + run.charge
        self.changed()
        self._count_use(run, 1)

    def add_stray(self, run: Run) -> None:
        """Book a run that only waits for its end."""
        self.strays[run.key, run.number] = run
        self.taken = self.taken + run.charge
        self.changed()

    def books(self, run: Run) -> bool:
        """Tell whether a run takes room here."""
        if self.runs.get(run.key) is run:
            return True
        return self.strays.get((run.key, run.number)) is run

    def all_runs(self) -> list[Run]:
        """Return every run that takes room here."""
        return [*self.runs.values(), *self.strays.values()]

    def remove(self, run: Run) -> None:
        """Give an attempt's room back; its end is known."""
        if self.trial is run:
            self.end_trial()
        if self.strays.get((run.key, run.number)) is run:
            del self.strays[run.key, run.number]
            self.taken = self.taken - run.charge
            self.changed()
            return
        if self.runs.get(run.key) is not run:
            return
        del self.runs[run.key]
        self.taken = self.taken - run.charge
        self.changed()
        self._count_use(run, -1)

    def _count_use(self, run: Run, sign: int) -> None:
        step = run.step
        cpu_millis = sign * step.need.cpu_millis
        if step.filler:
            self.filler_cpu_millis += cpu_millis
            _count(self.needed_cpu_millis, step.image, cpu_millis)
        elif step.lasting:
            self.lasting_cpu_millis += cpu_millis
        else:
            self.busy_cpu_millis += cpu_millis
        if step.tail_target_s:
            _count(self.serving, step.image, sign)
            _count(self.serving_jobs, run.key.job_id, sign)

    def idle(self) -> bool:
        """Return whether nothing runs here and every end is acknowledged."""
        return not self.runs and not self.strays and self.acked_end >= self.seen_end

    def lost_at_s(self, now_s: float) -> float:
        """Return when a worker that is given up now stopped answering."""
        return now_s if self.silent_since_s is None else self.silent_since_s

    def present(self) -> bool:
        """Tell whether the worker is listed, answers, stays and may take tasks."""
        if not self.listed or not self.reported or self.gone or self.evacuated:
            return False
        return not self.silent and not self.listing.draining

    def resting(self, now_s: float) -> bool:
        """Tell whether the worker is left alone for a while."""
        return now_s < self.rest_until_s

    def usable(self, now_s: float) -> bool:
        """Tell whether a new attempt may be placed here."""
        return self.present() and not self.resting(now_s)

    def note_end(self, well: bool) -> None:
        """Count an end that says something about the worker itself."""
        self.recent_ends.append(well)
        self.failures_in_row = 0 if well else self.failures_in_row + 1


def _count(counts: dict[str, int], name: str, change: int) -> None:
    """Change a count by name; what comes to nothing is dropped."""
    counts[name] = counts.get(name, 0) + change
    if not counts[name]:
        del counts[name]


# Mean load of tasks that serve others, as a share of what they reserve.
LASTING_USE_RATIO = 0.5
