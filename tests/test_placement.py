"""Tests of placement, return history and link budgets."""

import unittest

from quincecrank import (
    chain_view,
    configuration,
    ids,
    link_budget,
    placement,
    return_history,
    sealed_block,
)
from tests import builders_decisions as builders

HOUR_MS = return_history.HOUR_MS
MINUTE_MS = 60_000
DISK = ids.TierName("disk")
SOON = return_history.Forecast(0.9, 1000.0)


def tier(
    used: float = 0.0, kind: str = "memory", rate: float = 1e8
) -> placement.TierState:
    return placement.TierState(
        builders.STORE,
        builders.MEMORY if kind == "memory" else DISK,
        configuration.TierKind(kind),
        rate,
        100 * builders.BLOCK_BYTES,
        int(used * 100 * builders.BLOCK_BYTES),
    )


def written_indexes(
    *tiers: placement.TierState,
    forecast: return_history.Forecast = SOON,
    claimed: int = 5,
    **weights: float,
) -> list[int]:
    request = placement.WriteRequest(
        builders.chain_keys(builders.prompt(5)),
        frozenset(range(claimed)),
        "w1",
        builders.BLOCK_BYTES,
        20_000,
        configuration.PolicyWeights(**weights),
    )
    plan = placement.plan_writes(request, forecast, tiers)
    for copy in plan.copies:
        parsed = sealed_block.BlockName.parse(copy.object_name)
        assert parsed is not None
        assert parsed.key == request.keys[copy.index]
    indexes = [copy.index for copy in plan.copies]
    assert indexes == sorted(indexes, reverse=True)
    return indexes[::-1]


class WritePlanTest(unittest.TestCase):
    """Each block is written at most once, and only if its return pays for the write."""

    def test_blocks_are_written_only_if_the_saving_exceeds_the_cost(self) -> None:
        shared = return_history.Forecast(0.9, 1000.0, shared_blocks=3)
        never = return_history.Forecast(0.0, 1000.0)
        self.assertEqual(written_indexes(tier()), [0, 1, 2, 3, 4])
        self.assertEqual(written_indexes(tier(), claimed=2), [0, 1])
        self.assertEqual(written_indexes(tier(), forecast=shared), [0, 1, 2])
        self.assertEqual(written_indexes(tier(), forecast=never), [])
        self.assertEqual(written_indexes(tier(rate=1e5)), [])
        self.assertEqual(
            written_indexes(tier(rate=1e5), recomputed=2000.0), [0, 1, 2, 3, 4]
        )
        self.assertEqual(written_indexes(tier(), link=1e6), [])
        self.assertEqual(written_indexes(), [])

    def test_blocks_go_to_disk_when_the_memory_tier_is_full(self) -> None:
        request = placement.WriteRequest(
            builders.chain_keys(builders.prompt(5)),
            frozenset({0}),
            "w1",
            builders.BLOCK_BYTES,
            20_000,
            configuration.PolicyWeights(),
        )
        for used, expected in ((0.0, builders.MEMORY), (0.85, DISK)):
            tiers = (tier(kind="disk"), tier(used))
            plan = placement.plan_writes(request, SOON, tiers)
            self.assertEqual([copy.tier for copy in plan.copies], [expected])

    def test_block_has_one_writer_until_its_claim_expires_or_is_released(self) -> None:
        claims = placement.WriteClaims()
        keys = builders.chain_keys(builders.prompt(3))
        stored = chain_view.ChainView(3, copies=(builders.stored(1),))
        self.assertEqual(claims.grant(keys, stored, 0), {0, 2})
        self.assertEqual(claims.grant(keys, stored, 1), frozenset())
        claims.release(keys[:1])
        self.assertEqual(claims.grant(keys, stored, 2), {0})
        later_ms = placement.WRITE_CLAIM_MS + 1
        self.assertEqual(claims.grant(keys, stored, later_ms), {2})


class EvictionTest(unittest.TestCase):
    """Evictions leave usable prefixes, as they remove blocks from the end."""

    def test_least_expected_prefix_is_evicted_first_from_its_end(self) -> None:
        copies = tuple(builders.stored(index) for index in range(4))
        prefixes = [
            placement.StoredPrefix(
                ids.BlockKey(str(gap)), copies, return_history.Forecast(0.9, gap)
            )
            for gap in (1000, 9000, 5000)
        ]
        size = builders.BLOCK_BYTES
        chosen = placement.choose_evictions(prefixes, 6 * size, size)
        self.assertEqual([copy.index for copy in chosen], [3, 2, 1, 0, 3, 2])
        self.assertEqual(placement.choose_evictions(prefixes, 0, size), ())

    def test_eviction_starts_above_one_fill_level_and_stops_at_a_lower_one(
        self,
    ) -> None:
        self.assertEqual(tier(0.9).bytes_to_evict(), 0)
        self.assertEqual(tier(0.95).bytes_to_evict(), 15 * builders.BLOCK_BYTES)


class PrefetchTest(unittest.TestCase):
    def test_prefetches_fill_half_of_each_cache_with_missing_prefixes(self) -> None:
        copies = tuple(builders.stored(index) for index in range(4))
        missing = chain_view.ChainView(4, copies=copies)
        held = chain_view.ChainView(
            4, {builders.ADA: frozenset(range(4))}, copies=copies
        )
        due = [
            placement.DuePrefix(ids.BlockKey(str(number)), missing if number else held)
            for number in range(20)
        ]
        orders = placement.choose_prefetches(due, {builders.ADA: 16, builders.BELA: 16})
        servers = sorted(order.server for order in orders)
        self.assertEqual(servers, [builders.ADA, builders.BELA, builders.BELA])
        self.assertTrue(all(order.copies == copies for order in orders))


class ReturnHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = return_history.ReturnHistory()
        self.keys = builders.chain_keys(builders.prompt(5))

    def test_shared_blocks_are_learned_from_two_prompts(self) -> None:
        other = builders.chain_keys(builders.prompt(5)[: 3 * 4096] + b"x" * 8192)
        self.history.record_prompt(self.keys, 0)
        self.assertIsNone(self.history.forecast(self.keys[0], 0).shared_blocks)
        self.history.record_prompt(other, 1000)
        self.assertEqual(self.history.forecast(self.keys[0], 0).shared_blocks, 3)
        self.assertEqual(self.history.shared_keys(self.keys[0]), other[:3])

    def test_return_probability_rises_with_returns_and_falls_when_overdue(self) -> None:
        once = builders.chain_keys(builders.prompt(5, seed=1))
        self.history.record_prompt(once, 0)
        for hour in range(4):
            self.history.record_prompt(self.keys, hour * HOUR_MS)
        now_ms = 3 * HOUR_MS + 1
        often = self.history.forecast(self.keys[0], now_ms)
        rare = self.history.forecast(once[0], now_ms)
        self.assertGreater(often.return_probability, rare.return_probability)
        self.assertAlmostEqual(often.expected_gap_ms, HOUR_MS, delta=MINUTE_MS)
        overdue = self.history.forecast(self.keys[0], 40 * HOUR_MS)
        self.assertLess(overdue.return_probability, 0.01)

    def test_hourly_peak_is_learned(self) -> None:
        self.assertIsNone(self.history.time_to_peak_ms(0))
        for hour in range(1, 4):
            for minute in (50, 55):
                self.history.record_prompt(
                    self.keys, hour * HOUR_MS + minute * MINUTE_MS
                )
        quiet_ms = 4 * HOUR_MS + 40 * MINUTE_MS
        self.assertEqual(self.history.time_to_peak_ms(quiet_ms), 10 * MINUTE_MS)
        self.assertEqual(self.history.due_roots(quiet_ms, 5 * MINUTE_MS), ())
        due = self.history.due_roots(quiet_ms, 12 * MINUTE_MS)
        self.assertEqual(due, (self.keys[0],))

    def test_number_of_roots_is_bounded(self) -> None:
        for number in range(return_history.MAX_ROOTS + 10):
            self.history.record_prompt((ids.BlockKey(str(number)),), number)
        self.assertEqual(len(self.history), return_history.MAX_ROOTS)


class LinkBudgetTest(unittest.TestCase):
    """Background transfers must not slow down restores, for which callers wait."""

    def setUp(self) -> None:
        self.budget = link_budget.LinkBudget(1e6, 0)

    def test_restores_start_at_once_and_delay_other_transfers(self) -> None:
        restore = link_budget.TransferKind.RESTORE
        write = link_budget.TransferKind.WRITE_BACK
        self.assertEqual(self.budget.delay_ms(write, 0), 0)
        self.budget.record_start(restore, 1000, 0)
        self.assertEqual(self.budget.delay_ms(restore, 0), 0)
        self.assertIsNone(self.budget.delay_ms(write, 0))
        self.budget.record_end(restore, 1000, 1)
        self.budget.record_start(write, 100_000, 0)
        self.assertEqual(self.budget.delay_ms(write, 0), 200)

    def test_agents_that_share_a_link_leave_bandwidth_for_restores(self) -> None:
        write = link_budget.TransferKind.WRITE_BACK
        budgets = [link_budget.LinkBudget(1e6, 0) for _ in range(4)]
        total_rates = []
        for _ in range(300):
            total = sum(budget.paced_bytes_per_second for budget in budgets)
            total_rates.append(total)
            congested = total > 0.5e6
            for budget in budgets:
                budget.record_end(write, 10_000, 100 if congested else 12)
        settled = total_rates[100:]
        self.assertLess(sum(settled) / len(settled), 0.6e6)
        self.assertGreater(sum(settled) / len(settled), 0.2e6)

    def test_rate_falls_when_more_agents_are_active(self) -> None:
        self.budget.set_active_agents(5)
        self.assertEqual(self.budget.paced_bytes_per_second, 1e5)


class LinkEstimatesTest(unittest.TestCase):
    """Routing must not plan restores over a link that is slow or already busy."""

    def test_observed_rate_of_a_slow_link_and_waiting_bytes(self) -> None:
        estimates = link_budget.LinkEstimates()
        estimates.set_link(builders.STORE, builders.MEMORY, 1e6)
        copies = tuple(builders.stored(index) for index in range(4))
        request = ids.RequestId("r1")
        for _ in range(40):
            estimates.record_planned_restores(request, copies, 1000, 0)
            self.assertEqual(estimates.states()[0].waiting_bytes, 4000)
            estimates.record_restore_end(request, 40)
        state = estimates.states()[0]
        self.assertEqual(state.waiting_bytes, 0)
        self.assertAlmostEqual(state.bytes_per_second, 1e5, delta=1000)
        estimates.remove_store(builders.STORE)
        self.assertEqual(estimates.states(), ())
