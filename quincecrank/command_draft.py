"""The configuration that a change is building, with the findings made on it."""

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
    """Entities of one kind while a change is being built.

    Parameters
    ----------
    kind : EntityKind
        The kind, which also names the entities in findings.
    base_by_name : mapping
        The entities that the change starts from.
    found : Findings
        Receives the findings of lookups.
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
        """Return the entity that `word` names, or add a finding."""
        entity = self._by_name.get(word.text)
        if entity is None:
            message = messages.unknown(self._kind.value, word.text, self._by_name)
            self._found.add(word.place, message)
        return entity

    def check_new(self, word: command_model.Word) -> None:
        """Add a finding when `word` names an entity that exists."""
        if word.text in self._by_name:
            message = f"{self._kind.value} {word.text!r} exists already"
            self._found.add(word.place, message)

    def get(self, name: str) -> Entity | None:
        """Return the entity called `name`, if there is one."""
        return self._by_name.get(name)

    def put(self, name: str, entity: Entity) -> None:
        """Add or replace an entity."""
        self._by_name[name] = entity

    def remove(self, name: str) -> None:
        """Remove an entity."""
        self._by_name.pop(name, None)

    def all(self) -> tuple[Entity, ...]:
        """Return the entities as they stand now."""
        return tuple(self._by_name.values())

    def copy(self) -> dict[str, Entity]:
        """Return the present state, to be compared later."""
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
    """A key that the change creates; shown once to the operator."""

    account: ids.AccountName
    key_id: ids.KeyId
    key: str = dataclasses.field(repr=False)


class Draft:
    """A configuration while commands change it one by one.

    Parameters
    ----------
    base : Configuration
        What the change starts from.
    vm_names : frozenset of VmName
        Names of the VM list; empty when the list is not known.
    make_key : callable
        Makes API keys.
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

    def state(self) -> tuple[Mapping[str, configuration.FrozenModel], ...]:
        """Return all entities, to tell whether a command changed anything."""
        return (
            self.accounts.copy(),
            self.deployments.copy(),
            self.tiers.copy(),
            self.drains.copy(),
        )

    def writes(self) -> tuple[configuration.EntityWrite, ...]:
        """Return all writes of the change."""
        return (
            *self.accounts.writes(),
            *self.deployments.writes(),
            *self.tiers.writes(),
            *self.drains.writes(),
        )

    def check_word(
        self, word: command_model.Word, read: Callable[[str], object]
    ) -> bool:
        """Tell whether `read` accepts the word; add a finding if it does not."""
        try:
            read(word.text)
        except ValueError as error:
            self.found.add(word.place, str(error))
            return False
        return True

    def check_vm(self, word: command_model.Word) -> None:
        """Add a finding when the VM list is known and lacks the VM."""
        if self.vm_names and word.text not in self.vm_names:
            message = messages.unknown("VM", word.text, self.vm_names)
            self.found.add(word.place, message)

    def updated(
        self, entity: Entity, updates: Iterable[command_fields.Update]
    ) -> Entity:
        """Return `entity` with the updates; refused values become findings."""
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
