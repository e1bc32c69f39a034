"""Tests of what callers get from a gateway that shuts down."""

import unittest

from quincecrank import clock as clocks
from quincecrank.gateway import loop_monitor


class LoopMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(10_000)
        self.monitor = loop_monitor.LoopMonitor(self.clock)

    def test_an_overdue_wake_up_counts_before_it_happens(self) -> None:
        started_ms = self.clock.now_ms()
        self.clock.advance(loop_monitor.INTERVAL_MS + 250)
        self.assertEqual(self.monitor.lateness_ms, 250)
        self.assertEqual(self.monitor.last_run_ms, started_ms)
        self.monitor.observe()
        self.assertEqual(self.monitor.last_run_ms, self.clock.now_ms())


class LoopMonitorRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_lateness_counts_for_the_retention_time(self) -> None:
        clock = LateClock()
        monitor = loop_monitor.LoopMonitor(clock)
        clock.late_ms = 300
        await monitor.wait_and_observe()
        self.assertEqual(monitor.lateness_ms, 300)
        clock.late_ms = 0
        for _ in range(loop_monitor.RETENTION_MS // loop_monitor.INTERVAL_MS):
            self.assertEqual(monitor.lateness_ms, 300)
            await monitor.wait_and_observe()
        self.assertEqual(monitor.lateness_ms, 0)


class LateClock(clocks.ManualClock):
    """A clock whose sleeps end late by `late_ms`."""

    late_ms = 0

    async def sleep(self, duration_ms: float) -> None:
        """Advance the clock."""
        self.advance(int(duration_ms) + self.late_ms)
