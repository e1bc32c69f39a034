"""The entry's side of a stream: one attempt to have a request served by an agent.

Frames are accepted only in order and without gaps.  A gap, a wrong frame count or the
end of the link ends the attempt as broken.  Bytes are passed to the sink as they
arrive.
"""

import asyncio
import dataclasses
import enum
from typing import Any, Final, Protocol

from quincecrank import ids, logs, peer_link, problems, stream_messages

_LOG: Final = logs.logger("attempt")


class AnswerSink(Protocol):
    """Receives the parts of an answer.

    An exception of `handle_body` ends the attempt as broken; one of `handle_head` is
    raised by `Attempt.handle_frame`.
    """

    def handle_head(
        self, status: int, headers: tuple[stream_messages.HeaderField, ...]
    ) -> None:
        """Handle the status and headers of a plain service's answer."""

    def handle_body(self, data: bytes) -> None:
        """Handle bytes for the caller; must not block."""


class OutcomeKind(enum.Enum):
    """How an attempt ended.

    Attributes
    ----------
    ANSWERED
        The answer is complete.
    REFUSED
        The agent ended the stream with a problem, or the attempt was not sent.
    BROKEN
        The stream ended without a complete answer or a problem.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """How and why an attempt ended.

    Attributes
    ----------
    end : StreamEnd or None
        Set if the answer is complete.
    problem : Problem or None
        Set if the kind is REFUSED; its `ran` says whether the request may have run.
    reason : str
        Why the attempt is broken.
    """

    kind: OutcomeKind
    end: stream_messages.StreamEnd | None = None
    problem: problems.Problem | None = None
    reason: str = ""


class Attempt:
    """One attempt and its stream.

    Attributes
    ----------
    data_frames : int
        Number of data frames received for the sink.
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
        self._outcome_future: asyncio.Future[AttemptOutcome] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def server(self) -> ids.BackendServerName:
        """Backend server that the attempt runs on."""
        return self.link.peer.backend_server

    async def outcome(self) -> AttemptOutcome:
        """Wait for the end of the attempt; cancelling the wait does not end it."""
        return await asyncio.shield(self._outcome_future)

    @property
    def ended(self) -> bool:
        """Whether the attempt has ended."""
        return self._outcome_future.done()

    def handle_frame(self, frame: Any) -> None:
        """Handle one frame of the stream; ignored once the attempt has ended."""
        if self._outcome_future.done():
            return
        if frame.number != self._next_number:
            self.end_broken(f"frame {frame.number} after {self._next_number - 1}")
            return
        self._next_number += 1
        match frame.which():
            case "data":
                self.data_frames += 1
                self._forward_data(frame.data)
            case "head":
                headers = stream_messages.decode_headers(frame.head.headers)
                self._sink.handle_head(frame.head.status, headers)
            case "end":
                self._handle_end(stream_messages.decode_end(frame.end))
            case "refusal":
                problem = stream_messages.decode_refusal(frame.refusal)
                self._finish(AttemptOutcome(OutcomeKind.REFUSED, problem=problem))

    def _forward_data(self, data: bytes) -> None:
        """Pass bytes to the sink; an error of the sink ends this attempt only."""
        try:
            self._sink.handle_body(data)
        except Exception:
            _LOG.exception(
                "answer sink raised an exception", request_id=self.order.request_id
            )
            self.end_broken("the answer could not be written")

    def end_refused(self, problem: problems.Problem) -> None:
        """End the attempt, which was not sent, as refused."""
        self._finish(AttemptOutcome(OutcomeKind.REFUSED, problem=problem))

    def end_broken(self, reason: str) -> None:
        """End the attempt as broken, without a complete answer."""
        self._finish(AttemptOutcome(OutcomeKind.BROKEN, reason=reason))

    def _handle_end(self, end: stream_messages.StreamEnd) -> None:
        if end.frames != self._next_number - 1:
            self.end_broken(
                f"end counts {end.frames} frames of {self._next_number - 1}"
            )
            return
        self._finish(AttemptOutcome(OutcomeKind.ANSWERED, end=end))

    def _finish(self, outcome: AttemptOutcome) -> None:
        if not self._outcome_future.done():
            self._outcome_future.set_result(outcome)
