"""Send requests as callers do, open loop, and account for every one."""

import asyncio
import hashlib
import itertools
import json
import random
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.http_client import HttpClient
from hornbeampaddle_wire.http_messages import NotSent, Request, Response

CONNECTIONS = 64
KEYS_PER_CALL = 20
REPEATS_MAX = 6
REPEAT_PAUSE_S = 0.2
HIGHEST_MICROSECONDS = 60_000_000
DIGITS = 3


@dataclass(slots=True)
class Tally:
    """What became of the requests, as their callers saw it."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    reasons: dict[str, int] = field(default_factory=dict)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_MICROSECONDS, DIGITS)
    )

    @property
    def lost(self) -> int:
        """Return how many requests never got a final outcome."""
        return self.sent - self.answered - self.refused - self.unknown

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the answered requests' latency."""
        value: int = self.latency_us.get_value_at_percentile(percentile)
        return value / 1000


@dataclass(slots=True)
class _Door:
    address: Address
    client: HttpClient
    keys: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Callers:
    """
    Callers that reach the entry instances through a balancer.

    The balancer sends each attempt to the next instance that accepts
    connections; ``doors`` may change at any time.
    """

    service: str
    seed: int
    timeout_s: float = 4.0
    urgency: str = "urgent"
    tally: Tally = field(default_factory=Tally)
    doors: dict[str, _Door] = field(default_factory=dict)
    _turn: itertools.count = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def set_doors(self, addresses: dict[str, Address]) -> None:
        """Name the instances that the balancer sends to."""
        for name in list(self.doors):
            if name not in addresses:
                self.doors.pop(name).client.close()
        for name, address in addresses.items():
            if name not in self.doors:
                self.doors[name] = _Door(address, HttpClient(address, CONNECTIONS))

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Send at a mean rate for a time, whether or not answers come."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        due_s = loop.time()
        number = 0
        while due_s < end_s:
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            number += 1
            task = loop.create_task(self._one(number, due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += rng.expovariate(rate_per_s)

    async def finish(self) -> None:
        """Wait until every request has its outcome."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _next_door(self) -> _Door | None:
        if not self.doors:
            return None
        names = sorted(self.doors)
        return self.doors[names[next(self._turn) % len(names)]]

    async def _one(self, number: int, due_s: float) -> None:
        """Send one request; repeat it under its key while its fate is open."""
        self.tally.sent += 1
        body = f"request {self.seed}/{number}".encode()
        key = ""
        reason = "no_instance"
        in_doubt = False
        for _ in range(REPEATS_MAX):
            door = self._next_door()
            if door is not None:
                if not key:
                    key = await self._key(door)
                outcome, reason = await self._try(door, key, body, due_s)
                if outcome == "done":
                    return
                if outcome == "in_doubt":
                    in_doubt = True
                elif outcome == "unknown":
                    self._count_unknown(reason)
                    return
                elif outcome == "not_run":
                    # Certain for this key, whatever happened to it before.
                    in_doubt, key = False, ""
            await asyncio.sleep(REPEAT_PAUSE_S)
        if in_doubt:
            self._count_unknown(reason)
        else:
            self.tally.refused += 1
            self._count(reason)

    def _count_unknown(self, reason: str) -> None:
        self.tally.unknown += 1
        self._count(reason)

    def _count(self, reason: str) -> None:
        self.tally.reasons[reason] = self.tally.reasons.get(reason, 0) + 1

    async def _key(self, door: _Door) -> str:
        """Return a key that this door's instance keeps, or none."""
        if not door.keys:
            wish = {"count": KEYS_PER_CALL, "valid_s": 2 * self.timeout_s}
            request = Request("POST", "/v1/keys", {}, json.dumps(wish).encode())
            exchange = await door.client.call(request, self.timeout_s)
            if not isinstance(exchange, Response) or exchange.status != 200:
                return ""
            keys = msgspec.json.decode(exchange.body)["keys"]
            door.keys.extend(keys[1:])
            # Keys run out of time; those left of an old batch are dropped.
            asyncio.get_running_loop().call_later(self.timeout_s, door.keys.clear)
            return str(keys[0])
        return door.keys.pop()

    async def _try(
        self, door: _Door, key: str, body: bytes, due_s: float
    ) -> tuple[str, str]:
        """Send the request once; return its outcome and the reason."""
        if not key:
            return "not_sent", "no_key"
        headers = {
            "request-key": key,
            "request-timeout-s": str(self.timeout_s),
            "request-urgency": self.urgency,
        }
        request = Request("POST", f"/v1/requests/{self.service}", headers, body)
        exchange = await door.client.call(request, 2 * self.timeout_s)
        match exchange:
            case NotSent():
                return "not_sent", "not_sent"
            case Response():
                return self._read(exchange, key, body, due_s)
            case _:
                return "in_doubt", "connection_lost"

    def _read(
        self, response: Response, key: str, body: bytes, due_s: float
    ) -> tuple[str, str]:
        outcome = response.headers.get("request-outcome", "in_doubt")
        if outcome != "done":
            reason = msgspec.json.decode(response.body).get("reason", "")
            return outcome, reason
        if not _is_answer_to(response.body, key, body):
            self.tally.wrong_answers += 1
        self.tally.answered += 1
        now_s = asyncio.get_running_loop().time()
        self.tally.latency_us.record_value(int((now_s - due_s) * 1_000_000))
        return "done", ""


def _is_answer_to(answer: bytes, key: str, body: bytes) -> bool:
    """Tell whether an answer is the stand-in's whole answer to this request."""
    try:
        value = msgspec.json.decode(answer)
    except ValueError:
        return False
    same_key = value.get("key") == key
    return same_key and value.get("digest") == hashlib.blake2s(body).hexdigest()
