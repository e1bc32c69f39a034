"""Stream of a caller's connection, as far as it reads heads.

Invariant
    Reading a head takes time in proportion to its length, however many pieces it
    arrives in, and heads of many lines share the event loop as `head_budget` says.

Load pattern: hundreds of callers send heads of many kilobytes in pieces of a few bytes.
The HTTP library's stream searches all that has arrived of a head at each piece.
"""

import socket
from collections.abc import Awaitable
from typing import Final

from tornado import iostream

from quincecrank import arrived_bytes
from quincecrank.budgets import head_turns

HEAD_END_BYTES: Final = 4
"""Longest end of a head: two line ends."""


class BoundedStream(iostream.IOStream):
    """Stream that searches each byte of a head about once.

    Parameters
    ----------
    turns : HeadTurns
        Heads that wait to be parsed.
    """

    def __init__(self, connection: socket.socket, turns: head_turns.HeadTurns) -> None:
        super().__init__(connection)
        self._turns = turns
        self._searched_bytes = 0

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head, as `IOStream.read_until_regex`, and wait until its turn."""
        self._searched_bytes = 0
        return self._wait_for_turn(super().read_until_regex(regex, max_bytes))

    async def _wait_for_turn(self, read: Awaitable[bytes]) -> bytes:
        head = await read
        if await self._turns.wait(head.count(b"\n")):
            if not self.closed() and arrived_bytes.is_reset(self):
                # The caller has left: nobody would get the answer.
                self.close()
            self._check_closed()
        return head

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
