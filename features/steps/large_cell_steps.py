"""Steps on cells with many workers."""

import asyncio

from behave import given, step, then
from support.cell_scene import new_loop, play
from support.cell_walk import build

from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle_standins.cell.world import World

INSTANCES = 2


def _start_cell(context, workers, cell_settings):
    new_loop(context)

    async def begin():
        context.world = World(7, cell_settings=cell_settings)
        await build(context.world, INSTANCES, workers)

    play(context, begin())


@given(
    "a large cell of {workers:d} workers "
    "with an idle report rate of {rate:d} per second"
)
def cell_with_idle_report_rate(context, workers, rate):
    _start_cell(context, workers, CellSettings(idle_reports_per_s=rate))


@given(
    "a large cell of {workers:d} workers "
    "with a limit of {limit:d} concurrent first reports"
)
def cell_with_first_report_limit(context, workers, limit):
    cell_settings = CellSettings(first_reports_max=limit, idle_reports_per_s=2 * limit)
    _start_cell(context, workers, cell_settings)


@step("reading a report takes the holder {cost_ms:d} ms")
def report_read_cost(context, cost_ms):
    def advance_clock():
        context.loop.now_s += cost_ms / 1000

    context.world.faults.on_report_read = advance_clock


@then("the same instance still holds the cell {delay_s:d} s later")
def same_holder_later(context, delay_s):
    world = context.world
    name = world.holder()
    epoch = world.instances[name].holder.epoch
    play(context, asyncio.sleep(delay_s))
    assert world.holder() == name, (name, world.holder())
    assert world.instances[name].holder.epoch == epoch
