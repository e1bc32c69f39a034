"""Interface of the gateways to the tables of the platform's store."""

import enum
from typing import Protocol

from quincecrank import store_rows


class TableName(enum.Enum):
    """Tables that gateways read or write."""

    OPERATOR = "operator"
    SERVERS = "servers"
    MEMBERS = "members"
    STREAMS = "streams"


class TableSource(Protocol):
    """Reads tables; all calls may raise `StoreUnavailableError`."""

    async def read_all(self, table: TableName) -> store_rows.Rows:
        """Return all rows of a table."""

    async def changes(
        self, table: TableName, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position.

        Waits up to `wait_ms` for the first change.

        Raises
        ------
        HistoryUnavailableError
            If the store no longer has the changes, or does not have the position
            because it was restored from a snapshot.
        """


class TableStore(TableSource, Protocol):
    """Reads and writes tables."""

    async def write(
        self,
        table: TableName,
        key: str,
        text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write a row.

        With an `expected` position, the row is written only if it has that position.
        An expected version of 0 stands for a row that doesn't exist.

        Raises
        ------
        OutcomeUnknownError
            If the write may have been done, or may still be done later.
        """
