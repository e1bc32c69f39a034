"""Datagrams between gateways: typed messages and their Cap'n Proto encoding."""

import dataclasses
import math
import pathlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, TypeVar

import capnp

from quincecrank import checked_values, crash_counts, ids, store_rows
from quincecrank.gateway import (
    change_delivery,
    cold_servers,
    crash_findings,
    datagram_unpacking,
    decision_log,
    deployment,
    engine_weight_updates,
    failed_request_records,
    lease_handover,
    loads,
    packed_figures,
    permit_pacer,
    rate_limits,
    send_permits,
    server_health,
    server_liveness,
    servers,
    service_times,
    shared_demand,
    stream_versions,
    tables,
    weights,
)

capnp.remove_import_hook()
_SCHEMA: Final[Any] = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))


class MessageError(Exception):
    """A datagram that can't be decoded as a message of a gateway."""


_Part = TypeVar("_Part")

_LOG: Final = decision_log.logger("peers")

_NO_AGE: Final = 0xFFFFFFFF
"""Encodes the missing age of a table; the largest value of the field."""

FIRST_SEGMENT_WORDS: Final = 16 * 1024
"""Words of 8 bytes in the first segment of a message that may be long.  Datagrams have
one segment then, so that peers don't unpack them, which takes milliseconds."""


