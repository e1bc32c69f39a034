"""Rows of the tables that queries list.

They are built from the configuration and the fleet view.  The field names of a row
class, with hyphens, are the columns of its table.
"""

import collections
import dataclasses
import datetime
from typing import Final

from quincecrank import command_model, configuration, fleet_view, ids

MAX_HISTORY_ROWS: Final = 1_000
"""Number of the latest changes that ``show history`` reads."""

MAX_SHOWN_COMMAND_CHARACTERS: Final = 300
"""Length after which a row cuts off the text of a change."""

_MS_PER_SECOND: Final = 1_000


@dataclasses.dataclass(frozen=True)
class AccountRow:
    """One client account."""

    name: ids.AccountName
    enabled: bool
    share: float
    max_concurrent: int
    keys: tuple[ids.KeyId, ...]
    deployments: tuple[ids.DeploymentName, ...]


@dataclasses.dataclass(frozen=True)
class DeploymentRow:
    """One deployment."""

    name: ids.DeploymentName
    kind: configuration.DeploymentKind
    weight_version: ids.WeightVersion
    max_concurrent: int
    deadline_ms: int
    lateness: configuration.Lateness
    checks_fencing: bool
    tiers: tuple[ids.TierName, ...]
    accounts: int
    routes: int


@dataclasses.dataclass(frozen=True)
class VersionRow:
    """One weight version of a deployment, configured or loaded by an agent.

    Attributes
    ----------
    wanted : bool
        Whether it is the configured version of the deployment.
    agents : int
        Number of agents that have loaded it.
    """

    deployment: ids.DeploymentName
    weight_version: ids.WeightVersion
    wanted: bool
    agents: int


@dataclasses.dataclass(frozen=True)
class AdapterRow:
    """One adapter of a deployment."""

    deployment: ids.DeploymentName
    adapter: ids.AdapterName


@dataclasses.dataclass(frozen=True)
class TierRow:
    """One storage tier."""

    name: ids.TierName
    kind: configuration.TierKind
    link_bytes_per_second: int
    capacity_bytes: int
    stores: tuple[ids.VmName, ...]
    deployments: tuple[ids.DeploymentName, ...]


@dataclasses.dataclass(frozen=True)
class ChangeRow:
    """One change of the configuration; `time` is in UTC, a long `command` is cut."""

    version: ids.ConfigurationVersion
    time: str
    operator: str
    command: str


Row = (
    AccountRow
    | DeploymentRow
    | VersionRow
    | AdapterRow
    | TierRow
    | ChangeRow
    | fleet_view.VmRow
    | fleet_view.AgentRow
    | fleet_view.LeaseRow
    | fleet_view.RequestRow
)

ROW_TYPE_BY_TABLE: Final[dict[command_model.TableName, type[Row]]] = {
    command_model.TableName.ACCOUNTS: AccountRow,
    command_model.TableName.DEPLOYMENTS: DeploymentRow,
    command_model.TableName.VERSIONS: VersionRow,
    command_model.TableName.ADAPTERS: AdapterRow,
    command_model.TableName.TIERS: TierRow,
    command_model.TableName.VMS: fleet_view.VmRow,
    command_model.TableName.AGENTS: fleet_view.AgentRow,
    command_model.TableName.LEASES: fleet_view.LeaseRow,
    command_model.TableName.REQUESTS: fleet_view.RequestRow,
    command_model.TableName.HISTORY: ChangeRow,
}


def columns(row_type: type) -> tuple[str, ...]:
    """Return the column names of a row class."""
    return tuple(f.name.replace("_", "-") for f in dataclasses.fields(row_type))


async def rows(
    table: command_model.TableName,
    current: configuration.Configuration,
    fleet: fleet_view.FleetView,
) -> tuple[Row, ...]:
    """Return all rows of a table.

    Rows of the configuration are ordered by name, changes latest first; agents, leases
    and requests keep the order of the fleet view.

    Raises
    ------
    ViewUnavailableError
        If the rows come from a service that is unavailable.
    """
    tables = command_model.TableName
    match table:
        case tables.VERSIONS:
            return _versions(current, await fleet.agents())
        case tables.VMS:
            return _vms(current, await fleet.vms())
        case tables.AGENTS:
            return await fleet.agents()
        case tables.LEASES:
            return await fleet.leases()
        case tables.REQUESTS:
            return await fleet.requests()
        case tables.HISTORY:
            return await _history(current, fleet)
        case _:
            return _configuration_rows(table, current)


