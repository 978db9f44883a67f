"""Run asyncio in virtual time: waiting costs nothing and is repeatable."""

import asyncio
import selectors


class NothingLeft(RuntimeError):
    """Every task waits for something that will never come."""


class _Selector(selectors.SelectSelector):
    loop: "VirtualLoop"

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise NothingLeft
        self.loop.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self, start_s=100.0):
        selector = _Selector()
        selector.loop = self
        self.now_s = start_s
        super().__init__(selector)

    def time(self):
        return self.now_s
