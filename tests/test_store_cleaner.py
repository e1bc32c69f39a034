"""When the prompt parts of outdated weights are freed in the stores."""

import asyncio
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank.gateway import cache_part_index, fleet_state, store_cleaner
from quincecrank.platform import documents
from tests import builders_gateway as builders

SETTLED_MS = 300
STORE = cache_part_index.HolderName("store-a")


class StoreCleanerTest(unittest.IsolatedAsyncioTestCase):
    async def test_parts_were_freed_at_once_after_a_second_target_version(
        self,
    ) -> None:
        """The time that engines had version 2 counted for version 3 as well."""
        for name, value in (("CHECK_INTERVAL_MS", 1), ("MIN_SETTLED_MS", SETTLED_MS)):
            patched = mock.patch.object(store_cleaner, name, value)
            patched.start()
            self.addCleanup(patched.stop)
        clock = clocks.SystemClock()
        fleet = fleet_state.FleetState(builders.make_environment(), clock)
        text = builders.make_configuration_text()
        fleet.apply_configuration(documents.configuration(text))
        fleet.cache_index = builders.make_cache_index(
            cache_part_index.make_salt(builders.MODEL, 2, None), {STORE: {"a": 100}}
        )
        calls = mock.Mock(free_parts=mock.AsyncMock())
        directory = mock.Mock()
        directory.first_ranked.return_value = (fleet.own_settings.vm,)
        cleaner = store_cleaner.StoreCleaner(fleet, calls, directory, clock)
        cleaning = asyncio.ensure_future(cleaner.run())
        self.addCleanup(cleaning.cancel)
        for version in (2, 3):
            fleet.registry.update(builders.make_entry(weights=version))
            fleet.target_versions.record_target(builders.MODEL, version, clock.now_ms())
            await asyncio.sleep(SETTLED_MS / 2000)
            calls.free_parts.assert_not_called()
            await asyncio.sleep(SETTLED_MS / 1000)
        calls.free_parts.assert_called()
