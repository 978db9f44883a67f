"""Take callers' requests, run each on one worker, and say how it ended."""

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

RUNS_MAX = 3
RETRY_AFTER_S = 0.5
RETRY_TOKENS_MAX = 20.0
RETRY_TOKENS_PER_REQUEST = 0.1
DEADLINE_MARGIN_S = 0.005

log = structlog.get_logger()


@dataclass(slots=True)
class RetryBudget:
    """Allow one retry for every ten requests, so that retries cannot amplify."""

    tokens: float = RETRY_TOKENS_MAX

    def earn(self) -> None:
        """Count a request that came in."""
        self.tokens = min(RETRY_TOKENS_MAX, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Take a token for a retry, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class _Lines:
    """The requests of one service here: in flight and waiting."""

    queue: RequestQueue
    in_flight: int = 0
    latency_s: float = 0.0
    budget: RetryBudget = field(default_factory=RetryBudget)

    def ran(self, latency_s: float) -> None:
        """Take in how long a request took on its worker."""
        if not self.latency_s:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def wait_s(self) -> float:
        """Return how long a request that joins the queue is expected to wait."""
        ahead = len(self.queue) + 1
        return ahead / max(1, self.in_flight) * self.latency_s


class Desk:
    """The request path of one entry instance."""

    def __init__(
        self, context: Context, fleet: Fleet, slots: SlotPool, traces: Traces
    ) -> None:
        """Start with an empty memory of keys: older keys are not ours."""
        self.context = context
        self.fleet = fleet
        self.slots = slots
        self.traces = traces
        self.keeper = Keeper(
            context.settings.data_centre,
            context.incarnation,
            context.limits.keys_remembered,
        )
        self.lines: dict[str, _Lines] = {}
        self.counts: dict[str, int] = {}
        self._running: dict[str, Ticket] = {}
        self._waiting: dict[str, QueuedRequest] = {}
        self._forwards: dict[str, Ticket] = {}
        self.loans = Loans(context, slots, self.pump)
        self._numbers = itertools.count(1)

    def mint(self, count: int, deadline_s: float) -> list[str]:
        """Return new request keys."""
        now_s = self.context.now_s()
        return [str(self.keeper.mint(now_s, deadline_s)) for _ in range(count)]

    def submit(self, ticket: Ticket, now_s: float) -> None:
        """Take a request; its outcome comes through ``ticket.done``."""
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
        self._lines_of(ticket.service).budget.earn()
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
        if self._lines_of(ticket.service).in_flight >= service.in_flight_max:
            return NotRun(Reason.QUOTA_EXCEEDED, RETRY_AFTER_S)
        return None

    def _lines_of(self, service: str) -> _Lines:
        lines = self.lines.get(service)
        if lines is None:
            lines = _Lines(RequestQueue(self.context.limits.queued_requests))
            self.lines[service] = lines
        return lines

    def _dispatch(self, ticket: Ticket, now_s: float) -> None:
        slot = self.slots.take(ticket.service, now_s, ticket.barred_on)
        if slot is not None:
            self._run(ticket, slot)
            return
        lines = self._lines_of(ticket.service)
        queue = lines.queue
        wait_s = lines.wait_s()
        # Overload is told to the caller at once: a request that waits in vain
        # delays those that could still be served.
        if now_s + wait_s + lines.latency_s > ticket.deadline_s:
            self._finish(ticket, NotRun(Reason.TOO_LATE_TO_RUN, wait_s))
            return
        waiting = queue.push(ticket, ticket.urgency, ticket.deadline_s)
        if waiting is None:
            self._finish(ticket, NotRun(Reason.QUEUE_FULL, RETRY_AFTER_S))
            return
        self._waiting[ticket.key] = waiting
        self.loans.borrow(ticket.service, len(queue))

    def _run(self, ticket: Ticket, slot: Slot) -> None:
        service = self.context.configuration.services.get(ticket.service)
        worker = self.context.workers.get(slot.worker_id)
        if service is None or worker is None:
            self._put(slot, None)
            self._finish(ticket, NotRun(Reason.UNKNOWN_SERVICE))
            return
        ticket.runs += 1
        self._lines_of(ticket.service).in_flight += 1
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
        """Take the end of a run: answer, or try again where that is safe."""
        ticket, slot = mail.ticket, mail.slot
        self._lines_of(ticket.service).in_flight -= 1
        match mail.answer:
            case Answered() as answer:
                self._put(slot, mail.latency_s)
                self._lines_of(ticket.service).ran(mail.latency_s)
                done = Done(
                    answer.status, answer.content_type, answer.body, slot.worker_id
                )
                self._finish(ticket, done)
            case Refused():
                self._put(slot, None)
                self._again(ticket, NotRun(Reason.WORKER_REFUSED, RETRY_AFTER_S), now_s)
            case Fenced() as fenced:
                ticket.runs -= 1
                self._fenced(slot, fenced, now_s)
                self._again(ticket, NotRun(Reason.NO_CAPACITY, RETRY_AFTER_S), now_s)
            case NotSent():
                self.slots.back_off(slot, now_s)
                self._put(slot, None)
                outcome = NotRun(Reason.WORKER_UNREACHABLE, RETRY_AFTER_S)
                self._again(ticket, outcome, now_s)
            case NoAnswer() | AnswerCutShort() as lost:
                self.slots.back_off(slot, now_s)
                self._lost(mail, lost, now_s)
        self.pump(ticket.service, now_s)

    def _lost(
        self, mail: RunMail, answer: NoAnswer | AnswerCutShort, now_s: float
    ) -> None:
        """Settle a run whose whole answer will not come."""
        ticket, slot = mail.ticket, mail.slot
        if mail.barred:
            # The worker itself said that the key never ran and never will.
            ticket.barred_on.add(slot.worker_id)
            self._put(slot, None)
            self._again(ticket, NotRun(Reason.WORKER_REFUSED, RETRY_AFTER_S), now_s)
            return
        self.slots.abandon(slot)
        reason = Reason.ANSWER_LOST
        if isinstance(answer, AnswerCutShort):
            reason = Reason.ANSWER_CUT_SHORT
        service = self.context.configuration.services.get(ticket.service)
        if service is not None and service.repeat == Repeat.IDEMPOTENT.value:
            self._again(ticket, Unknown(reason), now_s)
        else:
            self._finish(ticket, Unknown(reason))

    def _again(self, ticket: Ticket, outcome: Outcome, now_s: float) -> None:
        """Run a request once more, or give it its outcome at once."""
        lines = self._lines_of(ticket.service)
        in_time = now_s < ticket.deadline_s - DEADLINE_MARGIN_S
        if ticket.runs < RUNS_MAX and in_time and lines.budget.spend():
            self.context.metrics.count("requests.retried")
            self._dispatch(ticket, now_s)
        else:
            self._finish(ticket, outcome)

    def _fenced(self, slot: Slot, answer: Fenced, now_s: float) -> None:
        # Guards against slots of an epoch that is over: the worker refuses all
        # of them, and each would cost a request one of its few runs.
        if slot.grant_id:
            self.slots.borrowed.pop(slot.grant_id, None)
            return
        lane = self.slots.slot_groups.get((slot.worker_id, slot.service))
        if lane is not None and lane.epoch == slot.epoch:
            self.fleet.fenced(slot.worker_id, answer, now_s)

    def _put(self, slot: Slot, latency_s: float | None) -> None:
        returned = self.slots.put(slot, self.context.now_s(), latency_s)
        if returned is not None:
            self.loans.give_back(returned)

    def pump(self, service: str, now_s: float) -> None:
        """Run waiting requests while there are slots."""
        lines = self._lines_of(service)
        queue = lines.queue
        while len(queue):
            slot = self.slots.take(service, now_s)
            if slot is None:
                self.loans.borrow(service, len(queue))
                return
            waiting = queue.pop()
            if waiting is None:
                self._put(slot, None)
                return
            ticket = waiting.ticket
            assert isinstance(ticket, Ticket)
            self._waiting.pop(ticket.key, None)
            if slot.worker_id in ticket.barred_on:
                self._put(slot, None)
                self._dispatch(ticket, now_s)
                return
            # Guards against answers that come too late: a run that cannot end
            # in time would take a slot and leave its caller not knowing.
            if now_s + lines.latency_s >= ticket.deadline_s:
                self._put(slot, None)
                refusal = NotRun(Reason.TOO_LATE_TO_RUN, lines.wait_s())
                self._finish(ticket, refusal)
            else:
                self._run(ticket, slot)

    def tick(self, now_s: float, peer_slots: PeerSlots) -> None:
        """Drop what is late, return idle loans and serve who waits."""
        self.loans.peer_slots = peer_slots
        for service, lines in self.lines.items():
            for waiting in lines.queue.expired(now_s):
                ticket = waiting.ticket
                assert isinstance(ticket, Ticket)
                self._waiting.pop(ticket.key, None)
                # It never had a slot, so no worker has seen it.
                self._finish(ticket, NotRun(Reason.DEADLINE_PASSED))
            self.pump(service, now_s)
        self.loans.give_back_idle(now_s)
        for call_id, ticket in list(self._forwards.items()):
            if now_s >= ticket.deadline_s:
                del self._forwards[call_id]
                self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))

    def _forward(self, ticket: Ticket, key: RequestKey, now_s: float) -> None:
        """Send a request to the one incarnation that may run its key."""
        if key.data_centre != self.context.settings.data_centre:
            self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))
            return
        if not self.context.membership.owner_is_live(key.keeper, now_s):
            # The keeper may have run it before it went; nobody else may now.
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
            self._forwards[call_id] = ticket
            self.context.metrics.count("requests.forwarded")
        else:
            self._answer(ticket, Unknown(Reason.KEEPER_UNREACHABLE))

    def on_forward(self, sender: str, message: ForwardRequest, now_s: float) -> None:
        """Serve a request whose key we keep, for a peer's caller."""
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

        def _send_back(future: asyncio.Future[Outcome]) -> None:
            if span is not None:
                span.end()
            if not future.cancelled():
                answer = wire_outcome(message.call_id, future.result())
                self.context.send(peer, answer)

        done.add_done_callback(_send_back)
        self.submit(ticket, now_s)

    def on_forward_answer(self, message: ForwardAnswer) -> None:
        """Hand a keeper's outcome to the caller that waits for it."""
        ticket = self._forwards.pop(message.call_id, None)
        if ticket is not None:
            self._answer(ticket, outcome_of(message))

    def _finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Record a claimed key's outcome and tell everybody who waits for it."""
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
        name = _name_of(outcome)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.context.metrics.count(f"requests.{name}")
        if not ticket.done.done():
            ticket.done.set_result(outcome)

    def busy(self) -> int:
        """Return how many requests have no outcome yet."""
        return len(self._running) + len(self._forwards)


def _name_of(outcome: Outcome) -> str:
    match outcome:
        case Done():
            return "done"
        case NotRun(reason=reason):
            return f"not_run.{reason.value}"
        case Unknown(reason=reason):
            return f"unknown.{reason.value}"
