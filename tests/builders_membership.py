"""Builders of VM lists and of a `Membership` that has read one."""

from quincecrank import clock as clocks
from quincecrank import ids, membership, vm_list


class FixedVmList:
    """Implementation of `vm_list.VmList` that always returns the same list."""

    def __init__(self, vms: tuple[vm_list.Vm, ...]) -> None:
        self.vms = vms

    async def fetch(self) -> tuple[vm_list.Vm, ...]:
        """Return the list."""
        return self.vms


def agent_vm(
    name: str, deployment: str, state: vm_list.VmState = vm_list.VmState.LIVE
) -> vm_list.Vm:
    """Return the VM of an agent."""
    return vm_list.Vm(
        name=ids.VmName(f"vm-{name}"),
        address="127.0.0.1",
        port=1,
        data_centre=ids.DataCentre("patan"),
        state=state,
        role=vm_list.VmRole.AGENT,
        backend_server=ids.BackendServerName(name),
        deployment=ids.DeploymentName(deployment),
    )


def agent_vms(count: int, deployment: str) -> tuple[vm_list.Vm, ...]:
    """Return the VMs of `count` agents of one deployment."""
    return tuple(agent_vm(f"{deployment}-{n}", deployment) for n in range(count))


async def members_with(
    vms: tuple[vm_list.Vm, ...], clock: clocks.Clock
) -> membership.Membership:
    """Return a `Membership` that has read the list `vms`."""
    members = membership.Membership(
        FixedVmList(vms), ids.DeploymentName("lekhak"), 1_000, clock
    )
    await members.refresh()
    return members
