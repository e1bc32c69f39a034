"""A draft of the next configuration, which the commands of a change edit.

Terms
-----
finding
    A mistake in the text of the change, with its place (line and column).
"""

import dataclasses
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

import pydantic

from quincecrank import (
    access,
    command_fields,
    command_model,
    configuration,
    findings,
    ids,
    messages,
)

Entity = TypeVar("Entity", bound=configuration.FrozenModel)


class Collection(Generic[Entity]):
    """Entities of one kind in a draft.

    Parameters
    ----------
    kind : EntityKind
        Kind of the entities; findings call them by its value.
    base_by_name : mapping
        The entities that the change starts from.
    found : Findings
        Receives a finding for each unknown or duplicate name.
    """

    def __init__(
        self,
        kind: configuration.EntityKind,
        base_by_name: Mapping[Any, Entity],
        found: findings.Findings,
    ) -> None:
        self._kind = kind
        self._base_by_name: dict[str, Entity] = dict(base_by_name)
        self._by_name = dict(self._base_by_name)
        self._found = found

    def find(self, word: command_model.Word) -> Entity | None:
        """Return the entity called `word`; None, with a finding, if there is none."""
        entity = self._by_name.get(word.text)
        if entity is None:
            message = messages.unknown(self._kind.value, word.text, self._by_name)
            self._found.add(word.place, message)
        return entity

    def check_new(self, word: command_model.Word) -> None:
        """Add a finding if an entity called `word` exists already."""
        if word.text in self._by_name:
            message = f"{self._kind.value} {word.text!r} exists already"
            self._found.add(word.place, message)

    def get(self, name: str) -> Entity | None:
        """Return the entity called `name`, or None."""
        return self._by_name.get(name)

    def put(self, name: str, entity: Entity) -> None:
        """Add or replace an entity."""
        self._by_name[name] = entity

    def remove(self, name: str) -> None:
        """Remove an entity; does nothing if there is none of that name."""
        self._by_name.pop(name, None)

    def entities(self) -> tuple[Entity, ...]:
        """Return the entities in their present state."""
        return tuple(self._by_name.values())

    def snapshot(self) -> dict[str, Entity]:
        """Return a copy of the present state by name, for a later comparison."""
        return dict(self._by_name)

    def writes(self) -> tuple[configuration.EntityWrite, ...]:
        """Return the writes that lead from the base to the present state."""
        names = sorted(self._base_by_name.keys() | self._by_name.keys())
        return tuple(
            configuration.entity_write(self._kind, name, self._by_name.get(name))
            for name in names
            if self._by_name.get(name) != self._base_by_name.get(name)
        )


@dataclasses.dataclass(frozen=True)
class CreatedKey:
    """An API key that the change creates; shown to the operator only once."""

    account: ids.AccountName
    key_id: ids.KeyId
    key: str = dataclasses.field(repr=False)


class Draft:
    """A configuration that the commands of a change edit one after the other.

    Parameters
    ----------
    base : Configuration
        The configuration that the change starts from.
    vm_names : frozenset of VmName
        Names of the VM list; empty when the list is unknown.
    make_key : callable
        Generates API keys.
    """

    def __init__(
        self,
        base: configuration.Configuration,
        vm_names: frozenset[ids.VmName],
        make_key: access.KeySource,
    ) -> None:
        kinds = configuration.EntityKind
        self.found = findings.Findings()
        self.vm_names = vm_names
        self.make_key = make_key
        self.created_keys: list[CreatedKey] = []
        self.accounts = Collection(kinds.ACCOUNT, base.accounts_by_name, self.found)
        self.deployments = Collection(
            kinds.DEPLOYMENT, base.deployments_by_name, self.found
        )
        self.tiers = Collection(kinds.TIER, base.tiers_by_name, self.found)
        self.drains = Collection(kinds.DRAIN, base.drains_by_vm, self.found)

    def snapshot(self) -> tuple[Mapping[str, configuration.FrozenModel], ...]:
        """Return a copy of all entities, to detect a command that changes nothing."""
        return (
            self.accounts.snapshot(),
            self.deployments.snapshot(),
            self.tiers.snapshot(),
            self.drains.snapshot(),
        )

    def writes(self) -> tuple[configuration.EntityWrite, ...]:
        """Return all writes that lead from the base to the present state."""
        return (
            *self.accounts.writes(),
            *self.deployments.writes(),
            *self.tiers.writes(),
            *self.drains.writes(),
        )

    def check_word(
        self, word: command_model.Word, parse: Callable[[str], object]
    ) -> bool:
        """Return whether `parse` accepts the word; if not, add a finding."""
        try:
            parse(word.text)
        except ValueError as error:
            self.found.add(word.place, str(error))
            return False
        return True

    def check_vm(self, word: command_model.Word) -> None:
        """Add a finding if the VM list is known and does not contain the VM."""
        if self.vm_names and word.text not in self.vm_names:
            message = messages.unknown("VM", word.text, self.vm_names)
            self.found.add(word.place, message)

    def with_updates(
        self, entity: Entity, updates: Iterable[command_fields.Update]
    ) -> Entity:
        """Return a copy of `entity` with the updates.

        If a value is invalid for its field, adds a finding and returns `entity`.
        """
        body: dict[str, Any] = entity.model_dump(mode="json")
        place_by_path: dict[tuple[str, ...], findings.Place] = {}
        for update in updates:
            part = body
            for name in update.field.path[:-1]:
                part = part[name]
            part[update.field.path[-1]] = update.value
            place_by_path[update.field.path] = update.place
        try:
            return type(entity).model_validate_json(json.dumps(body))
        except pydantic.ValidationError as error:
            for item in error.errors(include_url=False):
                path = tuple(str(part) for part in item["loc"])
                self.found.add(place_by_path[path], item["msg"])
            return entity
