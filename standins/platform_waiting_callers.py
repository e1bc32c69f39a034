"""Callers that keep connections to gateways open without a whole request.

Each of them opens a connection, does what its kind says, and stays until the gateway
closes the connection or the stand-in is stopped.  They run in a thread of their own.
"""

import asyncio
import contextlib
import enum
import threading
from typing import Final

from standins import platform_fleet

TICK_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 2.0
SLOW_READ_BYTES: Final = 512
"""Bytes that a slow reader takes in each `TICK_S`."""


class Kind(enum.Enum):
    """What a caller does on its connection."""

    SILENT = "sends nothing"
    KEPT = "stays after an answer"
    HALF_HEAD = "stops inside a head"
    HALF_BODY = "stops inside a body"
    SLOW_READER = "reads its answer slowly"


class WaitingCallers:
    """Callers that hold connections; a context manager.

    Attributes
    ----------
    opened, closed : int
        Connections opened so far, and those that gateways have closed.
    """

    def __init__(self, fleet: platform_fleet.PlatformFleet) -> None:
        self._fleet = fleet
        self._wanted: list[tuple[str, Kind]] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0
        self.closed = 0

    def __enter__(self) -> "WaitingCallers":
        self._thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self._stopped.set()
        self._thread.join()

    def open(self, gateway: str, kind: Kind, count: int) -> None:
        """Have `count` callers of a kind connect to a gateway."""
        with self._lock:
            self._wanted += [(gateway, kind)] * count

    async def _run(self) -> None:
        while not self._stopped.is_set():
            with self._lock:
                wanted, self._wanted = self._wanted, []
            for gateway, kind in wanted:
                task = asyncio.ensure_future(self._hold(gateway, kind))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(0)
            await asyncio.sleep(TICK_S)
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def _hold(self, gateway: str, kind: Kind) -> None:
        ip = self._fleet.ip_by_gateway[gateway]
        port = self._fleet.callers_port_by_gateway[gateway]
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, port, limit=SLOW_READ_BYTES),
                CONNECT_TIMEOUT_S,
            )
            self.opened += 1
            try:
                writer.write(_sent(kind, f"w-{self.opened}"))
                while await reader.read(SLOW_READ_BYTES):
                    if kind is Kind.SLOW_READER:
                        await asyncio.sleep(TICK_S)
                self.closed += 1
            finally:
                writer.close()


def _sent(kind: Kind, request_id: str) -> bytes:
    """Return what a caller of a kind sends."""
    if kind is Kind.SILENT:
        return b""
    headers = platform_fleet.caller_headers(request_id) | {"Content-Length": "10"}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["POST /look/ HTTP/1.1", *lines, "", ""]).encode()
    if kind is Kind.HALF_HEAD:
        return head[:-10]
    if kind is Kind.HALF_BODY:
        return head + b"x"
    return head + b"x" * 10
