"""Connections to backend servers, and exchanges on them.

Terms
-----
link
    A connection to one incarnation of a backend server.
exchange
    One request and its answer on a link.
sink
    Handles the answer of an exchange while it arrives.
stray answer
    A late answer to an earlier request on the same link.
"""

import asyncio
import collections
import dataclasses
import enum
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from tornado import http1connection, httputil, iostream

from quincecrank import arrived_bytes, checked_values
from quincecrank import clock as clocks
from quincecrank.gateway import servers

MAX_HEADER_BYTES: Final = 64 * 1024
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
MAX_UNREAD_BYTES: Final = 1024 * 1024
"""Size of a link's receive buffer."""

MAX_INTERIM_ANSWERS: Final = 8
"""Most heads with a status below 200 before an answer; servers send one or two."""

MAX_LINK_REQUESTS: Final = 512
"""Requests after which a link is closed; it bounds the ids that a link remembers."""

MAX_STRAY_ANSWERS: Final = 3
"""Most answers read in one exchange before the link is closed.  Late answers to earlier
requests are skipped."""


class AnswerLimitError(Exception):
    """An answer, or a part of it, is longer than a limit."""


class MemoryLimitError(Exception):
    """There is no memory for an answer, or for a part of it."""


class EventOrderError(Exception):
    """A resumed stream does not continue after the last event that was received."""


class ExchangeOutcome(enum.Enum):
    """Outcome of an exchange.

    `COMPLETE`: the complete answer arrived.  `UNSENT`: no byte of the request was
    written.  `BROKEN`: the server ended the answer before it was complete, and the
    request may have run.  `ABANDONED`: this gateway closed the link before that, and
    the request may have run.
    """

    COMPLETE = "complete"
    UNSENT = "unsent"
    BROKEN = "broken"
    ABANDONED = "abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request in the form in which it is sent to a backend server.

    Attributes
    ----------
    request_id : str
        Id that its answer repeats; empty for a call that has none.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    request_id: str = ""


MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
"""Bounds of a status code in HTTP; an answer with another one has broken off."""


BODILESS_STATUSES: Final = frozenset((204, 304))
"""Statuses of answers that end with their head and need no length."""


