"""
Stand in for workers: leases, tokens, runs, ends, checkpoints, pace.

A worker judges what it is told: two runs of a task, a start after its end or
its cancellation, in an evacuated data centre, ever more starts of a task that crashes
its workers, and more than it holds are promises broken.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.cell.reports import (
    Done,
    EndedRow,
    EndKind,
    HoldOutcome,
    NoAnswer,
    OrderOutcome,
    OtherIncarnation,
    Reason,
    Refused,
    Report,
    RunningRow,
)
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.resources import NOTHING, Resources

ANSWER_S = 0.002
CALLER_PATIENCE_S = 0.6
STOP_S = 0.3
# The users' bounds: a cancelled job's task starts no later than this after the
# answer, is heard of so long after its start, and ends within the last.
CANCEL_S = 3.0
CONTACT_S = 3.0
STOP_MAX_S = 0.4
# Nothing starts in a data centre later than this after its evacuation was stored.
EVACUATE_S = 5.0
LEASE_MAX_S = 10.0
# A worker that says of itself each second what it holds has shrunk for the cell so long
# after it did: the time of contact and one sign of life.
SHRUNK_AFTER_S = CONTACT_S + 1.1
# A worker that crashed is back at its address after so long, under another id.
RESTART_S = 2.0
# A task under which so many workers have crashed may be started less than three times
# more.
CRASHES_MAX = 3
STARTS_AFTER_CRASHES_MAX = 2
TICK_S = 0.05
# The slack of a serving task alone: its target over its tail.
ALONE_SLACK = 2.8
# Tails beyond this many times their target are reported as such.
TAIL_RATIO_MAX = 20.0


@dataclass(slots=True)
class Span:
    """One run's time on a worker."""

    key: TaskKey
    begun_at_s: float
    ended_at_s: float = math.inf


@dataclass(slots=True)
class Judge:
    """What all workers saw together."""

    running: dict[TaskKey, int] = field(default_factory=dict)
    begun_at_s: dict[TaskKey, float] = field(default_factory=dict)
    done: set[TaskKey] = field(default_factory=set)
    cancelled_at_s: dict[str, float] = field(default_factory=dict)
    # Since when nothing more may start in a data centre.
    evacuated_at_s: dict[str, float] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    started_at_s: list[float] = field(default_factory=list)
    over_target_s: float = 0.0
    spans: list[Span] = field(default_factory=list)
    # By task that crashes its workers: how many crashed, and starts after the third.
    crashes: Counter[TaskKey] = field(default_factory=Counter)
    starts_after_crashes: Counter[TaskKey] = field(default_factory=Counter)

    def began(
        self, key: TaskKey, data_centre: str, now_s: float, late: bool = False
    ) -> Span:
        """Note that a run began, perhaps on an order that was carried out late."""
        self.starts += 1
        self.started_at_s.append(now_s)
        if self.running.get(key, 0):
            self.broken.append(f"{now_s:.3f}: {key} runs twice")
        if key in self.done:
            self.broken.append(f"{now_s:.3f}: {key} runs after its end")
        cancelled_at_s = self.cancelled_at_s.get(key.job_id, math.inf)
        if now_s > cancelled_at_s + CANCEL_S and not late:
            self.broken.append(f"{now_s:.3f}: {key} starts after its cancellation")
        evacuated_at_s = self.evacuated_at_s.get(data_centre, math.inf)
        if now_s > evacuated_at_s + EVACUATE_S and not late:
            self.broken.append(f"{now_s:.3f}: {key} starts in evacuated {data_centre}")
        if self.crashes[key] >= CRASHES_MAX:
            self.starts_after_crashes[key] += 1
            if self.starts_after_crashes[key] > STARTS_AFTER_CRASHES_MAX:
                self.broken.append(f"{now_s:.3f}: {key} keeps crashing workers")
        self.running[key] = self.running.get(key, 0) + 1
        self.begun_at_s[key] = now_s
        span = Span(key, now_s)
        self.spans.append(span)
        return span

    def acknowledged(self, key: TaskKey, ended_at_s: float) -> None:
        """
        Note that the end of a run that was done has been taken note of.

        An end that dies with its worker before that does not count: the task
        has to run again.
        """
        self.done.add(key)
        if self.begun_at_s[key] > ended_at_s:
            self.broken.append(f"{ended_at_s:.3f}: {key} began after its end")

    def ended(self, key: TaskKey, span: Span, now_s: float) -> None:
        """Note that a run is over."""
        self.running[key] -= 1
        span.ended_at_s = now_s

    def ran_on(self, now_s: float) -> list[Span]:
        """
        Return the runs of cancelled jobs that went on too long, until now.

        The time is counted from the cancellation, and for a run that began late
        from when the cell must have heard of it.
        """
        late = []
        for span in self.spans:
            cancelled_at_s = self.cancelled_at_s.get(span.key.job_id, math.inf)
            known_at_s = max(cancelled_at_s + CANCEL_S, span.begun_at_s + CONTACT_S)
            if min(now_s, span.ended_at_s) > known_at_s + STOP_MAX_S:
                late.append(span)
        return late


