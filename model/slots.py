"""
Specification of how a worker's only slot passes between deciders and borrowers.

The worker does not count requests: it runs every request that carries its epoch.
Requests stay in transit for any length of time. The invariant is that the worker never
runs two at once; only the deciders' and borrowers' accounting ensures it.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

# Duration of a loan of the slot, and time until a request's deadline.
LOAN_TICKS = 2
REQUEST_TICKS = 3
# One more than the capacity is enough to violate the invariant.
RUNNING_EXPLORED_MAX = 2

FIELDS = (
    "epoch",  # the worker's epoch
    "old_used",  # the old decider counts its slot as used by itself
    "old_lent",  # the old decider counts its slot as lent
    "old_loan_left",  # ticks until the old decider's loan expires
    "borrower_left",  # ticks left in which the borrower may send a request
    "borrower_has",  # the borrower holds the loan and has not used it
    "flight_one",  # request in transit: 1 from the old decider, 2 from the borrower
    "flight_left",  # ticks left of that request's own deadline
    "running_old",  # requests running under epoch 1
    "run_left",  # ticks left until the old request's deadline
    "new_foreign",  # old requests that the new decider counts as running
    "new_used",  # the new decider uses the slot
    "running_new",  # requests running under epoch 2
    "grace",  # ticks that the old decider has counted since the loan expired
)


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; the implementation has all of them."""

    stale_epoch_refused: bool = True
    doubt_counts_as_used: bool = True
    borrower_checks_deadline: bool = True
    loan_settled_by_report: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model."""

    epoch: int = 1
    old_used: int = 0
    old_lent: int = 0
    old_loan_left: int = 0
    borrower_left: int = 0
    borrower_has: int = 0
    flight_one: int = 0
    flight_left: int = 0
    running_old: int = 0
    run_left: int = 0
    new_foreign: int = 0
    new_used: int = 0
    running_new: int = 0
    grace: int = 0

    def values(self) -> tuple[int, ...]:
        """Return the state as the tuple that the checker uses."""
        return tuple(getattr(self, name) for name in FIELDS)


Steps = list[tuple[str, State]]


def _count_down(left: int) -> int:
    return max(0, left - 1)


def _tick(s: State) -> Steps:
    after = replace(
        s,
        old_loan_left=_count_down(s.old_loan_left),
        borrower_left=_count_down(s.borrower_left),
        flight_left=_count_down(s.flight_left),
        run_left=_count_down(s.run_left),
        running_old=s.running_old if s.run_left > 1 else 0,
    )
    return [("tick", after)]


def _old_decider(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    free = not s.old_used and not s.old_lent
    if free and s.epoch == 1:
        own = replace(s, old_used=1, flight_one=1, flight_left=REQUEST_TICKS)
        if not s.flight_one:
            steps.append(("decider sends", own))
        lent = replace(
            s,
            old_lent=1,
            old_loan_left=LOAN_TICKS,
            borrower_left=LOAN_TICKS,
            borrower_has=1,
        )
        steps.append(("decider lends", lent))
    past = s.old_lent and s.old_loan_left == 0
    idle = s.running_old == 0
    # The report is requested after the loan expires. By then, a request that the
    # borrower sent in time has reached the worker or its deadline (see
    # ``flight_left``).
    settled = idle and s.flight_left == 0 if guards.loan_settled_by_report else True
    if past and settled and s.epoch == 1:
        steps.append(("loan is taken back", replace(s, old_lent=0)))
    if s.old_used and idle and not s.flight_one:
        steps.append(("decider's request ended", replace(s, old_used=0)))
    return steps


def _borrower(s: State, guards: Guards) -> Steps:
    in_time = s.borrower_left > 0 or not guards.borrower_checks_deadline
    if s.borrower_has and in_time and not s.flight_one:
        sent = replace(s, borrower_has=0, flight_one=2, flight_left=REQUEST_TICKS)
        return [("borrower sends", sent)]
    return []


def _worker(s: State, guards: Guards) -> Steps:
    if not s.flight_one:
        return []
    steps: Steps = [("request is lost", replace(s, flight_one=0, flight_left=0))]
    fenced = s.epoch > 1 and guards.stale_epoch_refused
    if not fenced and s.flight_left > 0 and s.running_old < RUNNING_EXPLORED_MAX:
        begun = replace(
            s,
            flight_one=0,
            flight_left=0,
            running_old=s.running_old + 1,
            run_left=s.flight_left,
        )
        steps.append(("request begins", begun))
    return steps


def _new_decider(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if s.epoch == 1:
        foreign = s.running_old if guards.doubt_counts_as_used else 0
        claimed = replace(s, epoch=2, new_foreign=foreign)
        steps.append(("new decider claims", claimed))
    if s.epoch == 2 and s.new_foreign > s.running_old:
        steps.append(("report", replace(s, new_foreign=s.running_old)))
    if s.epoch == 2 and not s.new_foreign and not s.new_used:
        used = replace(s, new_used=1, running_new=1)
        steps.append(("new decider sends", used))
    return steps


def protocol(guards: Guards) -> Protocol:
    """Return the specification under the given guards, for the checker."""

    def transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        s = State(*values)
        steps = [
            *_tick(s),
            *_old_decider(s, guards),
            *_borrower(s, guards),
            *_worker(s, guards),
            *_new_decider(s, guards),
        ]
        return [(label, after.values()) for label, after in steps]

    return Protocol(
        name="slots",
        candidate=False,
        fields=FIELDS,
        initial=State().values(),
        transitions=transitions,
        invariants={
            "never more than the worker holds": lambda d: (
                d["running_old"] + d["running_new"] <= 1
            ),
        },
    )
