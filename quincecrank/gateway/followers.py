"""Follows a table of the platform's store, or a peer that does.

Load pattern: every gateway wants every change within a second, and the store's calls
are limited and paid for.  A few gateways, on which all agree, read each table from
the store; the others read from them when there is news.  Any gateway reads the store
itself as soon as no peer has lately heard from it: the store may refuse or cut off
some machines while it serves others.

Terms
-----
news
    Changed rows that matter; most changes are heartbeats of backend servers.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Final, Protocol

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import decision_log, peers, restores, tables

READERS: Final = 3
"""Gateways that read a table from the store: two may be lost at once."""

RETRY_MS: Final = 250
"""Pause after a failed call: four calls a second for each table and process."""

PEER_INTERVAL_MS: Final = 100
"""Interval at which the reports of peers are compared with what is known."""

PEER_DELAY_MS: Final = 300
"""Time for which a reader of the store may be behind a peer before it asks it."""

BEHIND_LIMIT_MS: Final = 600
"""Time after which a gateway that its peers leave behind reads the store itself."""

FAILURES_TO_FULL_READ: Final = 3
"""Failed calls for changes after which all rows are read once, in pages: the changes of
a long outage may be more than one answer may hold."""

_LOG: Final = decision_log.logger("followers")


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How often a table is read.

    Attributes
    ----------
    wait_ms : int
        Longest wait of a call of a reader.
    pause_ms : int
        Pause between two calls, which bounds their rate on busy tables.
    max_age_ms : int
        Age of what the readers have at which others read the store themselves.
    """

    wait_ms: int
    pause_ms: int
    max_age_ms: int


class RowUser(Protocol):
    """Takes the rows of a table."""

    def take_all(self, everything: store_rows.Rows) -> None:
        """Take all rows that exist."""

    def take_changes(self, rows: tuple[store_rows.Row, ...]) -> bool:
        """Take changed and removed rows; return whether they are news."""

    def store_lost(self) -> None:
        """Take the news that the store can't be read."""

    def store_regained(self) -> None:
        """Take the news that the store can be read again."""


