"""An event loop in virtual time, for replays of load patterns.

Instead of waiting for a timer, the loop advances its time to it.  A replay therefore
takes only as long as its computations, and timers fire in the same order on every
machine.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from quincecrank import clock as clocks

Result = TypeVar("Result")


class StalledError(Exception):
    """All tasks wait, and no timer is set that could wake one."""


class _NonBlockingSelector(selectors.SelectSelector):
    """Polls files without waiting and adds up the timeouts instead."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StalledError("all tasks are waiting and no timer is set")
        self.elapsed_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time starts at zero and advances from timer to timer."""

    def __init__(self) -> None:
        self._virtual_selector = _NonBlockingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed_s


class LoopClock:
    """Implementation of `clock.Clock` on the time of the running event loop."""

    def now_ms(self) -> int:
        """Return milliseconds since the loop's start."""
        return int(asyncio.get_running_loop().time() * clocks.MS_PER_SECOND)

    def wall_ms(self) -> int:
        """Return milliseconds since the loop's start."""
        return self.now_ms()

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(duration_ms / clocks.MS_PER_SECOND)


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, then cancel the tasks that are left.

    Raises
    ------
    StalledError
        If all tasks wait and no timer is set.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_remaining())
        loop.close()


async def _cancel_remaining() -> None:
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)
