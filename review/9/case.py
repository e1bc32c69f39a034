"""All gateways are killed twice beside newly named weights, and no stream goes on.

Three gateways and five model replicas, whose streams may be resumed.  With the
disruption, the operator names new weights, and all gateways are killed 5 ms after the
acknowledgement and once more 4.4 s later; each time they are back half a second
later.  Clients whose streams break off take them up .5, 2.3 and 4.2 s after that.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import engines  # noqa: E402
import stand_ins  # noqa: E402

KEY = "nu6wsjnbanfqasnmgkcu"
MODEL = "m0"
EVENTS = 60
EVENT_S = 0.12
STREAMS_PER_S = 8
CALM_S = 16.0
DOWN_S = 0.5
SECOND_KILL_S = 4.4
AFTER_S = 25.0
RETRIES_S = (0.5, 1.8, 1.9)
CONTACT_S = stand_ins.BOUNDS["contactMs"] / 1000
MIN_RESUMED = 12


class Engine(engines.Engine):
    """A model replica with streams of seven seconds that go on where a client asks."""

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {headers['request-id']}",
            f"Server-Seal: {stand_ins.SEAL}",
            f"Weight-Versions: {self.versions[MODEL]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: t{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


class Case:
    """The clients, their streams, and when the gateways were in touch."""

    def __init__(self, record: stand_ins.Record, fleet: stand_ins.Fleet) -> None:
        self.record, self.fleet = record, fleet
        self.in_touch_s = 0.0
        self.is_down = False
        self.new = self.begun = self.resumed = self.went_on = 0
        self._asks: set[asyncio.Task[None]] = set()

    async def begin_streams(self) -> None:
        """Begin streams at all gateways."""
        number = 0
        while True:
            number += 1
            task = asyncio.ensure_future(self._play(number))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)
            await asyncio.sleep(1 / STREAMS_PER_S)

    async def _play(self, number: int) -> None:
        last_id, is_complete, was_in_touch = await self._attempt(number, 0, 0)
        if was_in_touch:
            self.new += 1
            self.begun += last_id > 0
        if is_complete or not last_id:
            return
        tries: list[bool] = []
        for index, delay_s in enumerate(RETRIES_S, 1):
            await asyncio.sleep(delay_s)
            before = last_id
            last_id, is_complete, was_in_touch = await self._attempt(
                number, index, last_id
            )
            if was_in_touch:
                tries.append(last_id > before)
            if is_complete:
                break
        if tries:
            self.resumed += 1
            self.went_on += any(tries)

    def _is_in_touch(self) -> bool:
        return not self.is_down and self.record.now() >= self.in_touch_s

    async def _attempt(
        self, number: int, index: int, last_id: int
    ) -> tuple[int, bool, bool]:
        """Make one attempt; return the last event, completeness, and whether in touch.

        It counts as in touch from its sending to its first event or to its end.
        """
        gateway = self.fleet.gateways[(number + index) % len(self.fleet.gateways)]
        request_id = f"s-{number}" if not index else f"s-{number}-{index}"
        headers = {
            "Host": stand_ins.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "15000",
            "Authorization": f"Token {KEY}",
            "Model": MODEL,
            "Token-Count": f"600,{EVENTS}",
            "Prompt-Prefix": f"a{number % 40}:400,{number:x}:200",
            "Content-Length": "0",
        }
        if last_id:
            headers |= {"Last-Event-Id": str(last_id), "Resumes": f"s-{number}"}
        began_in_touch, status, is_complete = self._is_in_touch(), 0, False
        went_on_in_touch = None
        before = last_id
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port)
            try:
                lines = ["POST /draft/1 HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                status = int(head.split(" ")[1])
                text = ""
                while status == 200 and (
                    size := int((await reader.readuntil(b"\r\n")).strip(), 16)
                ):
                    text += (await reader.readexactly(size + 2))[:-2].decode()
                    *events, text = text.split("\n\n")
                    for event in events:
                        last_id = int(event.split("\n")[0].removeprefix("id: "))
                    if went_on_in_touch is None and last_id > before:
                        went_on_in_touch = self._is_in_touch()
                is_complete = status == 200
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        if went_on_in_touch is None:
            went_on_in_touch = self._is_in_touch()
        was_in_touch = began_in_touch and went_on_in_touch
        touch = "in touch" if was_in_touch else "not in touch"
        self.record.write(
            f"{request_id} at {gateway.name}, {touch}, gets {status}, events "
            f"{before + 1} to {last_id}"
        )
        return last_id, is_complete, was_in_touch

    async def kill_all(self, store_port: int) -> None:
        """Kill all gateways and start them again."""
        self.is_down = True
        self.record.write("all gateways are killed")
        self.fleet.end()
        await asyncio.sleep(DOWN_S)
        for gateway in self.fleet.gateways:
            self.fleet.start(gateway, store_port)
        self.in_touch_s = self.record.now() + CONTACT_S
        self.is_down = False


async def run() -> int:
    """Play the day; return 1 if too few streams go on."""
    record = stand_ins.Record(FOLDER)
    with stand_ins.running_fleet(record, 3) as fleet:
        case = Case(record, fleet)
        store = stand_ins.Store()
        await store.start()
        more = {"resumable": True, "timeoutMs": 15_000, "maxAttempts": 2}
        routes = [stand_ins.route("r-1", "/draft/", "lekhak", "streaming", **more)]
        services = [engines.engine_service((MODEL,))]
        tenants = [{"name": "jeye930", "apiKeys": [KEY]}]
        config = stand_ins.configuration(1, routes, services, tenants)
        store.put("op", "config", config)
        store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        for number in range(5):
            await Engine(store, None, record, f"i-{number}", (MODEL,)).start()
        for gateway in fleet.gateways:
            fleet.start(gateway, store.port)
        await fleet.wait_ready()
        case.in_touch_s = record.now() + CONTACT_S
        streams = asyncio.ensure_future(case.begin_streams())
        await asyncio.sleep(2)
        store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        record.write("version 2 is named, in peace")
        await asyncio.sleep(CALM_S)
        store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 3})
        record.write("version 3 is named")
        if stand_ins.is_troubled():
            await asyncio.sleep(0.005)
            await case.kill_all(store.port)
            if os.environ.get("TROUBLE") != "once":
                await asyncio.sleep(SECOND_KILL_S - DOWN_S)
                await case.kill_all(store.port)
        await asyncio.sleep(AFTER_S)
        streams.cancel()
        await asyncio.sleep(9)
        record.write(f"new streams: {case.begun} of {case.new} began")
        record.write(f"streams taken up: {case.went_on} of {case.resumed} went on")
        if not stand_ins.is_troubled():
            return 0 if case.new and case.begun == case.new else 2
        if case.resumed < MIN_RESUMED or not case.new:
            return 2
        share = case.went_on / case.resumed
        return 1 if share < case.begun / case.new / 2 else 0


stand_ins.run_case(run)
