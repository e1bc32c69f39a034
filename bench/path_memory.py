"""Measures the memory of the entry for each idle peer and for each open stream.

Python returns freed memory to the system late, so only a load above all earlier ones
increases the memory of the process.  Each measurement therefore raises the load step by
step, on an entry that has served nothing else.
"""

import asyncio
import dataclasses
import statistics
from typing import Final

from bench import idle_peers, path_caller, path_fleet, process_usage
from quincecrank import ids, peer_link
from standins import local_fleet, texts

PEERS: Final = (0, 40, 80, 120)
STREAMS: Final = (0, 64, 128, 256, 512)

_WARM_UP_STREAMS: Final = 8
_ANSWER_TOKENS: Final = 150
_SETTLE_S: Final = 4.0
_LINK_TIMEOUT_S: Final = 30.0
_FIRST_TOKENS_TIMEOUT_S: Final = 60.0
_US_PER_S: Final = 1_000_000
_LIMITS: Final = peer_link.HeartbeatLimits(interval_ms=1_000, silence_ms=3_000)


@dataclasses.dataclass(frozen=True)
class PeerMemory:
    """Private memory and processor time of the entry by its number of idle peers.

    Attributes
    ----------
    bytes_per_idle_peer : float
        Slope of the line fitted to `bytes_by_peers`.
    idle_us_per_second : float
        Processor time in a second without idle peers and requests (fitted).
    us_per_second_per_idle_peer : float
        Slope of the processor time over the idle peers.
    """

    bytes_by_peers: dict[int, int]
    bytes_per_idle_peer: float
    idle_us_per_second: float
    us_per_second_per_idle_peer: float


@dataclasses.dataclass(frozen=True)
class StreamMemory:
    """Private memory of the entry by its number of open streams.

    Attributes
    ----------
    prompt_tokens : int
        Length of each stream's prompt.
    bytes_per_stream : float
        Slope of the line fitted to `bytes_by_streams`.
    """

    prompt_tokens: int
    bytes_by_streams: dict[int, int]
    bytes_per_stream: float


class MemoryBench:
    """Measures an entry that has served nothing yet; for one measurement only.

    Parameters
    ----------
    fleet_secret : bytes
        Secret that the idle peers authenticate with.
    """

    def __init__(
        self,
        fleet: local_fleet.LocalFleet,
        caller: path_caller.StreamCaller,
        fleet_secret: bytes,
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._fleet_secret = fleet_secret
        self._headers = path_fleet.entry_headers(fleet)
        self._pid = fleet.entries[0].pid

    async def measure_peers(self) -> PeerMemory:
        """Measure with each number of idle peers in `PEERS`, ascending."""
        by_peers: dict[int, int] = {}
        us_by_peers: dict[int, float] = {}
        peers: list[idle_peers.IdleAgent] = []
        for count in PEERS:
            await self._link_peers(peers, count)
            us_by_peers[count] = await self._idle_us_per_second()
            by_peers[count] = process_usage.private_bytes(self._pid)
        for peer in peers:
            peer.stop()
        us_slope, us_start = statistics.linear_regression(
            list(us_by_peers), list(us_by_peers.values())
        )
        return PeerMemory(by_peers, _slope(by_peers), us_start, us_slope)

    async def measure_streams(self, prompt_tokens: int) -> StreamMemory:
        """Measure with each number of open streams in `STREAMS`, ascending."""
        prompt = texts.release_manifest(1, prompt_tokens)
        body = path_fleet.entry_body(prompt, _ANSWER_TOKENS)
        await self._bytes_with_streams(body, _WARM_UP_STREAMS)
        by_streams = {n: await self._bytes_with_streams(body, n) for n in STREAMS}
        return StreamMemory(prompt_tokens, by_streams, _slope(by_streams))

    async def _bytes_with_streams(self, body: bytes, count: int) -> int:
        first_tokens = asyncio.Semaphore(0)
        requests = [
            asyncio.create_task(
                self._caller.stream_answer(
                    self._fleet.url, body, self._headers, first_tokens.release
                )
            )
            for _ in range(count)
        ]
        async with asyncio.timeout(_FIRST_TOKENS_TIMEOUT_S):
            for _ in range(count):
                await first_tokens.acquire()
        used = process_usage.private_bytes(self._pid)
        await asyncio.gather(*requests)
        return used

    async def _idle_us_per_second(self) -> float:
        before_s = process_usage.processor_seconds(self._pid)
        await asyncio.sleep(_SETTLE_S)
        used_s = process_usage.processor_seconds(self._pid) - before_s
        return used_s / _SETTLE_S * _US_PER_S

    async def _link_peers(self, peers: list[idle_peers.IdleAgent], count: int) -> None:
        for number in range(len(peers), count):
            peer = idle_peers.IdleAgent(
                ids.VmName(f"idle-{number}"),
                path_fleet.IDLE,
                self._fleet_secret,
                _LIMITS,
            )
            peers.append(peer)
            await asyncio.to_thread(self._add_to_vm_list, peer)
        async with asyncio.timeout(_LINK_TIMEOUT_S):
            while sum(peer.links for peer in peers) < count:
                await asyncio.sleep(0.1)
        await asyncio.sleep(_SETTLE_S)

    def _add_to_vm_list(self, peer: idle_peers.IdleAgent) -> None:
        self._fleet.list_vm(
            peer.vm,
            "agent",
            peer.port,
            backend_server=peer.backend_server,
            deployment=path_fleet.IDLE,
        )


def _slope(bytes_by_count: dict[int, int]) -> float:
    counts = list(bytes_by_count)
    return statistics.linear_regression(counts, list(bytes_by_count.values())).slope
