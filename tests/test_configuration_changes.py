"""Tests that each request gets an answer while the configuration changes.

Each change is made in each stage of a request, with a loop that runs and with one that
is blocked from before the change until after it.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from quincecrank import store_rows
from quincecrank.gateway import row_consumers
from tests import builders_gateway as builders
from tests import gateway_case as case
from tests import test_arrived_requests as arrived

BLOCK_S: Final = 0.05
"""Time for which the loop is blocked around a change."""

ANSWER_S: Final = 0.1
"""Time that a backend server takes for an answer."""

SLOTS: Final = 8
"""Requests that a backend server of the builder runs at once."""

BODY: Final = b"x" * 20_000

Document = dict[str, Any]


def _remove_routes(document: Document) -> None:
    document["routes"] = document["routes"][:1]


def _remove_services(document: Document) -> None:
    document["services"] = document["services"][:1]


def _remove_accounts(document: Document) -> None:
    document["tenants"] = document["tenants"][1:]


def _lower_limits(document: Document) -> None:
    for name in document["limits"]:
        document["limits"][name] = 1


def _lower_connections(document: Document) -> None:
    for service in document["services"][1:]:
        service["maxConns"] = 1


def _shorten_timeouts(document: Document) -> None:
    for route in document["routes"]:
        route["timeoutMs"] = 1
        route["targetLatencyMs"] = 1


def _clear_weights(document: Document) -> None:
    for route in document["routes"]:
        route["trafficSplit"] = [{"service": route["service"], "weight": 0}]


def _move_routes(document: Document) -> None:
    for route in document["routes"]:
        route["service"] = "records" if route["service"] == "drafting" else "drafting"


def _forbid_attempts(document: Document) -> None:
    for route in document["routes"]:
        route["maxAttempts"] = 1
        route["routeKind"] = "non_idempotent"
        route["resumable"] = False


CHANGES: Final[tuple[Callable[[Document], None], ...]] = (
    _remove_routes,
    _remove_services,
    _remove_accounts,
    _lower_limits,
    _lower_connections,
    _shorten_timeouts,
    _clear_weights,
    _move_routes,
    _forbid_attempts,
)


async def _answer_late(
    _request: case.ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(ANSWER_S)
    writer.write(case.answer())


async def _stream(_request: case.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(case.stream_head())
    for number in range(3):
        writer.write(case.chunk(f"id: {number}\ndata: x\n\n"))
        await writer.drain()
        await asyncio.sleep(ANSWER_S)
    writer.write(case.chunk(""))


class ChangesTest(arrived.BlockedLoopCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.version = 7
        await self.restore()

    async def restore(self) -> None:
        """Put the builder's configuration in force, with new servers."""
        self.version += 1
        self.configure(self.version)
        for server in self.servers:
            server.stop()
        for entry in self.fleet.registry.entries():
            self.remove_server(entry.server_id)
        await self.add_server(_answer_late, service=builders.PLAIN)
        await self.add_server(_stream, service=builders.LLM)

    def changes(self) -> dict[str, Callable[[], None]]:
        """Return every change by its name."""
        by_name = {each.__name__: self._configuration_change(each) for each in CHANGES}
        by_name["rows removed"] = self._remove_rows
        by_name["servers restarted"] = self._restart_servers
        by_name["settings reloaded"] = self._reload_settings
        return by_name

    def _configuration_change(
        self, change: Callable[[Document], None]
    ) -> Callable[[], None]:
        def apply() -> None:
            self.version += 1
            document = builders.make_configuration_document(self.version)
            change(document)
            self.configure_from(document)

        return apply

    def _remove_rows(self) -> None:
        consumer = row_consumers.ServerRowConsumer(self.fleet)
        consumer.apply_snapshot(store_rows.Rows((), store_rows.Position(1, 1)))

    def _restart_servers(self) -> None:
        for entry in self.fleet.registry.entries():
            started_wall_ms = entry.started_wall_ms + 1
            self.fleet.registry.update(
                dataclasses.replace(entry, started_wall_ms=started_wall_ms)
            )
            self.fleet.remove_server(entry.server_id)

    def _reload_settings(self) -> None:
        bounds = builders.make_bounds(
            shutdown_grace_ms=1, drain_ms=1, retry_ratio=0.0, retry_floor=0
        )
        own_settings = dataclasses.replace(self.fleet.own_settings, bounds=bounds)
        self.fleet.own_settings = own_settings

    async def check_each(
        self,
        ask: Callable[[Callable[[], None]], Awaitable[list[int]]],
        allowed: set[int],
    ) -> None:
        """Make each change in a stage of requests; check the status of each answer."""
        for is_blocked in (False, True):
            for name, change in self.changes().items():

                def change_blocked(
                    change: Callable[[], None] = change, is_blocked: bool = is_blocked
                ) -> None:
                    time.sleep(BLOCK_S if is_blocked else 0)
                    change()
                    time.sleep(BLOCK_S if is_blocked else 0)

                with self.subTest(change=name, is_blocked=is_blocked):
                    statuses = await ask(change_blocked)
                    self.assertLessEqual(set(statuses), allowed)
                await self.restore()

    async def test_changes_while_a_body_is_read(self) -> None:
        async def ask(change: Callable[[], None]) -> list[int]:
            connection = self.connect()
            data = arrived.make_request(BODY)
            connection.sendall(data[: len(data) // 2])
            await asyncio.sleep(0.02)
            change()
            connection.sendall(data[len(data) // 2 :])
            return [await self.receive_status(connection)]

        await self.check_each(ask, {200, 401, 404, 413, 503, 504})

    async def test_changes_while_a_request_has_arrived_unread(self) -> None:
        async def ask(change: Callable[[], None]) -> list[int]:
            connection = self.connect()
            connection.sendall(arrived.make_request(BODY))
            change()
            return [await self.receive_status(connection)]

        await self.check_each(ask, {200, 401, 404, 413, 431, 503, 504})

    async def test_changes_while_requests_are_queued_and_sent(self) -> None:
        async def ask(change: Callable[[], None]) -> list[int]:
            connections = [self.connect() for _ in range(SLOTS + 4)]
            for connection in connections:
                connection.sendall(arrived.make_request())
            while len(self.servers[-2].received) < SLOTS:
                await asyncio.sleep(0.005)
            change()
            return [await self.receive_status(each) for each in connections]

        await self.check_each(ask, {200, 503})

    async def test_changes_while_an_answer_is_streamed(self) -> None:
        async def ask(change: Callable[[], None]) -> list[int]:
            caller = await case.Caller.connect(self.port)
            await caller.send("/draft/")
            await caller.reader.readuntil(b"data")
            change()
            rest = await asyncio.wait_for(
                caller.reader.readuntil(b"0\r\n\r\n"), case.WAIT_S
            )
            caller.close()
            return [200 if b"id: 2" in rest else 0]

        await self.check_each(ask, {200})
