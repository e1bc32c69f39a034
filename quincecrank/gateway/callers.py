"""HTTP listener for callers.

A request is read completely before it is handled; an answer is sent while it is
produced.
"""

import asyncio
import dataclasses
import enum
import http.client
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Final

from tornado import http1connection, httpserver, httputil, iostream

from quincecrank import arrived_bytes, tasks
from quincecrank import clock as clocks
from quincecrank.gateway import deployment

MAX_HEADER_BYTES: Final = 64 * 1024
"""Largest headers of a request that are read; the configuration may allow less."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Largest body of a request that is read; the configuration may allow less."""

IDLE_TIMEOUT_S: Final = 120.0
"""Time after which the idle connection of a caller is closed.  It is longer than any
idle time that a configuration guarantees to callers, as the listener starts before a
configuration is known."""

SEND_CHECK_S: Final = 0.02
"""Interval of the checks whether an answer is sent."""

BODY_TIMEOUT_S: Final = 60.0
"""Limit of the time to read a request's body."""


class CloseReason(enum.Enum):
    """Why this process closes the connection of a caller itself."""

    SHUTDOWN = "shutdown"
    IDLE = "idle"
    SLOW_BODY = "slow body"
    ABORTED_ANSWER = "aborted answer"


ObserveClose = Callable[[CloseReason, bool], None]
"""Called at each close by this process, with whether bytes had arrived unread."""


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
        Whether the complete answer was sent, or its connection was closed.
    closes_connection : bool
        Whether the answer is the last one of its connection, whatever the state.
    """

    def __init__(
        self, connection: http1connection.HTTP1Connection, state: "ListenerState"
    ) -> None:
        self._connection = connection
        self._state = state
        self.closes_connection = False
        self.has_begun = False
        self.has_ended = False

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
        """Wait until the written bytes are sent or the connection is closed."""
        stream = self._connection.stream
        while stream is not None and not stream.closed() and stream.writing():
            await asyncio.sleep(SEND_CHECK_S)

    def abort(self) -> None:
        """Close the connection, so that the caller sees the answer as incomplete."""
        self.has_ended = True
        stream = self._connection.stream
        if stream is not None:
            if not stream.closed():
                is_unread = arrived_bytes.has_unread(stream)
                self._state.observe_close(CloseReason.ABORTED_ANSWER, is_unread)
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
    last_arrival_ms : int
        Time at which the head of the last request was read.
    observe_close : callable
        Called at each close of a connection by this process.
    """

    handler: Handler
    clock: clocks.Clock
    limits: deployment.ClientLimits | None = None
    is_leaving: bool = False
    last_arrival_ms: int = 0
    observe_close: ObserveClose = lambda _reason, _is_unread: None


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
    last_arrival_ms : int
        Time at which the head of the last request was read.
    """

    def __init__(self, handler: Handler, clock: clocks.Clock) -> None:
        self.state = ListenerState(handler, clock)
        self.state.last_arrival_ms = clock.now_ms()
        self._tasks = tasks.BackgroundTasks()
        self._open: set[_Receiver] = set()
        self._receiver_by_connection: weakref.WeakKeyDictionary[
            http1connection.HTTP1ServerConnection, _Receiver
        ] = weakref.WeakKeyDictionary()
        self._bound: socket.socket | None = None
        self._server = httpserver.HTTPServer(
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
    def last_arrival_ms(self) -> int:
        """Time at which the head of the last request was read; at first the start."""
        return self.state.last_arrival_ms

    def start(self, bound: socket.socket) -> None:
        """Accept connections on a bound socket."""
        self._bound = bound
        self._server.add_socket(bound)

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and no more; open ones continue."""
        self._accept_waiting()
        self._server.stop()

    def close_idle(self) -> bool:
        """Accept no more connections and close those on which nothing has arrived.

        What has arrived is left to be read and answered.  Returns whether a connection
        is still open, so that this is to be called again.
        """
        is_any_open = self._accept_waiting()
        self._server.stop()
        for connection, receiver in tuple(self._receiver_by_connection.items()):
            stream = connection.stream
            if stream.closed():
                continue
            if receiver.is_waiting and arrived_bytes.awaits_bytes(stream):
                self.state.observe_close(CloseReason.SHUTDOWN, False)
                stream.close()
            else:
                is_any_open = True
        return is_any_open

    def close_expired(self) -> None:
        """Close connections on which the next request or its rest is overdue.

        What has arrived by now is left to be read.
        """
        now_ms = self.state.clock.now_ms()
        for connection, receiver in tuple(self._receiver_by_connection.items()):
            stream = connection.stream
            reason = receiver.overdue_reason(now_ms)
            if reason is None or stream.closed():
                continue
            if arrived_bytes.awaits_bytes(stream):
                self.state.observe_close(reason, False)
                stream.close()

    async def close_all(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()

    def start_request(  # type: ignore[override]
        self,
        server_conn: http1connection.HTTP1ServerConnection,
        request_conn: http1connection.HTTP1Connection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of a new request."""
        receiver = _Receiver(self.state, request_conn, self._tasks, self._open)
        self._receiver_by_connection[server_conn] = receiver
        return receiver

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the receivers handle the end of their connection."""

    def _accept_waiting(self) -> bool:
        """Accept the connections that the system has completed.

        Returns whether there was any.
        """
        accepted = arrived_bytes.accept_waiting(self._bound) if self._bound else []
        for connection, address in accepted:
            self._server.handle_stream(iostream.IOStream(connection), address)
        return bool(accepted)


class _Receiver(httputil.HTTPMessageDelegate):
    """Reads one request, and starts the task that answers it.

    Attributes
    ----------
    is_waiting : bool
        Whether the head of the request has not been read yet.
    """

    def __init__(
        self,
        state: ListenerState,
        connection: http1connection.HTTP1Connection,
        background: tasks.BackgroundTasks,
        open_receivers: "set[_Receiver]",
    ) -> None:
        self._state = state
        self._connection = connection
        self._background = background
        self._open = open_receivers
        self.is_waiting = True
        self._is_read = False
        self._awaited_since_ms = state.clock.now_ms()
        self._task: asyncio.Task[None] | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._rejection: CallerAnswer | None = None

    def overdue_reason(self, now_ms: int) -> CloseReason | None:
        """Return why the connection is to be closed if nothing has arrived; or None."""
        if self._is_read:
            return None
        awaited_s = (now_ms - self._awaited_since_ms) / clocks.MS_PER_SECOND
        if self.is_waiting:
            return CloseReason.IDLE if awaited_s > IDLE_TIMEOUT_S else None
        return CloseReason.SLOW_BODY if awaited_s > BODY_TIMEOUT_S else None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self.is_waiting = False
        self._awaited_since_ms = self._state.clock.now_ms()
        self._state.last_arrival_ms = self._awaited_since_ms
        self._open.add(self)
        self._start_line = start_line
        self._headers = headers
        limits = self._state.limits
        if limits is None:
            return
        length = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if length + len(start_line.path) > limits.max_header_bytes:
            self._reject(431)
            return
        declared = headers.get("Content-Length", "0")
        if declared.isdigit() and int(declared) > limits.max_body_bytes:
            self._reject(413)

    def data_received(self, chunk: bytes) -> None:
        if self._rejection is not None:
            return
        self._chunks.append(chunk)
        self._size += len(chunk)
        limits = self._state.limits
        if limits is not None and self._size > limits.max_body_bytes:
            self._reject(413)

    def finish(self) -> None:
        self._is_read = True
        if self._rejection is not None:
            self._open.discard(self)
            self._rejection.finish()
            self._connection.close()
            return
        headers = self._headers
        request = CallerRequest(
            method=self._start_line.method,
            target=self._start_line.path,
            headers=headers,
            body=b"".join(self._chunks),
            has_body="Content-Length" in headers or "Transfer-Encoding" in headers,
            received_ms=self._state.clock.now_ms(),
        )
        answer = CallerAnswer(self._connection, self._state)
        self._task = self._background.start(self._serve(request, answer))
        # The library calls this if the caller disconnects before the answer's end.
        self._connection.set_close_callback(self._handle_disconnect)

    def on_connection_close(self) -> None:
        self._open.discard(self)

    async def _serve(self, request: CallerRequest, answer: CallerAnswer) -> None:
        try:
            await self._state.handler(request, answer)
            await answer.wait_sent()
        finally:
            self._open.discard(self)
            if not answer.has_ended:
                answer.abort()

    def _handle_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _reject(self, status: int) -> None:
        """Answer a request that exceeds a limit; the rest of it is discarded.

        The connection is closed once the rest is read: closing it with unread bytes
        would reset it, and the caller could lose the answer.
        """
        answer = CallerAnswer(self._connection, self._state)
        answer.closes_connection = True
        if "Expect" in self._headers:
            # The library would ask for the body if the answer had not ended.
            answer.send(status, httputil.HTTPHeaders(), b"")
        else:
            answer.begin(status, httputil.HTTPHeaders({"Content-Length": "0"}))
        self._rejection = answer


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved.

    A write fails when the caller has disconnected, which also cancels its task.
    """
    if not future.cancelled():
        future.exception()
