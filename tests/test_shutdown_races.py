"""Tests of requests that arrive between two steps of a gateway that shuts down."""

import asyncio
import dataclasses
import errno
import socket
import time
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

from tornado import netutil

from quincecrank import clock as clocks
from quincecrank.gateway import callers, main, request_queue, shutdown_schedule
from tests import builders_gateway as builders
from tests import gateway_case as case
from tests import test_gateway_shutdown, test_silent_server_races

REQUEST: Final = test_gateway_shutdown.REQUEST
MAX_STEPS: Final = 12
"""Steps of the event loop within which a request that has arrived has been read."""

CHECK_S: Final = 0.01
GRACE_MS: Final = 1_200
PAUSE_MS: Final = 700
SLACK_MS: Final = 200
"""Time of a test beside that of the shutdown."""


class RaceCase(test_gateway_shutdown.ShutdownCase):
    """Base of tests that shut a listener down as the gateway program does."""

    async def wait_steps(self, count: int) -> None:
        """Let the event loop run `count` times."""
        for _ in range(count):
            await asyncio.sleep(0)

    async def restart_listener(self) -> None:
        """Replace the listener by one that is not shutting down."""
        await self.listener.close_all()
        self.listener.stop_accepting()
        self.listener = callers.CallerListener(self.forwarder.handle, self.clock)
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        self.listener.start(bound)

    async def receive_all(self, connection: socket.socket) -> bytes:
        """Return what arrives until the end of the connection."""
        connection.setblocking(False)
        loop, data = asyncio.get_running_loop(), b""
        while received := await loop.sock_recv(connection, 4_096):
            data += received
        return data

    async def shut_down(self) -> None:
        """Close what is idle until nothing is open, and end."""
        self.listener.state.is_leaving = True
        while self.listener.close_idle():
            await asyncio.sleep(CHECK_S)
        await self.listener.close_all()

    async def shut_down_and_receive(
        self, connections: list[socket.socket]
    ) -> list[int]:
        """Shut down; return the status of the answer on each connection."""
        statuses = asyncio.gather(*map(self.receive_status, connections))
        await self.shut_down()
        return list(await statuses)


class CloseIdleTest(RaceCase):
    async def test_a_request_that_was_being_read_was_taken_as_idle(self) -> None:
        """Its bytes had left the system's buffer, its head was not handled yet."""
        statuses = []
        for steps in range(MAX_STEPS):
            with self.subTest(steps=steps):
                await self.restart_listener()
                connection = self.connect()
                connection.sendall(REQUEST)
                self.assertEqual(await self.receive_status(connection), 200)
                connection.setblocking(True)
                connection.sendall(REQUEST)
                await self.wait_steps(steps)
                statuses = await self.shut_down_and_receive([connection])
                self.assertEqual(statuses, [200])

    async def test_a_connection_accepted_just_before_was_not_seen(self) -> None:
        """Its task had not begun, so that nothing seemed to be open."""
        for steps in range(MAX_STEPS):
            with self.subTest(steps=steps):
                await self.restart_listener()
                connection = self.connect()
                connection.sendall(REQUEST)
                await self.wait_steps(steps)
                statuses = await self.shut_down_and_receive([connection])
                self.assertEqual(statuses, [200])

    async def test_a_partly_read_head_was_taken_as_idle(self) -> None:
        """Bytes in the buffer of the connection's stream did not count."""
        connection = self.connect()
        connection.sendall(REQUEST[:20])
        await asyncio.sleep(CHECK_S)
        statuses = asyncio.ensure_future(self.shut_down_and_receive([connection]))
        await asyncio.sleep(CHECK_S)
        connection.send(REQUEST[20:])
        self.assertEqual(await statuses, [200])

    async def test_requests_that_were_sent_ahead_are_answered(self) -> None:
        connection = self.connect()
        connection.sendall(REQUEST * 3)
        received = asyncio.ensure_future(self.receive_all(connection))
        await self.wait_steps(3)
        await self.shut_down()
        self.assertEqual((await received).count(b"HTTP/1.1 200"), 3)

    async def test_the_queue_of_connections_is_emptied(self) -> None:
        connections = [self.connect() for _ in range(100)]
        for connection in connections:
            connection.sendall(REQUEST)
        statuses = await self.shut_down_and_receive(connections)
        # More than the server and its queue can take.
        self.assertEqual(set(statuses), {200, 503})

    async def test_an_error_of_accept_ended_the_accepting(self) -> None:
        """Any error was taken for an empty queue, and the queue was closed."""
        for number in (errno.ECONNABORTED, errno.EMFILE):
            with self.subTest(errno.errorcode[number]):
                await self.restart_listener()
                connections = [self.connect() for _ in range(3)]
                for connection in connections:
                    connection.sendall(REQUEST)
                accept = socket.socket.accept
                errors = [OSError(number, "")]

                def fail_once(
                    bound: socket.socket,
                    errors: list[OSError] = errors,
                    accept: Any = accept,
                ) -> Any:
                    if errors:
                        raise errors.pop()
                    return accept(bound)

                with mock.patch.object(socket.socket, "accept", fail_once):
                    statuses = await self.shut_down_and_receive(connections)
                self.assertEqual(statuses, [200] * len(connections))

    async def test_connections_that_callers_close_end(self) -> None:
        connections = [self.connect() for _ in range(3)]
        await asyncio.sleep(CHECK_S)
        connections[0].close()
        connections[1].shutdown(socket.SHUT_WR)
        await asyncio.wait_for(self.shut_down(), case.WAIT_S)


