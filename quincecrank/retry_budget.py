"""Bounds the load that retries add, and spreads them in time."""

import random
from typing import Final

from quincecrank import clock

RETRY_SHARE: Final = 0.1
"""Retries allowed for each first attempt."""

FLOOR_PER_SECOND: Final = 0.2
"""Retries allowed each second whatever the number of first attempts."""

MAX_SAVED: Final = 20.0
"""Retries that may be saved up."""

BACKOFF_BASE_MS: Final = 25
BACKOFF_LIMIT_MS: Final = 2000


class RetryBudget:
    """Aggregate of the retries that one entry may still make on a deployment."""

    def __init__(self, now_ms: int) -> None:
        self._saved = 1.0
        self._refilled_ms = now_ms

    def first_attempt(self) -> None:
        """Add the part of a retry that a first attempt allows."""
        self._save(RETRY_SHARE)

    def try_spend(self, now_ms: int) -> bool:
        """Take one retry out of the budget; False if none is left."""
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        self._save(elapsed_ms * FLOOR_PER_SECOND / clock.MS_PER_SECOND)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _save(self, amount: float) -> None:
        self._saved = min(MAX_SAVED, self._saved + amount)


def backoff_ms(retry: int, generator: random.Random) -> float:
    """Return the delay before retry number `retry`, counted from 0, with jitter."""
    limit = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** min(retry, 16))
    return generator.uniform(0, limit)
