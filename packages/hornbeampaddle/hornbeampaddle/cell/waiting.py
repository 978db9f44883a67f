"""
Log why waiting jobs are not placed.

A start is logged, but a job that never starts leaves no log line. Without these notes
it cannot be determined afterwards what the job waited for.
"""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from .effects import LogEntry
from .placing import has_spare_cpu, suits
from .progress import JobState, StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# Wait after which a job's reason is logged: callers expect a job to have a task running
# within 3 s.
NOTE_AFTER_S = 3.0
# Interval between two notes on a job. The reason rarely changes faster, and notes on a
# long queue would fill the log.
NOTE_INTERVAL_S = 5.0
# Longest interval between two decisions. Time beyond it is not counted as waiting for a
# reason.
DECISION_INTERVAL_MAX_S = 0.5
# Bound on the notes of one decision: there are ten decisions per second, and each note
# scans all workers.
NOTES_PER_DECISION_MAX = 3


class WaitReason(Enum):
    """Why a decision did not place a step."""

    NO_WORKER = "no_worker"
    EVACUATED = "evacuated"
    NO_ADVICE = "no_advice"
    NO_ROOM = "no_room"
    KEPT = "kept"
    NO_SPARE = "no_spare"
    DISTURBS = "disturbs"
    GANG_NO_ROOM = "gang_no_room"
    GANG_ENDING = "gang_ending"
    ROOM_RESERVED = "room_reserved"
    STRAY_RUN = "stray_run"
    LATE_START = "late_start"
    APART = "apart"
    STARTS_PENDING = "starts_pending"


@dataclass(slots=True)
class Wait:
    """
    When a job began to wait and when its reason was last logged.

    A job waits while none of its tasks runs, a lasting job while any task does not.
    """

    since_s: float
    noted_at_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class WaitObservation:
    """A waiting job, with the step and reason recorded by one decision."""

    wait: Wait
    state: JobState
    step: StepState
    workers: list[WorkerState]
    reason: WaitReason


@dataclass(slots=True)
class WaitTracker:
    """The waiting jobs; a job that the last decision did not record is removed."""

    waits: dict[str, Wait] = field(default_factory=dict)
    _decision_ended_at_s: float = math.inf
    _observed: dict[str, WaitObservation] = field(default_factory=dict)

    def record_unplaced(
        self,
        state: JobState,
        step: StepState,
        workers: list[WorkerState],
        reason: WaitReason,
        now_s: float,
    ) -> None:
        """Record that this decision does not place a step, and add to its wait time."""
        job_id = state.job.job_id
        elapsed_s = min(
            DECISION_INTERVAL_MAX_S, max(0.0, now_s - self._decision_ended_at_s)
        )
        state.waited_s[reason.value] = state.waited_s.get(reason.value, 0.0) + elapsed_s
        if job_id in self._observed or not step.waiting():
            return
        if state.runs() and not step.step.lasting:
            return
        wait = self.waits.get(job_id) or Wait(now_s)
        self._observed[job_id] = WaitObservation(wait, state, step, workers, reason)

    def end_decision(self, cell: "Scheduler", now_s: float) -> None:
        """End a decision and log due reasons, longest unreported jobs first."""
        self._decision_ended_at_s = now_s
        due = [
            observation
            for observation in self._observed.values()
            if now_s - observation.wait.since_s >= NOTE_AFTER_S
            and now_s - observation.wait.noted_at_s >= NOTE_INTERVAL_S
        ]
        due.sort(
            key=lambda observation: (
                observation.wait.noted_at_s,
                observation.wait.since_s,
            )
        )
        for observation in due[:NOTES_PER_DECISION_MAX]:
            observation.wait.noted_at_s = now_s
            cell.log(_note(cell, observation, now_s))
        self.waits = {
            job_id: observation.wait for job_id, observation in self._observed.items()
        }
        self._observed = {}


def _note(cell: "Scheduler", observation: WaitObservation, now_s: float) -> LogEntry:
    step = observation.step
    use_ratio = cell.use_ratio(cell.service_of(observation.state.job))
    detail: dict[str, object] = {
        "step": step.key,
        "tasks": len(step.waiting()),
        "waited_s": round(now_s - observation.wait.since_s, 3),
        "reason": _reason(cell, observation).value,
        "workers": len(observation.workers),
        "use_ratio": round(use_ratio, 3),
        **_max_free(observation.workers),
    }
    return LogEntry("job_waits", step.key.job_id, detail)


def _reason(cell: "Scheduler", observation: WaitObservation) -> WaitReason:
    """
    Return the recorded reason, refined for the log.

    Distinguishes evacuated workers from no suitable worker and, for fillers, too little
    reservable room from no spare CPU and from interference with serving tasks. This is
    computed only for a note, since hundreds of steps may wait in each decision.
    """
    step = observation.step.step
    if not observation.workers and _suited_are_evacuated(cell, observation):
        return WaitReason.EVACUATED
    if observation.reason is not WaitReason.NO_ROOM or not step.filler:
        return observation.reason
    with_room = [w for w in observation.workers if step.charge.fits_in(w.free())]
    if not with_room or cell.advised(observation.state.job):
        return WaitReason.NO_ROOM
    if any(has_spare_cpu(step, worker) for worker in with_room):
        return WaitReason.DISTURBS
    return WaitReason.NO_SPARE


def _suited_are_evacuated(cell: "Scheduler", observation: WaitObservation) -> bool:
    service = cell.service_of(observation.state.job)
    return any(
        worker.evacuated
        and worker.listing.service == service
        and suits(observation.step.step, worker)
        for worker in cell.workers.values()
    )


def _max_free(workers: list[WorkerState]) -> dict[str, object]:
    """Return the maximum of each free resource over the workers, independently."""
    free = [worker.free() for worker in workers]
    return {
        "free_cpu_millis": max((room.cpu_millis for room in free), default=0),
        "free_memory_mib": max((r.memory_bytes // 2**20 for r in free), default=0),
        "spare_cpu_millis": max(
            (round(worker.spare_cpu_millis()) for worker in workers), default=0
        ),
    }
