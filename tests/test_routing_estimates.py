"""Tests of the estimates between two load reports."""

import unittest

from quincecrank import ids, routing, routing_estimates
from tests import builders_decisions as builders

IDLE = routing_estimates.LoadReport(0, 0, 0, 16, 20_000)
FIRST = ids.RequestId("r1")


def plan(tokens: int, estimated_ms: float = 100) -> routing.Plan:
    return routing.Plan(builders.ADA, 0, (), tokens, estimated_ms, 0)


class ReplicaEstimatesTest(unittest.TestCase):
    """Between reports, an entry must not send all requests to one idle replica."""

    def setUp(self) -> None:
        self.estimates = routing_estimates.ReplicaEstimates(builders.ADA)

    def state(self, now_ms: int) -> routing.ReplicaState:
        state = self.estimates.state(now_ms)
        assert state is not None
        return state

    def test_no_estimate_before_the_first_report(self) -> None:
        self.assertIsNone(self.estimates.state(0))

    def test_own_requests_are_added_until_a_report_contains_them(self) -> None:
        self.estimates.record_report(IDLE, 0)
        self.estimates.record_send(FIRST, plan(30_000), 10)
        self.assertEqual(self.state(10).queued_tokens, 30_000)
        self.assertEqual(self.state(10).running, 1)
        self.assertEqual(self.state(510).queued_tokens, 20_000)
        loaded = routing_estimates.LoadReport(1, 0, 28_000, 16, 20_000)
        self.estimates.record_report(loaded, 1000)
        # The report is half a second old when it arrives.
        self.assertEqual(self.state(1000).queued_tokens, 18_000)
        self.estimates.record_first_token(FIRST, 1200)
        self.estimates.record_end(FIRST, 1300)
        self.assertEqual(self.state(1300).queued_tokens, 12_000)

    def test_reported_queue_drains_with_time(self) -> None:
        loaded = routing_estimates.LoadReport(1, 0, 20_000, 16, 20_000)
        self.estimates.record_report(loaded, 0)
        self.assertEqual(self.state(0).queued_tokens, 10_000)
        self.assertEqual(self.state(250).queued_tokens, 5_000)
        self.assertEqual(self.state(5000).queued_tokens, 0)

    def test_own_requests_are_queued_behind_reported_ones(self) -> None:
        loaded = routing_estimates.LoadReport(1, 0, 20_000, 16, 20_000)
        self.estimates.record_report(loaded, 0)
        self.estimates.record_send(FIRST, plan(10_000), 0)
        self.estimates.record_send(ids.RequestId("r2"), plan(4_000), 100)
        self.assertEqual(self.state(100).queued_tokens, 22_000)
        self.assertEqual(self.state(200).queued_tokens, 20_000)

    def test_blocks_of_requests_with_one_root_are_counted_once(self) -> None:
        loaded = routing_estimates.LoadReport(0, 0, 0, 16, 20_000, cache_blocks=48)
        self.estimates.record_report(loaded, 0)
        keys = builders.chain_keys(builders.prompt(20))
        for number in range(3):
            self.estimates.record_send(ids.RequestId(str(number)), plan(0), 0, keys)
        state = self.state(0)
        self.assertEqual(dict(state.blocks_by_root), {keys[0]: 20})
        self.assertEqual(state.cache_wait_ms(keys[0], 40), 0)
        self.assertEqual(state.cache_wait_ms(ids.BlockKey("x"), 28), 0)

    def test_correction_follows_observed_times_within_bounds(self) -> None:
        self.estimates.record_report(IDLE, 0)
        for number in range(100):
            request = ids.RequestId(str(number))
            self.estimates.record_send(request, plan(0, 100), 0)
            self.estimates.record_first_token(request, 200)
            self.estimates.record_end(request, 300)
        self.assertAlmostEqual(self.state(300).correction, 2.0, places=3)
        self.assertAlmostEqual(self.state(300).slot_ms, 300, places=3)
        for _ in range(100):
            self.estimates.record_send(FIRST, plan(0, 100), 0)
            self.estimates.record_first_token(FIRST, 100_000)
            self.estimates.record_end(FIRST, 100_000)
        self.assertLessEqual(self.state(0).correction, 4.0)
