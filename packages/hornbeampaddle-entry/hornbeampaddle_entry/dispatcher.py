"""Accept callers' requests, run each on one worker and return its outcome."""

import asyncio
import hashlib
import itertools
from dataclasses import dataclass, field

import structlog
from result import Err, Ok

from hornbeampaddle.configuration import Repeat, resources_of
from hornbeampaddle.contracts import Fenced, NoAnswer, NotSent, Refused
from hornbeampaddle.identity import instance_of
from hornbeampaddle.keys import (
    Finished,
    Forgotten,
    Fresh,
    InProgress,
    Keeper,
    Rejected,
    RequestKey,
    parse_key,
)
from hornbeampaddle.messages import (
    ForwardAnswer,
    ForwardRequest,
)
from hornbeampaddle.outcomes import Done, NotRun, Outcome, Reason, Unknown
from hornbeampaddle.queueing import QueuedRequest, RequestQueue, Urgency
from hornbeampaddle.records import SetService
from hornbeampaddle.slots import LATENCY_WEIGHT, Slot, SlotPool
from hornbeampaddle.wire_conversion import outcome_of, wire_outcome

from .context import Context
from .fleet import Fleet
from .loans import Loans, PeerSlots
from .mail import RunMail, Ticket
from .ports import AnswerCutShort, Answered, WorkerPort, WorkerRequest
from .telemetry import Traces

RUNS_PER_REQUEST_MAX = 3
RETRY_AFTER_S = 0.5
RETRY_TOKENS_MAX = 20.0
RETRY_TOKENS_PER_REQUEST = 0.1
DEADLINE_MARGIN_S = 0.005

log = structlog.get_logger()


