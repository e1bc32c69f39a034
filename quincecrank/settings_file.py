"""Loads YAML settings files and reports every mistake with its line and column.

The text is parsed once into a node tree.  The tree yields the value that pydantic
validates, and the line and column of each dotted path.
"""

import json
import pathlib
import typing
from collections.abc import Iterator
from typing import Any, Final, TypeVar

import expression
import pydantic
import yaml

from quincecrank import configuration, findings, messages

Model = TypeVar("Model", bound=configuration.FrozenModel)

BASE_DIRECTORY_KEY: Final = "directory"
"""Key of the validation context: base directory of relative file names."""

KeyPath = tuple[str, ...]
"""Keys from the root of a YAML document to a value."""


class _Places:
    """Lines and columns of a YAML document's values by path.

    Parameters
    ----------
    source : str
        Name of the file in findings.
    """

    def __init__(self, source: str) -> None:
        self._source = source
        self._marks_by_path: dict[KeyPath, yaml.Mark] = {}

    def record(self, path: KeyPath, mark: yaml.Mark) -> None:
        """Record the position of `path`."""
        self._marks_by_path[path] = mark

    def find(self, path: KeyPath) -> findings.Place:
        """Return the place of `path`, or else of its nearest recorded parent."""
        recorded = path
        while recorded and recorded not in self._marks_by_path:
            recorded = recorded[:-1]
        field = ".".join(path)
        mark = self._marks_by_path.get(recorded)
        if mark is None:
            return findings.Place(self._source, 1, 1, field)
        return findings.Place(self._source, mark.line + 1, mark.column + 1, field)


def load(
    path: str | pathlib.Path, model: type[Model]
) -> expression.Result[Model, findings.Findings]:
    """Load and check a settings file.

    Parameters
    ----------
    path : str or Path
        The YAML file.
    model : type
        The settings model that the file must match.

    Returns
    -------
    Result
        The settings, or every finding in the order of the file.
    """
    file = pathlib.Path(path)
    found = findings.Findings()
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        found.add(findings.Place(str(file)), f"cannot read the file: {error}")
        return expression.Error(found)
    return check(text, str(file), file.parent, model)


def check(
    text: str, source: str, directory: pathlib.Path, model: type[Model]
) -> expression.Result[Model, findings.Findings]:
    """Check settings given as text; relative file names start at `directory`."""
    found = findings.Findings()
    places = _Places(source)
    try:
        value = _parse(text, places, found)
    except yaml.MarkedYAMLError as error:
        found.add(_mark_place(source, error), error.problem or "not valid YAML")
        return expression.Error(found)
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        found.add(findings.Place(source, 1, 1), f"not valid YAML: {error}")
        return expression.Error(found)
    if not isinstance(value, dict):
        found.add(findings.Place(source, 1, 1), "expected a mapping of settings")
        return expression.Error(found)
    try:
        settings = model.model_validate_json(
            json.dumps(value, default=str),
            strict=True,
            context={BASE_DIRECTORY_KEY: directory},
        )
    except pydantic.ValidationError as error:
        _add_errors(error, model, places, found)
        return expression.Error(_sorted(found))
    if found:
        return expression.Error(_sorted(found))
    return expression.Ok(settings)


def _parse(text: str, places: _Places, found: findings.Findings) -> object:
    loader = yaml.SafeLoader(text)
    try:
        node = loader.get_single_node()
        if node is None:
            return None
        _record_places(node, (), places, found)
        return loader.construct_document(node)
    finally:
        loader.dispose()


def _record_places(
    node: yaml.Node, path: KeyPath, places: _Places, found: findings.Findings
) -> None:
    """Record the places of all values in `node` and report duplicate keys."""
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            item_path = (*path, str(index))
            places.record(item_path, item.start_mark)
            _record_places(item, item_path, places, found)
    if not isinstance(node, yaml.MappingNode):
        return
    seen: set[str] = set()
    for key, item in node.value:
        name = str(key.value)
        item_path = (*path, name)
        if name in seen:
            places.record(item_path, key.start_mark)
            found.add(places.find(item_path), "duplicate key")
        seen.add(name)
        places.record(item_path, key.start_mark)
        _record_places(item, item_path, places, found)


def _mark_place(source: str, error: yaml.MarkedYAMLError) -> findings.Place:
    mark = error.problem_mark or error.context_mark
    if mark is None:
        return findings.Place(source, 1, 1)
    return findings.Place(source, mark.line + 1, mark.column + 1)


def _add_errors(
    error: pydantic.ValidationError,
    model: type[pydantic.BaseModel],
    places: _Places,
    found: findings.Findings,
) -> None:
    """Add a finding for each validation error, reworded for settings files."""
    items = error.errors(include_url=False)
    for item in items:
        path = tuple(str(part) for part in item["loc"])
        message = item["msg"].removeprefix("Value error, ")
        if item["type"] == "too_short":
            # pydantic does not count invalid items and so reports a list of only
            # invalid items as too short, too; that error is skipped.
            if any(_is_nested(item["loc"], other["loc"]) for other in items):
                continue
            message = "expected at least one item"
        if item["type"] == "missing":
            message = "required setting is missing"
        if item["type"] == "extra_forbidden":
            message = _unknown_key(path[-1], model)
        found.add(places.find(path), message)


def _is_nested(outer: tuple[int | str, ...], inner: tuple[int | str, ...]) -> bool:
    return len(inner) > len(outer) and inner[: len(outer)] == outer


def _unknown_key(name: str, model: type[pydantic.BaseModel]) -> str:
    return f"unknown key{messages.suggestion(name, _field_names(model))}"


def _field_names(annotation: Any) -> Iterator[str]:
    """Yield the field names of all models in an annotation, recursively."""
    for argument in typing.get_args(annotation):
        yield from _field_names(argument)
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        for name, field in annotation.model_fields.items():
            yield name
            yield from _field_names(field.annotation)


def _sorted(found: findings.Findings) -> findings.Findings:
    ordered = findings.Findings()
    in_file_order = sorted(
        found.all(), key=lambda item: (item.place.line, item.place.column)
    )
    for item in in_file_order:
        ordered.add(item.place, item.message)
    return ordered
