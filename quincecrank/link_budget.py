"""Sharing of the links to the store VMs between agents, without a coordinator.

A link is the network bandwidth to one tier of a store VM.  Restores, for which a caller
waits, start at once.  Prefetches and write-backs are paced at a rate that each agent
adjusts by itself.  It starts at the part of the link that is not reserved for restores
and is lowered to at most an equal share among the active agents.  It grows while
transfers are about as fast as on an idle link and is halved when they are slow, which
shows that other agents use the link.

Entries estimate the rate and the waiting bytes of each link, see `LinkEstimates`.
"""

import dataclasses
import enum
from typing import Final

from quincecrank import chain_view, clock, ids, routing

RESTORE_RESERVE_FRACTION: Final = 0.5
"""Fraction of a link that prefetches and write-backs leave to restores."""

_INCREASE_FRACTION: Final = 0.02
"""Fraction of the link by which the rate grows after each fast transfer."""

_DECREASE_FACTOR: Final = 0.5
"""Factor on the rate after each slow transfer."""

_MIN_RATE_FRACTION: Final = 0.005
"""Fraction of the link below which the rate of an agent does not fall."""

_SLOW_FACTOR: Final = 2.0
"""Multiple of the time on an idle link above which a transfer counts as slow."""

_OVERHEAD_MS: Final = 5.0
"""Time that a transfer takes in addition to the time for its bytes."""

_SMOOTHING: Final = 0.2
"""Weight of a new observation in an exponential moving average."""


class TransferKind(enum.Enum):
    """Purpose of a transfer."""

    RESTORE = "restore"
    PREFETCH = "prefetch"
    WRITE_BACK = "write-back"


class LinkBudget:
    """Paces one agent's transfers over the link of one tier of a store VM.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the link.  All rates of this class have this unit.
    """

    def __init__(self, bytes_per_second: float, now_ms: int) -> None:
        self._link_rate = bytes_per_second
        self._paced_rate = bytes_per_second * (1 - RESTORE_RESERVE_FRACTION)
        self._paced_until_ms = float(now_ms)
        self._running_restores = 0

    @property
    def paced_bytes_per_second(self) -> float:
        """Rate of this agent's prefetches and write-backs together."""
        return self._paced_rate

    def set_active_agents(self, count: int) -> None:
        """Lower the rate to at most an equal share among `count` agents."""
        share = self._link_rate * (1 - RESTORE_RESERVE_FRACTION) / max(1, count)
        self._paced_rate = min(
            self._paced_rate,
            max(share, self._link_rate * _MIN_RATE_FRACTION),
        )

    def delay_ms(self, kind: TransferKind, now_ms: int) -> float | None:
        """Return the delay before a transfer; None if it waits for running restores."""
        if kind is TransferKind.RESTORE:
            return 0.0
        if self._running_restores:
            return None
        return max(0.0, self._paced_until_ms - now_ms)

    def record_start(self, kind: TransferKind, size_bytes: int, now_ms: int) -> None:
        """Record that a transfer has started."""
        if kind is TransferKind.RESTORE:
            self._running_restores += 1
            return
        start_ms = max(self._paced_until_ms, float(now_ms))
        duration_ms = size_bytes * clock.MS_PER_SECOND / self._paced_rate
        self._paced_until_ms = start_ms + duration_ms

    def record_end(
        self, kind: TransferKind, size_bytes: int, duration_ms: float
    ) -> None:
        """Adjust the rate to a transfer that has ended, successful or not."""
        if kind is TransferKind.RESTORE:
            self._running_restores -= 1
            return
        idle_link_ms = _OVERHEAD_MS + size_bytes * clock.MS_PER_SECOND / self._link_rate
        if duration_ms > _SLOW_FACTOR * idle_link_ms:
            self._paced_rate *= _DECREASE_FACTOR
        else:
            self._paced_rate += self._link_rate * _INCREASE_FRACTION
        max_rate = self._link_rate * (1 - RESTORE_RESERVE_FRACTION)
        self._paced_rate = min(
            max(
                self._paced_rate,
                self._link_rate * _MIN_RATE_FRACTION,
            ),
            max_rate,
        )


