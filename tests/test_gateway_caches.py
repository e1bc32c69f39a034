"""Tests of cache changes that gateways pass on to each other."""

import asyncio
import dataclasses
import random
import unittest

from tornado import httpclient

from quincecrank import clock as clocks
from quincecrank import ids, store_era
from quincecrank.gateway import (
    cache_followers,
    cache_history,
    cache_part_index,
    fleet_state,
    peers,
    prompts,
)
from quincecrank.platform import documents, engines
from standins import platform_fleet
from tests import builders_budgets
from tests import builders_gateway as builders

HOLDER = cache_part_index.HolderName("store-a")
SALT = cache_part_index.make_salt(builders.MODEL, 1, None)


def make_change(
    number: int, *, is_removal: bool = False
) -> cache_part_index.CacheChange:
    """Return the change of one of seven parts."""
    part = cache_part_index.PartKey(SALT, prompts.PartId(f"p{number % 7}"))
    return cache_part_index.CacheChange(part, 0 if is_removal else 100)


def make_events(
    first: int, count: int, *, epoch: int = 9, has_gap: bool = False
) -> engines.CacheEvents:
    """Return an answer with numbered changes, of which each third is a removal."""
    changes = tuple(
        make_change(number, is_removal=number % 3 == 0)
        for number in range(first, first + count)
    )
    return engines.CacheEvents(epoch, first + count, has_gap, changes, 1_000)


def make_fleet_state(peer_port: int = 1) -> fleet_state.FleetState:
    """Return the state of a gateway that has read its configuration."""
    fleet = fleet_state.FleetState(
        builders.make_environment(peer_port), clocks.SystemClock()
    )
    fleet.apply_configuration(
        documents.configuration(builders.make_configuration_text())
    )
    return fleet


class HistoryTest(unittest.TestCase):
    def test_a_peer_at_any_position_gets_the_same_parts(self) -> None:
        # Gaps and restarts of the holder at random must not make a peer miss a change.
        generator = random.Random(5)
        reader = make_fleet_state()
        histories = cache_history.CacheHistories(reader)
        peer = cache_part_index.CacheIndex()
        position = cache_history.HolderPosition()
        number, epoch = 0, 9
        for _ in range(400):
            has_restarted = generator.random() < 0.05
            has_gap = generator.random() < 0.05
            if has_restarted:
                number, epoch = 0, epoch + 1
            number += generator.randrange(50) if has_gap else 0
            events = make_events(
                number, generator.randrange(60), epoch=epoch, has_gap=has_gap
            )
            number = events.next_number
            if has_gap or reader.cache_index.epoch_of(HOLDER) != epoch:
                reader.cache_index.reset(HOLDER, epoch, 0)
            reader.cache_index.apply(HOLDER, events.changes)
            histories.append(HOLDER, events)
            if generator.random() < 0.5:
                continue
            updates = histories.updates_after({HOLDER: position})
            received = updates.events_by_holder.get(HOLDER)
            if received is not None:
                if received.has_gap or received.epoch != position.epoch:
                    peer.reset(HOLDER, received.epoch, 0)
                peer.apply(HOLDER, received.changes)
                position = cache_history.HolderPosition(
                    received.epoch, received.next_number
                )
            self.assertEqual(
                set(peer.snapshot(HOLDER)), set(reader.cache_index.snapshot(HOLDER))
            )

    def test_a_peer_that_is_up_to_date_gets_nothing(self) -> None:
        histories = cache_history.CacheHistories(make_fleet_state())
        histories.start_holder(HOLDER, cache_history.HolderPosition(9, 40))
        updates = histories.updates_after({HOLDER: cache_history.HolderPosition(9, 40)})
        self.assertEqual(updates, cache_history.CacheUpdates({}, ()))

    def test_a_holder_that_is_not_read_is_reported_unknown(self) -> None:
        histories = cache_history.CacheHistories(make_fleet_state())
        updates = histories.updates_after({HOLDER: cache_history.HolderPosition()})
        self.assertEqual(updates.unknown, (HOLDER,))

    def test_a_reader_retains_a_bounded_number_of_changes(self) -> None:
        history = cache_history.HolderHistory(cache_history.HolderPosition(9, 0))
        for first in range(0, 10 * cache_history.MAX_RETAINED_CHANGES, 50):
            history.append(make_events(first, 50))
        self.assertIsNone(history.changes_after(cache_history.HolderPosition(9, 0)))
        newest = history.position.next_number
        retained = cache_history.HolderPosition(
            9, newest - cache_history.MAX_RETAINED_CHANGES + 50
        )
        changes = history.changes_after(retained)
        assert changes is not None
        self.assertLessEqual(len(changes), cache_history.MAX_RETAINED_CHANGES)
        self.assertGreaterEqual(len(changes), newest - retained.next_number)

    def test_documents_are_decoded_unchanged(self) -> None:
        position_by_holder = {HOLDER: cache_history.HolderPosition(9, 40)}
        document = cache_history.encode_positions(position_by_holder)
        self.assertEqual(cache_history.decode_positions(document), position_by_holder)
        updates = cache_history.CacheUpdates({HOLDER: make_events(3, 4)}, (HOLDER,))
        document = cache_history.encode_updates(updates)
        self.assertEqual(cache_history.decode_updates(document), updates)
        for text in (b"5", b"[[1]]", b"{", b'[["a", "b", 1]]'):
            with self.subTest(text), self.assertRaises((ValueError, TypeError)):
                cache_history.decode_positions(text)


