"""Follows a table of the platform's store, directly or through a peer.

Load pattern: every gateway needs every change within a second, and the store's calls
are limited and paid for.  So a few gateways, which all gateways choose alike, read
each table from the store.  They send significant changes to the others, which fetch all
rows from a peer if they lack an earlier change or if it is too large to be sent; see
`change_delivery`.  If no live peer has had a recent answer from the store, a gateway
reads the store itself: the store may refuse or cut off the readers and still serve this
gateway.

Terms
-----
reader
    A gateway that reads the table from the store for the others.
significant change
    A change of rows that alters what gateways act on.  Most changes are heartbeats
    of backend servers, which are not significant.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Final, Protocol

from quincecrank import clock as clocks
from quincecrank import store_rows
from quincecrank.gateway import (
    change_delivery,
    decision_log,
    peers,
    store_clock,
    store_restores,
    tables,
)

READERS_PER_TABLE: Final = 3
"""Gateways that read each table from the store; two of them may fail at once."""

RETRY_MS: Final = 250
"""Pause after a failed call: at most four calls a second per table and process."""

PEER_INTERVAL_MS: Final = 100
"""Interval at which the own position is compared with those in peers' reports."""

MAX_BEHIND_MS: Final = 600
"""Time behind its peers after which a gateway reads the store itself."""

MAX_PUSHED_ROWS: Final = 16
"""Most rows that a full read may have changed for its difference to be pushed."""

FAILURES_TO_FULL_READ: Final = 3
"""A full read is tried after every so many failed calls for changes.  It comes in
pages; the changes of a long outage may exceed the size limit of a single answer."""

_LOG: Final = decision_log.logger("followers")


@dataclasses.dataclass(frozen=True, slots=True)
class PollingIntervals:
    """Polling intervals of one table.

    Attributes
    ----------
    wait_ms : int
        Longest time that a reader's call waits in the store for a change.
    pause_ms : int
        Pause between two calls, which bounds their rate on busy tables.
    max_age_ms : int
        A gateway that is no reader reads the store itself once the last store answer
        of every live peer is older than this.
    """

    wait_ms: int
    pause_ms: int
    max_age_ms: int


STORE: Final = "store"
PUSH: Final = "push"
PEER: Final = "peer"
"""Origins of rows: an answer of the store, a change that a peer sent, rows fetched from
a peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """How rows reached this gateway.

    Attributes
    ----------
    origin : str
        `STORE`, `PUSH` or `PEER`.
    asked_ms : int
        Time at which the store was asked; for other origins that of the arrival.
    known_ms : int or None
        Time at which the first gateway had the rows; None if it is not known.
    source : str
        Address of the peer that sent them; empty for the store.
    unread_ms : int
        Longest time for which the rows may have waited here unread.
    """

    origin: str
    asked_ms: int
    known_ms: int | None
    source: str = ""
    unread_ms: int = 0


class RowConsumer(Protocol):
    """Applies the rows of a table to the gateway's state."""

    def apply_snapshot(
        self, snapshot: store_rows.Rows, arrival: Arrival | None = None
    ) -> None:
        """Replace all rows by a snapshot of the table."""

    def apply_changes(
        self, rows: tuple[store_rows.Row, ...], arrival: Arrival | None = None
    ) -> tuple[store_rows.Row, ...]:
        """Apply changed and removed rows; return those whose change is significant."""

    def handle_store_unavailable(self) -> None:
        """Handle a failed call of the store; called for each one during an outage."""

    def handle_store_available(self, outage_ms: int) -> None:
        """Handle the first answer of the store after an outage.

        Parameters
        ----------
        outage_ms : int
            Time since the last earlier answer to this gateway or a peer.
        """


