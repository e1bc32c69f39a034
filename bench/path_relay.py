"""Measures the entry's processor time for each relayed token, with many streams."""

import asyncio
import dataclasses
from typing import Final

from bench import measures, path_caller, path_fleet, process_usage
from standins import local_fleet, texts

STREAMS: Final = 256
SHORT_ANSWER_TOKENS: Final = 30
LONG_ANSWER_TOKENS: Final = 300

_SETTLE_S: Final = 0.2
_US_PER_S: Final = 1_000_000


@dataclasses.dataclass(frozen=True)
class Relay:
    """Processor time and token gaps of many concurrent streams.

    Attributes
    ----------
    tokens : int
        Tokens of the run with long answers.
    entry_us_per_token, agent_us_per_token : float
        Processor time of that run, divided by its tokens.
    entry_us_per_further_token : float
        Processor time for each token without the cost of the request: the difference
        between the runs with long and with short answers.
    entry_us_per_request : float
        Processor time for a request without its tokens.
    direct_gap_p95_ms, entry_gap_p50_ms, entry_gap_p95_ms : float
        Percentiles of the times between two arrivals at the caller, directly from the
        engines and through the entry, with `streams` streams each.
    """

    streams: int
    tokens: int
    entry_us_per_token: float
    agent_us_per_token: float
    entry_us_per_further_token: float
    entry_us_per_request: float
    direct_gap_p95_ms: float
    entry_gap_p50_ms: float
    entry_gap_p95_ms: float


@dataclasses.dataclass(frozen=True)
class _Run:
    tokens: int
    entry_s: float
    agents_s: float
    gaps_ms: tuple[float, ...]


class RelayBench:
    """Runs `STREAMS` concurrent streams through one entry."""

    def __init__(
        self, fleet: local_fleet.LocalFleet, caller: path_caller.StreamCaller
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._headers = path_fleet.entry_headers(fleet)

    async def measure(self) -> Relay:
        """Measure runs with short and with long answers, after a warm-up run."""
        await self._run(SHORT_ANSWER_TOKENS)
        short = await self._run(SHORT_ANSWER_TOKENS)
        long = await self._run(LONG_ANSWER_TOKENS)
        direct_gaps_ms = await self._direct_gaps_ms()
        further_s = (long.entry_s - short.entry_s) / (long.tokens - short.tokens)
        requests_s = short.entry_s - further_s * short.tokens
        return Relay(
            streams=STREAMS,
            tokens=long.tokens,
            entry_us_per_token=long.entry_s / long.tokens * _US_PER_S,
            agent_us_per_token=long.agents_s / long.tokens * _US_PER_S,
            entry_us_per_further_token=further_s * _US_PER_S,
            entry_us_per_request=requests_s / STREAMS * _US_PER_S,
            direct_gap_p95_ms=measures.percentile(direct_gaps_ms, 95),
            entry_gap_p50_ms=measures.percentile(long.gaps_ms, 50),
            entry_gap_p95_ms=measures.percentile(long.gaps_ms, 95),
        )

    async def _run(self, tokens: int) -> _Run:
        entry_s, agents_s = self._entry_seconds(), self._agents_seconds()
        url, headers = self._fleet.url, self._headers
        bodies = [path_fleet.entry_body(_question(n), tokens) for n in range(STREAMS)]
        answers = await asyncio.gather(
            *(self._caller.stream_answer(url, body, headers) for body in bodies)
        )
        await asyncio.sleep(_SETTLE_S)
        return _Run(
            tokens=tokens * STREAMS,
            entry_s=self._entry_seconds() - entry_s,
            agents_s=self._agents_seconds() - agents_s,
            gaps_ms=tuple(gap for answer in answers for gap in answer.gaps_ms),
        )

    async def _direct_gaps_ms(self) -> tuple[float, ...]:
        replicas = list(self._fleet.replicas_by_name.values())
        urls = [replicas[n % len(replicas)].backend.url for n in range(STREAMS)]
        body = path_fleet.engine_body(_question(0), SHORT_ANSWER_TOKENS)
        answers = await asyncio.gather(
            *(self._caller.stream_answer(url, body, {}) for url in urls)
        )
        return tuple(gap for answer in answers for gap in answer.gaps_ms)

    def _entry_seconds(self) -> float:
        return process_usage.processor_seconds(self._fleet.entries[0].pid)

    def _agents_seconds(self) -> float:
        agents = [replica.agent for replica in self._fleet.replicas_by_name.values()]
        pids = [agent.pid for agent in agents if agent is not None]
        return sum(process_usage.processor_seconds(pid) for pid in pids)


def _question(number: int) -> str:
    return texts.device_question(number)
