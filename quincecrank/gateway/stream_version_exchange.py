"""Shares the software versions of streams with the other gateways and the store.

One gateway, the first in the ranking of live gateways, writes a listing of a service
when its versions come or leave.  While a service has several versions, two gateways
write the records that all gateways publish in their reports, a few times a second, so
that gateways know them that start after all others have ended.  Two, as one of them may
end a moment before all others, while its peers do not miss it yet.

Terms
-----
slot
    One of the rows that hold records.  Each writer fills every second one in turn.
"""

import base64
import binascii
import dataclasses
import json
import random
from collections.abc import Callable, Iterable
from typing import Final

from quincecrank import checked_values, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    decision_log,
    deployment,
    fleet_state,
    peer_messages,
    peers,
    servers,
    stream_versions,
    tables,
)

CHECK_MS: Final = 200
"""Interval of the checks whether a listing or records must be written."""

FALLBACK_DELAY_MS: Final = 2_000
"""Shortest time after which a gateway writes a listing that the gateway ranked first
has not written; at most twice that."""

RETENTION_MARGIN_MS: Final = 5_000
"""Time that a caller may need after the longest stream to resume it."""

HANDOVER_MS: Final = 3_000
"""Time for which gateways keep the records that another one should have written: it is
missed by its peers after `peers.PEER_SILENCE_LIMIT_MS`."""

MAX_ANSWER_AGE_MS: Final = stream_versions.MAX_LISTING_AGE_MS
"""Age of the store's last answer for the members up to which listings count as current.
"""

MEMBERS_DELAY_MS: Final = 900
"""Time in which a change of the members reaches a gateway by way of a peer: the pause
of a reader, the interval of reports and that in which they are compared."""

MAX_SILENCE_MS: Final = 500
"""Time since its last report for which a peer counts as reporting: with two checks, not
longer than a new version gets no streams, less `MEMBERS_DELAY_MS`."""

MAX_OUTAGE_MS: Final = 6_000
"""Age of the store's last answer up to which they count as current if reports of all
gateways that may be alive arrive."""

MAX_ERROR_LENGTH: Final = 300
"""Characters of an error's text that are logged."""

WRITER_COUNT: Final = 2
"""Gateways that write records, each all of them."""

SLOT_COUNT: Final = 64
MAX_SLOT_RECORDS: Final = 2_000
"""Most records that one write adds to a slot, and number at which a slot is full."""
SLOT_MS: Final = 5_000
"""Time for which a slot is filled; all slots outlast the retention time."""

LISTING_PREFIX: Final = "software:"
_SLOT_PREFIX: Final = "slot:"
_RANKING_KEY: Final = "stream-records"
_NO_ROW: Final = store_rows.Position(0, 0)

_LOG: Final = decision_log.logger("stream-versions")


class RowError(Exception):
    """The text of a row is malformed."""


def encode_listing(listing: stream_versions.Listing) -> str:
    """Return the text of a listing's row."""
    return json.dumps(
        {
            "service": listing.service,
            "listed": sorted(listing.listed),
            "announced": sorted(listing.announced),
        }
    )


