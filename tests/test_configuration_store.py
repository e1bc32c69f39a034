"""Tests of the configuration's version history and of a process's configuration.

They guard against two winners for one version, a version that goes back, and a commit
that is misreported after a lost answer.
"""

import asyncio
import random
import unittest
from unittest import mock

import structlog.testing

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    configuration_store,
    current_configuration,
    ids,
    platform_table,
)
from tests import builders_platform, fakes

ADVANCED = current_configuration.UpdateResult.ADVANCED
NOTHING_NEW = current_configuration.UpdateResult.NOTHING_NEW
GAP = current_configuration.UpdateResult.GAP

row = builders_platform.configuration_row


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = fakes.FakeTable()
        self.objects = fakes.FakeObjectStore()
        self.store = configuration_store.ConfigurationStore(self.table, self.objects)

    async def commit(self, count: int) -> configuration.Configuration:
        """Commit `count` rows after the newest version and return the configuration."""
        current = await self.store.load()
        for version in range(current.version + 1, current.version + count + 1):
            result = await self.store.propose(row(version))
            current = current.apply(result.ok)
            await self.store.save_snapshot(current)
        return current

    async def test_proposal_succeeds_despite_each_fault(self) -> None:
        """An answer or a request is lost, or a write takes effect late."""
        switches = (None, "lose_next_answers", "lose_next_requests", "delay_next")
        for version, switch in enumerate(switches, start=1):
            with self.subTest(switch):
                if switch is not None:
                    setattr(self.table, switch, 1)
                result = await self.store.propose(row(version))
                self.assertEqual(result.ok, row(version))
                self.table.deliver_delayed()
        loaded = await self.store.load()
        self.assertEqual(loaded.version, len(switches))
        self.assertEqual(len(loaded.accounts_by_name), len(switches))

    async def test_of_competing_proposals_one_succeeds(self) -> None:
        """Several operators propose the same version while answers are lost."""
        self.table.lose_next_answers = 2
        proposals = [row(1, f"p{number}", f"a{number}") for number in range(5)]
        results = await asyncio.gather(*map(self.store.propose, proposals))
        winners = [result.ok for result in results if result.is_ok()]
        self.assertEqual(len(winners), 1)
        for result in results:
            if result.is_error():
                self.assertEqual(result.error.rows, (winners[0],))
        loaded = await self.store.load()
        self.assertEqual(len(loaded.accounts_by_name), 1)

    async def test_conflict_returns_the_committed_rows(self) -> None:
        await self.commit(3)
        result = await self.store.propose(row(2, "late"))
        self.assertEqual(result.error.rows, (row(2), row(3)))

    async def test_lost_answer_without_read_back_has_an_unknown_outcome(self) -> None:
        """The answer is lost and reads fail, so the row may have been committed."""
        self.table.lose_next_answers = 1
        self.table.reads_down = True
        with self.assertRaises(platform_table.OutcomeUnknownError):
            await self.store.propose(row(1))
        self.table.reads_down = False
        self.assertEqual((await self.store.propose(row(1))).ok, row(1))

    async def test_proposal_in_an_outage_commits_nothing(self) -> None:
        self.table.down = True
        with self.assertRaises(platform_table.TableUnavailableError):
            await self.store.propose(row(1))
        self.table.down = False
        self.assertEqual((await self.store.load()).version, 0)

    async def test_version_beyond_the_next_is_rejected(self) -> None:
        with self.assertRaises(configuration.VersionGapError):
            await self.store.propose(row(2))

    async def test_load_reads_all_pages_or_a_snapshot(self) -> None:
        interval = configuration_store.SNAPSHOT_INTERVAL
        expected = await self.commit(4 * interval + 3)
        names = await self.objects.list("configuration/")
        self.assertEqual(len(names), 3)
        bare = configuration_store.ConfigurationStore(self.table)
        self.assertEqual(await bare.load(), expected)
        self.table.calls.clear()
        self.assertEqual(await self.store.load(), expected)
        self.assertEqual(len(self.table.calls), 1)

    async def test_load_without_an_intact_snapshot(self) -> None:
        """The newest snapshot is damaged, or the object store is unavailable."""
        interval = configuration_store.SNAPSHOT_INTERVAL
        await self.commit(2 * interval - 1)
        self.objects.truncate_next = 1
        expected = await self.commit(1)
        with structlog.testing.capture_logs() as lines:
            self.assertEqual(await self.store.load(), expected)
            self.objects.down = True
            self.assertEqual(await self.store.load(), expected)
        self.assertEqual(len(lines), 2)


class HolderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.current = current_configuration.CurrentConfiguration(self.clock)

    def test_rows_in_any_order_never_decrease_the_version(self) -> None:
        generator = random.Random(1)
        rows = [row(version) for version in range(1, 31)]
        versions = [self.current.version]
        while self.current.version < len(rows):
            self.current.apply(generator.sample(rows, 3))
            versions.append(self.current.version)
        self.assertEqual(versions, sorted(versions))
        expected = configuration_store.apply_rows(configuration.Configuration(), rows)
        self.assertEqual(self.current.in_force, expected)

    def test_update_results(self) -> None:
        cases = [
            ((row(2),), GAP, 0),
            ((row(2), row(1)), ADVANCED, 2),
            ((row(1),), NOTHING_NEW, 2),
            ((), NOTHING_NEW, 2),
            ((row(3), row(5)), GAP, 3),
        ]
        for rows, result, version in cases:
            with self.subTest(rows):
                self.assertEqual(self.current.apply(rows), result)
                self.assertEqual(self.current.version, version)

    def test_older_configuration_is_not_adopted(self) -> None:
        old = self.current.in_force
        self.current.apply([row(1), row(2)])
        newest = self.current.in_force
        self.assertEqual(self.current.adopt(old), NOTHING_NEW)
        self.assertIs(self.current.in_force, newest)
        other = current_configuration.CurrentConfiguration(self.clock)
        self.assertEqual(other.adopt(newest), ADVANCED)
        self.assertIsNone(other.rows_after(ids.ConfigurationVersion(1)))

    def test_a_different_row_of_an_applied_version_is_an_error(self) -> None:
        self.current.apply([row(1)])
        with self.assertRaises(current_configuration.DivergedError):
            self.current.apply([row(1, "other")])

    def test_rows_for_peers(self) -> None:
        retained = current_configuration.MAX_RETAINED_ROWS
        self.current.apply(row(version) for version in range(1, retained + 3))
        cases = [
            (1, None),
            (2, retained),
            (retained + 1, 1),
            (retained + 2, 0),
            (retained + 9, 0),
        ]
        for version, count in cases:
            with self.subTest(version):
                found = self.current.rows_after(ids.ConfigurationVersion(version))
                self.assertEqual(None if found is None else len(found), count)

    async def test_tasks_wait_for_a_version(self) -> None:
        waiting = asyncio.create_task(
            self.current.wait_for(ids.ConfigurationVersion(2))
        )
        for version in (1, 2):
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            self.current.apply([row(version)])
        self.assertEqual((await waiting).version, 2)

    def test_confirmation_time(self) -> None:
        self.assertIsNone(self.current.confirmed_at_ms)
        self.clock.advance(7)
        self.current.confirm()
        self.clock.advance(1)
        self.current.apply([row(1)])
        self.assertEqual(self.current.confirmed_at_ms, 7)


class ProofTest(unittest.IsolatedAsyncioTestCase):
    async def count_winners(self) -> int:
        """Return how many of three competing proposals succeed; answers are lost."""
        table = fakes.FakeTable()
        store = configuration_store.ConfigurationStore(table)
        table.lose_next_answers = 3
        proposals = [row(1, f"p{number}") for number in range(3)]
        results = await asyncio.gather(*map(store.propose, proposals))
        return sum(result.is_ok() for result in results)

    async def test_without_read_back_several_proposals_succeed(self) -> None:
        """Shows that the read back is needed after a lost answer."""
        self.assertEqual(await self.count_winners(), 1)
        with mock.patch.object(
            platform_table, "insert_confirmed", fakes.insert_without_reading_back
        ):
            self.assertEqual(await self.count_winners(), 3)
