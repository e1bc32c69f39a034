"""Tests of waiting requests whose backend servers pause or leave."""

import asyncio
import random
import unittest

from quincecrank import clock as clocks
from quincecrank.gateway import deployment, dispatcher, knowledge, prompts, servers
from quincecrank.platform import documents
from tests import builders_gateway as builders


class WaitingRequestsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.known = knowledge.Knowledge(builders.make_environment(), self.clock)
        text = builders.make_configuration_text()
        self.known.take_configuration(documents.configuration(text))
        self.known.servers_known()
        self.places = dispatcher.Dispatcher(self.known, random.Random(1))

    def service(self, name: deployment.ServiceName) -> deployment.Service:
        assert self.known.current is not None
        return self.known.current.services_by_name[name]

    def want(
        self, name: deployment.ServiceName, prompt: prompts.Prompt | None = None
    ) -> dispatcher.Want:
        ticket = builders.make_ticket(
            "q-1", arrived_ms=1_000, deadline_ms=4_000, target_ms=1_000
        )
        return dispatcher.Want(ticket, self.service(name), None, prompt)

    def add_server(self, name: deployment.ServiceName) -> servers.ServerEntry:
        weights = 1 if name == builders.LLM else None
        entry = builders.make_entry(service=name, slots=1, weights=weights)
        return self.known.registry.update(entry)

    async def begin(
        self, want: dispatcher.Want
    ) -> "asyncio.Task[dispatcher.Placed | dispatcher.Refused]":
        """Ask for a place; return the task once it waits or has ended."""
        task = asyncio.create_task(self.places.place(want))
        await asyncio.sleep(0)
        return task

    async def test_a_request_waits_for_the_end_of_a_short_pause(self) -> None:
        entry = self.add_server(builders.PLAIN)
        self.known.health.of(entry).refused(self.clock.now_ms())
        task = await self.begin(self.want(builders.PLAIN))
        self.assertFalse(task.done())
        self.clock.advance(200)
        self.places.pump(builders.PLAIN)
        self.assertIsInstance(await task, dispatcher.Placed)

    async def test_a_request_comes_back_after_a_long_pause(self) -> None:
        entry = self.add_server(builders.PLAIN)
        self.known.health.of(entry).asked_for_pause(self.clock.now_ms(), 2_500)
        task = await self.begin(self.want(builders.PLAIN))
        refused = await task
        assert isinstance(refused, dispatcher.Refused)
        self.assertEqual(refused.retry_after_ms, 2_500)

    async def test_what_waits_for_engines_that_left_is_refused_at_once(self) -> None:
        entry = self.add_server(builders.LLM)
        self.known.health.of(entry).refused(self.clock.now_ms())
        prompt = builders.make_prompt(("a", 60), ("b", 40))
        task = await self.begin(self.want(builders.LLM, prompt))
        self.assertFalse(task.done())
        self.known.registry.leaves(entry.incarnation, 1_000, is_own=True)
        self.places.pump(builders.LLM)
        refused = await task
        assert isinstance(refused, dispatcher.Refused)
        self.assertEqual(refused.reason, "no backend server")

    async def test_engines_that_all_load_weights_break_nothing(self) -> None:
        entry = self.add_server(builders.LLM)
        self.known.health.of(entry).refused(self.clock.now_ms())
        prompt = builders.make_prompt(("a", 60), ("b", 40))
        task = await self.begin(self.want(builders.LLM, prompt))
        for _ in range(3):
            self.known.health.of(entry).unreachable(self.clock.now_ms())
        self.places.pump(builders.LLM)
        self.assertFalse(task.done())
        task.cancel()


if __name__ == "__main__":
    unittest.main()
