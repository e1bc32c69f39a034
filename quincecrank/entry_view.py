"""The state of the fleet as one entry has it, for the operators' queries.

Agents and open requests are those of this entry alone; VMs, registrations and the
configuration history come from the shared VM list and platform table.
"""

import dataclasses
from collections.abc import Callable, Iterable

from quincecrank import (
    agent_links,
    configuration,
    configuration_store,
    fleet_view,
    ids,
    membership,
    platform_table,
    registration,
)
from quincecrank import clock as clocks


@dataclasses.dataclass
class OpenRequest:
    """A request that this entry has accepted and not yet answered.

    Attributes
    ----------
    state : str
        Progress, as `quincectl` shows it; "running" once an attempt has been sent.
    backend_server, attempt_id : str
        Those of the latest attempt, empty before the first.
    may_have_run : bool
        Whether the request may have run: True once an attempt is sent, reset if that
        attempt is refused as not run; `dispatch_rules` sets it.
    """

    request_id: ids.RequestId
    account: ids.AccountName
    deployment: ids.DeploymentName
    started_ms: int
    state: str = "queued"
    backend_server: ids.BackendServerName = ids.BackendServerName("")
    attempt_id: ids.AttemptId = ids.AttemptId("")
    may_have_run: bool = False

    def record_attempt(
        self, server: ids.BackendServerName, attempt_id: ids.AttemptId
    ) -> None:
        """Record that an attempt has been sent."""
        self.state = "running"
        self.backend_server = server
        self.attempt_id = attempt_id


class EntryView:
    """Implementation of `fleet_view.FleetView`."""

    def __init__(
        self,
        members: membership.Membership,
        links: agent_links.AgentLinks,
        table: platform_table.PlatformTable,
        store: configuration_store.ConfigurationStore,
        open_requests: Callable[[], Iterable[OpenRequest]],
        clock: clocks.Clock,
    ) -> None:
        self._members = members
        self._links = links
        self._table = table
        self._store = store
        self._open_requests = open_requests
        self._clock = clock

    async def vms(self) -> tuple[fleet_view.VmRow, ...]:
        """Return the VMs of the VM list as last read."""
        return tuple(
            fleet_view.VmRow(
                name=vm.name,
                data_centre=vm.data_centre,
                role=vm.role.value,
                state=vm.state.value,
                address=vm.address,
                port=vm.port,
            )
            for vm in self._members.vms_by_name.values()
        )

    async def agents(self) -> tuple[fleet_view.AgentRow, ...]:
        """Return the agents that this entry has links to."""
        now_ms = self._clock.now_ms()
        return tuple(
            fleet_view.AgentRow(
                backend_server=state.peer.backend_server,
                deployment=state.peer.deployment,
                vm=state.peer.name,
                data_centre=state.peer.data_centre,
                state=_agent_state(state),
                weight_version=state.weight_version,
                running=state.running,
                waiting=state.waiting,
                fencing_number=state.peer.fencing_number,
                configuration_version=ids.ConfigurationVersion(
                    state.configuration_version
                ),
                incarnation=state.peer.incarnation,
                heartbeat_age_ms=now_ms - state.heartbeat_ms,
            )
            for state in self._links.states_by_vm.values()
        )

    async def leases(self) -> tuple[fleet_view.LeaseRow, ...]:
        """Return the registrations of the agents in the VM list.

        A lease is an agent's registration; its holder is the agent's incarnation.

        Raises
        ------
        ViewUnavailableError
            If the platform table cannot be read.
        """
        rows = []
        for vm in self._members.agents():
            try:
                found = await registration.read_registration(
                    self._table, vm.backend_server
                )
            except platform_table.TableUnavailableError as error:
                raise fleet_view.ViewUnavailableError(str(error)) from error
            if found is not None:
                rows.append(
                    fleet_view.LeaseRow(
                        backend_server=found.backend_server,
                        vm=vm.name,
                        holder=found.incarnation,
                        fencing_number=found.fencing_number,
                    )
                )
        return tuple(rows)

    async def requests(self) -> tuple[fleet_view.RequestRow, ...]:
        """Return the requests that are open at this entry."""
        now_ms = self._clock.now_ms()
        return tuple(
            fleet_view.RequestRow(
                id=request.request_id,
                account=request.account,
                deployment=request.deployment,
                state=request.state,
                age_ms=now_ms - request.started_ms,
                backend_server=request.backend_server,
                attempt=request.attempt_id,
            )
            for request in self._open_requests()
        )

    async def history(
        self, after: ids.ConfigurationVersion, limit: int
    ) -> tuple[fleet_view.HistoryRow, ...]:
        """Return the first `limit` changes after version `after`, oldest first.

        Raises
        ------
        ViewUnavailableError
            If the platform table cannot be read.
        """
        # `catch_up` reads only the version.
        start = configuration.Configuration(version=after)
        try:
            rows = await self._store.catch_up(start)
        except platform_table.TableUnavailableError as error:
            raise fleet_view.ViewUnavailableError(str(error)) from error
        return tuple(
            fleet_view.HistoryRow(row.version, row.wall_ms, row.operator, row.command)
            for row in rows[:limit]
        )


def _agent_state(state: agent_links.AgentState) -> fleet_view.AgentState:
    if not state.healthy:
        return fleet_view.AgentState.UNHEALTHY
    if not state.accepting:
        return fleet_view.AgentState.DRAINING
    return fleet_view.AgentState.SERVING
