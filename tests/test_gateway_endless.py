"""Tests of answers without an end, from backend servers, stores, engines and peers.

A faulty sender repeats bytes that never complete an answer.  Each reader must end the
connection at a limit, in little memory.
"""

import asyncio
import contextlib
import json
import time
import tracemalloc
import unittest
import zlib
from collections.abc import Awaitable, Callable

from tornado import web

from quincecrank import clock as clocks
from quincecrank import json_text, store_rows
from quincecrank.gateway import event_stream, peer_calls, row_download, server_links
from quincecrank.platform import documents, engines, store
from tests import builders_gateway as builders
from tests import gateway_case as case

SENT_BYTES = 24 * 1024 * 1024
"""Most bytes that a server sends if its connection is not closed."""

MAX_GROWTH_BYTES = 4 * 1024 * 1024
"""Limit of the growth of memory while an answer is read."""

PIECE_BYTES = 64 * 1024

PATIENT_MS = 60_000
"""Time limit of a route whose answer must not end by it."""

PIECES_READ = 64
"""Pieces that a caller reads before it disconnects."""

OK = "HTTP/1.1 200 OK\r\n"
SEALED = OK + "Server-Seal: s\r\nRequest-Id: q-1\r\n"
CHUNKED = SEALED + "Transfer-Encoding: chunked\r\n\r\n"
STREAM_PROMPT = {"Model": "model-a", "Token_Count": "100,5", "Prompt_Prefix": "a:60"}

ENDLESS_ANSWER_BY_NAME = {
    "head": (OK, b"X-A: " + b"a" * 1_000 + b"\r\n"),
    "header line": (OK + "X-A: ", b"a" * PIECE_BYTES),
    "status line": ("", b"a" * PIECE_BYTES),
    "interim answers": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "size of a chunk": (CHUNKED, b"0" * PIECE_BYTES),
    "extension of a chunk": (CHUNKED + "5;", b"a" * PIECE_BYTES),
    "trailers": (CHUNKED + "0\r\n", b"X-A: b\r\n" * 1_000),
    "failure in chunks": (
        CHUNKED.replace("200 OK", "500 No"),
        b"10000\r\n" + b"a" * PIECE_BYTES + b"\r\n",
    ),
    "other answers": ("", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 100),
}
"""Beginning of an answer, and the piece that is repeated without an end."""


