"""Checks that the gateways together stay within a backend server's rate limit.

In any window of `WINDOW_MS`, a server gets at most `BURST_FACTOR` times what its limit
allows plus `SLACK_REQUESTS`, from `CONTACT_MS` after it first named the limit.  Counted
are the requests of gateways that had an answer that names the limit at least
`NOTICE_MS` before, and that are not excused.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

WINDOW_MS: Final = 4_000
BURST_FACTOR: Final = 1.5
SLACK_REQUESTS: Final = 5
CONTACT_MS: Final = 3_000
NOTICE_MS: Final = 500


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server."""

    at_ms: float
    gateway: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer to a gateway; `per_second` is the limit that it names, if any."""

    at_ms: float
    gateway: str
    per_second: float | None


@dataclasses.dataclass(frozen=True)
class Excuse:
    """Time in which the requests of a gateway do not count."""

    gateway: str
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True)
class LimitChange:
    """The limit that a server names from a time on; None for no limit."""

    at_ms: float
    per_second: float | None


@dataclasses.dataclass(frozen=True)
class Window:
    """The window with the highest ratio of requests to the allowance."""

    ends_ms: float
    requests: int
    allowed: float

    @property
    def ratio(self) -> float:
        """Requests as a fraction of the allowance."""
        return self.requests / self.allowed


def worst_window(
    changes: Sequence[LimitChange],
    arrivals: Iterable[Arrival],
    answers: Iterable[Answer],
    excuses: Sequence[Excuse] = (),
    contact_ms: float = CONTACT_MS,
) -> Window | None:
    """Return the worst window of one server; None if no request counts.

    Parameters
    ----------
    changes : sequence of LimitChange
        The limits that the server named, ascending by time.
    contact_ms : float
        Time after the first naming from which windows may end.
    """
    worst: Window | None = None
    for first, last in _limited_stretches(changes):
        noticed_ms_by_gateway: dict[str, float] = {}
        for answer in answers:
            if answer.per_second is not None and first <= answer.at_ms < last:
                noticed_ms_by_gateway[answer.gateway] = min(
                    answer.at_ms,
                    noticed_ms_by_gateway.get(answer.gateway, answer.at_ms),
                )
        window: collections.deque[float] = collections.deque()
        for arrival in sorted(arrivals, key=lambda each: each.at_ms):
            noticed_ms = noticed_ms_by_gateway.get(arrival.gateway)
            if (
                noticed_ms is None
                or arrival.at_ms < noticed_ms + NOTICE_MS
                or arrival.at_ms >= last
                or _is_excused(arrival, excuses)
            ):
                continue
            window.append(arrival.at_ms)
            while window[0] <= arrival.at_ms - WINDOW_MS:
                window.popleft()
            if arrival.at_ms < first + contact_ms:
                continue
            found = Window(
                arrival.at_ms,
                len(window),
                BURST_FACTOR * _allowed_requests(changes, arrival.at_ms)
                + SLACK_REQUESTS,
            )
            if worst is None or found.ratio > worst.ratio:
                worst = found
    return worst


def excess_requests(
    server: str,
    changes: Sequence[LimitChange],
    arrivals: Iterable[Arrival],
    answers: Iterable[Answer],
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Return a line if some window of a server has more requests than allowed."""
    worst = worst_window(changes, tuple(arrivals), tuple(answers), excuses)
    if worst is None or worst.requests <= worst.allowed:
        return []
    return [
        f"{server} got {worst.requests} requests in {WINDOW_MS} ms until"
        f" {worst.ends_ms:.0f} ms, allowed {worst.allowed:.1f}"
    ]


def gateway_of(field: str) -> str:
    """Return the gateway that the id of a request names, `id=GATEWAY/...`."""
    return field.removeprefix("id=").partition("/")[0]


def _limited_stretches(
    changes: Sequence[LimitChange],
) -> Iterable[tuple[float, float]]:
    """Yield the time of the first naming and of the end of each limited stretch."""
    first: float | None = None
    for change in changes:
        if change.per_second is not None and first is None:
            first = change.at_ms
        elif change.per_second is None and first is not None:
            yield first, change.at_ms
            first = None
    if first is not None:
        yield first, float("inf")


def _allowed_requests(changes: Sequence[LimitChange], ends_ms: float) -> float:
    """Return the requests that the limits allow in the window that ends at a time.

    A part of the window before the first naming counts by the limit named next.
    """
    allowed = 0.0
    until_ms = ends_ms
    starts_ms = ends_ms - WINDOW_MS
    later_per_second = 0.0
    for change in reversed([each for each in changes if each.at_ms <= ends_ms]):
        since_ms = max(change.at_ms, starts_ms)
        if change.per_second is not None:
            later_per_second = change.per_second
        allowed += later_per_second * max(0.0, until_ms - since_ms) / 1_000
        until_ms = min(until_ms, since_ms)
    return allowed + later_per_second * max(0.0, until_ms - starts_ms) / 1_000


def _is_excused(arrival: Arrival, excuses: Sequence[Excuse]) -> bool:
    return any(
        each.gateway == arrival.gateway
        and each.from_ms <= arrival.at_ms <= each.until_ms
        for each in excuses
    )
