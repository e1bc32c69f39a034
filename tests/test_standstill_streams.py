"""Streams at a gateway that stood still while their servers sent events."""

import asyncio
import dataclasses
import socket
from typing import Final
from unittest import mock

from quincecrank.gateway import forwarding, servers, weights
from tests import builders_gateway as builders
from tests import builders_standstill as standstill
from tests import gateway_case as case
from tests import test_leaving_streams as leaving_streams

SILENCE_MS: Final = 200
REST: Final = "".join(map(leaving_streams.event, range(2, leaving_streams.EVENTS + 1)))


class StandstillTest(leaving_streams.StreamCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = builders.make_configuration_document(8)
        document["routes"][1] |= {"maxAttempts": 2, "targetLatencyMs": 50}
        self.configure_from(document)

    async def accept(
        self, _request: case.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Script of a server whose answer the test sends."""
        raw: socket.socket = writer.get_extra_info("socket")
        self.server_socket = socket.fromfd(raw.fileno(), raw.family, raw.type)
        self.server_socket.setblocking(True)
        self.addCleanup(self.server_socket.close)
        await asyncio.sleep(case.WAIT_S)

    def set_state(self, server_id: str, state: servers.ServerState) -> None:
        entry = self.fleet.registry.find(servers.ServerId(server_id))
        assert entry is not None
        self.fleet.registry.update(dataclasses.replace(entry, state=state))

    async def test_streams_were_sent_twice_after_a_standstill(self) -> None:
        """The silence limit acted before the events that had arrived were read."""
        silence = mock.patch.object(forwarding, "STREAM_SILENCE_MS", SILENCE_MS)
        silence.start()
        self.addCleanup(silence.stop)
        complete = case.stream_head("q-0") + case.chunk(REST) + case.chunk("")
        other = await self.add_server(
            case.sends(complete), service="drafting", server_id="e-1"
        )
        headers = {**leaving_streams.PROMPT, "Request_Id": "q-0"}
        await self.ask(leaving_streams.PATH, b"prompt", **headers)
        self.set_state("e-1", servers.ServerState.DRAINING)
        await self.add_server(self.begin, service="drafting", server_id="e-2")
        caller = await self.open_stream()
        self.set_state("e-1", servers.ServerState.READY)
        self.send_unread(case.chunk(leaving_streams.event(2)))
        standstill.stand_still(2 * SILENCE_MS)
        await asyncio.sleep(0.05)
        self.assertEqual(len(other.received), 1)
        caller.close()

    async def test_a_begun_stream_was_withdrawn_after_a_standstill(self) -> None:
        """Its first event had arrived by the limit of outdated weights, unread."""
        engine = await self.add_server(self.accept, service="drafting")
        caller = await case.Caller.connect(self.port)
        await caller.send(leaving_streams.PATH, b"prompt", **leaving_streams.PROMPT)
        while not engine.received:
            await asyncio.sleep(0.01)
        bounds = self.fleet.own_settings.bounds
        limit_ms = bounds.weights_deadline_ms * weights.WITHDRAWAL_FRACTION
        left_ms = 200
        self.fleet.target_versions.record_target(
            builders.MODEL, 2, self.clock.now_ms(), round(limit_ms) - left_ms
        )
        first = case.chunk(leaving_streams.event(1))
        self.send_unread(case.stream_head() + first)
        standstill.stand_still(2 * left_ms)
        event = leaving_streams.event(1).encode()
        await asyncio.wait_for(caller.reader.readuntil(event), case.WAIT_S)
        caller.close()
