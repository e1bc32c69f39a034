"""Rules of the commands that change storage tiers and drains of VMs.

Each rule applies one command to a draft of the configuration and adds the faults that
it finds to `Draft.found`.
"""

from collections.abc import Mapping
from typing import Final

from quincecrank import (
    command_draft,
    command_fields,
    command_model,
    command_values,
    configuration,
    ids,
    messages,
)

_REQUIRED_OF_TIER: Final = ("kind", "link", "capacity")


def create_tier(command: command_model.CreateTier, draft: command_draft.Draft) -> None:
    """Add a storage tier; all of kind, link and capacity must be given."""
    draft.check_word(command.name, command_values.name)
    draft.tiers.check_new(command.name)
    given_fields = {option.field.text for option in command.options}
    missing = [name for name in _REQUIRED_OF_TIER if name not in given_fields]
    if missing:
        message = f"a tier needs {messages.alternatives(missing)}"
        draft.found.add(command.name.place, message)
    placeholder = configuration.Tier(
        name=ids.TierName(command.name.text),
        kind=configuration.TierKind.MEMORY,
        link_bytes_per_second=1,
        capacity_bytes=1,
    )
    fields = command_fields.NEW_TIER_FIELDS_BY_NAME
    _put_tier(draft, placeholder, command.options, fields)


def change_tier(command: command_model.ChangeTier, draft: command_draft.Draft) -> None:
    """Set fields of a tier."""
    tier = draft.tiers.find(command.name)
    if tier is not None:
        fields = command_fields.TIER_FIELDS_BY_NAME
        _put_tier(draft, tier, command.assignments, fields)


def _put_tier(
    draft: command_draft.Draft,
    tier: configuration.Tier,
    assignments: tuple[command_model.Assignment, ...],
    fields: Mapping[str, command_fields.Field],
) -> None:
    for assignment in assignments:
        if assignment.field.text == "stores":
            for word in assignment.values:
                draft.check_vm(word)
    updates = command_fields.parse_updates(assignments, fields, draft.found)
    draft.tiers.put(tier.name, draft.with_updates(tier, updates))


def remove_tier(command: command_model.RemoveTier, draft: command_draft.Draft) -> None:
    """Remove a tier; a fault is reported if a deployment uses it."""
    tier = draft.tiers.find(command.name)
    if tier is None:
        return
    names = [d.name for d in draft.deployments.entities() if tier.name in d.tiers]
    if names:
        message = f"tier {tier.name!r} is attached to {', '.join(names)}; detach it"
        draft.found.add(command.name.place, message)
        return
    draft.tiers.remove(tier.name)


def drain_vm(command: command_model.DrainVm, draft: command_draft.Draft) -> None:
    """Start or end the drain of a VM."""
    name = ids.VmName(command.vm.text)
    if not command.drained:
        if draft.drains.find(command.vm) is not None:
            draft.drains.remove(name)
        return
    if draft.check_word(command.vm, command_values.name):
        draft.check_vm(command.vm)
        draft.drains.put(name, configuration.Drain(vm=name))


RULES: Final = (
    create_tier,
    change_tier,
    remove_tier,
    drain_vm,
)
