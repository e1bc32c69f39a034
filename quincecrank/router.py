"""Chooses the replica for each attempt and logs the inputs of the decision.

The router collects the candidates, the links to the stores and the blocks that engines
hold or are expected to hold; the routing policy decides among them.  The entry sees
each replica as the `agent_links.AgentState` of its agent.
"""

import dataclasses
from typing import Final

from quincecrank import (
    agent_links,
    chain_view,
    configuration,
    current_configuration,
    expected_holders,
    ids,
    link_budget,
    logs,
    membership,
    request_context,
    routing,
    vm_list,
)
from quincecrank import clock as clocks

DEFAULT_BLOCK_BYTES: Final = 64 * 1024
"""Assumed size of a sealed block before the first restore."""

_BLOCK_BYTES_SMOOTHING: Final = 0.2

_LOG: Final = logs.logger("router")


@dataclasses.dataclass(frozen=True)
class RoutingDecision:
    """A routing decision: the agent and the plan to follow there."""

    agent: agent_links.AgentState
    plan: routing.Plan


class Router:
    """Applies the routing policy to the candidates of a request.

    Attributes
    ----------
    policy : RoutingPolicy
        Policy that chooses among the candidates.
    block_bytes : int
        Estimated size of a sealed block.
    """

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
        self._link_estimates = link_budget.LinkEstimates()
        self._expected_holders = expected_holders.ExpectedHolders()
        self.policy = policy
        self.block_bytes = DEFAULT_BLOCK_BYTES

    def candidates(
        self,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
        excluded: frozenset[ids.BackendServerName] = frozenset(),
    ) -> tuple[agent_links.AgentState, ...]:
        """Return the agents of the replicas that may run a request now."""
        drains = self._current.in_force.drains_by_vm
        return tuple(
            agent
            for agent in self._links.states_of(context.deployment.name)
            if agent.accepting
            and agent.healthy
            and agent.peer.name not in drains
            and not self._is_leaving(agent.peer.name)
            and agent.peer.backend_server not in excluded
            and self._has_weights(agent, context.deployment, adapter)
            and agent.breaker.allows(self._clock.now_ms())
        )

    def has_loading_replicas(self, context: request_context.RequestContext) -> bool:
        """Return whether the deployment has accepting and healthy replicas.

        If there are no candidates, such replicas may still be loading the weights or
        the adapter, so that waiting for them is worth while.
        """
        return any(
            agent.peer.deployment == context.deployment.name
            and agent.accepting
            and agent.healthy
            for agent in self._links.states_by_vm.values()
        )

    def choose(
        self,
        context: request_context.RequestContext,
        adapter: ids.AdapterName,
        prompt_tokens: int,
        chain: chain_view.ChainView,
        keys: tuple[ids.BlockKey, ...],
        excluded: frozenset[ids.BackendServerName] = frozenset(),
        *,
        avoid_suspects: bool = False,
    ) -> RoutingDecision | None:
        """Return the decision for one attempt, None without a candidate.

        Parameters
        ----------
        avoid_suspects : bool
            True for a request suspected of crashing backend servers: replicas that
            run another suspect are left out.
        """
        agents = self.candidates(context, adapter, excluded)
        if avoid_suspects:
            agents = tuple(agent for agent in agents if not agent.suspects)
        now_ms = self._clock.now_ms()
        replicas = [agent.estimates.state(now_ms) for agent in agents]
        request = routing.RoutingRequest(
            request_id=context.request_id,
            deployment=context.deployment.name,
            cost_weights=context.deployment.weights,
            prompt_tokens=prompt_tokens,
            block_bytes=self.block_bytes,
            root=keys[0] if keys else None,
        )
        with_report = [replica for replica in replicas if replica is not None]
        links = self._link_states(context.deployment)
        chain_with_expected = self._expected_holders.merged(chain, keys, now_ms)
        plan = self.policy.choose(
            request, with_report, chain_with_expected, links, now_ms
        )
        if plan is None:
            return None
        if plan.reuse:
            self._expected_holders.record_send(plan.server, keys, now_ms)
        agent = next(a for a in agents if a.peer.backend_server == plan.server)
        self._log_route(context, plan, len(with_report))
        return RoutingDecision(agent, plan)

    def record_first_token(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Let the expected blocks of a computed prompt expire soon.

        By then the directory knows that the engine holds them.
        """
        self._expected_holders.record_first_token(server, keys, self._clock.now_ms())

    def record_failure(
        self, server: ids.BackendServerName, keys: tuple[ids.BlockKey, ...]
    ) -> None:
        """Remove the expected blocks of an attempt that failed."""
        self._expected_holders.record_failure(server, keys)

    def tiers_of(
        self, deployment: configuration.Deployment
    ) -> tuple[configuration.Tier, ...]:
        """Return the tiers of a deployment in its order of preference."""
        tiers_by_name = self._current.in_force.tiers_by_name
        return tuple(tiers_by_name[t] for t in deployment.tiers if t in tiers_by_name)

    def record_restore_start(self, sent_id: ids.RequestId, plan: routing.Plan) -> None:
        """Add the bytes that an attempt restores to those waiting at the links."""
        self._link_estimates.record_planned_restores(
            sent_id, plan.restore, self.block_bytes, self._clock.now_ms()
        )

    def record_restore_end(
        self, sent_id: ids.RequestId, duration_ms: float | None = None
    ) -> None:
        """Remove the bytes of an attempt; a given duration updates the link's rate."""
        self._link_estimates.record_restore_end(sent_id, duration_ms)

    def record_block_size(self, blocks: int, link_bytes: int) -> None:
        """Update the estimated size of a sealed block from a restore."""
        if blocks:
            observed = link_bytes // blocks
            self.block_bytes += int(
                _BLOCK_BYTES_SMOOTHING * (observed - self.block_bytes)
            )

    def _is_leaving(self, name: ids.VmName) -> bool:
        """Return whether a VM is leaving or no longer in the VM list."""
        vm = self._members.vms_by_name.get(name)
        return vm is None or vm.state is vm_list.VmState.LEAVING

    def _has_weights(
        self,
        agent: agent_links.AgentState,
        deployment: configuration.Deployment,
        adapter: ids.AdapterName,
    ) -> bool:
        if deployment.kind is configuration.DeploymentKind.SERVICE:
            return True
        if agent.weight_version != deployment.weight_version:
            return False
        return not adapter or adapter in agent.adapters

    def _link_states(
        self, deployment: configuration.Deployment
    ) -> tuple[routing.LinkState, ...]:
        """Apply the configured link rates and return the links of the tiers.

        Links of store VMs that are leaving are left out.
        """
        names = {tier.name for tier in self.tiers_of(deployment)}
        for tier in self.tiers_of(deployment):
            for store in tier.stores:
                self._link_estimates.set_link(
                    store, tier.name, tier.link_bytes_per_second
                )
        return tuple(
            link
            for link in self._link_estimates.states()
            if link.tier in names and not self._is_leaving(link.store)
        )

    def _log_route(
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
