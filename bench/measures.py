"""Statistics of policy runs: of one run, and over the seeds of one policy."""

import collections
import dataclasses
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from bench import load, lower_bound

PERCENTILES: Final = (50, 95, 99)


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile (0 to 100) by linear interpolation; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    position = (len(ordered) - 1) * percent / 100
    lower = int(position)
    upper = min(lower + 1, len(ordered) - 1)
    return ordered[lower] + (ordered[upper] - ordered[lower]) * (position - lower)


@dataclasses.dataclass(frozen=True)
class LinkBytes:
    """Bytes transferred over the links of the store VMs, by tier."""

    read_by_tier: Mapping[str, int]
    written_by_tier: Mapping[str, int]

    @property
    def total(self) -> int:
        """Return the bytes of all tiers in both directions."""
        return sum(self.read_by_tier.values()) + sum(self.written_by_tier.values())

    def since(self, earlier: "LinkBytes") -> "LinkBytes":
        """Return the bytes transferred since `earlier`."""
        return LinkBytes(
            _difference(self.read_by_tier, earlier.read_by_tier),
            _difference(self.written_by_tier, earlier.written_by_tier),
        )


def _difference(later: Mapping[str, int], earlier: Mapping[str, int]) -> dict[str, int]:
    return {name: count - earlier.get(name, 0) for name, count in later.items()}


@dataclasses.dataclass(frozen=True)
class PolicyRun:
    """Measurements of one policy on one trace."""

    policy: str
    workload: str
    seed: int
    records: tuple[load.RequestRecord, ...]
    bounds: tuple[lower_bound.RequestBound, ...]
    links: LinkBytes

    def answered(self) -> list[load.RequestRecord]:
        """Return the requests whose answer was complete and as expected."""
        answered = load.Outcome.ANSWERED
        return [record for record in self.records if record.outcome is answered]

    def first_token_ms(self) -> list[float]:
        """Return the times to first token of the answered requests."""
        return [record.first_token_ms for record in self.answered()]

    def recomputed_share(self) -> float:
        """Return the fraction of the answered prompts' tokens that was recomputed."""
        prompt_tokens = sum(record.prompt_tokens for record in self.answered())
        cached_tokens = sum(record.cached_tokens for record in self.answered())
        return 1 - cached_tokens / prompt_tokens if prompt_tokens else 0.0


@dataclasses.dataclass(frozen=True)
class Summary:
    """Measurements of one policy on one workload, over all seeds.

    Attributes
    ----------
    first_token_ms : dict
        Percentiles over the answered requests of all seeds, by percent.
    first_token_spread_ms : dict
        Least and greatest percentile of a single seed, by percent.
    recomputed_spread, link_spread : tuple
        Least and greatest value of a single seed.
    late : int
        Requests whose first token came after the deadline.
    account_p95_ratio : float
        Greatest 95th percentile of an account over that of the median account.
    """

    policy: str
    workload: str
    requests: int
    first_token_ms: dict[int, float]
    first_token_spread_ms: dict[int, tuple[float, float]]
    recomputed_share: float
    recomputed_spread: tuple[float, float]
    read_by_tier: dict[str, int]
    written_by_tier: dict[str, int]
    link_bytes: int
    link_spread: tuple[int, int]
    counts_by_outcome: dict[str, int]
    late: int
    account_p95_ratio: float


def summarise(runs: Sequence[PolicyRun]) -> Summary:
    """Return the statistics of the runs of one policy on one workload."""
    pooled = [value for run in runs for value in run.first_token_ms()]
    shares = [run.recomputed_share() for run in runs]
    totals = [run.links.total for run in runs]
    outcomes = collections.Counter(
        record.outcome.value for run in runs for record in run.records
    )
    return Summary(
        policy=runs[0].policy,
        workload=runs[0].workload,
        requests=sum(len(run.records) for run in runs),
        first_token_ms={p: percentile(pooled, p) for p in PERCENTILES},
        first_token_spread_ms={p: _first_token_spread(runs, p) for p in PERCENTILES},
        recomputed_share=_pooled_recomputed_share(runs),
        recomputed_spread=(min(shares), max(shares)),
        read_by_tier=_sum_by_tier(run.links.read_by_tier for run in runs),
        written_by_tier=_sum_by_tier(run.links.written_by_tier for run in runs),
        link_bytes=sum(totals),
        link_spread=(min(totals), max(totals)),
        counts_by_outcome=dict(outcomes),
        late=sum(record.late for run in runs for record in run.records),
        account_p95_ratio=_account_p95_ratio(runs),
    )


def _first_token_spread(runs: Sequence[PolicyRun], percent: int) -> tuple[float, float]:
    values = [percentile(run.first_token_ms(), percent) for run in runs]
    return min(values), max(values)


def _pooled_recomputed_share(runs: Sequence[PolicyRun]) -> float:
    answered = [record for run in runs for record in run.answered()]
    prompt_tokens = sum(record.prompt_tokens for record in answered)
    cached_tokens = sum(record.cached_tokens for record in answered)
    return 1 - cached_tokens / prompt_tokens if prompt_tokens else 0.0


def _sum_by_tier(uses: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for use in uses:
        total.update(use)
    return dict(total)


def _account_p95_ratio(runs: Sequence[PolicyRun]) -> float:
    times_by_account: dict[str, list[float]] = {}
    for run in runs:
        for record in run.answered():
            times = times_by_account.setdefault(record.account, [])
            times.append(record.first_token_ms)
    by_account = [percentile(times, 95) for times in times_by_account.values()]
    if not by_account:
        return 0.0
    return max(by_account) / max(1.0, statistics.median(by_account))


@dataclasses.dataclass(frozen=True)
class BoundSummary:
    """The lower bounds of one workload over all seeds.

    Attributes
    ----------
    held_ms, restored_ms : dict
        Percentiles of the times of `lower_bound.RequestBound`, by percent.
    """

    workload: str
    held_ms: dict[int, float]
    restored_ms: dict[int, float]
    recomputed_share: float


def summarise_bounds(runs: Sequence[PolicyRun]) -> BoundSummary:
    """Return the bounds of the traces of `runs`; each seed counts once."""
    by_seed = {run.seed: run.bounds for run in runs}
    all_bounds = tuple(bound for bounds in by_seed.values() for bound in bounds)
    held = [bound.held_ms for bound in all_bounds]
    restored = [bound.restored_ms for bound in all_bounds]
    return BoundSummary(
        runs[0].workload,
        {p: percentile(held, p) for p in PERCENTILES},
        {p: percentile(restored, p) for p in PERCENTILES},
        lower_bound.recomputed_share(all_bounds),
    )
