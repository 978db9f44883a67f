"""Run an entry process with limits on loopback, and watch what it holds."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PLATFORM = ROOT / "platform"
LOOPBACK = "127.0.0.1"
# Each process serves its metrics on this port, so processes of test runs beside one
# another need addresses of their own.
METRICS_PORT = 9464
HOSTS = [f"127.1.{number}.67" for number in range(1, 250)]
SAMPLE_INTERVAL_S = 0.01
# The watch ends a process that grows beyond this many times its limit, so that a test
# that fails does not exhaust the machine.
RUNAWAY_FACTOR = 8
START_TIMEOUT_S = 30.0
MIB = 2**20
TCP_LISTEN_STATE = "0A"


def unread_bytes(host):
    """Return the bytes that the kernel holds for the connections of an address."""
    number = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(number) and fields[3] != TCP_LISTEN_STATE:
            total += int(fields[4].partition(":")[2], 16)
    return total


class Watch(threading.Thread):
    """Samples a process: its memory with what it has not read yet, and its sockets."""

    def __init__(self, process, host, memory_limit_bytes):
        super().__init__(daemon=True)
        self.process = process
        self.host = host
        self.memory_limit_bytes = memory_limit_bytes
        self.memory_peak_bytes = 0
        self.sockets_peak = 0
        self.ran_away = False
        self._stopped = threading.Event()

    def run(self):
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self._sample()
            except OSError:
                # The process has ended.
                return

    def _sample(self):
        folder = Path(f"/proc/{self.process.pid}")
        fields = dict(
            line.split(":", 1) for line in (folder / "status").read_text().splitlines()
        )
        if "VmRSS" not in fields:
            return
        resident_bytes = 1024 * int(fields["VmRSS"].split()[0])
        peak_bytes = 1024 * int(fields["VmHWM"].split()[0])
        held_bytes = resident_bytes + unread_bytes(self.host)
        self.memory_peak_bytes = max(self.memory_peak_bytes, peak_bytes, held_bytes)
        sockets = sum(_is_socket(entry) for entry in (folder / "fd").iterdir())
        self.sockets_peak = max(self.sockets_peak, sockets)
        if resident_bytes > RUNAWAY_FACTOR * self.memory_limit_bytes:
            self.ran_away = True
            self.process.kill()

    def stop(self):
        self._stopped.set()
        self.join()


def _is_socket(entry):
    try:
        return os.readlink(entry).startswith("socket:")
    except OSError:
        return False


@contextmanager
def store_and_workers(configuration, workers=2):
    """Run the stand-ins in a process; yield the address of the store."""
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join([str(PLATFORM), str(PLATFORM / "standins")]),
    }
    command = [sys.executable, "-m", "hornbeampaddle_platform_standins"]
    command += ["--configuration", json.dumps(configuration)]
    command += ["--workers", str(workers)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environment
    )
    try:
        described = json.loads(process.stdout.readline())
        yield f"{described['host']}:{described['port']}"
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


@contextmanager
def platform_entry(folder, settings):
    """Run an entry on the platform; yield its process once it listens."""
    path = Path(folder, "boot.toml")
    path.write_text(settings)
    log = Path(folder, "entry.log")
    with log.open("wb") as lines:
        process = subprocess.Popen(
            [
                sys.executable,
                str(PLATFORM / "run.py"),
                str(ROOT / "deploy" / "settings.json"),
            ],
            env={**os.environ, "HORNBEAMPADDLE_BOOT": str(path)},
            stdout=lines,
            stderr=lines,
        )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def free_host():
    """Return a loopback address that no other test run uses now."""
    first = os.getpid()
    for offset in range(len(HOSTS)):
        host = HOSTS[(first + offset) % len(HOSTS)]
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
            return host
    raise AssertionError("every loopback address for entries is in use")


def free_port(host):
    """Return a port of an address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def wait_until(condition, timeout_s):
    """Poll a condition; return whether it came to hold."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.05)
    return False
