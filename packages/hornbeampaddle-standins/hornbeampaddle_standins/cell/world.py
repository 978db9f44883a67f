"""
Play whole cells in simulated time: instances, store, workers, callers.

The instances are the real ones; only their ports and their clock are replaced.
A world is driven from inside its event loop by a script, a coroutine that lets
time pass and breaks things.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

import msgspec

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.jobs import Job, Queue, Step, StepKey, TaskKey
from hornbeampaddle.cell.progress import JobStatus, Run
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_cell.callers import Accepted, Submitted
from hornbeampaddle_cell.instance import Instance
from hornbeampaddle_cell.ports import (
    CallerLimits,
    Configuration,
    Evacuation,
    Keyed,
    QueueRoute,
    Topic,
    UnreadableConfiguration,
)
from hornbeampaddle_cell.settings import InstanceSettings

from .store import CellStore
from .workers import RESTART_S, CellWorker, Judge, OrderFaults, WorkerAccess

MIB = 2**20
ROUTE_HOST = "host"
# The operator's records that ask for evacuations have the data centre's name behind it.
EVACUATE_PREFIX = "evacuate/"
# A message between two instances takes this long one way.
PEER_S = 0.002
# The entry of a worker that crashed goes after three signs of life that did not come.
UNLIST_S = 3.3
LIMITS = CallerLimits(16_384, 262_144, 3.0, 15.0)
URGENT = Queue("urgent", "compute", 0, 4, 1.5, 0.25)
BATCH = Queue("batch", "compute", 2, 2, 2.0, 1.0)


class WorldCodec:
    """Records as the stand-ins write them: the product's own types."""

    def configuration(
        self, record: Keyed
    ) -> Configuration | UnreadableConfiguration | None:
        """Return the configuration, readable or not; nothing for another record."""
        if record.key != "config" or record.value is None:
            return None
        try:
            return msgspec.msgpack.decode(record.value, type=Configuration)
        except msgspec.DecodeError:
            return UnreadableConfiguration()

    def evacuation(self, record: Keyed) -> Evacuation | None:
        """Return an evacuation that begins or ends, or nothing if it is another."""
        if not record.key.startswith(EVACUATE_PREFIX):
            return None
        name = record.key.removeprefix(EVACUATE_PREFIX)
        return Evacuation(name, record.value is not None)

    def worker(self, record: Keyed) -> WorkerListing | None:
        """Return the listing, or nothing if the worker has left."""
        if record.value is None:
            return None
        return msgspec.msgpack.decode(record.value, type=WorkerListing)


class WorldPeers:
    """Requests between the instances of a world; each takes a moment both ways."""

    def __init__(self, world: "World", name: str) -> None:
        """Ask for one instance; find others by the host of their peer address."""
        self.world = world
        self.name = name

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Return the answer; empty if none came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(PEER_S)
                instance = self.world.instances.get(address.host)
                if instance is None or instance.relay is None:
                    await asyncio.sleep(timeout_s)
                    return b""
                answer = await instance.relay.serve(data)
                await asyncio.sleep(PEER_S)
                link = self.world.store.links.get(self.name)
                if link is not None:
                    await link.carry(len(answer))
                return answer
        except TimeoutError:
            return b""


