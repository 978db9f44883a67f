"""
Run simulated workers and platform with entry instances in one process, on loopback.

Shared by the demo, the benchmarks and the tests that use real sockets.
"""

import asyncio
import json
import socket
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.records import Needs
from hornbeampaddle.resources import Resources
from hornbeampaddle_entry.instance import Addresses, Instance
from hornbeampaddle_entry.settings import Settings
from hornbeampaddle_standins.instances import InstanceList
from hornbeampaddle_standins.ledger import Ledger
from hornbeampaddle_standins.log import LogMachine
from hornbeampaddle_standins.servers import (
    LOOPBACK,
    PlatformServer,
    ServiceTimes,
    WorkerServer,
)

GIB = 1024**3
OPERATOR_TOKEN = "operators-of-the-testbed"
PEER_KEY = "peers-of-the-testbed-only"
FAST_TIMING = {
    "heartbeat_interval_s": 0.2,
    "suspect_after_s": 0.8,
    "lease_s": 3.0,
    "renew_interval_s": 0.5,
    "authority_s": 1.0,
    "call_timeout_s": 1.0,
    "grant_s": 1.0,
    "log_poll_interval_s": 0.1,
    "list_poll_interval_s": 0.3,
    "commit_interval_s": 0.02,
}


def free_ports(count: int) -> list[int]:
    """Return distinct ports; each was free when it was probed."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((LOOPBACK, 0))
        return [int(probe.getsockname()[1]) for probe in probes]


@dataclass(frozen=True, slots=True)
class DataCentrePlan:
    """The workers and entry instances of one data centre."""

    name: str
    workers: int
    instances: int
    rack_size: int = 2
    capacity: Resources = Resources(64_000, 250 * GIB, 0)
    accelerators_on_first: int = 2


@dataclass(slots=True)
class Testbed:
    """A simulated platform, and entry instances by id."""

    __test__ = False

    plans: list[DataCentrePlan]
    times: ServiceTimes
    out: Path | None = None
    timing: dict[str, float] = field(default_factory=lambda: dict(FAST_TIMING))
    limits: dict[str, Any] = field(default_factory=dict)
    ledger: Ledger = field(default_factory=Ledger)
    log: LogMachine = field(default_factory=LogMachine)
    instance_list: InstanceList = field(default_factory=InstanceList)
    workers: dict[str, WorkerServer] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    addresses: dict[str, Addresses] = field(default_factory=dict)
    settings: dict[str, Settings] = field(default_factory=dict)
    platform: PlatformServer | None = None

    async def start(self) -> None:
        """Start the platform, the workers and the entry instances."""
        self.platform = PlatformServer(self.log, self.instance_list)
        await self.platform.start()
        for plan in self.plans:
            await self._start_workers(plan)
            self._prepare_settings(plan)
        for instance_id in self.settings:
            await self.start_instance(instance_id)

    async def _start_workers(self, plan: DataCentrePlan) -> None:
        checkpoints: dict[str, tuple[int, float]] = {}
        for number in range(plan.workers):
            capacity = plan.capacity
            if number == 0:
                capacity = capacity + Resources(0, 0, plan.accelerators_on_first)
            worker = Worker(
                worker_id=f"{plan.name}-w{number}",
                address=Address(LOOPBACK, 0),
                data_centre=plan.name,
                rack=f"{plan.name}-r{number // plan.rack_size}",
                capacity=capacity,
            )
            # The clocks differ by far more than any deadline, because nothing may
            # depend on synchronized clocks.
            offset_s = 1000.0 * (number + 1)
            server = WorkerServer(worker, self.ledger, self.times, offset_s)
            server.machine.checkpoints = checkpoints
            await server.start()
            self.workers[worker.worker_id] = server
            self.instance_list.put(server.worker)

    def _prepare_settings(self, plan: DataCentrePlan) -> None:
        names = [f"{plan.name}-e{number}" for number in range(plan.instances)]
        ports = dict(zip(names, free_ports(len(names)), strict=True))
        for name in names:
            peers = [
                {"instance_id": other, "host": LOOPBACK, "port": ports[other]}
                for other in names
                if other != name
            ]
            self.settings[name] = self._build_settings(
                name, plan.name, ports[name], peers
            )

    def _build_settings(
        self, name: str, data_centre: str, peer_port: int, peers: list[dict[str, Any]]
    ) -> Settings:
        assert self.platform is not None
        platform = {"host": LOOPBACK, "port": self.platform.address.port}
        telemetry = {}
        if self.out is not None:
            telemetry = {"traces_file": str(self.out / f"{name}.traces.jsonl")}
        raw = {
            "instance_id": name,
            "data_centre": data_centre,
            "listen": {
                "callers": {"host": LOOPBACK, "port": 0},
                "operators": {"host": LOOPBACK, "port": 0},
                "peers": {"host": LOOPBACK, "port": peer_port},
            },
            "platform": {"log": platform, "instances": platform},
            "peers": peers,
            "peer_key": PEER_KEY,
            "operator_token": OPERATOR_TOKEN,
            "telemetry": telemetry,
            "timing": self.timing,
            "limits": self.limits,
        }
        text = json.dumps(raw, indent=2)
        if self.out is not None:
            (self.out / f"{name}.settings.json").write_text(text + "\n")
        return Settings.model_validate_json(text)

    async def start_instance(self, instance_id: str) -> Instance:
        """Start an instance, or restart it as a new incarnation."""
        instance = Instance(self.settings[instance_id])
        self.addresses[instance_id] = await instance.start()
        self.instances[instance_id] = instance
        return instance

    async def kill_instance(self, instance_id: str) -> None:
        """Stop an instance abruptly, as if its process had crashed."""
        instance = self.instances.pop(instance_id)
        del self.addresses[instance_id]
        await instance.stop()

    async def drain_instance(self, instance_id: str) -> None:
        """Stop an instance gracefully."""
        instance = self.instances[instance_id]
        await instance.drain()
        del self.instances[instance_id]
        del self.addresses[instance_id]

    async def kill_worker(self, worker_id: str) -> None:
        """Kill a worker; the instance list still contains it for a while."""
        await self.workers[worker_id].kill()

    async def stop(self) -> None:
        """Stop the entry instances, the workers and the platform."""
        await asyncio.gather(*(i.stop() for i in self.instances.values()))
        for worker in self.workers.values():
            await worker.server.close()
        if self.platform is not None:
            await self.platform.server.close()


def slot_needs() -> Needs:
    """Return the resources that one slot of the testbed's service reserves."""
    return Needs(2000, 4 * GIB, 0)
