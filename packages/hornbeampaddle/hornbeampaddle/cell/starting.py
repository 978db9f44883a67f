"""Book an attempt of a task on a worker, independent of how it was chosen."""

from typing import TYPE_CHECKING

from .crashes import suspected
from .effects import Decision, LogEntry
from .incarnations import WorkerId
from .progress import JobState, Run, StepState, Task
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


def start_task(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    task: Task,
    worker: WorkerState,
    granted: dict[WorkerId, str],
    now_s: float,
) -> Run:
    """
    Book the next attempt of a task on a worker, and order its start.

    ``granted`` maps worker ids to the tickets that the advice service has issued.
    """
    task.last_run += 1
    if not task.late_start_open:
        task.late_worker_name = ""
    run = Run(task.key, task.last_run, worker.worker_id, step.step, step.step.charge)
    run.checkpoint = task.checkpoint
    run.resumed = bool(task.checkpoint)
    run.ticket = granted.get(worker.worker_id, "")
    run.placed_at_s = now_s
    task.run = run
    worker.add(run)
    run.lost_worker_ids = frozenset(task.crashed_runs.values())
    if suspected(task):
        run.suspected = True
        worker.isolated_run = run
    if step.step.tail_target_s:
        # Estimate the load of the job's users from its other tasks; otherwise no filler
        # would be placed on this worker until the first report.
        cell.pacer.update_baseline_slack(worker, now_s)
    cell.dirty.add(state.job.job_id)
    decision.starts.append(run)
    cell.orders.add_start(run)
    detail: dict[str, object] = {
        "task": task.key,
        "run": run.number,
        "worker": worker.worker_id,
        "waited_s": round(now_s - (step.ready_at_s or now_s), 3),
        "report_age_s": round(now_s - worker.last_report_at_s, 3),
        "free_cpu_millis": worker.free().cpu_millis,
    }
    cell.log(LogEntry("start", state.job.job_id, detail))
    return run
