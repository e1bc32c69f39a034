"""Rows of the platform's store, and how calls to it fail.

Every row carries the position of the transaction that wrote it, so a reader that
knows all rows up to a position can ask for the changes after it.

Terms
-----
version
    Number of a transaction, from one counter of the whole store.
era
    Number of the store's restores from a copy.  A restore undoes the transactions
    that the copy lacks and gives their versions out again, so versions are only
    comparable within one era.
"""

import dataclasses
from typing import Final

FIRST_ERA: Final = 0
"""Era of a store that does not name one."""

MAX_ERA: Final = 8_191
"""Highest era that is believed: a restore a day for 22 years."""

_VERSION_BITS: Final = 40
"""Bits of a position's number below the era: a thousand transactions a second for 34
years.  With those of the era it stays exact where numbers are floats."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the history of the store: first by era, then by version.

    Version 0 of any era stands for nothing, or for a row that does not exist.
    """

    era: int
    version: int

    @property
    def number(self) -> int:
        """One whole number that orders positions as they are, below 2 ** 53."""
        return (self.era << _VERSION_BITS) + self.version

    @classmethod
    def of_number(cls, number: int) -> "Position":
        """Return the position that `number` stands for."""
        era, version = divmod(number, 1 << _VERSION_BITS)
        return cls(era, version)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row, or the trace of a removed one.

    Attributes
    ----------
    position : Position
        Transaction that wrote or removed it.
    """

    key: str
    text: str
    position: Position
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of one table as of one moment.

    Attributes
    ----------
    position : Position
        Newest transaction that the rows include.
    has_more : bool
        Whether there are further rows in the range that was asked for.
    """

    rows: tuple[Row, ...]
    position: Position
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a conditional write.

    Attributes
    ----------
    is_applied : bool
        False if the condition did not hold; nothing was changed then.
    position : Position
        Position of the written row, or of the row that stood in the way, whose
        version is 0 if it does not exist.  The era is that of the answer, which may
        be later than the one in which the condition was taken.
    """

    is_applied: bool
    position: Position
    text: str = ""


class StoreUnavailableError(Exception):
    """The store did not answer, or refused; the call had no effect."""


class OutcomeUnknownError(StoreUnavailableError):
    """A write got no answer; it may have been done, or may be done yet."""


class HistoryLostError(Exception):
    """The store no longer has the changes after the requested version."""
