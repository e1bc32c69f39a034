"""Checks what callers got of gateways that shut down, by the rules of the users.

LOST: beside planned work, the connection of a whole request ends without a complete
answer, either once the request was passed on to a server, or later than `LOSS_SLACK_MS`
after its last byte was sent.  Planned work is a shutdown, until `AFTER_GRACE_MS` after
the grace time; a reload, for requests sent up to `APPLY_MS` after it and cut after it;
and a change of the configuration, if the gateway cuts requests over `CUT_FACTOR` times
as often then as at other times.
CUT: an unrepeatable request that was sent later than `EARLY_MS` after the signal was
passed on and got no complete answer, whatever excuses LOST, unless the server broke
off.  TWICE: an unrepeatable request ran twice.  REFUSED: a request was answered as not
run, and ran.  END: a gateway did not end within the grace time.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Sequence
from typing import Final

from standins import platform_kept_callers as kept_callers

GRACE_MS: Final = 8_000
AFTER_GRACE_MS: Final = 1_000
LATE_GRACE_MS: Final = GRACE_MS * 5 / 6
"""Time after the signal from which a server that is still at work excuses a cut."""

EARLY_MS: Final = 3_000
"""Time after the signal up to which such a request must have been sent."""

LOSS_SLACK_MS: Final = 200
APPLY_MS: Final = 2_000
CUT_FACTOR: Final = 3
USED_SHARE: Final = 0.7
"""Used share of a request's time from which a configuration's change does not count."""

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
CUT_ENDINGS: Final = (kept_callers.Ending.CLOSED, kept_callers.Ending.RESET)


class Act(enum.Enum):
    """What the operator did to a gateway, or to all."""

    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    RELOAD = "SIGHUP"
    STOP = "SIGSTOP"
    CONTINUE = "SIGCONT"
    END = "ended"
    WRITE = "configuration sent"
    ACKNOWLEDGE = "configuration acknowledged"


@dataclasses.dataclass(frozen=True)
class Operation:
    """One act of the operator; `gateway` is empty for a configuration."""

    at_ms: float
    gateway: str
    act: Act


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """What the servers recorded, all together.

    Attributes
    ----------
    arrived_ids : frozenset of str
        Requests that reached a server.
    run_count_by_id : dict
        How often each request ran.
    ended_ms_by_id : dict
        Time at which the last server stopped work on a request.
    broken_ids : frozenset of str
        Requests whose answer a server broke off.
    """

    arrived_ids: frozenset[str] = frozenset()
    run_count_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_ms_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    broken_ids: frozenset[str] = frozenset()


def read_logs(logs: Iterable[str]) -> ServerRecord:
    """Read the logs of the stand-in servers."""
    arrived: list[str] = []
    runs: list[str] = []
    ended_ms_by_id: dict[str, float] = {}
    broken: list[str] = []
    for log in logs:
        for line in log.splitlines():
            match line.split():
                case ["arrived", _, request]:
                    arrived.append(request[3:])
                case ["ran", request_id]:
                    runs.append(request_id)
                case ["ended", at_ms, request]:
                    earlier_ms = ended_ms_by_id.get(request[3:], 0.0)
                    ended_ms_by_id[request[3:]] = max(earlier_ms, float(at_ms))
                case ["broke", _, request]:
                    broken.append(request[3:])
    return ServerRecord(
        frozenset(arrived), collections.Counter(runs), ended_ms_by_id, frozenset(broken)
    )


def violations(
    requests: Sequence[kept_callers.Request],
    servers: ServerRecord,
    operations: Sequence[Operation],
) -> list[str]:
    """Return a line for each violation of the rules."""
    return [
        *lost_answers(requests, servers, operations),
        *lost_beside_configurations(requests, servers, operations),
        *cut_late_requests(requests, servers, operations),
        *repeated_runs(requests, servers),
        *refused_runs(requests, servers),
        *late_ends(operations),
    ]


def lost_answers(
    requests: Iterable[kept_callers.Request],
    servers: ServerRecord,
    operations: Sequence[Operation],
) -> list[str]:
    """Return a line for each answer that was lost beside a shutdown or a reload."""
    found = []
    for each in requests:
        if not _is_cut(each, servers):
            continue
        signalled_ms = _signalled_ms(each, operations)
        if signalled_ms is not None:
            if not _ends_late(each, servers, signalled_ms):
                found.append(_line("LOST", each, servers, signalled_ms))
        elif _is_beside_reload(each, operations):
            found.append(_line("LOST", each, servers, None))
    return found


def lost_beside_configurations(
    requests: Sequence[kept_callers.Request],
    servers: ServerRecord,
    operations: Sequence[Operation],
) -> list[str]:
    """Return a line for each gateway that cuts requests beside configurations."""
    spans = _configuration_spans(operations)
    found = []
    for gateway in sorted({each.gateway for each in requests}):
        own = [each for each in requests if each.gateway == gateway and each.ending]
        beside = [
            each
            for each in own
            if any(from_ms <= each.ended_ms <= until_ms for from_ms, until_ms in spans)
        ]
        others = len(own) - len(beside)
        cut = [each for each in own if _is_cut_without_cause(each, servers, operations)]
        cut_beside = [each for each in cut if each in beside]
        cut_others = len(cut) - len(cut_beside)
        counted = [
            each
            for each in cut_beside
            if each.ended_ms - each.sent_ms < USED_SHARE * kept_callers.DEADLINE_MS
        ]
        if counted and len(cut_beside) * others > CUT_FACTOR * cut_others * len(beside):
            found += [_line("LOST", each, servers, None) for each in counted]
    return found


def cut_late_requests(
    requests: Iterable[kept_callers.Request],
    servers: ServerRecord,
    operations: Sequence[Operation],
) -> list[str]:
    """Return a line for each unrepeatable request that was sent late and cut."""
    found = []
    for each in requests:
        signalled_ms = _signalled_ms(each, operations)
        if (
            signalled_ms is not None
            and not each.kind.may_repeat
            and each.ending in CUT_ENDINGS
            and each.sent_ms > signalled_ms + EARLY_MS
            and each.request_id in servers.arrived_ids
            and each.request_id not in servers.broken_ids
        ):
            found.append(_line("CUT", each, servers, signalled_ms))
    return found


def repeated_runs(
    requests: Iterable[kept_callers.Request], servers: ServerRecord
) -> list[str]:
    """Return a line for each unrepeatable request that ran more than once."""
    return [
        _line("TWICE", each, servers, None)
        for each in requests
        if not each.kind.may_repeat
        and servers.run_count_by_id.get(each.request_id, 0) > 1
    ]


def refused_runs(
    requests: Iterable[kept_callers.Request], servers: ServerRecord
) -> list[str]:
    """Return a line for each unrepeatable request that ran, answered as not run."""
    return [
        _line("REFUSED", each, servers, None)
        for each in requests
        if not each.kind.may_repeat
        and each.status in NOT_RUN_STATUSES
        and servers.run_count_by_id.get(each.request_id, 0)
    ]


def late_ends(operations: Iterable[Operation]) -> list[str]:
    """Return a line for each gateway that was killed at the end of the grace time."""
    return [
        f"END: {each.gateway} did not end within the grace time, at {each.at_ms:.0f}"
        for each in operations
        if each.act is Act.KILL
    ]


def _is_cut(request: kept_callers.Request, servers: ServerRecord) -> bool:
    """Return whether a sound server's answer, or a request, was cut too late."""
    if request.ending not in CUT_ENDINGS or request.request_id in servers.broken_ids:
        return False
    lasted_ms = request.ended_ms - request.sent_ms
    if lasted_ms >= kept_callers.DEADLINE_MS:
        return False
    return request.request_id in servers.arrived_ids or lasted_ms > LOSS_SLACK_MS


