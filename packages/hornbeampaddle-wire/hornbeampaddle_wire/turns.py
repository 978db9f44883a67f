"""Share the event loop among connections and whatever else the process does."""

import asyncio
from collections import deque


class Turns:
    """
    Let a bounded number of connections work in each iteration of the event loop.

    A connection takes a turn for each bounded piece of work. Guards against an event
    loop that serves nothing but the data that a crowd has sent.
    """

    def __init__(self, per_iteration: int) -> None:
        """Allow ``per_iteration`` turns at a time."""
        self.per_iteration = per_iteration
        self._left = per_iteration
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._scheduled = False

    async def take(self) -> None:
        """Wait for a turn, after those that have waited longer."""
        self._schedule()
        if self._left and not self._waiting:
            self._left -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        await turn

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._scheduled = False
        self._left = self.per_iteration
        while self._waiting and self._left:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._left -= 1
        if self._waiting:
            self._schedule()
