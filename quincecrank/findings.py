"""Findings: mistakes in an input, each with its place, reported together.

Checks of settings files, command texts and request bodies add to one `Findings`
object and go on, so that the author sees every mistake in one run.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """Where in an input a finding was made.

    Attributes
    ----------
    source : str
        File name, or what the input is called ("command", "body").
    line, column : int
        Counted from 1; 0 when the input has no lines or columns.
    field : str
        Dotted path of the field, empty when there is none.
    """

    source: str
    line: int = 0
    column: int = 0
    field: str = ""

    def __str__(self) -> str:
        """Return `source:line:column: field` without the empty parts."""
        numbers = "".join(f":{n}" for n in (self.line, self.column) if n)
        return f"{self.source}{numbers}" + (f": {self.field}" if self.field else "")


@dataclasses.dataclass(frozen=True)
class Finding:
    """One mistake: its place and a message that says what is expected."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.place}: {self.message}"


class Findings:
    """Collects findings in the order in which they were made."""

    def __init__(self) -> None:
        self._items: list[Finding] = []

    def add(self, place: Place, message: str) -> None:
        """Record one mistake."""
        self._items.append(Finding(place, message))

    def all(self) -> tuple[Finding, ...]:
        """Return the findings made so far."""
        return tuple(self._items)

    def __bool__(self) -> bool:
        """Tell whether any finding was made."""
        return bool(self._items)

    def __str__(self) -> str:
        """Return one line for each finding."""
        return "\n".join(str(item) for item in self._items)
