"""Define what a job's state asks of the run times of its tasks."""

from typing import TYPE_CHECKING, NamedTuple, Protocol

from .jobs import Job, Queue, Step, StepKey

if TYPE_CHECKING:
    from .progress import StepState


class StepProspect(NamedTuple):
    """How long a step takes from its start, and from now, in seconds."""

    whole_s: float
    left_s: float


class TaskTimes(Protocol):
    """The expected run times of tasks alone at full speed."""

    def off(self, queue: Queue) -> bool:
        """Return whether the estimates of a queue were seen to be off."""

    def task_s(self, queue: Queue, step: Step) -> float:
        """Return the expected run time of a task of a step that has not begun."""

    def step_task_s(self, job: Job, key: StepKey) -> float:
        """Return the expected run time of a task, by its step's runs if known."""

    def prospect(self, job: Job, step: "StepState", now_s: float) -> StepProspect:
        """Return how long a step takes as a whole, and how long from now."""


class SubmittedEstimates:
    """The submitters' estimates, never called off."""

    def off(self, queue: Queue) -> bool:
        """Return False."""
        return False

    def task_s(self, queue: Queue, step: Step) -> float:
        """Return the submitter's estimate."""
        return step.estimate_s

    def step_task_s(self, job: Job, key: StepKey) -> float:
        """Return the submitter's estimate."""
        return job.steps[key.step].estimate_s

    def prospect(self, job: Job, step: "StepState", now_s: float) -> StepProspect:
        """Return the submitter's estimate, also of a step at work."""
        left_s = 0.0 if step.done else step.step.estimate_s
        return StepProspect(step.step.estimate_s, left_s)


ESTIMATES = SubmittedEstimates()
