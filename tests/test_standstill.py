"""Limits that act after the process stood still, before what has arrived is read."""

import asyncio
import socket
import unittest
from unittest import mock

from quincecrank import clock as clocks
from quincecrank import ids, rendezvous, run_watchdog, store_era
from quincecrank.gateway import (
    fleet_state,
    peer_messages,
    peers,
    permit_exchange,
    rate_limits,
    send_permits,
    servers,
)
from quincecrank.platform import engines
from tests import builders_gateway as builders
from tests import builders_standstill as standstill

PEER_IP = "127.0.0.3"
PEER = ids.VmName("entry-2")
SILENCE_MS = 300


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """A gateway with one peer, whose reports the test sends."""

    async def asyncSetUp(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        self.settings = builders.make_environment(peer_port=port, ip="127.0.0.1")
        clock = clocks.SystemClock()
        self.directory = peers.PeerDirectory(self.settings, clock, store_era.StoreEra())
        self.live_when_reporting: list[tuple[ids.VmName, ...]] = []
        self.reporter = peers.PeerReporter(
            self.settings,
            self.directory,
            self.make_report,
            lambda _report: None,
            lambda _change: None,
            lambda _permits: None,
            clock,
        )
        self.reporter.start()
        self.peer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.peer_socket.bind((PEER_IP, 0))
        self.addCleanup(self.peer_socket.close)
        self.running = asyncio.ensure_future(self.reporter.run())
        self.addCleanup(self.running.cancel)

    def make_report(self) -> peer_messages.Report:
        self.live_when_reporting.append(self.directory.live_members())
        return self.report_of(self.settings.vm)

    def report_of(self, vm: ids.VmName) -> peer_messages.Report:
        return peer_messages.Report(vm, is_leaving=False, states=(), load_by_server={})

    def send_as_peer(self) -> None:
        datagram = peer_messages.encode(self.report_of(PEER))
        self.peer_socket.sendto(datagram, (self.settings.ip, self.settings.peer_port))

    async def test_live_peers_counted_as_silent_after_a_standstill(self) -> None:
        """Their reports lay unread when the next report was made."""
        self.send_as_peer()
        await asyncio.sleep(0.3)
        self.assertEqual(self.directory.live_members(), (PEER,))
        self.live_when_reporting.clear()
        self.send_as_peer()
        standstill.stand_still(peers.PEER_SILENCE_LIMIT_MS + 100)
        self.assertEqual(self.directory.live_members(), (PEER,))
        await asyncio.sleep(0.3)
        self.assertEqual(set(self.live_when_reporting), {(PEER,)})

    async def test_a_peer_that_sends_nothing_is_silent(self) -> None:
        self.send_as_peer()
        await asyncio.sleep((peers.PEER_SILENCE_LIMIT_MS + 200) / 1000)
        self.assertEqual(self.directory.live_members(), ())


class SupportTest(unittest.TestCase):
    """An issuer of permits with one peer, which may support it."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock(10_000)
        settings = builders.make_environment()
        self.fleet = fleet_state.FleetState(settings, self.clock)
        self.peers = peers.PeerDirectory(settings, self.clock, store_era.StoreEra())
        self.exchange = permit_exchange.PermitExchange(
            self.fleet,
            self.peers,
            lambda _name, _message: None,
            lambda _service: None,
            self.clock,
        )
        self.incarnation = next(
            servers.Incarnation(servers.ServerId(f"i-{number}"), 1)
            for number in range(100)
            if rendezvous.ranked(f"i-{number}", (settings.vm, PEER), 1)[0]
            == settings.vm
        )

    def receive(self, unread_ms: int) -> None:
        """Receive a report that supports this gateway, unread for some time."""
        own = self.fleet.own_settings.vm
        report = peer_messages.Report(
            PEER,
            is_leaving=False,
            states=(),
            load_by_server={},
            limit_states=(rate_limits.LimitState(self.incarnation, 1.0, 1, 0),),
            issuer_reports=(send_permits.IssuerReport(self.incarnation, own),),
            issues_permits=True,
        )
        self.peers.record_report(PEER_IP, report, self.clock.now_ms() - unread_ms)
        self.exchange.update_gateways()
        self.exchange.apply_report(report)

    def wait_ms(self) -> int | None:
        """Return the time after which an ask would get a permit."""
        now_ms = self.clock.now_ms()
        (report,) = self.fleet.send_permits.issuer_reports(now_ms)
        return report.wait_ms

    def test_support_counted_that_its_sender_had_withdrawn(self) -> None:
        """A report that had waited unread counted from its reading."""
        self.fleet.registry.update(
            builders.make_entry(
                server_id=self.incarnation.server_id,
                started_wall_ms=self.incarnation.started_wall_ms,
            )
        )
        self.receive(0)
        self.clock.advance(send_permits.SUPPORT_MS)
        self.receive(send_permits.SUPPORT_MS)
        alone_ms = self.wait_ms()
        self.receive(0)
        supported_ms = self.wait_ms()
        assert alone_ms is not None and supported_ms is not None
        self.assertGreater(alone_ms, supported_ms)


class WatchdogTest(unittest.IsolatedAsyncioTestCase):
    """A run of an engine whose tokens arrive on a socket."""

    async def run_stopped(self, *, has_token: bool) -> bytes:
        """Guard a run across a standstill; return its token."""
        own, engine = socket.socketpair()
        self.addCleanup(own.close)
        self.addCleanup(engine.close)
        own.setblocking(False)
        loop = asyncio.get_running_loop()
        clock = clocks.SystemClock()
        started_ms = clock.now_ms()
        watchdog = run_watchdog.RunWatchdog(lambda: started_ms, clock)
        reading = loop.sock_recv(own, 1)
        guarded = asyncio.ensure_future(watchdog.guard(reading, lambda: started_ms, 0))
        await asyncio.sleep(0.01)
        if has_token:
            engine.send(b"x")
        standstill.stand_still(2 * run_watchdog.ENGINE_SILENCE_MS)
        return await guarded

    async def test_runs_were_aborted_with_their_tokens_unread(self) -> None:
        """The limit of an engine's silence acted before they were read."""
        with mock.patch.object(run_watchdog, "ENGINE_SILENCE_MS", SILENCE_MS):
            self.assertEqual(await self.run_stopped(has_token=True), b"x")

    async def test_a_silent_engine_is_noticed_after_a_standstill(self) -> None:
        with mock.patch.object(run_watchdog, "ENGINE_SILENCE_MS", SILENCE_MS):
            with self.assertRaises(run_watchdog.StalledError):
                await self.run_stopped(has_token=False)


class CacheEventsTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, *, has_answer: bool) -> engines.CacheEvents:
        """Call a holder, and stand still while it answers."""
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        reader = engines.CacheEventReader(address, clocks.SystemClock())
        self.addCleanup(reader.close)
        calling = asyncio.ensure_future(reader.events(0))
        await asyncio.sleep(0.1)
        holder, _ = listening.accept()
        self.addCleanup(holder.close)
        if has_answer:
            body = b'{"bootEpoch": 1, "next": 5, "events": []}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            holder.sendall(head.encode() + body)
        standstill.stand_still(engines.EVENTS_WAIT_MS + engines.CALL_TIMEOUT_MS)
        return await calling

    async def test_the_content_of_all_holders_was_unknown_after_a_standstill(
        self,
    ) -> None:
        """The limit of each call acted before its answer was read."""
        self.assertEqual((await self.call(has_answer=True)).next_number, 5)

    async def test_a_silent_holder_is_noticed_after_a_standstill(self) -> None:
        with self.assertRaises(engines.EngineCallError):
            await self.call(has_answer=False)


if __name__ == "__main__":
    unittest.main()
