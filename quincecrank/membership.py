"""The VMs of the fleet according to the platform's VM list.

The list lags behind and may be unavailable or frozen for a long time.  The last list
that was read stays in use; heartbeats show state changes that the list does not.
"""

import dataclasses
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, logs, object_client, rendezvous, vm_list

POLL_INTERVAL_MS: Final = 1_000
MAX_DIRECTORY_AGENTS: Final = 16
"""Maximum number of agents over which the directory of a deployment is spread."""

_LOG: Final = logs.logger("membership")


@dataclasses.dataclass(frozen=True)
class _ClientKey:
    """A tier of a store VM at the listed address."""

    vm: ids.VmName
    tier: ids.TierName
    address: str
    port: int


class Membership:
    """Tracks the VM list and caches clients of the store VMs.

    Parameters
    ----------
    deployment : DeploymentName
        Deployment whose blocks the store clients access; each of its tiers has a
        bucket of its own on every store VM.

    Attributes
    ----------
    vms_by_name : dict
        VMs of the last list.
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
        self._clients_by_key: dict[_ClientKey, object_client.HttpObjectStore] = {}
        self._vm_by_server: dict[ids.BackendServerName, ids.VmName] = {}
        self._directory_agents_by_deployment: dict[
            ids.DeploymentName, tuple[ids.VmName, ...]
        ] = {}
        self.vms_by_name: dict[ids.VmName, vm_list.Vm] = {}

    async def refresh(self) -> None:
        """Read the list once.

        The previous list is retained if the read fails, or if the new list contains no
        agent although the previous one does.
        """
        try:
            vms = await self._source.fetch()
        except vm_list.VmListError as error:
            _LOG.warning("VM list is unavailable", reason=str(error))
            return
        if self.agents() and not any(vm.role is vm_list.VmRole.AGENT for vm in vms):
            _LOG.warning("VM list contains no agent, previous list retained")
            return
        self.vms_by_name = {vm.name: vm for vm in vms}
        self._vm_by_server = {vm.backend_server: vm.name for vm in self.agents()}
        self._directory_agents_by_deployment.clear()
        for client_key in tuple(self._clients_by_key):
            if client_key.vm not in self.vms_by_name:
                self._clients_by_key.pop(client_key).close()

    def agents(self) -> tuple[vm_list.Vm, ...]:
        """Return the VMs that run an agent."""
        return self._with_role(vm_list.VmRole.AGENT)

    def live_agents(self, deployment: ids.DeploymentName) -> tuple[vm_list.Vm, ...]:
        """Return the VMs of the live agents of a deployment."""
        return tuple(
            vm
            for vm in self.agents()
            if vm.deployment == deployment and vm.state is vm_list.VmState.LIVE
        )

    def directory_agents(
        self, deployment: ids.DeploymentName
    ) -> tuple[ids.VmName, ...]:
        """Return the agents that serve the directory of a deployment.

        They are ranked once per list, since every request needs them.
        """
        ranked_names = self._directory_agents_by_deployment.get(deployment)
        if ranked_names is None:
            names = (vm.name for vm in self.live_agents(deployment))
            ranked_names = rendezvous.ranked(deployment, names, MAX_DIRECTORY_AGENTS)
            self._directory_agents_by_deployment[deployment] = ranked_names
        return ranked_names

    def vm_of(self, server: ids.BackendServerName) -> ids.VmName | None:
        """Return the VM of a backend server's agent, None if it is not listed."""
        return self._vm_by_server.get(server)

    def store(
        self, name: ids.VmName, tier: ids.TierName
    ) -> object_client.ObjectStore | None:
        """Return the client of a tier, None if its store VM is unknown or leaving."""
        vm = self.vms_by_name.get(name)
        if vm is None or vm.state is vm_list.VmState.LEAVING:
            return None
        client_key = _ClientKey(name, tier, vm.address, vm.port)
        client = self._clients_by_key.get(client_key)
        if client is None:
            client = object_client.HttpObjectStore(
                f"http://{vm.address}:{vm.port}",
                f"{self._deployment}.{tier}",
                self._store_timeout_ms,
                self._clock,
            )
            self._clients_by_key[client_key] = client
        return client

    def _with_role(self, role: vm_list.VmRole) -> tuple[vm_list.Vm, ...]:
        return tuple(vm for vm in self.vms_by_name.values() if vm.role is role)
