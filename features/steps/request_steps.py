"""Steps for requests under faults."""

import asyncio
import json

from behave import then, when
from support.scene import Standing

BODY = b"driver card"


def _run_count(context):
    return sum(context.scene.ledger.requests_begun.values())


def _outcome(response):
    return response.headers.get("request-outcome")


@when('a caller sends a request and the first run is "{fault}"')
def send_with_fault(context, fault):
    scene = context.scene
    scene.network.run_faults = [fault]
    context.first = scene.call("e0", scene.request("checks", body=BODY))


@then('the outcome is "{outcome}" and it ran {runs:d} times')
def outcome_is(context, outcome, runs):
    assert _outcome(context.first) == outcome, context.first.body
    assert _run_count(context) == runs, _run_count(context)


@when('a caller sends a request under a key of "{name}"')
def send_under_key(context, name):
    scene = context.scene
    context.key = scene.keys(name)[0]
    request = scene.request("checks", key=context.key, body=BODY)
    context.first = scene.call(name, request)
    assert _outcome(context.first) == "done", context.first.body


@when('the caller repeats it through "{name}"')
def repeat(context, name):
    scene = context.scene
    request = scene.request("checks", key=context.key, body=BODY)
    context.second = scene.call(name, request)


@when("the caller sends another body under the same key")
def send_other_body(context):
    scene = context.scene
    request = scene.request("checks", key=context.key, body=b"another card")
    context.second = scene.call("e0", request)


@when('a caller sends a request under a forged key of "{name}"')
def send_under_forged_key(context, name):
    scene = context.scene
    key = scene.keys(name)[0]
    forged_key = key[:-1] + ("0" if key[-1] != "0" else "1")
    context.first = scene.call(name, scene.request("checks", key=forged_key))


@when('a caller gets a key of "{name}" and uses it after {seconds_s:g} s')
def use_key_late(context, name, seconds_s):
    scene = context.scene
    key = scene.keys(name)[0]
    scene.pass_s(seconds_s)
    context.first = scene.call(name, scene.request("checks", key=key))


@then("both got the same complete answer and it ran {runs:d} times")
def same_answer(context, runs):
    assert context.first.body == context.second.body == BODY
    assert _outcome(context.second) == "done"
    assert _run_count(context) == runs


@then('the repeat\'s outcome is "{outcome}" for "{reason}" and it ran {runs:d} times')
def repeat_outcome(context, outcome, reason, runs):
    check_repeat(context, outcome, reason, runs)


@then('the repeat\'s outcome is "{outcome}" for "" and it ran {runs:d} times')
def repeat_outcome_without_reason(context, outcome, runs):
    check_repeat(context, outcome, "", runs)


def check_repeat(context, outcome, reason, runs):
    assert _outcome(context.second) == outcome, context.second.body
    if reason:
        assert json.loads(context.second.body)["reason"] == reason
    assert _run_count(context) == runs, _run_count(context)


@when("each instance is drained and started anew while callers send")
def rolling_restart(context):
    scene = context.scene
    for name in list(scene.instances):
        for number in range(20):
            instance_name = sorted(scene.instances)[number % len(scene.instances)]
            label = (name, number)
            scene.call_later(instance_name, scene.request("checks", body=BODY), label)
        instance = scene.instances[name]
        scene.run(instance.drain())
        del scene.instances[name]
        scene.start(name)
        scene.pass_s(1.0)
    context.sent = 60


@then("every request was done, or not run and safe to send again")
def every_outcome_certain(context):
    scene = context.scene
    assert scene.until(lambda: len(scene.outcomes) == context.sent)
    outcomes = [_outcome(response) for response in scene.outcomes.values()]
    assert set(outcomes) <= {"done", "not_run"}, outcomes
    assert outcomes.count("done") == _run_count(context)
    assert outcomes.count("done") > context.sent / 2
    scene.check_invariants()


@when('the instance list marks "{worker_id}" as leaving')
def leaving(context, worker_id):
    context.scene.mark(worker_id, Standing.LEAVING)


@when("{count:d} requests are sent in a row")
def send_in_sequence(context, count):
    scene = context.scene
    names = sorted(scene.instances)
    context.row = [
        scene.call(names[number % len(names)], scene.request("checks"))
        for number in range(count)
    ]


@then('none of them ran on "{worker_id}" and all are done')
def none_ran_on_worker(context, worker_id):
    workers = {response.headers.get("request-worker") for response in context.row}
    assert worker_id not in workers, workers
    assert {_outcome(response) for response in context.row} == {"done"}


@when("{count:d} requests arrive at once with {timeout_s:g} s to be answered in")
def send_at_once(context, count, timeout_s):
    scene = context.scene
    scene.run_s = 0.2
    names = sorted(scene.instances)

    async def all_at_once():
        return await asyncio.gather(
            *(
                scene.instances[names[number % len(names)]].caller_api.handle(
                    scene.request("checks", timeout_s=timeout_s)
                )
                for number in range(count)
            )
        )

    context.row = scene.run(all_at_once())


@then("each is done or refused with a reason, and some of both")
def done_or_refused(context):
    outcomes = [_outcome(response) for response in context.row]
    assert set(outcomes) == {"done", "not_run"}, set(outcomes)
    for response in context.row:
        if _outcome(response) == "not_run":
            assert json.loads(response.body)["reason"]
    assert outcomes.count("done") == _run_count(context)
    context.scene.check_invariants()
