"""Measures what the entry and the agent add to a request: `make bench-path`.

Each experiment runs on its own fleet of separate processes on loopback.  The figures go
to ``build/bench-path.json``.  Other load on the machine distorts the times, so the load
average at the start is written with them.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from bench import (
    path_caller,
    path_fleet,
    path_latency,
    path_memory,
    path_relay,
)
from standins import local_fleet

OUTPUT: Final = pathlib.Path("build/bench-path.json")
TARGET_ADDED_MS: Final = 5.0
TARGET_TOKEN_US: Final = 48.0

SHORT_PROMPT_TOKENS: Final = 100
LONG_PROMPT_TOKENS: Final = 16_000

_REPLICAS: Final = 2

Figures = TypeVar("Figures")


@dataclasses.dataclass(frozen=True)
class RunningFleet:
    """A fleet that answers prompts, and a client to send them with."""

    fleet: local_fleet.LocalFleet
    caller: path_caller.StreamCaller
    fleet_secret: bytes

    def memory(self) -> path_memory.MemoryBench:
        """Return the memory experiments of this fleet."""
        return path_memory.MemoryBench(self.fleet, self.caller, self.fleet_secret)


Experiment = Callable[[RunningFleet], Awaitable[Figures]]


async def measure_latency(bench: RunningFleet) -> tuple[path_latency.Latency, ...]:
    """Measure the time to first token, directly and through the entry."""
    return await path_latency.LatencyBench(bench.fleet, bench.caller).measure()


async def measure_relay(bench: RunningFleet) -> path_relay.Relay:
    """Measure the processor time for each relayed token."""
    return await path_relay.RelayBench(bench.fleet, bench.caller).measure()


async def measure_peers(bench: RunningFleet) -> path_memory.PeerMemory:
    """Measure the entry's memory for each idle peer."""
    return await bench.memory().measure_peers()


async def measure_short(bench: RunningFleet) -> path_memory.StreamMemory:
    """Measure the entry's memory for each open stream with a short prompt."""
    return await bench.memory().measure_streams(SHORT_PROMPT_TOKENS)


async def measure_long(bench: RunningFleet) -> path_memory.StreamMemory:
    """Measure the entry's memory for each open stream with a long prompt."""
    return await bench.memory().measure_streams(LONG_PROMPT_TOKENS)


def run(experiment: Experiment[Figures], replicas: int) -> Figures:
    """Run one experiment on its own fleet, with `replicas` engines."""

    async def measure(fleet: local_fleet.LocalFleet, folder: pathlib.Path) -> Figures:
        caller = path_caller.StreamCaller()
        try:
            await path_fleet.wait_ready(fleet, caller)
            secret = (folder / "fleet.secret").read_bytes()
            return await experiment(RunningFleet(fleet, caller, secret))
        finally:
            caller.close()

    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        spec = path_fleet.make_spec(replicas)
        with local_fleet.LocalFleet(spec, folder) as fleet:
            return asyncio.run(measure(fleet, folder))


def main() -> int:
    """Run the experiments, write the figures and print them."""
    load_average = os.getloadavg()[0]
    latencies = run(measure_latency, replicas=1)
    relay = run(measure_relay, _REPLICAS)
    peers = run(measure_peers, replicas=1)
    short = run(measure_short, _REPLICAS)
    long = run(measure_long, _REPLICAS)
    worst_ms = max(latency.added_median_ms for latency in latencies)
    document = {
        "load_average_at_start": load_average,
        "latency": [dataclasses.asdict(latency) for latency in latencies],
        "relay": dataclasses.asdict(relay),
        "idle_peers": dataclasses.asdict(peers),
        "open_streams": [dataclasses.asdict(short), dataclasses.asdict(long)],
        "targets": {
            "added_median_ms": {"at_most": TARGET_ADDED_MS, "measured": worst_ms},
            "entry_us_per_token": {
                "at_most": TARGET_TOKEN_US,
                "measured": relay.entry_us_per_token,
            },
        },
    }
    text = json.dumps(document, indent=2)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(text + "\n")
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
