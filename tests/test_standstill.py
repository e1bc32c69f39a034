"""Limits that act after the process stood still, before what has arrived is read."""

import asyncio
import socket
import unittest

from quincecrank import clock as clocks
from quincecrank import ids, store_era
from quincecrank.gateway import peer_messages, peers
from tests import builders_gateway as builders
from tests import builders_standstill as standstill

PEER_IP = "127.0.0.3"
PEER = ids.VmName("entry-2")


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


if __name__ == "__main__":
    unittest.main()
