"""Show that a job whose workers crash is given up, though no run of it ever failed."""

import asyncio
import json
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins3"))

from bench3 import TROUBLE, Cell, now_s, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORKERS = 7
CRASHES = 4
# Between two crashes: each worker is replaced before the next one is lost.
CRASH_GAP_S = 8.0
REPLACED_AFTER_S = 2.0
TASK_MS = 12_000

cell = Cell(CASE, maxAttempts=3)


async def replace(number: int) -> None:
    """Start a worker with a new id in the place of one that has crashed."""
    await asyncio.sleep(REPLACED_AFTER_S)
    await cell.add_worker(f"i-76e77ec{number:03x}")


async def main() -> bool:
    """Return whether the rule was broken."""
    await cell.start(3)
    for number in range(WORKERS):
        await cell.add_worker(f"i-76e77ecb{number:02x}")
    await asyncio.sleep(3.0)
    body = {
        "spec": json.dumps({"ms": TASK_MS, "saves": True}),
        "phases": [
            {
                "count": 1,
                "cpu": 7000,
                "memMb": 13000,
                "estimateMs": TASK_MS,
                "checkpointing": True,
            }
        ],
    }
    if await cell.submit(JOB, body) != 200:
        raise OSError("the job was not accepted")
    replacing = []
    for number in range(CRASHES if TROUBLE else 0):
        until_s = now_s() + 20.0
        while now_s() < until_s and not any(w.alive and w.runs for w in cell.workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        victim = next((w for w in cell.workers if w.alive and w.runs), None)
        if victim is None:
            break
        cell.record.add("a worker crashes", worker=victim.name)
        victim.crash()
        replacing.append(asyncio.create_task(replace(number)))
        await asyncio.sleep(CRASH_GAP_S - 3.0)
    await asyncio.gather(*replacing)
    until_s = now_s() + 40.0
    state = ""
    while now_s() < until_s:
        state = await cell.state(JOB)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(1.0)
    failed_ends = [seen for seen in cell.record.of_job(JOB) if seen.how == "failed"]
    cell.record.add("end", state=state, ends_failed=len(failed_ends), attempts=3)
    cell.copy_log_lines("crash_suspected", "job_finished", "run_released", limit=20)
    return state == "failed" and len(failed_ends) < 3


run_case(main, cell, 115.0)
