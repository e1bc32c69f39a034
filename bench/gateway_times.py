"""Measures how well gateways predict the time to a first event.

Gateways learn service times from answers; each case replays a load pattern with engines
of another speed (see `gateway_simulation`) and compares predictions with observations.
"""

import dataclasses
import statistics
from collections.abc import Sequence
from typing import Final

from bench import gateway_simulation

SEEDS: Final = (1, 2, 3)

LEARNING_TIME_MS: Final = 4_000
"""Time before predictions count: each gateway gets some dozen answers in it."""

MEAN_LOAD: Final = 0.6
"""Arrival rate relative to the kinds' own, at which engines are not full."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A load pattern with engines of one speed.

    Attributes
    ----------
    from_ms : int
        Time from which predictions are measured.
    """

    name: str
    pattern: gateway_simulation.Pattern
    from_ms: int = LEARNING_TIME_MS


@dataclasses.dataclass(frozen=True, slots=True)
class PredictionErrors:
    """Errors of the predictions of one case.

    Attributes
    ----------
    count : int
        Number of predictions.
    median_observed_ms : float
        Median of the observed times.
    median_error_ms, p95_error_ms : float
        Median and 95th percentile of the absolute errors.
    median_ratio : float
        Median of the predicted time over the observed one.
    """

    name: str
    count: int
    median_observed_ms: float
    median_error_ms: float
    p95_error_ms: float
    median_ratio: float


def _pattern(load: float, **changes: float) -> gateway_simulation.Pattern:
    pattern = gateway_simulation.Pattern(
        seed=0,
        duration_ms=16_000,
        gateways=6,
        engines=8,
        kinds=tuple(
            dataclasses.replace(kind, per_second=kind.per_second * load)
            for kind in (gateway_simulation.VERDICTS, gateway_simulation.NOTES)
        ),
    )
    return dataclasses.replace(pattern, **changes)  # type: ignore[arg-type]


CASES: Final = (
    Case("engines of the data sheet", _pattern(MEAN_LOAD)),
    Case("four times as fast", _pattern(MEAN_LOAD, slowness=0.25)),
    Case("four times as slow", _pattern(MEAN_LOAD / 4, slowness=4.0)),
    Case(
        "three times as slow from the middle on",
        _pattern(MEAN_LOAD / 3, slow_from_ms=6_000, slow_factor=3.0),
        from_ms=10_000,
    ),
    Case(
        "one of eight takes six times as long",
        _pattern(MEAN_LOAD, slow_engine_factor=6.0),
    ),
    Case("nearly full engines", _pattern(1.3)),
)


def measure(case: Case) -> PredictionErrors:
    """Replay a case with each seed and return the errors of its predictions."""
    predictions = [
        prediction
        for seed in SEEDS
        for prediction in gateway_simulation.replay(
            dataclasses.replace(case.pattern, seed=seed)
        ).predictions
        if prediction.at_ms >= case.from_ms
    ]
    errors = sorted(abs(each.expected_ms - each.observed_ms) for each in predictions)
    return PredictionErrors(
        case.name,
        len(predictions),
        statistics.median(each.observed_ms for each in predictions),
        errors[len(errors) // 2],
        errors[len(errors) * 95 // 100],
        statistics.median(each.expected_ms / each.observed_ms for each in predictions),
    )


def report_section(measured: Sequence[PredictionErrors]) -> list[str]:
    """Return the lines of the report's section on predictions."""
    return [
        "",
        "## How well first events are predicted",
        "",
        "Six gateways learn the times of eight model engines from their answers;",
        f"predictions of seeds {SEEDS[0]} to {SEEDS[-1]}, after the first seconds.",
        "",
        "| engines | answers | observed, median | error, median | error, 95th "
        "percentile | predicted over observed, median |",
        "|---|---|---|---|---|---|",
        *(
            f"| {each.name} | {each.count} | {each.median_observed_ms:.0f} ms "
            f"| {each.median_error_ms:.0f} ms | {each.p95_error_ms:.0f} ms "
            f"| {each.median_ratio:.2f} |"
            for each in measured
        ),
    ]
