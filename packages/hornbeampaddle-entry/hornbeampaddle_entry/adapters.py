"""Implement the platform ports over HTTP."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from hornbeampaddle.calls import ClaimWorker, RenewLeases, StartAttempt, StopAttempt
from hornbeampaddle.contracts import (
    Ending,
    Fenced,
    NoAnswer,
    NotSent,
    Refused,
    Started,
    Stopped,
    WorkerReport,
)
from hornbeampaddle.decoding import UnreadableError, decode_json
from hornbeampaddle.defaults import Limits, Timing
from hornbeampaddle.machines import Address, Worker
from hornbeampaddle_wire import http_messages, platform
from hornbeampaddle_wire.bodies import (
    machine_from,
    needs_body,
    order_body,
    report_from,
)
from hornbeampaddle_wire.http_client import ConnectionBudget, HttpClient, HttpTraffic
from hornbeampaddle_wire.http_messages import CutShort, NoResponse, Request, Response

from .ports import AnswerCutShort, Answered, Page, RequestAnswer, WorkerRequest

STATUS_OK = 200
CONTROL_CONNECTIONS_MAX = 2

B = TypeVar("B")
T = TypeVar("T")


class HttpWorker:
    """
    One worker, reached over two connection pools.

    Control calls have their own pool, so they never wait behind requests.
    """

    def __init__(
        self,
        address: Address,
        timing: Timing,
        limits: Limits,
        traffic: HttpTraffic | None = None,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """
        Create the pools; connections are opened on demand.

        ``traffic`` counts control calls only. Workers may share a ``budget``.
        """
        self.timing = timing
        counted = traffic or HttpTraffic()
        self.control = HttpClient(address, CONTROL_CONNECTIONS_MAX, traffic=counted)
        self.requests = HttpClient(address, limits.connections_per_worker)
        if budget is not None:
            self.control.budget = budget
            self.requests.budget = budget

    def close(self) -> None:
        """Close the idle connections."""
        self.control.close()
        self.requests.close()

    async def claim(
        self, call: ClaimWorker, decider: str
    ) -> WorkerReport | Refused | NoAnswer | NotSent:
        """Claim the worker, which issues a new epoch."""
        body = platform.ClaimBody(decider)
        answer = await self._call("/claim", body, platform.ReportBody, report_from)
        if isinstance(answer, Fenced):
            return NoAnswer("a claim cannot be fenced")
        return answer

    async def start(
        self, call: StartAttempt
    ) -> Started | Refused | Fenced | NoAnswer | NotSent:
        """Start an attempt."""
        order = order_body(call.order)
        body = platform.StartBody(call.epoch, order, call.lease_deadline_s)
        return await self._call("/start", body, platform.StartedBody, _started)

    async def stop(
        self, call: StopAttempt
    ) -> Stopped | Refused | Fenced | NoAnswer | NotSent:
        """Stop an attempt."""
        body = platform.StopBody(call.epoch, str(call.attempt), call.checkpoint)
        return await self._call("/stop", body, platform.StoppedBody, _stopped)

    async def renew(
        self, call: RenewLeases
    ) -> WorkerReport | Refused | Fenced | NoAnswer | NotSent:
        """Renew leases and return the worker's report."""
        body = platform.RenewBody(
            call.epoch,
            tuple(str(a) for a in call.attempts),
            call.lease_deadline_s,
            tuple(str(a) for a in call.acknowledged),
        )
        return await self._call("/renew", body, platform.ReportBody, report_from)

    async def _call(
        self,
        path: str,
        body: msgspec.Struct,
        answer_type: type[B],
        convert: Callable[[B], T],
    ) -> T | Refused | Fenced | NoAnswer | NotSent:
        request = Request("POST", path, body=msgspec.json.encode(body))
        exchange = await self.control.call(request, self.timing.call_timeout_s)
        match exchange:
            case Response():
                return _decode(exchange, answer_type, convert)
            case http_messages.NotSent():
                return NotSent(exchange.detail)
            case NoResponse() | CutShort():
                return NoAnswer(exchange.detail)

    async def run(self, request: WorkerRequest) -> RequestAnswer:
        """Run a request and return its answer."""
        timeout_s = request.deadline_s - asyncio.get_running_loop().time()
        needs = msgspec.json.encode(needs_body(request.needs)).decode()
        headers = {
            "content-type": request.content_type,
            "request-key": request.key,
            "request-epoch": str(request.epoch),
            "request-needs": needs,
            "request-repeat": request.repeat,
            "request-timeout-s": f"{timeout_s:.3f}",
        }
        if request.traceparent:
            headers["traceparent"] = request.traceparent
        path = f"/requests/{request.service}"
        exchange = await self.requests.call(
            Request("POST", path, headers, request.body), timeout_s
        )
        match exchange:
            case Response(status=200 | 404 | 422):
                return Answered(exchange.status, exchange.content_type, exchange.body)
            case Response():
                return _refusal(exchange)
            case http_messages.NotSent():
                return NotSent(exchange.detail)
            case NoResponse():
                return NoAnswer(exchange.detail)
            case CutShort():
                return AnswerCutShort(exchange.detail)

    async def bar(self, key: str) -> bool:
        """
        Make the worker refuse a request key from now on.

        Return True only if the request never ran and isn't running.
        """
        request = Request("DELETE", "/requests/any", {"request-key": key})
        exchange = await self.control.call(request, self.timing.call_timeout_s)
        if not isinstance(exchange, Response) or exchange.status != STATUS_OK:
            return False
        try:
            barred = decode_json(exchange.body, dict[str, Any])
        except UnreadableError:
            return False
        return barred.get("never_ran") is True


