"""Lets heads of many lines wait for their turn, as `head_budget` decides."""

import asyncio
import collections

from quincecrank.budgets import head_budget


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
