"""The list of tests that fail for a real fault which is not mended yet.

`KNOWN-RED.txt` has one entry for each, divided by blank lines: `test`, `command`
(with its seed), `seen` and `issue`, each on a line of its own.
"""

import dataclasses
import pathlib
from typing import Final

PATH: Final = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclasses.dataclass(frozen=True)
class KnownRed:
    """One test that is known to fail.

    Attributes
    ----------
    test : str
        Dotted name of the test, from `tests` on.
    command : str
        How to see the failure, with its seed.
    seen : str
        What was seen.
    issue : str
        Number of the issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> tuple[KnownRed, ...]:
    """Return the entries of a list.

    Raises
    ------
    ValueError
        If an entry lacks a field, has one too many, or is listed twice.
    """
    entries = []
    for paragraph in text.strip().split("\n\n"):
        if not paragraph.strip():
            continue
        pairs = [line.partition(":") for line in paragraph.strip().splitlines()]
        fields = {name.strip(): value.strip() for name, _, value in pairs}
        known = {field.name for field in dataclasses.fields(KnownRed)}
        if set(fields) != known or len(pairs) != len(known) or not all(fields.values()):
            raise ValueError(f"expected the lines {sorted(known)} in: {paragraph!r}")
        entries.append(KnownRed(**fields))
    if len({entry.test for entry in entries}) != len(entries):
        raise ValueError("a test is listed twice")
    return tuple(entries)


def read(path: pathlib.Path = PATH) -> tuple[KnownRed, ...]:
    """Return the entries of the list at `path`, none when there is no list."""
    return parse(path.read_text()) if path.exists() else ()


def find(entries: tuple[KnownRed, ...], test_id: str) -> KnownRed | None:
    """Return the entry of a test, or of the test that a subtest belongs to."""
    name = test_id.partition(" ")[0]
    return next((entry for entry in entries if entry.test == name), None)
