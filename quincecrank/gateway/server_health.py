"""Health of backend servers, derived from their answers to requests.

Load pattern: a replica passes its health check but fails, drops or delays part of
its requests; or it hangs, and each request sent there waits until its deadline.  So
each server has a circuit breaker, pauses and a slowness.
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
"""Bounds of the ratio of observed to expected time of one answer; the lower one also
bounds the relative slowness of a server."""

FULL_PAUSE_MS: Final = 150
"""Shortest pause of a server after it refused a request."""

MIN_PUBLISHED_PAUSE_MS: Final = 300
"""Shortest remaining pause that is published to the peers: the longest report
interval."""

PUBLISH_PAUSE_MS: Final = 700
"""Time for which a pause is published to the peers: two reports, since datagrams get
lost."""

MAX_PEER_PAUSE_MS: Final = 1_000
"""Upper bound of a pause received from a peer: the server requested it of that gateway
only, and may have capacity again sooner."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPause:
    """A pause that a server requested of a peer; `remaining_ms` of it remain."""

    incarnation: servers.Incarnation
    remaining_ms: int


class ServerHealth:
    """The recent behaviour of one incarnation of a backend server.

    Attributes
    ----------
    started_wall_ms : int
        Start time of the server, which identifies the incarnation.
    slowness : float
        Moving average of the ratio of observed to expected time of its answers.
    """

    def __init__(self, started_wall_ms: int) -> None:
        self.started_wall_ms = started_wall_ms
        self.slowness = 1.0
        self._breaker = breaker.Breaker()
        self._paused_until_ms = 0
        self._requested_until_ms = 0
        self._requested_ms = 0

    def allows(self, now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        return now_ms >= self._paused_until_ms and self._breaker.allows(now_ms)

    def record_send(self, now_ms: int) -> None:
        """Record that a request is being sent."""
        self._breaker.record_send(now_ms)

    def record_answer(self, observed_ms: float, expected_ms: float) -> None:
        """Record an answer and the time to its first event."""
        self._breaker.record_success()
        ratio = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, observed_ms / max(1.0, expected_ms))
        )
        self.slowness += SMOOTHING * (ratio - self.slowness)

    def record_success(self) -> None:
        """Record an answer whose time tells nothing of the server's usual speed."""
        self._breaker.record_success()

    def record_withdrawal(self) -> None:
        """Record that a sent request was withdrawn before its outcome."""
        self._breaker.cancel_probe()

    def record_failure(self, now_ms: int) -> None:
        """Record an error, an answer that broke off, or a missing answer."""
        self._breaker.record_failure(now_ms)

    def record_refusal(self, now_ms: int) -> None:
        """Record that the server refused a request without running it."""
        self._pause(now_ms + FULL_PAUSE_MS)

    def record_pause_request(self, now_ms: int, pause_ms: int) -> None:
        """Record that the server requested a pause of this gateway.

        It does not shorten an earlier pause, since answers may arrive out of order.
        """
        self._requested_ms = now_ms
        self._requested_until_ms = max(self._requested_until_ms, now_ms + pause_ms)
        self._pause(self._requested_until_ms)

    def record_peer_pause(self, now_ms: int, pause_ms: int) -> None:
        """Record that the server requested a pause of a peer."""
        self._pause(now_ms + min(pause_ms, MAX_PEER_PAUSE_MS))

    def remaining_pause_ms(self, now_ms: int) -> int:
        """Return the remaining time of the pause; 0 without one."""
        return max(0, self._paused_until_ms - now_ms)

    def pause_to_publish_ms(self, now_ms: int) -> int:
        """Return the remaining time of a pause to publish to the peers; 0 for none."""
        if now_ms - self._requested_ms >= PUBLISH_PAUSE_MS:
            return 0
        return max(0, self._requested_until_ms - now_ms)

    def mark_unreachable(self, now_ms: int) -> None:
        """Record that no connection could be opened; opens the circuit breaker."""
        for _ in range(breaker.FAILURES_TO_OPEN):
            self._breaker.record_failure(now_ms)

    def _pause(self, until_ms: int) -> None:
        self._paused_until_ms = max(self._paused_until_ms, until_ms)


class HealthRegistry:
    """The health of all backend servers, by id and incarnation."""

    def __init__(self) -> None:
        self._health_by_server: dict[servers.ServerId, ServerHealth] = {}

    def health_of(self, server: servers.ServerEntry) -> ServerHealth:
        """Return the health of a server; that of a new incarnation starts afresh."""
        health = self._health_by_server.get(server.server_id)
        if health is None or health.started_wall_ms != server.started_wall_ms:
            health = ServerHealth(server.started_wall_ms)
            self._health_by_server[server.server_id] = health
        return health

    def relative_slowness(
        self, entries: Sequence[servers.ServerEntry]
    ) -> dict[servers.ServerId, float]:
        """Return the ratio of each server's slowness to the median of `entries`.

        These are servers of one service.

        The expected time of an answer is only a rough estimate for a new service.  Its
        error is the same for all servers of the service, and the ratio cancels it.
        """
        slowness_by_server = {
            entry.server_id: self.health_of(entry).slowness for entry in entries
        }
        if not slowness_by_server:
            return {}
        median = statistics.median(slowness_by_server.values())
        return {
            server_id: max(MIN_SLOWNESS, slowness / median)
            for server_id, slowness in slowness_by_server.items()
        }

    def pauses_to_publish(self, now_ms: int) -> tuple[PeerPause, ...]:
        """Return the pauses to publish to the peers."""
        return tuple(
            PeerPause(servers.Incarnation(server_id, health.started_wall_ms), left_ms)
            for server_id, health in self._health_by_server.items()
            if (left_ms := health.pause_to_publish_ms(now_ms)) >= MIN_PUBLISHED_PAUSE_MS
        )

    def apply_peer_pause(self, peer_pause: PeerPause, now_ms: int) -> None:
        """Apply a pause that a peer has published.

        Ignored for an unknown server or another incarnation.
        """
        health = self._health_by_server.get(peer_pause.incarnation.server_id)
        if health is None:
            return
        if health.started_wall_ms == peer_pause.incarnation.started_wall_ms:
            health.record_peer_pause(now_ms, peer_pause.remaining_ms)

    def remove(self, server_id: servers.ServerId) -> None:
        """Remove a server that has left."""
        self._health_by_server.pop(server_id, None)
