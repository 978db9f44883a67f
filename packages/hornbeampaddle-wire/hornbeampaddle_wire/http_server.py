"""
Serve HTTP/1.1 on one listener, with limits on everything that a client can send.

Each connection is one task, see ``http_connection``. The listeners of a process share
an account of what their clients hold.
"""

import asyncio
from functools import partial

from hornbeampaddle.machines import Address

from . import background
from .account import Account, AccountLimits
from .http_connection import HttpConnection
from .http_limits import Handler, HttpLimits, error_response
from .stream import Stream, bind, serve
from .turns import Turns

__all__ = ["Handler", "HttpLimits", "HttpServer", "error_response"]

# Delay before the listener is closed, and again before idle connections are closed:
# several iterations of the event loop, in which data that has arrived is read.
DRAIN_READ_WINDOW_S = 0.05
# Turns of one listener's connections in an iteration of the event loop; each takes
# about as long as a short request.
TURNS_PER_ITERATION = 8


class HttpServer:
    """An HTTP server with one listener and its connections."""

    def __init__(
        self,
        name: str,
        limits: HttpLimits,
        handler: Handler,
        account: Account | None = None,
        refusal_headers: dict[str, str] | None = None,
    ) -> None:
        """
        Create a server; ``name`` is its name in the account and in log messages.

        ``limits`` may be replaced at any time, for the requests that begin after that.
        ``refusal_headers`` are those of requests that are refused unhandled.
        """
        self.name = name
        self.limits = limits
        self.handler = handler
        self.account = account or Account(_unshared(limits))
        self.account.register(name, limits.connections)
        self.refusal_headers = refusal_headers or {}
        self.turns = Turns(TURNS_PER_ITERATION)
        self.stopping = False
        # Set during shutdown: requests are still served, but each connection is closed
        # after its response, so that callers have moved on before the process ends.
        self.close_after_response = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> Address:
        """Start to listen; return the address, with the assigned port if 0."""
        listener = bind(address.host, address.port)
        self._server = await serve(listener, self._accept)
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    async def drain(self, timeout_s: float) -> int:
        """
        Stop accepting, wait for active requests; return how many did not finish.

        Ensures that requests that have arrived but have not been read get a response:
        under load, connections that appear idle may have unread data. They are read
        once more, and each connection is closed after its response.
        """
        self.close_after_response = True
        # Accept the pending connections while the server is still open: if it closes
        # while accepting, the new connection stays open but is never read.
        await asyncio.sleep(DRAIN_READ_WINDOW_S)
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(DRAIN_READ_WINDOW_S)
        self.stopping = True
        for task in list(self._idle):
            task.cancel()
        busy = [task for task in self._tasks if task not in self._idle]
        if busy:
            remaining_s = max(0.0, timeout_s - 2 * DRAIN_READ_WINDOW_S)
            await asyncio.wait(busy, timeout=remaining_s)
        return sum(1 for task in busy if not task.done())

    async def close(self) -> None:
        """Close the listener and every connection at once."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, stream: Stream) -> None:
        holding = self.account.admit(self.name, stream.abort)
        if holding is None:
            stream.abort()
            return
        connection = HttpConnection(self, stream, holding)
        task = background.start(connection.run(), f"connection of {self.name}")
        self._tasks.add(task)
        task.add_done_callback(partial(self._forget, connection))

    def _forget(self, connection: HttpConnection, task: asyncio.Task[None]) -> None:
        # Here instead of in the task, which may be cancelled before it begins.
        self._tasks.discard(task)
        self._idle.discard(task)
        connection.close()

    def mark_idle(self, idle: bool) -> None:
        """Record whether the current connection is waiting for a request."""
        task = asyncio.current_task()
        if task is None:
            return
        if idle:
            self._idle.add(task)
        else:
            self._idle.discard(task)


def _unshared(limits: HttpLimits) -> AccountLimits:
    """Return an account in which each connection may hold the largest request."""
    return AccountLimits(limits.connections, limits.connections * limits.body_bytes)