def _configuration_rows(
    table: command_model.TableName, current: configuration.Configuration
) -> tuple[Row, ...]:
    deployments = _by_name(current.deployments_by_name)
    match table:
        case command_model.TableName.ACCOUNTS:
            accounts = _by_name(current.accounts_by_name)
            return tuple(account_row(account, current) for account in accounts)
        case command_model.TableName.DEPLOYMENTS:
            return tuple(deployment_row(deployment) for deployment in deployments)
        case command_model.TableName.ADAPTERS:
            return tuple(AdapterRow(d.name, a) for d in deployments for a in d.adapters)
        case _:
            tiers = _by_name(current.tiers_by_name)
            return tuple(_tier_row(tier, current) for tier in tiers)


def account_row(
    account: configuration.Account, current: configuration.Configuration
) -> AccountRow:
    """Return the row of one account."""
    deployments = _by_name(current.deployments_by_name)
    return AccountRow(
        name=account.name,
        enabled=account.enabled,
        share=account.share,
        max_concurrent=account.max_concurrent,
        keys=tuple(key.key_id for key in account.keys),
        deployments=tuple(d.name for d in deployments if account.name in d.accounts),
    )


def deployment_row(deployment: configuration.Deployment) -> DeploymentRow:
    """Return the row of one deployment."""
    return DeploymentRow(
        name=deployment.name,
        kind=deployment.kind,
        weight_version=deployment.weight_version,
        max_concurrent=deployment.max_concurrent,
        deadline_ms=deployment.deadline_ms,
        lateness=deployment.lateness,
        checks_fencing=deployment.checks_fencing,
        tiers=deployment.tiers,
        accounts=len(deployment.accounts),
        routes=len(deployment.routes),
    )


def _tier_row(
    tier: configuration.Tier, current: configuration.Configuration
) -> TierRow:
    deployments = _by_name(current.deployments_by_name)
    return TierRow(
        name=tier.name,
        kind=tier.kind,
        link_bytes_per_second=tier.link_bytes_per_second,
        capacity_bytes=tier.capacity_bytes,
        stores=tier.stores,
        deployments=tuple(d.name for d in deployments if tier.name in d.tiers),
    )


def _versions(
    current: configuration.Configuration, agents: tuple[fleet_view.AgentRow, ...]
) -> tuple[Row, ...]:
    count_by_version: dict[tuple[ids.DeploymentName, ids.WeightVersion], int]
    count_by_version = collections.Counter()
    configured = {
        (deployment.name, deployment.weight_version)
        for deployment in current.deployments_by_name.values()
        if deployment.kind is configuration.DeploymentKind.MODEL
    }
    for agent in agents:
        if agent.weight_version:
            count_by_version[(agent.deployment, agent.weight_version)] += 1
    return tuple(
        VersionRow(*key, wanted=key in configured, agents=count_by_version[key])
        for key in sorted(configured | count_by_version.keys())
    )


def _vms(
    current: configuration.Configuration, listed: tuple[fleet_view.VmRow, ...]
) -> tuple[Row, ...]:
    drained = current.drains_by_vm
    rows = [dataclasses.replace(vm, drained=vm.name in drained) for vm in listed]
    unlisted = drained.keys() - {vm.name for vm in listed}
    for name in sorted(unlisted):
        unlisted_vm = fleet_view.VmRow(
            name, ids.DataCentre(""), "", "not-listed", drained=True
        )
        rows.append(unlisted_vm)
    return tuple(rows)


async def _history(
    current: configuration.Configuration, fleet: fleet_view.FleetView
) -> tuple[Row, ...]:
    first = max(0, current.version - MAX_HISTORY_ROWS)
    changes = await fleet.history(ids.ConfigurationVersion(first), MAX_HISTORY_ROWS)
    return tuple(change_row(change) for change in reversed(changes))


def change_row(change: fleet_view.HistoryRow) -> ChangeRow:
    """Return the row of one change, with its time in ISO 8601."""
    seconds = change.wall_ms / _MS_PER_SECOND
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return ChangeRow(
        change.version,
        moment.isoformat(timespec="seconds").replace("+00:00", "Z"),
        change.operator,
        _shortened(change.command),
    )


def _by_name(
    by_name: dict[configuration.Name, configuration.Entity],
) -> list[configuration.Entity]:
    return [by_name[name] for name in sorted(by_name)]


def _shortened(command: str) -> str:
    if len(command) <= MAX_SHOWN_COMMAND_CHARACTERS:
        return command
    return command[:MAX_SHOWN_COMMAND_CHARACTERS] + " ..."
