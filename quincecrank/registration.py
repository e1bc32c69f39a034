"""Registration of agents: one row for each backend server, with a fencing number.

Each start of an agent process takes the next fencing number by compare-and-set.  If
two processes act as the agent of one backend server, the one with the higher number
is valid.  There are no periodic writes, since those of a full fleet would exceed the
capacity of the table.  Each agent reads its row periodically to learn whether a newer
one has registered, for instance while it was paused.
"""

import enum
from typing import Final

import pydantic

from quincecrank import configuration, ids, platform_table

_AGENTS: Final = platform_table.TableName.AGENTS
_MAX_ATTEMPTS: Final = 5
_FIRST_NUMBER: Final = ids.FencingNumber(1)


class Registration(configuration.FrozenModel):
    """The row of a backend server's agent.

    Attributes
    ----------
    fencing_number : FencingNumber
        Increases by one at each start of an agent process.
    incarnation : Incarnation
        Incarnation of the agent process.
    address, port
        Where the agent listens for entries and other agents.
    """

    backend_server: ids.BackendServerName
    fencing_number: ids.FencingNumber
    incarnation: ids.Incarnation
    address: str
    port: int


class RegistrationState(enum.Enum):
    """Whether a registration is the current one."""

    CURRENT = "current"
    SUPERSEDED = "superseded"
    REVERTED = "lost"
    """The row is missing or older: the table was restored from an earlier snapshot."""

    UNKNOWN = "unknown"
    """The table could not be read."""


class AgentIdentity(configuration.FrozenModel):
    """What an agent process registers."""

    backend_server: ids.BackendServerName
    incarnation: ids.Incarnation
    address: str
    port: int


async def register(
    table: platform_table.PlatformTable, agent: AgentIdentity
) -> Registration:
    """Take the next fencing number of the agent's backend server.

    A repeat with the same incarnation, for instance after an error, returns the
    number that the incarnation already has if the first call took effect.

    Raises
    ------
    TableUnavailableError, OutcomeUnknownError
        If the table does not answer, the row is malformed, or other agents registered
        in each of `_MAX_ATTEMPTS` attempts; a number may have been taken.
    """
    row = await table.read(_AGENTS, _row_key(agent.backend_server))
    for _ in range(_MAX_ATTEMPTS):
        if row is not None:
            registered = _parse(row)
            if registered.incarnation == agent.incarnation:
                return registered
        row = await _take_number(table, agent, row)
    raise platform_table.OutcomeUnknownError("too many concurrent registrations")


async def read_registration(
    table: platform_table.PlatformTable, backend_server: ids.BackendServerName
) -> Registration | None:
    """Return the current registration of a backend server's agent, None without one.

    Raises
    ------
    TableUnavailableError
        If the table does not answer, or the row is malformed.
    """
    row = await table.read(_AGENTS, _row_key(backend_server))
    return None if row is None else _parse(row)


async def check_registration(
    table: platform_table.PlatformTable, registration: Registration
) -> RegistrationState:
    """Return whether `registration` is the current one."""
    try:
        found = await read_registration(table, registration.backend_server)
    except platform_table.TableUnavailableError:
        return RegistrationState.UNKNOWN
    if found == registration:
        return RegistrationState.CURRENT
    if found is None or found.fencing_number < registration.fencing_number:
        return RegistrationState.REVERTED
    return RegistrationState.SUPERSEDED


async def rewrite_registration(
    table: platform_table.PlatformTable, registration: Registration
) -> None:
    """Rewrite a registration that a restore of the table has removed or reverted.

    Does nothing if a newer agent has registered.

    Raises
    ------
    TableUnavailableError, OutcomeUnknownError
        If the table does not answer; the row may have been written.
    """
    key = _row_key(registration.backend_server)
    body = registration.model_dump_json()
    row = await table.read(_AGENTS, key)
    if row is None:
        await platform_table.insert_confirmed(table, _AGENTS, key, body)
    elif _parse(row).fencing_number < registration.fencing_number:
        await platform_table.replace_confirmed(table, _AGENTS, key, body, row.revision)


async def _take_number(
    table: platform_table.PlatformTable,
    agent: AgentIdentity,
    row: platform_table.Row | None,
) -> platform_table.Row:
    """Write the agent's row with the number after that of `row`.

    Returns
    -------
    Row
        The row that is stored now; another agent's if that one was faster.
    """
    key = _row_key(agent.backend_server)
    if row is None:
        body = _with_number(agent, _FIRST_NUMBER).model_dump_json()
        return await platform_table.insert_confirmed(table, _AGENTS, key, body)
    number = ids.FencingNumber(_parse(row).fencing_number + 1)
    body = _with_number(agent, number).model_dump_json()
    return await platform_table.replace_confirmed(
        table, _AGENTS, key, body, row.revision
    )


def _with_number(agent: AgentIdentity, number: ids.FencingNumber) -> Registration:
    return Registration(fencing_number=number, **agent.model_dump())


def _row_key(backend_server: ids.BackendServerName) -> platform_table.RowKey:
    return platform_table.RowKey(backend_server)


def _parse(row: platform_table.Row) -> Registration:
    try:
        return Registration.model_validate_json(row.body)
    except pydantic.ValidationError as error:
        raise platform_table.TableUnavailableError("malformed row") from error
