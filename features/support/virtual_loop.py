"""Run asyncio in virtual time: waiting takes no real time and is repeatable."""

import asyncio
import selectors


class DeadlockError(RuntimeError):
    """No task is ready and no timer is pending, so the loop can never continue."""


class _Selector(selectors.SelectSelector):
    loop: "VirtualLoop"

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise DeadlockError
        self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances directly to the next timer."""

    def __init__(self, start_s=100.0):
        selector = _Selector()
        selector.loop = self
        self.now_s = start_s
        super().__init__(selector)

    def time(self):
        return self.now_s
