"""Builders of hand-made records for the tests of `leaving_checker`.

All times are in milliseconds since SIGTERM of the gateway `GATEWAY`.
"""

import datetime
import json
from typing import Any, Final

from tests import leaving_callers, leaving_checker, shutdown_checker

SIGNALLED_MS: Final = 1_700_000_000_000.0
GATEWAY: Final = "entry-0"

Act = shutdown_checker.Act


def make_attempt(
    sent_ms: float, ended_ms: float, **more: Any
) -> leaving_callers.Attempt:
    """Return an attempt that was closed within its answer; `more` replaces fields."""
    fields: dict[str, Any] = {
        "request_id": "q",
        "gateway": GATEWAY,
        "is_whole": True,
        "status": 200,
        "numbers": [1, 2, 3],
        "ending": leaving_callers.Ending.CLOSED,
        **more,
    }
    return leaving_callers.Attempt(
        sent_ms=SIGNALLED_MS + sent_ms, ended_ms=SIGNALLED_MS + ended_ms, **fields
    )


def make_stream(
    *attempts: leaving_callers.Attempt, length: int = 3
) -> leaving_callers.Stream:
    """Return a stream with these attempts."""
    return leaving_callers.Stream(length, list(attempts))


def make_operation(
    act: shutdown_checker.Act, at_ms: float = 0.0, gateway: str = GATEWAY
) -> shutdown_checker.Operation:
    """Return one act of the operator."""
    return shutdown_checker.Operation(SIGNALLED_MS + at_ms, gateway, act)


def make_stop(begin_ms: float, end_ms: float) -> list[shutdown_checker.Operation]:
    """Return a stop of the gateway's process."""
    stop, go_on = Act.STOP, Act.CONTINUE
    return [make_operation(stop, begin_ms), make_operation(go_on, end_ms)]


def make_log(
    killed_ms: float = float("inf"), **at_ms: float
) -> leaving_checker.ServerLog:
    """Return the log of a server that got the request "q".

    Parameters
    ----------
    killed_ms : float
        Time at which the server was killed.
    **at_ms : float
        Times of the log's lines, by their first words.
    """
    lines = [
        f"{word} {SIGNALLED_MS + ms:.0f} id=q" + (" weights=1" * (word == "began"))
        for word, ms in at_ms.items()
    ]
    return leaving_checker.ServerLog("\n".join(lines), SIGNALLED_MS + killed_ms)


def make_gateway_log(event: str, at_ms: float, **fields: Any) -> str:
    """Return a line of a gateway's log, with further fields."""
    seconds = (SIGNALLED_MS + at_ms) / 1_000
    logged = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return json.dumps({**fields, "event": event, "timestamp": logged.isoformat()})


def make_record(
    streams: list[leaving_callers.Stream],
    *logs: leaving_checker.ServerLog,
    operations: list[shutdown_checker.Operation] | None = None,
    gateway_log: str = "",
) -> leaving_checker.Record:
    """Return the record of a run; without `operations`, SIGTERM is all of them."""
    if operations is None:
        operations = [make_operation(Act.TERMINATE)]
    gateways = leaving_checker.read_gateway_logs([(GATEWAY, gateway_log)])
    runs_by_id = leaving_checker.read_logs(logs)
    return leaving_checker.Record(streams, runs_by_id, operations, gateways)
