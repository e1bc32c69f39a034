"""Checks what callers got of streams at gateways that shut down, by the users' rules.

LOST: the connection of a whole request ends without a complete answer beside a shutdown
(until `AFTER_GRACE_MS` after the grace time) or a reload (a request sent up to
`APPLY_MS` after it), either once the request was passed on, or later than
`LOSS_SLACK_MS` after its last byte was sent.  It is excused if its last server broke
off, its time limit was reached, or a server was at work in the last sixth of the grace
time on a request that was sent up to `EARLY_MS` after SIGTERM.
UNREAD: a server had sent the whole answer more than `READ_MS` of the gateway's
running time before the connection ended beside a shutdown, whatever excuses LOST.
TORN: an answer that the gateway cut beside its shutdown ends within an event.
ORDER: events of a stream are missing, repeated or out of order over all attempts.
UNFINISHED: a stream was not completed, although its caller went on elsewhere.
BOUNDS: the earliest time that a gateway took for SIGTERM lies after it, or the latest
one before it, by more than `BOUNDS_SLACK_MS`.
An attempt that SIGKILL ended is no violation, and counted apart, if the gateway could
not end as END demands.
END: a gateway had to be killed although it knew the time of SIGTERM to within
`MAX_BOUNDS_MS`, ran for enough of the grace time and in the last `END_MS` of it.

A caller of large events that paused may take what has been sent too late.  Such an
attempt is excused from LOST and UNREAD if the pause ended less than `TAKING_MS` before
the connection, and from TORN if it ended more than `FLUSH_MS` after the cut.
"""

import collections
import dataclasses
import datetime
import json
import math
from collections.abc import Iterable, Sequence
from typing import Final

from quincecrank import clock as clocks
from tests import leaving_callers, shutdown_checker

GRACE_MS: Final = shutdown_checker.GRACE_MS
AFTER_GRACE_MS: Final = shutdown_checker.AFTER_GRACE_MS
LATE_GRACE_MS: Final = shutdown_checker.LATE_GRACE_MS
EARLY_MS: Final = shutdown_checker.EARLY_MS
LOSS_SLACK_MS: Final = shutdown_checker.LOSS_SLACK_MS
APPLY_MS: Final = shutdown_checker.APPLY_MS
LIMIT_SLACK_MS: Final = 50
"""Time before its time limit from which a request may be ended."""

READ_MS: Final = 300
MAX_BOUNDS_MS: Final = 900
END_MS: Final = 350
"""Time in which a gateway that is not stopped ends."""

BOUNDS_SLACK_MS: Final = 20
"""Time that may pass between the operator's record of SIGTERM and its sending, or
between two readings of the clock for a line of the log."""

MAX_STOPPED_SHARE: Final = 0.5
"""Share of the grace time for which a gateway that must end may be stopped."""

KILL_SLACK_MS: Final = 200
"""Time between a SIGKILL and the end of a connection that it caused."""

CLOSE_MS: Final = 300
"""Time from a cut to the end of the connection."""

TAKING_MS: Final = 2_000
FLUSH_MS: Final = 80
"""Time for which a gateway sends what it holds after a cut."""

JOINED_STOPS_MS: Final = 100
"""Longest time between two stops in which a gateway may fail to run."""

Act = shutdown_checker.Act
Attempt = leaving_callers.Attempt
Operation = shutdown_checker.Operation
Span = tuple[float, float]


@dataclasses.dataclass
class Run:
    """What a server recorded of one arrival of a request; times are wall-clock times.

    Attributes
    ----------
    began_ms, completed_ms, ended_ms, broke_ms : float
        When it began, had sent all events, stopped work, and was broken off; infinite
        if it never did.
    """

    arrived_ms: float
    began_ms: float = math.inf
    completed_ms: float = math.inf
    ended_ms: float = math.inf
    broke_ms: float = math.inf


RunsById = dict[str, list[Run]]


