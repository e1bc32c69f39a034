"""Prefetches blocks into engines shortly before a learned load peak.

Each directory agent decides for the prefixes of its own shard and orders the agents of
the chosen engines to import the blocks.
"""

from collections.abc import Callable, Mapping
from typing import Final

from quincecrank import clock as clocks
from quincecrank import (
    directory,
    ids,
    logs,
    membership,
    peer_link,
    placement_advisor,
    rpc,
)

CHECK_INTERVAL_MS: Final = 1_000
CALL_TIMEOUT_MS: Final = 1_000
ASSUMED_CACHE_BLOCKS: Final = 64
"""Number of blocks that an engine is assumed to cache when a prefetch is planned."""

_LOG: Final = logs.logger("prefetcher")


class Prefetcher:
    """Sends the prefetch orders of one directory shard."""

    def __init__(
        self,
        own_vm: ids.VmName,
        deployment: ids.DeploymentName,
        advisor: placement_advisor.PlacementAdvisor,
        members: membership.Membership,
        directory_agents: Callable[[], tuple[ids.VmName, ...]],
        links: Mapping[ids.VmName, peer_link.PeerLink],
        clock: clocks.Clock,
    ) -> None:
        self._own_vm = own_vm
        self._deployment = deployment
        self._advisor = advisor
        self._members = members
        self._directory_agents = directory_agents
        self._links = links
        self._clock = clock

    async def check(self) -> None:
        """Send the prefetch orders that are due now."""
        vms = self._members.live_agents(self._deployment)
        vm_by_server = {vm.backend_server: vm.name for vm in vms}
        cache_blocks_by_server = dict.fromkeys(vm_by_server, ASSUMED_CACHE_BLOCKS)
        for order in self._advisor.prefetches(
            cache_blocks_by_server, self._clock.wall_ms()
        ):
            first = directory.responsible_agents(order.root, self._directory_agents())[
                :1
            ]
            link = self._links.get(vm_by_server[order.server])
            # Only the first responsible agent orders the prefetch of a prefix.
            if first != (self._own_vm,) or link is None:
                continue
            _LOG.info(
                "prefetch ordered",
                decision="prefetch",
                root=order.root,
                backend_server=order.server,
                blocks=len(order.copies),
            )
            request = rpc.PrefetchRequest(copies=order.copies)
            try:
                await link.call(
                    rpc.Method.PREFETCH, request, rpc.Empty, CALL_TIMEOUT_MS
                )
            except rpc.CallError as error:
                _LOG.info("prefetch not sent", reason=str(error))
