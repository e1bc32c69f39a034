"""Races between a silent server, the server it may be replaced by, and the caller."""

import asyncio
import contextlib
import dataclasses
import socket
import time
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

from quincecrank import breaker
from quincecrank import clock as clocks
from quincecrank.gateway import forwarding, main
from quincecrank.gateway import servers as server_entries
from tests import builders_gateway as builders
from tests import gateway_case as case

PROMPT: Final = {
    "Model": builders.MODEL,
    "Token_Count": "30,3",
    "Prompt_Prefix": "aa:20,bb:10",
}
SILENCE_MS: Final = 200
EVENTS: Final = tuple(f"id: {number}\ndata: {number}\n\n" for number in range(1, 6))
COMPLETE: Final = "".join(EVENTS).encode()
UNFRAMED_HEAD: Final = (
    f"HTTP/1.1 200 OK\r\n{case.SEAL}Request-Id: q-1\r\n"
    "Content-Type: text/event-stream\r\n\r\n"
).encode()
LONG_BODY: Final = "x" * 1_000_000
FULL: Final = case.answer("full", head="Not-Executed: 1\r\n", status=503)


def by_turn(first: case.Script, later: case.Script) -> case.Script:
    """Return a script that runs `later` for resumed streams, else `first`."""

    async def script(
        request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        is_resumed = "Last-Event-Id" in request.headers
        await (later if is_resumed else first)(request, writer)

    return script


def after(pause_s: float, script: case.Script) -> case.Script:
    """Return a script that pauses before `script`."""

    async def paused(
        request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(pause_s)
        await script(request, writer)

    return paused


def sends_parts(*parts: tuple[float, bytes], closes: bool = False) -> case.Script:
    """Return a script that sends parts, each after a pause."""

    async def script(
        _request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        for pause_s, data in parts:
            await asyncio.sleep(pause_s)
            writer.write(data)
            await writer.drain()
        if closes:
            writer.close()

    return script


def rest_from(number: int) -> bytes:
    """Return a complete stream of the events from an index on."""
    chunks = b"".join(case.chunk(event) for event in EVENTS[number:])
    return case.stream_head() + chunks + case.chunk("")


async def goes_on(request: case.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send the events after the one that the request names."""
    writer.write(rest_from(int(request.headers["Last-Event-Id"])))
    await writer.drain()


async def until(is_true: Callable[[], bool], limit_s: float = 2.0) -> bool:
    """Wait until a condition holds; return whether it did within a limit."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while not is_true():
                await asyncio.sleep(0.01)
            return True
    return False


class RaceCase(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patched = mock.patch.object(forwarding, "STREAM_SILENCE_MS", SILENCE_MS)
        patched.start()
        self.addCleanup(patched.stop)
        document = builders.make_configuration_document(8)
        document["routes"][1] |= {"maxAttempts": 2, "targetLatencyMs": 50}
        self.configure_from(document)

    async def add_engines(self, *scripts: case.Script) -> None:
        for number, script in enumerate(scripts):
            await self.add_server(script, service="drafting", server_id=f"e-{number}")

    async def ask_stream(self) -> case.ReceivedAnswer:
        return await self.ask("/draft/long/", b"prompt", **PROMPT)

    def check_stream(self, got: case.ReceivedAnswer) -> None:
        self.assertEqual((got.status, got.body), (200, COMPLETE))
        self.assertTrue(got.is_complete)

    def received(self) -> int:
        return sum(len(server.received) for server in self.servers)

    async def check_all_released(self) -> None:
        self.assertTrue(
            await until(lambda: not self.fleet.loads.own_load_by_server()),
            self.fleet.loads.own_load_by_server(),
        )


class StreamRaceTest(RaceCase):
    async def test_next_server_was_passed_on_while_the_end_of_the_first_was_checked(
        self,
    ) -> None:
        """A silent server that ended left half an event before those of the next."""

        async def is_running(_server: object) -> bool:
            await asyncio.sleep(0.5)
            return False

        self.forwarder.is_running = is_running
        begun = UNFRAMED_HEAD + EVENTS[0].encode() + EVENTS[1][:5].encode()
        script = by_turn(
            sends_parts((0, begun), (0.5, b""), closes=True),
            sends_parts((0.4, rest_from(1))),
        )
        await self.add_engines(script, script)
        self.check_stream(await self.ask_stream())

    async def test_caller_that_left_during_a_check_left_the_next_server_working(
        self,
    ) -> None:
        """The request stayed at the next server, and kept its capacity for ever."""
        checked = asyncio.Event()

        async def is_running(_server: object) -> bool:
            checked.set()
            await asyncio.sleep(0.5)
            return True

        self.forwarder.is_running = is_running
        begun = UNFRAMED_HEAD + EVENTS[0].encode()
        script = by_turn(
            sends_parts((0, begun), (0.5, b""), closes=True), case.stays_silent
        )
        await self.add_engines(script, script)
        caller = await case.Caller.connect(self.port)
        await caller.send("/draft/long/", b"prompt", **PROMPT)
        await asyncio.wait_for(checked.wait(), case.WAIT_S)
        self.assertEqual(self.received(), 2)
        caller.close()
        await self.check_all_released()

    async def test_caller_that_leaves_ends_both_servers(self) -> None:
        script = by_turn(
            sends_parts((0, case.stream_head() + case.chunk(EVENTS[0])), (9, b"")),
            case.stays_silent,
        )
        await self.add_engines(script, script)
        caller = await case.Caller.connect(self.port)
        await caller.send("/draft/long/", b"prompt", **PROMPT)
        self.assertTrue(await until(lambda: self.received() == 2))
        caller.close()
        await self.check_all_released()

    async def test_time_limit_ends_both_servers(self) -> None:
        await self.add_engines(case.stays_silent, case.stays_silent)
        got = await self.ask("/draft/long/", b"prompt", Deadline_Ms="700", **PROMPT)
        self.assertEqual((got.status, self.received()), (504, 2))
        await self.check_all_released()

    async def test_error_with_the_first_answer_left_the_next_server_working(
        self,
    ) -> None:
        """An exception of the silent server's exchange left that of the next open."""
        record_head = self.forwarder._record_head

        def fail(active: Any, server: Any, head: Any, sent_ms: int) -> None:
            if server.server_id == slow[0]:
                raise KeyError(server.server_id)
            record_head(active, server, head, sent_ms)

        slow: list[str] = []

        def sends_late(server_id: str) -> case.Script:
            async def script(
                request: case.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                slow.append(server_id)
                if slow[0] != server_id:
                    await case.stays_silent(request, writer)
                await asyncio.sleep(0.5)
                writer.write(rest_from(0))

            return script

        await self.add_engines(sends_late("e-0"), sends_late("e-1"))
        with mock.patch.object(self.forwarder, "_record_head", fail):
            await self.ask_stream()
            self.assertEqual(self.received(), 2)
            await self.check_all_released()

    async def test_error_with_the_next_answer_broke_off_the_first(self) -> None:
        """An exception of the next server's exchange ended the answer of the first."""
        record_head = self.forwarder._record_head

        def fail(active: Any, server: Any, head: Any, sent_ms: int) -> None:
            if active.sends == 2:
                raise KeyError(server.server_id)
            record_head(active, server, head, sent_ms)

        begun = case.stream_head() + case.chunk(EVENTS[0])
        rest = b"".join(case.chunk(event) for event in (*EVENTS[1:], ""))
        script = by_turn(
            sends_parts((0, begun), (0.6, rest)), sends_parts((0, rest_from(1)))
        )
        await self.add_engines(script, script)
        with mock.patch.object(self.forwarder, "_record_head", fail):
            self.check_stream(await self.ask_stream())

    async def test_error_in_the_choice_of_the_next_server_broke_off_the_first(
        self,
    ) -> None:
        """The answer that was being received ended with the exception."""
        begun = case.stream_head() + case.chunk(EVENTS[0])
        rest = b"".join(case.chunk(event) for event in (*EVENTS[1:], ""))
        await self.add_engines(sends_parts((0, begun), (0.6, rest)))
        with mock.patch.object(self.dispatcher, "place_now", side_effect=KeyError):
            self.check_stream(await self.ask_stream())

    async def test_odd_address_of_the_next_server_broke_off_the_first(self) -> None:
        """An address that can't be connected to ended the answer that had begun."""
        begun = case.stream_head() + case.chunk(EVENTS[0])
        rest = b"".join(case.chunk(event) for event in (*EVENTS[1:], ""))
        await self.add_engines(sends_parts((0, begun), (0.6, rest)))
        caller = await case.Caller.connect(self.port)
        await caller.send("/draft/long/", b"prompt", **PROMPT)
        self.assertTrue(await until(lambda: self.received() == 1))
        self.fleet.registry.update(
            builders.make_entry("e-1", address="127.0.0.\udc80:80")
        )
        self.check_stream(await caller.receive())

    async def test_head_without_events_replaced_a_server_that_went_on(self) -> None:
        """A head alone counted as the begin of the answer of the next server."""
        begun = case.stream_head() + case.chunk(EVENTS[0])
        rest = b"".join(case.chunk(event) for event in (*EVENTS[1:], ""))
        script = by_turn(
            sends_parts((0, begun), (0.6, rest)),
            sends_parts((0, case.stream_head()), (9, b"")),
        )
        await self.add_engines(script, script)
        self.check_stream(await self.ask_stream())

    async def test_server_that_was_not_needed_was_left_out_later(self) -> None:
        """A server to which nothing was sent counted as tried."""
        connect = self.fleet.links.connect

        async def connect_slowly(
            server: server_entries.ServerEntry, timeout_ms: float
        ) -> Any:
            if self.received():
                await asyncio.sleep(0.2)
            return await connect(server, timeout_ms)

        begun = case.stream_head() + case.chunk(EVENTS[0])
        script = by_turn(
            sends_parts(
                (0, begun),
                (0.4, case.chunk(EVENTS[1])),
                (0.15, b""),
                closes=True,
            ),
            goes_on,
        )
        await self.add_engines(script, script)
        with mock.patch.object(self.fleet.links, "connect", connect_slowly):
            self.check_stream(await self.ask_stream())

    async def test_first_event_within_the_same_millisecond_ended_a_stream(
        self,
    ) -> None:
        """A discarded answer finished the caller's: progress was compared in ms."""
        clock = clocks.SystemClock()
        frozen: list[int] = []

        def now_ms() -> int:
            return frozen[0] if frozen else clock.now_ms()

        def freeze() -> None:
            if not frozen:
                frozen.append(clock.now_ms())

        send = self.forwarder._send

        def send_frozen(active: Any, *rest: Any) -> Any:
            if active.sends:
                freeze()
            return send(active, *rest)

        begun = case.stream_head() + case.chunk(EVENTS[0])

        async def goes_on(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(begun)
            await until(lambda: bool(frozen))
            writer.write(case.chunk(EVENTS[1]))
            await asyncio.sleep(0.5)
            frozen.clear()
            for event in (*EVENTS[2:], ""):
                writer.write(case.chunk(event))

        script = by_turn(goes_on, sends_parts((0.2, rest_from(1))))
        await self.add_engines(script, script)
        with (
            mock.patch.object(self.clock, "now_ms", now_ms),
            mock.patch.object(self.forwarder, "_send", send_frozen),
        ):
            self.check_stream(await self.ask_stream())

    async def test_slow_caller_made_its_server_look_silent(self) -> None:
        """A server that waits for the caller to read was replaced."""
        event = f"id: 1\ndata: {'x' * 200_000}\n\n"
        parts = [
            (0.0, case.chunk(event.replace("id: 1", f"id: {number}")))
            for number in range(1, 61)
        ]
        await self.add_engines(
            sends_parts((0, case.stream_head()), *parts, (0, case.chunk(""))),
            case.stays_silent,
        )
        caller = await slow_caller(self.port)
        self.addCleanup(caller.close)
        await caller.send("/draft/long/", b"prompt", **PROMPT)
        await asyncio.sleep(1.0)
        self.assertEqual(self.received(), 1)


class LookupRaceTest(RaceCase):
    async def test_503_after_the_request_had_been_cut_off_at_another_server(
        self,
    ) -> None:
        """The late refusal of one server was taken for that of both."""
        await self.add_server(
            by_order(self, after(0.6, case.sends(FULL)), case.stays_silent)
        )
        await self.add_server(self.servers[0].scripts[0])
        got = await self.ask("/look/x", Deadline_Ms="1000")
        self.assertEqual(self.received(), 2)
        self.assertIn(got.status, (502, 504))

    async def test_error_of_a_silent_server_ended_the_answer_of_the_next(self) -> None:
        """An error counted as progress, and the server at work was left for it."""
        error = case.answer("error", status=500)
        found = case.answer("found")
        await self.add_server(
            by_order(
                self, after(0.6, case.sends(error)), after(0.35, case.sends(found))
            )
        )
        await self.add_server(self.servers[0].scripts[0])
        got = await self.ask("/look/x", Deadline_Ms="1000")
        self.assertEqual((got.status, got.body), (200, b"found"))

    async def test_refusal_by_a_silent_server_ended_the_answer_of_the_next(
        self,
    ) -> None:
        """A refusal counted as progress, and the server at work was left for it."""
        found = case.answer("found")
        await self.add_server(
            by_order(self, after(0.6, case.sends(FULL)), after(0.35, case.sends(found)))
        )
        await self.add_server(self.servers[0].scripts[0])
        got = await self.ask("/look/x", Deadline_Ms="1000")
        self.assertEqual((got.status, got.body), (200, b"found"))

    async def ask_slowly(self) -> case.ReceivedAnswer:
        """Ask for a long answer, and read it late through small buffers."""
        await self.add_server(case.sends(case.answer(LONG_BODY)))
        for listening in self.listener._server._sockets.values():
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        caller = await slow_caller(self.port)
        self.addCleanup(caller.close)
        await caller.send("/look/x")
        await asyncio.sleep(0.5)
        return await caller.receive()

    async def test_error_after_a_complete_answer_closed_its_connection(self) -> None:
        """The rest of the answer was still to be sent when its connection closed."""
        with mock.patch.object(self.forwarder, "_log_attempt", side_effect=KeyError):
            got = await self.ask_slowly()
        self.assertEqual((got.status, len(got.body)), (200, len(LONG_BODY)))

    async def test_error_in_the_admission_left_a_request_without_an_answer(
        self,
    ) -> None:
        """An exception before the request was active ended its task."""
        with mock.patch.object(self.forwarder, "_draw_service", side_effect=KeyError):
            got = await self.ask("/look/x")
        self.assertEqual((got.status, got.is_complete), (503, True))

    async def test_error_in_the_release_of_a_server_lost_its_answer(self) -> None:
        """A complete answer was replaced by 502."""
        await self.add_server(case.sends(case.answer("found")))
        with mock.patch.object(self.fleet.loads, "record_end", side_effect=KeyError):
            got = await self.ask("/look/x")
        self.assertEqual((got.status, got.body), (200, b"found"))

    async def test_long_answer_is_read_late(self) -> None:
        got = await self.ask_slowly()
        self.assertEqual((got.status, len(got.body)), (200, len(LONG_BODY)))

    async def test_next_server_was_kept_out_by_its_unfinished_probe(self) -> None:
        """A half-open breaker waited for the result of a send that was given up."""
        found = case.answer("found")
        await self.add_server(
            by_order(self, after(0.6, case.sends(found)), case.stays_silent)
        )
        await self.add_server(self.servers[0].scripts[0])
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        await caller.send("/look/x", Deadline_Ms="1000")
        self.assertTrue(await until(lambda: self.received() == 1))
        other = next(
            entry
            for entry, server in zip(
                self.fleet.registry.entries(), self.servers, strict=True
            )
            if not server.received
        )
        health = self.fleet.health.health_of(other)
        opened_ms = self.clock.now_ms() - breaker.OPEN_MS - 1
        for _ in range(breaker.FAILURES_TO_OPEN):
            health.record_failure(opened_ms)
        self.assertTrue(health.allows(self.clock.now_ms()))
        got = await caller.receive()
        self.assertEqual((got.status, self.received()), (200, 2))
        self.assertTrue(health.allows(self.clock.now_ms() + breaker.MAX_OPEN_MS // 2))

    async def test_complete_answer_waited_for_a_connection_to_the_next_server(
        self,
    ) -> None:
        """The answer of the silent server was held while a link was being opened."""
        answered_s: list[float] = []
        opening = asyncio.Event()
        connect = self.fleet.links.connect

        async def connect_slowly(
            server: server_entries.ServerEntry, timeout_ms: float
        ) -> Any:
            if self.received():
                opening.set()
                await asyncio.sleep(forwarding.CONNECT_TIMEOUT_MS / 1_000)
            return await connect(server, timeout_ms)

        async def script(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await opening.wait()
            answered_s.append(time.monotonic())
            writer.write(case.answer("found"))

        await self.add_server(script)
        await self.add_server(script)
        with mock.patch.object(self.fleet.links, "connect", connect_slowly):
            got = await self.ask("/look/x", Deadline_Ms="1000")
        self.assertEqual((got.status, got.body), (200, b"found"))
        self.assertLess(time.monotonic() - answered_s[0], 0.15)

    async def test_request_without_time_marked_a_sound_server_unreachable(
        self,
    ) -> None:
        """A connect was given the rest of the time limit, and its end taken as one."""
        connect = self.fleet.links.connect

        async def connect_slowly(
            server: server_entries.ServerEntry, timeout_ms: float
        ) -> Any:
            async with asyncio.timeout(timeout_ms / 1_000):
                await asyncio.sleep(0.1)
            return await connect(server, timeout_ms)

        await self.add_server(case.sends(case.answer("found")))
        entry = self.fleet.registry.entries()[0]
        with mock.patch.object(self.fleet.links, "connect", connect_slowly):
            got = await self.ask("/look/x", Deadline_Ms="80")
        self.assertIn(got.status, (502, 503, 504))
        self.assertTrue(self.fleet.health.health_of(entry).allows(self.clock.now_ms()))

    async def test_queued_request_was_cut_at_the_end_of_the_grace_time(self) -> None:
        """It had not been sent, and got neither an answer nor a refusal."""
        await self.add_server(case.stays_silent)
        health = self.fleet.health.health_of(self.fleet.registry.entries()[0])
        health.record_pause_request(self.clock.now_ms(), 400)
        caller = await case.Caller.connect(self.port)
        self.addCleanup(caller.close)
        await caller.send("/record/", b"once", Deadline_Ms="1500")
        self.assertTrue(await until(lambda: self.dispatcher.waiting_requests == 1))
        await self.stop_gateway()
        got = await caller.receive()
        self.assertEqual(got.status, 503)

    async def stop_gateway(self) -> None:
        """Stop a gateway with the parts of this test, as after SIGTERM."""
        bounds = builders.make_bounds(shutdown_grace_ms=100)
        own_settings = dataclasses.replace(builders.make_environment(), bounds=bounds)
        gateway = main.Gateway(own_settings, self.clock)
        gateway._listener, gateway._fleet = self.listener, self.fleet
        gateway._forwarder, gateway._dispatcher = self.forwarder, self.dispatcher
        await gateway.stop()
        # The end of the program cancels all tasks.
        self.listener._tasks.cancel()

    async def test_process_ended_before_its_last_answer_was_sent(self) -> None:
        """A request counted as answered while its answer waited to be sent."""

        async def end() -> None:
            # As `Gateway.stop` does, after which the process ends.
            await until(lambda: self.listener.open_requests > 0)
            await until(lambda: not self.listener.open_requests, case.WAIT_S)
            await self.listener.close_all()

        ending = asyncio.ensure_future(end())
        got = await self.ask_slowly()
        await ending
        self.assertEqual((got.status, len(got.body)), (200, len(LONG_BODY)))


def by_order(test: RaceCase, first: case.Script, second: case.Script) -> case.Script:
    """Return a script that serves the first request of all servers by `first`."""

    async def script(
        request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await (first if test.received() == 1 else second)(request, writer)

    return script


async def slow_caller(port: int) -> case.Caller:
    """Open a connection that takes little before the caller reads."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", port))
    return case.Caller(*await asyncio.open_connection(sock=raw, limit=2**12))