@dataclasses.dataclass(frozen=True)
class ServerLog:
    """Log of a server, and when it was killed: infinite if it was not."""

    text: str
    killed_ms: float = math.inf


def read_logs(logs: Iterable[ServerLog]) -> RunsById:
    """Return the runs of each request, in order of their arrival."""
    runs_by_id: RunsById = collections.defaultdict(list)
    for log in logs:
        own: dict[str, Run] = {}
        for line in log.text.splitlines():
            match line.split():
                case ["arrived", at_ms, request]:
                    own[request] = Run(float(at_ms))
                    runs_by_id[request[3:]].append(own[request])
                case ["began", at_ms, request, _]:
                    own[request].began_ms = float(at_ms)
                case ["completed", at_ms, request]:
                    own[request].completed_ms = float(at_ms)
                case ["broke", at_ms, request]:
                    own[request].broke_ms = float(at_ms)
                case ["ended", at_ms, request]:
                    own[request].ended_ms = float(at_ms)
        for run in own.values():
            if run.began_ms < math.inf and run.ended_ms == math.inf:
                run.broke_ms = min(run.broke_ms, log.killed_ms)
    for runs in runs_by_id.values():
        runs.sort(key=lambda run: run.arrived_ms)
    return dict(runs_by_id)


@dataclasses.dataclass(frozen=True)
class Notice:
    """The bounds that a gateway took for the time of SIGTERM, as wall-clock times."""

    gateway: str
    earliest_ms: float
    latest_ms: float
    logged_ms: float


@dataclasses.dataclass
class GatewayRecord:
    """What gateways logged.

    Attributes
    ----------
    notices : list of Notice
        One for each shutdown.
    cut_ms_by_id : dict
        Wall-clock time at which a begun answer was cut, by request.
    """

    notices: list[Notice] = dataclasses.field(default_factory=list)
    cut_ms_by_id: dict[str, float] = dataclasses.field(default_factory=dict)


def read_gateway_logs(texts: Iterable[tuple[str, str]]) -> GatewayRecord:
    """Read the logs of gateway processes, each given with the gateway's name."""
    record = GatewayRecord()
    for gateway, text in texts:
        for line in text.splitlines():
            if '"event": "leaving"' not in line and '"event": "answer cut"' not in line:
                continue
            fields = json.loads(line)
            logged = datetime.datetime.fromisoformat(fields["timestamp"])
            logged_ms = logged.timestamp() * clocks.MS_PER_SECOND
            if fields["event"] == "answer cut":
                record.cut_ms_by_id[fields["request"]] = logged_ms
                continue
            earliest_ms = logged_ms - fields["since_signal_ms"]
            latest_ms = logged_ms - fields["since_notice_ms"]
            record.notices.append(Notice(gateway, earliest_ms, latest_ms, logged_ms))
    return record


