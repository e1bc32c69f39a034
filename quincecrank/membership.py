"""The VMs of the fleet as the platform's list shows them.

The list lags and may be out or frozen for long; the last one that was read stays in
force, and heartbeats tell what the list does not.
"""

import dataclasses
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, logs, object_client, rendezvous, vm_list

POLL_INTERVAL_MS: Final = 1_000
MAX_DIRECTORY_AGENTS: Final = 16
"""Agents of one deployment that share its directory."""

_LOG: Final = logs.logger("membership")


@dataclasses.dataclass(frozen=True)
class _Place:
    """A tier on a store VM at the address that the list gave."""

    vm: ids.VmName
    tier: ids.TierName
    address: str
    port: int


class Membership:
    """Follows the list of VMs and keeps clients of the store VMs.

    Parameters
    ----------
    deployment : DeploymentName
        Deployment whose blocks the store clients reach; each of its tiers has a
        bucket of its own on every store VM.
    """

    def __init__(
        self,
        source: vm_list.VmList,
        deployment: ids.DeploymentName,
        store_timeout_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._deployment = deployment
        self._store_timeout_ms = store_timeout_ms
        self._clock = clock
        self._stores_by_place: dict[_Place, object_client.HttpObjectStore] = {}
        self._vm_by_server: dict[ids.BackendServerName, ids.VmName] = {}
        self._directory_agents_by_deployment: dict[
            ids.DeploymentName, tuple[ids.VmName, ...]
        ] = {}
        self.vms_by_name: dict[ids.VmName, vm_list.Vm] = {}

    async def refresh(self) -> None:
        """Read the list once; a failure leaves the last one in force."""
        try:
            vms = await self._source.fetch()
        except vm_list.VmListError as error:
            _LOG.warning("VM list is unavailable", reason=str(error))
            return
        if self.agents() and not any(vm.role is vm_list.VmRole.AGENT for vm in vms):
            _LOG.warning("VM list names no agent; the last one stays in force")
            return
        self.vms_by_name = {vm.name: vm for vm in vms}
        self._vm_by_server = {vm.backend_server: vm.name for vm in self.agents()}
        self._directory_agents_by_deployment.clear()
        for place in tuple(self._stores_by_place):
            if place.vm not in self.vms_by_name:
                self._stores_by_place.pop(place).close()

    def agents(self) -> tuple[vm_list.Vm, ...]:
        """Return the VMs that run an agent."""
        return self._with_role(vm_list.VmRole.AGENT)

    def live_agents(self, deployment: ids.DeploymentName) -> tuple[vm_list.Vm, ...]:
        """Return the live agents of a deployment."""
        return tuple(
            vm
            for vm in self.agents()
            if vm.deployment == deployment and vm.state is vm_list.VmState.LIVE
        )

    def directory_agents(
        self, deployment: ids.DeploymentName
    ) -> tuple[ids.VmName, ...]:
        """Return the agents that share the directory of a deployment.

        They are ranked once for each list, since every request asks for them.
        """
        known = self._directory_agents_by_deployment.get(deployment)
        if known is None:
            names = (vm.name for vm in self.live_agents(deployment))
            known = rendezvous.ranked(deployment, names, MAX_DIRECTORY_AGENTS)
            self._directory_agents_by_deployment[deployment] = known
        return known

    def vm_of(self, server: ids.BackendServerName) -> ids.VmName | None:
        """Return the VM of a backend server's agent, None when it is not listed."""
        return self._vm_by_server.get(server)

    def store(
        self, name: ids.VmName, tier: ids.TierName
    ) -> object_client.ObjectStore | None:
        """Return the client of a store VM, None if it is unknown or leaving."""
        vm = self.vms_by_name.get(name)
        if vm is None or vm.state is vm_list.VmState.LEAVING:
            return None
        place = _Place(name, tier, vm.address, vm.port)
        client = self._stores_by_place.get(place)
        if client is None:
            client = object_client.HttpObjectStore(
                f"http://{vm.address}:{vm.port}",
                f"{self._deployment}.{tier}",
                self._store_timeout_ms,
                self._clock,
            )
            self._stores_by_place[place] = client
        return client

    def _with_role(self, role: vm_list.VmRole) -> tuple[vm_list.Vm, ...]:
        return tuple(vm for vm in self.vms_by_name.values() if vm.role is role)
