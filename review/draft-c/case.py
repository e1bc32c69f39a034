"""The holder of the order lease ends while its last order waits at a silent replica.

One model replica, three gateways.  The operator names new weights, and the gateway that
holds the lease asks the replica for its report and orders the loading.  The replica
falls silent for `SILENCE_S` after it has answered the report, as a sound server may: it
reads the order when it goes on.  Meanwhile the process of the holder is killed.  Two
seconds after that, the operator names the next version, and another gateway takes the
lease.  The rule ONE is checked at the replica: orders of two holders must be `leaseMs`
apart.  This is played `ROUNDS` times; the killed gateway starts again each time.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
from collections.abc import Callable

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import replicas  # noqa: E402
import stand_ins  # noqa: E402

GATEWAYS = 3
SERVICE = "lekhak"
LEASE_MS = 3_000
SILENCE_S = 1.2
KILL_AFTER_S = 0.08
NEXT_VERSION_AFTER_S = 2.0
LOAD_S = 0.57
ROUNDS = 8
ROUND_S = 12.0
PAUSE_S = 4.5


@dataclasses.dataclass
class Order:
    """An order as the replica reads it."""

    at_ms: float
    holder: str
    token: int
    version: int


class OrderedReplica(replicas.Replica):
    """A model replica that takes orders; it can fall silent once.

    Attributes
    ----------
    is_armed : bool
        Whether it falls silent after it has answered the next report.
    was_silent : Event
        Set when it falls silent.
    """

    def __init__(
        self, server_id: str, store: stand_ins.Store, record: stand_ins.Record
    ) -> None:
        super().__init__(server_id, SERVICE, store)
        self._record = record
        self.version = 1
        self.orders: list[Order] = []
        self._accepted = 0
        self._loading: asyncio.Task[None] | None = None
        self._silent_until_ms = 0.0
        self.is_armed = False
        self.was_silent = asyncio.Event()

    def models(self) -> list[stand_ins.Document]:
        """Return the model with its present version."""
        return [{"name": replicas.MODEL, "version": self.version, "adapters": []}]

    def is_refused(self, request: stand_ins.Message) -> bool:
        """Return whether a request is for another replica."""
        expected = request.headers.get("expect-instance", self.server_id)
        return expected != self.server_id

    @property
    def _is_busy(self) -> bool:
        return self._loading is not None and not self._loading.done()

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a report or an order; nothing is read or answered while silent."""
        left_ms = self._silent_until_ms - stand_ins.now_ms()
        if left_ms > 0:
            await asyncio.sleep(left_ms / 1_000)
        path = request.first.split()[1].partition("?")[0]
        if path == "/order":
            status = self._take(json.loads(request.body))
            writer.write(stand_ins.encode_answer(status, {}, b""))
            return False
        document = {
            "stage": "colocated",
            "models": self.models(),
            "busy": self._is_busy,
            "seq": self._accepted,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 64_400,
            "handles": 0,
            "born": self._born,
        }
        kind = {"Content-Type": "application/json"}
        writer.write(stand_ins.encode_answer(200, kind, json.dumps(document).encode()))
        await writer.drain()
        if self.is_armed:
            self.is_armed = False
            self._silent_until_ms = stand_ins.now_ms() + SILENCE_S * 1_000
            self._record.write("the replica falls silent")
            self.was_silent.set()
        return False

    def _take(self, order: stand_ins.Document) -> int:
        read = Order(
            stand_ins.now_ms(),
            str(order["holder"]),
            int(order["fencingToken"]),
            int(order["version"]),
        )
        self.orders.append(read)
        if int(order["version"]) <= self.version:
            status = 200
        elif self._is_busy or int(order.get("expected", self._accepted)) != (
            self._accepted
        ):
            status = 409
        else:
            status = 202
            self._accepted += 1
            self._loading = asyncio.create_task(self._load(int(order["version"])))
        self._record.write("order", read, "status", status)
        return status

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version = version
        self.write_entry()


def lease_holder(store: stand_ins.Store) -> str | None:
    """Return the holder that the lease row names, as anyone can read it."""
    _, document = store._get({"table": "gateways"})
    for row in document["rows"]:
        if row["key"] == "lease:orders":
            return str(json.loads(base64.b64decode(row["value"]))["holder"])
    return None


class Operator:
    """Names the versions of the weights, one after the other."""

    def __init__(self, store: stand_ins.Store, record: stand_ins.Record) -> None:
        self._store = store
        self._record = record
        self.version = 1

    def name_next(self) -> None:
        """Name the next version."""
        self.version += 1
        document = {"model": replicas.MODEL, "version": self.version}
        self._store.put("op", f"version/{replicas.MODEL}", document)
        self._record.write("version", self.version, "named")


async def play_round(
    store: stand_ins.Store,
    replica: OrderedReplica,
    operator: Operator,
    gateway_by_name: dict[str, stand_ins.Gateway],
    kill: Callable[[str], None],
) -> None:
    """Name a version, kill the holder as its order waits, and name the next one."""
    replica.was_silent.clear()
    replica.is_armed = True
    operator.name_next()
    await asyncio.wait_for(replica.was_silent.wait(), 15.0)
    until_ms = stand_ins.now_ms() + ROUND_S * 1_000
    await asyncio.sleep(KILL_AFTER_S)
    holder = lease_holder(store)
    if holder is not None:
        kill(holder)
    await asyncio.sleep(NEXT_VERSION_AFTER_S)
    operator.name_next()
    if holder is not None and not gateway_by_name[holder].is_running:
        gateway_by_name[holder].start()
    while replica.version != operator.version and stand_ins.now_ms() < until_ms:
        await asyncio.sleep(0.1)
    await asyncio.sleep(PAUSE_S)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route("/draft/", SERVICE, "streaming", sticky=True, maxAttempts=1)
    ]
    services = [replicas.engine_service(SERVICE)]
    keys = {"key-of-desk-1": "desk"}
    store.put("op", "config", stand_ins.configuration(7, routes, services, keys))
    replica = OrderedReplica("i-7f3a", store, record)
    operator = Operator(store, record)
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    gateway_by_name = {each.name: each for each in gateways}

    def kill(holder: str) -> None:
        if has_trouble:
            record.write("kill", holder)
            gateway_by_name[holder].signal(signal.SIGKILL)

    beating: asyncio.Task[None] | None = None
    try:
        await replica.start()
        for gateway in gateways:
            gateway.start()
        beating = asyncio.create_task(replicas.beat([replica]))
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(3.0)
        for _ in range(ROUNDS):
            await play_round(store, replica, operator, gateway_by_name, kill)
    finally:
        if beating is not None:
            beating.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await beating
        for gateway in gateways:
            gateway.end()
    return judge(replica.orders, record)


def judge(orders: list[Order], record: stand_ins.Record) -> bool:
    """Return whether two holders took turns within `leaseMs` at the replica."""
    broken = 0
    for before, after in zip(orders, orders[1:], strict=False):
        if before.holder == after.holder:
            continue
        gap_ms = after.at_ms - before.at_ms
        words = f"{before.holder} then {after.holder}: {gap_ms:.0f} ms apart"
        record.write("turn:", words)
        if gap_ms < LEASE_MS or after.token <= before.token:
            broken += 1
            record.write("ONE:", words)
    record.write(f"{len(orders)} orders, {broken} turns within leaseMs")
    if len(orders) < ROUNDS:
        raise RuntimeError("too few orders")
    return broken > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
