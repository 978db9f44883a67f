"""
Stand-ins of the platform for review cases: the store, workers, callers, entries.

One asyncio process plays the platform's store, its workers and the callers, each on
loopback, and starts the project's own entry processes with the command of the deploy
file. It needs only the standard library. The stand-ins do what the users' pages say.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "jobs.example"
SERVICE = "compute"
PREFIX = "/checks/"
ENTRY_PORTS = (8161, 8167, 7720, 9464)
HEARTBEAT_S = 1.1
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
MAX_HOLD_S = 10.0
FINISH_S = 14.0
STARVED_S = 3.0
OPEN_STATES = ("queued", "active")
ANSWER_S = 0.004

Handler = Callable[[str, str, dict, bytes], Awaitable[tuple[int, bytes]]]


async def serve(
    handler: Handler,
    port: int = 0,
    writers: set | None = None,
    closes: Callable[[], bool] = lambda: False,
) -> tuple[asyncio.Server, int]:
    """
    Serve HTTP/1.1; ``writers`` holds the open connections.

    They are kept alive, unless ``closes`` says to close each one after its answer.
    """
    open_writers = writers if writers is not None else set()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        open_writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await handler(method, path, headers, body)
                close = "connection: close\r\n" if closes() else ""
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-length: {len(answer)}\r\n"
                    f"{close}content-type: application/json\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
                if close:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            open_writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(accept, LOOPBACK, port, limit=4 * 2**20)
    return server, server.sockets[0].getsockname()[1]


async def call(
    host: str, port: int, method: str, path: str, body: bytes = b"", timeout_s=4.0
) -> tuple[int, bytes]:
    """Make one HTTP call on a connection of its own; status 0 if it has no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n"
                "content-type: application/json\r\nhornbeampaddle-deadline-ms: 3000\r\n"
                f"content-length: {len(body)}\r\n\r\n".encode()
                + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            return int(head.split(" ")[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def _json(status: int, value: object) -> tuple[int, bytes]:
    return status, json.dumps(value).encode()


@dataclass
class Topic:
    """One topic with one partition; ``newest`` maps a key to offset and value."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, dict]] = field(default_factory=dict)

    def add(self, content: bytes) -> None:
        """Append a record of a keyed topic."""
        key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)


class Store:
    """The platform's store, with the limits of the settings file."""

    def __init__(self, log: Callable[..., None]) -> None:
        """Start empty; ``log`` records the appends that are refused for their size."""
        self.topics: dict[str, Topic] = {}
        self.log = log
        self.port = 0
        self.refused_for_size = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on loopback."""
        self.server, self.port = await serve(self._handle)

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator, a worker or another writer; empty deletes the key."""
        name = key.encode()
        self.topic(topic).add(bytes([len(name)]) + name + value)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, headers, body) -> tuple[int, bytes]:
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        name = query.get("topic", "")
        match parts.path:
            case "/v1/log-append" if name in ("keyed.op", "keyed.servers"):
                return _json(403, {})
            case "/v1/log-append":
                return self._append(self.topic(name), query, body)
            case "/v1/log-read":
                return await self._read(self.topic(name), query)
            case "/v1/log-newest":
                return self._newest(self.topic(name), query)
        return _json(404, {})

    def _append(self, topic: Topic, query: dict, body: bytes) -> tuple[int, bytes]:
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        if len(body) > REQUEST_BYTES or any(len(r) > RECORD_BYTES for r in records):
            self.refused_for_size += 1
            if self.refused_for_size <= 5:
                sizes = max(len(r) for r in records)
                self.log("store: append too large", record=sizes, call=len(body))
            return _json(400, {"reason": "size"})
        if "at" in query and int(query["at"]) != len(topic.records):
            return _json(412, {"endOffset": len(topic.records)})
        writer = None
        if "producer" in query:
            epoch, number = int(query["epoch"]), int(query["seqNum"])
            seen, expected, answers = topic.producers.get(
                query["producer"], (-1, number, {})
            )
            if epoch < seen:
                return _json(409, {"reason": "fenced"})
            if epoch > seen:
                expected, answers = number, {}
            if not records:
                topic.producers[query["producer"]] = (epoch, expected, answers)
                end = len(topic.records)
                return _json(200, {"offset": end, "endOffset": end})
            if number in answers:
                return _json(200, answers[number])
            if number != expected:
                return _json(409, {"reason": "seq", "seqNum": expected})
            writer = (query["producer"], epoch, number, answers)
        offset = len(topic.records)
        for record in records:
            topic.add(record)
        answer = {"offset": offset, "endOffset": len(topic.records)}
        if writer is not None:
            producer, epoch, number, answers = writer
            kept = {k: v for k, v in answers.items() if k > number - 5}
            topic.producers[producer] = (epoch, number + 1, {**kept, number: answer})
        self._wake()
        return _json(200, answer)

    async def _read(self, topic: Topic, query: dict) -> tuple[int, bytes]:
        begin = int(query["from"])
        end_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(topic.records) <= begin and time.monotonic() < end_s:
            try:
                async with asyncio.timeout(end_s - time.monotonic()):
                    await self._changed.wait()
            except TimeoutError:
                pass
        left = int(query.get("maxKb", 1024)) * 1024
        answer = [struct.pack(">QQ", len(topic.records), 0)]
        for record in topic.records[begin:]:
            left -= 4 + len(record)
            if left < 0 and len(answer) > 1:
                break
            answer.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(answer)

    def _newest(self, topic: Topic, query: dict) -> tuple[int, bytes]:
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > 2**20:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(items) < len(keys)
        end = len(topic.records)
        return _json(200, {"items": items, "hasMore": more, "endOffset": end})


@dataclass
class Running:
    """One run on a worker."""

    number: int
    began_s: float
    length_s: float


class Worker:
    """One worker: runs what it is told to start, under a lease."""

    def __init__(self, cell: "Cell", name: str, cpu: int, mem_mb: int) -> None:
        """Create the worker; ``name`` is its id."""
        self.cell = cell
        self.name = name
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.port = 0
        self.up = False
        # Whether it closes each connection after its answer, as HTTP allows.
        self.closes = False
        self.running: dict[str, Running] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._begin_life()

    def _begin_life(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.origin_s = time.monotonic() - 100
        self.token = 0
        self.deadline_s = 0.0
        self.ended: list[list] = []
        self.highest: dict[str, int] = {}
        self.ends = 0
        self.beats = 0
        self.next_beat_s = 0.0
        self._end = asyncio.Event()

    def crash(self) -> None:
        """Go down: everything that runs is gone, and all connections break."""
        self.cell.log("worker crashed", worker=self.name, runs=len(self.running))
        self.up = False
        self.server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self.running):
            run = self.running.pop(task)
            self.cell.run_ended(self, task, run.number, "crashed with its worker")

    async def start_again(self) -> None:
        """Come up again under the same id, at the same address, knowing nothing."""
        self._begin_life()
        self.server, _ = await serve(
            self._handle, self.port, self._writers, lambda: self.closes
        )
        self.up = True
        self.cell.log("worker up again", worker=self.name, born=self.born_ms)

    def clock_s(self) -> float:
        """Return the time on the worker's steady clock."""
        return time.monotonic() - self.origin_s

    async def live(self) -> None:
        """Listen, register every heartbeat, and end runs when they are due."""
        self.server, self.port = await serve(
            self._handle, 0, self._writers, lambda: self.closes
        )
        self.up = True
        while True:
            if self.up and time.monotonic() >= self.next_beat_s:
                self.next_beat_s = time.monotonic() + HEARTBEAT_S
                self._register()
            self._expire()
            await asyncio.sleep(0.02)

    def _register(self) -> None:
        self.beats += 1
        entry = {
            "service": SERVICE,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "dc-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seqNum": self.beats,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": ["a", "r1-1"],
        }
        self.cell.store.write("keyed.servers", self.name, json.dumps(entry).encode())

    def _expire(self) -> None:
        now_s = time.monotonic()
        for task, run in list(self.running.items()):
            if now_s - run.began_s >= run.length_s:
                self._finish(task, self.cell.how_it_ends(task))
        if self.running and self.clock_s() > self.deadline_s:
            for task in list(self.running):
                self._finish(task, "lapsed")

    def _finish(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.cell.run_ended(self, task, run.number, how)
        self._end.set()
        self._end = asyncio.Event()

    def _renew(self, deadline_ms: float) -> None:
        latest_s = self.clock_s() + MAX_HOLD_S
        self.deadline_s = max(self.deadline_s, min(deadline_ms / 1000, latest_s))

    def _answer(self, status: int, **fields) -> tuple[int, bytes]:
        return _json(status, {"clockMs": int(self.clock_s() * 1000), **fields})

    async def _handle(self, method, path, headers, body) -> tuple[int, bytes]:
        if headers.get("hornbeampaddle-expected-instance", self.name) != self.name:
            return 421, b"{}"
        order = json.loads(body) if body else {}
        if order.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = order.get("fencingToken", 0)
        self._expire()
        match path:
            case "/v1/run-start":
                return self._start(order)
            case "/v1/run-stop":
                task, number = order["task"], order["runId"]
                self.highest[task] = max(self.highest.get(task, 0), number)
                if task in self.running and self.running[task].number <= number:
                    self._finish(task, "stopped")
                return self._answer(200)
            case "/v1/pace":
                return self._answer(200)
            case "/v1/hold":
                return await self._hold(order)
        return _json(404, {})

    def _start(self, order: dict) -> tuple[int, bytes]:
        task, number = order["task"], order["runId"]
        if order["deadlineMs"] / 1000 <= self.clock_s():
            return self._answer(409, reason="late")
        self._renew(order["deadlineMs"])
        run = self.running.get(task)
        if run is not None and run.number == number:
            return self._answer(200)
        if run is not None or number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        length_s = self.cell.length_s(task)
        self.running[task] = Running(number, time.monotonic(), length_s)
        self.cell.run_began(self, task, number)
        return self._answer(200)

    async def _hold(self, order: dict) -> tuple[int, bytes]:
        if "deadlineMs" in order:
            self._renew(order["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > order.get("lastSeen", 0)]
        if not self.ended and order.get("waitMs"):
            try:
                async with asyncio.timeout(min(2.0, order["waitMs"] / 1000)):
                    await self._end.wait()
            except TimeoutError:
                pass
        now_s = time.monotonic()
        rows = [
            [t, r.number, "", min(99, int(100 * (now_s - r.began_s) / r.length_s)), 0]
            for t, r in self.running.items()
        ]
        return self._answer(
            200, born=self.born_ms, running=rows, endedRuns=self.ended[:500]
        )


@dataclass
class Entry:
    """One entry process of the project."""

    name: str
    ip: str
    folder: Path
    store_port: int
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            f'nodeName = "{self.name}"\nzone = "dc-1"\nip = "{self.ip}"\n'
            "internalPorts = [7720, 7735]\n[listenAddrs]\n"
            f'frontend = "{self.ip}:8161"\nreadiness = "{self.ip}:8167"\n'
            f'[platform]\naddress = "{LOOPBACK}:{self.store_port}"\n'
            f"recordBytes = {RECORD_BYTES}\nrequestBytes = {REQUEST_BYTES}\n"
        )
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "platform/run.py",
                "deploy/settings.json",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "HORNBEAMPADDLE_BOOT": str(path),
                },
            )


def _network() -> str:
    """Return a loopback network on which the entries' ports are free."""
    for offset in range(200):
        net = f"127.{60 + (os.getpid() + offset) % 150}.7"
        try:
            for port in ENTRY_PORTS:
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise RuntimeError("no free loopback network")


class Cell:
    """A small deployment: a store, workers, entry processes, and what was seen."""

    def __init__(self, record: Path, lengths: Callable[[str], float]) -> None:
        """Write what is sent, answered and run to ``record``."""
        self.began_s = time.monotonic()
        self.record = record.open("w")
        self.length_s = lengths
        # How a task's run ends by itself: ``done`` or ``failed``.
        self.how_it_ends: Callable[[str], str] = lambda task: "done"
        self.store = Store(self.log)
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.accepted: dict[str, float] = {}
        self.rejected: set[str] = set()
        self.started: dict[str, float] = {}
        self.running_of: dict[str, int] = {}
        self.stops = 0
        self.done_again = 0
        self._done: set[str] = set()
        self.exits: list[tuple[str, int]] = []
        self.quiet = False
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory()
        self._stopping = False

    def now_s(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self.began_s

    def log(self, what: str, **fields) -> None:
        """Write one line to the record."""
        detail = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now_s():8.3f} {what} {detail}", file=self.record, flush=True)

    def run_began(self, worker: Worker, task: str, number: int) -> None:
        """Note that a worker has begun a task."""
        job = task.partition(".")[0]
        self.started.setdefault(job, self.now_s())
        self.running_of[job] = self.running_of.get(job, 0) + 1
        if not self.quiet:
            self.log("run began", task=task, run=number, worker=worker.name[:20])

    def run_ended(self, worker: Worker, task: str, number: int, how: str) -> None:
        """Note that a run has ended on a worker."""
        self.running_of[task.partition(".")[0]] -= 1
        self.stops += how == "stopped"
        if how == "done":
            self.done_again += task in self._done
            self._done.add(task)
        if not self.quiet:
            self.log("run ended", task=task, run=number, how=how)

    async def build(self, entries: int, names: list[str], cpu: int, mem: int) -> None:
        """Start the store, the workers and the entry processes."""
        await self.store.start()
        route = {
            "name": "checks",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 4,
            "stretchFactor": 1.5,
            "targetLatencyMs": 250,
        }
        config = {"version": 1, "routes": [route], "services": [{"name": SERVICE}]}
        self.store.write("keyed.op", "config", json.dumps(config).encode())
        for name in names:
            self.add_worker(name, cpu, mem)
        net = _network()
        for number in range(entries):
            folder = Path(self._folder.name)
            ip = f"{net}.{number + 1}"
            entry = Entry(f"edge-{number + 1}", ip, folder, self.store.port)
            self.entries.append(entry)
            self._tasks.append(asyncio.create_task(self._keep_running(entry)))

    def add_worker(self, name: str, cpu: int, mem: int) -> None:
        """Add a worker."""
        worker = Worker(self, name, cpu, mem)
        self.workers.append(worker)
        self._tasks.append(asyncio.create_task(worker.live()))

    async def _keep_running(self, entry: Entry) -> None:
        """Start a process again after a short delay, as the platform does."""
        while not self._stopping:
            await entry.start()
            self.log("process started", entry=entry.name)
            code = await entry.process.wait()
            if not self._stopping:
                self.exits.append((entry.name, code))
                self.log("process ended by itself", entry=entry.name, code=code)
                await asyncio.sleep(0.5)

    async def ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until each entry says that it is ready."""
        end_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while (await call(entry.ip, 8167, "GET", "/v1/readyz"))[0] != 200:
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def submit(self, job: str, body: dict, first: int = 0) -> int:
        """Submit a job, up to five times, at another entry each time."""
        data = json.dumps(body).encode()
        status = 0
        for attempt in range(5):
            entry = self.entries[(first + attempt) % len(self.entries)]
            status, _ = await call(entry.ip, 8161, "POST", PREFIX + job, data)
            self.log("submit", job=job, entry=entry.name, status=status)
            if status == 200:
                self.accepted[job] = self.now_s()
                break
            await asyncio.sleep(0.3)
        return status

    async def state(self, job: str) -> str:
        """Return a job's state, as one of the entries tells it."""
        for entry in self.entries:
            status, body = await call(entry.ip, 8161, "GET", PREFIX + job)
            if status == 200:
                return json.loads(body)["state"]
        return f"status {status}"

    def free_ratio(self, cpu_per_task: int) -> float:
        """Return the part of the workers' CPU that no run uses."""
        total = sum(worker.cpu for worker in self.workers)
        used = sum(len(worker.running) for worker in self.workers) * cpu_per_task
        return 1 - used / total

    async def starved(
        self, jobs: list[str], cpu_per_task: int, watch_s: float = STARVED_S
    ) -> dict[str, float]:
        """
        Return the jobs that had nothing running for 3 s beside ample room.

        That is rule LOST: a task's turn has come, there is capacity for it twice over,
        and under half of the service's capacity is in use. The jobs are watched for
        ``watch_s``; each one found has the longest such span.
        """
        watched = [job for job in jobs if await self.state(job) in OPEN_STATES]
        found: dict[str, float] = {}
        since = dict.fromkeys(watched, self.now_s())
        end_s = self.now_s() + watch_s + 0.1
        while self.now_s() < end_s:
            room = self.free_ratio(cpu_per_task) > 0.5
            for job in watched:
                running = bool(self.running_of.get(job))
                if running and self.now_s() - since[job] >= STARVED_S:
                    # It runs again, so a task's turn had come all the while.
                    span_s = self.now_s() - since[job]
                    found[job] = max(found.get(job, 0.0), span_s)
                if running or not room:
                    since[job] = self.now_s()
            await asyncio.sleep(0.02)
        for job in watched:
            span_s = self.now_s() - since[job]
            # Its turn has come, and it is still not done.
            if span_s >= STARVED_S and await self.state(job) in OPEN_STATES:
                found[job] = max(found.get(job, 0.0), span_s)
        return found

    async def close(self) -> None:
        """End all processes that were started."""
        self._stopping = True
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGKILL)
                await entry.process.wait()
        for task in self._tasks:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self._folder.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()
        self.record.close()


def run_case(case: Callable[[], Awaitable[int]]) -> int:
    """Return what a case returns, and 2 if an error of its own ends it."""
    try:
        return asyncio.run(case())
    except Exception:
        traceback.print_exc()
        return 2
