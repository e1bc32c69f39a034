"""Executes the queries of the command language."""

import dataclasses
import enum
import operator
import typing
from collections.abc import Callable, Sequence
from typing import Any, Final, TypeVar

import expression

from quincecrank import (
    command_model,
    command_tables,
    command_values,
    configuration,
    findings,
    fleet_view,
    messages,
)

Value = TypeVar("Value")

Scalar = str | int | float | bool
Cell = Scalar | tuple[str, ...]
_Predicate = Callable[[tuple[Cell, ...]], bool]


@dataclasses.dataclass(frozen=True)
class Table:
    """The answer to a query: named columns and rows of cells."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


_EMPTY: Final = Table((), ())

_COMPARE: Final[dict[command_model.Comparison, Callable[[Any, Any], bool]]] = {
    command_model.Comparison.EQUAL: operator.eq,
    command_model.Comparison.NOT_EQUAL: operator.ne,
    command_model.Comparison.LESS: operator.lt,
    command_model.Comparison.LESS_OR_EQUAL: operator.le,
    command_model.Comparison.GREATER: operator.gt,
    command_model.Comparison.GREATER_OR_EQUAL: operator.ge,
}
_EQUALITY: Final = (
    command_model.Comparison.EQUAL,
    command_model.Comparison.NOT_EQUAL,
)


async def run(
    query: command_model.Query,
    current: configuration.Configuration,
    fleet: fleet_view.FleetView,
) -> expression.Result[Table, findings.Findings]:
    """Answer a query.

    Returns
    -------
    Result
        The table, or every mistake in the query with its place.

    Raises
    ------
    ViewUnavailableError
        If the rows come from a service that is unavailable.
    """
    found = findings.Findings()
    match query:
        case command_model.ShowAccount():
            table = _show_account(query, current, found)
        case command_model.ShowDeployment():
            table = _show_deployment(query, current, found)
        case command_model.ShowTable():
            row_type = command_tables.ROW_TYPE_BY_TABLE[query.table]
            selection = _Selection(query, row_type, found)
            if not found:
                rows = await command_tables.rows(query.table, current, fleet)
                table = selection.apply(rows)
    if found:
        return expression.Error(found)
    return expression.Ok(table)


def table_of(rows: Sequence[command_tables.Row], row_type: type) -> Table:
    """Return rows of one type as a table."""
    names = [field.name for field in dataclasses.fields(row_type)]
    cells = tuple(tuple(_cell(getattr(row, n)) for n in names) for row in rows)
    return Table(command_tables.columns(row_type), cells)


def _cell(value: Any) -> Cell:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return tuple(str(item) for item in value)
    if isinstance(value, bool | int | float):
        return value
    return str(value)


def _show_account(
    query: command_model.ShowAccount,
    current: configuration.Configuration,
    found: findings.Findings,
) -> Table:
    accounts = {str(k): v for k, v in current.accounts_by_name.items()}
    account = accounts.get(query.name.text)
    if account is None:
        message = messages.unknown("account", query.name.text, accounts)
        found.add(query.name.place, message)
        return _EMPTY
    row = command_tables.account_row(account, current)
    return _details(table_of([row], command_tables.AccountRow))


def _show_deployment(
    query: command_model.ShowDeployment,
    current: configuration.Configuration,
    found: findings.Findings,
) -> Table:
    deployments = {str(k): v for k, v in current.deployments_by_name.items()}
    deployment = deployments.get(query.name.text)
    if deployment is None:
        message = messages.unknown("deployment", query.name.text, deployments)
        found.add(query.name.place, message)
        return _EMPTY
    weights = deployment.weights
    routes = tuple(
        f"{route.method} {route.path}{' idempotent' if route.idempotent else ''}"
        for route in deployment.routes
    )
    more: tuple[tuple[str, Cell], ...] = (
        ("max-tokens", deployment.max_tokens),
        ("tokenizer", deployment.tokenizer),
        ("weights.first-token", weights.first_token),
        ("weights.recomputed", weights.recomputed),
        ("weights.link", weights.link),
        ("adapters", deployment.adapters),
        ("accounts", deployment.accounts),
        ("routes", routes),
    )
    row = command_tables.deployment_row(deployment)
    return _details(table_of([row], command_tables.DeploymentRow), more)


def _details(table: Table, more: tuple[tuple[str, Cell], ...] = ()) -> Table:
    """Return a table of one row as a table of fields and values, plus `more`."""
    cell_by_field = dict(zip(table.columns, table.rows[0], strict=True))
    cell_by_field.update(more)
    return Table(("field", "value"), tuple(cell_by_field.items()))


class _Selection:
    """Conditions, order and limit of a query, checked against the columns.

    Parameters
    ----------
    query : ShowTable
        The query.
    row_type : type
        Dataclass of the table's rows.
    found : Findings
        Receives the mistakes in the query.
    """

    def __init__(
        self, query: command_model.ShowTable, row_type: type, found: findings.Findings
    ) -> None:
        self._row_type = row_type
        self._columns = command_tables.columns(row_type)
        self._found = found
        predicates = [self._predicate(condition) for condition in query.conditions]
        self._predicates = [p for p in predicates if p is not None]
        self._order = query.order
        self._order_index = None
        if query.order is not None:
            self._order_index = self._index(query.order.field)
        self._limit = self._parse(query.limit, command_values.whole_number)

    def apply(self, rows: Sequence[command_tables.Row]) -> Table:
        """Return the rows that the query selects, in its order."""
        table = table_of(rows, self._row_type)
        selected = [row for row in table.rows if all(p(row) for p in self._predicates)]
        index = self._order_index
        if self._order is not None and index is not None:
            selected.sort(key=lambda row: row[index], reverse=self._order.descending)
        return Table(self._columns, tuple(selected[: self._limit]))

    def _index(self, field: command_model.Word) -> int | None:
        """Return the index of a column; None, with a finding, if it is unknown."""
        if field.text in self._columns:
            return self._columns.index(field.text)
        message = messages.unknown("column", field.text, self._columns)
        known = messages.alternatives(self._columns)
        self._found.add(field.place, f"{message} (known: {known})")
        return None

    def _parse(
        self, word: command_model.Word | None, parse: Callable[[str], Value]
    ) -> Value | None:
        """Return the value of `word`, or None; an invalid word adds a finding."""
        if word is None:
            return None
        try:
            return parse(word.text)
        except ValueError as error:
            self._found.add(word.place, str(error))
            return None

    def _predicate(self, condition: command_model.Condition) -> _Predicate | None:
        """Return the row filter of a condition; None if its column is unknown."""
        index = self._index(condition.field)
        if index is None:
            return None
        kind = _cell_type(self._row_type, index)
        value = self._parse(condition.value, _value_parser(kind))
        comparison = condition.comparison
        if kind is tuple:
            if comparison not in _EQUALITY:
                message = "a list is compared with = (contains) or !="
                self._found.add(condition.value.place, message)
            contains = comparison is command_model.Comparison.EQUAL
            return lambda row: (value in _items(row[index])) is contains
        compare = _COMPARE[comparison]
        return lambda row: compare(row[index], value)


def _items(cell: Cell) -> tuple[str, ...]:
    return cell if isinstance(cell, tuple) else ()


def _cell_type(row_type: type, index: int) -> type:
    """Return the type of a column's cells: a scalar, an Enum or ``tuple``."""
    name = dataclasses.fields(row_type)[index].name
    hint = typing.get_type_hints(row_type)[name]
    hint = getattr(hint, "__supertype__", hint)  # the type behind a NewType
    cell_type: type = typing.get_origin(hint) or hint
    return cell_type


def _value_parser(kind: type) -> Callable[[str], Scalar]:
    """Return the parser of values that are compared with cells of type `kind`."""
    if kind is bool:
        return command_values.yes_or_no
    if kind in (int, float):
        return command_values.comparison_value
    if issubclass(kind, enum.Enum):
        return command_values.choice(kind)
    return str
