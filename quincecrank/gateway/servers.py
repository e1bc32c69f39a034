"""Backend servers as they report themselves, and which of them get new work.

Terms
-----
incarnation
    One start of a backend server.  A server may start again under its id; it then
    knows nothing of its earlier incarnation.
lapse
    Removal of an entry because the store did not hear from the server for some
    time, which also happens to live servers while the store is out.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Final, NewType

from quincecrank import ids
from quincecrank.gateway import deployment

ServerId = NewType("ServerId", str)

TELL_LEAVING_MS: Final = 3_000
"""Time for which peers are told that a server leaves, since datagrams get lost."""

MAX_LEAVING: Final = 1_024
"""Servers remembered as leaving: more than leave a large fleet within minutes."""

_NO_FURTHER_REPORT: Final = 2**63
"""Above the number of every report: a start that was followed by another one."""

LAPSE_GRACE_MS: Final = 2_500
"""Time after the store's return in which live servers re-appear: two seconds by
the platform's rules, and half a second for the entries to reach this process."""


class ServerState(enum.Enum):
    """Whether a backend server accepts new work, by its own report."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a backend server."""

    server_id: ServerId
    started_wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server says of itself.

    Attributes
    ----------
    address : str
        IP address and port.
    slots : int
        Requests that it runs at once.
    started_wall_ms : int
        Time of its start since the epoch; names the incarnation.
    report_number : int
        Number of this report of the incarnation; later ones have higher numbers.
    weight_versions_by_model : mapping of ModelName to int
        Versions of the weights that a model engine has loaded.
    """

    server_id: ServerId
    service: deployment.ServiceName
    address: str
    data_centre: ids.DataCentre
    slots: int
    state: ServerState
    started_wall_ms: int
    weight_versions_by_model: Mapping[deployment.ModelName, int]
    report_number: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The start that the entry is about."""
        return Incarnation(self.server_id, self.started_wall_ms)


