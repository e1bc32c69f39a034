"""Keeps the blocks of the requests at one engine within its memory.

A block that is restored for a request may be evicted before the request runs when
the requests under way need more blocks than the engine holds.  Requests therefore
wait until their blocks fit beside those of the requests before them.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Iterable

from quincecrank import ids


class CacheRoom:
    """Aggregate of the blocks that the requests under way need.

    Attributes
    ----------
    capacity : int
        Blocks that the engine holds; 0 while it is not known, which bounds nothing.
    """

    def __init__(self) -> None:
        self.capacity = 0
        self._uses_by_key: collections.Counter[ids.BlockKey] = collections.Counter()
        self._waiting: collections.deque[asyncio.Event] = collections.deque()

    @property
    def blocks_in_use(self) -> int:
        """Number of different blocks that requests under way need."""
        return len(self._uses_by_key)

    @contextlib.asynccontextmanager
    async def reserved(self, keys: tuple[ids.BlockKey, ...]) -> AsyncIterator[None]:
        """Hold room for `keys`; requests get it in the order in which they ask."""
        if self._waiting or not self._fits(keys):
            await self._wait(keys)
        self._uses_by_key.update(keys)
        try:
            yield
        finally:
            self._release(keys)
            self._wake_first()

    async def _wait(self, keys: tuple[ids.BlockKey, ...]) -> None:
        turn = asyncio.Event()
        self._waiting.append(turn)
        try:
            while self._waiting[0] is not turn or not self._fits(keys):
                turn.clear()
                await turn.wait()
        finally:
            self._waiting.remove(turn)
            self._wake_first()

    def _fits(self, keys: Iterable[ids.BlockKey]) -> bool:
        if not self.capacity or not self._uses_by_key:
            return True
        new = sum(key not in self._uses_by_key for key in keys)
        return len(self._uses_by_key) + new <= self.capacity

    def _release(self, keys: Iterable[ids.BlockKey]) -> None:
        for key in keys:
            self._uses_by_key[key] -= 1
            if not self._uses_by_key[key]:
                del self._uses_by_key[key]

    def _wake_first(self) -> None:
        if self._waiting:
            self._waiting[0].set()
