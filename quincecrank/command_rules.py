"""Validates the commands of a change and computes the writes to commit.

`plan` applies the commands one after the other to a draft of the configuration.
A rule is the function that applies one type of command; it is chosen by the type of
its first parameter.  Rules report each mistake at the word that must be corrected.
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
"""Number of findings after which only one more command is checked."""


@dataclasses.dataclass(frozen=True)
class ChangePlan:
    """Writes of a change, and the API keys to show once they are committed."""

    writes: tuple[configuration.EntityWrite, ...]
    created_keys: tuple[command_draft.CreatedKey, ...] = ()


def plan(
    base: configuration.Configuration,
    commands: tuple[command_model.Command, ...],
    vm_names: frozenset[ids.VmName] = frozenset(),
    make_key: access.KeySource = access.new_key,
) -> expression.Result[ChangePlan, findings.Findings]:
    """Check a change and return its writes.

    Parameters
    ----------
    base : Configuration
        The configuration that the change was decided on.
    commands : tuple of Command
        The commands, in the order of the text.
    vm_names : frozenset of VmName
        Names of the VM list; empty when the list is unknown.
    make_key : callable
        Generates API keys.

    Returns
    -------
    Result
        The plan, or each mistake with its place; after `MAX_FINDINGS` mistakes one
        more command is checked.
    """
    draft = command_draft.Draft(base, vm_names, make_key)
    for command in commands:
        before = draft.snapshot()
        found_before = len(draft.found.all())
        _apply(command, draft)
        failed = len(draft.found.all()) > found_before
        if not failed and draft.snapshot() == before:
            draft.found.add(_first_word_place(command), "the command changes nothing")
        if found_before >= MAX_FINDINGS:
            draft.found.add(
                _first_word_place(command), "further commands were not checked"
            )
            break
    if draft.found:
        return expression.Error(draft.found)
    return expression.Ok(ChangePlan(draft.writes(), tuple(draft.created_keys)))


def _first_word_place(command: command_model.Command) -> findings.Place:
    """Return the place of the command's first name or value."""
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
