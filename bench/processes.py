"""Run the simulated platform and entry instances as processes, and measure them."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from hornbeampaddle_cli.testbed import free_ports

TOKEN = "operators-of-the-bench"
PEER_KEY = "peers-of-the-bench-only"
LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30.0
BINARY = Path(sys.executable).parent / "hornbeampaddled"


@dataclass
class Entry:
    """One entry instance in its own process."""

    name: str
    process: subprocess.Popen
    callers: int
    operators: int
    peers: int

    def look(self, path: str) -> Any:
        """Return the decoded JSON of an operators' GET endpoint."""
        url = f"http://{LOOPBACK}:{self.operators}/v1/{path}"
        headers = {"authorization": f"Bearer {TOKEN}"}
        request = urllib.request.Request(url, headers=headers)
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.load(response)

    def post(self, port: int, path: str, value: Any) -> Any:
        """POST JSON to one of the listeners; return the decoded response."""
        url = f"http://{LOOPBACK}:{port}/v1/{path}"
        headers = {"authorization": f"Bearer {TOKEN}"}
        body = json.dumps(value).encode()
        request = urllib.request.Request(url, body, headers, method="POST")
        with urllib.request.urlopen(request, timeout=20) as response:
            return json.load(response)

    def confirm(self, intent: dict[str, Any]) -> None:
        """Request the plan for an intent and confirm it."""
        plan = self.post(self.operators, "plans", intent)
        self.post(self.operators, "confirmations", plan)


@dataclass
class Usage:
    """Usage of one process over an interval: memory, CPU and traffic."""

    memory_mb: float
    cpu_percent: float
    bytes_per_s: float
    messages_per_s: float


def measure(entry: Entry, span_s: float) -> Usage:
    """Return an entry instance's usage over the next ``span_s`` seconds."""
    process = psutil.Process(entry.process.pid)
    before, cpu_before = _traffic_counters(entry), _cpu_s(process)
    begun_s = time.monotonic()
    time.sleep(span_s)
    after, cpu_after = _traffic_counters(entry), _cpu_s(process)
    elapsed_s = time.monotonic() - begun_s
    return Usage(
        memory_mb=process.memory_info().rss / 1e6,
        cpu_percent=100 * (cpu_after - cpu_before) / elapsed_s,
        bytes_per_s=(after[0] - before[0]) / elapsed_s,
        messages_per_s=(after[1] - before[1]) / elapsed_s,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _traffic_counters(entry: Entry) -> tuple[int, int]:
    traffic = entry.look("status")["traffic"]
    names = (
        "sent_bytes",
        "received_bytes",
        "platform_sent_bytes",
        "platform_received_bytes",
    )
    messages = traffic["sent"] + traffic["received"] + 2 * traffic["platform_calls"]
    return sum(traffic[name] for name in names), messages


@contextmanager
def standins(
    workers: int, service_ms: float = 10.0, rack_size: int = 10
) -> Iterator[dict[str, Any]]:
    """Run the simulated platform in one process; yield its addresses."""
    command = [sys.executable, "-m", "hornbeampaddle_standins"]
    command += ["--workers", str(workers), "--service-ms", str(service_ms)]
    command += ["--rack-size", str(rack_size)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield json.loads(process.stdout.readline())
    finally:
        process.kill()
        process.wait()


def _settings(
    name: str,
    ports: tuple[int, int],
    peers: dict[str, int],
    platform: dict[str, Any],
    timing: dict[str, float],
) -> dict[str, Any]:
    return {
        "instance_id": name,
        "data_centre": "brno",
        "listen": {
            "callers": {"host": LOOPBACK, "port": ports[0]},
            "operators": {"host": LOOPBACK, "port": ports[1]},
            "peers": {"host": LOOPBACK, "port": peers[name]},
        },
        "platform": {"log": platform, "instances": platform},
        "peers": [
            {"instance_id": other, "host": LOOPBACK, "port": port}
            for other, port in peers.items()
            if other != name
        ],
        "peer_key": PEER_KEY,
        "operator_token": TOKEN,
        "timing": timing,
        "telemetry": {"log_level": "error"},
        "limits": {"job_tasks": 10_000},
    }


@contextmanager
def entries(
    count: int,
    platform: dict[str, Any],
    timing: dict[str, float] | None = None,
    traces: Path | None = None,
) -> Iterator[list[Entry]]:
    """
    Run entry instances of one data centre, each in its own process.

    With ``traces``, each instance writes its spans to a file with its name in that
    directory.
    """
    ports = free_ports(3 * count)
    peers = {f"e{number}": ports[number] for number in range(count)}
    started: list[Entry] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number, name in enumerate(peers):
                own_ports = (ports[count + number], ports[2 * count + number])
                raw = _settings(name, own_ports, peers, platform, timing or {})
                if traces is not None:
                    raw["telemetry"]["traces_file"] = str(traces / name)
                path = Path(folder) / f"{name}.json"
                path.write_text(json.dumps(raw))
                process = subprocess.Popen([BINARY, "--settings", path])
                listen = raw["listen"]
                callers, operators = listen["callers"], listen["operators"]
                entry = Entry(
                    name, process, callers["port"], operators["port"], peers[name]
                )
                started.append(entry)
            for entry in started:
                _wait_until_up(entry)
            yield started
        finally:
            for entry in started:
                entry.process.send_signal(signal.SIGKILL)
                entry.process.wait()


def _wait_until_up(entry: Entry) -> None:
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        try:
            entry.look("status")
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"timed out: {entry.name} did not respond after its start")


def wait_for_workers(started: list[Entry], workers: int) -> None:
    """Wait until the instances together are the deciders of all workers."""
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        held = sum(entry.look("status")["workers_held"] for entry in started)
        if held == workers:
            return
        time.sleep(0.1)
    raise RuntimeError("timed out: not all workers have a decider")


def pause_between_measurements() -> None:
    """Flush pending disk writes and pause, to separate measurements."""
    os.sync()
    time.sleep(0.2)
