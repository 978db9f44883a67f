"""
Track jobs and tasks, so that a task's attempts run one at a time.

All instances of a data centre read its home stream and know its jobs, but only a
job's owner starts attempts. The next attempt of a task starts once the previous one
is known to be over: the worker reported its end under a current epoch, or the owner
gave the attempt up and every lease that it could have has expired.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .configuration import resources_of
from .contracts import Ending, TaskOrder
from .identity import AttemptId
from .owners import Owners
from .records import (
    HomeRecord,
    JobAccepted,
    JobCancelled,
    JobSnapshot,
    JobSpec,
    Setbacks,
    Succession,
    TasksAdvanced,
    TasksEnded,
)
from .takeover import Takeover

FINISHED_JOBS_MAX = 50_000


class TaskState(Enum):
    """The state of a task, as known to its owner."""

    PENDING = "pending"
    PLACED = "placed"
    RUNNING = "running"
    DOUBT = "doubt"
    INHERITED = "inherited"
    ENDING = "ending"
    ENDED = "ended"


class TaskEnd(Enum):
    """The final result of a task."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Task:
    """
    One task of a job that this instance owns.

    ``gone_s`` is the local time since when the last attempt is known to have
    disappeared without a known end. In state DOUBT, ``over_by_s`` is the local time by
    which the last attempt is certainly over even if its worker and decider are
    unreachable. In state INHERITED, ``takeover`` determines when that is certain.
    """

    task_id: str
    state: TaskState = TaskState.PENDING
    term: int = 0
    number: int = 0
    worker_id: str = ""
    generation: int = 0
    # Failed attempts, and consecutive attempts that were lost with their workers, as
    # (term, number), so that an attempt that is reported again, to this owner or the
    # next, counts once.
    failed: list[tuple[int, int]] = field(default_factory=list)
    lost: list[tuple[int, int]] = field(default_factory=list)
    # Local time since when the last attempt is known to run.
    running_s: float | None = None
    failed_on: set[str] = field(default_factory=set)
    over_by_s: float = 0.0
    asked_s: float = 0.0
    end: TaskEnd | None = None
    not_before_s: float = 0.0
    # Id of the worker that is preempting other attempts for the next attempt.
    preempting_worker_id: str = ""
    takeover: Takeover | None = None
    # Local time at which the last attempt was found to be gone, its end unknown.
    gone_s: float | None = None

    def attempt(self) -> AttemptId:
        """Return the id of the last attempt."""
        return AttemptId(self.task_id, self.term, self.number)

    def setbacks(self) -> Setbacks:
        """Return the failures and losses that count against the task's limits."""
        return Setbacks(list(self.failed), list(self.lost))


@dataclass(slots=True)
class Job:
    """One accepted job. ``tasks`` is filled only at the owner."""

    spec: JobSpec
    owner: str
    term: int
    # Offset of the latest record that contains the job's full state.
    full_record_offset: int = -1
    ended: dict[str, TaskEnd] = field(default_factory=dict)
    advanced: dict[str, tuple[int, int]] = field(default_factory=dict)
    setbacks: dict[str, Setbacks] = field(default_factory=dict)
    cancelled: bool = False
    tasks: dict[str, Task] = field(default_factory=dict)

    def task_ids(self) -> Iterable[str]:
        """Return the ids of all tasks."""
        return (f"{self.spec.job_id}/{i}" for i in range(self.spec.tasks))

    @property
    def all_ended(self) -> bool:
        """Tell whether every task has its final result."""
        return len(self.ended) == self.spec.tasks


