"""Steps for starts and stops that are lost, late, refused or ignored."""

import asyncio

from behave import given, step, then, when
from support.cell_scene import act, job_id, play, running, submit_job
from support.cell_walk import plain

from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.progress import Run
from hornbeampaddle.resources import NOTHING
from hornbeampaddle_cell.callers import Accepted
from hornbeampaddle_cell.ports import Keyed, Topic
from hornbeampaddle_standins.cell.access import OrderFate
from hornbeampaddle_standins.cell.world import URGENT


@given("one order in ten is carried out 4 s late")
def delay_some_orders(context):
    context.world.faults.late_ratio = 0.1


@then('no task of "{name}" runs {seconds_s:g} s later')
def no_task_runs(context, name, seconds_s):
    play(context, asyncio.sleep(seconds_s))
    assert running(context.world, name) == 0


@when(
    'a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in '
    "while no worker is reachable"
)
def submit_while_cut_off(context, name, steps, tasks):
    world = context.world
    world.faults.partitioned |= {(i, w) for i in world.instances for w in world.workers}
    submit_job(context, name, steps, tasks, URGENT)


@when("the workers are reached again")
def reconnect_workers(context):
    context.world.faults.partitioned.clear()


@when("the workers are reached again but carry out no order")
def reconnect_unwell_workers(context):
    reconnect_workers(context)
    for worker in context.world.workers.values():
        worker.unwell = True


@when("the workers carry out orders again")
def recover_workers(context):
    for worker in context.world.workers.values():
        worker.unwell = False


@step("{kind}s {fate} from now on")
def set_order_fate(context, kind, fate):
    if fate.endswith(" s late"):
        context.world.faults.late_s = float(fate.split()[-3])
        fate = OrderFate.LATE.value
    context.world.faults.fates[kind] = OrderFate(fate)


@step("orders are carried out at once again")
def clear_order_fates(context):
    context.world.faults.fates.clear()


@when('a lasting job "{name}" of {tasks:d} tasks is handed in')
def submit_lasting(context, name, tasks):
    step_ = plain(tasks, 4000, lasting=True)
    context.outcome = play(context, context.world.submit(job_id(name), URGENT, step_))
    assert context.outcome == Accepted()


@then('{runs:d} runs of "{name}" began late')
def began_late(context, runs, name):
    spans = [s for s in context.world.checker.spans if s.key.job_id == job_id(name)]
    assert len(spans) == runs, spans


@then("no task of a cancelled job ran on")
def no_cancelled_task_ran_on(context):
    runs_past_cancellation = context.world.checker.runs_past_cancellation(
        context.loop.time()
    )
    assert not runs_past_cancellation, runs_past_cancellation


@then("no capacity is reserved on any worker")
def no_capacity_reserved(context):
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    taken = {name: w.taken for name, w in cell.workers.items() if w.taken != NOTHING}
    assert not taken, taken


@when("a worker runs a task of an unknown job")
def begin_unknown_run(context):
    world = context.world
    worker = world.workers["w0"]
    key = TaskKey(job_id("fade"), 0, 0, 0)
    need = plain(1, 10_000, lasting=True)
    context.stray = Run(key, 1, worker.listing.worker_id, need, need.charge)
    act(context, worker._begin, context.stray)


@when('a worker runs an earlier attempt of a task of "{name}" beside its newest')
def begin_earlier_run(context, name):
    """Begin a run whose start was given up, before the run that follows it."""
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    run = next(r for r in cell.jobs[job_id(name)].runs())
    worker = world.workers[run.worker_id.name]
    assert not worker.runs
    context.stray = Run(run.key, run.number, run.worker_id, run.step, run.charge)
    assert run.number == 1
    cell.jobs[job_id(name)].task(run.key).last_run = 2
    run.number = 2
    act(context, worker._begin, context.stray)


@then("that run is ended within {seconds_s:g} s")
def stray_run_ended(context, seconds_s):
    world = context.world
    worker = world.workers[context.stray.worker_id.name]

    def ended():
        return all(live.run is not context.stray for live in worker.runs.values())

    assert play(context, world.until(ended, seconds_s)), worker.runs


@when('the job "{name}" is dropped from the log')
def drop_job(context, name):
    context.before = context.world.holder()
    context.world.store.write(Topic.JOBS, Keyed(job_id(name), None))


@then("the holder has not changed")
def same_holder(context):
    assert context.world.holder() == context.before, context.world.holder()


@then("the holder sent at most {most:d} stops")
def stops_sent(context, most):
    instance = context.world.instances[context.world.holder()]
    samples = next(iter(instance.metrics.worker_calls.collect())).samples
    sent = sum(
        sample.value
        for sample in samples
        if sample.name.endswith("_total") and sample.labels["call"] == "stop"
    )
    assert 0 < sent <= most, sent


@then("every instance counts {count:d} waiting job {seconds_s:d} s later")
@then("every instance counts {count:d} waiting jobs {seconds_s:d} s later")
def waiting_counts(context, count, seconds_s):
    play(context, asyncio.sleep(seconds_s))
    instances = context.world.instances.values()
    counts = [instance.callers.pending(URGENT.name) for instance in instances]
    assert set(counts) == {count}, counts
