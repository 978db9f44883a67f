"""
Place the tasks whose turn has come, the most urgent job first.

Order: priority of the queue, then jobs that end before jobs that last, then
jobs that can still be on time, then the time by which a job should be done.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..resources import Resources
from .effects import AdviceQuestion, Decision, Note
from .jobs import Step, StepKey, TaskKey
from .placing import Ranking, choose_slow, suits
from .preempting import make_room
from .progress import JobState, JobStatus, Run, StepState, Task
from .separating import step_count
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# A job is worth little after its objective and nothing after three times that.
WORTHLESS_AFTER_RATIO = 3.0
# A filler is placed while the workers' spare processors cover this share of
# its need; beyond that it would only slow those that came before it.
FILLER_SPARE_RATIO = 0.5
# A filler waits so long for a worker where it disturbs nobody before it starts
# at a lower pace; after 1.5 s already, it cost more than it gained.
SLOW_AFTER_S = 6.0
# Slower than this share of its speed, a filler would only hold memory.
SLOW_SHARE_MIN = 0.25
# While less than this share of the processors is reserved, no job is left with
# nothing at work for longer than this: callers count on it from half on.
IDLE_CELL_RATIO = 0.6
IDLE_JOB_AFTER_S = 1.2
FIRST_PACE_MIN_PERCENT = 3


@dataclass(frozen=True, slots=True)
class Allowance:
    """Which workers may run a step, each with its ticket, until when."""

    tickets: dict[str, str]
    valid_until_s: float


@dataclass(slots=True)
class AdviceBook:
    """Advice that was given, and questions that are open."""

    given: dict[StepKey, Allowance] = field(default_factory=dict)
    asked: set[StepKey] = field(default_factory=set)
    rested: dict[StepKey, float] = field(default_factory=dict)

    def answer(self, step: StepKey, allowance: Allowance | None, now_s: float) -> None:
        """Take in an answer; nothing means that none came."""
        self.asked.discard(step)
        if allowance is None or not allowance.tickets:
            self.rested[step] = now_s + ADVICE_PAUSE_S
        if allowance is not None:
            self.given[step] = allowance

    def drop(self, key: TaskKey) -> None:
        """Forget the advice on a task's step; a worker did not accept it."""
        self.given.pop(StepKey(*key[:3]), None)

    def may_ask(self, step: StepKey, now_s: float) -> bool:
        """Tell whether a question on this step may be sent now."""
        return step not in self.asked and self.rested.get(step, 0.0) <= now_s


# The service of advice answers one question at a time for each caller.
ADVICE_PAUSE_S = 0.3


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
    if not ready:
        return
    usable = [w for w in cell.workers.values() if w.usable(now_s)]
    misfits = Misfits()
    for _, state, step in ready:
        _place_step(cell, decision, state, step, usable, misfits, now_s)


def _ready_steps(
    cell: "Scheduler", now_s: float, wall_s: float
) -> Iterator[tuple[tuple, JobState, StepState]]:
    for state in cell.open_jobs.values():
        if state.status.final:
            continue
        _open_due(cell, state, wall_s)
        urgency = None
        for steps in state.occurrences.values():
            for step in steps:
                if not _turn_has_come(steps, step):
                    continue
                if step.ready_at_s is None:
                    step.ready_at_s = now_s
                if urgency is None:
                    urgency = _urgency(state, now_s)
                yield urgency, state, step


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


def _urgency(state: JobState, now_s: float) -> tuple[int, bool, int, float]:
    job = state.job
    objective_s = job.objective_s()
    due_s = state.accepted_at_s + objective_s
    chance = 0
    if not job.lasting and not job.repeat_count:
        chance = _chance(state, now_s)
    return (job.queue.priority, job.lasting, chance, due_s)


def _chance(state: JobState, now_s: float) -> int:
    """
    Return 0 for a job that can still be on time, 1 for late, 2 for neither.

    When the queue is long, the first in line are those that are just too late:
    serving them first makes every one behind them late as well.
    """
    objective_s = state.job.objective_s()
    end_s = now_s + remaining_chain_s(state) - state.accepted_at_s
    if end_s <= objective_s:
        return 0
    return 1 if end_s <= WORTHLESS_AFTER_RATIO * objective_s else 2


