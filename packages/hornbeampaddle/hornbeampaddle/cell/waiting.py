"""
Say why a job that could run does not.

A start leaves a line in the log, a job that is never started leaves none: without
these notes nobody can tell afterwards what it waited for.
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

# Callers count on a job having something at work after 3 s.
NOTE_AFTER_S = 3.0
# The reason rarely changes faster, and a long queue would fill the log.
NOTE_EVERY_S = 5.0
# Decisions come at least this often: a longer span was nobody's wait for a reason.
DECISION_MAX_S = 0.5
# Notes in one decision: a decision comes ten times a second, and each note looks at
# all workers.
NOTES_AT_ONCE = 3


class WaitReason(Enum):
    """Why a step whose turn has come was not placed."""

    NO_WORKER = "no_worker"
    EVACUATED = "evacuated"
    NO_ADVICE = "no_advice"
    NO_ROOM = "no_room"
    NO_SPARE = "no_spare"
    DISTURBS = "disturbs"
    GANG_NO_ROOM = "gang_no_room"
    GANG_ENDING = "gang_ending"
    ROOM_RESERVED = "room_reserved"
    STRAY_RUN = "stray_run"
    APART = "apart"


@dataclass(slots=True)
class Wait:
    """
    Since when a job has waited, and when that was last said.

    A job waits while it has nothing at work, one that lasts while any task waits.
    """

    since_s: float
    noted_at_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Sight:
    """A job that waits, as one decision saw it."""

    wait: Wait
    state: JobState
    step: StepState
    workers: list[WorkerState]
    reason: WaitReason


@dataclass(slots=True)
class WaitBook:
    """The jobs that wait; a job that the last decision did not see is forgotten."""

    waits: dict[str, Wait] = field(default_factory=dict)
    _closed_at_s: float = math.inf
    _seen: dict[str, Sight] = field(default_factory=dict)

    def see(
        self,
        state: JobState,
        step: StepState,
        workers: list[WorkerState],
        reason: WaitReason,
        now_s: float,
    ) -> None:
        """Take in that a step was not placed, since the decision before this one."""
        job_id = state.job.job_id
        passed_s = min(DECISION_MAX_S, max(0.0, now_s - self._closed_at_s))
        state.waited_s[reason.value] = state.waited_s.get(reason.value, 0.0) + passed_s
        if job_id in self._seen or not step.waiting():
            return
        if state.runs() and not step.step.lasting:
            return
        wait = self.waits.get(job_id) or Wait(now_s)
        self._seen[job_id] = Sight(wait, state, step, workers, reason)

    def close(self, cell: "Scheduler", now_s: float) -> None:
        """End a decision: say why some jobs wait, first those not said for longest."""
        self._closed_at_s = now_s
        due = [
            sight
            for sight in self._seen.values()
            if now_s - sight.wait.since_s >= NOTE_AFTER_S
            and now_s - sight.wait.noted_at_s >= NOTE_EVERY_S
        ]
        due.sort(key=lambda sight: (sight.wait.noted_at_s, sight.wait.since_s))
        for sight in due[:NOTES_AT_ONCE]:
            sight.wait.noted_at_s = now_s
            cell.log(_note(cell, sight, now_s))
        self.waits = {job_id: sight.wait for job_id, sight in self._seen.items()}
        self._seen = {}


def _note(cell: "Scheduler", sight: Sight, now_s: float) -> LogEntry:
    step = sight.step
    use_ratio = cell.use_ratio(cell.service_of(sight.state.job))
    detail: dict[str, object] = {
        "step": step.key,
        "tasks": len(step.waiting()),
        "waited_s": round(now_s - sight.wait.since_s, 3),
        "reason": _reason(cell, sight).value,
        "workers": len(sight.workers),
        "use_ratio": round(use_ratio, 3),
        **_most(sight.workers),
    }
    return LogEntry("job_waits", step.key.job_id, detail)


def _reason(cell: "Scheduler", sight: Sight) -> WaitReason:
    """
    Tell no worker from evacuated ones, no memory from others that keep a filler out.

    It is worked out only for a log entry: hundreds of steps may wait in each decision.
    """
    step = sight.step.step
    if not sight.workers and _suited_are_evacuated(cell, sight):
        return WaitReason.EVACUATED
    if sight.reason is not WaitReason.NO_ROOM or not step.filler:
        return sight.reason
    with_room = [w for w in sight.workers if step.charge.fits_in(w.free())]
    if not with_room or cell.advised(sight.state.job):
        return WaitReason.NO_ROOM
    if any(has_spare_cpu(step, worker) for worker in with_room):
        return WaitReason.DISTURBS
    return WaitReason.NO_SPARE


def _suited_are_evacuated(cell: "Scheduler", sight: Sight) -> bool:
    service = cell.service_of(sight.state.job)
    return any(
        worker.evacuated
        and worker.listing.service == service
        and suits(sight.step.step, worker)
        for worker in cell.workers.values()
    )


def _most(workers: list[WorkerState]) -> dict[str, object]:
    """Return the most that any of these workers has left, each figure by itself."""
    free = [worker.free() for worker in workers]
    return {
        "free_cpu_millis": max((room.cpu_millis for room in free), default=0),
        "free_memory_mib": max((r.memory_bytes // 2**20 for r in free), default=0),
        "spare_cpu_millis": max(
            (round(worker.spare_cpu_millis()) for worker in workers), default=0
        ),
    }
