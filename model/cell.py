"""
Specification of how a task passes from one holder of a cell to the next.

The log, the first holder, its successor, the worker that the first holder selected and
another worker take steps in any order. Orders stay in transit for any length of time;
the successor may or may not reach the first worker. Other ends may fill that worker's
answers until they are acknowledged, and keep out the end of this task. Time is counted
in ticks of a shared clock; the margins that the implementation adds for slow clocks are
left out.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

# Duration of a newly granted lease.
LEASE_TICKS = 4
# How long a holder may send orders after its last stored record.
HOLDER_LAPSE_TICKS = 1
# Silence of the holder after which a successor may claim the cell. It is longer than
# HOLDER_LAPSE_TICKS, so that the holder has stopped sending orders by then.
CLAIM_AFTER_TICKS = 2
# How long the successor waits for inherited leases, counted from its fence: more than
# one lease.
SUCCESSOR_WAIT_TICKS = LEASE_TICKS + 1

NOTHING = 0
# Record of the task in the log; NOTHING means none.
STARTED = 1
DONE = 2
# The end of the run as the first worker lists it; NOTHING means no end.
LISTED = 1
FORGOTTEN = 2
# Phase of the successor.
CLAIMED = 1
FENCED = 2
HOLDS = 3
# Answer of the first worker to the successor; NOTHING means none yet.
SAW_RUN = 1
SAW_END = 2
SAW_NOTHING = 3
# It was full of other ends: the task's may have been left out.
SAW_PART = 4

FIELDS = (
    "epoch",  # highest epoch that the log has accepted
    "record",  # the task's record in the log
    "silence",  # ticks since the first holder last stored a record
    "lapse_left",  # ticks left in which the first holder may send orders
    "first_sent",  # the first holder has sent the start
    "first_saw_end",  # the first holder has seen the end
    "order",  # the start is in transit
    "order_left",  # ticks until that order's deadline
    "token",  # highest token that the first worker has seen
    "running",  # the first worker runs the task
    "lease_left",  # ticks left of that run's lease
    "end",  # the end of the run as the first worker lists it
    "others",  # other ends come before it and fill the worker's answers
    "next_phase",  # phase of the successor
    "next_read",  # the task's record as the successor read it
    "next_saw",  # the first worker's answer to the successor
    "next_wait",  # ticks until every inherited lease has expired
    "running_there",  # the other worker runs the task for the successor
    "acknowledged",  # the end was acknowledged to the worker
)

# What holds for one task on a worker and on another one, whatever the specification.
TASK_INVARIANTS = {
    "a task never runs twice at a time": lambda d: (
        d["running"] + d["running_there"] <= 1
    ),
    "no run after an acknowledged end": lambda d: (
        not (d["acknowledged"] and d["running_there"])
    ),
}


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; the implementation has all of them."""

    record_before_start: bool = True
    holder_lapses: bool = True
    low_token_refused: bool = True
    late_start_refused: bool = True
    leases_waited_out: bool = True
    fence_before_read: bool = True
    end_recorded_before_acknowledged: bool = True
    left_out_ends_waited_for: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model."""

    epoch: int = 1
    record: int = NOTHING
    silence: int = 0
    lapse_left: int = HOLDER_LAPSE_TICKS
    first_sent: int = 0
    first_saw_end: int = 0
    order: int = 0
    order_left: int = 0
    token: int = 1
    running: int = 0
    lease_left: int = 0
    end: int = NOTHING
    others: int = 0
    next_phase: int = 0
    next_read: int = NOTHING
    next_saw: int = NOTHING
    next_wait: int = 0
    running_there: int = 0
    acknowledged: int = 0

    def values(self) -> tuple[int, ...]:
        """Return the state as the tuple that the checker uses."""
        return tuple(getattr(self, name) for name in FIELDS)


Steps = list[tuple[str, State]]


def _count_down(left: int) -> int:
    return max(0, left - 1)


def _tick(s: State) -> Steps:
    lapsed = s.running and s.lease_left <= 1
    after = replace(
        s,
        silence=min(CLAIM_AFTER_TICKS, s.silence + 1),
        lapse_left=_count_down(s.lapse_left),
        order_left=_count_down(s.order_left),
        lease_left=_count_down(s.lease_left),
        running=0 if lapsed else s.running,
        next_wait=_count_down(s.next_wait),
    )
    return [("tick", after)]


def _stored(s: State, record: int) -> State:
    """Return the state after the first holder stored a record, which ends silence."""
    return replace(s, record=record, silence=0, lapse_left=HOLDER_LAPSE_TICKS)


def _first_holder(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    stores = s.epoch == 1
    orders = s.lapse_left > 0 or not guards.holder_lapses
    if stores and s.record == NOTHING:
        steps.append(("first stores the start", _stored(s, STARTED)))
    recorded = s.record == STARTED or not guards.record_before_start
    if recorded and not s.first_sent and orders and s.record != DONE:
        sent = replace(s, first_sent=1, order=1, order_left=LEASE_TICKS)
        steps.append(("first sends the start", sent))
    if s.running and orders and s.token == 1:
        steps.append(("first renews", replace(s, lease_left=LEASE_TICKS)))
    if s.end == LISTED and not s.others and s.token == 1 and not s.first_saw_end:
        steps.append(("first sees the end", replace(s, first_saw_end=1)))
    if s.first_saw_end and stores and s.record == STARTED:
        steps.append(("first stores the end", _stored(s, DONE)))
    recorded = s.record == DONE or not guards.end_recorded_before_acknowledged
    if s.first_saw_end and recorded and s.end == LISTED and s.token == 1:
        gone = replace(s, end=FORGOTTEN, acknowledged=1)
        steps.append(("first acknowledges the end", gone))
    return steps


def _worker(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if s.order:
        steps.append(("the start is lost", replace(s, order=0)))
        fenced = s.token > 1 and guards.low_token_refused
        late = s.order_left == 0 and guards.late_start_refused
        if not fenced and not late and not s.running and s.end == NOTHING:
            begun = replace(s, order=0, running=1, lease_left=max(1, s.order_left))
            steps.append(("worker starts", begun))
    if s.running:
        steps.append(("worker is done", replace(s, running=0, end=LISTED)))
    if s.end == NOTHING and not s.next_phase and not s.others:
        steps.append(("other ends fill the answers", replace(s, others=1)))
    return steps


def _successor(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if not s.next_phase and s.silence >= CLAIM_AFTER_TICKS:
        steps.append(("next claims", replace(s, next_phase=CLAIMED)))
    if s.next_phase == CLAIMED:
        fenced = replace(s, epoch=2, next_phase=FENCED, next_wait=SUCCESSOR_WAIT_TICKS)
        steps.append(("next fences", fenced))
        if not guards.fence_before_read:
            read = replace(
                s, next_phase=HOLDS, next_read=s.record, next_wait=SUCCESSOR_WAIT_TICKS
            )
            steps.append(("next reads the log", read))
    if s.next_phase == FENCED:
        read = replace(s, next_phase=HOLDS, next_read=s.record)
        steps.append(("next reads the log", read))
    if s.next_phase >= FENCED and s.next_saw in (NOTHING, SAW_RUN, SAW_PART):
        answer = _worker_answer(s, guards)
        steps.append(("next asks the worker", replace(s, token=2, next_saw=answer)))
    if s.next_phase == HOLDS and s.token == 2:
        steps += _acknowledged_by_successor(s)
    if s.next_phase == HOLDS and _may_start(s, guards):
        steps.append(("next starts elsewhere", replace(s, running_there=1)))
    return steps


def _worker_answer(s: State, guards: Guards) -> int:
    if s.running:
        return SAW_RUN
    if s.others:
        return SAW_PART if guards.left_out_ends_waited_for else SAW_NOTHING
    return SAW_END if s.end == LISTED else SAW_NOTHING


def _acknowledged_by_successor(s: State) -> Steps:
    if s.others:
        return [("next acknowledges the other ends", replace(s, others=0))]
    if s.end != LISTED:
        return []
    # An end does not count if the lease has expired before it was acknowledged.
    counts = int(s.acknowledged or s.lease_left > 0)
    gone = replace(s, end=FORGOTTEN, next_saw=SAW_END, acknowledged=counts)
    return [("next acknowledges the end", gone)]


def _may_start(s: State, guards: Guards) -> bool:
    if s.next_read == DONE or s.running_there or s.next_saw in (SAW_RUN, SAW_END):
        return False
    if s.next_read == NOTHING or s.next_saw == SAW_NOTHING:
        return True
    return s.next_wait == 0 or not guards.leases_waited_out


def protocol(guards: Guards) -> Protocol:
    """Return the specification under the given guards, for the checker."""

    def transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        s = State(*values)
        steps = [
            *_tick(s),
            *_first_holder(s, guards),
            *_worker(s, guards),
            *_successor(s, guards),
        ]
        return [(label, after.values()) for label, after in steps]

    return Protocol(
        name="cell",
        candidate=False,
        fields=FIELDS,
        initial=State().values(),
        transitions=transitions,
        invariants=TASK_INVARIANTS,
    )
