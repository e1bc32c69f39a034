"""Routing policies: the product's own and the baselines it is measured against."""

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
"""Name of the product's policy."""

MAX_CANDIDATES: Final = 24
"""Replicas that are weighed in full for one request."""

_TIE_MS: Final = 5.0
_TIE_SHARE: Final = 0.02
_DOUBT_FACTOR: Final = 1.1
"""Factor on the cost of a plan that relies on blocks of a doubtful engine."""

_FIRST_TOKEN_ONLY: Final = configuration.PolicyWeights()

Key = Callable[[routing.ReplicaState], float]


def _preference(request: routing.RoutingRequest, server: ids.BackendServerName) -> int:
    """Return a weight by which all entries prefer the same replica for a prefix."""
    return rendezvous.weight(request.root or request.request_id, server)


def _best_plan(
    request: routing.RoutingRequest, plans: Sequence[routing.Plan]
) -> routing.Plan | None:
    """Return the cheapest plan; among near ties all entries prefer the same one."""
    if not plans:
        return None
    lowest = min(plan.cost for plan in plans)
    limit = lowest + max(_TIE_MS, abs(lowest) * _TIE_SHARE)
    ties = [plan for plan in plans if plan.cost <= limit]
    return max(
        ties, key=lambda plan: (plan.cached_blocks, _preference(request, plan.server))
    )


def bounded_candidates(
    request: routing.RoutingRequest,
    candidates: Sequence[routing.ReplicaState],
    chain: chain_view.ChainView,
) -> Sequence[routing.ReplicaState]:
    """Return at most `MAX_CANDIDATES`: holders, least loaded and preferred ones."""
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    part = MAX_CANDIDATES // 3
    chosen: dict[ids.BackendServerName, routing.ReplicaState] = {}
    holders = [c for c in candidates if c.server in chain.held_by_server]
    orders: tuple[tuple[Sequence[routing.ReplicaState], Key], ...] = (
        (holders, lambda c: -chain.held_prefix(c.server)),
        (candidates, lambda c: c.wait_ms()),
        (candidates, lambda c: -_preference(request, c.server)),
    )
    for replicas, key in orders:
        left = [c for c in replicas if c.server not in chosen]
        chosen.update((c.server, c) for c in heapq.nsmallest(part, left, key=key))
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


def _first_plan(
    request: routing.RoutingRequest,
    replica: routing.ReplicaState,
    chain: chain_view.ChainView,
) -> routing.Plan:
    """Return the plan that uses only what the engine holds."""
    splits = prompt_split.SplitFinder(chain, (), 0).splits(replica.server)
    cost = prompt_split.cost_of(request, replica, splits.options[0])
    return prompt_split.plan_of(replica, splits, cost)


@dataclasses.dataclass(frozen=True)
class CostPolicy:
    """Chooses the lowest weighted cost over all candidates and splits.

    Parameters
    ----------
    restoring : Restoring
        `CHEAPEST` is the product.  The others are baselines, which look at the
        time to first token only.
    """

    name: str = DEFAULT_POLICY
    restoring: routing.Restoring = routing.Restoring.CHEAPEST

    @property
    def uses_tiers(self) -> bool:
        """Whether blocks are written to and restored from stores."""
        return self.restoring is not routing.Restoring.NEVER

    def choose(
        self,
        request: routing.RoutingRequest,
        candidates: Sequence[routing.ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        now_ms: int,
    ) -> routing.Plan | None:
        """Return the cheapest plan, or None without candidates."""
        if self.restoring is not routing.Restoring.CHEAPEST:
            request = dataclasses.replace(request, weights=_FIRST_TOKEN_ONLY)
        finder = prompt_split.SplitFinder(
            chain, links if self.uses_tiers else (), request.block_bytes
        )
        plans = []
        for replica in bounded_candidates(request, candidates, chain):
            splits = finder.splits(replica.server)
            options = splits.options
            if self.restoring is routing.Restoring.ALWAYS:
                options = options[-1:]
            costs = [prompt_split.cost_of(request, replica, s) for s in options]
            cheapest = min(costs, key=lambda cost: cost.cost)
            plan = prompt_split.plan_of(replica, splits, cheapest)
            plans.append(_doubted(plan, chain))
        return _best_plan(request, plans)


def _doubted(plan: routing.Plan, chain: chain_view.ChainView) -> routing.Plan:
    if plan.cached_blocks and plan.server in chain.doubtful:
        return dataclasses.replace(plan, cost=plan.cost * _DOUBT_FACTOR)
    return plan


class RoundRobinPolicy:
    """Takes the candidates in turn and uses no cache."""

    name: Final = "round-robin"
    uses_tiers: Final = False

    def __init__(self) -> None:
        self._turn = 0

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
        replica = by_name[self._turn % len(by_name)]
        self._turn += 1
        plan = _first_plan(request, replica, chain_view.empty(chain.block_count))
        return dataclasses.replace(plan, reuse=False)


class LeastLoadedPolicy:
    """Takes the candidate with the shortest wait."""

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
        return _first_plan(request, _least_loaded(candidates), chain)


class PrefixAffinityPolicy:
    """Takes the candidate that holds most of the prompt, unless it is overloaded.

    Parameters
    ----------
    overload_ms : float
        Wait beyond that of the least loaded candidate at which it is taken instead.
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
        """Return a plan on the holder of the prefix, or None without candidates."""
        if not candidates:
            return None
        limit_ms = _least_loaded(candidates).wait_ms() + self._overload_ms
        allowed = [replica for replica in candidates if replica.wait_ms() <= limit_ms]
        replica = max(
            allowed,
            key=lambda replica: (
                chain.held_prefix(replica.server),
                _preference(request, replica.server),
            ),
        )
        return _first_plan(request, replica, chain)


_FACTORIES_BY_NAME: Final[dict[str, Callable[[], routing.RoutingPolicy]]] = {
    DEFAULT_POLICY: CostPolicy,
    "round-robin": RoundRobinPolicy,
    "least-loaded": LeastLoadedPolicy,
    "prefix-affinity": PrefixAffinityPolicy,
    "always-restore": lambda: CostPolicy("always-restore", routing.Restoring.ALWAYS),
    "always-recompute": lambda: CostPolicy("always-recompute", routing.Restoring.NEVER),
}

POLICY_NAMES: Final = tuple(_FACTORIES_BY_NAME)
"""Names that the settings may give."""


def make_policy(name: str) -> routing.RoutingPolicy:
    """Return a new policy called `name`, one of `POLICY_NAMES`."""
    return _FACTORIES_BY_NAME[name]()
