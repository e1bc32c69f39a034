"""Share of a service's retry budget that this gateway may use.

Load pattern: many backend servers of a service fail at once, and every gateway retries
its requests at other servers.  All gateways together must stay within the operator's
budget without a coordinator.  So each one limits its retries to the operator's ratio
of its own first sends plus an equal share of the floor, the number of retries per
window that is allowed however few first sends there are.
"""

import collections
from typing import Final

from quincecrank.gateway import environment

BUDGET_FRACTION: Final = 0.6
"""Fraction of the budget that is used: gateways learn of each other with a delay, and
the retries of a replaced VM still count in the window."""


class RetryBudgetShare:
    """The sends to one service within the window of the retry budget.

    Attributes
    ----------
    bounds : Bounds
        The operator's ratio, floor and window; a reload may change them.

    Notes
    -----
    Invariant: the retries of any window are at most the ratio of the first sends of
    that window plus this gateway's share of the floor.
    """

    def __init__(self, bounds: environment.Bounds) -> None:
        self.bounds = bounds
        self._first_sends_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def record_first_send(self, now_ms: int) -> None:
        """Count the first send of a request.

        A request whose first send wrote no byte is counted again when it is sent.
        """
        self._expire(now_ms)
        self._first_sends_ms.append(now_ms)

    def try_retry(self, now_ms: int, gateway_count: int) -> bool:
        """Count a retry and return True if the budget allows it, else return False.

        Parameters
        ----------
        gateway_count : int
            Number of gateways that share the floor, including this one.
        """
        if not self.allows_retry(now_ms, gateway_count):
            return False
        self._retries_ms.append(now_ms)
        return True

    def allows_retry(self, now_ms: int, gateway_count: int) -> bool:
        """Return whether the budget allows a retry, without counting one."""
        self._expire(now_ms)
        allowed = BUDGET_FRACTION * (
            self.bounds.retry_ratio * len(self._first_sends_ms)
            + self.bounds.retry_floor / max(1, gateway_count)
        )
        return len(self._retries_ms) + 1 <= allowed

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.bounds.retry_window_ms
        for sends_ms in (self._first_sends_ms, self._retries_ms):
            while sends_ms and sends_ms[0] <= oldest_ms:
                sends_ms.popleft()
