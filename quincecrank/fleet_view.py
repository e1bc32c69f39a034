"""Tables of the query language that show the fleet's state, not its configuration.

The entry implements `FleetView` from its agents' heartbeats, the VM list and the
platform table.  Each row class is one table of the query language; its field names,
with hyphens instead of underscores, are the columns.
"""

import dataclasses
import enum
from typing import Protocol

from quincecrank import ids


class ViewUnavailableError(Exception):
    """The rows are unavailable, for example during an outage of the platform table."""


class AgentState(enum.Enum):
    """State of an agent from the point of view of this entry."""

    SERVING = "serving"
    LOADING = "loading"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class VmRow:
    """One VM of the VM list.

    Attributes
    ----------
    role : str
        entry, agent or store.
    state : str
        live or leaving; ``not-listed`` for a drained VM that the list lacks.
    drained : bool
        Whether an operator drains the VM; filled in from the configuration.
    """

    name: ids.VmName
    data_centre: ids.DataCentre
    role: str
    state: str
    address: str = ""
    port: int = 0
    drained: bool = False


@dataclasses.dataclass(frozen=True)
class AgentRow:
    """One agent, as reported in its last heartbeat.

    Attributes
    ----------
    heartbeat_age_ms : int
        Time since the last heartbeat in milliseconds.
    """

    backend_server: ids.BackendServerName
    deployment: ids.DeploymentName
    vm: ids.VmName
    data_centre: ids.DataCentre
    state: AgentState
    weight_version: ids.WeightVersion
    running: int
    waiting: int
    fencing_number: ids.FencingNumber
    configuration_version: ids.ConfigurationVersion
    incarnation: ids.Incarnation
    heartbeat_age_ms: int = 0


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """One agent's registration in the platform table.

    It is valid until another process registers for the same backend server; it has no
    expiry time by which it must be renewed, see ``docs/DESIGN.md``.
    """

    backend_server: ids.BackendServerName
    vm: ids.VmName
    holder: ids.Incarnation
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True)
class RequestRow:
    """One open request at this entry.

    Attributes
    ----------
    state : str
        queued, connecting, running or streaming.
    """

    id: ids.RequestId
    account: ids.AccountName
    deployment: ids.DeploymentName
    state: str
    age_ms: int
    backend_server: ids.BackendServerName
    attempt: ids.AttemptId
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class HistoryRow:
    """One committed change of the configuration.

    Attributes
    ----------
    wall_ms : int
        Time of the proposal, in milliseconds since the epoch.
    """

    version: ids.ConfigurationVersion
    wall_ms: int
    operator: str
    command: str


class FleetView(Protocol):
    """Fleet state as one entry has it; all methods may raise `ViewUnavailableError`."""

    async def vms(self) -> tuple[VmRow, ...]:
        """Return the VMs of the VM list."""

    async def agents(self) -> tuple[AgentRow, ...]:
        """Return the agents to which this entry has links."""

    async def leases(self) -> tuple[LeaseRow, ...]:
        """Return the agents' registrations."""

    async def requests(self) -> tuple[RequestRow, ...]:
        """Return the open requests at this entry."""

    async def history(
        self, after: ids.ConfigurationVersion, limit: int
    ) -> tuple[HistoryRow, ...]:
        """Return the first `limit` changes after version `after`, oldest first."""
