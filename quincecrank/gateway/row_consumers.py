"""Consumers of store rows: apply them to the gateway's state of the fleet.

A row that can't be decoded is logged with its key and skipped, and the others are
applied; an invalid entry of a server counts as removed.
"""

from collections.abc import Callable
from typing import Final

from quincecrank import checked_values, ids, store_rows
from quincecrank.gateway import (
    crash_monitor,
    decision_log,
    deployment,
    fleet_state,
    followers,
    member_registration,
    order_lease,
    peers,
    servers,
    stored_service_times,
    stream_version_exchange,
    target_marks,
    target_times,
    weights,
)
from quincecrank.platform import documents, row_updates

_LOG: Final = decision_log.logger("tables")


class OperatorRowConsumer:
    """Applies the operator's configuration and the target weights.

    Parameters
    ----------
    marks : TargetMarks, optional
        Gets the target versions whose age is not known.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        observe_delay: Callable[[str, int], None] = lambda _origin, _delay_ms: None,
        marks: target_marks.TargetMarks | None = None,
    ) -> None:
        self._fleet = fleet
        self._observe_delay = observe_delay
        self._marks = marks
        self._has_read = False
        self._read_version: int | None = None
        self._decoder = documents.ConfigurationDecoder()

    def apply_snapshot(
        self, snapshot: store_rows.Rows, arrival: followers.Arrival | None = None
    ) -> None:
        """Apply a snapshot of the table."""
        self._read_version = None
        self.apply_changes(snapshot.rows, arrival)
        self._has_read = True
        if self._is_evacuation_used:
            self._end_missing_evacuations(snapshot, arrival)

    def apply_changes(
        self,
        rows: tuple[store_rows.Row, ...],
        arrival: followers.Arrival | None = None,
    ) -> tuple[store_rows.Row, ...]:
        """Apply changed rows; every row that an operator writes is significant."""
        for row in rows:
            try:
                self._apply(row, arrival)
            except documents.DocumentError as error:
                _LOG.error(
                    "invalid row ignored",
                    table="operator",
                    key=_shown_key(row),
                    error=str(error),
                )
            except Exception:
                # The other rows are applied all the same.
                _LOG.exception("row not applied", table="operator", key=_shown_key(row))
        return rows

    def handle_store_answer(self, asked_ms: int) -> None:
        """Record which configuration the store had when it was asked, or later."""
        self._fleet.currency.record_store_read(self._read_version, asked_ms)

    @property
    def _is_evacuation_used(self) -> bool:
        return self._fleet.own_settings.bounds.evacuation_apply_ms is not None

    def _end_missing_evacuations(
        self, snapshot: store_rows.Rows, arrival: followers.Arrival | None
    ) -> None:
        """End the evacuations that a full read of the table lacks."""
        position_by_data_centre = {
            data_centre: row.position
            for row in snapshot.rows
            if (data_centre := row_updates.evacuated_data_centre(row)) is not None
        }
        ended = self._fleet.evacuations.apply_full_read(
            position_by_data_centre, snapshot.position, self._fleet.clock.now_ms()
        )
        for data_centre in ended:
            self._fleet.presume_cold(data_centre)
            self._log_evacuation(
                data_centre, snapshot.position, arrival, has_ended=True
            )

    def _apply_evacuation(
        self,
        data_centre: ids.DataCentre,
        row: store_rows.Row,
        arrival: followers.Arrival | None,
    ) -> None:
        if not self._fleet.apply_evacuation(
            data_centre, row.position, is_removed=row.is_removed
        ):
            return
        self._log_evacuation(
            data_centre, row.position, arrival, has_ended=row.is_removed
        )

    def _log_evacuation(
        self,
        data_centre: ids.DataCentre,
        position: store_rows.Position,
        arrival: followers.Arrival | None,
        *,
        has_ended: bool,
    ) -> None:
        known_ms = None if arrival is None else arrival.known_ms
        now_ms = self._fleet.clock.now_ms()
        _LOG.info(
            "evacuation ended" if has_ended else "evacuation in force",
            data_centre=data_centre,
            row=position.number,
            origin=followers.STORE if arrival is None else arrival.origin,
            delay_ms=None if known_ms is None else now_ms - known_ms,
        )

    def _apply(self, row: store_rows.Row, arrival: followers.Arrival | None) -> None:
        data_centre = row_updates.evacuated_data_centre(row)
        if data_centre is not None:
            if self._is_evacuation_used:
                self._apply_evacuation(data_centre, row, arrival)
            return
        update = row_updates.operator_update(row, self._decoder)
        if isinstance(update, weights.TargetWeights):
            self._record_target(update, row, arrival)
        elif update is not None:
            self._read_version = update.version
            self._put_in_force(update, row, arrival)

    def _put_in_force(
        self,
        update: deployment.Deployment,
        row: store_rows.Row,
        arrival: followers.Arrival | None,
    ) -> None:
        origin = followers.STORE if arrival is None else arrival.origin
        known_ms = None if arrival is None else arrival.known_ms
        source = "" if arrival is None else arrival.source
        unread_ms = 0 if arrival is None else arrival.unread_ms
        previous = self._fleet.currency.version
        if not self._fleet.apply_configuration(update, known_ms):
            return
        delay_ms = self._fleet.currency.delay_ms
        _LOG.info(
            "configuration in force",
            version=update.version,
            previous=previous,
            row=row.position.number,
            origin=origin,
            source=source,
            delay_ms=delay_ms,
            unread_ms=unread_ms,
        )
        if delay_ms is not None:
            self._observe_delay(origin, delay_ms + unread_ms)

    def handle_store_unavailable(self) -> None:
        """Do nothing: the operator's settings stay in force."""

    def handle_store_available(self, outage_ms: int) -> None:
        """Do nothing."""

    def _record_target(
        self,
        target: weights.TargetWeights,
        row: store_rows.Row,
        arrival: followers.Arrival | None,
    ) -> None:
        # A row of the first full read may have been written at any earlier time, and
        # later full reads contain the same row.
        present = self._fleet.target_versions.target_version(target.model) or 0
        is_new = self._has_read and target.version > present
        if self._marks is not None and not self._has_read:
            self._marks.add_undated(target.model, target.version, row.position)
        now_ms = self._fleet.clock.now_ms()
        age_ms = self._longest_age_ms(arrival, now_ms) if is_new else None
        if self._fleet.target_versions.record_target(
            target.model, target.version, now_ms, age_ms
        ):
            _LOG.info(
                "weights named",
                model=target.model,
                version=target.version,
                row=row.position.number,
            )

    def _longest_age_ms(self, arrival: followers.Arrival | None, now_ms: int) -> int:
        """Return the longest time for which rows have been known at a gateway.

        They may have waited unread while this process stood still.
        """
        if arrival is None:
            return 0
        unread_ms = self._fleet.lateness_ms()
        if arrival.origin == followers.STORE:
            return min(unread_ms, now_ms - arrival.asked_ms)
        unread_ms = min(unread_ms, arrival.unread_ms)
        known_ms = now_ms if arrival.known_ms is None else arrival.known_ms
        return now_ms - known_ms + unread_ms


