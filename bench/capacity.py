"""
Measure how cost grows with size, and fit a line to each.

Runs the real daemon as processes against the stand-ins at several sizes of one
dimension at a time, and writes ``docs/capacity/data.json``. ``bench.report``
turns that into the tables and plots of docs/CAPACITY.md.
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
    quiet,
    standins,
    wait_for_workers,
)

OUT = Path(__file__).parent.parent / "docs" / "capacity" / "data.json"
SPAN_S = 8.0
SETTLE_S = 4.0
GIB = 1024**3
SMALL_JOB = {"cpu_millis": 1000, "memory_bytes": GIB, "accelerators": 0}
LONG_S = 100_000.0


@dataclass
class Point:
    """One measurement: the size of what varied, and what an instance used."""

    series: str
    size: int
    memory_mb: float
    cpu_percent: float
    bytes_per_s: float
    messages_per_s: float


def _point(series: str, size: int, usage: Usage) -> Point:
    point = Point(series, size, **asdict(usage))
    print(
        f"{series:12} {size:6}  {point.memory_mb:6.1f} MB  {point.cpu_percent:6.2f} %  "
        f"{point.bytes_per_s / 1000:7.2f} KB/s  {point.messages_per_s:7.1f} msg/s",
        flush=True,
    )
    return point


def _workers(size: int) -> Usage:
    """Measure one instance that decides for ``size`` idle workers."""
    with standins(size) as described, entries(1, described["platform"]) as started:
        wait_for_workers(started, size)
        time.sleep(SETTLE_S)
        return measure(started[0], SPAN_S)


def _attempts(size: int) -> Usage:
    """Measure one instance with 30 workers that run ``size`` long attempts."""
    with standins(30) as described, entries(1, described["platform"]) as started:
        wait_for_workers(started, 30)
        if size:
            _submit(started[0], "long", size, LONG_S)
        _wait_for_tasks(started[0], size)
        time.sleep(SETTLE_S)
        return measure(started[0], SPAN_S)


def _submit(entry: Entry, job_id: str, tasks: int, run_s: float) -> None:
    spec = {
        "job_id": job_id,
        "team": "archive",
        "kind": "long",
        "tasks": tasks,
        "needs": SMALL_JOB,
        "run_s": run_s,
    }
    entry.post(entry.callers, "jobs", spec)


def _wait_for_tasks(entry: Entry, tasks: int) -> None:
    end_s = time.monotonic() + 60
    while time.monotonic() < end_s:
        if len(entry.look("tasks")["tasks"]) >= tasks:
            return
        time.sleep(0.5)
    raise RuntimeError("not all tasks run")


def _instances(size: int) -> Usage:
    """Measure one of ``size`` instances that share 30 workers."""
    with standins(30) as described, entries(size, described["platform"]) as started:
        wait_for_workers(started, 30)
        time.sleep(SETTLE_S)
        return measure(started[0], SPAN_S)


def _teams(size: int) -> Usage:
    """Measure one instance with ``size`` quotas, so as many changes, in force."""
    with standins(30) as described, entries(1, described["platform"]) as started:
        wait_for_workers(started, 30)
        for number in range(size):
            needs = {"cpu_millis": 100_000, "memory_bytes": 100 * GIB}
            started[0].confirm(
                {"type": "ChangeQuota", "team": f"team-{number}", "needs": needs}
            )
        time.sleep(SETTLE_S)
        return measure(started[0], SPAN_S)


@dataclass
class Rate:
    """Processor time for each of many events of one kind."""

    kind: str
    count: int
    each_us: float
    appends_per_event: float


def _starts() -> Rate:
    """Measure the processor time of a batch task from start to recorded end."""
    tasks = 2000
    with standins(30) as described, entries(1, described["platform"]) as started:
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


def _changes() -> Rate:
    """Measure the processor time of a plan, its confirmation and its record."""
    changes = 300
    with standins(30) as described, entries(1, described["platform"]) as started:
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
    "workers": (_workers, (30, 100, 410, 1600)),
    "attempts": (_attempts, (0, 100, 400, 1200)),
    "instances": (_instances, (2, 4, 8, 24)),
    "teams": (_teams, (10, 100, 300, 510)),
}


def main() -> None:
    """Measure all series, or those named as arguments, and keep the data."""
    chosen = sys.argv[1:] or list(SERIES)
    kept = json.loads(OUT.read_text()) if OUT.exists() else {"points": [], "rates": []}
    points = [p for p in kept["points"] if p["series"] not in chosen]
    for name in chosen:
        run, sizes = SERIES[name]
        for size in sizes:
            points.append(asdict(_point(name, size, run(size))))
            _keep(points, kept["rates"])
            quiet()
    rates = [asdict(_starts()), asdict(_changes())]
    for rate in rates:
        print(rate)
    _keep(points, rates)


def _keep(points: list[dict], rates: list[dict]) -> None:
    OUT.parent.mkdir(parents=True, exist_ok=True)
    data = {"points": points, "rates": rates}
    OUT.write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    main()
