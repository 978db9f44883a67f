"""
Measure what clients of a listener hold: memory by connection and by byte in flight.

A listener runs in a process of its own. The slopes are between two numbers of
connections that say nothing, of connections that send all that is taken from them while
their request is at work, and between two sizes of unfinished bodies:
``python -m bench.clients``.
"""

import asyncio
import multiprocessing
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from multiprocessing.connection import Connection
from pathlib import Path

import psutil

from hornbeampaddle.machines import Address
from hornbeampaddle_wire.account import Account, AccountLimits
from hornbeampaddle_wire.http_messages import Request, Response
from hornbeampaddle_wire.http_server import HttpLimits, HttpServer

LOOPBACK = "127.0.0.1"
ACCOUNT = AccountLimits(2000, 2**30)
LIMITS = HttpLimits(body_bytes=2**24, head_timeout_s=60.0, connections=2000)
FEW_CONNECTIONS, MANY_CONNECTIONS = 100, 900
BODIES = 20
SMALL_BODY_BYTES, LARGE_BODY_BYTES = 100_000, 2_100_000
FLOOD_BYTES = 256 * 1024
SETTLE_S = 1.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "


async def _serve(ready: Connection) -> None:
    async def wait(request: Request) -> Response:
        await asyncio.Event().wait()
        return Response(200)

    server = HttpServer("callers", LIMITS, wait, Account(ACCOUNT))
    ready.send((await server.start(Address(LOOPBACK, 0))).port)
    await asyncio.Event().wait()


def _run(ready: Connection) -> None:
    asyncio.run(_serve(ready))


@contextmanager
def _listener() -> Iterator[tuple[psutil.Process, int]]:
    """Run a listener; yield its process and its port."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_run, args=(theirs,), daemon=True)
    process.start()
    try:
        yield psutil.Process(process.pid), ours.recv()
    finally:
        process.kill()
        process.join()


def _unread_bytes(port: int) -> int:
    """Return what the kernel holds for the connections to a port."""
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if int(row[1].partition(":")[2], 16) == port and row[3] == "01"
    )


def _held_bytes(count: int, send: Callable[[socket.socket], None]) -> int:
    """Return what a listener holds while ``count`` clients have sent theirs."""
    with _listener() as (process, port):
        before_bytes = process.memory_info().rss
        clients = []
        for _ in range(count):
            client = socket.create_connection((LOOPBACK, port))
            client.setblocking(False)
            clients.append(client)
        for _ in range(5):
            for client in clients:
                send(client)
            time.sleep(SETTLE_S / 5)
        time.sleep(SETTLE_S)
        held_bytes = process.memory_info().rss - before_bytes + _unread_bytes(port)
        for client in clients:
            client.close()
        return held_bytes


def _say_nothing(client: socket.socket) -> None:
    """Leave the connection idle."""


def _flood(client: socket.socket) -> None:
    """Send a request, and more behind it than is taken."""
    with suppress(BlockingIOError):
        client.send(HEAD + b"0\r\n\r\n" + FLOOD_BYTES * b"x")


def _body_sender(size_bytes: int) -> Callable[[socket.socket], None]:
    started: dict[socket.socket, int] = {}

    def send(client: socket.socket) -> None:
        client.setblocking(True)
        if client not in started:
            started[client] = 1
            client.sendall(HEAD + f"{size_bytes + 1}\r\n\r\n".encode())
            client.sendall(size_bytes * b"x")

    return send


def _connection_slope(send: Callable[[socket.socket], None]) -> float:
    few, many = (_held_bytes(n, send) for n in (FEW_CONNECTIONS, MANY_CONNECTIONS))
    return (many - few) / (MANY_CONNECTIONS - FEW_CONNECTIONS)


def main() -> None:
    """Print the three slopes."""
    print(f"a silent connection: {_connection_slope(_say_nothing) / 1024:.1f} KiB")
    print(f"a connection at work: {_connection_slope(_flood) / 1024:.1f} KiB")
    small, large = (
        _held_bytes(BODIES, _body_sender(size))
        for size in (SMALL_BODY_BYTES, LARGE_BODY_BYTES)
    )
    slope = (large - small) / (BODIES * (LARGE_BODY_BYTES - SMALL_BODY_BYTES))
    print(f"a byte of a body in flight: {slope:.2f} bytes")


if __name__ == "__main__":
    main()
