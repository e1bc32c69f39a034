"""Stream of a caller's connection, as far as it reads heads.

Invariant
    Reading a head takes time in proportion to its length, however many pieces it
    arrives in, and heads of many lines share the event loop as `head_budget` says.

Load pattern: hundreds of callers send heads of many kilobytes in pieces of a few bytes.
The HTTP library's stream searches all that has arrived of a head at each piece.
"""

import asyncio
import collections
import socket
from collections.abc import Awaitable
from typing import Final

from tornado import iostream

from quincecrank import arrived_bytes
from quincecrank.budgets import head_budget

HEAD_END_BYTES: Final = 4
"""Longest end of a head: two line ends."""


class HeadTurns:
    """Heads of many lines that wait to be parsed, of all connections of a listener."""

    def __init__(self) -> None:
        self._budget = head_budget.HeadBudget()
        self._waiting: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )
        self._is_step_due = False

    @property
    def waiting_heads(self) -> int:
        """Number of heads that wait."""
        return len(self._waiting)

    async def wait(self, lines: int) -> bool:
        """Wait until a head may be parsed; return whether it had to wait."""
        if lines <= head_budget.FREE_LINES:
            return False
        self._begin_next_step()
        if not self._waiting and self._budget.try_parse(lines):
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((lines, turn))
        await turn
        return True

    def _begin_next_step(self) -> None:
        """Begin the budget of the event loop's next step, unless it is due already."""
        if not self._is_step_due:
            self._is_step_due = True
            asyncio.get_running_loop().call_soon(self._begin_step)

    def _begin_step(self) -> None:
        self._is_step_due = False
        self._budget.begin_step()
        while self._waiting and self._budget.try_parse(self._waiting[0][0]):
            _lines, turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
        if self._waiting:
            self._begin_next_step()


class BoundedStream(iostream.IOStream):
    """Stream that searches each byte of a head about once.

    Parameters
    ----------
    turns : HeadTurns
        Heads that wait to be parsed.
    """

    def __init__(self, connection: socket.socket, turns: HeadTurns) -> None:
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
