"""Stand-ins of the platform for the cases: store, backend servers, callers, balancer.

They use the standard library only.  The gateways are the project's own, started with
the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
LOOPBACK = "127.0.0.1"
HEARTBEAT_MS = 1_200
DRAIN_MS = 2_000
CONTACT_MS = 3_000
CONFIG_APPLY_MS = 2_000
GRACE_S = 8

Document = dict[str, Any]


def now_ms() -> float:
    """Return the steady time in milliseconds, the same for all processes."""
    return time.monotonic() * 1_000


def free_port(*ips: str) -> int:
    """Return a port that is free on all of some addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port = int(first.getsockname()[1])
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
                for ip in ips:
                    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    stack.enter_context(datagrams).bind((ip, port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run to a file, with times in milliseconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_ms = now_ms()

    def write(self, *words: object) -> None:
        """Write one line."""
        at_ms = now_ms() - self._start_ms
        print(f"{at_ms:9.1f}", *words, file=self._file, flush=True)


@dataclasses.dataclass
class Message:
    """A request or an answer."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message; without its end the message is not complete."""
    parts: list[bytes] = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline() or b"bad", 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            left = int(message.headers.get("content-length", 0))
            while left:
                part = await reader.read(left)
                if not part:
                    raise EOFError
                parts.append(part)
                left -= len(part)
    except (EOFError, OSError, ValueError):
        message.is_complete = False
    message.body = b"".join(parts)


def encode_answer(status: int, headers: Document, body: bytes) -> bytes:
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, transactions, reads and the feed of changes.

    Attributes
    ----------
    is_silent : bool
        Whether it is down: the calls that arrive now are never answered.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.port = 0
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, document: Document | None) -> None:
        """Write a row as the operator or a backend server does; None removes it."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._version += 1
        self._rows[table, "", key] = (value, self._version)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                method, target, _ = request.first.split()
                path, _, query = target.partition("?")
                asked = dict(urllib.parse.parse_qsl(query))
                status, document = 404, {}
                if self.is_silent:
                    await reader.read()
                    return
                if path == "/rows-tx":
                    status, document = self._transact(json.loads(request.body))
                elif path == "/rows-get":
                    status, document = self._get(asked)
                elif path == "/rows-feed":
                    status, document = await self._feed(asked)
                if self.is_silent:
                    await reader.read()
                    return
                document["nowMs"] = int(now_ms())
                kind = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, kind, json.dumps(document).encode()))
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    def _document(self, address: tuple[str, str, str]) -> Document:
        value, version = self._rows[address]
        table, part, key = address
        row: Document = {"table": table, "part": part, "key": key}
        row |= {"rowVersion": version}
        row |= {"tombstone": True} if value is None else {"value": value}
        return row

    def _transact(self, call: Document) -> tuple[int, Document]:
        expected = call.get("expected") or []
        addresses = [(each["table"], each["part"], each["key"]) for each in expected]
        for each, address in zip(expected, addresses, strict=True):
            value, version = self._rows.get(address, (None, 0))
            if (0 if value is None else version) != each["rowVersion"]:
                present = [a for a in addresses if self._rows.get(a, (None, 0))[0]]
                rows = [self._document(a) for a in present]
                return 412, {"rows": rows, "rowVersion": self._version}
        self._version += 1
        for each in call.get("put") or []:
            address = (each["table"], each["part"], each["key"])
            self._rows[address] = (each["value"], self._version)
        for each in call.get("remove") or []:
            address = (each["table"], each["part"], each["key"])
            self._rows[address] = (None, self._version)
        self._wake()
        return 200, {"rowVersion": self._version}

    def _get(self, asked: Document) -> tuple[int, Document]:
        found = sorted(
            address
            for address, (value, _) in self._rows.items()
            if address[:2] == (asked["table"], asked.get("part", ""))
            and value is not None
            and address[2] >= asked.get("from", "")
        )
        rows = [self._document(each) for each in found[:500]]
        more = len(found) > 500
        return 200, {"rows": rows, "hasMore": more, "rowVersion": self._version}

    async def _feed(self, asked: Document) -> tuple[int, Document]:
        after = int(asked["after"])
        until_ms = now_ms() + int(asked.get("waitMs", 0))
        while True:
            found = sorted(
                (version, address)
                for address, (_, version) in self._rows.items()
                if address[0] == asked["table"] and version > after
            )
            left_ms = until_ms - now_ms()
            if found or left_ms <= 0:
                rows = [self._document(address) for _, address in found]
                return 200, {"rows": rows, "rowVersion": self._version}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_ms / 1_000)


def route(prefix: str, service: str, kind: str, **more: Any) -> Document:
    """Return a route of the configuration; `more` adds or replaces fields."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **more,
    }


