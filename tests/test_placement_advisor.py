"""Tests of the placement decisions of a directory agent."""

import unittest

from quincecrank import (
    configuration,
    directory,
    ids,
    placement,
    placement_advisor,
    return_history,
    sealed_block,
)
from tests import builders_decisions as builders

HOUR_MS = return_history.HOUR_MS
MINUTE_MS = 60_000


def tier(used_blocks: int) -> placement.TierState:
    return placement.TierState(
        builders.STORE,
        builders.MEMORY,
        configuration.TierKind.MEMORY,
        1e8,
        20 * builders.BLOCK_BYTES,
        used_blocks * builders.BLOCK_BYTES,
    )


class PlacementAdvisorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shard = directory.DirectoryShard()
        self.advisor = placement_advisor.PlacementAdvisor(self.shard)
        self.inputs = placement_advisor.PlacementInputs(
            configuration.PolicyWeights(), builders.BLOCK_BYTES, 20_000, (tier(0),)
        )

    def plan_writes(
        self, keys: tuple[ids.BlockKey, ...], wall_ms: int = 0
    ) -> placement.WritePlan:
        chain = self.shard.lookup(keys)
        return self.advisor.plan_writes(keys, chain, self.inputs, wall_ms, wall_ms)

    def store(self, keys: tuple[ids.BlockKey, ...], plan: placement.WritePlan) -> None:
        for copy in plan.copies:
            name = sealed_block.BlockName.parse(copy.object_name)
            assert name is not None
            holder = builders.store(write_id=name.write_id)
            self.shard.announce(directory.Announcement(keys[0], (name.key,), holder))
        self.advisor.record_stored(keys)

    def test_simultaneous_requests_write_each_block_once(self) -> None:
        keys = builders.chain_keys(builders.prompt(6))
        plans = [self.plan_writes(keys) for _ in range(5)]
        self.assertEqual([len(plan.copies) for plan in plans], [6, 0, 0, 0, 0])
        self.store(keys, plans[0])
        self.assertEqual(len(self.plan_writes(keys).copies), 0)
        self.assertEqual(len(self.shard.lookup(keys).copies), 6)

    def test_blocks_that_no_earlier_prompt_shared_are_not_written(self) -> None:
        text = builders.prompt(6)
        keys = builders.chain_keys(text)
        self.store(keys, self.plan_writes(keys))
        other = builders.chain_keys(text[: 4 * 4096] + b"y" * 8192)
        self.assertEqual(len(self.plan_writes(other, MINUTE_MS).copies), 0)

    def test_full_tier_evicts_the_least_expected_prefix(self) -> None:
        often = builders.chain_keys(builders.prompt(5, seed=1))
        once = builders.chain_keys(builders.prompt(5, seed=2))
        self.store(once, self.plan_writes(once))
        self.store(often, self.plan_writes(often))
        for minute in range(1, 5):
            self.plan_writes(often, minute * MINUTE_MS)
        self.assertEqual(self.advisor.evictions(tier(10), builders.BLOCK_BYTES, 0), ())
        evicted = self.advisor.evictions(tier(20), builders.BLOCK_BYTES, 4 * MINUTE_MS)
        roots = {sealed_block.BlockName.parse(c.object_name) for c in evicted}
        self.assertEqual({name.root for name in roots if name}, {once[0]})
        # Half of the copies in the tier are this shard's, so it evicts half of 4.
        self.assertEqual(len(evicted), 2)

    def test_prefixes_are_prefetched_once_before_a_learned_peak(self) -> None:
        keys = builders.chain_keys(builders.prompt(4))
        caches = {builders.ADA: 64, builders.BELA: 64}
        for hour in range(1, 4):
            plan = self.plan_writes(keys, hour * HOUR_MS + 50 * MINUTE_MS)
            self.store(keys, plan)
        before_ms = 4 * HOUR_MS + 49 * MINUTE_MS
        quiet_ms = 4 * HOUR_MS + 30 * MINUTE_MS
        self.assertEqual(self.advisor.prefetches(caches, quiet_ms), ())
        orders = self.advisor.prefetches(caches, before_ms)
        self.assertEqual([len(order.copies) for order in orders], [4])
        self.assertEqual(self.advisor.prefetches(caches, before_ms + 1000), ())
