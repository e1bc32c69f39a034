"""Tests of the shares of prompts by size."""

import unittest

from quincecrank.gateway import size_shares

KIND = "review"
SMALL = 900
LARGE = 40_000


class SizeSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = size_shares.SizeShares()

    def end(self, tokens: int, *, placed: int, refused: int, now_ms: int = 0) -> None:
        for is_placed in [True] * placed + [False] * refused:
            self.shares.ended(KIND, tokens, now_ms, is_placed=is_placed)

    def test_a_size_that_is_refused_more_often_is_owed_places(self) -> None:
        self.end(SMALL, placed=40, refused=10)
        self.end(LARGE, placed=2, refused=4)
        self.assertTrue(self.shares.is_owed(KIND, LARGE, 0))
        self.assertFalse(self.shares.is_owed(KIND, SMALL, 0))

    def test_sizes_that_are_served_alike_are_owed_nothing(self) -> None:
        self.end(SMALL, placed=20, refused=20)
        self.end(LARGE, placed=4, refused=4)
        self.assertFalse(self.shares.is_owed(KIND, LARGE, 0))

    def test_few_requests_show_nothing(self) -> None:
        self.end(SMALL, placed=40, refused=0)
        self.end(LARGE, placed=0, refused=2)
        self.assertFalse(self.shares.is_owed(KIND, LARGE, 0))

    def test_other_kinds_do_not_count(self) -> None:
        self.end(LARGE, placed=0, refused=9)
        self.shares.ended("note", SMALL, 0, is_placed=True)
        self.assertFalse(self.shares.is_owed(KIND, LARGE, 0))
        self.assertFalse(self.shares.is_owed("note", SMALL, 0))

    def test_what_is_long_past_counts_less(self) -> None:
        self.end(SMALL, placed=40, refused=0)
        self.end(LARGE, placed=0, refused=4)
        later_ms = int(3 * size_shares.MEMORY_MS)
        self.end(SMALL, placed=40, refused=0, now_ms=later_ms)
        self.end(LARGE, placed=4, refused=0, now_ms=later_ms)
        self.assertFalse(self.shares.is_owed(KIND, LARGE, later_ms))

    def test_kinds_that_come_and_go_do_not_fill_memory(self) -> None:
        for number in range(size_shares.MAX_KINDS + 10):
            self.shares.ended(f"route-{number}", SMALL, 0, is_placed=True)
        self.end(SMALL, placed=40, refused=0)
        self.end(LARGE, placed=0, refused=4)
        self.assertTrue(self.shares.is_owed(KIND, LARGE, 0))


if __name__ == "__main__":
    unittest.main()
