"""A replica crashes in the middle of an answer that has no length.

Four plain replicas of one service serve two kinds of requests: GET, which may be
repeated, and POST, which may not.  Their answers have neither a length nor chunks and
end with their connection.  Twice, one replica is killed (SIGKILL) while it works, and
starts again three seconds later as a new incarnation.  The rule MIXED is checked at the
callers: a success must bear the whole body of the replica.
"""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
sys.path.insert(0, str(FOLDER))

import server  # noqa: E402
import stand_ins  # noqa: E402

GATEWAYS = 3
REPLICAS = 4
SERVICE = "prasaran"
KEY = "nu6wsjnbanfqasnmgkcu"
LENGTH_S = 16.0
KILLS_S = (4.0, 9.0)
BACK_S = 3.0
PERIOD_S = 0.05


class ReplicaProcess:
    """A replica as a process, and its entry in the store."""

    def __init__(
        self, number: int, store: stand_ins.Store, record: stand_ins.Record
    ) -> None:
        self.server_id = ""
        self._number = number
        self._starts = 0
        self._store = store
        self._record = record
        self._child: subprocess.Popen[str] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._port = 0
        self._born = 0
        self._seq = 0

    async def start(self) -> None:
        """Start a new incarnation; it registers once it listens."""
        self._starts += 1
        self.server_id = f"i-{self._number}-{self._starts}"
        child = subprocess.Popen(
            [sys.executable, str(FOLDER / "server.py"), self.server_id, "0"],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        line = await asyncio.to_thread(child.stdout.readline)
        self._port = int(line.split()[1])
        self._child, self._born = child, time.time_ns() // 1_000_000
        self._reading = asyncio.create_task(self._copy_log(child))
        self.beat()

    async def _copy_log(self, child: "subprocess.Popen[str]") -> None:
        assert child.stdout is not None
        while line := await asyncio.to_thread(child.stdout.readline):
            self._record.write(self.server_id, line.strip())

    def beat(self) -> None:
        """Write the entry, as at a heartbeat."""
        if self._child is None:
            return
        self._seq += 1
        address = f"{stand_ins.LOOPBACK}:{self._port}"
        entry = stand_ins.entry(SERVICE, address, self._born, self._seq)
        self._store.put("servers", self.server_id, entry)

    def kill(self) -> None:
        """Kill the process; its entry stays until the store notices its silence."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()
            self._child = None

    def expire(self, server_id: str) -> None:
        """Remove the entry of an incarnation that is silent."""
        self._store.put("servers", server_id, None)


async def beat(replicas: list[ReplicaProcess]) -> None:
    """Write the entries at every heartbeat."""
    while True:
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)
        for each in replicas:
            each.beat()


async def crash(replica: ReplicaProcess, at_s: float, record: stand_ins.Record) -> None:
    """Kill a replica and start it again some seconds later."""
    await asyncio.sleep(at_s)
    ended = replica.server_id
    record.write("kill", ended)
    replica.kill()
    await asyncio.sleep(BACK_S)
    await replica.start()
    record.write("back as", replica.server_id)
    await asyncio.sleep(3 * stand_ins.HEARTBEAT_MS / 1_000 - BACK_S)
    replica.expire(ended)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    routes = [
        stand_ins.route("/look/", SERVICE, "idempotent", timeoutMs=1_500),
        stand_ins.route("/log/", SERVICE, "non_idempotent", timeoutMs=1_500),
    ]
    keys = {KEY: "jeye930"}
    services = [stand_ins.plain_service(SERVICE)]
    store.put("op", "config", stand_ins.configuration(7, routes, services, keys))
    replicas = [ReplicaProcess(number, store, record) for number in range(REPLICAS)]
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    tasks: list[asyncio.Task[None]] = []
    asked: list[stand_ins.Asked] = []
    try:
        for each in replicas:
            await each.start()
        for gateway in gateways:
            gateway.start()
        tasks.append(asyncio.create_task(beat(replicas)))
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(1.0)
        record.write("traffic starts")
        if has_trouble:
            for number, at_s in enumerate(KILLS_S):
                crashing = crash(replicas[number], at_s, record)
                tasks.append(asyncio.create_task(crashing))
        until_ms = stand_ins.now_ms() + LENGTH_S * 1_000
        requests = []
        while stand_ins.now_ms() < until_ms:
            number = len(asked)
            method, path = (("GET", "/look/"), ("POST", "/log/"))[number % 2]
            gateway = gateways[number % GATEWAYS]
            each_asked = stand_ins.Asked(
                f"q{number:05d}", gateway, method, stand_ins.now_ms()
            )
            asked.append(each_asked)
            sending = stand_ins.ask(
                each_asked, f"{path}{number}", KEY, limit_s=4.0, deadline_ms=1_500
            )
            requests.append(asyncio.create_task(sending))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*requests)
        await asyncio.sleep(0.3)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        for gateway in gateways:
            gateway.end()
        for each in replicas:
            each.kill()
    return judge(asked, record)


def judge(asked: list[stand_ins.Asked], record: stand_ins.Record) -> bool:
    """Return whether a success was not the whole body of the replica."""
    broken = 0
    for each in asked:
        is_success = 200 <= each.status < 300 and each.is_complete
        words = (
            f"status {each.status} body {len(each.body)} complete {each.is_complete}"
        )
        record.write("answer", each.request_id, each.method, words, each.error)
        if is_success and each.body != server.whole_body(each.request_id):
            broken += 1
            record.write("MIXED: a success without the whole body:", each.request_id)
    served = sum(each.status == 200 for each in asked)
    record.write(f"{len(asked)} requests, {served} successes, {broken} not whole")
    return broken > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