class TableFollower:
    """Keeps a user of one table up to date.

    Parameters
    ----------
    tell_peers : callable
        Sends a report to the peers at once.
    progress : RestoreProgress
        Is told of each full read.

    Attributes
    ----------
    position : Position or None
        Position of the store up to which the rows are known; None before the first.
    news_position : Position or None
        Position of the last news.

    Notes
    -----
    Invariant: a row that a full read at position P lacks does not come back by an
    answer that was under way meanwhile, as changes up to P are ignored afterwards.
    All rows are of one era: a restore of the store from a copy makes changes useless,
    and all rows are read anew.
    """

    def __init__(
        self,
        table: tables.TableName,
        source: tables.TableSource,
        user: RowUser,
        directory: "peers.PeerTables",
        clock: clocks.Clock,
        pace: Pace,
        tell_peers: Callable[[], None],
        count_failure: Callable[[str], None],
        progress: restores.RestoreProgress,
    ) -> None:
        self._table = table
        self._source = source
        self._user = user
        self._peers = directory
        self._clock = clock
        self._pace = pace
        self._tell_peers = tell_peers
        self._count_failure = count_failure
        self._progress = progress
        self._rows_by_key: dict[str, store_rows.Row] = {}
        self._is_lost = False
        self._failures = 0
        self._confirmed_ms: int | None = None
        self._behind_since_ms: int | None = None
        self._full_position: store_rows.Position | None = None
        self.position: store_rows.Position | None = None
        self.news_position: store_rows.Position | None = None

    @property
    def rows(self) -> store_rows.Rows | None:
        """All rows as known now; None before the first."""
        if self.position is None:
            return None
        return store_rows.Rows(tuple(self._rows_by_key.values()), self.position)

    @property
    def age_ms(self) -> int | None:
        """Time since the store last answered this gateway; None if it never did."""
        if self._confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    async def run(self) -> None:
        """Follow the store while this gateway reads it."""
        while True:
            if not self.reads_store():
                await self._clock.sleep(PEER_INTERVAL_MS)
                continue
            try:
                await self._step()
            except store_rows.HistoryLostError:
                _LOG.warning(
                    "history lost", table=self._table.value, position=self.position
                )
                await self._read_anew()
            except store_rows.StoreUnavailableError as error:
                self._lost(str(error))
                self._failures += 1
                await self._clock.sleep(RETRY_MS * random.uniform(0.8, 1.2))
                if self._failures % FAILURES_TO_FULL_READ == 0:
                    await self._read_all()

    async def run_from_peers(self) -> None:
        """Read rows from a peer that has news."""
        while True:
            await self._clock.sleep(PEER_INTERVAL_MS)
            news = self._peers.news_position(self._table)
            if not _is_newer(news, self.position):
                self._behind_since_ms = None
                continue
            now_ms = self._clock.now_ms()
            if self._behind_since_ms is None:
                self._behind_since_ms = now_ms
            delay_ms = PEER_DELAY_MS if self._is_reader() else 0
            if now_ms - self._behind_since_ms >= delay_ms:
                await self._read_from_peer()

    def reads_store(self) -> bool:
        """Return whether this gateway is to read the store itself now."""
        if self.position is None or self._is_reader():
            return True
        now_ms = self._clock.now_ms()
        behind_since_ms = self._behind_since_ms
        if behind_since_ms is not None and now_ms - behind_since_ms > BEHIND_LIMIT_MS:
            return True
        age_ms = self._peers.age_ms(self._table)
        return age_ms is None or age_ms > self._pace.max_age_ms

    def _is_reader(self) -> bool:
        return self._peers.own_name in self._peers.first_ranked(
            self._table.value, READERS
        )

    async def _step(self) -> None:
        if self.position is None:
            await self._read_all()
            return
        changed = await self._source.changes(
            self._table, self.position, self._pace.wait_ms
        )
        self._confirm()
        self._apply_changes(changed)
        await self._clock.sleep(self._pace.pause_ms)

    async def _read_anew(self) -> None:
        """Read all rows after a lost history, unless a peer gives them meanwhile.

        A restore of the store loses the history of the whole fleet in one instant.
        """
        before = self.position
        gateways = 1 + len(self._peers.live_ips())
        await self._clock.sleep(restores.read_delay_ms(self._is_reader(), gateways))
        if self.position == before:
            await self._read_all()
            # A history that is lost again and again must not cost a read each time.
            await self._clock.sleep(RETRY_MS)

    async def _read_all(self) -> None:
        try:
            everything = await self._source.read_all(self._table)
        except store_rows.StoreUnavailableError as error:
            self._lost(str(error))
            await self._clock.sleep(RETRY_MS)
            return
        self._confirm()
        self._replace(everything, "store")

    async def _read_from_peer(self) -> None:
        everything = await self._peers.read_all(self._table)
        if everything is not None and _is_newer(everything.position, self.position):
            self._replace(everything, "peer")

    def _replace(self, everything: store_rows.Rows, origin: str) -> None:
        if _is_newer(self.position, everything.position):
            return
        rows_by_key = {row.key: row for row in everything.rows}
        lost = len(self._rows_by_key.keys() - rows_by_key.keys())
        _LOG.info(
            "table read",
            table=self._table.value,
            origin=origin,
            rows=len(everything.rows),
            missing=lost,
            era=everything.position.era,
            version=everything.position.version,
        )
        self._rows_by_key = rows_by_key
        self.position = self._full_position = everything.position
        self._user.take_all(everything)
        self._progress.table_read(self._table, everything.position.era, lost)
        self._note_news()

    def _apply_changes(self, changed: store_rows.Rows) -> None:
        if self.position is not None and changed.position.era != self.position.era:
            # A peer's rows of a later era came while the call was under way.
            return
        fresh = tuple(row for row in changed.rows if self._is_fresh(row))
        for row in fresh:
            if row.is_removed:
                self._rows_by_key.pop(row.key, None)
            else:
                self._rows_by_key[row.key] = row
        if _is_newer(changed.position, self.position):
            self.position = changed.position
        if fresh and self._user.take_changes(fresh):
            self._note_news()

    def _note_news(self) -> None:
        self.news_position = self.position
        self._tell_peers()

    def _is_fresh(self, row: store_rows.Row) -> bool:
        known = self._rows_by_key.get(row.key)
        if known is not None and row.position <= known.position:
            return False
        return _is_newer(row.position, self._full_position)

    def _lost(self, reason: str) -> None:
        self._count_failure(self._table.value)
        if not self._is_lost:
            self._is_lost = True
            _LOG.warning("store lost", table=self._table.value, reason=reason)
        self._user.store_lost()

    def _confirm(self) -> None:
        self._confirmed_ms = self._clock.now_ms()
        self._failures = 0
        if self._is_lost:
            self._is_lost = False
            _LOG.info("store regained", table=self._table.value)
            self._user.store_regained()


def _is_newer(
    position: store_rows.Position | None, than: store_rows.Position | None
) -> bool:
    """Return whether a position is later than another; None is before all."""
    if position is None:
        return False
    return than is None or position > than
