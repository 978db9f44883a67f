"""
Specification of how a task that crashes its workers is given up, across holders.

The holder, its successors, the log and the workers take steps in any order. A holder
may crash at any time and any number of times; its memory is then lost, its stored
records are not. Each worker that receives the task crashes as it starts it.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

# Losses after which a task is given up.
LOSSES_MAX = 4
# Losses after which the number of further starts is bounded, and that bound.
LOSSES_BEFORE_BOUND = 3
STARTS_AFTER_BOUND_MAX = 2
# The checker explores one start beyond the bound, which is enough to violate it.
STARTS_EXPLORED_MAX = LOSSES_BEFORE_BOUND + STARTS_AFTER_BOUND_MAX + 1

# Phase of the newest run as the holder knows it.
WAITING = 0
STORED = 1
SENT = 2
# State of the newest run's worker.
ALIVE = 0
CRASHED = 1

FIELDS = (
    "log_run",  # number of the newest stored run
    "log_losses",  # number of stored losses
    "log_given_up",  # the job's end, as given up, is stored
    "holding",  # an instance holds the cell
    "losses",  # losses as the holder counts them
    "phase",  # phase of the newest run as the holder knows it
    "heard_run",  # the last run whose loss the holder has counted
    "in_flight",  # the newest run's start is in transit
    "worker",  # state of the newest run's worker
    "starts",  # number of times that a worker has started the task
    "unstored",  # losses are counted but not stored, without stored_with_next_start
)


@dataclass(frozen=True)
class Guards:
    """The guards of the protocol; the implementation has all of them."""

    stored_with_next_start: bool = True
    successor_counts_vanished: bool = True
    counted_by_run: bool = True
    gives_up: bool = True


@dataclass(frozen=True)
class State:
    """A state of the model."""

    log_run: int = 0
    log_losses: int = 0
    log_given_up: int = 0
    holding: int = 1
    losses: int = 0
    phase: int = WAITING
    heard_run: int = 0
    in_flight: int = 0
    worker: int = ALIVE
    starts: int = 0
    unstored: int = 0

    def values(self) -> tuple[int, ...]:
        """Return the state as the tuple that the checker uses."""
        return tuple(getattr(self, name) for name in FIELDS)


Steps = list[tuple[str, State]]


def _holder(s: State, guards: Guards) -> Steps:
    if not s.holding or s.log_given_up:
        return []
    steps: Steps = []
    if s.phase == WAITING:
        steps.append(_decide(s, guards))
    if s.phase == STORED:
        steps.append(("start is sent", replace(s, phase=SENT, in_flight=1)))
    if s.phase == SENT and s.worker == CRASHED:
        steps.append(("loss is heard", _count_loss(s)))
    repeated = not guards.counted_by_run and s.heard_run == s.log_run
    if s.phase == WAITING and s.log_run and repeated and s.losses < LOSSES_MAX:
        steps.append(("loss is heard again", replace(s, losses=s.losses + 1)))
    if s.unstored:
        stored = replace(s, log_losses=s.losses, unstored=0)
        steps.append(("losses are stored", stored))
    return steps


def _decide(s: State, guards: Guards) -> tuple[str, State]:
    if guards.gives_up and s.losses >= LOSSES_MAX:
        return "job is given up", replace(s, log_given_up=1)
    run = replace(s, log_run=s.log_run + 1, phase=STORED, worker=ALIVE)
    if guards.stored_with_next_start:
        run = replace(run, log_losses=s.losses)
    else:
        run = replace(run, unstored=int(s.losses > s.log_losses))
    return "run is stored", run


def _count_loss(s: State) -> State:
    return replace(s, phase=WAITING, losses=s.losses + 1, heard_run=s.log_run)


def _worker(s: State) -> Steps:
    if not s.in_flight:
        return []
    begun = replace(s, in_flight=0, worker=CRASHED, starts=s.starts + 1)
    return [("worker starts it and crashes", begun)]


def _succession(s: State, guards: Guards) -> Steps:
    if s.holding:
        gone = replace(s, holding=0, losses=0, heard_run=0, phase=WAITING, unstored=0)
        return [("holder dies", gone)] if not s.log_given_up else []
    # The successor's token makes workers refuse a start that is still in transit. The
    # successor asks the worker of the newest run, or finds that it is not listed.
    taken = replace(s, holding=1, losses=s.log_losses, in_flight=0)
    if s.worker == CRASHED and guards.successor_counts_vanished:
        taken = replace(taken, losses=s.log_losses + 1, heard_run=s.log_run)
    return [("successor takes over", taken)]


def protocol(guards: Guards) -> Protocol:
    """Return the specification under the given guards, for the checker."""

    def transitions(values: tuple[int, ...]) -> list[tuple[str, tuple[int, ...]]]:
        s = State(*values)
        if s.starts >= STARTS_EXPLORED_MAX or s.log_run > STARTS_EXPLORED_MAX:
            return []
        steps = [*_holder(s, guards), *_worker(s), *_succession(s, guards)]
        return [(label, after.values()) for label, after in steps]

    return Protocol(
        name="crashes",
        candidate=False,
        fields=FIELDS,
        initial=State().values(),
        transitions=transitions,
        invariants={
            "few starts after the third loss": lambda d: (
                d["starts"] <= LOSSES_BEFORE_BOUND + STARTS_AFTER_BOUND_MAX
            ),
            "no job is given up for fewer losses": lambda d: (
                not d["log_given_up"] or d["starts"] >= LOSSES_MAX
            ),
        },
    )