def _started(body: platform.StartedBody) -> Started:
    return Started(body.clock_s)


def _stopped(body: platform.StoppedBody) -> Stopped:
    return Stopped(body.clock_s, Ending(body.ending), body.generation)


def _decode(
    response: Response, answer_type: type[B], convert: Callable[[B], T]
) -> T | Refused | Fenced | NoAnswer:
    if response.status != STATUS_OK:
        return _refusal(response)
    try:
        return convert(decode_json(response.body, answer_type))
    except ValueError as error:
        # The call may have taken effect although its answer can't be decoded.
        return NoAnswer(str(error))


def _refusal(response: Response) -> Refused | Fenced | NoAnswer:
    try:
        match response.status:
            case 409:
                fenced = decode_json(response.body, platform.FencedBody)
                return Fenced(fenced.epoch, fenced.decider)
            case 429:
                refused = decode_json(response.body, platform.RefusedBody)
                return Refused(refused.reason)
            case _:
                return NoAnswer(f"status {response.status}")
    except ValueError as error:
        return NoAnswer(str(error))


class HttpLog:
    """The log service over HTTP."""

    def __init__(
        self, address: Address, timing: Timing, traffic: HttpTraffic | None = None
    ) -> None:
        """Create a small connection pool, shared by reads and appends."""
        self.timing = timing
        counted = traffic or HttpTraffic()
        self.client = HttpClient(address, CONTROL_CONNECTIONS_MAX, traffic=counted)

    async def append(
        self, stream: str, records: tuple[bytes, ...]
    ) -> Result[int, NotSent | NoAnswer]:
        """
        Append records and return the offset of the first.

        The error ``NoAnswer`` means that they may have been appended, ``NotSent``
        that they weren't.
        """
        body = msgspec.json.encode(platform.AppendBody(records))
        request = Request("POST", f"/streams/{stream}", body=body)
        exchange = await self.client.call(request, self.timing.call_timeout_s)
        match exchange:
            case Response(status=200):
                try:
                    appended = decode_json(exchange.body, platform.AppendedBody)
                    return Ok(appended.offset)
                except ValueError as error:
                    return Err(NoAnswer(str(error)))
            case Response(status=status):
                return Err(NoAnswer(f"status {status}"))
            case http_messages.NotSent():
                return Err(NotSent(exchange.detail))
            case NoResponse() | CutShort():
                return Err(NoAnswer(exchange.detail))

    async def read(self, stream: str, from_offset: int) -> Result[Page, str]:
        """Return records from ``from_offset`` on."""
        request = Request("GET", f"/streams/{stream}?from={from_offset}")
        exchange = await self.client.call(request, self.timing.call_timeout_s)
        match exchange:
            case Response(status=200):
                try:
                    page = decode_json(exchange.body, platform.PageBody)
                except ValueError as error:
                    return Err(str(error))
                entries = tuple((e.offset, e.record) for e in page.entries)
                return Ok(Page(entries, page.oldest_offset, page.next_offset))
            case Response(status=status):
                return Err(f"status {status}")
            case _:
                return Err(exchange.detail)


class HttpList:
    """The instance list over HTTP, which is transferred only if it has changed."""

    def __init__(
        self, address: Address, timing: Timing, traffic: HttpTraffic | None = None
    ) -> None:
        """Start without a known version of the list."""
        self.timing = timing
        counted = traffic or HttpTraffic()
        self.client = HttpClient(address, 1, traffic=counted)
        self.known = ""

    async def workers(self, data_centre: str) -> Result[list[Worker] | None, str]:
        """Return the workers of a data centre, or None if nothing changed."""
        path = f"/instances?data_centre={data_centre}&known={self.known}"
        exchange = await self.client.call(
            Request("GET", path), self.timing.call_timeout_s
        )
        match exchange:
            case Response(status=304):
                return Ok(None)
            case Response(status=200):
                try:
                    listed = decode_json(exchange.body, platform.ListBody)
                    workers = [machine_from(machine) for machine in listed.machines]
                except ValueError as error:
                    return Err(str(error))
                self.known = exchange.headers.get("list-version", "")
                return Ok(workers)
            case Response(status=status):
                return Err(f"status {status}")
            case _:
                return Err(exchange.detail)
