"""Tests of the estimates between two load reports."""

import unittest

from quincecrank import ids, routing, routing_estimates
from tests import builders_decisions as builders

IDLE = routing_estimates.LoadReport(0, 0, 0, 16, 20_000)
FIRST = ids.RequestId("r1")


def plan(tokens: int, estimated_ms: float = 100) -> routing.Plan:
    return routing.Plan(builders.ADA, 0, (), tokens, estimated_ms, 0)


class ReplicaEstimatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimates = routing_estimates.ReplicaEstimates(builders.ADA)

    def state(self, now_ms: int) -> routing.ReplicaState:
        state = self.estimates.state(now_ms)
        assert state is not None
        return state

    def test_nothing_is_known_before_the_first_report(self) -> None:
        self.assertIsNone(self.estimates.state(0))

    def test_own_requests_count_until_a_report_contains_them(self) -> None:
        self.estimates.report(IDLE, 0)
        self.estimates.sent(FIRST, plan(30_000), 10)
        self.assertEqual(self.state(10).queued_tokens, 30_000)
        self.assertEqual(self.state(10).running, 1)
        loaded = routing_estimates.LoadReport(1, 0, 28_000, 16, 20_000)
        self.estimates.report(loaded, 1000)
        self.assertEqual(self.state(1000).queued_tokens, 28_000)
        self.estimates.first_token(FIRST, 1200)
        self.estimates.ended(FIRST, 1300)
        self.assertEqual(self.state(1300).queued_tokens, 22_000)

    def test_a_reported_queue_drains(self) -> None:
        loaded = routing_estimates.LoadReport(1, 0, 20_000, 16, 20_000)
        self.estimates.report(loaded, 0)
        self.assertEqual(self.state(500).queued_tokens, 10_000)
        self.assertEqual(self.state(5000).queued_tokens, 0)

    def test_the_correction_follows_observations_within_bounds(self) -> None:
        self.estimates.report(IDLE, 0)
        for number in range(100):
            request = ids.RequestId(str(number))
            self.estimates.sent(request, plan(0, 100), 0)
            self.estimates.first_token(request, 200)
            self.estimates.ended(request, 300)
        self.assertAlmostEqual(self.state(300).correction, 2.0, places=3)
        self.assertAlmostEqual(self.state(300).slot_ms, 300, places=3)
        for _ in range(100):
            self.estimates.sent(FIRST, plan(0, 100), 0)
            self.estimates.first_token(FIRST, 100_000)
            self.estimates.ended(FIRST, 100_000)
        self.assertLessEqual(self.state(0).correction, 4.0)
