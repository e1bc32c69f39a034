"""Decides whether bytes of callers and backend servers may be held in memory.

Invariant
    The bytes of requests and answers that are held, all together, stay within what the
    memory of the settings leaves beside the process itself.  What can't be held is not
    read: a request is rejected at once as not run, an answer is passed on as it arrives
    or broken off.  Neither can use up the share of the other, nor that of the bytes
    that the system has received and the process has not read (`receive_budget`).

Load pattern: servers send answers without an end, some hundred at once, each within the
limits of one answer; or callers whose gateways were removed all send long bodies to the
one that is left.  Without a bound the platform ends the process for its memory, and the
requests of all other callers end with it.

Terms
-----
holder
    For whom bytes are held: callers (bodies of requests) or servers (answers).
account
    The bytes that are held for one request and its answers.
"""

import enum
from typing import Final

BYTES_PER_MB: Final = 1024 * 1024

PROCESS_BYTES: Final = 80 * BYTES_PER_MB
"""Memory of a process that holds no bytes: interpreter, state of the fleet, buffers of
connections, and documents of the store and of peers, which have limits of their own."""

MIN_SPARE_BYTES: Final = 24 * BYTES_PER_MB
"""Memory for held bytes however little the settings name: a single body of a usual
limit (4 MB) can be held."""


MIN_TRIMMED_BYTES: Final = 16 * BYTES_PER_MB
"""Released bytes after which unused memory is returned to the system."""


class Holder(enum.Enum):
    """For whom bytes are held."""

    CALLERS = "callers"
    SERVERS = "servers"


SHARE_BY_HOLDER: Final = {Holder.CALLERS: 0.35, Holder.SERVERS: 0.35}
UNREAD_SHARE: Final = 0.3
"""Shares of the memory for held bytes."""

MEMORY_PER_BYTE: Final = {Holder.CALLERS: 2.0, Holder.SERVERS: 1.25}
"""Memory that a held byte takes: a body is copied when it is sent to a server."""


class ByteBudget:
    """Budget of the bytes that one process holds; performs no I/O.

    Parameters
    ----------
    memory_mb : int
        Memory that the process may use.

    Attributes
    ----------
    limit_by_holder : dict
        Most bytes of each holder.
    unread_limit : int
        Most bytes that the system may hold unread.
    held_by_holder, rejections_by_holder : dict
        Bytes that are held, and how often further ones could not be.
    freed : int
        Bytes that were released since `take_freed`.
    """

    def __init__(self, memory_mb: int) -> None:
        spare = max(MIN_SPARE_BYTES, memory_mb * BYTES_PER_MB - PROCESS_BYTES)
        self.unread_limit = int(spare * UNREAD_SHARE)
        self.limit_by_holder = {
            holder: int(spare * share / MEMORY_PER_BYTE[holder])
            for holder, share in SHARE_BY_HOLDER.items()
        }
        self.held_by_holder = dict.fromkeys(Holder, 0)
        self.rejections_by_holder = dict.fromkeys(Holder, 0)
        self.freed = 0

    def take_freed(self) -> bool:
        """Return whether much was released since the last time that much was."""
        if self.freed < MIN_TRIMMED_BYTES:
            return False
        self.freed = 0
        return True

    def try_hold(self, holder: Holder, count: int) -> bool:
        """Hold further bytes; return False, and hold none, if they don't fit."""
        if self.held_by_holder[holder] + count > self.limit_by_holder[holder]:
            self.rejections_by_holder[holder] += 1
            return False
        self.held_by_holder[holder] += count
        return True

    def release(self, holder: Holder, count: int) -> None:
        """Release bytes that were held."""
        self.held_by_holder[holder] -= count
        self.freed += count


class Account:
    """The bytes that are held for one request, released together at its end."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held_by_holder = dict.fromkeys(Holder, 0)
        self._is_closed = False

    def try_hold(self, holder: Holder, count: int) -> bool:
        """Hold further bytes, as `ByteBudget.try_hold`; False after `close`."""
        if self._is_closed or not self._budget.try_hold(holder, count):
            return False
        self._held_by_holder[holder] += count
        return True

    def release(self, holder: Holder, count: int) -> None:
        """Release bytes before the end of the request."""
        released = min(count, self._held_by_holder[holder])
        self._held_by_holder[holder] -= released
        self._budget.release(holder, released)

    def close(self) -> None:
        """Release all bytes; nothing is held from now on."""
        self._is_closed = True
        for holder, count in self._held_by_holder.items():
            self._held_by_holder[holder] = 0
            self._budget.release(holder, count)
