"""
Simulate whole cells in virtual time: instances, store, workers and callers.

The instances run the product's code; only their ports and their clock are replaced.
A world is driven by a script, a coroutine in its event loop that lets time pass and
injects faults.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

import msgspec

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import Job, Queue, Step, StepKey, TaskKey
from hornbeampaddle.cell.progress import JobStatus, Run
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.decoding import UnreadableError, decode
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

from .access import OrderFaults, WorkerAccess
from .processor import Processor, ProcessorCosts
from .store import CellStore
from .workers import (
    ENDS_PER_REPORT_MAX,
    RESTART_DELAY_S,
    CellWorker,
    InvariantChecker,
)

MIB = 2**20
# Unix time at which the simulated clock shows zero.
EPOCH_S = 1_700_000_000
ROUTE_HOST = "host"
# Key prefix of the operator's evacuation records; the data centre's name follows.
EVACUATE_PREFIX = "evacuate/"
# One-way latency of a message between two instances.
PEER_LATENCY_S = 0.002
# The entry of a crashed worker is removed after three missed heartbeats.
UNLIST_DELAY_S = 3.3
LIMITS = CallerLimits(16_384, 262_144, 3.0, 15.0)
URGENT = Queue("urgent", "compute", 0, 4, 1.5, 0.25)
BATCH = Queue("batch", "compute", 2, 2, 2.0, 1.0)


_configuration_decoder = msgspec.msgpack.Decoder(Configuration)
_listing_decoder = msgspec.msgpack.Decoder(WorkerListing)


class WorldCodec:
    """The codec of the simulated records: the product's own types in msgpack."""

    def configuration(
        self, record: Keyed
    ) -> Configuration | UnreadableConfiguration | None:
        """Return the configuration, readable or not; None for other records."""
        if record.key != "config" or record.value is None:
            return None
        try:
            return decode(_configuration_decoder, record.value)
        except UnreadableError:
            return UnreadableConfiguration()

    def evacuation(self, record: Keyed) -> Evacuation | None:
        """Return the start or end of an evacuation; None for other records."""
        if not record.key.startswith(EVACUATE_PREFIX):
            return None
        name = record.key.removeprefix(EVACUATE_PREFIX)
        return Evacuation(name, record.value is not None)

    def worker(self, record: Keyed) -> WorkerListing | None:
        """Return the listing, or None if the entry was removed or names no worker."""
        if record.value is None:
            return None
        try:
            return decode(_listing_decoder, record.value)
        except UnreadableError:
            return None


class WorldPeers:
    """The peer port of one instance; messages take ``PEER_LATENCY_S`` each way."""

    def __init__(self, world: "World", name: str) -> None:
        """Call on behalf of ``name``; a peer is found by its address's host."""
        self.world = world
        self.name = name

    async def call(self, address: Address, data: bytes, timeout_s: float) -> bytes:
        """Return the answer, or an empty one on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(PEER_LATENCY_S)
                instance = self.world.instances.get(address.host)
                if instance is None or instance.relay is None:
                    await asyncio.sleep(timeout_s)
                    return b""
                await self._transfer(address.host, data)
                answer = await instance.relay.serve(data)
                await asyncio.sleep(PEER_LATENCY_S)
                await self._transfer(self.name, answer)
                return answer
        except TimeoutError:
            return b""

    async def _transfer(self, name: str, data: bytes) -> None:
        """Wait until a message has passed the link of the instance that receives it."""
        link = self.world.store.links.get(name)
        if link is not None:
            await link.transfer(len(data))


class SkewedClock:
    """The clocks of one instance; after a pause they show the current time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        skew_s: float,
        processor: Processor | None = None,
    ) -> None:
        """Read the simulated ``loop``; ``skew_s`` is the error of the wall clock."""
        self.loop = loop
        self.skew_s = skew_s
        self.processor = processor

    def now_s(self) -> float:
        """Return simulated seconds, at the end of a decision that is charged."""
        if self.processor is None:
            return self.loop.time()
        return max(self.loop.time(), self.processor.deciding_until_s)

    def wall_s(self) -> float:
        """Return simulated Unix seconds."""
        return EPOCH_S + self.now_s() + self.skew_s


