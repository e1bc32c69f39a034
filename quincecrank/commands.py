"""Executes query and command texts of operators.

Changes use optimistic concurrency control.  An operator names the configuration
version that the change was decided on, and the change is committed by one insert
into the platform's table at the next version.  If that version is no longer the
newest, the change is rejected with a list of the changes in between, and nothing
is written.
"""

import asyncio
import dataclasses
from typing import Final, Protocol

import expression

from quincecrank import (
    access,
    command_draft,
    command_model,
    command_parser,
    command_problems,
    command_queries,
    command_rules,
    configuration,
    configuration_store,
    fleet_view,
    ids,
    logs,
    platform_table,
    problems,
)
from quincecrank import clock as clocks

MAX_ROW_BYTES: Final = 380_000
"""Largest size of a row's JSON; the platform's table accepts items up to 400 kB."""

_UNAVAILABLE_ERRORS: Final = (
    fleet_view.ViewUnavailableError,
    platform_table.TableUnavailableError,
)

_LOG: Final = logs.logger("commands")


class CurrentConfiguration(Protocol):
    """The configuration in force in this process."""

    @property
    def in_force(self) -> configuration.Configuration:
        """Return the newest configuration that this process has applied."""

    def apply(self, rows: tuple[configuration.ConfigurationRow, ...]) -> object:
        """Apply committed rows, in the order of their versions."""


class ConfigurationStore(Protocol):
    """Reads and extends the committed history.

    Its methods raise the errors of module ``platform_table``.
    """

    async def catch_up(
        self, known: configuration.Configuration
    ) -> tuple[configuration.ConfigurationRow, ...]:
        """Return the rows that were committed after `known`."""

    async def propose(
        self, row: configuration.ConfigurationRow
    ) -> expression.Result[
        configuration.ConfigurationRow, configuration_store.ProposalConflict
    ]:
        """Insert `row` at its version; an error if another row has that version."""


@dataclasses.dataclass(frozen=True)
class CommandServices:
    """Dependencies of `execute`."""

    current: CurrentConfiguration
    store: ConfigurationStore
    fleet: fleet_view.FleetView
    clock: clocks.Clock
    make_key: access.KeySource = access.new_key


@dataclasses.dataclass(frozen=True)
class CommandOutcome:
    """Result of a query or of a committed change.

    Attributes
    ----------
    version : ConfigurationVersion
        Version that a query read, or that a change created.
    table : Table
        The query's answer, or the entities that the change wrote.
    created_keys : tuple of CreatedKey
        API keys that the change created.
    """

    version: ids.ConfigurationVersion
    table: command_queries.Table
    created_keys: tuple[command_draft.CreatedKey, ...] = ()


Outcome = expression.Result[CommandOutcome, problems.Problem]


async def execute(
    text: str,
    decided_on: ids.ConfigurationVersion | None,
    operator: str,
    services: CommandServices,
) -> Outcome:
    """Answer a query or commit a change.

    Parameters
    ----------
    text : str
        One query, or one or more commands.
    decided_on : ConfigurationVersion, optional
        Version that the change was decided on; None if the text names it.
    operator : str
        Name of the authenticated operator.
    services : CommandServices
        Configuration, store, fleet view and clock to work with.

    Returns
    -------
    Result
        The outcome, or a problem that says whether the change took effect.
    """
    outcome = await _execute(text, decided_on, operator, services)
    if outcome.is_ok():
        _LOG.info("command completed", operator=operator, version=outcome.ok.version)
        return outcome
    problem = outcome.error
    _LOG.info(
        "command failed",
        operator=operator,
        kind=problem.kind.value,
        ran=problem.ran.value,
        reason=problem.detail,
    )
    return outcome


async def _execute(
    text: str,
    decided_on: ids.ConfigurationVersion | None,
    operator: str,
    services: CommandServices,
) -> Outcome:
    # Parsed in a thread, so that a large text does not block the entry's streams.
    parsed = await asyncio.to_thread(command_parser.parse, text)
    if parsed.is_error():
        return expression.Error(command_problems.invalid_text(parsed.error))
    if isinstance(parsed.ok, command_model.QueryText):
        return await _query(parsed.ok.query, services)
    named = parsed.ok.decided_on
    if named is not None and decided_on is not None and named != decided_on:
        detail = f"the text names version {named}, the request {decided_on}"
        return expression.Error(command_problems.bad_request(detail))
    base_version = named if named is not None else decided_on
    if base_version is None:
        detail = "a change must name the version it was decided on: `at version N:`"
        return expression.Error(command_problems.bad_request(detail))
    change = _Change(text.strip(), parsed.ok.commands, base_version, operator, services)
    try:
        return await change.commit()
    except platform_table.TableUnavailableError as error:
        return expression.Error(command_problems.service_unavailable(str(error)))


async def _query(query: command_model.Query, services: CommandServices) -> Outcome:
    in_force = services.current.in_force
    try:
        table = await command_queries.run(query, in_force, services.fleet)
    except _UNAVAILABLE_ERRORS as error:
        return expression.Error(command_problems.service_unavailable(str(error)))
    if table.is_error():
        return expression.Error(command_problems.invalid_text(table.error))
    return expression.Ok(CommandOutcome(in_force.version, table.ok))


