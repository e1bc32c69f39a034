"""Tests of the even load of engines while gateways know each other's load late."""

import collections
import dataclasses
import os
import random
import statistics
import unittest

from bench import even_load, gateway_simulation
from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cache_part_index,
    cache_transfers,
    even_placement,
    fleet_state,
    loads,
    placement,
    prompts,
    servers,
)
from tests import builders_gateway as builders
from tests import wrapped_program

PEERS = tuple(ids.VmName(f"entry-{number}") for number in range(2, 6))
ENGINES = tuple(servers.ServerId(f"i-{number}") for number in range(8))


def setUpModule() -> None:
    """Apply the mutation of `run_mutations`, if any."""
    if mutation := os.environ.get("QUINCE_MUTATION"):
        wrapped_program.MUTATIONS_BY_NAME[mutation]()


def choice_counts(unseen_ms: float, *, gateways: int = 400) -> collections.Counter[str]:
    """Return how many gateways choose each engine at the same moment."""
    # The first engine holds the prompt: computing it elsewhere takes 200 ms longer.
    estimated_ms = {ENGINES[0]: 20.0} | dict.fromkeys(ENGINES[1:], 220.0)
    estimated_ms[ENGINES[1]] = 24.0
    return collections.Counter(
        even_placement.WeightedChooser(random.Random(seed)).choose(
            estimated_ms, unseen_ms
        )
        for seed in range(gateways)
    )


class ChoiceTest(unittest.TestCase):
    """Gateways that decide at the same moment must not all choose one engine."""

    def test_gateways_share_engines_whose_difference_unseen_work_explains(self) -> None:
        counts = choice_counts(20.0)
        self.assertGreater(counts[ENGINES[1]], 100)
        self.assertGreater(counts[ENGINES[0]], counts[ENGINES[1]])

    def test_holders_of_a_prompt_keep_their_advantage(self) -> None:
        # However much work is unseen, few requests compute a prompt anew.
        counts = choice_counts(5_000.0)
        self.assertLess(sum(counts[each] for each in ENGINES[2:]), 40)

    def test_without_unseen_work_the_best_engine_is_chosen(self) -> None:
        self.assertEqual(choice_counts(0.0), {ENGINES[0]: 400})


class UnseenWorkTest(unittest.TestCase):
    """The width must follow what peers start between their reports."""

    def setUp(self) -> None:
        self.loads = loads.Loads()

    def report(self, tokens: int, at_ms: int, peer: ids.VmName = PEERS[0]) -> None:
        self.loads.apply_peer_report(
            peer, {ENGINES[0]: loads.Load(1, tokens, tokens)}, at_ms
        )

    def test_it_grows_with_the_changes_that_only_reports_show(self) -> None:
        for index in range(20):
            self.report(1_000 * (index % 2), index * 150)
        small_tokens = self.loads.unseen_tokens(8)
        for index in range(20, 60):
            self.report(4_000 * (index % 2), index * 150)
        self.assertGreater(self.loads.unseen_tokens(8), 3 * small_tokens)

    def test_silent_peers_have_none(self) -> None:
        # All reports stop: what was started since is unknown, and placement must work
        # as without peers.
        for index in range(20):
            for peer in PEERS:
                self.report(4_000 * (index % 2), index * 150, peer)
        self.assertGreater(self.loads.unseen_tokens(8), 0)
        self.loads.total_load(ENGINES[0], 19 * 150 + loads.PEER_EXPIRY_MS)
        self.assertEqual(self.loads.unseen_tokens(8), 0)


class SwitchTest(unittest.TestCase):
    """Gateways whose settings don't ask for even placement must work as before."""

    def test_settings_without_it_choose_the_lowest_estimate(self) -> None:
        clock = clocks.ManualClock()
        before = fleet_state.FleetState(builders.make_environment(), clock)
        self.assertIsNone(before.engine_chooser)
        own_settings = dataclasses.replace(
            builders.make_environment(), spreads_load=True
        )
        spreading = fleet_state.FleetState(own_settings, clock)
        self.assertIsNotNone(spreading.engine_chooser)


