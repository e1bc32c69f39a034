"""Time to first token through the entry and from the engine directly, in turns."""

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
    added_median_ms, added_p95_ms : float
        Of the differences within a pair.
    """

    prompt: str
    pairs: int
    direct_median_ms: float
    entry_median_ms: float
    added_median_ms: float
    added_p95_ms: float


class LatencyBench:
    """Asks one entry, and its only engine directly."""

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
            await self._warm("question of a few tokens", question),
            await self._warm("guide of 8,000 tokens, cached", guide),
            await self._warm("manifest of 30,000 tokens, cached", manifest),
            await self._pairs("guide of 8,000 tokens, new", new),
        )

    async def _warm(self, name: str, prompt: str) -> Latency:
        await self._direct_ms(prompt)
        await self._entry_ms(prompt)
        return await self._pairs(name, [prompt] * WARM_PAIRS)

    async def _pairs(self, name: str, prompts: Sequence[str]) -> Latency:
        direct: list[float] = []
        entry: list[float] = []
        for prompt in prompts:
            sides = [(self._direct_ms, direct), (self._entry_ms, entry)]
            self._random.shuffle(sides)
            for ask_ms, times in sides:
                times.append(await ask_ms(prompt))
        added = [after - before for before, after in zip(direct, entry, strict=True)]
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
        return (await self._caller.ask(self._engine.url, body, {})).first_ms

    async def _entry_ms(self, prompt: str) -> float:
        body = path_fleet.entry_body(prompt, _ANSWER_TOKENS)
        answer = await self._caller.ask(self._fleet.url, body, self._headers)
        return answer.first_ms
