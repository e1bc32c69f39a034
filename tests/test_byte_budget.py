"""Tests of the budget of bytes that are held for callers and backend servers."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from quincecrank import settings
from quincecrank.budgets import byte_budget, connection_budget
from tests import builders_gateway as builders
from tests import gateway_case as case

Holder = byte_budget.Holder

SMALL_MB: Final = 8
"""Memory of settings that leave the smallest budget."""

SITE_MB: Final = 136
CALLERS: Final = 40
PATIENT_MS: Final = 60_000
"""Time limit of a route whose answers must not end by it."""

PIECE: Final = b"x" * 50_000
PIECES: Final = 16
"""Pieces of an answer, 800 kB in all: less than is buffered of a single answer."""

SEALED: Final = f"HTTP/1.1 200 OK\r\n{case.SEAL}\r\n".encode()
UNSEALED: Final = b"HTTP/1.1 200 OK\r\n\r\n"
FAILED: Final = f"HTTP/1.1 500 No\r\n{case.SEAL}\r\n".encode()
STALL_S: Final = 3 * connection_budget.MIN_PARTIAL_MS / 1_000


class ByteBudgetTest(unittest.TestCase):
    def test_held_bytes_fit_beside_the_process(self) -> None:
        for memory_mb in (SITE_MB, 222):
            budget = byte_budget.ByteBudget(memory_mb)
            taken = sum(
                limit * byte_budget.MEMORY_PER_BYTE[holder]
                for holder, limit in budget.limit_by_holder.items()
            )
            memory = memory_mb * byte_budget.BYTES_PER_MB
            self.assertLessEqual(taken + byte_budget.PROCESS_BYTES, memory)

    def test_a_usual_body_had_no_memory_with_little_of_it(self) -> None:
        budget = byte_budget.ByteBudget(1)
        usual_bytes = settings.DEFAULT_MAX_BODY_BYTES
        self.assertTrue(budget.try_hold(Holder.CALLERS, usual_bytes))

    def test_one_holder_leaves_the_share_of_the_other(self) -> None:
        budget = byte_budget.ByteBudget(SITE_MB)
        while budget.try_hold(Holder.SERVERS, 100_000):
            pass
        self.assertTrue(budget.try_hold(Holder.CALLERS, 4_000_000))

    def test_an_account_releases_all_that_it_holds(self) -> None:
        budget = byte_budget.ByteBudget(SITE_MB)
        account = byte_budget.Account(budget)
        account.try_hold(Holder.CALLERS, 5)
        account.try_hold(Holder.SERVERS, 7)
        account.release(Holder.SERVERS, 3)
        account.close()
        account.close()
        account.release(Holder.SERVERS, 3)
        self.assertFalse(account.try_hold(Holder.CALLERS, 1))
        self.assertEqual(set(budget.held_by_holder.values()), {0})

    def test_what_does_not_fit_is_not_held(self) -> None:
        budget = byte_budget.ByteBudget(SITE_MB)
        limit = budget.limit_by_holder[Holder.CALLERS]
        self.assertTrue(budget.try_hold(Holder.CALLERS, limit))
        self.assertFalse(budget.try_hold(Holder.CALLERS, 1))
        self.assertEqual(budget.held_by_holder[Holder.CALLERS], limit)
        self.assertEqual(budget.rejections_by_holder[Holder.CALLERS], 1)


class HeldBytesTest(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.budget = byte_budget.ByteBudget(SMALL_MB)
        self.listener.state.budgets.bytes = self.budget
        self.most_held = 0

    async def watch(self) -> None:
        """Record the most bytes that are held for servers."""
        while True:
            self.most_held = max(
                self.most_held, self.budget.held_by_holder[Holder.SERVERS]
            )
            await asyncio.sleep(0.01)

    async def ask_at_once(self, head: bytes) -> list[case.ReceivedAnswer]:
        """Let servers send long answers to many callers at once."""

        async def script(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(head)
            for _ in range(PIECES):
                writer.write(PIECE)
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.close()

        document = builders.make_configuration_document(8)
        document["services"][2]["maxConns"] = 2 * CALLERS
        document["routes"][2]["timeoutMs"] = PATIENT_MS
        self.configure_from(document)
        server = case.ScriptedServer(script)
        address = await server.start()
        self.servers.append(server)
        self.fleet.registry.update(
            builders.make_entry(
                "i-1",
                service=builders.PLAIN,
                address=address,
                slots=2 * CALLERS,
                weights=None,
            )  # fmt: skip
        )
        self.background.start(self.watch())
        asked = (
            self.ask("/record/", b"x", Deadline_Ms=str(PATIENT_MS))
            for _ in range(CALLERS)
        )
        return list(await asyncio.gather(*asked))

    def check_held(self) -> None:
        """Check that the budget was used, was not exceeded, and is free again."""
        limit = self.budget.limit_by_holder[Holder.SERVERS]
        self.assertLessEqual(self.most_held, limit)
        self.assertGreater(self.most_held, limit / 2)
        self.assertEqual(self.budget.held_by_holder[Holder.SERVERS], 0)

    async def test_many_answers_came_to_more_than_the_memory(self) -> None:
        """Each answer was within its limit, and nothing bounded their sum."""
        got = await self.ask_at_once(SEALED)
        self.assertEqual({each.status for each in got}, {200})
        await asyncio.sleep(0.1)
        self.check_held()

    async def test_many_failures_came_to_more_than_the_memory(self) -> None:
        """A failure is passed on only once it is complete."""
        got = await self.ask_at_once(FAILED)
        statuses = {each.status for each in got}
        self.assertLessEqual(statuses, {500, 502, 503})
        self.assertIn(500, statuses)
        await asyncio.sleep(0.1)
        self.check_held()

    async def test_answers_that_are_not_used_were_held(self) -> None:
        """An answer without a signature was kept although it is never passed on."""
        got = await self.ask_at_once(UNSEALED)
        self.assertNotIn(200, {each.status for each in got})
        self.assertEqual(self.most_held, 0)

    async def test_a_server_is_not_blamed_for_an_answer_without_memory(self) -> None:
        await self.ask_at_once(FAILED)
        entry = self.fleet.registry.entries()[0]
        self.assertFalse(self.fleet.liveness.may_have_ended(entry.incarnation))

    async def send_bodies(self, count: int, size: int) -> list[case.Caller]:
        """Have callers declare bodies and send a byte of them."""
        headers = builders.make_headers()
        headers["Content-Length"] = str(size)
        lines = [f"{name}: {value}" for name, value in headers.get_all()]
        head = "\r\n".join(["POST /record/ HTTP/1.1", *lines, "", "x"]).encode()
        opened = []
        for _ in range(count):
            caller = await case.Caller.connect(self.port)
            caller.writer.write(head)
            opened.append(caller)
        await asyncio.sleep(0.1)
        return opened

    def allow_bodies(self, size: int) -> None:
        """Have the configuration allow bodies of a size."""
        document = builders.make_configuration_document(8)
        document["limits"]["maxBodyBytes"] = size
        self.configure_from(document)

    async def test_many_bodies_came_to_more_than_the_memory(self) -> None:
        """Each body was within its limit, and nothing bounded their sum."""
        size = self.budget.limit_by_holder[Holder.CALLERS] // 2
        self.allow_bodies(size)
        opened = await self.send_bodies(3, size)
        got = await opened[2].receive()
        self.assertEqual(got.status, 503)
        self.assertIn("Retry-After", got.headers)
        self.assertEqual(got.headers["Request-Id"], "q-1")
        held = self.budget.held_by_holder[Holder.CALLERS]
        self.assertLessEqual(held, self.budget.limit_by_holder[Holder.CALLERS])
        for caller in opened:
            caller.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.budget.held_by_holder[Holder.CALLERS], 0)

    async def test_each_rejection_searched_all_connections(self) -> None:
        """A crowd of rejected bodies took time by the square of its size."""
        limit = self.budget.limit_by_holder[Holder.CALLERS]
        account = byte_budget.Account(self.budget)
        budget = self.listener.state.budgets.descriptors
        with mock.patch.object(
            budget, "order_to_close", wraps=budget.order_to_close
        ) as searched:
            for _ in range(CALLERS):
                self.assertFalse(self.listener.hold(account, limit + 1))
        self.assertLess(searched.call_count, CALLERS)

    async def test_half_bodies_kept_the_memory_of_others(self) -> None:
        """Callers that stopped inside a body had its memory for a minute."""
        await self.add_server(case.sends(case.answer()))
        size = self.budget.limit_by_holder[Holder.CALLERS] // 2
        self.allow_bodies(size)
        opened = await self.send_bodies(2, size)
        await asyncio.sleep(STALL_S)
        got = await self.ask("/record/", b"x" * size)
        self.assertEqual(got.status, 200)
        for caller in opened:
            caller.close()


if __name__ == "__main__":
    unittest.main()