class DataCentreTest(unittest.TestCase):
    """Traffic between data centres must not be caused where it saves nothing."""

    def chosen(self, local_backlog_tokens: int) -> servers.ServerId:
        remote = builders.make_entry("i-1")
        local = dataclasses.replace(
            builders.make_entry("i-2"), data_centre=ids.DataCentre("local")
        )
        context = placement.EngineChoiceContext(
            servers.ServerId("i-9"),
            1_000,
            60_000,
            1_000.0,
            chooser=even_placement.WeightedChooser(random.Random(1)),
            data_centre=ids.DataCentre("local"),
        )
        candidates = [
            placement.Candidate(remote, loads.Load(1, 1_000, 0)),
            placement.Candidate(local, loads.Load(1, 1_000, local_backlog_tokens)),
        ]
        chosen = placement.choose_engine(candidates, context)
        assert chosen is not None
        return chosen.server.server_id

    def test_a_near_equal_engine_of_the_own_data_centre_is_preferred(self) -> None:
        self.assertEqual(self.chosen(100), "i-2")

    def test_a_faster_engine_elsewhere_is_chosen(self) -> None:
        self.assertEqual(self.chosen(2_000), "i-1")


class RecomputeTest(unittest.TestCase):
    """Prompts must not leave their holders for a small gain, which costs others."""

    def chosen(self, chooser: even_placement.EngineChooser | None) -> str:
        # At 15 us a token, the holder's backlog takes 75 ms and the prompt 60 ms.
        context = placement.EngineChoiceContext(
            servers.ServerId("i-9"), 1_000, 60_000, 1_000.0, chooser=chooser
        )
        holder = loads.Load(1, 1_000, 5_000)
        candidates = [
            placement.Candidate(builders.make_entry("i-1"), holder),
            placement.Candidate(
                builders.make_entry("i-2"), loads.Load(1), missing_tokens=4_000
            ),
        ]
        chosen = placement.choose_engine(candidates, context)
        assert chosen is not None
        return chosen.server.server_id

    def test_the_holder_is_chosen_where_load_is_spread(self) -> None:
        chooser = even_placement.WeightedChooser(random.Random(1))
        self.assertEqual(self.chosen(chooser), "i-1")

    def test_other_settings_choose_the_lowest_estimate(self) -> None:
        self.assertEqual(self.chosen(None), "i-2")


class RemoteFetchTest(unittest.TestCase):
    """A part must not be fetched from afar while a near holder is as fast."""

    def fetch(
        self, data_centre: ids.DataCentre | None, far_mbps: float = 100_000.0
    ) -> cache_transfers.Transfers:
        salt = cache_part_index.make_salt(builders.MODEL, 1, None)
        holders = [
            dataclasses.replace(
                builders.make_source(name, link_mbps=link_mbps),
                data_centre=ids.DataCentre(name),
            )
            for name, link_mbps in (("far", far_mbps), ("near", 100_000.0))
        ]
        index = builders.make_cache_index(
            salt, {"far": {"a": 2_000}, "near": {"a": 2_000}}
        )
        parts = (prompts.PromptPart(prompts.PartId("a"), 2_000),)
        return cache_transfers.plan_fetch(
            parts, 0, salt, holders, index, 96_256, data_centre
        )

    def test_the_holder_in_the_engines_data_centre_is_preferred(self) -> None:
        transfers = self.fetch(ids.DataCentre("near"))
        self.assertEqual(transfers.fetch_from, ("near:1",))

    def test_a_far_holder_takes_twice_as_long(self) -> None:
        far = self.fetch(ids.DataCentre("near"), 1_000_000.0)
        self.assertEqual(far.fetch_from, ("far:1",))
        unaware = self.fetch(None, 1_000_000.0)
        self.assertAlmostEqual(far.expected_ms, 2 * unaware.expected_ms)

    def test_without_the_setting_data_centres_do_not_count(self) -> None:
        self.assertEqual(self.fetch(None).fetch_from, ("far:1",))


class LoadTest(unittest.TestCase):
    """Engines must not be overloaded in turn while gateways see loads late."""

    def test_load_that_busy_gateways_learn_of_late_is_spread(self) -> None:
        # 46 gateways that read datagrams after 40 ms, 27 engines at nine tenths of
        # their capacity.
        pattern = dataclasses.replace(
            even_load.CASES["nilwave-nine"],
            seed=1,
            duration_ms=3_000,
            message_ms=40.0,
        )
        before = gateway_simulation.replay(pattern)
        spread = gateway_simulation.replay(
            dataclasses.replace(pattern, spreads_load=True)
        )
        for result in (before, spread):
            # A simulated gateway that fails drops requests and so has little work.
            ended = sum(
                each.on_time + each.late + each.rejected
                for each in result.outcome_by_kind.values()
            )
            requests = sum(each.requests for each in result.outcome_by_kind.values())
            self.assertEqual(ended, requests)
        self.assertLess(
            statistics.mean(spread.largest_work_ms_by_tenth[10:]),
            0.8 * statistics.mean(before.largest_work_ms_by_tenth[10:]),
        )
