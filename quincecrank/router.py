"""Chooses the agent for each attempt and logs why."""

import dataclasses
from typing import Final

from quincecrank import (
    agent_links,
    chain_view,
    configuration,
    current_configuration,
    ids,
    logs,
    membership,
    policies,
    request_context,
    routing,
    vm_list,
)
from quincecrank import clock as clocks

LINK_OVERHEAD_MS: Final = 2.0
DEFAULT_BLOCK_BYTES: Final = 64 * 1024
_BLOCK_SMOOTHING: Final = 0.2

_LOG: Final = logs.logger("router")


@dataclasses.dataclass(frozen=True)
class Route:
    """A routing decision: the agent and the plan to follow there."""

    state: agent_links.AgentState
    plan: routing.Plan


class Router:
    """Applies the routing policy to the agents that may take a request."""

    def __init__(
        self,
        links: agent_links.AgentLinks,
        members: membership.Membership,
        current: current_configuration.CurrentConfiguration,
        policy: routing.RoutingPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._members = members
        self._current = current
        self._clock = clock
        self._restoring_bytes: dict[tuple[ids.VmName, ids.TierName], int] = {}
        self.policy = policy
        self.block_bytes = DEFAULT_BLOCK_BYTES

    def candidates(
        self,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
        excluded: frozenset[ids.BackendServerName] = frozenset(),
    ) -> tuple[agent_links.AgentState, ...]:
        """Return the agents that may take a request now."""
        drains = self._current.in_force.drains_by_vm
        return tuple(
            state
            for state in self._links.states_by_vm.values()
            if state.peer.deployment == context.deployment.name
            and state.accepting
            and state.healthy
            and state.peer.name not in drains
            and not self._is_leaving(state.peer.name)
            and state.peer.backend_server not in excluded
            and self._fits(state, context.deployment, adapter)
            and state.breaker.allows(self._clock.now_ms())
        )

    def choose(
        self,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
        prompt_tokens: int,
        chain: chain_view.ChainView,
        root: ids.BlockKey | None,
        excluded: frozenset[ids.BackendServerName] = frozenset(),
        *,
        alone: bool = False,
    ) -> Route | None:
        """Return the decision for one attempt, None without a candidate.

        Parameters
        ----------
        alone : bool
            Whether the request is suspected of crashing backend servers and must
            not meet another suspect.
        """
        states = self.candidates(context, adapter, excluded)
        if alone:
            states = tuple(state for state in states if not state.suspects)
        now_ms = self._clock.now_ms()
        replicas = [state.estimates.state(now_ms) for state in states]
        request = routing.RoutingRequest(
            request_id=context.request_id,
            deployment=context.deployment.name,
            weights=context.deployment.weights,
            prompt_tokens=prompt_tokens,
            block_bytes=self.block_bytes,
            root=root,
        )
        known = [replica for replica in replicas if replica is not None]
        links = self._link_states(context.deployment)
        plan = self.policy.choose(request, known, chain, links, now_ms)
        if plan is None:
            return None
        state = next(s for s in states if s.peer.backend_server == plan.server)
        self._log(context, plan, len(known))
        return Route(state, plan)

    def tiers_of(
        self, deployment: configuration.Deployment
    ) -> tuple[configuration.Tier, ...]:
        """Return the tiers of a deployment in its order of preference."""
        tiers_by_name = self._current.in_force.tiers_by_name
        return tuple(tiers_by_name[t] for t in deployment.tiers if t in tiers_by_name)

    def restore_started(self, plan: routing.Plan) -> None:
        """Count the bytes that a plan takes from the links."""
        self._count_restore(plan, self.block_bytes)

    def restore_ended(self, plan: routing.Plan) -> None:
        """Give the bytes of a plan back."""
        self._count_restore(plan, -self.block_bytes)

    def restored(self, blocks: int, link_bytes: int) -> None:
        """Learn the size of a sealed block from a restore."""
        if blocks:
            observed = link_bytes // blocks
            self.block_bytes += int(_BLOCK_SMOOTHING * (observed - self.block_bytes))

    def _count_restore(self, plan: routing.Plan, size_bytes: int) -> None:
        for copy in plan.restore:
            place = (copy.store, copy.tier)
            waiting = self._restoring_bytes.get(place, 0)
            self._restoring_bytes[place] = max(0, waiting + size_bytes)

    def _is_leaving(self, name: ids.VmName) -> bool:
        vm = self._members.vms_by_name.get(name)
        return vm is not None and vm.state is vm_list.VmState.LEAVING

    def _fits(
        self,
        state: agent_links.AgentState,
        deployment: configuration.Deployment,
        adapter: ids.AdapterName,
    ) -> bool:
        if deployment.kind is configuration.DeploymentKind.SERVICE:
            return True
        if state.weight_version != deployment.weight_version:
            return False
        return not adapter or adapter in state.adapters

    def _link_states(
        self, deployment: configuration.Deployment
    ) -> tuple[routing.LinkState, ...]:
        tiers = self.tiers_of(deployment)
        return tuple(
            routing.LinkState(
                store=store,
                tier=tier.name,
                bytes_per_second=tier.link_bytes_per_second,
                waiting_bytes=self._restoring_bytes.get((store, tier.name), 0),
                overhead_ms=LINK_OVERHEAD_MS,
            )
            for tier in tiers
            for store in tier.stores
            if store in self._members.vms_by_name and not self._is_leaving(store)
        )

    def _log(
        self, context: request_context.RequestContext, plan: routing.Plan, count: int
    ) -> None:
        _LOG.info(
            "request routed",
            decision="routing",
            policy=self.policy.name,
            request_id=context.request_id,
            account=context.account.name,
            deployment=context.deployment.name,
            backend_server=plan.server,
            candidates=count,
            cached_blocks=plan.cached_blocks,
            restore_blocks=len(plan.restore),
            recompute_tokens=plan.recompute_tokens,
            estimated_first_token_ms=round(plan.estimated_first_token_ms),
            cost=round(plan.cost, 1),
            reason=plan.reason,
        )


def default_policy() -> routing.RoutingPolicy:
    """Return the product's own policy."""
    return policies.make_policy(policies.DEFAULT_POLICY)
