"""
Detect tasks that crash the workers on which they start, and fail their jobs.

Guards against a task that crashes worker after worker. The symptom is workers that are
replaced moments after a start, each with the loss of all its runs: a run that is lost
with its worker has no reported end, so it does not count towards the limit on failed
attempts. Such losses are counted here, stored with the job's progress, and bounded.

A task whose worker was lost promptly after the task's start is retried in isolation:
only on a worker on which nothing else was just started, and nothing more is started
there until a report shows that the worker has survived. The next loss can then be
attributed to the task rather than to those beside it.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .effects import LogEntry
from .incarnations import WorkerId
from .progress import JobState, JobStatus, Run, Task
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A worker that is lost within this time of being sent a start may have been crashed by
# it: a closed connection is detected within 30 ms.
PROMPT_CRASH_S = 0.25
# A run that has been reported for this long did not crash its worker by starting.
SURVIVAL_PROVEN_S = 5.0
# Number of prompt crashes at which a task's job fails: two workers lost promptly after
# a task's starts are no coincidence ...
PROMPT_CRASHES_MAX = 2
# ... unless at least this many other workers stopped answering within the window below:
# a task crashes only the worker that runs it, while a rack failure or a software
# release affects several.
SIMULTANEOUS_LOSSES_MIN = 2
SIMULTANEOUS_LOSS_WINDOW_S = 0.25
# Number of crashes, prompt or not, at which a task's job fails. Later losses are weak
# evidence, but they are bounded as well: operators tolerate two starts after the third
# loss.
CRASHES_MAX = 4


@dataclass(frozen=True, slots=True)
class Suspect:
    """A run that may have crashed its worker, with its job and task."""

    run: Run
    state: JobState
    task: Task


def count(cell: "Scheduler", worker: WorkerState, now_s: float) -> list[JobState]:
    """Count a worker's loss against its recent runs; return the jobs to fail."""
    suspects = list(_suspects(cell, worker, now_s))
    lost_at_s = worker.lost_at_s(now_s)
    if not _lost_simultaneously(cell, worker, lost_at_s):
        _count_prompt(suspects, lost_at_s)
    for suspect in suspects:
        suspect.task.crashed_runs[suspect.run.number] = worker.worker_id
        _log_suspect(cell, suspect)
    prompt_suspects = [s for s in suspects if _crashes_promptly(s.task)]
    for suspect in prompt_suspects:
        _forget_caused_crashes(cell, suspect.task)
    over_limit = [s for s in suspects if len(s.task.crashed_runs) >= CRASHES_MAX]
    return [suspect.state for suspect in [*prompt_suspects, *over_limit]]


def _suspects(
    cell: "Scheduler", worker: WorkerState, now_s: float
) -> Iterator[Suspect]:
    """
    Return the runs that may have crashed a lost worker.

    Besides unreported runs, these are all runs that were first reported less than
    ``SURVIVAL_PROVEN_S`` before the worker's last report. If only unreported runs
    counted, a task that crashes its workers after a second would never be found, since
    some other task has always just been started.
    """
    lost_at_s = worker.lost_at_s(now_s)
    proven_at_s = worker.last_report_at_s - SURVIVAL_PROVEN_S
    for run in worker.all_runs():
        # A start that was sent after the loss never reached the worker.
        if run.sent_at_s > lost_at_s or run.reported_at_s <= proven_at_s:
            continue
        # It had ended before the worker was lost.
        if run.end_unlisted:
            continue
        state = cell.jobs.get(run.key.job_id)
        task = state.task(run.key) if state is not None else None
        if state is None or task is None or task.done or state.status.final:
            continue
        yield Suspect(run, state, task)


def _lost_simultaneously(
    cell: "Scheduler", worker: WorkerState, lost_at_s: float
) -> bool:
    """
    Return whether several other workers stopped answering at the same time.

    Guards against failing jobs whose tasks had just been started on workers that go
    down together for an unrelated reason.
    """
    others = {
        name
        for name, at_s in cell.recent_silences
        if name != worker.worker_id
        and abs(at_s - lost_at_s) <= SIMULTANEOUS_LOSS_WINDOW_S
    }
    return len(others) >= SIMULTANEOUS_LOSSES_MIN


