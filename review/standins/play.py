"""What all cases share: play, end everything that was started, write the record."""

import asyncio
import os
import shutil
import signal
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import CannotRun, Deployment
from worker import Run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The case is given up after this time.
LIMIT_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

Play = Callable[[Deployment], Awaitable[list[str]]]


async def wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


async def _status(deployment: Deployment, play: Play) -> int:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await play(deployment)
    except CannotRun as error:
        deployment.note(f"the case could not run: {error}")
        return CANNOT_RUN
    except (Exception, asyncio.CancelledError):
        deployment.note(f"the case could not run: {traceback.format_exc()}")
        return CANNOT_RUN
    finally:
        await deployment.end()
    for text in broken:
        deployment.note(f"BROKEN {text}")
    return BROKEN if broken else HELD


def _line(run: Run, begin_s: float) -> str:
    ended = "" if run.ended_at_s is None else f"{run.ended_at_s - begin_s:.3f}"
    noted = "" if run.noted_at_s is None else f"{run.noted_at_s - begin_s:.3f}"
    return (
        f"{run.started_at_s - begin_s:8.3f} run {run.number} of {run.task} began on "
        f"{run.worker}, token {run.token}; ended {ended or 'not'} {run.how}, "
        f"taken note of {noted or 'not'}"
    )


def run_case(deployment: Deployment, play: Play, folder: Path) -> int:
    """Play a case and write its record; return the exit status of the script."""
    status = asyncio.run(_status(deployment, play))
    refusals = deployment.store.refusals
    deployment.note(f"calls that the store did not answer with 200: {refusals}")
    runs = [run for runs in deployment.runs.values() for run in runs]
    runs.sort(key=lambda run: run.started_at_s)
    lines = [_line(run, deployment.begin_s) for run in runs]
    record = folder / "record.txt"
    record.write_text("\n".join([*deployment.events, "", *lines]) + "\n")
    print("\n".join(deployment.events[-12:]))
    if "KEEP_LOGS" in os.environ:
        print(f"logs of the processes: {deployment.folder}")
    else:
        shutil.rmtree(deployment.folder)
    return status
