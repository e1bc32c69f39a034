"""Stand-in of a backend server of the platform: a model engine or a plain service.

Writes its entry into the platform's store at start and at every heartbeat, and prints
on standard output ``arrived WALL_MS id=ID`` for each request of a caller that reaches
it, ``ran ID`` for each that it runs, and ``named WALL_MS id=ID LIMIT`` for each answer
that names a rate limit.

A stream sends one event every `EVENT_MS` milliseconds; the caller's `Token-Count`
header gives the number of events after a comma.  Each event names the software version
that wrote it; `event_bytes` in the query is the least size of an event, `answer_bytes`
that of another answer.  A stream goes
on after `Last-Event-Id` whoever began it.  For each
stream that begins the server prints ``began WALL_MS id=ID weights=N``, and when it has
sent all events ``completed WALL_MS id=ID``.
When it stops work on a request it prints ``ended WALL_MS id=ID``, before the last bytes
of an answer that is not streamed.
The prompt parts of every streamed request are cached and never evicted; only a load of
other weights clears them, which is printed as ``loaded N``.

Faults
------
answer_ms, slow_answers : int, float
    Time for which a request that is not streamed runs, and the share of those requests
    that run for it; the others are answered at once.
break_streams : float
    Probability that a stream is broken off within an event, after the server has
    printed ``broke WALL_MS id=ID``.
cold_until_ms : int
    Time of day in milliseconds until which the entry says that the server is cold.  It
    answers as usual.
full : bool
    Requests are refused with the statement that they did not run.
endless : str
    Answers that never end, until the caller closes: "body" (signed, without a length),
    "unsealed" (the same without a signature), "event" (an event that does not end),
    "comments" (lines of comments between events); empty for none.
event_ms : int
    Interval of the events of a stream.
lose_answers : float
    Probability that a request runs and its connection is closed without an answer.
crash_on : str
    The process ends when it runs a request whose body contains this text; empty for
    none.
crash_parts : str
    Comma-separated ids of prompt parts: the process ends when it begins to write an
    answer to a prompt with one of them, after it has printed ``crashed WALL_MS id=ID``.
draining : bool
    The entry says that the server is shutting down, but it still serves requests.
no_heartbeats : bool
    The entry is no longer written to the store.
queue_ms : int
    Time for which an engine queues each stream before it begins.  It drops those whose
    connection is closed meanwhile, and refuses those that it no longer has the weights
    for, or that an order to load others finds in the queue.
rate_limit : str
    Rate limit that all answers to callers' requests name, whatever their status; empty
    for none.  Any text is named as it is.  The limit is not enforced.
refuse_orders : bool
    Orders to load weights are answered 409 without effect.
silent_ms, silent_streams : int, float
    Duration of a silence, and probability that a stream has one: the server sends
    nothing before one of its events, which may be the first, and then goes on.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import random
import sys
from typing import Any, Final

import fire
import pydantic
from tornado import (
    http1connection,
    httpclient,
    httputil,
    iostream,
    simple_httpclient,
    web,
)

from quincecrank import clock as clocks
from standins import serving

HEARTBEAT_MS: Final = 300
EVENT_MS: Final = 20
BEGIN_MS: Final = 80
"""Time from a request's arrival to the beginning of an answer that crashes."""

ENDLESS_PIECE_BYTES: Final = 20_000
ENDLESS_INTERVAL_MS: Final = 100
"""Size and interval of the pieces of an answer without an end."""

LOAD_MS: Final = 200
SLOTS: Final = 8
"""Requests that the entry says the server runs at once; nothing enforces them."""

SEAL: Final = "5ea1"
ZONE: Final = "patan"

Document = dict[str, Any]


class ServerFaults(serving.Faults):
    """Fault switches of a backend server."""

    answer_ms: int = pydantic.Field(default=0, ge=0)
    cold_until_ms: int = pydantic.Field(default=0, ge=0)
    slow_answers: float = pydantic.Field(default=1.0, ge=0, le=1)
    break_streams: float = pydantic.Field(default=0.0, ge=0, le=1)
    endless: str = ""
    event_ms: int = pydantic.Field(default=EVENT_MS, ge=0)
    full: bool = False
    lose_answers: float = pydantic.Field(default=0.0, ge=0, le=1)
    crash_on: str = ""
    crash_parts: str = ""
    draining: bool = False
    no_heartbeats: bool = False
    queue_ms: int = pydantic.Field(default=0, ge=0)
    rate_limit: str = ""
    refuse_orders: bool = False
    silent_ms: int = pydantic.Field(default=0, ge=0)
    silent_streams: float = pydantic.Field(default=0.0, ge=0, le=1)


