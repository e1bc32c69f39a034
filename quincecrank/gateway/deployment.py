"""Configuration of a gateway: routes, services, client accounts.

Terms
-----
route
    A host and a path prefix, with the services that answer there.
service
    A set of interchangeable backend servers: model engines or plain programs.
cache store
    A store VM that holds KV cache for the model engines.
isolated account
    A client account that shares no KV cache with any other.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Final, NewType

from quincecrank import ids

ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
RouteName = NewType("RouteName", str)

MIN_FIRST_EVENT_MS: Final = 2_000
TARGETS_TO_FIRST_EVENT: Final = 4
GAPS_TO_FIRST_EVENT: Final = 8
"""Callers leave a stream without an event after the longest of this time, this multiple
of the route's target, and this multiple of its longest pause."""


class Repeatability(enum.Enum):
    """Whether a request may be sent again when its outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route; its weight is relative to those of the other targets."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination and limits of the requests with one host and path prefix.

    Attributes
    ----------
    is_stream : bool
        Whether answers are event streams.
    is_resumable : bool
        Whether a stream may continue at another backend server.
    timeout_ms : int
        Longest time from a request to the end of its answer.
    target_ms : int
        Time within which an answer, or the first event of a stream, is on time.
    gap_target_ms : int
        Longest pause between events of a stream that is on time.
    max_attempts : int
        Most backend servers that may run one request.
    urgency : int
        Rank of the requests; 0 is the most urgent.
    is_public : bool
        Whether requests need no API key.
    allowed_regions : frozenset of Region
        Regions whose servers may get the requests; empty for all.
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
    allowed_regions: frozenset[ids.Region] = frozenset()

    @property
    def first_event_limit_ms(self) -> int:
        """Time after which callers leave a stream that has not begun."""
        return max(
            MIN_FIRST_EVENT_MS,
            TARGETS_TO_FIRST_EVENT * self.target_ms,
            GAPS_TO_FIRST_EVENT * self.gap_target_ms,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.is_stream:
            return self.is_resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits of the model engines of a service.

    Attributes
    ----------
    slots : int
        Most requests that one engine runs at once.
    memory_tokens : int
        Capacity of one engine for KV cache, running requests included.
    token_bytes : int
        Size of the KV cache of one token.
    link_mbps : float
        Bandwidth of an engine's link in megabits a second.
    max_event_calls : int
        Most cache event calls that one engine accepts at once, from all callers.
    models : tuple of ModelName
        Models that the engines serve.
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
        Most connections that one backend server accepts, from all callers.
    engine : EngineLimits or None
        Limits of its model engines; None for a plain service.
    cold_start_ms : int
        Time for which a server is cold after its start.
    cold_per_second : float
        Requests a second that a cold server takes from all gateways; 0 if its servers
        are never cold.
    """

    name: ServiceName
    max_connections: int
    engine: EngineLimits | None = None
    cold_start_ms: int = 0
    cold_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """A cache store.

    Attributes
    ----------
    address : str
        IP address and port.
    capacity_tokens : int
        Capacity of the store for KV cache.
    link_mbps : float
        Bandwidth of its link in megabits a second.
    transfer_delay_ms : float
        Delay of each transfer before its first byte.
    max_event_calls : int
        Most cache event calls that it accepts at once, from all callers.
    is_managed : bool
        Whether cached parts stay until they are freed by a call.
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
    """Limits of the size and the duration of callers' requests."""

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
        Rank of its requests; None to use the route's.
    is_isolated : bool
        Whether it shares no KV cache with other accounts.
    allowed_regions : frozenset of Region
        Regions whose servers may get its requests; empty for all.
    """

    name: ids.AccountName
    urgency: int | None
    is_isolated: bool
    allowed_regions: frozenset[ids.Region] = frozenset()


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
    _route_by_prefix_by_host: Mapping[str, Mapping[str, Route]] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        index: dict[str, dict[str, Route]] = {}
        for host, routes in self.routes_by_host.items():
            route_by_prefix = index.setdefault(host, {})
            for route in routes:
                route_by_prefix.setdefault(route.prefix, route)
        object.__setattr__(self, "_route_by_prefix_by_host", index)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None.

        Its time depends on the length of the path, not on the number of routes.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host)
        if route_by_prefix is None:
            return None
        # Every prefix ends with a slash.
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str | None) -> Account | None:
        """Return the client account with an API key; None for an unknown key."""
        return None if key is None else self.accounts_by_key.get(key)
