"""Compares the gateways' decisions under overload with simple policies and a bound.

    python -m bench.gateway_policy

Replays the same seeded patterns (see `gateway_simulation`) under each policy and writes
docs/REPORT-GATEWAYS.md with its plot.  Policies are compared by the share of the worth:
the value of the answers as a fraction of the value of all requests, each on time.
"""

import concurrent.futures
import dataclasses
import pathlib
import statistics
from collections.abc import Sequence
from typing import Final

import matplotlib

from bench import gateway_simulation, gateway_times, simulated_engine

matplotlib.use("Agg")
from matplotlib import pyplot

SEEDS: Final = (1, 2, 3, 4, 5)
WORKERS: Final = 2
REPORT: Final = pathlib.Path("docs/REPORT-GATEWAYS.md")
PICTURE: Final = pathlib.Path("docs/pictures/gateways-share.png")


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A named load pattern; its seed is replaced by each of `SEEDS`."""

    name: str
    pattern: gateway_simulation.Pattern


LOADS: Final = (
    Load(
        "six engines for the load of five and a half",
        gateway_simulation.Pattern(0, engines=6),
    ),
    Load("four engines for it", gateway_simulation.Pattern(0)),
    Load(
        "seven engines, two seconds of 1.7 times the load",
        gateway_simulation.Pattern(
            0, engines=7, burst_from_ms=2_000, burst_until_ms=4_000, burst_factor=1.7
        ),
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A policy to compare: values that replace those of a pattern."""

    name: str
    policy: gateway_simulation.Policy = gateway_simulation.Policy.GATEWAYS
    sends_load_changes: bool = True
    gateways: int = 10


CANDIDATES: Final = (
    Candidate("ten gateways"),
    Candidate("ten gateways, loads by reports only", sends_load_changes=False),
    Candidate("one gateway that sees all", gateways=1),
    Candidate("fewest requests", gateway_simulation.Policy.LEAST_REQUESTS),
    Candidate("random engine", gateway_simulation.Policy.RANDOM),
)


def max_value_fraction(pattern: gateway_simulation.Pattern) -> float:
    """Return an upper bound of the value fraction, for any policy.

    Assumes that every shared part is cached, so that engines compute only the suffixes,
    in full chunks, from the first arrival to the end of the longest target.  Suffixes
    are computed in descending order of worth per token; requests for which no time is
    left count as late.
    """
    arrivals = gateway_simulation.make_arrivals(pattern)
    step_ms = simulated_engine.STEP_MS + (
        simulated_engine.PREFILL_CHUNK_TOKENS / simulated_engine.PREFILL_TOKENS_PER_MS
    )
    max_target_ms = max(kind.target_ms for kind in pattern.kinds)
    time_ms = pattern.duration_ms + max_target_ms
    tokens_left = (
        pattern.engines * time_ms * simulated_engine.PREFILL_CHUNK_TOKENS / step_ms
    )
    value = 0.0
    for arrival in sorted(
        arrivals, key=lambda each: _suffix_tokens(each) / each.kind.on_time_value
    ):
        tokens_left -= _suffix_tokens(arrival)
        value += (
            arrival.kind.on_time_value if tokens_left >= 0 else arrival.kind.late_value
        )
    return value / sum(arrival.kind.on_time_value for arrival in arrivals)


def _suffix_tokens(arrival: gateway_simulation.Arrival) -> int:
    return arrival.prompt.input_tokens - arrival.prompt.shared_tokens


def main() -> None:
    """Run the experiment and write the report."""
    patterns = [
        dataclasses.replace(
            load.pattern,
            seed=seed,
            policy=candidate.policy,
            sends_load_changes=candidate.sends_load_changes,
            gateways=candidate.gateways,
        )
        for load in LOADS
        for candidate in CANDIDATES
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(gateway_simulation.replay, patterns))
        prediction_errors = list(pool.map(gateway_times.measure, gateway_times.CASES))
    lines = [
        "# The gateways' decisions under overload",
        "",
        "Written by `python -m bench.gateway_policy`: seeded arrivals of eight",
        f"seconds in virtual time, seeds {SEEDS[0]} to {SEEDS[-1]}, engines by their",
        "data sheet. The share is the worth of the answers over that of all requests",
        "(a late answer counts a fifth): mean, least and greatest of the seeds;",
        "counts are sums. The bound is what the engines' reading speed allows with",
        "all shared parts kept.",
    ]
    shares_by_load: dict[str, list[float]] = {}
    rows = iter(results)
    for load in LOADS:
        bounds = [
            max_value_fraction(dataclasses.replace(load.pattern, seed=seed))
            for seed in SEEDS
        ]
        lines += _table_head(load.name)
        shares_by_load[load.name] = []
        for candidate in CANDIDATES:
            candidate_results = [next(rows) for _ in SEEDS]
            lines.append(_row(candidate.name, candidate_results))
            shares_by_load[load.name].append(
                statistics.mean(r.value_fraction for r in candidate_results)
            )
        lines.append(f"| bound | {statistics.mean(bounds):.3f} | | | |")
        shares_by_load[load.name].append(statistics.mean(bounds))
    lines += ["", f"![share of the worth]({PICTURE.relative_to(REPORT.parent)})"]
    lines += gateway_times.report_section(prediction_errors)
    REPORT.write_text("\n".join(lines) + "\n")
    _plot(shares_by_load)


def _table_head(name: str) -> list[str]:
    return [
        "",
        f"## {name[0].upper()}{name[1:]}",
        "",
        "| policy | share | verdicts on time / late / refused "
        "| notes on time / late / refused | preempted |",
        "|---|---|---|---|---|",
    ]


def _row(name: str, results: Sequence[gateway_simulation.Result]) -> str:
    shares = [result.value_fraction for result in results]
    cells = [f"{statistics.mean(shares):.3f} ({min(shares):.3f}-{max(shares):.3f})"]
    for kind in (gateway_simulation.VERDICTS, gateway_simulation.NOTES):
        outcomes = [result.outcome_by_kind[kind.name] for result in results]
        cells.append(
            f"{sum(each.on_time for each in outcomes)} / "
            f"{sum(each.late for each in outcomes)} / "
            f"{sum(each.rejected for each in outcomes)}"
        )
    cells.append(str(sum(result.preemption_count for result in results)))
    return f"| {name} | {' | '.join(cells)} |"


def _plot(shares_by_load: dict[str, list[float]]) -> None:
    figure, axes = pyplot.subplots(figsize=(9, 4))
    names = [candidate.name for candidate in CANDIDATES] + ["bound"]
    for index, (load, shares) in enumerate(shares_by_load.items()):
        positions = [number + index * 0.27 for number in range(len(names))]
        axes.bar(positions, shares, 0.25, label=load)
    axes.set_xticks([number + 0.27 for number in range(len(names))], names, fontsize=7)
    axes.set_ylabel("share of the worth")
    axes.legend(fontsize=7)
    figure.tight_layout()
    PICTURE.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(PICTURE, dpi=100)


if __name__ == "__main__":
    main()
