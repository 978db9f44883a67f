"""
Start asyncio tasks that nobody awaits, and log the errors that end them.

asyncio itself reports such an error only once the task is garbage-collected, which may
be never, and outside the structured log.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

log = structlog.get_logger()


def start(
    work: Coroutine[Any, Any, None],
    name: str,
    on_error: Callable[[], None] | None = None,
) -> asyncio.Task[None]:
    """
    Start a task; an error that ends it is logged under ``name``.

    Then ``on_error`` is called, for work without which the process must not go on. The
    event loop keeps no reference to a task: the caller must, until it has ended.
    """

    def handle_end(task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        log.error("background: failed", work=name, error=repr(error), exc_info=error)
        if on_error is not None:
            on_error()

    task = asyncio.create_task(work, name=name)
    task.add_done_callback(handle_end)
    return task


def log_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log what the event loop reports of callbacks and of connections' tasks."""
    loop.set_exception_handler(_log_loop_error)


def _log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    log.error(
        "loop: error", what=context.get("message"), error=repr(error), exc_info=error
    )
