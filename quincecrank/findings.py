"""Findings: mistakes in an input, each with its place, reported together.

Validators of settings files, commands and request bodies add every mistake to one
`Findings` object and continue, so that the author sees all of them at once.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """Location of a finding in an input.

    Attributes
    ----------
    source : str
        File name, or the kind of input ("command", "body", "header").
    line, column : int
        Counted from 1; 0 if not given.
    field : str
        Dotted path of the field, empty if there is none.
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
    """One mistake: its place, and a message that says what is expected or wrong."""

    place: Place
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.place}: {self.message}"


class Findings:
    """Collects findings in the order in which they are added."""

    def __init__(self) -> None:
        self._items: list[Finding] = []

    def add(self, place: Place, message: str) -> None:
        """Record one mistake."""
        self._items.append(Finding(place, message))

    def all(self) -> tuple[Finding, ...]:
        """Return the findings added so far."""
        return tuple(self._items)

    def __bool__(self) -> bool:
        """Return whether there is any finding."""
        return bool(self._items)

    def __str__(self) -> str:
        """Return one line for each finding."""
        return "\n".join(str(item) for item in self._items)
