"""A model of an engine's steps, memory and queue, for replays in virtual time.

Figures come from the data sheets of the deployments' engines.  What the sheets leave
open is simple here: prompts are read in the order of admission, and each request's
memory counts in full.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import prompts

STEP_MS: Final = 3.9
STEP_MS_PER_REQUEST: Final = 0.0473
PREFILL_TOKENS_PER_MS: Final = 91.8
PIECE_TOKENS: Final = 1_024
FIRST_EVENT_MS: Final = 53.0


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request at an engine.

    Attributes
    ----------
    unread_tokens : int
        Tokens of the prompt that are still to be computed.
    made_tokens : int
        Tokens of the answer so far.
    has_begun : Event
        Set with the first token of the answer.
    has_ended : Event
        Set with the last one.
    """

    prompt: prompts.Prompt
    answer_tokens: int
    unread_tokens: int = 0
    made_tokens: int = 0
    has_begun: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    has_ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def memory_tokens(self) -> int:
        """Memory that the request takes now."""
        return self.prompt.input_tokens + self.made_tokens


PartsUser = Callable[[prompts.PromptPart, bool], None]
"""Gets a part, and whether the engine now holds it."""


class ModelEngine:
    """One engine: admits by memory and slots, reads prompts in pieces.

    Parameters
    ----------
    on_part : callable
        Told of each part that is kept or evicted.

    Attributes
    ----------
    preempted : int
        Requests that lost their memory and were read again.
    read_tokens : int
        Prompt tokens computed.
    slowness : float
        Time of a step relative to that of the data sheet; may change at any time.
    piece_tokens : int
        Prompt tokens read in one step.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int,
        on_part: PartsUser,
        clock: clocks.Clock,
    ) -> None:
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._on_part = on_part
        self._clock = clock
        self._queue: collections.deque[Run] = collections.deque()
        self._running: list[Run] = []
        self._parts_by_id: collections.OrderedDict[
            prompts.PartId, prompts.PromptPart
        ] = collections.OrderedDict()
        self._has_work = asyncio.Event()
        self.preempted = 0
        self.read_tokens = 0
        self.slowness = 1.0
        self.piece_tokens = PIECE_TOKENS

    def submit(self, run: Run) -> None:
        """Queue a request."""
        self._queue.append(run)
        self._has_work.set()

    async def work(self) -> None:
        """Run steps for ever."""
        while True:
            self._admit()
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            read = self._read_piece()
            step_ms = (
                STEP_MS
                + STEP_MS_PER_REQUEST * len(self._running)
                + read / PREFILL_TOKENS_PER_MS
            )
            await self._clock.sleep(step_ms * self.slowness)
            self._make_tokens()
            self._preempt()

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._slots:
            run = self._queue[0]
            used = sum(each.memory_tokens for each in self._running)
            if self._running and used + run.memory_tokens > self._memory_tokens:
                return
            self._queue.popleft()
            run.unread_tokens = run.prompt.input_tokens - self._kept_tokens(run)
            self._running.append(run)
            self._evict()

    def _kept_tokens(self, run: Run) -> int:
        kept = 0
        for part in run.prompt.shared_parts:
            if part.part_id not in self._parts_by_id:
                break
            self._parts_by_id.move_to_end(part.part_id)
            kept += part.tokens
        return kept

    def _read_piece(self) -> int:
        left = self.piece_tokens
        for run in self._running:
            read = min(left, run.unread_tokens)
            run.unread_tokens -= read
            left -= read
            if read and not run.unread_tokens:
                self._keep(run.prompt.shared_parts)
        read_tokens = self.piece_tokens - left
        self.read_tokens += read_tokens
        return read_tokens

    def _make_tokens(self) -> None:
        for run in tuple(self._running):
            if run.unread_tokens:
                continue
            run.made_tokens += 1
            run.has_begun.set()
            if run.made_tokens >= run.answer_tokens:
                run.has_ended.set()
                self._running.remove(run)

    def _preempt(self) -> None:
        while (
            len(self._running) > 1
            and sum(each.memory_tokens for each in self._running) > self._memory_tokens
        ):
            self._queue.appendleft(self._running.pop())
            self.preempted += 1
        self._evict()

    def _keep(self, parts: Sequence[prompts.PromptPart]) -> None:
        for part in parts:
            if part.part_id not in self._parts_by_id:
                self._on_part(part, True)
            self._parts_by_id[part.part_id] = part
            self._parts_by_id.move_to_end(part.part_id)
        self._evict()

    def _evict(self) -> None:
        used = sum(each.memory_tokens for each in self._running)
        kept = sum(part.tokens for part in self._parts_by_id.values())
        while self._parts_by_id and used + kept > self._memory_tokens:
            _, part = self._parts_by_id.popitem(last=False)
            kept -= part.tokens
            self._on_part(part, False)
