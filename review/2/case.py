"""Case 4: a gateway keeps idle callers eight times too long and runs out of sockets.

The backend servers run in this process; each has a port of its own.
"""

import asyncio
import contextlib
import pathlib
import resource
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402

KEY = "key-of-patan"
SERVICE = "records"
SERVERS = 3
WORK_MS = 90
GATEWAYS = 3
REMOVED = 2
ASKS_PER_S = 46
"""New callers a second in all: the 15.3 a second at each machine of the site."""

BEFORE_S = 10.0
AFTER_S = 55.0
TIMEOUT_MS = 1_500
"""Time limit of the route, as on the sheet."""

DEADLINE_MS = 3_000
MAX_DESCRIPTORS = 1_535
"""`maxFds` of the site's machines; 200 of them are for files."""


class Caller:
    """One device: it sends a request on a new connection and stays idle on it.

    It closes the connection when the gateway does, and at the end of the case.
    """

    def __init__(self, number: int, gateway: stand_ins.Gateway) -> None:
        sent_ms = stand_ins.now_ms()
        self.asked = stand_ins.Asked(f"q-{number}", gateway, "POST", sent_ms)
        self.answered_ms: float | None = None
        self.closed_ms: float | None = None

    async def run(self) -> None:
        """Send the request, read the answer and wait for the gateway's close."""
        asked = self.asked
        lines = [
            "POST /record/x HTTP/1.1",
            f"Host: {stand_ins.HOST}",
            f"Request-Id: {asked.request_id}",
            f"Authorization: Token {KEY}",
            f"Deadline-Ms: {DEADLINE_MS}",
            "Content-Length: 4",
        ]
        gateway = asked.gateway
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(gateway.ip, gateway.port), 1.0
            )
        except (TimeoutError, OSError) as error:
            asked.error = f"not connected: {error!r}"
            return
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                answer = await stand_ins.read_head(reader)
                await stand_ins.read_body(reader, answer)
            asked.status, asked.is_complete = answer.status, answer.is_complete
            self.answered_ms = stand_ins.now_ms()
            await reader.read()
            self.closed_ms = stand_ins.now_ms()
        except (TimeoutError, EOFError, OSError) as error:
            asked.error = repr(error)
        finally:
            writer.close()


async def serve(
    server_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve the requests of one connection."""
    with contextlib.suppress(EOFError, OSError):
        while True:
            request = await stand_ins.read_head(reader)
            await stand_ins.read_body(reader, request)
            if request.headers.get("expect-instance", server_id) != server_id:
                refusal = {"Not-Executed": "1", "Instance-Id": server_id}
                writer.write(stand_ins.encode_answer(421, refusal, b""))
                continue
            await asyncio.sleep(WORK_MS / 1_000)
            request_id = request.headers.get("request-id", "")
            headers = {"Request-Id": request_id, "Server-Seal": "3e1b.07"}
            writer.write(stand_ins.encode_answer(200, headers, b"y" * 800))
            await writer.drain()
    writer.close()


async def run_server(server_id: str, store: stand_ins.Store) -> None:
    """Run a backend server and write its entry at every heartbeat."""
    listener = await asyncio.start_server(
        lambda reader, writer: serve(server_id, reader, writer), stand_ins.LOOPBACK, 0
    )
    port = listener.sockets[0].getsockname()[1]
    born, seq = time.time_ns() // 1_000_000, 0
    while True:
        seq += 1
        address = f"{stand_ins.LOOPBACK}:{port}"
        entry = stand_ins.entry(SERVICE, address, born, seq, slots=60)
        store.put("servers", server_id, entry)
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)


async def call(
    gateways: list[stand_ins.Gateway],
    removed: set[str],
    callers: list[Caller],
    for_s: float,
) -> None:
    """Let callers come, at the gateways that are left in turn."""
    until_ms = stand_ins.now_ms() + for_s * 1_000
    while stand_ins.now_ms() < until_ms:
        present = [each for each in gateways if each.name not in removed]
        caller = Caller(len(callers), present[len(callers) % len(present)])
        callers.append(caller)
        RUNNING.add(asyncio.create_task(caller.run()))
        await asyncio.sleep(1 / ASKS_PER_S)


RUNNING: set[asyncio.Task[None]] = set()


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 10_000 if limit[1] == resource.RLIM_INFINITY else min(10_000, limit[1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, limit[1]))
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route(
            "/record/",
            SERVICE,
            "non_idempotent",
            maxAttempts=1,
            timeoutMs=TIMEOUT_MS,
        )
    ]
    services = [stand_ins.plain_service(SERVICE)]
    keys = {KEY: "patan"}
    store.put("op", "config", stand_ins.configuration(1, routes, services, keys))
    background = [
        asyncio.create_task(run_server(f"i-{n + 1}", store)) for n in range(SERVERS)
    ]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    callers: list[Caller] = []
    removed: set[str] = set()
    try:
        for gateway in gateways:
            gateway.start(max_descriptors=MAX_DESCRIPTORS)
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("gateways not ready")
        await asyncio.sleep(3.0)
        await call(gateways, removed, callers, BEFORE_S)
        for gateway in gateways[:REMOVED] if has_trouble else ():
            record.write("removed for good:", gateway.name)
            gateway.signal(signal.SIGKILL)
            removed.add(gateway.name)
        from_ms = stand_ins.now_ms() + stand_ins.CONTACT_MS
        await call(gateways, removed, callers, AFTER_S)
        await asyncio.sleep(DEADLINE_MS / 1_000 + 0.5)
    finally:
        for task in (*background, *RUNNING):
            task.cancel()
        for gateway in gateways:
            gateway.end()
    return judge(record, callers, removed, from_ms)


def judge(
    record: stand_ins.Record, callers: list[Caller], removed: set[str], from_ms: float
) -> bool:
    """Return whether most requests that reach the time limit get no answer then."""
    late = unanswered = served = 0
    for caller in callers:
        asked = caller.asked
        took_ms = None
        if caller.answered_ms is not None:
            took_ms = caller.answered_ms - asked.sent_ms
        served += asked.status == 200
        is_late = asked.sent_ms >= from_ms and asked.gateway.name not in removed
        is_late = is_late and (took_ms is None or took_ms > TIMEOUT_MS)
        is_unanswered = is_late and (took_ms is None or took_ms > TIMEOUT_MS + 500)
        late += is_late
        unanswered += is_unanswered
        record.write(
            asked.request_id,
            asked.gateway.name,
            f"status {asked.status}",
            "no answer" if took_ms is None else f"after {took_ms:.0f} ms",
            asked.error,
            *(["NEVER ANSWERED"] if is_unanswered else []),
        )
    text = (
        f"{len(callers)} sent, {served} served; {late} unanswered at the time limit,"
        f" {unanswered} of them half a second later"
    )
    record.write(text)
    print(text)
    if served < len(callers) / 5:
        raise RuntimeError("too few requests were served")
    return unanswered > late / 2 and unanswered > 3


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