class EndlessScript:
    """Sends a beginning, then repeats a piece until the connection is closed.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent so far, without the beginning; at most about `SENT_BYTES`.
    closed : Event
        Set when the other side has closed the connection.
    """

    def __init__(self, beginning: str, piece: bytes) -> None:
        self._beginning = beginning.encode()
        self._piece = piece
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def __call__(
        self, _request: case.ReceivedRequest | None, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        writer.write(self._beginning)
        repeated = self._piece * max(1, PIECE_BYTES // len(self._piece))
        try:
            while self.sent_bytes < SENT_BYTES:
                writer.write(repeated)
                await writer.drain()
                self.sent_bytes += len(repeated)
        except ConnectionError:
            self.closed.set()


async def growth_bytes(work: Callable[[], Awaitable[None]]) -> int:
    """Return the growth of the peak of allocated memory while `work` runs."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        await work()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return peak - before


class EndlessAnswerTest(case.GatewayCase):
    async def test_endless_bytes_fail_the_request_in_little_memory(self) -> None:
        for name, (beginning, piece) in ENDLESS_ANSWER_BY_NAME.items():
            with self.subTest(name):
                await self._check(name, beginning, piece)

    async def _check(self, name: str, beginning: str, piece: bytes) -> None:
        script = EndlessScript(beginning, piece)
        server_id = f"i-{name}"
        await self.add_server(script, server_id=server_id)

        async def ask() -> None:
            got = await self.ask("/record/", b"once")
            self.assertEqual(got.status, 502)
            self.assertNotIn("Retry-After", got.headers)

        self.assertLess(await growth_bytes(ask), MAX_GROWTH_BYTES)
        self.assertLess(script.sent_bytes, SENT_BYTES)
        self.remove_server(server_id)

    async def test_a_body_without_a_length_is_passed_on_until_the_caller_disconnects(
        self,
    ) -> None:
        script = EndlessScript(SEALED + "\r\n", b"a" * PIECE_BYTES)
        await self.add_server(script)
        caller = await case.Caller.connect(self.port)

        async def ask() -> None:
            await caller.send("/record/", b"once")
            for _ in range(PIECES_READ):
                await caller.reader.readexactly(PIECE_BYTES)
            caller.close()
            await asyncio.wait_for(script.closed.wait(), case.WAIT_S)

        self.assertLess(await growth_bytes(ask), MAX_GROWTH_BYTES)
        self.assertLess(script.sent_bytes, SENT_BYTES)

    async def test_a_long_answer_is_passed_on_in_little_memory(self) -> None:
        # A complete answer of eight megabytes in chunks.
        count = 128
        body = b"10000\r\n" + b"a" * PIECE_BYTES + b"\r\n"

        async def script(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(CHUNKED.encode())
            for _ in range(count):
                writer.write(body)
                await writer.drain()
            writer.write(b"0\r\n\r\n")

        document = builders.make_configuration_document(8)
        document["routes"][2]["timeoutMs"] = PATIENT_MS
        self.configure_from(document)
        await self.add_server(script)
        caller = await case.Caller.connect(self.port)
        received = 0

        async def ask() -> None:
            nonlocal received
            await caller.send("/record/", b"once", Deadline_Ms=str(PATIENT_MS))
            end = b""
            while not end.endswith(b"\r\n0\r\n\r\n"):
                piece = await caller.reader.read(PIECE_BYTES)
                self.assertNotEqual(piece, b"", "the connection ended")
                received += len(piece)
                end = (end + piece)[-16:]

        self.assertLess(await growth_bytes(ask), MAX_GROWTH_BYTES)
        self.assertGreater(received, count * PIECE_BYTES)
        caller.close()

    async def test_a_long_answer_that_breaks_off_never_looks_complete(self) -> None:
        beginning = CHUNKED.encode() + b"200000\r\n" + b"a" * 0x180000
        await self.add_server(case.sends_and_closes(beginning))
        caller = await case.Caller.connect(self.port)
        await caller.send("/record/", b"once")
        received = await asyncio.wait_for(caller.reader.read(), case.WAIT_S)
        self.assertNotIn(b"\r\n0\r\n\r\n", received[-16:])
        caller.close()

    async def test_a_long_answer_that_breaks_off_is_not_retried(self) -> None:
        # The route allows a second server, and the request may be repeated.
        beginning = CHUNKED.encode() + b"200000\r\n" + b"a" * 0x180000
        for number in range(2):
            await self.add_server(
                case.sends_and_closes(beginning), server_id=f"i-{number}"
            )
        caller = await case.Caller.connect(self.port)
        await caller.send("/look/", b"")
        received = await asyncio.wait_for(caller.reader.read(), case.WAIT_S)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertEqual(sum(len(each.received) for each in self.servers), 1)
        caller.close()

    async def test_an_event_without_an_end_aborts_the_stream(self) -> None:
        head = CHUNKED.replace(
            "\r\n\r\n", "\r\nContent-Type: text/event-stream\r\n\r\n"
        )
        first = "f\r\nid: 1\ndata: a\n\n\r\n"
        piece = b"10000\r\n" + b"a" * PIECE_BYTES + b"\r\n"
        script = EndlessScript(head + first, piece)
        await self.add_server(script, service=builders.LLM)
        caller = await case.Caller.connect(self.port)

        async def ask() -> None:
            await caller.send("/draft/", b"p", **STREAM_PROMPT)
            received = await asyncio.wait_for(caller.reader.read(), case.WAIT_S)
            self.assertNotIn(b"\r\n0\r\n\r\n", received)

        self.assertLess(await growth_bytes(ask), MAX_GROWTH_BYTES)
        self.assertLess(script.sent_bytes, SENT_BYTES)
        caller.close()


class EventSplitterTest(unittest.TestCase):
    def test_the_size_of_an_event_is_limited(self) -> None:
        splitter = event_stream.EventSplitter()
        piece = b"data: " + b"a" * PIECE_BYTES
        with self.assertRaises(server_links.AnswerLimitError):
            for _ in range(event_stream.MAX_EVENT_BYTES // PIECE_BYTES + 1):
                splitter.feed(piece)


class EndlessCallTest(unittest.IsolatedAsyncioTestCase):
    """Calls to stores, engines and peers whose answers never end."""

    async def asyncSetUp(self) -> None:
        self.beginning = ""
        self.piece = b"a"
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.script = EndlessScript(self.beginning, self.piece)
        await self.script(None, writer)
        writer.close()

    async def check(self, work: Callable[[], Awaitable[object]]) -> None:
        """Run `work` against each endless answer; check its memory and bytes sent."""
        for name, (beginning, piece) in ENDLESS_ANSWER_BY_NAME.items():
            with self.subTest(name):
                self.beginning, self.piece = beginning, piece

                async def call() -> None:
                    await work()

                self.assertLess(await growth_bytes(call), MAX_GROWTH_BYTES)
                self.assertLess(self.script.sent_bytes, SENT_BYTES)

    async def test_the_store(self) -> None:
        client = store.PlatformStore(f"http://127.0.0.1:{self.port}")

        async def read() -> None:
            with self.assertRaises(store_rows.StoreUnavailableError):
                await client.read("op")

        await self.check(read)

    async def test_cache_events(self) -> None:
        async def read() -> None:
            channel = engines.CacheEventReader(
                f"127.0.0.1:{self.port}", clocks.SystemClock()
            )
            with self.assertRaises(engines.EngineCallError):
                await channel.events(0)
            channel.close()

        await self.check(read)

    async def test_reports_of_engines(self) -> None:
        calls = engines.FleetEngineClient()

        async def read() -> None:
            with self.assertRaises(engines.EngineCallError):
                await calls.report(f"127.0.0.1:{self.port}")

        await self.check(read)

    async def test_peers(self) -> None:
        calls = peer_calls.PeerCalls(self.port, 1_000)

        async def read() -> None:
            # One of the cases begins with a complete empty answer.
            with contextlib.suppress(peer_calls.PeerCallError):
                self.assertEqual(await calls.get("127.0.0.1", "/cache"), b"")

        await self.check(read)

    async def test_rows_of_peers(self) -> None:
        async def read() -> None:
            with contextlib.suppress(peer_calls.PeerCallError):
                document = await asyncio.to_thread(
                    row_download.download, "127.0.0.1", self.port, "/tables/op", 1_000
                )
                self.assertEqual(document, b"")

        await self.check(read)

    async def test_rows_of_a_peer_that_never_ends_its_answer(self) -> None:
        """Each byte arrives within the limit of the whole call."""

        async def trickle(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"a")
                    await writer.drain()
                    await asyncio.sleep(0.05)

        server = await asyncio.start_server(trickle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        began_s = time.monotonic()
        with self.assertRaises(peer_calls.PeerCallError):
            await asyncio.to_thread(
                row_download.download, "127.0.0.1", port, "/tables/op", 300
            )
        self.assertLess(time.monotonic() - began_s, 1.0)
        server.close()


class CompressedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_that_decompresses_to_a_large_size_is_rejected(
        self,
    ) -> None:
        compressor = zlib.compressobj(9, zlib.DEFLATED, 16 + zlib.MAX_WBITS)
        compressed = compressor.compress(bytes(16 * 1024 * 1024)) + compressor.flush()

        class Handler(web.RequestHandler):
            def get(self) -> None:
                self.set_header("Content-Encoding", "gzip")
                self.finish(compressed)

        server = web.Application([("/cache", Handler)]).listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        calls = peer_calls.PeerCalls(port, 1_000)
        with self.assertRaises(peer_calls.PeerCallError):
            await calls.get("127.0.0.1", "/cache")
        server.stop()


class JsonTest(unittest.TestCase):
    def test_every_invalid_text_raises_a_value_error(self) -> None:
        texts = (
            "[" * 100_000,
            '{"a":' * 100_000,
            "1e999",
            "NaN",
            "-Infinity",
            "9" * 30,
            "9" * 5_000,
            "",
            "\ud800",
        )
        for text in texts:
            with self.subTest(text[:10]), self.assertRaises(ValueError):
                json_text.parse(text)

    def test_valid_texts_are_parsed(self) -> None:
        self.assertEqual(
            json_text.parse('{"a": [1, 2.5, null]}'), {"a": [1, 2.5, None]}
        )

    def test_an_entry_with_an_impossible_port_or_number_is_rejected(self) -> None:
        valid = builders.make_entry_document()
        documents.server_entry("i-1", json.dumps(valid))
        for name, value in (
            ("address", "10.0.0.1:70000"),
            ("address", "10.0.0.1:²"),
            ("born", 10**30),
            ("slots", 10**30),
        ):
            with self.subTest(name), self.assertRaises(documents.DocumentError):
                documents.server_entry("i-1", json.dumps({**valid, name: value}))


if __name__ == "__main__":
    unittest.main()