class ServerRowConsumer:
    """Applies the entries of backend servers."""

    def __init__(self, fleet: fleet_state.FleetState) -> None:
        self._fleet = fleet

    def apply_snapshot(
        self, snapshot: store_rows.Rows, arrival: followers.Arrival | None = None
    ) -> None:
        """Apply a snapshot of all entries; remove servers without an entry."""
        now_ms = self._fleet.clock.now_ms()
        present = [servers.ServerId(row.key) for row in snapshot.rows]
        for server_id in self._fleet.registry.retain(present, now_ms):
            self._discard(server_id)
        # The rows may be those of a peer that has no recent reports of servers.
        self._apply_rows(snapshot.rows, is_from_feed=False)
        self._fleet.mark_servers_read()

    def apply_changes(
        self,
        rows: tuple[store_rows.Row, ...],
        arrival: followers.Arrival | None = None,
    ) -> tuple[store_rows.Row, ...]:
        """Apply changed and removed entries; a heartbeat alone is not significant."""
        is_from_feed = arrival is None or arrival.origin == followers.STORE
        return self._apply_rows(rows, is_from_feed=is_from_feed)

    def _apply_rows(
        self, rows: tuple[store_rows.Row, ...], *, is_from_feed: bool
    ) -> tuple[store_rows.Row, ...]:
        significant = []
        for row in rows:
            try:
                if self._apply(row, is_from_feed=is_from_feed):
                    significant.append(row)
            except Exception:
                # The other rows are applied all the same.
                _LOG.exception("row not applied", table="servers", key=_shown_key(row))
        return tuple(significant)

    def _apply(self, row: store_rows.Row, *, is_from_feed: bool) -> bool:
        try:
            entry = row_updates.server_update(row)
        except documents.DocumentError as error:
            _LOG.warning(
                "invalid row ignored",
                table="servers",
                key=_shown_key(row),
                error=str(error),
            )
            # An invalid entry removes the server that the row held before.
            entry = None
        if entry is None:
            return self._remove(servers.ServerId(row.key))
        if is_from_feed:
            self._fleet.record_report(entry)
        return self._update(entry)

    def handle_store_unavailable(self) -> None:
        """Expect entries to expire although their servers are alive."""
        self._fleet.registry.mark_store_unavailable()

    def handle_store_available(self, outage_ms: int) -> None:
        """Expect live servers to renew their expired entries within a short time."""
        now_ms = self._fleet.clock.now_ms()
        self._fleet.registry.mark_store_available(now_ms, outage_ms)

    def _update(self, entry: servers.ServerEntry) -> bool:
        if self._fleet.registry.predates_departure(entry):
            _LOG.info(
                "server entry of a copy ignored",
                server=entry.server_id,
                started_wall_ms=entry.started_wall_ms,
                report=entry.report_number,
            )
            return self._remove(entry.server_id)
        if self._fleet.registry.is_late(entry):
            _LOG.info(
                "late server entry ignored",
                server=entry.server_id,
                started_wall_ms=entry.started_wall_ms,
                report=entry.report_number,
                state=entry.state.value,
            )
            return False
        before = self._fleet.registry.find(entry.server_id)
        entry = self._fleet.registry.update(entry)
        if before is not None and before.started_wall_ms != entry.started_wall_ms:
            self._fleet.remove_server(entry.server_id)
        became_cold = self._fleet.record_cold_entry(entry, before)
        is_significant = before is None or became_cold or _is_significant(before, entry)
        if is_significant:
            _LOG.info(
                "server entry",
                server=entry.server_id,
                service=entry.service,
                state=entry.state.value,
                address=entry.address,
                weights=dict(entry.weight_versions_by_model),
                software=entry.software_version,
                started_wall_ms=entry.started_wall_ms,
            )
        return is_significant

    def _remove(self, server_id: servers.ServerId) -> bool:
        """Remove an entry; return whether there was one.

        The registry may keep using the server for a while.
        """
        had_entry = self._fleet.registry.find(server_id) is not None
        if self._fleet.registry.remove(server_id, self._fleet.clock.now_ms()):
            self._discard(server_id)
        return had_entry

    def _discard(self, server_id: servers.ServerId) -> None:
        _LOG.info("server gone", server=server_id)
        self._fleet.remove_server(server_id)


