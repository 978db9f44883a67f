"""
Put jobs into the order in which their tasks are placed.

Order: lasting tasks away for more than AWAY_MAX_S, then priority of the queue, then
jobs that end before jobs that last, then jobs that can still be on time, then those
whose callers get most for the work that is left. Jobs that last, or are repeated, go by
the time by which they should be done.

When more work comes than fits, the order by due time would begin many jobs and end few.
"""

from dataclasses import dataclass, field

from .jobs import Job
from .progress import JobState, StepState

# A job is worth little after its objective and nothing after three times that.
WORTHLESS_AFTER_RATIO = 3.0
# Callers count on a task that lasts being back after 6 s, and on 3 s more if there is a
# place for it. Much sooner, it would be placed before the urgent jobs it made room for.
AWAY_MAX_S = 5.0

# A job is worth this much to its caller whatever its size, the rest goes by its work
# against the mean of its queue, up to a bound.
FIXED_WORTH = 0.3
WORTH_MAX = 4.0

Urgency = tuple[bool, int, bool, int, float]


@dataclass(slots=True)
class UsualWork:
    """
    The mean work of each queue's jobs, by their estimates.

    Work is in thousandths of a core x s.
    """

    _sums: dict[str, float] = field(default_factory=dict)
    _counts: dict[str, int] = field(default_factory=dict)

    def add(self, job: Job) -> None:
        """Count a job."""
        name = job.queue.name
        self._sums[name] = self._sums.get(name, 0.0) + job.work_millis_s()
        self._counts[name] = self._counts.get(name, 0) + 1

    def worth(self, job: Job) -> float:
        """Return what a job is worth, where one of mean work is worth 1."""
        count = self._counts.get(job.queue.name, 0)
        mean = self._sums[job.queue.name] / count if count else 0.0
        if not mean:
            return 1.0
        scaled = FIXED_WORTH + (1 - FIXED_WORTH) * job.work_millis_s() / mean
        return min(WORTH_MAX, scaled)


def urgency(
    state: JobState, step: StepState, usual: UsualWork, now_s: float
) -> Urgency:
    """Return what a step is sorted by; the smallest comes first."""
    job = state.job
    order = state.accepted_at_s + job.objective_s()
    chance = 0
    if not job.lasting and not job.repeat_count:
        chance = chance_of(state, now_s)
        order = remaining_millis_s(state) / usual.worth(job)
    # Guards against a task that lasts and stays away for as long as urgent jobs come:
    # it was stopped to make room for one, and each later one was placed before it,
    # including those from queues of higher priority.
    overdue = step.step.lasting and step.interrupted_s(now_s) > AWAY_MAX_S
    return (not overdue, job.queue.priority, job.lasting, chance, order)


def chance_of(state: JobState, now_s: float) -> int:
    """
    Return 0 for a job that can still be on time, 1 for late, 2 for neither.

    When the queue is long, the first in line are those that are just too late:
    serving them first makes every one behind them late as well.
    """
    objective_s = state.job.objective_s()
    end_s = now_s + remaining_chain_s(state) - state.accepted_at_s
    if end_s <= objective_s:
        return 0
    return 1 if end_s <= WORTHLESS_AFTER_RATIO * objective_s else 2


def remaining_millis_s(state: JobState) -> float:
    """Return the estimated work of the tasks not yet done."""
    steps = state.occurrences.get(0)
    if steps is None:
        return state.job.work_millis_s()
    return sum(
        step.step.task_millis_s * sum(not task.done for task in step.tasks)
        for step in steps
    )


def remaining_chain_s(state: JobState) -> float:
    """Return the estimated length of the longest chain of steps not yet done."""
    steps = state.occurrences.get(0)
    if steps is None:
        return state.job.chain_s()
    ends: list[float] = []
    for step in steps:
        begin_s = max((ends[number] for number in step.step.after), default=0.0)
        ends.append(begin_s if step.done else begin_s + step.step.estimate_s)
    return max(ends, default=0.0)