class AnswerSink(Protocol):
    """Handles an answer while it arrives."""

    def accepts(self, headers: httputil.HTTPHeaders, *, is_reused: bool) -> bool:
        """Return whether the answer belongs to the request.

        Parameters
        ----------
        is_reused : bool
            Whether the link has carried earlier requests, to which late answers may
            arrive.
        """

    def may_reuse(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether a late copy of the answer would be recognized."""

    async def handle_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Handle the status and headers of the answer."""

    async def handle_body(self, chunk: bytes) -> None:
        """Handle a part of the body."""


class LinkStream(iostream.IOStream):
    """An open stream that exposes whether received bytes are still unread.

    Attributes
    ----------
    on_closed : callable
        Called once, when its descriptor is closed.
    """

    on_closed: Callable[[], None] = staticmethod(lambda: None)

    def close_fd(self) -> None:
        """Close the descriptor."""
        super().close_fd()
        self.on_closed()

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes, or the end of the connection, wait to be read."""
        return self._read_buffer_size > 0 or arrived_bytes.has_unread(self)


class Link:
    """One connection to a backend server; carries one exchange at a time.

    Attributes
    ----------
    opened_ms : int
        Time at which the link was opened.
    idle_since_ms : int
        Time at which the last exchange ended, or at which the link was opened.
    idle_limit_ms : int or None
        Time for which the server keeps an idle connection open; None if its answers
        do not declare it.
    request_ids : deque of str
        Ids of the requests that the link has carried, at most `MAX_LINK_REQUESTS`.
    """

    def __init__(self, stream: LinkStream, now_ms: int) -> None:
        self._stream = stream
        self._is_reusable = True
        self._has_carried_request = False
        self.request_ids: collections.deque[str] = collections.deque()
        self.opened_ms = self.idle_since_ms = now_ms
        self.idle_limit_ms: int | None = None

    def notify_closed(self, on_closed: Callable[[], None]) -> None:
        """Have a function called once the connection is closed."""
        if self._stream.closed():
            on_closed()
        else:
            self._stream.on_closed = on_closed

    @property
    def is_usable(self) -> bool:
        """Whether a further exchange may start."""
        return (
            self._is_reusable
            and not self._stream.closed()
            and not self._stream.has_unread_bytes
        )

    @property
    def has_arrived(self) -> bool:
        """Whether bytes, or the end, have arrived that no exchange has handled."""
        return not arrived_bytes.awaits_bytes(self._stream)

    @property
    def unread_bytes(self) -> int:
        """Number of received bytes that no exchange has handled."""
        return arrived_bytes.unread_bytes(self._stream)

    def close(self) -> None:
        """Close the connection, which also stops a running exchange."""
        self._is_reusable = False
        self._stream.close()

    async def exchange(
        self, request: OutgoingRequest, sink: AnswerSink, clock: clocks.Clock
    ) -> ExchangeOutcome:
        """Send a request, pass its answer to `sink`, and return the outcome.

        An exception of the sink other than `AnswerLimitError`, `EventOrderError` and
        `MemoryLimitError` is raised again, after the link was closed.
        """
        if not self.is_usable:
            return ExchangeOutcome.UNSENT
        parameters = http1connection.HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_ANSWER_BYTES
        )
        connection = http1connection.HTTP1Connection(self._stream, True, parameters)
        sent = _send(connection, request)
        if request.request_id:
            self.request_ids.append(request.request_id)
        if len(self.request_ids) >= MAX_LINK_REQUESTS:
            self._is_reusable = False
        try:
            outcome = await self._receive(connection, sink, sent)
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            AnswerLimitError,
            EventOrderError,
        ):
            outcome = ExchangeOutcome.BROKEN
        except MemoryLimitError:
            outcome = ExchangeOutcome.ABANDONED
        except BaseException:
            # The rest of the answer may still arrive on this link.
            self.close()
            raise
        finally:
            # If the answer comes before the request is completely written, the rest
            # of the request is still in flight and the link can't be reused.
            if not sent.done():
                self._is_reusable = False
                sent.add_done_callback(_retrieve_exception)
            else:
                _retrieve_exception(sent)
        if outcome is not ExchangeOutcome.COMPLETE or not self._is_reusable:
            self.close()
        self._has_carried_request = True
        self.idle_since_ms = clock.now_ms()
        return outcome

    async def _receive(
        self,
        connection: http1connection.HTTP1Connection,
        sink: AnswerSink,
        sent: "asyncio.Future[None]",
    ) -> ExchangeOutcome:
        for _ in range(MAX_STRAY_ANSWERS):
            reader = _AnswerReader(sink, is_reused=self._has_carried_request)
            reading = asyncio.ensure_future(connection.read_response(reader))
            try:
                # `reading` ends only when the request is completely written, too.
                futures: set[asyncio.Future[Any]] = {reading, reader.ended}
                await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
                if not reader.ended.done():
                    reading.result()
            finally:
                if not reading.done():
                    await asyncio.sleep(0)
                reading.add_done_callback(_retrieve_exception)
            if reader.failure is not None:
                raise reader.failure
            if not reader.is_finished:
                return ExchangeOutcome.BROKEN
            if reader.is_unframed:
                # A server that closes before it has read the request breaks off, even
                # if the close is in order.
                if self._stream.error is not None or not _is_written(sent):
                    return ExchangeOutcome.BROKEN
            self._record_keep_alive(reader)
            if reader.is_accepted:
                if not sink.may_reuse(reader.headers):
                    self._is_reusable = False
                return ExchangeOutcome.COMPLETE
            if not self._is_reusable or not reading.done():
                return ExchangeOutcome.BROKEN
        return ExchangeOutcome.BROKEN

    def _record_keep_alive(self, reader: "_AnswerReader") -> None:
        if reader.is_unframed or self._stream.closed():
            self._is_reusable = False
            return
        headers = reader.headers
        if "close" in headers.get("Connection", "").lower():
            self._is_reusable = False
        for field in headers.get("Keep-Alive", "").split(","):
            name, _, value = field.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_limit_ms = int(value) * clocks.MS_PER_SECOND


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Passes an answer to the sink if the sink accepts it.

    Attributes
    ----------
    is_accepted : bool
        Whether the answer belongs to the request.
    is_finished : bool
        Whether the complete answer has arrived.
    is_unframed : bool
        Whether the answer has no declared length, so that it ends with the connection.
    failure : BaseException or None
        Exception that the sink raised.
    ended : Future
        Done when the answer has ended, the sink has failed or the connection is closed.
    """

    def __init__(self, sink: AnswerSink, *, is_reused: bool) -> None:
        self._sink = sink
        self._is_reused = is_reused
        self.headers = httputil.HTTPHeaders()
        self.is_accepted = False
        self.is_finished = False
        self.is_unframed = False
        self._interim_answers = 0
        self.failure: BaseException | None = None
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if not MIN_STATUS <= start_line.code <= MAX_STATUS:
            raise httputil.HTTPInputError(f"no status can be {start_line.code}")
        if 100 <= start_line.code < 200:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                # Closes the connection; the library alone would go on waiting.
                raise httputil.HTTPInputError("too many interim answers")
            return
        self.headers = headers
        self.is_unframed = is_unframed(start_line.code, headers)
        self.is_accepted = self._sink.accepts(headers, is_reused=self._is_reused)
        if self.is_accepted:
            await self._guard(self._sink.handle_head(start_line.code, headers))

    async def data_received(self, chunk: bytes) -> None:
        if self.is_accepted and self.failure is None:
            await self._guard(self._sink.handle_body(chunk))

    def finish(self) -> None:
        self.is_finished = True
        self._end()

    def on_connection_close(self) -> None:
        self._end()

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    async def _guard(self, work: Awaitable[None]) -> None:
        # The library logs and hides what a delegate raises; it is raised again
        # by the exchange.
        try:
            await work
        except Exception as error:
            self.failure = error
            self._end()


def is_unframed(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Return whether an answer declares no length and ends with its connection."""
    if status in BODILESS_STATUSES:
        return False
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


LAST_STEPS: Final = 2
"""Steps of the event loop after the limit in which an open connection is noticed."""


async def connect(address: str, timeout_ms: float, clock: clocks.Clock) -> Link:
    """Open a link to IP:PORT.

    Raises
    ------
    OSError
        If the connection is refused, or if the address is no literal one, which would
        be looked up on the event loop.
    TimeoutError
        If there is no answer in time.
    """
    try:
        ip, _, port = checked_values.endpoint(address).rpartition(":")
    except ValueError as error:
        raise OSError(str(error)) from error
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = LinkStream(raw, max_buffer_size=MAX_UNREAD_BYTES)
    try:
        opening = stream.connect((ip, int(port)))
        # `asyncio.wait_for` ignores a cancellation in the step of the connection.
        await asyncio.wait({opening}, timeout=timeout_ms / clocks.MS_PER_SECOND)
        for _ in range(LAST_STEPS):
            if not opening.done():
                # The connection may have been opened while the event loop was late.
                await asyncio.sleep(0)
        if not opening.done():
            raise TimeoutError(f"{address} did not answer within {timeout_ms:.0f} ms")
        await opening
    except BaseException:
        stream.close()
        raise
    return Link(stream, clock.now_ms())


def is_refused_connection(error: BaseException) -> bool:
    """Return whether an error of `connect` says that nothing listens at the address."""
    if isinstance(error, iostream.StreamClosedError):
        return isinstance(error.real_error, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)


def _send(
    connection: http1connection.HTTP1Connection, request: OutgoingRequest
) -> "asyncio.Future[None]":
    start = httputil.RequestStartLine(request.method, request.target, "")
    written = connection.write_headers(start, request.headers, request.body)
    connection.finish()
    return asyncio.ensure_future(written)


def _is_written(sent: "asyncio.Future[None]") -> bool:
    """Return whether a request was written completely."""
    return sent.done() and not sent.cancelled() and sent.exception() is None


def _retrieve_exception(future: "asyncio.Future[Any]") -> None:
    """Retrieve the exception, so that asyncio does not log it as never retrieved."""
    if not future.cancelled():
        future.exception()


@dataclasses.dataclass(slots=True)
class _ServerLinks:
    """Idle links to one incarnation of a backend server, last used last."""

    started_wall_ms: int
    idle: list[Link] = dataclasses.field(default_factory=list)


class LinkPool:
    """Pool of idle links for reuse.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_idle_ms : int
        Time after which an idle link is closed.

    Attributes
    ----------
    open_count : int
        Number of open links, idle ones included.
    """

    def __init__(self, clock: clocks.Clock, max_idle_ms: int) -> None:
        self._clock = clock
        self._max_idle_ms = max_idle_ms
        self.open_count = 0
        self._links_by_server: dict[servers.ServerId, _ServerLinks] = {}

    def acquire_idle(
        self, server: servers.ServerEntry, max_idle_ms: int, request_id: str
    ) -> Link | None:
        """Return a link that has been idle for at most `max_idle_ms`; None if none has.

        Links that can't be used any more are closed, and so are links that have carried
        a request of the same id: a late answer to it would be taken for a new one.
        """
        server_links = self._links_to(server)
        while server_links.idle:
            link = server_links.idle.pop()
            idle_ms = self._clock.now_ms() - link.idle_since_ms
            if request_id in link.request_ids:
                link.close()
                continue
            if link.is_usable and idle_ms <= _idle_limit_ms(link, max_idle_ms):
                return link
            if link.is_usable and idle_ms <= _idle_limit_ms(link, self._max_idle_ms):
                server_links.idle.append(link)
                return None
            link.close()
        return None

    async def connect(self, server: servers.ServerEntry, timeout_ms: float) -> Link:
        """Open a link to a server.

        Raises
        ------
        OSError
            If the server refuses the connection.
        TimeoutError
            If it does not answer in time.
        """
        self.open_count += 1
        try:
            link = await connect(server.address, timeout_ms, self._clock)
        except BaseException:
            self._count_closed()
            raise
        link.notify_closed(self._count_closed)
        return link

    def close_idle(self, count: int) -> None:
        """Close the links that have been idle for longest, at most `count` of them."""
        if count <= 0:
            return
        idle = [
            (link.idle_since_ms, number, link, server_links)
            for server_links in self._links_by_server.values()
            for number, link in enumerate(server_links.idle)
        ]
        for _, _, link, server_links in sorted(idle, key=lambda each: each[:2])[:count]:
            server_links.idle.remove(link)
            link.close()

    def _count_closed(self) -> None:
        self.open_count -= 1

    def release(self, server: servers.ServerEntry, link: Link) -> None:
        """Return a link to the pool, or close it if it can't be reused."""
        server_links = self._links_to(server)
        if link.is_usable:
            server_links.idle.append(link)
        else:
            link.close()

    def close_server(self, server_id: servers.ServerId) -> None:
        """Close the idle links to a server that has left."""
        server_links = self._links_by_server.pop(server_id, None)
        for link in server_links.idle if server_links else ():
            link.close()

    def close_all(self) -> None:
        """Close the idle links to all servers."""
        for server_id in tuple(self._links_by_server):
            self.close_server(server_id)

    def close_stale(self) -> None:
        """Close links that are unusable or have been idle for too long."""
        now_ms = self._clock.now_ms()
        for server_links in self._links_by_server.values():
            for link in tuple(server_links.idle):
                limit_ms = _idle_limit_ms(link, self._max_idle_ms)
                if not link.is_usable or now_ms - link.idle_since_ms > limit_ms:
                    server_links.idle.remove(link)
                    link.close()

    def _links_to(self, server: servers.ServerEntry) -> _ServerLinks:
        """Return the links to a server; close those to an earlier incarnation."""
        server_links = self._links_by_server.get(server.server_id)
        if (
            server_links is None
            or server_links.started_wall_ms != server.started_wall_ms
        ):
            self.close_server(server.server_id)
            server_links = _ServerLinks(server.started_wall_ms)
            self._links_by_server[server.server_id] = server_links
        return server_links


def _idle_limit_ms(link: Link, max_idle_ms: int) -> float:
    """Return the idle time after which a link must not be used any more.

    It is `max_idle_ms`, or `IDLE_FRACTION` of the time declared by the server if that
    is less.
    """
    if link.idle_limit_ms is None:
        return max_idle_ms
    return min(max_idle_ms, link.idle_limit_ms * IDLE_FRACTION)


IDLE_FRACTION: Final = 0.5
"""Fraction of a server's declared idle time for which a link is used.  The rest covers
the latency of the packet that closes the connection, and delays of either process."""
