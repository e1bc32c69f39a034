"""Tests of the circuit breaker in front of the table."""

import unittest

from quincecrank import clock as clocks
from quincecrank import platform_table, table_breaker
from tests import fakes

AGENTS = platform_table.TableName.AGENTS
KEY = platform_table.RowKey("k")


class BreakerTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_fail_immediately_while_the_table_is_unavailable(self) -> None:
        """Callers must not each wait for a table that does not answer.

        Only probes reach it, after a delay that doubles, until one succeeds.
        """
        clock = clocks.ManualClock()
        fake = fakes.FakeTable()
        table = table_breaker.BreakerTable(fake, clock)
        fake.down = True
        # Milliseconds to advance, and the calls that reach the table afterwards.
        steps = [(0, 1), (0, 2), (0, 3), (0, 3), (199, 3), (1, 4), (399, 4), (1, 5)]
        for number, (advance_ms, reached) in enumerate(steps):
            with self.subTest(number):
                clock.advance(advance_ms)
                with self.assertRaises(platform_table.TableUnavailableError):
                    await table.insert(AGENTS, KEY, "body")
                self.assertEqual(len(fake.calls), reached)
        self.assertGreater(table.retry_after_ms, 0)
        fake.down = False
        clock.advance(table.retry_after_ms)
        await table.insert(AGENTS, KEY, "body")
        self.assertFalse(table.is_open)
        self.assertIsNotNone(await table.read(AGENTS, KEY))
