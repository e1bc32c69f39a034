"""Replicas are cut off in turn, with refused connections; they neither end nor restart.

Six model replicas of one software version serve a route whose streams may be resumed.
Three times, two of them are cut off from the gateways for `CUT_S`: their connections
are reset and new ones are refused.  The replicas run on and write their entries all the
while.  Callers go on to begin streams; one in `LOST_EVERY` loses its connection in the
middle, and takes the stream up at another gateway.  The rule LOST is checked for the
streams that began later than `contactMs` after the last cut: the share of those taken
up that goes on, against the share of new streams that begin.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import replicas  # noqa: E402
import stand_ins  # noqa: E402

GATEWAYS = 3
REPLICAS = 6
CUT_REPLICAS = 2
SERVICE = "lekhak"
KEY = "key-of-desk-1"
EVENTS = 16
EVENT_S = 0.05
BREAK_AFTER = 5
LOST_EVERY = 4
TAKE_UP_AFTER_S = 0.5
PERIOD_S = 0.1
CUT_S = 3.0
CUT_PAUSE_S = 4.0
WARM_UP_S = 3.0
JUDGED_S = 15.0
AFTER_HEAL_S = 4.0
MIN_TAKEN_UP = 12


class Proxy:
    """Stands before a replica; cuts it off with resets and refused connections."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        """Listen, at the same port as before."""
        self._listener = await asyncio.start_server(
            self._serve, stand_ins.LOOPBACK, self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Refuse new connections and reset the open ones."""
        assert self._listener is not None
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            inner_reader, inner_writer = await asyncio.open_connection(
                stand_ins.LOOPBACK, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, inner_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._copy(reader, inner_writer), self._copy(inner_reader, writer)
            )
        finally:
            self._writers -= both

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while part := await reader.read(65_536):
                writer.write(part)
                await writer.drain()
        writer.close()


