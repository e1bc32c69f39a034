"""Continuous batching in the stand-in engine.

In each step, every sequence of the batch that decodes gets one token, and the others
share a budget of prompt tokens (chunked prefill).  The scheduler decides which
sequences run in a step and how long the step takes.
"""

import asyncio
import dataclasses
import itertools
import os
from typing import Final

from quincecrank import clock as clocks
from standins import engine_cache, engine_sequence, serving

MIN_CHUNK_TOKENS: Final = 256
"""Lower bound of the prompt tokens that one step may compute."""

HANG_POLL_MS: Final = 20
CRASH_EXIT_CODE: Final = 70


class EngineFaults(serving.Faults):
    """Fault switches of an engine.

    Attributes
    ----------
    crash_on : str
        The process ends when a prompt that contains this text starts; empty for none.
    hang : bool
        Whether steps stop; other calls are still answered.
    slow_factor : float
        Each step takes this many times as long.
    """

    crash_on: str = ""
    hang: bool = False
    slow_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Speeds:
    """Speed and capacity of an engine.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Prompt tokens computed per second.
    decode_ms : float
        Least duration of a step that generates tokens.
    max_batch : int
        Sequences that run at the same time.
    max_waiting : int
        Capacity of the queue, in sequences.
    """

    prefill_tokens_per_second: float = 20_000
    decode_ms: float = 35
    max_batch: int = 16
    max_waiting: int = 64

    @property
    def chunk_tokens(self) -> int:
        """Return the greatest number of prompt tokens that one step computes.

        These are as many as fit into `decode_ms`, so that prefill does not delay the
        decoding sequences, but at least `MIN_CHUNK_TOKENS`.
        """
        tokens_ms = self.prefill_tokens_per_second * self.decode_ms
        return max(MIN_CHUNK_TOKENS, int(tokens_ms / clocks.MS_PER_SECOND))


@dataclasses.dataclass(frozen=True)
class Step:
    """Work of one step: prompt tokens of each sequence, and sequences that decode."""

    chunks: list[tuple[engine_sequence.Sequence, int]]
    decoding: list[engine_sequence.Sequence]
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class QueueState:
    """Running and waiting sequences, and the prompt tokens that both must compute."""

    running: int
    waiting: int
    queued_tokens: int


class Scheduler:
    """Runs sequences in steps; wakes up once per step and never while idle.

    Parameters
    ----------
    cache : PrefixCache
        Blocks computed with the loaded weight version.
    weight_version : str
        Version loaded at the start of the engine.
    """

    def __init__(
        self,
        speeds: Speeds,
        cache: engine_cache.PrefixCache,
        faults: EngineFaults,
        clock: clocks.Clock,
        weight_version: str,
    ) -> None:
        self.weight_version = weight_version
        self._speeds = speeds
        self._cache = cache
        self._faults = faults
        self._clock = clock
        self._arrivals = itertools.count()
        self._waiting: list[engine_sequence.Sequence] = []
        self._batch: list[engine_sequence.Sequence] = []
        self._has_work = asyncio.Event()

    def submit(
        self, request: engine_sequence.SequenceRequest, sink: engine_sequence.TokenSink
    ) -> engine_sequence.Sequence | None:
        """Queue a request; return None when the queue is full."""
        # Requests that the next step starts do not count as waiting.
        free = max(0, self._speeds.max_batch - len(self._batch))
        if len(self._waiting) >= self._speeds.max_waiting + free:
            return None
        sequence = engine_sequence.Sequence(request, sink, next(self._arrivals))
        self._waiting.append(sequence)
        self._has_work.set()
        return sequence

    def find(self, request_id: str) -> engine_sequence.Sequence | None:
        """Return the sequence of a request, if it is waiting or running."""
        for sequence in itertools.chain(self._batch, self._waiting):
            if sequence.request.request_id == request_id:
                return sequence
        return None

    def remove(self, sequence: engine_sequence.Sequence) -> None:
        """Drop a sequence and release its blocks; its sink is not called again."""
        sequence.done = True
        if sequence in self._batch:
            self._batch.remove(sequence)
        elif sequence in self._waiting:
            self._waiting.remove(sequence)
        self._cache.release(sequence.blocks)
        sequence.blocks = []

    def change_weight_version(self, weight_version: str) -> None:
        """Replace the weights, unless they are loaded already.

        The cache is cleared and waiting sequences are rejected; running sequences
        finish with the version that they started with.
        """
        if weight_version == self.weight_version:
            return
        self.weight_version = weight_version
        self._cache.clear()
        for sequence in tuple(self._waiting):
            self.remove(sequence)
            sequence.sink.weights_changed()

    def state(self) -> QueueState:
        """Return the current lengths of batch and queue."""
        sequences = itertools.chain(self._batch, self._waiting)
        queued_tokens = sum(sequence.remaining_tokens for sequence in sequences)
        return QueueState(len(self._batch), len(self._waiting), queued_tokens)

    async def run(self) -> None:
        """Run steps until the task is cancelled."""
        while True:
            await self._has_work.wait()
            while self._faults.hang:
                await self._clock.sleep(HANG_POLL_MS)
            step = self._plan_step()
            if step is None:
                self._has_work.clear()
                continue
            await self._clock.sleep(step.duration_ms)
            self._finish_step(step)

    def _plan_step(self) -> Step | None:
        self._admit()
        if not self._batch:
            return None
        decoding = [sequence for sequence in self._batch if sequence.decoding]
        chunks = self._plan_chunks()
        tokens = sum(count for _, count in chunks)
        rate = self._speeds.prefill_tokens_per_second
        prefill_ms = tokens * clocks.MS_PER_SECOND / rate
        decode_ms = self._speeds.decode_ms if decoding else 0.0
        duration_ms = max(prefill_ms, decode_ms) * self._faults.slow_factor
        return Step(chunks, decoding, duration_ms)

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self._speeds.max_batch:
            sequence = min(self._waiting, key=lambda waiting: waiting.order)
            self._waiting.remove(sequence)
            self._batch.append(sequence)
            crash_on = self._faults.crash_on
            if crash_on and crash_on in sequence.request.prompt:
                os._exit(CRASH_EXIT_CODE)

    def _plan_chunks(self) -> list[tuple[engine_sequence.Sequence, int]]:
        budget = self._speeds.chunk_tokens
        chunks: list[tuple[engine_sequence.Sequence, int]] = []
        prefilling = [sequence for sequence in self._batch if not sequence.decoding]
        for sequence in sorted(prefilling, key=lambda each: each.order):
            if budget <= 0:
                break
            if sequence.request.context.weight_version == self.weight_version:
                sequence.reuse_cached_blocks(self._cache)
            tokens = min(budget, sequence.remaining_tokens)
            chunks.append((sequence, tokens))
            budget -= tokens
        return chunks

    def _finish_step(self, step: Step) -> None:
        for sequence, tokens in step.chunks:
            if sequence.done:
                continue
            version = sequence.request.context.weight_version
            current = version == self.weight_version
            sequence.compute(tokens, self._cache if current else None)
            if sequence.decoding:
                self._generate(sequence)
        for sequence in step.decoding:
            if not sequence.done:
                self._generate(sequence)

    def _generate(self, sequence: engine_sequence.Sequence) -> None:
        sequence.generate()
        if sequence.done:
            self.remove(sequence)
