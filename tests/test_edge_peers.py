"""Tests of peers that connect to a running agent and must be refused.

They guard against links of peers with a wrong secret, the wrong role or an older
fencing number, and against an agent that fails on malformed packets.
"""

import asyncio
import unittest
from typing import Any

from tornado import iostream, tcpclient

from quincecrank import stream_messages, wire
from standins import local_fleet
from tests import builders_edge as fleets
from tests import builders_wire as builders

SERVER = f"{fleets.SERVICE}-1"


async def connect(own: wire.PeerIdentity, secret: bytes) -> wire.Connection:
    """Return a connection to the agent of the plain service."""
    agent = fleets.fleet().replicas_by_name[SERVER].agent
    assert agent is not None
    stream = await tcpclient.TCPClient().connect(local_fleet.ADDRESS, agent.port)
    return await wire.handshake_within(
        stream, own, secret, dialled=True, timeout_ms=builders.TIMEOUT_MS
    )


class RunningAgentTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls) -> None:
        fleets.fleet()

    async def wait_closed(self, connection: wire.Connection) -> None:
        """Wait until the agent has closed the connection."""
        async with asyncio.timeout(10):
            with self.assertRaises(iostream.StreamClosedError):
                while True:
                    await connection.receive()

    def agent_log(self) -> str:
        agent = fleets.fleet().replicas_by_name[SERVER].agent
        assert agent is not None
        return agent.log()

    async def test_a_wrong_secret_is_refused(self) -> None:
        with self.assertRaises((wire.WireError, iostream.StreamClosedError)):
            await connect(builders.ENTRY, builders.SECRET)
        fleets.wait_until(lambda: "does not know the fleet secret" in self.agent_log())

    async def test_agents_with_streams_or_old_fencing_numbers_are_refused(
        self,
    ) -> None:
        secret = fleets.fleet().fleet_secret()
        work = stream_messages.PlainCall("POST", "/releases", (), b"by an agent")
        order = stream_messages.encode_order(builders.order(work))
        newer = builders.identity(name="vm-x", fencing_number=2, backend_server="x-1")
        older = builders.identity(name="vm-y", fencing_number=1, backend_server="x-1")
        connection = await connect(newer, secret)
        connection.send(order)
        await self.wait_closed(connection)
        self.assertIn("a peer of role agent has no streams", self.agent_log())
        await self.wait_closed(await connect(older, secret))
        self.assertIn("agent has fencing number 1, not 2", self.agent_log())
        bodies = [record["body"] for record in fleets.ledger()]
        self.assertNotIn("by an agent", bodies)

    async def test_malformed_packets_close_the_link_and_the_agent_still_serves(
        self,
    ) -> None:
        secret = fleets.fleet().fleet_secret()
        for payload in (b"", b"\xff" * 64, bytes(builders.heartbeat().to_bytes())[:-8]):
            connection = await connect(builders.ENTRY, secret)
            connection.send(builders.Payload(payload))
            await self.wait_closed(connection)
        self.assertIn("packet is malformed", self.agent_log())
        self.assertNotIn("Traceback", self.agent_log())
        answer: Any = await asyncio.to_thread(
            fleets.call, "GET", "/services/prasaran/filed?q=none-of-these"
        )
        self.assertEqual(answer.status, 200)
