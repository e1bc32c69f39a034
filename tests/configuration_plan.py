"""Configurations that an operator of a soak writes one after the other."""

import dataclasses
import enum
import random
from typing import Any, Final

from standins import platform_fleet

MOVED_PREFIX: Final = "/move/"
FIRST_PREFIX: Final = "/look/"
NEVER_PREFIX: Final = "/never/"
"""Prefix that no version has."""

SERVICES: Final = ("records", "archive")
MAX_REMEMBERED: Final = 6
"""Added or dropped routes and keys, the last ones, that requests use."""

Document = dict[str, Any]


class Kind(enum.Enum):
    """What a version changes."""

    MOVE = "a route moves to another service"
    SPLIT = "a route is split between services"
    TIMEOUT = "a time limit"
    TENANT = "a client account"
    IDLE = "the idle limit of callers"
    ADD = "a route is added"
    DROP = "a route is removed"
    REVOKE = "a key is removed"
    BIG = "many routes are added"
    SMALL = "they are removed"
    INVALID = "a malformed version"


@dataclasses.dataclass(frozen=True)
class Written:
    """A version as it is written.

    Attributes
    ----------
    services_by_prefix : dict
        Services of each route; empty for a malformed version.
    """

    kind: Kind
    document: Document
    services_by_prefix: dict[str, frozenset[str]]
    keys: frozenset[str]


class Plan:
    """Draws one version after the other.

    Parameters
    ----------
    large : int
        Routes that `Kind.BIG` adds.

    Attributes
    ----------
    prefixes, keys : list of str
        Those that requests use: of routes and keys that exist, never existed, or were
        added or removed last.
    """

    def __init__(self, generator: random.Random, large: int) -> None:
        self._generator = generator
        self._large = large
        self._version = 1
        self._kinds: list[Kind] = []
        self._malformed = 0
        self._added = 0
        self._is_big = False
        self._time_limit_ms = 8_000
        self._idle_ms = 15_000
        self._services_by_prefix: dict[str, tuple[str, ...]] = {
            FIRST_PREFIX: ("records",),
            MOVED_PREFIX: ("records",),
        }
        self._keys = [platform_fleet.KEY]
        self.prefixes = [FIRST_PREFIX, MOVED_PREFIX, NEVER_PREFIX]
        self.keys = [platform_fleet.KEY, "key-of-nobody"]

    def first(self) -> Written:
        """Return the first version."""
        return self._written(Kind.MOVE)

    def draw(self) -> Written:
        """Return a further version."""
        if not self._kinds:
            self._kinds = [*Kind, Kind.INVALID, Kind.ADD, Kind.ADD]
            self._generator.shuffle(self._kinds)
        kind = self._kinds.pop()
        if kind is Kind.SMALL and not self._is_big:
            kind = Kind.BIG
        self._version += self._generator.randint(1, 3)
        self._change(kind)
        return self._written(kind)

    def _change(self, kind: Kind) -> None:
        draw = self._generator
        added = [each for each in self._services_by_prefix if each.startswith("/added")]
        match kind:
            case Kind.MOVE:
                (now, *_) = self._services_by_prefix[MOVED_PREFIX]
                other = SERVICES[1 - SERVICES.index(now)]
                self._services_by_prefix[MOVED_PREFIX] = (other,)
            case Kind.SPLIT:
                self._services_by_prefix[MOVED_PREFIX] = SERVICES
            case Kind.TIMEOUT:
                self._time_limit_ms = draw.randint(5_000, 9_000)
            case Kind.IDLE:
                self._idle_ms = draw.randint(10_000, 20_000)
            case Kind.TENANT:
                self._remember(self.keys, f"key-{self._version}")
                self._keys.append(self.keys[-1])
            case Kind.ADD:
                self._added += 1
                prefix = f"/added-{self._added}/"
                self._services_by_prefix[prefix] = (draw.choice(SERVICES),)
                self._remember(self.prefixes, prefix)
            case Kind.DROP if added:
                del self._services_by_prefix[draw.choice(added)]
            case Kind.REVOKE if self._keys[1:]:
                self._keys.remove(draw.choice(self._keys[1:]))
            case Kind.BIG:
                self._is_big = True
            case Kind.SMALL:
                self._is_big = False

    def _remember(self, names: list[str], name: str) -> None:
        names.append(name)
        if len(names) > MAX_REMEMBERED + 3:
            del names[3]

    def _written(self, kind: Kind) -> Written:
        routes = [
            platform_fleet.route(
                f"r{prefix.strip('/')}",
                prefix,
                services[0],
                "idempotent",
                timeoutMs=self._time_limit_ms,
                **(
                    {"trafficSplit": [{"service": s, "weight": 1.0} for s in services]}
                    if len(services) > 1
                    else {}
                ),
            )
            for prefix, services in self._services_by_prefix.items()
        ]
        if self._is_big:
            names = random.Random(self._large)
            routes += [
                platform_fleet.route(
                    f"r{names.getrandbits(48):x}",
                    f"/b{names.getrandbits(48):x}/",
                    "records",
                    "idempotent",
                )
                for _ in range(self._large)
            ]
        document = platform_fleet.configuration(self._version)
        document["routes"] = routes
        document["services"].append(
            {"name": "archive", "healthPath": "/health", "maxConns": 100}
        )
        document["limits"]["idleTimeoutMs"] = self._idle_ms
        document["tenants"] = [
            {"name": f"account-{number}", "apiKeys": [key]}
            for number, key in enumerate(self._keys)
        ]
        services_by_prefix = {
            prefix: frozenset(services)
            for prefix, services in self._services_by_prefix.items()
        }
        if kind is Kind.INVALID:
            self._make_malformed(document)
        return Written(kind, document, services_by_prefix, frozenset(self._keys))

    def _make_malformed(self, document: Document) -> None:
        """Make a version malformed that would add a route and revoke all keys."""
        document["routes"].append(
            platform_fleet.route("r-never", NEVER_PREFIX, "records", "idempotent")
        )
        document["tenants"] = []
        self._malformed += 1
        match self._malformed % 3:
            case 1:
                del document["limits"]
            case 2:
                document["services"] = None
            case 0:
                document["routes"][0]["timeoutMs"] = "soon"
