"""Load, faults and results of the simulation of resumable streams.

`stream_simulation` runs a `Pattern`; the `StreamPolicy` of each gateway decides at
which software versions streams begin and go on.
"""

import dataclasses
import enum
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final, NewType, Protocol

from quincecrank.gateway import servers

StreamKey = NewType("StreamKey", int)
Record = tuple[StreamKey, servers.SoftwareVersion]
RowValue = object

RESUMED_SHARE: Final = 0.7
FIRST_VERSION: Final = servers.SoftwareVersion("v1")


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a gateway knows when it checks whether it must write.

    Attributes
    ----------
    present : frozenset of SoftwareVersion
        Versions of the servers that have an entry.
    ready : mapping of SoftwareVersion to int
        Servers that take new requests, by version.
    is_first : bool
        Whether the gateway is the first of those that it knows to be live.
    reporting, gateways : int
        Gateways whose reports arrive, this one included, and all of them.
    answer_age_ms : int or None
        Age of the store's last answer with server entries; None without any.
    era : int
        Restores of the store until that answer.
    known_rows : frozenset of str
        Names of the rows that all gateways have, as far as this one knows.
    is_behind : bool
        Whether another gateway has reported newer rows.
    """

    present: frozenset[servers.SoftwareVersion]
    ready: Mapping[servers.SoftwareVersion, int]
    is_first: bool
    reporting: int
    gateways: int
    answer_age_ms: int | None
    era: int
    known_rows: frozenset[str] = frozenset()
    is_behind: bool = False


class StreamPolicy(Protocol):
    """Part of a gateway that decides at which versions streams begin and go on."""

    def versions_for_new(
        self, key: StreamKey, usable: Collection[servers.SoftwareVersion], now_ms: int
    ) -> Collection[servers.SoftwareVersion]:
        """Return the versions at which a stream may begin."""

    def versions_to_resume(
        self, key: StreamKey, usable: Collection[servers.SoftwareVersion], now_ms: int
    ) -> Collection[servers.SoftwareVersion] | None:
        """Return the versions at which a caller's further attempt may go on.

        None if they are not known yet: the caller is asked to come back.
        """

    def versions_to_continue(
        self,
        version: servers.SoftwareVersion,
        usable: Collection[servers.SoftwareVersion],
    ) -> Collection[servers.SoftwareVersion]:
        """Return the versions at which an answer may go on that a server broke."""

    def record_start(
        self, key: StreamKey, version: servers.SoftwareVersion, now_ms: int
    ) -> None:
        """Note that the first event of an answer has come from a version."""

    def to_publish(self, now_ms: int) -> Collection[Record]:
        """Return the records of the next report to all peers."""

    def apply_report(self, records: Collection[Record], now_ms: int) -> None:
        """Apply a peer's report."""

    def apply_store(
        self,
        rows: Mapping[str, RowValue],
        situation: Situation,
        now_ms: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Apply the rows of the store, which changed."""

    def check(self, situation: Situation, now_ms: int) -> Mapping[str, RowValue | None]:
        """Return rows to write, each in a transaction of its own, None to remove one.

        It is called every `stream_simulation.CHECK_MS`.
        """

    def record_write(
        self, name: str, row: RowValue | None, now_ms: int, is_written: bool
    ) -> None:
        """Note the result of a write."""


PolicyMaker = Callable[[int], StreamPolicy]


class FaultKind(enum.Enum):
    """What happens to gateways or to the store."""

    KILL = enum.auto()
    CUT = enum.auto()
    FREEZE = enum.auto()
    ROWS_LATE = enum.auto()
    STORE_AWAY = enum.auto()
    RESTORE = enum.auto()
    STORE_CUT = enum.auto()
    PEERS_CUT = enum.auto()
    MUTE = enum.auto()
    DEAF = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    A restore goes back by the time from `from_ms` to `until_ms`.  While rows are late,
    only the entries of servers reach a gateway.  A store cut concerns the given
    gateways only, and a cut of peers their links to `peers`; the reports of mute
    gateways get lost, and those to deaf ones.
    """

    kind: FaultKind
    from_ms: int
    until_ms: int
    gateways: tuple[int, ...] = ()
    peers: tuple[int, ...] = ()


class ChangeKind(enum.Enum):
    """What happens to a server."""

    START = enum.auto()
    LEAVE = enum.auto()
    CRASH = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChange:
    """A change of one server; one that crashes starts again after `restart_ms`."""

    at_ms: int
    server: int
    kind: ChangeKind
    version: servers.SoftwareVersion = FIRST_VERSION
    restart_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Load and faults of one run.

    Attributes
    ----------
    make : callable
        Makes the policy of a gateway from its number.
    servers : int
        Servers of version v1 at the start.
    per_second : float
        New streams a second at the whole fleet.
    broken_share : float
        Share of runs that a server breaks off.
    dropped_share : float
        Share of answers whose connection to the caller breaks.
    slow_share : float
        Share of callers that come back after `stream_simulation.SLOW_RETURN_MS` only.
    loss : float
        Probability that a report to one peer is lost.
    resumed_at : tuple of int
        Gateways that `RESUMED_SHARE` of the resumed streams come to; any if empty.
    """

    seed: int
    make: PolicyMaker
    gateways: int = 10
    servers: int = 5
    per_second: float = 34.0
    broken_share: float = 0.0
    dropped_share: float = 0.1
    slow_share: float = 0.3
    loss: float = 0.03
    duration_ms: int = 30_000
    faults: tuple[Fault, ...] = ()
    changes: tuple[ServerChange, ...] = ()
    resumed_at: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class Result:
    """What one run showed.

    Attributes
    ----------
    arrived, begun : int
        New streams at gateways that nothing disturbed, and those that began.
    resumed, went_on : int
        Streams that callers resumed at such gateways while two servers of the
        version served, and those that went on.
    all_resumed, all_went_on : int
        The same at all gateways, with any number of servers.
    joined : int
        Streams with events of two versions.
    waits_ms : list of int
        Time by which the policy delayed each new stream.
    writes, write_bytes, report_bytes : int
        Writes to the store, their records' bytes, and those of records in reports.
    """

    arrived: int = 0
    begun: int = 0
    resumed: int = 0
    went_on: int = 0
    all_resumed: int = 0
    all_went_on: int = 0
    joined: int = 0
    waits_ms: list[int] = dataclasses.field(default_factory=list)
    writes: int = 0
    write_bytes: int = 0
    report_bytes: int = 0


V2: Final = servers.SoftwareVersion("v2")
V3: Final = servers.SoftwareVersion("v3")


def release(
    at_ms: int,
    count: int,
    gap_ms: int,
    old: Iterable[int] = range(5),
    version: servers.SoftwareVersion = V2,
    first_new: int = 10,
    stay_ms: int = 0,
) -> tuple[ServerChange, ...]:
    """Return a release: a new server starts, an old one leaves, and so on.

    `stay_ms` passes between a start and the leave that belongs to it.
    """
    changes: list[ServerChange] = []
    for number, server in enumerate(list(old)[:count]):
        starts_ms = at_ms + number * gap_ms
        changes.append(
            ServerChange(starts_ms, first_new + number, ChangeKind.START, version)
        )
        changes.append(ServerChange(starts_ms + stay_ms, server, ChangeKind.LEAVE))
    return tuple(changes)


def kill_all(gateways: int, at_ms: int, for_ms: int) -> Fault:
    """Return a fault that kills all gateways."""
    return Fault(FaultKind.KILL, at_ms, at_ms + for_ms, tuple(range(gateways)))


MIX: Final = release(5_000, 2, 200, stay_ms=1_000)
"""Two of five servers are replaced, and both versions serve for the whole run."""


def make_faults(gateways: int) -> Mapping[str, Mapping[str, object]]:
    """Return patterns of faults by name."""
    some = tuple(range(max(1, gateways // 4)))
    slow = release(5_000, 5, 4_000, stay_ms=1_000)
    third = release(12_000, 2, 300, old=(2, 3), version=V3, first_new=20, stay_ms=1_000)
    return {
        "no fault, one version": {},
        "mix, breaks": {"changes": MIX, "broken_share": 0.2},
        "slow release, breaks": {"changes": slow, "broken_share": 0.2},
        "at once, breaks": {
            "changes": release(8_000, 5, 50, stay_ms=800),
            "broken_share": 0.2,
        },
        "three versions, breaks": {"changes": MIX + third, "broken_share": 0.2},
        "mix, one killed": {
            "changes": MIX,
            "faults": (Fault(FaultKind.KILL, 14_000, 16_000, some[:1]),),
            "broken_share": 0.05,
        },
        "mix, all killed": {
            "changes": MIX,
            "faults": (
                kill_all(gateways, 12_000, 1_000),
                kill_all(gateways, 20_000, 2_600),
            ),
        },
        "mix, first killed, then all": {
            "changes": MIX,
            "faults": (
                Fault(FaultKind.KILL, 14_000, 15_000, (0,)),
                kill_all(gateways, 15_400, 1_000),
            ),
        },
        "v1 leaves, all killed": {
            "changes": release(11_000, 5, 20, stay_ms=500),
            "faults": (kill_all(gateways, 11_900, 1_000),),
        },
        "v2 comes, all killed": {
            "changes": release(11_000, 2, 20, stay_ms=6_000),
            "faults": (kill_all(gateways, 12_000, 1_000),),
        },
        "v2 comes, all killed later": {
            "changes": release(11_000, 2, 20, stay_ms=6_000),
            "faults": (kill_all(gateways, 12_700, 1_000),),
        },
        "cut in release": {
            "changes": release(8_000, 2, 200, stay_ms=1_000),
            "faults": (Fault(FaultKind.CUT, 8_900, 17_000, some),),
            "broken_share": 0.2,
        },
        "frozen in release": {
            "changes": release(8_000, 2, 200, stay_ms=1_000),
            "faults": (Fault(FaultKind.FREEZE, 7_500, 11_500, some),),
            "broken_share": 0.2,
        },
        "started in release": {
            "changes": slow,
            "faults": (Fault(FaultKind.KILL, 8_000, 13_000, some),),
            "broken_share": 0.2,
        },
        "store away in release": {
            "changes": release(8_000, 3, 300, stay_ms=1_000),
            "faults": (Fault(FaultKind.STORE_AWAY, 8_200, 14_000),),
            "broken_share": 0.2,
        },
        "store restored": {
            "changes": MIX,
            "faults": (Fault(FaultKind.RESTORE, 9_000, 14_000),),
            "broken_share": 0.2,
        },
        "store restored, all killed": {
            "changes": MIX,
            "faults": (
                kill_all(gateways, 8_900, 1_000),
                Fault(FaultKind.RESTORE, 9_800, 14_800),
            ),
            "broken_share": 0.2,
        },
        "restarts at another version": {
            "changes": tuple(
                ServerChange(at_ms, server, ChangeKind.CRASH, version, 500)
                for at_ms, server, version in (
                    (8_000, 0, V2), (9_500, 1, V2), (18_000, 2, V2),
                    (14_000, 0, FIRST_VERSION),
                )
            ),
            "faults": (Fault(FaultKind.STORE_AWAY, 17_800, 21_000),),
            "broken_share": 0.2,
        },
    }  # fmt: skip
