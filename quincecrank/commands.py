"""Executes query and command texts of operators.

A change is committed by one insert into the platform's table at the version after
the one it was decided on.  If that version is no longer the newest, the change is
refused with the changes in between, and nothing is written.
"""

import asyncio
import dataclasses
import json
from typing import Final, Protocol

import expression

from quincecrank import (
    access,
    command_draft,
    command_model,
    command_parser,
    command_queries,
    command_rules,
    command_tables,
    configuration,
    configuration_store,
    findings,
    fleet_view,
    ids,
    logs,
    platform_table,
    problems,
)
from quincecrank import clock as clocks

MAX_CHANGES_SHOWN: Final = 20
MAX_FINDINGS_SHOWN: Final = 100
MAX_ROW_BYTES: Final = 380_000
"""Bound of a row's JSON; the platform's table takes items of 400 kB."""

RETRY_AFTER_MS: Final = 1_000

_LOG: Final = logs.logger("commands")


class CurrentConfiguration(Protocol):
    """The configuration in force in this process."""

    @property
    def in_force(self) -> configuration.Configuration:
        """Return the newest configuration that this process knows."""

    def apply(self, rows: tuple[configuration.ConfigurationRow, ...]) -> object:
        """Apply committed rows."""


class ConfigurationStore(Protocol):
    """The committed history; raises the errors of module ``platform_table``."""

    async def catch_up(
        self, known: configuration.Configuration
    ) -> tuple[configuration.ConfigurationRow, ...]:
        """Return the rows that were committed after `known`."""

    async def propose(
        self, row: configuration.ConfigurationRow
    ) -> expression.Result[
        configuration.ConfigurationRow, configuration_store.ProposalConflict
    ]:
        """Commit `row` as its version, unless another row has it."""


@dataclasses.dataclass(frozen=True)
class Services:
    """What the executor works with."""

    current: CurrentConfiguration
    store: ConfigurationStore
    fleet: fleet_view.FleetView
    clock: clocks.Clock
    make_key: access.KeySource = access.new_key


@dataclasses.dataclass(frozen=True)
class CommandOutcome:
    """What came of a text.

    Attributes
    ----------
    version : ConfigurationVersion
        Version that a query saw, or that a change made.
    table : Table
        The query's answer, or the entities that the change wrote.
    """

    version: ids.ConfigurationVersion
    table: command_queries.Table
    created_keys: tuple[command_draft.CreatedKey, ...] = ()


@dataclasses.dataclass(frozen=True)
class StaleVersion(problems.Problem):
    """Refusal of a change that was decided on an old version.

    Attributes
    ----------
    changes : tuple of HistoryRow
        The changes in between, the oldest first.
    """

    changes: tuple[fleet_view.HistoryRow, ...] = ()

    def to_json(self, request_id: str) -> str:
        """Return the problem document with the changes in between."""
        document = json.loads(super().to_json(request_id))
        rows = [command_tables.change_row(change) for change in self.changes]
        document["changes"] = [dataclasses.asdict(row) for row in rows]
        return json.dumps(document, ensure_ascii=False)


Outcome = expression.Result[CommandOutcome, problems.Problem]


async def execute(
    text: str,
    decided_on: ids.ConfigurationVersion | None,
    operator: str,
    services: Services,
) -> Outcome:
    """Answer a query or commit a change.

    Parameters
    ----------
    text : str
        One query, or one or more commands.
    decided_on : ConfigurationVersion, optional
        Version that the operator decided on, unless the text names it.
    operator : str
        Name of the authenticated operator.
    services : Services
        What the executor works with.

    Returns
    -------
    Result
        The outcome, or a problem that says whether the change took effect.
    """
    outcome = await _execute(text, decided_on, operator, services)
    if outcome.is_ok():
        _LOG.info("command done", operator=operator, version=outcome.ok.version)
        return outcome
    problem = outcome.error
    _LOG.info(
        "command refused",
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
    services: Services,
) -> Outcome:
    # In a thread: a large text must not hold up the entry's streams.
    parsed = await asyncio.to_thread(command_parser.parse, text)
    if parsed.is_error():
        return expression.Error(_bad_text(parsed.error))
    if isinstance(parsed.ok, command_model.QueryText):
        return await _query(parsed.ok.query, services)
    named = parsed.ok.decided_on
    if named is not None and decided_on is not None and named != decided_on:
        detail = f"the text names version {named}, the request {decided_on}"
        return expression.Error(_bad_request(detail))
    base = named if named is not None else decided_on
    if base is None:
        detail = "a change must name the version it was decided on: `at version N:`"
        return expression.Error(_bad_request(detail))
    change = _Change(text.strip(), parsed.ok.commands, base, operator, services)
    try:
        return await change.commit()
    except platform_table.TableUnavailableError as error:
        return expression.Error(_table_out(str(error)))


