"""Stream of a caller's connection.

Invariant
    Reading a head takes time in proportion to its length, however many pieces it
    arrives in.

Load pattern: hundreds of callers send heads of many kilobytes in pieces of a few bytes.
The HTTP library's stream searches all that has arrived of a head at each piece.
"""

from collections.abc import Awaitable
from typing import Final

from tornado import iostream

HEAD_END_BYTES: Final = 4
"""Longest end of a head: two line ends."""


class CallerStream(iostream.IOStream):
    """Stream that searches each byte of a head about once."""

    _searched_bytes = 0

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head, as `IOStream.read_until_regex`."""
        self._searched_bytes = 0
        return super().read_until_regex(regex, max_bytes)

    def _find_read_pos(self) -> int | None:
        """Return where the bytes end that complete the present read; or None."""
        if self._read_regex is None:
            return super()._find_read_pos()
        begin = max(0, self._searched_bytes - HEAD_END_BYTES + 1)
        found = self._read_regex.search(self._read_buffer, begin)
        self._searched_bytes = self._read_buffer_size
        end = self._read_buffer_size if found is None else found.end()
        self._check_max_bytes(self._read_regex, end)
        return None if found is None else end
