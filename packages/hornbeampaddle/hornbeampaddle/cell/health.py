"""
Judge by the ends of runs which workers fail what they are given, and set those aside.

A run fails by the fault of its worker or of its task, and one failure does not tell
which. It is held against the worker at once, so that a sick one is avoided as early as
possible, and taken back when it turns out to be the task's: the task has failed on
several workers, or all that was started of its step has. If a task of that step
succeeds after all, it is held against the worker again.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING

from .effects import LogEntry
from .incarnations import WorkerId
from .jobs import StepKey, TaskKey
from .progress import JobStatus, Run

if TYPE_CHECKING:
    from .scheduler import Scheduler
    from .workers import WorkerState

# Number of recent ends kept per worker to judge its health.
RECENT_ENDS_MAX = 6
# Number of recent ends from which half of them as failures set a worker aside.
MIXED_ENDS_MIN = 4
# How long a failure tells something of its task and its step: several attempts at one
# task, and the rests between them, take less.
EVIDENCE_S = 30.0
# On how many workers a task or all of a step has failed if it is at fault, as long as
# the service has so many: two sick workers may get the same task, one after the other.
WORKERS_MIN = 3
# How often failures older than that are forgotten.
CLEANUP_INTERVAL_S = 5.0
# Number of failures remembered as the reason of one rest, the newest.
CAUSES_MAX = 32


@dataclass(frozen=True, slots=True)
class Failure:
    """A run that failed, or made no progress, on a worker."""

    task: TaskKey
    worker_id: WorkerId
    at_s: float
    # How long the run had been at work, 0 if that is not known.
    ran_s: float

    @property
    def step(self) -> StepKey:
        """The step of the task."""
        return StepKey(self.task.job_id, self.task.occurrence, self.task.step)


End = Failure | None


@dataclass(slots=True)
class WorkerHealth:
    """What the recent ends on a worker tell; None among them is a success."""

    recent_ends: deque[End] = field(
        default_factory=lambda: deque(maxlen=RECENT_ENDS_MAX)
    )
    # Whether one more failure sets the worker aside, as it was until a moment ago.
    on_probation: bool = False
    rest_until_s: float = float("-inf")
    # The failures for which it rests, how many of them it takes, and whether it had
    # been on probation.
    causes: tuple[Failure, ...] = ()
    causes_min: int = 0
    was_on_probation: bool = False

    def resting(self, now_s: float) -> bool:
        """Return whether the worker is set aside."""
        return now_s < self.rest_until_s


@dataclass(slots=True)
class StepFailures:
    """The workers on which tasks of a step failed, and when they last did."""

    failed_at_s: dict[WorkerId, float] = field(default_factory=dict)
    tasks_failed_at_s: dict[TaskKey, dict[WorkerId, float]] = field(
        default_factory=dict
    )
    # How long the longest of the failed runs was at work.
    longest_s: float = 0.0
    # Whether the step fails whichever worker runs it, as far as is known.
    at_fault: bool = False
    workers_min: int = WORKERS_MIN

    def add(self, failure: Failure) -> None:
        """Note a failure."""
        self.failed_at_s[failure.worker_id] = failure.at_s
        by_worker = self.tasks_failed_at_s.setdefault(failure.task, {})
        by_worker[failure.worker_id] = failure.at_s
        self.longest_s = max(self.longest_s, failure.ran_s)

    def recent_workers(self, now_s: float) -> set[WorkerId]:
        """Return the workers on which the step has failed of late."""
        return _failed_near(self.failed_at_s, now_s)

    def has_task_at_fault(self) -> bool:
        """Return whether a task fails on any worker."""
        by_task = self.tasks_failed_at_s.values()
        return any(len(by_worker) >= self.workers_min for by_worker in by_task)

    def explains(self, failure: Failure) -> bool:
        """Return whether a failure tells nothing of its worker."""
        if self.at_fault:
            return True
        by_worker = self.tasks_failed_at_s.get(failure.task, {})
        return len(_failed_near(by_worker, failure.at_s)) >= self.workers_min


def _failed_near(failed_at_s: dict[WorkerId, float], at_s: float) -> set[WorkerId]:
    return {
        worker_id
        for worker_id, failed_s in failed_at_s.items()
        if abs(failed_s - at_s) < EVIDENCE_S
    }


class HealthJudge:
    """The part of a cell's scheduler that sets failing workers aside."""

    def __init__(self, cell: "Scheduler") -> None:
        """Start with no failure known."""
        self.cell = cell
        self._steps: dict[StepKey, StepFailures] = {}
        # Steps of which a task has failed or succeeded since the last review.
        self._changed: set[StepKey] = set()
        self._next_cleanup_s = float("-inf")

    def succeeded(self, worker: "WorkerState", key: TaskKey) -> None:
        """Note that a task has succeeded on a worker."""
        worker.health.recent_ends.append(None)
        worker.health.on_probation = False
        step = StepKey(key.job_id, key.occurrence, key.step)
        if step in self._steps:
            self._changed.add(step)

    def failed(self, worker: "WorkerState", run: Run, now_s: float) -> None:
        """Note that a run has failed or stands still on a worker, and judge it."""
        ran_s = now_s - run.sent_at_s if math.isfinite(run.sent_at_s) else 0.0
        failure = Failure(run.key, worker.worker_id, now_s, ran_s)
        self._steps.setdefault(failure.step, StepFailures()).add(failure)
        self._changed.add(failure.step)
        worker.health.recent_ends.append(failure)
        self._judge(worker, now_s)

    def at_fault(self, step: StepKey) -> bool:
        """Return whether the runs of a step fail, or stand still, on any worker."""
        failures = self._steps.get(step)
        return failures is not None and failures.at_fault

    def review(self, now_s: float) -> None:
        """Judge again the workers on which the steps that have changed failed."""
        for step_key in self._changed:
            failures = self._steps[step_key]
            failures.workers_min = self._workers_min(failures)
            failures.at_fault = self._is_at_fault(step_key, failures, now_s)
            for worker_id in failures.recent_workers(now_s):
                worker = self.cell.workers.get(worker_id)
                if worker is not None:
                    self._judge_again(worker, now_s)
        self._changed.clear()
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
            self._forget_old(now_s)

    def _forget_old(self, now_s: float) -> None:
        for step_key, failures in list(self._steps.items()):
            if failures.recent_workers(now_s):
                continue
            for worker_id in failures.failed_at_s:
                self._forget_explained(worker_id)
            del self._steps[step_key]

    def _forget_explained(self, worker_id: WorkerId) -> None:
        """Drop a worker's failures that would count once their reason is forgotten."""
        worker = self.cell.workers.get(worker_id)
        if worker is not None:
            ends = self._held(worker.health.recent_ends)
            worker.health.recent_ends.clear()
            worker.health.recent_ends.extend(ends)

    def _workers_min(self, failures: StepFailures) -> int:
        """Return on how many workers a step must fail: two or all, if it has fewer."""
        failed_on = map(self.cell.workers.get, failures.failed_at_s)
        services = {worker.listing.service for worker in failed_on if worker}
        present = (
            worker
            for worker in self.cell.workers.values()
            if worker.present() and worker.listing.service in services
        )
        return max(2, len(list(islice(present, WORKERS_MIN))))

    def _is_at_fault(
        self, step_key: StepKey, failures: StepFailures, now_s: float
    ) -> bool:
        """
        Return whether a step fails on any worker.

        That is so once it has failed on several, and no run of it elsewhere has been at
        work for longer than those that failed. It stays so until a task of the step
        succeeds: the next attempts run elsewhere. A job that is given up for one of its
        tasks may have more of that kind.
        """
        step = self.cell.step(TaskKey(*step_key, 0))
        if step is None:
            # The job is gone, or another one has its id.
            return failures.at_fault
        given_up = self.cell.jobs[step_key.job_id].status is JobStatus.FAILED
        if given_up and failures.has_task_at_fault():
            return True
        if any(task.done for task in step.tasks):
            return False
        workers = failures.recent_workers(now_s)
        if failures.at_fault or len(workers) < failures.workers_min:
            return failures.at_fault
        elsewhere = (
            task.run
            for task in step.tasks
            if task.run is not None and task.run.worker_id not in workers
        )
        return all(now_s - run.sent_at_s <= failures.longest_s for run in elsewhere)

    def _held(self, ends: Iterable[End]) -> list[End]:
        """Return the ends without the failures that tell nothing of the worker."""
        return [end for end in ends if end is None or not self._explained(end)]

    def _explained(self, failure: Failure) -> bool:
        failures = self._steps.get(failure.step)
        return failures is not None and failures.explains(failure)

    def _judge(self, worker: "WorkerState", now_s: float) -> None:
        """Set a worker aside if its recent ends say that it fails what it runs."""
        health = worker.health
        ends = self._held(health.recent_ends)
        failed = [end for end in ends if end is not None]
        in_row_min = self.cell.settings.failures_in_row - health.on_probation
        in_row = _failures_in_row(ends)
        mixed = len(ends) >= MIXED_ENDS_MIN and 2 * len(failed) >= len(ends)
        if not failed or not (in_row >= in_row_min or mixed):
            return
        if not health.resting(now_s):
            health.causes = ()
            health.causes_min = in_row_min
            health.was_on_probation = health.on_probation
        health.causes = (*health.causes, *failed)[-CAUSES_MAX:]
        health.rest_until_s = now_s + self.cell.settings.rest_s
        health.on_probation = True
        health.recent_ends.clear()
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "until_s": health.rest_until_s,
            "jobs": sorted({failure.task.job_id for failure in failed}),
        }
        self.cell.log(LogEntry("worker_rests", "", detail))

    def _judge_again(self, worker: "WorkerState", now_s: float) -> None:
        health = worker.health
        if not health.resting(now_s):
            self._judge(worker, now_s)
            return
        held = self._held(health.causes)
        if len(held) >= max(1, health.causes_min):
            return
        # The failures stay among the recent ends: they may be held against it again.
        ends = [*health.causes, *health.recent_ends]
        health.recent_ends.clear()
        health.recent_ends.extend(ends)
        health.on_probation = health.was_on_probation
        health.rest_until_s = now_s
        detail: dict[str, object] = {
            "worker": worker.worker_id,
            "jobs": sorted({failure.task.job_id for failure in health.causes}),
        }
        health.causes = ()
        self.cell.log(LogEntry("worker_rest_ended", "", detail))


def _failures_in_row(ends: list[End]) -> int:
    count = 0
    for end in reversed(ends):
        if end is None:
            break
        count += 1
    return count
