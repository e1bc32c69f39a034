"""Confirms crashes, makes findings and keeps them in the store.

Load pattern: a server that crashes closes all its connections at once.  Each gateway
that had requests there opens one connection to see whether the server has ended, and
publishes its crash records at once, so that the next crash is the last one needed.

A finding is written to the store once, by the gateway that is ranked first for it, so
that gateways that start after all others have ended know it as well.  If that gateway
is silent, the others write it after a random delay.  A retest is a write to the
finding's row; see `crash_findings`.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
from collections.abc import Callable
from typing import Final

from quincecrank import checked_values, json_text, store_rows
from quincecrank import clock as clocks
from quincecrank.gateway import (
    crash_findings,
    crash_suspicions,
    decision_log,
    fleet_state,
    peer_messages,
    peers,
    server_links,
    servers,
    tables,
)

CHECK_TIMEOUT_MS: Final = 250
"""Time limit of the connection that shows whether a server still runs."""

ACCEPT_CHECK_MS: Final = 40
"""Time after which a connection that a server has accepted must still be open.  The
system closes the connections of a process that ends before its listening socket, which
accepts some more meanwhile and resets them."""

DECISION_INTERVAL_MS: Final = 50
"""Interval of the decisions while there are new crash records."""

CONFIRMATION_INTERVAL_MS: Final = 250
"""Interval at which suspicions are confirmed by the servers' entries."""

WRITE_CHECK_MS: Final = 250
"""Interval of the checks for findings that the store lacks."""

WRITE_RETRY_MS: Final = 2_000
"""Shortest time between two writes of one finding by one gateway."""

FALLBACK_DELAY_MS: Final = 2_000
"""Time after which a gateway that is not ranked first writes a finding; up to twice
this time, at random."""

REPORTS_PER_FINDINGS: Final = 4
"""Every fourth report contains the findings.  A gateway that starts or wakes gets them
from each peer within 1.2 s, and from one of many peers within one interval of reports.
"""

FRESH_MS: Final = 1_000
"""Time after a change of the findings in which every report contains them."""

ROW_PREFIX: Final = "finding:"

_LOG: Final = decision_log.logger("crashes")


class RowError(Exception):
    """A row of a finding that can't be decoded."""


def row_key(scope: crash_findings.Scope) -> str:
    """Return the key of a finding's row."""
    digest = hashlib.blake2b(digest_size=16)
    for text in (scope.key, scope.account or ""):
        digest.update(len(text).to_bytes(4, "little") + text.encode())
    return ROW_PREFIX + digest.hexdigest()


def encode_row(finding: crash_findings.Finding) -> str:
    """Return the text of a finding's row."""
    return json.dumps(
        {
            "suspect": finding.scope.key,
            "account": finding.scope.account,
            "revision": finding.revision,
            "hasEnded": finding.has_ended,
            "retests": finding.retests,
            "servers": list(finding.servers),
        }
    )


def decode_row(text: str) -> crash_findings.Finding:
    """Return the finding of a row's text.

    Raises
    ------
    RowError
        If the text has another form.
    """
    try:
        document = json_text.parse(text)
        finding = crash_findings.Finding(
            crash_findings.Scope(document["suspect"], document["account"]),
            document["revision"],
            bool(document["hasEnded"]),
            document["retests"],
            0,
            tuple(document["servers"]),
        )
        return crash_findings.checked_finding(finding)
    except (KeyError, TypeError, ValueError) as error:
        raise RowError(repr(error)) from error