TableState = packed_figures.TableState


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash record, with the time since the crash instead of a time.

    Attributes
    ----------
    was_cleared : bool
        Whether an equal request was answered since; of earlier releases only.
    """

    request: crash_counts.CrashKey
    server: str
    age_ms: int
    ran_ms: int
    parts: tuple[crash_findings.SuspectKey, ...] = ()
    was_cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedAnswer:
    """A suspect of crashes that was answered `age_ms` ago."""

    key: crash_findings.SuspectKey
    age_ms: int


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
    crashes : tuple of ReportedCrash
        Requests that ran at servers when these crashed.
    answered : tuple of ReportedAnswer
        Suspects of crashes that were answered.
    findings : tuple of Finding
        What is rejected because it crashes servers, ended findings included.
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
    limit_states : tuple of LimitState
        Rate limits of backend servers, ended ones included.
    issuer_reports : tuple of IssuerReport
        Issuers of the limited servers, as the gateway sees them.
    permit_asks : tuple of Ask
        What the gateway asks of the issuers.
    issues_permits : bool
        Whether the gateway shares rate limits by permits.
    stream_records : tuple of Record
        Software versions of streams that began at the gateway.
    refused : tuple of Incarnation
        Backend servers that refused a connection of the gateway; for peers of earlier
        releases.
    liveness : tuple of Evidence
        Evidence of the gateway that servers have ended or live.
    takes_changes : bool
        Whether the gateway takes changes of tables.
    configuration_version : int or None
        Version of the configuration in force; None for none.
    configuration_age_ms : int or None
        Time since the first gateway had that version, if it is known.
    is_late : bool
        Whether the gateway's event loop runs late.
    cold_states : tuple of ColdState
        Backend servers that are cold or were so lately.
    takes_packed_figures : bool
        Whether the gateway decodes packed figures.
    handover : Handover or None
        Terms of the order lease that have ended at the gateway.
    demand : bytes
        Demand for engines at the gateway, see `shared_demand`; empty if it does not
        share admission.
    """

    vm: ids.VmName
    is_leaving: bool
    states: tuple[TableState, ...]
    load_by_server: Mapping[servers.ServerId, loads.Load]
    crashes: tuple[ReportedCrash, ...] = ()
    answered: tuple[ReportedAnswer, ...] = ()
    findings: tuple[crash_findings.Finding, ...] = ()
    weight_updates: tuple[engine_weight_updates.WeightUpdate, ...] = ()
    target_weights: tuple[weights.TargetWeights, ...] = ()
    times_by_service: Mapping[str, service_times.Times] = dataclasses.field(
        default_factory=dict
    )
    leaving: tuple[servers.Incarnation, ...] = ()
    pauses: tuple[server_health.PeerPause, ...] = ()
    failed_requests: tuple[failed_request_records.FailedRequest, ...] = ()
    limit_states: tuple[rate_limits.LimitState, ...] = ()
    issuer_reports: tuple[send_permits.IssuerReport, ...] = ()
    permit_asks: tuple[permit_pacer.Ask, ...] = ()
    issues_permits: bool = True
    stream_records: tuple[stream_versions.Record, ...] = ()
    refused: tuple[servers.Incarnation, ...] = ()
    liveness: tuple[server_liveness.Evidence, ...] = ()
    takes_changes: bool = True
    configuration_version: int | None = None
    configuration_age_ms: int | None = None
    is_late: bool = False
    cold_states: tuple[cold_servers.ColdState, ...] = ()
    takes_packed_figures: bool = True
    handover: lease_handover.Handover | None = None
    demand: bytes = b""

    @property
    def has_other_parts(self) -> bool:
        """Whether it has parts beside those of `packed_figures`."""
        return any(
            (
                self.crashes,
                self.answered,
                self.findings,
                self.weight_updates,
                self.times_by_service,
                self.leaving,
                self.pauses,
                self.limit_states,
                self.permit_asks,
                self.stream_records,
                self.refused,
                self.liveness,
                self.cold_states,
                self.handover,
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TableChange:
    """A change of a table, and the time since the first gateway had it."""

    change: change_delivery.Change
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadChange:
    """The total load that one gateway now puts on one backend server."""

    vm: ids.VmName
    server_id: servers.ServerId
    load: loads.Load


def _new_datagram() -> Any:
    return _SCHEMA.Datagram.new_message(FIRST_SEGMENT_WORDS)


def encode_packed(report: Report) -> bytes:
    """Return the datagram of a report for peers that take packed figures."""
    message = _new_datagram()
    if report.has_other_parts:
        plain = dataclasses.replace(
            report, states=(), load_by_server={}, target_weights=(), failed_requests=()
        )
        message.report = _report_message(plain)
    else:
        message.report = _SCHEMA.Report.new_message(
            vm=report.vm,
            issuesPermits=report.issues_permits,
            takesChanges=report.takes_changes,
            takesPackedFigures=report.takes_packed_figures,
            sharedDemand=report.demand,
        )
    message.report.packedFigures = packed_figures.pack(
        packed_figures.Figures(
            report.states,
            report.load_by_server,
            report.target_weights,
            report.failed_requests,
            report.is_leaving,
            report.is_late,
            report.configuration_version,
            report.configuration_age_ms,
            report.has_other_parts,
        )
    )
    return bytes(message.to_bytes_packed())


def encode(report: Report) -> bytes:
    """Return the datagram of a report, for peers of any release."""
    message = _new_datagram()
    message.report = _report_message(report)
    return bytes(message.to_bytes_packed())


def _report_message(report: Report) -> Any:
    return _SCHEMA.Report.new_message(
        vm=report.vm,
        isLeaving=report.is_leaving,
        tables=[_state_fields(state) for state in report.states],
        loads=[
            _load_fields(server, load) for server, load in report.load_by_server.items()
        ],
        crashes=[_crash_fields(each) for each in report.crashes],
        answered=[
            {"key": each.key, "ageMs": min(each.age_ms, _NO_AGE)}
            for each in report.answered
        ],
        findings=[_finding_fields(each) for each in report.findings],
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
                "ageMs": (
                    _NO_AGE if target.age_ms is None else min(target.age_ms, _NO_AGE)
                ),
            }
            for target in report.target_weights
        ],
        times=[
            _times_fields(service, times)
            for service, times in report.times_by_service.items()
        ],
        leaving=[_incarnation_fields(each) for each in report.leaving],
        refused=[_incarnation_fields(each) for each in report.refused],
        liveness=[
            {
                "server": _incarnation_fields(each.incarnation),
                "refusedAgeMs": _encoded_age_ms(each.refused_age_ms),
                "aliveAgeMs": _encoded_age_ms(each.alive_age_ms),
            }
            for each in report.liveness
        ],
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
        rateLimits=_rate_limit_fields(report),
        permitAsks=[_ask_fields(each) for each in report.permit_asks],
        issuesPermits=report.issues_permits,
        streams=[
            {
                "service": group.service,
                "softwareVersion": group.version,
                "keys": group.keys,
            }
            for group in stream_versions.grouped(report.stream_records)
        ],
        takesChanges=report.takes_changes,
        configurationVersion=max(0, report.configuration_version or 0),
        configurationAgeMs=_encoded_age_ms(report.configuration_age_ms),
        isLate=report.is_late,
        coldServers=_cold_server_fields(report),
        takesPackedFigures=report.takes_packed_figures,
        leaseHandover=_handover_fields(report.handover),
        sharedDemand=report.demand,
    )