def job_id_of(task_id: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_id.rpartition("/")[0]


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """The summary that is kept of a job whose tasks have all ended."""

    spec: JobSpec
    owner: str
    ends: dict[str, int]


@dataclass(slots=True)
class JobTable:
    """
    All jobs of one data centre, built from its home stream.

    A finished job is reduced to a summary, which answers status requests and keeps
    its job id from being accepted twice. The oldest summaries are dropped.
    """

    owner: str
    owners: Owners
    jobs: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, FinishedJob] = field(default_factory=dict)
    offset: int = -1
    # Owners whose succession has been read from the stream; peers may know earlier.
    _succeeded: set[str] = field(default_factory=set)

    def apply(self, offset: int, record: HomeRecord) -> list[Job]:
        """Apply one record; return the jobs that this instance newly owns."""
        if offset <= self.offset:
            return []
        self.offset = offset
        match record:
            case JobAccepted():
                return self._accept(offset, record)
            case JobSnapshot():
                return self._restore(offset, record)
            case TasksEnded():
                self._end(record)
            case TasksAdvanced():
                self._advance(record)
            case JobCancelled():
                job = self.jobs.get(record.job_id)
                if job is not None:
                    job.cancelled = True
            case Succession():
                return self._succeed(offset, record)
        return []

    def _accept(self, offset: int, record: JobAccepted) -> list[Job]:
        # The first record of a job id wins: a second one is a repeated append, or
        # comes from another instance that was asked to accept the same job.
        if self.knows(record.spec.job_id):
            return []
        owner = self.owners.current(record.owner)
        job = Job(record.spec, owner, offset, offset)
        self.jobs[record.spec.job_id] = job
        return self._adopt(job, inherited=owner != record.owner)

    def _restore(self, offset: int, record: JobSnapshot) -> list[Job]:
        job_id = record.spec.job_id
        job = self.jobs.get(job_id)
        if job is None and self.knows(job_id):
            return []
        if job is None:
            job = Job(record.spec, record.owner, record.term)
            self.jobs[job_id] = job
        job.full_record_offset = offset
        # Guards against taking a former owner for the current one: the record of
        # its succession may have expired, but the greater term is still known.
        if record.term > job.term or job.owner == record.owner:
            job.owner, job.term = self.owners.current(record.owner), record.term
        job.cancelled = job.cancelled or record.cancelled
        for task_id, end in record.ended.items():
            job.ended.setdefault(task_id, TaskEnd(end))
        for task_id, advanced in record.advanced.items():
            job.advanced[task_id] = max(advanced, job.advanced.get(task_id, (0, 0)))
        for task_id, setbacks in record.setbacks.items():
            job.setbacks.setdefault(task_id, setbacks)
        return []

    def knows(self, job_id: str) -> bool:
        """Tell whether a job id has been accepted before."""
        return job_id in self.jobs or job_id in self.finished

    def is_finished(self, task_id: str) -> bool:
        """Tell whether a task belongs to a finished job."""
        return job_id_of(task_id) in self.finished

    def compact(self, job: Job) -> None:
        """Replace a finished job by its summary."""
        ends: dict[str, int] = {}
        for end in job.ended.values():
            ends[end.value] = ends.get(end.value, 0) + 1
        del self.jobs[job.spec.job_id]
        self.finished[job.spec.job_id] = FinishedJob(job.spec, job.owner, ends)
        if len(self.finished) > FINISHED_JOBS_MAX:
            self.finished.pop(next(iter(self.finished)))

    def due_for_snapshot(self, before: int) -> list[Job]:
        """Return the live jobs whose latest full record is before an offset."""
        return [job for job in self.jobs.values() if job.full_record_offset < before]

    def _adopt(self, job: Job, inherited: bool) -> list[Job]:
        if job.owner != self.owner:
            return []
        state = TaskState.INHERITED if inherited else TaskState.PENDING
        for task_id in job.task_ids():
            number, generation = job.advanced.get(task_id, (0, 0))
            task = Task(task_id, state, generation=generation)
            setbacks = job.setbacks.get(task_id)
            if setbacks is not None:
                task.failed, task.lost = list(setbacks.failed), list(setbacks.lost)
            if task_id in job.ended:
                task.state = TaskState.ENDED
                task.end = job.ended[task_id]
            job.tasks[task_id] = task
        return [job]

    def _succeed(self, offset: int, record: Succession) -> list[Job]:
        if record.dead_owner in self._succeeded:
            return []
        # Guards against two owners that succeed each other: one was partitioned
        # and its record was appended after it had been succeeded itself. An owner
        # that was succeeded can't take over anything, so there are no cycles.
        if record.successor in self._succeeded:
            return []
        self._succeeded.add(record.dead_owner)
        self.owners.succeed(record.dead_owner, record.successor)
        adopted: list[Job] = []
        for job in self.jobs.values():
            if job.owner != record.dead_owner:
                continue
            job.owner = self.owners.current(record.successor)
            job.term = offset
            job.tasks = {}
            adopted.extend(self._adopt(job, inherited=True))
        return adopted

    def _end(self, record: TasksEnded) -> None:
        for task_id, end in record.ended.items():
            job = self.jobs.get(job_id_of(task_id))
            if job is None:
                continue
            job.ended.setdefault(task_id, TaskEnd(end))
            task = job.tasks.get(task_id)
            if task is not None:
                task.state = TaskState.ENDED
                task.end = job.ended[task_id]
            if job.all_ended:
                self.compact(job)

    def _advance(self, record: TasksAdvanced) -> None:
        for task_id, (number, generation) in record.advanced.items():
            job = self.jobs.get(job_id_of(task_id))
            if job is not None:
                job.advanced[task_id] = (number, generation)
        for task_id, setbacks in record.setbacks.items():
            job = self.jobs.get(job_id_of(task_id))
            if job is not None:
                job.setbacks[task_id] = setbacks

    def owned(self) -> list[Job]:
        """Return the unfinished jobs that this instance owns."""
        return [
            job
            for job in self.jobs.values()
            if job.owner == self.owner and not job.all_ended
        ]

    def foreign_owners(self) -> set[str]:
        """Return the other owners of unfinished jobs."""
        owners = {job.owner for job in self.jobs.values() if not job.all_ended}
        owners.discard(self.owner)
        return owners

    def find(self, task_id: str) -> tuple[Job, Task] | None:
        """Return an owned task and its job."""
        job = self.jobs.get(job_id_of(task_id))
        if job is None or task_id not in job.tasks:
            return None
        return job, job.tasks[task_id]


def order_for(job: Job, task: Task, owner: str) -> TaskOrder:
    """Return the order that starts a task's current attempt."""
    spec = job.spec
    return TaskOrder(
        attempt=task.attempt(),
        owner=owner,
        team=spec.team,
        kind=spec.kind,
        needs=resources_of(spec.needs),
        run_s=spec.run_s,
        urgent=spec.urgent,
        costly_to_evict=spec.costly_to_evict,
        at_most_once=spec.at_most_once,
        generation=task.generation,
    )


def final_result(job: Job, task: Task, ending: Ending) -> TaskEnd | None:
    """Return the final result that an attempt's end implies, or None to retry."""
    match ending:
        case Ending.DONE:
            return TaskEnd.DONE
        case Ending.CANCELLED:
            return TaskEnd.CANCELLED
        case Ending.LAPSED if job.spec.at_most_once:
            return TaskEnd.UNKNOWN
        case Ending.FAILED if job.spec.at_most_once:
            return TaskEnd.FAILED
        case _ if job.cancelled:
            return TaskEnd.CANCELLED
        case _:
            return None
