"""Context of the placement of one step within a scheduling decision."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .candidates import Candidates
from .effects import Decision
from .incarnations import WorkerId
from .placing import Ranking
from .progress import JobState, Run, StepState, Task
from .starting import start_task
from .unplaceable import UnplaceableSteps
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


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
