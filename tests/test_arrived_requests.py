"""Tests that a gateway which reads late ends no request that has arrived.

A test blocks the event loop while a caller writes, as an overloaded machine does.
"""

import asyncio
import socket
import time
from typing import Final
from unittest import mock

from quincecrank.budgets import connection_budget
from quincecrank.gateway import callers, deployment, server_links, servers
from tests import builders_gateway as builders
from tests import gateway_case as case

LIMIT_S: Final = 0.3
CHECK_S: Final = 0.02
REPEATS: Final = 5
LARGE_BYTES: Final = 20_000_000
"""More than the buffers of a connection take."""


def make_request(body: bytes = b"x", path: str = "/record/") -> bytes:
    """Return a request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {builders.HOST}\r\nRequest-Id: q-1\r\n"
        f"Authorization: Token {builders.KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class BlockedLoopCase(case.GatewayCase):
    """Base of tests in which callers write while the loop is blocked."""

    def connect(self) -> socket.socket:
        """Open a connection without letting the loop run."""
        connection = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(connection.close)
        return connection

    async def receive_status(self, connection: socket.socket) -> int:
        """Return the status of an answer; 0 if the connection ends without one."""
        return await asyncio.wait_for(_receive_status(connection), case.WAIT_S)


async def _receive_status(connection: socket.socket) -> int:
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
    connection.setblocking(True)
    return int(data.split(b" ", 2)[1])


class TimeLimitTest(BlockedLoopCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limit_ms = int(LIMIT_S * 1_000)
        self.listener.state.limits = deployment.ClientLimits(
            16_384, 100_000, limit_ms, limit_ms
        )
        await self.add_server(case.sends(case.answer()))
        self.background.start(_run_often(self.listener))

    async def test_a_request_on_an_idle_connection_was_closed_unread(self) -> None:
        """The time limit of idle connections passed while the loop was blocked."""
        for _ in range(REPEATS):
            connection = self.connect()
            connection.sendall(make_request())
            self.assertEqual(await self.receive_status(connection), 200)
            connection.sendall(make_request())
            time.sleep(2 * LIMIT_S)
            self.assertEqual(await self.receive_status(connection), 200)

    async def test_a_request_whose_body_had_arrived_was_closed_unread(self) -> None:
        """The time limit of bodies passed while the loop was blocked."""
        for _ in range(REPEATS):
            connection = self.connect()
            connection.sendall(make_request()[:-1])
            await asyncio.sleep(LIMIT_S / 3)
            connection.sendall(make_request()[-1:])
            time.sleep(2 * LIMIT_S)
            self.assertEqual(await self.receive_status(connection), 200)

    async def test_connections_without_bytes_end_after_their_limit(self) -> None:
        observed: list[tuple[connection_budget.CloseReason, bool]] = []
        self.listener.state.observe_close = lambda *close: observed.append(close)
        for sent in (b"", make_request()[:20], make_request()[:-1]):
            connection = self.connect()
            connection.sendall(sent)
            started_s = time.monotonic()
            self.assertEqual(await self.receive_status(connection), 0)
            self.assertGreaterEqual(time.monotonic() - started_s, LIMIT_S)
        reason = connection_budget.CloseReason
        reasons = [reason.IDLE, reason.SLOW_HEAD, reason.SLOW_BODY]
        self.assertEqual(observed, [(reason, False) for reason in reasons])

    async def test_an_answer_that_takes_long_is_not_cut(self) -> None:
        async def answer_late(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(3 * LIMIT_S)
            writer.write(case.answer())

        self.remove_server("i-1")
        await self.add_server(answer_late)
        self.assertEqual((await self.ask("/record/", b"x")).status, 200)


class RejectionTest(BlockedLoopCase):
    def limit_bodies(self, max_body_bytes: int) -> None:
        """Put a limit in force."""
        self.listener.state.limits = deployment.ClientLimits(
            16_384, max_body_bytes, 3_000, 15_000
        )

    async def test_a_rejection_was_lost_as_its_body_was_still_sent(self) -> None:
        """The connection was closed while bytes of the body were unread."""
        data = make_request(b"x" * LARGE_BYTES)
        for sent_before, limit in ((0, 1), (50_000, LARGE_BYTES)):
            with self.subTest(sent_before=sent_before):
                self.limit_bodies(limit)
                caller = await case.Caller.connect(self.port)
                caller.writer.write(data[:sent_before])
                await asyncio.sleep(CHECK_S)
                self.limit_bodies(1)
                caller.writer.write(data[sent_before:])
                await caller.writer.drain()
                self.assertEqual((await caller.receive()).status, 413)
                self.assertEqual(await caller.reader.read(), b"")
                caller.close()

    async def test_a_rejected_caller_that_waits_is_answered_at_once(self) -> None:
        self.limit_bodies(1)
        head = make_request(b"xx")[:-4]
        for extra in (b"", b"Expect: 100-continue\r\n"):
            caller = await case.Caller.connect(self.port)
            caller.writer.write(head + extra + b"\r\n")
            self.assertEqual((await caller.receive()).status, 413)
            caller.writer.write_eof()
            self.assertEqual(await caller.reader.read(), b"")
            caller.close()
        self.assertEqual(self.listener.open_requests, 0)


class IdleLinkTest(BlockedLoopCase):
    async def test_a_request_was_sent_on_a_link_that_its_server_had_closed(
        self,
    ) -> None:
        """A link counted as open until the process had read its end."""
        writers: list[asyncio.StreamWriter] = []

        async def answer(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            head = f"{case.SEAL}Request-Id: q-1\r\n"
            writer.write(case.answer(head=head))

        server = await self.add_server(answer)
        self.assertEqual((await self.ask("/record/", b"x")).status, 200)
        acquire_idle = self.fleet.links.acquire_idle

        def close_and_acquire(
            entry: servers.ServerEntry, max_idle_ms: int, _request_id: str
        ) -> server_links.Link | None:
            writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            return acquire_idle(entry, max_idle_ms, "q-2")

        with mock.patch.object(self.fleet.links, "acquire_idle", close_and_acquire):
            self.assertEqual((await self.ask("/record/", b"x")).status, 200)
        self.assertEqual(server.connections, 2)


async def _run_often(listener: callers.CallerListener) -> None:
    while True:
        await asyncio.sleep(CHECK_S)
        listener.close_expired()
