"""Registry of the backend servers, and which of them get new requests.

Terms
-----
entry
    What a backend server reports about itself, as one row of the store.
incarnation
    One start of a backend server.  A server may start again under its id; it then has
    no state of its earlier incarnation.
software version
    Version of a backend server's program, not of the weights that it has loaded.
    Versions are equal or not; they have no order.
expiry
    Removal of an entry by the store for missing heartbeats.  It also happens to live
    servers while the store is unavailable.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Final, NewType

from quincecrank import ids
from quincecrank.gateway import deployment

ServerId = NewType("ServerId", str)
SoftwareVersion = NewType("SoftwareVersion", str)

UNKNOWN_SOFTWARE: Final = SoftwareVersion("")
"""Version of a server that may have started again meanwhile; no entry has it."""

PUBLISH_LEAVING_MS: Final = 3_000
"""Time for which peers are notified that a server is leaving, since datagrams get
lost."""

MAX_LEAVING: Final = 1_024
"""Bound of the servers recorded as leaving or as having left: more than leave a large
fleet within minutes."""

_NO_FURTHER_REPORT: Final = 2**63
"""Greater than every report number: for an incarnation that another one followed."""

MIN_EXPIRY_OUTAGE_MS: Final = 1_800
"""Shortest outage of the store in which entries of live servers can expire: they do
after three heartbeats without a report, of which one may precede the outage."""

MAX_REMOVED_USE_MS: Final = 1_000
"""Time after the removal of an entry for which its server may be used, if no outage was
long enough for an expiry: a server that leaves serves for some time after it."""

MIN_LATE_REPORTS: Final = 2
"""Reports with increasing numbers, all lower than one that was read before, which show
that the earlier one was not the server's."""

EXPIRY_GRACE_MS: Final = 2_500
"""Time after the store is available again within which live servers re-register: two
seconds by the platform's rules, and half a second for the entries to reach this
process."""


class ServerState(enum.Enum):
    """Whether a backend server accepts new requests, by its own report."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a backend server."""

    server_id: ServerId
    started_wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """What a backend server reports about itself.

    Attributes
    ----------
    address : str
        IP address and port.
    slots : int
        Requests that it runs concurrently.
    started_wall_ms : int
        Start time on the wall clock (Unix time); identifies the incarnation.
    report_number : int
        Number of this report of the incarnation; later ones have higher numbers.
    software_version : SoftwareVersion
        Version of the server's program; what two versions stream does not fit together.
    weight_versions_by_model : mapping of ModelName to int
        Versions of the weights that a model engine has loaded.
    cold_remaining_ms : int
        Time for which the server stays cold, as of the report; see `cold_servers`.
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
    software_version: SoftwareVersion = UNKNOWN_SOFTWARE
    cold_remaining_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the server that wrote the entry."""
        return Incarnation(self.server_id, self.started_wall_ms)


