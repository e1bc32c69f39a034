"""Tests of the run that protects the cached head of a prompt from eviction."""

import dataclasses
import unittest
from unittest import mock

from quincecrank import cached_prefix, chain_view, ids
from tests import builders_wire

BLOCK_BYTES = 4_096


class CachedPrefixTest(unittest.IsolatedAsyncioTestCase):
    async def touch(self, first_restored: int | None) -> mock.AsyncMock:
        engine = mock.AsyncMock()
        prompt = ("ना" * BLOCK_BYTES).encode()[: 3 * BLOCK_BYTES]
        restore: tuple[chain_view.StoredBlock, ...] = ()
        if first_restored is not None:
            copy = chain_view.StoredBlock(
                first_restored,
                ids.VmName("s"),
                ids.ObjectName("o"),
                ids.TierName("t"),
            )
            restore = (copy,)
        work = dataclasses.replace(
            builders_wire.completion(prompt),
            block_keys=tuple(ids.BlockKey(c * 32) for c in "abc"),
            blocks_to_restore=restore,
        )
        await cached_prefix.touch_cached_prefix(engine, builders_wire.order(work), work)
        return engine

    async def test_cached_part_runs_with_the_lowest_priority(self) -> None:
        engine = await self.touch(first_restored=2)
        request = engine.complete.call_args.args[0]
        self.assertLess(request.priority, 0)
        self.assertEqual(len(request.block_keys), 2)
        self.assertGreaterEqual(len(request.prompt.encode()), 2 * BLOCK_BYTES)

    async def test_nothing_runs_without_a_cached_part(self) -> None:
        for first_restored in (None, 0):
            with self.subTest(first_restored):
                engine = await self.touch(first_restored)
                engine.complete.assert_not_called()
