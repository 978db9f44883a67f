"""One job that can never be done: do the cell's workers go on taking tasks?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from cell import FINISH_S, Cell, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CPU = 3000
POISON = "f000000000000001"
# Each worker has room for two of its tasks.
POISON_JOB = {
    "spec": "work",
    "phases": [
        {"count": 8, "cpu": CPU, "memMb": 64, "estimateMs": 1000, "antiAffinity": 2}
    ],
}
SMALL_JOB = {"spec": "work", "phases": [{"count": 2, "cpu": 1000, "memMb": 64}]}
JOBS = 30
WATCHED_S = 10.0


def how_it_ends(task: str) -> str:
    """Return how a run ends: all of the job that can never be done fail."""
    return "failed" if TROUBLE and task.startswith(POISON) else "done"


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    cell = Cell(
        HERE / "record.txt", lambda task: 1.0 if task.startswith(POISON) else 0.5
    )
    cell.how_it_ends = how_it_ends
    try:
        await cell.build(3, [f"worker-{n}" for n in range(4)], 16000, 32000)
        if not await cell.ready():
            return 2
        for number in range(JOBS):
            await cell.submit(f"{number + 1:016x}", SMALL_JOB, number)
            await asyncio.sleep(0.5)
        if await cell.submit(POISON, POISON_JOB) != 200:
            return 2
        cell.log("end of the traffic", accepted=len(cell.accepted))
        await asyncio.sleep(FINISH_S)
        starved = await cell.starved(list(cell.accepted), CPU, WATCHED_S)
        for job, span_s in starved.items():
            cell.log("nothing running beside free room", job=job, s=round(span_s, 2))
        cell.log("verdict", starved=len(starved), state=await cell.state(POISON))
        return 1 if starved else 0
    finally:
        await cell.close()


sys.exit(run_case(main))