class ServerRegistry:
    """Aggregate of the backend servers known to this process.

    Invariant: a server that was reported as draining or removed while the store
    was stable gets no new work, until an entry of a later report says `READY`.  One
    that said in an answer that it leaves gets none as long as that incarnation lives,
    whatever its entry says.  When the store was restored from a copy, an incarnation
    that had left or had been followed by another one before gets none until it reports
    anew.
    """

    def __init__(self) -> None:
        self._entries_by_id: dict[ServerId, ServerEntry] = {}
        self._ready_by_service: dict[
            deployment.ServiceName, tuple[ServerEntry, ...]
        ] = {}
        self._lapsed_until_ms_by_id: dict[ServerId, int] = {}
        self._leaving_since_ms: dict[Incarnation, int] = {}
        self._told_leaving: set[Incarnation] = set()
        self._last_report_by_left: dict[Incarnation, int] = {}
        self._outdated_until_report: dict[Incarnation, int] = {}
        self._store_back_ms: int | None = None
        self._store_is_out = False

    def store_lost(self) -> None:
        """Record that the store can't be read."""
        self._store_is_out = True

    def store_regained(self, now_ms: int) -> None:
        """Record that the store can be read again."""
        if self._store_is_out:
            self._store_is_out = False
            self._store_back_ms = now_ms

    def store_restored(self, now_ms: int) -> None:
        """Record that the store was restored from a copy, with entries of before.

        Servers that have registered since the copy write their entries again, as
        after an outage.
        """
        self._store_is_out = False
        self._store_back_ms = now_ms
        self._outdated_until_report = dict(self._last_report_by_left)

    def is_outdated(self, entry: ServerEntry) -> bool:
        """Return whether an entry of a copy is older than what was known before."""
        last = self._outdated_until_report.get(entry.incarnation)
        return last is not None and entry.report_number <= last

    def update(self, entry: ServerEntry) -> ServerEntry:
        """Take an entry; return it as it is in force.

        The weights of one incarnation only move up: peers may have told of newer
        ones before the server's own entry does.
        """
        before = self._entries_by_id.get(entry.server_id)
        if before is not None and before.incarnation != entry.incarnation:
            self._note_left(before.incarnation, _NO_FURTHER_REPORT)
        self._outdated_until_report.pop(entry.incarnation, None)
        if entry.state is ServerState.DRAINING:
            self._note_left(entry.incarnation, entry.report_number)
        else:
            self._last_report_by_left.pop(entry.incarnation, None)
        if before is not None and before.started_wall_ms == entry.started_wall_ms:
            versions = dict(entry.weight_versions_by_model)
            for model, version in before.weight_versions_by_model.items():
                versions[model] = max(version, versions.get(model, 0))
            entry = dataclasses.replace(entry, weight_versions_by_model=versions)
        if entry.incarnation in self._leaving_since_ms:
            entry = dataclasses.replace(entry, state=ServerState.DRAINING)
        self._set(entry)
        self._lapsed_until_ms_by_id.pop(entry.server_id, None)
        return entry

    def leaves(self, incarnation: Incarnation, now_ms: int, *, is_own: bool) -> bool:
        """Take the news that a server is about to leave; return whether it is new.

        Parameters
        ----------
        is_own : bool
            Whether the server said so to this gateway, which then tells its peers.
        """
        if incarnation in self._leaving_since_ms:
            return False
        while len(self._leaving_since_ms) >= MAX_LEAVING:
            self._told_leaving.discard(oldest := next(iter(self._leaving_since_ms)))
            del self._leaving_since_ms[oldest]
        self._leaving_since_ms[incarnation] = now_ms
        if is_own:
            self._told_leaving.add(incarnation)
        entry = self._entries_by_id.get(incarnation.server_id)
        if entry is not None and entry.incarnation == incarnation:
            self._set(dataclasses.replace(entry, state=ServerState.DRAINING))
        return True

    def leaving_to_tell(self, now_ms: int) -> tuple[Incarnation, ...]:
        """Return the servers whose leaving the peers are told of."""
        self._told_leaving = {
            each
            for each in self._told_leaving
            if now_ms - self._leaving_since_ms[each] < TELL_LEAVING_MS
        }
        return tuple(self._told_leaving)

    def weights_loaded(
        self,
        server_id: ServerId,
        started_wall_ms: int,
        model: deployment.ModelName,
        version: int,
    ) -> None:
        """Take the news that a server has loaded weights."""
        entry = self._entries_by_id.get(server_id)
        if entry is None or entry.started_wall_ms != started_wall_ms:
            return
        if entry.weight_versions_by_model.get(model, version) < version:
            versions = {**entry.weight_versions_by_model, model: version}
            self._set(dataclasses.replace(entry, weight_versions_by_model=versions))

    def remove(self, server_id: ServerId, now_ms: int) -> bool:
        """Take the removal of an entry; return whether the server lost its work.

        A removal that is seen soon after an outage of the store may be a lapse: the
        server keeps its work until the grace time has passed.
        """
        entry = self._entries_by_id.get(server_id)
        if entry is None:
            return False
        back_ms = self._store_back_ms
        is_lapse = back_ms is not None and now_ms - back_ms < LAPSE_GRACE_MS
        if is_lapse and entry.state is ServerState.READY:
            assert back_ms is not None
            self._lapsed_until_ms_by_id[server_id] = back_ms + LAPSE_GRACE_MS
            return False
        self._forget(server_id)
        return True

    def retain(self, present: Iterable[ServerId], now_ms: int) -> tuple[ServerId, ...]:
        """Remove all servers that a full list lacks; return those that lost work."""
        missing = set(self._entries_by_id) - set(present)
        return tuple(each for each in sorted(missing) if self.remove(each, now_ms))

    def expire(self, now_ms: int) -> tuple[ServerId, ...]:
        """Remove lapsed servers that did not come back in time; return them."""
        expired = tuple(
            server_id
            for server_id, until_ms in self._lapsed_until_ms_by_id.items()
            if now_ms >= until_ms
        )
        for server_id in expired:
            self._forget(server_id)
        return expired

    def find(self, server_id: ServerId) -> ServerEntry | None:
        """Return the entry of a server."""
        return self._entries_by_id.get(server_id)

    def ready(self, service: deployment.ServiceName) -> tuple[ServerEntry, ...]:
        """Return the servers of `service` that may get new work, by id."""
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = self._ready_by_service[service] = tuple(
                entry
                for _, entry in sorted(self._entries_by_id.items())
                if entry.service == service and entry.state is ServerState.READY
            )
        return ready

    def all(self) -> tuple[ServerEntry, ...]:
        """Return all known servers."""
        return tuple(self._entries_by_id.values())

    def _set(self, entry: ServerEntry) -> None:
        self._entries_by_id[entry.server_id] = entry
        self._ready_by_service.clear()

    def _note_left(self, incarnation: Incarnation, last_report: int) -> None:
        while len(self._last_report_by_left) >= MAX_LEAVING:
            del self._last_report_by_left[next(iter(self._last_report_by_left))]
        self._last_report_by_left[incarnation] = last_report

    def _forget(self, server_id: ServerId) -> None:
        self._ready_by_service.clear()
        entry = self._entries_by_id.pop(server_id, None)
        if entry is not None:
            self._note_left(entry.incarnation, entry.report_number)
        self._lapsed_until_ms_by_id.pop(server_id, None)
