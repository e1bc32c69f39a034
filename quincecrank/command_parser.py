"""Parser of the query and command language.

A text is split into statements at ``;`` and line ends, and each statement is
parsed separately, so that every statement's syntax error is reported.  A line that
ends in a comma or a colon continues on the next line.
"""

import bisect
import dataclasses
import functools
import pathlib
import re
from collections.abc import Iterator
from typing import Final

import expression
import lark
from lark import exceptions, lexer

from quincecrank import command_model, command_tree, findings, messages

SOURCE: Final = "command"
"""Name of the text in findings."""

MAX_TEXT_CHARACTERS: Final = 65_536
MAX_STATEMENTS: Final = 1_000

_KEYWORD_PRIORITY: Final = 1
_WORD_CHARACTER: Final = r'[^\s;,=:()<>!"#]'
_STATEMENT: Final = re.compile(
    r"""(?: "(?:[^"\\\n]|\\.)*"   # quoted text
          | "[^\n]*               # quoted text without its closing quote
          | \#[^\n]*              # comment
          | [,:](?:\s|\#[^\n]*)*  # continues on the next line
          | [^;\n"]
        )+""",
    re.VERBOSE,
)
_BLANK: Final = re.compile(r"(?:\s|#[^\n]*)*")
_TOKEN_AT_ERROR: Final = re.compile(rf'"(?:[^"\\\n]|\\["\\])*"|{_WORD_CHARACTER}+|.')
_DESCRIPTION_BY_TERMINAL: Final = {
    "$END": "the end of the command",
    "WORD": "a name or value",
    "STRING": "quoted text",
    "UNIT": "a unit",
    "COMPARISON": "another comparison",
}


@dataclasses.dataclass(frozen=True)
class _Statement:
    """The text of one statement and the place of its first character."""

    text: str
    line: int
    column: int

    def place(self, offset: int) -> findings.Place:
        """Return the place of the character at `offset` of the statement."""
        newlines = bisect.bisect_left(self._newlines, offset)
        if not newlines:
            return findings.Place(SOURCE, self.line, self.column + offset)
        column = offset - self._newlines[newlines - 1]
        return findings.Place(SOURCE, self.line + newlines, column)

    @functools.cached_property
    def _newlines(self) -> list[int]:
        return [i for i, character in enumerate(self.text) if character == "\n"]


def parse(
    text: str,
) -> expression.Result[command_model.ParsedText, findings.Findings]:
    """Parse a text of one query, or of one or more commands.

    Returns
    -------
    Result
        The parsed text, or the syntax errors with their places.
    """
    found = findings.Findings()
    statements = _split_and_check(text, found)
    if found:
        return expression.Error(found)
    parsed = [_parse_statement(statement, found) for statement in statements]
    complete = [item for item in parsed if item is not None]
    if found:
        return expression.Error(found)
    result = _combine(complete, found)
    if result is None or found:
        return expression.Error(found)
    return expression.Ok(result)


def _split_and_check(text: str, found: findings.Findings) -> tuple[_Statement, ...]:
    """Return the statements; findings if the text is empty, too long or invalid."""
    start = findings.Place(SOURCE, 1, 1)
    if len(text) > MAX_TEXT_CHARACTERS:
        found.add(start, f"the text is longer than {MAX_TEXT_CHARACTERS} characters")
        return ()
    if any("\ud800" <= character <= "\udfff" for character in text):
        found.add(start, "the text is not valid Unicode")
        return ()
    statements = tuple(_split(text))
    if not statements:
        found.add(start, "expected a query or a command; see `quincectl help`")
    if len(statements) > MAX_STATEMENTS:
        found.add(start, f"the text has more than {MAX_STATEMENTS} commands")
    return statements


def _split(text: str) -> Iterator[_Statement]:
    """Yield the statements of a text, without blanks and comments before them."""
    line = 1
    scanned = 0
    for match in _STATEMENT.finditer(text):
        blank = _BLANK.match(text, match.start(), match.end())
        start = blank.end() if blank else match.start()
        line += text.count("\n", scanned, start)
        scanned = start
        column = start - text.rfind("\n", 0, start)
        if start < match.end():
            yield _Statement(text[start : match.end()], line, column)


