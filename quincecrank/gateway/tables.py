"""Tables of the platform's store, as gateways use them."""

import enum
from typing import Protocol

from quincecrank import store_rows


class TableName(enum.Enum):
    """Tables that gateways read or write."""

    OPERATOR = "operator"
    SERVERS = "servers"
    MEMBERS = "members"


class TableSource(Protocol):
    """Reads tables; all calls may raise `StoreUnavailableError`."""

    async def read_all(self, table: TableName) -> store_rows.Rows:
        """Return all rows of a table."""

    async def changes(
        self, table: TableName, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes, or never had the position because
            it was restored from a copy.
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
        """Write a row; only if it has the expected position, unless that is None.

        An expected version of 0 stands for a row that doesn't exist.

        Raises
        ------
        OutcomeUnknownError
            If the write may have been done, or may be done yet.
        """
