"""Measure the request path: rate, added latency and CPU time per request."""

import asyncio
import itertools
import time

import psutil
from hdrh.histogram import HdrHistogram

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.http_client import HttpClient
from hornbeampaddle_wire.http_messages import Request, Response

from .processes import LOOPBACK, Entry, entries, standins, wait_for_workers

WORKERS = 8
SERVICE_MS = 10.0
GIB = 1024**3
OPEN_LOOP_REQUESTS_PER_S = 100.0
OPEN_LOOP_S = 10.0
CLOSED_LOOP_S = 6.0
CLOSED_CALLERS = 48
INTENT = {
    "type": "AddService",
    "service": "checks",
    "repeat": "exclusive",
    "needs": {"cpu_millis": 1000, "memory_bytes": GIB, "accelerators": 0},
    "team": "dispatch",
}
# High enough that no worker refuses it as outdated.
UNFENCED_EPOCH = 1_000_000_000


class LoadRun:
    """The load on one address, and its latencies."""

    def __init__(self, client: HttpClient, path: str, headers: dict[str, str]) -> None:
        """Store the parts that all requests share."""
        self.client = client
        self.path = path
        self.headers = headers
        self.numbers = itertools.count()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.failed = 0

    async def send_one(self, due_s: float) -> None:
        """Send one request and record its latency since it was due."""
        key = f"bench-{time.monotonic_ns()}-{next(self.numbers)}"
        headers = {**self.headers}
        if "request-epoch" in headers:
            headers["request-key"] = key
        request = Request("POST", self.path, headers, b"x" * 512)
        exchange = await self.client.call(request, 10.0)
        if isinstance(exchange, Response) and exchange.status == 200:
            elapsed_s = asyncio.get_running_loop().time() - due_s
            self.histogram.record_value(int(elapsed_s * 1e6))
        else:
            self.failed += 1

    async def open_loop(self, rate_per_s: float, span_s: float) -> None:
        """Send at a fixed rate, regardless of responses."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        tasks = []
        for number in range(int(rate_per_s * span_s)):
            due_s = begun_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            tasks.append(loop.create_task(self.send_one(due_s)))
        await asyncio.gather(*tasks)

    async def closed_loop(self, callers: int, span_s: float) -> float:
        """Send each caller's next request on a response; return requests per second."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + span_s

        async def caller() -> None:
            while loop.time() < end_s:
                await self.send_one(loop.time())

        await asyncio.gather(*(caller() for _ in range(callers)))
        return float(self.histogram.total_count) / span_s

    def format_latencies(self, name: str) -> str:
        """Format the latency percentiles as a table row."""
        at = self.histogram.get_value_at_percentile
        p50, p99, p999 = (at(p) / 1000 for p in (50, 99, 99.9))
        return f"  {name:<22} p50 {p50:7.2f}  p99 {p99:7.2f}  p99.9 {p999:7.2f} ms"


def _direct_load(workers: dict[str, str]) -> LoadRun:
    host, _, port = next(iter(workers.values())).rpartition(":")
    headers = {
        "request-epoch": str(UNFENCED_EPOCH),
        "request-needs": '{"cpu_millis":1000}',
        "request-timeout-s": "10",
    }
    client = HttpClient(Address(host, int(port)), 8)
    return LoadRun(client, "/requests/checks", headers)


def _load_through_instance(entry: Entry) -> LoadRun:
    client = HttpClient(Address(LOOPBACK, entry.callers), CLOSED_CALLERS)
    return LoadRun(client, "/v1/requests/checks", {"request-timeout-s": "10"})


async def _run_loads(entry: Entry, workers: dict[str, str]) -> None:
    process = psutil.Process(entry.process.pid)
    through = _load_through_instance(entry)
    await through.open_loop(OPEN_LOOP_REQUESTS_PER_S, OPEN_LOOP_S)
    direct = _direct_load(workers)
    await direct.open_loop(OPEN_LOOP_REQUESTS_PER_S, OPEN_LOOP_S)
    print(
        f"open loop, {OPEN_LOOP_REQUESTS_PER_S:g} requests a second, "
        f"{SERVICE_MS:g} ms work:"
    )
    print(direct.format_latencies("straight to a worker"))
    print(through.format_latencies("through one instance"))
    added = [
        through.histogram.get_value_at_percentile(p)
        - direct.histogram.get_value_at_percentile(p)
        for p in (50, 99)
    ]
    print(f"  added: p50 {added[0] / 1000:.2f} ms, p99 {added[1] / 1000:.2f} ms")
    cpu_before_s = sum(process.cpu_times()[:2])
    closed = _load_through_instance(entry)
    rate_per_s = await closed.closed_loop(CLOSED_CALLERS, CLOSED_LOOP_S)
    cpu_s = sum(process.cpu_times()[:2]) - cpu_before_s
    print(f"closed loop, {CLOSED_CALLERS} callers: {rate_per_s:.0f} requests a second")
    each_us = 1e6 * cpu_s / closed.histogram.total_count
    print(f"  processor time in the instance: {each_us:.0f} us a request")
    print(f"  failed: {direct.failed + through.failed + closed.failed}")


def main() -> None:
    """Run the loads and print the results."""
    with standins(WORKERS, SERVICE_MS) as standin_addresses:
        with entries(1, standin_addresses["platform"]) as started:
            wait_for_workers(started, WORKERS)
            started[0].confirm(INTENT)
            asyncio.run(_run_loads(started[0], standin_addresses["workers"]))


if __name__ == "__main__":
    main()
