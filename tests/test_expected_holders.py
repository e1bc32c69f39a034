"""Tests of expected holders and of the reservation of cache space in an engine."""

import asyncio
import unittest

from quincecrank import cache_reservations, chain_view, expected_holders, ids
from tests import builders_decisions as builders

EMPTY = chain_view.empty(5)


class ExpectedHoldersTest(unittest.TestCase):
    """Simultaneous requests for one context must not compute it at several replicas."""

    def setUp(self) -> None:
        self.expected = expected_holders.ExpectedHolders()
        self.text = builders.prompt(5)
        self.keys = builders.chain_keys(self.text)

    def held(self, keys: tuple[ids.BlockKey, ...], now_ms: int) -> int:
        chain = self.expected.merged(EMPTY, keys, now_ms)
        return chain.held_prefix(builders.ADA)

    def test_request_in_flight_attracts_others_with_its_prefix(self) -> None:
        other = builders.chain_keys(self.text[: 3 * 4096] + b"z" * 8192)
        self.expected.record_send(builders.ADA, self.keys, 0)
        self.assertEqual(self.held(self.keys, 1), 5)
        self.assertEqual(self.held(other, 1), 3)
        self.assertEqual(self.held(builders.chain_keys(b"q" * 8192), 1), 0)

    def test_expected_blocks_expire_soon_after_the_first_token(self) -> None:
        self.expected.record_send(builders.ADA, self.keys, 0)
        self.expected.record_first_token(builders.ADA, self.keys, 900)
        until_ms = 900 + expected_holders.DIRECTORY_LAG_MS
        self.assertEqual(self.held(self.keys, until_ms - 1), 5)
        self.assertEqual(self.held(self.keys, until_ms), 0)

    def test_no_blocks_are_expected_of_a_failed_or_expired_request(self) -> None:
        self.expected.record_send(builders.ADA, self.keys, 0)
        self.expected.record_failure(builders.ADA, self.keys)
        self.assertEqual(self.held(self.keys, 1), 0)
        self.expected.record_send(builders.ADA, self.keys, 0)
        self.assertEqual(self.held(self.keys, expected_holders.EXPECTATION_MS), 0)

    def test_blocks_listed_in_the_directory_are_retained(self) -> None:
        listed = chain_view.ChainView(5, {builders.BELA: frozenset({0, 1})})
        self.expected.record_send(builders.ADA, self.keys, 0)
        chain = self.expected.merged(listed, self.keys, 1)
        self.assertEqual(chain.held_prefix(builders.BELA), 2)
        self.assertEqual(chain.held_prefix(builders.ADA), 5)


def block(number: int) -> ids.BlockKey:
    return ids.BlockKey(str(number))


class CacheReservationsTest(unittest.IsolatedAsyncioTestCase):
    """Running requests must not evict each other's blocks."""

    def setUp(self) -> None:
        self.reservations = cache_reservations.CacheReservations()
        self.reservations.capacity = 10
        self.running: list[str] = []
        self.ends: dict[str, asyncio.Event] = {}

    async def start(self, name: str, *numbers: int) -> "asyncio.Task[None]":
        self.ends[name] = asyncio.Event()

        async def use() -> None:
            async with self.reservations.reserve(tuple(map(block, numbers))):
                self.running.append(name)
                await self.ends[name].wait()
                self.running.remove(name)

        task = asyncio.ensure_future(use())
        await asyncio.sleep(0)
        return task

    async def end(self, name: str) -> None:
        self.ends[name].set()
        for _ in range(4):
            await asyncio.sleep(0)

    async def test_requests_wait_in_order_until_their_blocks_fit(self) -> None:
        await self.start("a", *range(6))
        await self.start("b", *range(10, 16))
        await self.start("c", 20)
        self.assertEqual(self.running, ["a"])
        await self.end("a")
        self.assertEqual(self.running, ["b", "c"])
        self.assertEqual(self.reservations.blocks_in_use, 7)

    async def test_shared_blocks_are_counted_once(self) -> None:
        await self.start("a", *range(8))
        await self.start("b", *range(8), 20)
        self.assertEqual(self.running, ["a", "b"])

    async def test_prompt_larger_than_the_cache_runs_alone(self) -> None:
        await self.start("a", *range(20))
        await self.start("b", 30)
        self.assertEqual(self.running, ["a"])
        await self.end("a")
        self.assertEqual(self.running, ["b"])

    async def test_cancelled_waiter_does_not_block_the_next_one(self) -> None:
        await self.start("a", *range(6))
        waiting = await self.start("b", *range(10, 20))
        await self.start("c", 20)
        waiting.cancel()
        for _ in range(4):
            await asyncio.sleep(0)
        self.assertEqual(self.running, ["a", "c"])
