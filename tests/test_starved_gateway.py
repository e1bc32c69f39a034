"""Tests of a gateway whose event loop is late: changes must reach it all the same."""

import asyncio
import socket
import threading
import time
import unittest

from quincecrank import clock as clocks
from quincecrank import ids, store_era, store_rows
from quincecrank.gateway import environment, peer_messages, peers, tables
from tests import builders_gateway as builders
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
            self._own_settings, [peers.rows_rule(lambda _table: rows)]
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
            rows = None
            while rows is None and time.monotonic() - began_s < APPLY_LIMIT_S:
                # A live peer repeats its reports.
                directory.record_report(_PEER_IP, report)
                rows = await directory.fetch_rows(tables.TableName.OPERATOR)
            starving.cancel()
        self.assertIsNotNone(rows)
        self.assertLess(time.monotonic() - began_s, APPLY_LIMIT_S)
