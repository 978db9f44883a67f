"""A worker as PROTOCOL.md has it; it records what it ran and what was taken note of."""

import asyncio
import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from web import Reply, Request, Server, json_reply

# "Ends up to lastSeen are forgotten. The others are returned again (500 at a time)."
ENDS_PER_ANSWER = 500
HOLD_MAX_S = 10.0
STOP_S = 0.05
TICK_S = 0.02
# "Hornbeampaddle-Expected-Instance names the intended incarnation."
INSTANCE_HEADER = "hornbeampaddle-expected-instance"


@dataclass(slots=True)
class Run:
    """One run of a task; ``ended_at_s`` is set when it has ended."""

    task: str
    number: int
    worker: str
    started_at_s: float
    work_s: float
    token: int
    checkpoint: str = ""
    ended_at_s: float | None = None
    how: str = ""
    # When lastSeen reached its end; None if the lease lapsed before.
    noted_at_s: float | None = None
    lapsed_after: bool = False
    stopping: bool = False


@dataclass(slots=True)
class End:
    """An end that the worker lists until it is taken note of."""

    position: int
    run: Run


@dataclass(slots=True)
class Worker:
    """One incarnation of a worker."""

    name: str
    host: str
    zone: str
    service: str
    capacity: dict[str, int]
    labels: list[str]
    # Returns how long a task works, and how it ends.
    work_of: Callable[[str], tuple[float, str]]
    # Called with each run as it starts.
    on_start: Callable[[Run], None]
    # How much work makes a new checkpoint; 0 if tasks make none.
    checkpoint_s: float = 0.0
    state: str = "ready"
    token: int = 0
    lease_until_s: float = -math.inf
    running: dict[str, Run] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    # The highest number of a run of a task that was started, stopped or ended here.
    highest: dict[str, int] = field(default_factory=dict)
    position: int = 0
    server: Server | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ticking: asyncio.Task[None] | None = None
    alive: bool = True
    # "the Unix millisecond of its start", in its entry and its lists of runs.
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return int(time.monotonic() * 1000)

    async def start(self, port: int = 0) -> None:
        """Listen on loopback, and begin to work."""
        self.server = Server(self.handle)
        await self.server.start(self.host, port)
        self.ticking = asyncio.create_task(self._tick())

    def crash(self) -> None:
        """End at once, with all that runs here."""
        self.alive = False
        assert self.server is not None and self.ticking is not None
        self.ticking.cancel()
        self.server.close()
        for run in self.running.values():
            run.ended_at_s, run.how = time.monotonic(), "lost"
        self.running.clear()

    def entry(self) -> bytes:
        """Return the worker's entry in the store."""
        assert self.server is not None
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self.server.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clockMs": self.clock_ms(),
                "seqNum": 1,
                "born": self.born_ms,
            }
        ).encode()

    async def handle(self, request: Request) -> Reply | None:
        """Answer one call."""
        if request.headers.get(INSTANCE_HEADER) != self.name:
            return json_reply(421, {"clockMs": self.clock_ms()})
        body = request.json()
        if body.get("fencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("fencingToken", 0)
        match request.path:
            case "/v1/run-start":
                return self._run_start(body)
            case "/v1/run-stop":
                return self._run_stop(body)
            case "/v1/hold":
                return await self._hold(body)
            case "/v1/pace":
                return json_reply(200, {"clockMs": self.clock_ms()})
        return json_reply(404, {"clockMs": self.clock_ms()})

    def _refuse(self, reason: str) -> Reply:
        return json_reply(409, {"clockMs": self.clock_ms(), "reason": reason})

    def _extend(self, deadline_ms: float | None) -> None:
        if deadline_ms is None:
            return
        now_s = time.monotonic()
        until_s = min(deadline_ms / 1000, now_s + HOLD_MAX_S)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def _run_start(self, body: dict) -> Reply:
        task, number = body["task"], body["runId"]
        self._extend(body["deadlineMs"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return json_reply(200, {"clockMs": self.clock_ms()})
        if present is not None or number <= self.highest.get(task, 0):
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        work_s, how = self.work_of(task)
        run = Run(task, number, self.name, time.monotonic(), work_s, self.token)
        run.checkpoint = body.get("checkpoint", "")
        left_s = work_s - self._restored_s(run)
        self.running[task] = run
        self.highest[task] = number
        if math.isfinite(left_s):
            asyncio.get_running_loop().call_later(left_s, self._finish, run, how)
        self.on_start(run)
        return json_reply(200, {"clockMs": self.clock_ms()})

    def _run_stop(self, body: dict) -> Reply:
        task, number = body["task"], body["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._stopped, run)
        return json_reply(200, {"clockMs": self.clock_ms()})

    def _stopped(self, run: Run) -> None:
        self._finish(run, "stopped")

    def _finish(self, run: Run, how: str) -> None:
        if self.alive and self.running.get(run.task) is run:
            self._end(run, how)

    def _restored_s(self, run: Run) -> float:
        return int(run.checkpoint or "0", 16) * self.checkpoint_s

    def _worked_s(self, run: Run) -> float:
        return self._restored_s(run) + time.monotonic() - run.started_at_s

    def _saved(self, run: Run) -> str:
        number = (
            int(self._worked_s(run) / self.checkpoint_s) if self.checkpoint_s else 0
        )
        return f"{number:016x}" if number else ""

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        run.ended_at_s, run.how = time.monotonic(), how
        self.position += 1
        self.ends.append(End(self.position, run))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _hold(self, body: dict) -> Reply | None:
        self._extend(body.get("deadlineMs"))
        now_s = time.monotonic()
        for end in self.ends:
            if end.position <= body["lastSeen"] and not end.run.lapsed_after:
                end.run.noted_at_s = now_s
        self.ends = [end for end in self.ends if end.position > body["lastSeen"]]
        if not self.ends and body.get("waitMs"):
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.alive:
            return None
        running = [
            [run.task, run.number, self._saved(run), self._percent(run), 0]
            for run in self.running.values()
        ]
        ended = [
            [
                end.position,
                end.run.task,
                end.run.number,
                end.run.how,
                self._saved(end.run),
            ]
            for end in self.ends[:ENDS_PER_ANSWER]
        ]
        answer = {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "endedRuns": ended,
        }
        return json_reply(200, answer)

    def _percent(self, run: Run) -> float:
        if math.isinf(run.work_s):
            # A task that lasts: at work.
            return 100
        return min(99.9, round(100 * self._worked_s(run) / run.work_s, 2))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if now_s < self.lease_until_s:
                continue
            for end in self.ends:
                end.run.lapsed_after = True
            for run in list(self.running.values()):
                self._end(run, "lapsed")
