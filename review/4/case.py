"""Case 4: KV cache of a tenant serves others after the tenant has become isolated.

The model replicas run in this process; each has a port of its own.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import replicas  # noqa: E402
import stand_ins  # noqa: E402

SERVICE = "drafting"
TENANT_BY_KEY = {"key-of-patan": "patan", "key-of-kirtipur": "kirtipur"}
ISOLATED = "patan"
REPLICAS = 3
SHARED_PARTS = 6
EVENTS = 5
PHASE_S = 6.0
ASKS_PER_S = 20


class Replica(replicas.Replica):
    """A replica that caches the parts of the prompts that it reads.

    Attributes
    ----------
    used : list of tuple
        Id, tenant, time, part and maker of each use of a cached part.
    """

    def __init__(self, server_id: str, store: stand_ins.Store) -> None:
        super().__init__(server_id, SERVICE, store)
        self.used: list[tuple[str, str, float, str, str]] = []
        self._maker_by_part: dict[tuple[str, str], str] = {}

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Read the prompt and stream some events."""
        self._read_prompt(request.headers)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request.headers['request-id']}\r\n"
            "Server-Seal: 3e1b.07\r\n"
            "Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _read_prompt(self, headers: dict[str, str]) -> None:
        """Use the leading parts that are cached under the salt; cache the others."""
        tenant, salt = headers.get("tenant", ""), headers.get("cache-salt", "")
        is_prefix = True
        for entry in headers["prompt-prefix"].split(","):
            part, _, tokens = entry.partition(":")
            maker = self._maker_by_part.get((salt, part))
            is_prefix = is_prefix and maker is not None
            if is_prefix and maker is not None:
                use = (headers["request-id"], tenant, stand_ins.now_ms(), part, maker)
                self.used.append(use)
            elif maker is None:
                self._maker_by_part[salt, part] = tenant
                number = len(self.events) + 1
                model = replicas.MODEL
                self.events.append([number, "+", salt, part, int(tokens), model])


def make_configuration(version: int, isolated: str) -> stand_ins.Document:
    """Return a configuration in which one tenant is isolated, or none."""
    routes = [stand_ins.route("/draft/", SERVICE, "streaming", resumable=True)]
    services = [replicas.engine_service(SERVICE)]
    document = stand_ins.configuration(version, routes, services, TENANT_BY_KEY)
    for tenant in document["tenants"]:
        tenant["isolated"] = tenant["name"] == isolated
    return document


async def send_prompts(
    gateways: list[stand_ins.Gateway], asked: list[stand_ins.Asked], for_s: float
) -> None:
    """Send prompts of both tenants; they have the first parts in common."""
    running = set()
    until_ms = stand_ins.now_ms() + for_s * 1_000
    while stand_ins.now_ms() < until_ms:
        number = len(asked)
        key = list(TENANT_BY_KEY)[number % 2]
        gateway = gateways[number // 2 % len(gateways)]
        one = stand_ins.Asked(f"q-{number}", gateway, "POST", stand_ins.now_ms())
        asked.append(one)
        headers = {
            "Model": replicas.MODEL,
            "Token-Count": f"1000,{EVENTS}",
            "Prompt-Prefix": f"a{number // 2 % SHARED_PARTS}:800,f{number:06x}:200",
        }
        running.add(asyncio.create_task(stand_ins.ask(one, "/draft/x", key, headers)))
        await asyncio.sleep(1 / ASKS_PER_S)
    await asyncio.wait(running)


async def case(record: stand_ins.Record, folder: str, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    store = stand_ins.Store()
    await store.start()
    store.put("op", "config", make_configuration(1, ""))
    present: list[Replica] = [Replica(f"i-{n + 1}", store) for n in range(REPLICAS)]
    gateways = stand_ins.make_gateways(2, store.port, folder)
    asked: list[stand_ins.Asked] = []
    beats = asyncio.create_task(replicas.beat([*present]))
    try:
        for each in present:
            await each.start()
        for gateway in gateways:
            gateway.start()
        if not await stand_ins.wait_ready(gateways):
            raise RuntimeError("gateways not ready")
        await asyncio.sleep(3.0)
        await send_prompts(gateways, asked, PHASE_S)
        if has_trouble:
            store.put("op", "config", make_configuration(2, ISOLATED))
            record.write("configuration 2 accepted:", ISOLATED, "is isolated")
        else:
            store.put("op", "config", make_configuration(2, ""))
            record.write("configuration 2 accepted: no tenant is isolated")
        from_ms = stand_ins.now_ms() + stand_ins.CONFIG_APPLY_MS
        await asyncio.sleep(stand_ins.CONFIG_APPLY_MS / 1_000 + 1.0)
        await send_prompts(gateways, asked, PHASE_S)
    finally:
        beats.cancel()
        for gateway in gateways:
            gateway.end()
    return judge(record, present, asked, from_ms if has_trouble else None)


def judge(
    record: stand_ins.Record,
    present: list[Replica],
    asked: list[stand_ins.Asked],
    from_ms: float | None,
) -> bool:
    """Return whether a cached part crossed the wall of an isolated tenant."""
    for one in asked:
        record.write(one.request_id, one.gateway.name, f"status {one.status}")
    crossed = 0
    for replica in present:
        for request_id, tenant, at_ms, part, maker in replica.used:
            is_crossed = (
                from_ms is not None
                and at_ms >= from_ms
                and tenant != maker
                and ISOLATED in (tenant, maker)
            )
            crossed += is_crossed
            record.write(
                request_id,
                f"of {tenant} used part {part} made by {maker} at {replica.server_id}",
                *(["WALL"] if is_crossed else []),
            )
    answered = sum(one.status == 200 and one.is_complete for one in asked)
    record.write(
        f"{len(asked)} sent, {answered} answered, {crossed} uses across a wall"
    )
    print(f"{len(asked)} sent, {answered} answered, {crossed} uses across a wall")
    if answered < len(asked) / 2:
        raise RuntimeError("too few requests were answered")
    return crossed > 0


if __name__ == "__main__":
    stand_ins.run_case(case, FOLDER)
