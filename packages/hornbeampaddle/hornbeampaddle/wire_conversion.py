"""Convert the library's values into peer messages and back."""

from .contracts import Ending, TaskOrder
from .identity import AttemptId
from .messages import (
    DoubtNotice,
    EndedNotice,
    ForwardAnswer,
    Owned,
    RunningNotice,
    WireNeeds,
    WireOrder,
)
from .notices import (
    AttemptEnded,
    AttemptInDoubt,
    AttemptRunning,
    Notice,
    OwnerInventory,
)
from .outcomes import Done, NotRun, Outcome, Reason, Unknown
from .resources import Resources


def wire_needs(needs: Resources) -> WireNeeds:
    """Return the compact form of an amount of resources."""
    return WireNeeds(needs.cpu_millis, needs.memory_bytes, needs.accelerators)


def needs_of(wire: WireNeeds) -> Resources:
    """Convert resources from their compact form."""
    return Resources(wire.cpu_millis, wire.memory_bytes, wire.accelerators)


def wire_order(order: TaskOrder) -> WireOrder:
    """Return the compact form of a task order."""
    return WireOrder(
        str(order.attempt),
        order.owner,
        order.team,
        order.kind,
        wire_needs(order.needs),
        order.run_s,
        order.urgent,
        order.costly_to_evict,
        order.at_most_once,
        order.generation,
    )


def order_of(wire: WireOrder) -> TaskOrder:
    """Convert a task order from its compact form."""
    return TaskOrder(
        AttemptId.parse(wire.attempt),
        wire.owner,
        wire.team,
        wire.kind,
        needs_of(wire.needs),
        wire.run_s,
        wire.urgent,
        wire.costly_to_evict,
        wire.at_most_once,
        wire.generation,
    )


def wire_notice(notice: Notice) -> RunningNotice | EndedNotice | DoubtNotice | Owned:
    """Return the message for a decider's notice."""
    if isinstance(notice, OwnerInventory):
        return Owned(
            notice.dead_owner,
            notice.worker_id,
            notice.epoch,
            tuple(wire_order(running.order) for running in notice.running),
            tuple(_wire_ended(ended) for ended in notice.ended),
        )
    order = wire_order(notice.order)
    match notice:
        case AttemptRunning():
            return RunningNotice(order, notice.worker_id, notice.epoch)
        case AttemptInDoubt():
            return DoubtNotice(order, notice.worker_id)
        case AttemptEnded():
            return _wire_ended(notice)


def _wire_ended(notice: AttemptEnded) -> EndedNotice:
    return EndedNotice(
        wire_order(notice.order),
        notice.worker_id,
        notice.ending.value,
        notice.generation,
        notice.progress_ratio,
    )


def notice_of(message: RunningNotice | EndedNotice | DoubtNotice | Owned) -> Notice:
    """Return the notice in a decider's message."""
    if isinstance(message, Owned):
        return OwnerInventory(
            message.dead_owner,
            message.worker_id,
            message.epoch,
            tuple(
                AttemptRunning(order_of(order), message.worker_id, message.epoch)
                for order in message.running
            ),
            tuple(_ended_of(ended) for ended in message.ended),
        )
    order = order_of(message.order)
    match message:
        case RunningNotice():
            return AttemptRunning(order, message.worker_id, message.epoch)
        case DoubtNotice():
            return AttemptInDoubt(order, message.worker_id)
        case EndedNotice():
            return _ended_of(message)


def _ended_of(message: EndedNotice) -> AttemptEnded:
    return AttemptEnded(
        order_of(message.order),
        message.worker_id,
        Ending(message.ending),
        message.generation,
        message.progress_ratio,
    )


def wire_outcome(call_id: str, outcome: Outcome) -> ForwardAnswer:
    """Return the message for a request's outcome."""
    match outcome:
        case Done():
            return ForwardAnswer(
                call_id,
                "done",
                "",
                None,
                outcome.status,
                outcome.content_type,
                outcome.body,
                outcome.worker_id,
            )
        case NotRun():
            kind = "not_run"
        case Unknown():
            kind = "unknown"
    return ForwardAnswer(
        call_id, kind, outcome.reason.value, outcome.retry_after_s, 0, "", b"", ""
    )


def outcome_of(message: ForwardAnswer) -> Outcome:
    """Return the request's outcome in a message."""
    match message.outcome:
        case "done":
            return Done(
                message.status, message.content_type, message.body, message.worker_id
            )
        case "not_run":
            return NotRun(Reason(message.reason), message.retry_after_s)
        case _:
            return Unknown(Reason(message.reason), message.retry_after_s)