def _parse_statement(
    statement: _Statement, found: findings.Findings
) -> command_tree.ParsedStatement | None:
    language = _language()
    try:
        tree = language.parser.parse(statement.text)
    except exceptions.UnexpectedInput as error:
        _add_syntax_error(statement, error, language, found)
        return None
    return command_tree.build(tree, statement.place, found)


def _combine(
    statements: list[command_tree.ParsedStatement], found: findings.Findings
) -> command_model.ParsedText | None:
    """Combine the statements of a text; those that may not be combined are findings."""
    first, *others = statements
    for other in others:
        if other.version is not None:
            message = "`at version` must come before the first command"
            found.add(other.version.place, message)
    if isinstance(first.body, command_model.QUERY_TYPES):
        if others:
            found.add(others[0].place, "a query stands alone; send one text for each")
        if first.version is not None:
            found.add(first.version.place, "a query names no version")
        return command_model.QueryText(first.body)
    commands = [first.body]
    for other in others:
        if isinstance(other.body, command_model.QUERY_TYPES):
            found.add(other.place, "a query cannot stand among commands")
        else:
            commands.append(other.body)
    return command_model.CommandText(tuple(commands), first.decided_on)


@dataclasses.dataclass(frozen=True)
class _Language:
    """The parser and the description of each terminal in error messages."""

    parser: lark.Lark
    description_by_terminal: dict[str, str]


@functools.cache
def _language() -> _Language:
    """Load the grammar; its keywords become complete, case-insensitive words."""
    descriptions = dict(_DESCRIPTION_BY_TERMINAL)

    def edit_terminal(terminal: lexer.TerminalDef) -> None:
        value = terminal.pattern.value
        if not isinstance(terminal.pattern, lexer.PatternStr):
            return
        descriptions[terminal.name] = f"`{value}`"
        if value[0].isalpha():
            whole_word = f"{re.escape(value)}(?!{_WORD_CHARACTER})"
            terminal.pattern = lexer.PatternRE(whole_word, flags=("i",))
            terminal.priority = _KEYWORD_PRIORITY

    grammar = pathlib.Path(__file__).with_name("command_grammar.lark")
    parser = lark.Lark(
        grammar.read_text(encoding="utf-8"),
        parser="lalr",
        lexer="contextual",
        maybe_placeholders=False,
        edit_terminals=edit_terminal,
    )
    return _Language(parser, descriptions)


def _add_syntax_error(
    statement: _Statement,
    error: exceptions.UnexpectedInput,
    language: _Language,
    found: findings.Findings,
) -> None:
    offset = _error_offset(statement, error)
    shown = _TOKEN_AT_ERROR.match(statement.text, offset)
    expected = _expected_terminals(error)
    described = [language.description_by_terminal.get(t, t) for t in expected]
    alternatives = messages.alternatives(described)
    place = statement.place(offset)
    if shown is None:
        found.add(place, f"the command ends early; expected {alternatives}")
    elif shown[0] == '"':
        message = 'the quoted text is not closed; in it, write \\" and \\\\'
        found.add(place, message)
    else:
        keywords = [d.strip("`") for d in described if d.startswith("`")]
        hint = messages.suggestion(shown[0].lower(), keywords)
        found.add(place, f"unexpected {shown[0]!r}; expected {alternatives}{hint}")


def _error_offset(statement: _Statement, error: exceptions.UnexpectedInput) -> int:
    """Return the offset of an error; the end of the statement if it is incomplete."""
    at_end = isinstance(error, exceptions.UnexpectedToken) and (
        error.token.type == "$END"
    )
    position: int | None = getattr(error, "pos_in_stream", None)
    if at_end or position is None:
        return len(statement.text.rstrip())
    return position


def _expected_terminals(error: exceptions.UnexpectedInput) -> set[str]:
    if isinstance(error, exceptions.UnexpectedToken):
        return set(error.accepts or error.expected)
    if isinstance(error, exceptions.UnexpectedCharacters):
        return set(error.allowed or ())
    return set()