def encode_change(change: LoadChange) -> bytes:
    """Return the datagram of a change of load."""
    message = _SCHEMA.Datagram.new_message()
    message.loadChange = _SCHEMA.LoadChange.new_message(
        vm=change.vm, load=_load_fields(change.server_id, change.load)
    )
    return bytes(message.to_bytes_packed())


def encode_permits(permits: send_permits.PermitMessage) -> bytes:
    """Return the datagram of asks and grants."""
    message = _SCHEMA.Datagram.new_message()
    message.permits = _SCHEMA.Permits.new_message(
        vm=permits.vm,
        asks=[_ask_fields(each) for each in permits.asks],
        grants=[
            {
                "server": _incarnation_fields(each.incarnation),
                "count": each.count,
                "askedMs": each.asked_ms,
                "number": each.number,
                "isTrial": each.is_trial,
            }
            for each in permits.grants
        ],
    )
    return bytes(message.to_bytes_packed())


def encode_table_change(table_change: TableChange) -> bytes:
    """Return the datagram of a change of a table."""
    change = table_change.change
    message = _new_datagram()
    message.tableChange = _SCHEMA.TableChange.new_message(
        table=change.table.value,
        era=change.position.era,
        previousVersion=change.previous.version,
        version=change.position.version,
        ageMs=min(max(0, table_change.age_ms), _NO_AGE),
        rows=[
            {
                "key": row.key.encode(errors="surrogatepass"),
                "version": row.position.version,
                "isRemoved": row.is_removed,
                "hasBase": row.base is not None,
                "baseVersion": 0 if row.base is None else row.base.version,
                "content": row.content,
            }
            for row in change.rows
        ],
    )
    return bytes(message.to_bytes_packed())


Message = Report | LoadChange | TableChange | send_permits.PermitMessage


def decode(datagram: bytes) -> Message:
    """Return the message of a datagram.

    Raises
    ------
    MessageError
        If it can't be decoded.
    """
    try:
        if not datagram_unpacking.has_several_segments(datagram):
            return _decoded(_SCHEMA.Datagram.from_bytes_packed(datagram))
        unpacked = datagram_unpacking.unpack(datagram)
        with _SCHEMA.Datagram.from_bytes(unpacked) as message:
            return _decoded(message)
    except (capnp.KjException, ValueError) as error:
        raise MessageError(str(error)) from error


def _decoded(message: Any) -> Message:
    if message.which() == "loadChange":
        return _load_change(message.loadChange)
    if message.which() == "permits":
        return _permits(message.permits)
    if message.which() == "tableChange":
        return _table_change(message.tableChange)
    return _report(message.report)


def _table_change(message: Any) -> TableChange:
    era = checked_values.count(message.era, store_rows.MAX_ERA)
    change = change_delivery.Change(
        tables.TableName(message.table),
        store_rows.Position(era, checked_values.count(message.previousVersion)),
        store_rows.Position(era, checked_values.count(message.version)),
        tuple(
            change_delivery.ChangedRow(
                bytes(row.key).decode(errors="surrogatepass"),
                store_rows.Position(era, checked_values.count(row.version)),
                row.isRemoved,
                store_rows.Position(era, checked_values.count(row.baseVersion))
                if row.hasBase
                else None,
                bytes(row.content),
            )
            for row in message.rows
        ),
    )
    return TableChange(change, message.ageMs)


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


def _load_fields(server_id: servers.ServerId, load: loads.Load) -> dict[str, Any]:
    return {
        "server": server_id,
        "requests": min(load.requests, checked_values.MAX_UINT32),
        "memoryTokens": min(load.memory_tokens, checked_values.MAX_UINT32),
        "prefillTokens": min(load.backlog_tokens, checked_values.MAX_UINT32),
    }