class Server:
    """State of one start of a backend server.

    Parameters
    ----------
    software : str
        Version of its software, which its entry names.
    weights : int
        Weight version at its start.

    Attributes
    ----------
    model : str
        Model of an engine; empty for a plain service.
    weights : int
        Loaded weight version.
    orders : int
        Number of accepted orders.
    holders : list of str
        Sender of each accepted order, in order of arrival.
    events : collections.deque
        Cache events since the last load of weights, each a list of number, "+", salt,
        part id, tokens and model.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        model: str,
        clock: clocks.Clock,
        seed: int,
        software: str = "v1",
        weights: int = 1,
        slots: int = SLOTS,
        zone: str = ZONE,
    ) -> None:
        self.slots = slots
        self.zone = zone
        self.server_id = server_id
        self.service = service
        self.model = model
        self.software = software
        self.clock = clock
        self.faults = ServerFaults()
        self.started_wall_ms = clock.wall_ms()
        self.weights = weights
        self.is_loading = False
        self.orders = 0
        self.holders: list[str] = []
        self.running = 0
        self.heartbeats = 0
        self.address = ""
        self.events: collections.deque[list[Any]] = collections.deque()
        self._random = random.Random(seed)

    def draw_fault(self, probability: float) -> bool:
        """Return True with this probability: whether a fault occurs."""
        return self._random.random() < probability

    def draw_event(self, first: int, last: int, probability: float) -> int:
        """Return the event of a stream at which a fault occurs, 0 for none."""
        if first > last or not self.draw_fault(probability):
            return 0
        return self._random.randint(first, last)

    def entry(self) -> Document:
        """Return the server's entry for the store, with the next heartbeat number."""
        self.heartbeats += 1
        entry: Document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": "draining" if self.faults.draining else "ready",
            "coldRemainingMs": max(0, self.faults.cold_until_ms - self.clock.wall_ms()),
            "seq": self.heartbeats,
            "born": self.started_wall_ms,
        }
        if self.model:
            entry |= {"stage": "colocated", "models": [self._model_document()]}
        return entry

    def report(self) -> Document:
        """Return the answer to `GET /report`."""
        return {
            "stage": "colocated",
            "models": [self._model_document()] if self.model else [],
            "busy": self.is_loading,
            "seq": self.orders,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 60_000,
            "handles": 0,
        }

    async def load(self, version: int) -> None:
        """Load a weight version, which clears the cached prompt parts."""
        self.is_loading = True
        await self.clock.sleep(LOAD_MS)
        self.weights = version
        self.is_loading = False
        print(f"loaded {version}", flush=True)
        self.events.clear()

    def cache_parts(self, salt: str, parts: str) -> None:
        """Record the parts of a prompt as cached.

        Parameters
        ----------
        salt : str
            Value of `Cache-Salt`.
        parts : str
            Value of `Prompt-Prefix`: `ID:TOKENS` of each part, separated by commas.
        """
        for part in filter(None, parts.split(",")):
            part_id, _, tokens = part.partition(":")
            number = len(self.events) + 1
            self.events.append([number, "+", salt, part_id, int(tokens), self.model])

    def _model_document(self) -> Document:
        return {"name": self.model, "version": self.weights, "adapters": []}


