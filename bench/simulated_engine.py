"""Simulates an engine's steps, memory and queue, for replays in virtual time.

An engine works in steps.  Each step computes a chunk of pending prompt tokens
(prefill) and generates one token for every running request whose prompt is computed.
The constants come from the data sheets of the deployments' engines.  Where the sheets
give no rule, the simulation is simple: prompts are computed in the order of admission,
and each running request is charged for its full prompt, shared parts included.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import prompts

STEP_MS: Final = 3.9
"""Duration of a step without requests and prompt tokens."""

STEP_MS_PER_REQUEST: Final = 0.0473
"""Additional duration of a step for each running request."""

PREFILL_TOKENS_PER_MS: Final = 91.8
PREFILL_CHUNK_TOKENS: Final = 1_024
"""Prompt tokens that one step computes at most (prefill chunk)."""

FIRST_EVENT_MS: Final = 53.0
"""Time that the first event of an answer takes besides the engine's steps."""


@dataclasses.dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request at an engine.

    Attributes
    ----------
    pending_prefill_tokens : int
        Prompt tokens that are still to be computed.
    generated_tokens : int
        Answer tokens generated so far.
    first_token_generated : Event
        Set when the first answer token is generated.
    finished : Event
        Set when the last answer token is generated.
    """

    prompt: prompts.Prompt
    answer_tokens: int
    pending_prefill_tokens: int = 0
    generated_tokens: int = 0
    first_token_generated: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    finished: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def memory_tokens(self) -> int:
        """Memory that the request occupies now, in tokens."""
        return self.prompt.input_tokens + self.generated_tokens


CacheChangeListener = Callable[[prompts.PromptPart, bool], None]
"""Called with a prompt part and whether the engine has it in its cache now."""


class SimulatedEngine:
    """One engine: admits by slots and memory, computes prompts in chunks.

    Memory that running requests don't need caches shared prompt parts; the least
    recently used parts are evicted first.

    Parameters
    ----------
    slots : int
        Requests that run at a time.
    memory_tokens : int
        Memory for running requests and cached parts together.
    on_part : callable
        Called for each part that is cached or evicted.

    Attributes
    ----------
    preemption_count : int
        Preemptions: a request gave up its memory to others, and its prompt was computed
        again.
    prefilled_tokens : int
        Prompt tokens computed.
    slowness : float
        Duration of a step relative to the data sheet's; may change at any time.
    prefill_chunk_tokens : int
        Prompt tokens that one step computes at most.
    prefill_tokens_per_ms : float
        Prompt tokens that a step computes in a millisecond.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int,
        on_part: CacheChangeListener,
        clock: clocks.Clock,
    ) -> None:
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._on_part = on_part
        self._clock = clock
        self._queue: collections.deque[SimulatedRequest] = collections.deque()
        self._running: list[SimulatedRequest] = []
        self._parts_by_id: collections.OrderedDict[
            prompts.PartId, prompts.PromptPart
        ] = collections.OrderedDict()
        self._has_work = asyncio.Event()
        self.preemption_count = 0
        self.prefilled_tokens = 0
        self.slowness = 1.0
        self.prefill_chunk_tokens = PREFILL_CHUNK_TOKENS
        self.prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS

    def submit(self, run: SimulatedRequest) -> None:
        """Queue a request."""
        self._queue.append(run)
        self._has_work.set()

    def pending_work_ms(self) -> float:
        """Return the time that it needs for the prompts that it has to compute."""
        queued = sum(
            run.prompt.input_tokens - self._held_tokens(run) for run in self._queue
        )
        running = sum(run.pending_prefill_tokens for run in self._running)
        return (queued + running) / self.prefill_tokens_per_ms * self.slowness

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            prefilled = self._prefill_chunk()
            step_ms = (
                STEP_MS
                + STEP_MS_PER_REQUEST * len(self._running)
                + prefilled / self.prefill_tokens_per_ms
            )
            await self._clock.sleep(step_ms * self.slowness)
            self._generate_tokens()
            self._preempt()

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._slots:
            run = self._queue[0]
            used = sum(each.memory_tokens for each in self._running)
            if self._running and used + run.memory_tokens > self._memory_tokens:
                return
            self._queue.popleft()
            run.pending_prefill_tokens = run.prompt.input_tokens - self._cached_tokens(
                run
            )
            self._running.append(run)
            self._evict()

    def _cached_tokens(self, run: SimulatedRequest) -> int:
        cached = 0
        for part in run.prompt.shared_parts:
            if part.part_id not in self._parts_by_id:
                break
            self._parts_by_id.move_to_end(part.part_id)
            cached += part.tokens
        return cached

    def _held_tokens(self, run: SimulatedRequest) -> int:
        """Return the tokens of a prompt that are cached, without using them."""
        held = 0
        for part in run.prompt.shared_parts:
            if part.part_id not in self._parts_by_id:
                break
            held += part.tokens
        return held

    def _prefill_chunk(self) -> int:
        left = self.prefill_chunk_tokens
        for run in self._running:
            computed = min(left, run.pending_prefill_tokens)
            run.pending_prefill_tokens -= computed
            left -= computed
            if computed and not run.pending_prefill_tokens:
                self._cache(run.prompt.shared_parts)
        prefilled = self.prefill_chunk_tokens - left
        self.prefilled_tokens += prefilled
        return prefilled

    def _generate_tokens(self) -> None:
        for run in tuple(self._running):
            if run.pending_prefill_tokens:
                continue
            run.generated_tokens += 1
            run.first_token_generated.set()
            if run.generated_tokens >= run.answer_tokens:
                run.finished.set()
                self._running.remove(run)

    def _preempt(self) -> None:
        while (
            len(self._running) > 1
            and sum(each.memory_tokens for each in self._running) > self._memory_tokens
        ):
            self._queue.appendleft(self._running.pop())
            self.preemption_count += 1
        self._evict()

    def _cache(self, parts: Sequence[prompts.PromptPart]) -> None:
        for part in parts:
            if part.part_id not in self._parts_by_id:
                self._on_part(part, True)
            self._parts_by_id[part.part_id] = part
            self._parts_by_id.move_to_end(part.part_id)
        self._evict()

    def _evict(self) -> None:
        used = sum(each.memory_tokens for each in self._running)
        cached = sum(part.tokens for part in self._parts_by_id.values())
        while self._parts_by_id and used + cached > self._memory_tokens:
            _, part = self._parts_by_id.popitem(last=False)
            cached -= part.tokens
            self._on_part(part, False)
