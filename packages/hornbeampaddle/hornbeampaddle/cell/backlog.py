"""
Measure what waits in each queue and how fast the queue is served.

The load that this answers: a burst that takes half a minute to work off. What is
measured tells how long a new job would wait at least: the work that certainly precedes
it, at the best rate at which its queue was served lately. Work is in thousandths of a
core x s, by expected run times.

Only queues with a latency target count, and of their jobs those that end and are not
repeated. A queue that nobody would have to be refused for has no entry.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .jobs import ESTIMATE_MIN_S, Job, Queue, Step
from .progress import JobState
from .prospects import remaining_work_millis_s
from .run_times import RunTimes
from .settings import CellSettings
from .urgency import NO_VALUE_AFTER_RATIO, MeanWork, chance_of

# Rates are means over this time: a few waves of tasks of a second.
RATE_WINDOW_S = 3.0
# The best rate of this time counts, so that a crash of workers or a short outage does
# not pass for the rate of service.
RATE_MEMORY_S = 12.0
# Instances read the measurement twice a second.
MEASURE_INTERVAL_S = 0.5
# A measurement that does not change is published once a second.
UNCHANGED_INTERVAL_S = 1.0
# How many times as long as expected a job may run; nine in ten run no longer.
RUN_TIME_RATIO_MAX = 2.0
# Number of rows that describe how the waiting work is spread over the order of jobs.
ORDER_ROWS_MAX = 8


@dataclass(frozen=True, slots=True)
class QueueBacklog:
    """
    What waits in one queue.

    Each row of ``ahead`` is an order (see ``urgency``: work per relative value) and the
    work that waits in jobs up to that order; both rise. ``rate_millis`` is work per
    second, ``mean_work_millis_s`` the mean of the queue's jobs by their estimates,
    ``run_time_ratio`` expected run times over estimates, ``mean_run_time_s`` the
    expected run time of a waiting task.
    """

    ahead: tuple[tuple[float, float], ...]
    rate_millis: float
    mean_work_millis_s: float
    run_time_ratio: float
    mean_run_time_s: float

    def wait_s(self, order: float) -> float:
        """Return the least time that a new job of this order waits for its turn."""
        row = bisect_right(self.ahead, order, key=lambda entry: entry[0])
        return self.ahead[row - 1][1] / self.rate_millis if row else 0.0

    @property
    def drained_s(self) -> float:
        """Return the time until all that waits now has had its turn."""
        return self.ahead[-1][1] / self.rate_millis if self.ahead else 0.0

    @property
    def jobs_per_s(self) -> float:
        """Return the rate of service in jobs of mean work."""
        mean = self.mean_work_millis_s * self.run_time_ratio
        return self.rate_millis / mean if mean else 0.0


Backlog = Mapping[str, QueueBacklog]


@dataclass(slots=True)
class ServiceRate:
    """The rate at which one queue is served while work waits in it."""

    _done: deque[tuple[float, float]] = field(default_factory=deque)
    _rates: deque[tuple[float, float]] = field(default_factory=deque)
    _waiting_since_s: float | None = None

    def add(self, work_millis_s: float, now_s: float) -> None:
        """Count work that was done."""
        self._done.append((now_s, work_millis_s))

    def sample(self, waiting: bool, now_s: float) -> None:
        """Take a sample; a queue in which nothing waits tells nothing of its rate."""
        _drop_before(self._done, now_s - RATE_WINDOW_S)
        _drop_before(self._rates, now_s - RATE_MEMORY_S)
        if not waiting:
            self._waiting_since_s = None
            return
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        if now_s - self._waiting_since_s >= RATE_WINDOW_S:
            done = sum(work for _, work in self._done)
            self._rates.append((now_s, done / RATE_WINDOW_S))

    def best_millis(self) -> float:
        """Return the best rate of the last ``RATE_MEMORY_S``, 0 if none is known."""
        return max((rate for _, rate in self._rates), default=0.0)


class BacklogMeter:
    """Measures the backlog of a cell; ``due`` returns what has to be published."""

    def __init__(self, settings: CellSettings) -> None:
        """Start with no queue."""
        self.settings = settings
        self.backlog: Backlog = {}
        self._rates: dict[str, ServiceRate] = {}
        self._next_s = float("-inf")
        self._published: Backlog = {}
        self._published_at_s = float("-inf")

    def observe_done(self, job: Job, step: Step, task_s: float, now_s: float) -> None:
        """Count a task that has succeeded; ``task_s`` is its expected run time."""
        if self.settings.publishes_backlog and counts(job):
            rate = self._rates.setdefault(job.queue.name, ServiceRate())
            rate.add(_task_work(step, task_s), now_s)

    def due(
        self,
        jobs: Iterable[JobState],
        usual: MeanWork,
        run_times: RunTimes,
        now_s: float,
    ) -> Backlog | None:
        """Measure if it is time to; return the backlog if it has to be published."""
        if not self.settings.publishes_backlog or now_s < self._next_s:
            return None
        self._next_s = now_s + MEASURE_INTERVAL_S
        self.backlog = self._measure(jobs, usual, run_times, now_s)
        if self.backlog == self._published:
            recent = now_s - self._published_at_s < UNCHANGED_INTERVAL_S
            if recent or not self.backlog:
                return None
        self._published, self._published_at_s = self.backlog, now_s
        return self.backlog

    def _measure(
        self,
        jobs: Iterable[JobState],
        usual: MeanWork,
        run_times: RunTimes,
        now_s: float,
    ) -> Backlog:
        queues: dict[str, _QueueMeasure] = {}
        for state in jobs:
            if state.status.final or not counts(state.job):
                continue
            name = state.job.queue.name
            queues.setdefault(name, _QueueMeasure(state.job.queue)).add(
                state, usual, run_times, now_s
            )
        for name, rate in self._rates.items():
            rate.sample(name in queues and queues[name].waits, now_s)
        backlogs = {
            name: measure.backlog(self._rates[name].best_millis(), usual)
            for name, measure in queues.items()
            if name in self._rates
        }
        return {
            name: backlog
            for name, backlog in backlogs.items()
            if backlog is not None and _refuses_some(queues[name].queue, backlog)
        }


@dataclass(slots=True)
class _WaitingWork:
    """The waiting tasks of some jobs, their run times and work."""

    tasks: int = 0
    run_time_s: float = 0.0
    estimated_millis_s: float = 0.0
    expected_millis_s: float = 0.0

    def add(self, other: "_WaitingWork") -> None:
        self.tasks += other.tasks
        self.run_time_s += other.run_time_s
        self.estimated_millis_s += other.estimated_millis_s
        self.expected_millis_s += other.expected_millis_s


class _QueueMeasure:
    """Sums up the waiting jobs of one queue."""

    def __init__(self, queue: Queue) -> None:
        self.queue = queue
        self.waits = False
        self._ahead: list[tuple[float, float]] = []
        self._total = _WaitingWork()

    def add(
        self, state: JobState, usual: MeanWork, run_times: RunTimes, now_s: float
    ) -> None:
        waiting = _waiting_work(state, run_times)
        if not waiting.tasks:
            return
        self.waits = True
        self._total.add(waiting)
        # Jobs that are late by now come after a new one.
        if chance_of(state, now_s) == 0:
            value = usual.relative_value(state)
            order = remaining_work_millis_s(state) / value
            self._ahead.append((order, waiting.expected_millis_s))

    def backlog(self, rate_millis: float, usual: MeanWork) -> QueueBacklog | None:
        total = self._total
        if not rate_millis or not self._ahead or not total.estimated_millis_s:
            return None
        return QueueBacklog(
            _rows(self._ahead),
            rate_millis,
            usual.mean_millis_s(self.queue.name),
            total.expected_millis_s / total.estimated_millis_s,
            total.run_time_s / total.tasks,
        )


def counts(job: Job) -> bool:
    """Return whether a job may be refused for load."""
    return bool(job.queue.latency_target_s) and not job.lasting and not job.repeat_count


def wait_limit_s(queue: Queue, chain_s: float) -> float:
    """
    Return the longest wait after which a job may be worth something to its caller.

    ``chain_s`` is the expected time of its longest chain. It is allowed the time of a
    job that runs ``RUN_TIME_RATIO_MAX`` times as long.
    """
    longest_s = RUN_TIME_RATIO_MAX * chain_s
    objective_s = queue.stretch_ratio * longest_s + queue.latency_target_s
    return NO_VALUE_AFTER_RATIO * objective_s - longest_s


def _refuses_some(queue: Queue, backlog: QueueBacklog) -> bool:
    """Return whether some job would be refused: the shortest, if it came last."""
    return backlog.drained_s > wait_limit_s(queue, backlog.mean_run_time_s)


def _task_work(step: Step, task_s: float) -> float:
    return step.need.cpu_millis * max(ESTIMATE_MIN_S, task_s)


def _waiting_work(state: JobState, run_times: RunTimes) -> _WaitingWork:
    steps = state.occurrences.get(0)
    total = _WaitingWork()
    for number, step in enumerate(state.job.steps):
        tasks = step.count if steps is None else len(steps[number].waiting())
        task_s = max(ESTIMATE_MIN_S, run_times.task_s(state.job.queue, step))
        total.tasks += tasks
        total.run_time_s += tasks * task_s
        total.estimated_millis_s += tasks * step.task_millis_s
        total.expected_millis_s += tasks * _task_work(step, task_s)
    return total


def _rows(waiting: list[tuple[float, float]]) -> tuple[tuple[float, float], ...]:
    """Return sums of work over jobs by order, at rows of about equal work."""
    total = sum(work for _, work in waiting)
    rows: list[tuple[float, float]] = []
    ahead = 0.0
    for order, work in sorted(waiting):
        ahead += work
        if ahead >= (len(rows) + 1) * total / ORDER_ROWS_MAX or ahead >= total:
            rows.append((order, ahead))
    return tuple(rows)


def _drop_before(entries: deque[tuple[float, float]], time_s: float) -> None:
    while entries and entries[0][0] < time_s:
        entries.popleft()
