"""Routing policies: the default policy and the baselines it is compared with."""

import dataclasses
import heapq
from collections.abc import Callable, Sequence
from typing import Final

from quincecrank import (
    chain_view,
    configuration,
    ids,
    prompt_split,
    rendezvous,
    routing,
)

DEFAULT_POLICY: Final = "cost"
"""Name of the cost policy, see `CostPolicy`."""

MAX_CANDIDATES: Final = 24
"""Maximum number of replicas whose costs are computed for one request."""

_TIE_MS: Final = 5.0
"""Difference to the lowest cost up to which plans are tied, see `_TIE_FRACTION`."""

_TIE_FRACTION: Final = 0.02
"""The same as a fraction of the lowest cost; the larger difference counts."""

_DOUBT_FACTOR: Final = 1.1
"""Factor on the cost of a plan that reuses cached blocks of a doubtful server.

A server is doubtful while some of its cache events are missing.
"""

_FIRST_TOKEN_ONLY: Final = configuration.PolicyWeights()

Key = Callable[[routing.ReplicaState], float]


def _rendezvous_weight(
    request: routing.RoutingRequest, server: ids.BackendServerName
) -> int:
    """Return a hash of the prefix and the server.

    All entries prefer the replica with the highest hash for a prefix.
    """
    return rendezvous.weight(request.root or request.request_id, server)


def _best_plan(
    request: routing.RoutingRequest, plans: Sequence[routing.Plan]
) -> routing.Plan | None:
    """Return the cheapest plan.

    Among tied plans, the one with the most cached blocks wins, then the replica that
    all entries prefer.
    """
    if not plans:
        return None
    lowest = min(plan.cost for plan in plans)
    limit = lowest + max(_TIE_MS, abs(lowest) * _TIE_FRACTION)
    ties = [plan for plan in plans if plan.cost <= limit]
    return max(
        ties,
        key=lambda plan: (plan.cached_blocks, _rendezvous_weight(request, plan.server)),
    )


def bounded_candidates(
    request: routing.RoutingRequest,
    candidates: Sequence[routing.ReplicaState],
    chain: chain_view.ChainView,
) -> Sequence[routing.ReplicaState]:
    """Return at most `MAX_CANDIDATES` of the candidates.

    Up to a third each are those that hold the longest part of the prompt, those with
    the shortest wait and those that all entries prefer for the prompt's root.
    """
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    per_order = MAX_CANDIDATES // 3
    chosen: dict[ids.BackendServerName, routing.ReplicaState] = {}
    holders = [c for c in candidates if c.server in chain.held_by_server]
    orders: tuple[tuple[Sequence[routing.ReplicaState], Key], ...] = (
        (holders, lambda c: -chain.held_prefix(c.server)),
        (candidates, lambda c: c.wait_ms()),
        (candidates, lambda c: -_rendezvous_weight(request, c.server)),
    )
    for replicas, key in orders:
        left = [c for c in replicas if c.server not in chosen]
        chosen.update((c.server, c) for c in heapq.nsmallest(per_order, left, key=key))
    return tuple(chosen.values())


def _least_loaded(candidates: Sequence[routing.ReplicaState]) -> routing.ReplicaState:
    return min(
        candidates,
        key=lambda replica: (
            replica.wait_ms(),
            replica.running + replica.waiting,
            replica.server,
        ),
    )


def _cached_only_plan(
    request: routing.RoutingRequest,
    replica: routing.ReplicaState,
    chain: chain_view.ChainView,
) -> routing.Plan:
    """Return the plan that uses only the blocks that the engine holds."""
    splits = prompt_split.SplitFinder(chain, (), 0).splits(replica.server)
    # The first option restores nothing.
    cost = prompt_split.cost_of(request, replica, splits.options[0])
    return prompt_split.plan_of(replica, splits, cost)


