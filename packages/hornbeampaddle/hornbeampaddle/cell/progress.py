"""
Follow how far each job is.

``JobState`` is what the holder decides on. The part of it that must outlive
the holder is written as one record a job whenever it changes, and a new holder
rebuilds the state from the newest records.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ..resources import Resources
from .jobs import Job, Step, StepKey, TaskKey


class JobStatus(IntEnum):
    """What a caller is told of a job; the numbers are stored."""

    QUEUED = 0
    ACTIVE = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self >= JobStatus.COMPLETED


class RunPhase(IntEnum):
    """
    How far an attempt to run a task is.

    RECORDING: to be stored, not yet sent. SENDING: sent, its answer is open or
    was lost. INHERITED: found in a record of an earlier holder. RUNNING: the
    worker has confirmed it. STOPPING: the worker was told to end it.
    """

    RECORDING = 0
    SENDING = 1
    INHERITED = 2
    RUNNING = 3
    STOPPING = 4


@dataclass(slots=True)
class Run:
    """One attempt to run a task on one worker; it takes room until it ends."""

    key: TaskKey
    number: int
    worker_id: str
    step: Step
    charge: Resources
    phase: RunPhase = RunPhase.RECORDING
    checkpoint: str = ""
    ticket: str = ""
    unanswered: int = 0
    placed_at_s: float = 0.0
    confirmed_at_s: float = float("inf")
    # When its start was first sent: not yet, or long ago if another holder has sent it.
    sent_at_s: float = float("inf")
    # When a report first listed it as running.
    reported_at_s: float = float("inf")
    stop_sent_at_s: float = float("-inf")
    stop_reason: str = ""
    progress_percent: float = 0.0
    progressed_at_s: float = 0.0
    slow_since_s: float | None = None
    tail_s: float = 0.0
    used_cpu_millis: int = -1
    pace_percent: int = 100
    # The pace that is ordered as soon as the worker has confirmed the start.
    first_pace_percent: int = 100
    # Its task may have crashed workers before.
    suspected: bool = False
    # Workers that were lost while running earlier attempts of the task.
    lost_worker_ids: frozenset[str] = frozenset()
    # It was placed where others use all processors: more speed would slow them.
    shares_processors: bool = False

    @property
    def reported(self) -> bool:
        """Tell whether a report has listed it as running."""
        return self.reported_at_s != float("inf")


@dataclass(slots=True)
class Task:
    """
    One task: its attempts and what runs now.

    ``failed_runs`` holds the numbers of the attempts that failed, not only how
    many: an end that is listed again, to this holder or the next, counts once.
    ``crashed_runs`` holds those under which a worker was lost, with the worker,
    ``prompt_crashes`` those of them where that was within a moment of the start.
    """

    key: TaskKey
    done: bool = False
    last_run: int = 0
    failed_runs: list[int] = field(default_factory=list)
    crashed_runs: dict[int, str] = field(default_factory=dict)
    prompt_crashes: list[int] = field(default_factory=list)
    checkpoint: str = ""
    run: Run | None = None
    last_worker_id: str = ""
    # When its last run ended; without one it waits since its step's turn has come.
    ended_at_s: float = float("-inf")

    @property
    def waiting(self) -> bool:
        """Tell whether the task needs a worker."""
        return not self.done and self.run is None


@dataclass(slots=True)
class StepState:
    """The tasks of one step of one occurrence."""

    key: StepKey
    step: Step
    tasks: list[Task]
    ready_at_s: float | None = None

    @property
    def done(self) -> bool:
        """Tell whether every task has ended well."""
        return all(task.done for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that need a worker."""
        return [task for task in self.tasks if task.waiting]

    def used(self) -> dict[str, int]:
        """Count the tasks of the step that have a run, by worker."""
        used: dict[str, int] = {}
        for task in self.tasks:
            if task.run is not None:
                used[task.run.worker_id] = used.get(task.run.worker_id, 0) + 1
        return used

    def away_s(self, now_s: float) -> float:
        """Return how long ago the last run ended of a task that ran and waits again."""
        ready_at_s = now_s if self.ready_at_s is None else self.ready_at_s
        ended_s = [
            max(ready_at_s, task.ended_at_s) for task in self.waiting() if task.last_run
        ]
        return now_s - min(ended_s, default=now_s)

    def failures(self, task: Task) -> int:
        """Count the failed attempts that a task's limit is held against."""
        if not self.step.gang:
            return len(task.failed_runs)
        return len({number for member in self.tasks for number in member.failed_runs})


