"""Measures what each mechanism of the gateways' decisions contributes under overload.

``python -m bench.ablation`` replays the patterns of `PATTERN_BY_NAME` with all
mechanisms and with each one disabled.  It prints how disabling a mechanism changes
`gateway_simulation.Result.value_fraction`: the mean, least and greatest change over the
seeds, and the number of seeds that got worse.  The product has no settings to disable
mechanisms, so this module patches a constant or a method of each.
"""

import concurrent.futures
import dataclasses
import statistics
import sys
from collections.abc import Mapping
from typing import Final
from unittest import mock

import fire

from bench import gateway_simulation
from quincecrank.gateway import (
    failed_request_records,
    loads,
    placement,
    request_queue,
    service_times,
    size_fairness,
)

SEEDS: Final = (1, 2, 3)
WORKERS: Final = 3

REVIEWS: Final = gateway_simulation.RequestKind(
    "review", 37.2, 3, 512, 595, 8_610, 2_870, 55, 401, 12_000, 2, 2.4, 0.48, 0.8
)
QUESTIONS: Final = gateway_simulation.RequestKind(
    "question", 37.8, 20, 119, 605, 531, 177, 42, 250, 10_000, 1, 2.1, 0.42
)
CALLS: Final = gateway_simulation.RequestKind(
    "call", 72.4, 8, 341, 1_158, 1_520, 507, 3, 250, 2_500, 0, 1.3, 0.26
)
"""The concrete dispatchers' requests, from their data sheet."""

_FLEET: Final = gateway_simulation.Pattern(
    seed=0,
    duration_ms=10_000,
    gateways=6,
    engines=9,
    slots=32,
    memory_tokens=174_122,
    kinds=(REVIEWS, QUESTIONS, CALLS),
)


def _pattern(load_factor: float, **changes: float) -> gateway_simulation.Pattern:
    return dataclasses.replace(
        _FLEET,
        burst_until_ms=_FLEET.duration_ms,
        burst_factor=load_factor,
        **changes,  # type: ignore[arg-type]
    )


PATTERN_BY_NAME: Final[Mapping[str, gateway_simulation.Pattern]] = {
    "load as usual": _pattern(1.0, slowness=0.6),
    "1.3 times the load": _pattern(1.3, slowness=0.6),
    "twice the load": _pattern(2.0, slowness=0.6),
    "three times the load": _pattern(3.0, slowness=0.6),
    "slow engines, small pieces": _pattern(1.0, slowness=1.3, prefill_chunk_tokens=512),
    "slow engines, 1.5 times the load": _pattern(
        1.5, slowness=1.3, prefill_chunk_tokens=512
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Switch:
    """Attribute of a module or class, and the value that disables a mechanism."""

    module: object
    name: str
    value: object


SWITCH_BY_MECHANISM: Final[Mapping[str, Switch]] = {
    "owed sizes": Switch(size_fairness, "UNDERSERVED_RATIO", 0.0),
    "shortlist": Switch(placement, "MAX_EVALUATED", sys.maxsize),
    "late pause": Switch(request_queue, "LATE_PAUSE_MS", 0),
    "home bonus": Switch(placement, "AFFINITY_BONUS_MS", 0.0),
    "spread cost": Switch(placement, "RUNNING_REQUEST_PENALTY_MS", 0.0),
    "slack share": Switch(placement, "MAX_SLACK_FRACTION", 1.0),
    "first attempts": Switch(
        failed_request_records.FailedRequests,
        "first_attempt_ms",
        lambda _self, _key, at_ms: at_ms,
    ),
    "large changes told": Switch(loads, "MIN_NOTIFIED_TOKENS", sys.maxsize),
    "learned times": Switch(
        service_times.ServiceTimes, "observe", lambda *_observation: None
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One replay to run, without `mechanism`; an empty name disables none."""

    pattern: str
    mechanism: str
    seed: int


def run_trial(trial: Trial) -> gateway_simulation.Result:
    """Replay a pattern with the trial's mechanism disabled."""
    pattern = dataclasses.replace(PATTERN_BY_NAME[trial.pattern], seed=trial.seed)
    switch = SWITCH_BY_MECHANISM.get(trial.mechanism)
    if switch is None:
        return gateway_simulation.replay(pattern)
    with mock.patch.object(switch.module, switch.name, switch.value):
        return gateway_simulation.replay(pattern)


def describe(result: gateway_simulation.Result) -> str:
    """Return the fractions of requests on time, late and refused, by kind."""
    return ", ".join(
        f"{name} {each.on_time / each.requests:.2f} on time"
        f" {each.late / each.requests:.2f} late"
        f" {each.rejected / each.requests:.2f} refused"
        for name, each in result.outcome_by_kind.items()
    )


def main(pattern: str = "", mechanism: str = "", workers: int = WORKERS) -> None:
    """Print what each mechanism contributes.

    Parameters
    ----------
    pattern, mechanism : str
        Runs only those whose names contain this text; all when empty.
    workers : int
        Replays that run at the same time.
    """
    patterns = [name for name in PATTERN_BY_NAME if str(pattern) in name]
    mechanisms = ["", *(name for name in SWITCH_BY_MECHANISM if mechanism in name)]
    trials = [
        Trial(each, disabled, seed)
        for each in patterns
        for disabled in mechanisms
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        result_by_trial = dict(zip(trials, pool.map(run_trial, trials), strict=True))
    for each in patterns:
        baseline = [result_by_trial[Trial(each, "", seed)] for seed in SEEDS]
        shares = [result.value_fraction for result in baseline]
        print(f"{each}: {statistics.mean(shares):.3f}; {describe(baseline[0])}")
        for disabled in mechanisms[1:]:
            changes = [
                result_by_trial[Trial(each, disabled, seed)].value_fraction - share
                for seed, share in zip(SEEDS, shares, strict=True)
            ]
            worse = sum(change < 0 for change in changes)
            print(
                f"  without {disabled:<16} {statistics.mean(changes):+.3f}"
                f"  ({min(changes):+.3f} to {max(changes):+.3f}),"
                f" worse in {worse} of {len(changes)}"
            )


if __name__ == "__main__":
    fire.Fire(main)
