"""Access to the tables that gateways use in the platform's store."""

from typing import Final

from quincecrank import store_rows
from quincecrank.gateway import tables
from quincecrank.platform import names, store

_WIRE_NAME_BY_TABLE: Final = {
    tables.TableName.OPERATOR: names.OPERATOR_TABLE,
    tables.TableName.SERVERS: names.SERVERS_TABLE,
    tables.TableName.MEMBERS: "gateways",
    tables.TableName.STREAMS: "streams",
}


class GatewayTables:
    """`tables.TableStore` in the platform's store."""

    def __init__(self, client: store.PlatformStore) -> None:
        self._store = client

    async def read_all(self, table: tables.TableName) -> store_rows.Rows:
        """Return all rows of a table, read page by page.

        The position is that of the first page, so the changes after it include every
        change that later pages may have missed.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer, or was restored from a snapshot between pages.
        """
        rows: list[store_rows.Row] = []
        start: store_rows.Position | None = None
        first_key = ""
        while True:
            page = await self._store.read(_WIRE_NAME_BY_TABLE[table], first=first_key)
            # Later pages may be newer; the first one's position misses no change.
            if start is None:
                start = page.position
            elif page.position.era != start.era:
                raise store_rows.StoreUnavailableError("restored between two pages")
            rows += page.rows
            if not page.has_more:
                return store_rows.Rows(
                    tuple(rows), start, store_now_ms=page.store_now_ms
                )
            first_key = rows[-1].key + "\0"

    async def changes(
        self, table: tables.TableName, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position.

        The store waits up to `wait_ms` for the first change.

        Raises
        ------
        HistoryUnavailableError
            If the store no longer has the changes, or was restored from a snapshot.
        StoreUnavailableError
            If the store gave no valid answer.
        """
        return await self._store.changes(_WIRE_NAME_BY_TABLE[table], after, wait_ms)

    async def write(
        self,
        table: tables.TableName,
        key: str,
        text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write a row if its position is `expected`; unconditionally if that is None.

        Raises
        ------
        StoreUnavailableError
            If the row was not written.
        OutcomeUnknownError
            If the row may have been written or may still be.
        """
        address = store.RowAddress(_WIRE_NAME_BY_TABLE[table], key)
        return await self._store.write(address, text, expected)
