"""
Start fillers at a reduced pace when no worker can run them at full speed.

A filler (best-effort task) waits for a worker where it interferes with no serving task
and finds spare CPU. If there is none, one task of its job starts at a pace low enough
not to interfere, so that no job waits forever while the cell reports free capacity.
"""

from typing import TYPE_CHECKING

from .placing import can_place, choose_for_slow_start, has_spare_cpu
from .progress import JobState, Run, StepState
from .turns import Turn
from .urgency import LASTING_AWAY_MAX_S

if TYPE_CHECKING:
    from .scheduler import Scheduler

# How long a long-running filler waits for a worker where it does not interfere before
# it starts at a reduced pace. Finite fillers keep waiting: at a reduced pace they would
# occupy a worker several times as long and block those that come next.
SLOW_AFTER_S = 6.0
# Minimum share of its full speed at which a filler is started. Below this, it would do
# little more than hold memory.
SLOW_SHARE_MIN = 0.25
# While less than LOW_USE_RATIO_MAX of a service's CPU is reserved, no job may have
# nothing running for longer than IDLE_JOB_AFTER_S. Callers rely on this when half or
# less is reserved.
LOW_USE_RATIO_MAX = 0.6
IDLE_JOB_AFTER_S = 1.2
FIRST_PACE_MIN_PERCENT = 3
# Minimum time since the last finite job was accepted before a late job may share fully
# used CPU with other fillers. Newer jobs can still be on time, and the late one would
# slow them down. Under load, jobs arrive several times a second.
QUIET_S = 3.0
# Maximum time that a finite job waits for such a quiet period. This is several times
# the objective of any job, and the load that made the job late has usually passed by
# then.
STARVED_AFTER_S = 30.0


def may_share_processors(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> bool:
    """
    Return whether a job may start alongside fillers that use all CPU.

    The wait for a quiet period is bounded. With a new job every few seconds, no quiet
    period occurs, and callers of a late job would wait for hours.
    """
    waited_s = now_s - (step.ready_at_s or now_s)
    quiet = cell.since_last_arrival_s(step.key.job_id, now_s) >= QUIET_S
    wait_max_s = LASTING_AWAY_MAX_S if step.step.lasting else STARVED_AFTER_S
    if not quiet and waited_s < wait_max_s:
        return False
    return left_idle(cell, state, step, now_s)


def left_idle(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> bool:
    """
    Return whether a job has nothing running although its service is lightly used.

    A job of fillers could otherwise wait forever despite free capacity, because it
    would interfere on every worker or because other fillers, which reserve no CPU, use
    all of it. In this state, a finite job starts one task at a reduced pace. A
    long-running job starts all of them, as each task serves its own users.
    """
    if now_s - (step.ready_at_s or now_s) < IDLE_JOB_AFTER_S:
        return False
    use_ratio = cell.use_ratio(cell.service_of(state.job))
    served = bool(state.runs()) and not step.step.lasting
    return not served and use_ratio < LOW_USE_RATIO_MAX


def waits_enough(step: StepState, now_s: float) -> bool:
    """Return whether a filler has waited long enough to start at a reduced pace."""
    if not step.step.lasting:
        return False
    return now_s - (step.ready_at_s or now_s) >= SLOW_AFTER_S


def place_slow(turn: Turn) -> None:
    """Start one waiting filler of a step at a pace that does not interfere."""
    step, model = turn.step, turn.cell.model
    waiting = step.waiting()
    if not waiting:
        return
    share_min = 0.0
    idle = left_idle(turn.cell, turn.state, step, turn.now_s)
    if not idle:
        if not waits_enough(step, turn.now_s):
            return
        share_min = SLOW_SHARE_MIN
    tasks_by_worker = step.tasks_by_worker()
    key = waiting[0].key
    # These workers have not been filtered by a ranking: exclude those that have reached
    # the step's limit of tasks per worker or already have a stray run of the task.
    candidates = [
        w for w in turn.workers if can_place(step.step, w, key, tasks_by_worker)
    ]
    place = choose_for_slow_start(step.step, candidates, model, share_min)
    if place is None:
        return
    worker, share = place
    crowded = idle and not has_spare_cpu(step.step, worker)
    run = turn.start(waiting[0], worker)
    set_first_pace(run, share, crowded)


def set_first_pace(run: Run, share: float, crowded: bool) -> None:
    """
    Set a filler's initial pace to the share of its speed that does not interfere.

    If ``crowded``, other fillers use all CPU, and the filler begins at the minimum
    pace, so that a queue of late jobs does not slow down jobs that can still be on
    time. The pacer speeds it up once there is spare CPU.
    """
    percent = 0 if crowded else round(100 * share)
    run.first_pace_percent = max(FIRST_PACE_MIN_PERCENT, percent)
    run.shares_processors = crowded
