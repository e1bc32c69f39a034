"""Runs a fleet of gateways on one machine, with stand-ins of the platform.

The gateways' peer and metrics ports are the same on all machines of a fleet, so each
gateway gets a loopback address of its own.
"""

import base64
import contextlib
import http.client
import json
import pathlib
import random
import socket
import types
import urllib.request
from collections.abc import Mapping
from typing import Any, Final

from standins import launcher

HOST: Final = "desk.example"
KEY: Final = "key-of-patan"
MODEL: Final = "model-a"
SHARED_PORTS: Final = (20_000, 32_000)
"""Range of the ports that all gateways of a fleet have on their own addresses."""

Document = dict[str, Any]


def free_port(ip: str) -> int:
    """Return a TCP port that is free on `ip` at the time of the call."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def free_shared_port() -> int:
    """Return a TCP port that is free on all addresses at the time of the call.

    It lies outside the range from which the system takes ports of other sockets, so
    that it stays free on each address of a fleet until its processes start.
    """
    while True:
        port = random.randrange(*SHARED_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("", port))
            return port


def call(url: str, body: bytes | None = None) -> bytes:
    """Call a stand-in, by POST if there is a body; return the answer's body."""
    request = urllib.request.Request(url, data=body)
    with urllib.request.urlopen(request, timeout=10) as response:
        return bytes(response.read())


def caller_headers(request_id: str) -> dict[str, str]:
    """Return the headers of a request by the configured client account."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Token {KEY}",
        "Deadline-Ms": "7000",
    }


def route(name: str, prefix: str, service: str, kind: str, **more: Any) -> Document:
    """Return a route of the configuration; `more` adds or replaces fields."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": 8_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **more,
    }


def configuration(version: int, *routes: Document) -> Document:
    """Return a configuration with two services, their routes and `routes`."""
    return {
        "version": version,
        "routes": [
            route("r-1", "/draft/", "drafting", "streaming", resumable=True),
            route("r-2", "/verdict/", "drafting", "streaming", maxAttempts=1),
            route("r-3", "/record/", "records", "non_idempotent", maxAttempts=1),
            route("r-4", "/look/", "records", "idempotent"),
            *routes,
        ],
        "services": [
            {
                "name": "drafting",
                "healthPath": "/health",
                "maxConns": 100,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 60_000,
                    "kvTokenBytes": 96_256,
                    "linkMbps": 1_000_000.0,
                    "maxInflight": 12,
                    "models": [{"name": MODEL}],
                },
            },
            {"name": "records", "healthPath": "/health", "maxConns": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "patan", "apiKeys": [KEY]}],
    }


