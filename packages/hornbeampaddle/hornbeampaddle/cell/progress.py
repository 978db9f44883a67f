"""
Track the progress of each job.

``JobState`` is the state on which the holder schedules. The part of it that must
outlive the holder is stored as one record per job whenever it changes, and a new
holder rebuilds the state from the newest records.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ..decoding import decode
from ..resources import Resources
from .incarnations import NO_WORKER, UNKNOWN_BIRTH_MS, WorkerId
from .jobs import Job, Step, StepKey, TaskKey
from .task_times import ESTIMATES, TaskTimes


class JobStatus(IntEnum):
    """The status of a job as callers see it; the numbers are stored."""

    QUEUED = 0
    ACTIVE = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether the job has ended."""
        return self >= JobStatus.COMPLETED


class RunPhase(IntEnum):
    """
    The phase of an attempt to run a task.

    RECORDING: its record is being stored, the start is not yet sent. SENDING: the start
    is sent, its answer is pending or was lost. INHERITED: restored from a record of an
    earlier holder. RUNNING: the worker has confirmed it. STOPPING: its stop is ordered.
    """

    RECORDING = 0
    SENDING = 1
    INHERITED = 2
    RUNNING = 3
    STOPPING = 4


@dataclass(slots=True)
class Run:
    """One attempt to run a task on one worker; it occupies room until it ends."""

    key: TaskKey
    number: int
    worker_id: WorkerId
    step: Step
    charge: Resources
    phase: RunPhase = RunPhase.RECORDING
    checkpoint: str = ""
    ticket: str = ""
    # How often its start was sent, and how often that got no answer.
    copies_sent: int = 0
    unanswered: int = 0
    placed_at_s: float = 0.0
    confirmed_at_s: float = float("inf")
    # When its start was first sent: inf if not yet, -inf if an earlier holder sent it.
    sent_at_s: float = float("inf")
    # When a report first listed it as running; inf if none has.
    reported_at_s: float = float("inf")
    # Whether a report has shown that it no longer runs, but none how it ended.
    end_unlisted: bool = False
    stop_sent_at_s: float = float("-inf")
    # When its stop was first sent; inf if not yet.
    stop_first_sent_at_s: float = float("inf")
    stop_reason: str = ""
    progress_percent: float = 0.0
    progressed_at_s: float = 0.0
    slow_since_s: float | None = None
    tail_s: float = 0.0
    used_cpu_millis: int = -1
    pace_percent: int = 100
    # The pace to order as soon as the worker has confirmed the start.
    first_pace_percent: int = 100
    # Whether earlier attempts of its task are suspected of crashing their workers.
    suspected: bool = False
    # Workers that were lost while running earlier attempts of the task.
    lost_worker_ids: frozenset[WorkerId] = frozenset()
    # Whether it was placed on a worker whose CPU is fully used by other runs, which a
    # higher pace would slow down.
    shares_processors: bool = False
    # Whether it began from a checkpoint.
    resumed: bool = False

    @property
    def reported(self) -> bool:
        """Return whether a report has listed it as running."""
        return self.reported_at_s != float("inf")

    @property
    def may_arrive(self) -> bool:
        """Return whether its start was sent, and nothing shows that it has arrived."""
        return self.sent_at_s != float("inf") and self.confirmed_at_s == float("inf")


@dataclass(slots=True)
class Task:
    """
    One task: its attempts and its current run.

    ``failed_runs`` holds the numbers of the failed attempts instead of their count, so
    that an end that is listed again, to this holder or the next, counts once.
    ``crashed_runs`` maps the numbers of attempts during which the worker was lost to
    that worker; ``prompt_crashes`` holds those of them whose worker was lost
    within ``crashes.PROMPT_CRASH_S`` of the start.
    """

    key: TaskKey
    done: bool = False
    last_run: int = 0
    failed_runs: list[int] = field(default_factory=list)
    crashed_runs: dict[int, WorkerId] = field(default_factory=dict)
    prompt_crashes: list[int] = field(default_factory=list)
    checkpoint: str = ""
    run: Run | None = None
    last_worker_id: WorkerId = NO_WORKER
    # When its last run ended; a task without one has waited since its step was ready.
    ended_at_s: float = float("-inf")
    # Until when a copy of one of its starts may be carried out late; -inf if there is
    # none, inf if a record tells of one and not when it was sent.
    late_start_until_s: float = float("-inf")
    # The worker that may carry out, or has carried out, a copy of a released run.
    late_worker_name: str = ""

    @property
    def waiting(self) -> bool:
        """Return whether the task needs a worker."""
        return not self.done and self.run is None

    @property
    def late_start_open(self) -> bool:
        """Return whether a copy of one of its starts may be carried out late."""
        return self.late_start_until_s != float("-inf")