class SkewedClock:
    """The clocks of one instance; a frozen one shows the time when it wakes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, skew_s: float) -> None:
        """Keep the simulated loop and how far the time of day is off."""
        self.loop = loop
        self.skew_s = skew_s

    def now_s(self) -> float:
        """Return simulated seconds."""
        return self.loop.time()

    def wall_s(self) -> float:
        """Return simulated Unix seconds."""
        return 1_700_000_000 + self.now_s() + self.skew_s


@dataclass
class World:
    """Everything around the instances, and the instances."""

    seed: int
    work_s: float = 1.0
    fail_ratio: float = 0.0
    slope_of: Callable[[str, str], float] = lambda serving, filling: 0.0
    cell_settings: CellSettings = field(default_factory=CellSettings)
    store_reads_per_s: float = 2000.0
    store: CellStore = field(default_factory=CellStore)
    judge: Judge = field(default_factory=Judge)
    workers: dict[str, CellWorker] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # Instances reach the store through one another.
    relays: bool = False
    advised: Callable[[StepKey, Sequence[str]], Allowance | None] | None = None
    accepted: dict[str, Job] = field(default_factory=dict)
    # Tasks that crash each worker that starts them, so many seconds after the start.
    crashing: dict[TaskKey, float] = field(default_factory=dict)
    # Crashed workers are silent, and do not come back.
    crashes_dark: bool = False

    def __post_init__(self) -> None:
        """Draw everything from the seed."""
        self.random = Random(self.seed)
        self.faults = OrderFaults(Random(self.seed + 1))
        self.version = 0
        self.lives = 0
        self.restarts = 0

    # Building

    def configure(self, *queues: Queue) -> None:
        """Write a configuration, as an operator does."""
        self.version += 1
        routes = tuple(
            QueueRoute(ROUTE_HOST, f"/{queue.name}/", queue) for queue in queues
        )
        value = msgspec.msgpack.encode(Configuration(self.version, routes, LIMITS))
        self.store.write(Topic.OPERATOR, Keyed("config", value))

    def evacuate(self, data_centre: str) -> None:
        """Ask, as an operator, that nothing more starts in a data centre."""
        key = f"{EVACUATE_PREFIX}{data_centre}"
        self.store.write(Topic.OPERATOR, Keyed(key, b"{}"))
        now_s = asyncio.get_running_loop().time()
        self.judge.evacuated_at_s.setdefault(data_centre, now_s)

    def take_back(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        key = f"{EVACUATE_PREFIX}{data_centre}"
        self.store.write(Topic.OPERATOR, Keyed(key, None))
        self.judge.evacuated_at_s.pop(data_centre, None)

    def add_worker(
        self,
        name: str,
        cpu_millis: int = 16_000,
        memory_mib: int = 64_000,
        data_centre: str = "dc-1",
    ) -> CellWorker:
        """Start a worker and list it."""
        listing = WorkerListing(
            name,
            "compute",
            Address("127.0.0.1", 1),
            data_centre,
            Resources(cpu_millis, memory_mib * MIB, 0),
            frozenset({"a", "r1-1"}),
        )
        skew_s = self.random.uniform(-50, 50)
        worker = CellWorker(listing, self.judge, self._work, self.slope_of, skew_s)
        worker.crash_after_s = lambda run: self.crashing.get(run.key)
        worker.on_crash = self._crashed
        self.workers[name] = worker
        self.list_worker(worker)
        self.tasks[name] = asyncio.create_task(worker.live())
        return worker

    def resize_worker(self, name: str, cpu_millis: int) -> None:
        """Let a worker hold more or less while it runs, and say so."""
        worker = self.workers[name]
        worker.resize(replace(worker.listing.capacity, cpu_millis=cpu_millis))
        self.list_worker(worker)

    def list_worker(self, worker: CellWorker) -> None:
        """Write a worker's entry."""
        value = msgspec.msgpack.encode(worker.listing)
        self.store.write(Topic.WORKERS, Keyed(worker.listing.worker_id, value))

    def unlist_worker(self, name: str) -> None:
        """Drop a worker's entry."""
        self.store.write(Topic.WORKERS, Keyed(name, None))

    def _crashed(self, worker: CellWorker) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(UNLIST_S, self.unlist_worker, worker.listing.worker_id)
        if self.crashes_dark:
            worker.refuses = False
        else:
            loop.call_later(RESTART_S, self._restart_worker, worker)

    def _restart_worker(self, worker: CellWorker) -> None:
        self.restarts += 1
        worker.replaced = True
        name, _, _ = worker.listing.worker_id.partition("+")
        room = worker.listing.capacity
        self.add_worker(
            f"{name}+{self.restarts}",
            room.cpu_millis,
            room.memory_bytes // MIB,
            worker.listing.data_centre,
        )

    def _work(self, run: Run) -> tuple[float, bool]:
        spread = Random(f"{self.seed} {run.key}").uniform(0.5, 1.5)
        fails = self.random.random() < self.fail_ratio
        return max(0.1, spread * self.work_s), fails

    def start_instance(self, name: str, skew_s: float = 0.0) -> Instance:
        """Start the process of an instance, for the first time or again."""
        self.lives += 1
        address = Address(name, 1) if self.relays else None
        settings = InstanceSettings(
            f"{name}-{self.lives}",
            name,
            "dc-1",
            1.0,
            address,
            self.cell_settings,
            store_reads_per_s=self.store_reads_per_s,
        )

        def make_worker(listing: WorkerListing, token: int) -> WorkerAccess:
            worker = self.workers[listing.worker_id]
            return WorkerAccess(worker, name, token, self.faults)

        advice = self if self.advised is not None else None
        instance = Instance(
            settings,
            SkewedClock(asyncio.get_running_loop(), skew_s),
            self.store.port(name),
            WorldCodec(),
            make_worker,
            advice,
            WorldPeers(self, name) if self.relays else None,
        )
        self._seed(instance)
        self.instances[name] = instance
        self.tasks[name] = asyncio.create_task(instance.run())
        return instance

    def _seed(self, instance: Instance) -> None:
        """Draw all that an instance draws from the world's seed."""
        seed = self.seed + self.lives
        instance.leadership.random = Random(seed)
        instance.peer_directory.random = Random(seed)
        for follower in (instance.jobs, instance.progress, instance.operator):
            follower.random = Random(seed)

    async def ask(self, step: StepKey, worker_ids: Sequence[str]) -> Allowance | None:
        """Answer a question for advice."""
        await asyncio.sleep(0.05)
        assert self.advised is not None
        return self.advised(step, worker_ids)

    # Breaking

    async def kill(self, name: str) -> None:
        """End an instance's process at once."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.instances[name]

    def holder(self) -> str | None:
        """Return the instance that holds the cell, if one does."""
        for name, instance in self.instances.items():
            if instance.holder is not None and instance.holder.may_send_orders():
                return name
        return None

    # Callers

    def served(self) -> list[str]:
        """Return the instances that the store serves."""
        faults = self.store.faults
        return [name for name in sorted(self.instances) if name not in faults]

    async def submit(
        self, job_id: str, queue: Queue, *steps: Step, via: str | None = None
    ) -> Submitted:
        """Hand a job in, through one instance."""
        name = via or self.random.choice(sorted(self.instances))
        instance = self.instances[name]
        job = Job(job_id, queue, "payload", steps, 0.0)
        deadline_s = instance.clock.now_s() + 3.0
        outcome = await instance.callers.submit(job, deadline_s)
        if isinstance(outcome, Accepted):
            self.accepted[job_id] = job
        return outcome

    async def cancel(self, job_id: str, via: str) -> object:
        """Cancel a job through one instance."""
        instance = self.instances[via]
        outcome = await instance.callers.cancel(job_id, instance.clock.now_s() + 3.0)
        if isinstance(outcome, Accepted):
            self.judge.cancelled_at_s.setdefault(job_id, instance.clock.now_s())
        return outcome

    async def status(self, job_id: str, via: str | None = None) -> object:
        """Ask for a job's status."""
        name = via or self.served()[0]
        return await self.instances[name].callers.query(job_id)

    async def until_done(self, job_id: str, within_s: float) -> bool:
        """Wait until a job is shown as completed."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if await self.status(job_id) is JobStatus.COMPLETED:
                return True
            await asyncio.sleep(0.1)
        return False

    async def until(self, what: Callable[[], bool], within_s: float) -> bool:
        """Wait until something is so."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if what():
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self) -> None:
        """End everything."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