class ServerRegistry:
    """The backend servers that this process tracks.

    Invariants:

    - A server that was reported as draining, or removed while the store had been
      available for `EXPIRY_GRACE_MS`, gets no new requests until an entry of a later
      report says `READY`.
    - A server that announced in an answer or a cache event that it is leaving gets none
      during that incarnation, whatever its entry says.
    - After the store was restored from a snapshot, an incarnation that had left or
      been followed by another one gets none until it reports again.
    """

    def __init__(self) -> None:
        self._entries_by_id: dict[ServerId, ServerEntry] = {}
        self._ready_by_service: dict[
            deployment.ServiceName, tuple[ServerEntry, ...]
        ] = {}
        self._grace_until_ms_by_id: dict[ServerId, int] = {}
        self._leaving_since_ms: dict[Incarnation, int] = {}
        self._published_leaving: set[Incarnation] = set()
        self._last_report_before_departure: dict[Incarnation, int] = {}
        self._report_limit_since_restore: dict[Incarnation, int] = {}
        self._store_available_ms: int | None = None
        self._is_store_unavailable = False
        self._may_have_expired = False
        self._late_reports: dict[Incarnation, list[int]] = {}

    def mark_store_unavailable(self) -> None:
        """Record that the store can't be read."""
        self._is_store_unavailable = True

    def mark_store_available(self, now_ms: int, outage_ms: int) -> None:
        """Record that the store can be read again, after an outage of some time."""
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._store_available_ms = now_ms
            self._may_have_expired = outage_ms >= MIN_EXPIRY_OUTAGE_MS

    def mark_store_restored(self, now_ms: int) -> None:
        """Record that the store was restored from a snapshot, with older entries.

        Servers that have registered since the snapshot write their entries again, as
        after an outage.
        """
        self._is_store_unavailable = False
        self._store_available_ms = now_ms
        self._may_have_expired = True
        self._report_limit_since_restore = dict(self._last_report_before_departure)

    def predates_departure(self, entry: ServerEntry) -> bool:
        """Return whether an entry is older than a departure before a restore.

        True for an entry from the restored snapshot whose incarnation had left or been
        followed by another one before the restore.  It must not be applied.
        """
        last = self._report_limit_since_restore.get(entry.incarnation)
        return last is not None and entry.report_number <= last

    def is_late(self, entry: ServerEntry) -> bool:
        """Return whether an entry is older than one that was read before.

        The store may perform a write seconds late, also after the removal of the row.
        Such an entry must not be applied.  False for the last of `MIN_LATE_REPORTS`
        with increasing numbers.
        """
        incarnation = entry.incarnation
        known = self._entries_by_id.get(entry.server_id)
        is_known = known is not None and known.incarnation == incarnation
        last = self._last_report_before_departure.get(incarnation)
        if is_known:
            assert known is not None
            is_late = entry.report_number < known.report_number
        else:
            is_late = last is not None and entry.report_number <= last
        if not is_late:
            self._late_reports.pop(incarnation, None)
            return False
        while len(self._late_reports) >= MAX_LEAVING:
            del self._late_reports[next(iter(self._late_reports))]
        late = self._late_reports.setdefault(incarnation, [])
        if late and entry.report_number <= late[-1]:
            late.clear()
        late.append(entry.report_number)
        if len(late) < MIN_LATE_REPORTS:
            return True
        del self._late_reports[incarnation]
        return False

    def update(self, entry: ServerEntry) -> ServerEntry:
        """Apply an entry; return it with the state and weights now in force.

        The weight versions of one incarnation never decrease: peers may have published
        newer ones before the server's own entry shows them.  An incarnation that is
        leaving stays `DRAINING`.
        """
        previous = self._entries_by_id.get(entry.server_id)
        if previous is not None and previous.incarnation != entry.incarnation:
            self._record_departure(previous.incarnation, _NO_FURTHER_REPORT)
        self._report_limit_since_restore.pop(entry.incarnation, None)
        if entry.state is ServerState.DRAINING:
            self._record_departure(entry.incarnation, entry.report_number)
        else:
            self._last_report_before_departure.pop(entry.incarnation, None)
        if previous is not None and previous.started_wall_ms == entry.started_wall_ms:
            versions = dict(entry.weight_versions_by_model)
            for model, version in previous.weight_versions_by_model.items():
                versions[model] = max(version, versions.get(model, 0))
            entry = dataclasses.replace(entry, weight_versions_by_model=versions)
        if entry.incarnation in self._leaving_since_ms:
            entry = dataclasses.replace(entry, state=ServerState.DRAINING)
        self._set(entry)
        self._grace_until_ms_by_id.pop(entry.server_id, None)
        return entry

    def mark_leaving(
        self, incarnation: Incarnation, now_ms: int, *, is_direct: bool
    ) -> bool:
        """Record that a server is about to leave; return False if already recorded.

        Parameters
        ----------
        is_direct : bool
            Whether this gateway learned it from the server itself; it then notifies
            its peers.
        """
        if incarnation in self._leaving_since_ms:
            return False
        while len(self._leaving_since_ms) >= MAX_LEAVING:
            self._published_leaving.discard(
                oldest := next(iter(self._leaving_since_ms))
            )
            del self._leaving_since_ms[oldest]
        self._leaving_since_ms[incarnation] = now_ms
        if is_direct:
            self._published_leaving.add(incarnation)
        entry = self._entries_by_id.get(incarnation.server_id)
        if entry is not None and entry.incarnation == incarnation:
            self._set(dataclasses.replace(entry, state=ServerState.DRAINING))
        return True

    def has_announced_departure(self, incarnation: Incarnation) -> bool:
        """Return whether a server has said that it leaves, or has left in order.

        Some servers say so by the removal of their entry only.  The entry of a server
        that crashed stays for several heartbeats, or one of its next start follows it.
        """
        entry = self._entries_by_id.get(incarnation.server_id)
        if entry is None:
            return True
        if entry.incarnation != incarnation:
            return incarnation in self._leaving_since_ms
        return entry.state is ServerState.DRAINING

    def leaving_to_publish(self, now_ms: int) -> tuple[Incarnation, ...]:
        """Return the leaving servers of which to notify the peers."""
        self._published_leaving = {
            each
            for each in self._published_leaving
            if now_ms - self._leaving_since_ms[each] < PUBLISH_LEAVING_MS
        }
        return tuple(self._published_leaving)

    def record_loaded_weights(
        self,
        server_id: ServerId,
        started_wall_ms: int,
        model: deployment.ModelName,
        version: int,
    ) -> None:
        """Record that a server has loaded weights.

        Ignored for another incarnation, an older version or a model that the server
        does not serve.
        """
        entry = self._entries_by_id.get(server_id)
        if entry is None or entry.started_wall_ms != started_wall_ms:
            return
        if entry.weight_versions_by_model.get(model, version) < version:
            versions = {**entry.weight_versions_by_model, model: version}
            self._set(dataclasses.replace(entry, weight_versions_by_model=versions))

    def remove(self, server_id: ServerId, now_ms: int) -> bool:
        """Record the removal of an entry; return whether the server was removed.

        A removal soon after an outage of the store may be an expiry of a live server:
        it is removed only once the grace time has passed.  False also for an unknown
        server.
        """
        entry = self._entries_by_id.get(server_id)
        if entry is None:
            return False
        available_ms = self._store_available_ms
        may_be_expiry = (
            available_ms is not None and now_ms - available_ms < EXPIRY_GRACE_MS
        )
        if may_be_expiry and entry.state is ServerState.READY:
            assert available_ms is not None
            until_ms = available_ms + EXPIRY_GRACE_MS
            if not self._may_have_expired:
                until_ms = min(until_ms, now_ms + MAX_REMOVED_USE_MS)
            known_ms = self._grace_until_ms_by_id.get(server_id, until_ms)
            self._grace_until_ms_by_id[server_id] = min(until_ms, known_ms)
            return False
        self._remove_entry(server_id)
        return True

    def retain(self, present: Iterable[ServerId], now_ms: int) -> tuple[ServerId, ...]:
        """Remove all servers but `present` as by `remove`; return those removed."""
        missing = set(self._entries_by_id) - set(present)
        return tuple(each for each in sorted(missing) if self.remove(each, now_ms))

    def remove_expired(self, now_ms: int) -> tuple[ServerId, ...]:
        """Remove and return expired servers that did not re-register in time."""
        expired = tuple(
            server_id
            for server_id, until_ms in self._grace_until_ms_by_id.items()
            if now_ms >= until_ms
        )
        for server_id in expired:
            self._remove_entry(server_id)
        return expired

    def find(self, server_id: ServerId) -> ServerEntry | None:
        """Return the entry of a server; None for an unknown one."""
        return self._entries_by_id.get(server_id)

    def ready_entries(self, service: deployment.ServiceName) -> tuple[ServerEntry, ...]:
        """Return the servers of `service` that may get new requests, ordered by id."""
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = self._ready_by_service[service] = tuple(
                entry
                for _, entry in sorted(self._entries_by_id.items())
                if entry.service == service and entry.state is ServerState.READY
            )
        return ready

    def entries(self) -> tuple[ServerEntry, ...]:
        """Return the entries of all tracked servers."""
        return tuple(self._entries_by_id.values())

    def _set(self, entry: ServerEntry) -> None:
        self._entries_by_id[entry.server_id] = entry
        self._ready_by_service.clear()

    def _record_departure(self, incarnation: Incarnation, last_report: int) -> None:
        while len(self._last_report_before_departure) >= MAX_LEAVING:
            del self._last_report_before_departure[
                next(iter(self._last_report_before_departure))
            ]
        self._last_report_before_departure[incarnation] = last_report

    def _remove_entry(self, server_id: ServerId) -> None:
        self._ready_by_service.clear()
        entry = self._entries_by_id.pop(server_id, None)
        if entry is not None:
            self._record_departure(entry.incarnation, entry.report_number)
        self._grace_until_ms_by_id.pop(server_id, None)
