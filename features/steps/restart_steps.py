"""Steps on workers that start again under the id that they had."""

import asyncio

from behave import given, when
from support.cell_scene import new_loop, play
from support.cell_walk import build

from hornbeampaddle_standins.cell.world import World


@given("a cell of {instances:d} instances and {workers:d} workers that state no birth")
def start_cell_without_births(context, instances, workers):
    new_loop(context)

    async def begin():
        context.world = World(7, states_births=False)
        await build(context.world, instances, workers)

    play(context, begin())


@given("workers that ignore acknowledgements of ends that are still to come")
def ignore_early_acknowledgements(context):
    for worker in context.world.workers.values():
        worker.drops_ends_ahead = False


@when("every worker starts again under its id after {down_s:g} s")
def restart_all(context, down_s):
    world = context.world

    async def restart():
        names = sorted(world.workers)
        await asyncio.gather(*[world.restart_worker(name, down_s) for name in names])

    play(context, restart())
