"""
Emulate the workers of a cell and the users of what runs there, without a network.

The scheduler is the real one; time passes in ticks. The workers behave as the
users' do: a filler takes the processor time that others leave, and it disturbs
the serving tasks beside it by an amount that differs from pair to pair of images.
The inverse of a serving task's tail latency falls in proportion to its users' load
and to the processor use of the fillers that disturb it, as in a queue with one
server; that form explains the tails that the users' workers report.
"""

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from hornbeampaddle.cell.effects import Decision, StopOrder
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import JobStatus, Run, RunPhase
from hornbeampaddle.cell.reports import Done, EndedRow, EndKind, Report, RunningRow
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing, WorkerState
from hornbeampaddle.resources import NOTHING, Resources

from .demand import Demand, Submission
from .workers import RESTART_S

TICK_S = 0.1
# From a stop to the listed end, and from a start to the first work of a task that
# has a checkpoint; both as the users' workers take.
STOP_S = 0.3
RESTORE_S = 0.4
# A serving task is at work after so long.
WARM_UP_S = 0.6
# A worker's report shows tails and uses of this long a span.
WINDOW_S = 0.5
# A new pace holds from here on.
PACE_DELAY_S = 0.1
# A serving task loses so much slack for each worker's worth of processors that is
# asked for beyond those there are.
CROWDED_SLOPE = 2.7
# Tails beyond this many times the target are reported as such.
TAIL_RATIO_MAX = 20.0
# What fillers do to a serving task costs its users several times a plain fault.
DISTURBED_WEIGHT = 4.0
# Slack that fillers leave a serving task, where their use is worked out.
OPEN_SLACK = 1.3
# Moments of a swing that are looked at.
MOMENTS = 12
# Service of a lasting job is counted over spans of this length.
SPAN_S = 2.0
# A job is worth a part of its price up to three times its objective.
LATE_AFTER_RATIO = 3.0
LATE_WORTH = 0.15


@dataclass(slots=True)
class Live:
    """A run on an emulated worker."""

    run: Run
    begun_at_s: float
    work_s: float
    done_s: float = 0.0
    saved_s: float = 0.0
    pace: float = 1.0
    pace_from_s: float = 0.0
    next_pace: float = 1.0
    fails: bool = False
    # Sums over the present window: of use in thousandths of a core x s, of tails.
    use_millis_s: float = 0.0
    slack_sum: float = 0.0
    ticks: int = 0
    measure: float = -1.0


@dataclass(slots=True)
class Emulated:
    """One worker: what runs there and what it will report."""

    listing: WorkerListing
    runs: dict[TaskKey, Live] = field(default_factory=dict)
    ends: list[EndedRow] = field(default_factory=list)
    position: int = 0
    report_at_s: float = 0.0
    number: int = 0
    # What it holds at most, and how often it was started.
    whole: Resources = NOTHING
    life: int = 0


@dataclass(slots=True)
class Earnings:
    """What callers got of one kind of job: credits earned and owed, and jobs."""

    earned: float = 0.0
    owed: float = 0.0
    on_time: int = 0
    late: int = 0
    never: int = 0

    @property
    def ratio(self) -> float:
        """Return the share of the credits that was earned."""
        return self.earned / self.owed if self.owed else 0.0