def _count_prompt(suspects: list[Suspect], lost_at_s: float) -> None:
    prompt = [s for s in suspects if lost_at_s - s.run.sent_at_s <= PROMPT_CRASH_S]
    # Prefer unreported runs: a reported run has already passed the stage at which an
    # unreported one may have crashed the worker.
    prompt = [s for s in prompt if not s.run.reported] or prompt
    for suspect in prompt:
        numbers = suspect.task.prompt_crashes
        if suspect.run.number not in numbers:
            numbers.append(suspect.run.number)


def _forget_caused_crashes(cell: "Scheduler", culprit: Task) -> None:
    """
    Forget other tasks' crashes on the workers that the culprit crashed.

    Guards against failing a long task's job because several crashing tasks were started
    beside it, one after the other.
    """
    workers = {culprit.crashed_runs[number] for number in culprit.prompt_crashes}
    for state in cell.open_jobs.values():
        for task in state.tasks():
            if task is culprit:
                continue
            for number, worker_id in list(task.crashed_runs.items()):
                if worker_id in workers:
                    forget_crash(cell, task, number)


def fail_jobs(cell: "Scheduler", jobs: Iterable[JobState], now_s: float) -> None:
    """Fail the jobs whose tasks crash their workers."""
    for state in jobs:
        if not state.status.final:
            cell.finish(state, JobStatus.FAILED, now_s, "crashes_workers")


def forget_crash(cell: "Scheduler", task: Task, number: int) -> None:
    """Forget a counted crash: the run did not cause it, or there was none."""
    if task.crashed_runs.pop(number, None) is not None:
        cell.dirty.add(task.key.job_id)
    if number in task.prompt_crashes:
        task.prompt_crashes.remove(number)


def forget_crashes_if_proven(
    cell: "Scheduler", task: Task, run: Run, now_s: float
) -> None:
    """
    Forget a task's earlier crashes once a run has been reported for long enough.

    Guards against failing the job of a lasting task after weeks in which the task was
    occasionally lost with a worker.
    """
    if task.crashed_runs and now_s - run.reported_at_s > SURVIVAL_PROVEN_S:
        task.crashed_runs.clear()
        task.prompt_crashes.clear()
        cell.dirty.add(task.key.job_id)


def suspected(task: Task) -> bool:
    """Return whether a task must next be started in isolation."""
    return bool(task.prompt_crashes) or len(task.crashed_runs) > 1


def choose_isolated_worker(
    workers: Iterable[WorkerState], task: Task, now_s: float
) -> WorkerState | None:
    """
    Return the worker on which a suspected task's crash would do the least damage.

    ``workers`` have room for it. A worker that recently started another suspected task,
    or a task that was lost with one of the same workers, is skipped: if both tasks were
    lost together again, the crash could not be attributed to either of them. Workers
    with unreported runs are chosen last, and among equals the worker on which the task
    last ran. Returns None if every worker is skipped.
    """
    lost_worker_ids = task.crashed_runs.values()
    apart = (w for w in workers if not _has_recent_suspect(w, lost_worker_ids, now_s))
    return min(
        apart, key=lambda w: _isolation_cost(w, task.last_worker_id), default=None
    )


def _has_recent_suspect(
    worker: WorkerState, lost_worker_ids: Collection[WorkerId], now_s: float
) -> bool:
    """
    Return whether the worker has a recent run of a task that may crash it.

    Such a task is suspected itself or was lost with a worker in ``lost_worker_ids``.
    """
    return any(
        (run.suspected or not run.lost_worker_ids.isdisjoint(lost_worker_ids))
        and now_s - run.reported_at_s < SURVIVAL_PROVEN_S
        for run in worker.runs.values()
    )


def _isolation_cost(
    worker: WorkerState, avoid: WorkerId
) -> tuple[int, bool, int, WorkerId]:
    unreported = sum(not run.reported for run in worker.runs.values())
    name = worker.worker_id
    return unreported, name == avoid, len(worker.runs), name


def _crashes_promptly(task: Task) -> bool:
    return len(task.prompt_crashes) >= PROMPT_CRASHES_MAX


def _log_suspect(cell: "Scheduler", suspect: Suspect) -> None:
    run, task = suspect.run, suspect.task
    cell.dirty.add(run.key.job_id)
    detail: dict[str, object] = {
        "task": run.key,
        "run": run.number,
        "worker": run.worker_id,
        "crashes": len(task.crashed_runs),
        "prompt": len(task.prompt_crashes),
    }
    cell.log(LogEntry("crash_suspected", run.key.job_id, detail))
