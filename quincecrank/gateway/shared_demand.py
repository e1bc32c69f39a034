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
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NewType

from quincecrank import ids
from quincecrank.gateway import request_queue

ServiceKey = NewType("ServiceKey", int)
"""32-bit checksum of a service's name, which is shorter than the name."""

AccountKey = NewType("AccountKey", int)
"""32-bit checksum of an account's name."""

START_WINDOW_MS: Final = 1_000
"""Length of the window whose starts are counted."""

MAX_AGE_MS: Final = 1_000
"""Age from which a peer's figures no longer count: three to seven report intervals."""

TOTALS_INTERVAL_MS: Final = 200
"""Time for which totals are kept, less than the report interval of a large fleet.  To
sum the reports of 45 peers takes half a millisecond, and some gateways have a quarter
of a core."""

MIN_REPORTING_FRACTION: Final = 0.5
"""Fraction of the known gateways, this one included, whose figures are needed."""

MAX_CLASSES: Final = 8
"""Most queue classes of a service in a report, the first ones by rank: two kinds of
requests, on time and late, make four."""

MAX_ACCOUNTS: Final = 6
"""Most accounts of a service in a report, the largest ones: a gateway of a large fleet
starts some six requests a second."""

_FORMAT: Final = 1
"""Version of the packed form, its first byte."""

_SERVICE: Final = struct.Struct("<IBB")
_CLASS: Final = struct.Struct("<HHIHIH")
_ACCOUNT: Final = struct.Struct("<BIHI")
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


@dataclasses.dataclass(frozen=True, slots=True)
class AccountDemand:
    """Demand of one account among the requests of one urgency.

    Attributes
    ----------
    waiting : int
        Requests that wait.
    started_tokens : int
        Engine memory of those that were started within `START_WINDOW_MS`.
    """

    waiting: int = 0
    started_tokens: int = 0

    def add(self, other: "AccountDemand") -> "AccountDemand":
        """Return the sum of two demands."""
        return AccountDemand(
            self.waiting + other.waiting, self.started_tokens + other.started_tokens
        )


UrgencyAndAccount = tuple[int, AccountKey]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand of one service, by queue class and by account."""

    by_rank: DemandByRank = dataclasses.field(default_factory=dict)
    by_account: Mapping[UrgencyAndAccount, AccountDemand] = dataclasses.field(
        default_factory=dict
    )

    def add(self, other: "ServiceDemand") -> "ServiceDemand":
        """Return the sum of two demands."""
        by_rank = dict(self.by_rank)
        for rank, demand in other.by_rank.items():
            known = by_rank.get(rank)
            by_rank[rank] = demand if known is None else known.add(demand)
        by_account = dict(self.by_account)
        for key, account in other.by_account.items():
            before = by_account.get(key)
            by_account[key] = account if before is None else before.add(account)
        return ServiceDemand(by_rank, by_account)


_NO_DEMAND: Final = ServiceDemand()


class _Sums:
    """Sums of packed figures; lists of numbers, as dataclasses take ten times as long.

    The numbers of a class and an account are in the order of the fields of
    `ClassDemand` and `AccountDemand`.
    """

    def __init__(self) -> None:
        self._by_rank_by_service: dict[ServiceKey, dict[int, list[int]]] = {}
        self._by_account_by_service: dict[
            ServiceKey, dict[UrgencyAndAccount, list[int]]
        ] = {}

    def add(self, packed: bytes) -> None:
        """Add well-formed figures."""
        for service, classes, accounts in _parts(packed):
            by_rank = self._by_rank_by_service.setdefault(service, {})
            for (
                rank,
                waiting,
                waiting_tokens,
                started,
                tokens,
                target_ms,
            ) in _CLASS.iter_unpack(classes):
                known = by_rank.get(rank)
                if known is None:
                    by_rank[rank] = [
                        waiting,
                        waiting_tokens,
                        started,
                        tokens,
                        target_ms,
                    ]
                    continue
                known[0] += waiting
                known[1] += waiting_tokens
                known[2] += started
                known[3] += tokens
                known[4] = min(known[4], target_ms)
            by_account = self._by_account_by_service.setdefault(service, {})
            for urgency, account, waiting, tokens in _ACCOUNT.iter_unpack(accounts):
                key = (urgency, AccountKey(account))
                before = by_account.get(key)
                if before is None:
                    by_account[key] = [waiting, tokens]
                    continue
                before[0] += waiting
                before[1] += tokens

    def totals(self) -> dict[ServiceKey, ServiceDemand]:
        """Return the sums by service."""
        return {
            service: ServiceDemand(
                {rank: ClassDemand(*each) for rank, each in by_rank.items()},
                {
                    key: AccountDemand(*each)
                    for key, each in self._by_account_by_service[service].items()
                },
            )
            for service, by_rank in self._by_rank_by_service.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _Figures:
    received_ms: int
    packed: bytes


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
        self._totals_by_service: dict[ServiceKey, ServiceDemand] = {}
        self._totals_ms: int | None = None

    @property
    def reporting_peers(self) -> int:
        """Number of peers whose figures count."""
        return len(self._figures_by_peer)

    def apply_report(self, peer: ids.VmName, packed: bytes, now_ms: int) -> None:
        """Replace the figures of a peer; without effect for a report without any.

        They are read when totals are made: a peer reports more often.
        """
        if packed:
            self._figures_by_peer[peer] = _Figures(now_ms, packed)

    def suffices(self, now_ms: int) -> bool:
        """Return whether the figures of enough gateways are recent."""
        if self._totals_ms is None or now_ms - self._totals_ms >= TOTALS_INTERVAL_MS:
            self._update_totals(now_ms)
        reporting = len(self._figures_by_peer)
        return (
            reporting > 0
            and 1 + reporting >= self.known_gateways * MIN_REPORTING_FRACTION
        )

    def totals(self, service: ServiceKey, now_ms: int) -> ServiceDemand | None:
        """Return the demand at the peers; None if too few of them are known."""
        if not self.suffices(now_ms):
            return None
        return self._totals_by_service.get(service, _NO_DEMAND)

    def _update_totals(self, now_ms: int) -> None:
        """Remove figures that are too old, and sum the others."""
        self._totals_ms = now_ms
        self._figures_by_peer = {
            peer: figures
            for peer, figures in self._figures_by_peer.items()
            if now_ms - figures.received_ms < MAX_AGE_MS
        }
        sums = _Sums()
        for figures in self._figures_by_peer.values():
            sums.add(figures.packed)
        self._totals_by_service = sums.totals()


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    at_ms: int
    rank: int
    request: request_queue.QueuedRequest


class OwnDemand:
    """What waits at this gateway for one service, and what it has started."""

    def __init__(self) -> None:
        self._starts: collections.deque[_Start] = collections.deque()

    def record_start(self, request: request_queue.QueuedRequest, now_ms: int) -> None:
        """Record a request that got an engine."""
        rank = request_queue.queue_class_of(request, now_ms).rank
        self._starts.append(_Start(now_ms, rank, request))
        self._remove_old(now_ms)

    def demand(
        self, waiting: Iterable[request_queue.QueuedRequest], now_ms: int
    ) -> ServiceDemand:
        """Return the demand at this gateway."""
        self._remove_old(now_ms)
        by_rank: collections.defaultdict[int, ClassDemand] = collections.defaultdict(
            ClassDemand
        )
        by_account: collections.defaultdict[UrgencyAndAccount, AccountDemand] = (
            collections.defaultdict(AccountDemand)
        )
        for start in self._starts:
            request = start.request
            tokens = request.memory_tokens
            by_rank[start.rank] = by_rank[start.rank].add(
                ClassDemand(0, 0, 1, tokens, request.target_ms)
            )
            key = account_key(request)
            by_account[key] = by_account[key].add(AccountDemand(0, tokens))
        for request in waiting:
            rank = request_queue.queue_class_of(request, now_ms).rank
            by_rank[rank] = by_rank[rank].add(
                ClassDemand(1, request.memory_tokens, 0, 0, request.target_ms)
            )
            key = account_key(request)
            by_account[key] = by_account[key].add(AccountDemand(1, 0))
        return ServiceDemand(dict(by_rank), dict(by_account))

    def _remove_old(self, now_ms: int) -> None:
        while self._starts and now_ms - self._starts[0].at_ms >= START_WINDOW_MS:
            self._starts.popleft()


def service_key(service: str) -> ServiceKey:
    """Return the key of a service."""
    return ServiceKey(zlib.crc32(service.encode()))


def account_key(request: request_queue.QueuedRequest) -> UrgencyAndAccount:
    """Return the key of a request's account among requests of its urgency."""
    urgency = min(request.urgency, request_queue.RANKS_PER_TIMELINESS - 1)
    return urgency, AccountKey(zlib.crc32(request.account.encode()))