class _Members(peers.PeerDirectory):
    """Live peers that all have one address."""

    def __init__(self, fleet: fleet_state.FleetState, names: tuple[str, ...]) -> None:
        super().__init__(fleet.own_settings, fleet.clock, store_era.StoreEra())
        self.names = tuple(ids.VmName(name) for name in names)

    def live_members(self) -> tuple[ids.VmName, ...]:
        return self.names

    def ip_of(self, member: ids.VmName) -> str | None:
        return "127.0.0.1" if member in self.names else None


class FollowersTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that reads no holder asks one reader for the changes of all."""

    async def asyncSetUp(self) -> None:
        self.reader = make_fleet_state()
        self.histories = cache_history.CacheHistories(self.reader)
        own_settings = builders.make_environment(platform_fleet.free_port("127.0.0.1"))
        server = peers.serve(
            own_settings,
            [("/cache", cache_history.CacheHandler, {"histories": self.histories})],
            builders_budgets.make_budgets(),
            clocks.SystemClock(),
        )
        self.addCleanup(server.stop)
        self.fleet = make_fleet_state(own_settings.peer_port)
        names = tuple(f"reader-{number}" for number in range(40))
        members = _Members(self.fleet, names)
        self.followers = cache_followers.CacheFollowers(
            self.fleet, members, engines.FleetEngineClient(), self.fleet.clock
        )
        for number in range(20):
            self.fleet.registry.update(builders.make_entry(f"i-{number}"))

    def read(self, holder: cache_part_index.HolderName, count: int) -> None:
        """Apply the first changes of a holder at the reader."""
        events = make_events(0, count)
        self.reader.cache_index.reset(holder, events.epoch, 0)
        self.reader.cache_index.apply(holder, events.changes)
        self.histories.append(holder, events)

    async def run_until_tracked(self, holders: int) -> None:
        """Run the followers until the index has at least `holders` holders."""
        running = asyncio.ensure_future(self.followers.run())
        try:
            async with asyncio.timeout(10):
                while not self.tracked_holders() >= holders:
                    await asyncio.sleep(0.01)
        finally:
            running.cancel()

    def tracked_holders(self) -> int:
        return sum(
            self.fleet.cache_index.is_tracked(
                cache_part_index.HolderName(f"i-{number}")
            )
            for number in range(20)
        )

    async def test_one_call_returns_the_changes_of_all_holders(self) -> None:
        for number in range(20):
            self.read(cache_part_index.HolderName(f"i-{number}"), 30)
        calls = []
        original = self.histories.updates_after
        self.histories.updates_after = lambda at: calls.append(at) or original(at)  # type: ignore[func-returns-value,method-assign,assignment]
        await self.run_until_tracked(20)
        self.assertEqual(len(calls), 1)
        self.assertEqual(
            set(self.fleet.cache_index.snapshot(cache_part_index.HolderName("i-3"))),
            set(self.reader.cache_index.snapshot(cache_part_index.HolderName("i-3"))),
        )

    async def test_updates_with_many_changes_are_compressed(self) -> None:
        # The smallest VMs have links of 600 kB/s for the changes of all holders.
        start = cache_history.HolderPosition(9, 0)
        positions = {}
        for number in range(20):
            holder = cache_part_index.HolderName(f"i-{number}")
            positions[holder] = start
            self.histories.start_holder(holder, start)
            changes = builders.make_changes(SALT, 200, seed=number)
            events = engines.CacheEvents(9, 200, False, changes, 1_000)
            self.histories.append(holder, events)
        port = self.fleet.own_settings.peer_port
        response = await httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}/cache",
            method="POST",
            body=cache_history.encode_positions(positions),
            headers={"Accept-Encoding": "gzip"},
            decompress_response=False,
        )
        uncompressed = cache_history.encode_updates(
            self.histories.updates_after(positions)
        )
        self.assertLess(len(response.body), len(uncompressed) / 3)

    async def test_a_holder_that_the_reader_does_not_read_is_removed(self) -> None:
        for number in range(20):
            self.read(cache_part_index.HolderName(f"i-{number}"), 30)
        await self.run_until_tracked(20)
        self.histories.drop(cache_part_index.HolderName("i-3"))
        running = asyncio.ensure_future(self.followers.run())
        async with asyncio.timeout(10):
            while self.tracked_holders() == 20:
                await asyncio.sleep(0.01)
        running.cancel()
        self.assertEqual(self.tracked_holders(), 19)

    async def test_holders_stay_tracked_while_the_reader_changes(self) -> None:
        # A gateway that has just become a reader has no changes yet, but continues at
        # its position; one that has stopped reading answers that it reads no holders.
        # Neither answer may make the holders unknown.
        self.read(cache_part_index.HolderName("i-3"), 30)
        await self.run_until_tracked(1)
        position = cache_history.HolderPosition(9, 30)
        self.histories.drop(cache_part_index.HolderName("i-3"))
        self.histories.start_holder(cache_part_index.HolderName("i-3"), position)
        running = asyncio.ensure_future(self.followers.run())
        await asyncio.sleep(0.5)
        self.histories.drop(cache_part_index.HolderName("i-3"))
        await asyncio.sleep(0.5)
        running.cancel()
        self.assertEqual(self.tracked_holders(), 1)


class ReadersTest(unittest.TestCase):
    def test_a_few_gateways_read_all_holders(self) -> None:
        # Holders accept twelve event calls at once, four of which stay free.
        reader_count_by_gateways = {1: 1, 3: 3, 10: 4, 45: 7, 300: 8}
        for gateways, readers in reader_count_by_gateways.items():
            with self.subTest(gateways):
                self.assertEqual(self.count_readers(gateways), readers)

    def count_readers(self, gateways: int) -> int:
        names = [f"gateway-{number}" for number in range(gateways)]
        reader_names: set[str] = set()
        for own in names:
            fleet = make_fleet_state()
            fleet.own_settings = dataclasses.replace(
                fleet.own_settings, vm=ids.VmName(own)
            )
            fleet.registry.update(builders.make_entry())
            others = tuple(each for each in names if each != own)
            members = _Members(fleet, others)
            followers = cache_followers.CacheFollowers(
                fleet, members, engines.FleetEngineClient(), fleet.clock
            )
            if followers.is_reader:
                reader_names.add(own)
        return len(reader_names)
