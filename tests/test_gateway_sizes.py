"""Tests of the fairness between prompt sizes.

The failure: on nearly full engines most large prompts of a route are rejected, while
nearly all small ones are served.
"""

import unittest

from quincecrank.gateway import size_fairness

ROUTE = "review"
SMALL = 900
LARGE = 40_000


class SizeFairnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fairness = size_fairness.SizeFairness()

    def record(
        self, tokens: int, *, placed: int, rejected: int, now_ms: int = 0
    ) -> None:
        for is_placed in [True] * placed + [False] * rejected:
            self.fairness.record_outcome(ROUTE, tokens, now_ms, is_placed=is_placed)

    def test_a_size_that_is_rejected_more_often_is_underserved(self) -> None:
        self.record(SMALL, placed=40, rejected=10)
        self.record(LARGE, placed=2, rejected=4)
        self.assertTrue(self.fairness.is_underserved(ROUTE, LARGE, 0))
        self.assertFalse(self.fairness.is_underserved(ROUTE, SMALL, 0))

    def test_sizes_that_are_served_equally_are_not_underserved(self) -> None:
        self.record(SMALL, placed=20, rejected=20)
        self.record(LARGE, placed=4, rejected=4)
        self.assertFalse(self.fairness.is_underserved(ROUTE, LARGE, 0))

    def test_a_size_with_few_requests_is_not_underserved(self) -> None:
        self.record(SMALL, placed=40, rejected=0)
        self.record(LARGE, placed=0, rejected=2)
        self.assertFalse(self.fairness.is_underserved(ROUTE, LARGE, 0))

    def test_other_routes_do_not_count(self) -> None:
        self.record(LARGE, placed=0, rejected=9)
        self.fairness.record_outcome("note", SMALL, 0, is_placed=True)
        self.assertFalse(self.fairness.is_underserved(ROUTE, LARGE, 0))
        self.assertFalse(self.fairness.is_underserved("note", SMALL, 0))

    def test_older_outcomes_count_less(self) -> None:
        self.record(SMALL, placed=40, rejected=0)
        self.record(LARGE, placed=0, rejected=4)
        later_ms = int(3 * size_fairness.DECAY_TIME_MS)
        self.record(SMALL, placed=40, rejected=0, now_ms=later_ms)
        self.record(LARGE, placed=4, rejected=0, now_ms=later_ms)
        self.assertFalse(self.fairness.is_underserved(ROUTE, LARGE, later_ms))

    def test_the_number_of_tracked_kinds_is_bounded(self) -> None:
        for number in range(size_fairness.MAX_ROUTES + 10):
            self.fairness.record_outcome(f"route-{number}", SMALL, 0, is_placed=True)
        self.record(SMALL, placed=40, rejected=0)
        self.record(LARGE, placed=0, rejected=4)
        self.assertTrue(self.fairness.is_underserved(ROUTE, LARGE, 0))


if __name__ == "__main__":
    unittest.main()
