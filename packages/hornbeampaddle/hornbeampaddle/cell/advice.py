"""Keep the advice of the service that says which workers may run a step."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import AdviceQuestion, Decision
from .jobs import StepKey, TaskKey
from .progress import StepState
from .workers import WorkerState

if TYPE_CHECKING:
    from .scheduler import Scheduler

# The service of advice answers one question at a time for each caller.
ADVICE_PAUSE_S = 0.3


@dataclass(frozen=True, slots=True)
class Allowance:
    """Which workers may run a step, each with its ticket, until when."""

    tickets: dict[str, str]
    valid_until_s: float


@dataclass(slots=True)
class AdviceBook:
    """Advice that was given, and questions that are open with the workers they name."""

    given: dict[StepKey, Allowance] = field(default_factory=dict)
    asked: dict[StepKey, tuple[str, ...]] = field(default_factory=dict)
    rested: dict[StepKey, float] = field(default_factory=dict)
    # Which workers may run a step does not change.
    refused: dict[StepKey, set[str]] = field(default_factory=dict)

    def answer(self, step: StepKey, allowance: Allowance | None, now_s: float) -> None:
        """Take in an answer; nothing means that none came."""
        asked = self.asked.pop(step, ())
        if allowance is None:
            self.rested[step] = now_s + ADVICE_PAUSE_S
            return
        self.given[step] = allowance
        refused = set(asked) - allowance.tickets.keys()
        self.refused.setdefault(step, set()).update(refused)

    def forget(self, step: StepKey) -> None:
        """Drop what is known of a step."""
        for book in (self.given, self.asked, self.rested, self.refused):
            book.pop(step, None)

    def drop(self, key: TaskKey) -> None:
        """Forget the advice on a task's step; a worker did not accept it."""
        self.given.pop(StepKey(*key[:3]), None)

    def may_ask(self, step: StepKey, now_s: float) -> bool:
        """Tell whether a question on this step may be sent now."""
        return step not in self.asked and self.rested.get(step, 0.0) <= now_s


def tickets(
    cell: "Scheduler",
    decision: Decision,
    step: StepState,
    workers: list[WorkerState],
    now_s: float,
) -> dict[str, str]:
    """
    Return the ticket of each worker that may run a step.

    Nothing is returned while no advice is there; the question goes out with the
    decision.
    """
    allowance = cell.advice.given.get(step.key)
    if allowance is not None and allowance.valid_until_s > now_s:
        with_room = {w.worker_id for w in workers if _fits(step, w)}
        if with_room & allowance.tickets.keys():
            return allowance.tickets
    if cell.advice.may_ask(step.key, now_s):
        # Guards against a job that waits for ever beside free workers: a question that
        # names those that were refused names the same few again and again.
        refused = cell.advice.refused.get(step.key, ())
        names = (w.worker_id for w in workers if _fits(step, w))
        room = [name for name in names if name not in refused]
        asked = tuple(room[: cell.settings.advice_workers])
        if asked:
            cell.advice.asked[step.key] = asked
            decision.questions.append(AdviceQuestion(step.key, asked))
    return {}


def _fits(step: StepState, worker: WorkerState) -> bool:
    return step.step.charge.fits_in(worker.free())