@dataclasses.dataclass(frozen=True)
class _Change:
    """One change that is being executed."""

    text: str
    commands: tuple[command_model.Command, ...]
    decided_on: ids.ConfigurationVersion
    operator: str
    services: CommandServices

    async def commit(self) -> Outcome:
        """Plan and commit the change, or return a problem.

        Raises
        ------
        TableUnavailableError
            If the platform's table does not respond; nothing was written.
        """
        base = await self._newest_configuration()
        if self.decided_on > base.version:
            detail = f"version {self.decided_on} is not known; newest: {base.version}"
            return expression.Error(command_problems.bad_request(detail))
        if self.decided_on < base.version:
            return expression.Error(self._stale_version(await self._later_changes()))
        vm_names = await self._vm_names()
        planned = await asyncio.to_thread(
            command_rules.plan, base, self.commands, vm_names, self.services.make_key
        )
        if planned.is_error():
            return expression.Error(command_problems.invalid_text(planned.error))
        return await self._propose(base, planned.ok)

    async def _newest_configuration(self) -> configuration.Configuration:
        """Return the newest configuration that this process has applied.

        Reads the missing rows first when the operator decided on a newer version.
        """
        current = self.services.current
        if self.decided_on > current.in_force.version:
            current.apply(await self.services.store.catch_up(current.in_force))
        return current.in_force

    async def _vm_names(self) -> frozenset[ids.VmName]:
        """Return the names of the VM list; empty if it cannot be read."""
        try:
            return frozenset(vm.name for vm in await self.services.fleet.vms())
        except _UNAVAILABLE_ERRORS:
            return frozenset()

    async def _propose(
        self, base: configuration.Configuration, planned: command_rules.ChangePlan
    ) -> Outcome:
        """Build the row of the change and commit it, unless it is too large."""
        row = configuration.ConfigurationRow(
            version=ids.ConfigurationVersion(base.version + 1),
            proposal_id=ids.ProposalId(ids.random_id("proposal-")),
            operator=self.operator,
            command=self.text,
            wall_ms=self.services.clock.wall_ms(),
            writes=planned.writes,
        )
        row_bytes = len(row.model_dump_json().encode())
        if row_bytes > MAX_ROW_BYTES:
            detail = f"the change takes {row_bytes} bytes of {MAX_ROW_BYTES}; split it"
            problem = problems.Problem(problems.ProblemKind.TOO_LARGE, detail)
            return expression.Error(problem)
        return await self._commit_row(base, row, planned)

    async def _commit_row(
        self,
        base: configuration.Configuration,
        row: configuration.ConfigurationRow,
        planned: command_rules.ChangePlan,
    ) -> Outcome:
        """Commit and apply `row`; on a conflict, apply the rows committed instead."""
        try:
            result = await self.services.store.propose(row)
        except platform_table.OutcomeUnknownError:
            return expression.Error(command_problems.outcome_unknown(row, planned))
        except configuration.VersionGapError as error:
            # The row of the base version is missing, as after a restore of the table.
            problem = problems.Problem(problems.ProblemKind.NOT_READY, str(error))
            return expression.Error(problem)
        if result.is_error():
            rows = result.error.rows
            self.services.current.apply(rows)
            changes = tuple(_history_row(committed) for committed in rows)
            return expression.Error(self._stale_version(changes))
        self.services.current.apply((result.ok,))
        table = _changed_entities(base, row)
        outcome = CommandOutcome(row.version, table, planned.created_keys)
        return expression.Ok(outcome)

    async def _later_changes(self) -> tuple[fleet_view.HistoryRow, ...]:
        """Return the changes after `decided_on`; empty if they cannot be read."""
        try:
            return await self.services.fleet.history(
                self.decided_on, command_problems.MAX_REPORTED_CHANGES
            )
        except _UNAVAILABLE_ERRORS:
            return ()

    def _stale_version(
        self, changes: tuple[fleet_view.HistoryRow, ...]
    ) -> problems.Problem:
        newest = self.services.current.in_force.version
        return command_problems.stale_version(self.decided_on, newest, changes)


def _history_row(row: configuration.ConfigurationRow) -> fleet_view.HistoryRow:
    return fleet_view.HistoryRow(row.version, row.wall_ms, row.operator, row.command)


def _changed_entities(
    base: configuration.Configuration, row: configuration.ConfigurationRow
) -> command_queries.Table:
    names_by_kind: dict[configuration.EntityKind, set[str]] = {
        configuration.EntityKind.ACCOUNT: set(base.accounts_by_name),
        configuration.EntityKind.DEPLOYMENT: set(base.deployments_by_name),
        configuration.EntityKind.TIER: set(base.tiers_by_name),
        configuration.EntityKind.DRAIN: set(base.drains_by_vm),
    }
    rows = []
    for write in row.writes:
        existed = write.name in names_by_kind[write.kind]
        change = "changed" if existed else "created"
        rows.append((write.kind.value, write.name, change if write.body else "removed"))
    return command_queries.Table(("kind", "name", "change"), tuple(rows))
