"""Place the tasks whose turn has come, the most urgent job first."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..resources import Resources
from .advice import tickets
from .candidates import Candidates
from .effects import Decision
from .gangs import begin_run, choose_workers
from .jobs import Step
from .placing import Ranking, allowed_share, has_spare, may_take, suits
from .preempting import make_room
from .progress import JobState, StepState, Task
from .separating import step_count
from .slow_starts import begin_slowly, its_time, left_idle, place_slow
from .starting import start_task
from .urgency import Urgency, chance_of, urgency
from .waiting import WaitReason
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler


@dataclass(slots=True)
class Misfits:
    """
    What found no worker in this decision, by service and image.

    When the queue is long, most steps ask for as much as one that was just looked
    for in vain. Without this, each of hundreds of them looks at every worker.
    """

    _needs: dict[tuple[str, str, str], Resources] = field(default_factory=dict)

    def covers(self, service: str, step: Step) -> bool:
        """Tell whether a step that asks for no more has found no worker."""
        need = self._needs.get(_kind(service, step))
        return need is not None and need.fits_in(step.need)

    def add(self, service: str, step: Step) -> None:
        """Note a step that found no worker; the smallest need counts."""
        if step.per_worker_max or step.gang:
            return
        need = self._needs.get(_kind(service, step))
        if need is None or step.need.fits_in(need):
            self._needs[_kind(service, step)] = step.need


def _kind(service: str, step: Step) -> tuple[str, str, str]:
    # Only fillers are placed by their image.
    return (service, step.worker_label, step.image if step.filler else "")


def place(cell: "Scheduler", decision: Decision, now_s: float, wall_s: float) -> None:
    """Choose workers for waiting tasks; add the starts to the decision."""
    ready = sorted(_ready_steps(cell, now_s, wall_s), key=lambda item: item[0])
    usable = [w for w in cell.workers.values() if w.usable(now_s)]
    candidates = Candidates(usable, cell.model)
    misfits = Misfits()
    for _, state, step in ready:
        workers = candidates.suited(cell.service_of(state.job), step.step)
        reason = _place_step(
            cell, decision, state, step, workers, candidates, misfits, now_s
        )
        if reason is not None:
            cell.waits.see(state, step, workers, reason, now_s)
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


def _place_step(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    candidates: Candidates,
    misfits: Misfits,
    now_s: float,
) -> WaitReason | None:
    """Place what can be placed; return why the rest waits."""
    if not workers and not step.step.lasting:
        return WaitReason.NO_WORKER
    service = cell.service_of(state.job)
    granted: dict[str, str] = {}
    if state.job.queue.advice is not None:
        granted = tickets(cell, decision, step, workers, now_s)
        workers = [w for w in workers if w.worker_id in granted]
        if not workers and not step.step.lasting:
            return WaitReason.NO_ADVICE
    if step.step.gang:
        return _start_gang(cell, decision, state, step, workers, granted, now_s)
    ranking = Ranking(
        step.key.job_id,
        step.step,
        cell.model,
        step.used(),
        outlook=cell.outlook(now_s),
    )
    hopeless = misfits.covers(service, step.step)
    by_openings = step.step.filler and state.job.queue.advice is None
    if not hopeless:
        open_to = candidates.open_to(service, step.step) if by_openings else workers
        ranking.fill(open_to)
    reason = None
    for task in step.waiting():
        home = cell.separator.reserved(task.key)
        if home is not None:
            if _start_at_home(cell, decision, state, step, task, home, now_s):
                # Guards against more tasks of a step on one worker than it allows:
                # the ranking would not see this one.
                ranking.booked(home)
            else:
                reason = WaitReason.ROOM_RESERVED
            continue
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None and any(task.key in w.runs for w in workers):
            # Guards against a worker's room that one task hides from all that ask for
            # as much: its own stray run is there, which keeps out only itself.
            reason = WaitReason.STRAY_RUN
            continue
        if worker is None:
            quiet = candidates.quiet_for(service, step.step) if by_openings else ()
            if not hopeless and any(
                may_take(step.step, w, task.key, ranking.used) for w in quiet
            ):
                if its_time(cell, state, step, now_s):
                    place_slow(cell, decision, state, step, workers, granted, now_s)
                return WaitReason.NO_SPARE
            if state.job.queue.advice is None:
                misfits.add(service, step.step)
            _no_room(cell, decision, state, step, workers, granted, now_s)
            return WaitReason.NO_ROOM
        if step.step.filler and not has_spare(step.step, worker):
            if its_time(cell, state, step, now_s):
                place_slow(cell, decision, state, step, workers, granted, now_s)
            return WaitReason.NO_SPARE
        start_task(cell, decision, state, step, task, worker, granted, now_s)
        ranking.booked(worker)
    if reason is WaitReason.STRAY_RUN:
        _no_room(cell, decision, state, step, workers, granted, now_s)
    return reason


def _start_at_home(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    task: Task,
    home: WorkerState,
    now_s: float,
) -> bool:
    """Start a task where room is reserved for it, once it is free; tell if it did."""
    service = cell.service_of(state.job)
    if not home.usable(now_s) or home.listing.service != service:
        # A configuration may have moved the queue since the room was reserved.
        cell.separator.settle(task.key)
        return False
    if not step.step.charge.fits_in(home.listing.capacity - home.taken):
        return False
    cell.separator.settle(task.key)
    most = step.step.per_worker_max
    if most and step_count(home, task.key) >= most:
        return False
    start_task(cell, decision, state, step, task, home, {}, now_s)
    return True


def _no_room(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    granted: dict[str, str],
    now_s: float,
) -> None:
    """Look for another way for tasks that found no worker."""
    if step.step.filler:
        place_slow(cell, decision, state, step, workers, granted, now_s)
    elif step.step.lasting:
        _place_on_resting(cell, decision, state, step, now_s)
    elif chance_of(state, now_s) == 0:
        make_room(cell, state, step, now_s)


def _place_on_resting(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    now_s: float,
) -> None:
    """
    Place lasting tasks on workers that rest, where no other has room.

    A worker rests after two failures in a row, which chance alone brings to one
    worker in twenty. A lasting task has no limit of attempts to lose there, and
    its users lose more by a wait of seconds than by another try.
    """
    service = cell.service_of(state.job)
    if state.job.queue.advice is not None:
        return
    resting = [
        w
        for w in cell.workers.values()
        if w.present()
        and w.resting(now_s)
        and w.listing.service == service
        and suits(step.step, w)
    ]
    ranking = Ranking(
        step.key.job_id,
        step.step,
        cell.model,
        step.used(),
        outlook=cell.outlook(now_s),
    )
    ranking.fill(resting)
    for task in step.waiting():
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            return
        start_task(cell, decision, state, step, task, worker, {}, now_s)
        ranking.booked(worker)


def _start_gang(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    granted: dict[str, str],
    now_s: float,
) -> WaitReason | None:
    if any(task.run is not None for task in step.tasks):
        return WaitReason.GANG_ENDING
    chosen = choose_workers(cell, step, workers)
    slow = chosen is None and step.step.filler
    if slow and left_idle(cell, state, step, now_s):
        chosen = choose_workers(cell, step, workers, at_any_pace=True)
    if chosen is None:
        return WaitReason.GANG_NO_ROOM
    begin_run(step)
    for task, worker in zip(step.tasks, chosen, strict=True):
        share = allowed_share(step.step, worker, cell.model) if slow else 1.0
        crowded = slow and not has_spare(step.step, worker)
        run = start_task(cell, decision, state, step, task, worker, granted, now_s)
        if slow:
            begin_slowly(run, share, crowded)
    return None
