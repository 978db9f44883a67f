"""
Predict how long tasks run, from what submitters estimate and from what was seen.

All times are those of a task alone at full speed on a sound worker, in seconds.
"""

from dataclasses import dataclass

from .jobs import ESTIMATE_MIN_S, Job, Queue, Step, StepKey
from .progress import Run
from .settings import CellSettings

# Progress of a run, in percent, from which its rate predicts the time that it has left:
# below, one step of a whole percent is too large a part of it.
OBSERVED_FROM_PERCENT = 10.0


@dataclass(frozen=True, slots=True)
class Remaining:
    """
    The time that a run has left at its present speed, in seconds.

    ``longest_s`` is not exceeded by nine runs in ten. ``observed`` tells that the run's
    own progress supports both; otherwise they are what is known of its step and queue.
    """

    expected_s: float
    longest_s: float
    observed: bool


class RunTimes:
    """What is known of the run times of each queue and of the steps at work."""

    def __init__(self, settings: CellSettings) -> None:
        """Start with the submitters' estimates only."""
        self.settings = settings

    def observe_progress(self, job: Job, run: Run, now_s: float) -> None:
        """Learn from a report that lists a run as running, already applied to it."""

    def observe_done(self, job: Job, run: Run, now_s: float) -> None:
        """Learn from the end of a run that succeeded, before its room is released."""

    def forget_job(self, job: Job) -> None:
        """Drop what was kept of the steps of a job that has ended."""

    def task_s(self, queue: Queue, step: Step) -> float:
        """Return the expected run time of a task of a step that has not begun."""
        return step.estimate_s

    def step_task_s(self, job: Job, key: StepKey) -> float:
        """Return the expected run time of a task, by its step's runs if known."""
        return self.task_s(job.queue, job.steps[key.step])

    def remaining(self, job: Job, run: Run, now_s: float) -> Remaining:
        """Return the time that a run in progress has left."""
        total_s = max(ESTIMATE_MIN_S, self.step_task_s(job, StepKey(*run.key[:3])))
        done = run.progress_percent / 100
        if run.progress_percent < OBSERVED_FROM_PERCENT:
            return Remaining(total_s * (1 - done), 2 * total_s, observed=False)
        left_s = total_s * (1 - done)
        return Remaining(left_s, left_s, observed=False)

    def encode(self) -> bytes | None:
        """Return the record for the next holder, or None if nothing is known."""
        return None

    def inherit(self, value: bytes) -> None:
        """Go on from a record of an earlier holder."""
