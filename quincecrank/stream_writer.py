"""The agent's side of streams: numbered frames, gathered into batches.

Frames of all streams of one link that arise in the same turn of the event loop go
out in one packet, so that the cost of a write is shared by many tokens.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, Final

from quincecrank import peer_link, problems, stream_messages, wire

MAX_BATCH_BYTES: Final = 1024 * 1024
"""Bytes of answers after which a batch goes out within its turn."""

Fill = Callable[[Any], None]
"""Fills one ``Frame`` message."""


class FrameBatcher:
    """Collects the frames of one link and sends them once a turn."""

    def __init__(self, link: peer_link.PeerLink) -> None:
        self._link = link
        self._fills: list[Fill] = []
        self._size_bytes = 0

    def add(self, fill: Fill, size_bytes: int = 0) -> None:
        """Queue one frame for the batch of this turn.

        Parameters
        ----------
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
    """Writes the frames of one stream; ends exactly once.

    Attributes
    ----------
    frames : int
        Frames written so far; also the number of the next one.
    """

    batcher: FrameBatcher
    stream: int
    frames: int = 0
    ended: bool = False

    def data(self, data: bytes) -> None:
        """Write bytes for the caller."""
        number = self._next()

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            message.data = data

        self.batcher.add(fill, len(data))

    def head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Write the status and headers of a plain service's answer."""
        number = self._next()

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            head = message.init("head")
            head.status = status
            fields = head.init("headers", len(headers))
            stream_messages.encode_headers(fields, headers)

        self.batcher.add(fill)

    def end(self, end: stream_messages.StreamEnd) -> None:
        """Close the stream as answered in full."""
        number = self._next()
        self.ended = True
        counted = dataclasses.replace(end, frames=number)

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            stream_messages.encode_end(message.init("end"), counted)

        self.batcher.add(fill)

    def refuse(self, problem: problems.Problem) -> None:
        """Close the stream with a refusal; does nothing on an ended stream."""
        if self.ended:
            return
        number = self._next()
        self.ended = True

        def fill(message: Any) -> None:
            message.stream = self.stream
            message.number = number
            stream_messages.encode_refusal(message.init("refusal"), problem)

        self.batcher.add(fill)

    def _next(self) -> int:
        if self.ended:
            raise RuntimeError(f"stream {self.stream} has ended")
        number = self.frames
        self.frames += 1
        return number