class RequestHandler(web.RequestHandler):
    """Requests of callers: every path that no other handler serves."""

    def initialize(self, server: Server) -> None:
        """Receive the server from the routing rule."""
        self._server = server
        self._is_disconnected = False

    def on_connection_close(self) -> None:
        """Stop the stream of a caller that has disconnected."""
        self._is_disconnected = True

    async def get(self) -> None:
        """Serve a request, or refuse it without running it."""
        await self._serve()

    async def post(self) -> None:
        """Serve a request, or refuse it without running it."""
        await self._serve()

    async def _serve(self) -> None:
        server = self._server
        headers = self.request.headers
        request_id = headers.get("Request-Id", "")
        if request_id:  # Calls of gateways, such as for cache lists, have none.
            print(f"arrived {server.clock.wall_ms()} id={request_id}", flush=True)
        if server.faults.crash_parts:
            await self._crash_on_parts(request_id)
        if server.faults.rate_limit:
            self.set_header("Server-Limit", server.faults.rate_limit)
        status = self._refusal_status()
        if status is None and server.faults.queue_ms and self._is_streamed():
            orders = server.orders
            await server.clock.sleep(server.faults.queue_ms)
            if self._is_disconnected:
                return
            status = 503 if server.orders != orders else self._refusal_status()
        if status is not None:
            self._refuse(status)
            return
        await self._run()

    def _is_streamed(self) -> bool:
        return bool(self._server.model) and "Token-Count" in self.request.headers

    def _refusal_status(self) -> int | None:
        """Return the status by which the request is refused now; None if it may run."""
        server, headers = self._server, self.request.headers
        if headers.get("Expect-Instance", server.server_id) != server.server_id:
            return 421
        expected = headers.get("Expect-Version")
        if expected is not None and int(expected) != server.weights:
            return 421
        return 503 if server.faults.full or server.is_loading else None

    async def _crash_on_parts(self, request_id: str) -> None:
        """End the process if a part of the prompt crashes it."""
        server = self._server
        crash_parts = set(server.faults.crash_parts.split(","))
        entries = self.request.headers.get("Prompt-Prefix", "").split(",")
        if not crash_parts.intersection(each.partition(":")[0] for each in entries):
            return
        await server.clock.sleep(BEGIN_MS)
        print(f"crashed {server.clock.wall_ms()} id={request_id}", flush=True)
        os._exit(1)

    async def _run(self) -> None:
        server = self._server
        crash_on = server.faults.crash_on
        request_id = self.request.headers.get("Request-Id", "")
        print(f"ran {request_id}", flush=True)
        self._print_naming()
        if crash_on and crash_on.encode() in self.request.body:
            os._exit(1)
        if server.draw_fault(server.faults.lose_answers):
            serving.drop_connection(self)
            return
        if server.faults.endless:
            await self._send_without_end(server.faults.endless, request_id)
            return
        server.running += 1
        try:
            self.set_header("Request-Id", request_id)
            self.set_header("Server-Seal", SEAL)
            if self._is_streamed():
                await self._stream()
                self._print_end()
            else:
                await self._answer()
        finally:
            server.running -= 1

    async def _send_without_end(self, kind: str, request_id: str) -> None:
        """Send bytes until the caller closes the connection."""
        connection = self.request.connection
        assert isinstance(connection, http1connection.HTTP1Connection)
        stream = connection.detach()
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        if kind != "unsealed":
            head += f"Server-Seal: {SEAL}\r\n"
        if self._is_streamed():
            head += "Content-Type: text/event-stream\r\n"
        piece = {
            "event": b"data: x",
            "comments": b": x\n\n",
        }.get(kind, b"x")
        repeated = piece * (ENDLESS_PIECE_BYTES // len(piece))
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(f"{head}\r\n".encode())
            while True:
                await stream.write(repeated)
                await self._server.clock.sleep(ENDLESS_INTERVAL_MS)

    async def _answer(self) -> None:
        server = self._server
        faults = server.faults
        if faults.answer_ms and server.draw_fault(faults.slow_answers):
            await server.clock.sleep(faults.answer_ms)
        self._print_end()
        if not self._is_disconnected:
            size = int(self.get_query_argument("answer_bytes", "0"))
            self.finish(f"{self.request.method} {self.request.path}".ljust(size))

    async def _stream(self) -> None:
        server, headers = self._server, self.request.headers
        request_id = headers.get("Request-Id", "")
        server.cache_parts(
            headers.get("Cache-Salt", ""), headers.get("Prompt-Prefix", "")
        )
        self.set_header("Content-Type", "text/event-stream")
        count = int(headers["Token-Count"].partition(",")[2])
        first = int(headers.get("Last-Event-Id", "0")) + 1
        event_bytes = int(self.get_query_argument("event_bytes", "0"))
        broken = server.draw_event(first, count, server.faults.break_streams)
        silent = server.draw_event(first, count, server.faults.silent_streams)
        print(
            f"began {server.clock.wall_ms()} id={request_id} weights={server.weights}",
            flush=True,
        )
        for number in range(first, count + 1):
            if number == silent:
                await server.clock.sleep(server.faults.silent_ms)
            if self._is_disconnected:
                return
            event = f"id: {number}\ndata: token {number} of {server.software}"
            event = f"{event:<{event_bytes}}\n\n"
            if number == broken:
                print(f"broke {server.clock.wall_ms()} id={request_id}", flush=True)
                self.write(event[: len(event) // 2])
                await self.flush()
                serving.drop_connection(self)
                return
            self.write(event)
            await self.flush()
            await server.clock.sleep(server.faults.event_ms)
        print(f"completed {server.clock.wall_ms()} id={request_id}", flush=True)

    def _print_end(self) -> None:
        request_id = self.request.headers.get("Request-Id", "")
        if request_id:
            print(f"ended {self._server.clock.wall_ms()} id={request_id}", flush=True)

    def _print_naming(self) -> None:
        """Print the limit that the answer names, just before it is sent."""
        server = self._server
        request_id = self.request.headers.get("Request-Id", "")
        if server.faults.rate_limit and request_id:
            limit = server.faults.rate_limit
            at_ms = server.clock.wall_ms()
            print(f"named {at_ms} id={request_id} {limit}", flush=True)

    def _refuse(self, status: int) -> None:
        self._print_naming()
        self.set_status(status)
        self.set_header("Not-Executed", "1")
        self.set_header("Instance-Id", self._server.server_id)
        self.finish()


class ReportHandler(web.RequestHandler):
    """`GET /report`."""

    def initialize(self, server: Server) -> None:
        """Receive the server from the routing rule."""
        self._server = server

    def get(self) -> None:
        """Answer with weights, load and orders."""
        self.finish(self._server.report())


class OrderHandler(web.RequestHandler):
    """`POST /order`."""

    def initialize(self, server: Server) -> None:
        """Receive the server from the routing rule."""
        self._server = server

    def post(self) -> None:
        """Start to load weights.

        Answers 409 if another order came first, a load is running or orders are
        refused, and 200 without effect if the version is not newer.
        """
        server = self._server
        order = json.loads(self.request.body)
        if (
            order.get("expected", server.orders) != server.orders
            or server.is_loading
            or server.faults.refuse_orders
        ):
            self.set_status(409)
            return
        if order["version"] <= server.weights:
            return
        server.orders += 1
        server.holders.append(order["holder"])
        print(f"order {order['version']} of {order['holder']}", flush=True)
        print(f"fence {order['fencingToken']} of {order['holder']}", flush=True)
        asyncio.ensure_future(server.load(order["version"]))
        self.set_status(202)


class EventsHandler(web.RequestHandler):
    """`GET /kv-events`."""

    def initialize(self, server: Server) -> None:
        """Receive the server from the routing rule."""
        self._server = server

    async def get(self) -> None:
        """Answer with the cache events after a number; wait for the first one."""
        server = self._server
        since = int(self.get_query_argument("since", "0"))
        wait_ms = int(self.request.headers.get("Wait-Ms", "0"))
        while wait_ms > 0 and len(server.events) <= since:
            await server.clock.sleep(20)
            wait_ms -= 20
        self.finish(
            {
                "bootEpoch": server.started_wall_ms,
                "next": len(server.events),
                "lost": False,
                "clock_ms": server.clock.wall_ms(),
                "events": list(server.events)[since:],
            }
        )


async def _register(server: Server, store_url: str) -> None:
    """Write the server's entry into the store at every heartbeat."""
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    while True:
        if server.faults.no_heartbeats:
            await server.clock.sleep(HEARTBEAT_MS)
            continue
        value = base64.b64encode(json.dumps(server.entry()).encode()).decode()
        row = {"table": "servers", "part": "", "key": server.server_id, "value": value}
        request = httpclient.HTTPRequest(
            f"{store_url}/rows-tx",
            method="POST",
            headers=httputil.HTTPHeaders({"Content-Type": "application/json"}),
            body=json.dumps({"put": [row]}),
            request_timeout=1.0,
        )
        try:
            await client.fetch(request)
        except (OSError, httpclient.HTTPError) as error:
            print(f"heartbeat failed: {error}", file=sys.stderr, flush=True)
        await server.clock.sleep(HEARTBEAT_MS)


def make_application(server: Server) -> web.Application:
    """Return the HTTP application of a backend server."""
    return web.Application(
        [
            serving.faults_rule(server.faults),
            (r"/report", ReportHandler, {"server": server}),
            (r"/order", OrderHandler, {"server": server}),
            (r"/kv-events", EventsHandler, {"server": server}),
            (r"/.*", RequestHandler, {"server": server}),
        ]
    )


async def _serve(server: Server, store_url: str) -> None:
    running = serving.start(make_application(server))
    server.address = f"{serving.LISTEN_ADDRESS}:{running.port}"
    print(f"listening {running.port}", flush=True)
    await _register(server, store_url)


def main(
    server_id: str,
    service: str,
    store_url: str,
    model: str = "",
    seed: int = 0,
    software: str = "v1",
    weights: int = 1,
    slots: int = SLOTS,
    zone: str = ZONE,
) -> None:
    """Serve as `server_id` of `service`; with `model`, as a model engine."""
    clock = clocks.SystemClock()
    server = Server(
        server_id, service, model, clock, seed, software, weights, slots, zone
    )
    asyncio.run(_serve(server, store_url))


if __name__ == "__main__":
    fire.Fire(main)
