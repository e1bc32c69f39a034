"""Client of the platform's table service.

Each row has a partition, a sort number, a text body and a revision that increases with
every write, so a write that is conditional on the revision is a compare-and-set.
`HttpTable` stores each `TableName` as one table of the platform's store.

A failed write either certainly had no effect (`TableUnavailableError`) or may have had
one (`OutcomeUnknownError`); callers can rely on the distinction.
"""

import dataclasses
import enum
from typing import Final, Protocol

from quincecrank import store_era, store_rows
from quincecrank.platform import store

_CONFIRM_ATTEMPTS: Final = 3
_SORT_DIGITS: Final = 20
"""Digits of the largest sort number."""


class TableName(enum.Enum):
    """Tables that quincecrank has in the platform's table service."""

    CONFIGURATION = "configuration"
    REQUESTS = "requests"
    AGENTS = "agents"
    SLOTS = "slots"


class WriteOutcome(enum.Enum):
    """Whether a conditional write took effect."""

    APPLIED = "applied"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True)
class RowKey:
    """Key of a row; rows of one partition are ordered by `sort`."""

    partition: str
    sort: int = 0


@dataclasses.dataclass(frozen=True)
class Row:
    """A row as read: its body, and the revision for a conditional write."""

    key: RowKey
    body: str
    revision: int


@dataclasses.dataclass(frozen=True)
class WriteAnswer:
    """Answer to a conditional write.

    Attributes
    ----------
    revision : int
        Revision of the row after the write, or of the conflicting row; 0 if there
        is none.
    """

    outcome: WriteOutcome
    revision: int


class TableUnavailableError(Exception):
    """The call failed and certainly had no effect."""


class OutcomeUnknownError(Exception):
    """A write got no answer; it may have taken effect or may still do so."""


class PlatformTable(Protocol):
    """The operations on the platform's tables.

    Reads are strongly consistent.  Reads raise `TableUnavailableError`; writes raise
    it or `OutcomeUnknownError`.
    """

    async def read(self, table: TableName, key: RowKey) -> Row | None:
        """Return the row, or None if there is none."""

    async def read_after(
        self, table: TableName, partition: str, sort: int, limit: int
    ) -> tuple[Row, ...]:
        """Return up to `limit` rows of `partition` above `sort`, in order."""

    async def insert(self, table: TableName, key: RowKey, body: str) -> WriteAnswer:
        """Insert a row; CONFLICT if the key is taken."""

    async def replace(
        self, table: TableName, key: RowKey, body: str, expected_revision: int
    ) -> WriteAnswer:
        """Replace the body and increase the revision, if it is as expected."""

    async def delete(
        self, table: TableName, key: RowKey, expected_revision: int
    ) -> WriteOutcome:
        """Delete the row if its revision is as expected."""


