"""Circuit breaker of one backend server.

After several consecutive failures the breaker opens and no requests are sent.  After
a delay, which grows with each opening, it is half open: one probe request may be sent,
whose result closes the breaker or opens it again.
"""

import enum
from typing import Final

FAILURES_TO_OPEN: Final = 3
"""Consecutive failures after which a breaker opens."""

OPEN_MS: Final = 500
"""Time for which a breaker first stays open; it doubles with each opening."""

MAX_OPEN_MS: Final = 15_000
"""Longest time for which a breaker stays open."""

PROBE_TIMEOUT_MS: Final = 10_000
"""Time after which a probe without a result counts as failed."""


class BreakerState(enum.Enum):
    """Whether requests may be sent."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Tracks the recent failures of one backend server."""

    def __init__(self) -> None:
        self._failures = 0
        self._openings = 0
        self._open_until_ms: int | None = None
        self._probe_sent_ms: int | None = None

    def state(self, now_ms: int) -> BreakerState:
        """Return the state at `now_ms`."""
        if self._open_until_ms is None:
            return BreakerState.CLOSED
        if now_ms < self._open_until_ms:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allows(self, now_ms: int) -> bool:
        """Return whether a request may be sent now.

        A half-open breaker allows one probe, and another after `PROBE_TIMEOUT_MS`.
        """
        state = self.state(now_ms)
        if state is not BreakerState.HALF_OPEN:
            return state is BreakerState.CLOSED
        sent_ms = self._probe_sent_ms
        return sent_ms is None or now_ms - sent_ms >= PROBE_TIMEOUT_MS

    def cancel_probe(self) -> None:
        """Allow another probe: the last one was withdrawn before its outcome."""
        self._probe_sent_ms = None

    def record_send(self, now_ms: int) -> None:
        """Record that a request was sent; at a half-open breaker it is the probe."""
        if self.state(now_ms) is BreakerState.HALF_OPEN:
            self._probe_sent_ms = now_ms

    def record_success(self) -> None:
        """Close the breaker after an answer."""
        self._failures = 0
        self._openings = 0
        self._open_until_ms = None
        self._probe_sent_ms = None

    def record_failure(self, now_ms: int) -> None:
        """Count a failure.  Must not be called for a refusal by the server."""
        self._failures += 1
        state = self.state(now_ms)
        if state is BreakerState.OPEN:
            return
        if state is BreakerState.CLOSED and self._failures < FAILURES_TO_OPEN:
            return
        # 16 bounds the power of two.
        open_ms = min(MAX_OPEN_MS, OPEN_MS * 2 ** min(self._openings, 16))
        self._openings += 1
        self._open_until_ms = now_ms + open_ms
        self._probe_sent_ms = None
