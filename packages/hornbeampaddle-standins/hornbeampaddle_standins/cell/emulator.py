"""
Emulate the workers of a cell and the users of its services, without a network.

The scheduler is the real one; time advances in ticks. The workers behave like the
users' workers: a filler takes the CPU time that other tasks leave, and interferes
with the serving tasks beside it by an amount that depends on the pair of images.
The inverse of a serving task's tail latency falls linearly with its users' load and
with the CPU use of the fillers that interfere with it, as in a single-server queue;
this model explains the tail latencies that the users' workers report.
"""

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from hornbeampaddle.cell.effects import Decision, StopOrder
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import JobStatus, Run, RunPhase
from hornbeampaddle.cell.reports import Done, EndedRow, EndKind, Report, RunningRow
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.resources import NOTHING, Resources

from .demand import Demand, Submission
from .workers import ENDS_PER_REPORT_MAX, RESTART_DELAY_S

TICK_S = 0.1
# The time that a task takes to restore its checkpoint before it does new work, as on
# the users' workers.
RESTORE_DURATION_S = 0.4
# A serving task handles requests after this start-up time.
WARM_UP_S = 0.6
# Reported tail latencies and CPU uses are averages over this window.
MEASURE_WINDOW_S = 0.5
# A pace order takes effect after this delay.
PACE_DELAY_S = 0.1
# The slack that a serving task loses when the CPU demand on its worker exceeds the
# capacity by one whole worker; smaller excesses count in proportion.
OVERCOMMIT_SLOPE = 2.7
# Reported tail latencies are capped at this multiple of the target.
TAIL_RATIO_MAX = 20.0
# A tick in which fillers push a serving task over its target costs its users several
# times as much as a tick without service.
DISTURBED_WEIGHT = 4.0
# The slack that fillers must leave each serving task in ``usable_filler_cores``.
FILLER_SLACK_MIN = 1.3
# The number of points in a load swing that ``usable_filler_cores`` averages over.
SWING_SAMPLES = 12
# The service of lasting jobs is accounted in intervals of this length.
ACCOUNTING_INTERVAL_S = 2.0
# A job that misses its objective still earns LATE_WORTH_RATIO of its worth if it takes
# at most LATE_RATIO_MAX times the objective.
LATE_RATIO_MAX = 3.0
LATE_WORTH_RATIO = 0.15


@dataclass(slots=True)
class EmulatedRun:
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
    failed_by_worker: bool = False
    # Sums over the current window: CPU use in millicores x s, and slack by tick.
    use_millis_s: float = 0.0
    slack_sum: float = 0.0
    ticks: int = 0
    measure: float = -1.0


@dataclass(slots=True)
class EmulatedWorker:
    """One worker: its runs, and the ends that its next report lists."""

    listing: WorkerListing
    runs: dict[TaskKey, EmulatedRun] = field(default_factory=dict)
    ends: list[EndedRow] = field(default_factory=list)
    position: int = 0
    report_at_s: float = 0.0
    number: int = 0
    # The full capacity, and the number of restarts after crashes.
    whole: Resources = NOTHING
    restarts: int = 0


