"""Test cells with many random seeds: ``python -m support.cell_walks FIRST COUNT``."""

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor

import structlog

from hornbeampaddle.cell.progress import JobStatus

from .cell_walk import (
    FAULTS,
    FAULTS_BREAKING,
    FAULTS_EVACUATING,
    FAULTS_RESTARTING,
    given_up,
    new_world,
    walk,
)
from .virtual_loop import VirtualLoop

PROCESSES = 4
# In a quarter of the walks workers shrink and tasks crash them, in another data centres
# are evacuated as well, in another workers start again under their ids.
FAULTS_BY_SEED = (FAULTS_BREAKING, FAULTS, FAULTS_EVACUATING, FAULTS_RESTARTING)


def _drop(logger, method, fields):
    raise structlog.DropEvent


def walk_seed(seed):
    """Simulate one seed; return it with the broken promises and unfinished jobs."""
    structlog.configure(processors=[_drop])
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)

    async def walk_and_check():
        world = new_world(seed)
        faults = FAULTS_BY_SEED[seed % len(FAULTS_BY_SEED)]
        await walk(world, faults)
        wrong = [f"{job_id} was given up" for job_id in given_up(world)]
        if faults is FAULTS_RESTARTING:
            # Workers crash so often there that a task may lose two by coincidence.
            wrong = []
        states = {name: await world.status(name) for name in world.accepted}
        await world.close()
        open_ = [
            name
            for name, state in states.items()
            if not isinstance(state, JobStatus) or not state.final
        ]
        return (world.checker.broken + wrong)[:3], open_[:3]

    return seed, *loop.run_until_complete(walk_and_check())


def main(first, count):
    failed_count = 0
    with ProcessPoolExecutor(PROCESSES) as pool:
        for seed, broken, open_ in pool.map(walk_seed, range(first, first + count)):
            if broken or open_:
                failed_count += 1
                print(f"seed {seed}: broken {broken}, open {open_}")
    print(f"{count} walks of cells, {failed_count} broke a promise or left a job open")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
