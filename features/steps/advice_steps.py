"""Steps on cells that ask an advice service."""

import asyncio
from dataclasses import fields, replace

from behave import given, then, when
from support.cell_scene import act, job_id, play, submit_job
from support.cell_walk import plain

from hornbeampaddle.cell.advice import Allowance
from hornbeampaddle.cell.jobs import Advice, Queue
from hornbeampaddle_standins.cell.world import BATCH, URGENT

ADVISED = Queue("advised", "compute", 0, 4, 1.5, 0.25, Advice(0.02, 0.001))


@given('advice allows only the workers "{one}" and "{other}"')
def advise(context, one, other):
    context.asked = []

    def answer(step_key, worker_ids):
        context.asked += worker_ids
        allowed = {w: "ticket" for w in worker_ids if w.name in (one, other)}
        return Allowance(allowed, 3.0)

    context.world.advised = answer
    world = context.world

    async def restart():
        for name in list(world.instances):
            await world.kill(name)
            world.start_instance(name)
        world.configure(URGENT, BATCH, ADVISED)
        await asyncio.sleep(5)

    play(context, restart())


@when(
    'a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in '
    "to the queue with advice"
)
def hand_in_advised(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, ADVISED)


@when(
    'a gang job "{name}" of {tasks:d} tasks of {cores:d} cores is handed in '
    "to the queue with advice"
)
def hand_in_advised_gang(context, name, tasks, cores):
    step_ = plain(tasks, cores * 1000, gang=True)
    context.outcome = play(context, context.world.submit(job_id(name), ADVISED, step_))


@when("advice is enabled for the urgent queue")
def enable_urgent_advice(context):
    world = context.world
    for worker in world.workers.values():
        worker.needs_ticket = True
    advised = replace(URGENT, advice=ADVISED.advice)
    act(context, world.configure, advised, BATCH, ADVISED)


@given('"{name}" drains')
def drain_worker(context, name):
    worker = context.world.workers[name]
    worker.listing = replace(worker.listing, draining=True)
    act(context, context.world.list_worker, worker)
    play(context, asyncio.sleep(1.0))


@when(
    'a worker "{name}" is listed that the advice service does not know '
    "for {seconds_s:d} s"
)
def list_worker_unknown_to_advice(context, name, seconds_s):
    world = context.world
    answer_known = world.advised
    known_at_s = context.loop.time() + seconds_s

    def answer(step_key, worker_ids):
        if context.loop.time() < known_at_s:
            worker_ids = [
                worker_id for worker_id in worker_ids if worker_id.name != name
            ]
        return answer_known(step_key, worker_ids)

    world.advised = answer
    act(context, world.add_worker, name)
    play(context, asyncio.sleep(1.0))


@then('it ran only on "{one}" and "{other}"')
def ran_on(context, one, other):
    used = {name for name, w in context.world.workers.items() if w.highest_number}
    assert used and used <= {one, other}, used


@then("no worker that may not run the step was asked about again")
def asked_once(context):
    used = {name for name, w in context.world.workers.items() if w.highest_number}
    others = [name for name in context.asked if name not in used]
    assert others and len(others) == len(set(others)), others


@then("no advice is kept {seconds_s:g} s later")
def no_advice(context, seconds_s):
    play(context, asyncio.sleep(seconds_s))
    world = context.world
    advice_state = world.instances[world.holder()].holder.cell.advice
    kept = {f.name: getattr(advice_state, f.name) for f in fields(advice_state)}
    assert context.asked and not any(kept.values()), kept
