"""The parts of the stand-in engine behind its HTTP calls, and its options."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

import pydantic

from quincecrank import clock as clocks
from quincecrank import ids
from standins import engine_cache, engine_orders, engine_scheduler


@dataclasses.dataclass(frozen=True)
class EngineOptions:
    """Options of an engine besides its speeds.

    Attributes
    ----------
    cache_blocks : int
        Capacity of the prefix cache.
    payload_bytes : int
        Size of an exported block.
    event_delay_ms, load_lag_ms : int
        Delay of cache events, and age of the reported load.
    event_loss : float
        Probability that a cache event is never published.
    weight_store : str
        Base URL of the weight store; empty to load weights without one.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    seed : int
        Seed for the choice of the lost cache events.
    """

    weight_version: str = "v1"
    adapters: tuple[str, ...] = ()
    cache_blocks: int = 64
    payload_bytes: int = 65_536
    event_delay_ms: int = 50
    event_loss: float = 0.0
    load_lag_ms: int = 0
    weight_store: str = ""
    checks_fencing: bool = False
    seed: int = 0


class LoadReport(pydantic.BaseModel):
    """Answer of `GET /load`."""

    incarnation: str
    weight_version: str
    adapters: list[str]
    role: str
    running: int
    waiting: int
    queued_tokens: int
    cached_blocks: int
    cache_capacity_blocks: int


class LaggingLoad:
    """Reports the load as of some time ago, like an engine whose reports lag.

    Parameters
    ----------
    measure : callable
        Returns the current load.
    """

    def __init__(
        self, clock: clocks.Clock, lag_ms: int, measure: Callable[[], LoadReport]
    ) -> None:
        self._clock = clock
        self._lag_ms = lag_ms
        self._measure = measure
        self._history: collections.deque[tuple[int, LoadReport]] = collections.deque()

    async def run(self) -> None:
        """Record the load four times per lag; return at once without a lag."""
        while self._lag_ms:
            self.record()
            await self._clock.sleep(max(1.0, self._lag_ms / 4))

    def record(self) -> None:
        """Record the current load."""
        self._history.append((self._clock.now_ms(), self._measure()))

    def report(self) -> LoadReport:
        """Return the newest recorded load that is at least as old as the lag.

        If none is that old, the oldest recorded one, or the current load if there is
        no record.
        """
        oldest_ms = self._clock.now_ms() - self._lag_ms
        while len(self._history) > 1 and self._history[1][0] <= oldest_ms:
            self._history.popleft()
        return self._history[0][1] if self._history else self._measure()


class Engine:
    """One engine: cache, scheduler, orders and load report."""

    def __init__(self, options: EngineOptions, speeds: engine_scheduler.Speeds) -> None:
        clock = clocks.SystemClock()
        self.options = options
        self.incarnation = ids.random_id("engine-")
        self.faults = engine_scheduler.EngineFaults()
        self.events = engine_cache.EventLog(
            clock, options.event_delay_ms, options.event_loss, options.seed
        )
        self.cache = engine_cache.PrefixCache(options.cache_blocks, self.events)
        self.scheduler = engine_scheduler.Scheduler(
            speeds, self.cache, self.faults, clock, options.weight_version
        )
        self.orders = engine_orders.OrderExecutor(
            self.scheduler,
            options.adapters,
            options.weight_store,
            options.checks_fencing,
        )
        self.load = LaggingLoad(clock, options.load_lag_ms, self._measure_load)
        self._tasks: list[asyncio.Task[None]] = []

    def _measure_load(self) -> LoadReport:
        state = self.scheduler.state()
        return LoadReport(
            incarnation=self.incarnation,
            weight_version=self.scheduler.weight_version,
            adapters=sorted(self.orders.adapters),
            role=self.orders.role,
            running=state.running,
            waiting=state.waiting,
            queued_tokens=state.queued_tokens,
            cached_blocks=len(self.cache),
            cache_capacity_blocks=self.cache.capacity,
        )

    def start(self) -> None:
        """Start the tasks in the running event loop, unless they run already."""
        if not self._tasks:
            self._tasks.append(asyncio.create_task(self.scheduler.run()))
            self._tasks.append(asyncio.create_task(self.load.run()))
