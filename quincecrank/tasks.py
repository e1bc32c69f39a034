"""Background tasks whose failures are logged.

asyncio itself holds only weak references to tasks; `BackgroundTasks` holds strong ones.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from quincecrank import clock as clocks
from quincecrank import logs

RESTART_MS: Final = 250
"""Pause before a task that failed is started again."""

_LOG: Final = logs.logger("tasks")


async def keep_running(run: Callable[[], Awaitable[None]], clock: clocks.Clock) -> None:
    """Run a coroutine function, again whenever it fails, until cancelled."""
    while True:
        try:
            await run()
        except Exception:
            _LOG.exception("task failed, started again", task=run.__qualname__)
        await clock.sleep(RESTART_MS)


class BackgroundTasks:
    """References to running tasks; the exception of a failed one is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    def cancel(self) -> None:
        """Cancel all running tasks without waiting for their end."""
        for task in tuple(self._tasks):
            task.cancel()

    async def wait_all(self) -> None:
        """Wait until no task is running, including tasks started meanwhile."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _handle_end(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("task failed", exc_info=task.exception())
