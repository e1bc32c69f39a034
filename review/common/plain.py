"""Stand-in of a plain replica."""

import asyncio
import time

import stand_ins


class PlainReplica:
    """A plain replica: its listener and its entry.

    Attributes
    ----------
    runs : set of str
        Ids of the requests that have run, at all replicas.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        store: stand_ins.Store,
        runs: set[str],
        work_s: float,
    ) -> None:
        self.server_id = server_id
        self.runs = runs
        self._service = service
        self._store = store
        self._work_s = work_s
        self._born = time.time_ns() // 1_000_000
        self._seq = 0
        self._port = 0

    async def start(self) -> None:
        """Listen and write the entry."""
        listener = await asyncio.start_server(self._serve, stand_ins.LOOPBACK, 0)
        self._port = listener.sockets[0].getsockname()[1]
        self.beat()

    def beat(self) -> None:
        """Write the entry, as at a heartbeat."""
        self._seq += 1
        address = f"{stand_ins.LOOPBACK}:{self._port}"
        entry = stand_ins.entry(self._service, address, self._born, self._seq)
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
        self.runs.add(request_id)
        await asyncio.sleep(self._work_s)
        headers = {"Request-Id": request_id, "Server-Seal": f"3e1b.07.{request_id}"}
        return stand_ins.encode_answer(200, headers, request_id.encode())


async def beat(fleet: list[PlainReplica]) -> None:
    """Write the entries at every heartbeat."""
    while True:
        await asyncio.sleep(stand_ins.HEARTBEAT_MS / 1_000)
        for each in fleet:
            each.beat()
