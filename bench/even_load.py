"""Measures how evenly gateways load engines, with loads like the customers'.

    python -m bench.even_load [CASE:CASE... [WAY:WAY...]]

Replays seeded patterns (see `gateway_simulation`) and prints a row of a table for each
case and way to choose engines: mean and ninth decile of the ratio of the largest to the
mean pending work of the engines by tenths of a second, the mean largest work in
milliseconds, the fraction of answers on time, rejected requests, median and p99 of the
time to the first event by kind, datagrams between gateways, and computed prompt tokens.
"""

import concurrent.futures
import dataclasses
import statistics
import sys
from collections.abc import Mapping, Sequence
from typing import Any, Final

from bench import gateway_simulation

SEEDS: Final = (1, 2)
WORKERS: Final = 2
DURATION_MS: Final = 6_000
WARM_MS: Final = 2_000
"""Time from the start that isn't counted: caches and service times are unknown."""

LABEL_CHECKS: Final = gateway_simulation.RequestKind(
    "check", 93.0, 4, 2_520, 200, 5_000, 1_670, 7, 1_235, 4_118, 2, 0.94, 0.28
)
ROUTE_HINTS: Final = gateway_simulation.RequestKind(
    "hint", 171.0, 8, 119, 400, 531, 177, 36, 515, 12_365, 0, 3.3, 0.26
)
DIGESTS: Final = gateway_simulation.RequestKind(
    "digest", 57.0, 4, 2_520, 200, 5_000, 1_670, 7, 815, 5_096, 1, 3.2, 0.64
)
REPLIES: Final = gateway_simulation.RequestKind(
    "reply", 89.0, 8, 119, 400, 531, 177, 58, 507, 15_198, 0, 2.2, 0.44
)

NILWAVE: Final = gateway_simulation.Pattern(
    0,
    DURATION_MS,
    gateways=46,
    engines=27,
    slots=64,
    memory_tokens=57_010,
    kinds=(LABEL_CHECKS, ROUTE_HINTS),
    prefill_tokens_per_ms=81.9,
    slowness_by_engine=(1.0, 1.0, 1.3),
    learns_slowness=True,
)
LAKESHORE: Final = gateway_simulation.Pattern(
    0,
    DURATION_MS,
    gateways=10,
    engines=24,
    slots=48,
    memory_tokens=51_066,
    kinds=(DIGESTS, REPLIES),
    prefill_tokens_per_ms=51.1,
    episode_factor=2.5,
    episode_fraction=0.15,
    learns_slowness=True,
)


def scaled(
    pattern: gateway_simulation.Pattern, factor: float
) -> gateway_simulation.Pattern:
    """Return a pattern with `factor` times the requests."""
    kinds = tuple(
        dataclasses.replace(kind, per_second=kind.per_second * factor)
        for kind in pattern.kinds
    )
    return dataclasses.replace(pattern, kinds=kinds)


CASES: Final[Mapping[str, gateway_simulation.Pattern]] = {
    "nilwave-half": scaled(NILWAVE, 1.0),
    "nilwave-nine": scaled(NILWAVE, 1.8),
    "lakeshore-half": scaled(LAKESHORE, 1.0),
    "lakeshore-nine": scaled(LAKESHORE, 1.7),
}

_LATE: Final = {"message_ms": 40.0}
_BY_REPORTS: Final = {"sends_load_changes": False}
_WITHOUT_ENDS: Final = {"notifies_ends": False}
_CHOOSERS: Final = (
    "weighted",
    "half",
    "double",
    "two",
    "two-of-all",
    "ranked",
    "extrapolated",
)

WAYS: Final[Mapping[str, Mapping[str, Any]]] = {
    f"{chooser}{suffix}": {
        **changes,
        "spreads_load": chooser != "lowest",
        "chooser": chooser,
    }
    for chooser in ("lowest", *_CHOOSERS)
    for suffix, changes in (
        ("", {}),
        (",late", _LATE),
        (",reports", _BY_REPORTS),
        (",without-ends", _WITHOUT_ENDS),
        (",late,without-ends", {**_LATE, **_WITHOUT_ENDS}),
    )
}
"""Changes of a pattern: how engines are chosen, and with which messages.  `lowest` is
the engine with the lowest estimate, as without `spreads_load`."""


def row(name: str, results: Sequence[gateway_simulation.Result]) -> str:
    """Return the row of a case, from its results by seed."""
    tenths = WARM_MS // gateway_simulation.TENTH_MS
    unevenness = sorted(
        each for result in results for each in result.unevenness_by_tenth[tenths:]
    )
    largest_ms = [
        each for result in results for each in result.largest_work_ms_by_tenth[tenths:]
    ]
    answered = [
        each
        for result in results
        for each in result.answered
        if each.first_attempt_ms >= WARM_MS
    ]
    requests = sum(
        outcome.requests
        for result in results
        for outcome in result.outcome_by_kind.values()
    )
    rejected = sum(
        outcome.rejected
        for result in results
        for outcome in result.outcome_by_kind.values()
    )
    on_time = sum(each.is_on_time for each in answered) / len(answered)
    cells = [
        f"{statistics.mean(unevenness):.2f}",
        f"{unevenness[len(unevenness) * 9 // 10]:.2f}",
        f"{statistics.mean(largest_ms):.0f}",
        f"{on_time:.3f}",
        f"{rejected}/{requests}",
    ]
    for kind in sorted({each.kind for each in answered}):
        times_ms = sorted(each.took_ms for each in answered if each.kind == kind)
        cells.append(
            f"{kind} {times_ms[len(times_ms) // 2]:.0f}/"
            f"{times_ms[len(times_ms) * 99 // 100]:.0f}"
        )
    datagrams = sum(result.datagram_count for result in results) / len(results)
    cells.append(f"{datagrams / 1000:.0f}k")
    cells.append(f"{sum(result.prefilled_tokens for result in results) / 1e6:.2f}M")
    return f"| {name} | {' | '.join(cells)} |"


def main() -> None:
    """Print the rows of the named cases and ways, or of all."""
    cases = sys.argv[1].split(":") if sys.argv[1:] else list(CASES)
    ways = sys.argv[2].split(":") if sys.argv[2:] else list(WAYS)
    chosen = [(case, way) for way in ways for case in cases]
    patterns = [
        dataclasses.replace(CASES[case], seed=seed, **WAYS[way])
        for case, way in chosen
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(gateway_simulation.replay, patterns))
    for index, (case, way) in enumerate(chosen):
        print(
            row(f"{case} {way}", results[index * len(SEEDS) : (index + 1) * len(SEEDS)])
        )


if __name__ == "__main__":
    main()