def _crash_fields(crash: ReportedCrash) -> dict[str, Any]:
    return {
        "account": crash.request.account,
        "digest": crash.request.digest,
        # Earlier releases identify records by this text.
        "attempt": f"{crash.request.digest.hex()}@{crash.server}",
        "cleared": crash.was_cleared,
        "server": crash.server,
        "ageMs": min(crash.age_ms, _NO_AGE),
        "ranMs": min(crash.ran_ms, _NO_AGE),
        "parts": list(crash.parts),
    }


def _crash(message: Any) -> ReportedCrash:
    request = crash_counts.CrashKey(
        ids.AccountName(message.account), bytes(message.digest)
    )
    checked_values.name(
        crash_findings.request_key(request), crash_findings.MAX_KEY_BYTES
    )
    return ReportedCrash(
        request,
        # Earlier releases omit the server of some records.
        message.server or message.attempt,
        message.ageMs,
        message.ranMs,
        tuple(
            crash_findings.SuspectKey(
                checked_values.name(each, crash_findings.MAX_KEY_BYTES)
            )
            for each in message.parts
        ),
        message.cleared,
    )


def _finding_fields(finding: crash_findings.Finding) -> dict[str, Any]:
    return {
        "key": finding.scope.key,
        "account": finding.scope.account or "",
        "revision": finding.revision,
        "hasEnded": finding.has_ended,
        "retests": finding.retests,
        "ageMs": min(finding.age_ms, _NO_AGE),
        "servers": list(finding.servers),
    }


def _finding(message: Any) -> crash_findings.Finding:
    account = ids.AccountName(message.account) if message.account else None
    finding = crash_findings.Finding(
        crash_findings.Scope(crash_findings.SuspectKey(message.key), account),
        message.revision,
        message.hasEnded,
        message.retests,
        message.ageMs,
        tuple(message.servers),
    )
    return crash_findings.checked_finding(finding)


def _incarnation_fields(incarnation: servers.Incarnation) -> dict[str, Any]:
    return {
        "server": incarnation.server_id,
        "startedWallMs": incarnation.started_wall_ms,
    }


def _incarnation(message: Any) -> servers.Incarnation:
    return servers.Incarnation(servers.ServerId(message.server), message.startedWallMs)


def _rate_limit_fields(report: Report) -> list[dict[str, Any]]:
    issuer_reports = _issuer_report_by_incarnation(report)
    return [
        {
            "server": _incarnation_fields(state.incarnation),
            "perSecond": state.per_second or 0.0,
            "hasEnded": state.per_second is None,
            "revision": state.revision,
            "answerAgeMs": min(state.answer_age_ms, _NO_AGE),
            **_issuer_fields(issuer_reports.get(state.incarnation)),
        }
        for state in report.limit_states
    ]


def _cold_server_fields(report: Report) -> list[dict[str, Any]]:
    issuer_reports = _issuer_report_by_incarnation(report)
    return [
        {
            "server": _incarnation_fields(state.incarnation),
            "reportNumber": state.report_number,
            "isPresumed": state.is_presumed,
            "remainingMs": min(state.remaining_ms, _NO_AGE),
            **_issuer_fields(issuer_reports.get(state.incarnation)),
        }
        for state in report.cold_states
    ]


def _cold_state(message: Any) -> cold_servers.ColdState:
    return cold_servers.ColdState(
        _incarnation(message.server),
        checked_values.count(message.reportNumber),
        message.isPresumed,
        message.remainingMs,
    )


def _handover_fields(handover: lease_handover.Handover | None) -> dict[str, Any]:
    if handover is None:
        return {}
    return {
        "terms": list(handover.terms),
        "position": handover.position.number,
        "orders": [
            {"server": each.server_id, "ageMs": min(each.age_ms, _NO_AGE)}
            for each in handover.orders
        ],
    }


def _handover(message: Any) -> lease_handover.Handover | None:
    if not len(message.terms):
        return None
    return lease_handover.Handover(
        tuple(lease_handover.TermId(each) for each in message.terms),
        store_rows.Position.from_number(checked_values.count(message.position)),
        tuple(
            lease_handover.EngineOrder(servers.ServerId(each.server), each.ageMs)
            for each in message.orders
        ),
    )


