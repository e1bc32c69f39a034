"""Tests of the budget of heads of many lines, and of the listener that uses it."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from tornado import httputil

from quincecrank.budgets import head_budget
from tests import builders_gateway as builders
from tests import gateway_case as case

STEP: Final = head_budget.STEP_LINES
CALLERS: Final = 12


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
