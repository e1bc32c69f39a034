"""Tests of the budget of heads of many lines, and of the listener that uses it."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Final
from unittest import mock

from tornado import httputil

from quincecrank.budgets import (
    bounded_stream,
    byte_budget,
    connection_budget,
    head_budget,
)
from tests import builders_gateway as builders
from tests import gateway_case as case

STEP: Final = head_budget.STEP_LINES
CALLERS: Final = 12
SMALL_MB: Final = 8
"""Memory of settings that leave the smallest budget."""

HEAD_BYTES: Final = 60_000
LONG_HEAD_BYTES: Final = 12_000
"""Length of a head within the limits that is longer than a read."""


class HeadBudgetTest(unittest.TestCase):
    def test_a_long_head_is_paid_by_the_steps_after_it(self) -> None:
        budget = head_budget.HeadBudget()
        self.assertTrue(budget.try_parse(3 * STEP))
        found = []
        for _ in range(4):
            found.append(budget.try_parse(1))
            budget.begin_step()
        self.assertEqual(found, [False, False, False, True])

    def test_steps_without_heads_give_no_more(self) -> None:
        budget = head_budget.HeadBudget()
        for _ in range(3):
            budget.begin_step()
        self.assertTrue(budget.try_parse(STEP))
        self.assertFalse(budget.try_parse(1))


class ManyLinesTest(case.GatewayCase):
    async def test_one_step_parsed_all_heads(self) -> None:
        """Heads of many lines that arrived at once held the event loop together."""
        await self.add_server(*[case.sends(case.answer())] * CALLERS)
        lines = [
            *(f"{name}: {value}" for name, value in builders.make_headers().get_all()),
            *["a:"] * (3 * STEP),
        ]
        sent = "\r\n".join(["GET /look/x HTTP/1.1", *lines, "", ""]).encode()
        parsed = [0]
        parse = httputil.HTTPHeaders.parse

        def observed(text: str, **given: bool) -> httputil.HTTPHeaders:
            parsed[-1] += text.count("\n") > STEP
            return parse(text, **given)

        async def count_steps() -> None:
            while True:
                parsed.append(0)
                await asyncio.sleep(0)

        opened = [await case.Caller.connect(self.port) for _ in range(CALLERS)]
        with mock.patch.object(httputil.HTTPHeaders, "parse", observed):
            self.background.start(count_steps())
            for caller in opened:
                self.addCleanup(caller.close)
                caller.writer.write(sent)
            statuses = {(await caller.receive()).status for caller in opened}
        self.assertEqual(statuses, {200})
        self.assertEqual((sum(parsed), max(parsed)), (CALLERS, 1))


class HeldHeadsTest(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.budget = byte_budget.ByteBudget(SMALL_MB)
        self.listener.state.budgets.bytes = self.budget
        self.reasons: list[connection_budget.CloseReason] = []
        self.listener.state.observe_close = lambda reason, _: self.reasons.append(
            reason
        )

    @property
    def held(self) -> int:
        return self.budget.held_by_holder[byte_budget.Holder.CALLERS]

    async def begin(self) -> case.Caller:
        """Send a long head without its end on a new connection."""
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        caller.writer.write(b"GET /look/x HTTP/1.1\r\nFiller: " + b"x" * HEAD_BYTES)
        return caller

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(case.WAIT_S):
            while not holds():
                await asyncio.sleep(0.001)

    async def test_heads_without_an_end_were_held_by_no_budget(self) -> None:
        limit = self.budget.limit_by_holder[byte_budget.Holder.CALLERS]
        beyond = HEAD_BYTES - bounded_stream.READ_BYTES
        opened = [await self.begin() for _ in range(limit // beyond + 4)]
        await self.wait_until(lambda: len(self.reasons) >= 2)
        self.assertEqual(set(self.reasons), {connection_budget.CloseReason.MEMORY})
        self.assertLessEqual(self.held, limit)
        for caller in opened:
            caller.close()
        await self.wait_until(lambda: not self.held)

    async def test_a_head_is_held_until_its_connection_goes_on(self) -> None:
        await self.add_server(*[case.sends(case.answer())] * 2)
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        await caller.send("/look/x", Filler="x" * LONG_HEAD_BYTES)
        self.assertEqual((await caller.receive()).status, 200)
        await self.wait_until(lambda: not self.held)
        await caller.send("/look/x")
        self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.reasons, [])
