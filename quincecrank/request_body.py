"""Buffers the bodies of caller requests within a limit per body and the byte budget.

A body that can't be buffered is refused as early as that is known: from the head of its
request if the length is declared.  The rest of one that is somewhat too large is read
and discarded, so that its connection stays usable, as far as `budgets.linger_budget`
allows.
"""

from typing import Final

from quincecrank import problems, refusals
from quincecrank.budgets import byte_budget

MAX_DISCARDED_BYTES: Final = 16 * 1024 * 1024
"""Bytes beyond a body's limit from which on it is refused without reading the rest."""

MAX_LENGTH_DIGITS: Final = 18
"""Digits of a Content-Length that are parsed; no real body needs more."""


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    max_bytes : int
        A longer body is refused.
    budget : ByteBudget
        Budget of the bytes that the process holds.

    Attributes
    ----------
    problem : Problem or None
        Why the body is refused; nothing is buffered from then on.
    """

    def __init__(self, max_bytes: int, budget: byte_budget.ByteBudget) -> None:
        self.problem: problems.Problem | None = None
        self._max_bytes = max_bytes
        self._account = byte_budget.Account(budget)
        self._held_bytes = 0
        self._size = 0
        # One buffer: the pieces of a body may be of a few bytes.
        self._buffer = bytearray()

    @property
    def ends_connection(self) -> bool:
        """Whether a refused body is too long to be read and discarded."""
        return self._size > self._max_bytes + MAX_DISCARDED_BYTES

    def declare_length(self, size: int) -> None:
        """Hold the declared length of the body, or refuse it."""
        self._hold(size)

    def add(self, chunk: bytes) -> None:
        """Buffer a chunk; beyond a limit, discard it and all buffered ones."""
        if self.problem is not None:
            self._size += len(chunk)
            return
        self._hold(len(self._buffer) + len(chunk))
        if self.problem is None:
            self._buffer += chunk

    def take(self) -> bytes:
        """Return the complete body and drop the buffer; call it only once.

        The body counts as held until `release`.
        """
        body = bytes(self._buffer)
        self._buffer.clear()
        return body

    def release(self) -> None:
        """Discard what is buffered, and hold nothing from now on."""
        self._buffer.clear()
        self._account.close()

    def _hold(self, size: int) -> None:
        """Hold the bytes of a body of a size, or refuse it."""
        self._size = size
        added = size - self._held_bytes
        if size > self._max_bytes:
            self.problem = refusals.too_large(self._max_bytes)
        elif added > 0:
            if self._account.try_hold(byte_budget.Holder.CALLERS, added):
                self._held_bytes = size
            else:
                self.problem = refusals.too_many_requests()
        if self.problem is not None:
            self.release()


def declared_length(length: str) -> int:
    """Return the value of the header ``Content-Length``; 0 if it is malformed."""
    return int(length[:MAX_LENGTH_DIGITS]) if length.isdecimal() else 0
