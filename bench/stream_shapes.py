"""Compares ways to keep resumed streams at their software version, in a simulation.

`python -m bench.stream_shapes [SEEDS [GATEWAYS...]]` prints a line for each way, fleet
size and fault: joined streams, the share of resumed streams that go on beside the share
of new streams that begin, at undisturbed gateways, the share that goes on at all ones,
new streams that were delayed, writes to the store and bytes a second.
"""

import sys
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from bench import stream_patterns, stream_policies, stream_simulation

MIN_PER_S: Final = 34.0
GATEWAY_PER_S: Final = 3.4

WAYS: Final[Mapping[str, stream_patterns.PolicyMaker]] = {
    "any server": stream_policies.AnyServer,
    "reports": stream_policies.Reported,
    "reports, rows of each": stream_policies.Stored,
    "listed versions": stream_policies.Listed,
    "buckets": stream_policies.Buckets,
    "buckets, records": stream_policies.BucketsWithRecords,
    "refuse unknown": stream_policies.OwnRecords,
}


def compare(seeds: int, sizes: Iterable[int], ways: Iterable[str] = WAYS) -> None:
    """Print a line for each fault, way and fleet size."""
    for gateways in sizes:
        for fault, load in stream_patterns.make_faults(gateways).items():
            for way in ways:
                results = [
                    stream_simulation.simulate(
                        stream_patterns.Pattern(
                            seed,
                            WAYS[way],
                            gateways=gateways,
                            per_second=max(MIN_PER_S, GATEWAY_PER_S * gateways),
                            **load,  # type: ignore[arg-type]
                        )
                    )
                    for seed in range(1, seeds + 1)
                ]
                print(
                    f"{gateways:3} {fault:<28} {way:<22}", _figures(results), flush=True
                )


def _figures(results: Collection[stream_patterns.Result]) -> str:
    def total(name: str) -> int:
        return sum(getattr(each, name) for each in results)

    waits_ms = [wait_ms for each in results for wait_ms in each.waits_ms]
    delayed = sum(wait_ms > 0 for wait_ms in waits_ms)
    seconds = 29 * len(results)
    return (
        f"joined {max(each.joined for each in results):3}"
        f" resumed {total('resumed'):4}"
        f" went on {total('went_on') / max(1, total('resumed')):.2f}"
        f" begun {total('begun') / max(1, total('arrived')):.3f}"
        f" all resumed {total('all_resumed'):4}"
        f" went on {total('all_went_on') / max(1, total('all_resumed')):.2f}"
        f" delayed {delayed / max(1, len(waits_ms)):.3f}"
        f" to {max(waits_ms, default=0):4} ms"
        f" writes {total('writes') / seconds:5.1f}/s"
        f" {total('write_bytes') / seconds / 1_000:6.1f} kB/s"
        f" reports {total('report_bytes') / seconds / 1_000:6.1f} kB/s"
    )


def main() -> None:
    """Compare the ways at the fleet sizes that the arguments select."""
    arguments = [int(each) for each in sys.argv[1:]]
    compare(arguments[0] if arguments else 1, arguments[1:] or (4, 10, 45, 68))


if __name__ == "__main__":
    main()
