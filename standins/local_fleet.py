"""Starts a complete fleet on loopback: stand-ins, agents and entries.

Used by the demo, the process tests and the benchmarks.  Settings files and secrets
are written into the given folder; the initial configuration is committed to the
platform table in the same way as by operators' commands.
"""

import asyncio
import dataclasses
import json
import pathlib
import secrets
import urllib.request
from collections.abc import Mapping, Sequence
from typing import Any, Final

import yaml

from quincecrank import (
    access,
    configuration,
    configuration_store,
    ids,
    platform_table,
)
from quincecrank import clock as clocks
from standins import launcher

ADDRESS: Final = "127.0.0.1"
OPERATOR: Final = "asha"
TABLE_TIMEOUT_MS: Final = 2_000

Flags = Mapping[str, object]


@dataclasses.dataclass(frozen=True)
class BackendSpec:
    """The backend servers of one deployment.

    Attributes
    ----------
    flags : mapping
        Command-line flags of the stand-in of the backend server.
    data_centres : tuple of DataCentre
        Assigned to the replicas in turn.
    """

    deployment: configuration.Deployment
    replicas: int
    data_centres: tuple[ids.DataCentre, ...] = (ids.DataCentre("dc-1"),)
    flags: Flags = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class FleetSpec:
    """The composition of a fleet.

    Attributes
    ----------
    store_flags : mapping
        Command-line flags of each store VM, by name.
    entry_options, agent_options : mapping
        Settings that replace or complete the defaults.
    """

    backends: tuple[BackendSpec, ...]
    accounts: tuple[configuration.Account, ...]
    tiers: tuple[configuration.Tier, ...] = ()
    store_flags: Mapping[ids.VmName, Flags] = dataclasses.field(default_factory=dict)
    entries: int = 1
    entry_options: Flags = dataclasses.field(default_factory=dict)
    agent_options: Flags = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Replica:
    """A backend server and its agent.

    Attributes
    ----------
    url : str
        URL at which the agent reaches the backend server; a relay's if there is one.
    """

    name: str
    spec: BackendSpec
    data_centre: ids.DataCentre
    backend: launcher.Process
    url: str
    agent: launcher.Process | None = None


