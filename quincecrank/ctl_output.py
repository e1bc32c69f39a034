"""Formats the answers and problems that `quincectl` prints as text."""

from collections.abc import Sequence
from typing import Final

from quincecrank import admin_messages, command_parser, command_queries

_GAP: Final = "  "


def answer(reply: admin_messages.CommandAnswer) -> str:
    """Return an answer as text."""
    lines = table(reply.table)
    count = len(reply.table.rows)
    rows = "1 row" if count == 1 else f"{count} rows"
    lines.append(f"({rows}, version {reply.version})")
    for key in reply.created_keys:
        lines.append(f"key {key.key_id} of {key.account}: {key.key}")
    if reply.created_keys:
        lines.append("Keys are shown once; only their digests are kept.")
    return "\n".join(lines)


def table(body: admin_messages.TableBody) -> list[str]:
    """Return a table as lines of text; numeric columns are right-aligned."""
    cells = [[_format_cell(cell) for cell in row] for row in body.rows]
    widths = [
        max([len(column), *(len(row[index]) for row in cells)])
        for index, column in enumerate(body.columns)
    ]
    numeric = [
        bool(body.rows) and all(_is_number(row[index]) for row in body.rows)
        for index in range(len(body.columns))
    ]
    rule = ["-" * width for width in widths]
    lines = [list(body.columns), rule, *cells]
    return [_align(line, widths, numeric) for line in lines]


def problem(body: admin_messages.ProblemBody, source: str) -> str:
    """Return a problem as text.

    Parameters
    ----------
    body : ProblemBody
        The problem document that the server sent.
    source : str
        Name of the text in the findings: a file name, or ``command``.
    """
    lines = [f"{body.title}: {body.detail} ({body.ran})"]
    server_source = command_parser.SOURCE + ":"
    for finding in body.findings:
        local = finding.removeprefix(server_source)
        lines.append(f"{source}:{local}" if local != finding else finding)
    for change in body.changes:
        command = _printable(change.command)
        lines.append(
            f"version {change.version}, {change.time}, {change.operator}: {command}"
        )
    if body.retry_after_ms:
        lines.append(f"Try again after {body.retry_after_ms} ms.")
    return "\n".join(lines)


def _align(line: Sequence[str], widths: list[int], numeric: list[bool]) -> str:
    parts = [
        text.rjust(width) if right else text.ljust(width)
        for text, width, right in zip(line, widths, numeric, strict=True)
    ]
    return _GAP.join(parts).rstrip()


def _is_number(cell: command_queries.Cell) -> bool:
    return isinstance(cell, int | float) and not isinstance(cell, bool)


def _format_cell(cell: command_queries.Cell) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    if isinstance(cell, tuple):
        return ", ".join(_printable(item) for item in cell) or "-"
    return _printable(str(cell)) or "-"


def _printable(text: str) -> str:
    """Replace control characters, which a terminal may obey; join lines with ``; ``."""
    joined = "; ".join(line.strip() for line in text.splitlines() if line.strip())
    return "".join(
        c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in joined
    )
