"""Replays a burst of long prompts at many small gateways, and counts by kind.

    python -m bench.overload_load [SEED ...]

Load pattern: 46 gateways with some six requests a second each, and 27 engines of which
a quarter is silent; every third engine is 1.3 times as slow.  For six seconds 2.6 times
as many long prompts arrive.  Callers retry once.
"""

import dataclasses
import sys
import time
from typing import Final

from bench import gateway_simulation

LABEL_CHECKS: Final = gateway_simulation.RequestKind(
    "label check", 93.0, 4, 2_520, 700, 5_000, 1_670, 7, 1_235, 4_118, 2, 0.94, 0.28
)
HINTS: Final = gateway_simulation.RequestKind(
    "hint", 171.0, 8, 119, 1_095, 531, 177, 36, 515, 12_365, 0, 3.3, 0.26
)

ENGINES: Final = 27
SILENT_ENGINES: Final = 7

PATTERN: Final = gateway_simulation.Pattern(
    seed=1,
    duration_ms=10_000,
    gateways=46,
    engines=ENGINES - SILENT_ENGINES,
    slots=64,
    memory_tokens=57_010,
    kinds=(LABEL_CHECKS, HINTS),
    burst_from_ms=2_000,
    burst_until_ms=8_000,
    burst_factor=2.6,
    burst_kind=LABEL_CHECKS.name,
    slowness=91.8 / 81.9,
    slowness_by_engine=(1.3, 1.0, 1.0),
    limits_retry_time=True,
)
"""The silent engines take no part: their requests are sent elsewhere in time."""


def main() -> None:
    """Replay the load without and with shared admission; print the counts."""
    for seed in [int(each) for each in sys.argv[1:]] or [1]:
        for shares in (False, True):
            pattern = dataclasses.replace(PATTERN, seed=seed, shares_admission=shares)
            started_s = time.monotonic()
            result = gateway_simulation.replay(pattern)
            print(
                f"seed {seed}, shared admission {'on' if shares else 'off'}:"
                f" value {result.value_fraction:.3f}, p99 of hints"
                f" {_first_event_ms(result, HINTS.name):.0f} ms,"
                f" {time.monotonic() - started_s:.0f} s"
            )
            for name, outcome in result.outcome_by_kind.items():
                print(f"  {name}: {dataclasses.asdict(outcome)}", flush=True)


def _first_event_ms(result: gateway_simulation.Result, kind: str) -> float:
    times_ms = sorted(each.took_ms for each in result.answered if each.kind == kind)
    return times_ms[len(times_ms) * 99 // 100] if times_ms else 0.0


if __name__ == "__main__":
    main()
