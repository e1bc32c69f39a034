"""Reserves cache capacity of one engine for the blocks of its requests.

A block that was restored for a request may be evicted before the request runs when
the active requests need more blocks than the engine's cache holds.  Requests therefore
wait until their blocks fit beside those of the requests before them.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Iterable

from quincecrank import ids


class CacheReservations:
    """Aggregate of the blocks that active requests need.

    Blocks shared by several requests count once.  A request that needs more blocks
    than the capacity runs when no other request holds a reservation.

    Attributes
    ----------
    capacity : int
        Blocks that the engine's cache can hold; 0 while unknown, which means no limit.
    """

    def __init__(self) -> None:
        self.capacity = 0
        self._uses_by_key: collections.Counter[ids.BlockKey] = collections.Counter()
        self._waiters: collections.deque[asyncio.Event] = collections.deque()

    @property
    def blocks_in_use(self) -> int:
        """Number of distinct blocks that active requests need."""
        return len(self._uses_by_key)

    @contextlib.asynccontextmanager
    async def reserve(self, keys: tuple[ids.BlockKey, ...]) -> AsyncIterator[None]:
        """Reserve capacity for `keys` in the context; waiters are served in order."""
        if self._waiters or not self._fits(keys):
            await self._wait(keys)
        self._uses_by_key.update(keys)
        try:
            yield
        finally:
            self._release(keys)
            self._wake_next()

    async def _wait(self, keys: tuple[ids.BlockKey, ...]) -> None:
        granted = asyncio.Event()
        self._waiters.append(granted)
        try:
            while self._waiters[0] is not granted or not self._fits(keys):
                granted.clear()
                await granted.wait()
        finally:
            self._waiters.remove(granted)
            self._wake_next()

    def _fits(self, keys: Iterable[ids.BlockKey]) -> bool:
        if not self.capacity or not self._uses_by_key:
            return True
        added = sum(key not in self._uses_by_key for key in keys)
        return len(self._uses_by_key) + added <= self.capacity

    def _release(self, keys: Iterable[ids.BlockKey]) -> None:
        for key in keys:
            self._uses_by_key[key] -= 1
            if not self._uses_by_key[key]:
                del self._uses_by_key[key]

    def _wake_next(self) -> None:
        if self._waiters:
            self._waiters[0].set()
