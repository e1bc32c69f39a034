"""Stand-ins of model replicas and of a managed store of KV cache.

Memory is not moved: a transfer takes the time that its bytes take, and its end notes
whether the part was there whole all the while.  Replicas and stores share this process.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import time

import stand_ins

TOKEN_BYTES = 163_840
STORE_LINK_MBPS = 230_000.0
STORE_FIRST_MS = 6.0
STORE_TOKENS = 1_441_518
ENGINE_TOKENS = 51_066
ENGINE_LINK_MBPS = 280_000.0
TOKENS_PER_MS = 51.1
BASE_S = 0.047
STEP_S = 0.005
LOAD_S = 0.57
SLOTS = 48
"""Figures of the deployment `lsbt-lakes-grown`; the store is its `prompt-vault-b`."""

PartKey = tuple[str, str]


class Events:
    """Changes of a cache and the call that tells them."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._events: list[list[object]] = []
        self._changed = asyncio.Event()

    def add(self, sign: str, key: PartKey, tokens: int, model: str) -> None:
        """Add an event."""
        number = len(self._events) + 1
        self._events.append([number, sign, *key, tokens, model])
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self, request: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer `GET /kv-events`."""
        since = int(request.query.get("since", "0"))
        wait_s = min(1_000, int(request.headers.get("wait-ms", "0"))) / 1000
        if len(self._events) <= since:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        document = {
            "bootEpoch": self._epoch,
            "next": len(self._events),
            "lost": False,
            "clock_ms": time.time_ns() // 1_000_000,
            "events": self._events[since:],
        }
        stand_ins.send_json(writer, 200, document)


@dataclasses.dataclass
class Part:
    """A part of a prompt that a cache has.

    Attributes
    ----------
    maker : str
        Request and tenant that made it.
    """

    tokens: int
    model: str
    maker: str
    is_whole: bool = True


class KvStore(stand_ins.HttpStandIn):
    """A store with `managed`: it frees only what it is told to free."""

    def __init__(self, record: stand_ins.Record, name: str) -> None:
        super().__init__()
        self.name, self.record = name, record
        self.parts: dict[PartKey, Part] = {}
        self.free_calls = 0
        self._epoch = 77_120
        self._events = Events(self._epoch)

    async def start(self) -> None:
        """Begin to listen."""
        await self.listen(self._handle)

    def service(self) -> stand_ins.Document:
        """Return its entry among the services of the configuration."""
        return {
            "name": self.name,
            "kvStoreAddr": self.address,
            "zone": "patan",
            "kvCapacityTokens": STORE_TOKENS,
            "linkMbps": STORE_LINK_MBPS,
            "first_ms": STORE_FIRST_MS,
            "maxInflight": 12,
            "managed": True,
        }

    def reserve(self, key: PartKey, part: Part) -> Part | None:
        """Reserve room for a part that is saved; None if it has it or is full."""
        used = sum(each.tokens for each in self.parts.values())
        if key in self.parts or used + part.tokens > STORE_TOKENS:
            return None
        saved = dataclasses.replace(part, is_whole=False)
        self.parts[key] = saved
        return saved

    def complete(self, key: PartKey, saved: Part) -> None:
        """Complete a part."""
        if self.parts.get(key) is saved:
            saved.is_whole = True
            self._events.add("+", key, saved.tokens, saved.model)

    async def _handle(
        self, request: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> None:
        if request.path == "/kv-events":
            await self._events.answer(request, writer)
        elif request.path == "/kv-free":
            call = json.loads(request.body)
            if call.get("bootEpoch", self._epoch) != self._epoch:
                stand_ins.send_json(writer, 409, {})
                return
            self.free_calls += 1
            freed = 0
            for salt, part_id in call["parts"]:
                part = self.parts.pop((salt, part_id), None)
                if part is not None:
                    freed += 1
                    self._events.add("-", (salt, part_id), 0, part.model)
                    self.record.write(f"{self.name} frees {part_id} of salt {salt}")
            stand_ins.send_json(writer, 200, {"freed": freed})
        else:
            stand_ins.send(writer, 404)


class Engine(stand_ins.HttpStandIn):
    """A model replica.

    Attributes
    ----------
    on_use : list
        For each part that a request took from a cache: request, tenant, salt, part, its
        maker, and from where.
    broken : list of str
        Fetches that took what was not whole, or was freed before their end.
    """

    def __init__(
        self,
        store: stand_ins.Store,
        kv_store: KvStore | None,
        record: stand_ins.Record,
        name: str,
        models: tuple[str, ...],
    ) -> None:
        super().__init__()
        self.name, self.record = name, record
        self._store, self._kv_store = store, kv_store
        self.versions = dict.fromkeys(models, 1)
        self.uses: list[tuple[str, str, str, str, str, str]] = []
        self.broken: list[str] = []
        self.runs: list[str] = []
        self._cache: collections.OrderedDict[PartKey, Part] = collections.OrderedDict()
        self._loading: set[str] = set()
        self._link = asyncio.Lock()
        self._born = time.time_ns() // 1_000_000
        self._events = Events(self._born % 100_000)
        self._seq = self._orders = self._active = 0

    async def start(self) -> None:
        """Begin to listen and to write heartbeats."""
        await self.listen(self._handle)
        self._beats = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": "lekhak",
                "address": self.address,
                "zone": "patan",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._seq,
                "born": self._born,
                "stage": "colocated",
                "models": self._models(),
            }
            self._store.put("servers", self.name, entry)
            await asyncio.sleep(stand_ins.HEARTBEAT_S)

    def _models(self) -> list[stand_ins.Document]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def _handle(
        self, request: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        if request.path == "/kv-events":
            await self._events.answer(request, writer)
        elif request.path == "/kv-list":
            held = [
                [*key, part.tokens, part.model] for key, part in self._cache.items()
            ]
            document = {"bootEpoch": self._born % 100_000, "held": held}
            stand_ins.send_json(writer, 200, {**document, "next": 0})
        elif headers.get("expect-instance", self.name) != self.name:
            self._refuse(writer, 421)
        elif request.path == "/report":
            self._report(writer)
        elif request.path == "/order":
            self._order(json.loads(request.body), writer)
        else:
            await self._run(request, writer)

    def _refuse(self, writer: asyncio.StreamWriter, status: int) -> None:
        stand_ins.send(
            writer, status, b"", {"Not-Executed": "1", "Instance-Id": self.name}
        )

    def _report(self, writer: asyncio.StreamWriter) -> None:
        document = {
            "stage": "colocated",
            "models": self._models(),
            "busy": bool(self._loading),
            "seq": self._orders,
            "queued": 0,
            "active": self._active,
            "kvUsed": 0,
            "kvTotal": ENGINE_TOKENS,
            "handles": 0,
        }
        stand_ins.send_json(writer, 200, document)

    def _order(self, order: stand_ins.Document, writer: asyncio.StreamWriter) -> None:
        if self._loading or order.get("expected", self._orders) != self._orders:
            stand_ins.send_json(writer, 409, {})
            return
        model = order["model"]
        if order["version"] <= self.versions[model]:
            stand_ins.send_json(writer, 200, {})
            return
        self._orders += 1
        self._loading.add(model)
        asyncio.ensure_future(self._load(model, order["version"]))
        stand_ins.send_json(writer, 202, {})

    async def _load(self, model: str, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.versions[model] = version
        for key, part in tuple(self._cache.items()):
            if part.model == model:
                self._drop(key)
        self._loading.discard(model)
        self.record.write(f"{self.name} has loaded version {version} of {model}")

    def _drop(self, key: PartKey) -> None:
        part = self._cache.pop(key)
        self._events.add("-", key, 0, part.model)

    def _keep(self, key: PartKey, part: Part) -> None:
        self._cache[key] = part
        self._events.add("+", key, part.tokens, part.model)
        while sum(each.tokens for each in self._cache.values()) > ENGINE_TOKENS:
            self._drop(next(iter(self._cache)))

    async def _run(
        self, request: stand_ins.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        model = headers["model"]
        expected = headers.get("expect-version")
        if expected is not None and int(expected) != self.versions[model]:
            self._refuse(writer, 421)
            return
        if model in self._loading or self._active >= SLOTS:
            self._refuse(writer, 503)
            return
        request_id = headers["request-id"]
        self.runs.append(request_id)
        self._active += 1
        try:
            await asyncio.sleep(BASE_S)
            await self._read_prompt(headers)
            await self._stream(headers, writer)
        finally:
            self._active -= 1

    async def _read_prompt(self, headers: dict[str, str]) -> None:
        """Take the parts of a prompt from caches, or read them."""
        salt = headers.get("cache-salt", "")
        entries = [each.split(":") for each in headers["prompt-prefix"].split(",")]
        fetch = headers.get("kv-fetch", "-").split(",")
        save = headers.get("kv-save", "-").split(",")
        maker = f"{headers['request-id']} of {headers.get('tenant', '-')}"
        is_cached = True
        for index, (part_id, text) in enumerate(entries):
            key = (salt, part_id)
            part = Part(int(text), headers["model"], maker)
            if is_cached and key in self._cache:
                self._cache.move_to_end(key)
                self._use(headers, key, self._cache[key], self.name)
                continue
            source = fetch[min(index, len(fetch) - 1)].partition("/")[0]
            fetched = None
            if is_cached and self._kv_store and source == self._kv_store.address:
                fetched = await self._fetch(headers, key, self._kv_store)
            if fetched is not None:
                self._use(headers, key, fetched, self._kv_store.name)
                part = fetched
            else:
                is_cached = False
                await asyncio.sleep(part.tokens / TOKENS_PER_MS / 1000)
            self._keep(key, dataclasses.replace(part))
            to = save[min(index, len(save) - 1)]
            if self._kv_store and to == self._kv_store.address:
                asyncio.ensure_future(self._save(key, part, self._kv_store))

    def _use(
        self, headers: dict[str, str], key: PartKey, part: Part, source: str
    ) -> None:
        use = (headers["request-id"], headers.get("tenant", "-"), *key)
        self.uses.append((*use, part.maker, source))

    async def _fetch(
        self, headers: dict[str, str], key: PartKey, kv_store: KvStore
    ) -> Part | None:
        """Fetch a part; None for a miss, or if the fetch is thrown away."""
        async with self._link:
            held = kv_store.parts.get(key)
            if held is None:
                await asyncio.sleep(0.001)
                return None
            was_whole = held.is_whole
            await asyncio.sleep(_transfer_s(held.tokens))
        until = headers.get("kv-until")
        if until is not None and time.time_ns() // 1_000_000 > int(until):
            return None
        if not was_whole or kv_store.parts.get(key) is not held:
            how = "was freed before its end" if was_whole else "began on a partial part"
            text = f"{headers['request-id']}: fetch of {key[1]}, salt {key[0]}, {how}"
            self.broken.append(text)
            self.record.write(f"BROKEN {text}")
        return held

    async def _save(self, key: PartKey, part: Part, kv_store: KvStore) -> None:
        saved = kv_store.reserve(key, part)
        if saved is not None:
            await asyncio.sleep(_transfer_s(part.tokens))
            kv_store.complete(key, saved)

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        count = int(headers["token-count"].partition(",")[2])
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {headers['request-id']}",
            f"Server-Seal: {stand_ins.SEAL}",
            f"Weight-Versions: {self.versions[headers['model']]}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: t{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(STEP_S)
        writer.write(b"0\r\n\r\n")


def _transfer_s(tokens: int) -> float:
    bits = tokens * TOKEN_BYTES * 8
    return STORE_FIRST_MS / 1000 + bits / (STORE_LINK_MBPS * 1e6)


def engine_service(models: tuple[str, ...]) -> stand_ins.Document:
    """Return the entry of the model replicas among the services."""
    return {
        "name": "lekhak",
        "healthPath": "/health",
        "maxConns": 1_260,
        "engine": {
            "slots": SLOTS,
            "kvCapacityTokens": ENGINE_TOKENS,
            "kvTokenBytes": TOKEN_BYTES,
            "linkMbps": ENGINE_LINK_MBPS,
            "maxInflight": 12,
            "models": [{"name": each} for each in models],
        },
    }
