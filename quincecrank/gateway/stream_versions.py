"""Decides at which software version a resumable stream begins and goes on.

Load pattern: servers of several software versions serve one service, for the seconds
of a release or for a whole day.  Streams break off when servers or gateways end, at
times all gateways at once, and callers resume them at any gateway.  What two versions
write does not fit together, and no server checks who began a stream.

Terms
-----
first attempt
    Attempt of a caller that brought the first event of a stream.
record
    Software version at which the stream of a first attempt began.  It is made at the
    first event and never changes, so an old copy of a record is still true.
listing
    Software versions of a service at which streams may begin, and those announced: a
    row of the store, written only when versions come or leave.
announced version
    Version at which no stream has begun at any gateway.
single, mixed
    Said of a service with one listed version, or with several.

Notes
-----
Invariant: a resumed stream is sent only to servers of its record's version or, without
a record, of the only version at which streams can have begun: the one listed version of
a single service, while listings reach the gateway in time.  A stream begins only at a
listed version.  So a stream without a record is resumed only while every stream of the
service has the same version.

Before a version is listed it is announced, and every gateway publishes the records of
the streams that began before, so that these are known once the service is mixed.
"""

import collections
import dataclasses
import enum
import hashlib
import math
from collections.abc import Iterable, Mapping, Set
from typing import Final, NewType

from quincecrank import ids
from quincecrank.gateway import deployment, servers

StreamKey = NewType("StreamKey", int)
"""Hash of a client account and the id of a first attempt: 64 bits."""

KEY_BYTES: Final = 8

ANNOUNCEMENT_MS: Final = 1_500
"""Time from the announcement of a version to its listing: several reports of each
gateway and several writes of records.  A gateway that is cut off notices within it."""

BEGIN_DELAY_MS: Final = 300
"""Time after the listing of a version before a gateway begins streams at it, so that
the other gateways know the listing by then.  If no announcement preceded the listing,
it counts from the time at which that would have been over, unless all gateways are
known to have the listing."""

MAX_LISTING_AGE_MS: Final = 1_600
"""Time for which a listing counts as current after it surely was: less than the time in
which a new version gets no streams."""

PUBLISH_MS: Final = 700
"""Time for which a record is published, since datagrams get lost."""

MAX_PUBLISHED: Final = 2_000
"""Most records in one report, which bounds its size; the newest ones come first."""

MAX_RECORDS: Final = 100_000
"""Bound of the records in memory; the oldest ones are dropped first."""

DEFAULT_RETENTION_MS: Final = 20_000
"""Retention time until the configuration is known."""


class Resumption(enum.Enum):
    """Why the version of a resumed stream is not known.

    `NOT_LOADED` says that it may be known soon, `UNKNOWN` that it will not.
    """

    UNKNOWN = "unknown"
    NOT_LOADED = "not loaded"


def stream_key(
    account: ids.AccountName | None, first_attempt: ids.RequestId
) -> StreamKey:
    """Return the key of a stream.

    The account is part of it, so no account can refer to a stream of another one.
    """
    name = (account or "").encode("utf-8", "surrogatepass")
    attempt = first_attempt.encode("utf-8", "surrogatepass")
    text = len(name).to_bytes(4, "little") + name + attempt
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return StreamKey(int.from_bytes(digest, "little"))


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The software version at which a stream began."""

    service: deployment.ServiceName
    key: StreamKey
    version: servers.SoftwareVersion


@dataclasses.dataclass(frozen=True, slots=True)
class RecordGroup:
    """Records of one service and version, as they are sent and stored.

    Attributes
    ----------
    keys : bytes
        Keys, `KEY_BYTES` each in little-endian order, one after the other.
    """

    service: deployment.ServiceName
    version: servers.SoftwareVersion
    keys: bytes

    def records(self) -> tuple[Record, ...]:
        """Return the records.

        Raises
        ------
        ValueError
            If the keys are cut short.
        """
        if len(self.keys) % KEY_BYTES:
            raise ValueError("keys are cut short")
        return tuple(
            Record(
                self.service,
                StreamKey(int.from_bytes(self.keys[at : at + KEY_BYTES], "little")),
                self.version,
            )
            for at in range(0, len(self.keys), KEY_BYTES)
        )


def grouped(records: Iterable[Record]) -> tuple[RecordGroup, ...]:
    """Return records in groups of equal service and version."""
    keys_by_name: collections.defaultdict[
        tuple[deployment.ServiceName, servers.SoftwareVersion], list[bytes]
    ] = collections.defaultdict(list)
    for record in records:
        key = record.key.to_bytes(KEY_BYTES, "little")
        keys_by_name[record.service, record.version].append(key)
    return tuple(
        RecordGroup(service, version, b"".join(keys))
        for (service, version), keys in keys_by_name.items()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The software versions of one service.

    Attributes
    ----------
    listed : frozenset of SoftwareVersion
        Versions at which streams may begin.
    announced : frozenset of SoftwareVersion
        Versions at which no stream has begun yet.
    """

    service: deployment.ServiceName
    listed: frozenset[servers.SoftwareVersion]
    announced: frozenset[servers.SoftwareVersion] = frozenset()


