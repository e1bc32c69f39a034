"""The other gateways: who they are, and what they report.

Each gateway sends a datagram to each peer at a short interval and serves the rows
that it has read from the store, for peers that the store turns away.

Terms
-----
seed
    A machine that the settings name; it is asked before any member is known.
"""

import json
import random
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from tornado import httpserver, ioloop, netutil, web

from quincecrank import clock as clocks
from quincecrank import ids, json_text, rendezvous, store_era, store_rows
from quincecrank.gateway import (
    decision_log,
    environment,
    loads,
    peer_calls,
    peer_messages,
    servers,
    tables,
)

REPORT_INTERVAL_MS: Final = 150
"""A fraction of the time that a model request takes, so that load reports count."""

MAX_REPORT_INTERVAL_MS: Final = 300
"""Interval in a large fleet, where large changes of load are still told at once: a
fifth of the silence after which a peer counts as gone."""

FULL_PACE_PEERS: Final = 15
"""Peers up to which reports keep the shortest interval: 100 datagrams a second."""

SILENCE_MS: Final = 1_500
"""Time without a report after which a peer counts as gone: five to ten lost ones."""

FORGET_MS: Final = 30_000
"""Time without a report after which a member gets no datagrams any more."""

_MEMBER_PREFIX: Final = "gateway:"

ROWS_TIMEOUT_MS: Final = 1_000

_LOG: Final = decision_log.logger("peers")

MAX_TOLD_PEERS: Final = 64
"""Peers that are told a change of load at once.  It bounds the messages of a large
fleet, whose many engines are seldom chosen by two gateways at the same moment."""

ReportUser = Callable[[peer_messages.Report], None]
ChangeUser = Callable[[peer_messages.LoadChange], None]
RowsReader = Callable[[tables.TableName], store_rows.Rows | None]


