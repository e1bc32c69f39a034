"""Buffers the bodies of caller requests within a limit per body and one per process.

The rest of a body that is too large is read and discarded up to `MAX_DISCARDED_BYTES`:
a caller that is still sending when the connection closes may not receive the refusal.
"""

import dataclasses
from typing import Final

from quincecrank import problems, refusals

MAX_DISCARDED_BYTES: Final = 16 * 1024 * 1024
"""Bytes read beyond a body's limit, so that its caller receives the refusal."""

MAX_BUFFERED_BYTES: Final = 256 * 1024 * 1024
"""Bytes of all bodies that one process buffers at the same time."""

MAX_LENGTH_DIGITS: Final = 18
"""Digits of a Content-Length that are parsed; no real body needs more."""


@dataclasses.dataclass
class BufferedBytes:
    """Number of buffered body bytes of all requests of a process."""

    count: int = 0


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    max_bytes : int
        A longer body is refused.
    held : BufferedBytes
        Counter that all requests of the process share.

    Attributes
    ----------
    problem : Problem or None
        Why the body is refused, in which case the rest is read and discarded.
    """

    def __init__(self, max_bytes: int, held: BufferedBytes) -> None:
        self.problem: problems.Problem | None = None
        self._max_bytes = max_bytes
        self._process_buffered = held
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._read_bytes = 0

    @property
    def exceeds_read_limit(self) -> bool:
        """Whether more than `MAX_DISCARDED_BYTES` beyond the limit has been read."""
        return self._read_bytes > self._max_bytes + MAX_DISCARDED_BYTES

    def declare_length(self, length: str, *, waits: bool) -> bool:
        """Check the declared length; return whether to refuse without reading the body.

        Parameters
        ----------
        length : str
            Value of the header ``Content-Length``.
        waits : bool
            Whether the caller waits for ``100 Continue`` before it sends the body.
        """
        size = 0
        if length.isdecimal():
            size = int(length[:MAX_LENGTH_DIGITS])
        if size <= self._max_bytes:
            return False
        self.problem = refusals.too_large(self._max_bytes)
        return waits or size > self._max_bytes + MAX_DISCARDED_BYTES

    def add(self, chunk: bytes) -> None:
        """Buffer a chunk; beyond a limit, discard it and all buffered ones."""
        self._read_bytes += len(chunk)
        if self._read_bytes > self._max_bytes:
            self.problem = refusals.too_large(self._max_bytes)
        elif self._process_buffered.count + len(chunk) > MAX_BUFFERED_BYTES:
            self.problem = refusals.too_many_requests()
        if self.problem is not None:
            self.release()
            return
        self._parts.append(chunk)
        self._buffered_bytes += len(chunk)
        self._process_buffered.count += len(chunk)

    def take(self) -> bytes:
        """Return the complete body and drop the buffered chunks; call it only once.

        The body counts as buffered until `release`.
        """
        parts = self._parts
        self._parts = []
        return b"".join(parts)

    def release(self) -> None:
        """Discard the buffered chunks and subtract them from the shared counter."""
        self._parts.clear()
        self._process_buffered.count -= self._buffered_bytes
        self._buffered_bytes = 0