@dataclass(slots=True)
class LiveRun:
    """A run on a worker."""

    run: Run
    work_s: float
    span: Span
    done_s: float = 0.0
    pace: float = 1.0
    saved_s: float = 0.0
    fails: bool = False


@dataclass
class CellWorker:
    """One incarnation of a worker in simulated time."""

    listing: WorkerListing
    judge: Judge
    work_of: Callable[[Run], tuple[float, bool]]
    slopes: Callable[[str, str], float]
    skew_s: float = 0.0
    token: int = 0
    lease_until_s: float = 0.0
    runs: dict[TaskKey, LiveRun] = field(default_factory=dict)
    ends: list[EndedRow] = field(default_factory=list)
    done_at_s: dict[int, float] = field(default_factory=dict)
    position: int = 0
    highest: dict[TaskKey, int] = field(default_factory=dict)
    alive: bool = True
    fails_all: bool = False
    stalled: bool = False
    # Refuses every order and has then done nothing; it still reports.
    unwell: bool = False
    # Refuses starts without a ticket.
    needs_ticket: bool = False
    # What it held before it shrank, and until when a start may count on that.
    held_before: Resources = NOTHING
    held_until_s: float = 0.0
    # The run that crashes the worker so many seconds after its start, if any does.
    crash_after_s: Callable[[Run], float | None] = lambda run: None
    # What happens around a crash: who restarts the worker, and where.
    on_crash: Callable[["CellWorker"], None] = lambda worker: None
    # Crashed, so that connections are refused; and replaced at its address.
    refuses: bool = False
    replaced: bool = False
    # An order is being carried out long after it was sent.
    acting_late: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def now_s(self) -> float:
        """Return simulated seconds."""
        return asyncio.get_running_loop().time()

    def clock_s(self) -> float:
        """Return this worker's own clock."""
        return self.now_s() + self.skew_s

    def die(self) -> None:
        """End with everything that runs."""
        self.alive = False
        for key, live in self.runs.items():
            self.judge.ended(key, live.span, self.now_s())
        self.runs.clear()

    def resize(self, capacity: Resources) -> None:
        """Hold more or less from now on, while running."""
        self.held_before = self.listing.capacity
        self.held_until_s = self.now_s() + SHRUNK_AFTER_S
        self.listing = replace(self.listing, capacity=capacity)

    def _room(self) -> Resources:
        if self.now_s() < self.held_until_s:
            return self.listing.capacity.largest(self.held_before)
        return self.listing.capacity

    def crash(self) -> None:
        """End with everything that runs; connections are closed at once."""
        if not self.alive:
            return
        self.die()
        self.refuses = True
        self.changed.set()
        self.on_crash(self)

    def _crash_under(self, run: Run) -> None:
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            self.judge.crashes[run.key] += 1
            self.crash()

    async def live(self) -> None:
        """Let time pass for what runs."""
        while self.alive:
            await asyncio.sleep(TICK_S)
            self.advance(TICK_S)

    def advance(self, passed_s: float) -> None:
        """Work for a while; end what is done or whose lease is over."""
        if self.clock_s() >= self.lease_until_s:
            for key in list(self.runs):
                self._end(key, EndKind.LEASE_EXPIRED)
            # What ended before a lapse may rightly run again elsewhere.
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
            if live.run.step.tail_target_s and self._ratio(live) > 1:
                self.judge.over_target_s += passed_s

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

    def _ratio(self, live: LiveRun) -> float:
        """Return a tail over its target; slack falls with what disturbs."""
        slack = ALONE_SLACK
        speed = self._filler_speed()
        for other in self.runs.values():
            if other.run.step.filler:
                use = other.run.step.need.cpu_millis * other.pace * speed
                share = use / self.listing.capacity.cpu_millis
                slack -= share * self.slopes(live.run.step.image, other.run.step.image)
        return 1 / max(1 / TAIL_RATIO_MAX, slack)

    def _end(self, key: TaskKey, how: EndKind) -> None:
        live = self.runs.pop(key)
        self.judge.ended(key, live.span, self.now_s())
        self.position += 1
        if how is EndKind.DONE:
            self.done_at_s[self.position] = self.now_s()
        saved = str(live.saved_s) if live.saved_s else ""
        self.ends.append(EndedRow(self.position, key, live.run.number, how, saved))
        self.changed.set()
        self.changed = asyncio.Event()

    # Orders

    def start(self, run: Run, token: int, deadline_s: float) -> OrderOutcome:
        """Begin a run, or say why not."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        self._extend(deadline_s)
        if deadline_s < self.clock_s():
            return Refused(Reason.EXPIRED, self.clock_s())
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            return Done(self.clock_s())
        if run.number <= self.highest.get(run.key, 0):
            return Refused(Reason.OUTDATED, self.clock_s())
        if live is not None:
            return Refused(Reason.OUTDATED, self.clock_s())
        if self.needs_ticket and not run.ticket:
            return Refused(Reason.TICKET, self.clock_s())
        self._begin(run)
        return Done(self.clock_s())

    def _begin(self, run: Run) -> None:
        data_centre = self.listing.data_centre
        span = self.judge.began(run.key, data_centre, self.now_s(), self.acting_late)
        work_s, fails = self.work_of(run)
        live = LiveRun(run, work_s, span, fails=fails or self.fails_all)
        live.done_s = live.saved_s = float(run.checkpoint or 0)
        self.runs[run.key] = live
        self.highest[run.key] = run.number
        after_s = self.crash_after_s(run)
        if after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(after_s, self._crash_under, run)
        taken = NOTHING
        for other in self.runs.values():
            taken = taken + other.run.charge
        if not taken.fits_in(self._room()):
            self.judge.broken.append(f"{self.now_s():.3f}: {run.worker_id} is over")

    def _extend(self, deadline_s: float) -> None:
        bounded_s = min(deadline_s, self.clock_s() + LEASE_MAX_S)
        self.lease_until_s = max(self.lease_until_s, bounded_s)

    def stop(self, run: Run, token: int) -> OrderOutcome:
        """End a run soon; a later start of it is refused."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        self.highest[run.key] = max(self.highest.get(run.key, 0), run.number)
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._stopped, run.key, live)
        return Done(self.clock_s())

    def _stopped(self, key: TaskKey, live: LiveRun) -> None:
        if self.runs.get(key) is live:
            live.saved_s = live.done_s if live.run.step.saves_checkpoints else 0.0
            self._end(key, EndKind.STOPPED)

    def pace(self, run: Run, token: int, percent: int) -> OrderOutcome:
        """Let a run work at a share of its speed."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        live = self.runs.get(run.key)
        if live is not None and live.run.number == run.number:
            live.pace = percent / 100
        return Done(self.clock_s())

    def renew(
        self, token: int, last_seen: int, deadline_s: float | None
    ) -> Refused | None:
        """Extend the lease and forget acknowledged ends."""
        if token < self.token:
            return Refused(Reason.FENCED, self.clock_s())
        self.token = token
        if deadline_s is not None:
            self._extend(deadline_s)
        for end in self.ends:
            done_at_s = self.done_at_s.pop(end.position, None)
            if end.position <= last_seen and done_at_s is not None:
                self.judge.acknowledged(end.key, done_at_s)
            elif done_at_s is not None:
                self.done_at_s[end.position] = done_at_s
        self.ends = [end for end in self.ends if end.position > last_seen]
        return None

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until an end is listed, or for as long as asked."""
        if self.ends or not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            pass

    def rows(self) -> tuple[RunningRow, ...]:
        """Return what runs, as a report lists it."""
        rows = []
        for live in self.runs.values():
            step = live.run.step
            measure = step.need.cpu_millis * live.pace
            if step.filler:
                measure *= self._filler_speed()
            if step.tail_target_s:
                measure = self._ratio(live) * step.tail_target_s * 1000
            percent = 100.0 if step.lasting else 100 * live.done_s / live.work_s
            saved = str(live.saved_s) if live.saved_s else ""
            number = live.run.number
            rows.append(RunningRow(live.run.key, number, saved, percent, measure))
        return tuple(rows)


