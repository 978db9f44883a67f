"""
Cache answers of the advice service on which workers may run a step.

Whether a worker may run a step never changes during the worker's life; only its ticket
expires. So an answer about a worker is cached until the step is done. A question names
only workers without a cached answer, workers whose ticket has expired and, once more,
workers that were new when they were first asked about.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import AdviceQuestion, Decision
from .incarnations import WorkerId
from .jobs import StepKey, TaskKey
from .placing import allowed_share
from .progress import StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# Pause after a question without an answer. The advice service answers one question at a
# time for each caller, and may be busy or unreachable.
ADVICE_BACKOFF_S = 0.3
# Time by which the advice service may learn of a new worker later than the holder.
DISCOVERY_DELAY_S = 5.0


@dataclass(frozen=True, slots=True)
class Allowance:
    """An advice answer: tickets of the workers that may run a step, and expiry."""

    tickets: dict[WorkerId, str]
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Ticket:
    """Authorization to run a step on one worker, sent in the start order; expires."""

    text: str
    valid_until_s: float


@dataclass(slots=True)
class StepAdvice:
    """
    Cached answers about one step.

    ``allowed`` holds the latest ticket of each worker that may run the step,
    ``refused`` the workers that may not, ``asked`` those named in the open question.
    ``ask_again_at_s`` holds the time at which to ask again about each worker that the
    service may not have known yet. No question is sent before ``backoff_until_s``.
    """

    allowed: dict[WorkerId, Ticket] = field(default_factory=dict)
    refused: set[WorkerId] = field(default_factory=set)
    asked: tuple[WorkerId, ...] = ()
    ask_again_at_s: dict[WorkerId, float] = field(default_factory=dict)
    backoff_until_s: float = float("-inf")

    def merge(self, allowance: Allowance) -> None:
        """Add an answer to those received before."""
        until_s = allowance.valid_until_s
        for worker_id, text in allowance.tickets.items():
            self.allowed[worker_id] = Ticket(text, until_s)
            self.ask_again_at_s.pop(worker_id, None)
        missing = set(self.asked) - allowance.tickets.keys()
        self.refused.update(missing - self.ask_again_at_s.keys())

    def valid(self, now_s: float) -> dict[WorkerId, str]:
        """Return the tickets that have not expired, by worker id."""
        return {
            worker_id: ticket.text
            for worker_id, ticket in self.allowed.items()
            if ticket.valid_until_s > now_s
        }

    def retain(self, worker_ids: Collection[WorkerId]) -> None:
        """
        Remove all workers but these.

        A lasting step outlives many workers, and its entries would accumulate.
        """
        self.refused.intersection_update(worker_ids)
        for worker_id in self.ask_again_at_s.keys() - worker_ids:
            del self.ask_again_at_s[worker_id]
        for worker_id in self.allowed.keys() - worker_ids:
            del self.allowed[worker_id]


@dataclass(slots=True)
class AdviceCache:
    """Answers of the advice service and open questions, by step."""

    steps: dict[StepKey, StepAdvice] = field(default_factory=dict)

    def for_step(self, step: StepKey) -> StepAdvice:
        """Return the cached answers about a step, empty for a new step."""
        return self.steps.setdefault(step, StepAdvice())

    def answer(self, step: StepKey, allowance: Allowance | None, now_s: float) -> None:
        """Process the answer to the open question, or None if there was no answer."""
        advice = self.for_step(step)
        if allowance is None:
            advice.backoff_until_s = now_s + ADVICE_BACKOFF_S
            for worker_id in advice.asked:
                advice.ask_again_at_s.pop(worker_id, None)
        else:
            advice.merge(allowance)
        advice.asked = ()

    def forget_step(self, step: StepKey) -> None:
        """Remove a step that needs no more workers."""
        self.steps.pop(step, None)

    def drop_ticket(self, key: TaskKey, worker_id: WorkerId) -> None:
        """Remove a worker's ticket for a task's step, which the worker rejected."""
        advice = self.steps.get(StepKey(*key[:3]))
        if advice is not None:
            advice.allowed.pop(worker_id, None)


def tickets(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> dict[WorkerId, str]:
    """
    Return the ticket of each worker that may run a step and has room for it.

    If these workers have no room for all waiting tasks of the step, a question about
    other workers is added to the decision.
    """
    advice = cell.advice.for_step(step.key)
    valid = advice.valid(now_s)
    room = [w for w in workers if _fits(step, w)]
    allowed_workers = [w for w in room if w.worker_id in valid]
    may_ask = not advice.asked and advice.backoff_until_s <= now_s
    if may_ask and not _have_room_for_all(cell, step, allowed_workers):
        _ask(cell, decision, step, advice, room, valid, now_s)
    return {w.worker_id: valid[w.worker_id] for w in allowed_workers}


def _ask(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    advice: StepAdvice,
    room: list[WorkerState],
    valid: dict[WorkerId, str],
    now_s: float,
) -> None:
    """
    Ask about workers that have room and no valid cached answer.

    Naming the same first workers in each question would never reach the others, and a
    step would wait for ever although workers may run it. So each worker that may not
    run the step is named once, and a new worker once more later: the questions reach
    every worker and then end.
    """
    advice.retain(cell.workers.keys())
    names = [w.worker_id for w in room]
    again = [name for name in names if name in advice.allowed and name not in valid]
    known = advice.allowed.keys() | advice.refused
    asked = again + [name for name in names if name not in known]
    asked = [name for name in asked if advice.ask_again_at_s.get(name, 0.0) <= now_s]
    advice.asked = tuple(asked[: cell.settings.advice_workers])
    _schedule_retries(cell, advice, now_s)
    if advice.asked:
        decision.questions.append(AdviceQuestion(step.key, advice.asked))


def _schedule_retries(cell: "Scheduler", advice: StepAdvice, now_s: float) -> None:
    """
    Set when to ask again about new workers that the answer may omit.

    The advice service may not know a new worker yet. If its absence from the answer
    counted as a refusal, the step might never start.
    """
    for name in advice.asked:
        if now_s - cell.workers[name].listed_at_s < DISCOVERY_DELAY_S:
            advice.ask_again_at_s[name] = now_s + DISCOVERY_DELAY_S
        else:
            advice.ask_again_at_s.pop(name, None)


def _have_room_for_all(
    cell: "Scheduler", step: StepState, workers: list[WorkerState]
) -> bool:
    """
    Return whether workers have room for every waiting task of a step.

    If one allowed worker with room for some tasks were enough to end the questions, a
    gang would wait for ever, and other tasks longer than necessary.
    """
    missing = len(step.waiting())
    for worker in workers:
        missing -= _startable_count(cell, step, worker, missing)
        if missing <= 0:
            return True
    return False


def _startable_count(
    cell: "Scheduler", step: StepState, worker: WorkerState, limit: int
) -> int:
    """Return how many tasks of a step may start on a worker, up to a limit."""
    wanted = step.step
    if wanted.filler and allowed_share(wanted, worker, cell.model) < 1.0:
        return 0
    if wanted.per_worker_max:
        here = sum(
            task.run is not None and task.run.worker_id == worker.worker_id
            for task in step.tasks
        )
        limit = min(limit, wanted.per_worker_max - here)
    while limit > 0 and not wanted.charge.times(limit).fits_in(worker.free()):
        limit -= 1
    return max(0, limit)


def _fits(step: StepState, worker: WorkerState) -> bool:
    return step.step.charge.fits_in(worker.free())
