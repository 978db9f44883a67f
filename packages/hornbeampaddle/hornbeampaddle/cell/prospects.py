"""Predict the work and the time that a job has left, and its objective."""

from typing import NamedTuple

from .jobs import ESTIMATE_MIN_S, Job
from .progress import JobState, StepState
from .task_times import TaskTimes


class Prospect(NamedTuple):
    """A job's objective after its acceptance, and its path from now, in seconds."""

    objective_s: float
    path_s: float


def prospect(state: JobState, now_s: float) -> Prospect:
    """Return a job's objective and remaining path, by the run times in force."""
    job, times = state.job, state.times
    if not times.off(job.queue):
        return Prospect(job.objective_s(), _estimated_path_s(state))
    steps = state.occurrences.get(0) or state.new_occurrence(0)
    whole_ends: list[float] = []
    left_ends: list[float] = []
    for step in steps:
        expected = times.prospect(job, step, now_s)
        after = step.step.after
        whole_ends.append(_begin_s(whole_ends, after) + expected.whole_s)
        left_ends.append(_begin_s(left_ends, after) + expected.left_s)
    objective_s = job.objective_s(max(whole_ends, default=0.0))
    return Prospect(objective_s, max(left_ends, default=0.0))


def remaining_work_millis_s(state: JobState) -> float:
    """Return the expected work of a job's unfinished tasks, in millicores x s."""
    steps = state.occurrences.get(0)
    if steps is None:
        return work_millis_s(state.job, state.times)
    off = state.times.off(state.job.queue)
    return sum(
        _task_millis_s(state, step, off) * sum(not task.done for task in step.tasks)
        for step in steps
    )


def work_millis_s(job: Job, times: TaskTimes) -> float:
    """Return the expected work of all tasks of one occurrence, in millicores x s."""
    if not times.off(job.queue):
        return job.work_millis_s()
    return sum(
        step.count
        * step.need.cpu_millis
        * max(ESTIMATE_MIN_S, times.task_s(job.queue, step))
        for step in job.steps
    )


def _task_millis_s(state: JobState, step: StepState, off: bool) -> float:
    if not off:
        return step.step.task_millis_s
    task_s = state.times.step_task_s(state.job, step.key)
    return step.step.need.cpu_millis * max(ESTIMATE_MIN_S, task_s)


def _estimated_path_s(state: JobState) -> float:
    steps = state.occurrences.get(0)
    if steps is None:
        return state.job.chain_s()
    ends: list[float] = []
    for step in steps:
        left_s = 0.0 if step.done else step.step.estimate_s
        ends.append(_begin_s(ends, step.step.after) + left_s)
    return max(ends, default=0.0)


def _begin_s(ends: list[float], after: tuple[int, ...]) -> float:
    return max((ends[number] for number in after), default=0.0)
