"""The lease under which one gateway gives orders to engines.

The lease is one row of the platform's store.

holder
    The gateway that has the lease.  (Elsewhere a holder is an engine or store with KV
    cache.)  It renews the row while there are orders to give, and gives orders only
    within `VALIDITY_MS` after a renewal was *sent*, on its own monotonic clock.  A
    holder whose process was suspended has to renew first, and fails if another gateway
    has taken the lease.
takeover
    Another gateway takes the lease only after it has seen the row unchanged for
    `VALIDITY_MS` plus the required time between the orders of two holders plus
    `TAKEOVER_MARGIN_MS`, so that no order of the old holder falls into that time.  The
    row has the store's time of the renewal.  So a gateway that has just started, as
    after the loss of all of them, need not watch a row that was last renewed long ago.
handover
    A holder that could not renew the lease in time gives it up and says so to its
    peers.  Another gateway then takes the lease at once, but orders no engine that had
    an order within the required time; see `lease_handover`.
fencing number
    Position (era, version) of the row as written when the lease was taken, as one
    number.  Positions only grow, so it is higher than that of every earlier holder.
restore
    A restore of the store from a snapshot undoes acquisitions and renewals and issues
    row versions again, but it raises the era, the high part of the number.  It voids
    the lease at once.  The last holder may not have learned of the restore and may
    still give orders, so the lease is taken only after the time that `takeover`
    requires, counted from the restore.
"""

import collections
import contextlib
import dataclasses
import json
import secrets
from collections.abc import Iterator
from typing import Final

from quincecrank import checked_values, ids, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    decision_log,
    lease_handover,
    servers,
    store_clock,
    tables,
)

VALIDITY_MS: Final = 600
"""Time after a renewal was sent within which orders may be given."""

RENEWAL_MS: Final = 250
"""Age of a renewal at which the next one is sent: two fit into `VALIDITY_MS`."""

TAKEOVER_MARGIN_MS: Final = 300
"""Covers the travel time of a last order and differences of clock speed."""

HANDOVER_MS: Final = 10_000
"""Time for which a handover is published.  Others may not have read the row yet, or a
late write may change it once more."""

HANDOVER_RANK_DELAY_MS: Final = 100
"""Delay of each gateway's attempt at a lease that was handed over after that of the
next higher rank, so that few gateways write the row at once: the time of a write."""

LEASE_KEY: Final = "lease:orders"

_LOG: Final = decision_log.logger("order-lease")