@dataclass(slots=True)
class JobState:
    """A job, its tasks and its status."""

    job: Job
    status: JobStatus = JobStatus.QUEUED
    cancelled: bool = False
    started: bool = False
    occurrences: dict[int, list[StepState]] = field(default_factory=dict)
    finished_at_s: float | None = None
    accepted_at_s: float = 0.0
    # How long a step of it has waited for each reason, under this holder.
    waited_s: dict[str, float] = field(default_factory=dict)

    def open_occurrence(self, number: int) -> list[StepState]:
        """Create the tasks of one occurrence, unless they are there."""
        if number not in self.occurrences:
            job_id = self.job.job_id
            self.occurrences[number] = [
                _new_step(StepKey(job_id, number, position), step)
                for position, step in enumerate(self.job.steps)
            ]
        return self.occurrences[number]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or nothing if the job has no such task."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or key.step >= len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.position] if key.position < len(tasks) else None

    def tasks(self) -> Iterator[Task]:
        """Return every task of the occurrences that are open."""
        for steps in self.occurrences.values():
            for state in steps:
                yield from state.tasks

    def runs(self) -> list[Run]:
        """Return every attempt that has not ended."""
        return [task.run for task in self.tasks() if task.run is not None]

    def all_done(self) -> bool:
        """Tell whether every occurrence has ended well."""
        if len(self.occurrences) < self.job.occurrences:
            return False
        return all(s.done for steps in self.occurrences.values() for s in steps)


def _new_step(key: StepKey, step: Step) -> StepState:
    tasks = [Task(TaskKey(*key, index)) for index in range(step.count)]
    return StepState(key, step, tasks)


TaskCell = int | tuple[int, list[int], str, str]


class ProgressRecord(msgspec.Struct, array_like=True, frozen=True):
    """
    The stored progress of one job, under an epoch of a holder.

    Each row of ``occurrences`` is an occurrence's number and, task by task in
    the order of the steps: 1 for done, 0 for untouched, otherwise the last run,
    the numbers of the failed runs, the worker of the attempt that may be running
    (or empty) and the newest checkpoint.

    Each row of ``crashes`` is an occurrence's number, the place of a task in that
    order, the runs under which a worker was lost with the worker, and those of them
    where that was prompt.
    """

    status: int
    occurrences: list[tuple[int, list[TaskCell]]]
    crashes: list[tuple[int, int, dict[int, str], list[int]]] = []


_decoder = msgspec.msgpack.Decoder(ProgressRecord)
_encoder = msgspec.msgpack.Encoder()


def encode(state: JobState) -> bytes:
    """Return the record of a job's progress."""
    rows = []
    crashes = []
    for number, steps in state.occurrences.items():
        tasks = [task for step in steps for task in step.tasks]
        rows.append((number, [_packed(task) for task in tasks]))
        for place, task in enumerate(tasks):
            if task.crashed_runs and not task.done:
                row = (number, place, task.crashed_runs, task.prompt_crashes)
                crashes.append(row)
    return _encoder.encode(ProgressRecord(int(state.status), rows, crashes))


def decode_status(value: bytes) -> JobStatus:
    """Return only the status of a stored record."""
    return JobStatus(_decoder.decode(value).status)


def _packed(task: Task) -> TaskCell:
    if task.done:
        return 1
    if not task.last_run:
        return 0
    worker_id = task.run.worker_id if task.run is not None else ""
    return (task.last_run, task.failed_runs, worker_id, task.checkpoint)


def restore(job: Job, value: bytes | None, accepted_at_s: float) -> JobState:
    """
    Rebuild a job's state from its stored progress.

    Attempts that may still run come back in the phase INHERITED: their workers
    know better.
    """
    state = JobState(job, accepted_at_s=accepted_at_s)
    if value is None:
        return state
    record = _decoder.decode(value)
    state.status = JobStatus(record.status)
    state.cancelled = state.status is JobStatus.CANCELLED
    state.started = state.status is not JobStatus.QUEUED
    for number, packed in record.occurrences:
        steps = state.open_occurrence(number)
        tasks = [(step.step, task) for step in steps for task in step.tasks]
        for (step, task), cell in zip(tasks, packed, strict=True):
            _unpack(task, step, cell)
    for number, place, crashed, prompt in record.crashes:
        task = [t for step in state.open_occurrence(number) for t in step.tasks][place]
        task.crashed_runs, task.prompt_crashes = crashed, prompt
    return state


def _unpack(task: Task, step: Step, cell: TaskCell) -> None:
    if isinstance(cell, int):
        task.done = cell == 1
        return
    task.last_run, task.failed_runs, worker_id, task.checkpoint = cell
    if worker_id:
        task.run = Run(
            task.key,
            task.last_run,
            worker_id,
            step,
            step.charge,
            RunPhase.INHERITED,
            task.checkpoint,
            sent_at_s=float("-inf"),
        )
