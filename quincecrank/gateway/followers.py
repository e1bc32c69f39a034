"""Follows a table of the platform's store; from peers while the store is away.

The store may refuse or cut off this machine while it serves others.  A peer that
has newer rows tells so in its reports; the rows are then read from that peer.
"""

import random
from collections.abc import Callable
from typing import Final, Protocol

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import decision_log, peers, tables

FEED_WAIT_MS: Final = 1_000
"""Longest wait of one call.  A connection that falls silent hides changes for this
time and the call's time limit; operators' changes must apply within two seconds."""

RETRY_MS: Final = 250
"""Pause after a failed call: four calls a second for each table and process."""

PEER_INTERVAL_MS: Final = 200
"""Interval at which missing rows are asked from peers."""

PEER_DELAY_MS: Final = 300
"""Time for which the store may be behind a peer before the peer is asked."""

_LOG: Final = decision_log.logger("followers")


class RowUser(Protocol):
    """Takes the rows of a table."""

    def take_all(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Take all rows that exist."""

    def take_changes(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Take changed and removed rows."""

    def store_lost(self) -> None:
        """Take the news that the store can't be read."""

    def store_regained(self) -> None:
        """Take the news that the store can be read again."""


class TableFollower:
    """Keeps a user of one table up to date.

    Parameters
    ----------
    pause_ms : int
        Pause between two calls, which bounds their rate on busy tables.

    Attributes
    ----------
    version : int
        Version of the store up to which the rows are known; 0 before the first.
    """

    def __init__(
        self,
        table: tables.TableName,
        source: tables.TableSource,
        user: RowUser,
        directory: "peers.PeerTables",
        clock: clocks.Clock,
        pause_ms: int,
        count_failure: Callable[[str], None],
    ) -> None:
        self._table = table
        self._source = source
        self._user = user
        self._peers = directory
        self._clock = clock
        self._pause_ms = pause_ms
        self._count_failure = count_failure
        self._rows_by_key: dict[str, store_rows.Row] = {}
        self._is_lost = False
        self.version = 0

    @property
    def rows(self) -> store_rows.Rows:
        """All rows as known now."""
        return store_rows.Rows(tuple(self._rows_by_key.values()), self.version)

    async def run(self) -> None:
        """Follow the store."""
        while True:
            try:
                await self._step()
            except store_rows.HistoryLostError:
                _LOG.warning("history lost", table=self._table.value)
                await self._read_all()
            except store_rows.StoreUnavailableError as error:
                self._lost(str(error))
                await self._clock.sleep(RETRY_MS * random.uniform(0.8, 1.2))

    async def run_from_peers(self) -> None:
        """Read rows from a peer that has newer ones than the store gives."""
        behind_since_ms: int | None = None
        while True:
            await self._clock.sleep(PEER_INTERVAL_MS)
            newest = self._peers.newest_version(self._table)
            if newest <= self.version:
                behind_since_ms = None
                continue
            now_ms = self._clock.now_ms()
            behind_since_ms = behind_since_ms or now_ms
            if now_ms - behind_since_ms >= PEER_DELAY_MS:
                await self._read_from_peer()

    async def _step(self) -> None:
        if not self.version:
            await self._read_all()
            return
        changed = await self._source.changes(self._table, self.version, FEED_WAIT_MS)
        self._regained()
        self._apply_changes(changed)
        await self._clock.sleep(self._pause_ms)

    async def _read_all(self) -> None:
        try:
            everything = await self._source.read_all(self._table)
        except store_rows.StoreUnavailableError as error:
            self._lost(str(error))
            await self._clock.sleep(RETRY_MS)
            return
        self._regained()
        self._replace(everything, "store")

    async def _read_from_peer(self) -> None:
        everything = await self._peers.read_all(self._table)
        if everything is not None and everything.version > self.version:
            self._replace(everything, "peer")

    def _replace(self, everything: store_rows.Rows, origin: str) -> None:
        if everything.version < self.version:
            return
        _LOG.info(
            "table read",
            table=self._table.value,
            origin=origin,
            rows=len(everything.rows),
            version=everything.version,
        )
        self._rows_by_key = {row.key: row for row in everything.rows}
        self.version = everything.version
        self._user.take_all(everything.rows)

    def _apply_changes(self, changed: store_rows.Rows) -> None:
        # A peer may have told the same rows, or newer ones, in the meantime.
        fresh = tuple(
            row for row in changed.rows if row.version > self._known_version(row.key)
        )
        for row in fresh:
            if row.is_removed:
                self._rows_by_key.pop(row.key, None)
            else:
                self._rows_by_key[row.key] = row
        self.version = max(self.version, changed.version)
        if fresh:
            self._user.take_changes(fresh)

    def _known_version(self, key: str) -> int:
        row = self._rows_by_key.get(key)
        return row.version if row is not None else 0

    def _lost(self, reason: str) -> None:
        self._count_failure(self._table.value)
        if not self._is_lost:
            self._is_lost = True
            _LOG.warning("store lost", table=self._table.value, reason=reason)
        self._user.store_lost()

    def _regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _LOG.info("store regained", table=self._table.value)
            self._user.store_regained()
