"""Steps on runs that fail by the fault of their worker or of their task."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from support.cell_scene import job_id, play, running
from support.cell_walk import plain

from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle_standins.cell.world import URGENT

SICK = "w0"
NAP_S = 0.05


def _watch(context):
    """Collect the holder's decisions with their times."""
    if hasattr(context, "decisions"):
        return
    world = context.world
    cell = world.instances[world.holder()].holder.cell
    context.decisions = []
    log = cell.log

    def watch(entry):
        context.decisions.append((context.loop.time(), entry))
        log(entry)

    cell.log = watch


def _hand_in(context, name, step):
    _watch(context)
    play(context, context.world.submit(job_id(name), URGENT, step))


@when(
    'a job "{name}" of 8 tasks is handed in, two on each worker, that can never be done'
)
def hand_in_doomed(context, name):
    context.world.doomed = lambda key: key.job_id == job_id(name)
    _hand_in(context, name, plain(8, 3000, per_worker_max=2))
    context.doomed = name


@when(
    'a job "{name}" of {tasks:d} tasks is handed in, '
    "of which {doomed:d} can never be done"
)
def hand_in_partly_doomed(context, name, tasks, doomed):
    context.world.doomed = lambda key: (
        key.job_id == job_id(name) and key.position < doomed
    )
    _hand_in(context, name, plain(tasks, 3000, per_worker_max=2))


@given("the holder's decisions are watched")
def watch_decisions(context):
    _watch(context)


@then("it has nothing at work for less than {seconds_s:g} s until it is over")
def check_at_work(context, seconds_s):
    world, loop = context.world, context.loop

    async def longest_gap():
        longest_s = 0.0
        since_s = loop.time()
        while await world.status(job_id(context.doomed)) is not JobStatus.FAILED:
            if running(world, context.doomed):
                since_s = loop.time()
            longest_s = max(longest_s, loop.time() - since_s)
            assert longest_s < seconds_s, longest_s
            await asyncio.sleep(NAP_S)
        return longest_s

    play(context, longest_gap())


def _rests(context):
    """Return when each worker was set aside, by name, in order."""
    return [
        (at_s, entry.detail["worker"].name)
        for at_s, entry in context.decisions
        if entry.event == "worker_rests"
    ]


@then("that worker was set aside as soon as it had failed two tasks")
def check_sick_aside(context):
    failed = [
        at_s
        for at_s, entry in context.decisions
        if entry.event == "run_ended"
        and entry.detail["how"] == "failed"
        and entry.detail["worker"].name == SICK
    ]
    aside = [at_s for at_s, name in _rests(context) if name == SICK]
    assert len(failed) >= 2, failed
    assert aside[0] == failed[1], (aside, failed)


@then("no sound worker was set aside")
def check_sound(context):
    assert {name for _, name in _rests(context)} <= {SICK}, _rests(context)


@then("no sound worker was set aside for longer than {seconds_s:g} s")
def check_sound_briefly(context, seconds_s):
    since_s = {}
    for at_s, entry in context.decisions:
        if entry.event == "worker_rests":
            since_s.setdefault(entry.detail["worker"].name, at_s)
        elif entry.event == "worker_rest_ended":
            begun_s = since_s.pop(entry.detail["worker"].name)
            assert at_s - begun_s <= seconds_s, (entry, begun_s)
    assert set(since_s) <= {SICK}, since_s


@given("its workers report whole percents")
def report_whole_percents(context):
    for worker in context.world.workers.values():
        worker.whole_percents = True


@when(
    'a job "{name}" of {tasks:d} tasks of {work_s:g} s is handed in, '
    "with an estimate of {estimate_s:g} s"
)
def hand_in_long(context, name, tasks, work_s, estimate_s):
    context.world.work_s = work_s
    step = replace(plain(tasks, 3000, per_worker_max=2), estimate_s=estimate_s)
    _hand_in(context, name, step)


def _stops(context):
    return [entry for _, entry in context.decisions if entry.event == "stop"]


@then("no run was stopped")
def check_no_stop(context):
    assert not _stops(context), _stops(context)


@then("at most {count:d} runs were stopped")
def check_stops(context, count):
    assert len(_stops(context)) <= count, len(_stops(context))


@given(
    "each job is deleted and handed in anew in the moment in which a task of it fails"
)
def delete_failing(context):
    world = context.world
    context.holder_name = world.holder()
    cell = world.instances[context.holder_name].holder.cell
    failed = cell.health.failed

    def fail_and_delete(worker, run, now_s):
        failed(worker, run, now_s)
        state = cell.jobs[run.key.job_id]
        cell.forget(run.key.job_id)
        cell.add_job(state.job, None, now_s, now_s)

    cell.health.failed = fail_and_delete


@then("the holder goes on")
def check_holder_goes_on(context):
    assert not context.world.tasks[context.holder_name].done()
    assert context.world.holder() == context.holder_name
