"""Run a load against the scheduler alone: no instance, no store, no network."""

from dataclasses import dataclass, field, replace

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.effects import LogEntry
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, Queue, Step
from hornbeampaddle.cell.progress import JobStatus, Run, RunPhase
from hornbeampaddle.cell.reports import Done, EndedRow, EndKind, Report, RunningRow
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_standins.cell.workers import ENDS_PER_REPORT_MAX

GIB = 2**30
TICK_S = 0.1
STOP_S = 0.3
URGENT = Queue("urgent", "compute", 0, 4, 1.5, 0.25)
BATCH = Queue("batch", "compute", 2, 2, 2.0, 1.0)
LASTING = Queue("lasting", "compute", 0, 3, 2.2, 2.5)


@dataclass
class Player:
    """A scheduler with simulated workers that carry out every order."""

    now_s: float = 100.0
    cell: Scheduler = field(default_factory=lambda: Scheduler(CellSettings()))
    work_s: dict[str, float] = field(default_factory=dict)
    done_s: dict[tuple, float] = field(default_factory=dict)
    ends: dict[WorkerId, list[EndedRow]] = field(default_factory=dict)
    stops: list[tuple[float, Run]] = field(default_factory=list)
    finished_s: dict[str, float] = field(default_factory=dict)
    notes: list[tuple[float, LogEntry]] = field(default_factory=list)
    # The workers that the advice service allows; if None, it does not answer.
    allowed: set[str] | None = None
    # Number of workers that were replaced.
    replacements: int = 0

    def __post_init__(self):
        self.cell.log = lambda log: self.notes.append((self.now_s, log))

    def add_workers(self, count, cpu_millis):
        for number in range(count):
            name = WorkerId(f"w{number}")
            room = Resources(cpu_millis, 512 * GIB, 0)
            address = Address("127.0.0.1", 1)
            listing = WorkerListing(name, "compute", address, "dc-1", room)
            self.cell.list_worker(listing, self.now_s)
            self.ends[name] = []
        self._report()

    def replace_worker(self, worker_id):
        """Replace a worker that went down by one with another id."""
        listing = self.cell.workers[worker_id].listing
        self.cell.worker_ended(worker_id, self.now_s, "replaced")
        self.replacements += 1
        name = WorkerId(f"w{self.replacements}+")
        self.cell.list_worker(replace(listing, worker_id=name), self.now_s)
        self.ends[name] = []
        self._report()

    def submit(self, job_id, queue, step, work_s):
        job = Job(job_id, queue, "p", (step,), 0.0)
        self.work_s[job_id] = work_s
        self.cell.add_job(job, None, self.now_s, self.now_s)

    def tick(self):
        """Advance the time by a tenth of a second."""
        decision = self.cell.decide(self.now_s, self.now_s)
        for run in decision.starts:
            run.phase = RunPhase.SENDING
            run.sent_at_s = self.now_s
            self.cell.orders.start_answered(run, Done(self.now_s), self.now_s)
        if self.allowed is not None:
            for question in decision.questions:
                self._advise(question)
        for order in decision.stops:
            self.cell.orders.stop_answered(order, Done(self.now_s), self.now_s)
            self.stops.append((self.now_s + STOP_S, order.run))
        self.now_s += TICK_S
        self._work()
        self._report()
        for job_id, state in self.cell.jobs.items():
            if state.status is JobStatus.COMPLETED:
                self.finished_s.setdefault(job_id, self.now_s)

    def _advise(self, question):
        names = self.allowed.intersection(question.worker_ids)
        allowance = Allowance(dict.fromkeys(names, "ticket"), self.now_s + 3.0)
        self.cell.advice.answer(question.step, allowance, self.now_s)

    def play(self, seconds_s):
        for _ in range(round(seconds_s / TICK_S)):
            self.tick()

    def _work(self):
        for worker in self.cell.workers.values():
            fillers = [r for r in worker.runs.values() if r.step.filler]
            wanted = sum(run.step.need.cpu_millis for run in fillers)
            left = max(0.0, worker.spare_cpu_millis() + wanted)
            speed = min(1.0, left / wanted) if wanted else 1.0
            ended = {row.key for row in self.ends[worker.worker_id]}
            for run in list(worker.runs.values()):
                if run.key not in ended:
                    self._advance(worker, run, speed if run.step.filler else 1.0)
        due = [run for at_s, run in self.stops if at_s <= self.now_s]
        self.stops = [(at_s, run) for at_s, run in self.stops if at_s > self.now_s]
        for run in due:
            worker = self.cell.workers[run.worker_id]
            if worker.runs.get(run.key) is run:
                self._end(worker, run, EndKind.STOPPED)

    def _advance(self, worker, run, speed):
        if run.phase is not RunPhase.RUNNING or run.step.lasting:
            return
        key = (run.key, run.number)
        self.done_s[key] = self.done_s.get(key, 0.0) + TICK_S * speed
        if self.done_s[key] >= self.work_s[run.key.job_id]:
            self._end(worker, run, EndKind.DONE)

    def _end(self, worker, run, how):
        position = worker.seen_end + len(self.ends[worker.worker_id]) + 1
        row = EndedRow(position, run.key, run.number, how, "")
        self.ends[worker.worker_id].append(row)

    def _report(self):
        for name, worker in list(self.cell.workers.items()):
            gone = {row.key for row in self.ends[name]}
            ended = tuple(self.ends[name][:ENDS_PER_REPORT_MAX])
            del self.ends[name][:ENDS_PER_REPORT_MAX]
            complete = len(ended) < ENDS_PER_REPORT_MAX
            rows = tuple(
                RunningRow(run.key, run.number, "", self.now_s % 97, 1.0)
                for run in worker.runs.values()
                if run.phase is not RunPhase.RECORDING and run.key not in gone
            )
            now_s = self.now_s
            report = Report(now_s, now_s, now_s, rows, ended, ends_complete=complete)
            self.cell.intake.report(name, report)
            self.cell.lease_deadline(name, self.now_s)

    def on_time(self, prefix, objective_s, submitted_s):
        """Count the jobs with an id prefix that were done within their objective."""
        return sum(
            1
            for job_id, at_s in self.finished_s.items()
            if job_id.startswith(prefix) and at_s - submitted_s[job_id] <= objective_s
        )


def step(count, cpu_millis, estimate_s=1.0, **more):
    return Step(count, Resources(cpu_millis, GIB, 0), estimate_s, **more)


def prepared(context):
    """Return a player on which the setup of the scenario has been run."""
    player = Player()
    for act in context.setup:
        act(player)
    return player
