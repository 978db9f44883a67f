"""HTTP servers for the stand-ins."""

import asyncio
import hashlib
import random
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, urlsplit

import msgspec

from hornbeampaddle.contracts import Fenced, Refused
from hornbeampaddle.identity import AttemptId
from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.resources import Resources
from hornbeampaddle_wire import platform
from hornbeampaddle_wire.bodies import machine_body, order_from, report_body
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer, error_response

from .instances import InstanceList
from .ledger import Ledger
from .log import LogFault, LogMachine
from .worker import RequestRun, WorkerMachine

LOOPBACK = "127.0.0.1"
PAGE_RECORDS_MAX = 1000
LIMITS = HttpLimits(connections=2000)
encode = msgspec.json.encode


def _bad(error: ValueError) -> Response:
    return error_response(400, "bad_request", str(error))


@dataclass(slots=True)
class ServiceTimes:
    """
    The run times of requests: a base time, slowed down by batch work beside them.

    The slow-down grows linearly with the share of the worker's CPU that batch
    attempts use; the product does not know this rule.
    """

    base_s: float = 0.010
    interference: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def draw_s(self, machine: WorkerMachine) -> float:
        """Draw the run time of a request that begins now."""
        capacity = machine.worker.capacity.cpu_millis
        batch = sum(r.order.needs.cpu_millis for r in machine.runs.values())
        factor = 1 + self.interference * batch / capacity
        return self.base_s * factor * self.rng.lognormvariate(0.0, 0.25)


class WorkerServer:
    """The HTTP server of one worker."""

    def __init__(
        self, worker: Worker, ledger: Ledger, times: ServiceTimes, clock_offset_s: float
    ) -> None:
        """Create the worker; its clock is the loop's plus ``clock_offset_s``."""
        self.machine = WorkerMachine(worker, ledger)
        self.times = times
        self.clock_offset_s = clock_offset_s
        self.server = HttpServer("worker", LIMITS, self._handle)

    @property
    def worker(self) -> Worker:
        """Return the worker with the address it listens on."""
        return self.machine.worker

    def now_s(self) -> float:
        """Return the time of the worker's clock."""
        return asyncio.get_running_loop().time() + self.clock_offset_s

    async def start(self) -> None:
        """Listen."""
        address = await self.server.start(self.worker.address)
        self.machine.worker = replace(self.worker, address=address)

    async def kill(self) -> None:
        """Close the server and lose all that runs."""
        await self.server.close()
        self.machine.crash()

    async def _handle(self, request: Request) -> Response:
        path = urlsplit(request.path).path
        try:
            if path.startswith("/requests/"):
                return await self._request(path.removeprefix("/requests/"), request)
            return self._control(path, request.body)
        except ValueError as error:
            return _bad(error)

    def _control(self, path: str, body: bytes) -> Response:
        now_s = self.now_s()
        machine = self.machine
        match path:
            case "/claim":
                claim = msgspec.json.decode(body, type=platform.ClaimBody)
                report = machine.claim(claim.decider, now_s)
                return Response(200, encode(report_body(report)))
            case "/start":
                start = msgspec.json.decode(body, type=platform.StartBody)
                order = order_from(start.order)
                lease_s = start.lease_deadline_s
                answer = machine.start(start.epoch, order, lease_s, now_s)
                if isinstance(answer, Fenced | Refused):
                    return _refusal(answer)
                return Response(200, encode(platform.StartedBody(now_s)))
            case "/stop":
                stop = msgspec.json.decode(body, type=platform.StopBody)
                attempt = AttemptId.parse(stop.attempt)
                over = machine.stop(stop.epoch, attempt, stop.checkpoint, now_s)
                if isinstance(over, Fenced | Refused):
                    return _refusal(over)
                stopped = platform.StoppedBody(
                    now_s, over.ending.value, over.generation
                )
                return Response(200, encode(stopped))
            case "/renew":
                return self._renew(body, now_s)
            case _:
                return error_response(404, "not_found", path)

    def _renew(self, body: bytes, now_s: float) -> Response:
        renew = msgspec.json.decode(body, type=platform.RenewBody)
        report = self.machine.renew(
            renew.epoch,
            tuple(AttemptId.parse(a) for a in renew.attempts),
            renew.lease_deadline_s,
            tuple(AttemptId.parse(a) for a in renew.acknowledged),
            now_s,
        )
        if isinstance(report, Fenced):
            return _refusal(report)
        return Response(200, encode(report_body(report)))

    async def _request(self, service: str, request: Request) -> Response:
        headers = request.headers
        key = headers["request-key"]
        if request.method == "DELETE":
            certain = self.machine.cancel_request(key, self.now_s())
            return Response(200, encode({"never_ran": certain}))
        needs = msgspec.json.decode(headers["request-needs"], type=platform.NeedsBody)
        deadline_s = self.now_s() + float(headers["request-timeout-s"])
        held = Resources(needs.cpu_millis, needs.memory_bytes, needs.accelerators)
        run = RequestRun(key, service, held, deadline_s)
        may_repeat = headers.get("request-repeat") == "idempotent"
        epoch = int(headers["request-epoch"])
        refused = self.machine.begin_request(epoch, run, self.now_s(), may_repeat)
        if refused is not None:
            return _refusal(refused)
        try:
            await asyncio.sleep(self.times.draw_s(self.machine))
        finally:
            self.machine.end_request(key)
        digest = hashlib.blake2s(request.body).hexdigest()
        answer = {"service": service, "key": key, "digest": digest}
        return Response(200, encode(answer))


