"""Kill the process that leads while two workers run many small tasks each."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import RESTART_DELAY_S, CannotRun, Deployment  # noqa: E402
from play import TROUBLE, run_case, wait_for  # noqa: E402
from worker import Run  # noqa: E402

# 1,200 tasks of a tenth of a core: 640 of them fit a worker of 64 cores.
TASKS, CPU_MILLIS, MEMORY_MB = 1200, 100, 64
WORK_MIN_S, WORK_MAX_S = 2.5, 3.5
START_TIMEOUT_S, END_TIMEOUT_S = 30.0, 40.0
# How long after the last start the process is killed: no task has ended by then.
KILL_AFTER_S = 0.5
# For ends that are still to be taken note of.
SETTLE_S = 2.0


def work_of(task: str) -> tuple[float, str]:
    """Return how long a task works, the same for each of its runs; all succeed."""
    return random.Random(task).uniform(WORK_MIN_S, WORK_MAX_S), "done"


async def play(deployment: Deployment) -> list[str]:
    """Hand in one job, kill the leader while its tasks run, and wait for its end."""
    await deployment.start(entries=3, workers=2)
    job_id = f"{random.getrandbits(64):016x}"
    phases = [
        {"count": TASKS, "cpu": CPU_MILLIS, "memMb": MEMORY_MB, "estimateMs": 3000}
    ]
    leader = deployment.holder()
    other = next(entry for entry in deployment.entries if entry is not leader)
    if await deployment.submit(other, job_id, phases) != 200:
        raise CannotRun("the job was not accepted")
    if not await wait_for(lambda: len(deployment.runs) == TASKS, START_TIMEOUT_S):
        raise CannotRun("not all tasks were started")
    at_work = [len(worker.running) for worker in deployment.workers]
    deployment.note(f"all tasks have been started; at work: {at_work}")
    leader = deployment.holder()
    if leader is None:
        raise CannotRun("no process leads")
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        await leader.kill()
        deployment.note(f"killed {leader.name}, which led")
        await asyncio.sleep(RESTART_DELAY_S)
        await leader.start()
        deployment.note(f"started {leader.name} again")
    until_s = time.monotonic() + END_TIMEOUT_S
    state = ""
    while time.monotonic() < until_s and state != "completed":
        await asyncio.sleep(0.5)
        _, state = await deployment.state(other, job_id)
    await asyncio.sleep(SETTLE_S)
    broken: list[str] = []
    for runs in deployment.runs.values():
        broken += started_after_done(runs) + at_the_same_time(runs)
    starts = sum(len(runs) for runs in deployment.runs.values())
    deployment.note(f"{TASKS} tasks, {starts} starts, TWICE broken {len(broken)} times")
    return broken


def started_after_done(runs: list[Run]) -> list[str]:
    """
    Return each start of a task after a run of it ended done, if that end is noted.

    An end after which the worker's lease lapsed before it was noted does not count.
    """
    found = []
    done = [r for r in runs if r.how == "done" and r.noted_at_s is not None]
    for run in runs:
        for earlier in done:
            assert earlier.ended_at_s is not None
            late_s = run.started_at_s - earlier.ended_at_s
            if earlier is not run and late_s > 0:
                found.append(
                    f"TWICE: run {run.number} of {run.task} began on {run.worker} "
                    f"{late_s:.3f} s after run {earlier.number} had ended done on "
                    f"{earlier.worker}"
                )
    return found


def at_the_same_time(runs: list[Run]) -> list[str]:
    """Return each pair of runs of a task that overlap."""
    found = []
    ordered = sorted(runs, key=lambda run: run.started_at_s)
    for first, second in zip(ordered, ordered[1:], strict=False):
        if first.ended_at_s is None or second.started_at_s < first.ended_at_s:
            found.append(
                f"TWICE: runs {first.number} and {second.number} of {first.task} "
                "were at work at the same time"
            )
    return found


sys.exit(run_case(Deployment(work_of), play, HERE))
