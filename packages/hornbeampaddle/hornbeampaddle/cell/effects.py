"""Define what the scheduler wants done, in the order in which it must happen."""

from dataclasses import dataclass, field

from .jobs import StepKey
from .progress import Run


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Tell a worker to end an attempt."""

    run: Run
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Tell a worker to let a filler work at a share of its speed."""

    run: Run
    worker_id: str
    percent: int


@dataclass(frozen=True, slots=True)
class AdviceQuestion:
    """Ask which of these workers may run a step."""

    step: StepKey
    worker_ids: tuple[str, ...]


@dataclass(slots=True)
class Decision:
    """
    The outcome of one look at the cell.

    ``records`` are stored first, in one append; ``starts`` are sent only after
    that has been acknowledged. Stops, paces and questions need no record.
    ``lapses``, if given, is stored with the records: the seconds left of the lease of
    each silent worker.
    """

    records: dict[str, bytes | None] = field(default_factory=dict)
    starts: list[Run] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)
    paces: list[PaceOrder] = field(default_factory=list)
    questions: list[AdviceQuestion] = field(default_factory=list)
    lapses: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Note:
    """One change of belief, for the log: what, about which request, and why."""

    event: str
    job_id: str
    detail: dict[str, object]
