"""When the prompt parts of outdated weights are freed in the stores."""

import asyncio
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_part_index,
    deployment,
    fleet_state,
    prompts,
    store_cleaner,
)
from quincecrank.platform import documents
from tests import builders_gateway as builders

DOTTED_MODEL = deployment.ModelName("m2.5")
PREFIX_MODEL = deployment.ModelName("m2")
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


class DottedNameTest(unittest.TestCase):
    """The salts of models and accounts whose names contain the separator."""

    def test_parts_of_a_model_were_freed_as_outdated_weights_of_another(self) -> None:
        """The salt "1.m2.5." of model "m2.5" was read as version 1 of model "m2"."""
        salt = cache_part_index.make_salt(DOTTED_MODEL, 1, None)
        part = cache_part_index.PartKey(salt, prompts.PartId("a"))
        self.assertEqual(store_cleaner.obsolete_parts((part,), {PREFIX_MODEL: 6}), ())
        freed = store_cleaner.obsolete_parts((part,), {DOTTED_MODEL: 2})
        self.assertEqual(freed, (part,))

    def test_a_model_shared_a_salt_with_an_isolated_account_of_another(self) -> None:
        """An isolated account's KV cache was used for other requests."""
        model = deployment.ModelName("a")
        owners = (None, ids.AccountName("b."), ids.AccountName("b"))
        salts = [cache_part_index.make_salt(model, 1, owner) for owner in owners]
        for name in ("a.b", "a.b.", "a%2Eb"):
            named = deployment.ModelName(name)
            salts.append(cache_part_index.make_salt(named, 1, None))
        self.assertEqual(len(set(salts)), len(salts))

    def test_an_ambiguous_salt_of_an_earlier_release_is_unknown(self) -> None:
        salt = cache_part_index.CacheSalt("1.m2.5.")
        self.assertIsNone(cache_part_index.parse_salt(salt))
