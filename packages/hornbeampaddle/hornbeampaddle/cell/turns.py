"""Context of the placement of one step within a scheduling decision."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .candidates import Candidates
from .effects import Decision
from .incarnations import WorkerId
from .placing import Ranking, can_place
from .progress import JobState, Run, StepState, Task
from .starting import start_task
from .unplaceable import UnplaceableSteps
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


# How long a task waits for the first report of a worker, and for its entry.
FIRST_REPORT_MAX_S = 2.0


@dataclass(slots=True)
class Turn:
    """
    A step to place and the decision that it is part of.

    ``workers`` are the workers that could run the step, ``granted`` their tickets by
    worker id if the job's queue requires advice.
    """

    cell: "Scheduler"
    decision: Decision
    candidates: Candidates
    unplaceable: UnplaceableSteps
    state: JobState
    step: StepState
    workers: list[WorkerState]
    now_s: float
    granted: dict[WorkerId, str] = field(default_factory=dict)

    @property
    def service(self) -> str:
        """Return the service whose workers run the job."""
        return self.cell.service_of(self.state.job)

    @property
    def advised(self) -> bool:
        """Return whether the job's queue requires advice on workers."""
        return self.cell.advised(self.state.job)

    def ranking(self) -> Ranking:
        """Return a ranking for the step, with no workers added yet."""
        return Ranking(
            self.step.key.job_id,
            self.step.step,
            self.cell.model,
            self.step.tasks_by_worker(),
            outlook=self.cell.outlook(self.now_s),
        )

    def late_worker(self, task: Task, ranking: Ranking) -> WorkerState | None:
        """
        Return the worker that may carry out a late copy of a task's start, if it fits.

        Guards against a task that runs twice: a worker that starts again loses the new
        attempt before it carries out the copy, and until then it refuses the copy.
        """
        worker = self._worker_of_late_start(task)
        if worker is None or not any(other is worker for other in self.workers):
            return None
        fits = can_place(self.step.step, worker, task.key, ranking.used)
        return worker if fits else None

    def awaits_late_worker(self, task: Task) -> bool:
        """
        Return whether that worker runs the copy, or is about to report whether it does.

        It has started again, or this holder has just begun.
        """
        worker = self._worker_of_late_start(task)
        if worker is None or worker.silent:
            return False
        if task.key in worker.runs:
            return True
        new = self.now_s - worker.listed_at_s < FIRST_REPORT_MAX_S
        return new and not (worker.reported and worker.listed)

    def _worker_of_late_start(self, task: Task) -> WorkerState | None:
        if not task.late_worker_name or self.step.step.filler:
            return None
        worker_id = self.cell.incarnations.current(task.late_worker_name)
        return self.cell.workers.get(worker_id) if worker_id is not None else None

    def start(self, task: Task, worker: WorkerState) -> Run:
        """Assign the next attempt of a task to a worker and order its start."""
        return start_task(
            self.cell,
            self.decision,
            self.state,
            self.step,
            task,
            worker,
            self.granted,
            self.now_s,
        )
