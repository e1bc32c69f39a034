"""Tests of entries and agents when the table is restored from a snapshot.

A restore removes rows that the store had acknowledged.  Configuration that is in force
must not be reverted by it, and a running agent must not lose its registration.
"""

import unittest

from quincecrank import clock as clocks
from quincecrank import (
    configuration_follower,
    configuration_store,
    current_configuration,
    platform_table,
    registration,
    store_era,
)
from tests import builders_platform as builders
from tests import builders_store as stored
from tests import fakes


class ConfigurationRestoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = fakes.FakeTable()
        self.era = store_era.StoreEra()
        self.store = configuration_store.ConfigurationStore(self.table)

    async def commit(self, *versions: int) -> None:
        for version in versions:
            await self.store.propose(builders.configuration_row(version))

    def make_process(
        self,
    ) -> tuple[
        current_configuration.CurrentConfiguration,
        configuration_follower.ConfigurationFollower,
    ]:
        clock = clocks.ManualClock()
        current = current_configuration.CurrentConfiguration(clock)
        return current, configuration_follower.ConfigurationFollower(
            current, self.store, clock, self.era
        )

    async def follow(
        self,
    ) -> tuple[
        current_configuration.CurrentConfiguration,
        configuration_follower.ConfigurationFollower,
    ]:
        """Return a process that retains rows 2 to 4, read after its first poll."""
        current, follower = self.make_process()
        await self.commit(1)
        await follower.poll()
        await self.commit(2, 3, 4)
        await follower.poll()
        self.assertEqual(current.version, 4)
        return current, follower

    async def test_rows_in_force_are_committed_again(self) -> None:
        """A restore that removes rows in force must not revert the configuration."""
        current, follower = await self.follow()
        self.table.restore_rows(keep=2)
        self.era.observe(1)
        await follower.poll()
        self.assertEqual((await self.store.load()).version, 4)
        await self.commit(5)
        await follower.poll()
        self.assertEqual(current.version, 5)

    async def test_rows_are_committed_again_after_an_outage(self) -> None:
        """An outage that begins right after the restore only delays the commits."""
        current, follower = await self.follow()
        self.table.restore_rows(keep=2)
        self.era.observe(1)
        self.table.lose_next_requests = 20
        await follower.poll()
        self.table.lose_next_requests = 0
        await follower.poll()
        self.assertEqual((await self.store.load()).version, 4)
        self.assertEqual(current.version, 4)

    async def test_a_different_row_at_a_version_in_force_is_not_applied(self) -> None:
        """An operator commits another version 3 before the removed one is back."""
        current, follower = await self.follow()
        self.table.restore_rows(keep=2)
        await self.store.propose(builders.configuration_row(3, "other"))
        self.era.observe(1)
        await follower.poll()
        self.assertEqual(current.version, 4)


class RegistrationRestoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = fakes.FakeTable()

    async def register(self, incarnation: str) -> registration.Registration:
        agent = builders.agent_identity(incarnation)
        return await registration.register(self.table, agent)

    async def test_a_removed_registration_is_written_again(self) -> None:
        """A restore removes the agent's row, with or without an earlier agent's."""
        for earlier in (0, 1):
            with self.subTest(earlier=earlier):
                self.table = fakes.FakeTable()
                for number in range(earlier):
                    await self.register(f"old-{number}")
                own = await self.register("own")
                self.table.restore_rows(keep=0)
                if earlier:
                    await self.register("old-0")
                state = await registration.check_registration(self.table, own)
                self.assertIs(state, registration.RegistrationState.REVERTED)
                await registration.rewrite_registration(self.table, own)
                state = await registration.check_registration(self.table, own)
                self.assertIs(state, registration.RegistrationState.CURRENT)

    async def test_a_newer_registration_is_not_overwritten(self) -> None:
        """An old agent that writes its registration again must stay superseded."""
        own = await self.register("own")
        newer = await self.register("newer")
        await registration.rewrite_registration(self.table, own)
        self.assertIs(
            await registration.check_registration(self.table, own),
            registration.RegistrationState.SUPERSEDED,
        )
        self.assertIs(
            await registration.check_registration(self.table, newer),
            registration.RegistrationState.CURRENT,
        )


class RevisionTest(unittest.TestCase):
    def test_a_missing_row_has_revision_0_in_any_era(self) -> None:
        """Otherwise inserts, which expect revision 0, would fail after a restore."""
        self.assertEqual(platform_table._revision(stored.at(0, 3)), 0)
        self.assertGreater(
            platform_table._revision(stored.at(1, 1)),
            platform_table._revision(stored.at(10**9, 0)),
        )


if __name__ == "__main__":
    unittest.main()
