"""The waiting line of one service at one gateway, and when a request is refused.

Load pattern: a burst brings more than the backend servers can take.  Requests wait
in order of urgency while they can still be on time; one that would be late before
its turn is refused at once, with the time in which the line will have moved on, so
that the burst is spread instead of being held until it is worthless.
"""

import dataclasses
import heapq
import itertools
from typing import Final

from quincecrank import ids

RATE_WINDOW_MS: Final = 2_000
"""Starts of requests within this time give the speed of the line."""

MAX_WAIT_SHARE: Final = 0.4
"""Part of the time that a request has for which it may wait; the rest is for its
run."""

ON_TIME_SHARE: Final = 0.5
"""Part of the on-time target for which a new request may be expected to wait while
others wait as well."""

MIN_RETRY_AFTER_MS: Final = 200
MAX_RETRY_AFTER_MS: Final = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a backend server.

    Attributes
    ----------
    urgency : int
        Rank; 0 goes first.
    arrived_ms, deadline_ms : int
        Instants of its arrival and of the end of the time that it has.
    target_ms : int
        Time within which its answer is on time.
    """

    request_id: ids.RequestId
    urgency: int
    arrived_ms: int
    deadline_ms: int
    target_ms: int

    @property
    def latest_start_ms(self) -> float:
        """Instant after which the request is not started any more."""
        whole_ms = self.deadline_ms - self.arrived_ms
        return self.arrived_ms + whole_ms * MAX_WAIT_SHARE


class WaitingLine:
    """Aggregate of the requests that wait for a service, by urgency and arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Ticket]] = []
        self._sequence = itertools.count()
        self._starts_ms: list[int] = []

    def __len__(self) -> int:
        return len(self._heap)

    def expected_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Return the time after which a request would be started."""
        ahead = sum(1 for each in self._heap if each[0] <= ticket.urgency)
        if not ahead:
            return 0.0
        starts = sum(1 for at_ms in self._starts_ms if now_ms - at_ms < RATE_WINDOW_MS)
        return ahead * RATE_WINDOW_MS / max(1, starts)

    def accepts(self, ticket: Ticket, now_ms: int) -> bool:
        """Return whether a request may wait."""
        wait_ms = self.expected_wait_ms(ticket, now_ms)
        limit_ms = ticket.target_ms * ON_TIME_SHARE
        return wait_ms <= limit_ms and now_ms + wait_ms < ticket.latest_start_ms

    def retry_after_ms(self, ticket: Ticket, now_ms: int, jitter: float) -> int:
        """Return when a refused request may come back.

        Parameters
        ----------
        jitter : float
            Uniform number from 0 to 1, which spreads callers over the time that the
            line needs.
        """
        wait_ms = self.expected_wait_ms(ticket, now_ms)
        spread_ms = MIN_RETRY_AFTER_MS + wait_ms * (0.5 + jitter)
        return int(min(MAX_RETRY_AFTER_MS, spread_ms))

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        heapq.heappush(self._heap, (ticket.urgency, next(self._sequence), ticket))

    def first(self) -> Ticket | None:
        """Return the request whose turn it is."""
        return self._heap[0][2] if self._heap else None

    def in_order(self) -> tuple[Ticket, ...]:
        """Return the waiting requests in the order of their turns."""
        return tuple(ticket for _, _, ticket in sorted(self._heap)[:])

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a request that starts, gave up or is refused."""
        self._heap = [e for e in self._heap if e[2].request_id != request_id]
        heapq.heapify(self._heap)

    def started(self, now_ms: int) -> None:
        """Count a request that got a backend server, whether it waited or not."""
        self._starts_ms.append(now_ms)
        if len(self._starts_ms) > 2 * RATE_WINDOW_MS:
            self._starts_ms = [
                at_ms for at_ms in self._starts_ms if now_ms - at_ms < RATE_WINDOW_MS
            ]

    def take_late(self, now_ms: int) -> tuple[Ticket, ...]:
        """Remove and return the requests that waited for too long."""
        late = tuple(e[2] for e in self._heap if now_ms >= e[2].latest_start_ms)
        for ticket in late:
            self.remove(ticket.request_id)
        return late
