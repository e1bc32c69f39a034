"""Tests of queued requests whose backend servers pause, load weights or leave.

The failures: requests rejected that a short pause would only have delayed, and
requests left in the queue without any server.
"""

import asyncio
import random
import unittest

from quincecrank import clock as clocks
from quincecrank.gateway import (
    deployment,
    dispatcher,
    fleet_state,
    placements,
    prompts,
    servers,
)
from quincecrank.platform import documents
from tests import builders_gateway as builders


class WaitingRequestsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clocks.ManualClock(1_000)
        self.fleet = fleet_state.FleetState(builders.make_environment(), self.clock)
        text = builders.make_configuration_text()
        self.fleet.apply_configuration(documents.configuration(text))
        self.fleet.mark_servers_read()
        self.dispatcher = dispatcher.Dispatcher(self.fleet, random.Random(1))

    def service(self, name: deployment.ServiceName) -> deployment.Service:
        assert self.fleet.configuration is not None
        return self.fleet.configuration.services_by_name[name]

    def make_request(
        self, name: deployment.ServiceName, prompt: prompts.Prompt | None = None
    ) -> placements.PlacementRequest:
        queued = builders.make_queued_request(
            "q-1", arrived_ms=1_000, deadline_ms=4_000, target_ms=1_000
        )
        return placements.PlacementRequest(queued, self.service(name), None, prompt)

    def add_server(self, name: deployment.ServiceName) -> servers.ServerEntry:
        weights = 1 if name == builders.LLM else None
        entry = builders.make_entry(service=name, slots=1, weights=weights)
        return self.fleet.registry.update(entry)

    async def start_placing(
        self, request: placements.PlacementRequest
    ) -> "asyncio.Task[placements.Placement | placements.Rejection]":
        """Start to place a request; return the task once it waits or has ended."""
        task = asyncio.create_task(self.dispatcher.place(request))
        await asyncio.sleep(0)
        return task

    async def test_a_request_waits_for_the_end_of_a_short_pause(self) -> None:
        entry = self.add_server(builders.PLAIN)
        self.fleet.health.health_of(entry).record_refusal(self.clock.now_ms())
        task = await self.start_placing(self.make_request(builders.PLAIN))
        self.assertFalse(task.done())
        self.clock.advance(200)
        self.dispatcher.start_queued(builders.PLAIN)
        self.assertIsInstance(await task, placements.Placement)

    async def test_a_request_is_rejected_until_the_end_of_a_long_pause(self) -> None:
        entry = self.add_server(builders.PLAIN)
        self.fleet.health.health_of(entry).record_pause_request(
            self.clock.now_ms(), 2_500
        )
        task = await self.start_placing(self.make_request(builders.PLAIN))
        rejection = await task
        assert isinstance(rejection, placements.Rejection)
        self.assertEqual(rejection.retry_after_ms, 2_500)

    async def test_requests_are_rejected_at_once_when_the_last_engine_leaves(
        self,
    ) -> None:
        entry = self.add_server(builders.LLM)
        self.fleet.health.health_of(entry).record_refusal(self.clock.now_ms())
        prompt = builders.make_prompt(("a", 60), ("b", 40))
        task = await self.start_placing(self.make_request(builders.LLM, prompt))
        self.assertFalse(task.done())
        self.fleet.registry.mark_leaving(entry.incarnation, 1_000, is_direct=True)
        self.dispatcher.start_queued(builders.LLM)
        rejection = await task
        assert isinstance(rejection, placements.Rejection)
        self.assertEqual(rejection.reason, "no backend server")

    async def test_a_request_keeps_waiting_while_no_engine_is_usable(self) -> None:
        entry = self.add_server(builders.LLM)
        self.fleet.health.health_of(entry).record_refusal(self.clock.now_ms())
        prompt = builders.make_prompt(("a", 60), ("b", 40))
        task = await self.start_placing(self.make_request(builders.LLM, prompt))
        for _ in range(3):
            self.fleet.health.health_of(entry).mark_unreachable(self.clock.now_ms())
        self.dispatcher.start_queued(builders.LLM)
        self.assertFalse(task.done())
        task.cancel()


if __name__ == "__main__":
    unittest.main()
