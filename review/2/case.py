"""Case 2: streams that their replicas complete while they shut down are cut off."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
from collections.abc import Sequence

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import replicas  # noqa: E402
import stand_ins  # noqa: E402

KEY = "key-of-patan"
SERVICE = "drafting"
REPLICAS = 7
RELEASED = 3
RELEASE_GAP_S = 1.0
GATEWAYS = 3
TERM_GAP_S = 1.3
LINGER_MS = 500
"""Time after `drainMs` after which a replica accepts no more connections."""

EVENTS = 80
EVENT_MS = 50
DEADLINE_MS = 15_000
ASKS_PER_S = 18


@dataclasses.dataclass
class Run:
    """A run of a request at a replica; `completed_ms` is None if it broke off."""

    replica: str
    began_ms: float
    completed_ms: float | None = None


class Replica(replicas.Replica):
    """A sound replica whose streams have neither a length nor chunks.

    Attributes
    ----------
    run_by_id : dict
        Runs of all replicas.
    """

    run_by_id: dict[str, Run] = {}

    def __init__(self, server_id: str, store: stand_ins.Store) -> None:
        super().__init__(server_id, SERVICE, store)
        self._running = 0

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Stream all events, then end the connection."""
        request_id = request.headers["request-id"]
        run = self.run_by_id[request_id] = Run(self.server_id, stand_ins.now_ms())
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request_id}\r\n"
            "Server-Seal: 3e1b.07\r\n"
            "Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Connection: close\r\n\r\n"
        )
        self._running += 1
        try:
            writer.write(head.encode())
            for number in range(1, EVENTS + 1):
                writer.write(f"id: {number}\ndata: token\n\n".encode())
                await writer.drain()
                await asyncio.sleep(EVENT_MS / 1_000)
            run.completed_ms = stand_ins.now_ms()
        finally:
            self._running -= 1
        return False

    async def leave(self) -> None:
        """Report draining, serve on, stop listening, complete the runs and exit."""
        self.write_entry("draining")
        await asyncio.sleep((stand_ins.DRAIN_MS + LINGER_MS) / 1_000)
        self.stop_listening()
        while self._running:
            await asyncio.sleep(0.05)
        self.remove_entry()


async def send_requests(
    gateways: list[stand_ins.Gateway],
    asked: list[stand_ins.Asked],
    ended: asyncio.Event,
) -> None:
    """Send requests to the gateways that say that they are ready, in turn."""
    running = set()
    while not ended.is_set():
        await asyncio.sleep(1 / ASKS_PER_S)
        number = len(asked)
        gateway = gateways[number % len(gateways)]
        one = stand_ins.Asked(f"q-{number}", gateway, "POST", stand_ins.now_ms())
        asked.append(one)
        if not await gateway.is_ready():
            one.error = "not sent: not ready"
            continue
        one.sent_ms = stand_ins.now_ms()
        headers = {
            "Model": replicas.MODEL,
            "Token-Count": f"827,{EVENTS}",
            "Prompt-Prefix": f"a{number % 20}:650,f{number:06x}:177",
        }
        asking = stand_ins.ask(
            one, "/draft/x", KEY, headers, limit_s=15.0, deadline_ms=DEADLINE_MS
        )
        running.add(asyncio.create_task(asking))
    await asyncio.wait(running)


async def release(
    present: list[replicas.Replica], store: stand_ins.Store, record: stand_ins.Record
) -> None:
    """Replace replicas one after the other; the new one starts first."""
    leaving = []
    for old in present[:RELEASED]:
        assert isinstance(old, Replica)
        new = Replica(f"{old.server_id}-new", store)
        await new.start()
        present.append(new)
        record.write(old.server_id, "reports draining")
        leaving.append(asyncio.create_task(old.leave()))
        await asyncio.sleep(RELEASE_GAP_S)
    await asyncio.wait(leaving)


async def restart(gateway: stand_ins.Gateway, record: stand_ins.Record) -> None:
    """Stop a gateway by SIGTERM and start it again."""
    record.write("SIGTERM", gateway.name)
    gateway.signal(signal.SIGTERM)
    await gateway.wait_end(stand_ins.GRACE_S)
    gateway.start()
    record.write("started", gateway.name)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route(
            "/draft/", SERVICE, "streaming", timeoutMs=15_000, maxAttempts=1
        )
    ]
    services = [replicas.engine_service(SERVICE)]
    keys = {KEY: "patan"}
    store.put("op", "config", stand_ins.configuration(1, routes, services, keys))
    present: list[replicas.Replica] = [
        Replica(f"i-{n + 1}", store) for n in range(REPLICAS)
    ]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    asked: list[stand_ins.Asked] = []
    ended = asyncio.Event()
    beats = asyncio.create_task(replicas.beat(present))
    signalled: dict[str, float] = {}
    try:
        for each in present:
            await each.start()
        for gateway in gateways:
            gateway.start()
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("gateways not ready")
        sending = asyncio.create_task(send_requests(gateways, asked, ended))
        await asyncio.sleep(6.0)
        work = []
        if has_trouble:
            work.append(asyncio.create_task(release(present, store, record)))
        await asyncio.sleep(1.0)
        for gateway in gateways:
            signalled[gateway.name] = stand_ins.now_ms()
            work.append(asyncio.create_task(restart(gateway, record)))
            await asyncio.sleep(TERM_GAP_S)
        await asyncio.wait(work)
        await asyncio.sleep(2.0)
        ended.set()
        await sending
    finally:
        beats.cancel()
        for gateway in gateways:
            gateway.end()
    return judge(record, asked, signalled)


def judge(
    record: stand_ins.Record,
    asked: Sequence[stand_ins.Asked],
    signalled: dict[str, float],
) -> bool:
    """Return whether a request was lost around the planned work at its gateway."""
    lost = cut = completed = 0
    for one in asked:
        run = Replica.run_by_id.get(one.request_id)
        completed += one.is_complete and one.status == 200
        words = [one.request_id, one.gateway.name, f"status {one.status}", one.error]
        words.append(f"{one.body.count(b'id: ')} events")
        if run is not None:
            words.append(f"at {run.replica}")
        if run is not None and run.completed_ms is not None and not one.is_complete:
            cut += 1
            since_ms = run.completed_ms - signalled[one.gateway.name]
            words.append(f"CUT, completed {since_ms:.0f} ms after SIGTERM")
            # The rule leaves out replicas at work in the last sixth of the time.
            if 0 <= since_ms < stand_ins.GRACE_S * 1_000 * 5 / 6:
                lost += 1
                words.append("LOST")
        record.write(*words)
    text = (
        f"{len(asked)} asked, {completed} complete, {cut} cut, {lost} of them counted"
    )
    record.write(text)
    print(text)
    if completed < len(asked) / 2:
        raise RuntimeError("too few requests were answered")
    return lost > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
