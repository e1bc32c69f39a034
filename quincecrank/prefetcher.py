"""Fetches blocks into engines shortly before a learned peak.

Each directory agent decides for the prefixes of its own shard and tells the agents
that should import.
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
"""Blocks that an engine is assumed to cache when planning a prefetch."""

_LOG: Final = logs.logger("prefetcher")


class Prefetcher:
    """Sends the prefetch orders of one shard."""

    def __init__(
        self,
        own: ids.VmName,
        deployment: ids.DeploymentName,
        advisor: placement_advisor.PlacementAdvisor,
        members: membership.Membership,
        agents: Callable[[], tuple[ids.VmName, ...]],
        links: Mapping[ids.VmName, peer_link.PeerLink],
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._deployment = deployment
        self._advisor = advisor
        self._members = members
        self._agents = agents
        self._links = links
        self._clock = clock

    async def check(self) -> None:
        """Send what is due now."""
        vms = self._members.live_agents(self._deployment)
        vm_by_server = {vm.backend_server: vm.name for vm in vms}
        room = dict.fromkeys(vm_by_server, ASSUMED_CACHE_BLOCKS)
        for order in self._advisor.prefetches(room, self._clock.wall_ms()):
            first = directory.responsible_agents(order.root, self._agents())[:1]
            link = self._links.get(vm_by_server[order.server])
            if first != (self._own,) or link is None:
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
