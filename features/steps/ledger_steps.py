"""Steps on what the log keeps and what instances show of it."""

import asyncio

from behave import then, when
from support.cell_scene import job_id, play, submit_job

from hornbeampaddle.cell.progress import JobStatus
from hornbeampaddle_cell.callers import Accepted, Gone
from hornbeampaddle_cell.ports import Topic
from hornbeampaddle_standins.cell.store import StoreFault
from hornbeampaddle_standins.cell.world import URGENT


@when(
    'a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in through "{via}"'
)
def hand_in_via(context, name, steps, tasks, via):
    submit_job(context, name, steps, tasks, URGENT, via)


@when('the store is silent for "{name}"')
def fault_one(context, name):
    context.world.store.faults[name] = StoreFault.SILENT


@when("the log discards its history")
def compact(context):
    context.world.store.forget_history()


@then('"{name}" is not ready')
def not_ready(context, name):
    assert not context.world.instances[name].ready()


@then('"{name}" does not say that the job "{job}" is unknown')
def not_called_unknown(context, name, job):
    status = play(context, context.world.status(job_id(job), name))
    assert not isinstance(status, Gone), status


@when("the other instance reads no jobs")
def unread_jobs(context):
    world = context.world
    context.other = next(n for n in world.instances if n != world.holder())
    world.store.unanswered_reads.add((context.other, Topic.JOBS))


@when("only one instance reads jobs, and it is not the holder")
def one_reads_jobs(context):
    world = context.world
    context.reader = next(n for n in world.instances if n != world.holder())
    others = [n for n in world.instances if n != context.reader]
    world.store.unanswered_reads |= {(name, Topic.JOBS) for name in others}
    # Reads go unanswered only a second later: the one in progress is still answered.
    play(context, asyncio.sleep(1.5))


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in there')
def hand_in_at_reader(context, name, steps, tasks):
    submit_job(context, name, steps, tasks, URGENT, context.reader)
    assert context.outcome == Accepted()


@when('the job "{name}" is cancelled there')
def cancel_at_reader(context, name):
    outcome = play(context, context.world.cancel(job_id(name), context.reader))
    assert outcome == Accepted(), outcome


@when("all instances read jobs again")
@when("the other instance reads jobs again")
def read_jobs(context):
    context.world.store.unanswered_reads.clear()


@when('a job "{name}" of {steps:d} steps of {tasks:d} tasks is handed in at the holder')
def hand_in_at_holder(context, name, steps, tasks):
    # Reads go unanswered only a second later: the one in progress is still answered.
    play(context, asyncio.sleep(1.5))
    submit_job(context, name, steps, tasks, URGENT, context.world.holder())
    play(context, asyncio.sleep(0.3))


@then('the earlier holder shows the job "{name}" as completed')
def shown_by_earlier(context, name):
    status = play(context, context.world.status(job_id(name), context.before))
    assert status is JobStatus.COMPLETED, status


@when("the log of jobs refuses every record")
def refuse_jobs(context):
    context.world.store.read_only.add(Topic.JOBS)


@when("the log of jobs takes records again")
def take_jobs(context):
    context.world.store.read_only.clear()


@then('neither the log nor any instance keeps anything of the job "{name}"')
def nothing_kept(context, name):
    wanted = job_id(name)
    logs = context.world.store.logs
    kept = [topic for topic, log in logs.items() if wanted in log.newest]
    for instance in context.world.instances.values():
        ledger = instance.ledger
        if wanted in ledger.jobs or wanted in ledger.progress:
            kept.append(instance.settings.name)
        if instance.holder is not None and wanted in instance.holder.cell.jobs:
            kept.append("holder")
    assert not kept, kept
