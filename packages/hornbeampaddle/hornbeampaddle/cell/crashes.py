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

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
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
PROVEN_S = 5.0
# Two workers lost within a moment of a task's starts are no coincidence ...
PROMPT_CRASHES_MAX = 2
# ... unless so many others stopped answering in the same moment: a task brings down the
# worker that runs it, and a rack or a release takes several.
TOGETHER_MIN = 2
TOGETHER_S = 0.25
# Losses that come later prove little, but they are bounded as well: operators tolerate
# two starts after the third loss.
CRASHES_MAX = 4


@dataclass(frozen=True, slots=True)
class Suspect:
    """A run that may have crashed its worker, and whose it is."""

    run: Run
    state: JobState
    task: Task


def count(cell: "Scheduler", worker: WorkerState, now_s: float) -> list[JobState]:
    """Count a worker's loss against its young runs; return jobs to give up."""
    suspects = list(_suspects(cell, worker, now_s))
    lost_at_s = worker.lost_at_s(now_s)
    if not _went_together(cell, worker, lost_at_s):
        _count_prompt(suspects, lost_at_s)
    for suspect in suspects:
        suspect.task.crashed_runs[suspect.run.number] = worker.worker_id
        _note(cell, suspect)
    sure = [s for s in suspects if _crashes_promptly(s.task)]
    for suspect in sure:
        _clear_others(cell, suspect.task)
    hopeless = [s for s in suspects if len(s.task.crashed_runs) >= CRASHES_MAX]
    return [suspect.state for suspect in [*sure, *hopeless]]


def _suspects(
    cell: "Scheduler", worker: WorkerState, now_s: float
) -> Iterator[Suspect]:
    """
    Return the runs that may have crashed a worker that is lost.

    All that have been at work for a short time are among them. If only those counted
    that no report has shown yet, a task that crashes its workers after a second would
    never be found, for something else has always just been started.
    """
    lost_at_s = worker.lost_at_s(now_s)
    proven_at_s = worker.last_report_at_s - PROVEN_S
    for run in worker.all_runs():
        # What was sent after the loss never reached the worker.
        if run.sent_at_s > lost_at_s or run.reported_at_s <= proven_at_s:
            continue
        state = cell.jobs.get(run.key.job_id)
        task = state.task(run.key) if state is not None else None
        if state is None or task is None or task.done or state.status.final:
            continue
        yield Suspect(run, state, task)


def _went_together(cell: "Scheduler", worker: WorkerState, lost_at_s: float) -> bool:
    """
    Tell whether other workers stopped answering in the same moment.

    Guards against jobs that are given up for what had just been started on workers that
    go down several at a time, for reasons of their own.
    """
    others = {
        name
        for name, at_s in cell.silences
        if name != worker.worker_id and abs(at_s - lost_at_s) <= TOGETHER_S
    }
    return len(others) >= TOGETHER_MIN


def _count_prompt(suspects: list[Suspect], lost_at_s: float) -> None:
    prompt = [s for s in suspects if lost_at_s - s.run.sent_at_s <= PROMPT_S]
    # What a report has shown already has survived what the newest may not have.
    prompt = [s for s in prompt if not s.run.reported] or prompt
    for suspect in prompt:
        numbers = suspect.task.prompt_crashes
        if suspect.run.number not in numbers:
            numbers.append(suspect.run.number)


def _clear_others(cell: "Scheduler", guilty: Task) -> None:
    """
    Forget the losses of other tasks that a task has brought about.

    Guards against a long task that is given up because several crashing ones were
    started beside it, one after the other.
    """
    workers = {guilty.crashed_runs[number] for number in guilty.prompt_crashes}
    for state in cell.open_jobs.values():
        for task in state.tasks():
            if task is guilty:
                continue
            for number, worker_id in list(task.crashed_runs.items()):
                if worker_id in workers:
                    survived(cell, task, number)


def give_up(cell: "Scheduler", jobs: Iterable[JobState], now_s: float) -> None:
    """End the jobs whose tasks crash their workers."""
    for state in jobs:
        if not state.status.final:
            cell.finish(state, JobStatus.FAILED, now_s, "crashes_workers")


def survived(cell: "Scheduler", task: Task, number: int) -> None:
    """Take in that a run did not crash its worker, or that nothing did."""
    if task.crashed_runs.pop(number, None) is not None:
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


def choose_apart(
    workers: Iterable[WorkerState], task: Task, now_s: float
) -> WorkerState | None:
    """
    Return the worker for a suspected task: the one where least is at stake.

    ``workers`` have room for it. A worker that recently started another suspected task,
    or a task that was lost with one of the same workers, is skipped: if both tasks were
    lost together again, the crash could not be attributed to either of them.
    Workers with a run that no report has shown yet come last, then the one where the
    task was lost.
    """
    lost_worker_ids = task.crashed_runs.values()
    apart = (w for w in workers if not _on_trial(w, lost_worker_ids, now_s))
    return min(apart, key=lambda w: _stake(w, task.last_worker_id), default=None)


def _on_trial(
    worker: WorkerState, lost_worker_ids: Collection[str], now_s: float
) -> bool:
    """
    Tell whether the worker has a recent run of a task that may crash it.

    Such a task is suspected itself or was lost with a worker in ``lost_worker_ids``.
    """
    return any(
        (run.suspected or not run.lost_worker_ids.isdisjoint(lost_worker_ids))
        and now_s - run.reported_at_s < PROVEN_S
        for run in worker.runs.values()
    )


def _stake(worker: WorkerState, avoid: str) -> tuple[int, bool, int, str]:
    unreported = sum(not run.reported for run in worker.runs.values())
    name = worker.worker_id
    return unreported, name == avoid, len(worker.runs), name


def _crashes_promptly(task: Task) -> bool:
    return len(task.prompt_crashes) >= PROMPT_CRASHES_MAX


def _note(cell: "Scheduler", suspect: Suspect) -> None:
    run, task = suspect.run, suspect.task
    cell.dirty.add(run.key.job_id)
    detail: dict[str, object] = {
        "task": run.key,
        "run": run.number,
        "worker": run.worker_id,
        "crashes": len(task.crashed_runs),
        "prompt": len(task.prompt_crashes),
    }
    cell.note(Note("crash_suspected", run.key.job_id, detail))
