"""Place the tasks that are ready to run, the most urgent job first."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .advice import tickets
from .candidates import Candidates
from .crashes import choose_isolated_worker, suspected
from .effects import Decision
from .gangs import align_members, choose_workers
from .placing import Ranking, allowed_share, can_place, has_spare_cpu, suits
from .preempting import make_room
from .progress import JobState, StepState, Task
from .sampling import place_in_sample
from .separating import count_step_tasks
from .slow_starts import left_idle, may_share_processors, place_slow, set_first_pace
from .turns import Turn
from .unplaceable import UnplaceableSteps
from .urgency import (
    JobUrgency,
    Urgency,
    by_wait,
    chance_of,
    job_urgency,
    owed,
    urgency,
)
from .waiting import WaitReason
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


def place(cell: "Scheduler", decision: Decision, now_s: float, wall_s: float) -> None:
    """Choose workers for waiting tasks and add the starts to the decision."""
    ready = sorted(_ready_steps(cell, now_s, wall_s), key=lambda item: item[0])
    usable = [w for w in cell.workers.values() if w.usable(now_s)]
    candidates = Candidates(usable, cell.model)
    sample = cell.sampler.next_sample(usable)
    sampled_candidates = Candidates(sample, cell.model) if sample is not None else None
    unplaceable = UnplaceableSteps()
    candidates_beside = candidates
    if cell.kept_room.keeps_any():
        beside = [w for w in usable if not cell.kept_room.keeps(w)]
        candidates_beside = Candidates(beside, cell.model)
    # What finds no room beside the kept workers may still find it on them.
    unplaceable_beside = UnplaceableSteps()
    kept_out: list[Turn] = []
    cell.orders.update_pending_starts(now_s)
    for _, state, step in ready:
        if not cell.orders.may_add_starts():
            cell.waits.record_unplaced(
                state, step, usable, WaitReason.STARTS_PENDING, now_s
            )
            continue
        service = cell.service_of(state.job)
        stays_beside = _stays_beside_kept(cell, state, step)
        if sampled_candidates is not None and not stays_beside:
            suited = sampled_candidates.suited(service, step.step)
            turn = Turn(
                cell,
                decision,
                sampled_candidates,
                unplaceable,
                state,
                step,
                suited,
                now_s,
            )
            place_in_sample(turn, _workers_to_rank(turn))
            if not step.waiting():
                continue
        known, found_none = candidates, unplaceable
        if stays_beside:
            known, found_none = candidates_beside, unplaceable_beside
        suited = known.suited(service, step.step)
        turn = Turn(cell, decision, known, found_none, state, step, suited, now_s)
        reason = _place_step(turn)
        if stays_beside and reason in (WaitReason.NO_ROOM, WaitReason.APART):
            kept_out.append(turn)
        elif reason is not None:
            cell.waits.record_unplaced(state, step, suited, reason, now_s)
    # Urgent steps come first on the workers kept for them.
    for turn in kept_out:
        suited = candidates.suited(turn.service, turn.step.step)
        reason = _place_owed(turn, suited)
        if reason is not None:
            cell.waits.record_unplaced(turn.state, turn.step, suited, reason, now_s)
    cell.waits.end_decision(cell, now_s)


def _ready_steps(
    cell: "Scheduler", now_s: float, wall_s: float
) -> Iterator[tuple[Urgency, JobState, StepState]]:
    for state in cell.open_jobs.values():
        if state.status.final:
            continue
        _open_due_occurrences(cell, state, wall_s)
        shared: JobUrgency | None = None
        for steps in state.occurrences.values():
            for step in steps:
                if not _is_ready(steps, step):
                    continue
                if step.ready_at_s is None:
                    step.ready_at_s = now_s
                if shared is None:
                    shared = job_urgency(state, cell.mean_work, now_s)
                key = urgency(shared, step, now_s)
                if shared.lasting and cell.kept_room.active(
                    cell.service_of(state.job), now_s
                ):
                    key = by_wait(key, step, now_s)
                yield key, state, step


def _open_due_occurrences(cell: "Scheduler", state: JobState, wall_s: float) -> None:
    number = len(state.occurrences)
    job = state.job
    while number < job.occurrences:
        if job.due_at_s(number) > wall_s + cell.settings.early_s:
            return
        state.open_occurrence(number)
        number += 1


def _is_ready(steps: list[StepState], step: StepState) -> bool:
    if not any(task.waiting for task in step.tasks):
        return False
    return all(steps[number].done for number in step.step.after)


def _stays_beside_kept(cell: "Scheduler", state: JobState, step: StepState) -> bool:
    """Return whether a step leaves the kept workers to urgent ones."""
    if not step.step.lasting or step.step.filler or step.step.gang:
        return False
    return cell.kept_room.keeps_any() and not cell.advised(state.job)


def _place_owed(turn: Turn, workers: list[WorkerState]) -> WaitReason | None:
    """
    Place the lasting tasks that have waited for long on kept workers.

    Operators allow a lasting task to wait beside free room for a few seconds only.
    Return why tasks of the step still wait, or None.
    """
    step = turn.step
    waiting = [task for task in step.waiting() if owed(step, task, turn.now_s)]
    if not waiting:
        return WaitReason.KEPT
    turn.workers = [w for w in workers if turn.cell.kept_room.keeps(w)]
    ranking = turn.ranking()
    ranking.fill(turn.workers)
    for task in waiting:
        if not turn.cell.orders.may_add_starts():
            return WaitReason.STARTS_PENDING
        if suspected(task):
            if not _start_isolated(turn, task, ranking):
                return WaitReason.APART
            continue
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            return WaitReason.NO_ROOM
        turn.start(task, worker)
        ranking.booked(worker)
    return WaitReason.KEPT if step.waiting() else None


def _place_step(turn: Turn) -> WaitReason | None:
    """Place the tasks that fit and return why the others wait, or None."""
    step = turn.step
    if not turn.workers and not step.step.lasting:
        return WaitReason.NO_WORKER
    if turn.advised:
        _apply_advice(turn)
        if not turn.workers and not step.step.lasting:
            return WaitReason.NO_ADVICE
    if step.step.gang:
        return _start_gang(turn)
    return _place_tasks(turn)


def _apply_advice(turn: Turn) -> None:
    """Restrict the candidates to the workers that the advice service allows."""
    turn.granted = tickets(
        turn.cell, turn.decision, turn.step, turn.workers, turn.now_s
    )
    turn.workers = [w for w in turn.workers if w.worker_id in turn.granted]


def _place_tasks(turn: Turn) -> WaitReason | None:
    ranking = turn.ranking()
    known_unplaceable = turn.unplaceable.covers(turn.service, turn.step.step)
    if not known_unplaceable:
        ranking.fill(_workers_to_rank(turn))
    reason = None
    for task in turn.step.waiting():
        if not turn.cell.orders.may_add_starts():
            return WaitReason.STARTS_PENDING
        destination = turn.cell.separator.reserved_worker(task.key)
        if destination is not None:
            if _start_on_reserved(turn, task, destination):
                # Count this task in the ranking. Otherwise later tasks of the step
                # could exceed its limit of tasks per worker.
                ranking.booked(destination)
            else:
                reason = WaitReason.ROOM_RESERVED
            continue
        if turn.awaits_late_worker(task):
            reason = WaitReason.LATE_START
            continue
        if suspected(task):
            if not _start_isolated(turn, task, ranking):
                reason = WaitReason.APART
            continue
        worker = turn.late_worker(task, ranking) or ranking.choose(
            task.key, task.last_worker_id
        )
        if worker is None and any(task.key in w.runs for w in turn.workers):
            # A stray run of this task keeps only this task off that worker. Don't
            # record the step as unplaceable: that would hide the worker's room from
            # other tasks with the same needs.
            reason = WaitReason.STRAY_RUN
            continue
        if worker is None:
            if not known_unplaceable and _lacks_only_spare_cpu(turn, task, ranking):
                return _wait_for_spare_cpu(turn)
            if not turn.advised:
                turn.unplaceable.add(turn.service, turn.step.step)
            _handle_no_room(turn)
            return WaitReason.NO_ROOM
        if turn.step.step.filler and not has_spare_cpu(turn.step.step, worker):
            return _wait_for_spare_cpu(turn)
        turn.start(task, worker)
        ranking.booked(worker)
    if reason in (WaitReason.STRAY_RUN, WaitReason.APART):
        _handle_no_room(turn)
    return reason


def _start_isolated(turn: Turn, task: Task, ranking: Ranking) -> bool:
    """
    Start a task that may crash its worker away from other recent starts.

    Return whether the task was started.
    """
    step = turn.step.step
    fitting = [
        worker
        for worker in _workers_to_rank(turn)
        if can_place(step, worker, task.key, ranking.used)
        and (not step.filler or has_spare_cpu(step, worker))
    ]
    late_worker = turn.late_worker(task, ranking)
    preferred = [worker for worker in fitting if worker is late_worker]
    worker = choose_isolated_worker(preferred, task, turn.now_s)
    if worker is None:
        worker = choose_isolated_worker(fitting, task, turn.now_s)
    if worker is None:
        return False
    turn.start(task, worker)
    ranking.booked(worker)
    return True


def _workers_to_rank(turn: Turn) -> list[WorkerState]:
    """Return the workers to rank; for a filler, only those that accept it."""
    if turn.step.step.filler and not turn.advised:
        return turn.candidates.accepting(turn.service, turn.step.step)
    return turn.workers


def _lacks_only_spare_cpu(turn: Turn, task: Task, ranking: Ranking) -> bool:
    """Return whether a filler is kept out only by a lack of spare CPU."""
    step = turn.step.step
    if not step.filler or turn.advised:
        return False
    undisturbed = turn.candidates.undisturbed_by(turn.service, step)
    return any(
        can_place(step, worker, task.key, ranking.used) for worker in undisturbed
    )


def _wait_for_spare_cpu(turn: Turn) -> WaitReason:
    if may_share_processors(turn.cell, turn.state, turn.step, turn.now_s):
        place_slow(turn)
    return WaitReason.NO_SPARE


def _start_on_reserved(turn: Turn, task: Task, destination: WorkerState) -> bool:
    """
    Start a task on the worker where room is reserved for it.

    Return whether the task was started. It is not while the room is still taken.
    """
    separator = turn.cell.separator
    if destination.isolated_run is not None:
        return False
    if (
        not destination.usable(turn.now_s)
        or destination.listing.service != turn.service
    ):
        # A configuration change may have assigned the queue to another service since
        # the room was reserved.
        separator.release(task.key)
        return False
    if not turn.step.step.charge.fits_in(
        destination.listing.capacity - destination.taken
    ):
        return False
    separator.release(task.key)
    limit = turn.step.step.per_worker_max
    if limit and count_step_tasks(destination, task.key) >= limit:
        return False
    turn.start(task, destination)
    return True


def _handle_no_room(turn: Turn) -> None:
    """Try the fallback for the kind of step whose tasks found no worker."""
    if turn.step.step.filler:
        place_slow(turn)
    elif turn.step.step.lasting:
        _place_on_resting_workers(turn)
    elif turn.cell.may_displace(turn.now_s) and chance_of(turn.state, turn.now_s) == 0:
        make_room(turn.cell, turn.state, turn.step, turn.now_s)


def _place_on_resting_workers(turn: Turn) -> None:
    """
    Place long-running tasks on resting workers when no other worker has room.

    A worker rests (receives no new tasks) after two consecutive failures, which
    happens to one worker in twenty by chance alone. Long-running tasks have no attempt
    limit, and a wait of seconds harms their users more than another failed attempt.
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
        if not turn.cell.orders.may_add_starts():
            return
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
        chosen = choose_workers(cell, step, turn.workers, allow_reduced_pace=True)
    if chosen is None:
        return WaitReason.GANG_NO_ROOM
    align_members(step)
    for task, worker in zip(step.tasks, chosen, strict=True):
        share = allowed_share(step.step, worker, cell.model) if slow else 1.0
        crowded = slow and not has_spare_cpu(step.step, worker)
        run = turn.start(task, worker)
        if slow:
            set_first_pace(run, share, crowded)
    return None
