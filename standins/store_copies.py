"""Copies of the stand-in store's rows, and what a restore from one undoes."""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Final

KEPT_MS: Final = 60_000
"""Age up to which the state of the store can be restored."""

Place = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row, or the tombstone of one, whose value is None."""

    place: Place
    value: str | None
    version: int

    def document(self) -> dict[str, object]:
        """Return the row as it is answered."""
        table, part, key = self.place
        document: dict[str, object] = {
            "table": table,
            "part": part,
            "key": key,
            "rowVersion": self.version,
        }
        if self.value is None:
            return {**document, "tombstone": True}
        return {**document, "value": self.value}


@dataclasses.dataclass(frozen=True)
class Copy:
    """All rows as of one moment."""

    version: int
    row_by_place: Mapping[Place, StoredRow]


EMPTY: Final = Copy(0, {})


class CopyHistory:
    """Copies taken after each transaction, as long as they are young enough."""

    def __init__(self) -> None:
        self._copies: collections.deque[tuple[int, Copy]] = collections.deque()

    def add(self, copy: Copy, now_ms: int) -> None:
        """Keep a copy; the newest of those that are too old stays, too."""
        self._copies.append((now_ms, copy))
        while len(self._copies) > 1 and self._copies[1][0] < now_ms - KEPT_MS:
            self._copies.popleft()

    def as_of(self, at_ms: int) -> Copy:
        """Return the rows as they were at a time."""
        found = EMPTY
        for taken_ms, copy in self._copies:
            if taken_ms > at_ms:
                break
            found = copy
        return found

    def restart(self, copy: Copy, now_ms: int) -> None:
        """Begin anew with a copy that was restored."""
        self._copies.clear()
        self.add(copy, now_ms)


def lost_rows(
    before: Mapping[Place, StoredRow], copy: Copy, table: str
) -> tuple[StoredRow, ...]:
    """Return the rows of a table that a restore of `copy` loses or sets back."""
    return tuple(
        row
        for place, row in before.items()
        if place[0] == table
        and row.value is not None
        and getattr(copy.row_by_place.get(place), "value", None) != row.value
    )
