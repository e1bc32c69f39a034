"""Tests of an entry that receives every sequence of frames of two streams.

Frames are lost, repeated, reordered and mixed with those of another stream.  The test
guards against an answer that counts as complete although the caller did not receive
exactly the bytes of its own stream.
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
MAX_SEQUENCE_LENGTH = 5


class CollectingLink:
    """Stand-in for a link that records the packets sent."""

    closed = False
    peer = builders_wire.AGENT

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, packet: Any) -> None:
        """Record the packet."""
        self.sent.append(packet.to_bytes())


class CollectingSink(builders_wire.NullSink):
    """Records the bytes that the caller receives."""

    def __init__(self) -> None:
        self.received = b""

    def handle_body(self, data: bytes) -> None:
        """Record the bytes."""
        self.received += data


async def frames_of(stream: int) -> list[bytes]:
    """Return the packets of one answer; each packet has one frame."""
    link: Any = CollectingLink()
    writer = stream_writer.StreamWriter(stream_writer.FrameBatcher(link), stream)
    for part in PARTS_BY_STREAM[stream]:
        writer.handle_body(part)
        await asyncio.sleep(0)
    writer.end(stream_messages.StreamEnd(frames=0))
    await asyncio.sleep(0)
    sent: list[bytes] = link.sent
    return sent


def sequences(frames: int) -> Iterable[tuple[int, ...]]:
    """Return every sequence of up to `MAX_SEQUENCE_LENGTH` frames, with repetitions."""
    for length in range(MAX_SEQUENCE_LENGTH + 1):
        yield from itertools.product(range(frames), repeat=length)


class AnswerFramesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.packets = await frames_of(1) + await frames_of(2)
        clock = clocks.ManualClock()
        current = current_configuration.CurrentConfiguration(clock)
        self.entry = agent_links.AgentLinks(current, lambda: None, clock)
        link: Any = CollectingLink()
        self.entry.add_link(link)
        self.link = link
        call = stream_messages.PlainCall("GET", "/filed", (), b"")
        self.order = builders_wire.order(call)

    async def deliver(
        self, sequence: tuple[int, ...]
    ) -> tuple[attempt.Attempt, CollectingSink]:
        """Open stream 1 and deliver the packets of this sequence to the entry."""
        sink = CollectingSink()
        state = self.entry.states_by_vm[self.link.peer.name]
        opened = self.entry.open(state, self.order, sink)
        for index in sequence:
            with wire.decode(self.packets[index]) as packet:
                self.entry.packet_received(self.link, packet)
        self.entry.close(state, opened)
        return opened, sink

    async def wrong_answers(self) -> tuple[int, int]:
        """Return how many answers counted as complete, and how many of them wrongly."""
        complete = wrong = 0
        expected = b"".join(PARTS_BY_STREAM[1])
        for sequence in sequences(2 * FRAMES_OF_STREAM):
            opened, sink = await self.deliver(sequence)
            if not opened.ended:
                continue
            outcome = await opened.outcome()
            if outcome.kind is attempt.OutcomeKind.ANSWERED:
                complete += 1
                wrong += sink.received != expected
        return complete, wrong

    async def test_only_the_complete_answer_of_its_own_stream_counts(self) -> None:
        complete, wrong = await self.wrong_answers()
        self.assertGreater(complete, 0)
        self.assertEqual(wrong, 0)

    async def test_without_the_check_of_frame_numbers_wrong_answers_are_found(
        self,
    ) -> None:
        def accept_any_number(opened: attempt.Attempt, frame: Any) -> None:
            opened._next_number = frame.number
            original(opened, frame)

        original = attempt.Attempt.handle_frame
        with mock.patch.object(attempt.Attempt, "handle_frame", accept_any_number):
            _, wrong = await self.wrong_answers()
        self.assertGreater(wrong, 0)
