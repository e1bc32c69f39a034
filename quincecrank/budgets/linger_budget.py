"""Decides how long the rest of a rejected request is read and dropped.

Invariant
    What is read of rejected requests is bounded for each connection, in bytes and in
    time, and in the number of connections.

Load pattern: hundreds of clients go on to send bodies that were rejected by their head.
Closing a connection with unread bytes resets it, so that its client may lose the
answer; reading all that clients send would take the time of all other requests.
"""

import dataclasses
from typing import Final

MAX_BYTES: Final = 32 * 1024 * 1024
"""Most bytes of a rejected request that are dropped."""

MAX_MS: Final = 5_000
"""Longest time for which a rejected request is read."""

MAX_COUNTED_MS: Final = 200
"""Longest time between two reads that counts towards it: while the event loop is late,
what arrives lies unread."""

MAX_CONNECTIONS: Final = 64
"""Most connections whose rejected requests are read at the same time."""


@dataclasses.dataclass(slots=True)
class Lingering:
    """A connection whose rejected request is read.

    Attributes
    ----------
    read_ms : int
        Time of the last read.
    counted_ms : int
        Time for which the request has been read.
    dropped : int
        Number of bytes that were dropped.
    """

    read_ms: int
    counted_ms: int = 0
    dropped: int = 0


class LingerBudget:
    """Budget of what one process reads of rejected requests; performs no I/O.

    Attributes
    ----------
    connections : int
        Connections whose rejected requests are read.
    closes : int
        Connections that were closed for this budget.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.closes = 0

    def begin(self, now_ms: int) -> Lingering | None:
        """Begin to read the rest of a rejected request; None if it may not be read."""
        if self.connections >= MAX_CONNECTIONS:
            self.closes += 1
            return None
        self.connections += 1
        return Lingering(now_ms)

    def may_drop(self, lingering: Lingering, count: int, now_ms: int) -> bool:
        """Count dropped bytes; return whether more of the request may be read."""
        lingering.dropped += count
        lingering.counted_ms += min(now_ms - lingering.read_ms, MAX_COUNTED_MS)
        lingering.read_ms = now_ms
        if lingering.dropped <= MAX_BYTES and lingering.counted_ms <= MAX_MS:
            return True
        self.closes += 1
        return False

    def end(self) -> None:
        """End to read a rejected request."""
        self.connections -= 1
