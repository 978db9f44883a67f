"""
Find the tasks that crash the workers that start them, and give them up.

Guards against a task that brings down worker after worker. It shows as workers that are
replaced moments after a start, each with the loss of all that ran there: a run that is
lost with its worker has no end, so no limit of attempts counts it. Here such losses are
counted, stored with the job's progress, and bounded.

A task whose worker went within a moment of its start is tried again only where nothing
else has just been started, and nothing more is started there until a report shows that
the worker has survived it. So the next loss tells the task from those beside it.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .effects import Note
from .progress import JobState, JobStatus, Run, Task
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A worker that is lost so soon after it was sent a start may have been brought down by
# it: a closed connection shows within 30 ms.
PROMPT_S = 0.25
# A run that was reported for so long did not crash its worker by being started.
PROVEN_S = 10.0
# Two workers lost within a moment of a task's starts are no coincidence: about one in a
# hundred runs is lost so with a worker that goes up and down all the time.
PROMPT_CRASHES_MAX = 2
# Losses that come later prove little, but they are bounded as well: operators tolerate
# two starts after the third loss.
CRASHES_MAX = 4


def to_blame(worker: WorkerState, now_s: float) -> list[Run]:
    """
    Return the runs that may have crashed a worker that is lost.

    These are the runs that no report has shown yet; if there are none, those that have
    been at work for a short time.
    """
    lost_at_s = worker.lost_at_s(now_s)
    # What was sent later never reached the worker.
    sent = [run for run in worker.all_runs() if run.sent_at_s <= lost_at_s]
    unreported = [run for run in sent if not run.reported]
    if unreported:
        return unreported
    proven_at_s = worker.last_report_at_s - PROVEN_S
    return [run for run in sent if run.reported_at_s > proven_at_s]


def count(cell: "Scheduler", worker: WorkerState, now_s: float) -> list[JobState]:
    """Count a worker's loss against its newest runs; return jobs to give up."""
    lost_at_s = worker.lost_at_s(now_s)
    blamed = [(run, _owner(cell, run)) for run in to_blame(worker, now_s)]
    known = [(run, *owner) for run, owner in blamed if owner is not None]
    prompt = [
        (run, task) for run, _, task in known if lost_at_s - run.sent_at_s <= PROMPT_S
    ]
    most = max((len(task.prompt_crashes) for _, task in prompt), default=0)
    for run, task in prompt:
        # Beside a task that was tried here because it is suspected, others are not.
        if len(task.prompt_crashes) == most:
            _add(task.prompt_crashes, run.number)
    for run, _, task in known:
        _add(task.crashed_runs, run.number)
        _note(cell, worker, run, task)
    return [state for _, state, task in known if _hopeless(task)]


def give_up(cell: "Scheduler", jobs: Iterable[JobState], now_s: float) -> None:
    """End the jobs whose tasks crash their workers."""
    for state in jobs:
        if not state.status.final:
            cell.finish(state, JobStatus.FAILED, now_s, "crashes_workers")


def survived(cell: "Scheduler", task: Task, number: int) -> None:
    """Take in that the worker of a run is alive, which was thought to have crashed."""
    if number in task.crashed_runs:
        task.crashed_runs.remove(number)
        cell.dirty.add(task.key.job_id)
    if number in task.prompt_crashes:
        task.prompt_crashes.remove(number)


def forget_if_proven(cell: "Scheduler", task: Task, run: Run, now_s: float) -> None:
    """
    Forget a task's earlier losses once a run of it has been at work for long.

    Guards against a lasting task that is given up after weeks, in which it was lost
    with a worker now and then.
    """
    if task.crashed_runs and now_s - run.reported_at_s > PROVEN_S:
        task.crashed_runs.clear()
        task.prompt_crashes.clear()
        cell.dirty.add(task.key.job_id)


def suspected(task: Task) -> bool:
    """Tell whether the next start of a task is to be kept apart from others."""
    return bool(task.prompt_crashes) or len(task.crashed_runs) > 1


def choose_apart(workers: Iterable[WorkerState], avoid: str) -> WorkerState | None:
    """
    Return the worker for a suspected task: the one where least is at stake.

    ``workers`` have room for it. Those with a run that no report has shown yet come
    last, then the worker where the task was lost.
    """
    return min(workers, key=lambda w: _stake(w, avoid), default=None)


def _stake(worker: WorkerState, avoid: str) -> tuple[int, bool, int, str]:
    unreported = sum(not run.reported for run in worker.runs.values())
    name = worker.worker_id
    return unreported, name == avoid, len(worker.runs), name


def _owner(cell: "Scheduler", run: Run) -> tuple[JobState, Task] | None:
    state = cell.jobs.get(run.key.job_id)
    task = state.task(run.key) if state is not None else None
    if state is None or task is None or task.done or state.status.final:
        return None
    return state, task


def _add(numbers: list[int], number: int) -> None:
    if number not in numbers:
        numbers.append(number)


def _hopeless(task: Task) -> bool:
    prompt = len(task.prompt_crashes) >= PROMPT_CRASHES_MAX
    return prompt or len(task.crashed_runs) >= CRASHES_MAX


def _note(cell: "Scheduler", worker: WorkerState, run: Run, task: Task) -> None:
    cell.dirty.add(run.key.job_id)
    detail: dict[str, object] = {
        "task": run.key,
        "run": run.number,
        "worker": worker.worker_id,
        "crashes": len(task.crashed_runs),
        "prompt": len(task.prompt_crashes),
    }
    cell.note(Note("crash_suspected", run.key.job_id, detail))