@dataclass(slots=True)
class StepState:
    """The tasks of one step of one occurrence."""

    key: StepKey
    step: Step
    tasks: list[Task]
    ready_at_s: float | None = None
    # The factor on the time for which its runs may show no progress.
    patience_ratio: float = 1.0

    @property
    def done(self) -> bool:
        """Return whether every task has succeeded."""
        return all(task.done for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that need a worker."""
        return [task for task in self.tasks if task.waiting]

    def tasks_by_worker(self) -> dict[WorkerId, int]:
        """Return the number of the step's tasks with a run, by worker id."""
        tasks_by_worker: dict[WorkerId, int] = {}
        for task in self.tasks:
            if task.run is not None:
                tasks_by_worker[task.run.worker_id] = (
                    tasks_by_worker.get(task.run.worker_id, 0) + 1
                )
        return tasks_by_worker

    def interrupted_s(self, now_s: float) -> float:
        """Return the longest time for which a task that has run waits to run again."""
        ready_at_s = now_s if self.ready_at_s is None else self.ready_at_s
        ended_s = [
            max(ready_at_s, task.ended_at_s) for task in self.waiting() if task.last_run
        ]
        return now_s - min(ended_s, default=now_s)

    def failures(self, task: Task) -> int:
        """Return the number of failed attempts that count against a task's limit."""
        if not self.step.gang:
            return len(task.failed_runs)
        return len({number for member in self.tasks for number in member.failed_runs})


@dataclass(slots=True)
class JobState:
    """A job, its tasks and its status."""

    job: Job
    status: JobStatus = JobStatus.QUEUED
    cancelled: bool = False
    occurrences: dict[int, list[StepState]] = field(default_factory=dict)
    finished_at_s: float | None = None
    accepted_at_s: float = 0.0
    # How long its steps have waited under this holder, by reason, in seconds.
    waited_s: dict[str, float] = field(default_factory=dict)
    # What is known of its tasks' run times.
    times: TaskTimes = ESTIMATES
    # The tasks of which its record says that a copy of a start may arrive late.
    late_tasks: list[Task] = field(default_factory=list)

    def open_occurrence(self, number: int) -> list[StepState]:
        """Return the steps of one occurrence, creating them if necessary."""
        if number not in self.occurrences:
            self.occurrences[number] = self.new_occurrence(number)
        return self.occurrences[number]

    def new_occurrence(self, number: int) -> list[StepState]:
        """Return the steps of an occurrence of which nothing has begun."""
        job_id = self.job.job_id
        return [
            _new_step(StepKey(job_id, number, position), step)
            for position, step in enumerate(self.job.steps)
        ]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if the job has no such task."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or key.step >= len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.position] if key.position < len(tasks) else None

    def tasks(self) -> Iterator[Task]:
        """Return every task of the occurrences opened so far."""
        for steps in self.occurrences.values():
            for state in steps:
                yield from state.tasks

    def runs(self) -> list[Run]:
        """Return every attempt that has not ended."""
        return [task.run for task in self.tasks() if task.run is not None]

    def all_done(self) -> bool:
        """Return whether every occurrence has succeeded."""
        if len(self.occurrences) < self.job.occurrences:
            return False
        return all(s.done for steps in self.occurrences.values() for s in steps)


def _new_step(key: StepKey, step: Step) -> StepState:
    tasks = [Task(TaskKey(*key, index)) for index in range(step.count)]
    return StepState(key, step, tasks)


PackedTask = int | tuple[int, list[int], str, str]


class ProgressRecord(msgspec.Struct, array_like=True, frozen=True):
    """
    The stored progress of one job, written under a holder's epoch.

    Each row of ``occurrences`` is an occurrence's number and its tasks in the order of
    the steps. A task is 1 if done, 0 if it never ran, otherwise the number of its last
    run, the numbers of its failed runs, the worker of the attempt that may be running
    (or empty) and the newest checkpoint.

    Each row of ``crashes`` is an occurrence's number, the index of a task in that
    order, a map from the runs during which a worker was lost to that worker, and those
    of these runs whose worker was lost promptly after the start.

    Each row of ``crash_births`` is an occurrence's number, the index of a task, the
    number of a run in ``crashes`` and the birth of the worker that was lost, if known.
    The births of the workers of attempts that may be running are stored apart, see
    ``Incarnations``: every instance reads each record, so these are kept small.

    Each row of ``late_starts`` is an occurrence's number, the index of a task of which
    a copy of a start may be carried out late, and the worker that may do so if the run
    was released, or empty.
    """

    status: int
    occurrences: list[tuple[int, list[PackedTask]]]
    crashes: list[tuple[int, int, dict[int, str], list[int]]] = []
    crash_births: list[tuple[int, int, int, int]] = []
    late_starts: list[tuple[int, int, str]] = []


_decoder = msgspec.msgpack.Decoder(ProgressRecord)
_encoder = msgspec.msgpack.Encoder()


def encode(state: JobState) -> bytes:
    """Return the encoded record of a job's progress."""
    rows = []
    crashes = []
    crash_births = []
    late_starts = []
    for number, steps in state.occurrences.items():
        tasks = [task for step in steps for task in step.tasks]
        rows.append((number, [_pack(task) for task in tasks]))
        for task_index, task in enumerate(tasks):
            if task.late_start_open:
                late_starts.append((number, task_index, task.late_worker_name))
            if task.done or not task.crashed_runs:
                continue
            names = {run: worker.name for run, worker in task.crashed_runs.items()}
            crashes.append((number, task_index, names, task.prompt_crashes))
            crash_births += [
                (number, task_index, run, worker.born_ms)
                for run, worker in task.crashed_runs.items()
                if worker.birth_known
            ]
    status = int(state.status)
    record = ProgressRecord(status, rows, crashes, crash_births, late_starts)
    values = msgspec.structs.astuple(record)
    return _encoder.encode(values if late_starts else values[:-1])


def decode_status(value: bytes) -> JobStatus:
    """Return the job status from an encoded record; raises ``ValueError``."""
    return JobStatus(decode(_decoder, value).status)


def _pack(task: Task) -> PackedTask:
    if task.done:
        return 1
    if not task.last_run:
        return 0
    worker_name = task.run.worker_id.name if task.run is not None else ""
    return (task.last_run, task.failed_runs, worker_name, task.checkpoint)


class UnusableProgressError(Exception):
    """The stored progress is of no state that the job can have."""


def restore(
    job: Job,
    value: bytes | None,
    accepted_at_s: float,
    births_ms: Mapping[str, int] | None = None,
) -> JobState:
    """
    Rebuild a job's state from its stored progress.

    ``births_ms`` are the stored births of workers by name, unknown if missing.
    Attempts that may still be running are restored in phase INHERITED until their
    workers report. Raises ``UnusableProgressError``.
    """
    state = JobState(job, accepted_at_s=accepted_at_s)
    if value is None:
        return state
    try:
        _restore(state, decode(_decoder, value), births_ms or {})
    except (ValueError, LookupError) as error:
        raise UnusableProgressError(str(error)) from error
    return state


def _restore(
    state: JobState, record: ProgressRecord, births_ms: Mapping[str, int]
) -> None:
    state.status = JobStatus(record.status)
    state.cancelled = state.status is JobStatus.CANCELLED
    for number, packed in record.occurrences:
        steps = state.open_occurrence(number)
        tasks = [(step.step, task) for step in steps for task in step.tasks]
        for (step, task), cell in zip(tasks, packed, strict=True):
            _unpack(task, step, cell, births_ms)
    crash_births = {
        (number, task_index, run): born_ms
        for number, task_index, run, born_ms in record.crash_births
    }
    for number, task_index, worker_name in record.late_starts:
        task = _task_at(state, number, task_index)
        task.late_start_until_s = float("inf")
        task.late_worker_name = worker_name
        state.late_tasks.append(task)
    for number, task_index, crashed, prompt in record.crashes:
        task = _task_at(state, number, task_index)
        task.prompt_crashes = prompt
        task.crashed_runs = {
            run: WorkerId(
                name, crash_births.get((number, task_index, run), UNKNOWN_BIRTH_MS)
            )
            for run, name in crashed.items()
        }


def _task_at(state: JobState, occurrence: int, task_index: int) -> Task:
    """Return a task by its index in the order of the steps."""
    tasks = [t for step in state.open_occurrence(occurrence) for t in step.tasks]
    return tasks[task_index]


def _unpack(
    task: Task, step: Step, cell: PackedTask, births_ms: Mapping[str, int]
) -> None:
    if isinstance(cell, int):
        task.done = cell == 1
        return
    task.last_run, task.failed_runs, worker_name, task.checkpoint = cell
    if worker_name:
        task.run = Run(
            task.key,
            task.last_run,
            WorkerId(worker_name, births_ms.get(worker_name, UNKNOWN_BIRTH_MS)),
            step,
            step.charge,
            RunPhase.INHERITED,
            task.checkpoint,
            sent_at_s=float("-inf"),
        )
