"""The store performs a heartbeat late, after the replica has reported that it leaves.

Six plain replicas with little traffic.  In each round the store loses the answer to one
heartbeat of a replica (state `ready`) and performs the write `LATE_S` later.  Later
than `contactMs` after that loss the replica reports `draining`, which the store
acknowledges; it goes on to serve, and to write `draining` at each heartbeat.  Then the
lost write is performed: for a moment the row says `ready`, with the lower `seq`.  The
rule DRAIN is checked at the replicas: a request that reaches one later than `drainMs`
after the acknowledgement.
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
REPLICAS = 6
ROUNDS = 4
SERVICE = "prasaran"
KEY = "nu6wsjnbanfqasnmgkcu"
LATE_S = 5.9
DRAIN_AFTER_S = 3.2
SERVES_ON_S = 5.0
PERIOD_S = 0.08
WORK_S = 0.02


class LeavingReplica:
    """A plain replica: its listener, its entry and its heartbeats.

    Attributes
    ----------
    drained_ms : float or None
        Time at which the store acknowledged that it leaves.
    arrivals : list of (float, str)
        Times and ids of the requests that reached it.
    """

    def __init__(
        self, server_id: str, store: stand_ins.Store, record: stand_ins.Record
    ) -> None:
        self.server_id = server_id
        self.drained_ms: float | None = None
        self.arrivals: list[tuple[float, str]] = []
        self._store = store
        self._record = record
        self._born = time.time_ns() // 1_000_000
        self._seq = 0
        self._port = 0
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the entry at every heartbeat from now on."""
        self._listener = await asyncio.start_server(self._serve, stand_ins.LOOPBACK, 0)
        self._port = self._listener.sockets[0].getsockname()[1]
        self._beating = asyncio.create_task(self._beat())

    def next_entry(self) -> stand_ins.Document:
        """Return the entry of the next write."""
        self._seq += 1
        state = "ready" if self.drained_ms is None else "draining"
        address = f"{stand_ins.LOOPBACK}:{self._port}"
        return stand_ins.entry(SERVICE, address, self._born, self._seq, state=state)

    def write(self, entry: stand_ins.Document) -> None:
        """Have the store perform a write."""
        self._store.put("servers", self.server_id, entry)

    async def _beat(self) -> None:
        while True:
            self.write(self.next_entry())
            await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)

    def restart_beat(self) -> None:
        """Write at once, and every heartbeat interval from now on."""
        self.stop_beat()
        self._beating = asyncio.create_task(self._beat())

    def stop_beat(self) -> None:
        """Write no more."""
        if self._beating is not None:
            self._beating.cancel()

    def leave(self) -> None:
        """Remove the entry and accept no more connections."""
        self.stop_beat()
        self._store.put("servers", self.server_id, None)
        assert self._listener is not None
        self._listener.close()

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
        self.arrivals.append((stand_ins.now_ms(), request_id))
        self._record.write("run", self.server_id, request_id)
        await asyncio.sleep(WORK_S)
        headers = {"Request-Id": request_id, "Server-Seal": f"3e1b.07.{request_id}"}
        if self.drained_ms is not None:
            headers["Server-Leaving"] = "1"
        return stand_ins.encode_answer(200, headers, request_id.encode())


async def play_round(
    replica: LeavingReplica, record: stand_ins.Record, *, has_trouble: bool
) -> None:
    """Lose the answer of a heartbeat, let the replica leave, perform the write late."""
    lost = replica.next_entry()
    sent_ms = stand_ins.now_ms()
    if has_trouble:
        record.write("no answer to the heartbeat", lost["seq"], "of", replica.server_id)
    else:
        replica.write(lost)
    await asyncio.sleep(DRAIN_AFTER_S)
    replica.drained_ms = stand_ins.now_ms()
    replica.restart_beat()
    record.write("draining acknowledged:", replica.server_id)
    await asyncio.sleep(LATE_S - (stand_ins.now_ms() - sent_ms) / 1_000)
    if has_trouble:
        replica.write(lost)
        record.write(
            "performed late: the heartbeat", lost["seq"], "of", replica.server_id
        )
    left_s = SERVES_ON_S - (stand_ins.now_ms() - replica.drained_ms) / 1_000
    await asyncio.sleep(left_s)
    replica.leave()
    record.write("left:", replica.server_id)
    await asyncio.sleep(1.0)


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
    fleet = [LeavingReplica(f"i-{n}", store, record) for n in range(REPLICAS)]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    asked: list[stand_ins.Asked] = []
    requests: list[asyncio.Task[None]] = []

    async def send_requests() -> None:
        while True:
            number = len(asked)
            gateway = gateways[number % GATEWAYS]
            each = stand_ins.Asked(
                f"q{number:05d}", gateway, "POST", stand_ins.now_ms()
            )
            asked.append(each)
            sending = stand_ins.ask(
                each, f"/log/{number}", KEY, limit_s=3.0, deadline_ms=1_500
            )
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(PERIOD_S)

    sending: asyncio.Task[None] | None = None
    try:
        for replica in fleet:
            await replica.start()
        for gateway in gateways:
            gateway.start()
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(1.0)
        sending = asyncio.create_task(send_requests())
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            await play_round(fleet[number], record, has_trouble=has_trouble)
        sending.cancel()
        await asyncio.gather(*requests)
    finally:
        for replica in fleet:
            replica.stop_beat()
        if sending is not None:
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
        for gateway in gateways:
            gateway.end()
    return judge(fleet, asked, record)


def judge(
    fleet: list[LeavingReplica], asked: list[stand_ins.Asked], record: stand_ins.Record
) -> bool:
    """Return whether a request reached a replica too late after its report."""
    for each in asked:
        record.write("answer", each.request_id, each.status, each.error)
    broken = 0
    for replica in fleet:
        for at_ms, request_id in replica.arrivals:
            if replica.drained_ms is None:
                continue
            late_ms = at_ms - replica.drained_ms
            if late_ms > stand_ins.DRAIN_MS:
                broken += 1
                words = f"{late_ms:.0f} ms after the acknowledgement"
                record.write("DRAIN:", request_id, "reached", replica.server_id, words)
    served = sum(each.status == 200 for each in asked)
    record.write(f"{len(asked)} requests, {served} served, {broken} after drainMs")
    if not served:
        raise RuntimeError("no request was served")
    return broken > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
