"""Tests of the evacuation of data centres."""

import asyncio
import dataclasses
import random
import unittest

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import dispatcher, placements, servers
from tests import builders_evacuations as evacuated
from tests import builders_gateway as builders


class QueuedRequestsTest(unittest.IsolatedAsyncioTestCase):
    """An evacuation while requests wait at a gateway for a slot."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = evacuated.make_fleet(self.clock)
        self.dispatcher = dispatcher.Dispatcher(self.fleet, random.Random(1))
        self.table = evacuated.OperatorTable(self.fleet)

    def add(self, server_id: str, data_centre: str) -> servers.ServerEntry:
        """Register a plain server that can take no further request."""
        entry = dataclasses.replace(
            builders.make_entry(server_id, service=builders.PLAIN, slots=1),
            data_centre=ids.DataCentre(data_centre),
        )
        for each in (server_id, f"{server_id}-waiting"):
            self.fleet.loads.record_start(entry.server_id, ids.RequestId(each), 0, 0)
        return self.fleet.registry.update(entry)

    def free(self, server_id: str) -> None:
        """End the requests at a server."""
        for each in (server_id, f"{server_id}-waiting"):
            self.fleet.loads.record_end(
                servers.ServerId(server_id), ids.RequestId(each)
            )
        self.dispatcher.start_queued(builders.PLAIN)

    async def start(
        self, request_id: str, regions: frozenset[ids.Region] | None = None
    ) -> "asyncio.Task[placements.Placement | placements.Rejection]":
        """Start to place a request; return the task once it waits or has ended."""
        assert self.fleet.configuration is not None
        self.clock.advance(1)
        queued = builders.make_queued_request(
            request_id, arrived_ms=self.clock.now_ms()
        )
        for _ in range(20):
            # Many starts of its class just now, so that it may wait.
            self.dispatcher._queue_by_service[builders.PLAIN].record_start(
                queued, 1_000
            )
        request = placements.PlacementRequest(
            queued,
            self.fleet.configuration.services_by_name[builders.PLAIN],
            None,
            None,
            allowed_regions=regions,
        )
        task = asyncio.create_task(self.dispatcher.place(request))
        await asyncio.sleep(0)
        return task

    async def test_a_queued_request_goes_to_no_evacuated_server(self) -> None:
        self.add("i-1", "north")
        self.add("i-2", "south")
        task = await self.start("r-1")
        self.table.write("north")
        self.free("i-1")
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        self.free("i-2")
        placed = await task
        assert isinstance(placed, placements.Placement)
        self.assertEqual(placed.server.server_id, "i-2")

    async def test_queued_requests_are_rejected_when_only_evacuated_servers_are_left(
        self,
    ) -> None:
        self.add("i-1", "north")
        task = await self.start("r-1")
        self.table.write("north")
        self.dispatcher.start_queued(builders.PLAIN)
        self.assertIsInstance(await task, placements.Rejection)

    async def test_no_request_waits_for_a_permit_of_an_evacuated_server(self) -> None:
        """The expected permits of evacuated servers let a request wait in vain."""
        entry = self.add("i-1", "north")
        self.fleet.record_rate_limit(entry.incarnation, 2.0, 1_000)
        tried = self.add("i-2", "south")
        self.table.write("north")
        self.fleet.health.health_of(tried).mark_unreachable(1_000)
        task = await self.start("r-1")
        self.assertTrue(task.done())

    async def test_a_request_for_one_region_leaves_the_queue_with_its_servers(
        self,
    ) -> None:
        """It waited until its time limit though none of its servers could take it."""
        self.add("i-1", "north")
        self.add("i-2", "south")
        task = await self.start("r-1", frozenset({evacuated.NORTH}))
        self.assertFalse(task.done())
        self.table.write("north")
        self.dispatcher.start_queued(builders.PLAIN)
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertTrue(task.done())
        self.assertIsInstance(await task, placements.Rejection)

    async def test_requests_for_a_busy_region_keep_no_others_waiting(self) -> None:
        """Requests of another account waited behind them while servers were free."""
        self.add("i-1", "north")
        self.add("i-2", "south")
        north = frozenset({evacuated.NORTH})
        for number in range(dispatcher.MAX_TRIED_PER_PASS + 1):
            bound = await self.start(f"r-{number}", north)
            self.assertFalse(bound.done())
        other = await self.start("r-99")
        self.clock.advance(dispatcher.OVERTAKING_LIMIT_MS + 1)
        self.free("i-2")
        self.assertIsInstance(await other, placements.Placement)