@dataclasses.dataclass(slots=True)
class _Service:
    """What is known of one service; times in ms of the monotonic clock.

    Attributes
    ----------
    seen_ms_by_version : dict
        Time at which a server of the version had an entry last.
    begins_ms_by_version : dict
        Time from which streams may begin at a listed version.
    applied_ms : int
        Time at which the listing was put in force here.
    announced_ms_by_version : dict
        Time at which this process learned of the announcement.
    may_begin_ms_by_version : dict
        Time from which other gateways may begin streams at an announced version.
    once_listed : set
        Versions that a listing has had since the start of this process.
    """

    listing: Listing | None = None
    seen_ms_by_version: dict[servers.SoftwareVersion, int] = dataclasses.field(
        default_factory=dict
    )
    begins_ms_by_version: dict[servers.SoftwareVersion, int] = dataclasses.field(
        default_factory=dict
    )
    applied_ms: int = 0
    announced_ms_by_version: dict[servers.SoftwareVersion, int] = dataclasses.field(
        default_factory=dict
    )
    may_begin_ms_by_version: dict[servers.SoftwareVersion, float] = dataclasses.field(
        default_factory=dict
    )
    once_listed: set[servers.SoftwareVersion] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _KnownRecord:
    record: Record
    used_ms: int
    is_own: bool = False


_Name = tuple[deployment.ServiceName, StreamKey]


