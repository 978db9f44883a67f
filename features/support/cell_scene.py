"""Run a cell in simulated time from the steps of a scenario."""

import asyncio

from hornbeampaddle_standins.cell.store import StoreFault
from support.cell_walk import plain
from support.virtual_loop import VirtualLoop

STORE_FAULTS = {
    "refuses": StoreFault.REFUSES,
    "is silent": StoreFault.SILENT,
    "loses answers": StoreFault.LOSES_ANSWERS,
    "acts late": StoreFault.LATE,
}


def play(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def act(context, change, *arguments):
    """Apply a change to a simulated component in the cell's event loop."""

    async def change_now():
        change(*arguments)

    play(context, change_now())


def new_loop(context):
    context.loop = VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(close_loop, context)


def close_loop(context):
    context.loop.run_until_complete(context.world.close())
    context.loop.close()


def job_id(text):
    return text.rjust(16, "0")


def running(world, name):
    wanted = job_id(name)
    return sum(
        1 for w in world.workers.values() for key in w.runs if key.job_id == wanted
    )


def submit_job(context, name, steps, tasks, queue, via=None):
    chain = [plain(tasks, after=(n - 1,) if n else ()) for n in range(steps)]
    context.outcome = play(
        context, context.world.submit(job_id(name), queue, *chain, via=via)
    )
