"""Tests of a gateway whose event loop is late: changes must reach it all the same."""

import asyncio
import socket
import threading
import time
import unittest

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows
from quincecrank.gateway import (
    environment,
    peer_messages,
    peers,
    server_links,
    tables,
)
from quincecrank.platform import store
from tests import builders_budgets
from tests import builders_gateway as builders
from tests import builders_standstill as standstill
from tests import builders_store as stored

ITERATION_S = 0.4
"""Time that each iteration of the starved event loop takes."""

APPLY_LIMIT_S = 4.0
"""Time within which a confirmed change must be in force at 68 gateways."""

_PEER_IP = "127.0.0.3"


class ServingPeer:
    """A peer that serves its rows from an event loop of its own thread."""

    def __init__(self, own_settings: environment.Environment) -> None:
        self._own_settings = own_settings
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run)
        self._started = threading.Event()

    def __enter__(self) -> "ServingPeer":
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_exception: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start())
        self._loop.run_forever()

    async def _start(self) -> None:
        rows = stored.make_rows(9, stored.make_row("config", "{}", 9))
        self._server = peers.serve(
            self._own_settings,
            [peers.rows_rule(lambda _table: rows)],
            builders_budgets.make_budgets(),
            clocks.SystemClock(),
        )
        self._started.set()


def free_port(ip: str) -> int:
    """Return a port that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


async def starve() -> None:
    """Block each iteration of the event loop for `ITERATION_S`."""
    while True:
        time.sleep(ITERATION_S)
        await asyncio.sleep(0)


class StarvedGatewayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_starved_gateway_never_got_a_change(self) -> None:
        """Each call to a peer ended at a limit that counted the own lateness."""
        port = free_port(_PEER_IP)
        peer_settings = builders.make_environment(peer_port=port, ip=_PEER_IP)
        directory = peers.PeerDirectory(
            builders.make_environment(peer_port=port),
            clocks.SystemClock(),
            store_era.StoreEra(),
        )
        report = peer_messages.Report(
            vm=ids.VmName("entry-2"),
            is_leaving=False,
            states=(
                peer_messages.TableState(
                    tables.TableName.OPERATOR, store_rows.Position(0, 9), 0
                ),
            ),
            load_by_server={},
        )
        with ServingPeer(peer_settings):
            starving = asyncio.ensure_future(starve())
            began_s = time.monotonic()
            fetched = None
            while fetched is None and time.monotonic() - began_s < APPLY_LIMIT_S:
                # A live peer repeats its reports.
                directory.record_report(_PEER_IP, report)
                fetched = await directory.fetch_rows(tables.TableName.OPERATOR)
            starving.cancel()
        assert fetched is not None
        self.assertEqual(fetched[1], _PEER_IP)
        self.assertLess(time.monotonic() - began_s, APPLY_LIMIT_S)


class StarvedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_sound_servers_were_unreachable_for_a_starved_gateway(self) -> None:
        """The limit ended although the connection had been opened at once."""
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            address = f"127.0.0.1:{listening.getsockname()[1]}"
            opening = asyncio.ensure_future(
                server_links.connect(address, 250, clocks.SystemClock())
            )
            await asyncio.sleep(0)
            time.sleep(ITERATION_S)
            (await opening).close()

    async def test_a_silent_server_is_given_up_at_the_limit(self) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen(0)
            address = listening.getsockname()
            waiting = [socket.socket() for _ in range(3)]
            for each in waiting:
                each.setblocking(False)
                each.connect_ex(address)
            began_s = time.monotonic()
            with self.assertRaises(TimeoutError):
                await server_links.connect(
                    f"127.0.0.1:{address[1]}", 250, clocks.SystemClock()
                )
            self.assertLess(time.monotonic() - began_s, 1.0)
            for each in waiting:
                each.close()


class ReadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.directory = peers.PeerDirectory(
            builders.make_environment(), self.clock, store_era.StoreEra()
        )

    def report(self, number: int, *, is_late: bool) -> None:
        report = peer_messages.Report(
            ids.VmName(f"entry-{number}"), False, (), {}, is_late=is_late
        )
        self.directory.record_report(f"10.0.0.{number}", report)

    def test_changes_waited_for_readers_whose_loops_ran_late(self) -> None:
        """Whoever was ranked first read the table, however late it ran."""
        for number in range(2, 9):
            self.report(number, is_late=False)
        before = self.directory.readers("operator", 3)
        self.assertEqual(before, self.directory.first_ranked("operator", 3))
        self.report(int(before[0].removeprefix("entry-")), is_late=True)
        after = self.directory.readers("operator", 3)
        self.assertEqual(after[:2], before[1:])
        self.assertNotIn(before[0], after)

    def test_late_gateways_read_where_there_are_no_others(self) -> None:
        for number in range(2, 6):
            self.report(number, is_late=True)
        self.directory.is_late = lambda: True
        readers = self.directory.readers("operator", 3)
        self.assertEqual(readers, self.directory.first_ranked("operator", 3))
        self.directory.is_late = lambda: False
        self.assertEqual(self.directory.readers("operator", 3)[0], "entry-1")
        self.assertEqual(len(self.directory.readers("operator", 3)), 3)


class StarvedStoreCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_of_the_store_came_too_late_at_a_starved_gateway(
        self,
    ) -> None:
        """The limit of a call ended while its answer waited to be read."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.3)
            body = b'{"rows": [], "rowVersion": 3}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        in_time = store.PlatformStore(url, timeout_ms=100)
        with self.assertRaises(store_rows.StoreUnavailableError):
            await in_time.read("op")
        late = store.PlatformStore(url, timeout_ms=100, lateness_ms=lambda: 200)
        self.assertEqual((await late.read("op")).position, stored.at(3))
        server.close()

    async def test_the_store_was_unavailable_after_a_standstill(self) -> None:
        """The limit of a call acted before its answer was read."""
        calls = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal calls
            calls += 1
            await reader.readuntil(b"\r\n\r\n")
            if calls == 1:
                standstill.stand_still(400)
            body = b'{"rows": [], "rowVersion": 3}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        stopped = store.PlatformStore(url, timeout_ms=100)
        self.assertEqual((await stopped.read("op")).position, stored.at(3))
        server.close()
