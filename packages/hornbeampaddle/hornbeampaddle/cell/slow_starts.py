"""
Start fillers that find no worker to themselves, at a pace that harms nobody.

A filler waits for a worker where it disturbs nobody and finds spare processors. Where
there is none, one task of its job begins slowly, so that no job waits for ever beside
room that is shown as free.
"""

from typing import TYPE_CHECKING

from .placing import choose_slow, has_spare, may_take
from .progress import JobState, Run, StepState
from .turns import Turn
from .urgency import AWAY_MAX_S

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A filler that lasts waits so long for a worker where it disturbs nobody before it
# starts at a lower pace. One that ends waits on: started so, it would keep its place
# for several times as long, and those that come next would find it taken.
SLOW_AFTER_S = 6.0
# Slower than this share of its speed, a filler would only hold memory.
SLOW_SHARE_MIN = 0.25
# While less than this share of a service's processors is reserved, no job is left
# with nothing at work for longer than this: callers count on it from half on.
IDLE_CELL_RATIO = 0.6
IDLE_JOB_AFTER_S = 1.2
FIRST_PACE_MIN_PERCENT = 3
# While callers hand in jobs more often than this, a late one is not started beside
# fillers that use all processors: newer ones can still be on time. Under load, jobs
# come several times a second.
QUIET_S = 3.0
# ... but it does not wait longer than this for them: several times the objective of
# any job, and seldom reached before the load that made it late has passed.
STARVED_AFTER_S = 30.0


def its_time(cell: "Scheduler", state: JobState, step: StepState, now_s: float) -> bool:
    """
    Tell whether a job starts beside fillers that use all processors.

    Guards against a late job that gives way for ever: with a new job every few
    seconds there is no quiet span, and callers would wait for hours.
    """
    waited_s = now_s - (step.ready_at_s or now_s)
    quiet = cell.quiet_s(step.key.job_id, now_s) >= QUIET_S
    patience_s = AWAY_MAX_S if step.step.lasting else STARVED_AFTER_S
    if not quiet and waited_s < patience_s:
        return False
    return left_idle(cell, state, step, now_s)


def left_idle(
    cell: "Scheduler", state: JobState, step: StepState, now_s: float
) -> bool:
    """
    Tell whether a job has nothing at work though its service is mostly free.

    Guards against a filling job that waits for ever, with room shown as free: every
    worker serves an image that it disturbs, or other fillers, which reserve no
    processors, use them all. One task of it starts at a low pace then; of a job that
    lasts each, for each serves users of its own.
    """
    if now_s - (step.ready_at_s or now_s) < IDLE_JOB_AFTER_S:
        return False
    use_ratio = cell.use_ratio(cell.service_of(state.job))
    served = bool(state.runs()) and not step.step.lasting
    return not served and use_ratio < IDLE_CELL_RATIO


def waits_enough(step: StepState, now_s: float) -> bool:
    """Tell whether a filler has waited long enough to start at a lower pace."""
    if not step.step.lasting:
        return False
    return now_s - (step.ready_at_s or now_s) >= SLOW_AFTER_S


def place_slow(turn: Turn) -> None:
    """Place one filler that found no worker to itself, at a pace that harms nobody."""
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
    used = step.used()
    key = waiting[0].key
    # Guards against more tasks of a step on one worker than it allows, and against a
    # second run of a task beside a stray one: no ranking has sorted these workers out.
    candidates = [w for w in turn.workers if may_take(step.step, w, key, used)]
    place = choose_slow(step.step, candidates, model, share_min)
    if place is None:
        return
    worker, share = place
    crowded = idle and not has_spare(step.step, worker)
    run = turn.start(waiting[0], worker)
    begin_slowly(run, share, crowded)


def begin_slowly(run: Run, share: float, crowded: bool) -> None:
    """
    Let a filler begin at the share of its speed at which it disturbs nobody.

    Guards against a queue of late jobs that slows those that can be on time: where
    others use all processors it begins at the lowest pace, and the pacer lets it work
    faster once there are some to spare.
    """
    percent = 0 if crowded else round(100 * share)
    run.first_pace_percent = max(FIRST_PACE_MIN_PERCENT, percent)
    run.shares_processors = crowded