def _issuer_report_by_incarnation(
    report: Report,
) -> dict[servers.Incarnation, send_permits.IssuerReport]:
    return {each.incarnation: each for each in report.issuer_reports}


def _issuer_fields(issuer_report: send_permits.IssuerReport | None) -> dict[str, Any]:
    """Return the fields of the reporting gateway's view of an issuer."""
    if issuer_report is None:
        return {"issuer": "", "waitMs": _NO_AGE}
    wait_ms = issuer_report.wait_ms
    return {
        "issuer": issuer_report.issuer or "",
        "waitMs": _NO_AGE if wait_ms is None else wait_ms,
    }


def _limit_state(message: Any) -> rate_limits.LimitState:
    per_second = None if message.hasEnded else message.perSecond
    if per_second is not None and not 0 <= per_second < math.inf:
        raise ValueError(f"no rate limit can be {per_second}")
    return rate_limits.LimitState(
        _incarnation(message.server),
        per_second,
        message.revision,
        message.answerAgeMs,
    )


def _issuer_report(message: Any) -> send_permits.IssuerReport:
    return send_permits.IssuerReport(
        _incarnation(message.server),
        ids.VmName(message.issuer) if message.issuer else None,
        None if message.waitMs == _NO_AGE else message.waitMs,
    )


def _ask_fields(ask: permit_pacer.Ask) -> dict[str, Any]:
    return {
        "server": _incarnation_fields(ask.incarnation),
        "wanted": min(ask.wanted, checked_values.MAX_UINT16),
        "rank": max(0, min(ask.rank, checked_values.MAX_UINT16)),
        "waitedMs": min(ask.waited_ms, _NO_AGE),
        "askedMs": ask.asked_ms,
        "returned": min(ask.returned, checked_values.MAX_UINT16),
    }


def _ask(message: Any) -> permit_pacer.Ask:
    return permit_pacer.Ask(
        _incarnation(message.server),
        message.wanted,
        message.rank,
        message.waitedMs,
        message.askedMs,
        message.returned,
    )


def _permits(message: Any) -> send_permits.PermitMessage:
    return send_permits.PermitMessage(
        ids.VmName(message.vm),
        tuple(_ask(each) for each in message.asks),
        tuple(
            send_permits.Grant(
                _incarnation(each.server),
                each.count,
                each.askedMs,
                each.number,
                each.isTrial,
            )
            for each in message.grants
        ),
    )


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


def _times(message: Any) -> tuple[str, service_times.Times]:
    times = service_times.Times(
        base_ms=message.baseMs,
        token_ms=message.tokenMs,
        backlog_token_ms=message.backlogTokenMs,
        running_ms=message.runningMs,
        transfer_ratio=message.transferShare,
        spread_ms=message.spreadMs,
        answers=message.answers,
    )
    for number in dataclasses.astuple(times):
        if not 0 <= number < math.inf:
            raise ValueError(f"no service time can be {number}")
    return checked_values.name(message.service), times


def _load(message: Any) -> loads.Load:
    return loads.Load(message.requests, message.memoryTokens, message.prefillTokens)


def _load_change(message: Any) -> LoadChange:
    return LoadChange(
        ids.VmName(message.vm),
        servers.ServerId(message.load.server),
        _load(message.load),
    )


def _weight_update(message: Any) -> engine_weight_updates.WeightUpdate:
    return engine_weight_updates.WeightUpdate(
        servers.ServerId(checked_values.token(message.server)),
        message.startedWallMs,
        deployment.ModelName(checked_values.name(message.model)),
        message.version,
        message.isLoaded,
    )


def _target_weights(message: Any) -> weights.TargetWeights:
    model = deployment.ModelName(checked_values.name(message.model))
    age_ms = None if message.ageMs == _NO_AGE else message.ageMs
    return weights.TargetWeights(model, message.version, age_ms)


def _stream_records(message: Any) -> tuple[stream_versions.Record, ...]:
    return stream_versions.RecordGroup(
        deployment.ServiceName(checked_values.name(message.service)),
        servers.SoftwareVersion(checked_values.name(message.softwareVersion)),
        bytes(message.keys),
    ).records()


