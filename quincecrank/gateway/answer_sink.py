"""Passes the answer of a backend server on to the caller."""

from collections.abc import Awaitable, Callable
from typing import Final

from tornado import httputil

from quincecrank import clock as clocks
from quincecrank.budgets import byte_budget
from quincecrank.gateway import (
    active_requests,
    crash_suspicions,
    event_stream,
    server_links,
)
from quincecrank.platform import answers

MAX_BUFFERED_BYTES: Final = 1024 * 1024
"""Longest answer that is buffered until it is complete.  A longer one is passed on as
it arrives, which bounds the memory that a server's answer can take."""


class AnswerSink:
    """Passes events on at once and buffers other answers until they are complete.

    Parameters
    ----------
    on_head : callable
        Called with the parsed status and headers when they have arrived.
    take_over : callable
        Called before the first event, or at the head of another successful answer;
        returns whether the answer is the one to pass on.
    on_first_part : callable
        Called when the first part of the body has arrived.
    on_events : callable
        Called with complete events of a stream before they are passed on.
    on_established : callable
        Called once, when a part arrives `crash_suspicions.ESTABLISHED_MS` or more after
        the first one.

    Attributes
    ----------
    head : AnswerHead or None
        Parsed status and headers; None until they arrive.
    buffer : AnswerBuffer or None
        The answer, without a body if that is passed on; None until its head arrives.
    is_unframed : bool
        Whether the answer declares no length, so that it ends with its connection.
    is_streaming : bool
        Whether the body is passed on event by event.
    is_established : bool
        Whether `on_established` was called.
    is_stopped : bool
        Whether the rest of the answer is discarded.
    first_part_ms : int or None
        Time at which the first part of the body arrived.
    progress_count : int
        Number of successful heads, parts of bodies and groups of events so far.
    is_writing : bool
        Whether the caller has yet to take what was passed on.
    was_dropped : bool
        Whether the answer was broken off since there was no memory for it.
    progress_ms : int
        Time of the last progress for the caller: a head, a part of the body, or in a
        stream a complete event.
    """

    def __init__(
        self,
        active: active_requests.ActiveRequest,
        clock: clocks.Clock,
        on_head: Callable[[answers.AnswerHead], None],
        take_over: Callable[[], Awaitable[bool]],
        on_first_part: Callable[[], None],
        on_events: Callable[[], None],
        on_established: Callable[[], None],
    ) -> None:
        self._active = active
        self._on_head = on_head
        self._take_over = take_over
        self._has_taken_over = False
        self._held = b""
        self._accounted_bytes = 0
        self._discarded_bytes = 0
        self.was_dropped = False
        self.progress_count = 0
        self.is_writing = False
        self._on_first_part = on_first_part
        self._on_events = on_events
        self._on_established = on_established
        self.is_established = False
        self.is_stopped = False
        self._clock = clock
        self.head: answers.AnswerHead | None = None
        self.buffer: active_requests.AnswerBuffer | None = None
        self.is_unframed = False
        self.is_streaming = False
        self._is_passed_on = False
        self.first_part_ms: int | None = None
        self.progress_ms = clock.now_ms()

    def stop(self) -> None:
        """Discard the rest of the answer: another one goes on in its place."""
        self.is_stopped = True

    def accepts(self, headers: httputil.HTTPHeaders, *, is_reused: bool) -> bool:
        """Return whether the answer belongs to the request.

        On a link that has carried earlier requests, one without a request id may be a
        late answer to any of them.
        """
        if is_reused and not answers.names_request(headers):
            return False
        return answers.matches_request(headers, self._active.caller_headers.request_id)

    def may_reuse(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether the answer names its request."""
        return answers.names_request(headers)

    async def handle_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Handle the status and headers."""
        self.head = answers.decode(status, headers)
        self._on_head(self.head)
        self.buffer = active_requests.AnswerBuffer(status, headers)
        self.is_unframed = server_links.is_unframed(status, headers)
        self.is_streaming = (
            self._active.route.is_stream
            and self.head.is_success
            and self.head.is_sealed
            and not self.head.is_encoded
        )
        if not self.head.is_success or not self.head.is_sealed or self.head.is_encoded:
            return
        if not self.is_streaming:
            await self._takes_over()
        self._record_progress()

    def _record_progress(self) -> None:
        self.progress_ms = self._clock.now_ms()
        self.progress_count += 1

    async def _takes_over(self) -> bool:
        """Return whether this answer is the one to pass on; stop it if it is not."""
        if not self._has_taken_over:
            self._has_taken_over = True
            if not await self._take_over():
                self.stop()
        return not self.is_stopped

    async def handle_body(self, chunk: bytes) -> None:
        """Handle a part of the body.

        Raises
        ------
        AnswerLimitError
            If an answer that may not be passed on is too long for the buffer, or an
            event is too long.
        EventOrderError
            If its events do not come after those that were passed on.
        MemoryLimitError
            If there is no memory for what must be held of it.
        CallerDisconnectedError
            If the caller has closed its connection.
        """
        assert self.buffer is not None
        if self.is_stopped:
            return
        if self.first_part_ms is None:
            self.first_part_ms = self._clock.now_ms()
            self._on_first_part()
        elif not self.is_established:
            self._check_established(self.first_part_ms)
        if self.is_streaming:
            if not self._has_taken_over:
                # Until its first event another server may go on instead.
                self._held += chunk
                self._hold_or_drop(len(self._held))
                if len(self._held) > event_stream.MAX_EVENT_BYTES:
                    raise server_links.AnswerLimitError("event exceeds the size limit")
                if event_stream.EVENT_END not in self._held:
                    return
                # The silent server keeps the request if this answer can't go on.
                self._active.event_splitter.check_continuation(self._held)
                if not await self._takes_over():
                    return
                chunk, self._held = self._held, b""
            events = self._active.event_splitter.feed(chunk)
            self._hold_or_drop(self._active.event_splitter.partial_bytes)
            if events:
                self._record_progress()
                self._on_events()
                await self._pass_on(events)
                self.progress_ms = self._clock.now_ms()
            return
        if self.head is not None and self.head.is_success:
            self._record_progress()
        await self._add_to_buffer(chunk)

    async def handle_end(self) -> bool:
        """Handle the end of the answer; return False if an event is incomplete.

        Finishes the caller's answer if it was passed on.
        """
        if self.is_stopped:
            return False
        if self._is_passed_on:
            self._active.answer.finish()
            return True
        if not self.is_streaming:
            return True
        if not await self._takes_over() or self._held:
            return False
        if self._active.event_splitter.has_partial_event:
            return False
        if not self._active.answer.has_begun:
            await self._pass_on(b"")
        self._active.answer.finish()
        return True

    def _check_established(self, first_part_ms: int) -> None:
        if self._clock.now_ms() - first_part_ms >= crash_suspicions.ESTABLISHED_MS:
            self.is_established = True
            self._on_established()

    async def _add_to_buffer(self, chunk: bytes) -> None:
        """Add to the buffered answer; pass it on once it is too long for the buffer."""
        assert self.buffer is not None
        assert self.head is not None
        if self._is_passed_on:
            await self._pass_on(chunk)
            return
        may_pass = self.head.is_success and self.head.is_sealed
        may_pass = may_pass and not self.head.is_encoded
        if self.head.is_success and not may_pass:
            self._discard(chunk)
            return
        size = len(self.buffer.body) + len(chunk)
        if size <= MAX_BUFFERED_BYTES and self._try_hold(size):
            self.buffer.body += chunk
            return
        if not may_pass:
            self._hold_or_drop(size)
            raise server_links.AnswerLimitError(
                "answer that must be buffered is too long"
            )
        self._is_passed_on = True
        body, self.buffer.body = self.buffer.body + chunk, b""
        await self._pass_on(body)
        self._try_hold(0)

    def _discard(self, chunk: bytes) -> None:
        """Discard a part of an answer that is not passed on, up to a length."""
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > MAX_BUFFERED_BYTES:
            raise server_links.AnswerLimitError("answer that is not used is too long")

    def _try_hold(self, size: int) -> bool:
        """Account for the bytes that are held of this answer now; False if too many."""
        holder = byte_budget.Holder.SERVERS
        account = self._active.answer.account
        added = size - self._accounted_bytes
        if added > 0 and not account.try_hold(holder, added):
            return False
        if added < 0:
            account.release(holder, -added)
        self._accounted_bytes = size
        return True

    def _hold_or_drop(self, size: int) -> None:
        """Account for the bytes that must be held of this answer.

        Raises
        ------
        MemoryLimitError
            If there is no memory for them.
        """
        if not self._try_hold(size):
            self._drop()
            self.was_dropped = True
            raise server_links.MemoryLimitError(f"no memory for {size} bytes")

    def _drop(self) -> None:
        """Release what is held, for other answers that arrive in the same step."""
        self._held = b""
        if self.buffer is not None:
            self.buffer.body = b""
        if self.is_streaming and self._has_taken_over:
            self._active.event_splitter.drop_partial_event()
        self._try_hold(0)

    async def _pass_on(self, events: bytes) -> None:
        assert self.buffer is not None
        answer = self._active.answer
        if not answer.has_begun:
            headers = answers.returned_headers(self.buffer.headers)
            answer.begin(self.buffer.status, headers)
        if events:
            self.is_writing = True
            try:
                await answer.write(events)
            finally:
                self.is_writing = False
