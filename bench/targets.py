"""The targets of the policy experiment, and whether the product's policy meets them.

The factors below relate a figure of the product's policy to that of a lower bound or
of another policy (a baseline).
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final

from bench import measures, trace
from quincecrank import policies

FIRST_TOKEN_BOUND_FACTOR: Final = 1.3
LEAST_LOADED_FACTOR: Final = 0.5
ROUND_ROBIN_FACTOR: Final = 0.10
RECOMPUTED_BOUND_FACTOR: Final = 1.2
BASELINE_TOLERANCE: Final = 0.05
ACCOUNT_FACTOR: Final = 3.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """A target, the measured figure and its limit, in the unit that the text names."""

    target: str
    figure: float
    limit: float

    @property
    def met(self) -> bool:
        """Return whether the figure is within the limit."""
        return self.figure <= self.limit


Summaries = Mapping[str, measures.Summary]


def evaluate(
    workload: trace.Workload, by_policy: Summaries, bound: measures.BoundSummary
) -> tuple[Verdict, ...]:
    """Compare the product's policy on one workload with its targets."""
    product = by_policy[policies.DEFAULT_POLICY]
    if workload is trace.Workload.TINTA_CLARA:
        workload_targets = _first_token_targets(product, by_policy, bound)
    else:
        workload_targets = _recomputation_targets(product, by_policy, bound)
    fairness = Verdict(
        "greatest account p95 over the median account's",
        product.account_p95_ratio,
        ACCOUNT_FACTOR,
    )
    return (*workload_targets, *_against_best_baseline(product, by_policy), fairness)


def _first_token_targets(
    product: measures.Summary, by_policy: Summaries, bound: measures.BoundSummary
) -> Sequence[Verdict]:
    p95 = product.first_token_ms[95]
    least_loaded = by_policy["least-loaded"].first_token_ms[95]
    return (
        Verdict(
            "p95 first token against 1.3 x bound, blocks in the memory tier (ms)",
            p95,
            FIRST_TOKEN_BOUND_FACTOR * bound.restored_ms[95],
        ),
        Verdict(
            "p95 first token against 1.3 x bound, blocks in the engines (ms)",
            p95,
            FIRST_TOKEN_BOUND_FACTOR * bound.held_ms[95],
        ),
        Verdict(
            "p95 first token against half of least loaded (ms)",
            p95,
            LEAST_LOADED_FACTOR * least_loaded,
        ),
    )


def _recomputation_targets(
    product: measures.Summary, by_policy: Summaries, bound: measures.BoundSummary
) -> Sequence[Verdict]:
    share = product.recomputed_share
    return (
        Verdict(
            "recomputed share against 0.10 of round robin's",
            share,
            ROUND_ROBIN_FACTOR * by_policy["round-robin"].recomputed_share,
        ),
        Verdict(
            "recomputed share against 1.2 x bound",
            share,
            RECOMPUTED_BOUND_FACTOR * bound.recomputed_share,
        ),
        Verdict(
            "link bytes against always-restore's (MiB)",
            product.link_bytes / 2**20,
            by_policy["always-restore"].link_bytes / 2**20,
        ),
    )


def _against_best_baseline(
    product: measures.Summary, by_policy: Summaries
) -> Sequence[Verdict]:
    baselines = [s for s in by_policy.values() if s.policy != product.policy]
    with_tiers = [s for s in baselines if s.link_bytes] or baselines
    factor = 1 + BASELINE_TOLERANCE
    return (
        Verdict(
            "p95 first token against 1.05 x the best baseline's (ms)",
            product.first_token_ms[95],
            factor * min(s.first_token_ms[95] for s in baselines),
        ),
        Verdict(
            "recomputed share against 1.05 x the best baseline's",
            product.recomputed_share,
            factor * min(s.recomputed_share for s in baselines),
        ),
        Verdict(
            "link bytes against 1.05 x the best baseline's that uses tiers (MiB)",
            product.link_bytes / 2**20,
            factor * min(s.link_bytes for s in with_tiers) / 2**20,
        ),
    )
