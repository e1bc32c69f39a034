"""Health of backend servers, judged by their answers to requests.

Load pattern: a replica passes its health check and fails, drops or delays part of
its requests; or it hangs, and each request sent there is lost until its deadline.
"""

import dataclasses
import statistics
from collections.abc import Sequence
from typing import Final

from quincecrank import breaker
from quincecrank.gateway import servers

SMOOTHING: Final = 0.15
"""Weight of a new observation in the slowness of a server."""

MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 8.0
FULL_PAUSE_MS: Final = 150
"""Time for which a server that refused a request as full gets no other one, if it does
not say for how long."""

MIN_TOLD_PAUSE_MS: Final = 300
"""Pauses from this length on are told to the peers: the longest interval of reports."""

TELL_PAUSE_MS: Final = 700
"""Time for which the peers are told of a pause: two reports, as datagrams get lost."""

MAX_PEER_PAUSE_MS: Final = 1_000
"""Longest pause that is taken from a peer: the server asked only that gateway for it,
and may have room again sooner."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToldPause:
    """A server that wants no requests for some time."""

    incarnation: servers.Incarnation
    left_ms: int


class ServerHealth:
    """Aggregate of the recent behaviour of one incarnation of a backend server."""

    def __init__(self, started_wall_ms: int) -> None:
        self.started_wall_ms = started_wall_ms
        self.slowness = 1.0
        self.unreachable_ms = 0
        self._breaker = breaker.Breaker()
        self._paused_until_ms = 0
        self._asked_until_ms = 0
        self._asked_ms = 0

    def allows(self, now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        return now_ms >= self._paused_until_ms and self._breaker.allows(now_ms)

    def sent(self, now_ms: int) -> None:
        """Record that a request is sent."""
        self._breaker.sent(now_ms)

    def answered(self, observed_ms: float, expected_ms: float) -> None:
        """Record an answer, and how long its first part took."""
        self._breaker.succeeded()
        ratio = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, observed_ms / max(1.0, expected_ms))
        )
        self.slowness += SMOOTHING * (ratio - self.slowness)

    def failed(self, now_ms: int) -> None:
        """Record an error, a broken answer or none."""
        self._breaker.failed(now_ms)

    def refused(self, now_ms: int) -> None:
        """Record that the server refused a request without running it."""
        self._pause(now_ms + FULL_PAUSE_MS)

    def asked_for_pause(self, now_ms: int, pause_ms: int) -> None:
        """Record for how long the server wants no requests from this gateway.

        An answer that was under way does not shorten an earlier pause.
        """
        self._asked_ms = now_ms
        self._asked_until_ms = max(self._asked_until_ms, now_ms + pause_ms)
        self._pause(self._asked_until_ms)

    def peer_was_asked(self, now_ms: int, pause_ms: int) -> None:
        """Record for how long the server wants no requests from a peer."""
        self._pause(now_ms + min(pause_ms, MAX_PEER_PAUSE_MS))

    def pause_left_ms(self, now_ms: int) -> int:
        """Return for how long the server gets no requests."""
        return max(0, self._paused_until_ms - now_ms)

    def to_tell_ms(self, now_ms: int) -> int:
        """Return what is left of a pause that the peers are to hear of."""
        if now_ms - self._asked_ms >= TELL_PAUSE_MS:
            return 0
        return max(0, self._asked_until_ms - now_ms)

    def unreachable(self, now_ms: int) -> None:
        """Record that no connection could be opened."""
        self.unreachable_ms = now_ms
        for _ in range(breaker.FAILURES_TO_OPEN):
            self._breaker.failed(now_ms)

    def _pause(self, until_ms: int) -> None:
        self._paused_until_ms = max(self._paused_until_ms, until_ms)


class HealthBook:
    """The health of all backend servers, by id and incarnation."""

    def __init__(self) -> None:
        self._health_by_server: dict[servers.ServerId, ServerHealth] = {}

    def of(self, server: servers.ServerEntry) -> ServerHealth:
        """Return the health of a server; a new incarnation starts without any."""
        health = self._health_by_server.get(server.server_id)
        if health is None or health.started_wall_ms != server.started_wall_ms:
            health = ServerHealth(server.started_wall_ms)
            self._health_by_server[server.server_id] = health
        return health

    def relative_slowness(
        self, entries: Sequence[servers.ServerEntry]
    ) -> dict[servers.ServerId, float]:
        """Return how much slower than the median each server of a service answers.

        What an answer should take is known only roughly for a service that was not
        seen before; an error of that kind is the same for all its servers.
        """
        slowness_by_server = {
            entry.server_id: self.of(entry).slowness for entry in entries
        }
        if not slowness_by_server:
            return {}
        median = statistics.median(slowness_by_server.values())
        return {
            server_id: max(MIN_SLOWNESS, slowness / median)
            for server_id, slowness in slowness_by_server.items()
        }

    def pauses_to_tell(self, now_ms: int) -> tuple[ToldPause, ...]:
        """Return the pauses that the peers are told of."""
        return tuple(
            ToldPause(servers.Incarnation(server_id, health.started_wall_ms), left_ms)
            for server_id, health in self._health_by_server.items()
            if (left_ms := health.to_tell_ms(now_ms)) >= MIN_TOLD_PAUSE_MS
        )

    def take_pause(self, told: ToldPause, now_ms: int) -> None:
        """Take a pause that a peer tells of."""
        health = self._health_by_server.get(told.incarnation.server_id)
        if health is None:
            return
        if health.started_wall_ms == told.incarnation.started_wall_ms:
            health.peer_was_asked(now_ms, told.left_ms)

    def forget(self, server_id: servers.ServerId) -> None:
        """Forget a server that has left."""
        self._health_by_server.pop(server_id, None)
