"""Tests of orders and requests that arrive during a graceful shutdown.

They guard against an order that crosses the closing of an agent's link and is dropped
without an answer, so that its outcome would be unknown although it never ran, and
against requests that an entry has received and closes unread.
"""

import asyncio
import socket
import unittest
from typing import Any
from unittest import mock

from tornado import netutil, web

from quincecrank import (
    agent_links,
    attempt,
    current_configuration,
    entry,
    http_server,
    peer_link,
    run_queue,
    runner,
    stream_messages,
)
from quincecrank import clock as clocks
from tests import builders_budgets, builders_wire
from tests import builders_standstill as standstill

REQUEST = b"GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
REPEATS = 10


class LeavingOwner(builders_wire.RecordingOwner):
    """Passes orders to the runner of an agent that is shutting down."""

    def __init__(self) -> None:
        super().__init__()
        queue = run_queue.RunQueue(limit=1, max_waiting=1)
        self.streams = runner.StreamRunner(mock.Mock(), queue, clocks.SystemClock())
        self.streams.leaving_reason = "the agent is shutting down"

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Pass the order of a packet to the runner."""
        self.streams.open(link, stream_messages.decode_order(packet.open))


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def test_order_that_crosses_the_closing_link_is_refused(self) -> None:
        dialled, accepted = await builders_wire.connection_pair(self)
        clock = clocks.SystemClock()
        current = current_configuration.CurrentConfiguration(clock)
        entry_links = agent_links.AgentLinks(current, lambda: None, clock)
        entry_link = builders_wire.link_of(dialled, entry_links)
        agent_link = builders_wire.link_of(accepted, LeavingOwner())
        entry_links.add_link(entry_link)
        links = [asyncio.ensure_future(x.run()) for x in (entry_link, agent_link)]
        links[0].add_done_callback(lambda _: entry_links.remove_link(entry_link))
        call = stream_messages.PlainCall("POST", "/releases", (), b"")
        opened = entry_links.open(
            entry_links.states_by_vm[entry_link.peer.name],
            builders_wire.order(call),
            builders_wire.NullSink(),
        )
        await agent_link.close_gracefully()
        outcome = await opened.outcome()
        entry_link.close()
        await asyncio.gather(*links)
        self.assertIs(outcome.kind, attempt.OutcomeKind.REFUSED, outcome.reason)


class EntryShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        limits = mock.Mock(header_timeout_ms=10_000, body_timeout_ms=10_000)
        self.program = mock.Mock(
            _services=mock.Mock(tasks=set()),
            _clock=clocks.SystemClock(),
            _caller_server=http_server.serve(
                [("/", _Handler, {})],
                None,
                limits,
                bound,
                builders_budgets.make_listener(),
                builders_budgets.make_budgets(),
                clocks.SystemClock(),
            ),
        )

    def connect(self) -> socket.socket:
        """Open a connection without letting the loop run."""
        connection = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(connection.close)
        return connection

    async def receive(self, connection: socket.socket) -> bytes:
        """Return the bytes of one answer; none if there is none."""
        connection.setblocking(False)
        try:
            return await asyncio.get_running_loop().sock_recv(connection, 4_096)
        except ConnectionError:
            return b""

    async def test_requests_at_an_entry_that_stops_were_closed_unread(self) -> None:
        """Kept and waiting connections were closed by what had been read."""
        connections = [self.connect() for _ in range(REPEATS)]
        for connection in connections:
            connection.sendall(REQUEST)
            self.assertIn(b"200", await self.receive(connection))
            connection.setblocking(True)
            connection.sendall(REQUEST)
        connections += [self.connect() for _ in range(REPEATS)]
        for connection in connections[REPEATS:]:
            connection.sendall(REQUEST)
        await entry.Entry.stop(self.program)
        for connection in connections:
            self.assertIn(b"200", await self.receive(connection))

    async def test_a_request_whose_head_had_arrived_in_part_was_closed(self) -> None:
        """What had been read of it did not count as having arrived."""
        connection = self.connect()
        connection.sendall(REQUEST)
        self.assertIn(b"200", await self.receive(connection))
        connection.setblocking(True)
        connection.sendall(REQUEST[:20])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(entry.Entry.stop(self.program))
        await asyncio.sleep(0.1)
        connection.sendall(REQUEST[20:])
        await stopping
        self.assertIn(b"200", await self.receive(connection))

    async def test_requests_were_closed_unread_after_a_standstill(self) -> None:
        """The limit of the closing acted before what had arrived was read."""
        connection = self.connect()
        connection.sendall(REQUEST)
        self.assertIn(b"200", await self.receive(connection))
        connection.setblocking(True)
        connection.sendall(REQUEST[:-2] + b"Content-Length: 2\r\n\r\na")
        stopping = asyncio.ensure_future(entry.Entry.stop(self.program))
        await asyncio.sleep(0.1)
        connection.sendall(b"b")
        standstill.stand_still(http_server.MAX_CLOSE_MS)
        await stopping
        self.assertIn(b"200", await self.receive(connection))


class _Handler(web.RequestHandler):
    def get(self) -> None:
        self.finish("answer")