class Record:
    """What callers, servers and the operator recorded in one run."""

    def __init__(
        self,
        streams: Sequence[leaving_callers.Stream],
        runs_by_id: RunsById,
        operations: Sequence[Operation],
        gateways: GatewayRecord,
    ) -> None:
        self._gateways = gateways
        self._streams = streams
        self._runs_by_id = runs_by_id
        self._operations = operations
        self._stops_by_gateway = _stops_by_gateway(operations)

    def violations(self) -> list[str]:
        """Return a line for each violation of the rules."""
        return [
            *self.lost_streams(),
            *self.unread_ends(),
            *self.torn_events(),
            *self.disordered_streams(),
            *self.unfinished_streams(),
            *self.wrong_bounds(),
            *self.late_ends(),
        ]

    def lost_streams(self) -> list[str]:
        """Return a line for each answer that was lost."""
        return [
            self._line("LOST", attempt)
            for attempt in self.cut_attempts()
            if self._is_lost(attempt) and not self._was_killed_stopped(attempt)
        ]

    @property
    def killed_count(self) -> int:
        """Number of attempts that SIGKILL ended at gateways without time to end."""
        return sum(
            self._is_lost(attempt) and self._was_killed_stopped(attempt)
            for attempt in self.cut_attempts()
        )

    def unread_ends(self) -> list[str]:
        """Return a line for each whole answer whose end the caller did not get."""
        return [
            self._line("UNREAD", attempt)
            for attempt in self.cut_attempts()
            if self._signalled_ms(attempt) is not None and self._is_unread(attempt)
        ]

    def torn_events(self) -> list[str]:
        """Return a line for each answer that was cut within an event."""
        return [
            self._line("TORN", attempt)
            for attempt in self.cut_attempts()
            if attempt.is_torn
            and self._signalled_ms(attempt) is not None
            and attempt.paused_ms <= self._cut_ms(attempt) + FLUSH_MS
            and not self._kills(attempt)
        ]

    def disordered_streams(self) -> list[str]:
        """Return a line for each stream with other events than its own in order."""
        found = []
        for stream in self._streams:
            last = stream.attempts[-1]
            numbers = stream.numbers
            is_ended = (
                last.status == 200 and last.ending is leaving_callers.Ending.COMPLETE
            )
            count = stream.length if is_ended else len(numbers)
            if numbers != list(range(1, count + 1)):
                line = self._line("ORDER", last)
                found.append(f"{line}, {len(numbers)} of {stream.length}: {numbers}")
        return found

    def unfinished_streams(self) -> list[str]:
        """Return a line for each stream that was not completed."""
        return [
            f"{self._line('UNFINISHED', stream.attempts[-1])},"
            f" {stream.last_number} of {stream.length} events in"
            f" {len(stream.attempts)} attempts"
            for stream in self._streams
            if not stream.is_complete
        ]

    def wrong_bounds(self) -> list[str]:
        """Return a line for each notice whose bounds do not include the signal."""
        found = []
        for notice in self._gateways.notices:
            signalled_ms = max(
                each.at_ms
                for each in self._operations
                if each.act is Act.TERMINATE
                and each.gateway == notice.gateway
                and each.at_ms <= notice.logged_ms + BOUNDS_SLACK_MS
            )
            earliest_ms = notice.earliest_ms - signalled_ms
            latest_ms = notice.latest_ms - signalled_ms
            if earliest_ms > BOUNDS_SLACK_MS or latest_ms < -BOUNDS_SLACK_MS:
                found.append(
                    f"BOUNDS: {notice.gateway} took SIGTERM for sent {earliest_ms:.0f}"
                    f" to {latest_ms:.0f} ms after it was, at {signalled_ms:.0f}"
                )
        return found

    def late_ends(self) -> list[str]:
        """Return a line for each gateway that was killed without a cause."""
        return [
            f"END: {each.gateway} was killed at {each.at_ms:.0f}, bounds of SIGTERM"
            f" {self._bounds_ms(each.gateway, self._signal_before(each)):.0f} ms apart"
            for each in self._operations
            if each.act is Act.KILL and self._must_have_ended(each)
        ]

    def cut_attempts(self) -> list[Attempt]:
        """Return the whole requests whose connection ended before their answer.

        Left out are those that a server broke off and those at their time limit.
        """
        return [
            attempt
            for stream in self._streams
            for attempt in stream.attempts
            if attempt.is_whole
            and attempt.ending in shutdown_checker.CUT_ENDINGS
            and self._closed_ms(attempt) - attempt.sent_ms < _LIMIT_MS
            and not self._was_broken(attempt)
        ]

    def _is_lost(self, attempt: Attempt) -> bool:
        is_passed_on = bool(self._runs(attempt))
        lasted_ms = self._closed_ms(attempt) - attempt.sent_ms
        if not is_passed_on and lasted_ms <= LOSS_SLACK_MS:
            return False
        if self._taking_ms(attempt) < TAKING_MS:
            return False
        signalled_ms = self._signalled_ms(attempt)
        if signalled_ms is None:
            return self._is_beside_reload(attempt)
        late_ms = signalled_ms + LATE_GRACE_MS
        return not (
            is_passed_on
            and attempt.sent_ms <= signalled_ms + EARLY_MS
            and self._closed_ms(attempt) >= late_ms
            and self._at_work_until_ms(attempt) >= late_ms
        )

    def _is_unread(self, attempt: Attempt) -> bool:
        completions = (run.completed_ms for run in self._runs(attempt))
        from_ms = min(completions, default=math.inf)
        until_ms = self._closed_ms(attempt)
        if from_ms >= until_ms or self._taking_ms(attempt) < TAKING_MS:
            return False
        stopped_ms = self._stopped_ms(attempt.gateway, from_ms, until_ms)
        return until_ms - from_ms - stopped_ms > READ_MS

    def _taking_ms(self, attempt: Attempt) -> float:
        """Return for how long the caller had taken events without a pause."""
        return self._closed_ms(attempt) - attempt.paused_ms

    def _cut_ms(self, attempt: Attempt) -> float:
        """Return when the gateway cut an answer; infinite if it did not log that."""
        return self._gateways.cut_ms_by_id.get(attempt.request_id, math.inf)

    def _runs(self, attempt: Attempt) -> list[Run]:
        return self._runs_by_id.get(attempt.request_id, [])

    def _was_broken(self, attempt: Attempt) -> bool:
        """Return whether the server that worked last broke off."""
        begun = [run for run in self._runs(attempt) if run.began_ms < math.inf]
        if not begun:
            return False
        last = max(begun, key=lambda run: min(run.ended_ms, run.broke_ms))
        return last.broke_ms < self._closed_ms(attempt)

    def _at_work_until_ms(self, attempt: Attempt) -> float:
        """Return until when a server worked on a request; runs that began only."""
        begun = [run for run in self._runs(attempt) if run.began_ms < math.inf]
        ends = (min(run.ended_ms, run.broke_ms) for run in begun)
        return max(ends, default=attempt.sent_ms)

    def _signalled_ms(self, attempt: Attempt) -> float | None:
        """Return the time of the signal beside which an attempt ended, if any."""
        times = (
            each.at_ms
            for each in self._operations
            if each.act is Act.TERMINATE
            and each.gateway == attempt.gateway
            and 0 <= self._closed_ms(attempt) - each.at_ms <= GRACE_MS + AFTER_GRACE_MS
        )
        return max(times, default=None)

    def _is_beside_reload(self, attempt: Attempt) -> bool:
        return any(
            each.act is Act.RELOAD
            and each.gateway == attempt.gateway
            and attempt.sent_ms <= each.at_ms + APPLY_MS
            and self._closed_ms(attempt) >= each.at_ms
            for each in self._operations
        )

    def _kills(self, attempt: Attempt) -> list[Operation]:
        """Return the SIGKILL of the gateway that ended an attempt, if any."""
        return [
            each
            for each in self._operations
            if each.act is Act.KILL
            and each.gateway == attempt.gateway
            and abs(self._closed_ms(attempt) - each.at_ms) <= KILL_SLACK_MS
        ]

    def _was_killed_stopped(self, attempt: Attempt) -> bool:
        return any(not self._had_time_to_end(each) for each in self._kills(attempt))

    def _closed_ms(self, attempt: Attempt) -> float:
        """Return when the connection had ended: a slow caller sees the end late."""
        ends = (
            each.at_ms
            for each in self._operations
            if each.act is Act.END
            and each.gateway == attempt.gateway
            and each.at_ms >= attempt.sent_ms
        )
        cut_ms = self._cut_ms(attempt) + CLOSE_MS
        return min(attempt.ended_ms, cut_ms, min(ends, default=math.inf))

    def _stopped_ms(self, gateway: str, from_ms: float, until_ms: float) -> float:
        """Return for how long a gateway was stopped within a span of time."""
        return sum(
            max(0.0, min(until_ms, end_ms) - max(from_ms, begin_ms))
            for begin_ms, end_ms in self._stops_by_gateway.get(gateway, [])
        )

    def _bounds_ms(self, gateway: str, signalled_ms: float) -> float:
        """Return how far the bounds of a signal's time are apart at most.

        Stops after each other count as one if the gateway may not run in between.
        """
        joined: list[Span] = []
        for begin_ms, end_ms in self._stops_by_gateway.get(gateway, []):
            if joined and begin_ms - joined[-1][1] <= JOINED_STOPS_MS:
                begin_ms = joined.pop()[0]
            joined.append((begin_ms, end_ms))
        around = (
            end_ms - begin_ms
            for begin_ms, end_ms in joined
            if begin_ms - JOINED_STOPS_MS <= signalled_ms <= end_ms + JOINED_STOPS_MS
        )
        return max(around, default=0.0)

    def _had_time_to_end(self, kill: Operation) -> bool:
        """Return whether a gateway was not starved and not stopped up to its kill."""
        stopped_ms = self._stopped_ms(
            kill.gateway, self._signal_before(kill), kill.at_ms
        )
        return stopped_ms < GRACE_MS * MAX_STOPPED_SHARE and not self._stopped_ms(
            kill.gateway, kill.at_ms - END_MS, kill.at_ms
        )

    def _must_have_ended(self, kill: Operation) -> bool:
        bounds_ms = self._bounds_ms(kill.gateway, self._signal_before(kill))
        return bounds_ms < MAX_BOUNDS_MS and self._had_time_to_end(kill)

    def _signal_before(self, kill: Operation) -> float:
        return max(
            each.at_ms
            for each in self._operations
            if each.act is Act.TERMINATE
            and each.gateway == kill.gateway
            and each.at_ms <= kill.at_ms
        )

    def _line(self, rule: str, attempt: Attempt) -> str:
        signalled_ms = self._signalled_ms(attempt)
        base_ms = attempt.sent_ms if signalled_ms is None else signalled_ms
        runs = [
            f"{run.began_ms - base_ms:.0f} to {run.ended_ms - base_ms:.0f}"
            for run in self._runs(attempt)
        ]
        ending = attempt.ending.value if attempt.ending else "open"
        words = [
            f"{rule}: {attempt.request_id}",
            f"{ending} with status {attempt.status}",
            f"{len(attempt.numbers)} events after {attempt.resume_after}",
            f"sent {attempt.sent_ms - base_ms:.0f}",
            f"ended {self._closed_ms(attempt) - base_ms:.0f}",
            f"at servers {runs}",
        ]
        if signalled_ms is not None:
            bounds_ms = self._bounds_ms(attempt.gateway, signalled_ms)
            words.append(f"ms from SIGTERM, its bounds {bounds_ms:.0f} ms apart")
        return ", ".join(words)


_LIMIT_MS: Final = leaving_callers.DEADLINE_MS - LIMIT_SLACK_MS


def _stops_by_gateway(operations: Iterable[Operation]) -> dict[str, list[Span]]:
    """Return the spans of time in which each gateway was stopped, in order."""
    stops_by_gateway: dict[str, list[Span]] = collections.defaultdict(list)
    stopped_ms_by_gateway: dict[str, float] = {}
    for each in sorted(operations, key=lambda operation: operation.at_ms):
        if each.act is Act.STOP:
            stopped_ms_by_gateway.setdefault(each.gateway, each.at_ms)
        elif each.act in (Act.CONTINUE, Act.END):
            begin_ms = stopped_ms_by_gateway.pop(each.gateway, None)
            if begin_ms is not None:
                stops_by_gateway[each.gateway].append((begin_ms, each.at_ms))
    return stops_by_gateway