class StreamingReplica(replicas.Replica):
    """A model replica whose streams may be resumed."""

    def __init__(
        self, server_id: str, store: stand_ins.Store, record: stand_ins.Record
    ) -> None:
        super().__init__(server_id, SERVICE, store)
        self._record = record
        self.proxy = Proxy(0)

    async def start(self) -> None:
        """Listen behind the proxy, and write the entry with the proxy's address."""
        listener = await asyncio.start_server(self._serve, stand_ins.LOOPBACK, 0)
        self._listener = listener
        self.proxy = Proxy(listener.sockets[0].getsockname()[1])
        await self.proxy.open()
        self._port = self.proxy.port
        self.write_entry()

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Write the events after the last one that the caller has."""
        request_id = request.headers["request-id"]
        first = int(request.headers.get("last-event-id") or 0) + 1
        self._record.write("run", self.server_id, request_id, "from", first)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request_id}",
            f"Server-Seal: 3e1b.07.{request_id}",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


@dataclasses.dataclass
class Stream:
    """A stream of a caller: its first attempt, and the one that takes it up."""

    number: int
    begun_ms: float
    has_begun: bool = False
    is_taken_up: bool = False
    has_gone_on: bool = False
    status: int = 0


async def read_events(
    gateway: stand_ins.Gateway, lines: list[str], limit: int | None
) -> tuple[int, list[int]]:
    """Send a request; return the status and ids of at most `limit` events.

    The connection is closed then, as if the caller had lost it.
    """
    ids: list[int] = []
    status = 0
    with contextlib.suppress(TimeoutError, EOFError, OSError, ValueError):
        async with asyncio.timeout(6.0):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nprompt")
                answer = await stand_ins.read_head(reader)
                status = answer.status
                while status == 200 and (limit is None or len(ids) < limit):
                    line = await reader.readline()
                    if line.strip() == b"0" or not line:
                        break
                    if line.startswith(b"id:"):
                        ids.append(int(line[3:]))
            finally:
                writer.close()
    return status, ids


def head_lines(request_id: str, number: int, more: list[str]) -> list[str]:
    """Return the first line and headers of a request."""
    return [
        "POST /draft/2f HTTP/1.1",
        f"Host: {stand_ins.HOST}",
        f"Request-Id: {request_id}",
        f"Authorization: Token {KEY}",
        f"Model: {replicas.MODEL}",
        "Token-Count: 177,60",
        f"Prompt-Prefix: {number:08x}:177",
        "Deadline-Ms: 15000",
        "Content-Length: 6",
        *more,
    ]


async def play_stream(
    stream: Stream, gateways: list[stand_ins.Gateway], record: stand_ins.Record
) -> None:
    """Begin a stream, lose the connection, and take the stream up elsewhere."""
    number = stream.number
    first_id = f"q{number:05d}a"
    is_lost = number % LOST_EVERY == 0
    status, ids = await read_events(
        gateways[number % GATEWAYS],
        head_lines(first_id, number, []),
        BREAK_AFTER if is_lost else None,
    )
    stream.status = status
    stream.has_begun = bool(ids)
    record.write("stream", first_id, "status", status, "events", ids)
    if not ids or not is_lost:
        return
    await asyncio.sleep(TAKE_UP_AFTER_S)
    more = [f"Last-Event-Id: {ids[-1]}", f"Resumes: {first_id}"]
    second_id = f"q{number:05d}b"
    gateway = gateways[(number + 1) % GATEWAYS]
    stream.is_taken_up = True
    status, rest = await read_events(gateway, head_lines(second_id, number, more), None)
    stream.has_gone_on = bool(rest) and rest[0] == ids[-1] + 1
    record.write("taken up", second_id, gateway.name, "status", status, "events", rest)


async def cut_in_turn(
    fleet: list[StreamingReplica], record: stand_ins.Record, *, has_trouble: bool
) -> None:
    """Cut the replicas off, a third of them at a time."""
    for first in range(0, REPLICAS, CUT_REPLICAS):
        cut = fleet[first : first + CUT_REPLICAS]
        if has_trouble:
            record.write("cut off:", *[each.server_id for each in cut])
            for each in cut:
                each.proxy.cut()
        await asyncio.sleep(CUT_S)
        if has_trouble:
            for each in cut:
                await each.proxy.open()
            record.write("healed:", *[each.server_id for each in cut])
        await asyncio.sleep(CUT_PAUSE_S)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route(
            "/draft/",
            SERVICE,
            "streaming",
            sticky=True,
            resumable=True,
            timeoutMs=15_000,
            targetLatencyMs=300,
            gapTargetMs=250,
        )
    ]
    services = [replicas.engine_service(SERVICE)]
    keys = {KEY: "desk"}
    store.put("op", "config", stand_ins.configuration(7, routes, services, keys))
    store.put(
        "op", f"version/{replicas.MODEL}", {"model": replicas.MODEL, "version": 1}
    )
    fleet = [StreamingReplica(f"i-{n}", store, record) for n in range(REPLICAS)]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    beating: asyncio.Task[None] | None = None
    streams: list[Stream] = []
    playing: list[asyncio.Task[None]] = []

    async def begin_streams() -> None:
        while True:
            stream = Stream(len(streams), stand_ins.now_ms())
            streams.append(stream)
            playing.append(asyncio.create_task(play_stream(stream, gateways, record)))
            await asyncio.sleep(PERIOD_S)

    beginning: asyncio.Task[None] | None = None
    try:
        for replica in fleet:
            await replica.start()
        for gateway in gateways:
            gateway.start()
        beating = asyncio.create_task(replicas.beat(list(fleet)))
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(2.0)
        beginning = asyncio.create_task(begin_streams())
        await asyncio.sleep(WARM_UP_S)
        await cut_in_turn(fleet, record, has_trouble=has_trouble)
        await asyncio.sleep(AFTER_HEAL_S)
        judged_from_ms = stand_ins.now_ms()
        record.write("judged from here")
        await asyncio.sleep(JUDGED_S)
        beginning.cancel()
        await asyncio.gather(*playing)
    finally:
        for task in (beating, beginning):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        for gateway in gateways:
            gateway.end()
    return judge([each for each in streams if each.begun_ms >= judged_from_ms], record)


def judge(streams: list[Stream], record: stand_ins.Record) -> bool:
    """Return whether too few of the streams that were taken up have gone on."""
    begun = sum(each.has_begun for each in streams)
    taken_up = [each for each in streams if each.is_taken_up]
    gone_on = sum(each.has_gone_on for each in taken_up)
    record.write(
        f"{begun} of {len(streams)} new streams began;",
        f"{gone_on} of {len(taken_up)} that were taken up went on",
    )
    if len(taken_up) < MIN_TAKEN_UP:
        raise RuntimeError("too few streams were taken up")
    is_broken = gone_on / len(taken_up) < begun / len(streams) / 2
    if is_broken:
        record.write("LOST: under half of the share of new streams that begin")
    return is_broken


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
