"""Transforms the parse tree of one statement into a typed query or command."""

import dataclasses
import re
from collections.abc import Callable
from typing import Any, Final

import lark

from quincecrank import command_model, findings, ids

PlaceOf = Callable[[int], findings.Place]
"""Returns the line and column of a character offset in the statement."""

_VERSION: Final = re.compile(r"[0-9]{1,15}")
_ESCAPE: Final = re.compile(r"\\(.)")


@dataclasses.dataclass(frozen=True)
class ParsedStatement:
    """One query or command, with the prefix ``at version N:`` if there is one.

    Attributes
    ----------
    place : Place
        Place of the statement's first character, or of the version in its prefix.
    version : Word, optional
        The version of the prefix as written.
    decided_on : ConfigurationVersion, optional
        The same version as a number.
    """

    body: command_model.Query | command_model.Command
    place: findings.Place
    version: command_model.Word | None = None
    decided_on: ids.ConfigurationVersion | None = None


def build(
    tree: lark.ParseTree, place_of: PlaceOf, found: findings.Findings
) -> ParsedStatement | None:
    """Return the statement of a parse tree.

    Parameters
    ----------
    tree : ParseTree
        Tree of the grammar's ``start`` rule.
    place_of : callable
        Returns the line and column of a character offset in the statement.
    found : Findings
        Receives a finding if the version is not a number.

    Returns
    -------
    ParsedStatement or None
        None if there was a finding.
    """
    parts = _Transformer(place_of).transform(tree)
    body = parts[-1]
    if len(parts) == 1:
        return ParsedStatement(body, place_of(0))
    version: command_model.Word = parts[0]
    if not _VERSION.fullmatch(version.text):
        message = f"{version.text!r} is not a configuration version"
        found.add(version.place, message)
        return None
    number = ids.ConfigurationVersion(int(version.text))
    return ParsedStatement(body, version.place, version, number)


def _words(
    items: tuple[command_model.Word | lark.Token, ...],
) -> tuple[command_model.Word, ...]:
    return tuple(item for item in items if isinstance(item, command_model.Word))


