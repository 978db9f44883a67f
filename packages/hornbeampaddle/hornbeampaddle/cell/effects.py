"""Define the effects of a scheduling decision: records, orders and log entries."""

from dataclasses import dataclass, field

from .backlog import Backlog
from .incarnations import WorkerId
from .jobs import StepKey, TaskKey
from .progress import Run


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An order to a worker to stop an attempt."""

    run: Run
    worker_id: WorkerId
    reason: str


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """An order to a worker to run a filler at ``percent`` of its full speed."""

    run: Run
    worker_id: WorkerId
    percent: int


@dataclass(frozen=True, slots=True)
class AdviceQuestion:
    """A question to the advice service: which of these workers may run a step."""

    step: StepKey
    worker_ids: tuple[WorkerId, ...]


@dataclass(slots=True)
class Decision:
    """
    The outcome of one scheduling pass over the cell.

    The effects must happen in this order: ``records`` are stored first, in one append;
    ``starts`` are sent only after that append has been acknowledged. Stops, paces and
    questions need no record. ``births_ms`` are changed births of workers by name, None
    to delete one, stored with the records. So is ``lapses``, if given: the
    seconds left of the lease of each silent worker. ``backlog`` replaces what was
    published of the queues' backlogs, if given; nothing depends on it. ``late_starts``
    are the runs, by task and number, whose starts may be sent again once the records
    are stored: they tell that an earlier copy may be carried out late.
    """

    records: dict[str, bytes | None] = field(default_factory=dict)
    starts: list[Run] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)
    paces: list[PaceOrder] = field(default_factory=list)
    questions: list[AdviceQuestion] = field(default_factory=list)
    lapses: dict[WorkerId, float] | None = None
    births_ms: dict[str, int | None] = field(default_factory=dict)
    backlog: Backlog | None = None
    late_starts: frozenset[tuple[TaskKey, int]] = frozenset()


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry for the log: the event, the job if any, and the details."""

    event: str
    job_id: str
    detail: dict[str, object]
