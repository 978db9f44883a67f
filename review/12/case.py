"""Show that an order carried out late runs a task again after its end was noted."""

import asyncio
import json
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins3"))

from bench3 import HANG, TROUBLE, Call, Cell, Entry, Seen, now_s, require, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORKERS = 6
TASK_MS = 1000
# The pages' range is 2 to 12 s.
LATE_S = 6.5
# After the start that got no answer.
POWER_LOSS_AT_S = 5.0
WORKER_DOWN_S = 0.7
PROCESS_DOWN_S = 1.0

cell = Cell(CASE, maxAttempts=4)
late: dict[str, object] = {}


def first_copy_hangs(call: Call) -> object:
    """Leave the first start unanswered, and carry it out late."""
    if call.path != "/v1/run-start" or late:
        return None
    order = json.loads(call.body)
    name = call.headers["hornbeampaddle-expected-instance"]
    late.update(order=order, worker=name, at_s=now_s())
    cell.record.add("a start gets no answer", task=order["task"], worker=name)
    asyncio.get_running_loop().create_task(carry_out_late(name, order))
    return HANG


async def carry_out_late(name: str, order: dict) -> None:
    """Carry an order out at the worker of that id, as it is by then."""
    await asyncio.sleep(LATE_S)
    worker = next(w for w in cell.workers if w.alive and w.name == name)
    answer = await worker.carry_out("/v1/run-start", order)
    cell.record.add("the start is carried out late", answer=answer, born=worker.born)


def holder() -> Entry:
    """Return the process that holds the cell, by what the processes log."""
    begun = [
        (line["epoch"], entry.name)
        for entry in cell.entries
        for line in entry.lines()
        if line.get("event") == "holder: began"
    ]
    name = max(begun)[1]
    return next(entry for entry in cell.entries if entry.name == name)


async def lose_power(worker_name: str) -> None:
    """Let the holder and one worker lose power at the same moment; both return."""
    worker = next(w for w in cell.workers if w.alive and w.name == worker_name)
    entry = holder()
    cell.record.add("a place loses power", process=entry.name, worker=worker_name)
    worker.crash()
    entry.send(signal.SIGKILL)
    await asyncio.sleep(WORKER_DOWN_S)
    await cell.add_worker(worker_name, born=True, port=worker.server.port)
    cell.record.add("the worker is back under its id", worker=worker_name)
    await asyncio.sleep(PROCESS_DOWN_S - WORKER_DOWN_S)
    await entry.start()


async def main() -> bool:
    """Return whether the rule was broken."""
    await cell.start(3)
    for number in range(WORKERS):
        worker = await cell.add_worker(f"i-76e77ecb{number:02x}", born=True)
        if TROUBLE:
            worker.trouble = first_copy_hangs
    await asyncio.sleep(3.0)
    body = {
        "spec": json.dumps({"ms": TASK_MS}),
        "phases": [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": TASK_MS}],
    }
    if await cell.submit(JOB, body) != 200:
        raise OSError("the job was not accepted")
    await asyncio.sleep(POWER_LOSS_AT_S)
    require(await cell.state(JOB) == "completed", "the job is not done in time")
    if TROUBLE:
        await lose_power(str(late["worker"]))
    await asyncio.sleep(10.0)
    await cell.state(JOB)
    broken = False
    runs: list[Seen] = cell.record.of_job(JOB)
    for seen in runs:
        begun_s = round(seen.begun_s - cell.record.begun_s, 3)
        noted_s = round(seen.noted_s - cell.record.begun_s, 3)
        cell.record.add(
            "run",
            number=seen.number,
            worker=seen.worker,
            begun_s=begun_s,
            how=seen.how,
            noted_s=noted_s,
        )
        for other in runs:
            noted = other.how == "done" and other.noted_s < float("inf")
            if other is not seen and noted and seen.begun_s > other.ended_s:
                cell.record.add("a start after an end that was noted", run=seen.number)
                broken = True
    cell.copy_log_lines("holder:", "claim:", "start", "run_", "stop", limit=40)
    return broken


run_case(main, cell, 60.0)
