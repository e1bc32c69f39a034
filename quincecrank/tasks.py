"""Background tasks that are kept alive and whose failures are logged."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from quincecrank import logs

_LOG: Final = logs.logger("tasks")


class BackgroundTasks:
    """Holds references to running tasks; a failed one is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run `work` in a task of its own."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def cancel(self) -> None:
        """Cancel every task that still runs."""
        for task in tuple(self._tasks):
            task.cancel()

    async def finish(self) -> None:
        """Wait for every task that still runs."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("task failed", exc_info=task.exception())
