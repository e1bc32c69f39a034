"""Tests of the tasks that wait for admission."""

import asyncio
import types
import unittest
from unittest import mock

from quincecrank import (
    admission_gate,
    clock,
    configuration,
    ids,
    problems,
    request_context,
    router,
)

HANG_TIMEOUT_S = 10


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        agent = types.SimpleNamespace(
            max_concurrent=1, prefill_tokens_per_second=1_000_000.0
        )
        request_router = mock.create_autospec(router.Router, instance=True)
        request_router.candidates.return_value = (agent,)
        self.gate = admission_gate.AdmissionGate(request_router, self.clock)
        self.admitted: list[str] = []

    def _start(self, name: str, deadline_ms: int) -> "asyncio.Task[None]":
        context = request_context.RequestContext(
            request_id=ids.RequestId(name),
            account=configuration.Account(name=ids.AccountName("kirtipur")),
            deployment=configuration.Deployment(
                name=ids.DeploymentName("lekhak"),
                kind=configuration.DeploymentKind.MODEL,
            ),
            configuration_version=ids.ConfigurationVersion(1),
            deadline_at_ms=deadline_ms,
            priority=0,
            fingerprint="",
            open_request=mock.Mock(),
        )

        async def run() -> None:
            async with self.gate.admitted(context, ids.AdapterName(""), 10):
                self.admitted.append(name)
                await self.ends[name].wait()

        return asyncio.create_task(run())

    async def test_queue_processing_rejects_expired_requests_and_sleeps_when_none_waits(
        self,
    ) -> None:
        names = ("first", "patient", "hasty")
        self.ends = {name: asyncio.Event() for name in names}
        rounds = asyncio.create_task(self._process_queues_forever())
        first = self._start("first", 1_000_000)
        await asyncio.sleep(0.01)
        self.assertEqual(self.rounds, 0)
        patient = self._start("patient", 1_000_000)
        hasty = self._start("hasty", 50_000)
        await asyncio.sleep(0.01)
        self.assertEqual(self.admitted, ["first"])
        self.clock.advance(60_000)
        with self.assertRaises(problems.ProblemError):
            await asyncio.wait_for(hasty, HANG_TIMEOUT_S)
        self.ends["first"].set()
        await first
        self.ends["patient"].set()
        await patient
        self.assertEqual(self.admitted, ["first", "patient"])
        await asyncio.sleep(0.01)
        before = self.rounds
        await asyncio.sleep(0.01)
        self.assertEqual(self.rounds, before)
        rounds.cancel()

    async def _process_queues_forever(self) -> None:
        self.rounds = 0
        while True:
            await self.gate.process_queues()
            self.rounds += 1
            await asyncio.sleep(0)
