"""The demand for engines at all gateways, from the figures in their reports.

Load pattern: each of some fifty gateways gets a few requests a second of several kinds.
Its own starts are too few to tell how long a request of some kind will wait, and the
engines are shared by all.  So each gateway publishes, by service and queue class, what
waits and what it has started in the last second, in requests and in tokens of engine
memory.

Invariant: the totals are sums of the last figures of the peers, without those older
than `MAX_AGE_MS`.  They are made on use and kept for `TOTALS_INTERVAL_MS`, so that
neither a report nor a decision costs more with more peers.
"""

import collections
import dataclasses
import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import Final, NewType

from quincecrank import ids
from quincecrank.gateway import request_queue

ServiceKey = NewType("ServiceKey", int)
"""32-bit checksum of a service's name, which is shorter than the name."""

START_WINDOW_MS: Final = 1_000
"""Length of the window whose starts are counted."""

MAX_AGE_MS: Final = 1_000
"""Age from which a peer's figures no longer count: three to seven report intervals."""

TOTALS_INTERVAL_MS: Final = 100
"""Time for which totals are kept: a third of the report interval of a large fleet."""

MIN_REPORTING_FRACTION: Final = 0.5
"""Fraction of the known gateways, this one included, whose figures are needed."""

MAX_CLASSES: Final = 8
"""Most queue classes of a service in a report, the first ones by rank: two kinds of
requests, on time and late, make four."""

_FORMAT: Final = 1
"""Version of the packed form, its first byte."""

_SERVICE: Final = struct.Struct("<IB")
_CLASS: Final = struct.Struct("<HHHIIH")
_MAX_UINT16: Final = 0xFFFF
_MAX_UINT32: Final = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True)
class ClassDemand:
    """Demand of one queue class of a service.

    Attributes
    ----------
    waiting, waiting_tokens : int
        Requests that wait, and the engine memory that they need.
    started, started_tokens : int
        The same of those that were started within `START_WINDOW_MS`.
    target_ms : int
        Shortest time from the first attempt within which one of them is on time.
    """

    waiting: int = 0
    waiting_tokens: int = 0
    started: int = 0
    started_tokens: int = 0
    target_ms: int = _MAX_UINT16

    def add(self, other: "ClassDemand") -> "ClassDemand":
        """Return the sum of two demands."""
        return ClassDemand(
            self.waiting + other.waiting,
            self.waiting_tokens + other.waiting_tokens,
            self.started + other.started,
            self.started_tokens + other.started_tokens,
            min(self.target_ms, other.target_ms),
        )


DemandByRank = Mapping[int, ClassDemand]
"""Demand of a service by the rank of the queue class."""

