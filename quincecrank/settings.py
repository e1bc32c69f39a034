"""Settings of `quince-entry` and `quince-agent`.

Settings give the identity of a process, its listeners and the addresses of the
services it uses; what operators change while the fleet runs is in the configuration.
Secrets are given by file name and read with `read_secret`.  All keys are described
in ``docs/SETTINGS.md``.
"""

import enum
import ipaddress
import os
import pathlib
import re
import resource
import stat
import urllib.parse
from collections.abc import Callable
from typing import Annotated, Final

import expression
import pydantic

from quincecrank import configuration, findings, ids, policies, settings_file

MIN_SECRET_BYTES: Final = 16
MAX_PORT: Final = 65_535
BYTES_PER_MB: Final = 1024 * 1024
MAX_DESCRIPTORS: Final = 1_048_576
"""Descriptors of a process for which the operating system names no limit."""

DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_AGENT_KEY: Final = re.compile(r"^backend_server\s*:", re.MULTILINE)


class ProgramName(enum.Enum):
    """Programs that have a settings file."""

    ENTRY = "quince-entry"
    AGENT = "quince-agent"


class LogFormat(enum.Enum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class LogLevel(enum.Enum):
    """Minimum severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def read_secret(path: pathlib.Path) -> bytes:
    """Return the content of a secret file without surrounding white space."""
    return path.read_bytes().strip()


def _vm_memory_mb() -> int:
    pages = os.sysconf("SC_PHYS_PAGES")
    return max(1, pages * os.sysconf("SC_PAGE_SIZE") // BYTES_PER_MB)


def _descriptor_limit() -> int:
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


def _resolve_readable(
    path: pathlib.Path, info: pydantic.ValidationInfo
) -> pathlib.Path:
    """Return `path` relative to the settings file; it must be readable."""
    directory = (info.context or {}).get(
        settings_file.BASE_DIRECTORY_KEY, pathlib.Path()
    )
    resolved = pathlib.Path(directory) / path
    try:
        with resolved.open("rb"):
            return resolved
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        raise ValueError(f"cannot read {str(path)!r}: {reason}") from error


def _check_private(path: pathlib.Path) -> pathlib.Path:
    if path.stat().st_mode & stat.S_IRWXO:
        raise ValueError(f"{path.name!r} is open to all users; chmod o-rwx it")
    return path


def _check_secret_length(path: pathlib.Path) -> pathlib.Path:
    if len(read_secret(path)) < MIN_SECRET_BYTES:
        message = f"{path.name!r} holds fewer than {MIN_SECRET_BYTES} bytes"
        raise ValueError(message)
    return path


def _normalize_ip_address(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise ValueError(f"{text!r} is not an IP address") from error


def _normalize_http_url(text: str) -> str:
    message = f"{text!r} is not an http or https URL"
    try:
        parts = urllib.parse.urlsplit(text)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        valid = valid and (parts.port is None or parts.port > 0)
    except ValueError as error:
        raise ValueError(message) from error
    if not valid or parts.query or parts.fragment:
        raise ValueError(message)
    return text.rstrip("/")


def _check_no_white_space(text: str) -> str:
    if not text or any(c.isspace() or not c.isprintable() for c in text):
        raise ValueError("expected a name without white space")
    return text


def _check_policy_name(text: str) -> str:
    if text not in policies.POLICY_NAMES:
        raise ValueError(f"expected one of {', '.join(policies.POLICY_NAMES)}")
    return text


def _after_validator(check: Callable[[str], str]) -> pydantic.AfterValidator:
    return pydantic.AfterValidator(check)


PlainFile = Annotated[pathlib.Path, pydantic.AfterValidator(_resolve_readable)]
PrivateFile = Annotated[PlainFile, pydantic.AfterValidator(_check_private)]
SecretFile = Annotated[PrivateFile, pydantic.AfterValidator(_check_secret_length)]
IpAddress = Annotated[str, _after_validator(_normalize_ip_address)]
HttpUrl = Annotated[str, _after_validator(_normalize_http_url)]
Port = Annotated[int, pydantic.Field(ge=0, le=MAX_PORT)]
PositiveInt = Annotated[int, pydantic.Field(ge=1)]
VmName = Annotated[ids.VmName, _after_validator(_check_no_white_space)]
DataCentre = Annotated[ids.DataCentre, _after_validator(_check_no_white_space)]
BackendServerName = Annotated[
    ids.BackendServerName, _after_validator(_check_no_white_space)
]
DeploymentName = Annotated[ids.DeploymentName, _after_validator(_check_no_white_space)]
PolicyName = Annotated[str, _after_validator(_check_policy_name)]
OperatorName = Annotated[str, _after_validator(_check_no_white_space)]


class Tls(configuration.FrozenModel):
    """PEM files of a listener's certificate chain and private key."""

    certificate_file: PlainFile
    key_file: PrivateFile


class PlainListener(configuration.FrozenModel):
    """Address and port to listen on; port 0 lets the operating system choose."""

    address: IpAddress
    port: Port


class Listener(PlainListener):
    """A listener that may use TLS."""

    tls: Tls | None = None


class Operator(configuration.FrozenModel):
    """A person or program that may use the administration API."""

    name: OperatorName
    token_file: SecretFile


class AdminListener(Listener):
    """Listener of the administration API."""

    operators: tuple[Operator, ...] = pydantic.Field(min_length=1)

    @pydantic.field_validator("operators")
    @classmethod
    def _check_unique_names(
        cls, operators: tuple[Operator, ...]
    ) -> tuple[Operator, ...]:
        names = [operator.name for operator in operators]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"operators named twice: {', '.join(repeated)}")
        return operators


