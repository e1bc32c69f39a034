"""The lease under which one gateway gives orders to engines.

The lease is one row of the platform's store.  Its holder renews it while there are
orders to give, and orders only for a short time after a renewal was *sent*, on its
own steady clock; a holder that was frozen has to renew first, and finds the lease
taken.  Another gateway takes the lease over only after it has seen the row
unchanged for so long that no order of the holder can follow within the time that
orders of two holders must be apart.

The fencing number is the position of the row that took the lease, as one number:
positions only grow, so it is higher than that of every earlier holder.  A restore of
the store from a copy undoes takes and renewals and gives versions out again, but the
era in the number's high part has risen.  A restore voids the lease at once, and
nobody takes it before the orders of the last holder, which may not have heard of the
restore yet, can have ended.
"""

import dataclasses
import json
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import tables

VALIDITY_MS: Final = 600
"""Time after the sending of a renewal in which orders may be given."""

RENEWAL_MS: Final = 250
"""Age of a renewal at which the next one is sent: two fit into the validity."""

MARGIN_MS: Final = 300
"""Covers the way of a last order and differences of clock speed."""

LEASE_KEY: Final = "lease:orders"

_NEVER_TAKEN: Final = store_rows.Position(store_rows.FIRST_ERA, 0)
"""Position of the row in a store that was never restored, before the first put."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    position: store_rows.Position
    since_ms: int


class OrderLease:
    """Aggregate of what this gateway knows of the lease.

    Parameters
    ----------
    order_lease_ms : int
        Time for which orders of two holders must be apart.

    Attributes
    ----------
    fencing_number : int
        Number of the orders given under the lease as it was last taken.
    """

    def __init__(
        self,
        store: tables.TableStore,
        holder: ids.VmName,
        order_lease_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._text = json.dumps({"holder": holder})
        self._clock = clock
        self._takeover_ms = VALIDITY_MS + order_lease_ms + MARGIN_MS
        self._seen = _Seen(_NEVER_TAKEN, clock.now_ms())
        self._held: store_rows.Position | None = None
        self._renewed_ms = 0
        self.fencing_number: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether this gateway may give an order now."""
        age_ms = self._clock.now_ms() - self._renewed_ms
        return self._held is not None and age_ms < VALIDITY_MS

    @property
    def is_held(self) -> bool:
        """Whether this gateway was the holder at its last renewal."""
        return self._held is not None

    def era_began(self, era: int) -> None:
        """Give the lease up, as the store was restored from a copy."""
        self.observe(store_rows.Position(era, 0))

    def observe(self, position: store_rows.Position) -> None:
        """Take the position of the row, as followed from the store."""
        if position > self._seen.position:
            self._seen = _Seen(position, self._clock.now_ms())
        if self._held is not None and position > self._held:
            # Another gateway has taken the lease, or the store has lost it.
            self._held = None

    async def acquire_or_renew(self) -> bool:
        """Take or renew the lease if need be; return whether orders may be given.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer.
        """
        now_ms = self._clock.now_ms()
        if self._held is not None:
            if now_ms - self._renewed_ms < RENEWAL_MS:
                return True
            return await self._renew(self._held)
        is_free = self._seen.position == _NEVER_TAKEN
        if not is_free and now_ms - self._seen.since_ms < self._takeover_ms:
            return False
        return await self._take(self._seen.position)

    async def _renew(self, held: store_rows.Position) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            result = await self._put(held)
        except store_rows.OutcomeUnknownError:
            # The renewal may have been done: the row's version is unknown now.
            self._held = None
            raise
        return self._take_result(result, held, sent_ms)

    async def _take(self, expected: store_rows.Position) -> bool:
        sent_ms = self._clock.now_ms()
        result = await self._put(expected)
        is_valid = self._take_result(result, expected, sent_ms)
        if self._held is not None:
            self.fencing_number = self._held.number
        return is_valid

    async def _put(self, expected: store_rows.Position) -> store_rows.WriteResult:
        return await self._store.write(
            tables.TableName.MEMBERS, LEASE_KEY, self._text, expected
        )

    def _take_result(
        self,
        result: store_rows.WriteResult,
        expected: store_rows.Position,
        sent_ms: int,
    ) -> bool:
        """Hold the lease if the row was written in the era of its condition.

        In a later era the condition has met another row by chance.  An answer of an
        era before the one seen is late, as is an answer of the era before a restore
        that became known meanwhile.
        """
        is_current = result.position.era == expected.era == self._seen.position.era
        is_held = result.is_applied and is_current
        self._held = result.position if is_held else None
        if is_held:
            self._renewed_ms = sent_ms
        self.observe(result.position)
        return self.is_valid
