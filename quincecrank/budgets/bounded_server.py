"""HTTP server whose connections and bodies stay within the budgets of its process.

Invariant
    A listener has at most as many connections as it was given, so that it takes no
    descriptor of another one.  A new connection takes the place of one on which a
    request, or the rest of one, has been awaited for longest; a request that was read
    completely is never cut for it.

Load pattern: hundreds of clients open connections on which nothing follows, or send
bodies to a listener that takes none.
"""

import asyncio
import dataclasses
import socket
import ssl
import weakref
from collections.abc import Awaitable, Iterable
from typing import Any, Final

from tornado import http1connection, httpserver, httputil, iostream, netutil

from quincecrank import arrived_bytes, logs
from quincecrank import clock as clocks
from quincecrank.budgets import (
    bound_log,
    bounded_stream,
    byte_budget,
    chunk_budget,
    connection_budget,
    process_budgets,
    request_progress,
)

RETRY_S: Final = 1
"""Retry-After time of a request that finds no memory, or no time for its chunks."""

_LOG: Final = logs.logger("listener")


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    Attributes
    ----------
    name : str
        Name of the listener in the log and the metrics.
    max_connections : int
        Most open connections.
    max_held_bytes : int
        Most bytes of a body that the handlers keep; 0 if they account for them
        themselves.
    takes_short_requests : bool
        Whether requests arrive at once, so that one that does not may be closed for a
        new connection.
    """

    name: str
    max_connections: int
    max_held_bytes: int
    takes_short_requests: bool = True


class BoundedServer(httpserver.HTTPServer):
    """HTTP server of one listener.

    Attributes
    ----------
    limits : ListenerLimits
        Limits of the listener.
    budgets : ProcessBudgets
        Budgets of the process.
    count_by_close_reason : dict
        Number of connections that were closed for a bound.
    refusals : int
        Number of new connections that found no place.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; called by the library with its arguments.

        Parameters
        ----------
        listener : ListenerLimits
            Limits of the listener.
        budgets : ProcessBudgets
            Budgets of the process.
        clock : Clock
            Source of time.
        """
        self.limits: ListenerLimits = kwargs.pop("listener")
        self.budgets: process_budgets.ProcessBudgets = kwargs.pop("budgets")
        self._clock: clocks.Clock = kwargs.pop("clock")
        super().initialize(*args, **kwargs)
        self._bound_log = bound_log.BoundLog(_LOG, self._clock)
        self.count_by_close_reason: dict[connection_budget.CloseReason, int] = {}
        self.refusals = 0
        self.receiver_by_connection: weakref.WeakKeyDictionary[
            http1connection.HTTP1ServerConnection, _Receiver
        ] = weakref.WeakKeyDictionary()

    @property
    def name(self) -> str:
        """Name of the listener."""
        return self.limits.name

    @property
    def max_connections(self) -> int:
        """Most open connections."""
        return self.limits.max_connections

    @property
    def closes(self) -> int:
        """Number of connections that were closed or refused for a bound."""
        return sum(self.count_by_close_reason.values()) + self.refusals

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return sum(not each.stream.closed() for each in self._connections)

    def add_socket(self, socket: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self.budgets.receive.prepare(socket)
        super().add_socket(socket)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of a new request."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        delegate = super().start_request(server_conn, request_conn)
        self._release(server_conn)
        receiver = _Receiver(self, delegate, request_conn, self._clock)
        self.receiver_by_connection[server_conn] = receiver
        self.budgets.chunk_reader.attach(request_conn, receiver)
        bounded_stream.begin_request(request_conn)
        return receiver

    def on_close(self, server_conn: object) -> None:
        """Release what a connection that has ended holds."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        self._release(server_conn)
        super().on_close(server_conn)

    def _release(self, connection: http1connection.HTTP1ServerConnection) -> None:
        receiver = self.receiver_by_connection.get(connection)
        if receiver is not None:
            receiver.account.close()

    def observe_close(
        self, reason: connection_budget.CloseReason, _is_unread: bool
    ) -> None:
        """Count and log a connection that this process closes for a bound."""
        count = self.count_by_close_reason.get(reason, 0) + 1
        self.count_by_close_reason[reason] = count
        self._bound_log.write(
            "connection closed",
            listener=self.name,
            reason=reason.value,
            closes=count,
        )

    def log_memory(self, wanted: int) -> None:
        """Log that a body found no memory."""
        holder = byte_budget.Holder.CALLERS
        budget = self.budgets.bytes
        self._bound_log.write(
            "request rejected for memory",
            listener=self.name,
            used=budget.held_by_holder[holder],
            limit=budget.limit_by_holder[holder],
            wanted=wanted,
            rejections=budget.rejections_by_holder[holder],
        )

    def log_chunks(self, cost: chunk_budget.BodyCost) -> None:
        """Log that a request was rejected for its chunks."""
        budget = self.budgets.chunk_reader.budget
        self._bound_log.write(
            "request rejected for chunks",
            listener=self.name,
            chunks=cost.chunks,
            body_bytes=cost.size,
            rejections=budget.rejections,
        )

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        """Serve a new connection if there is a place for it."""
        if len(self._connections) >= self.max_connections and not self._make_room():
            self.refusals += 1
            self._bound_log.write(
                "connection refused",
                listener=self.name,
                limit=self.max_connections,
                refusals=self.refusals,
            )
            connection.close()
            return
        stream_type: type[bounded_stream.BoundedStream] = bounded_stream.BoundedStream
        if self.ssl_options is not None:
            try:
                connection = netutil.ssl_wrap_socket(
                    connection,
                    self.ssl_options,
                    server_side=True,
                    do_handshake_on_connect=False,
                )
            except (ssl.SSLError, OSError) as error:
                _LOG.info("no TLS connection", listener=self.name, error=str(error))
                connection.close()
                return
            stream_type = bounded_stream.BoundedSslStream
        stream = stream_type(connection, self.budgets, self.observe_close, self._clock)
        self.handle_stream(stream, address)

    def _make_room(self) -> bool:
        """Close waiting connections; return whether there is a place for a new one."""
        if self.open_count < self.max_connections:
            return True
        now_ms = self._clock.now_ms()
        stream_by_waiting = {}
        for connection, receiver in tuple(self.receiver_by_connection.items()):
            stream = connection.stream
            if stream.closed():
                continue
            waiting = receiver.progress.waiting(stream, now_ms)
            if waiting is not None:
                stream_by_waiting[waiting] = stream
        # Several at once, so that they are not sorted for each new connection.
        most = max(1, int(self.max_connections * connection_budget.CLOSED_FRACTION))
        closed = 0
        order = self.budgets.descriptors.order_to_close(stream_by_waiting, now_ms)
        arriving = self._arriving_requests(stream_by_waiting)
        for waiting in (*order, *arriving):
            stream = stream_by_waiting[waiting]
            if stream.closed():
                continue
            if waiting in arriving or arrived_bytes.awaits_bytes(stream):
                stream.close()
                self.observe_close(connection_budget.CloseReason.DESCRIPTORS, False)
                closed += 1
            if closed == most:
                break
        return closed > 0

    def _arriving_requests(
        self, waiting: Iterable[connection_budget.Waiting]
    ) -> tuple[connection_budget.Waiting, ...]:
        """Return the incomplete requests that may be closed, the oldest ones first.

        A short request arrives at once, so that a new connection is more likely to be
        of use.
        """
        if not self.limits.takes_short_requests:
            return ()
        arriving = [
            each for each in waiting if each.wait is not connection_budget.Wait.REQUEST
        ]
        return tuple(sorted(arriving, key=lambda each: each.begun_ms))


