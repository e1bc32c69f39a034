"""Observes how long backend servers take for the complete answers of each route.

Differs from `service_times`, which estimates the time to the first event: a gateway
that shuts down needs to know when an answer will have ended.
"""

import collections
import dataclasses
from collections.abc import Collection
from typing import Final

from quincecrank.gateway import deployment

MAX_ANSWERS: Final = 64
"""Number of the latest answers of a route that count."""

TYPICAL_QUANTILE: Final = 0.9

MIN_REST: Final = 0.1
"""Smallest share of an answer's time that a resumed rest takes: the prompt is read
again, and the number of tokens is an estimate."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTime:
    """The time from a send to the end of the answer.

    Attributes
    ----------
    typical_ms, longest_ms : int
        Time of most answers, and of the slowest one.
    """

    typical_ms: int
    longest_ms: int

    def rest_ms(self, done: int, expected: int) -> float:
        """Return the typical time of what is left of an answer.

        Parameters
        ----------
        done, expected : int
            Number of tokens so far, and expected number of all, at least 1.
        """
        return self.typical_ms * max(1 - done / expected, MIN_REST)


class AnswerTimes:
    """The times of complete answers, by route."""

    def __init__(self) -> None:
        self._times_by_route: dict[
            deployment.RouteName, collections.deque[tuple[int, int]]
        ] = {}

    def record(
        self, route: deployment.RouteName, took_ms: int, tokens: int = 0
    ) -> None:
        """Record one complete answer and the number of its tokens, 0 without any."""
        times = self._times_by_route.get(route)
        if times is None:
            times = self._times_by_route[route] = collections.deque(maxlen=MAX_ANSWERS)
        times.append((took_ms, tokens))

    def time_of(
        self, route: deployment.RouteName, tokens: int = 0
    ) -> AnswerTime | None:
        """Return the time of a route's answers; None if none has been observed.

        Parameters
        ----------
        tokens : int
            Expected tokens of the answer.  If all answers so far had fewer, the longest
            time is that much longer.
        """
        observed = sorted(self._times_by_route.get(route, ()))
        if not observed:
            return None
        typical_ms, _ = observed[int(len(observed) * TYPICAL_QUANTILE)]
        longest_ms, _ = observed[-1]
        most_tokens = max(count for _, count in observed)
        if tokens > most_tokens > 0:
            longest_ms = round(longest_ms * tokens / most_tokens)
        return AnswerTime(typical_ms, longest_ms)

    def retain(self, routes: Collection[deployment.RouteName]) -> None:
        """Remove all routes but those of the configuration."""
        for route in set(self._times_by_route) - set(routes):
            del self._times_by_route[route]
