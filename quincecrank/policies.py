"""Routing policies: the product's own and the baselines it is measured against."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from quincecrank import chain_view, ids, rendezvous, routing

DEFAULT_POLICY: Final = "cost"
"""Name of the product's policy."""

_TIE_MS: Final = 5.0
_TIE_SHARE: Final = 0.02
_DOUBT_FACTOR: Final = 1.1
"""Factor on the cost of a plan that relies on blocks of a doubtful engine."""


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
    return next(routing.plans_for(request, replica, chain, {}, {}))


@dataclasses.dataclass(frozen=True)
class CostPolicy:
    """Chooses the lowest weighted cost over all candidates and splits.

    Parameters
    ----------
    restoring : Restoring
        `CHEAPEST` is the product; the others are baselines.
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
        copies = chain.copies_by_index() if self.uses_tiers else {}
        by_place = routing.links_by_place(links)
        plans = []
        for replica in candidates:
            splits = list(routing.plans_for(request, replica, chain, copies, by_place))
            if self.restoring is routing.Restoring.ALWAYS:
                plan = splits[-1]
            else:
                plan = min(splits, key=lambda split: split.cost)
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
