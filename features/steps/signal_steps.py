"""Steps that send signals to a platform daemon process during startup."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).parent.parent.parent
# A separate loopback address avoids conflicts on the fixed metrics port.
HOST = "127.0.0.88"
BOOT_SETTINGS = f"""
nodeName = "edge-1"
zone = "dc-1"
ip = "{HOST}"
[listenAddrs]
frontend = "{HOST}:7811"
readiness = "{HOST}:7812"
[platform]
address = "{HOST}:7813"
"""
# Imported by the daemon's modules, well before the signal handlers are set.
EARLY_MODULE = "asyncio"
STARTED_MESSAGE = "process: started"


def _kill_process(process):
    process.kill()
    process.wait()
    process.stdout.close()


@given("an instance process that is importing its modules")
def start_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    boot_path = Path(folder.name, "boot.toml")
    boot_path.write_text(BOOT_SETTINGS)
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", str(ROOT / "platform" / "run.py")],
        env={**os.environ, "HORNBEAMPADDLE_BOOT": str(boot_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
    )
    context.process = process
    context.add_cleanup(_kill_process, process)
    # -X importtime writes one line to stderr as each import completes.
    while EARLY_MODULE not in process.stderr.readline():
        assert process.poll() is None
    threading.Thread(target=process.stderr.read, daemon=True).start()


@when("it gets SIGHUP")
def send_sighup(context):
    context.process.send_signal(signal.SIGHUP)


@then("it completes its startup")
def assert_started(context):
    lines = iter(context.process.stdout.readline, "")
    assert any(STARTED_MESSAGE in line for line in lines), context.process.wait()
