"""Background tasks whose failures are logged.

asyncio itself holds only weak references to tasks; `BackgroundTasks` holds strong ones.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from quincecrank import logs

_LOG: Final = logs.logger("tasks")


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
