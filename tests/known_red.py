"""The list of tests that are known to fail because of a fault not fixed yet.

`KNOWN-RED.txt` has one entry for each test, separated by blank lines: `test`, `command`
(with its seed), `seen` and `issue`, each on its own line.
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
        Dotted name of the test, starting with `tests`.
    command : str
        Command that showed the failure, with its seed.
    seen : str
        Observed failure.
    issue : str
        Number of the issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> tuple[KnownRed, ...]:
    """Parse the text of a list.

    Raises
    ------
    ValueError
        If an entry lacks a field or has an additional one, or a test is listed twice.
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
    """Return the entries of the list at `path`, none if the file does not exist."""
    return parse(path.read_text()) if path.exists() else ()


def find(entries: tuple[KnownRed, ...], test_id: str) -> KnownRed | None:
    """Return the entry of a test or of a subtest's test, None if it is not listed."""
    name = test_id.partition(" ")[0]
    return next((entry for entry in entries if entry.test == name), None)
