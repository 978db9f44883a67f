"""Run the stand-ins as a process: ``python -m hornbeampaddle_standins``."""

import argparse
import asyncio
import json
import random
import sys

from hornbeampaddle.machines import Address, Worker
from hornbeampaddle.resources import Resources

from .instances import InstanceList
from .ledger import Ledger
from .log import LogMachine
from .servers import LOOPBACK, PlatformServer, ServiceTimes, WorkerServer

GIB = 1024**3


async def serve(options: argparse.Namespace) -> None:
    """Start all servers, print their addresses as JSON, and serve until stopped."""
    ledger, listed, log = Ledger(), InstanceList(), LogMachine()
    times = ServiceTimes(options.service_ms / 1000, rng=random.Random(options.seed))
    platform = PlatformServer(log, listed)
    platform.address = Address(LOOPBACK, options.port)
    await platform.start()
    checkpoints: dict[str, tuple[int, float]] = {}
    workers = []
    for number in range(options.workers):
        worker = Worker(
            f"{options.data_centre}-w{number}",
            Address(LOOPBACK, 0),
            options.data_centre,
            f"{options.data_centre}-r{number // options.rack_size}",
            Resources(64_000, 250 * GIB, 0),
        )
        server = WorkerServer(worker, ledger, times, 1000.0 * number)
        server.machine.checkpoints = checkpoints
        await server.start()
        workers.append(server)
        listed.put(server.worker)
    described = {
        "platform": {"host": LOOPBACK, "port": platform.address.port},
        "workers": {w.worker.worker_id: str(w.worker.address) for w in workers},
    }
    print(json.dumps(described), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the options and serve."""
    parser = argparse.ArgumentParser(prog="hornbeampaddle_standins")
    parser.add_argument("--port", type=int, default=0, help="the platform's port")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--rack-size", type=int, default=10)
    parser.add_argument("--data-centre", default="brno")
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    try:
        asyncio.run(serve(parser.parse_args()))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
