"""The order in which engines load new weights."""

import asyncio
import contextlib
import socket
import time
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import fleet_state, servers, weight_rollout
from quincecrank.platform import engines
from tests import builders_gateway as builders

WAIT_S = 5.0
"""Limit of a step, which only a hang reaches."""


class RolloutOrderTest(unittest.IsolatedAsyncioTestCase):
    """Three engines, two of which load at a time."""

    async def asyncSetUp(self) -> None:
        for name in ("ANNOUNCEMENT_LEAD_MS", "DRAIN_MS", "LOAD_TIMEOUT_MS"):
            patched = mock.patch.object(weight_rollout, name, 1)
            patched.start()
            self.addCleanup(patched.stop)
        clock = clocks.SystemClock()
        self.fleet = fleet_state.FleetState(builders.make_environment(), clock)
        self.orders: list[str] = []
        self.versions: list[int] = []
        calls = mock.Mock()
        calls.report = mock.AsyncMock(return_value=engines.EngineReport(False, 0, {}))
        calls.order_weights = self.refuse
        lease = mock.MagicMock(is_held=True, is_valid=True, fencing_number=1)
        lease.blocked_ms.return_value = 0
        lease.acquire_or_renew = mock.AsyncMock(return_value=True)
        self.rollout = weight_rollout.WeightRollout(
            self.fleet, calls, lease, mock.Mock(), mock.Mock(), clock
        )

    async def refuse(self, order: engines.WeightOrder) -> engines.OrderAnswer:
        """Record and refuse an order."""
        self.orders.append(order.server.server_id)
        self.versions.append(order.version)
        return engines.OrderAnswer.CONFLICT

    async def first_orders(self, count: int) -> list[str]:
        running = asyncio.ensure_future(self.rollout.run())
        async with asyncio.timeout(WAIT_S):
            while len(self.orders) < count:
                await asyncio.sleep(0.01)
        running.cancel()
        return self.orders[:count]

    def add_engine(self, name: str, weights: int, requests: int = 0) -> None:
        self.fleet.registry.update(builders.make_entry(name, weights=weights))
        for number in range(requests):
            self.fleet.loads.record_start(
                servers.ServerId(name), ids.RequestId(f"{name}-{number}"), 0, 0
            )

    async def test_engines_that_refuse_orders_kept_another_one_outdated(self) -> None:
        """They had no requests, so they were always the least busy ones."""
        for name, requests in (("i-1", 0), ("i-2", 0), ("i-3", 1)):
            self.add_engine(name, 1, requests)
        self.fleet.target_versions.record_target(builders.MODEL, 2, 0)
        self.assertIn("i-3", await self.first_orders(4))

    async def test_engines_with_the_nearest_deadline_were_ordered_last(self) -> None:
        """The first deadline passed while engines with a later one were ordered."""
        for name, version in (("i-1", 2), ("i-2", 2), ("i-3", 1)):
            self.add_engine(name, version)
        for version in (2, 3):
            self.fleet.target_versions.record_target(
                builders.MODEL, version, version * 1_000
            )
        self.assertIn("i-3", await self.first_orders(2))

    async def test_engines_loaded_a_version_that_was_already_outdated(self) -> None:
        """A newer one was set while they finished their requests."""
        self.add_engine("i-1", 1)
        self.fleet.target_versions.record_target(builders.MODEL, 2, 0)
        with mock.patch.object(weight_rollout, "ANNOUNCEMENT_LEAD_MS", 50):
            asyncio.get_running_loop().call_later(
                0.02,
                self.fleet.target_versions.record_target,
                builders.MODEL,
                3,
                20,
            )
            await self.first_orders(1)
        self.assertEqual(self.versions, [3])


class LateOrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_was_sent_after_the_end_of_its_lease(self) -> None:
        """Its connection took longer to open than the lease was valid."""
        left_ms = 200
        with socket.socket() as listening, contextlib.ExitStack() as waiting:
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            for _ in range(2):
                # Fills the queue, so that the system answers no further connection.
                other = waiting.enter_context(socket.socket())
                other.setblocking(False)
                other.connect_ex(listening.getsockname())
            order = engines.WeightOrder(
                server=builders.make_entry(
                    address=f"127.0.0.1:{listening.getsockname()[1]}"
                ),
                model=builders.MODEL,
                version=2,
                lease_holder="entry-1",
                fencing_number=1,
                expected_orders=0,
                running_requests=engines.RunningRequests.GO_ON,
                lease_left_ms=left_ms,
            )
            began_s = time.monotonic()
            with self.assertRaises(engines.EngineCallError):
                await engines.FleetEngineClient().order_weights(order)
            self.assertLess(time.monotonic() - began_s, 2 * left_ms / 1_000)