class StreamVersions:
    """The software versions of streams, as one gateway knows them.

    Attributes
    ----------
    retention_ms : int
        Time after its first event in which a stream may be resumed.
    has_listings : bool
        Whether the listings were read since the start.
    is_loaded : bool
        Whether the records of the store were read since the start.
    current_until_ms : float
        Time until which listings that other gateways write have reached this one; a
        process that was suspended is not current when it goes on.
    is_store_restored : bool
        Whether the listings may be older than streams of earlier processes, as the
        store was restored from a snapshot.
    are_entries_complete : bool
        Whether all servers have had time to register since the start of this process;
        a restored store lacks the entries of some at first.
    """

    def __init__(self) -> None:
        self.retention_ms = DEFAULT_RETENTION_MS
        self.has_listings = True
        self.is_loaded = True
        self.current_until_ms = math.inf
        self.is_store_restored = False
        self.are_entries_complete = True
        self._service_by_name: collections.defaultdict[
            deployment.ServiceName, _Service
        ] = collections.defaultdict(_Service)
        # Ordered by the time of their last use.
        self._record_by_name: dict[_Name, _KnownRecord] = {}
        self._publish_until_ms_by_name: dict[_Name, int] = {}
        self._unstored_since_ms_by_name: dict[_Name, int] = {}

    @property
    def record_count(self) -> int:
        """Number of records in memory."""
        return len(self._record_by_name)

    def listing_of(self, service: deployment.ServiceName) -> Listing | None:
        """Return the listing of a service; None before one was read."""
        return self._service_by_name[service].listing

    @property
    def is_any_mixed(self) -> bool:
        """Whether any service has several versions, announced ones included."""
        return any(
            self._is_mixed(each) for each in tuple(self._service_by_name.values())
        )

    def observe_servers(
        self,
        versions_by_service: Mapping[
            deployment.ServiceName, Set[servers.SoftwareVersion]
        ],
        now_ms: int,
    ) -> None:
        """Record the versions that have an entry now, whatever its state."""
        for service, versions in versions_by_service.items():
            seen = self._service_by_name[service].seen_ms_by_version
            for version in versions:
                seen[version] = now_ms
        for state in self._service_by_name.values():
            for version, seen_ms in tuple(state.seen_ms_by_version.items()):
                if now_ms - seen_ms >= self.retention_ms:
                    del state.seen_ms_by_version[version]

    def apply_listing(self, listing: Listing, now_ms: int) -> None:
        """Put a listing in force; the caller orders the listings of a service.

        Records of streams that began before are published from then on if it makes the
        service mixed.
        """
        state = self._service_by_name[listing.service]
        before = state.listing
        was_mixed = self._is_mixed(state)
        state.listing = listing
        state.once_listed |= listing.listed
        for version in listing.listed:
            # A version that has just left may have streams that can be resumed.
            state.seen_ms_by_version.setdefault(version, now_ms)
        known = before.listed if before is not None else listing.listed
        state.begins_ms_by_version = {
            version: state.begins_ms_by_version.get(version, now_ms)
            if version in known
            else BEGIN_DELAY_MS
            + max(
                now_ms,
                state.announced_ms_by_version.get(version, now_ms) + ANNOUNCEMENT_MS,
            )
            for version in listing.listed
        }
        state.applied_ms = now_ms
        state.announced_ms_by_version = {
            version: state.announced_ms_by_version.get(version, now_ms)
            for version in listing.announced
        }
        # It may have been announced since the listing before was surely current.
        earliest_ms = min(now_ms, self.current_until_ms - MAX_LISTING_AGE_MS)
        state.may_begin_ms_by_version = {
            version: state.may_begin_ms_by_version.get(
                version, earliest_ms + ANNOUNCEMENT_MS + BEGIN_DELAY_MS
            )
            for version in listing.announced
        }
        if self._is_mixed(state) and not was_mixed:
            self._publish_own(listing.service, now_ms)

    def confirm_listing(self, service: deployment.ServiceName) -> None:
        """Record that all gateways have the listing in force or a later one."""
        state = self._service_by_name[service]
        latest_ms = state.applied_ms + BEGIN_DELAY_MS
        for version, begins_ms in state.begins_ms_by_version.items():
            state.begins_ms_by_version[version] = min(begins_ms, latest_ms)

    def forget_listing(self, service: deployment.ServiceName) -> None:
        """Record that the listing of a service is missing or malformed."""
        self._service_by_name[service].listing = None

    def listing_to_write(
        self,
        service: deployment.ServiceName,
        ready: Set[servers.SoftwareVersion],
        now_ms: int,
    ) -> Listing | None:
        """Return the listing that should replace the one in force; None if none.

        Parameters
        ----------
        ready : set of SoftwareVersion
            Versions of which a server may get new requests.
        """
        state = self._service_by_name[service]
        seen = frozenset(state.seen_ms_by_version)
        if state.listing is None:
            return Listing(service, seen) if seen else None
        listed = state.listing.listed & seen
        announced = seen - state.listing.listed
        if not ready & listed:
            due = announced
        else:
            due = frozenset(
                version
                for version in announced & state.listing.announced
                if now_ms - state.announced_ms_by_version[version] >= ANNOUNCEMENT_MS
            )
        listed |= due
        if not listed:
            # Without servers the last versions stay listed until others are present.
            listed = state.listing.listed
        wanted = Listing(service, listed, announced - due)
        return None if wanted == state.listing else wanted

    def may_begin(
        self,
        service: deployment.ServiceName,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> bool:
        """Return whether a stream may begin at a version."""
        state = self._service_by_name[service]
        if not self.has_listings:
            return len(state.seen_ms_by_version) <= 1
        if state.listing is None:
            return True
        begins_ms = state.begins_ms_by_version.get(version)
        return begins_ms is not None and now_ms >= begins_ms

    def version_of(
        self,
        service: deployment.ServiceName,
        key: StreamKey | None,
        present: Set[servers.SoftwareVersion],
        now_ms: int,
    ) -> servers.SoftwareVersion | Resumption:
        """Return the version at which a stream began, or why it is not known.

        Parameters
        ----------
        key : StreamKey or None
            None if the caller does not name the first attempt.
        present : set of SoftwareVersion
            Versions that have an entry now.
        """
        if key is not None:
            known = self._record_by_name.get((service, key))
            if known is not None:
                return known.record.version
        if not self.has_listings:
            return Resumption.NOT_LOADED
        state = self._service_by_name[service]
        possible = _possible_versions(state)
        if state.listing is None or self.is_store_restored:
            possible |= present
        possible |= {
            version
            for version, since_ms in state.announced_ms_by_version.items()
            if now_ms - since_ms >= ANNOUNCEMENT_MS
        }
        if len(possible) > 1:
            return Resumption.UNKNOWN if self.is_loaded else Resumption.NOT_LOADED
        is_current = now_ms < self.current_until_ms or state.listing is None
        if any(
            now_ms >= begin_ms and version not in possible
            for version, begin_ms in state.may_begin_ms_by_version.items()
        ):
            # Records that other gateways publish may arrive yet.
            return Resumption.NOT_LOADED
        if not possible or not is_current:
            return Resumption.NOT_LOADED
        if self.is_store_restored and not self.are_entries_complete:
            return Resumption.NOT_LOADED
        return next(iter(possible))

    def has_record(
        self, service: deployment.ServiceName, key: StreamKey | None
    ) -> bool:
        """Return whether a stream is known to have begun at a service."""
        return key is not None and (service, key) in self._record_by_name

    def record_begin(self, record: Record, now_ms: int) -> None:
        """Record that a stream has begun, or goes on, at this gateway."""
        known = self._add(record, now_ms)
        if known.is_own:
            return
        known.is_own = True
        if self._is_mixed(self._service_by_name[record.service]):
            self._publish((record.service, record.key), now_ms)

    def apply_records(
        self, records: Iterable[Record], now_ms: int, *, are_stored: bool = False
    ) -> None:
        """Apply records of peers or of the store."""
        for record in records:
            name = (record.service, record.key)
            is_new = name not in self._record_by_name
            self._add(record, now_ms)
            if are_stored:
                self._unstored_since_ms_by_name.pop(name, None)
            elif is_new:
                self._unstored_since_ms_by_name[name] = now_ms

    def to_publish(self, now_ms: int) -> tuple[Record, ...]:
        """Return the records of this gateway that its next report contains."""
        for name, until_ms in tuple(self._publish_until_ms_by_name.items()):
            if now_ms >= until_ms or name not in self._record_by_name:
                del self._publish_until_ms_by_name[name]
        names = tuple(self._publish_until_ms_by_name)[-MAX_PUBLISHED:]
        return tuple(self._record_by_name[name].record for name in names)

    def unstored(self, now_ms: int, max_age_ms: int) -> tuple[Record, ...]:
        """Return the records that this gateway does not know to be in the store.

        Older ones than `max_age_ms` are dropped: another gateway has stored them.
        """
        for name, since_ms in tuple(self._unstored_since_ms_by_name.items()):
            if now_ms - since_ms >= max_age_ms or name not in self._record_by_name:
                del self._unstored_since_ms_by_name[name]
        return tuple(
            self._record_by_name[name].record
            for name in self._unstored_since_ms_by_name
        )

    def mark_stored(self, records: Iterable[Record]) -> None:
        """Record that the store has some records."""
        for record in records:
            self._unstored_since_ms_by_name.pop((record.service, record.key), None)

    def handle_restore(self, now_ms: int) -> None:
        """Record that the store may lack any record, as it was restored."""
        for name, known in self._record_by_name.items():
            if self._is_mixed(self._service_by_name[known.record.service]):
                self._unstored_since_ms_by_name[name] = now_ms

    def expire(self, now_ms: int) -> None:
        """Drop the records of streams that can't be resumed any more."""
        for name, known in tuple(self._record_by_name.items()):
            is_old = now_ms - known.used_ms >= self.retention_ms
            if not is_old and len(self._record_by_name) <= MAX_RECORDS:
                return
            del self._record_by_name[name]

    def _add(self, record: Record, now_ms: int) -> _KnownRecord:
        name = (record.service, record.key)
        # Removed first, so that the dictionary stays ordered by the last use.
        known = self._record_by_name.pop(name, None)
        if known is None:
            known = _KnownRecord(record, now_ms)
        known.used_ms = now_ms
        self._record_by_name[name] = known
        return known

    def _publish(self, name: _Name, now_ms: int) -> None:
        self._publish_until_ms_by_name[name] = now_ms + PUBLISH_MS
        self._unstored_since_ms_by_name[name] = now_ms

    def _publish_own(self, service: deployment.ServiceName, now_ms: int) -> None:
        for name, known in self._record_by_name.items():
            if known.is_own and known.record.service == service:
                self._publish(name, now_ms)

    def _is_mixed(self, state: _Service) -> bool:
        if state.listing is None:
            return len(state.seen_ms_by_version) > 1
        return len(_possible_versions(state) | state.listing.announced) > 1


def _possible_versions(state: _Service) -> frozenset[servers.SoftwareVersion]:
    """Return the versions at which a stream without a record may have begun.

    A restored store may lack a version of which servers are present.
    """
    seen = frozenset(state.seen_ms_by_version)
    if state.listing is None:
        return seen
    return state.listing.listed | (seen & state.once_listed)
