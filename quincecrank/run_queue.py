"""Concurrency limit of one backend server, with a bounded priority queue."""

import asyncio
import dataclasses
import heapq
import itertools

from quincecrank import clock as clocks


class QueueFullError(Exception):
    """The queue holds its maximum number of requests."""


@dataclasses.dataclass(order=True)
class _Waiter:
    rank: int
    number: int
    future: "asyncio.Future[None]" = dataclasses.field(compare=False)


class RunQueue:
    """Runs up to `limit` requests at once; others wait, higher priority first.

    Invariant: a slot is held by exactly the tasks whose `acquire` returned and that
    have not called `release`.
    """

    def __init__(self, limit: int, max_waiting: int) -> None:
        self.limit = limit
        self._max_waiting = max_waiting
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(1 for waiter in self._waiters if not waiter.future.done())

    async def acquire(self, priority: int, timeout_ms: int) -> None:
        """Wait for a slot.

        Raises
        ------
        QueueFullError
            At once, if the queue is full.
        TimeoutError
            If no slot became free within `timeout_ms` milliseconds.
        """
        if self.running < self.limit:
            self.running += 1
            return
        if self.waiting >= self._max_waiting:
            raise QueueFullError
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(-priority, next(self._numbers), future)
        heapq.heappush(self._waiters, waiter)
        try:
            await asyncio.wait_for(future, timeout_ms / clocks.MS_PER_SECOND)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def set_limit(self, limit: int) -> None:
        """Change the limit; running requests keep their slots."""
        self.limit = limit
        self._admit()

    def release(self) -> None:
        """Pass the slot to the next waiting request, or free it."""
        self.running -= 1
        self._admit()

    def _admit(self) -> None:
        while self._waiters and self.running < self.limit:
            waiter = heapq.heappop(self._waiters)
            if not waiter.future.done():
                self.running += 1
                waiter.future.set_result(None)