class OrderFate(Enum):
    """What becomes of every order of one kind."""

    LATE = "are carried out late"
    LOST = "are lost"
    UNWELL = "are refused as unwell"
    IGNORED = "are answered and ignored"


@dataclass(slots=True)
class OrderFaults:
    """What happens to orders between an instance and the workers."""

    random: Random
    lost_ratio: float = 0.0
    late_ratio: float = 0.0
    late_s: float = 4.0
    cut: set[tuple[str, str]] = field(default_factory=set)
    # By the kind of order: start, stop, pace.
    fates: dict[str, OrderFate] = field(default_factory=dict)
    # Called for each report that an instance reads.
    on_report_read: Callable[[], None] = lambda: None


class WorkerAccess:
    """The worker port of one instance, under one token."""

    def __init__(
        self, worker: CellWorker, caller: str, token: int, faults: OrderFaults
    ) -> None:
        """Reach ``worker`` under the faults of the network."""
        self.worker = worker
        self.caller = caller
        self.token = token
        self.faults = faults

    def close(self) -> None:
        """Nothing is open."""

    async def _order(self, kind: str, act: Callable[[], OrderOutcome]) -> OrderOutcome:
        await asyncio.sleep(ANSWER_S / 2)
        if (self.caller, self.worker.listing.worker_id) in self.faults.cut:
            return await self._silence()
        if not self.worker.alive:
            return await self._dead()
        fate = self.faults.fates.get(kind)
        if fate is OrderFate.UNWELL:
            return Refused(Reason.UNWELL)
        if fate is OrderFate.LOST:
            return await self._silence()
        if fate is OrderFate.IGNORED:
            return Done(self.worker.clock_s())
        drawn = self.faults.random.random()
        if fate is OrderFate.LATE or drawn < self.faults.late_ratio:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_s, self._act_late, act)
            return await self._silence()
        outcome = act()
        if drawn < self.faults.late_ratio + self.faults.lost_ratio:
            return await self._silence()
        await asyncio.sleep(ANSWER_S / 2)
        return outcome

    def _if_well(self, act: Callable[[], OrderOutcome]) -> Callable[[], OrderOutcome]:
        return lambda: Refused(Reason.UNWELL) if self.worker.unwell else act()

    def _act_late(self, act: Callable[[], OrderOutcome]) -> None:
        if not self.worker.alive:
            return
        self.worker.acting_late = True
        act()
        self.worker.acting_late = False

    async def _dead(self) -> NoAnswer | OtherIncarnation:
        if self.worker.replaced:
            return OtherIncarnation()
        if self.worker.refuses:
            return NoAnswer("connection refused")
        return await self._silence()

    async def _silence(self) -> NoAnswer:
        await asyncio.sleep(CALLER_PATIENCE_S)
        return NoAnswer("timed out")

    async def start(self, run: Run, payload: str, deadline_s: float) -> OrderOutcome:
        """Start an attempt."""
        return await self._order(
            "start",
            self._if_well(lambda: self.worker.start(run, self.token, deadline_s)),
        )

    async def stop(self, run: Run) -> OrderOutcome:
        """End an attempt."""
        act = self._if_well(lambda: self.worker.stop(run, self.token))
        return await self._order("stop", act)

    async def pace(self, run: Run, percent: int) -> OrderOutcome:
        """Let an attempt work at a share of its speed."""
        return await self._order(
            "pace", lambda: self.worker.pace(run, self.token, percent)
        )

    async def report(
        self, last_seen: int, deadline_s: float | None, wait_s: float
    ) -> HoldOutcome:
        """Renew the lease, acknowledge ends, and read what is there."""
        sent_at_s = self.worker.now_s()
        outcome = await self._order(
            "report",
            lambda: (
                self.worker.renew(self.token, last_seen, deadline_s)
                or Done(self.worker.clock_s())
            ),
        )
        if not isinstance(outcome, Done):
            return outcome
        await self.worker.wait_for_end(wait_s)
        if not self.worker.alive:
            return await self._dead()
        self.faults.on_report_read()
        return Report(
            sent_at_s,
            self.worker.now_s(),
            self.worker.clock_s(),
            self.worker.rows(),
            tuple(self.worker.ends),
        )
