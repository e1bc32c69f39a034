"""Answers whose status is none, or that end early without a declared length."""

import asyncio
import socket
import struct
from typing import Final
from unittest import mock

from quincecrank.gateway import crash_monitor, servers
from tests import builders_gateway as builders
from tests import gateway_case as case
from tests import test_broken_answers

UNFRAMED: Final = f"HTTP/1.1 200 OK\r\n{case.SEAL}Request-Id: q-1\r\n\r\n".encode()
UNFRAMED_FAILURE: Final = UNFRAMED.replace(b"200 OK", b"500 X")
UPLOAD_BYTES: Final = 8_000_000
"""Length of a body that is not written at once to a server that does not read."""

STEP_S: Final = 0.05
"""Time between two steps of a server."""


class StatusTest(case.GatewayCase):
    """A status outside of 100 to 599 was passed on as an answer."""

    async def test_an_invalid_status_is_no_answer(self) -> None:
        for status in ("000", "099", "600", "999"):
            with self.subTest(status):
                head = f"HTTP/1.1 {status} X\r\n{case.SEAL}Content-Length: 2\r\n\r\nno"
                name = f"i-{status}"
                await self.add_server(case.sends(head.encode()), server_id=name)
                got = await self.ask("/record/", b"once")
                self.remove_server(name)
                self.assertNotIn(got.status, (0, int(status)))
                self.assertEqual(got.status, 502)

    async def test_another_server_answers_a_repeatable_request(self) -> None:
        head = f"HTTP/1.1 000 X\r\n{case.SEAL}Content-Length: 2\r\n\r\nno"
        for number in range(2):
            script = case.sends(head.encode())
            if number:
                script = case.sends(case.answer("sound"))
            await self.add_server(script)
        for _ in range(4):
            got = await self.ask("/look/")
            self.assertEqual((got.status, got.body), (200, b"sound"))

    async def test_a_stream_with_an_invalid_status_is_no_answer(self) -> None:
        answer = case.stream_head().replace(b"200 OK", b"000 X")
        events = case.chunk(test_broken_answers.EVENTS[0]) + case.chunk("")
        await self.add_server(case.sends(answer + events), service="drafting")
        got = await self.ask("/draft/", b"prompt", **test_broken_answers.PROMPT)
        self.assertEqual(got.status, 502)


class EarlyAnswerServer:
    """A server that answers before it has read the body of a request.

    Parameters
    ----------
    closes_first : bool
        Whether it closes its direction in order before it resets the connection.
    """

    def __init__(self, answer: bytes, *, closes_first: bool) -> None:
        self._answer = answer
        self._closes_first = closes_first
        self._listener = socket.socket()
        # The rest of the body stays in the gateway.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def serve(self) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listener)
        await loop.sock_recv(connection, 256)
        await loop.sock_sendall(connection, self._answer)
        await asyncio.sleep(STEP_S)
        if self._closes_first:
            connection.shutdown(socket.SHUT_WR)
            await asyncio.sleep(STEP_S)
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


class UnframedAnswerTest(case.GatewayCase):
    """A part of an answer without a length was passed on as the whole answer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = builders.make_configuration_document(8)
        document["limits"]["maxBodyBytes"] = UPLOAD_BYTES
        self.configure_from(document)
        self.has_server_ended = False
        self.forwarder.is_running = self.is_running

    async def is_running(self, _server: servers.ServerEntry) -> bool:
        return not self.has_server_ended

    async def test_an_answer_of_a_sound_server_is_complete(self) -> None:
        await self.add_server(case.sends_and_closes(UNFRAMED + b"whole"))
        got = await self.ask("/record/", b"once")
        self.assertEqual((got.status, got.body, got.is_complete), (200, b"whole", True))

    async def test_an_answer_that_ends_with_its_head_was_taken_as_cut(self) -> None:
        """It is whole without a length, also if its server crashes afterwards."""
        self.has_server_ended = True
        head = UNFRAMED.replace(b"200 OK", b"204 No Content")
        await self.add_server(case.sends_and_closes(head))
        got = await self.ask("/record/", b"once")
        self.assertEqual((got.status, got.is_complete), (204, True))

    async def test_an_answer_of_a_server_that_crashed_is_not(self) -> None:
        self.has_server_ended = True
        for answer in (UNFRAMED, UNFRAMED_FAILURE):
            for path, body in (("/record/", b"once"), ("/look/", b"")):
                with self.subTest(f"{path} {answer[:14]!r}"):
                    name = f"i-{len(self.servers)}"
                    script = case.sends_and_closes(answer + b"part")
                    await self.add_server(script, server_id=name)
                    got = await self.ask(path, body)
                    self.remove_server(name)
                    self.assertEqual(got.status, 502)

    async def test_a_server_that_does_not_answer_counted_as_alive(self) -> None:
        """The host of a server may be lost together with it."""
        nothing = mock.Mock()
        monitor = crash_monitor.CrashMonitor(
            self.fleet, self.crashes, nothing, nothing, nothing, nothing, self.clock
        )
        self.forwarder.is_running = monitor.is_running
        await self.add_server(case.sends_and_closes(UNFRAMED + b"part"))
        with mock.patch.object(crash_monitor, "server_links") as links:
            links.connect = mock.AsyncMock(side_effect=TimeoutError)
            got = await self.ask("/record/", b"once")
        links.connect.assert_awaited_once()
        self.assertEqual(got.status, 502)

    async def test_a_server_whose_process_was_ending_counted_as_alive(self) -> None:
        """Its listening socket accepts until after its connections are closed."""
        nothing = mock.Mock()
        monitor = crash_monitor.CrashMonitor(
            self.fleet, self.crashes, nothing, nothing, nothing, nothing, self.clock
        )
        self.forwarder.is_running = monitor.is_running
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        entry = builders.make_entry(
            "i-1", service=builders.PLAIN, address=address, weights=None
        )
        self.fleet.registry.update(entry)

        async def serve() -> None:
            loop = asyncio.get_running_loop()
            connection, _ = await loop.sock_accept(listener)
            await loop.sock_recv(connection, 4_096)
            await loop.sock_sendall(connection, UNFRAMED + b"part")
            connection.close()
            await asyncio.sleep(crash_monitor.ACCEPT_CHECK_MS / 4_000)
            listener.close()

        serving = asyncio.ensure_future(serve())
        got = await self.ask("/record/", b"once")
        await serving
        self.assertEqual(got.status, 502)

    async def test_an_answer_before_the_end_of_an_upload(self) -> None:
        for closes_first in (True, False):
            with self.subTest(closes_first):
                server = EarlyAnswerServer(
                    UNFRAMED + b"part", closes_first=closes_first
                )
                entry = builders.make_entry(
                    "i-1", service=builders.PLAIN, address=server.address, weights=None
                )
                self.fleet.registry.update(entry)
                serving = asyncio.ensure_future(server.serve())
                got = await self.ask("/record/", b"x" * UPLOAD_BYTES)
                self.assertFalse(got.status == 200 and got.is_complete)
                await serving
                server.stop()
                self.remove_server("i-1")
