"""HTTP listener for callers.

A request is read completely before it is handled; an answer is sent while it is
produced.
"""

import asyncio
import dataclasses
import http.client
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from tornado import http1connection, httpserver, httputil, iostream

from quincecrank import arrived_bytes, tasks
from quincecrank import clock as clocks
from quincecrank.budgets import (
    bound_log,
    bounded_stream,
    chunk_budget,
    connection_budget,
    process_budgets,
    request_progress,
)
from quincecrank.budgets import byte_budget as byte_budgets
from quincecrank.gateway import decision_log, deployment
from quincecrank.platform import answers, requests

MAX_HEADER_BYTES: Final = 64 * 1024
"""Largest headers of a request that are read; the configuration may allow less."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Largest body of a request that is read; the configuration may allow less."""

SEND_CHECK_S: Final = 0.02
"""Interval of the checks whether an answer is sent."""

ACCEPTS_PER_STEP: Final = 128
"""Most connections that one step of the event loop accepts."""

ACCEPT_PAUSE_S: Final = 0.05
"""Time for which no connection is accepted after one could not be."""

STALLED_CHECK_MS: Final = 50
"""Interval of the searches for stalled requests that free none."""

UNLIMITED: Final = 2**31
"""Budgets of a listener without one, in tests."""

RETRY_MS: Final = 200
"""Retry-After time of a request that has no descriptor, or no memory or time for its
body; another gateway may have."""

_LOG: Final = decision_log.logger("callers")


