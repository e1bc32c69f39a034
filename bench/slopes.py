"""Measures which costs grow with the size of a fleet: `make bench-slopes`.

Each slope is that of a straight line fitted to measurements at several sizes; it is
written with these points to ``build/bench-slopes.json``.  `bench.path` measures the
slopes of complete processes; this module measures the functions in which they spend
their time.
"""

import dataclasses
import gc
import json
import pathlib
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

from bench import slope_subjects

OUTPUT: Final = pathlib.Path("build/bench-slopes.json")
_ROUNDS: Final = 5
_NS_PER_US: Final = 1_000


@dataclasses.dataclass(frozen=True)
class Slope:
    """A straight line fitted to measured points.

    Attributes
    ----------
    unit : str
        Unit of `per_item` and `fixed`.
    item : str
        Name of one of the things that a size counts.
    per_item, fixed : float
        Slope and intercept of the line.
    points : dict
        Measured value by size.
    """

    name: str
    unit: str
    item: str
    per_item: float
    fixed: float
    points: dict[int, float]


def fit(name: str, unit: str, item: str, points: dict[int, float]) -> Slope:
    """Return the straight line fitted to `points`, a value by size."""
    line = statistics.linear_regression(list(points), list(points.values()))
    return Slope(name, unit, item, line.slope, line.intercept, points)


def processor_us(action: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of one call in microseconds."""
    results = []
    for _ in range(_ROUNDS):
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            action()
        results.append((time.process_time_ns() - started_ns) / repeats / _NS_PER_US)
    return min(results)


def retained_bytes(build: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before


def time_slope(
    name: str,
    item: str,
    sizes: Sequence[int],
    make: Callable[[int], Callable[[], object]],
    repeats: int,
) -> Slope:
    """Fit the processor time of the calls that `make` returns for each size."""
    points = {size: processor_us(make(size), repeats) for size in sizes}
    return fit(name, "us", item, points)


def size_slope(
    name: str, item: str, sizes: Sequence[int], measure: Callable[[int], int]
) -> Slope:
    """Fit the bytes that `measure` returns for each size."""
    points = {size: float(measure(size)) for size in sizes}
    return fit(name, "bytes", item, points)


def memory_slope(
    name: str, item: str, sizes: Sequence[int], build: Callable[[int], object]
) -> Slope:
    """Fit the memory that the results of `build` occupy."""
    return size_slope(
        name, item, sizes, lambda size: retained_bytes(lambda: build(size))
    )


def measure() -> tuple[Slope, ...]:
    """Run every measurement."""
    subjects = slope_subjects
    return (
        memory_slope(
            "directory memory",
            "block entry",
            (3_000, 15_000, 30_000, 60_000),
            subjects.filled_shard,
        ),
        time_slope(
            "directory lookup", "block", (1, 8, 16, 32), subjects.shard_lookup, 500
        ),
        time_slope(
            "block keys", "block", (1, 8, 16, 32), subjects.block_key_chain, 200
        ),
        time_slope(
            "routing decision",
            "candidate",
            (4, 16, 64, 128),
            subjects.routing_decision,
            20,
        ),
        time_slope(
            "applying a configuration row",
            "client account",
            (100, 400, 800, 1_200),
            subjects.apply_row,
            50,
        ),
        memory_slope(
            "configuration memory",
            "client account",
            (100, 400, 800, 1_200),
            subjects.configuration_of,
        ),
        size_slope(
            "whole configuration on the wire",
            "client account",
            (100, 400, 800, 1_200),
            subjects.configuration_bytes,
        ),
        size_slope(
            "heartbeat of an agent", "adapter", (0, 4, 8), subjects.heartbeat_bytes
        ),
        size_slope(
            "frames on the wire",
            "token in one packet",
            (1, 8, 32, 128),
            subjects.frames_bytes,
        ),
        time_slope(
            "decoding frames",
            "token in one packet",
            (1, 8, 32, 128),
            subjects.decode_frames,
            200,
        ),
        time_slope(
            "sealing a block", "KiB", (16, 64, 256, 1_024), subjects.seal_block, 20
        ),
        time_slope(
            "admitting a request",
            "waiting request",
            (0, 50, 200, 800),
            subjects.admission_offer,
            5,
        ),
    )


def main() -> None:
    """Measure, print and write all slopes."""
    slopes = measure()
    OUTPUT.parent.mkdir(exist_ok=True)
    document = {"slopes": [dataclasses.asdict(slope) for slope in slopes]}
    OUTPUT.write_text(json.dumps(document, indent=1))
    for slope in slopes:
        print(
            f"{slope.name:<34} {slope.per_item:>10.3f} {slope.unit} per {slope.item},"
            f" fixed {slope.fixed:.1f}"
        )


if __name__ == "__main__":
    main()
