"""The entry's side of a stream: one attempt to have a request served by an agent.

Frames are taken only in order and without gaps; a gap, a wrong count or the loss of
the link breaks the attempt.  Bytes go to the sink as they arrive.
"""

import asyncio
import dataclasses
import enum
from typing import Any, Final, Protocol

from quincecrank import ids, logs, peer_link, problems, stream_messages

_LOG: Final = logs.logger("attempt")


class AnswerSink(Protocol):
    """Takes the parts of an answer."""

    def head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Take the status and headers of a plain service's answer."""

    def data(self, data: bytes) -> None:
        """Take bytes for the caller; must not wait."""


class OutcomeKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The end of an attempt.

    Attributes
    ----------
    end : StreamEnd or None
        Set when the answer is whole.
    problem : Problem or None
        Set when the agent refused.
    reason : str
        Why the attempt is broken.
    """

    kind: OutcomeKind
    end: stream_messages.StreamEnd | None = None
    problem: problems.Problem | None = None
    reason: str = ""


class Attempt:
    """One open stream.

    Attributes
    ----------
    data_frames : int
        Data frames handed to the sink.
    """

    def __init__(
        self,
        link: peer_link.PeerLink,
        order: stream_messages.StreamOrder,
        sink: AnswerSink,
    ) -> None:
        self.link = link
        self.order = order
        self.data_frames = 0
        self._sink = sink
        self._next_number = 0
        self._outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def server(self) -> ids.BackendServerName:
        """Return the backend server that the attempt runs on."""
        return self.link.peer.backend_server

    async def outcome(self) -> Outcome:
        """Wait for the end of the attempt; a cancelled wait does not end it."""
        return await asyncio.shield(self._outcome)

    @property
    def ended(self) -> bool:
        """Tell whether the attempt has ended."""
        return self._outcome.done()

    def frame_received(self, frame: Any) -> None:
        """Take one frame."""
        if self._outcome.done():
            return
        if frame.number != self._next_number:
            self.broken(f"frame {frame.number} after {self._next_number - 1}")
            return
        self._next_number += 1
        match frame.which():
            case "data":
                self.data_frames += 1
                self._write(frame.data)
            case "head":
                headers = stream_messages.decode_headers(frame.head.headers)
                self._sink.head(frame.head.status, headers)
            case "end":
                self._take_end(stream_messages.decode_end(frame.end))
            case "refusal":
                problem = stream_messages.decode_refusal(frame.refusal)
                self._finish(Outcome(OutcomeKind.REFUSED, problem=problem))

    def _write(self, data: bytes) -> None:
        """Hand bytes over; a failing sink breaks its own attempt only."""
        try:
            self._sink.data(data)
        except Exception:
            _LOG.exception("sink failed", request_id=self.order.request_id)
            self.broken("the answer could not be written")

    def refused(self, problem: problems.Problem) -> None:
        """End the attempt, which was not sent, with a refusal."""
        self._finish(Outcome(OutcomeKind.REFUSED, problem=problem))

    def broken(self, reason: str) -> None:
        """End the attempt without an answer."""
        self._finish(Outcome(OutcomeKind.BROKEN, reason=reason))

    def _take_end(self, end: stream_messages.StreamEnd) -> None:
        if end.frames != self._next_number - 1:
            self.broken(f"end counts {end.frames} frames of {self._next_number - 1}")
            return
        self._finish(Outcome(OutcomeKind.ANSWERED, end=end))

    def _finish(self, outcome: Outcome) -> None:
        if not self._outcome.done():
            self._outcome.set_result(outcome)
