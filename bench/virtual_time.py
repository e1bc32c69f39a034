"""An event loop whose time jumps to the next timer, for replays of load patterns.

A replay of seconds takes as long as its computations; timers fire in the same order
on every machine.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from quincecrank import clock as clocks

Result = TypeVar("Result")


class StalledError(Exception):
    """All tasks wait for something that no timer will bring."""


class _JumpingSelector(selectors.SelectSelector):
    """Reports files at once and notes the time that it should have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StalledError("no timer is set")
        self.elapsed_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which starts at zero."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping.elapsed_s


class LoopClock:
    """The clock of the running event loop."""

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
    """Run a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_cancel_rest())
        loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
