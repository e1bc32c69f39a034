"""Tables of the platform's store, as gateways use them.

Every row carries the version of the transaction that wrote it; versions come from
one counter of the whole store, so a reader that knows all rows up to a version
asks for the changes after it.
"""

import dataclasses
import enum
from typing import Protocol


class TableName(enum.Enum):
    """Tables that gateways read or write."""

    OPERATOR = "operator"
    SERVERS = "servers"
    MEMBERS = "members"


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
    """

    rows: tuple[Row, ...]
    version: int


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


class TableSource(Protocol):
    """Reads tables; all calls may raise `StoreUnavailableError`."""

    async def read_all(self, table: TableName) -> Rows:
        """Return all rows of a table."""

    async def changes(self, table: TableName, after: int, wait_ms: int) -> Rows:
        """Return the rows changed after a version, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes.
        """


class TableStore(TableSource, Protocol):
    """Reads and writes tables."""

    async def write(
        self, table: TableName, key: str, text: str, expected_version: int | None
    ) -> WriteResult:
        """Write a row; only if it has the expected version, unless that is None.

        An expected version of 0 stands for a row that doesn't exist.

        Raises
        ------
        OutcomeUnknownError
            If the write may have been done, or may be done yet.
        """
