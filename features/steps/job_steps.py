"""Steps for batch work with cancellations, quotas, faults and evictions."""

from dataclasses import replace

from behave import step, then, when
from support.scene import GIB, HOME

from hornbeampaddle.intents import AddService, ChangeQuota, Drain, DropService
from hornbeampaddle.records import Needs
from hornbeampaddle.resources import Resources
from hornbeampaddle_wire.http_messages import Request

POLL_INTERVAL_S = 0.05
# Enough time for the owner to learn of an attempt's end and to have it recorded.
END_RECORDED_WAIT_S = 1.5
# Until all instances have read the instance list and calls in flight have arrived.
LIST_PROPAGATION_S = 1.5


def _running_orders(context):
    return [
        run.order
        for machine in context.scene.machines.values()
        for run in machine.runs.values()
    ]


def _costly_attempts(context):
    return {
        order.attempt for order in _running_orders(context) if order.costly_to_evict
    }


@step("{jobs:d} jobs of {tasks:d} tasks of {run_s:g} s are submitted")
def submit_many(context, jobs, tasks, run_s):
    scene = context.scene
    names = sorted(scene.instances)
    context.wave = [f"wave-{number}" for number in range(jobs)]
    for number, job_id in enumerate(context.wave):
        name = names[number % len(names)]
        assert scene.submit(name, job_id, tasks, run_s).status == 201
    scene.pass_s(2.0)


@when("the {jobs:d} jobs are cancelled at once")
def cancel_all(context, jobs):
    scene = context.scene
    names = sorted(scene.instances)
    for number, job_id in enumerate(context.wave):
        request = Request("DELETE", f"/v1/jobs/{job_id}")
        response = scene.call(names[number % len(names)], request)
        assert response.status == 200, response.body


@then("no attempt of the {jobs:d} jobs runs within {within_s:g} s")
def no_wave_attempt_runs(context, jobs, within_s):
    def wave_stopped():
        return not [
            o for o in _running_orders(context) if o.attempt.task_id[:4] == "wave"
        ]

    assert context.scene.until(wave_stopped, within_s)


@step('a quota of {cpu_millis:d} CPU millis for the team "{team}"')
def set_quota(context, cpu_millis, team):
    scene = context.scene
    plan = scene.plan("e0", ChangeQuota(team, Needs(cpu_millis, 100 * GIB, 0)))
    assert scene.confirm("e0", plan)[0] == 200
    assert scene.until(lambda: scene.config_change_applied(f"quota:{team}"))


@then("at no moment do more than {most:d} of its tasks run")
def quota_never_exceeded(context, most):
    seen = 0
    for _ in range(200):
        context.scene.pass_s(POLL_INTERVAL_S)
        seen = max(seen, len(_running_orders(context)))
        assert seen <= most, seen
    assert seen > 0


@step('the worker "{worker_id}" fails whatever it starts')
def fail_on_worker(context, worker_id):
    context.scene.machines[worker_id].fails_everything = True


@step("every worker fails whatever it starts")
def fail_on_all_workers(context):
    for machine in context.scene.machines.values():
        machine.fails_everything = True


@step('the job "{job_id}" fails on every worker')
def fail_job(context, job_id):
    for machine in context.scene.machines.values():
        machine.failing_jobs.add(job_id)


@then("no worker is avoided")
def check_none_avoided(context):
    scene = context.scene
    for instance in scene.instances.values():
        avoided = instance.control.jobs.capacity_view.sick(scene.loop.time())
        assert not avoided, avoided


@then('at most {most:d} attempts failed on "{worker_id}"')
def check_failed_attempts(context, most, worker_id):
    failures = context.scene.ledger.attempts_begun - context.tasks
    assert 0 < failures <= most, failures


@then('the job "{job_id}" is over with {tasks:d} tasks "{end}" within {within_s:g} s')
def job_over_with(context, job_id, tasks, end, within_s):
    scene = context.scene

    def over():
        tables = [i.control.jobs.table for i in scene.instances.values()]
        return all(
            job_id in t.finished and t.finished[job_id].ends == {end: tasks}
            for t in tables
        )

    assert scene.until(over, within_s)