_NEVER_TAKEN: Final = store_rows.Position(store_rows.FIRST_ERA, 0)
"""Position of the row in a store that was never restored, before the first put."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenRow:
    """The newest row seen.

    Attributes
    ----------
    since_ms : int
        Own time at which it was first seen.
    renewal_store_ms : int or None
        Latest store time at which its writer can have sent it; None if not known.
    """

    row: lease_handover.LeaseRow
    since_ms: int
    renewal_store_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedTerm:
    term: lease_handover.TermId
    ended_ms: int


def decode_term(text: str) -> lease_handover.TermId | None:
    """Return the term that wrote a row; None if the row has none.

    Earlier releases write rows without a term.
    """
    try:
        term = json_text.parse(text)["term"]
        return lease_handover.TermId(
            checked_values.count(term, lease_handover.MAX_TERM_ID)
        )
    except (KeyError, TypeError, ValueError):
        return None


def decode_renewal_store_ms(text: str, era: int) -> int | None:
    """Return the latest store time of a renewal; None if the row has none of an era.

    Earlier releases write rows without one.  A restored row does not show what was
    renewed after the snapshot, so its time is of no use in the new era.
    """
    try:
        renewal = json_text.parse(text)["renewal"]
        if checked_values.count(renewal["era"], store_rows.MAX_ERA) != era:
            return None
        return checked_values.count(renewal["storeMs"])
    except (KeyError, TypeError, ValueError):
        return None


class OrderLease:
    """The lease as seen by this gateway.

    Parameters
    ----------
    handover_gap_ms : int
        Required time between the orders of two holders.
    clock_of_store : StoreClock, optional
        Converts times between this gateway's clock and the store's.  Without it each
        takeover waits for an unchanged row.

    Attributes
    ----------
    fencing_number : int
        Fencing number of this gateway's last acquisition; it goes with every order.
    takeovers : Counter
        Acquisitions, by how the lease was free.
    """

    def __init__(
        self,
        store: tables.TableStore,
        holder: ids.VmName,
        handover_gap_ms: int,
        clock: clocks.Clock,
        clock_of_store: store_clock.StoreClock | None = None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._store_clock = clock_of_store or store_clock.StoreClock()
        self._takeover_ms = VALIDITY_MS + handover_gap_ms + TAKEOVER_MARGIN_MS
        self._seen_row = _SeenRow(
            lease_handover.LeaseRow(_NEVER_TAKEN, None), clock.now_ms()
        )
        self._held_position: store_rows.Position | None = None
        self._renewed_ms = 0
        self._term: lease_handover.TermId | None = None
        self._ended: list[_EndedTerm] = []
        self._written_position = _NEVER_TAKEN
        self._handovers = lease_handover.Handovers()
        self._order_times = lease_handover.OrderTimes(
            handover_gap_ms + TAKEOVER_MARGIN_MS
        )
        self._open_orders = 0
        self.fencing_number: int = 0
        self.takeovers: collections.Counter[str] = collections.Counter()

    @property
    def is_valid(self) -> bool:
        """Whether this gateway may give an order now."""
        return self.left_ms > 0

    @property
    def left_ms(self) -> int:
        """Time for which this gateway may give orders; 0 if it may not."""
        if self._held_position is None:
            return 0
        return max(0, self._renewed_ms + VALIDITY_MS - self._clock.now_ms())

    @property
    def is_held(self) -> bool:
        """Whether this gateway was the holder at its last renewal."""
        return self._held_position is not None

    def blocked_ms(self, server_id: servers.ServerId) -> int:
        """Return the time until the holder may order an engine; 0 if it may now.

        An earlier holder has ordered it.
        """
        return self._order_times.blocked_ms(server_id, self._clock.now_ms())

    @contextlib.contextmanager
    def ordering(self, server_id: servers.ServerId) -> Iterator[None]:
        """Record an order that is sent meanwhile; the lease must be valid.

        The lease is not handed over before its end, at which the order counts as sent:
        it is sent once its connection is open.
        """
        self._open_orders += 1
        self._order_times.record(server_id, self._clock.now_ms())
        try:
            yield
        finally:
            self._open_orders -= 1
            self._order_times.record(server_id, self._clock.now_ms())

    def handle_new_era(self, era: int) -> None:
        """Void the lease, as the store was restored from a snapshot."""
        self.observe(store_rows.Position(era, 0))

    def observe(self, position: store_rows.Position, text: str = "") -> None:
        """Record the position and text of the row as read from the store.

        Ends the lease held here if the row has been written, or the store restored,
        since.
        """
        seen = self._seen_row.row
        if position.era > seen.position.era:
            # Terms that ended before say nothing of the restored row.
            self._term = None
            self._ended = []
        if position > seen.position:
            self._see_row(position, text, self._clock.now_ms())
        elif position == seen.position and seen.term is None:
            self._see_row(position, text, self._seen_row.since_ms)
        if self._held_position is not None and position > self._held_position:
            # Another gateway has taken the lease, or a restore has undone it.
            self._end_term()

    def _see_row(self, position: store_rows.Position, text: str, since_ms: int) -> None:
        row = lease_handover.LeaseRow(position, decode_term(text))
        renewal_store_ms = decode_renewal_store_ms(text, position.era)
        self._seen_row = _SeenRow(row, since_ms, renewal_store_ms)

    def handover(self) -> lease_handover.Handover | None:
        """Return what this gateway tells its peers of its ended terms.

        Gives up a lease that is no longer valid: the answer to a renewal under way is
        then ignored.  None if the lease is valid, while an order is being sent, and if
        there is nothing to tell.
        """
        if self._held_position is not None and not self.is_valid:
            self._end_term()
        now_ms = self._clock.now_ms()
        self._ended = [
            each for each in self._ended if now_ms - each.ended_ms < HANDOVER_MS
        ][-lease_handover.MAX_TERMS :]
        if not self._ended or self._held_position is not None or self._open_orders:
            return None
        orders = self._order_times.to_hand_over(now_ms)
        if len(orders) > lease_handover.MAX_ORDERS:
            return None
        era = self._seen_row.row.position.era
        position = self._written_position
        if position.era != era:
            position = store_rows.Position(era, 0)
        terms = tuple(each.term for each in self._ended)
        return lease_handover.Handover(terms, position, orders)

    def apply_handover(self, handover: lease_handover.Handover, sender: str) -> None:
        """Apply what a peer has told of its ended terms."""
        if self._handovers.record(handover, self._clock.now_ms()):
            _LOG.info(
                "order lease handed over",
                sender=sender,
                position=handover.position.number,
                orders=len(handover.orders),
            )

    async def acquire_or_renew(self, rank: int = 0) -> bool:
        """Take or renew the lease if need be; return whether orders may be given.

        False while another gateway may hold it.

        Parameters
        ----------
        rank : int
            Number of gateways that should take a lease that was handed over first.

        Raises
        ------
        StoreUnavailableError
            If the store gave no valid answer.  After an `OutcomeUnknownError` of a
            renewal this gateway no longer holds the lease.
        """
        now_ms = self._clock.now_ms()
        if self._held_position is not None:
            if now_ms - self._renewed_ms < RENEWAL_MS:
                return True
            return await self._renew(self._held_position)
        row = self._seen_row.row
        is_free = row.position == _NEVER_TAKEN
        if is_free or now_ms - self._seen_row.since_ms >= self._takeover_ms:
            self._order_times.begin_term({}, now_ms)
            return await self._acquire(row.position, "unheld")
        if self._renewal_age_ms(now_ms) >= self._takeover_ms:
            self._order_times.begin_term({}, now_ms)
            return await self._acquire(row.position, "expired")
        own_handover = self.handover()
        if own_handover is not None:
            self._handovers.record(own_handover, now_ms)
        handed_over = self._handovers.find_free(row)
        if (
            handed_over is None
            or self._open_orders
            or now_ms - handed_over.since_ms < rank * HANDOVER_RANK_DELAY_MS
        ):
            return False
        self._order_times.begin_term(handed_over.order_ms_by_server, now_ms)
        return await self._acquire(handed_over.position, "handed over")

    def _renewal_age_ms(self, now_ms: int) -> int:
        """Return the shortest time that can have passed since the last renewal.

        By the store's clock; 0 if it is not known.
        """
        renewal_store_ms = self._seen_row.renewal_store_ms
        if renewal_store_ms is None:
            return 0
        return self._store_clock.shortest_age_ms(renewal_store_ms, now_ms) or 0

    async def _renew(self, held_position: store_rows.Position) -> bool:
        sent_ms = self._clock.now_ms()
        term = self._term
        try:
            result = await self._write_row(held_position, term, sent_ms)
        except store_rows.OutcomeUnknownError:
            # The row may have been written, so its version is unknown now.
            if self._term == term:
                self._end_term()
            raise
        return self._apply_result(result, held_position, sent_ms, term)

    async def _acquire(self, expected: store_rows.Position, origin: str) -> bool:
        sent_ms = self._clock.now_ms()
        term = lease_handover.TermId(secrets.randbelow(lease_handover.MAX_TERM_ID))
        self._term = term
        try:
            result = await self._write_row(expected, term, sent_ms)
        except store_rows.OutcomeUnknownError:
            if self._term == term:
                self._end_term()
            raise
        is_valid = self._apply_result(result, expected, sent_ms, term)
        if self._held_position is not None:
            self.fencing_number = self._held_position.number
            self.takeovers[origin] += 1
            _LOG.info(
                "order lease taken", origin=origin, fencing_number=self.fencing_number
            )
        return is_valid

    async def _write_row(
        self,
        expected: store_rows.Position,
        term: lease_handover.TermId | None,
        sent_ms: int,
    ) -> store_rows.WriteResult:
        document: dict[str, object] = {"holder": self._holder, "term": term}
        store_ms = self._store_clock.latest_store_ms(sent_ms)
        if store_ms is not None:
            document["renewal"] = {"era": expected.era, "storeMs": store_ms}
        text = json.dumps(document)
        return await self._store.write(
            tables.TableName.MEMBERS, LEASE_KEY, text, expected
        )

    def _apply_result(
        self,
        result: store_rows.WriteResult,
        expected: store_rows.Position,
        sent_ms: int,
        term: lease_handover.TermId | None,
    ) -> bool:
        """Hold the lease if the row was written in the era of the expected position.

        If the result is of a later era, versions were issued again and the condition
        has matched an unrelated row.  If it is of an earlier era than the newest one
        seen, the store was restored after the write.  A term that was given up
        meanwhile stays ended.  Returns whether orders may be given.
        """
        seen_era = self._seen_row.row.position.era
        is_current = result.position.era == expected.era == seen_era
        is_held = result.is_applied and is_current and self._term == term is not None
        text = json.dumps({"term": term}) if result.is_applied else result.text
        if is_held:
            self._held_position = result.position
            self._written_position = result.position
            self._renewed_ms = sent_ms
        elif self._term == term:
            self._end_term()
        self.observe(result.position, text)
        return self.is_valid

    def _end_term(self) -> None:
        """Give no further orders; all parts of the term that follow are ignored."""
        self._held_position = None
        if self._term is not None:
            self._ended.append(_EndedTerm(self._term, self._clock.now_ms()))
        self._term = None
