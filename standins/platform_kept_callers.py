"""Callers that keep on using open connections of gateways that shut down.

A kept caller belongs to one gateway and sends one request after the other on a
connection until the gateway announces its end or closes it; then it opens another one.
Some of them send the next request in the same moment in which an answer ends.  Other
callers open a connection for each request.  Half of the requests may run once only.
"""

import asyncio
import contextlib
import dataclasses
import enum
import random
import threading
import time
from collections.abc import Coroutine
from typing import Any, Final

from quincecrank import clock as clocks
from standins import platform_fleet

CONNECT_TIMEOUT_S: Final = 1.0
ANSWER_TIMEOUT_S: Final = 10.0
"""Time without an end after which a caller abandons a request."""

DEADLINE_MS: Final = 7_000
"""Time limit that requests name."""

TICK_S: Final = 0.005
RECONNECT_S: Final = 0.1
MAX_THINK_S: Final = 0.3
LONG_THINK_S: Final = 4.0
"""Longest pause of a caller whose connection is mostly idle."""

AT_ONCE_SHARE: Final = 0.4
"""Share of the kept callers that send their next request at once."""

IDLE_SHARE: Final = 0.4
"""Share of the kept callers whose connections are mostly idle."""

PERSISTENT_SHARE: Final = 0.3
"""Share of the callers that open connections to gateways out of rotation too."""

EVENTS: Final = 20
"""Number of events of a stream."""


class Kind(enum.Enum):
    """Kind of a request, by the path of its route."""

    RECORD = "/record/"
    LOOK = "/look/"
    DRAFT = "/draft/"
    VERDICT = "/verdict/"

    @property
    def may_repeat(self) -> bool:
        """Whether such a request may run more than once."""
        return self is not Kind.RECORD


