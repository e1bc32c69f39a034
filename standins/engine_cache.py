"""The prefix cache of the stand-in engine, and the log of its changes (events)."""

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Iterable, Sequence
from typing import Final

from quincecrank import clock as clocks

MAX_RETAINED_EVENTS: Final = 8192
"""Newest events that can still be read; older ones are removed."""


class EventKind(enum.Enum):
    """Kind of change to a cached block."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of the cache.

    Attributes
    ----------
    sequence : int
        Number of the event.
    visible_ms : int
        Time from which the event is published, on the monotonic clock.
    """

    sequence: int
    kind: EventKind
    key: str
    visible_ms: int


class EventLog:
    """Publishes events after a delay, and never publishes some.

    Parameters
    ----------
    clock : Clock
        Source of time.
    delay_ms : int
        Time between an event and its publication.
    loss : float
        Probability that an event is never published; its number leaves a gap.
    seed : int
        Seed for the choice of the lost events.
    """

    def __init__(
        self, clock: clocks.Clock, delay_ms: int, loss: float, seed: int
    ) -> None:
        self._clock = clock
        self._delay_ms = delay_ms
        self._loss = loss
        self._random = random.Random(seed)
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_RETAINED_EVENTS
        )
        self._appended = asyncio.Event()
        self.sequence = 0

    def append(self, kind: EventKind, key: str) -> None:
        """Number an event and publish it after the delay, unless it is lost."""
        self.sequence += 1
        if self._loss and self._random.random() < self._loss:
            return
        visible_ms = self._clock.now_ms() + self._delay_ms
        self._events.append(CacheEvent(self.sequence, kind, key, visible_ms))
        self._appended.set()

    async def read(self, after: int, wait_ms: int) -> list[CacheEvent]:
        """Return published events numbered above `after`; wait for the first one.

        Empty if none is published within `wait_ms`.
        """
        deadline_ms = self._clock.now_ms() + wait_ms
        while True:
            now_ms = self._clock.now_ms()
            pending = self._later_than(after)
            published = [event for event in pending if event.visible_ms <= now_ms]
            if published or now_ms >= deadline_ms:
                return published
            if pending:
                next_ms = min(deadline_ms, pending[0].visible_ms)
                await self._clock.sleep(next_ms - now_ms)
            else:
                await self._wait_for_event(deadline_ms - now_ms)

    def _later_than(self, after: int) -> list[CacheEvent]:
        later: list[CacheEvent] = []
        for event in reversed(self._events):
            if event.sequence <= after:
                break
            later.append(event)
        later.reverse()
        return later

    async def _wait_for_event(self, timeout_ms: int) -> None:
        self._appended.clear()
        try:
            async with asyncio.timeout(timeout_ms / clocks.MS_PER_SECOND):
                await self._appended.wait()
        except TimeoutError:
            pass


@dataclasses.dataclass(eq=False, slots=True)
class Block:
    """One cached block; it cannot be evicted for space while `pins` is positive."""

    key: str
    state: bytes
    pins: int = 0


class PrefixCache:
    """Blocks by key; the least recently used one is evicted first.

    Parameters
    ----------
    capacity : int
        Greatest number of blocks.
    events : EventLog
        Log of every stored and evicted block.
    """

    def __init__(self, capacity: int, events: EventLog) -> None:
        self.capacity = capacity
        self.events = events
        self._block_by_key: collections.OrderedDict[str, Block] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._block_by_key)

    def keys(self) -> tuple[str, ...]:
        """Return the keys of all cached blocks."""
        return tuple(self._block_by_key)

    def find(self, key: str) -> Block | None:
        """Return the block or None; the look-up counts as a use."""
        block = self._block_by_key.get(key)
        if block is not None:
            self._block_by_key.move_to_end(key)
        return block

    def store(self, key: str, state: bytes) -> Block | None:
        """Return the cached block, added if absent; None if nothing can be evicted."""
        block = self.find(key)
        if block is not None:
            return block
        if len(self._block_by_key) >= self.capacity and not self._evict_one():
            return None
        block = Block(key, state)
        self._block_by_key[key] = block
        self.events.append(EventKind.STORED, key)
        return block

    def release(self, blocks: Sequence[Block]) -> None:
        """Unpin the blocks of one prompt; its first becomes the most recently used.

        Later blocks, which cannot be reused without earlier ones, are evicted first.
        """
        for block in reversed(blocks):
            block.pins -= 1
            if self._block_by_key.get(block.key) is block:
                self._block_by_key.move_to_end(block.key)

    def clear(self) -> None:
        """Evict every block, also pinned ones, which their sequences still use."""
        self._evict(tuple(self._block_by_key))

    def _evict_one(self) -> bool:
        for key, block in self._block_by_key.items():
            if block.pins == 0:
                self._evict((key,))
                return True
        return False

    def _evict(self, keys: Iterable[str]) -> None:
        for key in keys:
            del self._block_by_key[key]
            self.events.append(EventKind.EVICTED, key)
