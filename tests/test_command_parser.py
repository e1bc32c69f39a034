"""Tests of the command language's parser.

They guard against syntax errors without a usable place or expectation, errors that
hide others, and texts that make the parser raise an exception.
"""

import unittest

import hypothesis
from hypothesis import strategies

from quincecrank import command_model, command_parser

WORDS = (
    "create change account deployment tier show accounts where = and order by desc "
    "limit set , ; key for of on to kind model stores link 10 MB/s at version 7 : "
    '( ) "a b" " \\ # > != \n \x00 ünï route POST /a idempotent yes drain revoke'
).split(" ")


class CommandParserTest(unittest.TestCase):
    def test_syntax_errors_report_place_and_expected_tokens(self) -> None:
        cases = (
            ("", "1:1: expected a query or a command"),
            ("create accuont x", "1:8: unexpected 'accuont'; expected `account`, `ada"),
            ("create accuont x", "did you mean 'account'?"),
            ("show", "1:5: the command ends early; expected `account`, `accounts`"),
            ("show accounts limits 3", "1:15: unexpected 'limits'; expected `limit`"),
            ("drain a\n\n  drain", "3:8: the command ends early; expected a name"),
            ("drain a; b c", "1:10: unexpected 'b'"),
            ('create account "x', "1:16: the quoted text is not closed"),
            ("change tier t set\nlink = 3", "1:18: the command ends early"),
            ("change tier t set a = 1,\n  b ? 3", "2:5: unexpected '?'; expected `=`"),
            ("drain a; at version 3: drain b", "1:21: `at version` must come before"),
            ("at version x: drain a", "1:12: 'x' is not a configuration version"),
            ("at version 3: show vms", "1:12: a query names no version"),
            ("show vms; show agents", "1:11: a query stands alone"),
            ("drain a; show vms", "1:10: a query cannot stand among commands"),
            ("drain \ud800", "1:1: the text is not valid Unicode"),
            ("drain a;" * 2_000, "1:1: the text has more than 1000 commands"),
        )
        for text, expected in cases:
            with self.subTest(text[:30]):
                found = str(command_parser.parse(text).error)
                self.assertIn(expected, found)

    def test_syntax_errors_of_all_statements_are_reported(self) -> None:
        result = command_parser.parse("drain\nundrain a\ncreate b; roll c")
        lines = [(f.place.line, f.place.column) for f in result.error.all()]
        self.assertEqual(lines, [(1, 6), (3, 8), (3, 17)])

    def test_parsed_commands_have_types_places_and_version(self) -> None:
        text = 'AT version 7:\n# why\nCreate Account "set" Share 2; drain vm-1 # now\n'
        parsed = command_parser.parse(text).ok
        assert isinstance(parsed, command_model.CommandText)
        create, drain = parsed.commands
        assert isinstance(create, command_model.CreateAccount)
        self.assertEqual(parsed.decided_on, 7)
        self.assertEqual(create.name.text, "set")
        self.assertEqual(create.options[0].field.text, "share")
        self.assertEqual((create.name.place.line, create.name.place.column), (3, 16))
        self.assertIsInstance(drain, command_model.DrainVm)

    @hypothesis.seed(2)
    @hypothesis.settings(max_examples=400, deadline=None, database=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.text(max_size=60),
            strategies.lists(strategies.sampled_from(WORDS)).map(" ".join),
        )
    )
    def test_parser_never_raises(self, text: str) -> None:
        result = command_parser.parse(text)
        if result.is_error():
            self.assertTrue(result.error)
