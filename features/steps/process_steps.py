"""Steps that run the binaries as processes."""

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
SECRET = "never to be printed"


@given(
    "the stand-ins with {workers:d} workers, and {count:d} entry instances as processes"
)
def start(context, workers, count):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    described = stack.enter_context(standins(workers, rack_size=2))
    platform = described["platform"]
    context.entries = stack.enter_context(entries(count, platform, TIMING))
    context.folder = stack.enter_context(tempfile.TemporaryDirectory())
    context.workers = workers
    wait_for_workers(context.entries, workers)


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
def exits(context, code, text):
    printed = context.done.stdout + context.done.stderr
    assert context.done.returncode == code, printed
    assert text in printed, printed


@then('it prints "{text}"')
def prints(context, text):
    assert text in context.done.stdout + context.done.stderr


@then("it does not print the operators' token")
def no_token(context):
    assert SECRET not in context.done.stdout + context.done.stderr


@when("the second entry instance is killed")
def kill_second(context):
    process = context.entries[1].process
    process.send_signal(signal.SIGKILL)
    process.wait(WAIT_S)


@then("the first decides for all {workers:d} workers")
def first_decides(context, workers):
    wait_for_workers(context.entries[:1], workers)


@when("the first entry instance gets SIGTERM")
def terminate_first(context):
    context.entries[0].process.send_signal(signal.SIGTERM)


@then("it exits with {code:d} by itself")
def exits_by_itself(context, code):
    assert context.entries[0].process.wait(WAIT_S) == code


@when('the daemon is run with "{command}" on settings with two faults')
def daemon_faults(context, command):
    run_daemon(context, command, {"instance_id": "two words", "spare": 1})


@when('the daemon is run with "{command}" on good settings')
def daemon_good(context, command):
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
