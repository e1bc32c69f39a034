"""Decides which connections of callers a gateway accepts, serves and closes.

Invariant
    Calls to backend servers, the store and peers, and the listeners for readiness and
    metrics, always find a free descriptor: the connections of callers and the links to
    backend servers together stay within the shared descriptors, and the rest is
    reserved.  A request that has arrived completely is never cut for it; what can't be
    served is rejected at once as not run.

Load pattern: callers keep their connections after an answer, open connections on which
nothing follows, or stop in the middle of a head or a body.  Other gateways are removed,
so that all their callers come here.  Without a bound the process runs out of
descriptors: it can neither accept nor call, and the failing accept is repeated at once.

Terms
-----
shared descriptors
    Descriptors for callers' connections and links: what the settings allow, less those
    of files and the reserve.
reserve
    Descriptors for calls to the store and peers, connections of peers, the listeners
    and checks of servers.
waiting connection
    A connection of a caller on which bytes are awaited: the next request, or the rest
    of one.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import Final, Protocol

FILE_DESCRIPTORS: Final = 200
"""Descriptors that the platform sets aside for files."""

RESERVED_FRACTION: Final = 1 / 8
"""Fraction of the descriptors for sockets that is reserved."""

CLOSED_FRACTION: Final = 1 / 32
"""Fraction of the shared descriptors that is freed at once at the bound, so that the
waiting connections are not sorted for each new one."""

READINESS_FRACTION: Final = 1 / 8
METRICS_FRACTION: Final = 1 / 8
PEERS_FRACTION: Final = 1 / 4
ADMIN_FRACTION: Final = 1 / 4
"""Fractions of the reserve for the connections of other listeners."""

ENTRY_CALLERS_FRACTION: Final = 3 / 4
"""Fraction of the shared descriptors for the callers of an entry; the rest is for its
links to agents, on which many requests share a connection."""

UNPROVEN_FRACTION: Final = 1 / 2
"""Fraction of the shared descriptors of an agent for connections whose peer has not
proved itself yet; all entries dial at once when an agent has restarted."""

MIN_SIDE_CONNECTIONS: Final = 4
"""Connections of such a listener however small the reserve is."""

DESCRIPTORS_PER_REQUEST: Final = 2
"""A caller's connection and a link to a backend server."""

MIN_PARTIAL_MS: Final = 500
"""Time without a byte after which an incomplete request may be closed at the bound: the
rest of one that is on its way arrives sooner."""

DEFAULT_IDLE_MS: Final = 120_000
"""Idle limit while no configuration is known: longer than any that a configuration
guarantees to callers."""

BODY_TIMEOUT_MS: Final = 60_000
"""Limit of the time to read a request's body, however steadily it arrives."""


class TimeLimits(Protocol):
    """Time limits of callers' connections by the configuration."""

    @property
    def header_timeout_ms(self) -> int:
        """Time within which the head of a request must have arrived."""

    @property
    def idle_timeout_ms(self) -> int:
        """Time without a byte after which a connection is closed."""


class Wait(enum.Enum):
    """What a waiting connection waits for."""

    REQUEST = "request"
    HEAD = "head"
    BODY = "body"


class CloseReason(enum.Enum):
    """Why this process closes the connection of a caller itself."""

    SHUTDOWN = "shutdown"
    IDLE = "idle"
    SLOW_HEAD = "slow head"
    SLOW_BODY = "slow body"
    UNREAD_ANSWER = "unread answer"
    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    ABORTED_ANSWER = "aborted answer"
    CHUNKS = "chunks"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Descriptors in use.

    Attributes
    ----------
    connections : int
        Open connections of callers.
    requests : int
        Those of them whose request has arrived and is served.
    links : int
        Open links to backend servers, idle ones included.
    followed : int
        Connections to engines and cache stores whose content is followed.
    """

    connections: int = 0
    requests: int = 0
    links: int = 0
    followed: int = 0

    @property
    def descriptors(self) -> int:
        """Descriptors in use, or due for the requests that are served."""
        return self.connections + max(self.requests, self.links) + self.followed


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A waiting connection.

    Attributes
    ----------
    since_ms : int
        Time at which its last byte arrived, or at which it was opened.
    begun_ms : int
        Time at which it began to wait for the present request or its body.
    key : int
        Identifies the connection.
    """

    wait: Wait
    since_ms: int
    begun_ms: int
    key: int = 0


