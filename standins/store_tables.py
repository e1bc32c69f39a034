"""Rows of the stand-in store, snapshots of all rows, and restores from them.

A row is addressed by table, part and key; the rows of a part can change together in
one transaction.  A restore returns to an older snapshot and undoes the rows written
since.
"""

import base64
import collections
import dataclasses
from collections.abc import Mapping
from typing import Any, Final

SNAPSHOT_RETENTION_MS: Final = 60_000
"""Greatest age of a state that the store can be restored to."""

MAX_TRANSACTION_ITEMS: Final = 100
MAX_PAGE_ROWS: Final = 500
OPERATOR_TABLE: Final = "op"

Document = dict[str, Any]
RowAddress = tuple[str, str, str]


class CallError(Exception):
    """A call that is answered with an error.

    Attributes
    ----------
    status : int
        HTTP status.
    document : dict
        JSON object of the answer.
    """

    def __init__(self, status: int, document: Document | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.document = document or {}


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row, or the tombstone of a removed row, which has the value None."""

    address: RowAddress
    value: str | None
    version: int

    def document(self) -> dict[str, object]:
        """Return the row as a JSON object of the store's protocol."""
        table, part, key = self.address
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
class Snapshot:
    """Snapshot of all rows and tombstones at one version."""

    version: int
    row_by_address: Mapping[RowAddress, StoredRow]


EMPTY_SNAPSHOT: Final = Snapshot(0, {})


class SnapshotHistory:
    """Snapshots taken after each transaction, retained for `SNAPSHOT_RETENTION_MS`."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[tuple[int, Snapshot]] = collections.deque()

    def add(self, snapshot: Snapshot, now_ms: int) -> None:
        """Record a snapshot and remove expired ones.

        The newest expired one is retained: it is the state at the age limit.
        """
        self._snapshots.append((now_ms, snapshot))
        while (
            len(self._snapshots) > 1
            and self._snapshots[1][0] < now_ms - SNAPSHOT_RETENTION_MS
        ):
            self._snapshots.popleft()

    def as_of(self, at_ms: int) -> Snapshot:
        """Return the newest snapshot taken up to `at_ms`, or the empty one."""
        found = EMPTY_SNAPSHOT
        for taken_ms, snapshot in self._snapshots:
            if taken_ms > at_ms:
                break
            found = snapshot
        return found

    def reset(self, snapshot: Snapshot, now_ms: int) -> None:
        """Replace the history by a snapshot that was restored."""
        self._snapshots.clear()
        self.add(snapshot, now_ms)


def rows_undone_by(
    before: Mapping[RowAddress, StoredRow], snapshot: Snapshot, table: str
) -> tuple[StoredRow, ...]:
    """Return the rows of a table that a restore of `snapshot` removes or reverts."""
    return tuple(
        row
        for address, row in before.items()
        if address[0] == table
        and row.value is not None
        and getattr(snapshot.row_by_address.get(address), "value", None) != row.value
    )


class Tables:
    """All rows and tombstones, and the version of the last transaction."""

    def __init__(self) -> None:
        self.version = 0
        self._row_by_address: dict[RowAddress, StoredRow] = {}

    def snapshot(self) -> Snapshot:
        """Return a snapshot of all rows."""
        return Snapshot(self.version, dict(self._row_by_address))

    def restore(self, snapshot: Snapshot) -> tuple[StoredRow, ...]:
        """Restore a snapshot; return the operator's rows that it removes or reverts."""
        undone = rows_undone_by(self._row_by_address, snapshot, OPERATOR_TABLE)
        self.version = snapshot.version
        self._row_by_address = dict(snapshot.row_by_address)
        return undone

    def transact(self, document: Document) -> Document:
        """Apply a transaction completely and return its version.

        Raises
        ------
        CallError
            400 for too many items or items of several parts; 412, with the current
            rows, if a row does not have its expected version; 0 expects no row.
        ValueError
            If a value is not base64.  None of these has an effect.
        """
        expected, put, remove = (
            document.get(name) or [] for name in ("expected", "put", "remove")
        )
        items = [*expected, *put, *remove]
        if (
            len(items) > MAX_TRANSACTION_ITEMS
            or len({each["part"] for each in items}) > 1
        ):
            raise CallError(400)
        for each in put:
            base64.b64decode(each["value"], validate=True)
        unmet = [
            each for each in expected if self._version_of(each) != each["rowVersion"]
        ]
        if unmet:
            raise CallError(412, {"rows": self._existing_rows(expected)})
        self.version += 1
        for each in put:
            self._write(_address_of(each), each["value"])
        for each in remove:
            self._write(_address_of(each), None)
        return {"rowVersion": self.version}

    def get(self, table: str, part: str, first: str, end: str, limit: int) -> Document:
        """Return up to `limit` rows of one part in key order.

        Parameters
        ----------
        first, end : str
            Range of keys, `end` excluded; an empty `end` sets no upper bound.
        """
        found = sorted(
            (
                row
                for (in_table, in_part, key), row in self._row_by_address.items()
                if in_table == table
                and in_part == part
                and row.value is not None
                and key >= first
                and (not end or key < end)
            ),
            key=lambda row: row.address[2].encode(),
        )
        return {
            "rows": [row.document() for row in found[:limit]],
            "hasMore": len(found) > limit,
            "rowVersion": self.version,
        }

    def changes(self, table: str, after: int) -> Document:
        """Return the rows and tombstones written after a version, in version order."""
        found = sorted(
            (
                row
                for row in self._row_by_address.values()
                if row.address[0] == table and row.version > after
            ),
            key=lambda row: row.version,
        )
        return {"rows": [row.document() for row in found], "rowVersion": self.version}

    def _existing_rows(self, entries: list[Document]) -> list[Document]:
        rows = [self._row_by_address.get(_address_of(each)) for each in entries]
        return [row.document() for row in rows if row and row.value is not None]

    def _version_of(self, entry: Document) -> int:
        row = self._row_by_address.get(_address_of(entry))
        return row.version if row and row.value is not None else 0

    def _write(self, address: RowAddress, value: str | None) -> None:
        row = StoredRow(address, value, self.version)
        self._row_by_address[address] = row


def _address_of(entry: Document) -> RowAddress:
    return entry["table"], entry["part"], entry["key"]
