"""The tables of gateways in the platform's store."""

from typing import Final

from quincecrank import store_rows
from quincecrank.gateway import tables
from quincecrank.platform import names, store

_WIRE_NAME_BY_TABLE: Final = {
    tables.TableName.OPERATOR: names.OPERATOR_TABLE,
    tables.TableName.SERVERS: names.SERVERS_TABLE,
    tables.TableName.MEMBERS: "gateways",
}


class GatewayTables:
    """Implementation of `tables.TableStore`."""

    def __init__(self, client: store.PlatformStore) -> None:
        self._store = client

    async def read_all(self, table: tables.TableName) -> store_rows.Rows:
        """Return all rows of a table.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer, or was restored from a copy between pages.
        """
        rows: list[store_rows.Row] = []
        start: store_rows.Position | None = None
        first_key = ""
        while True:
            page = await self._store.read(_WIRE_NAME_BY_TABLE[table], first=first_key)
            # Later pages may be newer; changes are asked for after the first one.
            if start is None:
                start = page.position
            elif page.position.era != start.era:
                raise store_rows.StoreUnavailableError("restored between two pages")
            rows += page.rows
            if not page.has_more:
                return store_rows.Rows(tuple(rows), start)
            first_key = rows[-1].key + "\0"

    async def changes(
        self, table: tables.TableName, after: store_rows.Position, wait_ms: int
    ) -> store_rows.Rows:
        """Return the rows changed after a position, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes, or was restored from a copy.
        """
        return await self._store.changes(_WIRE_NAME_BY_TABLE[table], after, wait_ms)

    async def write(
        self,
        table: tables.TableName,
        key: str,
        text: str,
        expected: store_rows.Position | None,
    ) -> store_rows.WriteResult:
        """Write a row; only if it has the expected position, unless that is None."""
        place = store.Place(_WIRE_NAME_BY_TABLE[table], key)
        return await self._store.write(place, text, expected)
