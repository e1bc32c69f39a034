"""Tests of what callers get from a gateway that shuts down."""

import asyncio
import socket
import time
import unittest
from typing import Final

from tornado import netutil

from quincecrank import clock as clocks
from quincecrank.gateway import callers, loop_monitor
from tests import builders_gateway as builders
from tests import gateway_case as case

CALLERS: Final = 20
MAX_STEPS: Final = 12
"""More steps of the loop than a request takes from the socket to its handler."""

REQUEST: Final = (
    f"POST /record/ HTTP/1.1\r\nHost: {builders.HOST}\r\nRequest-Id: q-1\r\n"
    f"Authorization: Token {builders.KEY}\r\nContent-Length: 1\r\n\r\nx"
).encode()


class LoopMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(10_000)
        self.monitor = loop_monitor.LoopMonitor(self.clock)

    def test_an_overdue_wake_up_counts_before_it_happens(self) -> None:
        started_ms = self.clock.now_ms()
        self.clock.advance(loop_monitor.INTERVAL_MS + 250)
        self.assertEqual(self.monitor.lateness_ms, 250)
        self.assertEqual(self.monitor.last_run_ms, started_ms)
        self.monitor.observe()
        self.assertEqual(self.monitor.last_run_ms, self.clock.now_ms())


class LoopMonitorRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_lateness_counts_for_the_retention_time(self) -> None:
        clock = LateClock()
        monitor = loop_monitor.LoopMonitor(clock)
        clock.late_ms = 300
        await monitor.wait_and_observe()
        self.assertEqual(monitor.lateness_ms, 300)
        clock.late_ms = 0
        for _ in range(loop_monitor.RETENTION_MS // loop_monitor.INTERVAL_MS):
            self.assertEqual(monitor.lateness_ms, 300)
            await monitor.wait_and_observe()
        self.assertEqual(monitor.lateness_ms, 0)


class LateClock(clocks.ManualClock):
    """A clock whose sleeps end late by `late_ms`."""

    late_ms = 0

    async def sleep(self, duration_ms: float) -> None:
        """Advance the clock."""
        self.advance(int(duration_ms) + self.late_ms)


class ShutdownCase(case.GatewayCase):
    """Base of tests with a server and callers whose writes don't run the loop."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_server(case.sends(case.answer()))

    def connect(self) -> socket.socket:
        """Open a connection without letting the loop run."""
        connection = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(connection.close)
        return connection

    def listen(self) -> None:
        """Replace the listener, as one that closes connections accepts no more."""
        self.listener = callers.CallerListener(self.forwarder.handle, self.clock)
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        self.listener.start(bound)

    async def receive_status(self, connection: socket.socket) -> int:
        """Return the status of an answer; 0 if the connection ends without one."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                received = await loop.sock_recv(connection, 4_096)
            except ConnectionError:
                return 0
            if not received:
                return 0
            data += received
        return int(data.split(b" ", 2)[1])


class ShutdownTest(ShutdownCase):
    """The loop does not run while a test writes, so all of that arrives unread."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # With the first one, slots for all callers.
        for _ in range(2):
            await self.add_server(case.sends(case.answer()))

    async def close_and_receive(self, connections: list[socket.socket]) -> list[int]:
        """Let the listener close what is idle; return the status of each answer."""
        self.listener.state.is_leaving = True
        self.listener.close_idle()
        return [await self.receive_status(each) for each in connections]

    async def test_requests_on_kept_connections_were_closed_unread(self) -> None:
        """Connections were taken as idle by what the process had read."""
        connections = [self.connect() for _ in range(CALLERS)]
        for connection in connections:
            connection.sendall(REQUEST)
        for connection in connections:
            self.assertEqual(await self.receive_status(connection), 200)
        for connection in connections:
            connection.setblocking(True)
            connection.sendall(REQUEST)
        statuses = await self.close_and_receive(connections)
        self.assertEqual(statuses, [200] * CALLERS)

    async def test_requests_on_their_way_to_the_parser_were_closed(self) -> None:
        """Bytes that the stream had read were taken as not arrived."""
        for steps in range(MAX_STEPS):
            self.listen()
            connection = self.connect()
            connection.sendall(REQUEST)
            self.assertEqual(await self.receive_status(connection), 200)
            connection.setblocking(True)
            connection.sendall(REQUEST)
            for _ in range(steps):
                await asyncio.sleep(0)
            self.listener.close_idle()
            status = await self.receive_status(connection)
            self.assertEqual(status, 200, f"after {steps} steps of the loop")

    async def test_connections_in_the_accept_queue_were_closed_unread(self) -> None:
        """The listening socket was closed while connections waited to be accepted."""
        connections = [self.connect() for _ in range(CALLERS)]
        for connection in connections:
            connection.sendall(REQUEST)
        statuses = await self.close_and_receive(connections)
        self.assertEqual(statuses, [200] * CALLERS)

    async def test_requests_were_closed_between_their_reading_and_handling(
        self,
    ) -> None:
        """Bytes that the loop had read but not yet handled were not seen as arrived."""
        connections = [self.connect() for _ in range(CALLERS)]
        for connection in connections:
            connection.sendall(REQUEST)
        for connection in connections:
            self.assertEqual(await self.receive_status(connection), 200)
        closing = asyncio.get_running_loop().call_later(0.001, self.listener.close_idle)
        self.addCleanup(closing.cancel)
        for connection in connections:
            connection.setblocking(True)
            connection.sendall(REQUEST)
        # The loop runs late: it reads and closes in one iteration.
        time.sleep(0.01)
        statuses = [await self.receive_status(each) for each in connections]
        self.assertEqual(statuses, [200] * CALLERS)

    async def test_answers_to_earlier_requests_kept_their_connection(self) -> None:
        """Whether the gateway leaves was read when the request was read."""

        async def leave_and_answer(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            self.listener.state.is_leaving = True
            writer.write(case.answer())

        for entry in self.fleet.registry.entries():
            self.remove_server(entry.server_id)
        await self.add_server(leave_and_answer)
        got = await self.ask("/record/", b"x")
        self.assertEqual((got.status, got.headers.get("Connection")), (200, "close"))