def _refusal(answer: Fenced | Refused) -> Response:
    match answer:
        case Fenced():
            body = platform.FencedBody(answer.epoch, answer.decider)
            return Response(409, encode(body))
        case Refused():
            return Response(429, encode(platform.RefusedBody(answer.reason)))


class PlatformServer:
    """The log service and the instance list on one port."""

    def __init__(self, log: LogMachine, instances: InstanceList) -> None:
        """Serve ``log`` and ``instances`` on one port."""
        self.log = log
        self.instances = instances
        self.server = HttpServer("platform", LIMITS, self._handle)
        self.address = Address(LOOPBACK, 0)

    async def start(self) -> None:
        """Listen."""
        self.address = await self.server.start(self.address)

    async def _handle(self, request: Request) -> Response:
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        try:
            if parts.path == "/instances":
                return self._instances(query)
            name = parts.path.removeprefix("/streams/")
            if self.log.fault is LogFault.DOWN:
                return error_response(503, "unavailable", "the log service is down")
            if request.method == "POST":
                return self._append(name, request.body)
            return self._read(name, query)
        except (ValueError, KeyError) as error:
            return error_response(400, "bad_request", repr(error))

    def _instances(self, query: dict[str, str]) -> Response:
        version = str(self.instances.version)
        if query.get("known") == version:
            return Response(304)
        data_centre = query.get("data_centre")
        machines = tuple(
            machine_body(worker)
            for worker in self.instances.workers.values()
            if data_centre in (None, worker.data_centre)
        )
        body = encode(platform.ListBody(machines))
        return Response(200, body, headers={"list-version": version})

    def _append(self, name: str, body: bytes) -> Response:
        append = msgspec.json.decode(body, type=platform.AppendBody)
        offset = self.log.append(name, append.records)
        if self.log.fault is LogFault.LOSES_ANSWERS:
            return error_response(504, "timeout", "no answer in time")
        return Response(200, encode(platform.AppendedBody(offset)))

    def _read(self, name: str, query: dict[str, str]) -> Response:
        from_offset = int(query.get("from", "0"))
        stream, entries = self.log.read(name, from_offset, PAGE_RECORDS_MAX)
        page = platform.PageBody(
            tuple(platform.EntryBody(e.offset, e.record) for e in entries),
            stream.oldest_offset,
            stream.next_offset,
        )
        return Response(200, encode(page))
