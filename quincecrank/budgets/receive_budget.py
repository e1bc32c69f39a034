"""Decides how many bytes the system may receive ahead of a process.

Invariant
    The bytes that the system holds unread for the connections of the process's
    listeners stay within their share of the memory of the settings, however many
    clients send at once and however late the process reads.  Connections that have
    not been accepted yet are included.

Load pattern: a thousand clients send bodies at once, most of which the process rejects
or reads slowly.  By default the system receives 128 KB and more of each of them.

Terms
-----
receive buffer
    What the system may receive of a connection while the process does not read.
base buffer
    The receive buffer of each connection.
large buffer
    The receive buffer of a connection with a long request, while there are few.
"""

from typing import Final

LARGE_BYTES: Final = 128 * 1024
"""Size of a large buffer.  A larger one would need a scaled window, which a connection
that was opened with a base buffer does not have."""

LARGE_COST_BYTES: Final = 2 * LARGE_BYTES
"""What a large buffer counts for: as much is read ahead of it in larger pieces."""

MIN_BASE_BYTES: Final = 4 * 1024
"""Least size of a base buffer: a usual head arrives in one round trip."""

BASE_SHARE: Final = 0.5
"""Share of the unread bytes that is divided among the base buffers."""

MIN_LARGE_BUFFERS: Final = 8
"""Large buffers however little memory the settings name."""


class ReceiveBudget:
    """Budget of the receive buffers of one process; performs no I/O.

    Parameters
    ----------
    unread_bytes : int
        Most bytes that the system may hold unread.
    max_connections : int
        Most connections of all listeners, those that wait to be accepted included.

    Attributes
    ----------
    base_bytes : int
        Size of a base buffer.
    limit : int
        Most large buffers.
    large : int
        Large buffers in use.
    refusals : int
        How often a connection got no large buffer.
    """

    def __init__(self, unread_bytes: int, max_connections: int) -> None:
        share = int(unread_bytes * BASE_SHARE / max_connections)
        self.base_bytes = min(LARGE_BYTES, max(MIN_BASE_BYTES, share))
        rest = unread_bytes - self.base_bytes * max_connections
        self.limit = max(MIN_LARGE_BUFFERS, rest // LARGE_COST_BYTES)
        self.large = 0
        self.refusals = 0

    def try_enlarge(self) -> bool:
        """Return whether a further connection may have a large buffer; count it."""
        if self.large >= self.limit:
            return False
        self.large += 1
        return True

    def release(self) -> None:
        """Release a large buffer."""
        self.large -= 1