def _signalled_ms(
    request: kept_callers.Request, operations: Iterable[Operation]
) -> float | None:
    """Return the time of the signal beside which a request ended; None for none."""
    limit_ms = GRACE_MS + AFTER_GRACE_MS
    times = (
        each.at_ms
        for each in operations
        if each.act is Act.TERMINATE
        and each.gateway == request.gateway
        and 0 <= request.ended_ms - each.at_ms <= limit_ms
    )
    return max(times, default=None)


def _ends_late(
    request: kept_callers.Request, servers: ServerRecord, signalled_ms: float
) -> bool:
    """Return whether a server was at work late in the grace time on an early request.

    A server whose record has no end of the request is still at work.
    """
    late_ms = signalled_ms + LATE_GRACE_MS
    at_work_ms = servers.ended_ms_by_id.get(request.request_id, float("inf"))
    return (
        request.sent_ms <= signalled_ms + EARLY_MS
        and request.request_id in servers.arrived_ids
        and request.ended_ms >= late_ms
        and at_work_ms >= late_ms
    )


def _is_beside_reload(
    request: kept_callers.Request, operations: Iterable[Operation]
) -> bool:
    return any(
        each.act is Act.RELOAD
        and each.gateway == request.gateway
        and request.sent_ms <= each.at_ms + APPLY_MS
        and request.ended_ms >= each.at_ms
        for each in operations
    )


def _is_cut_without_cause(
    request: kept_callers.Request,
    servers: ServerRecord,
    operations: Sequence[Operation],
) -> bool:
    """Return whether a request was cut beside neither a shutdown nor a reload."""
    return (
        _is_cut(request, servers)
        and _signalled_ms(request, operations) is None
        and not _is_beside_reload(request, operations)
    )


def _configuration_spans(
    operations: Sequence[Operation],
) -> list[tuple[float, float]]:
    """Return from when until when each change of the configuration counts."""
    sent = [each.at_ms for each in operations if each.act is Act.WRITE]
    done = [each.at_ms for each in operations if each.act is Act.ACKNOWLEDGE]
    return [
        (from_ms, until_ms + APPLY_MS + AFTER_GRACE_MS)
        for from_ms, until_ms in zip(sent, done, strict=True)
    ]


def _line(
    rule: str,
    request: kept_callers.Request,
    servers: ServerRecord,
    signalled_ms: float | None,
) -> str:
    passed_on = request.request_id in servers.arrived_ids
    ending = request.ending.value if request.ending else "open"
    words = [
        f"{rule}: {request.request_id} {request.kind.value}",
        "on a kept connection" if request.is_kept else "on a new connection",
        f"{ending} with status {request.status}",
        f"{request.ended_ms - request.sent_ms:.0f} ms after it was sent",
        "passed on" if passed_on else "not passed on",
        f"ran {servers.run_count_by_id.get(request.request_id, 0)} times",
    ]
    if signalled_ms is None:
        words.append(f"sent at {request.sent_ms:.0f}")
    else:
        words.append(f"sent {request.sent_ms - signalled_ms:.0f} ms after SIGTERM")
    return ", ".join(words)
