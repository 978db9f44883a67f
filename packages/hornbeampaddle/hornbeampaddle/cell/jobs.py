"""
Define jobs, their steps and the keys of their tasks.

A job is a chain of steps, a step is a number of identical tasks. These types are
stored as they are, so a field that is added later needs a default.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ..resources import Resources

# Lower bound on a task's estimated duration, also used if it has no estimate: about the
# time that a start takes.
ESTIMATE_MIN_S = 0.1


class TaskKey(NamedTuple):
    """Key of one task; ``occurrence`` numbers the job's repetitions from 0."""

    job_id: str
    occurrence: int
    step: int
    position: int


class StepKey(NamedTuple):
    """Key of one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class Step:
    """
    A number of identical tasks and their placement constraints.

    ``estimate_s`` is the submitter's estimate, which is often far off. Zero, false and
    empty mean "not requested".
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
        Return the resources that one task occupies on a worker.

        A filler runs on the CPU time that other tasks leave unused, so only its memory
        and accelerators are charged.
        """
        if not self.filler:
            return self.need
        return Resources(0, self.need.memory_bytes, self.need.accelerators)

    @property
    def task_millis_s(self) -> float:
        """Return the estimated work of one task, in thousandths of a core-second."""
        return self.need.cpu_millis * max(ESTIMATE_MIN_S, self.estimate_s)


@dataclass(frozen=True, slots=True)
class Advice:
    """Time limits of the advice service, which decides where a step may run."""

    decision_s: float
    per_worker_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """The operator's configuration of a queue of jobs."""

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

    ``queue`` is the queue's configuration at that time: it still applies when a later
    configuration has removed the queue. ``accepted_at_s`` and ``first_due_s`` are Unix
    times.
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
        """Return the number of times that the steps run."""
        return max(1, self.repeat_count)

    @property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_at_s(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may start, 0 if at once."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s

    def work_millis_s(self) -> float:
        """
        Return the estimated work of all tasks of one occurrence.

        It is in thousandths of a core-second.
        """
        return sum(step.count * step.task_millis_s for step in self.steps)

    def chain_s(self) -> float:
        """Return the estimated duration of the longest chain of steps, in seconds."""
        ends: list[float] = []
        for step in self.steps:
            begin_s = max((ends[n] for n in step.after), default=0.0)
            ends.append(begin_s + step.estimate_s)
        return max(ends, default=0.0)

    def objective_s(self, chain_s: float | None = None) -> float:
        """
        Return the time after acceptance by which the job should be done.

        ``chain_s`` is the duration of its longest chain, as estimated if None.
        """
        if chain_s is None:
            chain_s = self.chain_s()
        return self.queue.stretch_ratio * chain_s + self.queue.latency_target_s
