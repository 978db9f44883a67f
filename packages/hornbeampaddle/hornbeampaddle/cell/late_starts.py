"""
Keep the ends of tasks unacknowledged while copies of their starts may arrive late.

An order without an answer may be carried out seconds later. The incarnation that it
was sent to refuses a copy of a run that it has started, but one that has started again
under its id knows nothing of before, and runs the task once more. Which tasks have such
copies is stored with their jobs' progress, before the start is sent again, for the next
holder.

Once an end is acknowledged, its task must never start again. So that end, and those
that the worker lists behind it, are learned, stored and shown at once, but acknowledged
only when no copy is left.
"""

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from .effects import LogEntry
from .jobs import TaskKey
from .progress import JobState, Run, StepState, Task
from .reports import EndedRow, EndKind
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# An order without an answer is carried out within this time, or never.
LATE_ORDER_MAX_S = 15.0

RunName = tuple[TaskKey, int]


class LateStarts:
    """The tasks of one cell of which a copy of a start may still be carried out."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start without any; ``cell`` is the scheduler of the tasks."""
        self.cell = cell
        # The tasks in the order in which their copies expire, each with that time.
        self._expiring: deque[tuple[float, Task]] = deque()
        # Runs of which a copy is open that no stored record tells of yet.
        self._unrecorded: set[RunName] = set()

    def note(self, run: Run, now_s: float) -> None:
        """
        Note a copy of a run's start that has no answer, and was sent before now.

        A worker that states no birth has another id when it starts again, and refuses
        orders to the earlier one.
        """
        task = self.cell.task(run.key)
        if task is None or not run.worker_id.birth_known:
            return
        task.late_start_until_s = now_s + LATE_ORDER_MAX_S
        self._expiring.append((task.late_start_until_s, task))
        self._unrecorded.add((run.key, run.number))
        self.cell.dirty.add(run.key.job_id)

    def inherit(self, state: JobState, now_s: float) -> None:
        """Count the copies in a job's record as if they were sent now."""
        for task in state.late_tasks:
            task.late_start_until_s = now_s + LATE_ORDER_MAX_S
            self._expiring.append((task.late_start_until_s, task))
        state.late_tasks.clear()

    def expire(self, now_s: float) -> None:
        """Forget the copies that can no longer be carried out."""
        while self._expiring and self._expiring[0][0] < now_s:
            _, task = self._expiring.popleft()
            if task.late_start_until_s < now_s:
                task.late_start_until_s = float("-inf")
                task.late_worker_name = ""

    def unrecorded_runs(self) -> frozenset[RunName]:
        """Return the runs whose open copies the records of this decision tell of."""
        return frozenset(self._unrecorded)

    def recorded(self, runs: Iterable[RunName]) -> None:
        """Note that a stored record tells of the open copies of these runs."""
        self._unrecorded.difference_update(runs)

    def may_resend(self, run: Run) -> bool:
        """Return whether the next holder would know of the copies sent so far."""
        return (run.key, run.number) not in self._unrecorded

    def hold_back(
        self, worker: WorkerState, row: EndedRow, state: JobState, task: Task
    ) -> None:
        """Keep an end unacknowledged while its task may start again by a late copy."""
        step = state.occurrences[task.key.occurrence][task.key.step]
        if not _is_final(row, state, step, task):
            return
        # The end of one member of a gang stands for all of them.
        tasks = tuple(step.tasks) if step.step.gang else (task,)
        until_s = max(task.late_start_until_s for task in tasks)
        if until_s == float("-inf"):
            return
        worker.held_ends[row.position] = tasks
        detail: dict[str, object] = {
            "task": row.key,
            "run": row.number,
            "worker": worker.worker_id,
            "position": row.position,
            "until_s": round(until_s, 3),
        }
        self.cell.log(LogEntry("end_held", row.key.job_id, detail))


def _is_final(row: EndedRow, state: JobState, step: StepState, task: Task) -> bool:
    """Return whether a task must not start again once this end is acknowledged."""
    if step.step.allows_copies or step.step.lasting:
        return False
    if row.how is EndKind.FAILED:
        return step.failures(task) >= state.job.queue.attempts_max
    return row.how is EndKind.DONE