def configuration(
    version: int, routes: list[Document], services: list[Document], keys: Document
) -> Document:
    """Return a configuration; `keys` gives each tenant's name by its key."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": name, "apiKeys": [key], "isolated": False}
            for key, name in keys.items()
        ],
    }


def plain_service(name: str) -> Document:
    """Return a service of plain backend servers."""
    return {"name": name, "healthPath": "/health", "maxConns": 220}


def entry(service: str, address: str, born: int, seq: int, **more: Any) -> Document:
    """Return the entry of a backend server."""
    return {
        "service": service,
        "address": address,
        "zone": "patan",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": seq,
        "born": born,
        **more,
    }


def _limiter(max_descriptors: int | None) -> Callable[[], None] | None:
    """Return what sets the limit of open files in a process that starts."""
    if max_descriptors is None:
        return None
    limit = (max_descriptors, max_descriptors)
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit)


class Gateway:
    """A gateway process on a loopback address of its own."""

    def __init__(self, name: str, ip: str, settings: Document, folder: str) -> None:
        self.name = name
        self.ip = ip
        self.port = int(settings["listen"]["frontend"].rpartition(":")[2])
        self.ready_port = int(settings["listen"]["readiness"].rpartition(":")[2])
        self._folder = pathlib.Path(folder)
        self._path = self._folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self._child: subprocess.Popen[bytes] | None = None
        self.disturbances_ms: list[float] = []
        """Times of the starts of the process, and of the signals to it."""

    def start(self, max_descriptors: int | None = None) -> None:
        """Start the process with the command of the deploy file.

        Parameters
        ----------
        max_descriptors : int or None
            Limit of its open files and sockets; None for that of this process.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "QUINCECRANK_CONFIG": str(self._path),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._child = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_limiter(max_descriptors),
            )
        self.disturbances_ms.append(now_ms())

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._child is not None
        self.disturbances_ms.append(now_ms())
        with contextlib.suppress(ProcessLookupError):
            self._child.send_signal(number)

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._child is not None
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._child is not None and self._child.poll() is None

    async def wait_end(self, limit_s: float) -> None:
        """Wait for the end of the process; kill it after a limit."""
        until_ms = now_ms() + limit_s * 1_000
        while self.is_running and now_ms() < until_ms:
            await asyncio.sleep(0.02)
        if self.is_running:
            self.signal(signal.SIGKILL)

    def end(self) -> None:
        """Kill the process if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.kill()
            self._child.wait()

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_head(reader)
                writer.close()
                return answer.status == 200
        except (TimeoutError, EOFError, OSError):
            return False


def make_gateways(count: int, store_port: int, folder: str) -> list[Gateway]:
    """Return gateways with settings as DEPLOY.md describes them."""
    ips = [f"127.0.0.{number + 2}" for number in range(count)]
    ports = [free_port(*ips) for _ in range(2)]
    names = [f"front-{number + 1}" for number in range(count)]
    gateways = []
    for name, ip in zip(names, ips, strict=True):
        settings = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": ip,
            "zone": "patan",
            "region": "bagmati",
            "zones": {"patan": "bagmati"},
            "listen": {
                "frontend": f"{ip}:{free_port(ip)}",
                "readiness": f"{ip}:{free_port(ip)}",
                "controlPlane": f"{ip}:{free_port(ip)}",
            },
            "internalPorts": ports,
            "seedNodes": [f"{each}:1" for each in ips[:3]],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuShare": 0.559,
                "cpuCores": 1,
                "memoryMb": 222,
                "maxFds": 1_535,
                "linkMbps": 350.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryKind": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": {
                "contactMs": CONTACT_MS,
                "drainMs": DRAIN_MS,
                "graceS": GRACE_S,
                "lossSlackMs": 200,
                "configApplyMs": CONFIG_APPLY_MS,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetMinRetries": 116,
                "leaseMs": 3_000,
                "thawMs": 300,
                "versionMs": 8_000,
                "versionAllMs": 11_000,
            },
            "platformSettings": {
                "address": f"{LOOPBACK}:{store_port}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2_000,
                "rowBytes": 65_536,
                "historyS": 20,
            },
        }
        gateways.append(Gateway(name, ip, settings, folder))
    return gateways


async def wait_ready(gateways: list[Gateway], limit_s: float = 30.0) -> bool:
    """Wait until all gateways are ready; return whether they are."""
    until_ms = now_ms() + limit_s * 1_000
    while now_ms() < until_ms:
        if all([await each.is_ready() for each in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


@dataclasses.dataclass
class Asked:
    """A request of a caller, and what became of it; `status` 0 stands for no answer."""

    request_id: str
    gateway: Gateway
    method: str
    sent_ms: float
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    is_complete: bool = False
    error: str = ""


async def ask(
    asked: Asked,
    path: str,
    key: str,
    headers: Document | None = None,
    limit_s: float = 8.0,
    deadline_ms: int = 5_000,
) -> None:
    """Send a request on a new connection and read its answer."""
    body = f"prompt {asked.request_id} ".encode().ljust(300, b"b")
    body = body if asked.method == "POST" else b""
    lines = [
        f"{asked.method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {asked.request_id}",
        f"Authorization: Token {key}",
        f"Deadline-Ms: {deadline_ms}",
        *[f"{name}: {value}" for name, value in (headers or {}).items()],
        *([f"Content-Length: {len(body)}"] if body else []),
    ]
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                asked.gateway.ip, asked.gateway.port
            )
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                answer = await read_head(reader)
                await read_body(reader, answer)
                asked.status, asked.body = answer.status, answer.body
                asked.headers, asked.is_complete = answer.headers, answer.is_complete
            finally:
                writer.close()
    except (TimeoutError, EOFError, OSError) as error:
        asked.error = repr(error)


Case = Callable[[Record, str, bool], Awaitable[bool]]


def run_case(case: Case, folder: pathlib.Path, limit_s: float = 110.0) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Parameters
    ----------
    case : callable
        Gets the record, a temporary folder and whether to make the disruption;
        returns whether the rule was broken.
    """
    import tempfile

    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    status = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(
                asyncio.wait_for(case(record, temporary, has_trouble), limit_s)
            )
            status = 1 if is_broken else 0
    except Exception as error:
        record.write("case could not run:", repr(error))
        print(f"case could not run: {error!r}", file=sys.stderr)
    record.write("exit", status)
    os._exit(status)