@then("at most {most:d} attempts began")
def few_began(context, most):
    begun = context.scene.ledger.attempts_begun
    assert 0 < begun <= most, begun


@step(
    'a job "{job_id}" of {tasks:d} costly tasks of {run_s:g} s is submitted to "{name}"'
)
def submit_costly(context, job_id, tasks, run_s, name):
    response = context.scene.submit(name, job_id, tasks, run_s, costly_to_evict=True)
    assert response.status == 201


@step("{tasks:d} more tasks of {run_s:g} s that are cheap to evict fill the workers")
def submit_cheap(context, tasks, run_s):
    context.scene.submit("e1", "cheap", tasks, run_s)
    scene = context.scene
    assert scene.until(lambda: len(_running_orders(context)) == tasks + 6)
    context.costly = _costly_attempts(context)


@when("an operator adds a service that needs half of each worker")
def add_half_worker_service(context):
    scene = context.scene
    needs = Needs(1000, GIB, 0)
    intent = AddService("checks", "exclusive", needs, "dispatch", 4)
    context.plan = scene.plan("e0", intent)
    status, verdict = scene.confirm("e0", context.plan)
    assert status == 200, verdict


@then("its slots open within {within_s:g} s")
def slots_open(context, within_s):
    scene = context.scene

    def opened():
        slot_groups = [
            slot_group
            for instance in scene.instances.values()
            for slot_group in instance.control.slots.slot_groups.values()
        ]
        return len(slot_groups) == len(scene.machines) and all(
            slot_group.open for slot_group in slot_groups
        )

    assert scene.until(opened, within_s)


@then("none of the costly tasks was stopped")
def no_costly_task_stopped(context):
    assert len(context.costly) == 6
    assert _costly_attempts(context) == context.costly
    assert context.scene.ledger.attempts_stopped > 0


@when('an operator plans at "{name}" to drain the data centre')
def plan_drain_all(context, name):
    context.plan = context.scene.plan(name, Drain("data_centre", HOME))


@when('an operator ends the drain of the data centre at "{name}"')
def undrain(context, name):
    scene = context.scene
    assert scene.ledger.attempts_stopped > 0
    plan = scene.plan(name, Drain("data_centre", HOME, False))
    assert scene.confirm(name, plan)[0] == 200


@step(
    'an at-most-once job "{job_id}" of {tasks:d} tasks of {run_s:g} s '
    'is submitted to "{name}"'
)
def submit_at_most_once(context, job_id, tasks, run_s, name):
    response = context.scene.submit(name, job_id, tasks, run_s, at_most_once=True)
    assert response.status == 201
    context.tasks = tasks


@when(
    'an urgent job "{job_id}" of {tasks:d} tasks of {run_s:g} s '
    'is submitted to "{name}"'
)
def submit_urgent(context, job_id, tasks, run_s, name):
    response = context.scene.submit(name, job_id, tasks, run_s, urgent=True)
    assert response.status == 201
    context.tasks = tasks


@then('all {tasks:d} tasks of "{job_id}" run within {within_s:g} s')
def all_run_soon(context, tasks, job_id, within_s):
    def running():
        prefix = f"{job_id}/"
        orders = _running_orders(context)
        return sum(o.attempt.task_id.startswith(prefix) for o in orders) == tasks

    assert context.scene.until(running, within_s)


@then("at most {most:d} attempts were stopped")
def few_stopped(context, most):
    assert 0 < context.scene.ledger.attempts_stopped <= most


@step('a service "{service}" that fills its workers')
def add_filling_service(context, service):
    scene = context.scene
    intent = AddService(service, "exclusive", Needs(2000, GIB, 0), "dispatch", 4)
    status, verdict = scene.confirm("e0", scene.plan("e0", intent))
    assert status == 200, verdict
    assert scene.until(lambda: scene.config_change_applied(f"service:{service}"))


