"""Compares the time to first token through the entry with that of its engine.

Each prompt is sent both ways, in random order; the difference is what the entry and
the agent add.
"""

import dataclasses
import random
import statistics
from collections.abc import Sequence
from typing import Final

from bench import measures, path_caller, path_fleet
from standins import local_fleet, texts

SEED: Final = 20_261_204
WARM_PAIRS: Final = 60
COLD_PAIRS: Final = 12

_ANSWER_TOKENS: Final = 2


@dataclasses.dataclass(frozen=True)
class Latency:
    """Times to first token of one kind of prompt, in milliseconds.

    Attributes
    ----------
    pairs : int
        Prompts that were sent both ways.
    direct_median_ms, entry_median_ms : float
        Median times from the engine directly and through the entry.
    added_median_ms, added_p95_ms : float
        Median and 95th percentile of the differences within a pair.
    """

    prompt: str
    pairs: int
    direct_median_ms: float
    entry_median_ms: float
    added_median_ms: float
    added_p95_ms: float


class LatencyBench:
    """Sends prompts to one entry, and directly to its only engine."""

    def __init__(
        self, fleet: local_fleet.LocalFleet, caller: path_caller.StreamCaller
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._headers = path_fleet.entry_headers(fleet)
        self._engine = next(iter(fleet.replicas_by_name.values())).backend
        self._random = random.Random(SEED)

    async def measure(self) -> tuple[Latency, ...]:
        """Return the times of each kind of prompt."""
        question = texts.device_question(1)
        guide = texts.style_guide(1, 8_000) + texts.wire_copy(1)
        manifest = texts.release_manifest(1, 30_000) + question
        new = [texts.style_guide(2 + n, 8_000) for n in range(COLD_PAIRS)]
        return (
            await self._measure_cached("question of a few tokens", question),
            await self._measure_cached("guide of 8,000 tokens, cached", guide),
            await self._measure_cached("manifest of 30,000 tokens, cached", manifest),
            await self._measure_pairs("guide of 8,000 tokens, new", new),
        )

    async def _measure_cached(self, name: str, prompt: str) -> Latency:
        await self._direct_ms(prompt)
        await self._entry_ms(prompt)
        return await self._measure_pairs(name, [prompt] * WARM_PAIRS)

    async def _measure_pairs(self, name: str, prompts: Sequence[str]) -> Latency:
        direct: list[float] = []
        entry: list[float] = []
        for prompt in prompts:
            measurements = [(self._direct_ms, direct), (self._entry_ms, entry)]
            self._random.shuffle(measurements)
            for measure_ms, times in measurements:
                times.append(await measure_ms(prompt))
        added = [
            entry_ms - direct_ms
            for direct_ms, entry_ms in zip(direct, entry, strict=True)
        ]
        return Latency(
            prompt=name,
            pairs=len(prompts),
            direct_median_ms=statistics.median(direct),
            entry_median_ms=statistics.median(entry),
            added_median_ms=statistics.median(added),
            added_p95_ms=measures.percentile(added, 95),
        )

    async def _direct_ms(self, prompt: str) -> float:
        body = path_fleet.engine_body(prompt, _ANSWER_TOKENS)
        return (await self._caller.stream_answer(self._engine.url, body, {})).first_ms

    async def _entry_ms(self, prompt: str) -> float:
        body = path_fleet.entry_body(prompt, _ANSWER_TOKENS)
        answer = await self._caller.stream_answer(self._fleet.url, body, self._headers)
        return answer.first_ms
