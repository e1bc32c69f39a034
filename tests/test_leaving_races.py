"""Tests of answers that reach a gateway in the moment of a limit of its shutdown."""

import asyncio
import signal
import socket
import time
import unittest
from typing import Final

from quincecrank import clock as clocks
from quincecrank import store_era
from quincecrank.gateway import peers, shutdown_schedule
from tests import builders_gateway as builders
from tests import gateway_case as case
from tests import test_leaving_streams as streams

LEFT_MS: Final = 300
"""Time from the start of a shutdown to the limit of requests without an answer."""


class LateBeginTest(streams.StreamCase):
    """The first bytes of an answer arrive while the loop stands still at the limit."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.received = asyncio.Event()

    async def hold(
        self, _request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Script of a server that sends only what the test sends."""
        raw: socket.socket = writer.get_extra_info("socket")
        self.server_socket = socket.fromfd(raw.fileno(), raw.family, raw.type)
        self.server_socket.setblocking(True)
        self.addCleanup(self.server_socket.close)
        self.received.set()
        await asyncio.sleep(case.WAIT_S)

    async def stop_at_limit(self, path: str, unread: bytes, **headers: str) -> None:
        """Begin to leave, and stand still over the limit with bytes unread."""
        self.caller = await case.Caller.connect(self.port)
        await self.caller.send(path, b"prompt", **headers)
        await asyncio.wait_for(self.received.wait(), case.WAIT_S)
        limit_ms = int(streams.GRACE_MS * shutdown_schedule.ANSWER_FRACTION)
        signalled_ms = self.clock.now_ms() + LEFT_MS - limit_ms
        self.fleet.shutdown = builders.make_shutdown(signalled_ms, streams.GRACE_MS)
        self.send_unread(unread)
        time.sleep((LEFT_MS + 20) / 1_000)
        # Let the gateway read it, and act on the limit.
        await asyncio.sleep(0.05)
        self.assertLess(self.clock.now_ms(), self.fleet.shutdown.cut_limit_ms)

    async def test_a_long_answer_that_began_at_that_limit_was_cut(self) -> None:
        """An answer too long for the buffer is passed on, so that it has begun."""
        half = b"x" * 1_200_000
        await self.add_server(self.hold)
        head = (
            f"HTTP/1.1 200 OK\r\n{case.SEAL}Request-Id: q-1\r\n"
            f"Content-Length: {2 * len(half)}\r\n\r\n"
        ).encode()
        await self.stop_at_limit("/look/", head + half)
        self.send_unread(half)
        got = await self.caller.receive()
        self.assertEqual((got.status, len(got.body)), (200, 2 * len(half)))
        self.assertTrue(got.is_complete)


class ThreadsTest(unittest.TestCase):
    def test_a_thread_took_the_signal_before_the_loops_handler(self) -> None:
        """The loop's thread read its clock in between, and dated the signal by it."""
        directory = peers.PeerDirectory(
            builders.make_environment(), clocks.SystemClock(), store_era.StoreEra()
        )
        self.addCleanup(directory._downloads.shutdown)
        blocked = directory._downloads.submit(
            signal.pthread_sigmask, signal.SIG_BLOCK, ()
        )
        self.assertLessEqual({signal.SIGTERM, signal.SIGINT}, blocked.result())
