"""Packs the parts of a report that nearly every report has, to decode them fast.

Load pattern: each of some fifty gateways sends a report to each other one three times a
second, and the smallest have a quarter of a core.  Reading a report field by field
takes longer than serving it, as most of its lists are empty.  So loads, table states,
target weights, rejected requests and flags travel as one block of bytes, which also
says whether the report has any other part.

The numbers are little-endian; texts have a byte for their length, or two.
"""

import dataclasses
import struct
from collections.abc import Iterable, Mapping
from typing import Final

from quincecrank import checked_values, store_rows
from quincecrank.gateway import (
    deployment,
    failed_request_records,
    loads,
    servers,
    tables,
    weights,
)

_HEAD: Final = struct.Struct("<BQI")
_COUNT: Final = struct.Struct("<H")
_TABLE: Final = struct.Struct("<BQHI")
_LOAD: Final = struct.Struct("<III")
_TARGET: Final = struct.Struct("<II")
_FAILED: Final = struct.Struct("<QI")

_NO_AGE: Final = 0xFFFFFFFF
"""Encodes a missing age; the largest value of the field."""

_TABLE_BY_CODE: Final = {
    1: tables.TableName.OPERATOR,
    2: tables.TableName.SERVERS,
    3: tables.TableName.MEMBERS,
    4: tables.TableName.STREAMS,
}
_CODE_BY_TABLE: Final = {table: code for code, table in _TABLE_BY_CODE.items()}

_HAS_OTHER_PARTS: Final = 1
_IS_LEAVING: Final = 2
_IS_LATE: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """State of one table of the store at the reporting gateway.

    Attributes
    ----------
    last_change_position : Position or None
        Position at the last significant change or full read; None before the first.
    store_answer_age_ms : int or None
        Time since the store's last answer to that gateway; None without any.
    """

    table: tables.TableName
    last_change_position: store_rows.Position | None
    store_answer_age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The packed parts of a report; see `peer_messages.Report` for the fields.

    Attributes
    ----------
    has_other_parts : bool
        Whether the report has parts that are not packed.
    """

    states: tuple[TableState, ...]
    load_by_server: Mapping[servers.ServerId, loads.Load]
    target_weights: tuple[weights.TargetWeights, ...] = ()
    failed_requests: tuple[failed_request_records.FailedRequest, ...] = ()
    is_leaving: bool = False
    is_late: bool = False
    configuration_version: int | None = None
    configuration_age_ms: int | None = None
    has_other_parts: bool = False


def pack(figures: Figures) -> bytes:
    """Return figures as bytes."""
    flags = (
        _HAS_OTHER_PARTS * figures.has_other_parts
        | _IS_LEAVING * figures.is_leaving
        | _IS_LATE * figures.is_late
    )
    parts = [
        _HEAD.pack(
            flags,
            max(0, figures.configuration_version or 0),
            _packed_age(figures.configuration_age_ms),
        )
    ]
    parts += _packed_list(
        _TABLE.pack(
            _CODE_BY_TABLE[state.table],
            position.version if position is not None else 0,
            position.era if position is not None else 0,
            _packed_age(state.store_answer_age_ms),
        )
        for state in figures.states
        for position in (state.last_change_position,)
    )
    parts += _packed_list(
        _packed_text(server_id)
        + _LOAD.pack(
            min(load.requests, checked_values.MAX_UINT32),
            min(load.memory_tokens, checked_values.MAX_UINT32),
            min(load.backlog_tokens, checked_values.MAX_UINT32),
        )
        for server_id, load in figures.load_by_server.items()
    )
    parts += _packed_list(
        _packed_text(target.model)
        + _TARGET.pack(target.version, _packed_age(target.age_ms))
        for target in figures.target_weights
    )
    parts += _packed_list(
        _FAILED.pack(each.key, min(each.age_ms, _NO_AGE))
        for each in figures.failed_requests
    )
    return b"".join(parts)


def unpack(packed: bytes) -> Figures:
    """Return the figures of packed bytes.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    try:
        return _Reader(packed).figures()
    except (struct.error, IndexError, KeyError) as error:
        raise ValueError(f"packed figures: {error!r}") from error


class _Reader:
    """Reads packed figures from front to back."""

    def __init__(self, packed: bytes) -> None:
        self._packed = packed
        self._offset = 0

    def figures(self) -> Figures:
        flags, version, age_ms = self._numbers(_HEAD)
        states = tuple(self._state() for _ in range(self._count()))
        load_by_server = {
            servers.ServerId(self._text()): loads.Load(*self._numbers(_LOAD))
            for _ in range(self._count())
        }
        targets = tuple(self._target() for _ in range(self._count()))
        failed = tuple(
            failed_request_records.FailedRequest(
                failed_request_records.RequestKey(key), failed_age_ms
            )
            for key, failed_age_ms in (
                self._numbers(_FAILED) for _ in range(self._count())
            )
        )
        return Figures(
            states,
            load_by_server,
            targets,
            failed,
            bool(flags & _IS_LEAVING),
            bool(flags & _IS_LATE),
            checked_values.count(version) or None,
            _unpacked_age(age_ms),
            bool(flags & _HAS_OTHER_PARTS),
        )

    def _numbers(self, form: struct.Struct) -> tuple[int, ...]:
        numbers = form.unpack_from(self._packed, self._offset)
        self._offset += form.size
        return numbers

    def _count(self) -> int:
        return self._numbers(_COUNT)[0]

    def _text(self) -> str:
        start = self._offset + 1
        end = start + self._packed[self._offset]
        if end > len(self._packed):
            raise ValueError("packed figures: a text is cut off")
        self._offset = end
        return self._packed[start:end].decode()

    def _state(self) -> TableState:
        code, version, era, age_ms = self._numbers(_TABLE)
        return TableState(
            _TABLE_BY_CODE[code], position_of(era, version), _unpacked_age(age_ms)
        )

    def _target(self) -> weights.TargetWeights:
        model = deployment.ModelName(checked_values.name(self._text()))
        version, age_ms = self._numbers(_TARGET)
        return weights.TargetWeights(model, version, _unpacked_age(age_ms))


def position_of(era: int, version: int) -> store_rows.Position | None:
    """Return a reported position; None for version 0 of the first era.

    An empty store has that position, so it stands for no change.

    Raises
    ------
    ValueError
        If the era is too high.
    """
    position = store_rows.Position(era, version)
    if position.era > store_rows.MAX_ERA:
        raise ValueError(f"no era can be {position.era}")
    before_any_row = store_rows.Position(store_rows.FIRST_ERA, 0)
    return None if position == before_any_row else position


def _packed_list(items: Iterable[bytes]) -> list[bytes]:
    packed = list(items)
    return [_COUNT.pack(len(packed)), *packed]


def _packed_text(text: str) -> bytes:
    encoded = text.encode()
    return bytes((len(encoded),)) + encoded


def _packed_age(age_ms: int | None) -> int:
    return _NO_AGE if age_ms is None else max(0, min(age_ms, _NO_AGE - 1))


def _unpacked_age(age_ms: int) -> int | None:
    return None if age_ms == _NO_AGE else age_ms