def remaining_chain_s(state: JobState) -> float:
    """Return the estimated length of the longest chain of steps not yet done."""
    steps = state.occurrences.get(0)
    if steps is None:
        return state.job.chain_s()
    ends: list[float] = []
    for step in steps:
        begin_s = max((ends[number] for number in step.step.after), default=0.0)
        ends.append(begin_s if step.done else begin_s + step.step.estimate_s)
    return max(ends, default=0.0)


def _place_step(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    usable: list[WorkerState],
    misfits: Misfits,
    now_s: float,
) -> None:
    service = cell.services.get(state.job.queue.name, state.job.queue.service)
    workers = [
        w for w in usable if w.listing.service == service and suits(step.step, w)
    ]
    tickets: dict[str, str] = {}
    if state.job.queue.advice is not None:
        tickets = _tickets(cell, decision, step, workers, now_s)
        workers = [w for w in workers if w.worker_id in tickets]
    if not workers and not step.step.lasting:
        return
    if step.step.gang:
        _place_gang(cell, decision, state, step, workers, tickets, now_s)
        return
    ranking = Ranking(step.key.job_id, step.step, cell.model, _used(step))
    hopeless = misfits.covers(service, step.step)
    if not hopeless:
        ranking.fill(workers)
    for task in step.waiting():
        home = cell.separator.reserved(task.key)
        if home is not None:
            _start_at_home(cell, decision, state, step, task, home, now_s)
            continue
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            misfits.add(service, step.step)
            _no_room(cell, decision, state, step, workers, now_s)
            return
        if step.step.filler and not _has_spare(worker, step):
            return
        _start(cell, decision, state, step, task, worker, tickets, now_s)
        ranking.booked(worker)


def _start_at_home(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    task: Task,
    home: WorkerState,
    now_s: float,
) -> None:
    """Start a task where room is reserved for it, once that room is free."""
    if not home.usable(now_s):
        cell.separator.settle(task.key)
        return
    charge = step.step.charge
    if not charge.fits_in(home.listing.capacity - home.taken):
        return
    cell.separator.settle(task.key)
    most = step.step.per_worker_max
    if not most or step_count(home, task.key) < most:
        _start(cell, decision, state, step, task, home, {}, now_s)