@dataclasses.dataclass(frozen=True)
class CostPolicy:
    """Chooses the plan with the lowest weighted cost.

    It compares all splits of up to `MAX_CANDIDATES` candidates.  Among plans that
    cost nearly the same, the one with the most cached blocks wins.

    Parameters
    ----------
    restoring : RestoreMode
        `CHEAPEST` is the default policy.  The others are baselines, which weigh
        only the time to first token.
    """

    name: str = DEFAULT_POLICY
    restoring: routing.RestoreMode = routing.RestoreMode.CHEAPEST

    @property
    def uses_tiers(self) -> bool:
        """Whether blocks are written to and restored from stores."""
        return self.restoring is not routing.RestoreMode.NEVER

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        now_ms: int,
    ) -> routing.Plan | None:
        """Return the cheapest plan, or None without candidates."""
        if self.restoring is not routing.RestoreMode.CHEAPEST:
            request = dataclasses.replace(request, cost_weights=_FIRST_TOKEN_ONLY)
        finder = prompt_split.SplitFinder(
            chain, links if self.uses_tiers else (), request.block_bytes
        )
        plans = []
        for replica in bounded_candidates(request, candidates, chain):
            splits = finder.splits(replica.server)
            options = splits.options
            if self.restoring is routing.RestoreMode.ALWAYS:
                # The last option restores every block that can be restored.
                options = options[-1:]
            costs = [prompt_split.cost_of(request, replica, s) for s in options]
            cheapest = min(costs, key=lambda cost: cost.cost)
            plan = prompt_split.plan_of(replica, splits, cheapest)
            plans.append(_penalize_doubtful(plan, chain))
        return _best_plan(request, plans)


def _penalize_doubtful(plan: routing.Plan, chain: chain_view.ChainView) -> routing.Plan:
    if plan.cached_blocks and plan.server in chain.doubtful:
        return dataclasses.replace(plan, cost=plan.cost * _DOUBT_FACTOR)
    return plan


class RoundRobinPolicy:
    """Chooses the candidates in turn and lets the engines reuse no cached blocks."""

    name: Final = "round-robin"
    uses_tiers: Final = False

    def __init__(self) -> None:
        self._next_index = 0

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        now_ms: int,
    ) -> routing.Plan | None:
        """Return a plan on the next candidate, or None without candidates."""
        if not candidates:
            return None
        by_name = sorted(candidates, key=lambda candidate: candidate.server)
        replica = by_name[self._next_index % len(by_name)]
        self._next_index += 1
        plan = _cached_only_plan(request, replica, chain_view.empty(chain.block_count))
        return dataclasses.replace(plan, reuse=False)


class LeastLoadedPolicy:
    """Chooses the candidate with the shortest estimated wait."""

    name: Final = "least-loaded"
    uses_tiers: Final = False

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        now_ms: int,
    ) -> routing.Plan | None:
        """Return a plan on the least loaded candidate, or None without candidates."""
        if not candidates:
            return None
        return _cached_only_plan(request, _least_loaded(candidates), chain)


class PrefixAffinityPolicy:
    """Chooses the candidate that holds most of the prompt, unless it is overloaded.

    Parameters
    ----------
    overload_ms : float
        A candidate is overloaded if its estimated wait exceeds that of the least loaded
        one by more than this.
    """

    name: Final = "prefix-affinity"
    uses_tiers: Final = False

    def __init__(self, overload_ms: float = 2000.0) -> None:
        self._overload_ms = overload_ms

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        now_ms: int,
    ) -> routing.Plan | None:
        """Return a plan on the best holder, or None without candidates."""
        if not candidates:
            return None
        limit_ms = _least_loaded(candidates).wait_ms() + self._overload_ms
        allowed = [replica for replica in candidates if replica.wait_ms() <= limit_ms]
        replica = max(
            allowed,
            key=lambda replica: (
                chain.held_prefix(replica.server),
                _rendezvous_weight(request, replica.server),
            ),
        )
        return _cached_only_plan(request, replica, chain)


_FACTORIES_BY_NAME: Final[dict[str, Callable[[], routing.RoutingPolicy]]] = {
    DEFAULT_POLICY: CostPolicy,
    "round-robin": RoundRobinPolicy,
    "least-loaded": LeastLoadedPolicy,
    "prefix-affinity": PrefixAffinityPolicy,
    "always-restore": lambda: CostPolicy("always-restore", routing.RestoreMode.ALWAYS),
    "always-recompute": lambda: CostPolicy(
        "always-recompute", routing.RestoreMode.NEVER
    ),
}

POLICY_NAMES: Final = tuple(_FACTORIES_BY_NAME)
"""Policy names that the settings accept."""


def make_policy(name: str) -> routing.RoutingPolicy:
    """Return a new policy by its name, one of `POLICY_NAMES`."""
    return _FACTORIES_BY_NAME[name]()