class CallerDisconnectedError(Exception):
    """The caller has closed its connection before the end of its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that has been read completely.

    Attributes
    ----------
    target : str
        Path and query, as sent.
    has_body : bool
        Whether the request had a body, which may be empty.
    received_ms : int
        Time at which it had been read completely.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    has_body: bool
    received_ms: int

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class CallerAnswer:
    """The answer to one request.

    Attributes
    ----------
    has_begun : bool
        Whether a status has been sent.
    has_ended : bool
        Whether the complete answer was written, or the answer was cut.
    is_cut : bool
        Whether the connection is to be closed once what was written is sent.
    closes_connection : bool
        Whether the answer is the last one of its connection, whatever the state.
    has_descriptor : bool
        Whether there is a descriptor for a link to a backend server.
    account : Account
        Bytes that are held for the request and its answers.
    """

    def __init__(
        self,
        connection: http1connection.HTTP1Connection,
        state: "ListenerState",
        account: byte_budgets.Account | None = None,
    ) -> None:
        self._connection = connection
        self._state = state
        self.account = account or byte_budgets.Account(state.budgets.bytes)
        self.closes_connection = False
        self.has_descriptor = True
        self.has_begun = False
        self.has_ended = False
        self.is_cut = False

    def send(self, status: int, headers: httputil.HTTPHeaders, body: bytes) -> None:
        """Send a complete answer."""
        headers["Content-Length"] = str(len(body))
        self._begin(status, headers, body)
        self._finish()

    def begin(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Send the status and headers of an answer whose body follows."""
        self._begin(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerDisconnectedError
            If the caller has closed the connection.
        """
        try:
            await self._connection.write(chunk)
        except iostream.StreamClosedError as error:
            raise CallerDisconnectedError from error

    def finish(self) -> None:
        """End the answer as complete."""
        self._finish()

    async def wait_sent(self) -> None:
        """Wait until the written bytes are sent or the connection is closed.

        A caller that takes no byte for the idle limit is cut off.
        """
        stream = self._connection.stream
        sent_bytes, since_ms = -1, 0
        while stream is not None and not stream.closed() and stream.writing():
            now_ms = self._state.clock.now_ms()
            if stream._total_write_done_index != sent_bytes:
                sent_bytes, since_ms = stream._total_write_done_index, now_ms
            elif now_ms - since_ms > self._state.idle_limit_ms:
                reason = connection_budget.CloseReason.UNREAD_ANSWER
                self._state.observe_close(reason, arrived_bytes.has_unread(stream))
                stream.close()
                return
            await asyncio.sleep(SEND_CHECK_S)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the caller has not taken."""
        stream = self._connection.stream
        return 0 if stream is None else arrived_bytes.unsent_bytes(stream)

    def abort(self) -> None:
        """Cut the answer: close the connection once what was written is sent.

        The caller sees the answer as incomplete.
        """
        self.has_ended = True
        self.is_cut = True

    def close(self) -> None:
        """Close the connection."""
        stream = self._connection.stream
        if stream is not None:
            if not stream.closed():
                is_unread = arrived_bytes.has_unread(stream)
                reason = connection_budget.CloseReason.ABORTED_ANSWER
                self._state.observe_close(reason, is_unread)
            self._connection.close()

    def _begin(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes | None
    ) -> None:
        self.has_begun = True
        if self.closes_connection or self._state.is_leaving:
            headers["Connection"] = "close"
        reason = http.client.responses.get(status, "Unknown")
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        written = self._connection.write_headers(start, headers, body)
        asyncio.ensure_future(written).add_done_callback(_retrieve_exception)

    def _finish(self) -> None:
        self.has_ended = True
        try:
            self._connection.finish()
        except iostream.StreamClosedError:
            # The caller has closed the connection.
            return


Handler = Callable[[CallerRequest, CallerAnswer], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class ListenerState:
    """State that the listener shares with its connections.

    Attributes
    ----------
    handler : callable
        Answers a request.
    limits : ClientLimits or None
        Limits of the configuration in force.
    is_leaving : bool
        Whether the process is shutting down.
    observe_close : callable
        Called at each close of a connection by this process.
    budgets : ProcessBudgets
        Budgets of this process.
    """

    handler: Handler
    clock: clocks.Clock
    limits: deployment.ClientLimits | None = None
    is_leaving: bool = False
    observe_close: bounded_stream.ObserveClose = lambda _reason, _is_unread: None
    budgets: process_budgets.ProcessBudgets = dataclasses.field(
        default_factory=lambda: process_budgets.ProcessBudgets(UNLIMITED, UNLIMITED)
    )

    @property
    def idle_limit_ms(self) -> int:
        """Time without a byte after which a caller's connection is closed."""
        if self.limits is None:
            return connection_budget.DEFAULT_IDLE_MS
        return self.limits.idle_timeout_ms


class LinkCounts(Protocol):
    """Open links to backend servers, as the listener needs to know them."""

    @property
    def open_count(self) -> int:
        """Number of open links, idle ones included."""

    def close_idle(self, count: int) -> None:
        """Close the links that have been idle for longest."""


class _NoLinks:
    """Link counts of a listener without links, in tests."""

    open_count = 0

    def close_idle(self, _count: int) -> None:
        """Do nothing."""


class _CallerServer(httpserver.HTTPServer):
    """HTTP server that counts its open connections."""

    @property
    def open_count(self) -> int:
        """Number of connections whose serving has not ended."""
        return len(self._connections)


class CallerListener(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' connections and runs one task for each request.

    Parameters
    ----------
    handler : callable
        Answers a request.
    clock : Clock
        Source of time.

    Attributes
    ----------
    links : LinkCounts
        Links to backend servers, which share descriptors with the connections.
    count_followed : callable
        Returns the number of connections to engines and stores that are followed.
    paused_since_ms : int or None
        Time since which no connection could be accepted; None if the last one was.
    pauses : int
        Number of times that accepting was paused.
    """

    def __init__(self, handler: Handler, clock: clocks.Clock) -> None:
        self.state = ListenerState(handler, clock)
        self.links: LinkCounts = _NoLinks()
        self.count_followed: Callable[[], int] = lambda: 0
        self.paused_since_ms: int | None = None
        self.pauses = 0
        self._bound_log = bound_log.BoundLog(_LOG, clock)
        self._full_until_ms = 0
        self._resuming: asyncio.TimerHandle | None = None
        self._tasks = tasks.BackgroundTasks()
        self._open: set[_Receiver] = set()
        self._served: set[asyncio.Task[None]] = set()
        self._receiver_by_connection: weakref.WeakKeyDictionary[
            http1connection.HTTP1ServerConnection, _Receiver
        ] = weakref.WeakKeyDictionary()
        self._bound: socket.socket | None = None
        self._was_any_open = True
        self._server = _CallerServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        # The library's limits would close connections on which bytes have arrived.
        self._server.conn_params.header_timeout = None

    @property
    def open_requests(self) -> int:
        """Number of requests that are being read or answered."""
        return len(self._open)

    @property
    def oldest_arrival_ms(self) -> int | None:
        """Time at which the oldest of the open requests arrived; None without any."""
        return min((each.progress.arrived_ms for each in self._open), default=None)

    @property
    def usage(self) -> connection_budget.Usage:
        """Descriptors in use."""
        return connection_budget.Usage(
            self._server.open_count,
            len(self._served),
            self.links.open_count,
            self.count_followed(),
        )

    def start(self, bound: socket.socket) -> None:
        """Accept connections on a bound socket."""
        self._bound = bound
        self.state.budgets.receive.prepare(bound)
        asyncio.get_running_loop().add_reader(bound.fileno(), self._accept)

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and no more; open ones continue."""
        self._close_queue()
        self._stop_listening()

    def has_descriptor(self) -> bool:
        """Return whether a request that has just arrived can get a link."""
        if not self.state.budgets.descriptors.may_serve(self.usage):
            self._make_room()
        return self.state.budgets.descriptors.may_serve(self.usage)

    def hold(self, account: byte_budgets.Account, count: int) -> bool:
        """Hold bytes of a body; return False if there is no memory for them.

        Requests of which nothing has arrived for some time are closed for it, those
        that have waited longest first.
        """
        if account.try_hold(byte_budgets.Holder.CALLERS, count):
            return True
        now_ms = self.state.clock.now_ms()
        if now_ms >= self._full_until_ms and self._free_bytes(account, count, now_ms):
            return True
        self._log_memory(count)
        return False

    def _free_bytes(
        self, account: byte_budgets.Account, count: int, now_ms: int
    ) -> bool:
        """Close requests that have stalled until bytes can be held."""
        by_waiting = {
            waiting: (receiver, stream)
            for waiting, receiver, stream in self._waiting_requests(now_ms)
            if waiting.wait is not connection_budget.Wait.REQUEST
        }
        budget = self.state.budgets.descriptors
        for waiting in budget.order_to_close(by_waiting, now_ms):
            receiver, stream = by_waiting[waiting]
            reason = connection_budget.CloseReason.MEMORY
            if self._close_waiting(stream, reason):
                receiver.drop()
                if account.try_hold(byte_budgets.Holder.CALLERS, count):
                    return True
        self._full_until_ms = now_ms + STALLED_CHECK_MS
        return False

    def may_add_link(self) -> bool:
        """Return whether a request may get a second link."""
        return self.state.budgets.descriptors.may_add_link(self.usage)

    def close_idle(self) -> bool:
        """Accept no more connections and close those on which nothing has arrived.

        What has arrived is left to be read and answered.  Returns whether a connection
        may still be open, so that this is to be called again after a step of the loop.
        """
        is_any_open = not self._close_queue()
        for connection, receiver in tuple(self._receiver_by_connection.items()):
            stream = connection.stream
            if stream.closed():
                continue
            if receiver.progress.is_waiting and not _has_arrived(stream):
                self.state.observe_close(connection_budget.CloseReason.SHUTDOWN, False)
                stream.close()
            else:
                is_any_open = True
        # A connection that the loop has just accepted has no receiver before its next
        # step.
        was_any_open, self._was_any_open = self._was_any_open, is_any_open
        return is_any_open or was_any_open

    def close_expired(self) -> None:
        """Close connections on which the next request or its rest is overdue.

        What has arrived by now is left to be read.
        """
        now_ms = self.state.clock.now_ms()
        for waiting, stream in self._waiting_connections(now_ms):
            reason = connection_budget.overdue_reason(
                waiting, self.state.limits, now_ms
            )
            if reason is not None:
                self._close_waiting(stream, reason)

    def log_open_requests(self) -> None:
        """Log each request that is open, before the process ends."""
        for receiver in self._open:
            receiver.log_open()

    async def close_all(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()

    def start_request(  # type: ignore[override]
        self,
        server_conn: http1connection.HTTP1ServerConnection,
        request_conn: http1connection.HTTP1Connection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of a new request."""
        receiver = _Receiver(
            self.state,
            request_conn,
            self._tasks,
            self._open,
            self._served,
            self,
        )
        self._receiver_by_connection[server_conn] = receiver
        self.state.budgets.chunk_reader.attach(request_conn, receiver)
        bounded_stream.begin_request(request_conn)
        return receiver

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the receivers handle the end of their connection."""

    def _accept(self) -> None:
        """Accept the connections that wait, as far as there are descriptors."""
        for _ in range(ACCEPTS_PER_STEP):
            if self._bound is None:
                return
            if not self.state.budgets.descriptors.may_accept(self.usage):
                self._make_room()
                if not self.state.budgets.descriptors.may_accept(self.usage):
                    self._pause("budget of descriptors")
                    return
            try:
                connection, address = self._bound.accept()
            except BlockingIOError:
                self.paused_since_ms = None
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Such as for lack of descriptors; it would fail again at once.
                self._make_room()
                self._pause(repr(error))
                return
            self.paused_since_ms = None
            self._serve_connection(connection, address)

    def _serve_connection(
        self, connection: socket.socket, address: tuple[str, int]
    ) -> None:
        connection.setblocking(False)
        state = self.state
        stream = bounded_stream.BoundedStream(
            connection, state.budgets, state.observe_close, state.clock
        )
        self._server.handle_stream(stream, address)

    def _pause(self, reason: str) -> None:
        """Stop accepting for `ACCEPT_PAUSE_S`."""
        assert self._bound is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._bound.fileno())
        self._resuming = loop.call_later(ACCEPT_PAUSE_S, self._resume)
        now_ms = self.state.clock.now_ms()
        if self.paused_since_ms is None:
            self.paused_since_ms = now_ms
            self.pauses += 1
        self._log_descriptors("accepting paused", reason, now_ms - self.paused_since_ms)

    def _resume(self) -> None:
        self._resuming = None
        if self._bound is not None:
            asyncio.get_running_loop().add_reader(self._bound.fileno(), self._accept)
            self._accept()

    def _log_descriptors(self, event: str, reason: str, age_ms: int) -> None:
        """Log which bound was reached, and what uses the descriptors."""
        usage = self.usage
        self._bound_log.write(
            event,
            reason=reason,
            used=usage.descriptors,
            limit=self.state.budgets.descriptors.limit,
            connections=usage.connections,
            requests=usage.requests,
            links=usage.links,
            age_ms=age_ms,
        )

    def _log_memory(self, count: int) -> None:
        """Log that a body could not be held."""
        holder = byte_budgets.Holder.CALLERS
        budget = self.state.budgets.bytes
        self._bound_log.write(
            "request rejected for memory",
            used=budget.held_by_holder[holder],
            limit=budget.limit_by_holder[holder],
            wanted=count,
            rejections=budget.rejections_by_holder[holder],
        )

    def log_chunks(self, cost: chunk_budget.BodyCost) -> None:
        """Log that a request was rejected for its chunks."""
        self._bound_log.write(
            "request rejected for chunks",
            used=self.state.budgets.chunk_reader.waiting_bodies,
            limit=chunk_budget.CROWDED_BODIES,
            chunks=cost.chunks,
            body_bytes=cost.size,
            rejections=self.state.budgets.chunk_reader.budget.rejections,
            closes=self.state.budgets.chunk_reader.budget.closes,
        )

    def _make_room(self) -> None:
        """Close idle links and waiting connections, as far as the budget asks for."""
        budget = self.state.budgets.descriptors
        self.links.close_idle(budget.excess_links(self.usage))
        count = budget.excess_connections(self.usage)
        if not count:
            return
        now_ms = self.state.clock.now_ms()
        stream_by_waiting = dict(self._waiting_connections(now_ms))
        oldest_ms = 0
        for waiting in budget.order_to_close(stream_by_waiting, now_ms):
            reason = connection_budget.CloseReason.DESCRIPTORS
            if self._close_waiting(stream_by_waiting[waiting], reason):
                oldest_ms = max(oldest_ms, now_ms - waiting.since_ms)
                count -= 1
            if not count:
                break
        if oldest_ms:
            reason_text = "budget of descriptors"
            self._log_descriptors("connections closed", reason_text, oldest_ms)

    def _waiting_connections(
        self, now_ms: int
    ) -> list[tuple[connection_budget.Waiting, iostream.IOStream]]:
        """Return the connections that wait for a caller's bytes."""
        return [
            (waiting, stream) for waiting, _, stream in self._waiting_requests(now_ms)
        ]

    def _waiting_requests(
        self, now_ms: int
    ) -> "list[tuple[connection_budget.Waiting, _Receiver, iostream.IOStream]]":
        """Return the connections that wait, with the receivers of their requests."""
        found = []
        for connection, receiver in tuple(self._receiver_by_connection.items()):
            stream = connection.stream
            if stream.closed():
                continue
            waiting = receiver.progress.waiting(stream, now_ms)
            if waiting is not None:
                found.append((waiting, receiver, stream))
        return found

    def _close_waiting(
        self, stream: iostream.IOStream, reason: connection_budget.CloseReason
    ) -> bool:
        """Close a connection unless bytes have arrived; return whether it did."""
        if stream.closed() or not arrived_bytes.awaits_bytes(stream):
            return False
        self.state.observe_close(reason, False)
        stream.close()
        return True

    def _stop_listening(self) -> None:
        if self._resuming is not None:
            self._resuming.cancel()
            self._resuming = None
        if self._bound is not None:
            asyncio.get_running_loop().remove_reader(self._bound.fileno())
            self._bound.close()
            self._bound = None

    def _close_queue(self) -> bool:
        """Accept the connections that wait, then stop listening.

        Returns False, and goes on to listen, if one can't be accepted now for lack of
        descriptors.
        """
        while self._bound is not None:
            if not self.state.budgets.descriptors.may_accept(self.usage):
                self._make_room()
                if not self.state.budgets.descriptors.may_accept(self.usage):
                    return False
            try:
                connection, address = self._bound.accept()
            except BlockingIOError:
                self._stop_listening()
            except ConnectionAbortedError:
                continue
            except OSError:
                return False
            else:
                self._serve_connection(connection, address)
        return True


class _Receiver(httputil.HTTPMessageDelegate):
    """Reads one request, and starts the task that answers it.

    Attributes
    ----------
    progress : RequestProgress
        How far the request has arrived.
    account : Account
        Bytes that are held for the request and its answers.
    """

    def __init__(
        self,
        state: ListenerState,
        connection: http1connection.HTTP1Connection,
        background: tasks.BackgroundTasks,
        open_receivers: "set[_Receiver]",
        served: "set[asyncio.Task[None]]",
        listener: CallerListener,
    ) -> None:
        self._state = state
        self._connection = connection
        self._background = background
        self._open = open_receivers
        self._served = served
        self._listener = listener
        self.account = byte_budgets.Account(state.budgets.bytes)
        self.progress = request_progress.RequestProgress(state.clock)
        self._task: asyncio.Task[None] | None = None
        # One buffer: the pieces of a body may be of a few bytes.
        self._body = bytearray()
        self._declared_size = 0
        self._rejection: CallerAnswer | None = None
        self._may_expect_body = True

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self.progress.record_head()
        self._open.add(self)
        self._start_line = start_line
        self._headers = headers
        self._declared_size = bounded_stream.declared_bytes(headers)
        if not self._rejected_by_limits(start_line, headers):
            self._hold(self._declared_size)
        if self._rejection is None:
            bounded_stream.expect_body(self._connection.stream, headers)
        self._may_expect_body = False

    def _rejected_by_limits(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> bool:
        """Reject a request whose head exceeds a limit; return whether it does."""
        limits = self._state.limits
        if limits is None:
            return False
        length = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if length + len(start_line.path) > limits.max_header_bytes:
            self._reject(431)
            return True
        if self._declared_size > limits.max_body_bytes:
            self._reject(413)
            return True
        return False

    @property
    def is_rejected(self) -> bool:
        """Whether the request is answered, and the rest of its body discarded."""
        return self._rejection is not None

    def reject_for_chunks(self, cost: chunk_budget.BodyCost) -> None:
        """Reject the request as not run."""
        self._listener.log_chunks(cost)
        self._reject_as_not_run()

    def close_for_chunks(self) -> None:
        """Close the connection of a rejected request.

        Nothing of it would have been run, so what is unread is not lost.
        """
        self._state.observe_close(connection_budget.CloseReason.CHUNKS, False)
        self._connection.stream.close()

    def _hold(self, count: int) -> None:
        """Hold further bytes of the body, or reject the request as not run."""
        if not self._listener.hold(self.account, count):
            self._reject_as_not_run()

    def _reject_as_not_run(self) -> None:
        request_id = requests.request_id(self._headers)
        self._reject(503, answers.gateway_answer_headers(request_id, RETRY_MS))

    def data_received(self, chunk: bytes) -> None:
        self.progress.record_body_bytes()
        if self._rejection is not None:
            return
        self._body += chunk
        size = len(self._body)
        limits = self._state.limits
        if limits is not None and size > limits.max_body_bytes:
            self._reject(413)
        elif size > self._declared_size:
            # A body in chunks declares no size.
            self._hold(len(chunk))

    def finish(self) -> None:
        self.progress.is_read = True
        if self._rejection is not None:
            self._open.discard(self)
            self._rejection.finish()
            self._connection.close()
            return
        headers = self._headers
        body = bytes(self._body)
        self._body.clear()
        request = CallerRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=headers,
            body=body,
            has_body="Content-Length" in headers or "Transfer-Encoding" in headers,
            received_ms=self._state.clock.now_ms(),
        )
        answer = CallerAnswer(self._connection, self._state, self.account)
        answer.has_descriptor = self._listener.has_descriptor()
        self._task = self._background.start(self._serve(request, answer))
        self._task.add_done_callback(lambda _task: self.account.close())
        if answer.has_descriptor:
            self._served.add(self._task)
            self._task.add_done_callback(self._served.discard)
        # The library calls this if the caller disconnects before the answer's end.
        self._connection.set_close_callback(self._handle_disconnect)

    def on_connection_close(self) -> None:
        self._open.discard(self)
        if self._task is None:
            self.drop()

    def log_open(self) -> None:
        """Log how far the request and its answer are."""
        stream = self._connection.stream
        _LOG.warning(
            "request open at the end",
            request=requests.request_id(self._headers),
            is_read=self.progress.is_read,
            age_ms=self._state.clock.now_ms() - self.progress.arrived_ms,
            unread_bytes=arrived_bytes.unread_bytes(stream),
            unsent_bytes=arrived_bytes.unsent_bytes(stream),
        )

    def drop(self) -> None:
        """Release what was read of a request that is not served."""
        self._body.clear()
        self.account.close()

    async def _serve(self, request: CallerRequest, answer: CallerAnswer) -> None:
        try:
            await self._state.handler(request, answer)
            await answer.wait_sent()
        finally:
            self._open.discard(self)
            if answer.is_cut or not answer.has_ended:
                answer.close()

    def _handle_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _reject(self, status: int, headers: httputil.HTTPHeaders | None = None) -> None:
        """Answer a request that exceeds a limit; the rest of it is discarded.

        The connection is closed once the rest is read: closing it with unread bytes
        would reset it, and the caller could lose the answer.
        """
        self.drop()
        bounded_stream.discard_rest(self._connection)
        answer = CallerAnswer(self._connection, self._state, self.account)
        answer.closes_connection = True
        headers = headers or httputil.HTTPHeaders()
        if "Expect" in self._headers and self._may_expect_body:
            # The library would ask for the body if the answer had not ended.
            answer.send(status, headers, b"")
        else:
            headers["Content-Length"] = "0"
            answer.begin(status, headers)
        self._rejection = answer


def _has_arrived(stream: iostream.IOStream) -> bool:
    """Return whether a part of a request has arrived, whether read or not."""
    return stream._read_buffer_size > 0 or not arrived_bytes.awaits_bytes(stream)


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved.

    A write fails when the caller has disconnected, which also cancels its task.
    """
    if not future.cancelled():
        future.exception()
