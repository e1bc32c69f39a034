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
    `TAKEOVER_MARGIN_MS`, so that no order of the old holder falls into that time.
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

import dataclasses
import json
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import tables

VALIDITY_MS: Final = 600
"""Time after a renewal was sent within which orders may be given."""

RENEWAL_MS: Final = 250
"""Age of a renewal at which the next one is sent: two fit into `VALIDITY_MS`."""

TAKEOVER_MARGIN_MS: Final = 300
"""Covers the travel time of a last order and differences of clock speed."""

LEASE_KEY: Final = "lease:orders"

_NEVER_TAKEN: Final = store_rows.Position(store_rows.FIRST_ERA, 0)
"""Position of the row in a store that was never restored, before the first put."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenRow:
    position: store_rows.Position
    since_ms: int


class OrderLease:
    """The lease as seen by this gateway.

    Parameters
    ----------
    handover_gap_ms : int
        Required time between the orders of two holders.

    Attributes
    ----------
    fencing_number : int
        Fencing number of this gateway's last acquisition; it goes with every order.
    """

    def __init__(
        self,
        store: tables.TableStore,
        holder: ids.VmName,
        handover_gap_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._row_text = json.dumps({"holder": holder})
        self._clock = clock
        self._takeover_ms = VALIDITY_MS + handover_gap_ms + TAKEOVER_MARGIN_MS
        self._seen_row = _SeenRow(_NEVER_TAKEN, clock.now_ms())
        self._held_position: store_rows.Position | None = None
        self._renewed_ms = 0
        self.fencing_number: int = 0

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

    def handle_new_era(self, era: int) -> None:
        """Void the lease, as the store was restored from a snapshot."""
        self.observe(store_rows.Position(era, 0))

    def observe(self, position: store_rows.Position) -> None:
        """Record the position of the row as read from the store.

        Ends the lease held here if the row has been written, or the store restored,
        since.
        """
        if position > self._seen_row.position:
            self._seen_row = _SeenRow(position, self._clock.now_ms())
        if self._held_position is not None and position > self._held_position:
            # Another gateway has taken the lease, or a restore has undone it.
            self._held_position = None

    async def acquire_or_renew(self) -> bool:
        """Take or renew the lease if need be; return whether orders may be given.

        False while another gateway may hold it.

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
        is_free = self._seen_row.position == _NEVER_TAKEN
        if not is_free and now_ms - self._seen_row.since_ms < self._takeover_ms:
            return False
        return await self._acquire(self._seen_row.position)

    async def _renew(self, held_position: store_rows.Position) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            result = await self._write_row(held_position)
        except store_rows.OutcomeUnknownError:
            # The row may have been written, so its version is unknown now.
            self._held_position = None
            raise
        return self._apply_result(result, held_position, sent_ms)

    async def _acquire(self, expected: store_rows.Position) -> bool:
        sent_ms = self._clock.now_ms()
        result = await self._write_row(expected)
        is_valid = self._apply_result(result, expected, sent_ms)
        if self._held_position is not None:
            self.fencing_number = self._held_position.number
        return is_valid

    async def _write_row(self, expected: store_rows.Position) -> store_rows.WriteResult:
        return await self._store.write(
            tables.TableName.MEMBERS, LEASE_KEY, self._row_text, expected
        )

    def _apply_result(
        self,
        result: store_rows.WriteResult,
        expected: store_rows.Position,
        sent_ms: int,
    ) -> bool:
        """Hold the lease if the row was written in the era of the expected position.

        If the result is of a later era, versions were issued again and the condition
        has matched an unrelated row.  If it is of an earlier era than the newest one
        seen, the store was restored after the write.  Returns whether orders may be
        given.
        """
        is_current = result.position.era == expected.era == self._seen_row.position.era
        is_held = result.is_applied and is_current
        self._held_position = result.position if is_held else None
        if is_held:
            self._renewed_ms = sent_ms
        self.observe(result.position)
        return self.is_valid
