"""
Measure how resource usage grows with the size of the system.

Runs daemon processes against the simulated platform, varying the size of one
dimension at a time, and writes ``docs/capacity/data.json``. ``bench.report``
fits a line to each series and writes the tables and plots of docs/CAPACITY.md.
"""

import json
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil

from .processes import (
    Entry,
    Usage,
    entries,
    measure,
    pause_between_measurements,
    standins,
    wait_for_workers,
)

DATA_FILE = Path(__file__).parent.parent / "docs" / "capacity" / "data.json"
MEASUREMENT_S = 8.0
SETTLE_S = 4.0
GIB = 1024**3
SMALL_TASK_NEEDS = {"cpu_millis": 1000, "memory_bytes": GIB, "accelerators": 0}
LONG_RUN_S = 100_000.0


@dataclass
class Point:
    """One measurement: the size of the varied dimension, and an instance's usage."""

    series: str
    size: int
    memory_mb: float
    cpu_percent: float
    bytes_per_s: float
    messages_per_s: float


def _record_point(series: str, size: int, usage: Usage) -> Point:
    point = Point(series, size, **asdict(usage))
    print(
        f"{series:12} {size:6}  {point.memory_mb:6.1f} MB  {point.cpu_percent:6.2f} %  "
        f"{point.bytes_per_s / 1000:7.2f} KB/s  {point.messages_per_s:7.1f} msg/s",
        flush=True,
    )
    return point


def _measure_workers(size: int) -> Usage:
    """Measure one instance that is the decider of ``size`` idle workers."""
    with (
        standins(size) as standin_addresses,
        entries(1, standin_addresses["platform"]) as started,
    ):
        wait_for_workers(started, size)
        time.sleep(SETTLE_S)
        return measure(started[0], MEASUREMENT_S)


def _measure_attempts(size: int) -> Usage:
    """Measure one instance with 30 workers that run ``size`` long attempts."""
    with (
        standins(30) as standin_addresses,
        entries(1, standin_addresses["platform"]) as started,
    ):
        wait_for_workers(started, 30)
        if size:
            _submit(started[0], "long", size, LONG_RUN_S)
        _wait_for_tasks(started[0], size)
        time.sleep(SETTLE_S)
        return measure(started[0], MEASUREMENT_S)


def _submit(entry: Entry, job_id: str, tasks: int, run_s: float) -> None:
    spec = {
        "job_id": job_id,
        "team": "archive",
        "kind": "long",
        "tasks": tasks,
        "needs": SMALL_TASK_NEEDS,
        "run_s": run_s,
    }
    entry.post(entry.callers, "jobs", spec)


def _wait_for_tasks(entry: Entry, tasks: int) -> None:
    end_s = time.monotonic() + 60
    while time.monotonic() < end_s:
        if len(entry.look("tasks")["tasks"]) >= tasks:
            return
        time.sleep(0.5)
    raise RuntimeError("not all tasks run after 60 s")


def _measure_instances(size: int) -> Usage:
    """Measure one of ``size`` instances that share 30 workers."""
    with (
        standins(30) as standin_addresses,
        entries(size, standin_addresses["platform"]) as started,
    ):
        wait_for_workers(started, 30)
        time.sleep(SETTLE_S)
        return measure(started[0], MEASUREMENT_S)


def _measure_teams(size: int) -> Usage:
    """Measure one instance with ``size`` quotas, and so as many changes, applied."""
    with (
        standins(30) as standin_addresses,
        entries(1, standin_addresses["platform"]) as started,
    ):
        wait_for_workers(started, 30)
        for number in range(size):
            needs = {"cpu_millis": 100_000, "memory_bytes": 100 * GIB}
            started[0].confirm(
                {"type": "ChangeQuota", "team": f"team-{number}", "needs": needs}
            )
        time.sleep(SETTLE_S)
        return measure(started[0], MEASUREMENT_S)


@dataclass
class Rate:
    """CPU time and appends per event, over many events of one kind."""

    kind: str
    count: int
    each_us: float
    appends_per_event: float


def _measure_task_runs() -> Rate:
    """Measure the CPU time per batch task from start to recorded end."""
    tasks = 2000
    with (
        standins(30) as standin_addresses,
        entries(1, standin_addresses["platform"]) as started,
    ):
        entry = started[0]
        wait_for_workers([entry], 30)
        process = psutil.Process(entry.process.pid)
        before_s = sum(process.cpu_times()[:2])
        _submit(entry, "short", tasks, 0.5)
        end_s = time.monotonic() + 120
        while time.monotonic() < end_s and entry.look("status")["jobs_over"] < 1:
            time.sleep(0.5)
        used_s = sum(process.cpu_times()[:2]) - before_s
        appends = entry.look("status")["appends"]
    return Rate("task start to end", tasks, 1e6 * used_s / tasks, appends / tasks)


def _measure_plan_changes() -> Rate:
    """Measure the CPU time per plan with its confirmation and its record."""
    changes = 300
    with (
        standins(30) as standin_addresses,
        entries(1, standin_addresses["platform"]) as started,
    ):
        entry = started[0]
        wait_for_workers([entry], 30)
        process = psutil.Process(entry.process.pid)
        before_s = sum(process.cpu_times()[:2])
        for number in range(changes):
            needs = {"cpu_millis": 1000 + number, "memory_bytes": GIB}
            entry.confirm({"type": "ChangeQuota", "team": "archive", "needs": needs})
        used_s = sum(process.cpu_times()[:2]) - before_s
        appends = entry.look("status")["appends"]
    return Rate("plan and confirm", changes, 1e6 * used_s / changes, appends / changes)


SERIES: dict[str, tuple[Callable[[int], Usage], tuple[int, ...]]] = {
    "workers": (_measure_workers, (30, 100, 410, 1600)),
    "attempts": (_measure_attempts, (0, 100, 400, 1200)),
    "instances": (_measure_instances, (2, 4, 8, 24)),
    "teams": (_measure_teams, (10, 100, 300, 510)),
}


def main() -> None:
    """Measure all series, or those named as arguments, and save the data."""
    selected = sys.argv[1:] or list(SERIES)
    previous = (
        json.loads(DATA_FILE.read_text())
        if DATA_FILE.exists()
        else {"points": [], "rates": []}
    )
    points = [p for p in previous["points"] if p["series"] not in selected]
    for name in selected:
        run, sizes = SERIES[name]
        for size in sizes:
            points.append(asdict(_record_point(name, size, run(size))))
            _write_data(points, previous["rates"])
            pause_between_measurements()
    rates = [asdict(_measure_task_runs()), asdict(_measure_plan_changes())]
    for rate in rates:
        print(rate)
    _write_data(points, rates)


def _write_data(points: list[dict], rates: list[dict]) -> None:
    DATA_FILE.parent.mkdir(parents=True, exist_ok=True)
    data = {"points": points, "rates": rates}
    DATA_FILE.write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
