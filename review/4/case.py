"""One unreadable entry in the list of workers: does the cell go on starting tasks?"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from cell import FINISH_S, HEARTBEAT_S, Cell, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = {"spec": "work", "phases": [{"count": 2, "cpu": 1000, "memMb": 64}]}
# Bytes that cannot be read: 1.2 KB, cut off in the middle of nested lists.
UNREADABLE = b'{"inventory":' + b"[" * 1200


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    cell = Cell(HERE / "record.txt", lambda task: 0.5)
    try:
        await cell.build(3, [f"worker-{n}" for n in range(4)], 8000, 16000)
        if not await cell.ready():
            return 2
        for number in range(50):
            if number == 16 and TROUBLE:
                cell.log("another writer: entry written", size=len(UNREADABLE))
                cell.store.write("keyed.servers", "inventory", UNREADABLE)
            if number == 23 and TROUBLE:
                # Like any entry, it is removed after three heartbeats of silence.
                cell.log("entry removed", after_s=3 * HEARTBEAT_S)
                cell.store.write("keyed.servers", "inventory", b"")
            await cell.submit(f"{number + 1:016x}", JOB, number)
            await asyncio.sleep(0.5)
        if len(cell.accepted) < 40:
            return 2
        cell.log("end of the traffic", accepted=len(cell.accepted))
        await asyncio.sleep(FINISH_S)
        starved = await cell.starved(list(cell.accepted), 1000)
        never = [job for job in cell.accepted if job not in cell.started]
        cell.log("verdict", starved=len(starved), never_started=len(never))
        return 1 if starved else 0
    finally:
        await cell.close()


sys.exit(run_case(main))
