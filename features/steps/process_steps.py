"""Steps that run the command-line programs and the daemon as processes."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

from behave import given, then, when

from bench.processes import (
    BINARY,
    LOOPBACK,
    TOKEN,
    entries,
    standins,
    wait_for_workers,
)

COMMAND = Path(sys.executable).parent / "hornbeampaddle"
WAIT_S = 30
TIMING = {
    "heartbeat_interval_s": 0.1,
    "suspect_after_s": 0.5,
    "log_poll_interval_s": 0.1,
    "drain_timeout_s": 5.0,
}
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
POLLS_MAX = 5000
SERVICE = {
    "type": "AddService",
    "service": "checks",
    "repeat": "exclusive",
    "needs": {"cpu_millis": 1000, "memory_bytes": 0, "accelerators": 0},
    "team": "dispatch",
}
SECRET = "never to be printed"


@given(
    "the stand-ins with {workers:d} workers, and {count:d} entry instances as processes"
)
def start(context, workers, count):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    standins_info = stack.enter_context(standins(workers, rack_size=2))
    platform = standins_info["platform"]
    context.entries = stack.enter_context(entries(count, platform, TIMING))
    context.folder = stack.enter_context(tempfile.TemporaryDirectory())
    context.workers = workers
    wait_for_workers(context.entries, workers)


@given(
    "the stand-ins with {workers:d} workers whose requests take {run_s:g} s, "
    "and one instance"
)
def start_slow(context, workers, run_s):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    standins_info = stack.enter_context(standins(workers, service_ms=1000 * run_s))
    timing = {**TIMING, "drain_timeout_s": 60.0}
    context.entries = stack.enter_context(entries(1, standins_info["platform"], timing))
    wait_for_workers(context.entries, workers)
    context.entries[0].confirm(SERVICE)


@when("a request is in flight")
def request_on_its_way(context):
    entry = context.entries[0]
    connection = http.client.HTTPConnection(LOOPBACK, entry.callers, timeout=WAIT_S)
    context.add_cleanup(connection.close)
    headers = {"request-timeout-s": "60"}
    connection.request("POST", "/v1/requests/checks", b"card", headers)
    assert _poll(lambda: entry.look("status")["services"][0]["in_flight"] == 1)


@when("it still runs")
def still_runs(context):
    """Check that the drain has begun and the request keeps the process running."""
    entry = context.entries[0]
    assert _poll(lambda: entry.look("status")["leaving"])
    assert entry.process.poll() is None


@given(
    "the stand-ins with {workers:d} workers, and {count:d} entry instances "
    "that write traces"
)
def start_traced(context, workers, count):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    standins_info = stack.enter_context(standins(workers))
    context.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    context.entries = stack.enter_context(
        entries(count, standins_info["platform"], TIMING, context.folder)
    )
    wait_for_workers(context.entries, workers)
    context.entries[0].confirm(SERVICE)


@when("a request under a key of the first is sent to the second with its trace context")
def send_forwarded_request(context):
    first, second = context.entries
    assert _poll(lambda: all(p["live"] for p in second.look("status")["peers"]))
    key = first.post(first.callers, "keys", {"count": 1})["keys"][0]
    connection = http.client.HTTPConnection(LOOPBACK, second.callers, timeout=WAIT_S)
    headers = {"request-key": key, "traceparent": TRACEPARENT}
    connection.request("POST", "/v1/requests/checks", b"card", headers)
    response = connection.getresponse()
    assert response.status == 200, response.read()
    connection.close()


@when("both instances are stopped")
def stop_both(context):
    for entry in context.entries:
        entry.process.send_signal(signal.SIGTERM)
    for entry in context.entries:
        entry.process.wait(WAIT_S)


@then("the spans caller.request, entry.forward and worker.run are nested in this order")
def check_spans(context):
    lines = [
        json.loads(line)
        for entry in context.entries
        for line in (context.folder / entry.name).read_text().splitlines()
    ]
    trace = TRACEPARENT.split("-")[1]
    found = {s["name"]: s for s in lines if s["trace"] == trace}
    assert set(found) == {"caller.request", "entry.forward", "worker.run"}, found
    assert found["caller.request"]["parent"] == TRACEPARENT.split("-")[2]
    assert found["entry.forward"]["parent"] == found["caller.request"]["span"]
    assert found["worker.run"]["parent"] == found["entry.forward"]["span"]


def _poll(condition):
    """Poll a condition, a bounded number of times; return whether it came to hold."""
    return any(condition() for _ in range(POLLS_MAX))


@when('the command "{line}" is run')
def run_command(context, line):
    first = context.entries[0]
    caller = line.split()[0] in ("request", "submit")
    port = first.callers if caller else first.operators
    environment = {
        **os.environ,
        "HORNBEAMPADDLE_OPERATORS": f"{LOOPBACK}:{port}",
        "HORNBEAMPADDLE_CALLERS": f"{LOOPBACK}:{port}",
        "HORNBEAMPADDLE_TOKEN": TOKEN,
    }
    context.done = subprocess.run(
        [COMMAND, *line.split()],
        cwd=context.folder,
        env=environment,
        input="card",
        capture_output=True,
        text=True,
        timeout=WAIT_S,
        check=False,
    )


@then('it exits with {code:d} and prints "{text}"')
def check_exit(context, code, text):
    printed = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, printed
    assert text in printed, printed


@then('it prints "{text}"')
def check_printed(context, text):
    assert text in context.done.stdout + context.done.stderr


@then("it does not print the operators' token")
def token_not_printed(context):
    assert SECRET not in context.done.stdout + context.done.stderr


@when("the second entry instance is killed")
def kill_second(context):
    process = context.entries[1].process
    process.send_signal(signal.SIGKILL)
    process.wait(WAIT_S)


@then("the first manages all {workers:d} workers")
def first_manages_all(context, workers):
    wait_for_workers(context.entries[:1], workers)


@when("the first entry instance gets SIGTERM")
def terminate_first(context):
    context.entries[0].process.send_signal(signal.SIGTERM)


@then("it exits with {code:d} by itself")
def check_process_exit(context, code):
    assert context.entries[0].process.wait(WAIT_S) == code


@when('the daemon is run with "{command}" on settings with two faults')
def run_daemon_faulty(context, command):
    run_daemon(context, command, {"instance_id": "two words", "spare": 1})


@when('the daemon is run with "{command}" on good settings')
def run_daemon_valid(context, command):
    run_daemon(context, command, {})


def run_daemon(context, command, changes):
    address = {"host": LOOPBACK, "port": 0}
    raw = {
        "instance_id": "e0",
        "data_centre": "brno",
        "listen": {"callers": address, "operators": address, "peers": address},
        "platform": {"log": address, "instances": address},
        "peer_key": SECRET,
        "operator_token": SECRET,
        **changes,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(raw))
        context.done = subprocess.run(
            [BINARY, command, path],
            capture_output=True,
            text=True,
            timeout=WAIT_S,
            check=False,
        )
