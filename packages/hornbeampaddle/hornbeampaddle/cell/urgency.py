"""
Put jobs into the order in which their tasks are placed.

Order: priority of the queue, then tasks that last and have been away for long, then
jobs that end before jobs that last, then jobs that can still be on time, then the
time by which a job should be done.
"""

from .progress import JobState, StepState

# A job is worth little after its objective and nothing after three times that.
WORTHLESS_AFTER_RATIO = 3.0
# Callers count on a task that lasts being back after 6 s, and on 3 s more if there is a
# place for it. From 3 s on, urgent jobs of a pressing load earned 0.03 less.
AWAY_MAX_S = 5.0

Urgency = tuple[int, bool, bool, int, float]


def urgency(state: JobState, step: StepState, now_s: float) -> Urgency:
    """Return what a step is sorted by; the smallest comes first."""
    job = state.job
    objective_s = job.objective_s()
    due_s = state.accepted_at_s + objective_s
    chance = 0
    if not job.lasting and not job.repeat_count:
        chance = chance_of(state, now_s)
    # Guards against a task that lasts and stays away for as long as urgent jobs come:
    # it was stopped to make room for one, and each later one was placed before it.
    overdue = step.step.lasting and step.away_s(now_s) > AWAY_MAX_S
    return (job.queue.priority, not overdue, job.lasting, chance, due_s)


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
