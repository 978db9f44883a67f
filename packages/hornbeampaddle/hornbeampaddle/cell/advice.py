"""
Keep the advice of the service that says which workers may run a step.

Which workers may run a step never changes during their lives; only tickets
expire. So what was answered about a worker is kept until the step is done, and
a question names only workers that nothing is known of, or whose ticket is over, and
again those that were new when they were first named.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import AdviceQuestion, Decision
from .jobs import StepKey, TaskKey
from .placing import allowed_share
from .progress import StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# The service of advice answers one question at a time for each caller: after a
# question without an answer it may be busy or away.
ADVICE_PAUSE_S = 0.3
# The service may learn of a new worker up to this much later than the holder.
DISCOVERY_DELAY_S = 5.0


@dataclass(frozen=True, slots=True)
class Allowance:
    """Which workers may run a step, each with its ticket, until when."""

    tickets: dict[str, str]
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a start on one worker carries, and until when."""

    text: str
    valid_until_s: float


@dataclass(slots=True)
class StepAdvice:
    """
    What is known of one step.

    ``allowed`` holds the last ticket of each worker that may run the step,
    ``refused`` the workers that may not, ``asked`` those of the open question,
    ``ask_again_at_s`` when to ask again about each worker that the service may not
    have known.
    """

    allowed: dict[str, Ticket] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    asked: tuple[str, ...] = ()
    ask_again_at_s: dict[str, float] = field(default_factory=dict)
    rests_until_s: float = float("-inf")

    def take(self, allowance: Allowance) -> None:
        """Take in an answer beside those that came before."""
        until_s = allowance.valid_until_s
        for worker_id, text in allowance.tickets.items():
            self.allowed[worker_id] = Ticket(text, until_s)
            self.ask_again_at_s.pop(worker_id, None)
        missing = set(self.asked) - allowance.tickets.keys()
        self.refused.update(missing - self.ask_again_at_s.keys())

    def valid(self, now_s: float) -> dict[str, str]:
        """Return the tickets that have not expired, by worker."""
        return {
            worker_id: ticket.text
            for worker_id, ticket in self.allowed.items()
            if ticket.valid_until_s > now_s
        }

    def keep(self, worker_ids: Collection[str]) -> None:
        """Forget the workers that are gone; a lasting step outlives many."""
        self.refused.intersection_update(worker_ids)
        for worker_id in self.ask_again_at_s.keys() - worker_ids:
            del self.ask_again_at_s[worker_id]
        for worker_id in self.allowed.keys() - worker_ids:
            del self.allowed[worker_id]


@dataclass(slots=True)
class AdviceBook:
    """Advice that was given, and questions that are open."""

    steps: dict[StepKey, StepAdvice] = field(default_factory=dict)

    def about(self, step: StepKey) -> StepAdvice:
        """Return what is known of a step."""
        return self.steps.setdefault(step, StepAdvice())

    def answer(self, step: StepKey, allowance: Allowance | None, now_s: float) -> None:
        """Take in an answer; nothing means that none came."""
        advice = self.about(step)
        if allowance is None:
            advice.rests_until_s = now_s + ADVICE_PAUSE_S
            for worker_id in advice.asked:
                advice.ask_again_at_s.pop(worker_id, None)
        else:
            advice.take(allowance)
        advice.asked = ()

    def close(self, step: StepKey) -> None:
        """Forget a step that needs no worker any more."""
        self.steps.pop(step, None)

    def drop(self, key: TaskKey, worker_id: str) -> None:
        """Forget a worker's ticket for a task's step; it did not accept it."""
        advice = self.steps.get(StepKey(*key[:3]))
        if advice is not None:
            advice.allowed.pop(worker_id, None)


def tickets(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> dict[str, str]:
    """
    Return the ticket of each worker with room that may run a step.

    While these have no room for all tasks that wait, a question about others
    goes out with the decision.
    """
    advice = cell.advice.about(step.key)
    valid = advice.valid(now_s)
    room = [w for w in workers if _fits(step, w)]
    open_ = [w for w in room if w.worker_id in valid]
    may_ask = not advice.asked and advice.rests_until_s <= now_s
    if may_ask and not _holds_all(cell, step, open_):
        _ask(cell, decision, step, advice, room, valid, now_s)
    return {w.worker_id: valid[w.worker_id] for w in open_}


def _ask(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    advice: StepAdvice,
    room: list[WorkerState],
    valid: dict[str, str],
    now_s: float,
) -> None:
    """
    Ask about workers with room whose part in the step is not known.

    Guards against a step that waits for ever beside workers that may run it:
    the same first workers named in each question would hide all others. Each
    worker that may not run the step is named once, a new one again later, so the
    questions come to everyone, and then end.
    """
    advice.keep(cell.workers.keys())
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
    Set when to ask again about new workers that the answer may leave out.

    Guards against a step that never starts because a worker that the service did not
    know yet is taken as refused.
    """
    for name in advice.asked:
        if now_s - cell.workers[name].listed_at_s < DISCOVERY_DELAY_S:
            advice.ask_again_at_s[name] = now_s + DISCOVERY_DELAY_S
        else:
            advice.ask_again_at_s.pop(name, None)


def _holds_all(cell: "Scheduler", step: StepState, workers: list[WorkerState]) -> bool:
    """
    Tell whether workers have room for every task of a step that waits.

    Guards against a gang that waits for ever, or tasks that wait longer than
    they must, because one allowed worker with room for some was found.
    """
    missing = len(step.waiting())
    for worker in workers:
        missing -= _slots(cell, step, worker, missing)
        if missing <= 0:
            return True
    return False


def _slots(cell: "Scheduler", step: StepState, worker: WorkerState, most: int) -> int:
    """Count the tasks of a step, up to some number, that may start on a worker."""
    wanted = step.step
    if wanted.filler and allowed_share(wanted, worker, cell.model) < 1.0:
        return 0
    if wanted.per_worker_max:
        here = sum(
            task.run is not None and task.run.worker_id == worker.worker_id
            for task in step.tasks
        )
        most = min(most, wanted.per_worker_max - here)
    while most > 0 and not wanted.charge.times(most).fits_in(worker.free()):
        most -= 1
    return max(0, most)


def _fits(step: StepState, worker: WorkerState) -> bool:
    return step.step.charge.fits_in(worker.free())
