"""Tests of the name resolver of HTTP clients."""

import socket
import threading
import unittest

from quincecrank import ip_resolver, store_rows
from quincecrank.platform import store


class IpResolverTest(unittest.IsolatedAsyncioTestCase):
    async def test_addresses_are_resolved(self) -> None:
        resolver = ip_resolver.IpResolver()
        self.assertEqual(
            await resolver.resolve("10.1.0.9", 80),
            [(socket.AF_INET, ("10.1.0.9", 80))],
        )
        self.assertEqual(
            await resolver.resolve("::1", 80), [(socket.AF_INET6, ("::1", 80))]
        )

    async def test_names_are_rejected(self) -> None:
        with self.assertRaises(OSError):
            await ip_resolver.IpResolver().resolve("store.example", 80)

    async def test_calls_by_address_waited_for_a_thread(self) -> None:
        """A late event loop then ended them as "Timeout while resolving"."""
        client = store.PlatformStore("http://127.0.0.1:1")
        before = threading.active_count()
        with self.assertRaises(store_rows.StoreUnavailableError):
            await client.read("op")
        self.assertEqual(threading.active_count(), before)
