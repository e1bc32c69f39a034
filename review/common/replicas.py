"""Stand-in of a model replica; a case says what it does with a request."""

import asyncio
import json
import time
import urllib.parse

import stand_ins

MODEL = "model-a"


def engine_service(name: str) -> stand_ins.Document:
    """Return a service of model replicas, with the figures of the site."""
    return {
        **stand_ins.plain_service(name),
        "maxConns": 1_260,
        "engine": {
            "slots": 128,
            "kvCapacityTokens": 64_400,
            "kvTokenBytes": 96_256,
            "linkMbps": 1_100_000.0,
            "maxInflight": 12,
            "models": [{"name": MODEL}],
        },
    }


class Replica:
    """A model replica: its listener, its entry and its cache events.

    Attributes
    ----------
    software : str
        Version of its software.
    events : list of list
        Cache events so far.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        store: stand_ins.Store,
        software: str = "v1",
    ) -> None:
        self.server_id = server_id
        self.software = software
        self.events: list[list[object]] = []
        self._service = service
        self._store = store
        self._born = time.time_ns() // 1_000_000
        self._seq = 0
        self._port = 0
        self._has_left = False
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and write the entry."""
        self._listener = await asyncio.start_server(self._serve, stand_ins.LOOPBACK, 0)
        self._port = self._listener.sockets[0].getsockname()[1]
        self.write_entry()

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry, as at a heartbeat, unless the replica leaves."""
        if self._has_left:
            return
        self._has_left = state != "ready"
        self._seq += 1
        entry = stand_ins.entry(
            self._service,
            f"{stand_ins.LOOPBACK}:{self._port}",
            self._born,
            self._seq,
            version=self.software,
            slots=128,
            state=state,
            stage="colocated",
            models=self.models(),
        )
        self._store.put("servers", self.server_id, entry)

    def models(self) -> list[stand_ins.Document]:
        """Return the models with the version of their weights."""
        return [{"name": MODEL, "version": 1, "adapters": []}]

    def remove_entry(self) -> None:
        """Remove the entry."""
        self._has_left = True
        self._store.put("servers", self.server_id, None)

    def stop_listening(self) -> None:
        """Accept no more connections; the open ones go on."""
        assert self._listener is not None
        self._listener.close()

    async def run(
        self, request: stand_ins.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request; return whether its connection is kept."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            is_kept = True
            while is_kept:
                request = await stand_ins.read_head(reader)
                await stand_ins.read_body(reader, request)
                path, _, query = request.first.split()[1].partition("?")
                if path == "/kv-events":
                    asked = dict(urllib.parse.parse_qsl(query))
                    await self._tell_events(request, int(asked["since"]), writer)
                elif path == "/kv-list":
                    await self._tell(
                        writer, {"held": [each[2:] for each in self.events]}
                    )
                elif self.is_refused(request):
                    refusal = {"Not-Executed": "1", "Instance-Id": self.server_id}
                    writer.write(stand_ins.encode_answer(421, refusal, b""))
                else:
                    is_kept = await self.run(request, writer)
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    def is_refused(self, request: stand_ins.Message) -> bool:
        """Return whether a request is for another replica or for other weights."""
        expected = request.headers.get("expect-instance", self.server_id)
        version = request.headers.get("expect-version", "1")
        return expected != self.server_id or version != "1"

    async def _tell(
        self, writer: asyncio.StreamWriter, document: stand_ins.Document
    ) -> None:
        document |= {"bootEpoch": self._born, "next": len(self.events) + 1}
        document["clock_ms"] = time.time_ns() // 1_000_000
        body = json.dumps(document).encode()
        writer.write(stand_ins.encode_answer(200, {}, body))
        await writer.drain()

    async def _tell_events(
        self, request: stand_ins.Message, since: int, writer: asyncio.StreamWriter
    ) -> None:
        until_ms = stand_ins.now_ms() + int(request.headers.get("wait-ms", 0))
        first = max(0, since - 1)
        while len(self.events) <= first and stand_ins.now_ms() < until_ms:
            await asyncio.sleep(0.02)
        await self._tell(writer, {"lost": False, "events": self.events[first:]})


async def beat(replicas: list[Replica]) -> None:
    """Write the entries at every heartbeat."""
    while True:
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)
        for each in tuple(replicas):
            each.write_entry()