class Emulator:
    """A cell under a load; ``play`` it, then read ``earnings``."""

    def __init__(self, demand: Demand, settings: CellSettings | None = None) -> None:
        """Start the workers that the demand is made for."""
        self.demand = demand
        self.now_s = 100.0
        self.begun_at_s = self.now_s
        self.cell = Scheduler(settings or CellSettings())
        self.workers: dict[str, Emulated] = {}
        self.submitted: dict[str, Submission] = {}
        self.done_at_s: dict[str, float] = {}
        self.over_since_s: dict[TaskKey, float] = {}
        # The longest time that fillers kept a serving task over its target.
        self.longest_over_s = 0.0
        self.over_s = 0.0
        self.moves = 0
        self.paces = 0
        self.crashes = 0
        # Starts that brought a worker over what it holds.
        self.overruns = 0
        # Starts in a data centre that was evacuated.
        self.evacuated_starts = 0
        self._down: list[tuple[float, Emulated]] = []
        self._stops: list[tuple[float, StopOrder]] = []
        self._spans: dict[str, Earnings] = defaultdict(Earnings)
        self._span_at_s = self.now_s + SPAN_S
        self._span: Counter[TaskKey] = Counter()
        self._disturbed: Counter[TaskKey] = Counter()
        for number, listing in enumerate(demand.workers()):
            worker = Emulated(listing, number=number, whole=listing.capacity)
            self._add_worker(worker)

    def _add_worker(self, worker: Emulated) -> None:
        self.cell.list_worker(worker.listing, self.now_s)
        self.workers[worker.listing.worker_id] = worker
        self._report(worker)

    def play(self, seconds_s: float) -> None:
        """Let time pass; callers come as the demand says."""
        end_s = self.now_s + seconds_s
        for submission in self.demand.until(seconds_s):
            self._play_until(self.begun_at_s + submission.at_s)
            self._submit(submission)
        self._play_until(end_s)

    def settle(self, seconds_s: float) -> None:
        """Let time pass with no new callers."""
        self._play_until(self.now_s + seconds_s)

    def _play_until(self, end_s: float) -> None:
        while self.now_s < end_s:
            self._tick()

    def _submit(self, submission: Submission) -> None:
        job = submission.job
        self.submitted[job.job_id] = submission
        self.cell.add_job(job, None, self.now_s, self.now_s)

    def _tick(self) -> None:
        self._restart_workers()
        self._resize_workers()
        self._evacuate()
        decision = self.cell.decide(self.now_s, self.now_s)
        self._obey(decision)
        self.now_s += TICK_S
        for worker in self.workers.values():
            self._work(worker)
        self._end_stopped()
        for worker in self.workers.values():
            if worker.ends or self.now_s >= worker.report_at_s:
                self._report(worker)
        for job_id, state in self.cell.jobs.items():
            if state.status is JobStatus.COMPLETED:
                self.done_at_s.setdefault(job_id, self.now_s)
        if self.now_s >= self._span_at_s:
            self._close_span()

    def _crash(self, worker: Emulated) -> None:
        self.crashes += 1
        name = worker.listing.worker_id
        del self.workers[name]
        self.cell.worker_silent(name, self.now_s)
        self._down.append((self.now_s + RESTART_S, worker))

    def _restart_workers(self) -> None:
        due = [worker for at_s, worker in self._down if at_s <= self.now_s]
        self._down = [entry for entry in self._down if entry[0] > self.now_s]
        for worker in due:
            old_name = worker.listing.worker_id
            self.cell.worker_ended(old_name, self.now_s, "replaced")
            life = worker.life + 1
            name = f"{old_name.partition('+')[0]}+{life}"
            listing = replace(worker.listing, worker_id=name)
            self._add_worker(
                Emulated(listing, number=worker.number, whole=worker.whole, life=life)
            )

    def _resize_workers(self) -> None:
        at_s = self.now_s - self.begun_at_s
        for worker in self.workers.values():
            capacity = self.demand.capacity(worker.number, worker.whole, at_s)
            if capacity != worker.listing.capacity:
                worker.listing = replace(worker.listing, capacity=capacity)
                self.cell.list_worker(worker.listing, self.now_s)

    def _evacuate(self) -> None:
        evacuated = self.demand.evacuated(self.now_s - self.begun_at_s)
        if evacuated != self.cell.evacuated:
            self.cell.evacuate(evacuated)

    # Orders

    def _obey(self, decision: Decision) -> None:
        for run in decision.starts:
            if run.phase is not RunPhase.RECORDING:
                continue
            run.phase = RunPhase.SENDING
            run.sent_at_s = self.now_s
            if run.worker_id not in self.workers:
                continue
            self._begin(run)
            if self._brings_down(run):
                self._crash(self.workers[run.worker_id])
                continue
            self.cell.orders.start_answered(run, Done(self.now_s), self.now_s)
        for order in decision.stops:
            self.cell.orders.stop_answered(order, Done(self.now_s), self.now_s)
            self._stops.append((self.now_s + STOP_S, order))
            self.moves += order.reason == "moves_away"
        for pace in decision.paces:
            self.paces += 1
            live = self._live(pace.run)
            if live is not None:
                live.next_pace = pace.percent / 100
                live.pace_from_s = self.now_s + PACE_DELAY_S

    def _begin(self, run: Run) -> None:
        work = self.demand.work(self.submitted[run.key.job_id], run)
        live = Live(run, self.now_s, work.work_s, fails=work.fails)
        if run.checkpoint:
            live.saved_s = float(run.checkpoint)
            live.done_s = live.saved_s - RESTORE_S
        worker = self.workers[run.worker_id]
        worker.runs[run.key] = live
        self.evacuated_starts += worker.listing.data_centre in self.cell.evacuated
        taken = NOTHING
        for other in worker.runs.values():
            taken = taken + other.run.charge
        self.overruns += not taken.fits_in(worker.listing.capacity)

    def _brings_down(self, run: Run) -> bool:
        first = run.key.step == run.key.position == 0
        return first and self.demand.crashes(run.key.job_id)

    def _live(self, run: Run) -> Live | None:
        """Return a run that is at work, unless its worker is down."""
        worker = self.workers.get(run.worker_id)
        live = worker.runs.get(run.key) if worker is not None else None
        return live if live is not None and live.run is run else None

    def _end_stopped(self) -> None:
        due = [order for at_s, order in self._stops if at_s <= self.now_s]
        self._stops = [entry for entry in self._stops if entry[0] > self.now_s]
        for order in due:
            live = self._live(order.run)
            if live is not None:
                worker = self.workers[order.worker_id]
                if live.run.step.saves_checkpoints:
                    live.saved_s = max(live.saved_s, live.done_s)
                self._end(worker, live, EndKind.STOPPED)

    def _end(self, worker: Emulated, live: Live, how: EndKind) -> None:
        del worker.runs[live.run.key]
        self.over_since_s.pop(live.run.key, None)
        worker.position += 1
        saved = str(round(live.saved_s, 3)) if live.saved_s else ""
        row = EndedRow(worker.position, live.run.key, live.run.number, how, saved)
        worker.ends.append(row)

    # Work

    def _work(self, worker: Emulated) -> None:
        uses = self._uses(worker)
        crowded = CROWDED_SLOPE * max(0.0, self._asked_ratio(worker) - 1)
        disturbing: dict[str, float] = defaultdict(float)
        for live in list(worker.runs.values()):
            step = live.run.step
            if self.now_s >= live.pace_from_s:
                live.pace = live.next_pace
            if step.filler:
                use = uses[live.run.key]
                disturbing[step.image] += use / worker.listing.capacity.cpu_millis
        for live in list(worker.runs.values()):
            if live.run.step.tail_target_s:
                self._serve(live, disturbing, crowded)
            elif not live.run.step.lasting:
                self._advance(worker, live, uses[live.run.key])

    def _asked_ratio(self, worker: Emulated) -> float:
        """Return the processor time that all runs ask for, as a share of the worker."""
        asked = 0.0
        for live in worker.runs.values():
            step = live.run.step
            share = live.pace
            if not step.filler:
                share = self._load(live.run) if step.tail_target_s else 1.0
            asked += step.need.cpu_millis * share
        return asked / worker.listing.capacity.cpu_millis

    def _uses(self, worker: Emulated) -> dict[TaskKey, float]:
        """Return the processor use of each run, in thousandths of a core."""
        uses: dict[TaskKey, float] = {}
        taken = 0.0
        wanted = 0.0
        for key, live in worker.runs.items():
            step = live.run.step
            if step.filler:
                uses[key] = step.need.cpu_millis * live.pace
                wanted += uses[key]
                continue
            load = self._load(live.run) if step.tail_target_s else 1.0
            uses[key] = step.need.cpu_millis * load
            taken += uses[key]
        left = max(0.0, worker.listing.capacity.cpu_millis - taken)
        if wanted > left:
            for key, live in worker.runs.items():
                if live.run.step.filler:
                    uses[key] *= left / wanted
        return uses

    def _load(self, run: Run) -> float:
        return self.demand.load(run.key.job_id, self.now_s - self.begun_at_s)

    def _serve(self, live: Live, disturbing: dict[str, float], crowded: float) -> None:
        if self.now_s - live.begun_at_s < WARM_UP_S:
            return
        step = live.run.step
        key = live.run.key
        alone = self.demand.target_ratio * (1 - self._load(live.run))
        pressure = sum(
            share * self.demand.slope(step.image, image)
            for image, share in disturbing.items()
        )
        slack = max(1 / TAIL_RATIO_MAX, alone - pressure - crowded)
        live.slack_sum += slack * self.demand.noise()
        live.ticks += 1
        self._span[key] += 1
        if slack < 1 <= alone:
            self.over_s += TICK_S
            self._disturbed[key] += 1
            since_s = self.over_since_s.setdefault(key, self.now_s)
            self.longest_over_s = max(self.longest_over_s, self.now_s - since_s)
        else:
            self.over_since_s.pop(key, None)

    def _advance(self, worker: Emulated, live: Live, use_millis: float) -> None:
        step = live.run.step
        rate = use_millis / step.need.cpu_millis if step.filler else 1.0
        live.use_millis_s += use_millis * TICK_S
        live.ticks += 1
        live.done_s += TICK_S * rate
        if step.saves_checkpoints:
            live.saved_s = max(live.saved_s, float(math.floor(live.done_s)))
        if live.done_s >= live.work_s:
            self._end(worker, live, EndKind.FAILED if live.fails else EndKind.DONE)

    # Reports

    def _report(self, worker: Emulated) -> None:
        name = worker.listing.worker_id
        state = self.cell.workers[name]
        rows = tuple(self._row(live) for live in worker.runs.values())
        ended = tuple(worker.ends)
        worker.ends.clear()
        sent_at_s = max(0.0, self.now_s - TICK_S)
        report = Report(sent_at_s, self.now_s, self.now_s, rows, ended)
        self.cell.intake.report(name, report)
        self.cell.lease_deadline(name, self.now_s)
        worker.report_at_s = self.now_s + self._wait_s(state)

    def _wait_s(self, state: WorkerState) -> float:
        settings = self.cell.settings
        if state.over_since_s is not None:
            return settings.report_wait_over_s
        return settings.report_wait_s

    def _row(self, live: Live) -> RunningRow:
        step = live.run.step
        if live.ticks * TICK_S >= WINDOW_S:
            if step.tail_target_s:
                slack = live.slack_sum / live.ticks
                live.measure = 1000 * step.tail_target_s / slack
            else:
                live.measure = live.use_millis_s / (live.ticks * TICK_S)
            live.slack_sum = live.use_millis_s = 0.0
            live.ticks = 0
        percent = min(99.0, 100 * live.done_s / live.work_s)
        if step.lasting:
            warm = self.now_s - live.begun_at_s >= WARM_UP_S
            percent = 100.0 if warm else 0.0
        saved = str(round(live.saved_s, 3)) if live.saved_s else ""
        number = live.run.number
        return RunningRow(live.run.key, number, saved, percent, live.measure)

    # What callers got

    def _close_span(self) -> None:
        """Count two seconds of each lasting job's service."""
        self._span_at_s += SPAN_S
        ticks = round(SPAN_S / TICK_S)
        for job_id, state in self.cell.open_jobs.items():
            submission = self.submitted[job_id]
            if not state.job.lasting or state.status.final:
                continue
            served = sum(n for key, n in self._span.items() if key.job_id == job_id)
            hurt = sum(n for key, n in self._disturbed.items() if key.job_id == job_id)
            most = ticks * state.job.steps[0].count
            share = (served - DISTURBED_WEIGHT * hurt) / most
            earnings = self._spans[submission.kind]
            earnings.owed += submission.worth
            earnings.earned += submission.worth * max(0.0, min(1.0, share))
        self._span.clear()
        self._disturbed.clear()

    def earnings(self) -> dict[str, Earnings]:
        """Return what each kind of job earned so far."""
        result = dict(self._spans)
        for job_id, submission in self.submitted.items():
            if submission.job.lasting:
                continue
            earnings = result.setdefault(submission.kind, Earnings())
            earnings.owed += submission.worth
            objective_s = self.demand.objective_s(submission)
            done_at_s = self.done_at_s.get(job_id)
            took_s = math.inf
            if done_at_s is not None:
                took_s = done_at_s - self.begun_at_s - submission.at_s
            if took_s <= objective_s:
                earnings.on_time += 1
                earnings.earned += submission.worth
            elif took_s <= LATE_AFTER_RATIO * objective_s:
                earnings.late += 1
                earnings.earned += LATE_WORTH * submission.worth
            else:
                earnings.never += 1
        return result

    def open_cores(self) -> float:
        """
        Return the cores that the average filler may use over a swing of the users.

        They are those that the serving tasks leave, as far as each of them keeps a
        slack of ``OPEN_SLACK`` by what the demand says of the pairs of images.
        """
        period_s = self.demand.settings.swing_s
        now_s = self.now_s - self.begun_at_s
        moments_s = [now_s + n * period_s / MOMENTS for n in range(MOMENTS)]
        fillers = sorted({filling for _, filling in self.demand.pairs()})
        total = sum(
            self._open_at(worker, filling, at_s)
            for worker in self.workers.values()
            for filling in fillers
            for at_s in moments_s
        )
        return total / len(fillers) / len(moments_s) / 1000

    def _open_at(self, worker: Emulated, filling: str, at_s: float) -> float:
        capacity_millis = worker.listing.capacity.cpu_millis
        used = 0.0
        limits: list[float] = []
        for key, live in worker.runs.items():
            step = live.run.step
            if not step.tail_target_s:
                continue
            load = self.demand.load(key.job_id, at_s)
            used += step.need.cpu_millis * load
            slope = self.demand.slope(step.image, filling)
            left = self.demand.target_ratio * (1 - load) - OPEN_SLACK
            if slope:
                limits.append(max(0.0, left / slope) * capacity_millis)
        return max(0.0, min([capacity_millis - used, *limits]))

    def total(self) -> float:
        """Return the share of all credits that was earned."""
        parts = list(self.earnings().values())
        return sum(part.earned for part in parts) / sum(part.owed for part in parts)
