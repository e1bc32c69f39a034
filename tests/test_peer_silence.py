"""Links between entries and agents whose process stood still."""

import asyncio
import unittest

from quincecrank import clock as clocks
from quincecrank import peer_link
from tests import builders_standstill as standstill
from tests import builders_wire

INTERVAL_MS = 50
LIMITS = peer_link.HeartbeatLimits(INTERVAL_MS, silence_ms=3 * INTERVAL_MS)


class PeerSilenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        dialled, self.peer = await builders_wire.connection_pair(self)
        self.owner = builders_wire.RecordingOwner()
        clock = clocks.SystemClock()
        self.link = peer_link.PeerLink(dialled, self.owner, LIMITS, clock)
        self.running = asyncio.ensure_future(self.link.run())

    async def test_a_link_ended_with_the_peers_heartbeats_unread(self) -> None:
        """The limit acted before they were read, and broke the requests off."""
        await asyncio.sleep(0)
        for _ in range(5):
            self.peer.send(builders_wire.heartbeat())
        standstill.stand_still(2 * LIMITS.silence_ms)
        await asyncio.sleep(INTERVAL_MS / 2_000)
        self.assertFalse(self.link.closed)
        self.assertEqual(len(self.owner.heartbeats), 5)

    async def test_a_silent_peer_ends_the_link_after_a_standstill(self) -> None:
        await asyncio.sleep(0)
        standstill.stand_still(2 * LIMITS.silence_ms)
        await asyncio.wait_for(self.running, 1)
        self.assertTrue(self.link.closed)


if __name__ == "__main__":
    unittest.main()
