"""Exchanges permits for limited backend servers with the other gateways.

Sends the asks and grants that `send_permits` decides on, and starts queued requests
when permits arrive.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import (
    cold_servers,
    deployment,
    fleet_state,
    peer_messages,
    peers,
    send_permits,
    servers,
)

MIN_PAUSE_MS: Final = 5.0
"""Shortest time between two checks for permits that are due."""

REPORTS_PER_COLD_STATES: Final = 2
"""Every second report contains the cold servers and their issuers: at the longest
interval of reports within `send_permits.SUPPORT_MS`.  Entries that turn cold are pushed
to all gateways at once."""

MAX_REPORTED_LIMITS: Final = 256
"""Most rate limits in one report, which bounds its size; further ones follow in the
next reports."""

PermitSender = Callable[[ids.VmName, send_permits.PermitMessage], None]


class PermitExchange:
    """Exchanges asks and grants of permits.

    Parameters
    ----------
    fleet : FleetState
        State of the fleet; its `notify_permit_demand` is set.
    peer_directory : PeerDirectory
        The other gateways.
    send : callable
        Sends a message to a gateway.
    start_queued : callable
        Starts the queued requests of a service.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        peer_directory: peers.PeerDirectory,
        send: PermitSender,
        start_queued: Callable[[deployment.ServiceName], None],
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._peers = peer_directory
        self._send = send
        self._start_queued = start_queued
        self._clock = clock
        self._has_work = asyncio.Event()
        self._reported_limits = 0
        self._reports = 0
        self.is_leaving = False
        fleet.notify_permit_demand = self._has_work.set

    async def run(self) -> None:
        """Send the asks and grants that are due, until cancelled."""
        timeout_s: float | None = None
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._has_work.wait()
            self._has_work.clear()
            # Requests that arrive at once share one ask.
            await self._clock.sleep(0)
            due_ms = self._exchange()
            timeout_s = (
                None
                if due_ms is None
                else max(MIN_PAUSE_MS, due_ms) / clocks.MS_PER_SECOND
            )

    def handle(self, message: send_permits.PermitMessage) -> None:
        """Handle the asks and grants of a peer."""
        now_ms = self._clock.now_ms()
        permits = self._fleet.send_permits
        self._start_permitted(permits.apply_grants(message.grants, now_ms))
        if permits.apply_asks(message.vm, message.asks, now_ms):
            self._has_work.set()

    def update_gateways(self) -> None:
        """Update the gateways that may be issuers."""
        candidates = self._peers.issuer_candidates()
        if not self.is_leaving:
            candidates = tuple(sorted((*candidates, self._peers.own_name)))
        self._fleet.send_permits.set_gateways(
            candidates, self._peers.known_gateways(), self._clock.now_ms()
        )

    def complete_report(self, report: peer_messages.Report) -> peer_messages.Report:
        """Return a report of this gateway with what it says of rate limits."""
        limits = self._fleet.rate_limits
        self.update_gateways()
        self._reports += 1
        cold_states: tuple[cold_servers.ColdState, ...] = ()
        if self._reports % REPORTS_PER_COLD_STATES == 0:
            cold_states = self._fleet.cold_servers.states(self._clock.now_ms())
        if not limits.is_any_known and not cold_states:
            return report
        now_ms = self._clock.now_ms()
        permits = self._fleet.send_permits
        asks = permits.asks_to_report(now_ms)
        if permits.apply_asks(self._peers.own_name, asks, now_ms):
            self._has_work.set()
        states = tuple(limits.states(now_ms))
        first = self._reported_limits % max(1, len(states))
        states = (states[first:] + states[:first])[:MAX_REPORTED_LIMITS]
        self._reported_limits = first + len(states)
        cold_states = cold_states[:MAX_REPORTED_LIMITS]
        reported = {state.incarnation for state in states}
        reported.update(state.incarnation for state in cold_states)
        return dataclasses.replace(
            report,
            limit_states=states,
            cold_states=cold_states,
            issuer_reports=tuple(
                each
                for each in permits.issuer_reports(now_ms)
                if each.incarnation in reported
            ),
            permit_asks=asks[:MAX_REPORTED_LIMITS],
        )

    def apply_report(self, report: peer_messages.Report) -> None:
        """Apply what a peer's report says of rate limits."""
        if not (report.limit_states or report.cold_states or report.permit_asks):
            return
        now_ms = self._clock.now_ms()
        for state in report.limit_states:
            self._fleet.apply_peer_limit(state)
        for cold_state in report.cold_states:
            self._fleet.apply_cold_state(cold_state)
        permits = self._fleet.send_permits
        # The peer may have sent the report, and withdrawn its support, long ago.
        sent_ms = self._peers.report_earliest_ms(report.vm) or now_ms
        permits.apply_issuer_reports(
            report.vm, report.issuer_reports, now_ms, sent_ms=sent_ms
        )
        if permits.apply_asks(report.vm, report.permit_asks, now_ms):
            self._has_work.set()

    def _exchange(self) -> float | None:
        """Send what is due; return the time until more is due, None if nothing is."""
        now_ms = self._clock.now_ms()
        permits = self._fleet.send_permits
        own_name = self._peers.own_name
        asks_by_issuer = permits.due_asks(now_ms)
        permits.apply_asks(own_name, asks_by_issuer.pop(own_name, ()), now_ms)
        grants_by_gateway = permits.issue(now_ms)
        own_grants = grants_by_gateway.pop(own_name, ())
        for name in sorted({*asks_by_issuer, *grants_by_gateway}):
            self._send(
                name,
                send_permits.PermitMessage(
                    own_name,
                    asks_by_issuer.get(name, ()),
                    grants_by_gateway.get(name, ()),
                ),
            )
        self._start_permitted(permits.apply_grants(own_grants, now_ms))
        return permits.ms_until_due(self._clock.now_ms())

    def _start_permitted(self, granted: tuple[servers.Incarnation, ...]) -> None:
        entries = [self._fleet.registry.find(each.server_id) for each in granted]
        for service in {entry.service for entry in entries if entry is not None}:
            self._start_queued(service)
