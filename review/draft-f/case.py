"""A replica fails requests that it has run, with 503 and without `Not-Executed`.

Eight plain replicas; one is grey for `GREY_S`: its health is good, but it fails a share
of its requests once it has run them.  A failure has status 503 and the seal, and does
not state `Not-Executed`, so it does not state that the request was not run.  Callers
send requests that may run once, and keep to the page: a 503 promises that the request
has not run, so they send the operation again with a new `Request-Id`.  The rule REFUSED
is checked: such a request that was answered 429 or 503 must not have run.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402

GATEWAYS = 3
REPLICAS = 8
SERVICE = "prasaran"
KEY = "nu6wsjnbanfqasnmgkcu"
LENGTH_S = 14.0
GREY_FROM_S = 3.0
GREY_S = 6.5
GREY_SHARE = 0.4
PERIOD_S = 0.03
WORK_S = 0.06
RETRY_DELAY_S = 0.1


class PlainReplica:
    """A plain replica: its listener and its entry.

    Attributes
    ----------
    is_grey : bool
        Whether it fails a share of its requests now.
    runs : list of (str, str)
        Request id and operation of each run, of all replicas.
    """

    def __init__(
        self,
        server_id: str,
        store: stand_ins.Store,
        record: stand_ins.Record,
        runs: list[tuple[str, str]],
    ) -> None:
        self.server_id = server_id
        self.is_grey = False
        self.runs = runs
        self._store = store
        self._record = record
        self._born = time.time_ns() // 1_000_000
        self._seq = 0
        self._port = 0
        self._failed = 0.0

    async def start(self) -> None:
        """Listen and write the entry."""
        listener = await asyncio.start_server(self._serve, stand_ins.LOOPBACK, 0)
        self._port = listener.sockets[0].getsockname()[1]
        self.beat()

    def beat(self) -> None:
        """Write the entry, as at a heartbeat."""
        self._seq += 1
        address = f"{stand_ins.LOOPBACK}:{self._port}"
        entry = stand_ins.entry(SERVICE, address, self._born, self._seq)
        self._store.put("servers", self.server_id, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await stand_ins.read_head(reader)
                await stand_ins.read_body(reader, request)
                writer.write(await self._answer(request))
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: stand_ins.Message) -> bytes:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance") != self.server_id:
            refusal = {"Not-Executed": "1", "Instance-Id": self.server_id}
            return stand_ins.encode_answer(421, refusal, b"")
        operation = request.first.split()[1].rpartition("/")[2]
        self.runs.append((request_id, operation))
        await asyncio.sleep(WORK_S)
        headers = {
            "Request-Id": request_id,
            "Server-Seal": f"3e1b.07.{request_id}",
        }
        status = 200
        if self.is_grey:
            self._failed += GREY_SHARE
            if self._failed >= 1:
                self._failed -= 1
                status = 503
        self._record.write("run", self.server_id, request_id, operation, status)
        return stand_ins.encode_answer(status, headers, request_id.encode())


async def beat(fleet: list[PlainReplica]) -> None:
    """Write the entries at every heartbeat."""
    while True:
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)
        for each in fleet:
            each.beat()


async def make_grey(replica: PlainReplica, record: stand_ins.Record) -> None:
    """Make a replica grey for a while."""
    await asyncio.sleep(GREY_FROM_S)
    replica.is_grey = True
    record.write("grey:", replica.server_id)
    await asyncio.sleep(GREY_S)
    replica.is_grey = False
    record.write("sound again:", replica.server_id)


async def operate(
    number: int, gateways: list[stand_ins.Gateway], asked: list[stand_ins.Asked]
) -> None:
    """Send an operation, and once more if the first answer promises no run."""
    for attempt in range(2):
        gateway = gateways[(number + attempt) % GATEWAYS]
        request_id = f"q{number:05d}{'ab'[attempt]}"
        each = stand_ins.Asked(request_id, gateway, "POST", stand_ins.now_ms())
        asked.append(each)
        await stand_ins.ask(
            each, f"/log/op{number}", KEY, limit_s=3.0, deadline_ms=1_500
        )
        if each.status not in (408, 421, 429, 503):
            return
        await asyncio.sleep(RETRY_DELAY_S)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route(
            "/log/", SERVICE, "non_idempotent", timeoutMs=1_500, maxAttempts=1
        )
    ]
    services = [stand_ins.plain_service(SERVICE)]
    keys = {KEY: "jeye930"}
    store.put("op", "config", stand_ins.configuration(7, routes, services, keys))
    runs: list[tuple[str, str]] = []
    fleet = [PlainReplica(f"i-{n}", store, record, runs) for n in range(REPLICAS)]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    tasks: list[asyncio.Task[None]] = []
    operations: list[asyncio.Task[None]] = []
    asked: list[stand_ins.Asked] = []
    try:
        for replica in fleet:
            await replica.start()
        for gateway in gateways:
            gateway.start()
        tasks.append(asyncio.create_task(beat(fleet)))
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(1.0)
        if has_trouble:
            tasks.append(asyncio.create_task(make_grey(fleet[0], record)))
        until_ms = stand_ins.now_ms() + LENGTH_S * 1_000
        while stand_ins.now_ms() < until_ms:
            work = operate(len(operations), gateways, asked)
            operations.append(asyncio.create_task(work))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*operations)
    finally:
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for gateway in gateways:
            gateway.end()
    return judge(asked, runs, record)


def judge(
    asked: list[stand_ins.Asked], runs: list[tuple[str, str]], record: stand_ins.Record
) -> bool:
    """Return whether a request has run that was answered with a promise of no run."""
    run_ids = {request_id for request_id, _ in runs}
    broken = 0
    for each in asked:
        record.write("answer", each.request_id, each.status, each.error)
        if each.status in (408, 421, 429, 503) and each.request_id in run_ids:
            broken += 1
            record.write("REFUSED:", each.request_id, "answered", each.status, "ran")
    operations = [operation for _, operation in runs]
    twice = sum(operations.count(each) > 1 for each in set(operations))
    served = sum(each.status == 200 for each in asked)
    record.write(
        f"{len(asked)} requests, {served} served, {broken} refused that had run;",
        f"{twice} operations ran twice",
    )
    if not served:
        raise RuntimeError("no request was served")
    return broken > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