def pack(demand_by_service: Mapping[ServiceKey, ServiceDemand]) -> bytes:
    """Return figures as bytes: the first classes and the largest accounts.

    No demand makes bytes as well, so that an idle gateway counts as reporting.
    """
    parts = [bytes((_FORMAT,))]
    for service, demand in demand_by_service.items():
        ranks = sorted(demand.by_rank)[:MAX_CLASSES]
        accounts = sorted(
            demand.by_account.items(),
            key=lambda each: (each[1].started_tokens, each[1].waiting),
            reverse=True,
        )[:MAX_ACCOUNTS]
        parts.append(_SERVICE.pack(service, len(ranks), len(accounts)))
        for rank in ranks:
            figures = demand.by_rank[rank]
            parts.append(
                _CLASS.pack(
                    rank,
                    min(figures.waiting, _MAX_UINT16),
                    min(figures.waiting_tokens, _MAX_UINT32),
                    min(figures.started, _MAX_UINT16),
                    min(figures.started_tokens, _MAX_UINT32),
                    min(figures.target_ms, _MAX_UINT16),
                )
            )
        for (urgency, key), account in accounts:
            parts.append(
                _ACCOUNT.pack(
                    urgency,
                    key,
                    min(account.waiting, _MAX_UINT16),
                    min(account.started_tokens, _MAX_UINT32),
                )
            )
    return b"".join(parts)


def checked(packed: bytes) -> bytes:
    """Return packed figures; no bytes for those of an unknown format.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    if not packed or packed[0] != _FORMAT:
        return b""
    for _part in _parts(packed):
        pass
    return packed


def _parts(packed: bytes) -> Iterator[tuple[ServiceKey, bytes, bytes]]:
    """Yield the services of packed figures with their classes and accounts."""
    offset = 1
    while offset < len(packed):
        classes = offset + _SERVICE.size
        if classes > len(packed):
            raise ValueError("the demand of a service is cut off")
        service, class_count, account_count = _SERVICE.unpack_from(packed, offset)
        accounts = classes + class_count * _CLASS.size
        offset = accounts + account_count * _ACCOUNT.size
        if offset > len(packed):
            raise ValueError("the demand of a service is cut off")
        yield ServiceKey(service), packed[classes:accounts], packed[accounts:offset]
