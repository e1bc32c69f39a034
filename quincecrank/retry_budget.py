"""Bounds the load that retries add, and spreads retries in time.

A budget grows with each first attempt and slowly with time; each retry takes one from
it.
"""

import random
from typing import Final

from quincecrank import clock

RETRIES_PER_FIRST_ATTEMPT: Final = 0.1
"""Retries that each first attempt adds to the budget."""

MIN_RETRIES_PER_SECOND: Final = 0.2
"""Retries that each second adds to the budget, even without first attempts."""

MAX_SAVED_RETRIES: Final = 20.0
"""Maximum number of retries in the budget."""

BACKOFF_BASE_MS: Final = 25
"""Upper limit of the random delay before the first retry; doubles with each retry."""

BACKOFF_LIMIT_MS: Final = 2000
"""Value up to which this upper limit grows."""


class RetryBudget:
    """Tracks the retries that one entry may still make at a deployment."""

    def __init__(self, now_ms: int) -> None:
        self._saved_retries = 1.0
        self._last_refill_ms = now_ms

    def record_first_attempt(self) -> None:
        """Add `RETRIES_PER_FIRST_ATTEMPT` of a retry for a first attempt."""
        self._add(RETRIES_PER_FIRST_ATTEMPT)

    def try_spend(self, now_ms: int) -> bool:
        """Take one retry from the budget; False if none is left."""
        elapsed_ms = now_ms - self._last_refill_ms
        self._last_refill_ms = now_ms
        self._add(elapsed_ms * MIN_RETRIES_PER_SECOND / clock.MS_PER_SECOND)
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True

    def _add(self, amount: float) -> None:
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + amount)


def backoff_ms(retry: int, generator: random.Random) -> float:
    """Return the random delay before retry number `retry`, counted from 0.

    It is uniform between 0 and a limit that doubles with each retry.
    """
    # 16 bounds the power of two.
    limit_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** min(retry, 16))
    return generator.uniform(0, limit_ms)
