"""Tests of how long the rest of rejected requests is read."""

import contextlib
import unittest
from typing import Final

from quincecrank.budgets import connection_budget, linger_budget
from tests import gateway_case as case

PIECE: Final = b"x" * 65_536
DECLARED_BYTES: Final = 60_000_000


class LingerBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = linger_budget.LingerBudget()

    def test_bytes_and_time_are_bounded(self) -> None:
        lingering = self.budget.begin(0)
        assert lingering is not None
        most, last_ms = linger_budget.MAX_BYTES, linger_budget.MAX_MS
        for now_ms in range(linger_budget.MAX_COUNTED_MS, last_ms, 100):
            self.assertTrue(self.budget.may_drop(lingering, 0, now_ms))
        self.assertTrue(self.budget.may_drop(lingering, most, last_ms))
        self.assertFalse(self.budget.may_drop(lingering, 0, last_ms + 1))
        self.assertFalse(self.budget.may_drop(lingering, 1, last_ms + 1))
        self.assertEqual(self.budget.closes, 2)

    def test_a_late_event_loop_ended_the_reading(self) -> None:
        lingering = self.budget.begin(0)
        assert lingering is not None
        self.assertTrue(self.budget.may_drop(lingering, 1, 3 * linger_budget.MAX_MS))

    def test_connections_are_bounded(self) -> None:
        for _ in range(linger_budget.MAX_CONNECTIONS):
            self.assertIsNotNone(self.budget.begin(0))
        self.assertIsNone(self.budget.begin(0))
        self.budget.end()
        self.assertIsNotNone(self.budget.begin(0))


class RejectedBodiesTest(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reasons: list[connection_budget.CloseReason] = []
        self.listener.state.observe_close = lambda reason, _: self.reasons.append(
            reason
        )

    async def reject(self) -> case.Caller:
        """Return the connection of a request that was rejected by its head."""
        caller = await case.Caller.connect(self.port)
        head = f"POST /record/x HTTP/1.1\r\nHost: h\r\nContent-Length: {DECLARED_BYTES}"
        caller.writer.write(f"{head}\r\n\r\n".encode())
        self.assertEqual((await caller.receive()).status, 413)
        return caller

    async def test_rejected_bodies_were_read_without_an_end(self) -> None:
        """All that a caller sent of a rejected body was read, for a minute."""
        caller = await self.reject()
        sent = 0
        with contextlib.suppress(ConnectionError):
            while sent < DECLARED_BYTES - len(PIECE):
                caller.writer.write(PIECE)
                await caller.writer.drain()
                sent += len(PIECE)
        self.assertLess(sent, DECLARED_BYTES - len(PIECE))
        self.assertEqual(self.reasons, [connection_budget.CloseReason.REJECTED])
        self.assertEqual(self.listener.state.budgets.linger.connections, 0)

    async def test_a_rejected_body_that_ends_is_read(self) -> None:
        caller = await self.reject()
        for _ in range(8):
            caller.writer.write(PIECE)
            await caller.writer.drain()
        self.assertEqual(self.reasons, [])