class PeerTables:
    """Aggregate of the live peers and the versions of the tables that they have.

    Parameters
    ----------
    facts : Environment
        Addresses of this process and of the seeds.
    era : StoreEra
        Is told the eras of which peers know; a gateway that is cut off from the store
        learns so that it was restored.
    """

    def __init__(
        self,
        facts: environment.Environment,
        clock: clocks.Clock,
        era: store_era.StoreEra,
    ) -> None:
        self._facts = facts
        self._clock = clock
        self._era = era
        self._ip_by_member: dict[ids.VmName, str] = {}
        self._report_by_ip: dict[str, peer_messages.Report] = {}
        self._heard_ms_by_ip: dict[str, int] = {}
        self._added_ms_by_ip: dict[str, int] = {}
        self._calls = peer_calls.PeerCalls(facts.peer_port, ROWS_TIMEOUT_MS)

    def set_members(self, ip_by_member: Mapping[ids.VmName, str]) -> None:
        """Take the members that registered in the store."""
        self._ip_by_member = dict(ip_by_member)
        now_ms = self._clock.now_ms()
        for ip in self._ip_by_member.values():
            self._added_ms_by_ip.setdefault(ip, now_ms)

    def heard(self, ip: str, report: peer_messages.Report) -> None:
        """Take a report."""
        for state in report.states:
            if state.news_position is not None:
                self._era.observe(state.news_position.era)
        self._report_by_ip[ip] = report
        self._heard_ms_by_ip[ip] = self._clock.now_ms()

    def live_ips(self) -> tuple[str, ...]:
        """Return the addresses of the peers that reported lately."""
        now_ms = self._clock.now_ms()
        return tuple(
            ip
            for ip, heard_ms in self._heard_ms_by_ip.items()
            if now_ms - heard_ms < SILENCE_MS
        )

    def live_members(self) -> tuple[ids.VmName, ...]:
        """Return the live peers that stay, by name."""
        return tuple(
            sorted(
                self._report_by_ip[ip].vm
                for ip in self.live_ips()
                if not self._report_by_ip[ip].is_leaving
            )
        )

    @property
    def own_name(self) -> ids.VmName:
        """Name of this gateway."""
        return self._facts.vm

    def first_ranked(self, key: str, count: int) -> tuple[ids.VmName, ...]:
        """Return the first live gateways in the ranking for a key, this one included.

        All gateways that know the same peers agree on it.
        """
        gateways = (self._facts.vm, *self.live_members())
        return rendezvous.ranked(key, gateways, count)

    def ip_of(self, member: ids.VmName) -> str | None:
        """Return the address of a live peer."""
        for ip in self.live_ips():
            if self._report_by_ip[ip].vm == member:
                return ip
        return None

    def destinations(self) -> tuple[str, ...]:
        """Return the addresses that get reports."""
        now_ms = self._clock.now_ms()
        known = {*self._ip_by_member.values(), *self._facts.seed_ips}
        known.update(self._heard_ms_by_ip)
        known.discard(self._facts.ip)
        return tuple(
            ip
            for ip in sorted(known)
            if now_ms
            - max(self._heard_ms_by_ip.get(ip, 0), self._added_ms_by_ip.get(ip, 0))
            < FORGET_MS
            or ip in self._facts.seed_ips
        )

    def news_position(self, table: tables.TableName) -> store_rows.Position | None:
        """Return the newest position of a table of which a live peer has news."""
        positions = [
            _news_position(self._report_by_ip[ip], table) for ip in self.live_ips()
        ]
        return max((each for each in positions if each is not None), default=None)

    def age_ms(self, table: tables.TableName) -> int | None:
        """Return for how long no live peer has heard from the store.

        None if none ever did.
        """
        now_ms = self._clock.now_ms()
        return min(
            (
                state.age_ms + now_ms - self._heard_ms_by_ip[ip]
                for ip in self.live_ips()
                for state in self._report_by_ip[ip].states
                if state.table is table and state.age_ms is not None
            ),
            default=None,
        )

    async def read_all(self, table: tables.TableName) -> store_rows.Rows | None:
        """Return a live peer's rows of a table; None if it did not answer."""
        newest = self.news_position(table)
        if newest is None:
            return None
        holders = [
            ip
            for ip in self.live_ips()
            if _news_position(self._report_by_ip[ip], table) == newest
        ]
        ip = random.choice(holders)
        try:
            rows = decode_rows(await self._calls.get(ip, f"/tables/{table.value}"))
        except (peer_calls.PeerCallError, ValueError, KeyError, TypeError) as error:
            _LOG.warning("peer gave no rows", peer=ip, error=repr(error))
            return None
        return rows if self._era.observe(rows.position.era) else None


def report_interval_ms(live_peers: int) -> float:
    """Return the time between two reports, longer in a large fleet."""
    paced_ms = REPORT_INTERVAL_MS * live_peers / FULL_PACE_PEERS
    return min(MAX_REPORT_INTERVAL_MS, max(REPORT_INTERVAL_MS, paced_ms))


class PeerReporter:
    """Sends and receives the datagrams between gateways.

    Parameters
    ----------
    make_report : callable
        Returns what to tell now.
    use_report : callable
        Takes a peer's report.
    use_change : callable
        Takes a peer's change of load.
    """

    def __init__(
        self,
        facts: environment.Environment,
        directory: PeerTables,
        make_report: Callable[[], peer_messages.Report],
        use_report: ReportUser,
        use_change: ChangeUser,
        clock: clocks.Clock,
    ) -> None:
        self._facts = facts
        self._directory = directory
        self._make_report = make_report
        self._use_report = use_report
        self._use_change = use_change
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def start(self) -> None:
        """Open the port."""
        self._socket.setblocking(False)
        self._socket.bind((self._facts.ip, self._facts.peer_port))
        loop = ioloop.IOLoop.current()
        loop.add_handler(self._socket, self._receive, ioloop.IOLoop.READ)

    async def run(self) -> None:
        """Send reports at intervals."""
        while True:
            self.send()
            await self._clock.sleep(report_interval_ms(len(self._directory.live_ips())))

    def send(self) -> None:
        """Send a report to every peer."""
        datagram = peer_messages.encode(self._make_report())
        self._send_to(self._directory.destinations(), datagram)

    def tell_load(self, server_id: servers.ServerId, load: loads.Load) -> None:
        """Send this gateway's load of a server to the live peers at once."""
        change = peer_messages.LoadChange(self._facts.vm, server_id, load)
        live = self._directory.live_ips()
        if len(live) > MAX_TOLD_PEERS:
            live = tuple(random.sample(live, MAX_TOLD_PEERS))
        self._send_to(live, peer_messages.encode_change(change))

    def _send_to(self, destinations: Iterable[str], datagram: bytes) -> None:
        for ip in destinations:
            try:
                self._socket.sendto(datagram, (ip, self._facts.peer_port))
            except OSError as error:
                # The next report makes up for it.
                _LOG.debug("datagram not sent", peer=ip, error=str(error))

    def _receive(self, _socket: object, _events: int) -> None:
        while True:
            try:
                datagram, (ip, _port) = self._socket.recvfrom(65_535)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram met a closed port; nothing is to be read.
                _LOG.debug("datagram refused", error=str(error))
                continue
            try:
                message = peer_messages.decode(datagram)
            except peer_messages.MessageError as error:
                _LOG.warning("unknown datagram", peer=ip, error=str(error))
                continue
            if isinstance(message, peer_messages.LoadChange):
                self._use_change(message)
                continue
            self._directory.heard(ip, message)
            self._use_report(message)


