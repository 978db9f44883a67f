"""Steps that run the soak test as a separate process."""

import subprocess
import sys
from pathlib import Path

from behave import then, when

SOAK = Path(__file__).parent.parent.parent / "platform" / "soak" / "soak.py"
TIMEOUT_S = 120


@when("the soak runs seed {seed:d} for {seconds:d} s")
def run_soak(context, seed, seconds):
    command = [sys.executable, str(SOAK), "--seed", str(seed)]
    context.soak = subprocess.run(
        [*command, "--seconds", str(seconds)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then("it finds no problem")
def no_problem(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert " 0 problems" in context.soak.stdout, context.soak.stdout
