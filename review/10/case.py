"""After a restore of the store no gateway stores which version a stream began at.

Two gateways, and four replicas of two software versions that serve side by side.
Streams of seven seconds begin all the time.  With the disruption, the store comes back
from a copy six seconds old, and 15 s later all gateways are killed and start again.
Clients whose streams broke off take them up 4.5 s after that.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import stand_ins  # noqa: E402

KEY = "nu6wsjnbanfqasnmgkcu"
EVENTS = 60
EVENT_S = 0.12
STREAMS_PER_S = 8
MIXED_S = 18.0
COPY_AGE_S = 6.0
AWAY_S = 0.5
KILL_AFTER_S = 15.0
RESTART_S = 0.5
RESUME_AFTER_S = 4.5
MIN_RESUMED = 12


class StreamServer(stand_ins.Server):
    """A replica that answers with streams of events."""

    async def _handle(
        self, request: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            more = {"Not-Executed": "1", "Instance-Id": self.name}
            stand_ins.send(writer, 421, b"", more)
            return
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Server-Seal: {stand_ins.SEAL}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        first = int(headers.get("last-event-id", "0")) + 1
        self.record.write(f"{self.name} {self.software} runs {request_id} from {first}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {number} of {self.software}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


class Stream:
    """One stream of a client, over its attempts."""

    def __init__(self, stream_id: str) -> None:
        self.stream_id = stream_id
        self.last_id = 0
        self.versions: set[str] = set()
        self.is_complete = False
        self.status = 0

    async def ask(
        self, gateway: stand_ins.Gateway, request_id: str, record: stand_ins.Record
    ) -> bool:
        """Make one attempt; return whether it brought an event."""
        headers = {
            "Host": stand_ins.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "15000",
            "Authorization": f"Token {KEY}",
        }
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = self.stream_id
        before, self.status = self.last_id, 0
        try:
            await self._read(gateway, headers)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        record.write(
            f"{request_id} at {gateway.name} gets {self.status}, events up to "
            f"{self.last_id}, complete: {self.is_complete}"
        )
        return self.last_id > before

    async def _read(self, gateway: stand_ins.Gateway, headers: dict[str, str]) -> None:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
        try:
            lines = ["GET /draft/1 HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.status = int(head.split(" ")[1])
            if self.status != 200:
                return
            text = ""
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                text += (await reader.readexactly(size + 2))[:-2].decode()
                *events, text = text.split("\n\n")
                for event in events:
                    number, data = event.split("\n")
                    self.last_id = int(number.removeprefix("id: "))
                    self.versions.add(data.split(" ")[-1])
            self.is_complete = True
        finally:
            writer.close()


class Case:
    """The streams of the clients and how they went on."""

    def __init__(self, record: stand_ins.Record, fleet: stand_ins.Fleet) -> None:
        self.record, self.fleet = record, fleet
        self.killed_s: float | None = None
        self.began = self.begun = 0
        self.resumed = self.went_on = 0
        self.joined = 0
        self._number = 0
        self._asks: set[asyncio.Task[None]] = set()

    async def begin_streams(self) -> None:
        """Begin streams at all gateways."""
        while True:
            self._number += 1
            task = asyncio.ensure_future(self._play(self._number))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)
            await asyncio.sleep(1 / STREAMS_PER_S)

    async def _play(self, number: int) -> None:
        stream = Stream(f"s-{number}")
        gateways = self.fleet.gateways
        began_s = self.record.now()
        await stream.ask(
            gateways[number % len(gateways)], stream.stream_id, self.record
        )
        killed_s = self.killed_s
        if killed_s is None:
            return
        if began_s > killed_s + RESTART_S + RESUME_AFTER_S:
            self.began += 1
            self.begun += stream.last_id > 0
        if began_s > killed_s or not stream.last_id or stream.is_complete:
            return
        await asyncio.sleep(killed_s + RESTART_S + RESUME_AFTER_S - self.record.now())
        went_on = await stream.ask(
            gateways[(number + 1) % len(gateways)], f"{stream.stream_id}-2", self.record
        )
        self.resumed += 1
        self.went_on += went_on
        self.joined += len(stream.versions) > 1


async def start_server(
    store: stand_ins.Store, record: stand_ins.Record, number: int, software: str
) -> None:
    """Start a replica with the slots of the sheet."""
    name = f"i-{number}"
    await StreamServer(store, record, name, "lekhak", 0, software, slots=128).start()


async def run() -> int:
    """Play the day; return 1 if too few streams go on."""
    record = stand_ins.Record(FOLDER)
    with stand_ins.running_fleet(record, 2) as fleet:
        case = Case(record, fleet)
        store = stand_ins.Store()
        await store.start()
        copies = asyncio.ensure_future(store.keep_copies())
        more = {"resumable": True, "timeoutMs": 15_000, "maxAttempts": 2}
        routes = [stand_ins.route("r-1", "/draft/", "lekhak", "streaming", **more)]
        services = [{"name": "lekhak", "healthPath": "/health", "maxConns": 1_260}]
        tenants = [{"name": "jeye930", "apiKeys": [KEY]}]
        config = stand_ins.configuration(1, routes, services, tenants)
        store.put("op", "config", config)
        for number in range(2):
            await start_server(store, record, number, "v1")
        for gateway in fleet.gateways:
            fleet.start(gateway, store.port)
        await fleet.wait_ready()
        await asyncio.sleep(3)
        for number in range(2, 4):
            await start_server(store, record, number, "v2")
        record.write("replicas of v2 start")
        streams = asyncio.ensure_future(case.begin_streams())
        await asyncio.sleep(MIXED_S)
        if stand_ins.is_troubled() and os.environ.get("TROUBLE") != "kill":
            record.write(f"rows of streams: {store.keys('streams')}")
            store.is_away = True
            await asyncio.sleep(AWAY_S)
            store.restore(COPY_AGE_S)
            store.is_away = False
            record.write(f"the store is back from a copy {COPY_AGE_S} s old")
            record.write(f"rows of streams: {store.keys('streams')}")
        await asyncio.sleep(KILL_AFTER_S)
        record.write(f"rows of streams: {store.keys('streams')}")
        if stand_ins.is_troubled():
            record.write("all gateways are killed")
            case.killed_s = record.now()
            fleet.end()
            await asyncio.sleep(RESTART_S)
            for gateway in fleet.gateways:
                fleet.start(gateway, store.port)
        await asyncio.sleep(RESUME_AFTER_S + 10)
        streams.cancel()
        await asyncio.sleep(8)
        copies.cancel()
        record.write(f"new streams since: {case.begun} of {case.began} began")
        record.write(f"streams taken up: {case.went_on} of {case.resumed} went on")
        record.write(f"streams with events of two versions: {case.joined}")
        if not stand_ins.is_troubled():
            return 0
        if case.resumed < MIN_RESUMED or not case.began:
            return 2
        share = case.went_on / case.resumed
        return 1 if share < case.begun / case.began / 2 else 0


stand_ins.run_case(run)
