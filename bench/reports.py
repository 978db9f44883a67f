"""
Print the holder's CPU time per worker report, in microseconds.

``python -m bench.reports [WORKERS [RUNS]]``: workers that run RUNS lasting tasks each
answer on loopback from another process, whose time does not count. Needs ``platform``
on the import path.
"""

import asyncio
import json
import multiprocessing
import sys
import time
from multiprocessing.connection import Connection

from hornbeampaddle.cell.incarnations import WorkerId
from hornbeampaddle.cell.jobs import TaskKey
from hornbeampaddle.cell.reports import Report
from hornbeampaddle.cell.scheduler import Scheduler
from hornbeampaddle.cell.settings import CellSettings
from hornbeampaddle.cell.workers import WorkerListing
from hornbeampaddle.machines import Address
from hornbeampaddle.resources import Resources
from hornbeampaddle_cell.metrics import MeteredWorker, Metrics
from hornbeampaddle_platform.main import BoottimeClock
from hornbeampaddle_platform.workers import Worker, task_name

LOOPBACK = "127.0.0.1"
WORKERS = 1000
RUNS = 1
REPORTS_PER_WORKER = 10
CONCURRENT_REPORTS = 100
CAPACITY = Resources(64_000, 256_000 * 2**20, 0)
LEASE_DEADLINE_S = 1e6


def _response(run_count: int) -> bytes:
    keys = [TaskKey("5c0e7a21d94b36f8", 0, 0, number) for number in range(run_count)]
    running = [[task_name(key), 1, "00000bb87a21d94b", 100, 23] for key in keys]
    body = json.dumps({"clockMs": 482113, "running": running, "endedRuns": []})
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return (head + body).encode()


class _WorkerProtocol(asyncio.Protocol):
    """Answers every request with the same report; requests arrive in one piece."""

    response = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(self.response)


def _serve(run_count: int, ports: Connection) -> None:
    async def serve() -> None:
        _WorkerProtocol.response = _response(run_count)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_WorkerProtocol, LOOPBACK, 0, backlog=4096)
        ports.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(serve())


def _listing(number: int, port: int) -> WorkerListing:
    worker_id = WorkerId(f"i-{number}")
    address = Address(LOOPBACK, port)
    return WorkerListing(worker_id, "compute", address, "dc-1", CAPACITY)


async def _measure(port: int, worker_count: int) -> float:
    """Return the CPU seconds per report, without the first one of each worker."""
    cell = Scheduler(CellSettings())
    clock, metrics = BoottimeClock(), Metrics()
    listings = [_listing(number, port) for number in range(worker_count)]
    workers = [MeteredWorker(Worker(entry, 1, clock), metrics) for entry in listings]
    for listing in listings:
        cell.list_worker(listing, clock.now_s())
    slots = asyncio.Semaphore(CONCURRENT_REPORTS)

    async def report(listing: WorkerListing, worker: MeteredWorker) -> None:
        async with slots:
            outcome = await worker.report(0, LEASE_DEADLINE_S, 0.0)
        assert isinstance(outcome, Report), outcome
        cell.intake.report(listing.worker_id, outcome)
        cell.take_stops(clock.now_s())

    async def report_all() -> None:
        await asyncio.gather(*map(report, listings, workers))

    await report_all()
    begun_s = time.process_time()
    for _ in range(REPORTS_PER_WORKER):
        await report_all()
    took_s = time.process_time() - begun_s
    for worker in workers:
        worker.close()
    return took_s / (REPORTS_PER_WORKER * worker_count)


def main(worker_count: int = WORKERS, run_count: int = RUNS) -> None:
    """Print the mean over all reports but the first of each worker."""
    ports, child_ports = multiprocessing.Pipe()
    server = multiprocessing.Process(
        target=_serve, args=(run_count, child_ports), daemon=True
    )
    server.start()
    try:
        cost_s = asyncio.run(_measure(ports.recv(), worker_count))
    finally:
        server.terminate()
        server.join()
    print(f"{worker_count} workers, {run_count} runs each: ", end="")
    print(f"{cost_s * 1e6:.0f} us per report")


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
