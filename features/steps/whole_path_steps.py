"""Steps for requests, jobs and operator plans end to end."""

import asyncio
import json

from behave import step, then, when
from support.scene import HOME

from hornbeampaddle.intents import AddService, Drain, Evacuate
from hornbeampaddle.records import Needs


@when("a caller sends a request to each instance")
def send_to_each(context):
    scene = context.scene
    context.responses = {
        name: scene.call(name, scene.request("checks", body=name.encode()))
        for name in scene.instances
    }


@then("each caller gets the complete answer to its own request")
def own_answers(context):
    for name, response in context.responses.items():
        assert response.headers["request-outcome"] == "done", response.body
        assert response.body == name.encode(), response.body


@when(
    'a job "{job_id}" whose tasks need {cpu_millis:d} CPU millis '
    'is submitted to "{name}"'
)
def submit_large(context, job_id, cpu_millis, name):
    context.submitted = context.scene.submit(name, job_id, cpu_millis=cpu_millis)


@then('the submission is not run because "{reason}"')
def not_run(context, reason):
    body = json.loads(context.submitted.body)
    assert body["outcome"] == "not_run", body
    assert body["reason"].startswith(reason), body


@when('an operator plans at "{name}" to drain the rack "{rack}"')
def plan_drain(context, name, rack):
    context.plan = context.scene.plan(name, Drain("rack", rack))


@when('the operator confirms the plan at "{name}"')
def confirm(context, name):
    context.status, context.verdict = context.scene.confirm(name, context.plan)


@step("all {attempts:d} attempts run")
def all_run(context, attempts):
    scene = context.scene
    assert scene.until(
        lambda: sum(len(m.runs) for m in scene.machines.values()) == attempts
    )


@then("the plan is in force")
def in_force(context):
    assert context.status == 200, context.verdict


@then('the plan is refused because "{reason}"')
def plan_refused(context, reason):
    assert context.status == 409, context.verdict
    assert reason in context.verdict["reason"], context.verdict


@then("no attempt was stopped")
def none_stopped(context):
    assert context.scene.ledger.attempts_stopped == 0


@then('the workers "{names}" are empty within {within_s:g} s')
def workers_empty(context, names, within_s):
    scene = context.scene
    machines = [scene.machines[name] for name in names.split()]
    assert scene.until(lambda: not any(m.runs for m in machines), within_s)


@then("exactly the attempts that the plan named were stopped")
def stopped_as_planned(context):
    stops = [e for e in context.plan["effects"] if e["verb"] == "stop"]
    stopped = context.scene.ledger.attempts_stopped
    assert stopped == len(stops), (stopped, stops)
    assert stopped > 0


@when('operators plan at "{one}" and at "{other}" to add services that share workers')
def plan_two(context, one, other):
    def intent(service):
        # Each service fits on every worker alone, but not both together.
        return AddService(service, "exclusive", Needs(1200, 0, 0), "dispatch", 4)

    context.plans = {
        one: context.scene.plan(one, intent("checks")),
        other: context.scene.plan(other, intent("matches")),
    }


@when("both confirm their plans at once")
def confirm_two(context):
    scene = context.scene

    async def both():
        return await asyncio.gather(
            *(
                scene.instances[name].operator_api.handle(
                    scene.operator_request("/v1/confirmations", plan)
                )
                for name, plan in context.plans.items()
            )
        )

    context.verdicts = scene.run(both())


@then('exactly one plan is in force and the other was refused for "{reason}"')
def one_wins(context, reason):
    verdicts = [json.loads(response.body) for response in context.verdicts]
    assert sorted(v["applied"] for v in verdicts) == [False, True], verdicts
    lost = next(v for v in verdicts if not v["applied"])
    assert reason in lost["reason"], lost
    scene = context.scene
    assert scene.until(
        lambda: (
            len({i.context.configuration.offset for i in scene.instances.values()}) == 1
        )
    )
    for instance in scene.instances.values():
        assert len(instance.context.configuration.services) == 1


@then("the plan is in force once")
def in_force_once(context):
    scene = context.scene
    assert context.status == 200, context.verdict
    history = scene.operator_get("e1", "/v1/config")["history"]
    applied = [h for h in history if h["record_id"] == context.plan["plan_id"]]
    assert [h["applied"] for h in applied] == [True], history
    assert len(scene.operator_get("e1", "/v1/config")["drains"]) == 1


@when('an operator plans at "{name}" to evacuate the data centre')
def plan_evacuation(context, name):
    context.plan = context.scene.plan(name, Evacuate(HOME))


@when('an operator plans at "{name}" to evacuate "{data_centre}"')
def plan_unknown_evacuation(context, name, data_centre):
    intent = Evacuate(data_centre)
    context.answer = context.scene.operator_post(name, "/v1/plans", intent)


@then('the intent is refused because "{reason}"')
def intent_refused(context, reason):
    status, body = context.answer
    assert status == 422, context.answer
    assert reason in json.dumps(body), body


@then("the plan stops nothing")
def stops_nothing(context):
    assert not [e for e in context.plan["effects"] if e["verb"] == "stop"]


@then('"status" and "explain" say that "{job_id}" waits for the data centre')
def wait_reason_is_evacuation(context, job_id):
    scene = context.scene
    assert scene.operator_get("e0", "/v1/status")["evacuated"] == HOME
    reasons = {
        scene.operator_get(n, f"/v1/explain/{job_id}/0")["why"] for n in scene.instances
    }
    expected = f"waits until the data centre {HOME} is no longer evacuated"
    assert expected in reasons, reasons


@when('an operator takes the data centre back at "{name}"')
def take_back(context, name):
    plan = context.scene.plan(name, Evacuate(HOME, False))
    assert context.scene.confirm(name, plan)[0] == 200