class TableFollower:
    """Keeps the consumer of one table up to date.

    Parameters
    ----------
    source : TableSource
        Reads the table from the store.
    consumer : RowConsumer
        Consumer of the rows.
    send_report : callable
        Sends a report to the peers at once.
    count_failure : callable
        Called with the table's name for each failed call of the store.
    progress : StoreRestoreProgress
        Records each full read.
    clock_of_store : StoreClock, optional
        Observes the time of each answer.
    delivery : ChangeDelivery, optional
        Decides about the changes of this table.
    push : callable
        Sends a change to all peers.
    must_read : callable
        Returns whether the store must be read whatever the peers have.
    handle_store_answer : callable
        Called after the rows of an answer of the store were applied, with the time at
        which the store was asked.

    Attributes
    ----------
    delivery : ChangeDelivery
        Decides about the changes of this table.
    position : Position or None
        Position of the store up to which the rows are applied; None before the first
        full read.
    last_change_position : Position or None
        Position of the store at the last significant change or full read.

    Notes
    -----
    Invariant: a row that is missing from a full read at position P does not come back
    with an answer that was in flight meanwhile, as changes up to P are ignored
    afterwards.  Neither does a row whose removal a peer has sent meanwhile: the
    position of the removal is retained until the answer has been applied.
    All rows belong to one era: after the store was restored from a snapshot, changes
    no longer apply to the rows held here, and all rows are read again.
    """

    def __init__(
        self,
        table: tables.TableName,
        source: tables.TableSource,
        consumer: RowConsumer,
        peer_directory: "peers.PeerDirectory",
        clock: clocks.Clock,
        intervals: PollingIntervals,
        send_report: Callable[[], None],
        count_failure: Callable[[str], None],
        progress: store_restores.StoreRestoreProgress,
        clock_of_store: store_clock.StoreClock | None = None,
        delivery: change_delivery.ChangeDelivery | None = None,
        push: Callable[[change_delivery.AgedChange], None] = lambda _change: None,
        must_read: Callable[[], bool] = lambda: False,
        handle_store_answer: Callable[[int], None] = lambda _asked_ms: None,
    ) -> None:
        self.delivery = delivery or change_delivery.ChangeDelivery(random.Random())
        self._push = push
        self._must_read = must_read
        self._handle_store_answer = handle_store_answer
        self._table = table
        self._source = source
        self._consumer = consumer
        self._peers = peer_directory
        self._clock = clock
        self._intervals = intervals
        self._send_report = send_report
        self._count_failure = count_failure
        self._progress = progress
        self._store_clock = clock_of_store
        self._rows_by_key: dict[str, store_rows.Row] = {}
        self._rows: store_rows.Rows | None = None
        # Of rows removed since the call for changes in flight was sent; None without
        # a call.
        self._removal_by_key: dict[str, store_rows.Position] | None = None
        self._outage_since_ms: int | None = None
        self._failures = 0
        self._last_answer_ms: int | None = None
        self._current_ms: int | None = None
        self._behind_since_ms: int | None = None
        self._full_position: store_rows.Position | None = None
        self.position: store_rows.Position | None = None
        self.last_change_position: store_rows.Position | None = None

    @property
    def rows(self) -> store_rows.Rows | None:
        """All current rows; None before the first full read.

        The same object is returned until they change.
        """
        if self.position is None:
            return None
        if self._rows is None:
            self._rows = store_rows.Rows(
                tuple(self._rows_by_key.values()),
                self.position,
                last_change=self.last_change_position,
            )
        return self._rows

    @property
    def store_answer_age_ms(self) -> int | None:
        """Time since the store's last answer to this gateway; None without any."""
        if self._last_answer_ms is None:
            return None
        return self._clock.now_ms() - self._last_answer_ms

    @property
    def rows_age_ms(self) -> int | None:
        """Age of the store's last answer at most; None without any.

        It counts from the time at which the store sent the answer at the earliest, not
        from its reading: the process may have been suspended, or the answer delayed.
        """
        if self._current_ms is None:
            return None
        return self._clock.now_ms() - self._current_ms

    @property
    def is_behind(self) -> bool:
        """Whether a live peer has newer rows."""
        return _is_newer(
            self._peers.last_change_position_of(self._table), self.position
        )

    async def run(self) -> None:
        """Read the store whenever `reads_store` holds; never returns."""
        while True:
            if not self.reads_store():
                # The readers have answers again.
                self._end_outage(PEER)
                await self._clock.sleep(PEER_INTERVAL_MS)
                continue
            try:
                await self._step()
            except store_rows.HistoryUnavailableError:
                _LOG.warning(
                    "change history lost",
                    table=self._table.value,
                    position=self.position,
                )
                await self._resync()
            except store_rows.StoreUnavailableError as error:
                self._record_failure(str(error))
                self._failures += 1
                await self._clock.sleep(RETRY_MS * random.uniform(0.8, 1.2))
                if self._failures % FAILURES_TO_FULL_READ == 0:
                    await self._read_all()

    async def run_from_peers(self) -> None:
        """Fetch the rows of a peer that has a newer significant change."""
        while True:
            await self._clock.sleep(PEER_INTERVAL_MS)
            if not self.is_behind:
                self._behind_since_ms = None
                continue
            now_ms = self._clock.now_ms()
            if self._behind_since_ms is None:
                self._behind_since_ms = now_ms
            newest = self._peers.last_change_position_of(self._table)
            if newest is not None and self.delivery.may_fetch(
                now_ms - self._behind_since_ms,
                newest,
                self._peers.positions(self._table),
            ):
                await self._read_from_peer()

    def apply_pushed(self, table_change: change_delivery.AgedChange) -> None:
        """Apply a change that a peer sent, and those that waited for it."""
        if self.position is None:
            return
        self.delivery.add_waiting(table_change)
        while aged := self.delivery.take_applicable(self.position):
            if not self._apply_pushed(aged):
                return

    def repeats(self) -> dict[str, tuple[change_delivery.AgedChange, ...]]:
        """Return the changes that peers lack and that are sent to them now."""
        own = self.last_change_position
        if own is None:
            return {}
        return self.delivery.repeats(
            own,
            self._peers.positions(self._table, takes_changes=True),
            self._clock.now_ms(),
        )

    def reads_store(self) -> bool:
        """Return whether this gateway must read the store itself now.

        It must if it has no rows yet, is a reader, has been behind its peers for
        longer than `MAX_BEHIND_MS`, or if no live peer had a recent answer.
        """
        if self.position is None or self._is_reader() or self._must_read():
            return True
        now_ms = self._clock.now_ms()
        behind_since_ms = self._behind_since_ms
        is_long_behind = (
            behind_since_ms is not None and now_ms - behind_since_ms > MAX_BEHIND_MS
        )
        gateways = 1 + len(self._peers.live_ips())
        if is_long_behind and self.delivery.may_read_store(gateways):
            return True
        age_ms = self._peers.store_answer_age_ms(self._table)
        return age_ms is None or age_ms > self._intervals.max_age_ms

    def _is_reader(self) -> bool:
        return self._peers.own_name in self._peers.readers(
            self._table.value, READERS_PER_TABLE
        )

    async def _step(self) -> None:
        if self.position is None:
            await self._read_all()
            return
        wait_ms = self._intervals.wait_ms
        sent_ms = self._clock.now_ms()
        self._removal_by_key = {}
        try:
            changed = await self._source.changes(self._table, self.position, wait_ms)
            # Without a change, the store answers when the wait is over.
            has_waited = not changed.rows and self._clock.now_ms() - sent_ms >= wait_ms
            earliest_ms = sent_ms + wait_ms if has_waited else sent_ms
            self._record_answer(changed, sent_ms, earliest_ms)
            self._apply_changes(changed, sent_ms)
        finally:
            self._removal_by_key = None
        self._handle_store_answer(sent_ms)
        await self._clock.sleep(self._intervals.pause_ms)

    async def _resync(self) -> None:
        """Read all rows after a lost change history, unless a peer supplies them first.

        After a restore of the store, all gateways do this at the same time, so their
        reads are spread by a random delay.
        """
        position_before = self.position
        gateway_count = 1 + len(self._peers.live_ips())
        await self._clock.sleep(
            store_restores.read_delay_ms(self._is_reader(), gateway_count)
        )
        if self.position == position_before:
            await self._read_all()
            # Bounds the rate of full reads if the history is unavailable repeatedly.
            await self._clock.sleep(RETRY_MS)

    async def _read_all(self) -> None:
        sent_ms = self._clock.now_ms()
        try:
            snapshot = await self._source.read_all(self._table)
        except store_rows.StoreUnavailableError as error:
            self._record_failure(str(error))
            await self._clock.sleep(RETRY_MS)
            return
        self._record_answer(snapshot, sent_ms, sent_ms)
        self._replace(snapshot, Arrival(STORE, sent_ms, None))
        self._handle_store_answer(sent_ms)

    async def _read_from_peer(self) -> None:
        fetched = await self._peers.fetch_rows(self._table)
        if fetched is None:
            return
        snapshot, source = fetched
        if _is_newer(snapshot.position, self.position):
            self._replace(snapshot, Arrival(PEER, self._clock.now_ms(), None, source))

    def _replace(self, snapshot: store_rows.Rows, arrival: Arrival) -> None:
        if _is_newer(self.position, snapshot.position):
            return
        rows_by_key = {row.key: row for row in snapshot.rows}
        missing = len(self._rows_by_key.keys() - rows_by_key.keys())
        _LOG.info(
            "table read",
            table=self._table.value,
            origin=arrival.origin,
            rows=len(snapshot.rows),
            missing=missing,
            era=snapshot.position.era,
            version=snapshot.position.version,
        )
        last_change = snapshot.last_change or snapshot.position
        if self._has_same_rows(rows_by_key):
            # As after a loss of the change history; peers have nothing to fetch.
            last_change = self.last_change_position or last_change
        rows_before = self._rows_by_key
        follows = (
            self.position is not None and self.position.era == snapshot.position.era
        )
        self._rows_by_key = rows_by_key
        self._rows = None
        self.position = self._full_position = snapshot.position
        self.delivery.forget()
        self._consumer.apply_snapshot(snapshot, arrival)
        self._progress.record_full_read(self._table, snapshot.position.era, missing)
        if follows and arrival.origin == STORE:
            self._push_difference(rows_before, snapshot.position)
        # Peers that have this change already do not fetch the rows again.
        self._publish_change(last_change)

    def _has_same_rows(self, rows_by_key: dict[str, store_rows.Row]) -> bool:
        """Return whether rows are those held here, at the same positions."""
        return self._full_position is not None and rows_by_key == self._rows_by_key

    def _apply_pushed(self, aged: change_delivery.AgedChange) -> bool:
        """Apply a change that follows the present rows; return whether it did."""
        change = aged.change
        try:
            rows = tuple(
                change_delivery.decode_row(row, self._rows_by_key.get(row.key))
                for row in change.rows
                if self._is_fresh_at(row.key, row.position)
            )
        except ValueError as error:
            # The rows are fetched from a peer.
            _LOG.warning(
                "change not applied", table=self._table.value, error=str(error)
            )
            return False
        self._store(rows)
        self.position = change.position
        self.last_change_position = change.position
        now_ms = self._clock.now_ms()
        if rows:
            arrival = Arrival(PUSH, now_ms, aged.known_ms, aged.source, aged.unread_ms)
            self._consumer.apply_changes(rows, arrival)
        self.delivery.record(aged, now_ms)
        # The next periodic report has the position; no extra one is sent.
        return True

    def _store(self, rows: tuple[store_rows.Row, ...]) -> None:
        self._rows = None
        for row in rows:
            if row.is_removed:
                self._rows_by_key.pop(row.key, None)
                if self._removal_by_key is not None:
                    self._removal_by_key[row.key] = row.position
            else:
                self._rows_by_key[row.key] = row

    def _apply_changes(self, changed: store_rows.Rows, asked_ms: int) -> None:
        if self.position is not None and changed.position.era != self.position.era:
            # Rows of a later era came from a peer while the call was in flight.
            return
        fresh = tuple(
            row for row in changed.rows if self._is_fresh_at(row.key, row.position)
        )
        base_by_key = {row.key: self._rows_by_key.get(row.key) for row in fresh}
        self._store(fresh)
        if _is_newer(changed.position, self.position):
            self.position = changed.position
        if not fresh:
            return
        now_ms = self._clock.now_ms()
        arrival = Arrival(STORE, asked_ms, now_ms)
        significant = self._consumer.apply_changes(fresh, arrival)
        if significant:
            self._push_change(significant, base_by_key, now_ms)
            self._publish_change(self.position)

    def _push_difference(
        self, rows_before: dict[str, store_rows.Row], position: store_rows.Position
    ) -> None:
        """Push what a full read changed, if that is not most of the table."""
        changed = [
            row for key, row in self._rows_by_key.items() if row != rows_before.get(key)
        ]
        changed += [
            store_rows.Row(key, "", position, is_removed=True)
            for key in rows_before.keys() - self._rows_by_key.keys()
        ]
        if 0 < len(changed) <= MAX_PUSHED_ROWS:
            base_by_key = {row.key: rows_before.get(row.key) for row in changed}
            self._push_change(tuple(changed), base_by_key, self._clock.now_ms())

    def _push_change(
        self,
        rows: tuple[store_rows.Row, ...],
        base_by_key: dict[str, store_rows.Row | None],
        now_ms: int,
    ) -> None:
        assert self.position is not None and self.last_change_position is not None
        change = change_delivery.Change(
            self._table,
            self.last_change_position,
            self.position,
            tuple(
                change_delivery.encode_row(row, base_by_key[row.key]) for row in rows
            ),
        )
        aged = change_delivery.AgedChange(change, now_ms)
        self.delivery.record(aged, now_ms)
        self._push(aged)

    def _publish_change(self, position: store_rows.Position | None) -> None:
        self.last_change_position = position
        self._rows = None
        self._send_report()

    def _is_fresh_at(self, key: str, position: store_rows.Position) -> bool:
        current = self._rows_by_key.get(key)
        if current is not None and position <= current.position:
            return False
        removal = (self._removal_by_key or {}).get(key)
        if removal is not None and position <= removal:
            return False
        return _is_newer(position, self._full_position)

    def _record_failure(self, reason: str) -> None:
        self._count_failure(self._table.value)
        if self._outage_since_ms is None:
            self._outage_since_ms = self._last_known_answer_ms()
            _LOG.warning("store lost", table=self._table.value, reason=reason)
        self._consumer.handle_store_unavailable()

    def _record_answer(
        self, answer: store_rows.Rows, sent_ms: int, earliest_ms: int
    ) -> None:
        """Record an answer that the store has sent at `earliest_ms` or later."""
        self._end_outage(STORE)
        self._last_answer_ms = self._clock.now_ms()
        self._current_ms = earliest_ms
        if self._store_clock is not None and answer.store_now_ms is not None:
            self._store_clock.observe(
                store_clock.Sample(answer.store_now_ms, sent_ms, self._last_answer_ms)
            )
        self._failures = 0

    def _end_outage(self, origin: str) -> None:
        """Record that the store answers this gateway or a peer, if it did not."""
        since_ms = self._outage_since_ms
        if since_ms is None:
            return
        self._outage_since_ms = None
        outage_ms = self._clock.now_ms() - since_ms
        _LOG.info(
            "store regained",
            table=self._table.value,
            origin=origin,
            outage_ms=outage_ms,
        )
        self._consumer.handle_store_available(outage_ms)

    def _last_known_answer_ms(self) -> int:
        """Return when the store answered this gateway or a peer last."""
        now_ms = self._clock.now_ms()
        ages_ms = (
            self.store_answer_age_ms,
            self._peers.store_answer_age_ms(self._table),
        )
        return now_ms - min((each for each in ages_ms if each is not None), default=0)


def _is_newer(
    position: store_rows.Position | None, than: store_rows.Position | None
) -> bool:
    """Return whether a position is later than another; None precedes every one."""
    if position is None:
        return False
    return than is None or position > than