class _Receiver(httputil.HTTPMessageDelegate):
    """Receives one request for its handler.

    Attributes
    ----------
    progress : RequestProgress
        How far the request has arrived.
    account : Account
        Bytes that are held of its body, until the next request of the connection.
    """

    def __init__(
        self,
        server: BoundedServer,
        delegate: httputil.HTTPMessageDelegate,
        connection: http1connection.HTTP1Connection,
        clock: clocks.Clock,
    ) -> None:
        self._server = server
        self._delegate = delegate
        self._connection = connection
        self.progress = request_progress.RequestProgress(clock)
        self.account = byte_budget.Account(server.budgets.bytes)
        self._held_bytes = 0
        self._read_bytes = 0

    @property
    def is_rejected(self) -> bool:
        """Whether the request was answered before it was read."""
        return self._connection._response_start_line is not None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Any:
        self.progress.record_head()
        received = self._delegate.headers_received(start_line, headers)
        if received is None:
            self._expect_body(headers)
            return None
        return self._expect_body_after(received, headers)

    async def _expect_body_after(
        self, received: Awaitable[None], headers: httputil.HTTPHeaders
    ) -> None:
        """Expect a body once the handler has seen the head, unless it was answered."""
        await received
        self._expect_body(headers)

    def _expect_body(self, headers: httputil.HTTPHeaders) -> None:
        if self.is_rejected:
            return
        if self._try_hold(bounded_stream.declared_bytes(headers)):
            bounded_stream.expect_body(self._connection.stream, headers)
        else:
            self._server.log_memory(self._held_bytes)
            self._reject_as_not_run()

    def _try_hold(self, size: int) -> bool:
        """Hold the bytes of a body of a size; return False if there is no memory."""
        added = min(size, self._server.limits.max_held_bytes) - self._held_bytes
        if added <= 0:
            return True
        if not self.account.try_hold(byte_budget.Holder.CALLERS, added):
            return False
        self._held_bytes += added
        return True

    def data_received(self, chunk: bytes) -> Any:
        self.progress.record_body_bytes()
        self._read_bytes += len(chunk)
        if not self.is_rejected and not self._try_hold(self._read_bytes):
            self._server.log_memory(self._read_bytes)
            self._reject_as_not_run()
            return None
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self.progress.is_read = True
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()

    def reject_for_chunks(self, cost: chunk_budget.BodyCost) -> None:
        """Reject the request as not run."""
        self._server.log_chunks(cost)
        self._reject_as_not_run()

    def _reject_as_not_run(self) -> None:
        """Answer the request before it was read; its handler never gets it."""
        headers = httputil.HTTPHeaders(
            {"Content-Length": "0", "Connection": "close", "Retry-After": str(RETRY_S)}
        )
        start = httputil.ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        self.account.close()
        try:
            written = self._connection.write_headers(start, headers)
            written.add_done_callback(_retrieve_exception)
            self._connection.finish()
        except iostream.StreamClosedError:
            # The client has left.
            return

    def close_for_chunks(self) -> None:
        """Close the connection of a rejected request."""
        self._server.observe_close(connection_budget.CloseReason.CHUNKS, False)
        self._connection.stream.close()


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Retrieve the exception of a write, which fails when the client has left."""
    if not future.cancelled():
        future.exception()
