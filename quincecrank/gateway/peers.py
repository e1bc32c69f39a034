"""The other gateways: their addresses, their reports, and calls for table rows.

Each gateway sends a report to each peer at a short interval, in a datagram.  It also
serves its rows of the store's tables to peers that do not read the store or that the
store refuses.

Terms
-----
member
    A gateway that has registered its address in the store.
seed
    A VM named in the settings; it gets reports before any member is known.
report
    The datagram with a gateway's state that it sends to its peers.
"""

import asyncio
import concurrent.futures
import gzip
import json
import random
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from tornado import ioloop, web

from quincecrank import (
    checked_values,
    ids,
    json_text,
    rendezvous,
    status_server,
    store_era,
    store_rows,
)
from quincecrank import clock as clocks
from quincecrank.budgets import bounded_server, connection_budget, process_budgets
from quincecrank.gateway import (
    decision_log,
    environment,
    loads,
    loop_monitor,
    peer_calls,
    peer_messages,
    row_download,
    send_permits,
    servers,
    tables,
)

REPORT_INTERVAL_MS: Final = 150
"""Shortest interval of reports.  It must be well below the time that a model request
takes: otherwise reported loads are outdated when they arrive."""

MAX_REPORT_INTERVAL_MS: Final = 300
"""Longest interval of reports, for large fleets: a fifth of `PEER_SILENCE_LIMIT_MS`.
Large changes of load are sent at once at any interval."""

MAX_FULL_RATE_PEERS: Final = 15
"""Most live peers at which reports are sent at the shortest interval, which makes 100
datagrams a second."""

PEER_SILENCE_LIMIT_MS: Final = 1_500
"""Time without a report after which a peer no longer counts as live: the time of five
to ten reports."""

MEMBER_EXPIRY_MS: Final = 30_000
"""Time without a report after which a member gets no more datagrams."""

MAX_ABSENCE_MS: Final = 300_000
"""Time without a report after which a gateway that hears only a minority of its peers
no longer counts a peer as one that may be alive."""

_MEMBER_PREFIX: Final = "gateway:"

ROWS_TIMEOUT_MS: Final = 1_000
"""Limit of a call to a peer for the rows of a table."""

MAX_UNREAD_MS: Final = 200
"""Time without a read of datagrams after which they are read before a request."""

MAX_READ_PAUSE_MS: Final = 2 * MAX_REPORT_INTERVAL_MS
"""Longest time without a read of datagrams that counts towards a peer's silence.
Datagrams are read at least once in an interval of reports, unless this process stands
still."""

DATAGRAMS_PER_STEP: Final = 64
"""Most datagrams that one step of the event loop handles."""

MAX_SENT_DOCUMENTS: Final = 8
"""Most documents of tables that are sent to peers at the same time: on the slowest
links 100 KB each take less than a second."""

_COMPRESSION_LEVEL: Final = 6

MAX_DOWNLOADS: Final = 3
"""Most calls for rows at the same time: one for each table."""

_LOG: Final = decision_log.logger("peers")

MAX_NOTIFIED_PEERS: Final = 64
"""Most peers that are sent a change of load at once.  It bounds the messages in a
large fleet, where two gateways seldom choose the same engine at the same moment."""

ReportHandler = Callable[[peer_messages.Report], None]
LoadChangeHandler = Callable[[peer_messages.LoadChange], None]
TableChangeHandler = Callable[[peer_messages.TableChange, str, int], None]
PermitHandler = Callable[[send_permits.PermitMessage], None]
RowsReader = Callable[[tables.TableName], store_rows.Rows | None]


