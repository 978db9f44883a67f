"""Steps on tasks that crash the workers that start them."""

import asyncio

from behave import then, when
from support.cell_scene import job_id, play
from support.cell_walk import plain

from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle_standins.cell.world import URGENT

CRASH_AFTER_S = 0.01
# From a crash to the death of the holder that sees it: before or after what it decided
# is stored.
HOLDER_AFTER_S = (0.001, 0.02, 2.01, 2.03)


@when(
    'a job "{name}" of {tasks:d} tasks is handed in, '
    "of which task {position:d} crashes its workers"
)
def hand_in_crashing(context, name, tasks, position):
    world = context.world
    world.crashing[TaskKey(job_id(name), 0, 0, position)] = CRASH_AFTER_S
    context.outcome = play(context, world.submit(job_id(name), URGENT, plain(tasks)))


@when("the holder dies soon after each crash, {times:d} times")
def holder_dies(context, times):
    world = context.world

    async def next_crash(seen):
        await world.until(lambda: world.judge.crashes.total() > seen, 15)

    async def kill_again_and_again():
        for number in range(times):
            await next_crash(world.judge.crashes.total())
            await asyncio.sleep(HOLDER_AFTER_S[number % len(HOLDER_AFTER_S)])
            name = world.holder()
            if name is None:
                continue
            await world.kill(name)
            await asyncio.sleep(1.0)
            world.start_instance(name)

    play(context, kill_again_and_again())


@then('the job "{name}" is shown as failed within {seconds_s:g} s')
def shown_as_failed(context, name, seconds_s):
    world = context.world

    async def wait():
        deadline_s = context.loop.time() + seconds_s
        status = None
        while context.loop.time() < deadline_s:
            status = await world.status(job_id(name))
            if status is JobStatus.FAILED:
                return status
            await asyncio.sleep(0.1)
        return status

    status = play(context, wait())
    assert status is JobStatus.FAILED, (status, world.judge.crashes)


@then("at most {most:d} workers crashed")
def workers_crashed(context, most):
    crashes = context.world.judge.crashes
    assert crashes.total() <= most, crashes
