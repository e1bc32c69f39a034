"""The configuration that a gateway serves by: routes, services, client accounts.

Terms
-----
route
    A host and a path prefix, with the service that answers there.
service
    A set of equal backend servers; model engines or a plain program.
kept-cache store
    A store VM that keeps KV cache for the model engines.
isolated account
    A client account that shares no KV cache with any other.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import NewType

from quincecrank import ids

ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
RouteName = NewType("RouteName", str)


class Repeatability(enum.Enum):
    """What may be done again when the outcome of a request is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route and its share of the route's requests."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    is_stream : bool
        Whether answers are event streams.
    is_resumable : bool
        Whether a stream may go on at another backend server.
    timeout_ms : int
        Longest time that a caller is kept waiting for the end of an answer.
    target_ms : int
        Time within which an answer, or the first event, is on time.
    gap_target_ms : int
        Longest pause between events of a stream that is on time.
    max_attempts : int
        Backend servers to which one request may be sent.
    urgency : int
        Rank of the requests; 0 is the most urgent.
    is_public : bool
        Whether requests need no API key.
    """

    name: RouteName
    host: str
    prefix: str
    targets: tuple[WeightedService, ...]
    repeatability: Repeatability
    is_stream: bool
    is_resumable: bool
    timeout_ms: int
    target_ms: int
    gap_target_ms: int
    max_attempts: int
    urgency: int
    is_public: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.is_stream:
            return self.is_resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFacts:
    """Limits of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that one engine runs at once.
    memory_tokens : int
        Tokens of KV cache that one engine holds, running requests included.
    token_bytes : int
        Size of the KV cache of one token.
    link_mbps : float
        Bandwidth of an engine's link in megabits a second.
    max_event_calls : int
        Cache event calls that one engine holds at once, from all callers.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    max_event_calls: int
    models: tuple[ModelName, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of backend servers that answer the same requests.

    Attributes
    ----------
    max_connections : int
        Connections that one backend server accepts from all callers.
    engine : EngineFacts or None
        None for a plain service.
    """

    name: ServiceName
    max_connections: int
    engine: EngineFacts | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """A kept-cache store.

    Attributes
    ----------
    address : str
        IP address and port.
    capacity_tokens : int
        Tokens that the store has room for.
    link_mbps : float
        Bandwidth of its link in megabits a second.
    transfer_delay_ms : float
        Time that each transfer waits before its first byte.
    is_managed : bool
        Whether parts stay until they are freed by a call.
    """

    name: ServiceName
    address: str
    data_centre: ids.DataCentre
    capacity_tokens: int
    link_mbps: float
    transfer_delay_ms: float
    max_event_calls: int
    is_managed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    urgency : int or None
        Rank of its requests in place of the route's, if set.
    is_isolated : bool
        Whether it shares no KV cache with other accounts.
    """

    name: ids.AccountName
    urgency: int | None
    is_isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration; immutable.

    Attributes
    ----------
    requires_keys : bool
        Whether requests on routes that are not public need an API key.
    """

    version: ids.ConfigurationVersion
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[ServiceName, Service]
    stores_by_name: Mapping[ServiceName, CacheStore]
    limits: ClientLimits
    accounts_by_key: Mapping[str, Account]
    requires_keys: bool

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        matching = [
            route
            for route in self.routes_by_host.get(host, ())
            if path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def find_account(self, key: str | None) -> Account | None:
        """Return the client account that holds an API key."""
        return None if key is None else self.accounts_by_key.get(key)