class PlatformFleet(launcher.Fleet):
    """The store, backend servers and gateways as processes; a context manager.

    Attributes
    ----------
    ip_by_gateway : dict
        Loopback address of each gateway.
    peer_port, metrics_port : int
        Ports of calls between gateways and of the metrics, the same at each gateway.
    max_descriptors, memory_mb : int
        Limits of a gateway process by its settings; nothing enforces them.
    more_bounds : Mapping
        Bounds of the settings beside the usual ones.
    """

    max_descriptors = 1_000
    memory_mb = 200
    more_bounds: Mapping[str, float] = types.MappingProxyType({})

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self._folder = folder
        self.store = self.start("store", "standins.platform_store")
        self.ip_by_gateway: dict[str, str] = {}
        self.callers_port_by_gateway: dict[str, int] = {}
        self.ready_port_by_gateway: dict[str, int] = {}
        self.process_by_name: dict[str, launcher.Process] = {}
        self.peer_port = free_shared_port()
        self.metrics_port = free_shared_port()
        self.write_operator_row("config", configuration(1))

    def write_row(self, table: str, key: str, text: str) -> None:
        """Write a row of a table; `text` is its value."""
        value = base64.b64encode(text.encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        call(f"{self.store.url}/rows-tx", json.dumps({"put": [row]}).encode())

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row of a table."""
        row = {"table": table, "part": "", "key": key}
        call(f"{self.store.url}/rows-tx", json.dumps({"remove": [row]}).encode())

    def write_operator_row(self, key: str, document: Document) -> None:
        """Write a row of the operator's table as JSON."""
        self.write_row("op", key, json.dumps(document))

    def set_target_weights(self, version: int) -> None:
        """Set the target weight version of the model, as an operator does."""
        document = {"model": MODEL, "version": version}
        self.write_operator_row(f"version/{MODEL}", document)

    def set_faults(self, process: launcher.Process, **faults: Any) -> None:
        """Change fault switches of a stand-in."""
        call(f"{process.url}/faults", json.dumps(faults).encode())

    def take_store_snapshot(self) -> None:
        """Take a snapshot of the store's rows for `restore_store`."""
        call(f"{self.store.url}/copy", b"")

    def restore_store(self, age_ms: int | None = None, rewrite_ms: int = 0) -> None:
        """Restore the store's snapshot, or its state of `age_ms` milliseconds ago.

        Unless `rewrite_ms` is 0, the operator's rows that this undoes are written again
        within that time.
        """
        document: Document = {"rewrite_ms": rewrite_ms}
        if age_ms is not None:
            document["age_ms"] = age_ms
        call(f"{self.store.url}/restore", json.dumps(document).encode())

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the store, by kind."""
        counts = json.loads(call(f"{self.store.url}/calls"))
        return {name: count for name, count in counts.items() if name != "nowMs"}

    def store_rows(self, table: str) -> dict[str, str]:
        """Return the values of a table's rows, as text, by key."""
        url = f"{self.store.url}/rows-get?table={table}&part="
        rows = json.loads(call(url))["rows"]
        return {row["key"]: base64.b64decode(row["value"]).decode() for row in rows}

    def add_server(
        self,
        server_id: str,
        service: str,
        *,
        software: str = "v1",
        weights: int = 1,
        slots: int = 8,
        zone: str = "patan",
    ) -> launcher.Process:
        """Start a backend server: an engine for the service "drafting".

        Parameters
        ----------
        software : str
            Version of its software.
        weights : int
            Weight version that an engine has at its start.
        slots : int
            Requests that its entry says it runs at once.
        zone : str
            Its data centre.
        """
        arguments = [server_id, service, self.store.url]
        arguments += ["--software", software, "--weights", str(weights)]
        arguments += ["--slots", str(slots), "--zone", zone]
        if service == "drafting":
            arguments += ["--model", MODEL]
        process = self.start(server_id, "standins.platform_server", arguments)
        self.process_by_name[server_id] = process
        return process

    def add_gateway(self, name: str) -> launcher.Process:
        """Start or restart a gateway, without waiting until it is ready."""
        if name not in self.ip_by_gateway:
            ip = f"127.0.0.{len(self.ip_by_gateway) + 2}"
            self.ip_by_gateway[name] = ip
            self.callers_port_by_gateway[name] = free_port(ip)
            self.ready_port_by_gateway[name] = free_port(ip)
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name)))
        process = self.launch(
            name, "quincecrank.gateway", environment={"QUINCECRANK_CONFIG": str(path)}
        )
        self.process_by_name[name] = process
        return process

    def connect(self, gateway: str, timeout_s: float) -> http.client.HTTPConnection:
        """Return a connection to a gateway, which is opened by its first request."""
        return http.client.HTTPConnection(
            self.ip_by_gateway[gateway],
            self.callers_port_by_gateway[gateway],
            timeout=timeout_s,
        )

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway reports that it is ready."""
        address = f"{self.ip_by_gateway[name]}:{self.ready_port_by_gateway[name]}"
        try:
            call(f"http://{address}/ready")
        except OSError:
            return False
        return True

    def _settings(self, name: str) -> Document:
        ip = self.ip_by_gateway[name]
        return {
            "nodeName": name,
            "ip": ip,
            "zone": "patan",
            "listen": {
                "frontend": f"{ip}:{self.callers_port_by_gateway[name]}",
                "readiness": f"{ip}:{self.ready_port_by_gateway[name]}",
            },
            "internalPorts": [self.peer_port, self.metrics_port],
            "seedNodes": [f"{each}:1" for each in self.ip_by_gateway.values()],
            "limits": {"memoryMb": self.memory_mb, "maxFds": self.max_descriptors},
            "bounds": {
                "graceS": 8,
                "drainMs": 2_000,
                "leaseMs": 3_000,
                "versionMs": 8_000,
                "retryBudgetRatio": 0.2,
                "budgetMinRetries": 100,
                "budgetWindowS": 10,
                "thawMs": 300,
                **self.more_bounds,
            },
            "platformSettings": {
                "address": f"127.0.0.1:{self.store.port}",
                "writesPerS": 400,
                "readsPerS": 2_000,
                "rowBytes": 65_536,
            },
        }
