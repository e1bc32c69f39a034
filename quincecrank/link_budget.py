"""Shares of the links to the store VMs, without a coordinator.

Restores that a caller waits for start at once.  Prefetches and write-backs are
paced at a rate that each agent finds for itself: it starts from an equal share of
the link among the agents that are active, grows while transfers are as fast as the
link allows and is halved when they are slow, which is how the agents notice each
other.
"""

import dataclasses
import enum
from typing import Final

from quincecrank import chain_view, clock, ids, routing

RESTORE_RESERVE: Final = 0.5
"""Part of a link that prefetches and write-backs leave to restores."""

_INCREASE_SHARE: Final = 0.02
"""Part of the link by which the rate grows after each fast transfer."""

_DECREASE_FACTOR: Final = 0.5
_MIN_SHARE: Final = 0.005
_SLOW_FACTOR: Final = 2.0
"""Multiple of the time on an idle link above which a transfer was slow."""

_OVERHEAD_MS: Final = 5.0
_SMOOTHING: Final = 0.2
"""Weight of a new observation in an average."""


class TransferKind(enum.Enum):
    """What a transfer is for."""

    RESTORE = "restore"
    PREFETCH = "prefetch"
    WRITE_BACK = "write-back"


class LinkBudget:
    """Aggregate of one agent's transfers over the link of one tier of a store VM.

    Parameters
    ----------
    bytes_per_second : float
        What the link carries.
    """

    def __init__(self, bytes_per_second: float, now_ms: int) -> None:
        self._link = bytes_per_second
        self._rate = bytes_per_second * (1 - RESTORE_RESERVE)
        self._paced_until_ms = float(now_ms)
        self._restores = 0

    @property
    def paced_bytes_per_second(self) -> float:
        """Rate that is left for prefetches and write-backs of this agent."""
        return self._rate

    def set_active_agents(self, count: int) -> None:
        """Lower the rate to an equal share when more agents use the link."""
        share = self._link * (1 - RESTORE_RESERVE) / max(1, count)
        self._rate = min(self._rate, max(share, self._link * _MIN_SHARE))

    def delay_ms(self, kind: TransferKind, now_ms: int) -> float | None:
        """Return when a transfer may start, or None while restores go first."""
        if kind is TransferKind.RESTORE:
            return 0.0
        if self._restores:
            return None
        return max(0.0, self._paced_until_ms - now_ms)

    def started(self, kind: TransferKind, size_bytes: int, now_ms: int) -> None:
        """Record that a transfer has started."""
        if kind is TransferKind.RESTORE:
            self._restores += 1
            return
        start_ms = max(self._paced_until_ms, float(now_ms))
        duration_ms = size_bytes * clock.MS_PER_SECOND / self._rate
        self._paced_until_ms = start_ms + duration_ms

    def ended(self, kind: TransferKind, size_bytes: int, duration_ms: float) -> None:
        """Learn from a transfer that has ended, successful or not."""
        if kind is TransferKind.RESTORE:
            self._restores -= 1
            return
        alone_ms = _OVERHEAD_MS + size_bytes * clock.MS_PER_SECOND / self._link
        if duration_ms > _SLOW_FACTOR * alone_ms:
            self._rate *= _DECREASE_FACTOR
        else:
            self._rate += self._link * _INCREASE_SHARE
        most = self._link * (1 - RESTORE_RESERVE)
        self._rate = min(max(self._rate, self._link * _MIN_SHARE), most)


@dataclasses.dataclass(slots=True)
class _OwnRestore:
    """Bytes that a request of this entry restores over each link."""

    planned_ms: int
    bytes_by_link: dict[tuple[ids.VmName, ids.TierName], int]


@dataclasses.dataclass(slots=True)
class _Link:
    """What an entry knows of one link."""

    configured: float
    observed: float
    waiting_bytes: int = 0


class LinkEstimates:
    """Aggregate of an entry's view of the links, for the routing decision."""

    def __init__(self) -> None:
        self._links_by_place: dict[tuple[ids.VmName, ids.TierName], _Link] = {}
        self._restores_by_request: dict[ids.RequestId, _OwnRestore] = {}

    def set_link(
        self, store: ids.VmName, tier: ids.TierName, bytes_per_second: float
    ) -> None:
        """Add a link of the configuration, or change its rate."""
        known = self._links_by_place.get((store, tier))
        if known is None or known.configured != bytes_per_second:
            link = _Link(bytes_per_second, bytes_per_second)
            self._links_by_place[(store, tier)] = link

    def remove_store(self, store: ids.VmName) -> None:
        """Forget the links of a store VM that has left."""
        for place in tuple(self._links_by_place):
            if place[0] == store:
                del self._links_by_place[place]

    def planned(
        self,
        request: ids.RequestId,
        restore: tuple[chain_view.StoredBlock, ...],
        block_bytes: int,
        now_ms: int,
    ) -> None:
        """Count the restores of a request that is being sent."""
        bytes_by_link: dict[tuple[ids.VmName, ids.TierName], int] = {}
        for copy in restore:
            place = (copy.store, copy.tier)
            bytes_by_link[place] = bytes_by_link.get(place, 0) + block_bytes
        self._restores_by_request[request] = _OwnRestore(now_ms, bytes_by_link)
        self._add_waiting(bytes_by_link, 1)

    def restored(self, request: ids.RequestId, duration_ms: float | None) -> None:
        """Learn from restores that have ended; None if their time is not known."""
        own = self._restores_by_request.pop(request, None)
        if own is None:
            return
        waiting_before = {
            place: link.waiting_bytes for place, link in self._links_by_place.items()
        }
        self._add_waiting(own.bytes_by_link, -1)
        if duration_ms is None or not own.bytes_by_link:
            return
        longest = max(own.bytes_by_link, key=lambda place: own.bytes_by_link[place])
        link = self._links_by_place.get(longest)
        if link is None:
            return
        moved = max(own.bytes_by_link[longest], waiting_before[longest])
        observed = moved * clock.MS_PER_SECOND / max(duration_ms, 1.0)
        observed = min(observed, link.configured)
        link.observed += _SMOOTHING * (observed - link.observed)

    def states(self) -> tuple[routing.LinkState, ...]:
        """Return the links for the routing decision."""
        return tuple(
            routing.LinkState(
                store, tier, link.observed, link.waiting_bytes, _OVERHEAD_MS
            )
            for (store, tier), link in self._links_by_place.items()
        )

    def _add_waiting(
        self, bytes_by_link: dict[tuple[ids.VmName, ids.TierName], int], sign: int
    ) -> None:
        for place, size_bytes in bytes_by_link.items():
            link = self._links_by_place.get(place)
            if link is not None:
                link.waiting_bytes = max(0, link.waiting_bytes + sign * size_bytes)
