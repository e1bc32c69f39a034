"""Tests of open streams whose time limit, or whose gateway's grace time, ends."""

import asyncio
import socket
import time
from typing import Any, Final

from quincecrank.gateway import deployment, forwarding
from tests import builders_gateway as builders
from tests import builders_standstill as standstill
from tests import gateway_case as case

GRACE_MS: Final = 8_000
EVENTS: Final = 12
PATH: Final = "/draft/long/"
ROUTE: Final = deployment.RouteName("r-2")
PROMPT: Final = {
    "Model": "model-a",
    "Token_Count": f"100,{EVENTS}",
    "Prompt_Prefix": "a:60,b:40",
}
LONG_EVENT_BYTES: Final = 200_000


def event(number: int, size: int = 1) -> str:
    """Return an event with its number as id."""
    return f"id: {number}\ndata: {'x' * size}\n\n"


def allow_attempts(document: dict[str, Any], count: int) -> None:
    """Set the number of attempts of the route of these tests."""
    for route in document["routes"]:
        if route["name"] == ROUTE:
            route["maxAttempts"] = count


class StreamCase(case.GatewayCase):
    """Base of tests with one stream whose server is controlled by the test."""

    async def open_stream(self, **headers: str) -> case.Caller:
        """Begin a stream and read its first event."""
        caller = await case.Caller.connect(self.port)
        await caller.send(PATH, b"prompt", **PROMPT, **headers)
        first = event(1).encode()
        await asyncio.wait_for(caller.reader.readuntil(first), case.WAIT_S)
        return caller

    async def read_rest(self, caller: case.Caller) -> bytes:
        """Read up to the end of the connection."""
        data = b""
        try:
            async with asyncio.timeout(case.WAIT_S):
                while received := await caller.reader.read(65_536):
                    data += received
                    if data.endswith(b"\r\n0\r\n\r\n"):
                        break
        except ConnectionError:
            pass
        caller.close()
        return data

    def send_unread(self, data: bytes) -> None:
        """Send bytes of the server without letting the loop run."""
        self.server_socket.sendall(data)

    async def begin(
        self, _request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Script of a server that sends the first event and waits."""
        writer.write(case.stream_head() + case.chunk(event(1)))
        await writer.drain()
        raw: socket.socket = writer.get_extra_info("socket")
        self.server_socket = socket.fromfd(raw.fileno(), raw.family, raw.type)
        self.server_socket.setblocking(True)
        self.addCleanup(self.server_socket.close)
        await asyncio.sleep(case.WAIT_S)


class UnreadEventsTest(StreamCase):
    """The last events and the end arrive while the loop stands still at the limit."""

    async def receive_after_stop(self, stopped_s: float, **headers: str) -> bytes:
        await self.add_server(self.begin, service="drafting")
        caller = await self.open_stream(**headers)
        for number in range(2, EVENTS + 1):
            self.send_unread(case.chunk(event(number)))
        self.send_unread(case.chunk(""))
        time.sleep(stopped_s)
        return await self.read_rest(caller)

    def check_complete(self, received: bytes) -> None:
        self.assertEqual(received.count(b"id: "), EVENTS - 1)
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))

    async def test_an_answer_that_had_arrived_was_cut_at_its_time_limit(self) -> None:
        """The limit was due in the same step of the loop and acted first."""
        received = await self.receive_after_stop(0.5, Deadline_Ms="400")
        self.check_complete(received)

    async def test_an_answer_that_had_arrived_was_cut_by_a_shutdown(self) -> None:
        """The limit of the shutdown was due in the same step and acted first."""
        self.fleet.shutdown = builders.make_shutdown(0, GRACE_MS)
        limit_ms = self.fleet.shutdown.answer_limit_ms
        signalled_ms = self.clock.now_ms() + 300 - limit_ms
        await self.add_server(self.begin, service="drafting")
        self.fleet.shutdown = None
        caller = await self.open_stream()
        self.fleet.shutdown = builders.make_shutdown(signalled_ms, GRACE_MS)
        for number in range(2, EVENTS + 1):
            self.send_unread(case.chunk(event(number)))
        self.send_unread(case.chunk(""))
        time.sleep(0.5)
        self.check_complete(await self.read_rest(caller))


class StandstillTest(StreamCase):
    async def test_a_stopped_process_took_its_servers_for_silent(self) -> None:
        """Each stream went to a second server, although its events had arrived."""
        document = builders.make_configuration_document(8)
        allow_attempts(document, 2)
        self.configure_from(document)
        events = "".join(map(event, range(1, EVENTS + 1)))
        whole = case.stream_head("q-0") + case.chunk(events) + case.chunk("")
        other = await self.add_server(
            case.sends(whole), case.stays_silent, service="drafting"
        )
        # Leaves an idle link, which is used without waiting for a connection.
        got = await self.ask(PATH, b"prompt", **PROMPT, Request_Id="q-0")
        self.assertTrue(got.is_complete)
        health = self.fleet.health.health_of(self.fleet.registry.entries()[0])
        health.record_pause_request(self.clock.now_ms(), 400)
        await self.add_server(self.begin, service="drafting")
        caller = await self.open_stream(Deadline_Ms="3000")
        self.send_unread(case.chunk(event(2)))
        standstill.stand_still(forwarding.STREAM_SILENCE_MS + 300)
        await asyncio.sleep(0.1)
        self.send_unread(case.chunk(event(3)) + case.chunk(""))
        received = await self.read_rest(caller)
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"))
        self.assertEqual(len(other.received), 1)


class ResumedRunTest(StreamCase):
    async def test_a_stream_with_little_left_was_cut_as_its_server_left(self) -> None:
        """Whether it may go on was decided by the time of a whole answer."""

        async def resume(
            request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            first = int(request.headers["Last-Event-Id"]) + 1
            events = "".join(map(event, range(first, EVENTS + 1)))
            writer.write(case.stream_head() + case.chunk(events) + case.chunk(""))

        document = builders.make_configuration_document(8)
        allow_attempts(document, 2)
        self.configure_from(document)
        for number in range(8):
            self.fleet.answer_times.record(ROUTE, 6_000 + number)
        leaving = await self.add_server(self.begin, service="drafting")
        caller = await self.open_stream(Deadline_Ms="3000")
        other = await self.add_server(resume, service="drafting")
        events = "".join(map(event, range(2, EVENTS)))
        self.send_unread(case.chunk(events))
        expected = case.chunk(events)
        got = await asyncio.wait_for(
            caller.reader.readuntil(event(EVENTS - 1).encode()), case.WAIT_S
        )
        self.assertEqual(got.count(b"id: "), expected.count(b"id: "))
        signalled_ms = self.clock.now_ms() - GRACE_MS // 2
        self.fleet.shutdown = builders.make_shutdown(signalled_ms, GRACE_MS)
        self.server_socket.shutdown(socket.SHUT_RDWR)
        received = await self.read_rest(caller)
        self.assertEqual((len(leaving.received), len(other.received)), (1, 1))
        self.assertTrue(received.endswith(event(EVENTS).encode() + b"\r\n0\r\n\r\n"))


class UnsentEventsTest(StreamCase):
    async def test_events_for_a_slow_caller_were_dropped_with_the_cut(self) -> None:
        """What the process held for the caller was lost in the middle of an event."""
        await self.add_server(self.begin, service="drafting")
        caller = await self.open_stream(Deadline_Ms="500")
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        loop = asyncio.get_running_loop()
        count = 0
        self.server_socket.setblocking(False)
        deadline = time.monotonic() + 0.4
        while time.monotonic() < deadline:
            count += 1
            chunk = case.chunk(event(1 + count, LONG_EVENT_BYTES))
            sending = loop.sock_sendall(self.server_socket, chunk)
            try:
                await asyncio.wait_for(sending, deadline - time.monotonic())
            except TimeoutError:
                break
        await asyncio.sleep(0.3)
        caller.writer.transport.resume_reading()  # type: ignore[attr-defined]
        received = await self.read_rest(caller)
        self.assertGreater(received.count(b"id: "), 2)
        self.assertFalse(received.endswith(b"\r\n0\r\n\r\n"))
        self.assertTrue(received.endswith(b"x\n\n\r\n"), received[-40:])
