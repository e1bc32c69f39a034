"""Requests on outdated weights, sent by a real forwarder to scripted engines."""

import asyncio
import dataclasses
from typing import Final
from unittest import mock

from quincecrank.gateway import forwarding, server_health
from tests import builders_gateway as builders
from tests import gateway_case as case

DEADLINE_MS: Final = 3_000
PROMPT: Final = {
    "Model": builders.MODEL,
    "Token_Count": "30,3",
    "Prompt_Prefix": "aa:20,bb:10",
}
EVENT: Final = "id: 1\ndata: 1\n\n"
RESUMABLE: Final = "/draft/long/"
RUN_ONCE: Final = "/draft/"


def begins_after(delay_ms: int) -> case.Script:
    """Return a script of a stream with one event, some time after the request."""

    async def script(
        request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(delay_ms / 1000)
        head = case.stream_head(request.headers["Request-Id"])
        writer.write(head + case.chunk(EVENT) + case.chunk(""))

    return script


class OutdatedWeightsTest(case.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        settings = self.fleet.own_settings
        bounds = dataclasses.replace(settings.bounds, weights_deadline_ms=DEADLINE_MS)
        self.fleet.own_settings = dataclasses.replace(settings, bounds=bounds)
        document = builders.make_configuration_document(8)
        document["routes"][1] |= {"maxAttempts": 3, "targetLatencyMs": 50}
        self.configure_from(document)

    async def add_engine(
        self, *scripts: case.Script, weights: int
    ) -> case.ScriptedServer:
        """Start an engine; each further one has a higher id."""
        engine = await self.add_server(*scripts, service="drafting")
        entry = self.fleet.registry.entries()[-1]
        self.fleet.registry.record_loaded_weights(
            entry.server_id, entry.started_wall_ms, builders.MODEL, weights
        )
        return engine

    def set_target(self, version: int, age_ms: int) -> None:
        """Record a target version that was set `age_ms` ago."""
        self.fleet.target_versions.record_target(
            builders.MODEL, version, self.clock.now_ms(), age_ms
        )

    async def ask_for(
        self, path: str, request_id: str = "q-1", **headers: str
    ) -> case.ReceivedAnswer:
        headers |= {"Request_Id": request_id, **PROMPT}
        return await self.ask(path, b"prompt", **headers)

    async def test_a_second_target_version_gave_outdated_weights_more_time(
        self,
    ) -> None:
        """The deadline of version 2 was replaced by the later one of version 3."""
        outdated = await self.add_engine(begins_after(0), weights=1)
        self.set_target(2, DEADLINE_MS)
        self.set_target(3, 0)
        got = await self.ask_for(RESUMABLE)
        self.assertEqual((got.status, len(outdated.received)), (503, 0))

    async def test_a_queued_request_began_on_outdated_weights_after_the_deadline(
        self,
    ) -> None:
        """It was sent before the deadline, and not withdrawn from the engine."""
        outdated = await self.add_engine(case.stays_silent, weights=1)
        self.set_target(2, DEADLINE_MS // 2)
        asking = asyncio.ensure_future(self.ask_for(RESUMABLE))
        await asyncio.sleep(DEADLINE_MS / 4000)
        current = await self.add_engine(begins_after(0), weights=2)
        got = await asyncio.wait_for(asking, DEADLINE_MS / 2000 - DEADLINE_MS / 4000)
        self.assertEqual((got.status, got.body), (200, EVENT.encode()))
        self.assertEqual((len(outdated.received), len(current.received)), (1, 1))

    async def test_a_queued_request_that_may_run_once_began_after_the_deadline(
        self,
    ) -> None:
        """It must not be sent again, so the caller learns that it may have run."""
        await self.add_engine(case.stays_silent, weights=1)
        self.set_target(2, DEADLINE_MS // 2)
        asking = asyncio.ensure_future(self.ask_for(RUN_ONCE))
        await asyncio.sleep(DEADLINE_MS / 4000)
        current = await self.add_engine(begins_after(0), weights=2)
        got = await asyncio.wait_for(asking, DEADLINE_MS / 4000)
        self.assertEqual((got.status, len(current.received)), (502, 0))

    async def test_the_second_send_of_a_silent_stream_is_withdrawn(self) -> None:
        self.forwarder.check_server = mock.Mock()
        silent = await self.add_engine(case.stays_silent, weights=2)
        self.set_target(2, DEADLINE_MS // 2)
        health = mock.patch.object(server_health.ServerHealth, "record_failure")
        silence = mock.patch.object(forwarding, "STREAM_SILENCE_MS", DEADLINE_MS // 10)
        with health as record_failure, silence:
            asking = asyncio.ensure_future(self.ask_for(RESUMABLE))
            await asyncio.sleep(DEADLINE_MS * 0.05 / 1000)
            outdated = await self.add_engine(case.stays_silent, weights=1)
            await asyncio.sleep(DEADLINE_MS * 0.25 / 1000)
            current = await self.add_engine(begins_after(0), weights=2)
            got = await asyncio.wait_for(asking, DEADLINE_MS * 0.2 / 1000)
            self.assertEqual(record_failure.call_count, 1)  # Of the silent engine.
        self.assertEqual((got.status, got.body), (200, EVENT.encode()))
        received = [len(each.received) for each in (silent, outdated, current)]
        self.assertEqual(received, [1, 1, 1])
        self.forwarder.check_server.assert_not_called()

    async def test_a_request_that_has_begun_on_outdated_weights_goes_on(self) -> None:
        async def script(
            _request: case.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(case.stream_head() + case.chunk(EVENT))
            await asyncio.sleep(DEADLINE_MS * 0.5 / 1000)
            writer.write(case.chunk(""))

        await self.add_engine(script, weights=1)
        self.set_target(2, DEADLINE_MS // 2)
        got = await self.ask_for(RUN_ONCE)
        self.assertEqual((got.status, got.body), (200, EVENT.encode()))
        self.assertTrue(got.is_complete)

    async def test_requests_were_sent_to_an_engine_too_slow_for_the_deadline(
        self,
    ) -> None:
        """Only the service's times counted, not what the engine showed meanwhile."""
        engine = await self.add_engine(begins_after(DEADLINE_MS // 4), weights=1)
        self.assertEqual((await self.ask_for(RUN_ONCE)).status, 200)
        self.set_target(2, DEADLINE_MS // 2)
        got = await self.ask_for(RUN_ONCE, "q-2", Deadline_Ms="700")
        self.assertEqual((got.status, len(engine.received)), (503, 1))