@lark.v_args(inline=True)
class _Transformer(lark.Transformer[lark.Token, Any]):
    """Builds the objects of ``command_model``; one method for each grammar rule."""

    def __init__(self, place_of: PlaceOf) -> None:
        super().__init__()
        self._place_of = place_of

    def _word(self, token: lark.Token) -> command_model.Word:
        text = str(token)
        if token.type == "STRING":
            text = _ESCAPE.sub(r"\1", text[1:-1])
        return command_model.Word(text, self._place_of(token.start_pos or 0))

    def _keyword(self, token: lark.Token) -> command_model.Word:
        return dataclasses.replace(self._word(token), text=str(token).lower())

    def start(self, *parts: object) -> tuple[object, ...]:
        return parts

    def word(self, token: lark.Token) -> command_model.Word:
        return self._word(token)

    def value(
        self, token: lark.Token, unit: lark.Token | None = None
    ) -> command_model.Word:
        word = self._word(token)
        if unit is None:
            return word
        return dataclasses.replace(word, text=word.text + str(unit))

    def version(self, token: lark.Token) -> command_model.Word:
        return self._word(token)

    table = kind = direction = yes_or_no = _keyword

    # Queries

    def condition(
        self, field: command_model.Word, sign: lark.Token, value: command_model.Word
    ) -> command_model.Condition:
        return command_model.Condition(field, command_model.Comparison(sign), value)

    def where(self, *conditions: command_model.Condition) -> object:
        return conditions

    def order(
        self, field: command_model.Word, direction: command_model.Word | None = None
    ) -> command_model.Order:
        descending = direction is not None and direction.text == "desc"
        return command_model.Order(field, descending)

    def limit(self, value: command_model.Word) -> command_model.Word:
        return value

    def show_table(
        self, table: command_model.Word, *clauses: Any
    ) -> command_model.ShowTable:
        query = command_model.ShowTable(command_model.TableName(table.text))
        for clause in clauses:
            if isinstance(clause, tuple):
                query = dataclasses.replace(query, conditions=clause)
            elif isinstance(clause, command_model.Order):
                query = dataclasses.replace(query, order=clause)
            else:
                query = dataclasses.replace(query, limit=clause)
        return query

    show_account = command_model.ShowAccount
    show_deployment = command_model.ShowDeployment

    # Fields and values

    def assignment(
        self, field: command_model.Word, *items: command_model.Word | lark.Token
    ) -> command_model.Assignment:
        return command_model.Assignment(field, _words(items))

    def _option(
        self, keyword: lark.Token, value: command_model.Word
    ) -> command_model.Assignment:
        return command_model.Assignment(self._keyword(keyword), (value,))

    account_option = link = capacity = _option

    def medium(
        self, keyword: lark.Token, medium: lark.Token
    ) -> command_model.Assignment:
        return self._option(keyword, self._keyword(medium))

    def stores(
        self, keyword: lark.Token, *items: command_model.Word | lark.Token
    ) -> command_model.Assignment:
        return command_model.Assignment(self._keyword(keyword), _words(items))

    def tier_option(self, option: command_model.Assignment) -> command_model.Assignment:
        return option

    # Commands

    def create_account(
        self, name: command_model.Word, *options: command_model.Assignment
    ) -> command_model.CreateAccount:
        return command_model.CreateAccount(name, options)

    def change_account(
        self, name: command_model.Word, *assignments: command_model.Assignment
    ) -> command_model.ChangeAccount:
        return command_model.ChangeAccount(name, assignments)

    def disable_account(self, name: command_model.Word) -> command_model.EnableAccount:
        return command_model.EnableAccount(name, enabled=False)

    def enable_account(self, name: command_model.Word) -> command_model.EnableAccount:
        return command_model.EnableAccount(name, enabled=True)

    create_key = command_model.CreateKey
    revoke_key = command_model.RevokeKey

    def create_deployment(
        self,
        name: command_model.Word,
        kind: command_model.Word,
        *rest: command_model.Word | command_model.Assignment,
    ) -> command_model.CreateDeployment:
        words = [r for r in rest if isinstance(r, command_model.Word)]
        assignments = tuple(r for r in rest if isinstance(r, command_model.Assignment))
        version = words[0] if words else None
        return command_model.CreateDeployment(name, kind, version, assignments)

    def change_deployment(
        self, name: command_model.Word, *assignments: command_model.Assignment
    ) -> command_model.ChangeDeployment:
        return command_model.ChangeDeployment(name, assignments)

    def allow(
        self, account: command_model.Word, deployment: command_model.Word
    ) -> command_model.AllowAccount:
        return command_model.AllowAccount(account, deployment, allowed=True)

    def deny(
        self, account: command_model.Word, deployment: command_model.Word
    ) -> command_model.AllowAccount:
        return command_model.AllowAccount(account, deployment, allowed=False)

    roll = command_model.RollVersion
    create_adapter = command_model.CreateAdapter
    remove_adapter = command_model.RemoveAdapter

    def create_tier(
        self, name: command_model.Word, *options: command_model.Assignment
    ) -> command_model.CreateTier:
        return command_model.CreateTier(name, options)

    def change_tier(
        self, name: command_model.Word, *assignments: command_model.Assignment
    ) -> command_model.ChangeTier:
        return command_model.ChangeTier(name, assignments)

    remove_tier = command_model.RemoveTier

    def attach_tier(
        self, tier: command_model.Word, deployment: command_model.Word
    ) -> command_model.AttachTier:
        return command_model.AttachTier(tier, deployment, attached=True)

    def detach_tier(
        self, tier: command_model.Word, deployment: command_model.Word
    ) -> command_model.AttachTier:
        return command_model.AttachTier(tier, deployment, attached=False)

    def declare_route(
        self,
        method: command_model.Word,
        path: command_model.Word,
        deployment: command_model.Word,
        idempotent: command_model.Word,
    ) -> command_model.DeclareRoute:
        is_idempotent = idempotent.text == "yes"
        return command_model.DeclareRoute(method, path, deployment, is_idempotent)

    remove_route = command_model.RemoveRoute

    def drain(self, vm: command_model.Word) -> command_model.DrainVm:
        return command_model.DrainVm(vm, drained=True)

    def undrain(self, vm: command_model.Word) -> command_model.DrainVm:
        return command_model.DrainVm(vm, drained=False)
