"""Tests of the bytes that the system receives ahead of a process."""

import socket
import unittest
from unittest import mock

from tornado import iostream

from quincecrank import arrived_bytes
from quincecrank.budgets import (
    byte_budget,
    connection_budget,
    process_budgets,
    receive_budget,
    receive_buffers,
)

SITES = ((136, 2_870), (152, 2_870), (200, 4_100), (222, 1_535), (552, 8_192))
"""Memory and descriptors of settings."""

UNREAD_BYTES = 4 * 1024 * 1024


class ReceiveBudgetTest(unittest.TestCase):
    def test_all_connections_together_stay_within_the_unread_bytes(self) -> None:
        for memory_mb, max_descriptors in SITES:
            with self.subTest(memory_mb=memory_mb):
                budgets = process_budgets.ProcessBudgets(memory_mb, max_descriptors)
                budget, connections = budgets.receive.budget, budgets.descriptors
                backlog = process_budgets.CALLERS_BACKLOG
                most = connections.limit + connections.reserve + backlog
                base = most * budget.base_bytes
                large = budget.limit * receive_budget.LARGE_COST_BYTES
                self.assertLessEqual(base + large, budgets.bytes.unread_limit)

    def test_a_single_long_request_has_a_large_buffer_whatever_the_settings(
        self,
    ) -> None:
        for memory_mb in (1, 100):
            budget = receive_budget.ReceiveBudget(
                byte_budget.ByteBudget(memory_mb).unread_limit,
                connection_budget.DescriptorBudget(20_000).limit,
            )
            self.assertTrue(budget.try_enlarge())

    def test_there_are_no_more_large_buffers_than_the_limit(self) -> None:
        budget = receive_budget.ReceiveBudget(UNREAD_BYTES, 512)
        while budget.try_enlarge():
            pass
        self.assertEqual(budget.large, budget.limit)
        budget.release()
        self.assertTrue(budget.try_enlarge())


class ReceiveBuffersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.budget = receive_budget.ReceiveBudget(UNREAD_BYTES, 512)
        self.buffers = receive_buffers.ReceiveBuffers(self.budget)
        self.listening = socket.socket()
        self.addCleanup(self.listening.close)
        self.buffers.prepare(self.listening)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()

    def connect(self) -> tuple[iostream.IOStream, socket.socket]:
        """Return the stream of an accepted connection, and its client."""
        client = socket.create_connection(self.listening.getsockname())
        self.addCleanup(client.close)
        accepted, _address = self.listening.accept()
        stream = iostream.IOStream(accepted)
        self.addCleanup(stream.close)
        return stream, client

    def size(self, stream: iostream.IOStream) -> int:
        return int(stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))

    async def test_connections_are_accepted_with_a_base_buffer(self) -> None:
        stream, _client = self.connect()
        self.assertEqual(self.size(stream), self.budget.base_bytes)
        self.assertTrue(self.buffers.try_enlarge(stream))
        self.assertEqual(self.size(stream), receive_budget.LARGE_BYTES)

    async def test_stalled_clients_kept_the_large_buffers(self) -> None:
        """Connections on which nothing was unread had all of them."""
        streams = [self.connect() for _ in range(self.budget.limit)]
        for stream, _client in streams:
            self.assertTrue(self.buffers.try_enlarge(stream))
        new, _client = self.connect()
        self.assertTrue(self.buffers.try_enlarge(new))
        self.assertEqual(self.size(streams[0][0]), self.budget.base_bytes)
        self.assertEqual(self.budget.large, self.budget.limit)

    async def test_a_search_for_a_buffer_checked_all_connections(self) -> None:
        streams = [self.connect() for _ in range(self.budget.limit)]
        for stream, client in streams:
            self.buffers.try_enlarge(stream)
            client.send(b"x")
        new, _client = self.connect()
        with (
            mock.patch.object(receive_buffers, "RECLAIM_CHECKS", 2),
            mock.patch.object(arrived_bytes, "has_unread", return_value=True) as checks,
        ):
            self.assertFalse(self.buffers.try_enlarge(new))
        self.assertEqual(checks.call_count, 2)

    async def test_unread_bytes_keep_their_buffer(self) -> None:
        streams = [self.connect() for _ in range(self.budget.limit)]
        for stream, client in streams:
            self.buffers.try_enlarge(stream)
            client.send(b"x")
        new, _client = self.connect()
        self.assertFalse(self.buffers.try_enlarge(new))
        self.assertEqual(self.budget.refusals, 1)
        self.buffers.release(streams[0][0])
        self.assertTrue(self.buffers.try_enlarge(new))