@step('{count:d} requests to "{service}" that take {run_s:g} s are in flight')
def requests_in_flight(context, count, service, run_s):
    scene = context.scene
    scene.run_s = run_s
    names = sorted(scene.instances)
    for number in range(count):
        request = scene.request(service, timeout_s=20.0)
        scene.call_later(names[number % len(names)], request, number)
    machines = scene.machines.values()
    assert scene.until(lambda: sum(len(m.requests) for m in machines) == count)


@when('an operator removes the service "{service}"')
def remove_service(context, service):
    scene = context.scene
    plan = scene.plan("e0", DropService(service))
    assert scene.confirm("e0", plan)[0] == 200
    assert scene.until(
        lambda: all(
            service not in i.context.configuration.services
            for i in scene.instances.values()
        )
    )


@when("the next start is {fault}")
def start_fault(context, fault):
    context.scene.network.start_faults = [fault]


@when("the start after it is {fault}")
def second_start_fault(context, fault):
    context.scene.network.start_faults.append(fault)


@when('the job "{job_id}" is cancelled at "{name}"')
def cancel_one(context, job_id, name):
    response = context.scene.call(name, Request("DELETE", f"/v1/jobs/{job_id}"))
    assert response.status == 200, response.body


@then("no attempt began")
def none_began(context):
    assert context.scene.ledger.attempts_begun == 0


@step('the first task of the job "{job_id}" crashes its workers')
def crashes(context, job_id):
    for machine in context.scene.machines.values():
        machine.crashing_tasks.add(f"{job_id}/0")


@when('the owner of "{job_id}" dies after each of the first {times:d} attempts')
def owner_dies(context, job_id, times):
    scene = context.scene
    for number in range(times):
        begun = number + 1
        assert scene.until(lambda begun=begun: scene.ledger.attempts_begun >= begun)
        scene.pass_s(END_RECORDED_WAIT_S)
        owners = [
            name
            for name, instance in scene.instances.items()
            if job_id in instance.control.jobs.table.jobs
            and instance.control.jobs.table.jobs[job_id].owner
            == instance.control.jobs.name
        ]
        for name in owners:
            scene.kill(name)
            scene.start(name)


@when(
    "its worker loses everything after each of {times:d} attempts "
    "has run for {run_s:g} s"
)
def worker_loses(context, times, run_s):
    scene = context.scene
    for _ in range(times):
        assert scene.until(lambda: any(m.runs for m in scene.machines.values()))
        scene.pass_s(run_s)
        for machine in scene.machines.values():
            if machine.runs:
                machine.crash()


@when('the worker "{worker_id}" {how} to {cores:d} cores')
def resize(context, worker_id, how, cores):
    """Change the instance list first, so that calls in flight still arrive."""
    scene = context.scene
    machine = scene.machines[worker_id]
    capacity = Resources(1000 * cores, 32 * GIB, 0)
    resized = replace(machine.worker, capacity=capacity)
    scene.instance_list.put(resized)
    scene.pass_s(LIST_PROPAGATION_S)
    machine.worker = resized


@when(
    '{count:d} requests to "{service}" that take {run_s:g} s come one after the other'
)
def requests_in_turn(context, count, service, run_s):
    scene = context.scene
    scene.run_s = run_s
    names = sorted(scene.instances)
    context.answers = count
    for number in range(count):
        request = scene.request(service, timeout_s=20.0)
        scene.call_later(names[number % len(names)], request, number)
        scene.pass_s(run_s / 4)


@then("all of them are answered")
def all_answered(context):
    scene = context.scene
    assert scene.until(lambda: len(scene.outcomes) == context.answers)
    statuses = {response.status for response in scene.outcomes.values()}
    assert statuses == {200}, statuses


@then("its slots are open again within {within_s:g} s")
def slots_reopen(context, within_s):
    slots_open(context, within_s)
