"""The VMs of the fleet as the platform's list shows them.

The list lags and may be out or frozen for long; the last one that was read stays in
force, and heartbeats tell what the list does not.
"""

from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids, logs, object_client, vm_list

POLL_INTERVAL_MS: Final = 1_000

_LOG: Final = logs.logger("membership")


class Membership:
    """Follows the list of VMs and keeps clients of the store VMs.

    Parameters
    ----------
    bucket : str
        Bucket that keeps this deployment's blocks on every store VM.
    """

    def __init__(
        self,
        source: vm_list.VmList,
        bucket: str,
        store_timeout_ms: int,
        clock: clocks.Clock,
    ) -> None:
        self._source = source
        self._bucket = bucket
        self._store_timeout_ms = store_timeout_ms
        self._clock = clock
        self._stores_by_name: dict[ids.VmName, object_client.HttpObjectStore] = {}
        self.vms_by_name: dict[ids.VmName, vm_list.Vm] = {}

    async def refresh(self) -> None:
        """Read the list once; a failure leaves the last one in force."""
        try:
            vms = await self._source.fetch()
        except vm_list.VmListError as error:
            _LOG.warning("VM list is unavailable", reason=str(error))
            return
        self.vms_by_name = {vm.name: vm for vm in vms}
        for name in set(self._stores_by_name) - set(self.vms_by_name):
            self._stores_by_name.pop(name).close()

    def agents(self) -> tuple[vm_list.Vm, ...]:
        """Return the VMs that run an agent."""
        return self._with_role(vm_list.VmRole.AGENT)

    def directory_agents(self, deployment: ids.DeploymentName) -> tuple[vm_list.Vm, ...]:
        """Return the live agents of a deployment, which share its directory."""
        return tuple(
            vm
            for vm in self.agents()
            if vm.deployment == deployment and vm.state is vm_list.VmState.LIVE
        )

    def store(self, name: ids.VmName) -> object_client.ObjectStore | None:
        """Return the client of a store VM, None if it is unknown or leaving."""
        vm = self.vms_by_name.get(name)
        if vm is None or vm.state is vm_list.VmState.LEAVING:
            return None
        client = self._stores_by_name.get(name)
        url = f"http://{vm.address}:{vm.port}"
        if client is None:
            client = object_client.HttpObjectStore(
                url, self._bucket, self._store_timeout_ms, self._clock
            )
            self._stores_by_name[name] = client
        return client

    def _with_role(self, role: vm_list.VmRole) -> tuple[vm_list.Vm, ...]:
        return tuple(vm for vm in self.vms_by_name.values() if vm.role is role)
