"""Fields that commands may set on each kind of entity, and how they are parsed."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Final

from quincecrank import command_model, command_values, configuration, findings, messages

Scalar = str | int | float | bool


@dataclasses.dataclass(frozen=True)
class Field:
    """One settable field of an entity.

    Attributes
    ----------
    path : tuple of str
        Attribute names that lead from the entity to the value.
    parse : callable
        Parses one word; raises `ValueError` if the word is invalid.
    example : str
        Example value, shown in the help.
    is_list : bool
        Whether the value is a list of words.
    model_only : bool
        Whether only model deployments have the field.
    """

    path: tuple[str, ...]
    parse: Callable[[str], Scalar]
    example: str
    is_list: bool = False
    model_only: bool = False


@dataclasses.dataclass(frozen=True)
class Update:
    """A parsed assignment with its place in the text."""

    field: Field
    value: Scalar | tuple[Scalar, ...]
    place: findings.Place


ACCOUNT_FIELDS_BY_NAME: Final[Mapping[str, Field]] = {
    "share": Field(("share",), command_values.number, "2.5"),
    "max-concurrent": Field(("max_concurrent",), command_values.whole_number, "16"),
}

DEPLOYMENT_FIELDS_BY_NAME: Final[Mapping[str, Field]] = {
    "max-concurrent": Field(("max_concurrent",), command_values.whole_number, "16"),
    "max-tokens": Field(
        ("max_tokens",), command_values.whole_number, "512", model_only=True
    ),
    "deadline": Field(("deadline_ms",), command_values.duration, "30s"),
    "lateness": Field(
        ("lateness",), command_values.choice(configuration.Lateness), "late-is-worse"
    ),
    "tokenizer": Field(("tokenizer",), command_values.name, "utf8-4", model_only=True),
    "checks-fencing": Field(("checks_fencing",), command_values.yes_or_no, "yes"),
    "weights.first-token": Field(
        ("weights", "first_token"), command_values.number, "1", model_only=True
    ),
    "weights.recomputed": Field(
        ("weights", "recomputed"), command_values.number, "0.5", model_only=True
    ),
    "weights.link": Field(
        ("weights", "link"), command_values.number, "0.5", model_only=True
    ),
}

NEW_TIER_FIELDS_BY_NAME: Final[Mapping[str, Field]] = {
    "kind": Field(("kind",), command_values.choice(configuration.TierKind), "memory"),
    "link": Field(("link_bytes_per_second",), command_values.rate, "200MB/s"),
    "capacity": Field(("capacity_bytes",), command_values.size, "4GiB"),
    "stores": Field(("stores",), command_values.name, "(VM, VM)", is_list=True),
}

TIER_FIELDS_BY_NAME: Final[Mapping[str, Field]] = {
    name: field for name, field in NEW_TIER_FIELDS_BY_NAME.items() if name != "kind"
}


def parse_updates(
    assignments: tuple[command_model.Assignment, ...],
    fields_by_name: Mapping[str, Field],
    found: findings.Findings,
) -> tuple[Update, ...]:
    """Return the updates of the valid assignments.

    Each unknown or repeated field and each invalid value adds a finding.
    """
    updates: list[Update] = []
    seen: set[str] = set()
    for assignment in assignments:
        name = assignment.field.text
        place = assignment.field.place
        if name in seen:
            found.add(place, f"field {name!r} is given twice")
        seen.add(name)
        field = fields_by_name.get(name)
        if field is None:
            found.add(place, messages.unknown("field", name, fields_by_name))
            continue
        update = _parse_update(assignment, field, found)
        if update is not None:
            updates.append(update)
    return tuple(updates)


def _parse_update(
    assignment: command_model.Assignment, field: Field, found: findings.Findings
) -> Update | None:
    values: list[Scalar] = []
    for word in assignment.values:
        try:
            value = field.parse(word.text)
        except ValueError as error:
            found.add(word.place, str(error))
            continue
        if value in values:
            found.add(word.place, f"{word.text!r} is given twice")
        values.append(value)
    place = assignment.values[0].place
    if len(values) < len(assignment.values):
        return None
    if field.is_list:
        return Update(field, tuple(values), place)
    if len(values) != 1:
        found.add(place, f"field {assignment.field.text!r} takes one value")
        return None
    return Update(field, values[0], place)
