"""Builders of shutdowns with the requests that are open or arrive meanwhile.

Times are in milliseconds from the signal.
"""

import dataclasses
from typing import Final

from hypothesis import strategies

MAX_GAP_FRACTION: Final = 0.03
"""Longest time between two passes of the loop, as a fraction of the grace time."""


@dataclasses.dataclass
class OpenRequest:
    """A request, and the answer of the backend server it is sent to.

    Attributes
    ----------
    arrived_ms : int
        Time of its arrival.
    limit_ms : int
        Its time limit, from its arrival.
    begins_after_ms, ends_after_ms : int
        Times from its sending to the first and the last byte of its answer.
    may_repeat : bool
        Whether it may run more than once.
    sent_ms : int or None
        Time at which it was sent.
    """

    arrived_ms: int
    limit_ms: int
    begins_after_ms: int
    ends_after_ms: int
    may_repeat: bool
    sent_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Shutdown:
    """The conditions of a shutdown.

    Attributes
    ----------
    grace_ms : int
        Grace time.
    earliest_ms, latest_ms : int
        Bounds of the signal's time, which is 0.
    gaps_ms : list of int
        Times between passes of the loop, again and again.
    requests : list of OpenRequest
        Requests in any order.
    """

    grace_ms: int
    earliest_ms: int
    latest_ms: int
    gaps_ms: list[int]
    requests: list[OpenRequest]


@strategies.composite
def _requests(draw: strategies.DrawFn, grace_ms: int) -> OpenRequest:
    begins_after_ms = draw(strategies.integers(0, grace_ms))
    return OpenRequest(
        draw(strategies.integers(-grace_ms, grace_ms)),
        draw(strategies.integers(1, 2 * grace_ms)),
        begins_after_ms,
        begins_after_ms + draw(strategies.integers(0, 2 * grace_ms)),
        draw(strategies.booleans()),
    )


@strategies.composite
def shutdowns(draw: strategies.DrawFn) -> Shutdown:
    """Return any shutdown whose loop is in time once it has noticed the signal."""
    grace_ms = draw(strategies.integers(1_000, 30_000))
    bounds = strategies.integers(0, grace_ms // 5)
    gap_ms = draw(strategies.integers(20, int(grace_ms * MAX_GAP_FRACTION)))
    gaps = strategies.lists(strategies.integers(20, gap_ms), min_size=1, max_size=8)
    requests = strategies.lists(_requests(grace_ms), max_size=8)
    return Shutdown(grace_ms, -draw(bounds), draw(bounds), draw(gaps), draw(requests))
