"""Sets the receive buffers of connections as `receive_budget` decides."""

import contextlib
import itertools
import socket
from typing import Final

from tornado import iostream

from quincecrank import arrived_bytes
from quincecrank.budgets import receive_budget

SYSTEM_FACTOR: Final = 2
"""The system doubles the size that it is asked for."""


RECLAIM_CHECKS: Final = 16
"""Most connections that are checked for a buffer to reclaim: a system call for each."""


class ReceiveBuffers:
    """Receive buffers of the connections of a process.

    Attributes
    ----------
    budget : ReceiveBudget
        Budget of their sizes.
    """

    def __init__(self, budget: receive_budget.ReceiveBudget) -> None:
        self.budget = budget
        # In the order in which they are checked for a buffer to reclaim.
        self._large: dict[iostream.IOStream, None] = {}

    def prepare(self, listening: socket.socket) -> None:
        """Give base buffers to the connections that a socket will accept."""
        size = self.budget.base_bytes // SYSTEM_FACTOR
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def try_enlarge(self, stream: iostream.IOStream) -> bool:
        """Give a stream a large buffer if there is one; return whether it has one."""
        if stream in self._large:
            return True
        if stream.closed() or not (self.budget.try_enlarge() or self._reclaim()):
            self.budget.refusals += 1
            return False
        self._large[stream] = None
        _resize(stream, receive_budget.LARGE_BYTES)
        return True

    def release(self, stream: iostream.IOStream) -> None:
        """Release the large buffer of a stream that is closed, if it has one."""
        if stream in self._large:
            del self._large[stream]
            self.budget.release()

    def _reclaim(self) -> bool:
        """Take a large buffer from a connection on which nothing is unread.

        From then on the system drops what exceeds the base buffer, and the client sends
        it again.
        """
        for stream in tuple(itertools.islice(self._large, RECLAIM_CHECKS)):
            del self._large[stream]
            if not stream.closed() and not arrived_bytes.has_unread(stream):
                _resize(stream, self.budget.base_bytes)
                return True
            # It is checked again after all others.
            self._large[stream] = None
        return False


def _resize(stream: iostream.IOStream, size: int) -> None:
    connection = stream.socket
    asked = size // SYSTEM_FACTOR
    # The size is a preference: a connection that keeps the former one is served, too.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, asked)
        # The window of a connection stays that of its first buffer otherwise.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)
