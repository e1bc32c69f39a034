"""Tests of the HTTP client and the process figures of the path benchmark."""

import os
import unittest

from bench import path_caller, path_fleet, process_usage
from tests import builders_engine as builders


class StreamCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.running = builders.start_engine()
        self.addAsyncCleanup(self.running.stop)
        self.caller = path_caller.StreamCaller()
        self.addCleanup(self.caller.close)

    async def test_complete_answer_is_returned_with_its_events(self) -> None:
        body = path_fleet.engine_body("prompt", 12)
        first_tokens: list[int] = []
        answer = await self.caller.stream_answer(
            self.running.server.url, body, {}, lambda: first_tokens.append(1)
        )
        self.assertEqual(answer.events, 12)
        self.assertEqual(first_tokens, [1])

    async def test_refusal_raises_instead_of_being_timed(self) -> None:
        self.running.engine.scheduler.change_weight_version("v2")
        with self.assertRaises(path_caller.IncompleteAnswerError):
            body = path_fleet.engine_body("prompt", 12)
            await self.caller.stream_answer(self.running.server.url, body, {})


class ProcessUsageTest(unittest.TestCase):
    def test_own_process_shows_memory_and_processor_time(self) -> None:
        self.assertGreater(process_usage.private_bytes(os.getpid()), 1 << 20)
        self.assertGreater(process_usage.processor_seconds(os.getpid()), 0.0)
