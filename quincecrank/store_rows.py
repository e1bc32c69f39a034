"""Rows and positions of the platform's store, and the errors of calls to it.

Every row carries the position of the transaction that wrote it, so a reader that
has all rows up to a position can ask for the changes after it.

Terms
-----
version
    Number of a transaction, from one counter for the entire store.
era
    Number of times that the store was restored from a snapshot.  A restore undoes the
    transactions that the snapshot lacks and reuses their versions, so versions are
    only comparable within one era.
position
    Era and version of a transaction.
"""

import dataclasses
from typing import Final

FIRST_ERA: Final = 0
"""Era of a store whose answers name none."""

MAX_ERA: Final = 8_191
"""Highest era that is accepted; enough for one restore a day for 22 years."""

_VERSION_BITS: Final = 40
"""Bits of `Position.number` that hold the version: enough for a thousand transactions
a second for 34 years.  With the bits of the era the number stays below 2 ** 53, so it
is exact as a float."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Era and version of a transaction of the store, ordered by era, then version.

    Version 0 of any era precedes all transactions, or stands for a missing row.
    """

    era: int
    version: int

    @property
    def number(self) -> int:
        """Integer below 2 ** 53 that preserves the order of positions."""
        return (self.era << _VERSION_BITS) + self.version

    @classmethod
    def from_number(cls, number: int) -> "Position":
        """Return the position whose `number` is the given one."""
        era, version = divmod(number, 1 << _VERSION_BITS)
        return cls(era, version)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row, or the tombstone of a removed one.

    Attributes
    ----------
    position : Position
        Transaction that wrote or removed the row.
    """

    key: str
    text: str
    position: Position
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of one table, as read or as changed.

    Attributes
    ----------
    position : Position
        Newest transaction that the rows reflect.
    has_more : bool
        Whether the requested range has further rows.
    store_now_ms : int or None
        Time of the answer on the store's clock; None if it names none, or if the rows
        are not an answer of the store.
    last_change : Position or None
        Position of the last significant change, if the rows are those of a gateway.
    """

    rows: tuple[Row, ...]
    position: Position
    has_more: bool = False
    store_now_ms: int | None = None
    last_change: Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a conditional write.

    Attributes
    ----------
    is_applied : bool
        False if the condition did not hold; then nothing was changed.
    position : Position
        Position of the written row, or of the conflicting row; its version is 0 if
        no such row exists.  The era is that of the answer, which may be later than
        the era of the expected position.
    text : str
        Text of the conflicting row; empty after a write that was applied.
    """

    is_applied: bool
    position: Position
    text: str = ""


class StoreUnavailableError(Exception):
    """The store gave no valid answer, or refused.

    The call had no effect, unless the error is an `OutcomeUnknownError`.
    """


class OutcomeUnknownError(StoreUnavailableError):
    """A write got no valid answer; it may have been done or may still be done."""


class HistoryUnavailableError(Exception):
    """The store cannot return the changes after the requested position."""
