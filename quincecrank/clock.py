"""Time in milliseconds.

Modules take a `Clock` instead of calling the time functions of the standard library,
so that tests can control time.  Times and durations are integer milliseconds.
`Clock.now_ms` is monotonic and only meaningful within the process.  It counts the time
for which the machine is suspended: other machines go on meanwhile, and leases run out.
`Clock.wall_ms` is the time since the epoch and comparable between processes only as far
as their clocks agree.
"""

import asyncio
import time
from typing import Final, Protocol

MS_PER_SECOND: Final = 1000

_MONOTONIC_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""`CLOCK_MONOTONIC` of Linux stands still while the machine is suspended."""


class Clock(Protocol):
    """Source of the current time and of delays."""

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return the milliseconds since the epoch."""

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""


class SystemClock:
    """The clock of the operating system."""

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return time.clock_gettime_ns(_MONOTONIC_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Return the milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task for `duration_ms` milliseconds."""
        await asyncio.sleep(duration_ms / MS_PER_SECOND)


class ManualClock:
    """Clock for tests that advances only by `advance` and `sleep`.

    Parameters
    ----------
    start_ms : int
        Initial value of both `now_ms` and `wall_ms`.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def advance(self, duration_ms: int) -> None:
        """Move time forward by `duration_ms` milliseconds."""
        self._now_ms += duration_ms

    def now_ms(self) -> int:
        """Return the current time of this clock in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current time of this clock in milliseconds."""
        return self._now_ms

    async def sleep(self, duration_ms: float) -> None:
        """Advance the clock without a delay and yield once to other tasks."""
        self._now_ms += int(duration_ms)
        await asyncio.sleep(0)
