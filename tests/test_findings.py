"""Tests that findings are printed with their place, in the order of their addition."""

import unittest

from quincecrank import findings


class FindingsTest(unittest.TestCase):
    def test_place_is_printed_without_its_empty_parts(self) -> None:
        cases = {
            "a.yaml:3:7: tls.key": findings.Place("a.yaml", 3, 7, "tls.key"),
            "command:1:4": findings.Place("command", 1, 4),
            "body: model": findings.Place("body", field="model"),
        }
        for expected, place in cases.items():
            with self.subTest(expected):
                self.assertEqual(str(place), expected)

    def test_findings_are_returned_in_the_order_of_addition(self) -> None:
        collected = findings.Findings()
        self.assertFalse(collected)
        collected.add(findings.Place("a", 1), "first")
        collected.add(findings.Place("a", 2), "second")
        self.assertTrue(collected)
        self.assertEqual(str(collected), "a:1: first\na:2: second")
