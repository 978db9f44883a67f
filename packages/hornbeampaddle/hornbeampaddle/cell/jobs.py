"""
Describe what a job asks for.

A job is a chain of steps, a step is a number of equal tasks. These types are
stored as they are, so a field that is added later needs a default.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ..resources import Resources

# A task without an estimate, or with a tiny one, counts as so long: about a start.
ESTIMATE_MIN_S = 0.1


class TaskKey(NamedTuple):
    """Name one task; ``occurrence`` counts the times a job is due, from 0."""

    job_id: str
    occurrence: int
    step: int
    position: int


class StepKey(NamedTuple):
    """Name one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class Step:
    """
    Equal tasks and where they may run.

    ``estimate_s`` is the submitter's guess and often far off. Zero, false and
    empty stand for "not asked for".
    """

    count: int
    need: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    worker_label: str = ""
    data_rack: str = ""
    per_worker_max: int = 0
    allows_copies: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_s: float = 0.0
    filler: bool = False
    unavailable_max: int = 0

    @property
    def charge(self) -> Resources:
        """
        Return what one task takes from a worker's room.

        A filler runs on the processor time that the others leave, so only its
        memory and accelerators are taken.
        """
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_bytes, self.need.accelerators)

    @property
    def task_millis_s(self) -> float:
        """Return the estimated work of one task, in thousandths of a core x s."""
        return self.need.cpu_millis * max(ESTIMATE_MIN_S, self.estimate_s)


@dataclass(frozen=True, slots=True)
class Advice:
    """Bounds of the service that says which workers may run a step."""

    decision_s: float
    per_worker_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """What the operator's configuration says of a queue of jobs."""

    name: str
    service: str
    priority: int = 0
    attempts_max: int = 1
    stretch_ratio: float = 1.0
    latency_target_s: float = 0.0
    advice: Advice | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """
    A job as it was accepted.

    ``queue`` is the queue's state at that time: it still counts when a later
    configuration has dropped the queue. ``accepted_at_s`` and ``first_due_s``
    are Unix times.
    """

    job_id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    accepted_at_s: float
    repeat_count: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    @property
    def lasting(self) -> bool:
        """Tell whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_at_s(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may start."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s

    def work_millis_s(self) -> float:
        """Return the estimated work of all tasks of one occurrence."""
        return sum(step.count * step.task_millis_s for step in self.steps)

    def chain_s(self) -> float:
        """Return the estimated length of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            begin_s = max((ends[n] for n in step.after), default=0.0)
            ends.append(begin_s + step.estimate_s)
        return max(ends, default=0.0)

    def objective_s(self) -> float:
        """Return the time after acceptance in which the job should be done."""
        stretched_s = self.queue.stretch_ratio * self.chain_s()
        return stretched_s + self.queue.latency_target_s