class HttpTable:
    """`PlatformTable` in the platform's store.

    Parameters
    ----------
    base_url : str
        Address of the store.
    timeout_ms : int
        Time limit of each call.
    era : StoreEra, optional
        Observes the store's era in every answer.
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._store = store.PlatformStore(base_url, timeout_ms, timeout_ms, era)

    def close(self) -> None:
        """Close the client."""
        self._store.close()

    async def read(self, table: TableName, key: RowKey) -> Row | None:
        """Return the row, or None if there is none."""
        name = _sort_name(key.sort)
        rows = await self._read(table, key.partition, name, name + "\0", 1)
        return rows[0] if rows else None

    async def read_after(
        self, table: TableName, partition: str, sort: int, limit: int
    ) -> tuple[Row, ...]:
        """Return up to `limit` rows of `partition` above `sort`, in order."""
        return await self._read(table, partition, _sort_name(sort + 1), None, limit)

    async def insert(self, table: TableName, key: RowKey, body: str) -> WriteAnswer:
        """Insert a row; CONFLICT if the key is taken."""
        return await self._write(table, key, body, 0)

    async def replace(
        self, table: TableName, key: RowKey, body: str, expected_revision: int
    ) -> WriteAnswer:
        """Replace the body and increase the revision, if it is as expected."""
        return await self._write(table, key, body, expected_revision)

    async def delete(
        self, table: TableName, key: RowKey, expected_revision: int
    ) -> WriteOutcome:
        """Delete the row if its revision is as expected."""
        answer = await self._write(table, key, None, expected_revision)
        return answer.outcome

    async def _read(
        self, table: TableName, part: str, first: str, end: str | None, limit: int
    ) -> tuple[Row, ...]:
        try:
            page = await self._store.read(table.value, part, first, end, limit)
        except store_rows.StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        return tuple(
            Row(RowKey(part, int(row.key)), row.text, row.position.number)
            for row in page.rows
        )

    async def _write(
        self, table: TableName, key: RowKey, body: str | None, expected_revision: int
    ) -> WriteAnswer:
        address = store.RowAddress(table.value, _sort_name(key.sort), key.partition)
        expected = store_rows.Position.from_number(expected_revision)
        try:
            result = await self._store.write(address, body, expected)
        except store_rows.OutcomeUnknownError as error:
            raise OutcomeUnknownError(str(error)) from error
        except store_rows.StoreUnavailableError as error:
            raise TableUnavailableError(str(error)) from error
        if not result.is_applied:
            return WriteAnswer(WriteOutcome.CONFLICT, _revision(result.position))
        return WriteAnswer(WriteOutcome.APPLIED, _revision(result.position))


def _revision(position: store_rows.Position) -> int:
    """Return the revision of a row at `position`; 0 if the version is 0.

    Version 0 means that the row doesn't exist, in any era.
    """
    return position.number if position.version else 0


def _sort_name(sort: int) -> str:
    """Return a sort number as a key; zero-padded, as keys are ordered as texts."""
    return f"{sort:0{_SORT_DIGITS}d}"


async def insert_confirmed(
    table_client: PlatformTable, table: TableName, key: RowKey, body: str
) -> Row:
    """Insert a row and return the row that the table then has.

    After a conflict or a lost answer the row is read back.  A missing row after a lost
    answer doesn't prove that the insert failed, as the request may still arrive; the
    same body is inserted again, so it doesn't matter which of the requests succeeds.
    The body carries the caller's proposal or attempt id; the caller compares it with
    the returned body to learn whether its insert succeeded.

    Raises
    ------
    TableUnavailableError
        If no insert had any effect.
    OutcomeUnknownError
        If an insert may have taken effect, or may still do so, and the row can't be
        read.
    """
    may_have_effect = False
    for _ in range(_CONFIRM_ATTEMPTS):
        try:
            answer = await table_client.insert(table, key, body)
            if answer.outcome is WriteOutcome.APPLIED:
                return Row(key, body, answer.revision)
        except OutcomeUnknownError:
            may_have_effect = True
        except TableUnavailableError as error:
            if may_have_effect:
                raise OutcomeUnknownError(str(error)) from error
            raise
        row = await _read_back(table_client, table, key, may_have_effect)
        if row is not None:
            return row
    raise OutcomeUnknownError(f"row {key} can't be confirmed")


async def replace_confirmed(
    table_client: PlatformTable,
    table: TableName,
    key: RowKey,
    body: str,
    expected_revision: int,
) -> Row:
    """Replace a row and return the row that the table then has.

    Like `insert_confirmed`: while the row has the expected revision the same body is
    written again, so an earlier request that arrives later does no harm.

    Raises
    ------
    TableUnavailableError
        If no write had any effect.
    OutcomeUnknownError
        If a write may have taken effect, or may still do so, and the row can't be
        read.
    """
    may_have_effect = False
    for _ in range(_CONFIRM_ATTEMPTS):
        try:
            answer = await table_client.replace(table, key, body, expected_revision)
            if answer.outcome is WriteOutcome.APPLIED:
                return Row(key, body, answer.revision)
        except OutcomeUnknownError:
            may_have_effect = True
        except TableUnavailableError as error:
            if may_have_effect:
                raise OutcomeUnknownError(str(error)) from error
            raise
        row = await _read_back(table_client, table, key, may_have_effect)
        if row is not None and row.revision != expected_revision:
            return row
    raise OutcomeUnknownError(f"row {key} can't be confirmed")


async def _read_back(
    table_client: PlatformTable, table: TableName, key: RowKey, may_have_effect: bool
) -> Row | None:
    try:
        return await table_client.read(table, key)
    except TableUnavailableError as error:
        if may_have_effect:
            raise OutcomeUnknownError(str(error)) from error
        raise
