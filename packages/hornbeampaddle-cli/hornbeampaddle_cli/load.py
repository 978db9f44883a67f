"""Generate open-loop request load and count the outcome of every request."""

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

CONNECTIONS_PER_BACKEND = 64
KEYS_PER_CALL = 20
ATTEMPTS_MAX = 6
RETRY_PAUSE_S = 0.2
LATENCY_MAX_US = 60_000_000
LATENCY_SIGNIFICANT_DIGITS = 3


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests as seen by their callers."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    reasons: dict[str, int] = field(default_factory=dict)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS
        )
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
class _Backend:
    address: Address
    client: HttpClient
    keys: list[str] = field(default_factory=list)


@dataclass(slots=True)
class SimulatedCallers:
    """
    Callers that reach the entry instances through a load balancer.

    The balancer distributes attempts round-robin over the instances that accept
    connections; ``backends`` may change at any time.
    """

    service: str
    seed: int
    timeout_s: float = 4.0
    urgency: str = "urgent"
    tally: Tally = field(default_factory=Tally)
    backends: dict[str, _Backend] = field(default_factory=dict)
    _backend_counter: itertools.count = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def set_backends(self, addresses: dict[str, Address]) -> None:
        """Set the instances that the balancer sends to."""
        for name in list(self.backends):
            if name not in addresses:
                self.backends.pop(name).client.close()
        for name, address in addresses.items():
            if name not in self.backends:
                self.backends[name] = _Backend(
                    address, HttpClient(address, CONNECTIONS_PER_BACKEND)
                )

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Send Poisson arrivals at a mean rate, regardless of responses."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        due_s = loop.time()
        number = 0
        while due_s < end_s:
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            number += 1
            task = loop.create_task(self._send_with_retries(number, due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += rng.expovariate(rate_per_s)

    async def finish(self) -> None:
        """Wait until every request has its outcome."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _next_backend(self) -> _Backend | None:
        if not self.backends:
            return None
        names = sorted(self.backends)
        return self.backends[names[next(self._backend_counter) % len(names)]]

    async def _send_with_retries(self, number: int, due_s: float) -> None:
        """Send one request; retry it under its key until its outcome is known."""
        self.tally.sent += 1
        body = f"request {self.seed}/{number}".encode()
        key = ""
        reason = "no_instance"
        in_doubt = False
        for _ in range(ATTEMPTS_MAX):
            backend = self._next_backend()
            if backend is not None:
                if not key:
                    key = await self._take_key(backend)
                outcome, reason = await self._send_once(backend, key, body, due_s)
                if outcome == "done":
                    return
                if outcome == "in_doubt":
                    in_doubt = True
                elif outcome == "unknown":
                    self._count_unknown(reason)
                    return
                elif outcome == "not_run":
                    # Definitive for this key, regardless of earlier attempts.
                    in_doubt, key = False, ""
            await asyncio.sleep(RETRY_PAUSE_S)
        if in_doubt:
            self._count_unknown(reason)
        else:
            self.tally.refused += 1
            self._count_reason(reason)

    def _count_unknown(self, reason: str) -> None:
        self.tally.unknown += 1
        self._count_reason(reason)

    def _count_reason(self, reason: str) -> None:
        self.tally.reasons[reason] = self.tally.reasons.get(reason, 0) + 1

    async def _take_key(self, backend: _Backend) -> str:
        """Return a key issued by this backend, or an empty string."""
        if not backend.keys:
            key_request = {"count": KEYS_PER_CALL, "valid_s": 2 * self.timeout_s}
            request = Request("POST", "/v1/keys", {}, json.dumps(key_request).encode())
            exchange = await backend.client.call(request, self.timeout_s)
            if not isinstance(exchange, Response) or exchange.status != 200:
                return ""
            keys = msgspec.json.decode(exchange.body)["keys"]
            backend.keys.extend(keys[1:])
            # Keys expire, so what is left of an old batch is dropped.
            asyncio.get_running_loop().call_later(self.timeout_s, backend.keys.clear)
            return str(keys[0])
        return backend.keys.pop()

    async def _send_once(
        self, backend: _Backend, key: str, body: bytes, due_s: float
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
        exchange = await backend.client.call(request, 2 * self.timeout_s)
        match exchange:
            case NotSent():
                return "not_sent", "not_sent"
            case Response():
                return self._read_response(exchange, key, body, due_s)
            case _:
                return "in_doubt", "connection_lost"

    def _read_response(
        self, response: Response, key: str, body: bytes, due_s: float
    ) -> tuple[str, str]:
        outcome = response.headers.get("request-outcome", "in_doubt")
        if outcome != "done":
            reason = msgspec.json.decode(response.body).get("reason", "")
            return outcome, reason
        if not _is_expected_answer(response.body, key, body):
            self.tally.wrong_answers += 1
        self.tally.answered += 1
        now_s = asyncio.get_running_loop().time()
        self.tally.latency_us.record_value(int((now_s - due_s) * 1_000_000))
        return "done", ""


def _is_expected_answer(answer: bytes, key: str, body: bytes) -> bool:
    """Return whether this is the simulated worker's full answer to the request."""
    try:
        value = msgspec.json.decode(answer)
    except ValueError:
        return False
    same_key = value.get("key") == key
    return same_key and value.get("digest") == hashlib.blake2s(body).hexdigest()
