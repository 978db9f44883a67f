"""
Simulated workers: leases, fencing tokens, runs, ends, checkpoints and pace.

The workers check the orders that they carry out. These are violations: two
concurrent runs of a task, a start after the task's end or cancellation, a start in an
evacuated data centre, repeated starts of a task that crashes its workers, and starts
beyond a worker's capacity.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.reports import (
    Done,
    EndedRow,
    EndKind,
    OrderOutcome,
    Reason,
    Refused,
    RunningRow,
)
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.resources import NOTHING, Resources

ROUND_TRIP_S = 0.002
CALL_TIMEOUT_S = 0.6
STOP_DURATION_S = 0.3
# The users' bounds on a cancelled job: after the answer its tasks may still start
# within START_AFTER_CANCEL_MAX_S; the cell learns of a start within
# REPORT_DELAY_MAX_S; a run that the cell knows of ends within STOP_MAX_S.
START_AFTER_CANCEL_MAX_S = 3.0
REPORT_DELAY_MAX_S = 3.0
STOP_MAX_S = 0.4
# No task starts in a data centre later than this after its evacuation is stored.
START_AFTER_EVACUATION_MAX_S = 5.0
LEASE_MAX_S = 10.0
# The cell applies a reduced capacity within this time: the report delay plus one
# heartbeat, which a worker sends each second with its capacity.
SHRINK_DELAY_MAX_S = REPORT_DELAY_MAX_S + 1.1
# A crashed worker restarts at the same address under a new id after this delay.
RESTART_DELAY_S = 2.0
# After a task has crashed CRASHES_MAX workers, it may be started fewer than three more
# times.
CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
TICK_S = 0.05
# Ends that one report lists.
ENDS_PER_REPORT_MAX = 500
# Slack (target latency / tail latency) of a serving task without fillers beside it.
UNDISTURBED_SLACK = 2.8
# Reported tail latencies are capped at this multiple of the target.
TAIL_RATIO_MAX = 20.0


@dataclass(slots=True)
class RunSpan:
    """The time interval of one run on a worker; infinite end while it runs."""

    key: TaskKey
    begun_at_s: float
    ended_at_s: float = math.inf


@dataclass(slots=True)
class InvariantChecker:
    """Record the runs of all workers; ``broken`` lists the violations found."""

    running: dict[TaskKey, int] = field(default_factory=dict)
    begun_at_s: dict[TaskKey, float] = field(default_factory=dict)
    done: set[TaskKey] = field(default_factory=set)
    cancelled_at_s: dict[str, float] = field(default_factory=dict)
    # By data centre: since when no task may start there.
    evacuated_at_s: dict[str, float] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    # Starts whose order was delivered with a delay.
    late_starts: int = 0
    started_at_s: list[float] = field(default_factory=list)
    over_target_s: float = 0.0
    spans: list[RunSpan] = field(default_factory=list)
    # Runs that ended because their worker's lease expired.
    lapsed: int = 0
    # By task: the workers that it crashed, and its starts after CRASHES_MAX crashes.
    crashes: Counter[TaskKey] = field(default_factory=Counter)
    starts_after_crashes: Counter[TaskKey] = field(default_factory=Counter)

    def began(
        self, key: TaskKey, data_centre: str, now_s: float, late: bool = False
    ) -> RunSpan:
        """Record a start; ``late`` if its order was delivered with a delay."""
        self.starts += 1
        self.late_starts += late
        self.started_at_s.append(now_s)
        if self.running.get(key, 0):
            self.broken.append(f"{now_s:.3f}: {key} runs twice")
        if key in self.done:
            self.broken.append(f"{now_s:.3f}: {key} runs after its end")
        cancelled_at_s = self.cancelled_at_s.get(key.job_id, math.inf)
        if now_s > cancelled_at_s + START_AFTER_CANCEL_MAX_S and not late:
            self.broken.append(f"{now_s:.3f}: {key} starts after its cancellation")
        evacuated_at_s = self.evacuated_at_s.get(data_centre, math.inf)
        if now_s > evacuated_at_s + START_AFTER_EVACUATION_MAX_S and not late:
            self.broken.append(f"{now_s:.3f}: {key} starts in evacuated {data_centre}")
        if self.crashes[key] >= CRASHES_MAX:
            self.starts_after_crashes[key] += 1
            if self.starts_after_crashes[key] > STARTS_AFTER_CRASHES_MAX:
                self.broken.append(f"{now_s:.3f}: {key} keeps crashing workers")
        self.running[key] = self.running.get(key, 0) + 1
        self.begun_at_s[key] = now_s
        span = RunSpan(key, now_s)
        self.spans.append(span)
        return span

    def acknowledged(self, key: TaskKey, ended_at_s: float) -> None:
        """
        Record that the scheduler acknowledged a completed run.

        A completion that is lost with its worker before the acknowledgement does
        not count: the task has to run again.
        """
        self.done.add(key)
        if self.begun_at_s[key] > ended_at_s:
            self.broken.append(f"{ended_at_s:.3f}: {key} began after its end")

    def ended(self, key: TaskKey, span: RunSpan, now_s: float) -> None:
        """Record the end of a run."""
        self.running[key] -= 1
        span.ended_at_s = now_s

    def runs_past_cancellation(self, now_s: float) -> list[RunSpan]:
        """
        Return the runs of cancelled jobs that exceeded the allowed time by now.

        The time counts from the cancellation or, for a run that began late, from
        when the cell must have learned of it.
        """
        late = []
        for span in self.spans:
            cancelled_at_s = self.cancelled_at_s.get(span.key.job_id, math.inf)
            known_at_s = max(
                cancelled_at_s + START_AFTER_CANCEL_MAX_S,
                span.begun_at_s + REPORT_DELAY_MAX_S,
            )
            if min(now_s, span.ended_at_s) > known_at_s + STOP_MAX_S:
                late.append(span)
        return late


@dataclass(slots=True)
class LiveRun:
    """The state of a run on a worker."""

    run: Run
    work_s: float
    span: RunSpan
    done_s: float = 0.0
    pace: float = 1.0
    saved_s: float = 0.0
    fails: bool = False


@dataclass
class CellWorker:
    """
    One incarnation of a worker in simulated time.

    ``work_of`` returns the seconds of work of a run and whether it fails;
    ``slope_of`` returns the slack that a serving image loses per worker filled by
    a filling image; ``skew_s`` is the offset of the worker's clock.
    """

    listing: WorkerListing
    checker: InvariantChecker
    work_of: Callable[[Run], tuple[float, bool]]
    slope_of: Callable[[str, str], float]
    skew_s: float = 0.0
    token: int = 0
    lease_until_s: float = 0.0
    runs: dict[TaskKey, LiveRun] = field(default_factory=dict)
    ends: list[EndedRow] = field(default_factory=list)
    done_at_s: dict[int, float] = field(default_factory=dict)
    position: int = 0
    highest_number: dict[TaskKey, int] = field(default_factory=dict)
    alive: bool = True
    fails_all: bool = False
    stalled: bool = False
    whole_percents: bool = False
    # Refuses every order without any effect, but still reports.
    unwell: bool = False
    # Refuses starts that carry no ticket.
    needs_ticket: bool = False
    # The capacity before the last resize, and until when starts may rely on it.
    capacity_before: Resources = NOTHING
    shrink_pending_until_s: float = 0.0
    # Returns the seconds from a run's start until it crashes the worker, or None.
    crash_after_s: Callable[[Run], float | None] = lambda run: None
    # Called after a crash, to restart the worker.
    on_crash: Callable[["CellWorker"], None] = lambda worker: None
    # After a crash: connections are refused; another incarnation has the address.
    refuses: bool = False
    replaced: bool = False
    # Whether a lastSeen above the number of ends so far counts for later ends, which
    # are then dropped unread; otherwise it is ignored, and they are listed again.
    drops_ends_ahead: bool = True
    # How many ends one report lists at most.
    ends_per_report: int = ENDS_PER_REPORT_MAX
    # Set while an order that was delayed on its way is carried out.
    delivering_late: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def now_s(self) -> float:
        """Return simulated seconds."""
        return asyncio.get_running_loop().time()

    def clock_s(self) -> float:
        """Return the time of this worker's own clock."""
        return self.now_s() + self.skew_s

    def die(self) -> None:
        """Terminate the worker and all its runs."""
        self.alive = False
        for key, live in self.runs.items():
            self.checker.ended(key, live.span, self.now_s())
        self.runs.clear()

    def resize(self, capacity: Resources) -> None:
        """Change the capacity while the worker runs."""
        self.capacity_before = self.listing.capacity
        self.shrink_pending_until_s = self.now_s() + SHRINK_DELAY_MAX_S
        self.listing = replace(self.listing, capacity=capacity)

    def _capacity_limit(self) -> Resources:
        if self.now_s() < self.shrink_pending_until_s:
            return self.listing.capacity.largest(self.capacity_before)
        return self.listing.capacity

    def crash(self) -> None:
        """Terminate the worker and all its runs; then refuse connections."""
        if not self.alive:
            return
        self.die()
        self.refuses = True
        self.changed.set()
        self.on_crash(self)

    def _crash_during(self, run: Run) -> None:
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            self.checker.crashes[run.key] += 1
            self.crash()

    async def live(self) -> None:
        """Advance the runs tick by tick for as long as the worker is alive."""
        while self.alive:
            await asyncio.sleep(TICK_S)
            self.advance(TICK_S)

    def advance(self, passed_s: float) -> None:
        """Advance all runs; end those that are finished or whose lease expired."""
        if self.clock_s() >= self.lease_until_s:
            self.checker.lapsed += len(self.runs)
            for key in list(self.runs):
                self._end(key, EndKind.LEASE_EXPIRED)
            # A task whose completion is not acknowledged when the lease expires may
            # rightly run again on another worker.
            self.done_at_s.clear()
            return
        speed = self._filler_speed()
        for key, live in list(self.runs.items()):
            if self.stalled:
                continue
            rate = live.pace * (speed if live.run.step.filler else 1.0)
            live.done_s += passed_s * rate
            if live.run.step.saves_checkpoints:
                live.saved_s = math.floor(live.done_s)
            if live.done_s >= live.work_s and not live.run.step.lasting:
                self._end(key, EndKind.FAILED if live.fails else EndKind.DONE)
        for live in self.runs.values():
            if live.run.step.tail_target_s and self._tail_ratio(live) > 1:
                self.checker.over_target_s += passed_s

    def _filler_speed(self) -> float:
        fillers = [r.run for r in self.runs.values() if r.run.step.filler]
        wanted = sum(run.step.need.cpu_millis for run in fillers)
        others = sum(
            live.run.step.need.cpu_millis * (0.5 if live.run.step.lasting else 1.0)
            for live in self.runs.values()
            if not live.run.step.filler
        )
        left = max(0.0, self.listing.capacity.cpu_millis - others)
        return min(1.0, left / wanted) if wanted else 1.0

    def _tail_ratio(self, live: LiveRun) -> float:
        """Return tail latency / target; fillers beside the task reduce its slack."""
        slack = UNDISTURBED_SLACK
        speed = self._filler_speed()
        for other in self.runs.values():
            if other.run.step.filler:
                use = other.run.step.need.cpu_millis * other.pace * speed
                share = use / self.listing.capacity.cpu_millis
                slack -= share * self.slope_of(
                    live.run.step.image, other.run.step.image
                )
        return 1 / max(1 / TAIL_RATIO_MAX, slack)

    def _end(self, key: TaskKey, how: EndKind) -> None:
        live = self.runs.pop(key)
        self.checker.ended(key, live.span, self.now_s())
        self.position += 1
        if how is EndKind.DONE:
            self.done_at_s[self.position] = self.now_s()
        saved = str(live.saved_s) if live.saved_s else ""
        self.ends.append(EndedRow(self.position, key, live.run.number, how, saved))
        self.changed.set()
        self.changed = asyncio.Event()

    # Orders

    def start(self, run: Run, token: int, deadline_s: float) -> OrderOutcome:
        """Start a run, or return the reason for the refusal."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        self._extend_lease(deadline_s)
        if deadline_s < self.clock_s():
            return Refused(Reason.EXPIRED, self.clock_s())
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            return Done(self.clock_s())
        if run.number <= self.highest_number.get(run.key, 0):
            return Refused(Reason.OUTDATED, self.clock_s())
        if live is not None:
            return Refused(Reason.OUTDATED, self.clock_s())
        if self.needs_ticket and not run.ticket:
            return Refused(Reason.TICKET, self.clock_s())
        self._begin(run)
        return Done(self.clock_s())

    def _begin(self, run: Run) -> None:
        span = self.checker.began(
            run.key, self.listing.data_centre, self.now_s(), self.delivering_late
        )
        work_s, fails = self.work_of(run)
        live = LiveRun(run, work_s, span, fails=fails or self.fails_all)
        live.done_s = live.saved_s = float(run.checkpoint or 0)
        self.runs[run.key] = live
        self.highest_number[run.key] = run.number
        after_s = self.crash_after_s(run)
        if after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(after_s, self._crash_during, run)
        taken = NOTHING
        for other in self.runs.values():
            taken = taken + other.run.charge
        if not taken.fits_in(self._capacity_limit()):
            self.checker.broken.append(f"{self.now_s():.3f}: {run.worker_id} is over")

    def _extend_lease(self, deadline_s: float) -> None:
        bounded_s = min(deadline_s, self.clock_s() + LEASE_MAX_S)
        self.lease_until_s = max(self.lease_until_s, bounded_s)

    def stop(self, run: Run, token: int) -> OrderOutcome:
        """End a run after ``STOP_DURATION_S``; later starts of it are refused."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        self.highest_number[run.key] = max(
            self.highest_number.get(run.key, 0), run.number
        )
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_DURATION_S, self._stopped, run.key, live)
        return Done(self.clock_s())

    def _stopped(self, key: TaskKey, live: LiveRun) -> None:
        if self.runs.get(key) is live:
            live.saved_s = live.done_s if live.run.step.saves_checkpoints else 0.0
            self._end(key, EndKind.STOPPED)

    def pace(self, run: Run, token: int, percent: int) -> OrderOutcome:
        """Limit a run to a percentage of its speed."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            live.pace = percent / 100
        return Done(self.clock_s())

    def renew(
        self, token: int, last_seen: int, deadline_s: float | None
    ) -> Refused | None:
        """Extend the lease and drop acknowledged ends."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        if deadline_s is not None:
            self._extend_lease(deadline_s)
        if last_seen > self.position and not self.drops_ends_ahead:
            return None
        for end in self.ends:
            done_at_s = self.done_at_s.pop(end.position, None)
            if end.position <= last_seen and done_at_s is not None:
                self.checker.acknowledged(end.key, done_at_s)
            elif done_at_s is not None:
                self.done_at_s[end.position] = done_at_s
        self.ends = [end for end in self.ends if end.position > last_seen]
        return None

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait for an unacknowledged end, for at most ``wait_s``."""
        if self.ends or not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            pass

    def listed_ends(self) -> tuple[EndedRow, ...]:
        """Return the ends that a report lists, the oldest first."""
        return tuple(self.ends[: self.ends_per_report])

    def rows(self) -> tuple[RunningRow, ...]:
        """Return the runs in progress as the rows of a report."""
        rows = []
        for live in self.runs.values():
            step = live.run.step
            measure = step.need.cpu_millis * live.pace
            if step.filler:
                measure *= self._filler_speed()
            if step.tail_target_s:
                measure = self._tail_ratio(live) * step.tail_target_s * 1000
            percent = 100.0 if step.lasting else 100 * live.done_s / live.work_s
            if self.whole_percents:
                percent = math.floor(percent)
            saved = str(live.saved_s) if live.saved_s else ""
            number = live.run.number
            rows.append(RunningRow(live.run.key, number, saved, percent, measure))
        return tuple(rows)
