"""Steps for ownership, recovery and configuration under faults."""

import json

import msgspec
from behave import given, step, then, when
from support.scene import HOME, Scene

from hornbeampaddle.intents import ChangeLimit
from hornbeampaddle.records import HomeRecord, JobAccepted


@given(
    "entry instances that snapshot every {records:d} records, "
    "and a log that keeps {kept:d}"
)
def start_with_limited_log(context, records, kept):
    context.scene = Scene(3, 4)
    context.scene.limits = {"config_snapshot_records": records}
    context.scene.log.kept = kept
    context.scene.start_all()


@when('"{name}" is cut off from its peers and from the log')
def cut_off(context, name):
    network = context.scene.network
    network.cut_both(name, "log")
    cut_off_peers(context, name)


@when('"{name}" is cut off from its peers')
def cut_off_peers(context, name):
    for other in context.scene.names:
        if other != name:
            context.scene.network.cut_both(name, other)


@when('"{one}" and "{other}" are cut off from each other both ways')
def cut_both_ways(context, one, other):
    context.scene.network.cut_both(one, other)


@when('"{one}" and "{other}" are cut off from each other in one way')
def cut_one_way(context, one, other):
    context.scene.network.cut.add((one, other))


@when("all instances die")
def all_die(context):
    for name in list(context.scene.instances):
        context.scene.kill(name)


@when("all instances start anew")
def all_start(context):
    for name in context.scene.names:
        context.scene.start(name)


@when('instance "{name}" starts anew')
def start(context, name):
    context.scene.start(name)


@when('the worker "{worker_id}" dies and leaves the list')
def worker_dies(context, worker_id):
    scene = context.scene
    for name in scene.names:
        scene.network.cut_both(name, worker_id)
    scene.machines[worker_id].crash()
    scene.instance_list.remove(worker_id)


@then('the job "{job_id}" of {tasks:d} tasks is done within {within_s:g} s')
def that_job_done(context, job_id, tasks, within_s):
    scene = context.scene
    assert scene.until(lambda: scene.job_done(job_id, tasks), within_s)


@then('every task of "{job_id}" has run')
def every_task_ran(context, job_id):
    assert context.scene.job_done(job_id, context.tasks)
    context.appends = context.scene.log.appends


@then('a request through "{name}" is done')
def request_done(context, name):
    response = context.scene.call(name, context.scene.request("checks"))
    assert response.headers["request-outcome"] == "done", response.body


@then('a request through "{name}" is not run for "{reason}"')
def request_not_run(context, name, reason):
    response = context.scene.call(name, context.scene.request("checks"))
    body = json.loads(response.body)
    assert (body["outcome"], body["reason"]) == ("not_run", reason), body


@then('a job submitted to "{name}" is not run or unknown')
def job_not_accepted(context, name):
    response = context.scene.submit(name, "late")
    body = json.loads(response.body)
    assert body["outcome"] in ("not_run", "unknown"), body


@then('the job "{job_id}" is recorded as over within {within_s:g} s')
def recorded_as_over(context, job_id, within_s):
    scene = context.scene
    tables = [i.control.jobs.table for i in scene.instances.values()]
    assert scene.until(lambda: all(job_id in t.finished for t in tables), within_s)


@then("at most {appends:d} appends were made since")
def check_append_count(context, appends):
    made = context.scene.log.appends - context.appends
    assert 0 < made <= appends, made


@then("all instances have the same configuration")
def same_configuration(context):
    scene = context.scene
    configurations = [i.context.configuration for i in scene.instances.values()]
    first = configurations[0]
    for other in configurations[1:]:
        assert other.offset == first.offset
        assert other.services == first.services
        assert other.drains == first.drains
        assert other.versions == first.versions


@then('the rack "{rack}" is drained everywhere')
def drained(context, rack):
    for instance in context.scene.instances.values():
        assert ("rack", rack) in instance.context.configuration.drains


@step("the log keeps only {kept:d} records of each stream")
def limit_log_retention(context, kept):
    context.scene.log.kept = kept


@when("{jobs:d} short jobs are submitted in turn")
def short_jobs(context, jobs):
    scene = context.scene
    names = sorted(scene.instances)
    for number in range(jobs):
        name = names[number % len(names)]
        response = scene.submit(name, f"short-{number}", tasks=1, run_s=0.1)
        assert response.status == 201, response.body
        scene.pass_s(0.2)


@then('the log no longer has the acceptance of "{job_id}"')
def forgotten(context, job_id):
    stream = context.scene.log.streams[f"home.{HOME}"]
    records = [
        msgspec.msgpack.decode(entry.record, type=HomeRecord)
        for entry in stream.entries
    ]
    accepted = [r for r in records if isinstance(r, JobAccepted)]
    assert job_id not in {record.spec.job_id for record in accepted}


@step("a limit is changed {times:d} times")
def change_limit(context, times):
    scene = context.scene
    for number in range(times):
        plan = scene.plan("e0", ChangeLimit("checks", 1000 + number))
        status, verdict = scene.confirm("e0", plan)
        assert status == 200, verdict
    assert scene.log.streams["config"].oldest_offset > 0
