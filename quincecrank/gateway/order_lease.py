"""The lease under which one gateway gives orders to engines.

The lease is one row of the platform's store.  Its holder renews it while there are
orders to give, and orders only for a short time after a renewal was *sent*, on its
own steady clock; a holder that was frozen has to renew first, and finds the lease
taken.  Another gateway takes the lease over only after it has seen the row
unchanged for so long that no order of the holder can follow within the time that
orders of two holders must be apart.

The fencing number is the version of the row that took the lease: versions only
grow, so it is higher than that of every earlier holder.
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    version: int
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
        self._seen = _Seen(0, clock.now_ms())
        self._held_version: int | None = None
        self._renewed_ms = 0
        self.fencing_number: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether this gateway may give an order now."""
        age_ms = self._clock.now_ms() - self._renewed_ms
        return self._held_version is not None and age_ms < VALIDITY_MS

    @property
    def is_held(self) -> bool:
        """Whether this gateway was the holder at its last renewal."""
        return self._held_version is not None

    def observe(self, version: int) -> None:
        """Take the version of the row, as followed from the store."""
        if version > self._seen.version:
            self._seen = _Seen(version, self._clock.now_ms())
        if self._held_version is not None and version > self._held_version:
            # Another gateway has taken the lease.
            self._held_version = None

    async def acquire_or_renew(self) -> bool:
        """Take or renew the lease if need be; return whether orders may be given.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer.
        """
        now_ms = self._clock.now_ms()
        if self._held_version is not None:
            if now_ms - self._renewed_ms < RENEWAL_MS:
                return True
            return await self._renew(self._held_version)
        is_free = self._seen.version == 0
        if not is_free and now_ms - self._seen.since_ms < self._takeover_ms:
            return False
        return await self._take(self._seen.version)

    async def _renew(self, held_version: int) -> bool:
        sent_ms = self._clock.now_ms()
        try:
            result = await self._put(held_version)
        except store_rows.OutcomeUnknownError:
            # The renewal may have been done: the row's version is unknown now.
            self._held_version = None
            raise
        if not result.is_applied:
            self._held_version = None
            self.observe(result.version)
            return False
        self._hold(result.version, sent_ms)
        return self.is_valid

    async def _take(self, expected_version: int) -> bool:
        sent_ms = self._clock.now_ms()
        result = await self._put(expected_version)
        if not result.is_applied:
            self.observe(result.version)
            return False
        self.fencing_number = result.version
        self._hold(result.version, sent_ms)
        return self.is_valid

    async def _put(self, expected_version: int) -> store_rows.WriteResult:
        return await self._store.write(
            tables.TableName.MEMBERS, LEASE_KEY, self._text, expected_version
        )

    def _hold(self, version: int, sent_ms: int) -> None:
        self._held_version = version
        self._renewed_ms = sent_ms
        if version > self._seen.version:
            self._seen = _Seen(version, self._clock.now_ms())
