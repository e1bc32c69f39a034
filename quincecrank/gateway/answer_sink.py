"""Takes the answer of a backend server and passes it to the caller."""

from collections.abc import Callable

from tornado import httputil

from quincecrank import clock as clocks
from quincecrank.gateway import jobs
from quincecrank.platform import answers


class AnswerSink:
    """Passes events on at once and keeps other answers until they are whole.

    Parameters
    ----------
    on_first_part : callable
        Called when the first part of the body has come.

    Attributes
    ----------
    head : AnswerHead or None
        What status and headers say; None before they came.
    buffer : AnswerBuffer or None
        The answer, without the body of a stream that is passed on.
    first_part_ms : int or None
        Instant at which the first part of the body came.
    progress_ms : int
        Instant at which anything came last.
    """

    def __init__(
        self,
        job: jobs.Job,
        clock: clocks.Clock,
        on_first_part: Callable[[], None],
    ) -> None:
        self._job = job
        self._on_first_part = on_first_part
        self._clock = clock
        self.head: answers.AnswerHead | None = None
        self.buffer: jobs.AnswerBuffer | None = None
        self.is_streaming = False
        self.first_part_ms: int | None = None
        self.progress_ms = clock.now_ms()

    def accepts(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether the answer belongs to the request."""
        return answers.belongs_to(headers, self._job.said.request_id)

    async def begin(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Take the status and headers."""
        self.head = answers.decode(status, headers)
        self.buffer = jobs.AnswerBuffer(status, headers)
        self.progress_ms = self._clock.now_ms()
        self.is_streaming = (
            self._job.route.is_stream
            and self.head.is_success
            and self.head.is_sealed
            and not self.head.is_encoded
        )

    async def data(self, chunk: bytes) -> None:
        """Take a part of the body."""
        assert self.buffer is not None
        if self.first_part_ms is None:
            self.first_part_ms = self._clock.now_ms()
            self._on_first_part()
        self.progress_ms = self._clock.now_ms()
        if not self.is_streaming:
            self.buffer.body += chunk
            return
        events = self._job.cutter.feed(chunk)
        if events:
            await self._pass_on(events)

    async def end(self) -> bool:
        """Take the end of the answer; return whether the stream is whole."""
        if not self.is_streaming:
            return True
        if self._job.cutter.has_partial_event:
            return False
        if not self._job.answer.has_begun:
            await self._pass_on(b"")
        self._job.answer.finish()
        return True

    async def _pass_on(self, events: bytes) -> None:
        assert self.buffer is not None
        answer = self._job.answer
        if not answer.has_begun:
            headers = answers.returned_headers(self.buffer.headers)
            answer.begin(self.buffer.status, headers)
        if events:
            await answer.write(events)
