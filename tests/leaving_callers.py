"""Callers that read streams of all lengths at gateways that shut down.

A caller reads one stream after the other and keeps its connection as long as the
gateway does.  A third of the request bodies is sent in chunks with pauses between them.
Slow callers pause after each event.  Others ask for large events and pause around the
cut, so that bytes wait in the gateway.  When an answer ends early, a
caller goes on elsewhere with `Last-Event-Id` and the id of the attempt that brought the
first event (`Resumes`), until it has the whole stream.
"""

import asyncio
import contextlib
import dataclasses
import math
import random
import socket
import threading
import time
from typing import Final

from standins import platform_fleet
from standins import platform_kept_callers as kept_callers

PREFIX: Final = "/script/"
DEADLINE_MS: Final = 15_000
CONNECT_TIMEOUT_S: Final = 1.0
GAP_TIMEOUT_S: Final = 6.0
"""Time without a byte after which a caller abandons an attempt."""

RETRY_LIMIT_S: Final = 30.0
"""Time after the last attempt that brought an event in which a stream is resumed."""

MIN_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 0.3
THINK_S: Final = 0.2
"""Longest pause between two streams of a caller."""

MAX_RETRY_AFTER_S: Final = 3.0
TICK_S: Final = 0.005

MIN_LENGTH: Final = 3
MAX_LENGTH: Final = 200
TYPICAL_LENGTH: Final = 70
LENGTH_SPREAD: Final = 0.8
"""Median of the streams' lengths in events, and spread of their logarithm."""

CHUNKED_SHARE: Final = 1 / 3
MAX_CHUNK_PAUSE_S: Final = 3.0
SLOW_SHARE: Final = 0.25
TAKE_S: Final = 0.08
"""Pause of a slow caller after each event."""

LARGE_SHARE: Final = 0.5
"""Share of the slow callers that ask for large events."""

LARGE_EVENT_BYTES: Final = 80_000
RECEIVE_BYTES: Final = 32_768
SEGMENT_BYTES: Final = 536
"""Receive buffer and segment size of callers of large events; they keep the send buffer
of the gateway small, so that it is full after a pause."""

PERSISTENT_SHARE: Final = 0.3
"""Share of the connections that are opened to gateways out of rotation too."""

