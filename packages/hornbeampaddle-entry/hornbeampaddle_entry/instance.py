"""Assemble, start, drain and stop one entry instance."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from typing import Any

import structlog
from result import Err, Ok

from hornbeampaddle.defaults import MIB, Limits
from hornbeampaddle.identity import new_incarnation
from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.membership import Membership
from hornbeampaddle.messages import Message
from hornbeampaddle.records import (
    CONFIG_STREAM,
    ConfigRecord,
    HomeRecord,
    home_stream,
)
from hornbeampaddle_wire import background
from hornbeampaddle_wire.account import Account, account_limits
from hornbeampaddle_wire.descriptors import DescriptorPlan, plan_descriptors
from hornbeampaddle_wire.http_client import ConnectionBudget, HttpTraffic
from hornbeampaddle_wire.http_server import Handler, HttpLimits, HttpServer
from hornbeampaddle_wire.peers import PeerSockets, Receiver

from .adapters import HttpList, HttpLog, HttpWorker
from .callers import CallerApi
from .context import Context
from .control import Control
from .events import EventRing
from .mail import LeaveMail, ListMail, Mail, PeerMail, Tick
from .operators import OperatorApi
from .ports import ListPort, LogPort, PeerPort, WorkerPort
from .settings import Settings
from .streams import StreamLink
from .telemetry import Metrics, Traces

TICK_INTERVAL_S = 0.1
# Shares of the memory and of the sockets for callers, operators and peers.
CLIENTS_MEMORY_RATIO = 0.25
CLIENT_SOCKETS_RATIO = 0.5
# Headers of a refusal: the request did not run.
NOT_RUN_HEADERS = {"request-outcome": "not_run"}

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Ports:
    """The platform ports of an instance; tests substitute their own."""

    log: LogPort
    instances: ListPort
    worker: Callable[[Worker], WorkerPort]
    peers: Callable[[str, Receiver], PeerPort]
    # Counters of control traffic to the platform, if the ports maintain them.
    traffic: HttpTraffic = field(default_factory=HttpTraffic)


def http_ports(settings: Settings, account: Account) -> Ports:
    """Return the HTTP ports for the addresses in the settings."""
    timing, limits = settings.timing.timing(), settings.limits.limits()
    traffic = HttpTraffic()
    budget = ConnectionBudget(descriptor_plan(limits).workers)
    return Ports(
        log=HttpLog(settings.platform.log.address(), timing, traffic),
        instances=HttpList(settings.platform.instances.address(), timing, traffic),
        worker=lambda worker: HttpWorker(
            worker.address, timing, limits, traffic, budget
        ),
        peers=lambda incarnation, receiver: PeerSockets(
            settings.data_centre,
            incarnation,
            settings.peer_key.get_secret_value().encode(),
            receiver,
            account=account,
        ),
        traffic=traffic,
    )


def http_limits(limits: Limits) -> HttpLimits:
    """Return the limits that apply to an HTTP listener."""
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        body_timeout_s=limits.body_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        send_timeout_s=limits.send_timeout_s,
        connections=limits.caller_connections,
    )


def descriptor_plan(limits: Limits) -> DescriptorPlan:
    """Return how many connections the process may have, of each kind."""
    return plan_descriptors(limits.max_fds, CLIENT_SOCKETS_RATIO)


def client_account(limits: Limits) -> Account:
    """Return the account of what all clients of the process hold."""
    clients_bytes = int(limits.memory_mb * MIB * CLIENTS_MEMORY_RATIO)
    return Account(account_limits(clients_bytes, descriptor_plan(limits).clients))


@dataclass(slots=True)
class Addresses:
    """The addresses that the listeners are bound to."""

    callers: Address
    operators: Address


@dataclass(slots=True)
class AbandonedWork:
    """What was still in progress when the drain timed out, and was aborted."""

    requests: int = 0
    connections: int = 0


@dataclass(slots=True)
class _Tasks:
    permanent: list[asyncio.Task[None]] = field(default_factory=list)
    calls: set[asyncio.Task[None]] = field(default_factory=set)


class Instance:
    """One entry instance in this process."""

    def __init__(
        self,
        settings: Settings,
        ports: Ports | None = None,
        seed: int | None = None,
        incarnation: str = "",
    ) -> None:
        """
        Create all components, without listening yet.

        With a seed and an incarnation given, all random choices are reproducible.
        """
        self.settings = settings
        limits = settings.limits.limits()
        self.account = client_account(limits)
        self.ports = ports or http_ports(settings, self.account)
        self.timing = settings.timing.timing()
        self.incarnation = incarnation or new_incarnation(settings.instance_id)
        self.rng = random.Random(seed)
        self.traces = Traces(settings.telemetry, settings.instance_id)
        self.peers = self.ports.peers(
            self.incarnation,
            lambda sender, message: self.post(PeerMail(sender, message)),
        )
        loop = asyncio.get_running_loop()
        self.context = Context(
            settings=settings,
            incarnation=self.incarnation,
            clock=loop.time,
            rng=self.rng,
            send=self._send,
            spawn=self._spawn,
            post=self.post,
            port_of=self.ports.worker,
            metrics=Metrics(settings.telemetry, settings.instance_id),
            events=EventRing(),
            membership=Membership(settings.instance_id, self.timing),
            timing=self.timing,
            limits=limits,
            started_s=loop.time(),
        )
        self.config_link = self._link(CONFIG_STREAM, ConfigRecord)
        self.home_link = self._link(home_stream(settings.data_centre), HomeRecord)
        self.control = Control(
            self.context, self.config_link, self.home_link, self.traces
        )
        self.caller_api = CallerApi(
            self.context, self.post, self.control.jobs, self.traces
        )
        self.operator_api = OperatorApi(self.control, self.post, self.traffic)
        bounds = http_limits(limits)
        self.account.on_ended = self._count_ended
        self.callers = self._server("callers", bounds, self.caller_api.handle)
        self.operators = self._server("operators", bounds, self.operator_api.handle)
        self.addresses: Addresses | None = None
        self._tasks = _Tasks()
        # Set when a part without which the instance must not go on has failed.
        self.failed = asyncio.Event()

    def _server(self, name: str, limits: HttpLimits, handler: Handler) -> HttpServer:
        return HttpServer(name, limits, handler, self.account, NOT_RUN_HEADERS)

    def _count_ended(self, listener: str, reason: str) -> None:
        self.context.metrics.count(f"clients_ended.{listener}.{reason}")

    def _link(self, stream: str, record_type: Any) -> StreamLink:
        limits = self.settings.limits.limits()
        return StreamLink(
            stream,
            record_type,
            self.ports.log,
            self.post,
            self.timing.log_poll_interval_s,
            self.timing.commit_interval_s,
            limits.unsent_log_records,
            random.Random(self.rng.random()),
        )

    def post(self, mail: Mail) -> None:
        """Put a message into the control task's mailbox."""
        self.control.mailbox.put_nowait(mail)

    def _send(self, instance_id: str, message: Message) -> bool:
        return self.peers.send(instance_id, message)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.calls.add(task)
        task.add_done_callback(self._call_done)

    def _call_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("instance: Call failed.", error=repr(task.exception()))

    def traffic(self) -> dict[str, int]:
        """Return control messages and bytes, sent and received since the start."""
        platform = self.ports.traffic
        return {
            **asdict(self.peers.traffic),
            "platform_calls": platform.calls,
            "platform_sent_bytes": platform.sent_bytes,
            "platform_received_bytes": platform.received_bytes,
        }

    async def start(self) -> Addresses:
        """Start all tasks and listen."""
        self.start_tasks()
        listen = self.settings.listen
        self.addresses = Addresses(
            await self.callers.start(listen.callers.address()),
            await self.operators.start(listen.operators.address()),
        )
        log.info("instance: Started.", incarnation=self.incarnation)
        return self.addresses

    def start_tasks(self) -> None:
        """Start all tasks except the HTTP listeners."""
        listen = self.settings.listen
        self.peers.listen(listen.peers.address())
        for peer in self.settings.peers:
            self.peers.dial(peer.instance_id, peer.address())
        for coroutine in (
            self.control.run(),
            self.config_link.follow(),
            self.config_link.write(),
            self.home_link.follow(),
            self.home_link.write(),
            self._poll_list(),
            self._tick(),
        ):
            name = getattr(coroutine, "__qualname__", "")
            part = background.start(coroutine, name, self.failed.set)
            self._tasks.permanent.append(part)

    async def _tick(self) -> None:
        while True:
            self.post(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _poll_list(self) -> None:
        jitter = random.Random(self.rng.random())
        while True:
            match await self.ports.instances.workers(self.settings.data_centre):
                case Ok(workers) if workers is not None:
                    self.post(ListMail(workers))
                case Err(detail):
                    log.warning(
                        "list: Reading the instance list failed.", detail=detail
                    )
            interval_s = self.timing.list_poll_interval_s
            await asyncio.sleep(interval_s * jitter.uniform(0.75, 1.25))

    async def drain(self) -> AbandonedWork:
        """
        Stop accepting work, hand over jobs, await requests in flight, then stop.

        What hasn't ended by the drain time-out is aborted and returned as counts.
        """
        log.info("instance: Draining.", incarnation=self.incarnation)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.timing.drain_timeout_s
        done: asyncio.Future[None] = loop.create_future()
        self.post(LeaveMail(done))
        await done
        connections = await self.callers.drain(self.timing.drain_timeout_s)
        while loop.time() < deadline_s and self._unfinished():
            await asyncio.sleep(TICK_INTERVAL_S)
        abandoned = AbandonedWork(self.control.dispatcher.busy(), connections)
        await self.stop()
        return abandoned

    def _unfinished(self) -> bool:
        return self.control.dispatcher.busy() > 0 or self.control.jobs.handing_over()

    async def stop(self) -> None:
        """Stop at once and abort requests in flight."""
        for task in [*self._tasks.permanent, *self._tasks.calls]:
            task.cancel()
        await self.callers.close()
        await self.operators.close()
        await asyncio.gather(
            *self._tasks.permanent, *self._tasks.calls, return_exceptions=True
        )
        self.peers.close()
        for port in self.control.fleet.ports.values():
            port.close()
        self.traces.close()
        log.info("instance: Stopped.", incarnation=self.incarnation)
