"""Tests of the routing policies."""

import dataclasses
import unittest

from quincecrank import chain_view, ids, policies, routing
from tests import builders_decisions as builders

FAST = 100e6
SLOW = 1e5
OTHER_STORE = ids.VmName("smriti-kha")


def view(held: int = 0, copies: int = 0, blocks: int = 10) -> chain_view.ChainView:
    held_by_server = {builders.ADA: frozenset(range(held))} if held else {}
    stored = tuple(builders.stored(index) for index in range(copies))
    return chain_view.ChainView(blocks, held_by_server, copies=stored)


def choose(
    name: str,
    chain: chain_view.ChainView,
    ada: routing.ReplicaState | None = None,
    links: tuple[routing.LinkState, ...] = (builders.link(FAST),),
    request: routing.RoutingRequest | None = None,
) -> routing.Plan:
    candidates = [ada or builders.replica(), builders.replica(builders.BELA)]
    policy = policies.make_policy(name)
    plan = policy.choose(request or builders.request(), candidates, chain, links, 0)
    assert plan is not None
    return plan


class CostPolicyTest(unittest.TestCase):
    """The plan of lowest cost weighs waiting, restoring and recomputing."""

    def test_idle_holder_of_the_prefix_is_chosen(self) -> None:
        plan = choose(policies.DEFAULT_POLICY, view(held=8))
        self.assertEqual((plan.server, plan.cached_blocks), (builders.ADA, 8))
        self.assertEqual(plan.recompute_tokens, 2 * 1024)

    def test_busy_holder_is_avoided_if_the_prefix_can_be_restored_elsewhere(
        self,
    ) -> None:
        busy = builders.replica(queued_tokens=100_000)
        plan = choose(policies.DEFAULT_POLICY, view(held=8, copies=8), busy)
        self.assertEqual((plan.server, len(plan.restore)), (builders.BELA, 8))

    def test_prompt_is_recomputed_if_the_link_is_slow(self) -> None:
        links = (builders.link(SLOW),)
        plan = choose(policies.DEFAULT_POLICY, view(copies=10), links=links)
        self.assertEqual(plan.restore, ())
        self.assertEqual(plan.recompute_tokens, 10 * 1024)

    def test_weight_of_recomputed_tokens_favours_a_slow_link(self) -> None:
        links = (builders.link(SLOW),)
        request = builders.request(recomputed=2000.0)
        plan = choose(policies.DEFAULT_POLICY, view(copies=10), None, links, request)
        self.assertEqual(len(plan.restore), 10)

    def test_restore_overlaps_with_the_wait_for_a_replica(self) -> None:
        busy = [
            builders.replica(name, queued_tokens=20_000)
            for name in (builders.ADA, builders.BELA)
        ]
        links = (builders.link(1e6),)  # 66 ms to restore a block, 51 to compute it
        plan = policies.CostPolicy().choose(
            builders.request(), busy, view(copies=10), links, 0
        )
        assert plan is not None
        self.assertGreaterEqual(len(plan.restore), 10)
        idle = choose(policies.DEFAULT_POLICY, view(copies=10), links=links)
        self.assertEqual(idle.restore, ())

    def test_blocks_missing_between_cached_ones_are_restored(self) -> None:
        chain = chain_view.ChainView(
            10,
            {builders.ADA: frozenset({0, 1, 4, 5, 6, 7, 8, 9})},
            copies=(builders.stored(2), builders.stored(3)),
        )
        plan = choose(policies.DEFAULT_POLICY, chain)
        self.assertEqual([copy.index for copy in plan.restore], [2, 3])
        self.assertEqual((plan.cached_blocks, plan.recompute_tokens), (8, 0))

    def test_restores_are_divided_among_links(self) -> None:
        copies = tuple(
            builders.stored(index, store)
            for index in range(10)
            for store in (builders.STORE, OTHER_STORE)
        )
        links = (builders.link(FAST), builders.link(FAST, OTHER_STORE))
        chain = chain_view.ChainView(10, copies=copies)
        plan = choose(policies.DEFAULT_POLICY, chain, links=links)
        from_first = [c for c in plan.restore if c.store == builders.STORE]
        self.assertEqual((len(plan.restore), len(from_first)), (10, 5))

    def test_engine_without_cache_space_for_the_blocks_is_avoided(
        self,
    ) -> None:
        full_cache = dataclasses.replace(
            builders.replica(),
            cache_capacity_blocks=48,
            blocks_by_root={ids.BlockKey("other"): 45},
        )
        plan = choose(policies.DEFAULT_POLICY, view(held=2, copies=10), full_cache)
        self.assertEqual((plan.server, len(plan.restore)), (builders.BELA, 10))

    def test_no_restore_without_links_and_no_plan_without_candidates(self) -> None:
        plan = choose(policies.DEFAULT_POLICY, view(copies=10), links=())
        self.assertEqual(plan.restore, ())
        empty = policies.CostPolicy().choose(builders.request(), [], view(), (), 0)
        self.assertIsNone(empty)

    def test_new_prefix_goes_to_the_same_replica_despite_small_load_differences(
        self,
    ) -> None:
        first = choose(policies.DEFAULT_POLICY, view())
        nearly_idle = builders.replica(queued_tokens=40)
        self.assertEqual(
            first.server,
            choose(policies.DEFAULT_POLICY, view(), nearly_idle).server,
        )

    def test_candidates_of_a_large_deployment_are_bounded_and_deterministic(
        self,
    ) -> None:
        replicas = [
            builders.replica(ids.BackendServerName(f"s{number}"), 1000 * number)
            for number in range(1, 500)
        ]
        holder = replicas[400]
        chain = chain_view.ChainView(10, {holder.server: frozenset(range(10))})
        request = builders.request()
        few = policies.bounded_candidates(request, replicas, chain)
        self.assertLessEqual(len(few), policies.MAX_CANDIDATES)
        self.assertIn(holder, few)
        self.assertIn(replicas[0], few)
        others = policies.bounded_candidates(request, replicas[::-1], chain)
        self.assertEqual({c.server for c in few}, {c.server for c in others})


class BaselineTest(unittest.TestCase):
    def test_each_baseline_makes_its_own_choice(self) -> None:
        busy = builders.replica(queued_tokens=10_000)
        links = (builders.link(SLOW),)
        chain = view(held=2, copies=10)
        expected = {
            "round-robin": (builders.ADA, 0, 0, False),
            "least-loaded": (builders.BELA, 0, 0, True),
            "prefix-affinity": (builders.ADA, 2, 0, True),
            "always-recompute": (builders.BELA, 0, 0, True),
            "always-restore": (builders.ADA, 2, 8, True),
        }
        self.assertEqual({*expected, policies.DEFAULT_POLICY}, {*policies.POLICY_NAMES})
        for name, values in expected.items():
            with self.subTest(name):
                plan = choose(name, chain, busy, links)
                restored = len(plan.restore)
                self.assertEqual(
                    (plan.server, plan.cached_blocks, restored, plan.reuse), values
                )

    def test_round_robin_alternates(self) -> None:
        policy = policies.make_policy("round-robin")
        candidates = [builders.replica(), builders.replica(builders.BELA)]
        plans = [
            policy.choose(builders.request(), candidates, view(), (), 0)
            for _ in range(4)
        ]
        servers = [plan.server for plan in plans if plan]
        self.assertEqual(servers, [builders.ADA, builders.BELA] * 2)