@dataclass
class World:
    """The instances and their simulated environment."""

    seed: int
    work_s: float = 1.0
    fail_ratio: float = 0.0
    slope_of: Callable[[str, str], float] = lambda serving, filling: 0.0
    cell_settings: CellSettings = field(default_factory=CellSettings)
    store_reads_per_s: float = 2000.0
    store: CellStore = field(default_factory=CellStore)
    checker: InvariantChecker = field(default_factory=InvariantChecker)
    workers: dict[str, CellWorker] = field(default_factory=dict)
    instances: dict[str, Instance] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # Instances may reach the store through one another.
    relays: bool = False
    # Answers the instances' advice requests; None if there is no advice service.
    advised: Callable[[StepKey, Sequence[WorkerId]], Allowance | None] | None = None
    accepted: dict[str, Job] = field(default_factory=dict)
    # By task that crashes every worker it runs on: the seconds from start to crash.
    crashing: dict[TaskKey, float] = field(default_factory=dict)
    # Whether every run of a task fails, by its own fault.
    doomed: Callable[[TaskKey], bool] = lambda key: False
    # The delay after which crashed workers start again under their ids; None if they
    # come back under other ids.
    begin_again_after_s: float | None = None
    # What work costs the instances; None if it takes no time.
    costs: ProcessorCosts | None = None
    processors: dict[str, Processor] = field(default_factory=dict)
    # How many ends a worker lists in one report at most.
    ends_per_report: int = ENDS_PER_REPORT_MAX
    # Workers state when they started; those of older deployments do not.
    states_births: bool = True
    # Crashed workers do not answer, instead of refusing connections, and do not
    # restart.
    crashes_silent: bool = False

    def __post_init__(self) -> None:
        """Seed the random sources."""
        self.random = Random(self.seed)
        self.faults = OrderFaults(Random(self.seed + 1))
        self.version = 0
        self.instance_starts = 0
        self.restarts = 0

    # Set-up

    def configure(self, *queues: Queue) -> None:
        """Write the operator's configuration, with one route per queue."""
        self.version += 1
        routes = tuple(
            QueueRoute(ROUTE_HOST, f"/{queue.name}/", queue) for queue in queues
        )
        value = msgspec.msgpack.encode(Configuration(self.version, routes, LIMITS))
        self.store.write(Topic.OPERATOR, Keyed("config", value))

    def evacuate(self, data_centre: str) -> None:
        """Write the operator's order that no task starts in a data centre."""
        key = f"{EVACUATE_PREFIX}{data_centre}"
        self.store.write(Topic.OPERATOR, Keyed(key, b"{}"))
        now_s = asyncio.get_running_loop().time()
        self.checker.evacuated_at_s.setdefault(data_centre, now_s)

    def end_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre."""
        key = f"{EVACUATE_PREFIX}{data_centre}"
        self.store.write(Topic.OPERATOR, Keyed(key, None))
        self.checker.evacuated_at_s.pop(data_centre, None)

    def add_worker(
        self,
        name: str,
        cpu_millis: int = 16_000,
        memory_mib: int = 64_000,
        data_centre: str = "dc-1",
    ) -> CellWorker:
        """Start a worker and write its entry."""
        listing = WorkerListing(
            self._new_worker_id(name),
            "compute",
            Address("127.0.0.1", 1),
            data_centre,
            Resources(cpu_millis, memory_mib * MIB, 0),
            frozenset({"a", "r1-1"}),
        )
        skew_s = self.random.uniform(-50, 50)
        worker = CellWorker(listing, self.checker, self._work, self.slope_of, skew_s)
        worker.crash_after_s = lambda run: self.crashing.get(run.key)
        worker.on_crash = self._crashed
        worker.ends_per_report = self.ends_per_report
        self.workers[name] = worker
        self.list_worker(worker)
        self.tasks[name] = asyncio.create_task(worker.live())
        return worker

    def _new_worker_id(self, name: str) -> WorkerId:
        """Return the id of an incarnation that starts now."""
        if not self.states_births:
            return WorkerId(name)
        now_s = asyncio.get_running_loop().time()
        return WorkerId(name, round(1000 * (EPOCH_S + now_s)))

    def resize_worker(self, name: str, cpu_millis: int) -> None:
        """Change a worker's capacity while it runs, and update its entry."""
        worker = self.workers[name]
        worker.resize(replace(worker.listing.capacity, cpu_millis=cpu_millis))
        self.list_worker(worker)

    def list_worker(self, worker: CellWorker) -> None:
        """Write a worker's entry."""
        value = msgspec.msgpack.encode(worker.listing)
        self.store.write(Topic.WORKERS, Keyed(worker.listing.worker_id.name, value))

    def unlist_worker(self, name: str) -> None:
        """Remove a worker's entry."""
        self.store.write(Topic.WORKERS, Keyed(name, None))

    async def restart_worker(self, name: str, down_s: float = 0.0) -> None:
        """
        Crash a worker and start it again under its id, on the same address.

        Its entry is removed meanwhile if that takes longer than three heartbeats.
        """
        earlier = self.workers[name]
        earlier.on_crash = lambda worker: None
        earlier.crash()
        await asyncio.sleep(min(down_s, UNLIST_DELAY_S))
        if down_s > UNLIST_DELAY_S:
            self.unlist_worker(name)
            await asyncio.sleep(down_s - UNLIST_DELAY_S)
        self.begin_again(earlier)

    def begin_again(self, earlier: CellWorker) -> None:
        """
        Start a crashed worker again under its id, unless that has happened.

        The new incarnation has no runs, ends or fencing token, and its clock starts
        anew.
        """
        name = earlier.listing.worker_id.name
        if self.workers[name] is not earlier:
            return
        listing = replace(earlier.listing, worker_id=self._new_worker_id(name))
        now_s = asyncio.get_running_loop().time()
        worker = CellWorker(
            listing, self.checker, self._work, self.slope_of, skew_s=-now_s
        )
        worker.crash_after_s = lambda run: self.crashing.get(run.key)
        worker.on_crash = self._crashed
        worker.drops_ends_ahead = earlier.drops_ends_ahead
        worker.ends_per_report = self.ends_per_report
        self.restarts += 1
        self.workers[name] = worker
        self.list_worker(worker)
        self.tasks[f"{name} {self.restarts}"] = asyncio.create_task(worker.live())

    def _crashed(self, worker: CellWorker) -> None:
        loop = asyncio.get_running_loop()
        if self.begin_again_after_s is not None:
            loop.call_later(self.begin_again_after_s, self.begin_again, worker)
            return
        loop.call_later(
            UNLIST_DELAY_S, self.unlist_worker, worker.listing.worker_id.name
        )
        if self.crashes_silent:
            worker.refuses = False
        else:
            loop.call_later(RESTART_DELAY_S, self._restart_worker, worker)

    def _restart_worker(self, worker: CellWorker) -> None:
        self.restarts += 1
        worker.replaced = True
        name, _, _ = worker.listing.worker_id.name.partition("+")
        room = worker.listing.capacity
        self.add_worker(
            f"{name}+{self.restarts}",
            room.cpu_millis,
            room.memory_bytes // MIB,
            worker.listing.data_centre,
        )

    def _work(self, run: Run) -> tuple[float, bool]:
        spread = Random(f"{self.seed} {run.key}").uniform(0.5, 1.5)
        fails = self.random.random() < self.fail_ratio or self.doomed(run.key)
        return max(0.1, spread * self.work_s), fails

    def start_instance(self, name: str, skew_s: float = 0.0) -> Instance:
        """Start or restart an instance."""
        self.instance_starts += 1
        address = Address(name, 1) if self.relays else None
        settings = InstanceSettings(
            f"{name}-{self.instance_starts}",
            name,
            "dc-1",
            1.0,
            address,
            self.cell_settings,
            store_reads_per_s=self.store_reads_per_s,
        )

        processor = None
        if self.costs is not None:
            processor = self.processors[name] = Processor(self.costs)

        def make_worker(listing: WorkerListing, token: int) -> WorkerAccess:
            worker_name = listing.worker_id.name
            return WorkerAccess(
                lambda: self.workers[worker_name], name, token, self.faults, processor
            )

        advice = self if self.advised is not None else None
        instance = Instance(
            settings,
            SkewedClock(asyncio.get_running_loop(), skew_s, processor),
            self.store.port(name, processor),
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
        """Seed all random sources of an instance from the world's seed."""
        seed = self.seed + self.instance_starts
        instance.leadership.random = Random(seed)
        instance.peer_directory.random = Random(seed)
        for follower in (instance.jobs, instance.progress, instance.operator):
            follower.random = Random(seed)

    async def ask(
        self, step: StepKey, worker_ids: Sequence[WorkerId]
    ) -> Allowance | None:
        """Answer an advice request."""
        await asyncio.sleep(0.05)
        assert self.advised is not None
        return self.advised(step, worker_ids)

    # Faults

    async def kill(self, name: str) -> None:
        """Kill an instance."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.instances[name]

    def holder(self) -> str | None:
        """Return the name of the instance that holds the cell, or None."""
        for name, instance in self.instances.items():
            if instance.holder is not None and instance.holder.may_send_orders():
                return name
        return None

    # Callers

    def served(self) -> list[str]:
        """Return the instances without a store fault."""
        faults = self.store.faults
        return [name for name in sorted(self.instances) if name not in faults]

    async def submit(
        self, job_id: str, queue: Queue, *steps: Step, via: str | None = None
    ) -> Submitted:
        """Submit a job through one instance, a random one by default."""
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
            self.checker.cancelled_at_s.setdefault(job_id, instance.clock.now_s())
        return outcome

    async def status(self, job_id: str, via: str | None = None) -> object:
        """Query a job's status."""
        name = via or self.served()[0]
        return await self.instances[name].callers.query(job_id)

    async def until_done(self, job_id: str, within_s: float) -> bool:
        """Wait until a job is reported as completed; return False on a timeout."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if await self.status(job_id) is JobStatus.COMPLETED:
                return True
            await asyncio.sleep(0.1)
        return False

    async def until(self, what: Callable[[], bool], within_s: float) -> bool:
        """Wait until ``what`` returns true; return False on a timeout."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if what():
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self) -> None:
        """Cancel all tasks of the world."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
