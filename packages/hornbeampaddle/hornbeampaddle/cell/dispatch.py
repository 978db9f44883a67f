"""Place the tasks whose turn has come, the most urgent job first."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .advice import tickets
from .candidates import Candidates
from .crashes import choose_apart, suspected
from .effects import Decision
from .gangs import begin_run, choose_workers
from .misfits import Misfits
from .placing import Ranking, allowed_share, has_spare, may_take, suits
from .preempting import make_room
from .progress import JobState, StepState, Task
from .sampling import place_in_sample
from .separating import step_count
from .slow_starts import begin_slowly, its_time, left_idle, place_slow
from .turns import Turn
from .urgency import Urgency, chance_of, urgency
from .waiting import WaitReason
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


def place(cell: "Scheduler", decision: Decision, now_s: float, wall_s: float) -> None:
    """Choose workers for waiting tasks; add the starts to the decision."""
    ready = sorted(_ready_steps(cell, now_s, wall_s), key=lambda item: item[0])
    usable = [w for w in cell.workers.values() if w.usable(now_s)]
    candidates = Candidates(usable, cell.model)
    sample = cell.sampler.next_sample(usable)
    sampled_candidates = Candidates(sample, cell.model) if sample is not None else None
    misfits = Misfits()
    for _, state, step in ready:
        service = cell.service_of(state.job)
        if sampled_candidates is not None:
            suited = sampled_candidates.suited(service, step.step)
            turn = Turn(
                cell, decision, sampled_candidates, misfits, state, step, suited, now_s
            )
            place_in_sample(turn, _worth_a_look(turn))
            if not step.waiting():
                continue
        suited = candidates.suited(service, step.step)
        turn = Turn(cell, decision, candidates, misfits, state, step, suited, now_s)
        reason = _place_step(turn)
        if reason is not None:
            cell.waits.see(state, step, suited, reason, now_s)
    cell.waits.close(cell, now_s)


def _ready_steps(
    cell: "Scheduler", now_s: float, wall_s: float
) -> Iterator[tuple[Urgency, JobState, StepState]]:
    for state in cell.open_jobs.values():
        if state.status.final:
            continue
        _open_due(cell, state, wall_s)
        for steps in state.occurrences.values():
            for step in steps:
                if not _turn_has_come(steps, step):
                    continue
                if step.ready_at_s is None:
                    step.ready_at_s = now_s
                yield urgency(state, step, cell.usual_work, now_s), state, step


def _open_due(cell: "Scheduler", state: JobState, wall_s: float) -> None:
    number = len(state.occurrences)
    job = state.job
    while number < job.occurrences:
        if job.due_at_s(number) > wall_s + cell.settings.early_s:
            return
        state.open_occurrence(number)
        number += 1


def _turn_has_come(steps: list[StepState], step: StepState) -> bool:
    if not any(task.waiting for task in step.tasks):
        return False
    return all(steps[number].done for number in step.step.after)


def _place_step(turn: Turn) -> WaitReason | None:
    """Place what can be placed; return why the rest waits."""
    step = turn.step
    if not turn.workers and not step.step.lasting:
        return WaitReason.NO_WORKER
    if turn.advised:
        _take_advice(turn)
        if not turn.workers and not step.step.lasting:
            return WaitReason.NO_ADVICE
    if step.step.gang:
        return _start_gang(turn)
    return _place_tasks(turn)


def _take_advice(turn: Turn) -> None:
    """Leave the workers that are known to be allowed."""
    turn.granted = tickets(
        turn.cell, turn.decision, turn.step, turn.workers, turn.now_s
    )
    turn.workers = [w for w in turn.workers if w.worker_id in turn.granted]


def _place_tasks(turn: Turn) -> WaitReason | None:
    ranking = turn.ranking()
    hopeless = turn.misfits.covers(turn.service, turn.step.step)
    if not hopeless:
        ranking.fill(_worth_a_look(turn))
    reason = None
    for task in turn.step.waiting():
        home = turn.cell.separator.reserved(task.key)
        if home is not None:
            if _start_at_home(turn, task, home):
                # Guards against more tasks of a step on one worker than it allows:
                # the ranking would not see this one.
                ranking.booked(home)
            else:
                reason = WaitReason.ROOM_RESERVED
            continue
        if suspected(task):
            if not _start_apart(turn, task, ranking):
                reason = WaitReason.APART
            continue
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None and any(task.key in w.runs for w in turn.workers):
            # Guards against a worker's room that one task hides from all that ask for
            # as much: its own stray run is there, which keeps out only itself.
            reason = WaitReason.STRAY_RUN
            continue
        if worker is None:
            if not hopeless and _only_spare_lacks(turn, task, ranking):
                return _wait_for_spare(turn)
            if not turn.advised:
                turn.misfits.add(turn.service, turn.step.step)
            _no_room(turn)
            return WaitReason.NO_ROOM
        if turn.step.step.filler and not has_spare(turn.step.step, worker):
            return _wait_for_spare(turn)
        turn.start(task, worker)
        ranking.booked(worker)
    if reason in (WaitReason.STRAY_RUN, WaitReason.APART):
        _no_room(turn)
    return reason


def _start_apart(turn: Turn, task: Task, ranking: Ranking) -> bool:
    """Start a task that may crash its worker apart from others; tell if it did."""
    step = turn.step.step
    fitting = [
        worker
        for worker in _worth_a_look(turn)
        if may_take(step, worker, task.key, ranking.used)
        and (not step.filler or has_spare(step, worker))
    ]
    worker = choose_apart(fitting, task, turn.now_s)
    if worker is None:
        return False
    turn.start(task, worker)
    ranking.booked(worker)
    return True


def _worth_a_look(turn: Turn) -> list[WorkerState]:
    """Return the workers to rank: a filler needs one that is open to it."""
    if turn.step.step.filler and not turn.advised:
        return turn.candidates.open_to(turn.service, turn.step.step)
    return turn.workers


def _only_spare_lacks(turn: Turn, task: Task, ranking: Ranking) -> bool:
    """Tell whether a filler would disturb nobody somewhere, but finds no processors."""
    step = turn.step.step
    if not step.filler or turn.advised:
        return False
    quiet = turn.candidates.quiet_for(turn.service, step)
    return any(may_take(step, worker, task.key, ranking.used) for worker in quiet)


def _wait_for_spare(turn: Turn) -> WaitReason:
    if its_time(turn.cell, turn.state, turn.step, turn.now_s):
        place_slow(turn)
    return WaitReason.NO_SPARE


def _start_at_home(turn: Turn, task: Task, home: WorkerState) -> bool:
    """Start a task where room is reserved for it, once it is free; tell if it did."""
    separator = turn.cell.separator
    if home.trial is not None:
        return False
    if not home.usable(turn.now_s) or home.listing.service != turn.service:
        # A configuration may have moved the queue since the room was reserved.
        separator.settle(task.key)
        return False
    if not turn.step.step.charge.fits_in(home.listing.capacity - home.taken):
        return False
    separator.settle(task.key)
    most = turn.step.step.per_worker_max
    if most and step_count(home, task.key) >= most:
        return False
    turn.start(task, home)
    return True


def _no_room(turn: Turn) -> None:
    """Look for another way for tasks that found no worker."""
    if turn.step.step.filler:
        place_slow(turn)
    elif turn.step.step.lasting:
        _place_on_resting(turn)
    elif turn.cell.may_displace(turn.now_s) and chance_of(turn.state, turn.now_s) == 0:
        make_room(turn.cell, turn.state, turn.step, turn.now_s)


def _place_on_resting(turn: Turn) -> None:
    """
    Place lasting tasks on workers that rest, where no other has room.

    A worker rests after two failures in a row, which chance alone brings to one
    worker in twenty. A lasting task has no limit of attempts to lose there, and
    its users lose more by a wait of seconds than by another try.
    """
    if turn.advised:
        return
    resting = [
        w
        for w in turn.cell.workers.values()
        if w.present()
        and w.resting(turn.now_s)
        and w.listing.service == turn.service
        and suits(turn.step.step, w)
    ]
    ranking = turn.ranking()
    ranking.fill(resting)
    for task in turn.step.waiting():
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            return
        turn.start(task, worker)
        ranking.booked(worker)


def _start_gang(turn: Turn) -> WaitReason | None:
    cell, step = turn.cell, turn.step
    if any(task.run is not None for task in step.tasks):
        return WaitReason.GANG_ENDING
    chosen = choose_workers(cell, step, turn.workers)
    slow = chosen is None and step.step.filler
    if slow and left_idle(cell, turn.state, step, turn.now_s):
        chosen = choose_workers(cell, step, turn.workers, at_any_pace=True)
    if chosen is None:
        return WaitReason.GANG_NO_ROOM
    begin_run(step)
    for task, worker in zip(step.tasks, chosen, strict=True):
        share = allowed_share(step.step, worker, cell.model) if slow else 1.0
        crowded = slow and not has_spare(step.step, worker)
        run = turn.start(task, worker)
        if slow:
            begin_slowly(run, share, crowded)
    return None
