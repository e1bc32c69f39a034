"""Version history of the fleet's configuration in the platform's table.

Each version is one row, whose key is the version number.  Inserting the row commits the
version, so if several operators propose the same version, one succeeds.  The
proposal id in a row shows whether a commit succeeded when its answer did not arrive.
Rows are never replaced or deleted.

Snapshots in the object store shorten the loading of a long history.  They carry a
checksum; a damaged or missing snapshot only makes loading slower.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Final

import expression
import pydantic
import structlog

from quincecrank import configuration, ids, object_client, platform_table

SNAPSHOT_INTERVAL: Final = 256
"""Number of versions between two snapshots."""

_MAX_SNAPSHOTS: Final = 3
_PAGE_ROWS: Final = 100
_TABLE: Final = platform_table.TableName.CONFIGURATION
_PARTITION: Final = "configuration"
_SNAPSHOT_PREFIX: Final = "configuration/"
_VERSION_DIGITS: Final = 12

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class ProposalConflict:
    """Another row is committed at the proposed version.

    Attributes
    ----------
    rows : tuple of ConfigurationRow
        That row, and up to a page of later ones if they could be read.
    """

    rows: tuple[configuration.ConfigurationRow, ...]


class HistoryDivergedError(Exception):
    """A restored table has a different row at a version that was already in force.

    Raised where rows in force are committed again; the same fault in received rows is
    a `current_configuration.DivergedError`.
    """


class ConfigurationStore:
    """Reads and extends the version history.

    Parameters
    ----------
    table : PlatformTable
        The platform's table service.
    objects : ObjectStore, optional
        Store of the snapshots; without it every load reads the complete history.
    """

    def __init__(
        self,
        table: platform_table.PlatformTable,
        objects: object_client.ObjectStore | None = None,
    ) -> None:
        self._table = table
        self._objects = objects

    async def load(self) -> configuration.Configuration:
        """Return the newest configuration.

        Raises
        ------
        TableUnavailableError
            If the table gives no answer.
        """
        loaded = await self._newest_snapshot()
        return apply_rows(loaded, await self.catch_up(loaded))

    async def catch_up(
        self, known: configuration.Configuration
    ) -> tuple[configuration.ConfigurationRow, ...]:
        """Return all rows that were committed after the version of `known`.

        Raises
        ------
        TableUnavailableError
            If the table gives no answer.
        """
        rows: list[configuration.ConfigurationRow] = []
        version = known.version
        while True:
            page = await self._table.read_after(_TABLE, _PARTITION, version, _PAGE_ROWS)
            rows.extend(_parse(row) for row in page)
            if len(page) < _PAGE_ROWS:
                return tuple(rows)
            version = ids.ConfigurationVersion(page[-1].key.sort)

    async def propose(
        self, row: configuration.ConfigurationRow
    ) -> expression.Result[configuration.ConfigurationRow, ProposalConflict]:
        """Commit `row` unless another row was committed as its version.

        Raises
        ------
        VersionGapError
            If the preceding version isn't committed.
        TableUnavailableError
            If the table gives no answer; the row isn't committed.
        OutcomeUnknownError
            If the row may be committed, now or later; the proposal id of the row at
            its version shows whether it was.
        """
        await self._check_predecessor(row.version)
        committed = await self._insert(row)
        if committed.proposal_id == row.proposal_id:
            return expression.Ok(committed)
        return expression.Error(ProposalConflict(await self._rows_from(row, committed)))

    async def recommit(self, rows: tuple[configuration.ConfigurationRow, ...]) -> int:
        """Insert committed rows again that a restore of the table has removed.

        Parameters
        ----------
        rows : tuple of ConfigurationRow
            Rows that have been committed, ordered by version without a gap.

        Returns
        -------
        int
            Number of rows that the table lacked.

        Raises
        ------
        HistoryDivergedError
            If another row was committed since the restore at one of the versions.
        TableUnavailableError, OutcomeUnknownError
            If the table gives no answer; some of the rows, the lowest versions first,
            may have been inserted.
        """
        if not rows:
            return 0
        preceding = ids.ConfigurationVersion(rows[0].version - 1)
        start = configuration.Configuration(version=preceding)
        present = {row.version: row for row in await self.catch_up(start)}
        lacking = 0
        for row in rows:
            stored = present.get(row.version)
            if stored is None:
                lacking += 1
                stored = await self._insert(row)
            if stored.proposal_id != row.proposal_id:
                raise HistoryDivergedError(
                    f"version {row.version}: {row.proposal_id} was in force,"
                    f" {stored.proposal_id} is committed"
                )
        return lacking

    async def save_snapshot(self, current: configuration.Configuration) -> bool:
        """Write a snapshot if the version is a multiple of `SNAPSHOT_INTERVAL`.

        Old snapshots are then deleted.  Returns whether both succeeded.  A failure of
        the object store is logged and not retried.
        """
        is_due = current.version > 0 and current.version % SNAPSHOT_INTERVAL == 0
        if self._objects is None or not is_due:
            return False
        text = current.model_dump_json().encode()
        name = _snapshot_name(current.version)
        try:
            await self._objects.put(name, _digest(text) + b"\n" + text)
            await self._delete_old_snapshots(self._objects)
        except object_client.ObjectStoreError as error:
            _log.warning("snapshot failed", name=name, error=str(error))
            return False
        return True

    async def _insert(
        self, row: configuration.ConfigurationRow
    ) -> configuration.ConfigurationRow:
        """Insert a row and return the row that is committed at its version."""
        stored = await platform_table.insert_confirmed(
            self._table, _TABLE, _row_key(row.version), row.model_dump_json()
        )
        return _parse(stored)

    async def _check_predecessor(self, version: ids.ConfigurationVersion) -> None:
        if version == configuration.INITIAL_VERSION + 1:
            return
        preceding = ids.ConfigurationVersion(version - 1)
        if await self._table.read(_TABLE, _row_key(preceding)) is None:
            raise configuration.VersionGapError(f"version {preceding} isn't committed")

    async def _rows_from(
        self,
        row: configuration.ConfigurationRow,
        committed: configuration.ConfigurationRow,
    ) -> tuple[configuration.ConfigurationRow, ...]:
        """Return the rows from the proposed version on, at least `committed`."""
        try:
            page = await self._table.read_after(
                _TABLE, _PARTITION, row.version, _PAGE_ROWS
            )
        except platform_table.TableUnavailableError:
            return (committed,)
        return (committed, *(_parse(later) for later in page))

    async def _newest_snapshot(self) -> configuration.Configuration:
        start = configuration.Configuration()
        if self._objects is None:
            return start
        try:
            names = await self._objects.list(_SNAPSHOT_PREFIX)
            for name in sorted(names, reverse=True):
                found = _parse_snapshot(await self._objects.get(name))
                if found is not None:
                    return found
                _log.warning("snapshot damaged", name=name)
        except (
            object_client.ObjectStoreError,
            object_client.ObjectMissingError,
        ) as error:
            _log.warning(
                "no snapshot available; loading the complete history", error=str(error)
            )
        return start

    async def _delete_old_snapshots(self, objects: object_client.ObjectStore) -> None:
        names = sorted(await objects.list(_SNAPSHOT_PREFIX))
        for name in names[:-_MAX_SNAPSHOTS]:
            await objects.delete(name)


def apply_rows(
    known: configuration.Configuration,
    rows: Iterable[configuration.ConfigurationRow],
) -> configuration.Configuration:
    """Return `known` with `rows` applied.

    Raises
    ------
    VersionGapError
        If a row isn't the direct successor of the preceding version.
    """
    for row in rows:
        known = known.apply(row)
    return known


def _row_key(version: ids.ConfigurationVersion) -> platform_table.RowKey:
    return platform_table.RowKey(_PARTITION, version)


def _parse(row: platform_table.Row) -> configuration.ConfigurationRow:
    return configuration.ConfigurationRow.model_validate_json(row.body)


def _snapshot_name(version: ids.ConfigurationVersion) -> ids.ObjectName:
    return ids.ObjectName(f"{_SNAPSHOT_PREFIX}{version:0{_VERSION_DIGITS}}")


def _digest(text: bytes) -> bytes:
    return hashlib.sha256(text).hexdigest().encode()


def _parse_snapshot(data: bytes) -> configuration.Configuration | None:
    digest, _, text = data.partition(b"\n")
    if digest != _digest(text):
        return None
    try:
        return configuration.Configuration.model_validate_json(text)
    except pydantic.ValidationError:
        return None
