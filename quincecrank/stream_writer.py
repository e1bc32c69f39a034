"""The agent's side of streams: numbered frames, sent in batches.

Frames of all streams of one link that are written in the same iteration of the event
loop are sent in one packet, so that the cost of a write is shared by many tokens.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, Final

from quincecrank import peer_link, problems, stream_messages, wire

MAX_BATCH_BYTES: Final = 1024 * 1024
"""Size of answer data from which a batch is sent without waiting for the loop."""

FrameFiller = Callable[[Any], None]
"""Fills one ``Frame`` message."""


class FrameBatcher:
    """Collects the frames of one link and sends them once per event-loop iteration."""

    def __init__(self, link: peer_link.PeerLink) -> None:
        self._link = link
        self._fills: list[FrameFiller] = []
        self._size_bytes = 0

    def add(self, fill: FrameFiller, size_bytes: int = 0) -> None:
        """Add one frame to the current batch.

        Parameters
        ----------
        fill : callable
            Fills the frame's message when the batch is encoded.
        size_bytes : int
            Size of the frame's data.
        """
        if not self._fills:
            asyncio.get_running_loop().call_soon(self._flush)
        self._fills.append(fill)
        self._size_bytes += size_bytes
        if self._size_bytes >= MAX_BATCH_BYTES:
            self._flush()

    def _flush(self) -> None:
        fills = self._fills
        if not fills:
            return
        self._fills = []
        self._size_bytes = 0
        packet = wire.new_packet()
        messages = packet.init("frames").init("frames", len(fills))
        for message, fill in zip(messages, fills, strict=True):
            fill(message)
        self._link.send(packet)


@dataclasses.dataclass
class StreamWriter:
    """Writes the frames of one stream, which is closed at most once.

    Every write but `refuse` raises `RuntimeError` on a closed stream.

    Attributes
    ----------
    frames : int
        Frames written so far; also the number of the next one.
    ended : bool
        Whether the stream has been closed by `end` or `refuse`.
    """

    batcher: FrameBatcher
    stream: int
    frames: int = 0
    ended: bool = False

    def handle_body(self, data: bytes) -> None:
        """Write bytes for the caller."""
        number = self._next_number()

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            message.data = data

        self.batcher.add(fill, len(data))

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Write the status and headers of a plain service's answer."""
        number = self._next_number()

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            head = message.init("head")
            head.status = status
            fields = head.init("headers", len(headers))
            stream_messages.encode_headers(fields, headers)

        self.batcher.add(fill)

    def end(self, end: stream_messages.StreamEnd) -> None:
        """Close the stream as completely answered; fills in the number of frames."""
        number = self._next_number()
        self.ended = True
        counted = dataclasses.replace(end, frames=number)

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            stream_messages.encode_end(message.init("end"), counted)

        self.batcher.add(fill)

    def refuse(self, problem: problems.Problem) -> None:
        """Close the stream with a refusal; does nothing on a closed stream."""
        if self.ended:
            return
        number = self._next_number()
        self.ended = True

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            stream_messages.encode_refusal(message.init("refusal"), problem)

        self.batcher.add(fill)

    def _next_number(self) -> int:
        if self.ended:
            raise RuntimeError(f"stream {self.stream} has ended")
        number = self.frames
        self.frames += 1
        return number