class LocalFleet:
    """A fleet of processes; a context manager that starts and ends them.

    Attributes
    ----------
    keys_by_account : dict
        API key of each client account.
    """

    def __init__(self, spec: FleetSpec, folder: pathlib.Path) -> None:
        self._spec = spec
        self._folder = folder
        self._fleet = launcher.Fleet(folder / "logs")
        self.replicas_by_name: dict[str, Replica] = {}
        self.stores_by_name: dict[str, launcher.Process] = {}
        self.entries: list[launcher.Process] = []
        self.keys_by_account: dict[ids.AccountName, str] = {}

    def __enter__(self) -> "LocalFleet":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def close(self) -> None:
        """End all processes of the fleet."""
        self._fleet.close()

    def _start(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_secret("fleet.secret", secrets.token_hex(32))
        self._write_secret("accounts.secret", secrets.token_hex(32))
        self._write_secret("operator.token", secrets.token_hex(32))
        self.table = self._fleet.start("table", "standins.platform_store")
        self.objects = self._fleet.start("object-store", "standins.object_store")
        self.vm_list = self._fleet.start("vm-list", "standins.vm_list")
        self.weights = self._fleet.start("weight-store", "standins.weight_store")
        asyncio.run(self._commit_configuration())
        for name, flags in self._spec.store_flags.items():
            self.start_store(name, flags)
        for backend in self._spec.backends:
            for number in range(backend.replicas):
                self._start_replica(backend, number)
        for number in range(self._spec.entries):
            self.start_entry(number)

    def start_store(self, name: str, flags: Flags) -> launcher.Process:
        """Start a store VM and add it to the platform's VM list."""
        process = self._fleet.start(name, "standins.object_store", _arguments(flags))
        self.stores_by_name[name] = process
        self.list_vm(name, "store", process.port)
        return process

    def _start_replica(self, backend: BackendSpec, number: int) -> None:
        name = f"{backend.deployment.name}-{number + 1}"
        centre = backend.data_centres[number % len(backend.data_centres)]
        process = self.start_backend(backend, name)
        replica = Replica(name, backend, centre, process, process.url)
        self.replicas_by_name[name] = replica
        self.start_agent(name)

    def start_backend(
        self, backend: BackendSpec, name: str, port: int = 0
    ) -> launcher.Process:
        """Start the stand-in of one backend server."""
        flags: dict[str, object] = {"port": port, **backend.flags}
        if backend.deployment.kind is configuration.DeploymentKind.SERVICE:
            return self._fleet.start(name, "standins.plain_service", _arguments(flags))
        flags.setdefault("weight_version", backend.deployment.weight_version)
        flags.setdefault("weight_store", self.weights.url)
        return self._fleet.start(name, "standins.engine", _arguments(flags))

    def restart_backend(self, name: str) -> None:
        """Restart a backend server that has ended, on the same port."""
        replica = self.replicas_by_name[name]
        port = replica.backend.port
        replica.backend = self.start_backend(replica.spec, name, port)

    def start_agent(self, name: str) -> launcher.Process:
        """Start or restart the agent of a backend server and list its VM."""
        replica = self.replicas_by_name[name]
        deployment = replica.spec.deployment
        document = {
            "vm_name": f"vm-{name}",
            "data_centre": replica.data_centre,
            "listen": {"address": ADDRESS, "port": 0},
            "metrics": {"address": ADDRESS, "port": 0},
            "backend_server": {
                "name": name,
                "deployment": deployment.name,
                "kind": deployment.kind.value,
                "url": replica.url,
            },
            "peer": {"fleet_secret_file": "fleet.secret"},
            "platform": self._platform(),
            **self._spec.agent_options,
        }
        path = self._write_settings(f"agent-{name}.yaml", document)
        process = self._fleet.start(f"agent-{name}", "quincecrank.agent", [str(path)])
        replica.agent = process
        self.list_vm(
            f"vm-{name}",
            "agent",
            process.port,
            backend_server=name,
            deployment=deployment.name,
            data_centre=replica.data_centre,
        )
        return process

    def start_entry(self, number: int) -> launcher.Process:
        """Start or restart the entry with this number and list its VM."""
        name = f"entry-{number + 1}"
        document = {
            "vm_name": name,
            "data_centre": "dc-1",
            "listen": {"address": ADDRESS, "port": 0},
            "admin": {
                "address": ADDRESS,
                "port": 0,
                "operators": [{"name": OPERATOR, "token_file": "operator.token"}],
            },
            "peer": {"fleet_secret_file": "fleet.secret"},
            "platform": self._platform(),
            "account_secret_file": "accounts.secret",
            **self._spec.entry_options,
        }
        path = self._write_settings(f"{name}.yaml", document)
        process = self._fleet.start(name, "quincecrank.entry", [str(path)])
        if number < len(self.entries):
            self.entries[number] = process
        else:
            self.entries.append(process)
        self.list_vm(name, "entry", process.port)
        return process

    def list_vm(
        self,
        name: str,
        role: str,
        port: int,
        *,
        state: str = "live",
        backend_server: str = "",
        deployment: str = "",
        data_centre: str = "dc-1",
    ) -> None:
        """Add a VM to the platform's VM list, or replace its item."""
        vm = {
            "name": name,
            "address": ADDRESS,
            "port": port,
            "data_centre": data_centre,
            "state": state,
            "role": role,
            "backend_server": backend_server,
            "deployment": deployment,
        }
        call_json("PUT", f"{self.vm_list.url}/vms/{name}", vm)

    @property
    def url(self) -> str:
        """Return the first entry's base URL."""
        return self.entries[0].url

    @property
    def operator_token_file(self) -> pathlib.Path:
        """Return the path of the operator's token file."""
        return self._folder / "operator.token"

    @property
    def operator_token(self) -> str:
        """Return the operator's token."""
        return self.operator_token_file.read_text()

    def account_secret(self) -> bytes:
        """Return the secret from which cache salts are derived."""
        return (self._folder / "accounts.secret").read_bytes()

    def fleet_secret(self) -> bytes:
        """Return the secret by which the processes authenticate to each other."""
        return (self._folder / "fleet.secret").read_bytes()

    def admin_url(self, number: int = 0) -> str:
        """Return an entry's administration URL."""
        return f"http://{ADDRESS}:{further_port(self.entries[number], 'admin')}"

    def metrics_url(self, name: str) -> str:
        """Return the URL of an agent's metrics."""
        agent = self.replicas_by_name[name].agent
        assert agent is not None
        return f"http://{ADDRESS}:{further_port(agent, 'metrics')}/metrics"

    def _platform(self) -> dict[str, object]:
        return {
            "table_url": self.table.url,
            "object_store_url": self.objects.url,
            "vm_list_url": self.vm_list.url,
        }

    async def _commit_configuration(self) -> None:
        table = platform_table.HttpTable(self.table.url, TABLE_TIMEOUT_MS)
        store = configuration_store.ConfigurationStore(table)
        row = configuration.ConfigurationRow(
            version=ids.ConfigurationVersion(1),
            proposal_id=ids.ProposalId(ids.random_id("p-")),
            operator=OPERATOR,
            command="initial configuration",
            wall_ms=clocks.SystemClock().wall_ms(),
            writes=tuple(self._initial_writes()),
        )
        await store.propose(row)
        table.close()

    def _initial_writes(self) -> Sequence[configuration.EntityWrite]:
        kinds = configuration.EntityKind
        writes = [
            configuration.entity_write(kinds.TIER, tier.name, tier)
            for tier in self._spec.tiers
        ]
        for backend in self._spec.backends:
            deployment = backend.deployment
            writes.append(
                configuration.entity_write(
                    kinds.DEPLOYMENT, deployment.name, deployment
                )
            )
        for account in self._spec.accounts:
            created = access.new_key()
            self.keys_by_account[account.name] = created.key
            keyed = account.model_copy(update={"keys": (created.stored,)})
            writes.append(
                configuration.entity_write(kinds.ACCOUNT, account.name, keyed)
            )
        return writes

    def _write_secret(self, name: str, text: str) -> None:
        path = self._folder / name
        path.write_text(text)
        path.chmod(0o600)

    def _write_settings(self, name: str, document: Mapping[str, Any]) -> pathlib.Path:
        path = self._folder / name
        path.write_text(yaml.safe_dump(dict(document)))
        return path


def further_port(process: launcher.Process, listener: str) -> int:
    """Return the port of an additional listener of a program, from its log.

    Raises
    ------
    launcher.StartError
        If the program has printed no such port.
    """
    prefix = f"{listener} {launcher.READY_PREFIX}"
    for line in process.log().splitlines():
        if line.startswith(prefix):
            return int(line.removeprefix(prefix))
    raise launcher.StartError(f"{process.name} printed no port of {listener}")


def call_json(method: str, url: str, document: object = None) -> Any:
    """Send a JSON document and return the JSON answer, or None if it is empty."""
    data = None if document is None else json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers, method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        body = response.read()
    return json.loads(body) if body else None


def set_faults(process: launcher.Process, **switches: object) -> None:
    """Change the fault switches of a stand-in."""
    call_json("POST", f"{process.url}/faults", switches)


def _arguments(flags: Flags) -> list[str]:
    return [f"--{name}={value}" for name, value in flags.items()]
