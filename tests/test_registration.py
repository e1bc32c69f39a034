"""Tests of agent registration.

Guards against two processes with one fencing number and against an agent that goes on
serving after a newer one has registered.
"""

import asyncio
import unittest
from unittest import mock

from quincecrank import platform_table, registration
from tests import builders_platform, fakes

CURRENT = registration.RegistrationState.CURRENT
SUPERSEDED = registration.RegistrationState.SUPERSEDED
UNKNOWN = registration.RegistrationState.UNKNOWN


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = fakes.FakeTable()

    async def register(self, incarnation: str) -> registration.Registration:
        agent = builders_platform.agent_identity(incarnation)
        return await registration.register(self.table, agent)

    async def test_each_start_takes_the_next_number_despite_table_faults(self) -> None:
        switches = (None, "lose_next_answers", "lose_next_requests", "delay_next")
        for number, switch in enumerate(switches, start=1):
            with self.subTest(switch):
                if switch is not None:
                    setattr(self.table, switch, 1)
                registered = await self.register(f"i{number}")
                self.assertEqual(registered.fencing_number, number)
                self.table.deliver_delayed()
        again = await self.register("i4")
        self.assertEqual(again.fencing_number, 4)

    async def test_registration_can_be_repeated_after_the_table_was_unavailable(
        self,
    ) -> None:
        self.table.lose_next_answers = 1
        real_read = self.table.read
        error = platform_table.TableUnavailableError("once")
        reads = mock.AsyncMock(side_effect=[None, error])
        with mock.patch.object(self.table, "read", reads):
            with self.assertRaises(platform_table.OutcomeUnknownError):
                await self.register("i1")
        self.assertEqual(self.table.read, real_read)
        self.assertEqual((await self.register("i1")).fencing_number, 1)

    async def test_concurrent_starts_get_different_numbers(self) -> None:
        starts = [self.register(f"i{number}") for number in range(4)]
        registered = await asyncio.gather(*starts)
        numbers = sorted(found.fencing_number for found in registered)
        self.assertEqual(numbers, [1, 2, 3, 4])
        states = [
            await registration.check_registration(self.table, found)
            for found in registered
        ]
        self.assertEqual(states.count(CURRENT), 1)
        newest = registered[states.index(CURRENT)]
        self.assertEqual(newest.fencing_number, 4)

    async def test_paused_agent_detects_that_it_is_superseded(self) -> None:
        first = await self.register("i1")
        self.assertEqual(
            await registration.check_registration(self.table, first), CURRENT
        )
        await self.register("i2")
        self.assertEqual(
            await registration.check_registration(self.table, first), SUPERSEDED
        )
        self.table.down = True
        self.assertEqual(
            await registration.check_registration(self.table, first), UNKNOWN
        )