class CrashMonitor:
    """Connects the crash suspicions of a gateway with servers, peers and the store.

    Parameters
    ----------
    publish : callable
        Sends a report to the peers at once.
    reject_queued : callable
        Rejects the queued requests that a finding concerns.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        crashes: crash_suspicions.CrashSuspicions,
        peer_directory: peers.PeerDirectory,
        store: tables.TableStore,
        publish: Callable[[], None],
        reject_queued: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._crashes = crashes
        self._peers = peer_directory
        self._store = store
        self._publish = publish
        self._reject_queued = reject_queued
        self._clock = clock
        self._reports_made = 0
        self._last_change_ms = -FRESH_MS
        self._checks: dict[servers.Incarnation, asyncio.Task[None]] = {}
        self._position_by_row: dict[str, store_rows.Position] = {}
        self._stored_by_row: dict[str, crash_findings.Finding] = {}
        self._next_write_ms_by_row: dict[str, int] = {}

    def check_server(self, server: servers.ServerEntry) -> None:
        """Find out whether a server that closed a connection has ended."""
        if server.incarnation in self._checks:
            return
        task = asyncio.ensure_future(self._check(server))
        self._checks[server.incarnation] = task
        task.add_done_callback(lambda _task: self._checks.pop(server.incarnation, None))

    async def is_running(self, server: servers.ServerEntry) -> bool:
        """Return whether a server accepts connections; False if it does not answer.

        False also if it closes the connection within `ACCEPT_CHECK_MS`.
        """
        try:
            link = await server_links.connect(
                server.address, CHECK_TIMEOUT_MS, self._clock
            )
        except (TimeoutError, OSError):
            return False
        try:
            await self._clock.sleep(ACCEPT_CHECK_MS)
            return link.is_usable
        finally:
            link.close()

    async def _accepts_connections(self, server: servers.ServerEntry) -> bool | None:
        """Return whether a server accepts a connection; None without an answer."""
        try:
            link = await server_links.connect(
                server.address, CHECK_TIMEOUT_MS, self._clock
            )
        except TimeoutError:
            return None
        except OSError:
            return False
        link.close()
        return True

    async def _check(self, server: servers.ServerEntry) -> None:
        """Confirm or discard the suspicions of a server; neither if it is silent."""
        accepts = await self._accepts_connections(server)
        if accepts is False:
            self._fleet.mark_ended(server)
            self.confirm_crashes()
        elif accepts:
            self._crashes.discard_suspicions(server.incarnation)

    async def run(self) -> None:
        """Confirm crashes and make findings; never returns."""
        last_confirmation_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep(DECISION_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            if now_ms - last_confirmation_ms >= CONFIRMATION_INTERVAL_MS:
                last_confirmation_ms = now_ms
                self.confirm_crashes()
            if self._crashes.is_decision_pending:
                self._decide()

    async def run_writes(self) -> None:
        """Write the findings that the store lacks; never returns."""
        while True:
            await self._clock.sleep(WRITE_CHECK_MS)
            if not self._crashes.findings.has_any:
                continue
            for finding in self._crashes.findings.states(self._clock.now_ms()):
                if self._is_write_due(finding):
                    await self._write(finding)

    def confirm_crashes(self) -> None:
        """Count the suspicions that are crashes, and publish them at once."""
        records = self._crashes.confirm_crashes(self._clock.now_ms())
        for record in records:
            _LOG.warning(
                "request ran at a crash",
                account=record.request.account,
                digest=record.request.digest.hex(),
                server=record.server,
                ran_ms=record.ran_ms,
                parts=list(record.parts),
            )
        if records:
            self._publish()
            self._decide()

    def complete_report(self, report: peer_messages.Report) -> peer_messages.Report:
        """Return a report with the crashes, answers and findings of this gateway."""
        now_ms = self._clock.now_ms()
        return dataclasses.replace(
            report,
            crashes=tuple(
                peer_messages.ReportedCrash(
                    each.request,
                    each.server,
                    now_ms - each.at_ms,
                    each.ran_ms,
                    each.parts,
                )
                for each in self._crashes.to_publish(now_ms)
            ),
            answered=tuple(
                peer_messages.ReportedAnswer(each.key, now_ms - each.at_ms)
                for each in self._crashes.answers_to_publish(now_ms)
            ),
            findings=self._findings_to_publish(now_ms),
        )

    def _findings_to_publish(self, now_ms: int) -> tuple[crash_findings.Finding, ...]:
        self._reports_made += 1
        is_fresh = now_ms - self._last_change_ms < FRESH_MS
        if not is_fresh and self._reports_made % REPORTS_PER_FINDINGS:
            return ()
        return self._crashes.findings.to_publish(now_ms)

    def apply_report(self, report: peer_messages.Report) -> None:
        """Apply what a peer reports of crashes."""
        now_ms = self._clock.now_ms()
        if report.crashes:
            self._apply_crashes(report.crashes, now_ms)
        self._crashes.apply_peer_answers(
            (
                crash_suspicions.Answered(each.key, now_ms - each.age_ms)
                for each in report.answered
            ),
            now_ms,
        )
        for finding in report.findings:
            if self._crashes.apply_finding(finding, now_ms):
                self._handle_change(finding, "peer")

    def _apply_crashes(
        self, crashes: tuple[peer_messages.ReportedCrash, ...], now_ms: int
    ) -> None:
        self._crashes.merge(
            (
                crash_suspicions.CrashRecord(
                    each.request,
                    each.server,
                    now_ms - each.age_ms,
                    each.ran_ms,
                    each.parts,
                )
                for each in crashes
                if not each.was_cleared
            ),
            now_ms,
        )
        self._crashes.apply_peer_answers(
            (
                crash_suspicions.Answered(
                    crash_findings.request_key(each.request), now_ms
                )
                for each in crashes
                if each.was_cleared
            ),
            now_ms,
        )

    def apply_rows(self, rows: tuple[store_rows.Row, ...]) -> None:
        """Apply changed rows of the members table; other rows are ignored.

        A removed row ends its finding: an operator has removed it.
        """
        for row in rows:
            if row.key.startswith(ROW_PREFIX):
                self._apply_row(row)

    def forget_rows(self) -> None:
        """Record that the rows are read in full, maybe from a restored store."""
        self._position_by_row.clear()
        self._stored_by_row.clear()

    async def claim_retest(self, finding: crash_findings.Finding) -> bool:
        """Return whether this gateway may send a request that a finding rejects."""
        now_ms = self._clock.now_ms()
        if not self._crashes.findings.is_retest_due(finding, now_ms):
            return False
        key = row_key(finding.scope)
        position = self._position_by_row.get(key)
        if position is None:
            return False
        claimed = dataclasses.replace(finding, retests=finding.retests + 1, age_ms=0)
        # A further request must not claim it while the write is under way.
        self._crashes.apply_finding(claimed, now_ms)
        try:
            result = await self._store.write(
                tables.TableName.MEMBERS, key, encode_row(claimed), position
            )
        except store_rows.StoreUnavailableError as error:
            _LOG.warning("retest not claimed", key=key, reason=str(error))
            return False
        if result.is_applied:
            self._position_by_row[key] = result.position
            self._stored_by_row[key] = claimed
        _LOG.info("retest", suspect=finding.scope.key, is_claimed=result.is_applied)
        return result.is_applied

    def _decide(self) -> None:
        made = self._crashes.decide(self._clock.now_ms())
        for finding in made:
            self._handle_change(finding, "crashes")
        if made:
            self._publish()

    def _handle_change(self, finding: crash_findings.Finding, origin: str) -> None:
        self._last_change_ms = self._clock.now_ms()
        _LOG.warning(
            "crash finding ended" if finding.has_ended else "crash finding in force",
            suspect=finding.scope.key,
            account=finding.scope.account,
            revision=finding.revision,
            retests=finding.retests,
            servers=list(finding.servers),
            origin=origin,
        )
        if not finding.has_ended:
            self._reject_queued()

    def _apply_row(self, row: store_rows.Row) -> None:
        if row.is_removed:
            self._position_by_row.pop(row.key, None)
            stored = self._stored_by_row.pop(row.key, None)
            if stored is not None:
                ended = dataclasses.replace(stored, has_ended=True)
                if self._crashes.apply_finding(ended, self._clock.now_ms()):
                    self._handle_change(ended, "operator")
            return
        try:
            finding = decode_row(row.text)
        except RowError as error:
            _LOG.error(
                "invalid row ignored",
                table="members",
                key=row.key[: checked_values.MAX_NAME_BYTES],
                error=str(error),
            )
            return
        self._position_by_row[row.key] = row.position
        self._stored_by_row[row.key] = finding
        if self._crashes.apply_finding(finding, self._clock.now_ms()):
            self._handle_change(finding, "store")

    def _is_write_due(self, finding: crash_findings.Finding) -> bool:
        key = row_key(finding.scope)
        stored = self._stored_by_row.get(key)
        if stored is not None and stored.rank >= finding.rank:
            return False
        if stored is None and finding.has_ended:
            return False
        now_ms = self._clock.now_ms()
        is_first = self._peers.first_ranked(key, 1) == (self._peers.own_name,)
        delay_ms = random.uniform(FALLBACK_DELAY_MS, 2 * FALLBACK_DELAY_MS)
        due_ms = self._next_write_ms_by_row.setdefault(
            key, now_ms if is_first else now_ms + round(delay_ms)
        )
        return now_ms >= due_ms

    async def _write(self, finding: crash_findings.Finding) -> None:
        key = row_key(finding.scope)
        self._next_write_ms_by_row[key] = self._clock.now_ms() + WRITE_RETRY_MS
        expected = self._position_by_row.get(key, store_rows.Position(0, 0))
        try:
            result = await self._store.write(
                tables.TableName.MEMBERS, key, encode_row(finding), expected
            )
        except store_rows.StoreUnavailableError as error:
            _LOG.warning("crash finding not stored", key=key, reason=str(error))
            return
        _LOG.info(
            "crash finding stored",
            suspect=finding.scope.key,
            is_written=result.is_applied,
        )
        if result.is_applied:
            self._position_by_row[key] = result.position
            self._stored_by_row[key] = finding
