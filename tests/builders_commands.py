"""Builders of configurations, keys and fleet views for tests of commands."""

import dataclasses
import itertools

from quincecrank import (
    access,
    clock,
    command_model,
    command_parser,
    command_rules,
    commands,
    configuration,
    configuration_store,
    current_configuration,
    fleet_view,
    ids,
    platform_table,
)

EXAMPLE_CHANGE = """
create account radio-patan share 3 max-concurrent 8
create account radio-kirtipur
create deployment lekhak kind model version v1 set deadline = 5s
create deployment prasaran kind service
create tier smriti kind memory link 200 MB/s capacity 4GiB stores smriti-ka, smriti-kha
allow account radio-patan on lekhak
create adapter ne-short on lekhak
route POST /releases of prasaran idempotent no
"""


def key_source() -> access.KeySource:
    """Return a source of API keys that generates the same sequence in every run."""
    numbers = itertools.count(1)

    def make() -> access.NewKey:
        number = next(numbers)
        key = f"{access.KEY_PREFIX}{number:043d}"
        key_id = ids.KeyId(f"key-{number:010d}")
        stored = configuration.ApiKey(key_id=key_id, digest=access.digest(key))
        return access.NewKey(key, stored)

    return make


def plan(
    text: str, base: configuration.Configuration, vms: tuple[str, ...] = ()
) -> command_rules.ChangePlan | list[str]:
    """Parse and plan a change; return the plan, or the findings as strings."""
    parsed = command_parser.parse(text)
    if parsed.is_error():
        return [str(finding) for finding in parsed.error.all()]
    assert isinstance(parsed.ok, command_model.CommandText)
    vm_names = frozenset(ids.VmName(vm) for vm in vms)
    planned = command_rules.plan(base, parsed.ok.commands, vm_names, key_source())
    if planned.is_error():
        return [str(finding) for finding in planned.error.all()]
    return planned.ok


def configuration_after(
    text: str, base: configuration.Configuration | None = None
) -> configuration.Configuration:
    """Return the configuration after a change; fails if the change has mistakes."""
    base = base or configuration.Configuration()
    planned = plan(text, base)
    assert isinstance(planned, command_rules.ChangePlan), planned
    return base.apply(row_of(planned, base, text))


def row_of(
    planned: command_rules.ChangePlan, base: configuration.Configuration, text: str
) -> configuration.ConfigurationRow:
    """Return the row by which `planned` is committed after `base`."""
    version = ids.ConfigurationVersion(base.version + 1)
    return configuration.ConfigurationRow(
        version=version,
        proposal_id=ids.ProposalId(f"proposal-{version}"),
        operator="asha",
        command=text,
        wall_ms=1_700_000_000_000 + version * 1_000,
        writes=planned.writes,
    )


def agent_row(number: int, version: str = "v1") -> fleet_view.AgentRow:
    """Return the row of an agent of deployment lekhak."""
    return fleet_view.AgentRow(
        backend_server=ids.BackendServerName(f"lekhak-{number}"),
        deployment=ids.DeploymentName("lekhak"),
        vm=ids.VmName(f"vm-{number}"),
        data_centre=ids.DataCentre("patan"),
        state=fleet_view.AgentState.SERVING,
        weight_version=ids.WeightVersion(version),
        running=number,
        waiting=0,
        fencing_number=ids.FencingNumber(number),
        configuration_version=ids.ConfigurationVersion(1),
        incarnation=ids.Incarnation(f"agent-{number}"),
    )


@dataclasses.dataclass
class FakeFleet:
    """A fleet view in memory; with `down`, VM list and history are unavailable."""

    vm_rows: tuple[fleet_view.VmRow, ...] = ()
    agent_rows: tuple[fleet_view.AgentRow, ...] = ()
    history_rows: tuple[fleet_view.HistoryRow, ...] = ()
    down: bool = False

    async def vms(self) -> tuple[fleet_view.VmRow, ...]:
        if self.down:
            raise fleet_view.ViewUnavailableError("the VM list does not answer")
        return self.vm_rows

    async def agents(self) -> tuple[fleet_view.AgentRow, ...]:
        return self.agent_rows

    async def leases(self) -> tuple[fleet_view.LeaseRow, ...]:
        return ()

    async def requests(self) -> tuple[fleet_view.RequestRow, ...]:
        return ()

    async def history(
        self, after: ids.ConfigurationVersion, limit: int
    ) -> tuple[fleet_view.HistoryRow, ...]:
        if self.down:
            raise fleet_view.ViewUnavailableError("the platform table is out")
        return tuple(row for row in self.history_rows if row.version > after)[:limit]


class StoreFleet(FakeFleet):
    """A fleet view in memory that reads the history from a configuration store."""

    def __init__(self, store: configuration_store.ConfigurationStore) -> None:
        super().__init__()
        self._store = store

    async def history(
        self, after: ids.ConfigurationVersion, limit: int
    ) -> tuple[fleet_view.HistoryRow, ...]:
        rows = await self._store.catch_up(configuration.Configuration(version=after))
        self.history_rows = tuple(
            fleet_view.HistoryRow(r.version, r.wall_ms, r.operator, r.command)
            for r in rows
        )
        return await super().history(after, limit)


def services(table: platform_table.PlatformTable) -> commands.CommandServices:
    """Return the services of a new entry that uses the platform's `table`."""
    wall = clock.ManualClock(1_700_000_000_000)
    store = configuration_store.ConfigurationStore(table)
    current = current_configuration.CurrentConfiguration(wall)
    return commands.CommandServices(
        current, store, StoreFleet(store), wall, key_source()
    )
