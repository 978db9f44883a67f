"""
Stand-ins of the platform's store, of workers and of clients, for the cases of review 3.

They follow PROTOCOL.md and use the standard library only. A case runs in one process,
which starts the entry processes with the command of the deploy file; the stand-ins are
tasks of its event loop. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import zlib
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ZONE = "dc-1"
METRICS_PORT = 9464
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
HEARTBEAT_S = 1.1
MAX_HOLD_S = 10.0
STOP_S = 0.3
RESTORE_S = 0.6
CHECKPOINT_S = 2.0
# A longer lag of the stand-ins could pass for a slow store or for slow workers: entry
# processes wait 0.6 s and more for an answer.
LAG_MAX_S = 0.5
REFUSE = object()
HANG = object()


def now_s() -> float:
    """Return the steady time of the case."""
    return time.monotonic()


class CaseError(Exception):
    """The case could not run."""


# HTTP


@dataclass
class Call:
    """One request as a stand-in has read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Return the first line, headers and body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """A listener that calls ``handle`` for each request."""

    def __init__(self, handle: Callable[[Call], Awaitable[object]]) -> None:
        """Serve nothing before ``start``."""
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, host: str, port: int = 0) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=4 * 2**20, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def crash(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, path, _ = message[0].split(" ", 2)
                answer = await self.handle(Call(method, path, message[1], message[2]))
                if answer is REFUSE:
                    writer.transport.abort()
                    return
                if answer is HANG:
                    await asyncio.sleep(3600)
                status, body = answer  # type: ignore[misc]
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} S\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def http_call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 4.0,
) -> tuple[int, bytes]:
    """Make one call over a connection of its own; status 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=2**20)
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            named = {"host": host, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            while True:
                message = await read_message(reader)
                if message is None:
                    return 0, b""
                status = int(message[0].split(" ")[1])
                if status != 100:
                    return status, message[2]
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store


@dataclass
class Log:
    """One partition of a keyed topic."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    # By producer: its epoch, the number that follows and the last five outcomes.
    producers: dict[str, tuple[int, int, dict[int, dict]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return len(self.records)

    def add(self, key: str, value: bytes) -> None:
        """Append one record."""
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, self.end - 1)
        else:
            self.newest.pop(key, None)

    def wake(self) -> None:
        """Wake the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()


def _split(body: bytes) -> list[bytes]:
    contents, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


class Store:
    """The platform's store, with the limits that its settings name."""

    def __init__(self, record: "Record") -> None:
        """Begin empty."""
        self.logs: dict[str, Log] = {}
        self.record = record
        self.server = HttpServer(self._handle)
        # Returns what to do with a call instead of serving it, or None.
        self.trouble: Callable[[Call, str], object] = lambda call, topic: None
        self.refused_sizes = 0
        self.largest: dict[str, int] = {}

    def log(self, topic: str) -> Log:
        """Return a topic's partition, created on first use."""
        return self.logs.setdefault(topic, Log())

    def write(self, topic: str, key: str, value: object) -> None:
        """Append as the operator or as a worker."""
        data = b"" if value is None else json.dumps(value).encode()
        log = self.log(topic)
        log.add(key, data)
        log.wake()

    async def _handle(self, call: Call) -> object:
        parts = urlsplit(call.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        trouble = self.trouble(call, topic)
        if trouble is not None:
            return trouble
        await asyncio.sleep(0.003)
        match parts.path:
            case "/v1/log-append":
                return self._append(topic, query, call.body)
            case "/v1/log-read":
                return await self._read(topic, query)
            case "/v1/log-newest":
                return self._newest(topic, query)
        return 404, {}

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> object:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        contents = _split(body)
        sizes = [len(content) for content in contents]
        if sizes and (max(sizes) > RECORD_BYTES or len(body) > REQUEST_BYTES):
            self.refused_sizes += 1
            if self.refused_sizes <= 20 or self.refused_sizes % 50 == 0:
                self.record.add(
                    "store refuses an append", topic=topic, largest=max(sizes)
                )
            return 400, {"reason": "size"}
        log = self.log(topic)
        if "producer" in query:
            name, epoch = query["producer"], int(query["epoch"])
            number = int(query.get("seqNum", "0"))
            seen, following, outcomes = log.producers.get(name, (-1, 0, {}))
            if epoch < seen:
                return 409, {"reason": "fenced"}
            if epoch > seen:
                seen, following, outcomes = epoch, number, {}
                log.producers[name] = (seen, following, outcomes)
            if not contents:
                return 200, {"offset": log.end, "endOffset": log.end}
            if number in outcomes:
                return 200, outcomes[number]
            if number != following:
                return 409, {"reason": "seq", "seqNum": following}
        if "at" in query and int(query["at"]) != log.end:
            return 412, {"endOffset": log.end}
        offset = log.end
        for content in contents:
            size = content[0]
            key = content[1 : 1 + size].decode()
            log.add(key, content[1 + size :])
            self.largest[key] = max(self.largest.get(key, 0), len(content))
        outcome = {"offset": offset, "endOffset": log.end}
        if "producer" in query:
            outcomes[number] = outcome
            outcomes.pop(number - 5, None)
            log.producers[name] = (seen, number + 1, outcomes)
        log.wake()
        return 200, outcome

    async def _read(self, topic: str, query: dict[str, str]) -> object:
        log = self.log(topic)
        offset = int(query["from"])
        until_s = now_s() + int(query.get("waitMs", "0")) / 1000
        while log.end <= offset and (left_s := until_s - now_s()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await log.changed.wait()
            except TimeoutError:
                pass
        left_bytes = int(query.get("maxKb", "1024")) * 1024
        parts = [struct.pack(">QQ", log.end, 0)]
        for key, value in log.records[offset:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            left_bytes -= 4 + len(content)
            if left_bytes < 0 and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def _newest(self, topic: str, query: dict[str, str]) -> object:
        log = self.log(topic)
        after = query.get("dependsOn", "")
        keys = sorted(key for key in log.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = log.newest[key]
            size += len(value)
            if items and (len(items) >= 500 or size > 2**20):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "hasMore": more, "endOffset": log.end}


# Workers


@dataclass
class Run:
    """One run of a task on a worker."""

    task: str
    number: int
    spec: dict
    begun_s: float
    checkpoint: str = ""
    stop_at_s: float = float("inf")
    # The work that the checkpoint it was started from had saved.
    resumed_s: float = 0.0


class Worker:
    """
    One incarnation of a worker; it starts whatever it is told to start.

    A task's spec is JSON: ``ms`` is how long it works (absent: it lasts), ``tail`` the
    tail that it reports, ``saves`` whether it saves checkpoints.
    """

    def __init__(
        self, cell: "Cell", name: str, cpu: int, mem_mb: int, labels: list[str]
    ) -> None:
        """Run nothing yet."""
        self.cell = cell
        self.name = name
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = labels
        # The Unix millisecond of its start, if this deployment's workers state it.
        self.born: int | None = None
        self.server = HttpServer(self._handle)
        self.alive = True
        self.state = "ready"
        self.token = 0
        self.deadline_s: float | None = None
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: deque[list] = deque()
        self.end_count = 0
        self.ended = asyncio.Event()
        self.skew_s = 1000.0 - now_s()
        self.tasks: list[asyncio.Task] = []
        self.sequence = 0
        # Returns what to do with a call instead of serving it, or None.
        self.trouble: Callable[[Call], object] = lambda call: None

    @property
    def life(self) -> str:
        """Return the worker's id, with its birth if it states that."""
        return self.name if self.born is None else f"{self.name}@{self.born}"

    def clock_s(self) -> float:
        """Return the time of the worker's steady clock."""
        return now_s() + self.skew_s

    async def start(self, port: int = 0) -> None:
        """Listen, register, and live."""
        await self.server.start("127.0.0.1", port)
        self.beat()
        self.tasks = [
            asyncio.create_task(self._beats()),
            asyncio.create_task(self._live()),
        ]

    def beat(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.cell.store.write(
            "keyed.servers",
            self.name,
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{self.server.port}",
                "zone": ZONE,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
                "labels": self.labels,
                **self._birth(),
                "clockMs": round(self.clock_s() * 1000),
                "seqNum": self.sequence,
            },
        )

    def _birth(self) -> dict[str, int]:
        return {} if self.born is None else {"born": self.born}

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def crash(self) -> None:
        """End at once, with all that runs; the entry is removed later."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.server.crash()
        for run in self.runs.values():
            self.cell.record.run_ended(self, run, "lost")
        self.runs.clear()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._remove_entry)

    def _remove_entry(self) -> None:
        if not any(w.alive and w.name == self.name for w in self.cell.workers):
            self.cell.store.write("keyed.servers", self.name, None)

    def _end(self, run: Run, how: str) -> None:
        self.end_count += 1
        del self.runs[run.task]
        saved = run.checkpoint
        self.ends.append([self.end_count, run.task, run.number, how, saved])
        self.cell.record.run_ended(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def worked_s(self, run: Run) -> float:
        """Return the work of a run, with what its checkpoint had saved."""
        return max(run.resumed_s, now_s() - run.begun_s + run.resumed_s)

    async def _live(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            lapsed = self.deadline_s is not None and self.clock_s() > self.deadline_s
            for run in list(self.runs.values()):
                worked_s = self.worked_s(run)
                if lapsed:
                    self._end(run, "lapsed")
                elif now_s() >= run.stop_at_s:
                    if run.spec.get("saves"):
                        run.checkpoint = self.cell.checkpoint(run.task, worked_s)
                    self._end(run, "stopped")
                elif "ms" in run.spec and worked_s * 1000 >= run.spec["ms"]:
                    fails = run.spec.get("fails", 0) >= run.number
                    self._end(run, "failed" if fails else "done")
                elif run.spec.get("saves"):
                    run.checkpoint = self.cell.checkpoint(run.task, worked_s)

    def _json(self, status: int, **fields: object) -> object:
        return status, {"clockMs": round(self.clock_s() * 1000), **fields}

    async def _handle(self, call: Call) -> object:
        trouble = self.trouble(call)
        if trouble is not None:
            return trouble
        if call.path == "/healthz":
            return 200, {}
        expected = call.headers.get("hornbeampaddle-expected-instance", self.name)
        if expected != self.name:
            return 421, {}
        return await self.carry_out(call.path, json.loads(call.body))

    async def carry_out(self, path: str, order: dict) -> object:
        """Carry out an order."""
        token = order.get("fencingToken", 0)
        if token < self.token:
            return self._json(409, reason="fence")
        self.token = token
        match path:
            case "/v1/run-start":
                return self._start(order)
            case "/v1/run-stop":
                return self._stop(order)
            case "/v1/hold":
                return await self._hold(order)
            case "/v1/pace":
                return self._json(200)
        return 404, {}

    def _renew(self, order: dict) -> None:
        if "deadlineMs" in order:
            latest_s = self.clock_s() + MAX_HOLD_S
            deadline_s = min(latest_s, order["deadlineMs"] / 1000)
            self.deadline_s = max(self.deadline_s or deadline_s, deadline_s)

    def _start(self, order: dict) -> object:
        task, number = order["task"], order["runId"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return self._json(200)
        if number <= self.highest.get(task, 0):
            self._renew(order)
            return self._json(409, reason="old")
        if "deadlineMs" in order and order["deadlineMs"] / 1000 <= self.clock_s():
            return self._json(409, reason="late")
        self._renew(order)
        spec = json.loads(order["spec"])
        saved = order.get("checkpoint", "")
        begun_s = now_s() + (RESTORE_S if saved else 0.0)
        run = Run(task, number, spec, begun_s, saved)
        run.resumed_s = CHECKPOINT_S * int(saved[:4], 16) if saved else 0.0
        self.runs[task] = run
        self.highest[task] = number
        self.cell.record.run_begun(self, run)
        return self._json(200)

    def _stop(self, order: dict) -> object:
        task, number = order["task"], order["runId"]
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_at_s = min(run.stop_at_s, now_s() + STOP_S)
        self.highest[task] = max(number, self.highest.get(task, 0))
        return self._json(200)

    async def _hold(self, order: dict) -> object:
        while self.ends and self.ends[0][0] <= order.get("lastSeen", 0):
            self.cell.record.end_noted(self, self.ends.popleft())
        self._renew(order)
        wait_s = min(2.0, order.get("waitMs", 0) / 1000)
        if wait_s and not self.ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            percent = 100
            if "ms" in run.spec:
                share = self.worked_s(run) * 1000 / run.spec["ms"]
                percent = min(99, int(100 * share))
            measure = run.spec.get("tail", run.spec.get("cpu", 0))
            running.append([run.task, run.number, run.checkpoint, percent, measure])
        ends = list(self.ends)[:500]
        return self._json(200, running=running, endedRuns=ends, **self._birth())


# What was seen


@dataclass
class Seen:
    """One run as the workers saw it."""

    task: str
    number: int
    worker: str
    begun_s: float
    ended_s: float = float("inf")
    how: str = ""
    noted_s: float = float("inf")


class Record:
    """The events of a case, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record."""
        self.file = (folder / "record.txt").open("w")
        self.begun_s = now_s()
        self.lag_s = 0.0
        self.runs: dict[str, list[Seen]] = {}
        self.runs_by_job: dict[str, list[Seen]] = {}
        # Whether each run is written, or only counted.
        self.quiet_runs = False

    def add(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now_s() - self.begun_s:8.3f} {what} {text}\n")
        self.file.flush()

    def run_begun(self, worker: Worker, run: Run) -> None:
        """Note that a worker has begun a run."""
        seen = Seen(run.task, run.number, worker.life, now_s())
        self.runs.setdefault(run.task, []).append(seen)
        self.runs_by_job.setdefault(run.task.partition(".")[0], []).append(seen)
        if not self.quiet_runs:
            self.add("begun", task=run.task, run=run.number, worker=worker.life)

    def run_ended(self, worker: Worker, run: Run, how: str) -> None:
        """Note that a run has ended."""
        for seen in self.runs.get(run.task, []):
            if seen.number == run.number and seen.worker == worker.life:
                seen.ended_s, seen.how = now_s(), how
        if not self.quiet_runs:
            self.add("ended", task=run.task, run=run.number, how=how)

    def end_noted(self, worker: Worker, end: list) -> None:
        """Note that an end was taken note of."""
        for seen in self.runs.get(end[1], []):
            if seen.number == end[2] and seen.worker == worker.life:
                seen.noted_s = now_s()

    def of_job(self, job_id: str) -> list[Seen]:
        """Return all runs of a job's tasks."""
        return list(self.runs_by_job.get(job_id, ()))


# The system


@dataclass
class Entry:
    """One entry process."""

    cell: "Cell"
    name: str
    host: str
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None
    started: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(self) -> None:
        """Start the program as the deploy file does."""
        folder = self.cell.folder
        path = folder / f"{self.name}.toml"
        path.write_text(
            f'nodeName = "{self.name}"\nrole = "entry"\nzone = "{ZONE}"\n'
            f'ip = "{self.host}"\ninternalPorts = [{self.ports["internal"]}, '
            f"{self.ports['internal'] + 3}]\nheartbeatMs = 1100\n"
            f'[zones]\n{ZONE} = "morava"\n'
            f'[listenAddrs]\nfrontend = "{self.host}:{self.ports["frontend"]}"\n'
            f'readiness = "{self.host}:{self.ports["readiness"]}"\n'
            f"[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = {self.cell.memory_mb}\n"
            "maxFds = 4100\n"
            "[bounds]\ncontactMs = 3000\nmaxHoldMs = 10000\nstopMs = 400\n"
            "gangTimeoutMs = 3000\ngraceS = 6\nconfigApplyMs = 2000\nstatus_s = 120\n"
            f'[platform]\naddress = "{self.cell.store_address(self.name)}"\n'
            'form = "log"\nwritesPerS = 800\nreadsPerS = 2000\n'
            f"recordBytes = {RECORD_BYTES}\nrequestBytes = {REQUEST_BYTES}\n"
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        log = (folder / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["HORNBEAMPADDLE_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, env=environment
        )
        log.close()
        self.started.append(self.process)
        self.cell.record.add("process started", name=self.name)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the running process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.cell.record.add("signal", name=self.name, signal=number.name)

    async def end(self) -> None:
        """End every process that was started here."""
        for process in self.started:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()

    def lines(self) -> list[dict]:
        """Return the log of the process."""
        lines = []
        for line in (self.cell.folder / f"{self.name}.log").read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": line})
        return lines


def _free_ports(host: str) -> dict[str, int]:
    sockets = [socket.socket() for _ in range(3)]
    for one in sockets:
        one.bind((host, 0))
    names = ("frontend", "readiness", "internal")
    ports = {
        name: one.getsockname()[1] for name, one in zip(names, sockets, strict=True)
    }
    for one in sockets:
        one.close()
    return ports


def _free_network(count: int) -> list[str]:
    """Return addresses in 127.0.0.0/8 on which the metrics port is free."""
    # Cases that start at the same moment begin their search at different addresses.
    for step in range(220):
        third = 20 + (os.getpid() * 7 + step) % 220
        hosts = [f"127.3.{third}.{number + 1}" for number in range(count)]
        try:
            for host in hosts:
                with socket.socket() as one:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind((host, METRICS_PORT))
        except OSError:
            continue
        return hosts
    raise CaseError("no free loopback addresses")


class Cell:
    """A small deployment: store, workers, entry processes and clients."""

    def __init__(self, case: Path, **route: object) -> None:
        """Prepare; nothing runs before ``start``."""
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="hornbeampaddle-review-"))
        self.record = Record(case)
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.version = 7
        self.memory_mb = 300
        self.routes = [
            {
                "name": "r-3hwrr6x",
                "host": HOST,
                "pathPrefix": PREFIX,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 2500,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 4,
                "stretchFactor": 2.0,
                **route,
            }
        ]

    def store_address(self, name: str) -> str:
        """Return the address at which an entry process reaches the store."""
        return f"127.0.0.1:{self.store.server.port}"

    def checkpoint(self, task: str, worked_s: float) -> str:
        """Return the checkpoint of a task after some work: 16 digits."""
        saved = int(worked_s // CHECKPOINT_S)
        return f"{saved:04x}{task[:12]}" if saved else ""

    def configure(self) -> None:
        """Write the configuration as the operator."""
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64}
        self.store.write(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": [{**service, "protocol": "h1", "rejectsOverload": False}],
                "limits": limits,
            },
        )
        self.record.add("operator writes the configuration", version=self.version)

    async def add_worker(self, name: str, **kind: object) -> Worker:
        """Start a worker."""
        worker = Worker(
            self,
            name,
            int(kind.get("cpu", 64000)),  # type: ignore[call-overload]
            int(kind.get("mem_mb", 256000)),  # type: ignore[call-overload]
            list(kind.get("labels", ["a", "r1-1"])),  # type: ignore[call-overload]
        )
        if kind.get("born"):
            worker.born = round(time.time() * 1000)
        self.workers.append(worker)
        await worker.start(int(kind.get("port", 0)))  # type: ignore[call-overload]
        return worker

    async def start(self, entries: int) -> None:
        """Start the store and the entry processes, and wait until they are ready."""
        await self.store.server.start("127.0.0.1")
        self.configure()
        for number, host in enumerate(_free_network(entries)):
            entry = Entry(self, f"edge-{number + 1}", host, _free_ports(host))
            self.entries.append(entry)
        await self.before_entries()
        for entry in self.entries:
            await entry.start()
        await self.ready()

    async def before_entries(self) -> None:
        """Prepare what must be there before the entry processes start."""

    async def ready(self, timeout_s: float = 15.0) -> None:
        """Wait until every entry process says that it is ready."""
        until_s = now_s() + timeout_s
        for entry in self.entries:
            while True:
                status, _ = await http_call(
                    entry.host, entry.ports["readiness"], "GET", "/v1/readyz"
                )
                if status == 200:
                    break
                if now_s() > until_s:
                    raise CaseError(f"{entry.name} is not ready")
                await asyncio.sleep(0.2)
        self.record.add("all entry processes are ready")

    def require_room(self, cpu_of: Callable[[str], int], cpu: int) -> None:
        """
        Require what LOST asks for: room twice over, and under half of it in use.

        ``cpu_of`` returns the cores of a job's task, in thousandths; ``cpu`` is what a
        waiting job needs.
        """
        alive = [worker for worker in self.workers if worker.alive]
        used = {
            w.name: sum(cpu_of(run.task.partition(".")[0]) for run in w.runs.values())
            for w in alive
        }
        whole = sum(worker.cpu for worker in alive)
        free = max(worker.cpu - used[worker.name] for worker in alive)
        self.record.add("cores", used=sum(used.values()), of=whole, widest_free=free)
        require(2 * sum(used.values()) < whole, "half of the capacity is in use")
        require(free >= 2 * cpu, "no room twice over")

    def record_memory(self) -> None:
        """Write the largest memory of each process, beside its limit."""
        for entry in self.entries:
            if entry.process is None or entry.process.returncode is not None:
                continue
            status = Path(f"/proc/{entry.process.pid}/status").read_text()
            peak_mb = int(status.partition("VmHWM:")[2].split()[0]) // 1024
            self.record.add(
                "memory", name=entry.name, peak_mb=peak_mb, limit_mb=self.memory_mb
            )

    async def stop(self) -> None:
        """End all processes and remove the folder."""
        self.record_memory()
        for entry in self.entries:
            await entry.end()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            worker.server.crash()
        self.store.server.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(
        self, entry: Entry, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Make a client's call; the answer's status is 0 if there is none."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "host": HOST,
            "content-type": "application/json",
            "hornbeampaddle-deadline-ms": "3000",
        }
        status, answer = await http_call(
            entry.host, entry.ports["frontend"], method, path, data, headers, 3.0
        )
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, {}

    async def submit(
        self, job_id: str, body: object, prefix: str = PREFIX, tries: int = 4
    ) -> int:
        """Hand a job in, with a client's retries at other nodes; return the status."""
        status = 0
        for number in range(tries):
            first = zlib.crc32(job_id.encode())
            entry = self.entries[(first + number) % len(self.entries)]
            status, answer = await self.call(entry, "POST", prefix + job_id, body)
            self.record.add(
                "POST", job=job_id, at=entry.name, status=status, answer=answer
            )
            if 200 <= status < 300 or status in (400, 404):
                return status
            await asyncio.sleep(0.5)
        return status

    async def state(self, job_id: str, prefix: str = PREFIX) -> str:
        """Ask for a job's state until a node answers; return it, or the status."""
        status = 0
        for entry in self.entries:
            status, answer = await self.call(entry, "GET", prefix + job_id)
            if status == 200:
                self.record.add("GET", job=job_id, at=entry.name, state=answer["state"])
                return str(answer["state"])
            self.record.add("GET", job=job_id, at=entry.name, status=status)
        return str(status)

    def copy_log_lines(self, *events: str, limit: int = 60) -> None:
        """Copy lines of the processes' logs that name the events to the record."""
        for entry in self.entries:
            lines = [
                line
                for line in entry.lines()
                if any(str(line.get("event", "")).startswith(event) for event in events)
            ]
            for line in lines[:limit]:
                self.record.add(f"log of {entry.name}: {json.dumps(line)}")


async def watch_lag(record: Record) -> None:
    """Note the longest time for which the stand-ins could not answer."""
    while True:
        due_s = now_s() + 0.05
        await asyncio.sleep(0.05)
        record.lag_s = max(record.lag_s, now_s() - due_s)


def require(holds: bool, what: str) -> None:
    """End the case as one that could not run, unless a condition of it holds."""
    if not holds:
        raise CaseError(what)


def run_case(main: Callable[[], Awaitable[bool]], cell: Cell, limit_s: float) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def bounded() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        lag = asyncio.create_task(watch_lag(cell.record))
        try:
            async with asyncio.timeout(limit_s):
                broken = await main()
            cell.record.add("stand-ins", longest_lag_s=round(cell.record.lag_s, 3))
            require(cell.record.lag_s < LAG_MAX_S, "the stand-ins were too slow")
            return broken
        finally:
            lag.cancel()
            await cell.stop()

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError):
        # Also an error of the script itself: it must not pass for a broken rule.
        cell.record.add("the case could not run: " + traceback.format_exc(limit=-2))
        sys.exit(2)
    cell.record.add("rule broken" if broken else "rule held", trouble=TROUBLE)
    sys.exit(1 if broken else 0)
