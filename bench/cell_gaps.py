"""
Measure, in simulated time, the cost of each fault to a cell under steady load.

Instances run on a simulated platform; a small job arrives every 0.2 s. Reported for
each fault: the longest time without a new start while jobs wait, the runs that were
lost although their workers were alive, and the violated guarantees.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import structlog

sys.path.insert(0, str(Path(__file__).parent.parent / "features"))

from support.cell_walk import build, plain  # noqa: E402
from support.virtual_loop import VirtualLoop  # noqa: E402

from hornbeampaddle_standins.cell.store import StoreFault  # noqa: E402
from hornbeampaddle_standins.cell.world import URGENT, World  # noqa: E402

SEEDS = 10
WARM_UP_S = 10.0
OBSERVATION_S = 25.0
JOB_INTERVAL_S = 0.2
OUTAGE_S = 5.0


@dataclass(frozen=True)
class FaultCost:
    """The cost of one fault in one simulation run."""

    gap_s: float
    lost_runs: int
    broken: int


async def _no_fault(world: World) -> None:
    """Inject nothing: the baseline for the faults."""


async def _kill_holder(world: World) -> None:
    name = world.holder()
    assert name is not None
    await world.kill(name)


async def _stop_holder(world: World) -> None:
    name = world.holder()
    assert name is not None
    await world.instances[name].stop()


async def _refuse_holder(world: World) -> None:
    world.store.faults[world.holder() or ""] = StoreFault.REFUSES


async def _silence_holder(world: World) -> None:
    world.store.faults[world.holder() or ""] = StoreFault.SILENT


async def _kill_all(world: World) -> None:
    for name in list(world.instances):
        await world.kill(name)
    await asyncio.sleep(1.0)
    for number in range(3):
        world.start_instance(f"i{number}")


def _store_outage(fault: StoreFault) -> Callable[[World], Awaitable[None]]:
    async def inject(world: World) -> None:
        world.store.faults[""] = fault
        await asyncio.sleep(OUTAGE_S)
        world.store.faults.clear()

    return inject


async def _slow_store(world: World) -> None:
    world.store.round_trip_s *= 60
    await asyncio.sleep(OUTAGE_S)
    world.store.round_trip_s /= 60


FAULTS: dict[str, Callable[[World], Awaitable[None]]] = {
    "none": _no_fault,
    "holder killed": _kill_holder,
    "holder told to stop": _stop_holder,
    "holder turned away by the store": _refuse_holder,
    "holder's store is silent": _silence_holder,
    "all instances killed for 1 s": _kill_all,
    "store refuses all for 5 s": _store_outage(StoreFault.REFUSES),
    "store silent to all for 5 s": _store_outage(StoreFault.SILENT),
    "store loses all answers for 5 s": _store_outage(StoreFault.LOSES_ANSWERS),
    "store 60 times slower for 5 s": _slow_store,
}


async def _load(world: World) -> None:
    number = 0
    while True:
        await asyncio.sleep(JOB_INTERVAL_S)
        number += 1
        names = world.served()
        if names:
            job_id = f"{number:016x}"
            asyncio.create_task(
                world.submit(job_id, URGENT, plain(2, 500), via=names[0])
            )


async def _run_fault(seed: int, fault: Callable[[World], Awaitable[None]]) -> FaultCost:
    world = World(seed, work_s=2.0)
    await build(world, 3, 6)
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(_load(world))
    await asyncio.sleep(WARM_UP_S)
    begun_s = loop.time()
    await fault(world)
    await asyncio.sleep(OBSERVATION_S)
    load.cancel()
    await asyncio.sleep(10.0)
    starts = world.checker.started_at_s
    within = [at_s for at_s in starts if begun_s - 1 < at_s < begun_s + OBSERVATION_S]
    gaps = [after - before for before, after in zip(within, within[1:], strict=False)]
    lost = world.checker.starts - len(world.checker.done)
    broken = len(world.checker.broken)
    await world.close()
    return FaultCost(max(gaps, default=OBSERVATION_S), lost, broken)


def _drop_log_event(logger: object, method: str, fields: object) -> dict[str, object]:
    raise structlog.DropEvent


def _run_seed(seed: int, fault: Callable[[World], Awaitable[None]]) -> FaultCost:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run_fault(seed, fault))
    finally:
        loop.close()


def main() -> None:
    """Print for each fault the gaps, the lost runs and the violated guarantees."""
    structlog.configure(processors=[_drop_log_event])
    print("| fault | gap, median s | longest s | runs lost | promises broken |")
    print("| --- | --- | --- | --- | --- |")
    for name, fault in FAULTS.items():
        costs = [_run_seed(seed, fault) for seed in range(SEEDS)]
        gaps = sorted(cost.gap_s for cost in costs)
        lost = sum(cost.lost_runs for cost in costs)
        broken = sum(cost.broken for cost in costs)
        print(
            f"| {name} | {gaps[SEEDS // 2]:.2f} | {gaps[-1]:.2f} | {lost} | {broken} |"
        )


if __name__ == "__main__":
    main()
