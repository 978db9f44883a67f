"""
Specification of how a task passes from an owner to its successor.

There are one task and two workers. The old owner starts the task on the first worker
through that worker's decider; the successor may start it on the second. Messages stay
in transit for any length of time. Time passes in ticks that count all deadlines down
at the same rate. Clock rate differences are left to ``hornbeampaddle.clocks``, which
shortens each deadline by the largest error.

Each guard of the protocol can be removed; the checker must then find a violation of
the invariant that the guard protects.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

# Duration of an owner's authority, and of a task's lease.
AUTHORITY_TICKS = 2
LEASE_TICKS = 2

# State of the task on a worker.
NOTHING, RUNNING, FINISHED = 0, 1, 2
# Phase of the successor.
IDLE, WAITING, ASKING, STARTED, SETTLED = 0, 1, 2, 3, 4

FIELDS = (
    "succession",  # the log contains the succession
    "owner_left",  # ticks left of the old owner's authority
    "order_left",  # ticks left of the order in transit to the decider; -1 none
    "start_epoch",  # epoch of the start in transit to the worker; 0 none
    "start_left",  # ticks left of the lease that the start requests
    "decider_left",  # ticks left of the old owner's authority as known to the decider
    "decider_holds",  # the old decider's allocation table contains the attempt
    "epoch",  # the first worker's epoch: 1 old decider, 2 successor's
    "first",  # state of the task on the first worker
    "lease_left",  # ticks left of the attempt's lease on the first worker
    "known",  # the first worker still lists the finished attempt
    "durable",  # the log contains the task's end
    "listed",  # the instance list contains the first worker
    "phase",  # phase of the successor
    "wait_left",  # ticks until the old owner is certain to have stopped
    "over_left",  # ticks until all its leases are certain to have expired
    "inventory",  # the first worker's: 0 none yet, 1 no attempt, 2 running, 3 finished
    "second",  # state of the task on the second worker
    "again",  # the task was started after it had finished
)


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; the implementation has all of them."""

    order_deadline: bool = True
    successor_waits: bool = True
    successor_waits_lease: bool = True
    stale_epoch_refused: bool = True
    lapsed_lease_refused: bool = True
    inventory_before_start: bool = True
    inventory_after_wait: bool = True
    renewal_needs_authority: bool = True
    acknowledge_when_durable: bool = True
    log_read_before_start: bool = True
    authority_needs_clear_log: bool = True
    no_promise_once_succeeded: bool = True
    promises_only_prolong: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model."""

    succession: int = 0
    owner_left: int = AUTHORITY_TICKS
    order_left: int = -1
    start_epoch: int = 0
    start_left: int = 0
    decider_left: int = AUTHORITY_TICKS
    decider_holds: int = 0
    epoch: int = 1
    first: int = NOTHING
    lease_left: int = 0
    known: int = 0
    durable: int = 0
    listed: int = 1
    phase: int = IDLE
    wait_left: int = 0
    over_left: int = 0
    inventory: int = 0
    second: int = NOTHING
    again: int = 0

    def values(self) -> tuple[int, ...]:
        """Return the state as the tuple that the checker uses."""
        return tuple(getattr(self, name) for name in FIELDS)


Steps = list[tuple[str, State]]


def _count_down(left: int) -> int:
    return max(0, left - 1)


def _tick(s: State, guards: Guards) -> Steps:
    lease_left = _count_down(s.lease_left)
    first = s.first
    if first == RUNNING and lease_left == 0:
        first = NOTHING
    after = replace(
        s,
        owner_left=_count_down(s.owner_left),
        order_left=s.order_left if s.order_left < 0 else _count_down(s.order_left),
        start_left=_count_down(s.start_left),
        decider_left=_count_down(s.decider_left),
        first=first,
        lease_left=lease_left,
        wait_left=_count_down(s.wait_left),
        over_left=_count_down(s.over_left) if s.wait_left == 0 else s.over_left,
    )
    return [("tick", after)]


def _old_owner(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if not s.succession or not guards.authority_needs_clear_log:
        steps.append(("owner reads the log", replace(s, owner_left=AUTHORITY_TICKS)))
    if s.owner_left > 0:
        heard = max(s.decider_left, s.owner_left)
        steps.append(("owner is heard", replace(s, decider_left=heard)))
    fresh = s.order_left < 0 and s.start_epoch == 0 and not s.decider_holds
    if s.owner_left > 0 and fresh and s.first == NOTHING and not s.durable:
        steps.append(("owner orders", replace(s, order_left=s.owner_left)))
    if s.first == FINISHED and not s.durable and not s.succession:
        steps.append(("owner records the end", replace(s, durable=1)))
    return steps


def _old_decider(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if s.order_left >= 0:
        valid = s.order_left > 0 or not guards.order_deadline
        if valid and not s.decider_holds:
            sent = replace(
                s, order_left=-1, start_epoch=1, start_left=LEASE_TICKS, decider_holds=1
            )
            steps.append(("decider starts", sent))
        steps.append(("order is dropped", replace(s, order_left=-1)))
    renews = s.decider_left > 0 or not guards.renewal_needs_authority
    if s.first == RUNNING and s.decider_holds and renews and s.epoch == 1:
        steps.append(("decider renews", replace(s, lease_left=LEASE_TICKS)))
    may_forget = s.durable or not guards.acknowledge_when_durable
    if s.first == FINISHED and s.known and may_forget:
        steps.append(("end is acknowledged", replace(s, known=0)))
    return steps


def _first_worker(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    if s.start_epoch:
        fenced = s.start_epoch < s.epoch and guards.stale_epoch_refused
        late = s.start_left == 0 and guards.lapsed_lease_refused
        if not fenced and not late and s.first == NOTHING:
            lease_left = max(1, s.start_left)
            begun = replace(s, start_epoch=0, first=RUNNING, lease_left=lease_left)
            steps.append(("worker begins", begun))
        steps.append(("start is lost", replace(s, start_epoch=0)))
    if s.first == RUNNING:
        ended = replace(s, first=FINISHED, known=1, lease_left=0)
        steps.append(("worker finishes", ended))
    if s.listed and s.first != FINISHED:
        steps.append(("worker leaves the list", replace(s, listed=0)))
    return steps


def _inventory_answer(s: State) -> int:
    """Return the inventory that the first worker would report now."""
    if s.first == RUNNING:
        return 2
    if s.first == FINISHED and s.known:
        return 3
    return 1


def _peer_promise(s: State, guards: Guards) -> Steps:
    """
    Let the potential successor prolong the old owner's authority.

    A restarted peer knows of no succession until it has read the log. The checker lets
    it grant authority in that state, and the old owner must disregard it.
    """
    knows = s.phase == WAITING and guards.no_promise_once_succeeded
    lapsed = s.owner_left == 0 and guards.promises_only_prolong
    if knows or lapsed:
        return []
    new_life = s.phase in (STARTED, SETTLED)
    if s.phase == IDLE or new_life or not guards.no_promise_once_succeeded:
        promised = replace(s, owner_left=AUTHORITY_TICKS)
        return [("peer promises", promised)]
    return []


def _successor(s: State, guards: Guards) -> Steps:
    steps: Steps = []
    steps.extend(_peer_promise(s, guards))
    if s.phase == IDLE and not s.succession:
        wait = AUTHORITY_TICKS if guards.successor_waits else 0
        lease = LEASE_TICKS if guards.successor_waits_lease else 0
        after = replace(s, succession=1, phase=WAITING, wait_left=wait, over_left=lease)
        steps.append(("successor records", after))
    may_ask = s.wait_left == 0 or not guards.inventory_after_wait
    if s.phase == WAITING and may_ask and s.inventory == 0:
        # The inventory comes from the old decider, whose epoch is still valid and whose
        # answer includes its own starts in transit, or from a claim by the successor.
        if s.epoch == 1:
            seen = 2 if s.start_epoch else _inventory_answer(s)
            steps.append(("old decider answers", replace(s, inventory=seen)))
        claimed = replace(s, epoch=2, inventory=_inventory_answer(s))
        steps.append(("successor claims", claimed))
    if s.phase == WAITING and s.inventory == 3:
        steps.append(("successor settles", replace(s, phase=SETTLED)))
    if s.phase == WAITING and s.durable:
        steps.append(("successor reads the end", replace(s, phase=SETTLED)))
    # The log is read again once everything else is certain.
    recorded = s.durable and guards.log_read_before_start
    certain = s.wait_left == 0 and s.over_left == 0 and not recorded
    answered = s.inventory == 1 or not s.listed or not guards.inventory_before_start
    if s.phase == WAITING and certain and answered:
        # A worker that left the list keeps the results of its finished tasks. This is
        # documented behaviour, so the invariant excludes it.
        again = int(s.first == FINISHED and bool(s.listed))
        started = replace(s, phase=STARTED, second=RUNNING, again=again)
        steps.append(("successor starts", started))
    if s.phase == WAITING and s.inventory == 2 and s.first != RUNNING:
        # The adopted attempt is over, so the successor asks again.
        steps.append(("successor asks again", replace(s, inventory=0)))
    return steps


TRANSITION_PARTS = (_tick, _old_owner, _old_decider, _first_worker, _successor)


def protocol(guards: Guards) -> Protocol:
    """Return the specification under the given guards, for the checker."""

    def transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        s = State(*values)
        return [
            (label, after.values())
            for part in TRANSITION_PARTS
            for label, after in part(s, guards)
        ]

    return Protocol(
        name="takeover",
        candidate=False,
        fields=FIELDS,
        initial=State().values(),
        transitions=transitions,
        invariants={
            "never in two places": lambda d: (
                not (d["first"] == RUNNING and d["second"] == RUNNING)
            ),
            "finished work does not run again": lambda d: not d["again"],
        },
    )
