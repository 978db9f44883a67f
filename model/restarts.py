"""
Specification of a worker that starts again under its id while a task is under way.

The holder, the worker that it selected and another worker take steps in any order. The
start stays in transit for any length of time, and whichever incarnation is alive then
carries it out. The worker's first incarnation has listed one end before, which was
acknowledged; the second one numbers its ends anew. A renewal to the first incarnation
stays in transit, too, and prolongs the lease of the second one. Left out are second
copies of a start, which a new incarnation may carry out before the holder has reached
it: their tasks' ends are not acknowledged meanwhile.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

from .cell import FORGOTTEN, LISTED, NOTHING, TASK_INVARIANTS

# The last end that was acknowledged to the first incarnation, and the number of the
# task's end on the second.
ACKNOWLEDGED_BEFORE = 1
NUMBER_ON_SECOND = 1
# What the holder believes of the run.
WAITS = 0
BOOKED = 1
UNSETTLED = 2
RELEASED = 3
DONE = 4

FIELDS = (
    "incarnation",  # of the worker: 1 or 2
    "known",  # the incarnation that the holder knows
    "order",  # the start is in transit
    "answered",  # the start was answered
    "reported",  # a report of the known incarnation has listed the run
    "running",  # the worker runs the task
    "barred",  # the worker refuses the start, for it has ended or stopped the run
    "end",  # the run's end as the worker lists it
    "belief",  # what the holder believes of the run
    "running_there",  # the other worker runs the task
    "acknowledged",  # the end was acknowledged to the worker
    "renewal",  # a renewal to the first incarnation is in transit
    "prolonged",  # it has prolonged the lease of the second one
)


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; the implementation has all of them."""

    births_compared: bool = True
    acknowledged_over_same_connection: bool = True
    unsettled_start_stopped_first: bool = True
    unreported_run_carried_over: bool = True
    late_renewals_waited_out: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model."""

    incarnation: int = 1
    known: int = 1
    order: int = 0
    answered: int = 0
    reported: int = 0
    running: int = 0
    barred: int = 0
    end: int = NOTHING
    belief: int = WAITS
    running_there: int = 0
    acknowledged: int = 0
    renewal: int = 1
    prolonged: int = 0

    def values(self) -> tuple[int, ...]:
        """Return the state as the tuple that the checker uses."""
        return tuple(getattr(self, name) for name in FIELDS)


Steps = list[tuple[str, State]]


def _worker(s: State) -> Steps:
    steps: Steps = []
    if s.order and not s.running and not s.barred:
        begun = replace(s, order=0, running=1)
        steps.append(("worker starts, the answer is lost", begun))
        if s.belief == BOOKED:
            steps.append(("worker starts", replace(begun, answered=1)))
    if s.running:
        done = replace(s, running=0, barred=1, end=LISTED)
        steps.append(("worker is done", done))
    if s.incarnation == 1:
        again = replace(s, incarnation=2, running=0, barred=0, end=NOTHING)
        steps.append(("worker starts again", again))
    if s.renewal:
        late = replace(s, renewal=0, prolonged=int(s.incarnation == 2))
        steps.append(("renewal arrives or is lost", late))
    return steps


def _holder(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if s.belief == WAITS:
        steps.append(("holder sends the start", replace(s, belief=BOOKED, order=1)))
    if s.belief in (BOOKED, UNSETTLED):
        after = _report(s, guards) if s.known == s.incarnation else _first(s, guards)
        steps.append(("holder gets a report", after))
    if s.belief == UNSETTLED:
        stopped = replace(s, belief=RELEASED, running=0, barred=1)
        steps.append(("holder stops the run", stopped))
    # The lease of the second incarnation, as the holder renewed it, runs out.
    uncertain = guards.late_renewals_waited_out and (s.renewal or s.prolonged)
    if s.belief == BOOKED and s.known == 2 and s.running and not uncertain:
        lapsed = replace(s, belief=RELEASED, running=s.prolonged)
        steps.append(("holder counts the lease as over", lapsed))
    if s.belief == RELEASED and not s.running_there:
        steps.append(("holder starts elsewhere", replace(s, running_there=1)))
    return steps


def _report(s: State, guards: Guards) -> State:
    """Return the state after a report of the incarnation that the holder knows."""
    if s.end == LISTED:
        return replace(s, belief=DONE, end=FORGOTTEN, acknowledged=1)
    if s.running:
        return replace(s, belief=BOOKED, reported=1)
    gone = s.belief == BOOKED and (s.answered or s.reported)
    return replace(s, belief=RELEASED) if gone else s


def _first(s: State, guards: Guards) -> State:
    """Return the state after the first report of the second incarnation."""
    new_connection = guards.acknowledged_over_same_connection
    known_end = NUMBER_ON_SECOND <= ACKNOWLEDGED_BEFORE
    s = replace(s, known=2)
    if s.end == LISTED and known_end and not new_connection:
        # The request drops the end before the answer lists it.
        s = replace(s, end=FORGOTTEN, acknowledged=1)
    if s.end == LISTED and known_end and not guards.births_compared:
        # The end is taken for one that was counted, and acknowledged next.
        return replace(s, end=FORGOTTEN, acknowledged=1, belief=RELEASED)
    if s.reported or (s.answered and not guards.unreported_run_carried_over):
        return replace(s, belief=RELEASED)
    if s.end == LISTED or s.running:
        return _report(s, guards)
    settles = guards.unsettled_start_stopped_first
    return replace(s, belief=UNSETTLED if settles else RELEASED)


def protocol(guards: Guards) -> Protocol:
    """Return the specification under the given guards, for the checker."""

    def transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        s = State(*values)
        steps = [*_worker(s), *_holder(s, guards)]
        return [(label, after.values()) for label, after in steps]

    return Protocol(
        name="restarts",
        candidate=False,
        fields=FIELDS,
        initial=State().values(),
        transitions=transitions,
        invariants=TASK_INVARIANTS,
    )