def _accepted(
    decode_part: Callable[[Any], _Part], messages: Iterable[Any]
) -> tuple[_Part, ...]:
    """Return the decoded parts of a report; one that this fails for is left out."""
    accepted = []
    for each in messages:
        try:
            accepted.append(decode_part(each))
        except ValueError as error:
            _LOG.warning(
                "invalid part of a report ignored",
                kind=decode_part.__name__,
                error=str(error),
            )
    return tuple(accepted)


def _encoded_age_ms(age_ms: int | None) -> int:
    return _NO_AGE if age_ms is None else min(age_ms, _NO_AGE - 1)


def _decoded_age_ms(age_ms: int) -> int | None:
    return None if age_ms == _NO_AGE else age_ms


def _report(message: Any) -> Report:
    packed = bytes(message.packedFigures)
    if not packed:
        return _plain_report(message)
    figures = packed_figures.unpack(packed)
    if not figures.has_other_parts:
        return Report(
            ids.VmName(checked_values.name(message.vm)),
            figures.is_leaving,
            figures.states,
            figures.load_by_server,
            target_weights=figures.target_weights,
            failed_requests=figures.failed_requests,
            issues_permits=message.issuesPermits,
            takes_changes=message.takesChanges,
            configuration_version=figures.configuration_version,
            configuration_age_ms=figures.configuration_age_ms,
            is_late=figures.is_late,
            takes_packed_figures=message.takesPackedFigures,
            demand=_demand(message.sharedDemand),
        )
    return dataclasses.replace(
        _plain_report(message),
        states=figures.states,
        load_by_server=figures.load_by_server,
        target_weights=figures.target_weights,
        failed_requests=figures.failed_requests,
        is_leaving=figures.is_leaving,
        is_late=figures.is_late,
        configuration_version=figures.configuration_version,
        configuration_age_ms=figures.configuration_age_ms,
    )


def _plain_report(message: Any) -> Report:
    return Report(
        vm=ids.VmName(checked_values.name(message.vm)),
        is_leaving=message.isLeaving,
        states=tuple(
            TableState(
                tables.TableName(each.name),
                packed_figures.position_of(each.newsEra, each.newsVersion),
                None if each.ageMs == _NO_AGE else each.ageMs,
            )
            for each in message.tables
        ),
        load_by_server={
            servers.ServerId(each.server): _load(each) for each in message.loads
        },
        crashes=_accepted(_crash, message.crashes),
        answered=tuple(
            ReportedAnswer(crash_findings.SuspectKey(each.key), each.ageMs)
            for each in message.answered
        ),
        findings=_accepted(_finding, message.findings),
        weight_updates=_accepted(_weight_update, message.weightNews),
        target_weights=_accepted(_target_weights, message.named),
        times_by_service=dict(_accepted(_times, message.times)),
        leaving=tuple(_incarnation(each) for each in message.leaving),
        refused=tuple(_incarnation(each) for each in message.refused),
        liveness=tuple(
            server_liveness.Evidence(
                _incarnation(each.server),
                _decoded_age_ms(each.refusedAgeMs),
                _decoded_age_ms(each.aliveAgeMs),
            )
            for each in message.liveness
        ),
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
        limit_states=tuple(_limit_state(each) for each in message.rateLimits),
        issuer_reports=tuple(
            _issuer_report(each)
            for each in (
                *(each for each in message.rateLimits if not each.hasEnded),
                *(each for each in message.coldServers if each.remainingMs),
            )
        ),
        permit_asks=tuple(_ask(each) for each in message.permitAsks),
        issues_permits=message.issuesPermits,
        stream_records=tuple(
            record
            for records in _accepted(_stream_records, message.streams)
            for record in records
        ),
        takes_changes=message.takesChanges,
        configuration_version=checked_values.count(message.configurationVersion)
        or None,
        configuration_age_ms=_decoded_age_ms(message.configurationAgeMs),
        is_late=message.isLate,
        cold_states=tuple(_cold_state(each) for each in message.coldServers),
        takes_packed_figures=message.takesPackedFigures,
        handover=_handover(message.leaseHandover),
        demand=_demand(message.sharedDemand),
    )


def _demand(packed: bytes) -> bytes:
    try:
        return shared_demand.checked(bytes(packed))
    except ValueError as error:
        _LOG.warning(
            "invalid part of a report ignored", kind="demand", error=str(error)
        )
        return b""