class DescriptorBudget:
    """Budget of the descriptors of one process; performs no I/O.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may have open.

    Attributes
    ----------
    limit, reserve : int
        Number of shared descriptors, and of those in the reserve.
    """

    def __init__(self, max_descriptors: int) -> None:
        sockets = max(max_descriptors - FILE_DESCRIPTORS, max_descriptors // 2)
        self.reserve = int(sockets * RESERVED_FRACTION)
        self.limit = sockets - self.reserve

    def side_connections(self, fraction: float) -> int:
        """Return how many connections a listener has that is not for callers.

        Parameters
        ----------
        fraction : float
            Its part of the reserve.
        """
        return max(MIN_SIDE_CONNECTIONS, int(self.reserve * fraction))

    def may_accept(self, usage: Usage) -> bool:
        """Return whether a new connection and a request on it have room."""
        return usage.descriptors + DESCRIPTORS_PER_REQUEST <= self.limit

    def may_serve(self, usage: Usage) -> bool:
        """Return whether a further request on an open connection has a link."""
        return usage.connections + usage.requests + usage.followed < self.limit

    def may_add_link(self, usage: Usage) -> bool:
        """Return whether a further link, which no request depends on, has room."""
        return usage.descriptors < self.limit

    def excess_links(self, usage: Usage) -> int:
        """Return how many idle links to close for lack of descriptors."""
        missing = usage.descriptors + DESCRIPTORS_PER_REQUEST - self.limit
        return max(0, min(missing, usage.links - usage.requests))

    def excess_connections(self, usage: Usage) -> int:
        """Return how many waiting connections to close for lack of descriptors."""
        missing = usage.descriptors + DESCRIPTORS_PER_REQUEST - self.limit
        if missing <= 0:
            return 0
        return max(missing, int(self.limit * CLOSED_FRACTION))

    def order_to_close(
        self, waiting: Iterable[Waiting], now_ms: int
    ) -> tuple[Waiting, ...]:
        """Return the connections that may be closed at the bound, in their order.

        The longest idle ones come first, then incomplete requests of which nothing has
        arrived for `MIN_PARTIAL_MS`.
        """
        closable = [
            each
            for each in waiting
            if each.wait is Wait.REQUEST or now_ms - each.since_ms >= MIN_PARTIAL_MS
        ]
        return tuple(
            sorted(
                closable,
                key=lambda each: (each.wait is not Wait.REQUEST, each.since_ms),
            )
        )


def overdue_reason(
    waiting: Waiting, limits: TimeLimits | None, now_ms: int
) -> CloseReason | None:
    """Return why a waiting connection is to be closed by its time limit; or None.

    Parameters
    ----------
    limits : TimeLimits or None
        Limits of the configuration in force.
    """
    idle_limit_ms = DEFAULT_IDLE_MS if limits is None else limits.idle_timeout_ms
    waited_ms = now_ms - waiting.since_ms
    if waiting.wait is Wait.REQUEST:
        return CloseReason.IDLE if waited_ms > idle_limit_ms else None
    if waiting.wait is Wait.HEAD:
        head_limit_ms = idle_limit_ms if limits is None else limits.header_timeout_ms
        is_slow = now_ms - waiting.begun_ms > head_limit_ms
        return CloseReason.SLOW_HEAD if is_slow else None
    is_slow = waited_ms > idle_limit_ms or now_ms - waiting.begun_ms > BODY_TIMEOUT_MS
    return CloseReason.SLOW_BODY if is_slow else None
