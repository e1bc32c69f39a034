"""Tests of the bound of connections whose peer has not proved itself."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from tornado import iostream, netutil

from quincecrank import clock as clocks
from quincecrank import link_server, wire
from quincecrank.budgets import process_budgets
from tests import builders_budgets

LIMIT: Final = 3


class LinkServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.proofs: asyncio.Queue[wire.Connection] = asyncio.Queue()
        self.served: list[wire.Connection] = []
        bound = netutil.bind_sockets(0, "127.0.0.1")[0]
        self.port = bound.getsockname()[1]
        self.server = link_server.LinkServer(
            self.handshake, self.serve, LIMIT, clocks.SystemClock()
        )
        self.server.add_socket(bound)
        self.addCleanup(self.server.stop)

    async def handshake(self, _stream: iostream.IOStream) -> wire.Connection:
        return await self.proofs.get()

    async def serve(self, connection: wire.Connection) -> None:
        self.served.append(connection)
        await asyncio.Event().wait()

    async def connect(self) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        # Each connection is accepted before the next one.
        await asyncio.sleep(0.005)
        return reader

    async def test_strangers_took_any_number_of_descriptors(self) -> None:
        opened = [await self.connect() for _ in range(LIMIT + 2)]
        self.assertEqual(await opened[0].read(), b"")
        self.assertEqual(await opened[1].read(), b"")
        self.assertEqual((self.server.open_count, self.server.closes), (LIMIT, 2))

    async def test_links_are_no_strangers(self) -> None:
        for number in range(2 * LIMIT):
            await self.connect()
            self.proofs.put_nowait(mock.Mock())
            while len(self.served) <= number:
                await asyncio.sleep(0.001)
        self.assertEqual((self.server.open_count, self.server.closes), (0, 0))


class MaxUnprovenTest(unittest.TestCase):
    def test_their_buffers_fit_the_unread_bytes(self) -> None:
        budgets = builders_budgets.make_budgets()
        most = link_server.max_unproven(budgets) + link_server.BACKLOG
        buffered = most * link_server.SYSTEM_BUFFER_BYTES
        self.assertLessEqual(buffered, budgets.bytes.unread_limit)

    def test_little_memory_leaves_some(self) -> None:
        budgets = process_budgets.ProcessBudgets(1, 100)
        self.assertGreater(link_server.max_unproven(budgets), 0)
