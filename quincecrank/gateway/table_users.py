"""Bring rows of the store into the gateway's knowledge.

A row that can't be decoded is logged with its place and skipped; the others hold.
"""

from typing import Final

from quincecrank import store_rows
from quincecrank.gateway import (
    decision_log,
    knowledge,
    member_registration,
    order_lease,
    peers,
    servers,
    weights,
)
from quincecrank.platform import documents, feeds

_LOG: Final = decision_log.logger("tables")


class OperatorRows:
    """Takes the operator's configuration and named weights."""

    def __init__(self, known: knowledge.Knowledge) -> None:
        self._known = known
        self._has_read = False

    def take_all(self, everything: store_rows.Rows) -> None:
        """Take all rows that exist."""
        self.take_changes(everything.rows)
        self._has_read = True

    def take_changes(self, rows: tuple[store_rows.Row, ...]) -> bool:
        """Take changed rows; whatever an operator writes is news."""
        for row in rows:
            try:
                update = feeds.operator_update(row)
            except documents.DocumentError as error:
                _LOG.error(
                    "row refused", table="operator", key=row.key, error=str(error)
                )
                continue
            if isinstance(update, weights.NamedWeights):
                self._name(update, row)
            elif update is not None and self._known.take_configuration(update):
                _LOG.info(
                    "configuration in force",
                    version=update.version,
                    row=row.position.number,
                )
        return bool(rows)

    def store_lost(self) -> None:
        """Nothing changes: what the operator wrote stays in force."""

    def store_regained(self) -> None:
        """Nothing changes."""

    def _name(self, named: weights.NamedWeights, row: store_rows.Row) -> None:
        # What stands there at the start may have been named at any time before.
        age_ms = 0 if self._has_read else self._known.facts.bounds.weights_deadline_ms
        now_ms = self._known.clock.now_ms()
        if self._known.versions.name(named.model, named.version, now_ms, age_ms):
            _LOG.info(
                "weights named",
                model=named.model,
                version=named.version,
                row=row.position.number,
            )


class ServerRows:
    """Takes the entries of backend servers."""

    def __init__(self, known: knowledge.Knowledge) -> None:
        self._known = known

    def take_all(self, everything: store_rows.Rows) -> None:
        """Take all entries; servers without one are gone."""
        now_ms = self._known.clock.now_ms()
        present = [servers.ServerId(row.key) for row in everything.rows]
        for server_id in self._known.registry.retain(present, now_ms):
            self._gone(server_id)
        self.take_changes(everything.rows)
        self._known.servers_known()

    def take_changes(self, rows: tuple[store_rows.Row, ...]) -> bool:
        """Take changed and removed entries; a mere heartbeat is no news."""
        is_news = False
        for row in rows:
            try:
                entry = feeds.server_update(row)
            except documents.DocumentError as error:
                _LOG.warning(
                    "row refused", table="servers", key=row.key, error=str(error)
                )
                # Whatever it was before, the entry names no server to use now.
                entry = None
            if entry is None:
                is_news |= self._removed(servers.ServerId(row.key))
            else:
                is_news |= self._update(entry)
        return is_news

    def store_lost(self) -> None:
        """Entries may lapse from now on though their servers live."""
        self._known.registry.store_lost()

    def store_regained(self) -> None:
        """Entries that lapsed come back within a short time."""
        self._known.registry.store_regained(self._known.clock.now_ms())

    def _update(self, entry: servers.ServerEntry) -> bool:
        if self._known.registry.is_outdated(entry):
            _LOG.info(
                "server entry of a copy ignored",
                server=entry.server_id,
                started_wall_ms=entry.started_wall_ms,
                report=entry.report_number,
            )
            return self._removed(entry.server_id)
        before = self._known.registry.find(entry.server_id)
        entry = self._known.registry.update(entry)
        is_news = before is None or _is_news(before, entry)
        if is_news:
            _LOG.info(
                "server entry",
                server=entry.server_id,
                service=entry.service,
                state=entry.state.value,
                address=entry.address,
                weights=dict(entry.weight_versions_by_model),
                started_wall_ms=entry.started_wall_ms,
            )
        if before is not None and before.started_wall_ms != entry.started_wall_ms:
            self._known.forget_server(entry.server_id)
        return is_news

    def _removed(self, server_id: servers.ServerId) -> bool:
        was_known = self._known.registry.find(server_id) is not None
        if self._known.registry.remove(server_id, self._known.clock.now_ms()):
            self._gone(server_id)
        return was_known

    def _gone(self, server_id: servers.ServerId) -> None:
        _LOG.info("server gone", server=server_id)
        self._known.forget_server(server_id)


class MemberRows:
    """Takes the addresses of the other gateways, and the order lease."""

    def __init__(
        self, directory: peers.PeerTables, lease: order_lease.OrderLease
    ) -> None:
        self._directory = directory
        self._lease = lease
        self._row_by_key: dict[str, store_rows.Row] = {}
        self._full_era = store_rows.FIRST_ERA

    def lacks(self, member: member_registration.Member) -> bool:
        """Return whether a restored store has lost what a member wrote of itself."""
        row = self._row_by_key.get(peers.member_key(member.vm))
        is_there = row is not None and not row.is_removed and row.text == member.ip
        return self._full_era > member.written.era and not is_there

    def take_all(self, everything: store_rows.Rows) -> None:
        """Take all members."""
        self._row_by_key = {}
        self._full_era = everything.position.era
        self.take_changes(everything.rows)

    def take_changes(self, rows: tuple[store_rows.Row, ...]) -> bool:
        """Take changed members."""
        self._row_by_key.update({row.key: row for row in rows})
        self._directory.set_members(peers.member_ips(self._row_by_key.values()))
        lease_row = self._row_by_key.get(order_lease.LEASE_KEY)
        if lease_row is not None:
            self._lease.observe(lease_row.position)
        return bool(rows)

    def store_lost(self) -> None:
        """Nothing changes: members are judged by their reports."""

    def store_regained(self) -> None:
        """Nothing changes."""


def _is_news(before: servers.ServerEntry, now: servers.ServerEntry) -> bool:
    return (
        before.state is not now.state
        or before.started_wall_ms != now.started_wall_ms
        or dict(before.weight_versions_by_model) != dict(now.weight_versions_by_model)
        or before.address != now.address
    )