@dataclass(slots=True)
class Earnings:
    """
    The credits that one kind of job earned of those it could earn, and job counts.

    ``never`` counts the jobs that came too late to earn anything or did not finish.
    """

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
    """A cell under a load: call ``play``, then read ``earnings``."""

    def __init__(self, demand: Demand, settings: CellSettings | None = None) -> None:
        """Start the workers of ``demand`` under a scheduler with ``settings``."""
        self.demand = demand
        self.now_s = 100.0
        self.begun_at_s = self.now_s
        settings = settings or CellSettings()
        stop_s = max(settings.stop_s, demand.settings.stop_s)
        self.cell = Scheduler(replace(settings, stop_s=stop_s))
        self.workers: dict[WorkerId, EmulatedWorker] = {}
        self.submitted: dict[str, Submission] = {}
        self.done_at_s: dict[str, float] = {}
        self.over_since_s: dict[TaskKey, float] = {}
        # The longest time that fillers kept one serving task over its target, and the
        # sum of these times over all tasks.
        self.longest_over_s = 0.0
        self.over_s = 0.0
        self.moves = 0
        self.paces = 0
        self.crashes = 0
        # Starts that exceeded a worker's capacity.
        self.overruns = 0
        # Starts in a data centre under evacuation.
        self.evacuated_starts = 0
        # Runs that failed by their worker's fault, and the time that workers which fail
        # nothing were set aside, summed over them.
        self.failed_by_workers = 0
        self.sound_rest_s = 0.0
        self._pending_restarts: list[tuple[float, EmulatedWorker]] = []
        self._pending_stops: list[tuple[float, StopOrder]] = []
        self._service_earnings: dict[str, Earnings] = defaultdict(Earnings)
        self._interval_end_s = self.now_s + ACCOUNTING_INTERVAL_S
        self._served_ticks: Counter[TaskKey] = Counter()
        self._disturbed_ticks: Counter[TaskKey] = Counter()
        for number, listing in enumerate(demand.workers()):
            worker = EmulatedWorker(listing, number=number, whole=listing.capacity)
            self._add_worker(worker)

    def _add_worker(self, worker: EmulatedWorker) -> None:
        self.cell.list_worker(worker.listing, self.now_s)
        self.workers[worker.listing.worker_id] = worker
        self._report(worker)

    def play(self, seconds_s: float) -> None:
        """Advance the time and submit the jobs of the demand."""
        end_s = self.now_s + seconds_s
        submissions = self.demand.submissions(seconds_s)
        events = [(s.at_s, False, s) for s in submissions]
        events += [
            (s.cancelled_at_s, True, s)
            for s in submissions
            if s.cancelled_at_s < seconds_s
        ]
        for at_s, cancelled, submission in sorted(events, key=lambda event: event[:2]):
            self._play_until(self.begun_at_s + at_s)
            if cancelled:
                self.cell.cancel(submission.job.job_id, self.now_s)
            else:
                self._submit(submission)
        self._play_until(end_s)

    def settle(self, seconds_s: float) -> None:
        """Advance the time without new jobs."""
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
        self._carry_out(decision)
        self.now_s += TICK_S
        for worker in self.workers.values():
            self._advance_worker(worker)
        self._end_stopped()
        for worker in self.workers.values():
            if worker.ends or self.now_s >= worker.report_at_s:
                self._report(worker)
        for job_id, state in self.cell.jobs.items():
            if state.status is JobStatus.COMPLETED:
                self.done_at_s.setdefault(job_id, self.now_s)
        if self.now_s >= self._interval_end_s:
            self._close_interval()
        at_s = self.now_s - self.begun_at_s
        for worker_id, worker in self.workers.items():
            resting = self.cell.workers[worker_id].resting(self.now_s)
            if resting and not self.demand.grey(worker.number, at_s):
                self.sound_rest_s += TICK_S

    def _crash(self, worker: EmulatedWorker) -> None:
        self.crashes += 1
        name = worker.listing.worker_id
        del self.workers[name]
        self.cell.worker_silent(name, self.now_s)
        self._pending_restarts.append((self.now_s + RESTART_DELAY_S, worker))

    def _restart_workers(self) -> None:
        """Start crashed workers again under the ids that they had."""
        due = [worker for at_s, worker in self._pending_restarts if at_s <= self.now_s]
        self._pending_restarts = [
            entry for entry in self._pending_restarts if entry[0] > self.now_s
        ]
        for worker in due:
            restarts = worker.restarts + 1
            born_ms = round(1000 * self.now_s)
            worker_id = WorkerId(worker.listing.worker_id.name, born_ms)
            listing = replace(worker.listing, worker_id=worker_id)
            self._add_worker(
                EmulatedWorker(
                    listing, number=worker.number, whole=worker.whole, restarts=restarts
                )
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

    def _carry_out(self, decision: Decision) -> None:
        for run in decision.starts:
            if run.phase is not RunPhase.RECORDING:
                continue
            run.phase = RunPhase.SENDING
            run.sent_at_s = self.now_s
            if run.worker_id not in self.workers:
                continue
            self._begin(run)
            if self._crashes_worker(run):
                self._crash(self.workers[run.worker_id])
                continue
            self.cell.orders.start_answered(run, Done(self.now_s), self.now_s)
        for order in decision.stops:
            self.cell.orders.stop_answered(order, Done(self.now_s), self.now_s)
            ends_at_s = self.now_s + self.demand.settings.stop_s
            self._pending_stops.append((ends_at_s, order))
            self.moves += order.reason == "moves_away"
        for pace in decision.paces:
            self.paces += 1
            live = self._live(pace.run)
            if live is not None:
                live.next_pace = pace.percent / 100
                live.pace_from_s = self.now_s + PACE_DELAY_S

    def _begin(self, run: Run) -> None:
        work = self.demand.work(self.submitted[run.key.job_id], run)
        fails = work.fails or self.demand.doomed(run.key.job_id)
        live = EmulatedRun(run, self.now_s, work.work_s, fails=fails)
        number = self.workers[run.worker_id].number
        if not fails and self.demand.grey(number, self.now_s - self.begun_at_s):
            grey_work = self.demand.grey_work(run, work)
            if grey_work is not None:
                live.work_s, live.fails = grey_work.work_s, True
                live.failed_by_worker = True
        if run.checkpoint:
            live.saved_s = float(run.checkpoint)
            live.done_s = live.saved_s - RESTORE_DURATION_S
        worker = self.workers[run.worker_id]
        worker.runs[run.key] = live
        self.evacuated_starts += worker.listing.data_centre in self.cell.evacuated
        taken = NOTHING
        for other in worker.runs.values():
            taken = taken + other.run.charge
        self.overruns += not taken.fits_in(worker.listing.capacity)

    def _crashes_worker(self, run: Run) -> bool:
        first = run.key.step == run.key.position == 0
        return first and self.demand.crashes(run.key.job_id)

    def _live(self, run: Run) -> EmulatedRun | None:
        """Return the state of a run, or None if it ended or its worker is down."""
        worker = self.workers.get(run.worker_id)
        live = worker.runs.get(run.key) if worker is not None else None
        return live if live is not None and live.run is run else None

    def _end_stopped(self) -> None:
        due = [order for at_s, order in self._pending_stops if at_s <= self.now_s]
        self._pending_stops = [
            entry for entry in self._pending_stops if entry[0] > self.now_s
        ]
        for order in due:
            live = self._live(order.run)
            if live is not None:
                worker = self.workers[order.worker_id]
                if live.run.step.saves_checkpoints:
                    live.saved_s = max(live.saved_s, live.done_s)
                self._end(worker, live, EndKind.STOPPED)

    def _end(self, worker: EmulatedWorker, live: EmulatedRun, how: EndKind) -> None:
        del worker.runs[live.run.key]
        self.over_since_s.pop(live.run.key, None)
        worker.position += 1
        saved = str(round(live.saved_s, 3)) if live.saved_s else ""
        row = EndedRow(worker.position, live.run.key, live.run.number, how, saved)
        worker.ends.append(row)

    # Work

    def _advance_worker(self, worker: EmulatedWorker) -> None:
        uses = self._uses(worker)
        crowded = OVERCOMMIT_SLOPE * max(0.0, self._asked_ratio(worker) - 1)
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
                self._advance_run(worker, live, uses[live.run.key])

    def _asked_ratio(self, worker: EmulatedWorker) -> float:
        """Return the CPU demand of all runs, as a share of the worker's capacity."""
        asked = 0.0
        for live in worker.runs.values():
            step = live.run.step
            share = live.pace
            if not step.filler:
                share = self._load(live.run) if step.tail_target_s else 1.0
            asked += step.need.cpu_millis * share
        return asked / worker.listing.capacity.cpu_millis

    def _uses(self, worker: EmulatedWorker) -> dict[TaskKey, float]:
        """Return the CPU use of each run, in millicores."""
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

    def _serve(
        self, live: EmulatedRun, disturbing: dict[str, float], crowded: float
    ) -> None:
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
        self._served_ticks[key] += 1
        if slack < 1 <= alone:
            self.over_s += TICK_S
            self._disturbed_ticks[key] += 1
            since_s = self.over_since_s.setdefault(key, self.now_s)
            self.longest_over_s = max(self.longest_over_s, self.now_s - since_s)
        else:
            self.over_since_s.pop(key, None)

    def _advance_run(
        self, worker: EmulatedWorker, live: EmulatedRun, use_millis: float
    ) -> None:
        step = live.run.step
        rate = use_millis / step.need.cpu_millis if step.filler else 1.0
        live.use_millis_s += use_millis * TICK_S
        live.ticks += 1
        live.done_s += TICK_S * rate
        if step.saves_checkpoints:
            live.saved_s = max(live.saved_s, float(math.floor(live.done_s)))
        if live.done_s >= live.work_s:
            self.failed_by_workers += live.failed_by_worker
            self._end(worker, live, EndKind.FAILED if live.fails else EndKind.DONE)

    # Reports

    def _report(self, worker: EmulatedWorker) -> None:
        name = worker.listing.worker_id
        state = self.cell.workers[name]
        rows = tuple(self._row(live) for live in worker.runs.values())
        ended = tuple(worker.ends[:ENDS_PER_REPORT_MAX])
        del worker.ends[:ENDS_PER_REPORT_MAX]
        complete = len(ended) < ENDS_PER_REPORT_MAX
        sent_at_s = max(0.0, self.now_s - TICK_S)
        report = Report(
            sent_at_s, self.now_s, self.now_s, rows, ended, ends_complete=complete
        )
        self.cell.intake.report(name, report)
        self.cell.lease_deadline(name, self.now_s)
        poll = self.cell.polling.next_poll(state)
        worker.report_at_s = self.now_s + poll.pause_s + poll.wait_s

    def _row(self, live: EmulatedRun) -> RunningRow:
        step = live.run.step
        if live.ticks * TICK_S >= MEASURE_WINDOW_S:
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

    # Earnings

    def _close_interval(self) -> None:
        """Account the last interval's service of each lasting job."""
        self._interval_end_s += ACCOUNTING_INTERVAL_S
        ticks = round(ACCOUNTING_INTERVAL_S / TICK_S)
        for job_id, state in self.cell.open_jobs.items():
            submission = self.submitted[job_id]
            if not state.job.lasting or state.status.final:
                continue
            served = sum(
                n for key, n in self._served_ticks.items() if key.job_id == job_id
            )
            disturbed = sum(
                n for key, n in self._disturbed_ticks.items() if key.job_id == job_id
            )
            ticks_max = ticks * state.job.steps[0].count
            share = (served - DISTURBED_WEIGHT * disturbed) / ticks_max
            earnings = self._service_earnings[submission.kind]
            earnings.owed += submission.worth
            earnings.earned += submission.worth * max(0.0, min(1.0, share))
        self._served_ticks.clear()
        self._disturbed_ticks.clear()

    def earnings(self) -> dict[str, Earnings]:
        """Return the earnings so far, by kind of job."""
        result = dict(self._service_earnings)
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
            elif took_s <= LATE_RATIO_MAX * objective_s:
                earnings.late += 1
                earnings.earned += LATE_WORTH_RATIO * submission.worth
            else:
                earnings.never += 1
        return result

    def usable_filler_cores(self) -> float:
        """
        Return the cores usable by fillers, averaged over images and one load swing.

        These are the cores that the serving tasks leave, reduced so that each serving
        task keeps a slack of ``FILLER_SLACK_MIN`` under the demand's interference.
        """
        period_s = self.demand.settings.swing_s
        now_s = self.now_s - self.begun_at_s
        samples_s = [now_s + n * period_s / SWING_SAMPLES for n in range(SWING_SAMPLES)]
        fillers = sorted({filling for _, filling in self.demand.pairs()})
        total = sum(
            self._usable_millis_at(worker, filling, at_s)
            for worker in self.workers.values()
            for filling in fillers
            for at_s in samples_s
        )
        return total / len(fillers) / len(samples_s) / 1000

    def _usable_millis_at(
        self, worker: EmulatedWorker, filling: str, at_s: float
    ) -> float:
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
            left = self.demand.target_ratio * (1 - load) - FILLER_SLACK_MIN
            if slope:
                limits.append(max(0.0, left / slope) * capacity_millis)
        return max(0.0, min([capacity_millis - used, *limits]))

    def total(self) -> float:
        """Return the share of all credits that was earned."""
        parts = list(self.earnings().values())
        return sum(part.earned for part in parts) / sum(part.owed for part in parts)