class Peer(configuration.FrozenModel):
    """Mutual authentication of the project's own processes."""

    fleet_secret_file: SecretFile


class Platform(configuration.FrozenModel):
    """Addresses of the platform's services, and the timeout of their clients."""

    table_url: HttpUrl
    object_store_url: HttpUrl
    vm_list_url: HttpUrl
    timeout_ms: PositiveInt = 2_000


class Logging(configuration.FrozenModel):
    """Log output, written to standard error."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


class ProcessLimits(configuration.FrozenModel):
    """Limits of the resources of one process.

    Attributes
    ----------
    memory_mb : int
        Memory that the process may use; by default all that the VM has.
    max_descriptors : int
        Descriptors that the process may have open; by default as many as the operating
        system allows.
    """

    memory_mb: PositiveInt = pydantic.Field(default_factory=_vm_memory_mb)
    max_descriptors: PositiveInt = pydantic.Field(default_factory=_descriptor_limit)


class Limits(ProcessLimits):
    """Limits of an entry.

    Attributes
    ----------
    max_body_bytes : int
        Largest request body.
    max_open_requests : int
        Largest number of requests that are open at once.
    header_timeout_ms : int
        Time within which a connection must send the headers of its next request.
    links_per_deployment : int
        Largest number of agents of a deployment that the entry connects to in
        advance, besides the directory agents.
    body_timeout_ms : int
        Time within which a request's body must be complete.
    """

    max_body_bytes: PositiveInt = DEFAULT_MAX_BODY_BYTES
    max_open_requests: PositiveInt = 2_000
    header_timeout_ms: PositiveInt = 10_000
    links_per_deployment: PositiveInt = 16
    body_timeout_ms: PositiveInt = 30_000


class Heartbeat(configuration.FrozenModel):
    """Heartbeats on every connection between the project's processes.

    Attributes
    ----------
    interval_ms : int
        Time between two heartbeats.
    silence_ms : int
        A connection on which nothing arrives for longer is closed and reconnected.
    """

    interval_ms: PositiveInt = 1_000
    silence_ms: PositiveInt = 3_000

    @pydantic.model_validator(mode="after")
    def _check_silence(self) -> "Heartbeat":
        if self.silence_ms < 2 * self.interval_ms:
            raise ValueError("silence_ms must be at least twice interval_ms")
        return self


class BackendServer(configuration.FrozenModel):
    """The backend server beside an agent."""

    name: BackendServerName
    deployment: DeploymentName
    kind: configuration.DeploymentKind
    url: HttpUrl


class EntrySettings(configuration.FrozenModel):
    """Settings of `quince-entry`.

    Attributes
    ----------
    account_secret_file : Path
        Secret from which block keys and cache salts are derived; must be the same
        on every entry.
    reuse_port : bool
        Whether several entries on one VM share the listening port.
    policy : str
        Name of the routing policy; all but the default are baselines for
        benchmarks.
    """

    vm_name: VmName
    data_centre: DataCentre
    listen: Listener
    admin: AdminListener
    peer: Peer
    platform: Platform
    account_secret_file: SecretFile
    logging: Logging = Logging()
    limits: Limits = pydantic.Field(default_factory=Limits)
    heartbeat: Heartbeat = Heartbeat()
    reuse_port: bool = False
    policy: PolicyName = policies.DEFAULT_POLICY


class AgentSettings(configuration.FrozenModel):
    """Settings of `quince-agent`.

    Attributes
    ----------
    listen : PlainListener
        Listener for entries and other agents.
    metrics : PlainListener
        Listener that serves metrics and health over HTTP.
    max_queue : int
        Largest number of requests that wait for the backend server; further ones
        are rejected.
    limits : ProcessLimits
        Limits of the agent's own resources.
    """

    vm_name: VmName
    data_centre: DataCentre
    listen: PlainListener
    metrics: PlainListener
    backend_server: BackendServer
    peer: Peer
    platform: Platform
    logging: Logging = Logging()
    limits: ProcessLimits = pydantic.Field(default_factory=ProcessLimits)
    heartbeat: Heartbeat = Heartbeat()
    max_queue: PositiveInt = 64


def load_entry(
    path: str | pathlib.Path,
) -> expression.Result[EntrySettings, findings.Findings]:
    """Load and check the settings file of an entry."""
    return settings_file.load(path, EntrySettings)


def load_agent(
    path: str | pathlib.Path,
) -> expression.Result[AgentSettings, findings.Findings]:
    """Load and check the settings file of an agent."""
    return settings_file.load(path, AgentSettings)


def program_of(path: str | pathlib.Path) -> ProgramName:
    """Return which program a settings file is for.

    An agent's file has the key ``backend_server``; any other file, also one that
    cannot be read, counts as an entry's.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError):
        return ProgramName.ENTRY
    is_agent = _AGENT_KEY.search(text) is not None
    return ProgramName.AGENT if is_agent else ProgramName.ENTRY
