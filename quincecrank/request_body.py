"""Collects the body of a caller's request within its bounds."""

import dataclasses
from typing import Final

from quincecrank import problems, refusals

MAX_DISCARDED_BYTES: Final = 16 * 1024 * 1024
"""Bytes beyond the bound of a body that are read, so that the refusal arrives."""

MAX_HELD_BYTES: Final = 256 * 1024 * 1024
"""Bytes of all bodies that one process holds at once."""

MAX_LENGTH_DIGITS: Final = 18
"""Digits of an announced length that are read; more announce no real body."""


@dataclasses.dataclass
class HeldBytes:
    """Bytes of the bodies of all requests of a process."""

    count: int = 0


class RequestBody:
    """The body of one request.

    Parameters
    ----------
    max_bytes : int
        A longer body is refused.
    held : HeldBytes
        Shared by all requests of the process.

    Attributes
    ----------
    problem : Problem or None
        Why the body is refused; then it is read on without being kept.
    """

    def __init__(self, max_bytes: int, held: HeldBytes) -> None:
        self.problem: problems.Problem | None = None
        self._max_bytes = max_bytes
        self._held = held
        self._parts: list[bytes] = []
        self._kept_bytes = 0
        self._read_bytes = 0

    @property
    def is_endless(self) -> bool:
        """Tell whether more was read than is worth reading on."""
        return self._read_bytes > self._max_bytes + MAX_DISCARDED_BYTES

    def announced(self, length: str, *, waits: bool) -> bool:
        """Take the announced length; tell whether to refuse without reading.

        Parameters
        ----------
        length : str
            Value of the header ``Content-Length``.
        waits : bool
            Whether the caller waits for leave to send the body.
        """
        size = 0
        if length.isdecimal():
            size = int(length[:MAX_LENGTH_DIGITS])
        if size <= self._max_bytes:
            return False
        self.problem = refusals.too_large(self._max_bytes)
        return waits or size > self._max_bytes + MAX_DISCARDED_BYTES

    def add(self, chunk: bytes) -> None:
        """Keep a further part, or discard it when the body is refused."""
        self._read_bytes += len(chunk)
        if self._read_bytes > self._max_bytes:
            self.problem = refusals.too_large(self._max_bytes)
        elif self._held.count + len(chunk) > MAX_HELD_BYTES:
            self.problem = refusals.too_many()
        if self.problem is not None:
            self.release()
            return
        self._parts.append(chunk)
        self._kept_bytes += len(chunk)
        self._held.count += len(chunk)

    def take(self) -> bytes:
        """Return the whole body; may be called once, and leaves no copy behind."""
        parts = self._parts
        self._parts = []
        return b"".join(parts)

    def release(self) -> None:
        """Forget the body."""
        self._parts.clear()
        self._held.count -= self._kept_bytes
        self._kept_bytes = 0
