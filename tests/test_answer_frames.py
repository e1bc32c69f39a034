"""Every sequence of frames, also lost, repeated, late and crossed ones, at an entry.

An answer counts as whole only if the caller got exactly the bytes of its own stream.
"""

import asyncio
import itertools
import unittest
from collections.abc import Iterable
from typing import Any
from unittest import mock

from quincecrank import (
    agent_links,
    attempt,
    current_configuration,
    stream_messages,
    stream_writer,
    wire,
)
from quincecrank import clock as clocks
from tests import builders_wire

PARTS_BY_STREAM = {1: (b"one ", b"answer"), 2: (b"another ", b"text")}
FRAMES_OF_STREAM = 3
LONGEST = 5


class CollectingLink:
    """Stands for a link: keeps what is sent."""

    closed = False
    peer = builders_wire.AGENT

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, packet: Any) -> None:
        """Keep the packet."""
        self.sent.append(packet.to_bytes())


class CollectingSink(builders_wire.NullSink):
    """Keeps the bytes that a caller gets."""

    def __init__(self) -> None:
        self.received = b""

    def data(self, data: bytes) -> None:
        """Keep the bytes."""
        self.received += data


async def frames_of(stream: int) -> list[bytes]:
    """Return the packets of one answer, with one frame each."""
    link: Any = CollectingLink()
    writer = stream_writer.StreamWriter(stream_writer.FrameBatcher(link), stream)
    for part in PARTS_BY_STREAM[stream]:
        writer.data(part)
        await asyncio.sleep(0)
    writer.end(stream_messages.StreamEnd(frames=0))
    await asyncio.sleep(0)
    sent: list[bytes] = link.sent
    return sent


def sequences(frames: int) -> Iterable[tuple[int, ...]]:
    """Return every sequence of up to `LONGEST` frames, with repetitions."""
    for length in range(LONGEST + 1):
        yield from itertools.product(range(frames), repeat=length)


class AnswerFramesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.packets = await frames_of(1) + await frames_of(2)
        clock = clocks.ManualClock()
        current = current_configuration.CurrentConfiguration(clock)
        self.entry = agent_links.AgentLinks(current, lambda: None, clock)
        link: Any = CollectingLink()
        self.entry.linked(link)
        self.link = link
        call = stream_messages.PlainCall("GET", "/filed", (), b"")
        self.order = builders_wire.order(call)

    async def deliver(
        self, sequence: tuple[int, ...]
    ) -> tuple[attempt.Attempt, CollectingSink]:
        """Open stream 1 and hand the entry the packets in this order."""
        sink = CollectingSink()
        state = self.entry.states_by_vm[self.link.peer.name]
        opened = self.entry.open(state, self.order, sink)
        for index in sequence:
            with wire.decode(self.packets[index]) as packet:
                self.entry.packet_received(self.link, packet)
        self.entry.close(state, opened)
        return opened, sink

    async def wrong_answers(self) -> tuple[int, int]:
        """Return how many answers counted as whole, and how many of them weren't."""
        whole = wrong = 0
        expected = b"".join(PARTS_BY_STREAM[1])
        for sequence in sequences(2 * FRAMES_OF_STREAM):
            opened, sink = await self.deliver(sequence)
            if not opened.ended:
                continue
            outcome = await opened.outcome()
            if outcome.kind is attempt.OutcomeKind.ANSWERED:
                whole += 1
                wrong += sink.received != expected
        return whole, wrong

    async def test_only_the_whole_answer_of_its_own_stream_counts(self) -> None:
        whole, wrong = await self.wrong_answers()
        self.assertGreater(whole, 0)
        self.assertEqual(wrong, 0)

    async def test_a_missing_check_of_the_order_is_found(self) -> None:
        def takes_any_order(opened: attempt.Attempt, frame: Any) -> None:
            opened._next_number = frame.number
            original(opened, frame)

        original = attempt.Attempt.frame_received
        with mock.patch.object(attempt.Attempt, "frame_received", takes_any_order):
            _, wrong = await self.wrong_answers()
        self.assertGreater(wrong, 0)
