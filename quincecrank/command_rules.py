"""Planning of a change: which writes its commands lead to.

`plan` applies the commands one after the other to a draft and checks every rule;
each mistake is reported at the word that has to be changed.
"""

import dataclasses
import functools
from typing import Final

import expression

from quincecrank import (
    access,
    account_rules,
    command_draft,
    command_model,
    configuration,
    deployment_part_rules,
    deployment_rules,
    findings,
    ids,
    tier_rules,
)

MAX_FINDINGS: Final = 20
"""Findings after which the rest of a change is left unchecked."""


@dataclasses.dataclass(frozen=True)
class ChangePlan:
    """Writes of a change, and the keys to show when they are committed."""

    writes: tuple[configuration.EntityWrite, ...]
    created_keys: tuple[command_draft.CreatedKey, ...] = ()


def plan(
    base: configuration.Configuration,
    commands: tuple[command_model.Command, ...],
    vm_names: frozenset[ids.VmName] = frozenset(),
    make_key: access.KeySource = access.new_key,
) -> expression.Result[ChangePlan, findings.Findings]:
    """Check a change and work out its writes.

    Parameters
    ----------
    base : Configuration
        The configuration that the change was decided on.
    commands : tuple of Command
        The commands, in their order.
    vm_names : frozenset of VmName
        Names of the VM list; empty when the list is not known.
    make_key : callable
        Makes API keys.

    Returns
    -------
    Result
        The plan, or every mistake with its place.
    """
    draft = command_draft.Draft(base, vm_names, make_key)
    for command in commands:
        before = draft.state()
        found_before = len(draft.found.all())
        _apply(command, draft)
        failed = len(draft.found.all()) > found_before
        if not failed and draft.state() == before:
            draft.found.add(_place(command), "the command changes nothing")
        if found_before >= MAX_FINDINGS:
            draft.found.add(_place(command), "further commands were not checked")
            break
    if draft.found:
        return expression.Error(draft.found)
    return expression.Ok(ChangePlan(draft.writes(), tuple(draft.created_keys)))


def _place(command: command_model.Command) -> findings.Place:
    values = (getattr(command, f.name) for f in dataclasses.fields(command))
    return next(v.place for v in values if isinstance(v, command_model.Word))


@functools.singledispatch
def _apply(command: command_model.Command, draft: command_draft.Draft) -> None:
    raise TypeError(f"no rule for {type(command).__name__}")


for _rule in (
    *account_rules.RULES,
    *deployment_rules.RULES,
    *deployment_part_rules.RULES,
    *tier_rules.RULES,
):
    _apply.register(_rule)
