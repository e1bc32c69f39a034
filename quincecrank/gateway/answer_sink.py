"""Takes the answer of a backend server and passes it to the caller."""

from collections.abc import Callable
from typing import Final

from tornado import httputil

from quincecrank import clock as clocks
from quincecrank.gateway import jobs, links
from quincecrank.platform import answers

MAX_KEPT_BYTES: Final = 1024 * 1024
"""Part of an answer that is kept until the answer is whole.  Longer ones are passed on
as they come, so that memory does not grow with what a server sends."""


class AnswerSink:
    """Passes events on at once and keeps other answers until they are whole.

    Parameters
    ----------
    on_head : callable
        Gets what status and headers say as soon as they have come.
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
        Instant at which anything came last that the caller can use: of a stream,
        whole events.
    """

    def __init__(
        self,
        job: jobs.Job,
        clock: clocks.Clock,
        on_head: Callable[[answers.AnswerHead], None],
        on_first_part: Callable[[], None],
    ) -> None:
        self._job = job
        self._on_head = on_head
        self._on_first_part = on_first_part
        self._clock = clock
        self.head: answers.AnswerHead | None = None
        self.buffer: jobs.AnswerBuffer | None = None
        self.is_streaming = False
        self._is_passed_on = False
        self.first_part_ms: int | None = None
        self.progress_ms = clock.now_ms()

    def accepts(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether the answer belongs to the request."""
        return answers.belongs_to(headers, self._job.said.request_id)

    async def begin(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Take the status and headers."""
        self.head = answers.decode(status, headers)
        self._on_head(self.head)
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
        if self.is_streaming:
            events = self._job.cutter.feed(chunk)
            if events:
                self.progress_ms = self._clock.now_ms()
                await self._pass_on(events)
            return
        self.progress_ms = self._clock.now_ms()
        await self._keep(chunk)

    async def end(self) -> bool:
        """Take the end of the answer; return whether the stream is whole."""
        if self._is_passed_on:
            self._job.answer.finish()
            return True
        if not self.is_streaming:
            return True
        if self._job.cutter.has_partial_event:
            return False
        if not self._job.answer.has_begun:
            await self._pass_on(b"")
        self._job.answer.finish()
        return True

    async def _keep(self, chunk: bytes) -> None:
        """Add to the answer that is kept; pass on one that grows too long."""
        assert self.buffer is not None
        assert self.head is not None
        if self._is_passed_on:
            await self._pass_on(chunk)
            return
        self.buffer.body += chunk
        if len(self.buffer.body) <= MAX_KEPT_BYTES:
            return
        may_pass = self.head.is_success and self.head.is_sealed
        if not may_pass or self.head.is_encoded:
            raise links.AnswerLimitError("a failure of more than the kept size")
        self._is_passed_on = True
        body, self.buffer.body = self.buffer.body, b""
        await self._pass_on(body)

    async def _pass_on(self, events: bytes) -> None:
        assert self.buffer is not None
        answer = self._job.answer
        if not answer.has_begun:
            headers = answers.returned_headers(self.buffer.headers)
            answer.begin(self.buffer.status, headers)
        if events:
            await answer.write(events)
