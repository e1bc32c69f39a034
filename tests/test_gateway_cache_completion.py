"""Tests of obtaining the complete cache content of engines.

An engine's events go back a short time only, so a gateway that starts later knows
only a part of the content.
"""

import asyncio
import json
import unittest
from unittest import mock

from tornado import httpserver, netutil, web

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_followers,
    cache_history,
    cache_listing,
    cache_part_index,
    peers,
)
from quincecrank.platform import engines
from standins import platform_fleet
from tests import builders_budgets
from tests import builders_gateway as builders
from tests import test_gateway_caches as cases

OWN = ids.VmName("entry-1")
HOLDER = cache_part_index.HolderName("i-1")
PARTS = ("a1", "b2", "c3")


def holders(count: int) -> list[cache_part_index.HolderName]:
    return [cache_part_index.HolderName(f"i-{number}") for number in range(count)]


class PlanTest(unittest.TestCase):
    def test_only_one_gateway_lists_each_engine_at_first(self) -> None:
        readers = [ids.VmName(f"entry-{number}") for number in range(4)]
        listed: list[cache_part_index.HolderName] = []
        for own in readers:
            planner = cache_listing.CacheListingPlanner(own)
            step = planner.plan(holders(4), readers, 1_000)
            self.assertEqual(len(step.to_ask), 4)
            listed += step.to_list
        self.assertEqual(sorted(listed), sorted(holders(4)))

    def test_other_gateways_list_an_engine_after_a_delay(self) -> None:
        readers = [OWN, *(ids.VmName(f"entry-{number}") for number in range(2, 6))]
        planner = cache_listing.CacheListingPlanner(OWN)
        due_ms = []
        for now_ms in range(0, 5_000, 100):
            step = planner.plan([HOLDER], readers, now_ms)
            due_ms += [now_ms] if step.to_list else []
        self.assertEqual(due_ms[0] % cache_listing.RANK_DELAY_MS, 0)
        self.assertEqual(due_ms[-1], 4_900)
        # The delay restarts when the engine was complete in between.
        planner.plan([], readers, 5_000)
        step = planner.plan([HOLDER], readers, 5_100)
        self.assertEqual(bool(step.to_list), due_ms[0] == 0)

    def test_few_engines_are_listed_in_one_step(self) -> None:
        planner = cache_listing.CacheListingPlanner(OWN)
        step = planner.plan(holders(50), [OWN], 0)
        self.assertEqual(len(step.to_list), cache_listing.LISTS_AT_ONCE)

    def test_a_gateway_without_peers_asks_no_peer(self) -> None:
        planner = cache_listing.CacheListingPlanner(OWN)
        self.assertEqual(planner.plan([HOLDER], [OWN], 0).to_ask, ())


class _Engine(web.RequestHandler):
    """An engine that no longer has its early events; records the paths of its calls."""

    def initialize(self, calls: list[str]) -> None:
        self._calls = calls

    async def get(self, path: str) -> None:
        self._calls.append(path)
        if path == "kv-list":
            held = [[cases.SALT, part, 100, builders.MODEL] for part in PARTS]
            self.finish(json.dumps({"bootEpoch": 9, "next": 500, "held": held}))
            return
        since = int(self.get_query_argument("since"))
        if since >= 500:
            await asyncio.sleep(0.2)
        events = [[499, "+", cases.SALT, PARTS[0], 100, builders.MODEL]]
        document = {
            "bootEpoch": 9,
            "next": 500,
            "lost": since < 400,
            "events": [] if since >= 500 else events,
        }
        self.finish(json.dumps(document))


class CancelledReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reader_went_on_after_it_was_cancelled(self) -> None:
        """The cancellation came in the step of an answer, and was ignored."""
        reader = engines.CacheEventReader(self.id(), clocks.SystemClock())
        answers: list[asyncio.Future[engines.CacheEvents]] = []

        async def read(_since: int) -> engines.CacheEvents:
            answers.append(asyncio.Future())
            return await answers[-1]

        async def follow() -> None:
            while True:
                await reader.events(1)

        with mock.patch.object(reader, "_read", read):
            following = asyncio.ensure_future(follow())
            while not answers:
                await asyncio.sleep(0)
            answers[0].set_result(engines.CacheEvents(1, 2, False, ()))
            await asyncio.sleep(0)
            following.cancel()
            _, pending = await asyncio.wait({following}, timeout=1)
            following.cancel()
        self.assertEqual(pending, set())


