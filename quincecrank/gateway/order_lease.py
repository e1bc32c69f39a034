"""The lease under which one gateway gives orders to engines.

The lease is one row of the platform's store.  Its holder renews it while there are
orders to give, and orders only for a short time after a renewal was *sent*, on its
own steady clock; a holder that was frozen has to renew first, and finds the lease
taken.  Another gateway takes the lease over only after it has seen the row
unchanged for long enough that no order of the holder can follow within the time
that orders of two holders must be apart.

The fencing number is the version of the row that took the lease: versions only
grow, so it is higher than that of every earlier holder.
"""

import dataclasses
import json
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import tables

VALIDITY_MS: Final = 800
"""Time after the sending of a renewal in which orders may be given."""

RENEWAL_MS: Final = 400
"""Interval of renewals: two fit into the validity."""

MARGIN_MS: Final = 700
"""Covers the way of a last order and differences of clock speed."""

LEASE_KEY: Final = "orders"


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
        self._seen: _Seen | None = None
        self._held_version: int | None = None
        self._valid_until_ms = 0
        self.fencing_number: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether this gateway may give an order now."""
        return (
            self._held_version is not None
            and self._clock.now_ms() < self._valid_until_ms
        )

    @property
    def is_held(self) -> bool:
        """Whether this gateway was the holder at its last renewal."""
        return self._held_version is not None

    async def acquire_or_renew(self) -> bool:
        """Take or renew the lease; return whether orders may be given now.

        Raises
        ------
        StoreUnavailableError
            If the store gave no answer.
        """
        if self._held_version is not None:
            return await self._renew()
        if self._seen is None:
            # The first write tells the row's version, whoever holds it.
            return await self._write(0)
        now_ms = self._clock.now_ms()
        if now_ms - self._seen.since_ms < self._takeover_ms:
            await self._look()
            return False
        return await self._write(self._seen.version)

    async def _look(self) -> None:
        """Learn the version of the row without changing it."""
        everything = await self._store.read_all(tables.TableName.LEASES)
        for row in everything.rows:
            if row.key == LEASE_KEY:
                self._note(row.version)

    async def _renew(self) -> bool:
        assert self._held_version is not None
        held = self._held_version
        sent_ms = self._clock.now_ms()
        try:
            result = await self._put(held)
        except tables.OutcomeUnknownError:
            # The renewal may have been done: the version is unknown now.
            self._held_version = None
            self._seen = None
            raise
        if not result.is_applied:
            self._held_version = None
            self._note(result.version)
            return False
        self._hold(result.version, sent_ms)
        return True

    async def _write(self, expected_version: int) -> bool:
        sent_ms = self._clock.now_ms()
        result = await self._put(expected_version)
        if not result.is_applied:
            self._note(result.version)
            return False
        self.fencing_number = result.version
        self._hold(result.version, sent_ms)
        return True

    async def _put(self, expected_version: int) -> tables.WriteResult:
        return await self._store.write(
            tables.TableName.LEASES, LEASE_KEY, self._text, expected_version
        )

    def _hold(self, version: int, sent_ms: int) -> None:
        self._held_version = version
        self._valid_until_ms = sent_ms + VALIDITY_MS

    def _note(self, version: int) -> None:
        if self._seen is None or self._seen.version != version:
            self._seen = _Seen(version, self._clock.now_ms())