class StopTest(RaceCase):
    """Tests of `Gateway.stop`, with a grace time of 2 s."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        bounds = builders.make_bounds(shutdown_grace_ms=GRACE_MS)
        own_settings = dataclasses.replace(builders.make_environment(), bounds=bounds)
        self.fleet.own_settings = own_settings
        self.gateway = main.Gateway(own_settings, self.clock)
        self.background.start(self.gateway._loop_monitor.run())
        self.gateway._listener, self.gateway._fleet = self.listener, self.fleet
        self.gateway._forwarder = self.forwarder
        self.gateway._dispatcher = self.dispatcher
        self.remove_server("i-1")

    async def stop_gateway(self) -> None:
        """Stop the gateway and do what the end of its program does."""
        await self.gateway.stop()
        self.listener._tasks.cancel()
        await self.listener.close_all()

    async def ask_and_stop(
        self, has_begun: Callable[[], bool], count: int = 1
    ) -> list[int]:
        """Send requests with one id and stop once they have begun; return statuses."""
        connections = [self.connect() for _ in range(count)]
        for connection in connections:
            connection.sendall(REQUEST)
        statuses = asyncio.gather(*map(self.receive_status, connections))
        self.assertTrue(await test_silent_server_races.until(has_begun))
        await asyncio.wait_for(self.stop_gateway(), case.WAIT_S)
        return list(await statuses)

    def block_loop_until_end(self) -> None:
        """Let the loop stand still from the time for answers up to the end."""
        grace_s = GRACE_MS / clocks.MS_PER_SECOND
        begin_s = grace_s * (shutdown_schedule.ANSWER_FRACTION - 0.25)
        end_s = grace_s * (shutdown_schedule.END_FRACTION + 0.01)
        asyncio.get_running_loop().call_later(begin_s, time.sleep, end_s - begin_s)

    async def test_open_requests_were_cut_after_a_standstill_up_to_the_end(
        self,
    ) -> None:
        """The process ended in the step in which their time limit was noticed."""
        server = await self.add_server(case.stays_silent)
        self.block_loop_until_end()
        statuses = await self.ask_and_stop(lambda: bool(server.received))
        self.assertEqual(statuses, [504])

    async def stop_with_error(self, owner: Any, name: str) -> list[int]:
        """Stop while a method fails and a request is open; return its status."""

        async def answer_later(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.5)
            writer.write(case.answer())

        server = await self.add_server(answer_later)
        with mock.patch.object(owner, name, side_effect=ValueError("bug")):
            return await self.ask_and_stop(lambda: bool(server.received))

    async def test_an_error_about_queued_requests_ended_the_process(self) -> None:
        statuses = await self.stop_with_error(self.forwarder, "reject_leaving")
        self.assertEqual(statuses, [200])

    async def test_an_error_of_closing_connections_ended_the_process(self) -> None:
        statuses = await self.stop_with_error(self.listener, "close_idle")
        self.assertEqual(statuses, [200])

    async def test_a_request_that_may_have_run_is_not_rejected_as_not_run(self) -> None:
        async def leave_and_break(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            self.fleet.shutdown = builders.make_shutdown(
                self.clock.now_ms() - GRACE_MS, GRACE_MS
            )
            writer.close()

        server = await self.add_server(leave_and_break)
        for path in ("/record/", "/look/x"):
            with self.subTest(path):
                self.fleet.shutdown = None
                sends = len(server.received)
                got = await self.ask(path, b"x" if path == "/record/" else b"")
                self.assertEqual(len(server.received), sends + 1)
                self.assertIn(got.status, (502, 504))

    async def test_two_signals_and_a_reload_change_no_schedule(self) -> None:
        server = await self.add_server(case.stays_silent)
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, self.gateway.note_signal)
        loop.call_later(0.3, self.gateway.reload)
        begun_ms = self.clock.now_ms()
        statuses = await self.ask_and_stop(lambda: bool(server.received))
        self.assertEqual(statuses, [504])
        self.assertLess(self.clock.now_ms() - begun_ms, GRACE_MS + SLACK_MS)


class QueueTest(RaceCase):
    async def test_a_queued_request_was_not_found_by_its_id(self) -> None:
        """Another request with the same id, or also without one, had its place."""
        entry = self.fleet.registry.entries()[0]
        health = self.fleet.health.health_of(entry)
        health.record_pause_request(self.clock.now_ms(), PAUSE_MS)
        connections = [self.connect() for _ in range(2)]
        with (
            mock.patch.object(request_queue.RequestQueue, "accepts", return_value=True),
            mock.patch.object(
                request_queue.RequestQueue, "remove_too_late", return_value=()
            ),
        ):
            for connection in connections:
                connection.sendall(REQUEST)
            statuses = asyncio.gather(*map(self.receive_status, connections))
            self.assertTrue(
                await test_silent_server_races.until(
                    lambda: self.listener.open_requests == len(connections)
                )
            )
            self.fleet.shutdown = builders.make_shutdown(
                self.clock.now_ms() - GRACE_MS, GRACE_MS
            )
            self.forwarder.reject_leaving()
            async with asyncio.timeout(PAUSE_MS / clocks.MS_PER_SECOND):
                self.assertEqual(await statuses, [503, 503])
