"""Client of the platform's list of live and leaving VMs.

The list lags and may stop changing: a VM that is missing from it may be running, and
a VM that it shows may have been removed.
"""

import enum
from typing import Protocol

import pydantic

from quincecrank import clock as clocks
from quincecrank import http_caller, ids


class VmState(enum.Enum):
    """Whether a VM accepts new work or is being removed."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    AGENT = "agent"
    STORE = "store"


class Vm(pydantic.BaseModel):
    """One VM of the list.

    Attributes
    ----------
    address : str
        IP address.
    port : int
        Port of the agent, the entry or the store.
    backend_server, deployment : str
        Backend server and deployment of an agent's VM; empty for other roles.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    name: ids.VmName
    address: str
    port: int = pydantic.Field(ge=1, le=65535)
    data_centre: ids.DataCentre
    state: VmState
    role: VmRole
    backend_server: ids.BackendServerName = ids.BackendServerName("")
    deployment: ids.DeploymentName = ids.DeploymentName("")


class VmListError(Exception):
    """The platform gave no valid list."""


class VmList(Protocol):
    """Source of the list of VMs."""

    async def fetch(self) -> tuple[Vm, ...]:
        """Return the platform's current list.

        Raises
        ------
        VmListError
            If the platform gives no valid list.
        """


class _Answer(pydantic.BaseModel):
    """Body of the platform's answer."""

    vms: tuple[Vm, ...]


class HttpVmList:
    """`VmList` over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the platform's list.
    timeout_ms : int
        Time limit of each call.
    clock : Clock
        Source of time.
    """

    def __init__(self, base_url: str, timeout_ms: int, clock: clocks.Clock) -> None:
        self._caller = http_caller.HttpCaller(base_url, timeout_ms, clock)

    def close(self) -> None:
        """Close the connections to the platform."""
        self._caller.close()

    async def fetch(self) -> tuple[Vm, ...]:
        """Return the platform's current list."""
        try:
            response = await self._caller.call("GET", "/vms")
        except (http_caller.NotSentError, http_caller.AnswerLostError) as error:
            raise VmListError(str(error)) from error
        if response.code != 200:
            raise VmListError(f"status {response.code}")
        try:
            return _Answer.model_validate_json(response.body).vms
        except pydantic.ValidationError as error:
            raise VmListError(str(error)) from error
