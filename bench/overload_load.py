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
from quincecrank import ids

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


ONE_ACCOUNT: Final = dataclasses.replace(
    PATTERN, accounts=24, burst_is_of_one_account=True
)
"""The same load of 24 accounts, one of which sends all that the burst adds."""

LARGE: Final = ids.AccountName("account-0")


def main() -> None:
    """Replay the loads without and with shared admission; print the counts."""
    for seed in [int(each) for each in sys.argv[1:]] or [1]:
        for name, pattern in (("all accounts", PATTERN), ("one account", ONE_ACCOUNT)):
            for shares in (False, True):
                _replay(
                    f"seed {seed}, {name}, {'shared' if shares else 'own'} figures",
                    dataclasses.replace(pattern, seed=seed, shares_admission=shares),
                )


def _replay(name: str, pattern: gateway_simulation.Pattern) -> None:
    started_s = time.process_time()
    result = gateway_simulation.replay(pattern)
    print(
        f"{name}: value {result.value_fraction:.3f}, p99 of hints"
        f" {_first_event_ms(result, HINTS.name):.0f} ms,"
        f" {time.process_time() - started_s:.0f} s"
    )
    for kind, outcome in result.outcome_by_kind.items():
        print(f"  {kind}: {dataclasses.asdict(outcome)}", flush=True)
    if pattern.accounts:
        share = others_on_time(pattern, result)
        print(f"  label checks of other accounts on time: {share:.3f}", flush=True)


def others_on_time(
    pattern: gateway_simulation.Pattern, result: gateway_simulation.Result
) -> float:
    """Return the fraction of label checks on time, of all accounts but the large."""
    sent = sum(
        each.kind.name == LABEL_CHECKS.name and each.account != LARGE
        for each in gateway_simulation.make_arrivals(pattern)
    )
    on_time = sum(
        each.is_on_time and each.kind == LABEL_CHECKS.name and each.account != LARGE
        for each in result.answered
    )
    return on_time / sent


def _first_event_ms(result: gateway_simulation.Result, kind: str) -> float:
    times_ms = sorted(each.took_ms for each in result.answered if each.kind == kind)
    return times_ms[len(times_ms) * 99 // 100] if times_ms else 0.0


if __name__ == "__main__":
    main()
