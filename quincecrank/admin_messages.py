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
        Configuration version that a change was decided on; a change must name one
        here or in its text.
    """

    text: str
    version: int | None = pydantic.Field(default=None, ge=0)


class TableBody(configuration.FrozenModel):
    """A table: named columns and rows of cells."""

    columns: tuple[str, ...]
    rows: tuple[tuple[command_queries.Cell, ...], ...]


class CreatedKeyBody(configuration.FrozenModel):
    """An API key that a change created; it is shown this once."""

    account: ids.AccountName
    key_id: ids.KeyId
    key: str


class CommandAnswer(configuration.FrozenModel):
    """What came of a text.

    Attributes
    ----------
    version : ConfigurationVersion
        Version that a query saw, or that a change made.
    """

    version: ids.ConfigurationVersion
    table: TableBody
    created_keys: tuple[CreatedKeyBody, ...] = ()


class ChangeBody(configuration.FrozenModel):
    """A change that came in between, reported when a version is stale."""

    version: ids.ConfigurationVersion
    time: str
    operator: str
    command: str


class ProblemBody(pydantic.BaseModel):
    """What a client reads of a problem document."""

    type: str
    title: str
    status: int
    detail: str = ""
    ran: str = "unknown"
    retry_after_ms: int = 0
    findings: tuple[str, ...] = ()
    changes: tuple[ChangeBody, ...] = ()