Ending = kept_callers.Ending
wall_ms = kept_callers.wall_ms


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller.

    Attributes
    ----------
    resume_after : int
        Number of the last event received before; 0 for none.
    is_whole : bool
        Whether the whole request was sent.
    sent_ms : float
        Wall-clock time at which the last byte of the request had been sent.
    ended_ms : float
        Wall-clock time at which the caller saw the end of the answer or connection.
    waited_ms : float
        Last wall-clock time at which the caller had taken all that had arrived.
    paused_ms : float
        Wall-clock time at which a pause of a caller of large events ended.
    is_large : bool
        Whether the caller asked for large events.
    status : int
        Status of the answer; 0 if none arrived.
    numbers : list of int
        Numbers of the events received.
    is_torn : bool
        Whether the answer ended within an event.
    ending : Ending or None
        None while it lasts.
    """

    request_id: str
    gateway: str
    resume_after: int = 0
    is_whole: bool = False
    sent_ms: float = math.inf
    ended_ms: float = math.inf
    waited_ms: float = 0.0
    paused_ms: float = 0.0
    is_large: bool = False
    status: int = 0
    retry_after_s: float = 0.0
    numbers: list[int] = dataclasses.field(default_factory=list)
    is_torn: bool = False
    ending: Ending | None = None


@dataclasses.dataclass
class Stream:
    """A stream of `length` events, with the attempts to read it in their order."""

    length: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def numbers(self) -> list[int]:
        """Numbers of all events received."""
        return [number for attempt in self.attempts for number in attempt.numbers]

    @property
    def last_number(self) -> int:
        """Largest number of an event received; 0 for none."""
        return max(self.numbers, default=0)

    @property
    def is_complete(self) -> bool:
        """Whether its last attempt brought the rest and the end."""
        last = self.attempts[-1]
        is_ended = last.status == 200 and last.ending is Ending.COMPLETE
        return is_ended or self.last_number >= self.length

    @property
    def first_attempt_id(self) -> str:
        """Id of the attempt that brought the first event; empty for none."""
        return next((each.request_id for each in self.attempts if each.numbers), "")


class _Connection:
    """A connection to a gateway; reads one answer at a time."""

    def __init__(
        self, callers: "LeavingCallers", gateway: str, connected: socket.socket
    ) -> None:
        self.gateway = gateway
        self._callers = callers
        self.is_reusable = True
        self._socket = connected
        self._buffer = b""

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        if not self.is_reusable:
            return False
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def close(self) -> None:
        self._socket.close()

    async def exchange(
        self, parts: list[tuple[float, bytes]], attempt: Attempt, take_s: float
    ) -> None:
        """Send a request and read its answer into the attempt.

        Parameters
        ----------
        parts : list of tuple
            Parts of the request, each with the pause before it in seconds.
        take_s : float
            Pause after each event.
        """
        loop = asyncio.get_running_loop()
        try:
            # An answer may arrive before the body is sent.
            with contextlib.suppress(OSError):
                for pause_s, part in parts:
                    await asyncio.sleep(pause_s)
                    await loop.sock_sendall(self._socket, part)
                attempt.is_whole = True
            attempt.sent_ms = wall_ms()
            await self._read_answer(attempt, take_s)
            attempt.ending = Ending.COMPLETE
        except TimeoutError:
            attempt.ending = Ending.ABANDONED
        except EOFError:
            attempt.ending = Ending.CLOSED
        except (OSError, ValueError):
            attempt.ending = Ending.RESET
        attempt.ended_ms = wall_ms()
        if attempt.ending is not Ending.COMPLETE:
            self.is_reusable = False

    async def _read_answer(self, attempt: Attempt, take_s: float) -> None:
        head = (await self._read_until(b"\r\n\r\n", attempt)).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        attempt.status = int(head[0].split()[1])
        attempt.retry_after_s = float(fields.get("retry-after", "0"))
        self.is_reusable = fields.get("connection") != "close" and attempt.is_whole
        if "transfer-encoding" not in fields:
            await self._read_exactly(int(fields.get("content-length", "0")), attempt)
            return
        rest = b""
        while size := int(await self._read_until(b"\r\n", attempt), 16):
            attempt.is_torn = True
            rest += (await self._read_exactly(size + 2, attempt))[:-2]
            *events, rest = rest.split(b"\n\n")
            attempt.is_torn = bool(rest)
            for event in events:
                number = event.split(b"\n")[0].removeprefix(b"id: ")
                attempt.numbers.append(int(number))
                await self._pause(attempt, take_s)
        await self._read_exactly(2, attempt)

    async def _pause(self, attempt: Attempt, take_s: float) -> None:
        """Pause after an event, as all of the caller's or those of its gateway do."""
        begin_s, end_s = self._callers.pause_by_gateway.get(self.gateway, (0.0, 0.0))
        now_s = time.monotonic()
        if attempt.is_large and begin_s <= now_s < end_s:
            await asyncio.sleep(end_s - now_s)
            attempt.paused_ms = wall_ms()
        elif take_s:
            await asyncio.sleep(take_s)

    async def _read_until(self, end: bytes, attempt: Attempt) -> bytes:
        while end not in self._buffer:
            await self._receive(attempt)
        found, _, self._buffer = self._buffer.partition(end)
        return found

    async def _read_exactly(self, count: int, attempt: Attempt) -> bytes:
        while len(self._buffer) < count:
            await self._receive(attempt)
        found, self._buffer = self._buffer[:count], self._buffer[count:]
        return found

    async def _receive(self, attempt: Attempt) -> None:
        try:
            data = self._socket.recv(65_536)
        except BlockingIOError:
            attempt.waited_ms = wall_ms()
            async with asyncio.timeout(GAP_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                data = await loop.sock_recv(self._socket, 65_536)
        if not data:
            raise EOFError
        self._buffer += data


class LeavingCallers:
    """Callers of a fleet, in a thread of their own; a context manager.

    Leaving it waits until each stream is complete or its caller has given up.

    Parameters
    ----------
    count : int
        Number of callers, each of which reads one stream at a time.

    Attributes
    ----------
    streams : list of Stream
        All streams, in order of their first attempts.
    left_gateways : set of str
        Gateways that are out of rotation; another thread may change it.
    pause_by_gateway : dict
        Monotonic times from when until when callers of large events take none of a
        gateway; another thread may set them.
    max_lag_ms : float
        Longest time for which the thread did not handle what had arrived.
    """

    def __init__(
        self, fleet: platform_fleet.PlatformFleet, seed: int, count: int
    ) -> None:
        self._fleet = fleet
        self._seed = seed
        self._count = count
        self._attempts = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self.streams: list[Stream] = []
        self.left_gateways: set[str] = set()
        self.pause_by_gateway: dict[str, tuple[float, float]] = {}
        self.max_lag_ms = 0.0

    def __enter__(self) -> "LeavingCallers":
        self._thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self._stopped.set()
        self._thread.join()

    async def _run(self) -> None:
        watching = asyncio.ensure_future(self._watch_lag())
        await asyncio.gather(*(self._call(number) for number in range(self._count)))
        watching.cancel()

    async def _watch_lag(self) -> None:
        while True:
            before_ms = wall_ms()
            await asyncio.sleep(TICK_S)
            self.max_lag_ms = max(self.max_lag_ms, wall_ms() - before_ms)

    async def _call(self, number: int) -> None:
        generator = random.Random(self._seed * 1_000 + number)
        is_slow = generator.random() < SLOW_SHARE
        is_large = is_slow and generator.random() < LARGE_SHARE
        take_s = TAKE_S if is_slow and not is_large else 0.0
        reader = _Reader(self, generator, take_s, is_large)
        await asyncio.sleep(generator.uniform(0, 3.0))
        while not self._stopped.is_set():
            drawn = generator.lognormvariate(math.log(TYPICAL_LENGTH), LENGTH_SPREAD)
            stream = Stream(int(min(MAX_LENGTH, max(MIN_LENGTH, drawn))))
            self.streams.append(stream)
            await reader.read(stream)
            await asyncio.sleep(generator.uniform(0, THINK_S))
        reader.close()

    def make_attempt(self, gateway: str, stream: Stream) -> Attempt:
        """Add an attempt to a stream."""
        self._attempts += 1
        request_id = f"{gateway}/l{self._seed}-{self._attempts}"
        attempt = Attempt(request_id, gateway, stream.last_number)
        stream.attempts.append(attempt)
        return attempt

    def draw_gateway(self, generator: random.Random) -> str:
        """Return the gateway for a new connection."""
        gateways = tuple(self._fleet.ip_by_gateway)
        if generator.random() >= PERSISTENT_SHARE:
            in_rotation = [each for each in gateways if each not in self.left_gateways]
            gateways = tuple(in_rotation) or gateways
        return generator.choice(gateways)

    async def connect(self, gateway: str, *, is_large: bool) -> _Connection | None:
        """Open a connection; None if that fails."""
        address = (
            self._fleet.ip_by_gateway[gateway],
            self._fleet.callers_port_by_gateway[gateway],
        )
        made = socket.socket()
        made.setblocking(False)
        if is_large:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(made, address)
        except (OSError, TimeoutError):
            made.close()
            return None
        return _Connection(self, gateway, made)


class _Reader:
    """Reads streams one after the other for one caller."""

    def __init__(
        self,
        callers: LeavingCallers,
        generator: random.Random,
        take_s: float,
        is_large: bool,
    ) -> None:
        self._callers = callers
        self._generator = generator
        self._take_s = take_s
        self._is_large = is_large
        self._connection: _Connection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def read(self, stream: Stream) -> None:
        """Read a stream until it is complete or the limit is reached."""
        limit_s = time.monotonic() + RETRY_LIMIT_S
        while True:
            await self._attempt(stream)
            if stream.is_complete:
                return
            now_s = time.monotonic()
            if stream.attempts[-1].numbers:
                limit_s = now_s + RETRY_LIMIT_S
            elif now_s >= limit_s:
                return
            retry_after_s = min(MAX_RETRY_AFTER_S, stream.attempts[-1].retry_after_s)
            pause_s = self._generator.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await asyncio.sleep(max(pause_s, retry_after_s))

    async def _attempt(self, stream: Stream) -> None:
        if self._connection is None or not self._connection.is_open:
            self.close()
            gateway = self._callers.draw_gateway(self._generator)
            self._connection = await self._callers.connect(
                gateway, is_large=self._is_large
            )
        else:
            gateway = self._connection.gateway
        attempt = self._callers.make_attempt(gateway, stream)
        attempt.is_large = self._is_large
        if self._connection is None:
            attempt.ending, attempt.ended_ms = Ending.UNCONNECTED, wall_ms()
            return
        parts = self._request(stream, attempt)
        await self._connection.exchange(parts, attempt, self._take_s)
        if not self._connection.is_reusable:
            self.close()

    def _request(self, stream: Stream, attempt: Attempt) -> list[tuple[float, bytes]]:
        """Return the parts of a request, each with the pause before it."""
        number = stream.attempts[0].request_id.rpartition("-")[2]
        headers = platform_fleet.caller_headers(attempt.request_id) | {
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": platform_fleet.MODEL,
            "Token-Count": f"100,{stream.length}",
            "Prompt-Prefix": f"c{number}:100",
        }
        if attempt.resume_after:
            headers["Last-Event-Id"] = str(attempt.resume_after)
            headers["Resumes"] = stream.first_attempt_id
        target = PREFIX
        if self._is_large:
            target += f"?event_bytes={LARGE_EVENT_BYTES}"
        body = stream.attempts[0].request_id.encode()
        is_chunked = self._generator.random() < CHUNKED_SHARE
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(len(body))
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"POST {target} HTTP/1.1", *lines, "", ""]).encode()
        if not is_chunked:
            return [(0.0, head + body)]
        middle = self._generator.randint(1, len(body) - 1)
        chunks = [_chunk(body[:middle]), _chunk(body[middle:]), _chunk(b"")]
        longest_s = self._generator.choice((0.1, 1.0, MAX_CHUNK_PAUSE_S))
        pauses_s = [self._generator.uniform(0, longest_s) for _ in chunks]
        return [(0.0, head), *zip(pauses_s, chunks, strict=True)]


def _chunk(data: bytes) -> bytes:
    """Return one chunk of a body; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
