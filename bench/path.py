"""Measures what the entry and the agent add to a request: `make bench-path`.

Three experiments on fleets of separate processes on loopback, written to
``build/bench-path.json``:

latency
    Time to first token through the entry and from the engine directly, in turns.
relay
    Processor time of the entry for each relayed token, many streams at a time.
memory
    Memory of the entry for each open stream and for each idle peer.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import sys
import tempfile
from collections.abc import Sequence
from typing import Final

from bench import idle_peers, path_caller, path_fleet, process_usage
from quincecrank import ids, peer_link
from standins import launcher, local_fleet, texts

OUTPUT: Final = pathlib.Path("build/bench-path.json")
SEED: Final = 20_261_204

TARGET_ADDED_MS: Final = 5.0
TARGET_TOKEN_US: Final = 48.0

WARM_PAIRS: Final = 60
COLD_PAIRS: Final = 12
LATENCY_TOKENS: Final = 2

STREAMS: Final = 256
SHORT_RUN_TOKENS: Final = 30
LONG_RUN_TOKENS: Final = 300
RELAY_REPLICAS: Final = 2

MEMORY_STREAMS: Final = (64, 128, 256, 512)
MEMORY_TOKENS: Final = 150
IDLE_PEERS: Final = 100
IDLE_S: Final = 5.0
SETTLE_S: Final = 3.0

_US_PER_S: Final = 1_000_000


@dataclasses.dataclass(frozen=True)
class Latency:
    """Times to first token of one kind of prompt, in milliseconds.

    Attributes
    ----------
    added_median_ms : float
        Median of the differences within a pair.
    """

    prompt: str
    pairs: int
    direct_median_ms: float
    entry_median_ms: float
    added_median_ms: float
    added_p95_ms: float


@dataclasses.dataclass(frozen=True)
class Relay:
    """Processor time of a long run of many streams.

    Attributes
    ----------
    entry_us_per_token, agent_us_per_token : float
        All processor time of the run, divided by its tokens.
    entry_us_per_further_token : float
        The same without what a request costs, from a shorter run of as many.
    entry_us_per_request : float
        What a request costs without its tokens.
    gap_p50_ms, gap_p95_ms : float
        Times between two tokens at the caller.
    """

    streams: int
    tokens: int
    entry_us_per_token: float
    agent_us_per_token: float
    entry_us_per_further_token: float
    entry_us_per_request: float
    gap_p50_ms: float
    gap_p95_ms: float


@dataclasses.dataclass(frozen=True)
class Memory:
    """Private memory of the entry, and processor time while idle.

    Attributes
    ----------
    bytes_by_streams : dict
        Memory with that number of open streams.
    idle_us_per_second, idle_us_per_second_with_peers : float
        Processor time of the entry in a second without requests.
    """

    bytes_by_streams: dict[int, int]
    bytes_per_stream: float
    idle_peers: int
    bytes_per_idle_peer: float
    idle_us_per_second: float
    idle_us_per_second_with_peers: float


@dataclasses.dataclass(frozen=True)
class Run:
    """Tokens and processor seconds of one run of many streams."""

    tokens: int
    entry_s: float
    agents_s: float
    gaps_ms: tuple[float, ...]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of `values` don't exceed."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


class Bench:
    """The experiments on one running fleet."""

    def __init__(
        self, fleet: local_fleet.LocalFleet, caller: path_caller.StreamCaller
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._headers = path_fleet.entry_headers(fleet)
        self._shuffle = random.Random(SEED)

    async def latency(
        self, name: str, prompts: Sequence[str], *, warm: bool
    ) -> Latency:
        """Ask each prompt at both ends of the path, in random order."""
        if warm:
            for prompt in set(prompts):
                await self._direct_ms(prompt)
                await self._entry_ms(prompt)
        direct: list[float] = []
        entry: list[float] = []
        for prompt in prompts:
            sides = [(self._direct_ms, direct), (self._entry_ms, entry)]
            self._shuffle.shuffle(sides)
            for ask_ms, times in sides:
                times.append(await ask_ms(prompt))
        added = [after - before for before, after in zip(direct, entry, strict=True)]
        return Latency(
            prompt=name,
            pairs=len(prompts),
            direct_median_ms=statistics.median(direct),
            entry_median_ms=statistics.median(entry),
            added_median_ms=statistics.median(added),
            added_p95_ms=percentile(added, 0.95),
        )

    async def relay(self) -> Relay:
        """Run many streams twice, with few and with many tokens each."""
        await self._run(SHORT_RUN_TOKENS)
        short = await self._run(SHORT_RUN_TOKENS)
        long = await self._run(LONG_RUN_TOKENS)
        further = (long.entry_s - short.entry_s) / (long.tokens - short.tokens)
        requests_s = short.entry_s - further * short.tokens
        return Relay(
            streams=STREAMS,
            tokens=long.tokens,
            entry_us_per_token=long.entry_s / long.tokens * _US_PER_S,
            agent_us_per_token=long.agents_s / long.tokens * _US_PER_S,
            entry_us_per_further_token=further * _US_PER_S,
            entry_us_per_request=requests_s / STREAMS * _US_PER_S,
            gap_p50_ms=percentile(long.gaps_ms, 0.5),
            gap_p95_ms=percentile(long.gaps_ms, 0.95),
        )

    async def memory(self) -> Memory:
        """Open more and more streams, then link idle peers."""
        by_streams = {0: await self._settled_bytes()}
        for count in MEMORY_STREAMS:
            by_streams[count] = await self._bytes_with_streams(count)
        slope, _ = statistics.linear_regression(
            list(by_streams), list(by_streams.values())
        )
        before = await self._settled_bytes()
        idle_us = await self._idle_us_per_second()
        peers = await self._link_idle_peers()
        after = await self._settled_bytes()
        idle_with_peers_us = await self._idle_us_per_second()
        for peer in peers:
            peer.stop()
        return Memory(
            bytes_by_streams=by_streams,
            bytes_per_stream=slope,
            idle_peers=len(peers),
            bytes_per_idle_peer=(after - before) / len(peers),
            idle_us_per_second=idle_us,
            idle_us_per_second_with_peers=idle_with_peers_us,
        )

    async def _direct_ms(self, prompt: str) -> float:
        replica = next(iter(self._fleet.replicas_by_name.values()))
        body = path_fleet.engine_body(prompt, LATENCY_TOKENS)
        return (await self._caller.ask(replica.backend.url, body, {})).first_ms

    async def _entry_ms(self, prompt: str) -> float:
        body = path_fleet.entry_body(prompt, LATENCY_TOKENS)
        answer = await self._caller.ask(self._fleet.url, body, self._headers)
        return answer.first_ms

    async def _run(self, tokens: int) -> Run:
        entry_s, agents_s = self._entry_seconds(), self._agents_seconds()
        asked = [self._ask_short(number, tokens) for number in range(STREAMS)]
        answers = await asyncio.gather(*asked)
        await asyncio.sleep(0.2)
        return Run(
            tokens=tokens * STREAMS,
            entry_s=self._entry_seconds() - entry_s,
            agents_s=self._agents_seconds() - agents_s,
            gaps_ms=tuple(gap for answer in answers for gap in answer.gaps_ms),
        )

    async def _ask_short(
        self, number: int, tokens: int, started: "asyncio.Semaphore | None" = None
    ) -> path_caller.StreamedAnswer:
        prompt = texts.device_question(number)
        body = path_fleet.entry_body(prompt, tokens)
        on_first = None if started is None else started.release
        return await self._caller.ask(self._fleet.url, body, self._headers, on_first)

    async def _bytes_with_streams(self, count: int) -> int:
        started = asyncio.Semaphore(0)
        asked = [
            asyncio.create_task(self._ask_short(number, MEMORY_TOKENS, started))
            for number in range(count)
        ]
        for _ in range(count):
            await started.acquire()
        await asyncio.sleep(1)
        used = process_usage.private_bytes(self._entry_pid)
        await asyncio.gather(*asked)
        return used

    async def _settled_bytes(self) -> int:
        await asyncio.sleep(SETTLE_S)
        return process_usage.private_bytes(self._entry_pid)

    async def _idle_us_per_second(self) -> float:
        before_s = self._entry_seconds()
        await asyncio.sleep(IDLE_S)
        return (self._entry_seconds() - before_s) / IDLE_S * _US_PER_S

    async def _link_idle_peers(self) -> list[idle_peers.IdleAgent]:
        peers = [
            idle_peers.IdleAgent(
                ids.VmName(f"idle-{number}"),
                path_fleet.IDLE,
                self._fleet.fleet_secret(),
                peer_link.HeartbeatLimits(interval_ms=1_000, silence_ms=3_000),
            )
            for number in range(IDLE_PEERS)
        ]
        for number, peer in enumerate(peers):
            await asyncio.to_thread(self._list_peer, number, peer)
        while sum(peer.links for peer in peers) < len(peers):
            await asyncio.sleep(0.1)
        return peers

    def _list_peer(self, number: int, peer: idle_peers.IdleAgent) -> None:
        self._fleet.list_vm(
            f"idle-{number}",
            "agent",
            peer.port,
            backend_server=peer.backend_server,
            deployment=path_fleet.IDLE,
        )

    @property
    def _entry_pid(self) -> int:
        return self._fleet.entries[0].pid

    def _entry_seconds(self) -> float:
        return process_usage.processor_seconds(self._entry_pid)

    def _agents_seconds(self) -> float:
        agents = [replica.agent for replica in self._fleet.replicas_by_name.values()]
        running: list[launcher.Process] = [agent for agent in agents if agent]
        return sum(process_usage.processor_seconds(agent.pid) for agent in running)


async def measure_latency(fleet: local_fleet.LocalFleet) -> list[Latency]:
    """Run the latency experiment with each kind of prompt."""
    caller = path_caller.StreamCaller()
    try:
        await path_fleet.wait_ready(fleet, caller)
        bench = Bench(fleet, caller)
        question = texts.device_question(1)
        guide = texts.style_guide(1, 8_000) + texts.wire_copy(1)
        manifest = texts.release_manifest(1, 30_000) + question
        cold = [texts.style_guide(100 + n, 8_000) for n in range(COLD_PAIRS)]
        return [
            await bench.latency("question", [question] * WARM_PAIRS, warm=True),
            await bench.latency("guide 8000, cached", [guide] * WARM_PAIRS, warm=True),
            await bench.latency(
                "manifest 30000, cached", [manifest] * WARM_PAIRS, warm=True
            ),
            await bench.latency("guide 8000, new", cold, warm=False),
        ]
    finally:
        caller.close()


async def measure_load(fleet: local_fleet.LocalFleet) -> tuple[Relay, Memory]:
    """Run the relay and the memory experiment."""
    caller = path_caller.StreamCaller()
    try:
        await path_fleet.wait_ready(fleet, caller)
        bench = Bench(fleet, caller)
        return await bench.relay(), await bench.memory()
    finally:
        caller.close()


def main() -> int:
    """Run the experiments, write the figures, print the targets."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with local_fleet.LocalFleet(path_fleet.make_spec(1), folder / "one") as fleet:
            latencies = asyncio.run(measure_latency(fleet))
        spec = path_fleet.make_spec(RELAY_REPLICAS)
        with local_fleet.LocalFleet(spec, folder / "two") as fleet:
            relay, memory = asyncio.run(measure_load(fleet))
    worst_ms = max(latency.added_median_ms for latency in latencies)
    document = {
        "latency": [dataclasses.asdict(latency) for latency in latencies],
        "relay": dataclasses.asdict(relay),
        "memory": dataclasses.asdict(memory),
        "targets": {
            "added_median_ms": {"limit": TARGET_ADDED_MS, "worst": worst_ms},
            "entry_us_per_token": {
                "limit": TARGET_TOKEN_US,
                "measured": relay.entry_us_per_token,
            },
        },
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(document, indent=2) + "\n")
    print(json.dumps(document, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
