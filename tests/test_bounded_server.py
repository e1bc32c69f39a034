"""Tests of the bounds of listeners that are not for callers."""

import asyncio
import unittest
from typing import Final
from unittest import mock

import prometheus_client
from tornado import netutil, web

from quincecrank import clock as clocks
from quincecrank import status_server
from quincecrank.budgets import (
    budget_metrics,
    byte_budget,
    chunk_budget,
    connection_budget,
)
from tests import builders_budgets
from tests import gateway_case as case

FRACTION: Final = connection_budget.METRICS_FRACTION
BODY_BYTES: Final = 40_000
MAX_BODY_BYTES: Final = 50_000
GET: Final = b"GET /size HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED: Final = b"POST /size HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class _SizeHandler(web.RequestHandler):
    """Answers with the size of the body, and records it."""

    handled: list[int]

    def initialize(self, handled: list[int]) -> None:
        self.handled = handled

    def post(self) -> None:
        self.handled.append(len(self.request.body))
        self.finish(str(len(self.request.body)))

    get = post


def post(size: int) -> bytes:
    """Return the head of a request with a body of a size."""
    head = f"POST /size HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    return head.encode()


class BoundedServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handled: list[int] = []
        self.budgets = builders_budgets.make_budgets()
        self.held = self.budgets.bytes.held_by_holder
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        self.server = status_server.serve(
            bound,
            [("/size", _SizeHandler, {"handled": self.handled})],
            "test",
            self.budgets,
            FRACTION,
            clocks.SystemClock(),
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.addAsyncCleanup(self.server.close_all_connections)
        self.addCleanup(self.server.stop)

    async def open(self, raw: bytes = b"") -> case.Caller:
        """Return a new connection on which bytes were sent."""
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        caller.writer.write(raw)
        await caller.writer.drain()
        return caller

    async def test_idle_connections_kept_new_ones_out(self) -> None:
        limit = self.server.limits.max_connections
        first = await self.open()
        for _ in range(limit + 3):
            await self.open()
            # Each connection is accepted before the next one.
            await asyncio.sleep(0.005)
        self.assertLessEqual(self.server.open_count, limit)
        self.assertEqual((await first.receive()).status, 0)
        last = await self.open(GET)
        self.assertEqual((await last.receive()).status, 200)

    async def test_arriving_bodies_kept_new_connections_out(self) -> None:
        for _ in range(self.server.limits.max_connections):
            await self.open(post(BODY_BYTES) + b"x")
            await asyncio.sleep(0.005)
        last = await self.open(GET)
        self.assertEqual((await last.receive()).status, 200)
        self.assertLessEqual(self.server.open_count, self.server.limits.max_connections)

    async def test_a_body_is_held_until_the_next_request(self) -> None:
        holder = byte_budget.Holder.CALLERS
        caller = await self.open(post(BODY_BYTES) + b"x" * BODY_BYTES)
        self.assertEqual((await caller.receive()).body, b"%d" % BODY_BYTES)
        await asyncio.sleep(0.01)
        self.assertEqual(self.held[holder], 0)
        await self.open(post(BODY_BYTES) + b"x")
        await asyncio.sleep(0.01)
        self.assertEqual(self.held[holder], BODY_BYTES)
        await self.server.close_all_connections()
        self.assertEqual(self.held[holder], 0)

    async def test_a_body_without_memory_is_rejected_as_not_run(self) -> None:
        holder = byte_budget.Holder.CALLERS
        limit = self.budgets.bytes.limit_by_holder[holder]
        self.budgets.bytes.try_hold(holder, limit - BODY_BYTES // 2)
        caller = await self.open(post(BODY_BYTES))
        got = await caller.receive()
        self.assertEqual(got.status, 503)
        self.assertIn("Retry-After", got.headers)
        chunk = b"%x\r\n%b\r\n" % (BODY_BYTES, b"x" * BODY_BYTES)
        caller = await self.open(CHUNKED + chunk + b"0\r\n\r\n")
        self.assertEqual((await caller.receive()).status, 503)
        self.assertEqual(self.handled, [])

    async def test_a_body_beyond_the_limit_was_held(self) -> None:
        caller = await self.open(post(MAX_BODY_BYTES + 1))
        self.assertEqual((await caller.receive()).status, 400)
        self.assertEqual(sum(self.held.values()), 0)

    async def test_the_metrics_show_a_bound_that_was_reached(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        registry.register(budget_metrics.BudgetCollector(self.budgets))
        for _ in range(self.server.limits.max_connections + 1):
            await self.open()
            await asyncio.sleep(0.005)
        labels = {"listener": "test"}
        closes = registry.get_sample_value("quince_listener_closes_total", labels)
        self.assertEqual(closes, self.server.closes)
        self.assertGreater(self.server.closes, 0)
        limit = registry.get_sample_value(
            "quince_listener_connections", {**labels, "what": "limit"}
        )
        self.assertEqual(limit, self.server.limits.max_connections)

    async def test_many_small_chunks_among_many_bodies_are_rejected(self) -> None:
        many = chunk_budget.CROWDED_CHUNKS + chunk_budget.TURN_COST
        with mock.patch.object(chunk_budget, "CROWDED_BODIES", 0):
            caller = await self.open(CHUNKED + b"1\r\nx\r\n" * many)
            self.assertEqual((await caller.receive()).status, 503)
        self.assertEqual(self.handled, [])
