"""Ways to keep resumed streams at their software version, for the simulation.

`Listed` decides by the product's own `stream_versions.StreamVersions`, and models what
`stream_version_exchange` sends and stores; the other ways are alternatives to it.
"""

import collections
import random
from collections.abc import Collection, Mapping
from typing import Final

from bench import stream_patterns
from quincecrank.gateway import (
    deployment,
    servers,
    stream_version_exchange,
    stream_versions,
)

RETENTION_MS: Final = 20_000
REPEATS: Final = 4
BUCKETS: Final = 64
MOVED_AT_ONCE: Final = 4
SERVICE: Final = deployment.ServiceName("lekhak")
LISTING_ROW: Final = "listing"
BUCKET_ROW: Final = "buckets"
SLOT_PREFIX: Final = "slot:"

Versions = Collection[servers.SoftwareVersion]


class AnyServer:
    """Goes on at any server."""

    def __init__(self, number: int) -> None:
        self._number = number

    def versions_for_new(
        self, _key: stream_patterns.StreamKey, usable: Versions, _now_ms: int
    ) -> Versions:
        """Return the versions at which a stream may begin."""
        return usable

    def versions_to_resume(
        self, _key: stream_patterns.StreamKey, usable: Versions, _now_ms: int
    ) -> Versions | None:
        """Return the versions at which a stream may go on."""
        return usable

    def versions_to_continue(
        self, _version: servers.SoftwareVersion, usable: Versions
    ) -> Versions:
        """Return the versions at which an answer may go on."""
        return usable

    def record_start(
        self,
        key: stream_patterns.StreamKey,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> None:
        """Record the version of a stream."""

    def to_publish(self, _now_ms: int) -> Collection[stream_patterns.Record]:
        """Return the records of the next report."""
        return ()

    def apply_report(
        self, records: Collection[stream_patterns.Record], now_ms: int
    ) -> None:
        """Apply a peer's report."""

    def apply_store(
        self,
        rows: Mapping[str, stream_patterns.RowValue],
        situation: stream_patterns.Situation,
        now_ms: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Apply changed rows."""

    def check(
        self, _situation: stream_patterns.Situation, _now_ms: int
    ) -> Mapping[str, stream_patterns.RowValue | None]:
        """Return rows to write."""
        return {}

    def record_write(
        self,
        name: str,
        row: stream_patterns.RowValue | None,
        now_ms: int,
        is_written: bool,
    ) -> None:
        """Note the result of a write."""


class OwnRecords(AnyServer):
    """Goes on only with streams that began at the same gateway."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._version_by_key: dict[
            stream_patterns.StreamKey, servers.SoftwareVersion
        ] = {}
        self._own: dict[stream_patterns.StreamKey, int] = {}

    def versions_to_resume(
        self, key: stream_patterns.StreamKey, _usable: Versions, _now_ms: int
    ) -> Versions | None:
        """Return the versions at which a stream may go on."""
        version = self._version_by_key.get(key)
        return () if version is None else (version,)

    def versions_to_continue(
        self, version: servers.SoftwareVersion, _usable: Versions
    ) -> Versions:
        """Return the versions at which an answer may go on."""
        return (version,)

    def record_start(
        self,
        key: stream_patterns.StreamKey,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> None:
        """Record the version of a stream."""
        self._version_by_key.setdefault(key, version)
        self._own.setdefault(key, now_ms)


class Reported(OwnRecords):
    """Publishes the records of all streams in reports."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._repeats_by_key: dict[stream_patterns.StreamKey, int] = {}

    def record_start(
        self,
        key: stream_patterns.StreamKey,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> None:
        """Record the version of a stream."""
        super().record_start(key, version, now_ms)
        self._repeats_by_key[key] = REPEATS

    def to_publish(self, _now_ms: int) -> Collection[stream_patterns.Record]:
        """Return the records of the next report."""
        published = [(key, self._version_by_key[key]) for key in self._repeats_by_key]
        self._repeats_by_key = {
            key: repeats - 1
            for key, repeats in self._repeats_by_key.items()
            if repeats > 1
        }
        return published

    def apply_report(
        self, records: Collection[stream_patterns.Record], _now_ms: int
    ) -> None:
        """Apply a peer's report."""
        for key, version in records:
            self._version_by_key.setdefault(key, version)


class Stored(Reported):
    """Publishes all records, and each gateway writes its own to a row."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._stored: frozenset[stream_patterns.Record] = frozenset()

    def apply_store(
        self,
        rows: Mapping[str, stream_patterns.RowValue],
        situation: stream_patterns.Situation,
        now_ms: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Apply changed rows."""
        for name, row in rows.items():
            if is_full_read and name.startswith(SLOT_PREFIX):
                self.apply_report(row, now_ms)  # type: ignore[arg-type]

    def check(
        self, _situation: stream_patterns.Situation, now_ms: int
    ) -> Mapping[str, stream_patterns.RowValue | None]:
        """Return rows to write."""
        name = (
            f"{SLOT_PREFIX}{self._number}:{now_ms // stream_version_exchange.SLOT_MS}"
        )
        records = frozenset(
            (key, self._version_by_key[key])
            for key, at_ms in self._own.items()
            if at_ms // stream_version_exchange.SLOT_MS
            >= now_ms // stream_version_exchange.SLOT_MS - 1
        )
        return {name: records} if records - self._stored else {}

    def record_write(
        self,
        name: str,
        row: stream_patterns.RowValue | None,
        now_ms: int,
        is_written: bool,
    ) -> None:
        """Note the result of a write."""
        if is_written:
            self._stored |= row  # type: ignore[operator]


class Listed(OwnRecords):
    """Lists versions in a row, and keeps records while a service has several.

    The decisions are those of `stream_versions.StreamVersions`.
    """

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.versions = self.make_versions()
        self.versions.has_listings = False
        self.versions.is_loaded = False
        self.versions.current_until_ms = 0
        self.versions.are_entries_complete = False
        self._rows: Mapping[str, stream_patterns.RowValue] = {}
        self._listing: stream_patterns.RowValue | None = None
        self._slot: list[stream_versions.Record] = []
        self._slot_number = 0
        self._due_ms: int | None = None
        self._started_ms: int | None = None
        self._present: frozenset[servers.SoftwareVersion] = frozenset()
        self._generator = random.Random(number)

    def make_versions(self) -> stream_versions.StreamVersions:
        """Make the decision object of this gateway."""
        return stream_versions.StreamVersions()

    def versions_for_new(
        self, _key: stream_patterns.StreamKey, usable: Versions, now_ms: int
    ) -> Versions:
        """Return the versions at which a stream may begin."""
        return [
            each for each in usable if self.versions.may_begin(SERVICE, each, now_ms)
        ]

    def versions_to_resume(
        self, key: stream_patterns.StreamKey, _usable: Versions, now_ms: int
    ) -> Versions | None:
        """Return the versions at which a stream may go on."""
        version = self.versions.version_of(
            SERVICE, stream_versions.StreamKey(key), self._present, now_ms
        )
        if version is stream_versions.Resumption.NOT_LOADED:
            return None
        if version is stream_versions.Resumption.UNKNOWN:
            return ()
        return (servers.SoftwareVersion(str(version)),)

    def record_start(
        self,
        key: stream_patterns.StreamKey,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> None:
        """Record the version of a stream."""
        self.versions.record_begin(
            stream_versions.Record(SERVICE, stream_versions.StreamKey(key), version),
            now_ms,
        )

    def to_publish(self, now_ms: int) -> Collection[stream_patterns.Record]:
        """Return the records of the next report."""
        return [
            (stream_patterns.StreamKey(each.key), each.version)
            for each in self.versions.to_publish(now_ms)
        ]

    def apply_report(
        self, records: Collection[stream_patterns.Record], now_ms: int
    ) -> None:
        """Apply a peer's report."""
        self.versions.apply_records(
            [
                stream_versions.Record(SERVICE, stream_versions.StreamKey(key), version)
                for key, version in records
            ],
            now_ms,
        )

    def apply_store(
        self,
        rows: Mapping[str, stream_patterns.RowValue],
        situation: stream_patterns.Situation,
        now_ms: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Apply changed rows."""
        self._rows = rows
        self._observe(situation, now_ms)
        self._update_restored(situation, now_ms)
        if is_full_read:
            if LISTING_ROW not in rows:
                self.versions.forget_listing(SERVICE)
            self.versions.has_listings = True
        self._apply_listing(rows.get(LISTING_ROW), now_ms)

    def check(
        self, situation: stream_patterns.Situation, now_ms: int
    ) -> Mapping[str, stream_patterns.RowValue | None]:
        """Return rows to write."""
        self._observe(situation, now_ms)
        self.versions.expire(now_ms)
        self.versions.current_until_ms = self._current_until_ms(situation, now_ms)
        self._update_restored(situation, now_ms)
        rows: dict[str, stream_patterns.RowValue | None] = {}
        if LISTING_ROW in situation.known_rows:
            self.versions.confirm_listing(SERVICE)
        wanted = self.versions.listing_to_write(SERVICE, set(situation.ready), now_ms)
        if wanted is None:
            self._due_ms = None
        else:
            if self._due_ms is None:
                delay_ms = self._generator.randint(
                    stream_version_exchange.FALLBACK_DELAY_MS,
                    2 * stream_version_exchange.FALLBACK_DELAY_MS,
                )
                self._due_ms = now_ms + delay_ms
            if situation.is_first or now_ms >= self._due_ms:
                rows[LISTING_ROW] = wanted
        if self.versions.is_any_mixed:
            self._load(now_ms)
            rows |= self._records_to_write(situation, now_ms)
        return rows

    def _current_until_ms(
        self, situation: stream_patterns.Situation, now_ms: int
    ) -> int:
        """Return the time until which a listing of another gateway is known here."""
        age_ms = situation.answer_age_ms
        if age_ms is None:
            return 0
        if age_ms < stream_version_exchange.MAX_ANSWER_AGE_MS:
            return now_ms + stream_version_exchange.MAX_ANSWER_AGE_MS - age_ms
        all_report = (
            situation.reporting >= situation.gateways and not situation.is_behind
        )
        is_current = all_report and age_ms < stream_version_exchange.MAX_OUTAGE_MS
        return now_ms + 2 * stream_version_exchange.CHECK_MS if is_current else 0

    def record_write(
        self,
        name: str,
        row: stream_patterns.RowValue | None,
        now_ms: int,
        is_written: bool,
    ) -> None:
        """Note the result of a write."""
        if not is_written:
            return
        if name == LISTING_ROW:
            self._apply_listing(row, now_ms)
        else:
            self._slot = list(row)  # type: ignore[call-overload]
            self.versions.mark_stored(self._slot)

    def _update_restored(
        self, situation: stream_patterns.Situation, now_ms: int
    ) -> None:
        """Note a restore before or while this process could know all versions."""
        if self._started_ms is None:
            self._started_ms = now_ms
        age_ms = now_ms - self._started_ms
        is_young = age_ms < self.versions.retention_ms
        self.versions.is_store_restored = is_young and situation.era > 0
        self.versions.are_entries_complete = age_ms >= servers.EXPIRY_GRACE_MS

    def _observe(self, situation: stream_patterns.Situation, now_ms: int) -> None:
        self._present = situation.present
        self.versions.observe_servers({SERVICE: situation.present}, now_ms)

    def _apply_listing(self, row: stream_patterns.RowValue | None, now_ms: int) -> None:
        if isinstance(row, stream_versions.Listing) and row is not self._listing:
            self._listing = row
            self.versions.apply_listing(row, now_ms)

    def _load(self, now_ms: int) -> None:
        if self.versions.is_loaded:
            return
        for name, row in self._rows.items():
            if name.startswith(SLOT_PREFIX):
                self.versions.apply_records(row, now_ms, are_stored=True)  # type: ignore[arg-type]
        self.versions.is_loaded = True

    def _records_to_write(
        self, situation: stream_patterns.Situation, now_ms: int
    ) -> dict[str, stream_patterns.RowValue | None]:
        max_age_ms = (
            RETENTION_MS if situation.is_first else stream_version_exchange.HANDOVER_MS
        )
        records = self.versions.unstored(now_ms, max_age_ms)
        if not situation.is_first or not records:
            return {}
        if self._slot_number != now_ms // stream_version_exchange.SLOT_MS:
            self._slot_number, self._slot = (
                now_ms // stream_version_exchange.SLOT_MS,
                [],
            )
        name = f"{SLOT_PREFIX}{self._number}:{self._slot_number}"
        return {name: (*self._slot, *records)}


_Bucket = tuple[servers.SoftwareVersion, int]
"""Version that owns a bucket of keys, and when the bucket was moved to it."""


class Buckets(Reported):
    """Buckets of keys belong to versions; a bucket that moved lately is unknown."""

    has_exceptions = False

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._buckets: tuple[_Bucket, ...] = ()
        self._is_current = True
        self._unstored: dict[stream_patterns.StreamKey, int] = {}
        self._slot: tuple[stream_patterns.Record, ...] = ()
        self._slot_number = 0

    def versions_for_new(
        self, key: stream_patterns.StreamKey, usable: Versions, _now_ms: int
    ) -> Versions:
        """Return the versions at which a stream may begin."""
        if not self._buckets:
            return ()
        owner = self._buckets[key % BUCKETS][0]
        if owner in usable:
            return (owner,)
        return usable if self.has_exceptions else ()

    def versions_to_resume(
        self, key: stream_patterns.StreamKey, usable: Versions, now_ms: int
    ) -> Versions | None:
        """Return the versions at which a stream may go on."""
        known = super().versions_to_resume(key, usable, now_ms)
        if known or not self._buckets or not self._is_current:
            return known
        owner, moved_ms = self._buckets[key % BUCKETS]
        is_exception = self.has_exceptions and owner not in usable
        return () if now_ms < moved_ms + RETENTION_MS or is_exception else (owner,)

    def record_start(
        self,
        key: stream_patterns.StreamKey,
        version: servers.SoftwareVersion,
        now_ms: int,
    ) -> None:
        """Record the version of a stream."""
        OwnRecords.record_start(self, key, version, now_ms)
        owner, moved_ms = self._buckets[key % BUCKETS]
        if version != owner or now_ms < moved_ms + RETENTION_MS:
            self._repeats_by_key[key] = REPEATS
            self._unstored[key] = now_ms

    def apply_report(
        self, records: Collection[stream_patterns.Record], now_ms: int
    ) -> None:
        """Apply a peer's report."""
        for key, _ in records:
            if key not in self._version_by_key:
                self._unstored[key] = now_ms
        super().apply_report(records, now_ms)

    def apply_store(
        self,
        rows: Mapping[str, stream_patterns.RowValue],
        situation: stream_patterns.Situation,
        now_ms: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Apply changed rows."""
        buckets: tuple[_Bucket, ...] = rows.get(BUCKET_ROW, ())  # type: ignore[assignment]
        moved = [
            number
            for number, bucket in enumerate(buckets)
            if self._buckets and bucket != self._buckets[number]
        ]
        self._buckets = buckets
        for key, at_ms in self._own.items():
            if key % BUCKETS in moved and now_ms < at_ms + RETENTION_MS:
                self._repeats_by_key[key] = REPEATS
                self._unstored[key] = now_ms
        for name, row in rows.items():
            if is_full_read and name.startswith(SLOT_PREFIX):
                super().apply_report(row, now_ms)  # type: ignore[arg-type]

    def check(
        self, situation: stream_patterns.Situation, now_ms: int
    ) -> Mapping[str, stream_patterns.RowValue | None]:
        """Return rows to write."""
        age_ms = situation.answer_age_ms
        self._is_current = (
            age_ms is not None and age_ms < stream_version_exchange.MAX_ANSWER_AGE_MS
        )
        if not situation.is_first:
            self._unstored = {
                key: at_ms
                for key, at_ms in self._unstored.items()
                if now_ms < at_ms + stream_version_exchange.HANDOVER_MS
            }
            return {}
        rows: dict[str, stream_patterns.RowValue | None] = {}
        wanted = _moved_buckets(self._buckets, situation.ready, now_ms)
        if wanted != self._buckets:
            rows[BUCKET_ROW] = wanted
        if self.has_exceptions and self._unstored:
            if self._slot_number != now_ms // stream_version_exchange.SLOT_MS:
                self._slot_number, self._slot = (
                    now_ms // stream_version_exchange.SLOT_MS,
                    (),
                )
            name = f"{SLOT_PREFIX}{self._number}:{self._slot_number}"
            records = [(key, self._version_by_key[key]) for key in self._unstored]
            rows[name] = (*self._slot, *records)
        return rows

    def record_write(
        self,
        name: str,
        row: stream_patterns.RowValue | None,
        now_ms: int,
        is_written: bool,
    ) -> None:
        """Note the result of a write."""
        if is_written and name != BUCKET_ROW:
            self._slot = tuple(row)  # type: ignore[arg-type]
            for key, _ in self._slot:
                self._unstored.pop(key, None)


def _moved_buckets(
    buckets: tuple[_Bucket, ...],
    ready: Mapping[servers.SoftwareVersion, int],
    now_ms: int,
) -> tuple[_Bucket, ...]:
    """Return the buckets after the next moves towards the share of each version."""
    total = sum(ready.values())
    if not total:
        return buckets
    if not buckets:
        first = max(ready, key=lambda each: ready[each])
        return ((first, -RETENTION_MS),) * BUCKETS
    changed = list(buckets)
    count = collections.Counter(owner for owner, _ in buckets)

    def surplus(version: servers.SoftwareVersion) -> float:
        return count[version] - BUCKETS * ready.get(version, 0) / total

    moves = 0
    for number, (owner, moved_ms) in enumerate(buckets):
        to = min(ready, key=surplus)
        is_due = (
            moves < MOVED_AT_ONCE
            and now_ms >= moved_ms + RETENTION_MS
            and surplus(owner) >= 1
            and surplus(to) <= -1
        )
        if owner not in ready or is_due:
            changed[number] = (to, now_ms)
            count[owner] -= 1
            count[to] += 1
            moves += 1
    return tuple(changed)


class BucketsWithRecords(Buckets):
    """Buckets, and records of what they don't say in rows of one gateway."""

    has_exceptions = True