def decode_listing(text: str) -> stream_versions.Listing:
    """Decode a listing.

    Raises
    ------
    RowError
        If it is malformed.
    """
    try:
        document = json_text.parse(text)
        return stream_versions.Listing(
            deployment.ServiceName(checked_values.name(document["service"])),
            frozenset(map(_version, document["listed"])),
            frozenset(map(_version, document["announced"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RowError(repr(error)) from error


def encode_records(records: Iterable[stream_versions.Record]) -> str:
    """Return the text of a slot's row."""
    document: dict[str, dict[str, str]] = {}
    for group in stream_versions.grouped(records):
        keys = base64.b64encode(group.keys).decode()
        document.setdefault(group.service, {})[group.version] = keys
    return json.dumps(document)


def decode_records(text: str) -> tuple[stream_versions.Record, ...]:
    """Decode the records of a slot.

    Raises
    ------
    RowError
        If they are malformed.
    """
    try:
        return tuple(
            record
            for service, keys_by_version in json_text.parse(text).items()
            for version, keys in keys_by_version.items()
            for record in stream_versions.RecordGroup(
                deployment.ServiceName(checked_values.name(service)),
                _version(version),
                base64.b64decode(keys, validate=True),
            ).records()
        )
    except (AttributeError, TypeError, ValueError, binascii.Error) as error:
        raise RowError(repr(error)) from error


def _version(value: object) -> servers.SoftwareVersion:
    return servers.SoftwareVersion(checked_values.name(value))


@dataclasses.dataclass(slots=True)
class _Slot:
    """The slot that this gateway fills."""

    number: int
    position: store_rows.Position
    since_ms: int
    records: list[stream_versions.Record] = dataclasses.field(default_factory=list)


class StreamVersionExchange:
    """Shares listings and records.

    Parameters
    ----------
    fleet : FleetState
        State of the fleet; its `stream_versions` is kept up to date.
    peer_directory : PeerDirectory
        The other gateways.
    rows_age_ms : callable
        Returns the age at most of the store's last answer for the members table in ms;
        None without any.
    is_behind : callable
        Returns whether a peer has a newer members table.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peer_directory: peers.PeerDirectory,
        store: tables.TableStore,
        rows_age_ms: Callable[[], int | None],
        is_behind: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._versions = fleet.stream_versions
        self._peers = peer_directory
        self._store = store
        self._rows_age_ms = rows_age_ms
        self._is_behind = is_behind
        self._clock = clock
        self._position_by_service: dict[
            deployment.ServiceName, store_rows.Position
        ] = {}
        self._due_ms_by_service: dict[deployment.ServiceName, int] = {}
        self._position_by_slot: dict[int, store_rows.Position] = {}
        self._slot: _Slot | None = None
        self._started_ms = clock.now_ms()
        self._versions.has_listings = False
        self._versions.is_loaded = False
        self._versions.current_until_ms = 0
        self._versions.are_entries_complete = False

    async def run(self) -> None:
        """Write listings and records when they are due; never returns."""
        while True:
            await self._clock.sleep(CHECK_MS)
            try:
                await self._check()
            except store_rows.StoreUnavailableError as error:
                _LOG.warning("stream versions not stored", reason=str(error))
                self._slot = None
            except Exception:
                # Without this task no new version would get streams.
                _LOG.exception("check of stream versions failed")

    def apply_rows(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Apply changed rows of the members table; other rows are ignored.

        So are rows older than what this gateway has written, removed ones included.
        """
        for row in rows:
            if not row.key.startswith(LISTING_PREFIX):
                continue
            service = deployment.ServiceName(row.key.removeprefix(LISTING_PREFIX))
            known = self._position_by_service.get(service)
            if known is None or row.position > known:
                self._apply_row(row)

    def _apply_row(self, row: store_rows.Row) -> None:
        """Apply a listing; a malformed or removed one is written again."""
        service = deployment.ServiceName(row.key.removeprefix(LISTING_PREFIX))
        try:
            listing = decode_listing(row.text)
            if row.is_removed or listing.service != service:
                raise RowError("removed, or of another service")
        except RowError as error:
            _LOG.error(
                "invalid row ignored",
                table="members",
                key=row.key[: checked_values.MAX_NAME_BYTES],
                error=str(error)[:MAX_ERROR_LENGTH],
            )
            self._versions.forget_listing(service)
            self._position_by_service.pop(service, None)
            if not row.is_removed:
                self._position_by_service[service] = row.position
            return
        self._apply_listing(listing, row.position)

    def handle_full_read(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Record that the listings are read in full, maybe from a restored store.

        Parameters
        ----------
        rows : tuple of Row
            All rows of the members table; they are applied afterwards.
        """
        keys = {row.key for row in rows if not row.is_removed}
        for service in self._position_by_service:
            if LISTING_PREFIX + service not in keys:
                self._versions.forget_listing(service)
        self._position_by_service.clear()
        self._observe_servers(self._clock.now_ms())
        self._versions.has_listings = True

    def handle_new_era(self, _era: int) -> None:
        """Have all records written again, as the store was restored from a snapshot."""
        self._slot = None
        self._versions.handle_restore(self._clock.now_ms())

    def complete_report(self, report: peer_messages.Report) -> peer_messages.Report:
        """Return a report with the records that this gateway publishes."""
        records = self._versions.to_publish(self._clock.now_ms())
        if not records:
            return report
        return dataclasses.replace(report, stream_records=records)

    def apply_report(self, report: peer_messages.Report) -> None:
        """Apply the records of a peer's report."""
        if report.stream_records:
            now_ms = self._clock.now_ms()
            self._versions.apply_records(report.stream_records, now_ms)

    async def _check(self) -> None:
        now_ms = self._clock.now_ms()
        self._update_retention()
        ready_by_service = self._observe_servers(now_ms)
        self._versions.expire(now_ms)
        self._versions.current_until_ms = max(
            self._versions.current_until_ms, self._current_until_ms(now_ms)
        )
        self._versions.are_entries_complete = (
            now_ms - self._started_ms >= servers.EXPIRY_GRACE_MS
        )
        if self._has_run_long():
            self._versions.is_store_restored = False
        if not self._versions.has_listings:
            return
        for service, position in self._position_by_service.items():
            if self._peers.all_have(tables.TableName.MEMBERS, position):
                self._versions.confirm_listing(service)
        for service, ready in ready_by_service.items():
            await self._write_listing_if_due(service, ready)
        if self._versions.is_any_mixed:
            if not self._versions.is_loaded:
                await self._load()
            await self._write_records()

    def _has_run_long(self) -> bool:
        """Return whether streams of earlier processes can't be resumed any more."""
        now_ms = self._clock.now_ms()
        return now_ms - self._started_ms >= self._versions.retention_ms

    def _update_retention(self) -> None:
        current = self._fleet.configuration
        if current is None:
            return
        timeouts_ms = [
            route.timeout_ms
            for routes in current.routes_by_host.values()
            for route in routes
            if route.is_stream and route.is_resumable
        ]
        # A configuration with shorter time limits does not concern running streams.
        self._versions.retention_ms = max(
            self._versions.retention_ms,
            max(timeouts_ms, default=0) + RETENTION_MARGIN_MS,
        )

    def _observe_servers(
        self, now_ms: int
    ) -> dict[deployment.ServiceName, set[servers.SoftwareVersion]]:
        """Record the versions that are present; return the ready ones by service."""
        present: dict[deployment.ServiceName, set[servers.SoftwareVersion]] = {}
        ready: dict[deployment.ServiceName, set[servers.SoftwareVersion]] = {}
        streaming = self._streaming_services()
        for entry in self._fleet.registry.entries():
            if entry.service not in streaming:
                continue
            present.setdefault(entry.service, set()).add(entry.software_version)
            versions = ready.setdefault(entry.service, set())
            if entry.state is servers.ServerState.READY:
                versions.add(entry.software_version)
        self._versions.observe_servers(present, now_ms)
        return ready

    def _streaming_services(self) -> frozenset[deployment.ServiceName]:
        """Return the services of resumable routes."""
        current = self._fleet.configuration
        if current is None:
            return frozenset()
        return frozenset(
            target.service
            for routes in current.routes_by_host.values()
            for route in routes
            if route.is_stream and route.is_resumable
            for target in route.targets
        )

    def _current_until_ms(self, now_ms: int) -> int:
        """Return the time until which a listing of another gateway is known here."""
        until_ms = 0
        own_age_ms = self._rows_age_ms()
        if own_age_ms is not None:
            until_ms = now_ms + MAX_ANSWER_AGE_MS - own_age_ms
        if self._is_behind():
            return until_ms
        # Servers change all the time, members seldom.
        peer_age_ms = self._peers.rows_age_ms(tables.TableName.SERVERS)
        if peer_age_ms is not None:
            age_ms = peer_age_ms + MEMBERS_DELAY_MS
            until_ms = max(until_ms, now_ms + MAX_ANSWER_AGE_MS - age_ms)
        ages_ms = [age for age in (own_age_ms, peer_age_ms) if age is not None]
        reporting_count = 1 + len(self._peers.reporting_ips(MAX_SILENCE_MS))
        # One that is silent may reach the store, and list a version.
        all_report = reporting_count >= self._peers.known_gateways()
        if all_report and min(ages_ms, default=MAX_OUTAGE_MS) < MAX_OUTAGE_MS:
            until_ms = max(until_ms, now_ms + 2 * CHECK_MS)
        return until_ms

    async def _write_listing_if_due(
        self, service: deployment.ServiceName, ready: set[servers.SoftwareVersion]
    ) -> None:
        now_ms = self._clock.now_ms()
        wanted = self._versions.listing_to_write(service, ready, now_ms)
        if wanted is None:
            self._due_ms_by_service.pop(service, None)
            return
        key = LISTING_PREFIX + service
        is_first = self._peers.first_ranked(key, 1) == (self._peers.own_name,)
        delay_ms = random.uniform(FALLBACK_DELAY_MS, 2 * FALLBACK_DELAY_MS)
        due_ms = self._due_ms_by_service.setdefault(service, round(now_ms + delay_ms))
        if not is_first and now_ms < due_ms:
            return
        expected = self._position_by_service.get(service, _NO_ROW)
        result = await self._store.write(
            tables.TableName.MEMBERS, key, encode_listing(wanted), expected
        )
        if result.is_applied:
            self._apply_listing(wanted, result.position)
        else:
            # The change has not reached this gateway yet.
            is_removed = result.position.version == _NO_ROW.version
            self._apply_row(
                store_rows.Row(key, result.text, result.position, is_removed)
            )

    def _apply_listing(
        self, listing: stream_versions.Listing, position: store_rows.Position
    ) -> None:
        known = self._position_by_service.get(listing.service)
        if known is not None and position <= known:
            return
        self._position_by_service[listing.service] = position
        if position.era > store_rows.FIRST_ERA and not self._has_run_long():
            self._versions.is_store_restored = True
        before = self._versions.listing_of(listing.service)
        self._versions.apply_listing(listing, self._clock.now_ms())
        if before != listing:
            _LOG.info(
                "software versions of a service",
                service=listing.service,
                listed=sorted(listing.listed),
                announced=sorted(listing.announced),
            )

    async def _load(self) -> None:
        """Read the records of the store, and the positions of their slots."""
        rows = await self._store.read_all(tables.TableName.STREAMS)
        now_ms = self._clock.now_ms()
        # Of the slots known before, a restored store may lack some.
        self._position_by_slot.clear()
        count = 0
        for row in rows.rows:
            number = row.key.removeprefix(_SLOT_PREFIX)
            if row.is_removed or not (number.isascii() and number.isdigit()):
                continue
            self._position_by_slot[int(number)] = row.position
            try:
                records = decode_records(row.text)
            except RowError as error:
                _LOG.error(
                    "invalid row ignored",
                    table="streams",
                    key=row.key,
                    error=str(error)[:MAX_ERROR_LENGTH],
                )
                continue
            self._versions.apply_records(records, now_ms, are_stored=True)
            count += len(records)
        self._versions.is_loaded = True
        _LOG.info("stream records read", records=count)

    async def _write_records(self) -> None:
        """Write the records that the store lacks, if it is up to this gateway."""
        now_ms = self._clock.now_ms()
        writers = self._peers.first_ranked(_RANKING_KEY, WRITER_COUNT)
        is_writer = self._peers.own_name in writers
        max_age_ms = self._versions.retention_ms if is_writer else HANDOVER_MS
        records = self._versions.unstored(now_ms, max_age_ms)
        if not is_writer:
            self._slot = None
            return
        if not records:
            return
        place = writers.index(self._peers.own_name)
        if self._slot is not None and self._slot.number % WRITER_COUNT != place:
            self._slot = None
        slot = self._slot or await self._begin_slot(place)
        records = records[:MAX_SLOT_RECORDS]
        slot.records += records
        result = await self._store.write(
            tables.TableName.STREAMS,
            f"{_SLOT_PREFIX}{slot.number}",
            encode_records(slot.records),
            slot.position,
        )
        self._position_by_slot[slot.number] = result.position
        if not result.is_applied:
            # Another gateway writes, too; its slot is left to it.
            self._slot = None
            return
        self._versions.mark_stored(records)
        slot.position = result.position
        is_full = len(slot.records) >= MAX_SLOT_RECORDS
        if is_full or self._clock.now_ms() - slot.since_ms >= SLOT_MS:
            slot = self._make_slot((slot.number + WRITER_COUNT) % SLOT_COUNT)
        self._slot = slot

    async def _begin_slot(self, place: int) -> _Slot:
        """Return the slot after the one that was written last by a writer in a place.

        Parameters
        ----------
        place : int
            Place among the writers, from 0; the slots of two writers differ by it.
        """
        await self._load()
        last = max(
            (
                item
                for item in self._position_by_slot.items()
                if item[0] % WRITER_COUNT == place
            ),
            key=lambda item: (item[1], item[0]),
            default=(place - WRITER_COUNT, _NO_ROW),
        )[0]
        return self._make_slot((last + WRITER_COUNT) % SLOT_COUNT)

    def _make_slot(self, number: int) -> _Slot:
        position = self._position_by_slot.get(number, _NO_ROW)
        return _Slot(number, position, self._clock.now_ms())
