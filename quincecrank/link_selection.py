"""Selection of the agents to which an entry maintains links.

The set is bounded: the directory agents of each deployment, a few others chosen by
rendezvous hash so that entries spread over the replicas, and those to which a link was
recently requested because their engines hold the blocks of a prompt.
"""

from collections.abc import Iterable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, membership, rendezvous, vm_list

ON_DEMAND_LINK_MS: Final = 60_000
"""Time for which a link made on demand is maintained after its last request."""


class LinkSelection:
    """Selects the agents to which one entry has links.

    Parameters
    ----------
    own : VmName
        VM of the entry; entries on different VMs choose different agents.
    links_per_deployment : int
        Maximum number of agents chosen in addition to the directory agents.
    """

    def __init__(
        self,
        own: ids.VmName,
        members: membership.Membership,
        links_per_deployment: int,
        clock: clocks.Clock,
    ) -> None:
        self._own_vm = own
        self._members = members
        self._links_per_deployment = links_per_deployment
        self._clock = clock
        self._last_request_ms_by_vm: dict[ids.VmName, int] = {}

    def agents_to_link(self) -> tuple[vm_list.Vm, ...]:
        """Return the VMs of the agents that should have links now."""
        names_by_deployment: dict[ids.DeploymentName, list[ids.VmName]] = {}
        for vm in self._members.agents():
            names_by_deployment.setdefault(vm.deployment, []).append(vm.name)
        to_link: set[ids.VmName] = set(self._recently_requested())
        for deployment, names in names_by_deployment.items():
            to_link.update(self._members.directory_agents(deployment))
            chosen = rendezvous.ranked(self._own_vm, names, self._links_per_deployment)
            to_link.update(chosen)
        vms_by_name = self._members.vms_by_name
        return tuple(vms_by_name[name] for name in to_link if name in vms_by_name)

    def request_links(self, servers: Iterable[ids.BackendServerName]) -> bool:
        """Request links to the agents of `servers`.

        Returns whether any of them was not requested within `ON_DEMAND_LINK_MS`; it
        may have a link nevertheless.
        """
        now_ms = self._clock.now_ms()
        is_new = False
        for server in servers:
            name = self._members.vm_of(server)
            if name is not None:
                is_new |= name not in self._last_request_ms_by_vm
                self._last_request_ms_by_vm[name] = now_ms
        return is_new

    def _recently_requested(self) -> tuple[ids.VmName, ...]:
        """Return the VMs requested within `ON_DEMAND_LINK_MS`; remove the others."""
        oldest_ms = self._clock.now_ms() - ON_DEMAND_LINK_MS
        self._last_request_ms_by_vm = {
            name: last_request_ms
            for name, last_request_ms in self._last_request_ms_by_vm.items()
            if last_request_ms >= oldest_ms
        }
        return tuple(self._last_request_ms_by_vm)
