"""Tests of orders that reach an agent during its graceful shutdown.

They guard against an order that crosses the closing of the link and is dropped without
an answer, so that its outcome would be unknown although it never ran.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from quincecrank import (
    agent_links,
    attempt,
    current_configuration,
    peer_link,
    run_queue,
    runner,
    stream_messages,
)
from quincecrank import clock as clocks
from tests import builders_wire


class LeavingOwner(builders_wire.RecordingOwner):
    """Passes orders to the runner of an agent that is shutting down."""

    def __init__(self) -> None:
        super().__init__()
        queue = run_queue.RunQueue(limit=1, max_waiting=1)
        self.streams = runner.StreamRunner(mock.Mock(), queue, clocks.SystemClock())
        self.streams.leaving_reason = "the agent is shutting down"

    def packet_received(self, link: peer_link.PeerLink, packet: Any) -> None:
        """Pass the order of a packet to the runner."""
        self.streams.open(link, stream_messages.decode_order(packet.open))


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def test_order_that_crosses_the_closing_link_is_refused(self) -> None:
        dialled, accepted = await builders_wire.connection_pair(self)
        clock = clocks.SystemClock()
        current = current_configuration.CurrentConfiguration(clock)
        entry = agent_links.AgentLinks(current, lambda: None, clock)
        entry_link = builders_wire.link_of(dialled, entry)
        agent_link = builders_wire.link_of(accepted, LeavingOwner())
        entry.add_link(entry_link)
        links = [asyncio.ensure_future(x.run()) for x in (entry_link, agent_link)]
        links[0].add_done_callback(lambda _: entry.remove_link(entry_link))
        call = stream_messages.PlainCall("POST", "/releases", (), b"")
        opened = entry.open(
            entry.states_by_vm[entry_link.peer.name],
            builders_wire.order(call),
            builders_wire.NullSink(),
        )
        await agent_link.close_gracefully()
        outcome = await opened.outcome()
        entry_link.close()
        await asyncio.gather(*links)
        self.assertIs(outcome.kind, attempt.OutcomeKind.REFUSED, outcome.reason)