async def _query(query: command_model.Query, services: Services) -> Outcome:
    current = services.current.in_force
    try:
        table = await command_queries.run(query, current, services.fleet)
    except fleet_view.ViewUnavailableError as error:
        return expression.Error(_table_out(str(error)))
    if table.is_error():
        return expression.Error(_bad_text(table.error))
    return expression.Ok(CommandOutcome(current.version, table.ok))


@dataclasses.dataclass(frozen=True)
class _Change:
    """One change on its way to the platform's table."""

    text: str
    commands: tuple[command_model.Command, ...]
    decided_on: ids.ConfigurationVersion
    operator: str
    services: Services

    async def commit(self) -> Outcome:
        """Plan the change and commit it, or return why not.

        Raises
        ------
        TableUnavailableError
            If the platform's table gives no answer; nothing was written.
        """
        base = await self._base()
        if self.decided_on > base.version:
            detail = f"version {self.decided_on} is not known; newest: {base.version}"
            return expression.Error(_bad_request(detail))
        if self.decided_on < base.version:
            return expression.Error(self._stale(await self._history()))
        vm_names = await self._vm_names()
        planned = await asyncio.to_thread(
            command_rules.plan, base, self.commands, vm_names, self.services.make_key
        )
        if planned.is_error():
            return expression.Error(_bad_text(planned.error))
        return await self._propose(base, planned.ok)

    async def _base(self) -> configuration.Configuration:
        """Return the newest configuration; reads on when the operator is ahead."""
        current = self.services.current
        if self.decided_on > current.in_force.version:
            current.apply(await self.services.store.catch_up(current.in_force))
        return current.in_force

    async def _vm_names(self) -> frozenset[ids.VmName]:
        try:
            return frozenset(vm.name for vm in await self.services.fleet.vms())
        except fleet_view.ViewUnavailableError:
            return frozenset()

    async def _propose(
        self, base: configuration.Configuration, planned: command_rules.ChangePlan
    ) -> Outcome:
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
        try:
            result = await self.services.store.propose(row)
        except platform_table.OutcomeUnknownError:
            return expression.Error(_outcome_unknown(row, planned))
        except configuration.VersionGapError as error:
            problem = problems.Problem(problems.ProblemKind.NOT_READY, str(error))
            return expression.Error(problem)
        if result.is_error():
            rows = result.error.rows
            self.services.current.apply(rows)
            changes = tuple(_history_row(committed) for committed in rows)
            return expression.Error(self._stale(changes))
        self.services.current.apply((result.ok,))
        table = _changed_entities(base, row)
        outcome = CommandOutcome(row.version, table, planned.created_keys)
        return expression.Ok(outcome)

    async def _history(self) -> tuple[fleet_view.HistoryRow, ...]:
        """Return the changes since the decision, if they can be had."""
        try:
            return await self.services.fleet.history(self.decided_on, MAX_CHANGES_SHOWN)
        except fleet_view.ViewUnavailableError:
            return ()

    def _stale(self, changes: tuple[fleet_view.HistoryRow, ...]) -> StaleVersion:
        newest = self.services.current.in_force.version
        return StaleVersion(
            problems.ProblemKind.STALE_VERSION,
            f"decided on version {self.decided_on}, but version {newest} is in force",
            changes=changes[:MAX_CHANGES_SHOWN],
        )


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


def _bad_request(detail: str) -> problems.Problem:
    return problems.Problem(problems.ProblemKind.BAD_REQUEST, detail)


def _bad_text(found: findings.Findings) -> problems.Problem:
    all_found = found.all()
    mistakes = "1 mistake" if len(all_found) == 1 else f"{len(all_found)} mistakes"
    return problems.Problem(
        problems.ProblemKind.BAD_REQUEST,
        f"the text has {mistakes}; nothing was changed",
        found=all_found[:MAX_FINDINGS_SHOWN],
    )


def _table_out(reason: str) -> problems.Problem:
    return problems.Problem(
        problems.ProblemKind.TABLE_OUT, reason, retry_after_ms=RETRY_AFTER_MS
    )


def _outcome_unknown(
    row: configuration.ConfigurationRow, planned: command_rules.ChangePlan
) -> problems.Problem:
    detail = f"see `show history where version = {row.version}` before trying again"
    if planned.created_keys:
        names = ", ".join(key.key_id for key in planned.created_keys)
        detail += f"; if it was committed, revoke {names}, which were not shown"
    return problems.Problem(
        problems.ProblemKind.OUTCOME_UNKNOWN, detail, problems.Ran.UNKNOWN
    )
