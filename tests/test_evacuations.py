"""Tests of the evacuation of data centres."""

import asyncio
import dataclasses
import functools
import itertools
import random
import unittest
from unittest import mock

from structlog import testing

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import (
    dispatcher,
    evacuations,
    followers,
    placements,
    row_consumers,
    server_links,
    servers,
)
from tests import builders_evacuations as evacuated
from tests import builders_gateway as builders
from tests import gateway_case

NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")


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


class SentRequestsTest(gateway_case.GatewayCase):
    """An evacuation while requests are sent, retried and resumed, on real sockets.

    The servers i-1 and i-2 stand in the data centres north and south.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = builders.make_configuration_document(8)
        document["routes"][1]["maxAttempts"] = 2
        self.configure_from(document)

    async def add_pair(
        self, first: gateway_case.Script, second: gateway_case.Script, service: str
    ) -> tuple[gateway_case.ScriptedServer, gateway_case.ScriptedServer]:
        """Start the two servers; the first has less load and so is chosen first."""
        north = await self.add_server(first, service=service)
        south = await self.add_server(second, service=service)
        for entry in self.fleet.registry.entries():
            name = NORTH if entry.server_id == "i-1" else SOUTH
            self.fleet.registry.update(dataclasses.replace(entry, data_centre=name))
        busy = servers.ServerId("i-2")
        self.fleet.loads.record_start(busy, ids.RequestId("other"), 0, 9_000)
        return north, south

    def evacuate(self, data_centre: ids.DataCentre, version: int = 2) -> None:
        """Apply the row that evacuates a data centre."""
        self.fleet.apply_evacuation(data_centre, at(version), is_removed=False)

    def evacuate_while_connecting(self) -> None:
        """Apply the row when the first connection to north is open, before the send."""
        connect = self.fleet.links.connect

        async def evacuating(
            server: servers.ServerEntry, timeout_ms: float
        ) -> server_links.Link:
            link = await connect(server, timeout_ms)
            if server.data_centre == NORTH:
                self.evacuate(NORTH)
            return link

        self.enterContext(
            mock.patch.object(self.fleet.links, "connect", side_effect=evacuating)
        )

    async def test_a_placed_request_is_not_sent_to_a_server_evacuated_meanwhile(
        self,
    ) -> None:
        """Requests that waited for a connection were sent after the evacuation."""
        sends = gateway_case.sends(gateway_case.answer())
        north, south = await self.add_pair(sends, sends, "records")
        self.evacuate_while_connecting()
        got = await self.ask("/record/", b"1")
        self.assertEqual(got.status, 200)
        self.assertEqual((len(north.received), len(south.received)), (0, 1))
        self.assertEqual(north.connections, 1)

    async def test_a_placed_request_is_rejected_if_no_other_server_is_left(
        self,
    ) -> None:
        sends = gateway_case.sends(gateway_case.answer())
        north, south = await self.add_pair(sends, sends, "records")
        self.evacuate(SOUTH, 1)
        self.evacuate_while_connecting()
        got = await self.ask("/record/", b"1")
        self.assertEqual(got.status, 503)
        self.assertEqual((north.received, south.received), ([], []))

    async def test_a_retry_goes_to_no_evacuated_server(self) -> None:
        async def fails(
            _request: gateway_case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            self.evacuate(SOUTH)
            writer.close()

        sends = gateway_case.sends(gateway_case.answer())
        north, south = await self.add_pair(fails, sends, "records")
        got = await self.ask("/look/")
        self.assertEqual((len(north.received), len(south.received)), (1, 0))
        self.assertIn(got.status, (502, 503))

    async def test_a_broken_stream_is_resumed_at_no_evacuated_server(self) -> None:
        """It broke off at its server and went on in the data centre to be left."""
        may_break = asyncio.Event()

        async def breaks(
            _request: gateway_case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            event = "id: 1\nevent: token\ndata: a\n\n"
            writer.write(gateway_case.stream_head() + gateway_case.chunk(event))
            await may_break.wait()
            writer.close()

        north, south = await self.add_pair(breaks, breaks, "drafting")
        caller = await gateway_case.Caller.connect(self.port)
        prompt = {"Model": "model-a", "Token-Count": "300", "Prompt-Prefix": "p:300"}
        await caller.send("/draft/long/", b"prompt", **prompt)
        await asyncio.wait_for(
            caller.reader.readuntil(b"data: a\n\n"), gateway_case.WAIT_S
        )
        self.evacuate(SOUTH)
        may_break.set()
        await asyncio.wait_for(caller.reader.read(), gateway_case.WAIT_S)
        self.assertEqual((len(north.received), len(south.received)), (1, 0))
        caller.close()


def at(version: int, era: int = 0) -> store_rows.Position:
    """Return a position of the store."""
    return store_rows.Position(era, version)


class EvacuationRowsTest(unittest.TestCase):
    """Rows, removals and full reads as they reach one gateway."""

    def setUp(self) -> None:
        self.known = evacuations.Evacuations()

    def read(self, position: store_rows.Position, **rows: store_rows.Position) -> None:
        """Apply a full read with the given rows."""
        by_data_centre = {ids.DataCentre(name): at for name, at in rows.items()}
        self.known.apply_full_read(by_data_centre, position, 0)

    def test_the_order_of_positions_decides_in_any_order_of_arrival(self) -> None:
        """A push, a row of a peer and a full read overtake each other."""

        def row(version: int, *, is_removed: bool) -> None:
            self.known.apply_row(NORTH, at(version), 0, is_removed=is_removed)

        steps = (
            functools.partial(row, 2, is_removed=False),
            functools.partial(row, 4, is_removed=True),
            functools.partial(row, 6, is_removed=False),
            functools.partial(self.read, at(3), north=at(2)),
            functools.partial(self.read, at(5)),
            functools.partial(self.read, at(1)),
        )
        for order in itertools.permutations(steps):
            self.known = evacuations.Evacuations()
            for step in order:
                step()
            self.assertTrue(self.known.is_evacuated(NORTH), order)

    def test_a_row_that_is_read_again_is_no_change(self) -> None:
        self.assertTrue(self.known.apply_row(NORTH, at(2), 0, is_removed=False))
        self.assertFalse(self.known.apply_row(NORTH, at(2), 0, is_removed=False))
        self.assertTrue(self.known.apply_row(NORTH, at(3), 7, is_removed=True))
        self.assertFalse(self.known.apply_row(NORTH, at(3), 9, is_removed=True))
        self.assertEqual(self.known.ended_ms(NORTH), 7)

    def test_a_full_read_ends_what_was_removed_while_nothing_was_read(self) -> None:
        self.known.apply_row(NORTH, at(2), 0, is_removed=False)
        self.known.apply_row(SOUTH, at(3), 0, is_removed=False)
        self.read(at(5), south=at(3))
        self.assertEqual(self.known.in_force, {SOUTH})

    def test_two_evacuations_end_by_themselves(self) -> None:
        self.known.apply_row(NORTH, at(2), 0, is_removed=False)
        self.known.apply_row(SOUTH, at(3), 0, is_removed=False)
        self.known.apply_row(NORTH, at(4), 0, is_removed=True)
        self.assertEqual(self.known.in_force, {SOUTH})

    def test_a_restored_store_that_lacks_an_evacuation_does_not_end_it(self) -> None:
        """The store went back to before an evacuation that its operator still means."""
        self.known.apply_row(NORTH, at(9), 0, is_removed=False)
        self.read(at(4, era=1))
        self.read(at(6, era=1))
        last_ms = evacuations.RESTORED_RETENTION_MS - 1
        self.assertEqual(self.known.end_missing(last_ms), ())
        self.assertTrue(self.known.is_evacuated(NORTH))
        self.assertEqual(self.known.end_missing(last_ms + 1), (NORTH,))
        self.assertFalse(self.known.is_evacuated(NORTH))

    def test_after_a_restore_the_row_or_its_removal_counts_again(self) -> None:
        for is_removed in (False, True):
            with self.subTest(is_removed=is_removed):
                self.known = evacuations.Evacuations()
                self.known.apply_row(NORTH, at(9), 0, is_removed=False)
                self.read(at(4, era=1))
                self.known.apply_row(NORTH, at(5, era=1), 1, is_removed=is_removed)
                self.assertEqual(self.known.end_missing(60_000), ())
                self.assertIsNot(self.known.is_evacuated(NORTH), is_removed)

    def test_an_ended_evacuation_that_a_snapshot_contains_is_in_force(self) -> None:
        self.known.apply_row(NORTH, at(2), 0, is_removed=False)
        self.known.apply_row(NORTH, at(8), 0, is_removed=True)
        self.read(at(4, era=1), north=at(2, era=1))
        self.assertTrue(self.known.is_evacuated(NORTH))

    def test_a_late_answer_of_the_earlier_era_changes_nothing(self) -> None:
        self.read(at(4, era=1), north=at(2, era=1))
        self.known.apply_row(NORTH, at(9), 0, is_removed=True)
        self.read(at(9))
        self.assertTrue(self.known.is_evacuated(NORTH))


class LogTest(unittest.TestCase):
    def test_one_line_says_that_an_evacuation_is_in_force_and_one_that_it_ended(
        self,
    ) -> None:
        """The end by a full read named neither position nor origin nor delay."""
        clock = clocks.ManualClock(1_000)
        consumer = row_consumers.OperatorRowConsumer(evacuated.make_fleet(clock))
        row = store_rows.Row("evacuate/north", "{}", at(2))
        arrival = followers.Arrival(followers.PUSH, 950, 900)
        with testing.capture_logs() as lines:
            for _ in range(2):
                consumer.apply_changes((row,), arrival)
            for _ in range(2):
                consumer.apply_snapshot(store_rows.Rows((), at(5)), arrival)
        fields = ("event", "data_centre", "row", "origin", "delay_ms")
        told = [tuple(line.get(field) for field in fields) for line in lines]
        begun = ("evacuation in force", "north", 2, "push", 100)
        self.assertEqual(told, [begun, ("evacuation ended", "north", 5, "push", 100)])


class CurrencyTest(unittest.TestCase):
    """Requests at a gateway whose operator table is older than a peer's."""

    def setUp(self) -> None:
        self.known = evacuations.Evacuations()

    def may_serve(self, now_ms: int) -> bool:
        """Return whether the gateway serves, if evacuations must apply in 5 s."""
        return self.known.may_serve(now_ms, 5_000)

    def test_a_gateway_that_stays_behind_does_not_serve(self) -> None:
        self.known.record_currency(at(2), at(3), 0)
        self.assertTrue(self.may_serve(2_499))
        self.known.record_currency(at(2), at(4), 2_400)
        self.assertFalse(self.may_serve(2_500))
        self.assertTrue(self.known.may_serve(2_500, None))
        self.known.record_currency(at(4), at(4), 2_600)
        self.assertTrue(self.may_serve(2_600))

    def test_a_gateway_that_follows_a_busy_table_serves(self) -> None:
        """Many changes in a row made each gateway reject all requests after 2.5 s."""
        for now_ms in range(0, 10_000, 250):
            version = 10 + now_ms // 250
            self.known.record_currency(at(version), at(version + 1), now_ms)
            self.assertTrue(self.may_serve(now_ms))