@dataclass(slots=True)
class RetryBudget:
    """
    A token bucket that limits retries to one for every ten requests.

    Without a limit, retries would multiply the load of an overload.
    """

    tokens: float = RETRY_TOKENS_MAX

    def earn(self) -> None:
        """Add the share of a token that a new request earns."""
        self.tokens = min(RETRY_TOKENS_MAX, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class _ServiceLoad:
    """One service's queued and in-flight requests on this entry instance."""

    queue: RequestQueue
    in_flight: int = 0
    latency_s: float = 0.0
    budget: RetryBudget = field(default_factory=RetryBudget)

    def record_latency(self, latency_s: float) -> None:
        """Add a request's latency on its worker to the moving average."""
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def wait_s(self) -> float:
        """Return the expected wait in seconds of a request that is queued now."""
        ahead = len(self.queue) + 1
        return ahead / max(1, self.in_flight) * self.latency_s


class RequestDispatcher:
    """Dispatches the requests of one entry instance to workers."""

    def __init__(
        self, context: Context, fleet: Fleet, slots: SlotPool, traces: Traces
    ) -> None:
        """
        Start without request keys.

        Keys issued before the start belong to another incarnation.
        """
        self.context = context
        self.fleet = fleet
        self.slots = slots
        self.traces = traces
        self.keeper = Keeper(
            context.settings.data_centre,
            context.incarnation,
            context.limits.keys_remembered,
        )
        self.service_load: dict[str, _ServiceLoad] = {}
        self.outcome_counts: dict[str, int] = {}
        self._running: dict[str, Ticket] = {}
        self._queued_requests: dict[str, QueuedRequest] = {}
        self._forwarded: dict[str, Ticket] = {}
        self.loans = Loans(context, slots, self.serve_queue)
        self._numbers = itertools.count(1)

    def mint(self, count: int, deadline_s: float) -> list[str]:
        """Return new request keys."""
        now_s = self.context.now_s()
        return [str(self.keeper.mint(now_s, deadline_s)) for _ in range(count)]

    def submit(self, ticket: Ticket, now_s: float) -> None:
        """Handle a request; its outcome is set on the future ``ticket.done``."""
        if not ticket.key_text:
            if self.context.leaving:
                self._answer(ticket, NotRun(Reason.INSTANCE_STOPPING, RETRY_AFTER_S))
                return
            ticket.key_text = str(self.keeper.mint(now_s, ticket.deadline_s))
        match parse_key(ticket.key_text):
            case Err(_):
                self._answer(ticket, NotRun(Reason.KEY_INVALID))
            case Ok(key) if self.keeper.keeps(key):
                self._claim(ticket, key, now_s)
            case Ok(key):
                self._forward(ticket, key, now_s)

    def _claim(self, ticket: Ticket, key: RequestKey, now_s: float) -> None:
        digest = hashlib.blake2s(ticket.body)
        digest.update(ticket.service.encode())
        ticket.key = str(key)
        match self.keeper.claim(key, digest.digest(), now_s):
            case Fresh():
                self._running[ticket.key] = ticket
                ticket.deadline_s = min(ticket.deadline_s, key.deadline_ms / 1000)
                self._admit(ticket, now_s)
            case InProgress():
                self._running[ticket.key].waiters.append(ticket.done)
            case Finished(outcome):
                self._answer(ticket, outcome)
            case Rejected(reason):
                self._answer(ticket, NotRun(reason))
            case Forgotten():
                self._answer(ticket, Unknown(Reason.KEY_FORGOTTEN))

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            self._finish(ticket, refusal)
            return
        self._load_of(ticket.service).budget.earn()
        self._dispatch(ticket, now_s)

    def _refusal(self, ticket: Ticket, now_s: float) -> NotRun | None:
        configuration = self.context.configuration
        if not configuration.known:
            return NotRun(Reason.NO_CONFIGURATION, RETRY_AFTER_S)
        if self.context.leaving:
            return NotRun(Reason.INSTANCE_STOPPING, RETRY_AFTER_S)
        service = configuration.services.get(ticket.service)
        if service is None:
            return NotRun(Reason.UNKNOWN_SERVICE)
        if now_s >= ticket.deadline_s:
            return NotRun(Reason.DEADLINE_PASSED)
        if self._load_of(ticket.service).in_flight >= service.in_flight_max:
            return NotRun(Reason.QUOTA_EXCEEDED, RETRY_AFTER_S)
        return None

    def _load_of(self, service: str) -> _ServiceLoad:
        service_load = self.service_load.get(service)
        if service_load is None:
            service_load = _ServiceLoad(
                RequestQueue(self.context.limits.queued_requests)
            )
            self.service_load[service] = service_load
        return service_load

    def _dispatch(self, ticket: Ticket, now_s: float) -> None:
        slot = self.slots.take(ticket.service, now_s, ticket.barred_on)
        if slot is not None:
            self._run(ticket, slot)
            return
        service_load = self._load_of(ticket.service)
        queue = service_load.queue
        wait_s = service_load.wait_s()
        # A request that would miss its deadline is rejected at once: in the queue it
        # would delay requests that can still be served in time.
        if now_s + wait_s + service_load.latency_s > ticket.deadline_s:
            self._finish(ticket, NotRun(Reason.TOO_LATE_TO_RUN, wait_s))
            return
        waiting = queue.push(ticket, ticket.urgency, ticket.deadline_s)
        if waiting is None:
            self._finish(ticket, NotRun(Reason.QUEUE_FULL, RETRY_AFTER_S))
            return
        self._queued_requests[ticket.key] = waiting
        self.loans.borrow(ticket.service, len(queue))

    def _run(self, ticket: Ticket, slot: Slot) -> None:
        service = self.context.configuration.services.get(ticket.service)
        worker = self.context.workers.get(slot.worker_id)
        if service is None or worker is None:
            self._release(slot, None)
            self._finish(ticket, NotRun(Reason.UNKNOWN_SERVICE))
            return
        ticket.runs += 1
        self._load_of(ticket.service).in_flight += 1
        port = self.fleet.ports[slot.worker_id]
        self.context.spawn(self._call(ticket, slot, port, service))

    async def _call(
        self, ticket: Ticket, slot: Slot, port: WorkerPort, service: SetService
    ) -> None:
        begun_s = self.context.now_s()
        with self.traces.span("worker.run", ticket.traceparent) as span:
            if span is not None:
                span.set_attribute("worker", slot.worker_id)
            request = WorkerRequest(
                key=ticket.key,
                service=ticket.service,
                epoch=slot.epoch,
                needs=resources_of(service.needs),
                repeat=service.repeat,
                deadline_s=ticket.deadline_s - DEADLINE_MARGIN_S,
                content_type=ticket.content_type,
                body=ticket.body,
                traceparent=self.traces.traceparent(ticket.traceparent),
            )
            answer = await port.run(request)
        barred = False
        in_doubt = isinstance(answer, NoAnswer | AnswerCutShort)
        if in_doubt and service.repeat != Repeat.IDEMPOTENT.value:
            barred = await port.bar(ticket.key)
        latency_s = self.context.now_s() - begun_s
        self.context.post(RunMail(ticket, slot, answer, barred, latency_s))

    def on_run(self, mail: RunMail, now_s: float) -> None:
        """Handle the end of a run: return the outcome, or retry where that is safe."""
        ticket, slot = mail.ticket, mail.slot
        self._load_of(ticket.service).in_flight -= 1
        match mail.answer:
            case Answered() as answer:
                self._release(slot, mail.latency_s)
                self._load_of(ticket.service).record_latency(mail.latency_s)
                done = Done(
                    answer.status, answer.content_type, answer.body, slot.worker_id
                )
                self._finish(ticket, done)
            case Refused():
                self._release(slot, None)
                self._retry_or_finish(
                    ticket, NotRun(Reason.WORKER_REFUSED, RETRY_AFTER_S), now_s
                )
            case Fenced() as fenced:
                ticket.runs -= 1
                self._on_fenced(slot, fenced, now_s)
                self._retry_or_finish(
                    ticket, NotRun(Reason.NO_CAPACITY, RETRY_AFTER_S), now_s
                )
            case NotSent():
                self.slots.back_off(slot, now_s)
                self._release(slot, None)
                outcome = NotRun(Reason.WORKER_UNREACHABLE, RETRY_AFTER_S)
                self._retry_or_finish(ticket, outcome, now_s)
            case NoAnswer() | AnswerCutShort() as lost:
                self.slots.back_off(slot, now_s)
                self._on_answer_lost(mail, lost, now_s)
        self.serve_queue(ticket.service, now_s)

    def _on_answer_lost(
        self, mail: RunMail, answer: NoAnswer | AnswerCutShort, now_s: float
    ) -> None:
        """Handle a run whose answer is missing or incomplete."""
        ticket, slot = mail.ticket, mail.slot
        if mail.barred:
            # The worker confirmed that it never ran the key and now refuses it, so
            # running the request elsewhere is safe.
            ticket.barred_on.add(slot.worker_id)
            self._release(slot, None)
            self._retry_or_finish(
                ticket, NotRun(Reason.WORKER_REFUSED, RETRY_AFTER_S), now_s
            )
            return
        self.slots.abandon(slot)
        reason = Reason.ANSWER_LOST
        if isinstance(answer, AnswerCutShort):
            reason = Reason.ANSWER_CUT_SHORT
        service = self.context.configuration.services.get(ticket.service)
        if service is not None and service.repeat == Repeat.IDEMPOTENT.value:
            self._retry_or_finish(ticket, Unknown(reason), now_s)
        else:
            self._finish(ticket, Unknown(reason))

    def _retry_or_finish(self, ticket: Ticket, outcome: Outcome, now_s: float) -> None:
        """Retry a request if its limits allow it; otherwise finish it."""
        service_load = self._load_of(ticket.service)
        in_time = now_s < ticket.deadline_s - DEADLINE_MARGIN_S
        if (
            ticket.runs < RUNS_PER_REQUEST_MAX
            and in_time
            and service_load.budget.spend()
        ):
            self.context.metrics.count("requests.retried")
            self._dispatch(ticket, now_s)
        else:
            self._finish(ticket, outcome)

    def _on_fenced(self, slot: Slot, answer: Fenced, now_s: float) -> None:
        # Guards against using more slots of a superseded epoch: the worker refuses
        # all of them, and each attempt would use up one of a request's few runs.
        if slot.grant_id:
            self.slots.borrowed.pop(slot.grant_id, None)
            return
        slot_group = self.slots.slot_groups.get((slot.worker_id, slot.service))
        if slot_group is not None and slot_group.epoch == slot.epoch:
            self.fleet.fenced(slot.worker_id, answer, now_s)

    def _release(self, slot: Slot, latency_s: float | None) -> None:
        returned = self.slots.put(slot, self.context.now_s(), latency_s)
        if returned is not None:
            self.loans.give_back(returned)

    def serve_queue(self, service: str, now_s: float) -> None:
        """Run queued requests of a service while it has free slots."""
        service_load = self._load_of(service)
        queue = service_load.queue
        while len(queue):
            slot = self.slots.take(service, now_s)
            if slot is None:
                self.loans.borrow(service, len(queue))
                return
            waiting = queue.pop()
            if waiting is None:
                self._release(slot, None)
                return
            ticket = waiting.ticket
            assert isinstance(ticket, Ticket)
            self._queued_requests.pop(ticket.key, None)
            if slot.worker_id in ticket.barred_on:
                self._release(slot, None)
                self._dispatch(ticket, now_s)
                return
            # Guards against answers after the deadline: a run that can't end in time
            # would occupy a slot, and its caller would not learn the outcome.
            if now_s + service_load.latency_s >= ticket.deadline_s:
                self._release(slot, None)
                refusal = NotRun(Reason.TOO_LATE_TO_RUN, service_load.wait_s())
                self._finish(ticket, refusal)
            else:
                self._run(ticket, slot)

    def tick(self, now_s: float, peer_slots: PeerSlots) -> None:
        """Expire late requests, return idle borrowed slots and serve the queues."""
        self.loans.peer_slots = peer_slots
        for service, service_load in self.service_load.items():
            for waiting in service_load.queue.expired(now_s):
                ticket = waiting.ticket
                assert isinstance(ticket, Ticket)
                self._queued_requests.pop(ticket.key, None)
                # The request never got a slot, so it was not sent to any worker.
                self._finish(ticket, NotRun(Reason.DEADLINE_PASSED))
            self.serve_queue(service, now_s)
        self.loans.give_back_idle(now_s)
        for call_id, ticket in list(self._forwarded.items()):
            if now_s >= ticket.deadline_s:
                del self._forwarded[call_id]
                self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))

    def _forward(self, ticket: Ticket, key: RequestKey, now_s: float) -> None:
        """Forward a request to the key's keeper, the only one that may run it."""
        if key.data_centre != self.context.settings.data_centre:
            self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))
            return
        if not self.context.membership.owner_is_live(key.keeper, now_s):
            # The keeper may have run the request before it was lost, so no other
            # instance may run it.
            self._answer(ticket, Unknown(Reason.KEEPER_GONE))
            return
        call_id = f"{self.context.incarnation}/{next(self._numbers)}"
        message = ForwardRequest(
            call_id,
            ticket.key_text,
            ticket.service,
            ticket.urgency.value,
            ticket.content_type,
            ticket.body,
            self.traces.traceparent(ticket.traceparent),
        )
        if self.context.send(instance_of(key.keeper), message):
            self._forwarded[call_id] = ticket
            self.context.metrics.count("requests.forwarded")
        else:
            self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))

    def on_forward(self, sender: str, message: ForwardRequest, now_s: float) -> None:
        """Handle a request forwarded by a peer; this instance is the key's keeper."""
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        span = self.traces.begin("entry.forward", message.traceparent)
        ticket = Ticket(
            service=message.service,
            urgency=Urgency(message.urgency),
            deadline_s=now_s + self.context.limits.request_deadline_max_s,
            content_type=message.content_type,
            body=message.body,
            key_text=message.key,
            traceparent=self.traces.traceparent_of(span, message.traceparent),
            done=done,
        )
        peer = instance_of(sender)

        def _send_answer(future: asyncio.Future[Outcome]) -> None:
            if span is not None:
                span.end()
            if not future.cancelled():
                answer = wire_outcome(message.call_id, future.result())
                self.context.send(peer, answer)

        done.add_done_callback(_send_answer)
        self.submit(ticket, now_s)

    def on_forward_answer(self, message: ForwardAnswer) -> None:
        """Return the outcome that a keeper sent for a forwarded request."""
        ticket = self._forwarded.pop(message.call_id, None)
        if ticket is not None:
            self._answer(ticket, outcome_of(message))

    def _finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Record a claimed key's outcome and return it to all waiting callers."""
        self._running.pop(ticket.key, None)
        match parse_key(ticket.key):
            case Ok(key):
                self.keeper.finish(key, outcome)
            case Err(_):
                pass
        for waiter in ticket.waiters:
            if not waiter.done():
                waiter.set_result(outcome)
        self._answer(ticket, outcome)

    def _answer(self, ticket: Ticket, outcome: Outcome) -> None:
        name = _outcome_name(outcome)
        self.outcome_counts[name] = self.outcome_counts.get(name, 0) + 1
        self.context.metrics.count(f"requests.{name}")
        if not ticket.done.done():
            ticket.done.set_result(outcome)

    def busy(self) -> int:
        """Return the number of requests without an outcome."""
        return len(self._running) + len(self._forwarded)


def _outcome_name(outcome: Outcome) -> str:
    match outcome:
        case Done():
            return "done"
        case NotRun(reason=reason):
            return f"not_run.{reason.value}"
        case Unknown(reason=reason):
            return f"unknown.{reason.value}"