DemandByService = Mapping[ServiceKey, DemandByRank]
"""Demand at a gateway by service; empty if nothing waits and nothing was started."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Figures:
    received_ms: int
    demand_by_service: DemandByService


class SharedDemand:
    """The figures of the live peers, and their totals.

    Attributes
    ----------
    known_gateways : int
        Number of gateways that may be alive, this one included.
    """

    def __init__(self) -> None:
        self.known_gateways = 1
        self._figures_by_peer: dict[ids.VmName, _Figures] = {}
        self._totals_by_service: dict[ServiceKey, DemandByRank] = {}
        self._totals_ms: int | None = None

    @property
    def reporting_peers(self) -> int:
        """Number of peers whose figures count."""
        return len(self._figures_by_peer)

    def apply_report(
        self,
        peer: ids.VmName,
        demand_by_service: DemandByService | None,
        now_ms: int,
    ) -> None:
        """Replace the figures of a peer; without effect for a report without any."""
        if demand_by_service is not None:
            self._figures_by_peer[peer] = _Figures(now_ms, demand_by_service)

    def suffices(self, now_ms: int) -> bool:
        """Return whether the figures of enough gateways are recent."""
        if self._totals_ms is None or now_ms - self._totals_ms >= TOTALS_INTERVAL_MS:
            self._update_totals(now_ms)
        reporting = len(self._figures_by_peer)
        return (
            reporting > 0
            and 1 + reporting >= self.known_gateways * MIN_REPORTING_FRACTION
        )

    def totals(self, service: ServiceKey, now_ms: int) -> DemandByRank | None:
        """Return the demand at the peers; None if too few of them are known."""
        if not self.suffices(now_ms):
            return None
        return self._totals_by_service.get(service, {})

    def _update_totals(self, now_ms: int) -> None:
        """Remove figures that are too old, and sum the others."""
        self._totals_ms = now_ms
        self._figures_by_peer = {
            peer: figures
            for peer, figures in self._figures_by_peer.items()
            if now_ms - figures.received_ms < MAX_AGE_MS
        }
        totals_by_service: dict[ServiceKey, dict[int, ClassDemand]] = {}
        for figures in self._figures_by_peer.values():
            for service, demand_by_rank in figures.demand_by_service.items():
                totals = totals_by_service.setdefault(service, {})
                for rank, demand in demand_by_rank.items():
                    known = totals.get(rank)
                    totals[rank] = demand if known is None else known.add(demand)
        self._totals_by_service = dict(totals_by_service)


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    at_ms: int
    rank: int
    tokens: int
    target_ms: int


class OwnDemand:
    """What waits at this gateway for one service, and what it has started."""

    def __init__(self) -> None:
        self._starts: collections.deque[_Start] = collections.deque()

    def record_start(self, request: request_queue.QueuedRequest, now_ms: int) -> None:
        """Record a request that got an engine."""
        rank = request_queue.queue_class_of(request, now_ms).rank
        self._starts.append(
            _Start(now_ms, rank, request.memory_tokens, request.target_ms)
        )
        self._remove_old(now_ms)

    def by_rank(
        self, waiting: Iterable[request_queue.QueuedRequest], now_ms: int
    ) -> dict[int, ClassDemand]:
        """Return the demand by the rank of the queue class."""
        self._remove_old(now_ms)
        demand_by_rank: collections.defaultdict[int, ClassDemand] = (
            collections.defaultdict(ClassDemand)
        )
        for start in self._starts:
            demand_by_rank[start.rank] = demand_by_rank[start.rank].add(
                ClassDemand(0, 0, 1, start.tokens, start.target_ms)
            )
        for request in waiting:
            rank = request_queue.queue_class_of(request, now_ms).rank
            demand_by_rank[rank] = demand_by_rank[rank].add(
                ClassDemand(1, request.memory_tokens, 0, 0, request.target_ms)
            )
        return dict(demand_by_rank)

    def _remove_old(self, now_ms: int) -> None:
        while self._starts and now_ms - self._starts[0].at_ms >= START_WINDOW_MS:
            self._starts.popleft()


def service_key(service: str) -> ServiceKey:
    """Return the key of a service."""
    return ServiceKey(zlib.crc32(service.encode()))


def pack(demand_by_service: DemandByService | None) -> bytes:
    """Return figures as bytes, the first `MAX_CLASSES` of each service.

    None, of a gateway that has no figures to share, makes no bytes.
    """
    if demand_by_service is None:
        return b""
    parts = [bytes((_FORMAT,))]
    for service, demand_by_rank in demand_by_service.items():
        ranks = sorted(demand_by_rank)[:MAX_CLASSES]
        parts.append(_SERVICE.pack(service, len(ranks)))
        for rank in ranks:
            demand = demand_by_rank[rank]
            parts.append(
                _CLASS.pack(
                    rank,
                    min(demand.waiting, _MAX_UINT16),
                    min(demand.started, _MAX_UINT16),
                    min(demand.waiting_tokens, _MAX_UINT32),
                    min(demand.started_tokens, _MAX_UINT32),
                    min(demand.target_ms, _MAX_UINT16),
                )
            )
    return b"".join(parts)


def unpack(packed: bytes) -> DemandByService | None:
    """Return the figures of packed bytes; None for no bytes or another format.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    if not packed or packed[0] != _FORMAT:
        return None
    demand_by_service: dict[ServiceKey, DemandByRank] = {}
    offset = 1
    try:
        while offset < len(packed):
            key, count = _SERVICE.unpack_from(packed, offset)
            offset += _SERVICE.size
            demand_by_rank = {}
            for _ in range(count):
                rank, waiting, started, waiting_tokens, started_tokens, target_ms = (
                    _CLASS.unpack_from(packed, offset)
                )
                offset += _CLASS.size
                demand_by_rank[rank] = ClassDemand(
                    waiting, waiting_tokens, started, started_tokens, target_ms
                )
            demand_by_service[ServiceKey(key)] = demand_by_rank
    except struct.error as error:
        raise ValueError(f"demand of a peer: {error}") from error
    return demand_by_service