class CompletionTest(unittest.IsolatedAsyncioTestCase):
    """An engine that has run for a long time, and gateways that have just started.

    It no longer has the events of its cached parts, so a gateway must list it.
    """

    async def asyncSetUp(self) -> None:
        self.calls: list[str] = []
        application = web.Application(
            [(r"/(.*)", _Engine, {"calls": self.calls})],
            log_function=lambda _handler: None,
        )
        server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.peer_port = platform_fleet.free_port("127.0.0.1")

    def make_followers(self, names: tuple[str, ...]) -> cache_followers.CacheFollowers:
        fleet = cases.make_fleet_state(self.peer_port)
        fleet.registry.update(builders.make_entry("i-1", address=self.address))
        members = cases._Members(fleet, names)
        self.fleet = fleet
        return cache_followers.CacheFollowers(
            fleet, members, engines.FleetEngineClient(), fleet.clock
        )

    async def run_until_complete(
        self, followers: cache_followers.CacheFollowers
    ) -> None:
        running = asyncio.ensure_future(followers.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(10):
            while not self.fleet.cache_index.is_fully_tracked(HOLDER):
                await asyncio.sleep(0.01)

    def cached_parts(self) -> set[str]:
        changes = self.fleet.cache_index.snapshot(HOLDER)
        return {change.part_key.part_id for change in changes}

    async def test_a_gateway_without_peers_lists_the_engine(self) -> None:
        await self.run_until_complete(self.make_followers(()))
        self.assertEqual(self.cached_parts(), set(PARTS))
        self.assertEqual(self.calls.count("kv-list"), 1)

    async def test_another_reader_copies_its_list(self) -> None:
        first = self.make_followers(())
        await self.run_until_complete(first)
        own_settings = builders.make_environment(self.peer_port)
        server = peers.serve(
            own_settings,
            [("/cache", cache_history.CacheHandler, {"histories": first.histories})],
            builders_budgets.make_budgets(),
            clocks.SystemClock(),
        )
        self.addCleanup(server.stop)
        await self.run_until_complete(self.make_followers(("entry-0",)))
        self.assertEqual(self.cached_parts(), set(PARTS))
        self.assertEqual(self.calls.count("kv-list"), 1)

    async def test_a_gateway_that_reads_no_engine_gets_the_list(self) -> None:
        # It had the reader's position before the reader listed the engine.  Asked for
        # changes after that position, the reader has none to report.
        first = self.make_followers(())
        reader = self.fleet
        await self.run_until_complete(first)
        position = cache_history.HolderPosition(9, 500)
        own_settings = builders.make_environment(self.peer_port)
        server = peers.serve(
            own_settings,
            [("/cache", cache_history.CacheHandler, {"histories": first.histories})],
            builders_budgets.make_budgets(),
            clocks.SystemClock(),
        )
        self.addCleanup(server.stop)
        names = tuple(f"reader-{number}" for number in range(40))
        other = self.make_followers(names)
        self.assertFalse(other.is_reader)
        self.fleet.cache_index.reset(HOLDER, 9, 0)
        other._position_by_holder[HOLDER] = position
        await self.run_until_complete(other)
        self.assertEqual(
            set(self.fleet.cache_index.snapshot(HOLDER)),
            set(reader.cache_index.snapshot(HOLDER)),
        )


class HistoryTest(unittest.TestCase):
    def test_a_list_is_passed_on_as_complete(self) -> None:
        fleet = cases.make_fleet_state()
        histories = cache_history.CacheHistories(fleet)
        fleet.cache_index.reset(HOLDER, 9, 0)
        histories.append(HOLDER, cases.make_events(400, 3, has_gap=True))
        listed = engines.CacheEvents(
            9, 403, True, (cases.make_change(1),), is_full_listing=True
        )
        fleet.cache_index.reset(HOLDER, 9, 0, is_fully_tracked=True)
        fleet.cache_index.apply(HOLDER, listed.changes)
        histories.append(HOLDER, listed)
        updates = histories.updates_after(
            {HOLDER: cache_history.HolderPosition(9, 402)}
        )
        self.assertTrue(updates.events_by_holder[HOLDER].is_full_listing)
        decoded = cache_history.decode_updates(cache_history.encode_updates(updates))
        self.assertEqual(decoded, updates)

    def test_a_list_does_not_reset_the_time_for_which_a_holder_is_tracked(self) -> None:
        cache_index = cache_part_index.CacheIndex()
        cache_index.reset(HOLDER, 9, 1_000)
        cache_index.reset(HOLDER, 9, 5_000, is_fully_tracked=True)
        self.assertEqual(cache_index.tracked_for_ms(HOLDER, 6_000), 5_000)
        cache_index.reset(HOLDER, 10, 5_500)
        self.assertEqual(cache_index.tracked_for_ms(HOLDER, 6_000), 500)


if __name__ == "__main__":
    unittest.main()