class MemberRowConsumer:
    """Applies the rows that gateways write.

    These are their addresses, the order lease, crash findings, software versions, the
    times of target versions and service times.
    """

    def __init__(
        self,
        peer_directory: peers.PeerDirectory,
        lease: order_lease.OrderLease,
        monitor: crash_monitor.CrashMonitor | None = None,
        version_exchange: stream_version_exchange.StreamVersionExchange | None = None,
        times: target_times.TargetTimes | None = None,
        stored_times: stored_service_times.StoredServiceTimes | None = None,
    ) -> None:
        self._peers = peer_directory
        self._lease = lease
        self._crash_monitor = monitor
        self._version_exchange = version_exchange
        self._target_times = times
        self._stored_times = stored_times
        self._row_by_key: dict[str, store_rows.Row] = {}
        self._member_by_key: dict[str, tuple[ids.VmName, str]] = {}
        self._full_era = store_rows.FIRST_ERA

    def has_lost_row(self, member: member_registration.Member) -> bool:
        """Return whether a restored store lacks the row that a member wrote."""
        row = self._row_by_key.get(peers.member_key(member.vm))
        has_row = row is not None and not row.is_removed and row.text == member.ip
        return self._full_era > member.written.era and not has_row

    def apply_snapshot(
        self, snapshot: store_rows.Rows, arrival: followers.Arrival | None = None
    ) -> None:
        """Apply a snapshot of all members."""
        self._row_by_key = {}
        self._member_by_key = {}
        self._full_era = snapshot.position.era
        if self._crash_monitor is not None:
            self._crash_monitor.forget_rows()
        if self._version_exchange is not None:
            self._version_exchange.handle_full_read(snapshot.rows)
        if self._target_times is not None:
            self._target_times.handle_full_read(snapshot.position.era)
        if self._stored_times is not None:
            self._stored_times.handle_full_read(snapshot.position.era)
        self.apply_changes(snapshot.rows)

    def apply_changes(
        self,
        rows: tuple[store_rows.Row, ...],
        arrival: followers.Arrival | None = None,
    ) -> tuple[store_rows.Row, ...]:
        """Apply changed rows; every change of this table is significant."""
        self._row_by_key.update({row.key: row for row in rows})
        for row in rows:
            self._apply_member(row)
        self._peers.set_members(dict(self._member_by_key.values()))
        lease_row = self._row_by_key.get(order_lease.LEASE_KEY)
        if lease_row is not None:
            self._lease.observe(lease_row.position, lease_row.text)
        if self._crash_monitor is not None:
            self._crash_monitor.apply_rows(rows)
        if self._version_exchange is not None:
            self._version_exchange.apply_rows(rows)
        if self._target_times is not None:
            self._target_times.apply_rows(rows)
        if self._stored_times is not None:
            self._stored_times.apply_rows(rows)
        return rows

    def _apply_member(self, row: store_rows.Row) -> None:
        self._member_by_key.pop(row.key, None)
        try:
            member = peers.decode_member(row)
        except ValueError as error:
            _LOG.error(
                "invalid row ignored",
                table="members",
                key=_shown_key(row),
                error=str(error),
            )
            return
        if member is not None:
            self._member_by_key[row.key] = member

    def handle_store_unavailable(self) -> None:
        """Do nothing: whether members are alive is known from their reports."""

    def handle_store_available(self, outage_ms: int) -> None:
        """Do nothing."""


def _shown_key(row: store_rows.Row) -> str:
    return row.key[: checked_values.MAX_NAME_BYTES]


def _is_significant(before: servers.ServerEntry, now: servers.ServerEntry) -> bool:
    """Return whether a change of an entry alters what gateways act on."""
    return (
        before.state is not now.state
        or before.started_wall_ms != now.started_wall_ms
        or dict(before.weight_versions_by_model) != dict(now.weight_versions_by_model)
        or before.address != now.address
        or before.software_version != now.software_version
    )
