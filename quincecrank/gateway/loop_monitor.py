"""Observes how late the event loop of a process runs.

Load pattern: a gateway with more work than its share of a processor, or whose process
is not run for a while, wakes up late; until then it neither reads what has arrived nor
notices a signal.  Decisions about a shutdown need to know by how much.

Terms
-----
lateness
    Time from the moment at which a task was to wake up to the moment at which it did.
"""

import collections
import signal
import time
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import decision_log

INTERVAL_MS: Final = 100
"""Interval of the observations."""

RETENTION_MS: Final = 3_000
"""Time for which an observation counts."""

LATE_MS: Final = 300
"""Lateness from which an observation is logged, and the loop counts as late."""

_LOG: Final = decision_log.logger("loop")


def block_end_signals() -> None:
    """Leave the signals that end the process to the thread of the event loop.

    If another thread took one, the loop's thread could read its clock after the signal
    and before its handler, which dates the signal by that reading.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT))


class ObservedClock(clocks.SystemClock):
    """The system clock, with its last reading by the thread of the event loop.

    Handlers of signals run between two bytecodes of that thread, so that a signal whose
    handler has not run yet was sent after the reading.  No other thread may use it, or
    take the signals: one that did could run before the handler is due.

    Attributes
    ----------
    last_read_ms : int
        Time of the last reading; 0 before the first one.
    """

    last_read_ms = 0

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        self.last_read_ms = now_ms = super().now_ms()
        return now_ms


class LoopMonitor:
    """Wakes up at regular intervals and records how late it did.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_run_ms = clock.now_ms()
        self._due_ms = self._last_run_ms + INTERVAL_MS
        self._observations: collections.deque[tuple[int, int]] = collections.deque()
        self._used_ns = time.process_time_ns()

    @property
    def last_run_ms(self) -> int:
        """Last time at which the loop is known to have run, in milliseconds."""
        return self._last_run_ms

    @property
    def lateness_ms(self) -> int:
        """Largest lateness within `RETENTION_MS`, the present one included."""
        now_ms = self._clock.now_ms()
        self._remove_old(now_ms)
        overdue_ms = max(0, now_ms - self._due_ms)
        return max([overdue_ms, *(late_ms for _, late_ms in self._observations)])

    @property
    def is_late(self) -> bool:
        """Whether the loop ran late by `LATE_MS` within `RETENTION_MS`."""
        return self.lateness_ms >= LATE_MS

    async def run(self) -> None:
        """Observe the loop until cancelled."""
        while True:
            await self.wait_and_observe()

    async def wait_and_observe(self) -> None:
        """Wait for the next observation and make it."""
        self._due_ms = self._clock.now_ms() + INTERVAL_MS
        await self._clock.sleep(INTERVAL_MS)
        self.observe()

    def observe(self) -> None:
        """Record that the loop runs now, and how late it does."""
        now_ms = self._clock.now_ms()
        late_ms = max(0, now_ms - self._due_ms)
        if late_ms:
            self._observations.append((now_ms, late_ms))
        used_ns = time.process_time_ns()
        if late_ms >= LATE_MS:
            # Little processor time means that the process was not run.
            _LOG.warning(
                "event loop late",
                late_ms=late_ms,
                interval_ms=now_ms - self._last_run_ms,
                processor_ms=(used_ns - self._used_ns) // 1_000_000,
            )
        self._used_ns = used_ns
        self._remove_old(now_ms)
        self._last_run_ms = now_ms

    def _remove_old(self, now_ms: int) -> None:
        while self._observations and (
            self._observations[0][0] + RETENTION_MS <= now_ms
        ):
            self._observations.popleft()