def _no_room(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> None:
    """Look for another way for tasks that found no worker."""
    if step.step.filler:
        _place_slow(cell, decision, state, step, workers, now_s)
    elif step.step.lasting:
        _place_on_resting(cell, decision, state, step, now_s)
    elif _chance(state, now_s) == 0:
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
    service = cell.services.get(state.job.queue.name, state.job.queue.service)
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
    ranking = Ranking(step.key.job_id, step.step, cell.model, _used(step))
    ranking.fill(resting)
    for task in step.waiting():
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            return
        _start(cell, decision, state, step, task, worker, {}, now_s)
        ranking.booked(worker)


def _place_slow(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> None:
    """Place one filler that disturbs wherever it goes, at a pace that does not."""
    waited_s = now_s - (step.ready_at_s or now_s)
    waiting = step.waiting()
    if not waiting or waited_s < IDLE_JOB_AFTER_S:
        return
    share_min = SLOW_SHARE_MIN
    if not state.runs() and cell.use_ratio() < IDLE_CELL_RATIO:
        # Guards against a job that waits for ever in a cell with most of its
        # room free, because every worker serves an image that it disturbs.
        share_min = 0.0
    elif waited_s < SLOW_AFTER_S:
        return
    place = choose_slow(step.step, workers, cell.model, share_min)
    if place is None:
        return
    worker, share = place
    _start(cell, decision, state, step, waiting[0], worker, {}, now_s)
    percent = max(FIRST_PACE_MIN_PERCENT, round(100 * share))
    decision.starts[-1].first_pace_percent = percent


def _has_spare(worker: WorkerState, step: StepState) -> bool:
    needed = FILLER_SPARE_RATIO * step.step.need.cpu_millis
    return worker.filler_cpu_millis == 0 or worker.spare_cpu_millis() >= needed


def _used(step: StepState) -> dict[str, int]:
    used: dict[str, int] = {}
    for task in step.tasks:
        if task.run is not None:
            used[task.run.worker_id] = used.get(task.run.worker_id, 0) + 1
    return used


def _tickets(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> dict[str, str]:
    allowance = cell.advice.given.get(step.key)
    if allowance is not None and allowance.valid_until_s > now_s:
        with_room = {w.worker_id for w in workers if _fits(step, w)}
        if with_room & allowance.tickets.keys():
            return allowance.tickets
    if cell.advice.may_ask(step.key, now_s):
        room = [w.worker_id for w in workers if _fits(step, w)]
        asked = tuple(room[: cell.settings.advice_workers])
        if asked:
            cell.advice.asked.add(step.key)
            decision.questions.append(AdviceQuestion(step.key, asked))
    return {}


def _fits(step: StepState, worker: WorkerState) -> bool:
    return step.step.charge.fits_in(worker.free())


def _place_gang(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    workers: list[WorkerState],
    tickets: dict[str, str],
    now_s: float,
) -> None:
    """Place all members at once, on one rack if that is asked for, or none."""
    if any(task.run is not None for task in step.tasks):
        return
    for group in _gang_rooms(step, workers):
        chosen = _trial(cell, step, group)
        if chosen is not None:
            break
    else:
        return
    number = max(task.last_run for task in step.tasks) + 1
    checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
    for task, worker in zip(step.tasks, chosen, strict=True):
        task.last_run = number - 1
        task.checkpoint = checkpoint
        _start(cell, decision, state, step, task, worker, tickets, now_s)


def _gang_rooms(
    step: StepState, workers: list[WorkerState]
) -> Iterator[list[WorkerState]]:
    if step.step.one_rack:
        for rack in sorted({w.listing.rack for w in workers}):
            yield [w for w in workers if w.listing.rack == rack]
    yield workers


def _trial(
    cell: "Scheduler", step: StepState, workers: list[WorkerState]
) -> list[WorkerState] | None:
    """Book each member for a moment; return the workers, or nothing."""
    ranking = Ranking(step.key.job_id, step.step, cell.model, {})
    ranking.fill(workers)
    booked: list[tuple[WorkerState, Run]] = []
    for task in step.tasks:
        worker = ranking.choose(task.key, task.last_worker_id)
        if worker is None:
            break
        run = Run(task.key, 0, worker.worker_id, step.step, step.step.charge)
        worker.add(run)
        booked.append((worker, run))
        ranking.booked(worker)
    for worker, run in booked:
        worker.remove(run)
    if len(booked) < len(step.tasks):
        return None
    return [worker for worker, _ in booked]


def _start(
    cell: "Scheduler",
    decision: Decision,
    state: JobState,
    step: StepState,
    task: Task,
    worker: WorkerState,
    tickets: dict[str, str],
    now_s: float,
) -> None:
    task.last_run += 1
    run = Run(task.key, task.last_run, worker.worker_id, step.step, step.step.charge)
    run.checkpoint = task.checkpoint
    run.ticket = tickets.get(worker.worker_id, "")
    run.placed_at_s = now_s
    task.run = run
    worker.add(run)
    if step.step.tail_target_s:
        # The job's other tasks say how loaded its users are: without them, fillers
        # would stay away from here until the first report.
        cell.pacer.note_own(worker, now_s)
    if not state.started:
        state.started = True
        state.status = JobStatus.ACTIVE
    cell.dirty.add(state.job.job_id)
    decision.starts.append(run)
    detail: dict[str, object] = {
        "task": task.key,
        "run": run.number,
        "worker": worker.worker_id,
        "waited_s": round(now_s - (step.ready_at_s or now_s), 3),
        "report_age_s": round(now_s - worker.last_report_at_s, 3),
        "free_cpu_millis": worker.free().cpu_millis,
    }
    cell.note(Note("start", state.job.job_id, detail))
