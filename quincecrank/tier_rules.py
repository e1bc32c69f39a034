"""Rules of the commands on storage tiers and on the drains of VMs."""

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
    """Add a storage tier."""
    draft.check_word(command.name, command_values.name)
    draft.tiers.check_new(command.name)
    given = {option.field.text for option in command.options}
    missing = [name for name in _REQUIRED_OF_TIER if name not in given]
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
    updates = command_fields.read_updates(assignments, fields, draft.found)
    draft.tiers.put(tier.name, draft.updated(tier, updates))


def remove_tier(command: command_model.RemoveTier, draft: command_draft.Draft) -> None:
    """Remove a tier that no deployment uses."""
    tier = draft.tiers.find(command.name)
    if tier is None:
        return
    users = [d.name for d in draft.deployments.all() if tier.name in d.tiers]
    if users:
        message = f"tier {tier.name!r} is attached to {', '.join(users)}; detach it"
        draft.found.add(command.name.place, message)
        return
    draft.tiers.remove(tier.name)


def drain_vm(command: command_model.DrainVm, draft: command_draft.Draft) -> None:
    """Drain a VM, or end its drain."""
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