class _RowsHandler(web.RequestHandler):
    """`GET /tables/NAME`: the rows that this gateway has read."""

    def initialize(self, read: RowsReader) -> None:
        self._read = read

    def get(self, name: str) -> None:
        try:
            table = tables.TableName(name)
        except ValueError:
            self.set_status(404)
            return
        rows = self._read(table)
        if rows is None:
            self.set_status(503)
            return
        self.finish(encode_rows(rows))


Rule = tuple[str, type[web.RequestHandler], dict[str, object]]


def rows_rule(read: RowsReader) -> Rule:
    """Return the routing rule under which peers read rows."""
    return (r"/tables/([a-z]+)", _RowsHandler, {"read": read})


def serve(facts: environment.Environment, rules: list[Rule]) -> httpserver.HTTPServer:
    """Serve peers on the port between gateways."""
    application = web.Application(
        rules,
        compress_response=True,
        log_function=lambda _handler: None,
    )
    server = httpserver.HTTPServer(application)
    server.add_sockets(netutil.bind_sockets(facts.peer_port, facts.ip))
    return server


def encode_rows(rows: store_rows.Rows) -> bytes:
    """Return rows, all of one era, as a document for peers."""
    document = {
        "era": rows.position.era,
        "version": rows.position.version,
        "rows": [[row.key, row.text, row.position.version] for row in rows.rows],
    }
    return json.dumps(document).encode()


def decode_rows(document: bytes) -> store_rows.Rows:
    """Return the rows of a peer's document.

    Raises
    ------
    ValueError, KeyError, TypeError
        If it has another form.
    """
    decoded = json_text.parse(document)
    rows = decoded["rows"]
    # Releases that know no eras leave it out.
    era = int(decoded.get("era", store_rows.FIRST_ERA))
    if not store_rows.FIRST_ERA <= era <= store_rows.MAX_ERA:
        raise ValueError(f"no era can be {era}")
    return store_rows.Rows(
        tuple(
            store_rows.Row(str(key), str(text), store_rows.Position(era, int(version)))
            for key, text, version in rows
        ),
        store_rows.Position(era, int(decoded["version"])),
    )


def member_key(vm: ids.VmName) -> str:
    """Return the key of a gateway's row."""
    return _MEMBER_PREFIX + vm


def member_ips(rows: Iterable[store_rows.Row]) -> dict[ids.VmName, str]:
    """Return the addresses of registered members."""
    return {
        ids.VmName(row.key.removeprefix(_MEMBER_PREFIX)): row.text
        for row in rows
        if row.key.startswith(_MEMBER_PREFIX) and not row.is_removed
    }


def _news_position(
    report: peer_messages.Report, table: tables.TableName
) -> store_rows.Position | None:
    for state in report.states:
        if state.table is table:
            return state.news_position
    return None
