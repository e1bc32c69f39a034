"""Tests of the limits on slow, silent and greedy callers.

The HTTP server runs in this process.  The tests guard against connections that stay
open without end, memory that grows with unread answers or large bodies, and partial
answers that look complete.
"""

import asyncio
import contextlib
import socket
import tracemalloc
import unittest
from typing import Final

from structlog import testing
from tornado import netutil

from quincecrank import (
    admin_api,
    current_configuration,
    http_base,
    http_server,
    http_sink,
    metrics,
    openai_api,
    problems,
    settings,
    status_server,
)
from quincecrank import clock as clocks
from quincecrank.budgets import byte_budget
from tests import builders_budgets

CALLERS: Final = byte_budget.Holder.CALLERS
MAX_BODY_BYTES: Final = 64 * 1024
LIMITS: Final = settings.Limits(
    max_body_bytes=MAX_BODY_BYTES,
    max_open_requests=3,
    header_timeout_ms=200,
    body_timeout_ms=200,
)
PIECE: Final = b"x" * 16_384
ENDLESS_PIECES: Final = 2_000
"""Pieces of an answer of 32 MB, more than the kernel's buffers hold."""

WAIT_S: Final = 10.0


class AnsweringHandler(http_base.CallerHandler):
    """Answers in the way that the request's path names."""

    async def get(self) -> None:
        """Answer."""
        await self.serve()

    async def post(self) -> None:
        """Answer."""
        await self.serve()

    async def respond(self) -> None:
        """Write pieces, wait, fail or answer with the size of the body."""
        sink = http_sink.HttpSink(self, http_sink.MAX_UNSENT_EVENT_BYTES)
        match self.request.path:
            case "/endless":
                for _ in range(ENDLESS_PIECES):
                    sink.handle_body(PIECE)
                    await asyncio.sleep(0)
            case "/wait":
                await asyncio.sleep(60)
            case "/fail":
                raise KeyError("a bug")
            case "/fail-late":
                sink.handle_body(PIECE)
                raise KeyError("a bug")
            case "/refuse-late":
                sink.handle_body(PIECE)
                kind = problems.ProblemKind.BACKEND_FAILED
                raise problems.ProblemError(problems.Problem(kind, "lost"))
            case "/large":
                sink = http_sink.HttpSink(self)
                for _ in range(256):
                    sink.handle_body(PIECE)
                self.finish()
            case _:
                self.finish(str(len(self.body())))


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = self.clock = clocks.SystemClock()
        self.budgets = builders_budgets.make_budgets()
        self.services = http_base.CallerServices(
            current_configuration.CurrentConfiguration(clock),
            metrics.EntryMetrics(),
            clock,
            MAX_BODY_BYTES,
            LIMITS.max_open_requests,
            is_settled=lambda: True,
            budget=self.budgets.bytes,
        )
        self.lines = self.enterContext(testing.capture_logs())
        self.serve(LIMITS)

    def serve(self, limits: settings.Limits) -> None:
        """Start a server; later connections go to it."""
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        rules: list[status_server.Rule] = [
            (r"/healthz", status_server.HealthHandler, {}),
            (r"/admin/nothing", admin_api._NotFoundHandler, {}),
            (r"/v1/models", openai_api.ModelsHandler, {"services": self.services}),
            (r".*", AnsweringHandler, {"services": self.services}),
        ]
        server = http_server.serve(
            rules,
            None,
            limits,
            bound,
            builders_budgets.make_listener(),
            self.budgets,
            self.clock,
        )
        self.addCleanup(server.stop)

    async def open(
        self, sent: bytes, receive_bytes: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a new connection on which `sent` has been sent."""
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.setblocking(False)
        address = ("127.0.0.1", self.port)
        await asyncio.get_running_loop().sock_connect(connection, address)
        limit = receive_bytes or 65_536
        reader, writer = await asyncio.open_connection(sock=connection, limit=limit)
        self.addCleanup(writer.close)
        writer.write(sent)
        return reader, writer

    async def answer(self, sent: bytes) -> bytes:
        """Return all that arrives until the server closes the connection."""
        reader, _ = await self.open(sent)
        return await asyncio.wait_for(self.read_rest(reader), WAIT_S)

    async def read_rest(self, reader: asyncio.StreamReader) -> bytes:
        parts = []
        try:
            while part := await reader.read(65_536):
                parts.append(part)
        except ConnectionResetError:
            pass
        return b"".join(parts)

    async def until_idle(self) -> None:
        async with asyncio.timeout(WAIT_S):
            while (
                self.services.tasks
                or self.held_bytes
                or any("_execute" in repr(t.get_coro()) for t in asyncio.all_tasks())
            ):
                await asyncio.sleep(0.01)
        self.assertEqual(self.services.requests_by_id, {})

    @property
    def held_bytes(self) -> int:
        """Bytes that are held of bodies."""
        return self.budgets.bytes.held_by_holder[CALLERS]

    def events(self) -> list[str]:
        return [str(line["event"]) for line in self.lines]

    async def test_slow_headers_and_bodies_end_the_connection(self) -> None:
        post = b"POST /size HTTP/1.1\r\nHost: x\r\n"
        cases = (
            b"",
            b"GET /size HTTP/1.1\r\nX: ",
            post + b"Content-Length: 100\r\n\r\n" + b"x" * 99,
            post + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        )
        for sent in cases:
            with self.subTest(sent=sent):
                self.assertEqual(await self.answer(sent), b"")
                await self.until_idle()
                self.assertEqual(self.events(), [])

    async def test_a_slow_body_is_ended_by_the_total_time_limit(self) -> None:
        head = b"POST /size HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
        reader, writer = await self.open(head)
        closed = asyncio.ensure_future(self.read_rest(reader))
        async with asyncio.timeout(WAIT_S):
            while not closed.done():
                writer.write(b"x")
                await asyncio.sleep(0.02)
        self.assertEqual(closed.result(), b"")
        await self.until_idle()

    async def test_a_caller_that_never_reads_is_disconnected(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        head = b"GET /endless HTTP/1.1\r\nHost: x\r\n\r\n"
        reader, _ = await self.open(head, receive_bytes=4_096)
        async with asyncio.timeout(WAIT_S):
            while "caller does not read" not in self.events():
                await asyncio.sleep(0.01)
        await self.until_idle()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 8 * http_sink.MAX_UNSENT_EVENT_BYTES)
        received = await asyncio.wait_for(self.read_rest(reader), WAIT_S)
        self.assertLess(len(received), ENDLESS_PIECES * len(PIECE))
        self.assertNotIn(b"0\r\n\r\n", received[-5:])

    async def test_an_answer_larger_than_the_buffers_arrives_completely(self) -> None:
        head = b"GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        reader, _ = await self.open(head, receive_bytes=4_096)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.services.tasks), 1, "open until it is read")
        received = await asyncio.wait_for(self.read_rest(reader), WAIT_S)
        _, _, body = received.partition(b"\r\n\r\n")
        self.assertEqual(body.count(b"x"), 256 * len(PIECE))
        self.assertTrue(received.endswith(b"0\r\n\r\n"))
        await self.until_idle()

    async def test_failures_before_the_first_byte_are_problem_documents(self) -> None:
        head = b"GET /fail HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        received = await self.answer(head)
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "))
        self.assertIn(b'"ran": "unknown"', received)
        self.assertIn("handler failed", self.events())
        await self.until_idle()

    async def test_failures_after_the_first_byte_leave_the_answer_incomplete(
        self,
    ) -> None:
        for path in (b"/fail-late", b"/refuse-late"):
            with self.subTest(path):
                head = b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n"
                received = await self.answer(head)
                self.assertIn(b"200 OK", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                await self.until_idle()

    async def test_too_many_open_requests_are_refused(self) -> None:
        head = b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"
        opened = [await self.open(head) for _ in range(LIMITS.max_open_requests)]
        async with asyncio.timeout(WAIT_S):
            while len(self.services.tasks) < LIMITS.max_open_requests:
                await asyncio.sleep(0.01)
        last = b"GET /size HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        received = await self.answer(last)
        self.assertTrue(received.startswith(b"HTTP/1.1 429 "))
        self.assertIn(b"Retry-After: 1\r\n", received)
        for _, writer in opened:
            writer.close()
        await self.until_idle()

    async def test_the_memory_of_large_bodies_is_bounded(self) -> None:
        head = b"POST /size HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        size = 64 * MAX_BODY_BYTES
        chunk = b"4000\r\n" + PIECE + b"\r\n"
        chunks = chunk * (size // len(PIECE)) + b"0\r\n\r\n"
        cases = (
            head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size,
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks,
        )
        self.serve(LIMITS.model_copy(update={"body_timeout_ms": 10_000}))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for sent in cases:
            reader, writer = await self.open(b"")
            buffered_bytes = 0
            tracemalloc.reset_peak()
            start_bytes, _ = tracemalloc.get_traced_memory()
            for at in range(0, len(sent), len(PIECE)):
                writer.write(sent[at : at + len(PIECE)])
                await writer.drain()
                buffered_bytes = max(buffered_bytes, self.held_bytes)
            received = await asyncio.wait_for(self.read_rest(reader), WAIT_S)
            _, peak_bytes = tracemalloc.get_traced_memory()
            self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received[:40])
            self.assertLessEqual(buffered_bytes, MAX_BODY_BYTES)
            self.assertLess(peak_bytes - start_bytes, size // 2)
            await self.until_idle()

    async def test_paths_without_a_body_do_not_buffer_one(self) -> None:
        self.serve(LIMITS.model_copy(update={"body_timeout_ms": 10_000}))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for path, status in ((b"/healthz", b"405"), (b"/admin/nothing", b"404")):
            with self.subTest(path):
                head = b"POST " + path + b" HTTP/1.1\r\nHost: x\r\n"
                reader, writer = await self.open(head)
                size = 1_024 * len(PIECE)
                writer.write(b"Connection: close\r\nContent-Length: %d\r\n\r\n" % size)
                tracemalloc.reset_peak()
                with contextlib.suppress(ConnectionError):
                    for _ in range(size // len(PIECE)):
                        writer.write(PIECE)
                        await writer.drain()
                received = await asyncio.wait_for(self.read_rest(reader), WAIT_S)
                _, peak_bytes = tracemalloc.get_traced_memory()
                self.assertIn(received[:13], (b"HTTP/1.1 " + status + b" ", b""))
                self.assertLess(peak_bytes, size // 4)

    async def test_a_refusal_known_from_the_head_waited_for_the_body(self) -> None:
        """A body without an API key was read and held before the key was looked at."""
        size = MAX_BODY_BYTES - 1
        reader, _ = await self.open(
            b"GET /v1/models HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
        )
        received = await asyncio.wait_for(reader.read(4_096), WAIT_S)
        self.assertTrue(received.startswith(b"HTTP/1.1 401 "), received[:40])
        self.assertIn(b"Connection: close\r\n", received)
        self.assertEqual(self.held_bytes, 0)

    async def test_all_bodies_together_are_bounded(self) -> None:
        self.serve(LIMITS.model_copy(update={"body_timeout_ms": 10_000}))
        held = self.budgets.bytes.limit_by_holder[CALLERS] - 10
        self.budgets.bytes.try_hold(CALLERS, held)
        head = b"POST /size HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        received = await self.answer(head + b"Content-Length: 11\r\n\r\n" + b"x" * 11)
        self.assertTrue(received.startswith(b"HTTP/1.1 429 "), received[:40])
        received = await self.answer(head + b"Content-Length: 10\r\n\r\n" + b"x" * 10)
        self.assertTrue(received.endswith(b"\r\n\r\n10"), received[-40:])
        self.budgets.bytes.release(CALLERS, held)
        await self.until_idle()
