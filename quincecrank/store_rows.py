"""Rows of the platform's store, and how calls to it fail.

Every row carries the version of the transaction that wrote it; versions come from
one counter of the whole store, so a reader that knows all rows up to a version can
ask for the changes after it.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row, or the trace of a removed one.

    Attributes
    ----------
    version : int
        Version of the transaction that wrote or removed it.
    """

    key: str
    text: str
    version: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of one table as of one moment.

    Attributes
    ----------
    version : int
        Newest version that the rows include.
    has_more : bool
        Whether there are further rows in the range that was asked for.
    """

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a conditional write.

    Attributes
    ----------
    is_applied : bool
        False if the condition did not hold; nothing was changed then.
    version : int
        Version of the written row, or of the row that stood in the way; 0 if that
        row does not exist.
    """

    is_applied: bool
    version: int
    text: str = ""


class StoreUnavailableError(Exception):
    """The store did not answer, or refused; the call had no effect."""


class OutcomeUnknownError(StoreUnavailableError):
    """A write got no answer; it may have been done, or may be done yet."""


class HistoryLostError(Exception):
    """The store no longer has the changes after the requested version."""