@dataclasses.dataclass(slots=True)
class _OwnRestore:
    """Bytes that a request of this entry restores over each link."""

    planned_ms: int
    bytes_by_store_tier: dict[tuple[ids.VmName, ids.TierName], int]


@dataclasses.dataclass(slots=True)
class _Link:
    """Configured and observed rate of one link, in bytes per second."""

    configured: float
    observed: float
    waiting_bytes: int = 0


class LinkEstimates:
    """An entry's estimates of the links, for the routing decision."""

    def __init__(self) -> None:
        self._links_by_store_tier: dict[tuple[ids.VmName, ids.TierName], _Link] = {}
        self._restores_by_request: dict[ids.RequestId, _OwnRestore] = {}

    def set_link(
        self, store: ids.VmName, tier: ids.TierName, bytes_per_second: float
    ) -> None:
        """Add a link of the configuration, or change its rate."""
        current = self._links_by_store_tier.get((store, tier))
        if current is None or current.configured != bytes_per_second:
            link = _Link(bytes_per_second, bytes_per_second)
            self._links_by_store_tier[(store, tier)] = link

    def remove_store(self, store: ids.VmName) -> None:
        """Remove the links of a store VM that has left."""
        for store_tier in tuple(self._links_by_store_tier):
            if store_tier[0] == store:
                del self._links_by_store_tier[store_tier]

    def record_planned_restores(
        self,
        request: ids.RequestId,
        restore: tuple[chain_view.StoredBlock, ...],
        block_bytes: int,
        now_ms: int,
    ) -> None:
        """Count the restores of a request that is being sent."""
        bytes_by_store_tier: dict[tuple[ids.VmName, ids.TierName], int] = {}
        for copy in restore:
            store_tier = (copy.store, copy.tier)
            bytes_by_store_tier[store_tier] = (
                bytes_by_store_tier.get(store_tier, 0) + block_bytes
            )
        self._restores_by_request[request] = _OwnRestore(now_ms, bytes_by_store_tier)
        self._add_waiting(bytes_by_store_tier, 1)

    def record_restore_end(
        self, request: ids.RequestId, duration_ms: float | None
    ) -> None:
        """Remove the restores of a request that have ended.

        A given duration updates the rate of the link that transferred most.
        """
        own_restore = self._restores_by_request.pop(request, None)
        if own_restore is None:
            return
        waiting_bytes_before = {
            store_tier: link.waiting_bytes
            for store_tier, link in self._links_by_store_tier.items()
        }
        self._add_waiting(own_restore.bytes_by_store_tier, -1)
        if duration_ms is None or not own_restore.bytes_by_store_tier:
            return
        largest = max(
            own_restore.bytes_by_store_tier,
            key=lambda store_tier: own_restore.bytes_by_store_tier[store_tier],
        )
        link = self._links_by_store_tier.get(largest)
        if link is None:
            return
        # The restore shared the link with all bytes that waited at it.
        transferred = max(
            own_restore.bytes_by_store_tier[largest], waiting_bytes_before[largest]
        )
        observed = transferred * clock.MS_PER_SECOND / max(duration_ms, 1.0)
        observed = min(observed, link.configured)
        link.observed += _SMOOTHING * (observed - link.observed)

    def states(self) -> tuple[routing.LinkState, ...]:
        """Return the states of all links for the routing decision."""
        return tuple(
            routing.LinkState(
                store, tier, link.observed, link.waiting_bytes, _OVERHEAD_MS
            )
            for (store, tier), link in self._links_by_store_tier.items()
        )

    def _add_waiting(
        self, bytes_by_store_tier: dict[tuple[ids.VmName, ids.TierName], int], sign: int
    ) -> None:
        for store_tier, size_bytes in bytes_by_store_tier.items():
            link = self._links_by_store_tier.get(store_tier)
            if link is not None:
                link.waiting_bytes = max(0, link.waiting_bytes + sign * size_bytes)