class PeerDirectory:
    """Aggregate of the peers, their last reports, and the positions of their tables.

    Parameters
    ----------
    own_settings : Environment
        Addresses of this process and of the seeds.
    era : StoreEra
        Observes the eras in peers' reports, so that a gateway that is cut off from the
        store still detects that the store was restored.
    is_late : callable
        Returns whether the event loop of this gateway runs late.

    Attributes
    ----------
    read_until_ms : callable
        Returns the time up to which the peers' datagrams have been read.
    """

    def __init__(
        self,
        own_settings: environment.Environment,
        clock: clocks.Clock,
        era: store_era.StoreEra,
        is_late: Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_late = is_late
        self.read_until_ms: Callable[[], int] = clock.now_ms
        self._own_settings = own_settings
        self._clock = clock
        self._store_era = era
        self._ip_by_member: dict[ids.VmName, str] = {}
        self._report_by_ip: dict[str, peer_messages.Report] = {}
        self._report_ms_by_ip: dict[str, int] = {}
        self._earliest_ms_by_ip: dict[str, int] = {}
        self._added_ms_by_ip: dict[str, int] = {}
        self._downloads = concurrent.futures.ThreadPoolExecutor(
            MAX_DOWNLOADS, initializer=loop_monitor.block_end_signals
        )

    def set_members(self, ip_by_member: Mapping[ids.VmName, str]) -> None:
        """Replace the members that are registered in the store."""
        self._ip_by_member = dict(ip_by_member)
        now_ms = self._clock.now_ms()
        for ip in self._ip_by_member.values():
            self._added_ms_by_ip.setdefault(ip, now_ms)

    def record_report(
        self, ip: str, report: peer_messages.Report, earliest_ms: int | None = None
    ) -> None:
        """Record a peer's report, which arrived at `earliest_ms` or later.

        None stands for the present time.
        """
        for state in report.states:
            if state.last_change_position is not None:
                self._store_era.observe(state.last_change_position.era)
        now_ms = self._clock.now_ms()
        self._report_by_ip[ip] = report
        self._report_ms_by_ip[ip] = now_ms
        self._earliest_ms_by_ip[ip] = now_ms if earliest_ms is None else earliest_ms

    def live_ips(self) -> tuple[str, ...]:
        """Return the addresses of the peers whose last report is recent enough.

        It must be younger than `PEER_SILENCE_LIMIT_MS`, not counting the time for which
        this process stood still: reports that arrived then lie unread.
        """
        until_ms = self.read_until_ms()
        return tuple(
            ip
            for ip, reported_ms in self._report_ms_by_ip.items()
            if until_ms - reported_ms < PEER_SILENCE_LIMIT_MS
        )

    def reporting_ips(self, limit_ms: int) -> tuple[str, ...]:
        """Return the live peers of which a report arrived less than `limit_ms` ago.

        A report may have waited unread, as while this process was suspended.
        """
        now_ms = self._clock.now_ms()
        return tuple(
            ip
            for ip in self.live_ips()
            if now_ms - self._earliest_ms_by_ip[ip] < limit_ms
        )

    def live_members(self) -> tuple[ids.VmName, ...]:
        """Return the names of the live peers that are not shutting down, sorted."""
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
        return self._own_settings.vm

    def issuer_candidates(self) -> tuple[ids.VmName, ...]:
        """Return the live peers that share rate limits by permits, sorted."""
        return tuple(
            sorted(
                self._report_by_ip[ip].vm
                for ip in self.live_ips()
                if self._report_by_ip[ip].issues_permits
                and not self._report_by_ip[ip].is_leaving
            )
        )

    def known_gateways(self) -> int:
        """Return the number of gateways that may be alive, this one included.

        Peers that are silent but have not announced their shutdown count: for
        `MEMBER_EXPIRY_MS` while this gateway receives reports of most of them, else for
        `MAX_ABSENCE_MS`, and always while it receives none, since it is then more
        likely to be cut off than to be the last one.
        """
        now_ms = self._clock.now_ms()
        live = frozenset(self.live_ips())
        absent_ms = [
            now_ms
            - max(self._report_ms_by_ip.get(ip, 0), self._added_ms_by_ip.get(ip, 0))
            for ip in {*self._ip_by_member.values(), *self._report_ms_by_ip}
            if ip != self._own_settings.ip
            and ip not in live
            and not (ip in self._report_by_ip and self._report_by_ip[ip].is_leaving)
        ]
        if not live:
            return 1 + len(absent_ms)
        counted = sum(each < MAX_ABSENCE_MS for each in absent_ms)
        if 1 + len(live) > (1 + len(live) + counted) / 2:
            counted = sum(each < MEMBER_EXPIRY_MS for each in absent_ms)
        return 1 + len(live) + counted

    def takes_packed_figures(self, ip: str) -> bool:
        """Return whether a peer is known to decode packed figures.

        One that has sent no report yet may be of an earlier release.
        """
        report = self._report_by_ip.get(ip)
        return report is not None and report.takes_packed_figures

    def first_ranked(self, key: str, count: int) -> tuple[ids.VmName, ...]:
        """Return the first `count` live gateways in the ranking for a key.

        This gateway takes part in the ranking.  All gateways that know the same peers
        compute the same result.
        """
        gateways = (self._own_settings.vm, *self.live_members())
        return rendezvous.ranked(key, gateways, count)

    def readers(self, key: str, count: int) -> tuple[ids.VmName, ...]:
        """Return the gateways that read a table: the first ones in its ranking.

        Those whose event loops run late come after all others: what they read would
        reach all gateways late.
        """
        late = {
            self._report_by_ip[ip].vm
            for ip in self.live_ips()
            if self._report_by_ip[ip].is_late
        }
        if self.is_late():
            late.add(self.own_name)
        gateways = (self.own_name, *self.live_members())
        in_time = rendezvous.ranked(key, set(gateways) - late, count)
        others = rendezvous.ranked(key, late.intersection(gateways), count)
        return (*in_time, *others)[:count]

    def ip_of(self, member: ids.VmName) -> str | None:
        """Return the address of a live peer; None if it is not live."""
        for ip in self.live_ips():
            if self._report_by_ip[ip].vm == member:
                return ip
        return None

    def report_earliest_ms(self, member: ids.VmName) -> int | None:
        """Return the earliest time at which a live peer's last report arrived.

        None if the peer is not live.
        """
        ip = self.ip_of(member)
        return None if ip is None else self._earliest_ms_by_ip[ip]

    def destinations(self) -> tuple[str, ...]:
        """Return the addresses to send reports to.

        These are the seeds, and the members and peers that registered or reported
        within `MEMBER_EXPIRY_MS`.
        """
        now_ms = self._clock.now_ms()
        candidates = {*self._ip_by_member.values(), *self._own_settings.seed_ips}
        candidates.update(self._report_ms_by_ip)
        candidates.discard(self._own_settings.ip)
        return tuple(
            ip
            for ip in sorted(candidates)
            if now_ms
            - max(self._report_ms_by_ip.get(ip, 0), self._added_ms_by_ip.get(ip, 0))
            < MEMBER_EXPIRY_MS
            or ip in self._own_settings.seed_ips
        )

    def last_change_position_of(
        self, table: tables.TableName
    ) -> store_rows.Position | None:
        """Return the newest position of a significant change that a live peer has.

        None if no live peer has one for the table.
        """
        positions = [
            _reported_position(self._report_by_ip[ip], table) for ip in self.live_ips()
        ]
        return max((each for each in positions if each is not None), default=None)

    def positions(
        self, table: tables.TableName, *, takes_changes: bool = False
    ) -> dict[str, store_rows.Position | None]:
        """Return the position of a table's last significant change by live peer.

        Parameters
        ----------
        takes_changes : bool
            Whether to leave out the peers that do not take changes.
        """
        return {
            ip: _reported_position(self._report_by_ip[ip], table)
            for ip in self.live_ips()
            if self._report_by_ip[ip].takes_changes or not takes_changes
        }

    def all_have(self, table: tables.TableName, position: store_rows.Position) -> bool:
        """Return whether all gateways that may be alive have a table up to a position.

        Gateways that are not surely live do not have it.
        """
        positions = [
            _reported_position(self._report_by_ip[ip], table)
            for ip in self.reporting_ips(PEER_SILENCE_LIMIT_MS)
        ]
        count = sum(
            each is not None and each.era == position.era and each >= position
            for each in positions
        )
        return 1 + count >= self.known_gateways()

    def store_answer_age_ms(self, table: tables.TableName) -> int | None:
        """Return the time since any live peer had an answer of the store for a table.

        None if no live peer ever had one.
        """
        now_ms = self._clock.now_ms()
        return min(
            (
                state.store_answer_age_ms + now_ms - self._report_ms_by_ip[ip]
                for ip in self.live_ips()
                for state in self._report_by_ip[ip].states
                if state.table is table and state.store_answer_age_ms is not None
            ),
            default=None,
        )

    def rows_age_ms(self, table: tables.TableName) -> int | None:
        """Return `store_answer_age_ms`, counted from the earliest time of a report.

        None if no live peer ever had an answer of the store.
        """
        now_ms = self._clock.now_ms()
        return min(
            (
                state.store_answer_age_ms + now_ms - self._earliest_ms_by_ip[ip]
                for ip in self.live_ips()
                for state in self._report_by_ip[ip].states
                if state.table is table and state.store_answer_age_ms is not None
            ),
            default=None,
        )

    async def fetch_rows(
        self, table: tables.TableName
    ) -> tuple[store_rows.Rows, str] | None:
        """Fetch the rows of a table from a live peer with the newest position.

        Returns them with the peer's address; None if there is no such peer, if it gives
        no usable answer, or if its rows belong to an earlier era of the store.
        """
        newest = self.last_change_position_of(table)
        if newest is None:
            return None
        candidate_ips = [
            ip
            for ip in self.live_ips()
            if _reported_position(self._report_by_ip[ip], table) == newest
        ]
        ip = random.choice(candidate_ips)
        sent_ms = self._clock.now_ms()
        try:
            rows = await asyncio.get_running_loop().run_in_executor(
                self._downloads, self._download_rows, ip, table
            )
        except (peer_calls.PeerCallError, ValueError, KeyError, TypeError) as error:
            _LOG.warning(
                "peer returned no rows",
                peer=ip,
                table=table.value,
                after_ms=self._clock.now_ms() - sent_ms,
                error=repr(error),
            )
            return None
        return (rows, ip) if self._store_era.observe(rows.position.era) else None

    def _download_rows(self, ip: str, table: tables.TableName) -> store_rows.Rows:
        """Fetch the rows of a peer, in a thread."""
        port = self._own_settings.peer_port
        target = f"/tables/{table.value}"
        return decode_rows(row_download.download(ip, port, target, ROWS_TIMEOUT_MS))


def report_interval_ms(live_peers: int) -> float:
    """Return the time between two reports, which grows with the number of peers."""
    scaled_ms = REPORT_INTERVAL_MS * live_peers / MAX_FULL_RATE_PEERS
    return min(MAX_REPORT_INTERVAL_MS, max(REPORT_INTERVAL_MS, scaled_ms))


class PeerReporter:
    """Sends and receives the datagrams between gateways.

    Parameters
    ----------
    make_report : callable
        Returns this gateway's current report.
    handle_report : callable
        Handles a peer's report.
    handle_change : callable
        Handles a peer's change of load.
    handle_permits : callable
        Handles a peer's asks and grants of permits.
    handle_table_change : callable
        Handles a change of a table, with the peer's address and the longest time in
        milliseconds for which the datagram may have waited.
    """

    def __init__(
        self,
        own_settings: environment.Environment,
        peer_directory: PeerDirectory,
        make_report: Callable[[], peer_messages.Report],
        handle_report: ReportHandler,
        handle_change: LoadChangeHandler,
        handle_permits: PermitHandler,
        clock: clocks.Clock,
        handle_table_change: TableChangeHandler = lambda *_given: None,
    ) -> None:
        self._own_settings = own_settings
        self._handle_permits = handle_permits
        self._handle_table_change = handle_table_change
        self._peers = peer_directory
        self._make_report = make_report
        self._handle_report = handle_report
        self._handle_change = handle_change
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._emptied_ms = self._read_ms = clock.now_ms()
        peer_directory.read_until_ms = self._read_until_ms

    def start(self) -> None:
        """Bind the port for datagrams and receive from it."""
        self._socket.bind((self._own_settings.ip, self._own_settings.peer_port))
        loop = ioloop.IOLoop.current()
        loop.add_handler(self._socket, self._receive, ioloop.IOLoop.READ)

    async def run(self) -> None:
        """Send reports at intervals; never returns."""
        while True:
            # After a standstill of the process, timers run before sockets are read.
            self._receive(self._socket, 0)
            self.send()
            await self._clock.sleep(report_interval_ms(len(self._peers.live_ips())))

    def send(self) -> None:
        """Send a report to all destinations."""
        report = self._make_report()
        packed: list[str] = []
        others: list[str] = []
        for ip in self._peers.destinations():
            takes_packed = self._peers.takes_packed_figures(ip)
            (packed if takes_packed else others).append(ip)
        if packed:
            self._send_to(packed, peer_messages.encode_packed(report))
        if others:
            self._send_to(others, peer_messages.encode(report))

    def send_load_change(self, server_id: servers.ServerId, load: loads.Load) -> None:
        """Send this gateway's load on a server to the live peers at once.

        At most `MAX_NOTIFIED_PEERS` of them get it, drawn at random.
        """
        change = peer_messages.LoadChange(self._own_settings.vm, server_id, load)
        live = self._peers.live_ips()
        if len(live) > MAX_NOTIFIED_PEERS:
            live = tuple(random.sample(live, MAX_NOTIFIED_PEERS))
        self._send_to(live, peer_messages.encode_change(change))

    def send_permits(
        self, member: ids.VmName, permits: send_permits.PermitMessage
    ) -> None:
        """Send asks and grants to a live peer; without effect if it is not live."""
        ip = self._peers.ip_of(member)
        if ip is not None:
            self._send_to((ip,), peer_messages.encode_permits(permits))

    def send_table_change(self, destinations: Iterable[str], datagram: bytes) -> None:
        """Send an encoded change of a table to peers."""
        self._send_to(destinations, datagram)

    def receive_waiting(self) -> None:
        """Handle the datagrams that have arrived, if the loop has not for some time.

        A late event loop may read a caller's request before the datagrams that arrived
        earlier.
        """
        if self._clock.now_ms() - self._emptied_ms > MAX_UNREAD_MS:
            self._receive(self._socket, 0)

    def _send_to(self, destinations: Iterable[str], datagram: bytes) -> None:
        for ip in destinations:
            try:
                self._socket.sendto(datagram, (ip, self._own_settings.peer_port))
            except OSError as error:
                # The next report repeats the state.
                _LOG.debug("datagram not sent", peer=ip, error=str(error))

    def _read_until_ms(self) -> int:
        now_ms = self._clock.now_ms()
        return now_ms if now_ms - self._read_ms < MAX_READ_PAUSE_MS else self._read_ms

    def _receive(self, _socket: object, _events: int) -> None:
        try:
            self._read_datagrams()
        finally:
            self._read_ms = self._clock.now_ms()

    def _read_datagrams(self) -> None:
        for _ in range(DATAGRAMS_PER_STEP):
            now_ms = self._clock.now_ms()
            try:
                datagram, (ip, _port) = self._socket.recvfrom(65_535)
            except BlockingIOError:
                self._emptied_ms = now_ms
                return
            except OSError as error:
                # Reports that an earlier datagram reached a closed port.
                _LOG.debug("datagram refused", error=str(error))
                continue
            try:
                message = peer_messages.decode(datagram)
            except peer_messages.MessageError as error:
                _LOG.warning("unknown datagram", peer=ip, error=str(error))
                continue
            if isinstance(message, peer_messages.LoadChange):
                self._handle_change(message)
                continue
            if isinstance(message, send_permits.PermitMessage):
                self._handle_permits(message)
                continue
            if isinstance(message, peer_messages.TableChange):
                self._handle_table_change(message, ip, now_ms - self._emptied_ms)
                continue
            # It may have waited since the socket was empty.
            self._peers.record_report(ip, message, self._emptied_ms)
            self._handle_report(message)


class RowsDocuments:
    """Compressed documents of tables, made once for all peers that fetch them.

    Attributes
    ----------
    sending : int
        Documents that are being sent.
    """

    def __init__(self) -> None:
        self._document_by_table: dict[
            tables.TableName, tuple[store_rows.Rows, bytes]
        ] = {}
        self.sending = 0

    def document(self, table: tables.TableName, rows: store_rows.Rows) -> bytes:
        """Return the document of rows as a gzip file."""
        found = self._document_by_table.get(table)
        if found is not None and found[0] is rows:
            return found[1]
        document = gzip.compress(encode_rows(rows), _COMPRESSION_LEVEL)
        self._document_by_table[table] = (rows, document)
        return document


class _RowsHandler(web.RequestHandler):
    """`GET /tables/NAME`: this gateway's current rows of a table."""

    def initialize(self, read: RowsReader, documents: RowsDocuments) -> None:
        self._read = read
        self._documents = documents

    async def get(self, name: str) -> None:
        try:
            table = tables.TableName(name)
        except ValueError:
            self.set_status(404)
            return
        rows = self._read(table)
        if rows is None or self._documents.sending >= MAX_SENT_DOCUMENTS:
            # The peer asks another gateway.
            self.set_status(503)
            return
        self._documents.sending += 1
        try:
            self.set_header("Content-Encoding", "gzip")
            await self.finish(self._documents.document(table, rows))
        finally:
            self._documents.sending -= 1


MAX_CALL_BYTES: Final = 2 * 1024 * 1024
"""Largest body of a call: the positions of all holders of the largest fleet."""

Rule = tuple[str, type[web.RequestHandler], dict[str, object]]


def rows_rule(read: RowsReader) -> Rule:
    """Return the routing rule under which peers read rows."""
    return (
        r"/tables/([a-z]+)",
        _RowsHandler,
        {"read": read, "documents": RowsDocuments()},
    )


def serve(
    own_settings: environment.Environment,
    rules: list[Rule],
    budgets: process_budgets.ProcessBudgets,
    clock: clocks.Clock,
) -> bounded_server.BoundedServer:
    """Serve HTTP calls of peers on the port for calls between gateways."""
    return status_server.serve(
        status_server.bind(own_settings.ip, own_settings.peer_port),
        rules,
        "peers",
        budgets,
        connection_budget.PEERS_FRACTION,
        clock,
        max_body_bytes=MAX_CALL_BYTES,
        compress_response=True,
    )


def encode_rows(rows: store_rows.Rows) -> bytes:
    """Return rows, all of one era, as a document for peers."""
    document = {
        "era": rows.position.era,
        "version": rows.position.version,
        "changed": None if rows.last_change is None else rows.last_change.version,
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
    # Releases without eras omit the field.
    era = checked_values.count(
        decoded.get("era", store_rows.FIRST_ERA), store_rows.MAX_ERA
    )
    # Earlier releases omit it.
    changed = decoded.get("changed")
    position = store_rows.Position(era, checked_values.count(decoded["version"]))
    last_change = None
    if changed is not None:
        last_change = store_rows.Position(era, checked_values.count(changed))
        if last_change > position:
            raise ValueError("the last change follows the position of the rows")
    return store_rows.Rows(
        tuple(
            store_rows.Row(
                _text(key),
                _text(text),
                store_rows.Position(era, checked_values.count(version)),
            )
            for key, text, version in rows
        ),
        position,
        last_change=last_change,
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("a key or text of a row is none")
    return value


def member_key(vm: ids.VmName) -> str:
    """Return the key of a gateway's row."""
    return _MEMBER_PREFIX + vm


def decode_member(row: store_rows.Row) -> tuple[ids.VmName, str] | None:
    """Return the name and IP address of a member.

    None for a removed row and for one that is no member's.

    Raises
    ------
    ValueError
        If the name or the address is malformed.
    """
    if row.is_removed or not row.key.startswith(_MEMBER_PREFIX):
        return None
    vm = checked_values.name(row.key.removeprefix(_MEMBER_PREFIX))
    return ids.VmName(vm), checked_values.ip_address(row.text)


def _reported_position(
    report: peer_messages.Report, table: tables.TableName
) -> store_rows.Position | None:
    for state in report.states:
        if state.table is table:
            return state.last_change_position
    return None
