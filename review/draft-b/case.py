"""A new version of the configuration isolates a tenant that has shared its cache.

Two model replicas serve two tenants through three gateways.  Tenant `guest` asks about
some guides (shared parts of prompts), and the replicas keep the KV cache.  Then the
operator writes a version in which `guest` is `isolated`.  Later than `configApplyMs`
after the acknowledgement, tenant `desk` asks about the same guides, then `guest` again.
The rule WALL is checked at the replicas: which tenant made the cache that a request
uses.
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
SERVICE = "lekhak"
KEYS = {"key-of-guest-1": "guest", "key-of-desk-1": "desk"}
KEY_OF = {tenant: key for key, tenant in KEYS.items()}
GUIDES = [f"{0x5C1E07A2 + number:08x}" for number in range(6)]
ROUNDS = 4
WAIT_AFTER_CHANGE_S = 4.0


@dataclasses.dataclass
class Run:
    """A run at a replica, with the makers of the cached parts that it used."""

    request_id: str
    tenant: str
    at_ms: float
    used: list[tuple[str, str]]


class CachingReplica(replicas.Replica):
    """A model replica that keeps parts under their salt, as the page says.

    A cached part is used if all parts before it are cached, too.  Fetches from another
    replica are done for the parts for which `Kv-Fetch` names its address.
    """

    def __init__(
        self,
        server_id: str,
        store: stand_ins.Store,
        record: stand_ins.Record,
        runs: list[Run],
        fleet: list["CachingReplica"],
    ) -> None:
        super().__init__(server_id, SERVICE, store)
        self._record = record
        self._runs = runs
        self._fleet = fleet
        self.maker_by_part: dict[tuple[str, str], str] = {}

    @property
    def address(self) -> str:
        """Address of the replica."""
        return f"{stand_ins.LOOPBACK}:{self._port}"

    def _fetch(self, sources: list[str], index: int, key: tuple[str, str]) -> None:
        source = sources[index] if len(sources) > 1 else sources[0]
        for other in self._fleet:
            if other.address == source.partition("/")[0] and other is not self:
                maker = other.maker_by_part.get(key)
                if maker is not None:
                    self.maker_by_part.setdefault(key, maker)

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Read the prompt, as far as it is not cached, and write two events."""
        headers = request.headers
        request_id, tenant = headers["request-id"], headers.get("tenant", "")
        salt = headers.get("cache-salt", "")
        entries = [each for each in headers["prompt-prefix"].split(",") if each]
        parts = [each.strip().partition(":")[0] for each in entries]
        sources = [each.strip() for each in headers.get("kv-fetch", "-").split(",")]
        used: list[tuple[str, str]] = []
        is_cached = True
        for index, part in enumerate(parts):
            key = (salt, part)
            if key not in self.maker_by_part:
                self._fetch(sources, index if index < len(sources) else -1, key)
            maker = self.maker_by_part.get(key)
            if maker is not None and is_cached:
                used.append((part, maker))
                continue
            is_cached = False
            self.maker_by_part[key] = tenant
            tokens = int(entries[index].partition(":")[2])
            number = len(self.events) + 1
            self.events.append([number, "+", salt, part, tokens, replicas.MODEL])
        self._runs.append(Run(request_id, tenant, stand_ins.now_ms(), used))
        self._record.write("run", self.server_id, request_id, tenant, "uses", used)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request_id}",
            f"Server-Seal: 3e1b.07.{request_id}",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in (1, 2):
            await asyncio.sleep(0.03)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def configuration(version: int, isolated: tuple[str, ...]) -> stand_ins.Document:
    """Return a version of the configuration in which some tenants are isolated."""
    routes = [
        stand_ins.route("/draft/", SERVICE, "streaming", sticky=True, maxAttempts=1)
    ]
    services = [replicas.engine_service(SERVICE)]
    document = stand_ins.configuration(version, routes, services, KEYS)
    for tenant in document["tenants"]:
        tenant["isolated"] = tenant["name"] in isolated
    return document


class Callers:
    """Sends the requests of the tenants to the gateways in turn."""

    def __init__(self, gateways: list[stand_ins.Gateway]) -> None:
        self._gateways = gateways
        self.asked: list[tuple[stand_ins.Asked, str]] = []

    async def ask_all(self, tenant: str) -> None:
        """Ask about every guide, with an own part at the end of each prompt."""
        for _ in range(ROUNDS):
            for guide in GUIDES:
                number = len(self.asked)
                gateway = self._gateways[number % len(self._gateways)]
                asked = stand_ins.Asked(
                    f"q{number:05d}", gateway, "POST", stand_ins.now_ms()
                )
                self.asked.append((asked, tenant))
                own = f"{0xE4402000 + number:08x}"
                headers = {
                    "Model": replicas.MODEL,
                    "Token-Count": "1050,20",
                    "Prompt-Prefix": f"{guide}:800,{own}:250",
                }
                await stand_ins.ask(asked, "/draft/2f", KEY_OF[tenant], headers)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    store.put("op", "config", configuration(7, ()))
    store.put(
        "op", f"version/{replicas.MODEL}", {"model": replicas.MODEL, "version": 1}
    )
    runs: list[Run] = []
    fleet: list[CachingReplica] = []
    for number in range(2):
        fleet.append(CachingReplica(f"i-{number}", store, record, runs, fleet))
    gateways = stand_ins.make_gateways(GATEWAYS, store.port, folder)
    beating: asyncio.Task[None] | None = None
    isolated_from_ms: float | None = None
    callers = Callers(gateways)
    try:
        for each in fleet:
            await each.start()
        for gateway in gateways:
            gateway.start()
        beating = asyncio.create_task(replicas.beat(list(fleet)))
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("the gateways are not ready")
        await asyncio.sleep(2.0)
        await callers.ask_all("guest")
        await asyncio.sleep(1.0)
        if has_trouble:
            store.put("op", "config", configuration(9, ("guest",)))
            isolated_from_ms = stand_ins.now_ms() + stand_ins.CONFIG_APPLY_MS
            record.write("version 9 acknowledged: guest is isolated")
        await asyncio.sleep(WAIT_AFTER_CHANGE_S)
        await callers.ask_all("desk")
        await callers.ask_all("guest")
    finally:
        if beating is not None:
            beating.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await beating
        for gateway in gateways:
            gateway.end()
    return judge(record, callers.asked, runs, isolated_from_ms)


def judge(
    record: stand_ins.Record,
    all_asked: list[tuple[stand_ins.Asked, str]],
    runs: list[Run],
    isolated_from_ms: float | None,
) -> bool:
    """Return whether a request used cache across the wall around `guest`.

    Only requests count that were sent later than `configApplyMs` after the
    acknowledgement of the version that isolates it.
    """
    sent_ms_by_id = {asked.request_id: asked.sent_ms for asked, _ in all_asked}
    for asked, tenant in all_asked:
        record.write("answer", asked.request_id, tenant, asked.status, asked.error)
    broken = 0
    for run in runs:
        foreign = [each for each in run.used if each[1] != run.tenant]
        is_late = (
            isolated_from_ms is not None
            and sent_ms_by_id[run.request_id] > isolated_from_ms
        )
        if foreign and is_late and "guest" in (run.tenant, *(m for _, m in foreign)):
            broken += 1
            record.write(
                "WALL:", run.request_id, "of", run.tenant, "used parts of", foreign
            )
    served = sum(asked.status == 200 for asked, _ in all_asked)
    record.write(
        f"{len(all_asked)} requests, {served} served, {broken} across the wall"
    )
    if not served:
        raise RuntimeError("no request was served")
    return broken > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
