"""Fairness between small and large prompts of one route.

Load pattern: engines are nearly full.  A large prompt is the last to find free memory
and the first whose estimated time exceeds its target.  Without a rule of its own, most
large prompts of a route would be rejected while nearly all small ones are served.  So
the requests of a size class that is served much less often than its route
(underserved) are queued like requests that can be on time, as long as they can be
answered at all.
"""

import collections
import dataclasses
import math
from typing import Final

UNDERSERVED_RATIO: Final = 0.6
"""A size class is underserved below this fraction of its route's rate of placement.  At
least half of that rate is required.  A large prompt takes the engine time of many small
ones, so that a higher value makes others late."""

MIN_REQUESTS: Final = 3.0
"""Requests of a size class from which its rate counts: two rejections may be chance."""

DECAY_TIME_MS: Final = 20_000.0
"""Time after which an outcome counts e times less: it spans some bursts, and a gateway
sees several large prompts within it."""

MAX_ROUTES: Final = 4_096
"""Bound of the tracked routes, since they come and go with the configuration; the
oldest one is evicted."""


@dataclasses.dataclass(slots=True)
class _Outcomes:
    """Exponentially decaying counts of one size class."""

    requested: float = 0.0
    placed: float = 0.0
    at_ms: int = 0

    def decay_to(self, now_ms: int) -> None:
        remaining = math.exp((self.at_ms - now_ms) / DECAY_TIME_MS)
        self.requested *= remaining
        self.placed *= remaining
        self.at_ms = now_ms


class SizeFairness:
    """How often the requests of each size class of each route were placed.

    A size class spans a factor of two, so that a route has few of them.
    """

    def __init__(self) -> None:
        self._outcomes_by_size_by_route: collections.defaultdict[
            str, collections.defaultdict[int, _Outcomes]
        ] = collections.defaultdict(lambda: collections.defaultdict(_Outcomes))

    def is_underserved(self, route: str, tokens: int, now_ms: int) -> bool:
        """Return whether the size class of a prompt was underserved lately."""
        outcomes_by_size = self._outcomes_by_size_by_route[route]
        own = outcomes_by_size[_size_class(tokens)]
        if own.requested < MIN_REQUESTS:
            return False
        for outcomes in outcomes_by_size.values():
            outcomes.decay_to(now_ms)
        requested = sum(outcomes.requested for outcomes in outcomes_by_size.values())
        placed = sum(outcomes.placed for outcomes in outcomes_by_size.values())
        return own.placed * requested < UNDERSERVED_RATIO * placed * own.requested

    def record_outcome(
        self, route: str, tokens: int, now_ms: int, *, is_placed: bool
    ) -> None:
        """Count a request that was placed or rejected."""
        outcomes = self._outcomes_by_size_by_route[route][_size_class(tokens)]
        while len(self._outcomes_by_size_by_route) > MAX_ROUTES:
            del self._outcomes_by_size_by_route[
                next(iter(self._outcomes_by_size_by_route))
            ]
        outcomes.decay_to(now_ms)
        outcomes.requested += 1.0
        outcomes.placed += is_placed


def _size_class(tokens: int) -> int:
    return max(1, tokens).bit_length()
