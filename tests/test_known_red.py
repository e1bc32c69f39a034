"""Tests of the list of tests that are known to fail."""

import pathlib
import unittest

from tests import known_red

ENTRY = """\
test: tests.process_a.ATest.test_b
command: make failures, seed 1
seen: two of two: gone
issue: 4
"""


class KnownRedTest(unittest.TestCase):
    def test_entries_are_found_by_test_id(self) -> None:
        second = ENTRY.replace("test_b", "test_c")
        entries = known_red.parse(f"{ENTRY}\n{second}")
        self.assertEqual(len(entries), 2)
        self.assertEqual(entries[0].seen, "two of two: gone")
        cases = {
            "tests.process_a.ATest.test_b": entries[0],
            "tests.process_a.ATest.test_b (seed='1')": entries[0],
            "tests.process_a.ATest.test_c": entries[1],
            "tests.process_a.ATest.test_bc": None,
        }
        for test_id, expected in cases.items():
            with self.subTest(test_id):
                self.assertEqual(known_red.find(entries, test_id), expected)

    def test_invalid_lists_are_rejected(self) -> None:
        for text in (ENTRY.replace("issue: 4", ""), f"{ENTRY}\n{ENTRY}", "test: x"):
            with self.subTest(text), self.assertRaises(ValueError):
                known_red.parse(text)

    def test_missing_and_empty_lists_have_no_entries(self) -> None:
        self.assertEqual(known_red.read(pathlib.Path("no-such-list.txt")), ())
        self.assertEqual(known_red.parse("\n"), ())
