"""Part of the retries on a service that this gateway may make.

Load pattern: many backend servers of a service fail at once, and every gateway
wants to send its requests a second time.  Without a coordinator each gateway keeps
to the operator's ratio of its own first sends, and to its part of the floor.
"""

import collections
from typing import Final

from quincecrank.gateway import environment

SAFETY: Final = 0.6
"""Part of the budget that is used: gateways see each other late, and a machine that
was replaced leaves its sends of the window behind."""


class RetryShare:
    """Aggregate of the sends to one service in the budget's window.

    Attributes
    ----------
    bounds : Bounds
        The operator's ratio, floor and window; a reload may change them.

    Notes
    -----
    Invariant: the further sends of any window are at most the ratio of the first
    sends of that window plus this gateway's part of the floor.
    """

    def __init__(self, bounds: environment.Bounds) -> None:
        self.bounds = bounds
        self._first_ms: collections.deque[int] = collections.deque()
        self._further_ms: collections.deque[int] = collections.deque()

    def first_send(self, now_ms: int) -> None:
        """Count the first send of a request."""
        self._expire(now_ms)
        self._first_ms.append(now_ms)

    def try_further_send(self, now_ms: int, gateways: int) -> bool:
        """Count a further send of a request if the budget allows it.

        Parameters
        ----------
        gateways : int
            Gateways that share the floor, this one included.
        """
        self._expire(now_ms)
        allowed = SAFETY * (
            self.bounds.retry_ratio * len(self._first_ms)
            + self.bounds.retry_floor / max(1, gateways)
        )
        if len(self._further_ms) + 1 > allowed:
            return False
        self._further_ms.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.bounds.retry_window_ms
        for times in (self._first_ms, self._further_ms):
            while times and times[0] <= oldest_ms:
                times.popleft()
