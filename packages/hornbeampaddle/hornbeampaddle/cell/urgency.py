"""
Order the steps of jobs for placement.

Sort keys, most significant first: lasting (long-running) steps with a task that has
waited for its restart longer than ``LASTING_AWAY_MAX_S``; priority of the queue; jobs
that end before lasting jobs; jobs that can still meet their objective; highest value
for the caller per remaining work. Lasting and repeated jobs are ordered by due time
instead of the last key.

Under overload, ordering all jobs by due time would start many jobs and complete few.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .progress import JobState, StepState, Task
from .prospects import prospect, remaining_work_millis_s, work_millis_s

# Multiple of its objective after which a job has no value; it has little value between
# the objective and this.
NO_VALUE_AFTER_RATIO = 3.0
# Time that a lasting task waits for its restart before it precedes all other work.
# Callers expect it to run again within 6 s, and 3 s more where there is room for it.
# With a much shorter time it would be placed before the urgent jobs that it was stopped
# for.
LASTING_AWAY_MAX_S = 5.0
# Time that a lasting task waits until it takes room that is kept for urgent ones. The
# callers' bound on its wait beside free room is 9 s, of which a start and a lost answer
# may take 2 s.
OWED_AFTER_S = 6.5
# Time that a task which an earlier holder ran counts as having waited before this one,
# so that it has its place within the callers' bound after a takeover.
UNSEEN_WAIT_S = 3.0

# Part of a job's relative value that does not depend on its size, and upper bound of
# that value. The other part is proportional to the job's work, relative to its queue's
# mean.
FIXED_VALUE = 0.3
RELATIVE_VALUE_MAX = 4.0

Urgency = tuple[bool, int, bool, int, float]


@dataclass(slots=True)
class MeanWork:
    """
    Mean expected work of the jobs of each queue, by the estimates and as learned.

    Work is in thousandths of a core x s.
    """

    _sums: dict[str, float] = field(default_factory=dict)
    _expected_sums: dict[str, float] = field(default_factory=dict)
    _counts: dict[str, int] = field(default_factory=dict)

    def add(self, state: JobState) -> None:
        """Add a job to the mean of its queue."""
        job = state.job
        name = job.queue.name
        work = job.work_millis_s()
        expected = work_millis_s(job, state.times)
        self._sums[name] = self._sums.get(name, 0.0) + work
        self._expected_sums[name] = self._expected_sums.get(name, 0.0) + expected
        self._counts[name] = self._counts.get(name, 0) + 1

    def relative_value(self, state: JobState) -> float:
        """Return the value of a job relative to one of its queue's mean work."""
        name = state.job.queue.name
        off = state.times.off(state.job.queue)
        work = work_millis_s(state.job, state.times)
        sums = self._expected_sums if off else self._sums
        return relative_value(work, self._mean(sums, name))

    def mean_millis_s(self, queue_name: str) -> float:
        """Return the mean of a queue by the estimates, 0 if it had no job."""
        return self._mean(self._sums, queue_name)

    def _mean(self, sums: dict[str, float], queue_name: str) -> float:
        count = self._counts.get(queue_name, 0)
        return sums[queue_name] / count if count else 0.0


def relative_value(work: float, mean_work: float) -> float:
    """Return the value of a job of some work relative to one of its queue's mean."""
    if not mean_work:
        return 1.0
    scaled = FIXED_VALUE + (1 - FIXED_VALUE) * work / mean_work
    return min(RELATIVE_VALUE_MAX, scaled)


class JobUrgency(NamedTuple):
    """The part of the sort key that all steps of a job share."""

    priority: int
    lasting: bool
    chance: int
    order: float


def job_urgency(state: JobState, usual: MeanWork, now_s: float) -> JobUrgency:
    """Return what the sort keys of a job's steps share: a walk over all of them."""
    job = state.job
    order = state.accepted_at_s + job.objective_s()
    chance = 0
    if not job.lasting and not job.repeat_count:
        chance = chance_of(state, now_s)
        order = remaining_work_millis_s(state) / usual.relative_value(state)
    return JobUrgency(job.queue.priority, job.lasting, chance, order)


def urgency(shared: JobUrgency, step: StepState, now_s: float) -> Urgency:
    """Return the sort key of a step; the smallest is placed first."""
    # Prevents starvation of a lasting task that was preempted for an urgent job: while
    # urgent jobs arrive, each of them would be placed before it, including those from
    # queues of higher priority.
    overdue = step.step.lasting and step.interrupted_s(now_s) > LASTING_AWAY_MAX_S
    return (not overdue, *shared)


def by_wait(key: Urgency, step: StepState, now_s: float) -> Urgency:
    """Return the key of a lasting step, ordered by the longest wait of its tasks."""
    since_s = min(waits_since_s(step, task, now_s) for task in step.waiting())
    return (*key[:-1], since_s)


def waits_since_s(step: StepState, task: Task, now_s: float) -> float:
    """Return since when a waiting task of a step has needed a worker."""
    ready_at_s = now_s if step.ready_at_s is None else step.ready_at_s
    if task.last_run and task.ended_at_s == -math.inf:
        return ready_at_s - UNSEEN_WAIT_S
    return max(ready_at_s, task.ended_at_s)


def owed(step: StepState, task: Task, now_s: float) -> bool:
    """Return whether a lasting task has waited for so long that it takes any room."""
    return now_s - waits_since_s(step, task, now_s) > OWED_AFTER_S


def chance_of(state: JobState, now_s: float) -> int:
    """
    Return 0 if a job can still meet its objective, 1 if it is late, 2 if too late.

    Too late means that the job has no value left when it ends.

    In a long queue ordered by due time, the first jobs are those that are just too
    late. Serving them first would make every job behind them late as well.
    """
    objective_s, path_s = prospect(state, now_s)
    end_s = now_s + path_s - state.accepted_at_s
    if end_s <= objective_s:
        return 0
    return 1 if end_s <= NO_VALUE_AFTER_RATIO * objective_s else 2
