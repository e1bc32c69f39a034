"""Messages of the administration API, ``POST /admin/v1/commands``."""

from typing import Final

import pydantic

from quincecrank import command_queries, configuration, ids

COMMANDS_PATH: Final = "/admin/v1/commands"
MAX_BODY_BYTES: Final = 524_288


class CommandRequest(configuration.FrozenModel):
    """One query or one change.

    Attributes
    ----------
    version : int, optional
        Configuration version that a change was decided on; required for a change
        unless its text names the version.
    """

    text: str
    version: int | None = pydantic.Field(default=None, ge=0)


class TableBody(configuration.FrozenModel):
    """A table: named columns and rows of cells."""

    columns: tuple[str, ...]
    rows: tuple[tuple[command_queries.Cell, ...], ...]


class CreatedKeyBody(configuration.FrozenModel):
    """An API key that a change created; no later answer contains the key."""

    account: ids.AccountName
    key_id: ids.KeyId
    key: str


class CommandAnswer(configuration.FrozenModel):
    """Answer to a query or to a committed change.

    Attributes
    ----------
    version : ConfigurationVersion
        Version that a query read, or that a change created.
    """

    version: ids.ConfigurationVersion
    table: TableBody
    created_keys: tuple[CreatedKeyBody, ...] = ()


class ChangeBody(configuration.FrozenModel):
    """A change committed after the version on which a rejected change was decided."""

    version: ids.ConfigurationVersion
    time: str
    operator: str
    command: str


class ProblemBody(pydantic.BaseModel):
    """The members of a problem document that the client uses; others are ignored."""

    type: str
    title: str
    status: int
    detail: str = ""
    ran: str = "unknown"
    retry_after_ms: int = 0
    findings: tuple[str, ...] = ()
    changes: tuple[ChangeBody, ...] = ()
