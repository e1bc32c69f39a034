"""Syntax tree of the command language: typed queries and commands.

The docstring of a query or command class gives the syntax of its statement.
Names and values are stored as `Word`, with their line and column, so that later
checks can report where a mistake is.
"""

import dataclasses
import enum

from quincecrank import findings, ids


@dataclasses.dataclass(frozen=True)
class Word:
    """A name or value as written in the text, without quotes."""

    text: str
    place: findings.Place


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A field and its new value; `values` has several words for a list."""

    field: Word
    values: tuple[Word, ...]


class TableName(enum.Enum):
    """Tables that ``show`` can list."""

    ACCOUNTS = "accounts"
    DEPLOYMENTS = "deployments"
    VERSIONS = "versions"
    ADAPTERS = "adapters"
    TIERS = "tiers"
    VMS = "vms"
    AGENTS = "agents"
    LEASES = "leases"
    REQUESTS = "requests"
    HISTORY = "history"


class Comparison(enum.Enum):
    """Comparison operators of a ``where`` condition."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="


@dataclasses.dataclass(frozen=True)
class Condition:
    """One condition of a ``where`` clause."""

    field: Word
    comparison: Comparison
    value: Word


@dataclasses.dataclass(frozen=True)
class Order:
    """An ``order by`` clause."""

    field: Word
    descending: bool


@dataclasses.dataclass(frozen=True)
class ShowTable:
    """``show TABLE [where ...] [order by ...] [limit N]``."""

    table: TableName
    conditions: tuple[Condition, ...] = ()
    order: Order | None = None
    limit: Word | None = None


@dataclasses.dataclass(frozen=True)
class ShowAccount:
    """``show account NAME``."""

    name: Word


@dataclasses.dataclass(frozen=True)
class ShowDeployment:
    """``show deployment NAME``."""

    name: Word


Query = ShowTable | ShowAccount | ShowDeployment


@dataclasses.dataclass(frozen=True)
class CreateAccount:
    """``create account NAME [share X] [max-concurrent N]``."""

    name: Word
    options: tuple[Assignment, ...] = ()


@dataclasses.dataclass(frozen=True)
class ChangeAccount:
    """``change account NAME set FIELD = VALUE, ...``."""

    name: Word
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class EnableAccount:
    """``enable account NAME`` or ``disable account NAME``."""

    name: Word
    enabled: bool


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """``create key for ACCOUNT``."""

    account: Word


@dataclasses.dataclass(frozen=True)
class RevokeKey:
    """``revoke key KEYID of ACCOUNT``."""

    key_id: Word
    account: Word


@dataclasses.dataclass(frozen=True)
class CreateDeployment:
    """``create deployment NAME kind KIND [version V] [set ...]``."""

    name: Word
    kind: Word
    version: Word | None = None
    assignments: tuple[Assignment, ...] = ()


@dataclasses.dataclass(frozen=True)
class ChangeDeployment:
    """``change deployment NAME set FIELD = VALUE, ...``."""

    name: Word
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class AllowAccount:
    """``allow account NAME on DEPLOYMENT`` or ``deny account NAME on DEPLOYMENT``."""

    account: Word
    deployment: Word
    allowed: bool


@dataclasses.dataclass(frozen=True)
class RollVersion:
    """``roll DEPLOYMENT to VERSION``."""

    deployment: Word
    version: Word


@dataclasses.dataclass(frozen=True)
class CreateAdapter:
    """``create adapter NAME on DEPLOYMENT``."""

    name: Word
    deployment: Word


@dataclasses.dataclass(frozen=True)
class RemoveAdapter:
    """``remove adapter NAME from DEPLOYMENT``."""

    name: Word
    deployment: Word


@dataclasses.dataclass(frozen=True)
class CreateTier:
    """``create tier NAME kind K link N capacity N [stores A, B]``."""

    name: Word
    options: tuple[Assignment, ...] = ()


@dataclasses.dataclass(frozen=True)
class ChangeTier:
    """``change tier NAME set FIELD = VALUE, ...``."""

    name: Word
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class RemoveTier:
    """``remove tier NAME``."""

    name: Word


@dataclasses.dataclass(frozen=True)
class AttachTier:
    """``attach tier T to DEPLOYMENT`` or ``detach tier T from DEPLOYMENT``."""

    tier: Word
    deployment: Word
    attached: bool


@dataclasses.dataclass(frozen=True)
class DeclareRoute:
    """``route METHOD PATH of DEPLOYMENT idempotent yes|no``."""

    method: Word
    path: Word
    deployment: Word
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class RemoveRoute:
    """``remove route METHOD PATH of DEPLOYMENT``."""

    method: Word
    path: Word
    deployment: Word


@dataclasses.dataclass(frozen=True)
class DrainVm:
    """``drain VM`` or ``undrain VM``."""

    vm: Word
    drained: bool


Command = (
    CreateAccount
    | ChangeAccount
    | EnableAccount
    | CreateKey
    | RevokeKey
    | CreateDeployment
    | ChangeDeployment
    | AllowAccount
    | RollVersion
    | CreateAdapter
    | RemoveAdapter
    | CreateTier
    | ChangeTier
    | RemoveTier
    | AttachTier
    | DeclareRoute
    | RemoveRoute
    | DrainVm
)


@dataclasses.dataclass(frozen=True)
class QueryText:
    """A text that holds one query."""

    query: Query


@dataclasses.dataclass(frozen=True)
class CommandText:
    """A text that holds one change of one or more commands.

    Attributes
    ----------
    decided_on : ConfigurationVersion, optional
        Version given by the prefix ``at version N:``; None without the prefix.
    """

    commands: tuple[Command, ...]
    decided_on: ids.ConfigurationVersion | None = None


ParsedText = QueryText | CommandText

QUERY_TYPES = (ShowTable, ShowAccount, ShowDeployment)
