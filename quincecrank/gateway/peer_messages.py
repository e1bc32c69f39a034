"""Datagrams between gateways: typed messages and their Cap'n Proto encoding."""

import dataclasses
import pathlib
from collections.abc import Mapping
from typing import Any, Final

import capnp

from quincecrank import crash_counts, ids, store_rows
from quincecrank.gateway import (
    deployment,
    engine_weight_updates,
    failed_request_records,
    loads,
    server_health,
    servers,
    service_times,
    tables,
    weights,
)

capnp.remove_import_hook()
_SCHEMA: Final[Any] = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))


class MessageError(Exception):
    """A datagram that can't be decoded as a message of a gateway."""


_NO_AGE: Final = 0xFFFFFFFF
"""Encodes the missing age of a table; the largest value of the field."""


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
class Report:
    """State that a gateway sends to its peers at short intervals.

    Attributes
    ----------
    is_leaving : bool
        Whether the gateway is shutting down.
    states : tuple of TableState
        State of each table of the store.
    load_by_server : mapping of ServerId to Load
        Load that this gateway alone puts on each backend server.
    crashes : tuple of CrashRecord
        Crash suspicions and crashes, by request.
    weight_updates : tuple of WeightUpdate
        Changes of the weights of engines.
    target_weights : tuple of TargetWeights
        Target versions of weights, with the time since they were set.
    times_by_service : mapping of str to Times
        Learned service times; empty in most reports.
    leaving : tuple of Incarnation
        Backend servers that are shutting down.
    pauses : tuple of PeerPause
        Pauses that backend servers have asked for.
    failed_requests : tuple of FailedRequest
        Rejected requests, with the time since their first attempt.
    """

    vm: ids.VmName
    is_leaving: bool
    states: tuple[TableState, ...]
    load_by_server: Mapping[servers.ServerId, loads.Load]
    crashes: tuple[crash_counts.CrashRecord, ...] = ()
    weight_updates: tuple[engine_weight_updates.WeightUpdate, ...] = ()
    target_weights: tuple[weights.TargetWeights, ...] = ()
    times_by_service: Mapping[str, service_times.Times] = dataclasses.field(
        default_factory=dict
    )
    leaving: tuple[servers.Incarnation, ...] = ()
    pauses: tuple[server_health.PeerPause, ...] = ()
    failed_requests: tuple[failed_request_records.FailedRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadChange:
    """The total load that one gateway now puts on one backend server."""

    vm: ids.VmName
    server_id: servers.ServerId
    load: loads.Load


def encode(report: Report) -> bytes:
    """Return the datagram of a report."""
    message = _SCHEMA.Datagram.new_message()
    message.report = _SCHEMA.Report.new_message(
        vm=report.vm,
        isLeaving=report.is_leaving,
        tables=[_state_fields(state) for state in report.states],
        loads=[
            _load_fields(server, load) for server, load in report.load_by_server.items()
        ],
        crashes=[
            {
                "account": crash.request.account,
                "digest": crash.request.digest,
                "attempt": crash.attempt_id,
                "wallMs": crash.wall_ms,
                "cleared": crash.cleared,
                "server": crash.server,
            }
            for crash in report.crashes
        ],
        weightNews=[
            {
                "server": update.server_id,
                "startedWallMs": update.started_wall_ms,
                "model": update.model,
                "version": update.version,
                "isLoaded": update.is_loaded,
            }
            for update in report.weight_updates
        ],
        named=[
            {
                "model": target.model,
                "version": target.version,
                "ageMs": min(target.age_ms, _NO_AGE),
            }
            for target in report.target_weights
        ],
        times=[
            _times_fields(service, times)
            for service, times in report.times_by_service.items()
        ],
        leaving=[_incarnation_fields(each) for each in report.leaving],
        pauses=[
            {
                "server": _incarnation_fields(each.incarnation),
                "leftMs": each.remaining_ms,
            }
            for each in report.pauses
        ],
        turnedAway=[
            {"key": each.key, "ageMs": min(each.age_ms, _NO_AGE)}
            for each in report.failed_requests
        ],
    )
    return bytes(message.to_bytes_packed())


def encode_change(change: LoadChange) -> bytes:
    """Return the datagram of a change of load."""
    message = _SCHEMA.Datagram.new_message()
    message.loadChange = _SCHEMA.LoadChange.new_message(
        vm=change.vm, load=_load_fields(change.server_id, change.load)
    )
    return bytes(message.to_bytes_packed())


def decode(datagram: bytes) -> Report | LoadChange:
    """Return the message of a datagram.

    Raises
    ------
    MessageError
        If it can't be decoded.
    """
    try:
        message = _SCHEMA.Datagram.from_bytes_packed(datagram)
        if message.which() == "loadChange":
            return _load_change(message.loadChange)
        return _report(message.report)
    except (capnp.KjException, ValueError) as error:
        raise MessageError(str(error)) from error


def _state_fields(state: TableState) -> dict[str, Any]:
    position = state.last_change_position
    age_ms = (
        _NO_AGE
        if state.store_answer_age_ms is None
        else min(state.store_answer_age_ms, _NO_AGE - 1)
    )
    return {
        "name": state.table.value,
        "newsVersion": position.version if position is not None else 0,
        "newsEra": position.era if position is not None else 0,
        "ageMs": age_ms,
    }


def _last_change_position(message: Any) -> store_rows.Position | None:
    """Decode a position; return None for version 0 of the first era.

    An empty store has that position, so it stands for no change.
    """
    position = store_rows.Position(message.newsEra, message.newsVersion)
    if position.era > store_rows.MAX_ERA:
        raise ValueError(f"no era can be {position.era}")
    before_any_row = store_rows.Position(store_rows.FIRST_ERA, 0)
    return None if position == before_any_row else position


def _load_fields(server_id: servers.ServerId, load: loads.Load) -> dict[str, Any]:
    return {
        "server": server_id,
        "requests": load.requests,
        "memoryTokens": load.memory_tokens,
        "prefillTokens": load.backlog_tokens,
    }


def _incarnation_fields(incarnation: servers.Incarnation) -> dict[str, Any]:
    return {
        "server": incarnation.server_id,
        "startedWallMs": incarnation.started_wall_ms,
    }


def _incarnation(message: Any) -> servers.Incarnation:
    return servers.Incarnation(servers.ServerId(message.server), message.startedWallMs)


def _times_fields(service: str, times: service_times.Times) -> dict[str, Any]:
    return {
        "service": service,
        "baseMs": times.base_ms,
        "tokenMs": times.token_ms,
        "backlogTokenMs": times.backlog_token_ms,
        "runningMs": times.running_ms,
        "transferShare": times.transfer_ratio,
        "spreadMs": times.spread_ms,
        "answers": times.answers,
    }


def _times(message: Any) -> service_times.Times:
    return service_times.Times(
        base_ms=message.baseMs,
        token_ms=message.tokenMs,
        backlog_token_ms=message.backlogTokenMs,
        running_ms=message.runningMs,
        transfer_ratio=message.transferShare,
        spread_ms=message.spreadMs,
        answers=message.answers,
    )


def _load(message: Any) -> loads.Load:
    return loads.Load(message.requests, message.memoryTokens, message.prefillTokens)


def _load_change(message: Any) -> LoadChange:
    return LoadChange(
        ids.VmName(message.vm),
        servers.ServerId(message.load.server),
        _load(message.load),
    )


def _report(message: Any) -> Report:
    return Report(
        vm=ids.VmName(message.vm),
        is_leaving=message.isLeaving,
        states=tuple(
            TableState(
                tables.TableName(each.name),
                _last_change_position(each),
                None if each.ageMs == _NO_AGE else each.ageMs,
            )
            for each in message.tables
        ),
        load_by_server={
            servers.ServerId(each.server): _load(each) for each in message.loads
        },
        crashes=tuple(
            crash_counts.CrashRecord(
                request=crash_counts.CrashKey(
                    ids.AccountName(each.account), bytes(each.digest)
                ),
                attempt_id=ids.AttemptId(each.attempt),
                wall_ms=each.wallMs,
                cleared=each.cleared,
                server=ids.BackendServerName(each.server),
            )
            for each in message.crashes
        ),
        weight_updates=tuple(
            engine_weight_updates.WeightUpdate(
                servers.ServerId(each.server),
                each.startedWallMs,
                deployment.ModelName(each.model),
                each.version,
                each.isLoaded,
            )
            for each in message.weightNews
        ),
        target_weights=tuple(
            weights.TargetWeights(
                deployment.ModelName(each.model), each.version, each.ageMs
            )
            for each in message.named
        ),
        times_by_service={each.service: _times(each) for each in message.times},
        leaving=tuple(_incarnation(each) for each in message.leaving),
        pauses=tuple(
            server_health.PeerPause(_incarnation(each.server), each.leftMs)
            for each in message.pauses
        ),
        failed_requests=tuple(
            failed_request_records.FailedRequest(
                failed_request_records.RequestKey(each.key), each.ageMs
            )
            for each in message.turnedAway
        ),
    )