class Ending(enum.Enum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    ABANDONED = "abandoned"
    UNCONNECTED = "unconnected"


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes
    ----------
    is_kept : bool
        Whether its connection had served an earlier request.
    sent_ms : float
        Wall-clock time at which its last byte had been sent.
    ended_ms : float
        Earliest wall-clock time at which its answer or connection can have ended.
    status : int
        Status of the answer; 0 if none arrived.
    ending : Ending or None
        None while it lasts.
    """

    request_id: str
    gateway: str
    kind: Kind
    is_kept: bool
    sent_ms: float
    ended_ms: float = float("inf")
    status: int = 0
    ending: Ending | None = None


def wall_ms() -> float:
    """Return the wall-clock time in milliseconds, as the servers' logs give it."""
    return time.time() * clocks.MS_PER_SECOND


class _Connection(asyncio.Protocol):
    """A connection to a gateway; reads one answer at a time.

    Parameters
    ----------
    callers : KeptCallers
        Gives the time at which the loop ran last, since when the system may have
        received what is read now.
    """

    def __init__(self, callers: "KeptCallers") -> None:
        self.has_served = False
        self.is_open = True
        self._callers = callers
        self._transport: asyncio.Transport | None = None
        self._request: Request | None = None
        self._answered: asyncio.Future[None] | None = None
        self._buffer = b""
        self._left = 0
        self._is_chunked = False
        self._has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def close(self) -> None:
        """Close the connection; a request that lasts has no ending then."""
        self.is_open = False
        self._request = None
        if self._transport is not None:
            self._transport.abort()

    async def exchange(self, text: str, request: Request) -> None:
        """Send a request and read its answer into the record."""
        assert self._transport is not None
        self._request = request
        self._has_head = False
        self._answered = asyncio.get_running_loop().create_future()
        self._transport.write(text.encode())
        request.sent_ms = wall_ms()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._answered
        except TimeoutError:
            self._end(Ending.ABANDONED)
            self.close()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if self._request is not None and self._read():
            self.has_served = True
            self._end(Ending.COMPLETE)

    def eof_received(self) -> None:
        self.is_open = False
        self._end(Ending.CLOSED)

    def connection_lost(self, error: Exception | None) -> None:
        self.is_open = False
        self._end(Ending.CLOSED if error is None else Ending.RESET)

    def _end(self, ending: Ending) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        request.ended_ms = max(request.sent_ms, self._callers.last_run_ms)
        request.ending = ending
        if self._answered is not None and not self._answered.done():
            self._answered.set_result(None)

    def _read(self) -> bool:
        """Read what has arrived; return whether the answer is complete."""
        if not self._has_head:
            head, found, rest = self._buffer.partition(b"\r\n\r\n")
            if not found:
                return False
            self._buffer = rest
            self._read_head(head.decode().split("\r\n"))
        if not self._is_chunked:
            return len(self._buffer) >= self._left
        while b"\r\n" in self._buffer:
            size, _, rest = self._buffer.partition(b"\r\n")
            length = int(size, 16)
            if len(rest) < length + 2:
                return False
            self._buffer = rest[length + 2 :]
            if not length:
                return True
        return False

    def _read_head(self, lines: list[str]) -> None:
        assert self._request is not None
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        self._has_head = True
        self._request.status = int(lines[0].split()[1])
        self._is_chunked = "transfer-encoding" in fields
        self._left = int(fields.get("content-length", "0"))
        if fields.get("connection") == "close":
            self.is_open = False

    def take_answer(self) -> None:
        """Discard the answer that was read."""
        self._buffer = b""


class KeptCallers:
    """Callers of a fleet, in a thread of their own; a context manager.

    Parameters
    ----------
    kept_callers : int
        Number of kept callers of each gateway.
    new_per_s : float
        New connections a second, of all gateways together.

    Attributes
    ----------
    requests : list of Request
        All requests, in order of their sending.
    burst_factor : float
        Factor of `new_per_s`; another thread may set it.
    left_gateways : set of str
        Gateways that are out of rotation; another thread may change it.
    last_run_ms : float
        Wall-clock time at which the thread is known to have handled all that had
        arrived.
    """

    def __init__(
        self,
        fleet: platform_fleet.PlatformFleet,
        seed: int,
        kept_callers: int,
        new_per_s: float,
    ) -> None:
        self._fleet = fleet
        self._seed = seed
        self._kept_callers = kept_callers
        self._new_per_s = new_per_s
        self._generator = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._open: set[asyncio.Task[None]] = set()
        self.requests: list[Request] = []
        self.burst_factor = 1.0
        self.left_gateways: set[str] = set()
        self.last_run_ms = wall_ms()

    def __enter__(self) -> "KeptCallers":
        self._thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self._stopped.set()
        self._thread.join()

    async def _run(self) -> None:
        gateways = tuple(self._fleet.ip_by_gateway)
        runs = [self._open_new(gateways)]
        for name in gateways:
            runs += [self._keep(name) for _ in range(self._kept_callers)]
        for run in runs:
            self._start(run)
        while not self._stopped.is_set():
            self.last_run_ms = wall_ms()
            await asyncio.sleep(TICK_S)
        running = tuple(self._open)
        for task in running:
            task.cancel()
        for done in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(done, Exception):
                raise done

    def _start(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(run)
        self._open.add(task)
        task.add_done_callback(self._discard)

    def _discard(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or task.exception() is None:
            self._open.discard(task)

    async def _keep(self, gateway: str) -> None:
        generator = self._generator
        drawn = generator.random()
        sends_at_once = drawn < AT_ONCE_SHARE
        is_idle = AT_ONCE_SHARE <= drawn < AT_ONCE_SHARE + IDLE_SHARE
        max_think_s = LONG_THINK_S if is_idle else MAX_THINK_S
        await asyncio.sleep(generator.uniform(0, MAX_THINK_S))
        connection: _Connection | None = None
        try:
            while not self._stopped.is_set():
                if connection is None or not connection.is_open:
                    if connection is not None:
                        connection.close()
                    connection = await self._connect(gateway)
                if connection is None:
                    await asyncio.sleep(RECONNECT_S)
                    continue
                await self._send(gateway, connection)
                if not sends_at_once or not connection.is_open:
                    await asyncio.sleep(generator.uniform(0, max_think_s))
        finally:
            if connection is not None:
                connection.close()

    async def _open_new(self, gateways: tuple[str, ...]) -> None:
        """Send requests on new connections at an even rate."""
        next_s = time.monotonic()
        while not self._stopped.is_set():
            next_s = max(next_s, time.monotonic() - 1.0)
            next_s += 1 / (self._new_per_s * self.burst_factor)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            candidates = gateways
            if self._generator.random() >= PERSISTENT_SHARE:
                in_rotation = [e for e in gateways if e not in self.left_gateways]
                candidates = tuple(in_rotation) or gateways
            self._start(self._send_on_new(self._generator.choice(candidates)))

    async def _send_on_new(self, gateway: str) -> None:
        connection = await self._connect(gateway)
        if connection is None:
            return
        try:
            await self._send(gateway, connection)
        finally:
            connection.close()

    async def _connect(self, gateway: str) -> _Connection | None:
        """Open a connection; None, with a record, if there is none to open."""
        address = (
            self._fleet.ip_by_gateway[gateway],
            self._fleet.callers_port_by_gateway[gateway],
        )
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self), *address
                )
            return connection
        request = self._record(gateway, is_kept=False)
        request.ending = Ending.UNCONNECTED
        request.ended_ms = wall_ms()
        return None

    async def _send(self, gateway: str, connection: _Connection) -> None:
        request = self._record(gateway, is_kept=connection.has_served)
        await connection.exchange(_text(request), request)
        connection.take_answer()

    def _record(self, gateway: str, *, is_kept: bool) -> Request:
        kind = Kind.RECORD
        if self._generator.random() >= 0.5:
            others = (Kind.LOOK, Kind.LOOK, Kind.DRAFT, Kind.VERDICT)
            kind = self._generator.choice(others)
        request_id = f"{gateway}/k{self._seed}-{len(self.requests)}"
        request = Request(request_id, gateway, kind, is_kept, wall_ms())
        self.requests.append(request)
        return request


def _text(request: Request) -> str:
    """Return the request as it is sent."""
    headers = platform_fleet.caller_headers(request.request_id)
    headers["Deadline-Ms"] = str(DEADLINE_MS)
    body = "x"
    method = "POST"
    if request.kind is Kind.LOOK:
        method, body = "GET", ""
    elif request.kind is not Kind.RECORD:
        headers |= {
            "Model": platform_fleet.MODEL,
            "Token-Count": f"100,{EVENTS}",
            "Prompt-Prefix": "aa:60,bb:40",
        }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([f"{method} {request.kind.value} HTTP/1.1", *lines, "", body])
