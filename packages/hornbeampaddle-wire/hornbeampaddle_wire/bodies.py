"""Convert between the library's types and the platform's HTTP bodies."""

from hornbeampaddle.contracts import (
    Attempt,
    Ending,
    RunState,
    TaskOrder,
    WorkerReport,
)
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.machines import Address, Standing, Worker
from hornbeampaddle.resources import Resources

from .platform import (
    AttemptBody,
    MachineBody,
    NeedsBody,
    OrderBody,
    ReportBody,
)


def needs_body(needs: Resources) -> NeedsBody:
    """Return the body of an amount of resources."""
    return NeedsBody(needs.cpu_millis, needs.memory_bytes, needs.accelerators)


def needs_from(body: NeedsBody) -> Resources:
    """Return the amount of resources in a body."""
    return Resources(body.cpu_millis, body.memory_bytes, body.accelerators)


def order_from(body: OrderBody) -> TaskOrder:
    """Return the task order in a body."""
    return TaskOrder(
        AttemptId.parse(body.attempt),
        body.owner,
        body.team,
        body.kind,
        needs_from(body.needs),
        body.run_s,
        body.urgent,
        body.costly_to_evict,
        body.at_most_once,
        body.generation,
    )


def order_body(order: TaskOrder) -> OrderBody:
    """Return the body of a task order."""
    return OrderBody(
        str(order.attempt),
        order.owner,
        order.team,
        order.kind,
        needs_body(order.needs),
        order.run_s,
        order.urgent,
        order.costly_to_evict,
        order.at_most_once,
        order.generation,
    )


def attempt_body(attempt: Attempt) -> AttemptBody:
    """Return the body of one attempt in a report."""
    return AttemptBody(
        order_body(attempt.order),
        attempt.state.value,
        attempt.lease_deadline_s,
        attempt.ending.value if attempt.ending else "",
        attempt.generation,
        attempt.progress_ratio,
    )


def report_body(report: WorkerReport) -> ReportBody:
    """Return the body of a worker's report."""
    return ReportBody(
        report.worker_id,
        report.epoch,
        report.clock_s,
        tuple(attempt_body(a) for a in report.attempts),
        report.slots_used,
        report.cpu_used_millis,
        report.memory_used_bytes,
        report.delta,
        tuple(str(attempt) for attempt in report.absent),
    )


def report_from(body: ReportBody) -> WorkerReport:
    """Return the worker's report in a body."""
    return WorkerReport(
        body.worker_id,
        body.epoch,
        body.clock_s,
        tuple(_attempt_from(a) for a in body.attempts),
        body.slots_used,
        body.cpu_used_millis,
        body.memory_used_bytes,
        body.delta,
        tuple(AttemptId.parse(attempt) for attempt in body.absent),
    )


def _attempt_from(body: AttemptBody) -> Attempt:
    return Attempt(
        order_from(body.order),
        RunState(body.state),
        body.lease_deadline_s,
        Ending(body.ending) if body.ending else None,
        body.generation,
        body.progress_ratio,
    )


def machine_from(body: MachineBody) -> Worker:
    """Return the worker of an entry in the instance list."""
    return Worker(
        body.worker_id,
        Address(body.host, body.port),
        body.data_centre,
        body.rack,
        needs_from(body.capacity),
        body.slots,
        body.connections,
        Standing(body.standing),
    )


def machine_body(worker: Worker) -> MachineBody:
    """Return the body of a worker's entry in the instance list."""
    return MachineBody(
        worker.worker_id,
        worker.address.host,
        worker.address.port,
        worker.data_centre,
        worker.rack,
        needs_body(worker.capacity),
        worker.slots,
        worker.connections,
        worker.standing.value,
    )
