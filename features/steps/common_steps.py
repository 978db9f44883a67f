"""Steps that build a scene, submit jobs to it and inject faults."""

from behave import given, step, then, when
from support.scene import Scene

from hornbeampaddle_standins.log import LogFault


@given("{instances:d} entry instances and {workers:d} workers")
def build(context, instances, workers):
    context.scene = Scene(instances, workers)
    context.scene.start_all()


@given('a service "{service}" that is "{repeat}"')
def add_service(context, service, repeat):
    context.scene.add_service(service, repeat)


@step('a job "{job_id}" of {tasks:d} tasks of {run_s:g} s is submitted to "{name}"')
def submit(context, job_id, tasks, run_s, name):
    context.submitted = context.scene.submit(name, job_id, tasks, run_s)
    context.tasks = tasks
    assert context.submitted.status == 201, context.submitted.body


@step("{seconds_s:g} s pass")
def advance_time(context, seconds_s):
    context.scene.pass_s(seconds_s)


@when('instance "{name}" dies')
def kill(context, name):
    context.scene.kill(name)


@when('instance "{name}" is paused')
def pause(context, name):
    context.scene.pause(name)


@when('instance "{name}" goes on')
def resume(context, name):
    context.scene.resume(name)


@when("the log service is down")
def log_down(context):
    context.scene.log.fault = LogFault.DOWN


@when("the log service loses its answers")
def log_loses(context):
    context.scene.log.fault = LogFault.LOSES_ANSWERS


@when("the log service is well again")
def log_well(context):
    context.scene.log.fault = LogFault.NONE


@when('"{one}" and "{other}" are cut off from each other')
def cut(context, one, other):
    context.scene.network.cut_both(one, other)


@when("all links are healed")
def heal(context):
    context.scene.network.heal()


@then('the job "{job_id}" is done within {within_s:g} s')
def job_done(context, job_id, within_s):
    scene = context.scene
    assert scene.until(lambda: scene.job_done(job_id, context.tasks), within_s)


@then("no promise was broken")
def check_promises_kept(context):
    context.scene.check_invariants()
