"""Checks what callers got of streams while servers of several versions serve.

ORDER: at most `MAX_JOINED` streams hold events of two software versions, over all
attempts of their callers, and in each stream the events follow each other without a gap
up to the last one.  LOST: streams that callers resume at gateways in touch, while two
servers of their software version serve, go on at least half as often as new streams
begin; and sound servers' answers are not cut off.  VERSION: no run begins on weights
older than those acknowledged `WEIGHTS_BOUND_MS` before.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from standins import platform_stream_callers as stream_callers

CONTACT_MS: Final = 3_000
WEIGHTS_BOUND_MS: Final = 8_000
MAX_JOINED: Final = 2
MIN_RESUMED: Final = 12
MIN_SERVERS: Final = 2
MAX_CUT: Final = 3
LOSS_SLACK_MS: Final = 200
DEADLINE_MS: Final = 7_000


@dataclasses.dataclass(frozen=True)
class ServingTime:
    """Time in which a server of a software version serves, without draining."""

    server: str
    software: str
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that began to run at a server."""

    at_ms: float
    request_id: str
    weights: int

    @property
    def gateway(self) -> str:
        """Name of the gateway that the request was sent to."""
        return self.request_id.partition("/")[0]


InTouch = Callable[[str, float], bool]
"""Returns whether a gateway is in touch at a time."""


def joined_streams(streams: Iterable[stream_callers.Stream]) -> list[str]:
    """Return a line if too many streams hold events of two software versions."""
    joined = [
        each for each in streams if len({event.software for event in each.events}) > 1
    ]
    if len(joined) <= MAX_JOINED:
        return []
    within = sum(
        any(len({event.software for event in each.events}) > 1 for each in one.attempts)
        for one in joined
    )
    example = [
        (each.request_id, sorted({event.software for event in each.events}))
        for each in joined[0].attempts
        if each.events
    ]
    return [
        f"ORDER: {len(joined)} streams hold events of two software versions, {within}"
        f" of them within one answer; the first one: {example}"
    ]


def disordered_streams(streams: Iterable[stream_callers.Stream]) -> list[str]:
    """Return a line for each stream with a missing or additional event, or a short end.

    An answer of status 200 that is complete must end with the stream's last event.
    """
    found = []
    for stream in streams:
        numbers = [event.number for event in stream.events]
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"ORDER: {stream.attempts[0].request_id}: events {numbers}")
        for attempt in stream.attempts:
            if (
                attempt.status == 200
                and attempt.ending is stream_callers.Ending.COMPLETE
                and (not attempt.events or attempt.events[-1].number != stream.length)
            ):
                found.append(f"ORDER: {attempt.request_id} ended early as complete")
    return found


@dataclasses.dataclass(frozen=True)
class ResumeCounts:
    """Streams begun and resumed at gateways in touch.

    Attributes
    ----------
    new, begun : int
        New streams, and those that brought an event.
    resumed, continued : int
        Streams that were resumed while two servers of their version served throughout
        the attempt, and those that brought a further event.
    failed_ids : tuple of str
        Last such attempt of each resumed stream that brought none.
    """

    new: int
    begun: int
    resumed: int
    continued: int
    failed_ids: tuple[str, ...] = ()


def count_resumed(
    streams: Iterable[stream_callers.Stream],
    is_in_touch: InTouch,
    serving: Sequence[ServingTime],
) -> ResumeCounts:
    """Count streams by what their attempts at gateways in touch brought.

    An attempt counts if its gateway was in touch from its sending to its end, or to its
    first event if it brought any.
    """
    new: list[bool] = []
    resumed: list[bool] = []
    failed: list[str] = []
    for stream in streams:
        first: list[bool] = []
        again: list[bool] = []
        last_id = ""
        software = stream.events[0].software if stream.events else ""
        for attempt in stream.attempts:
            has_events = bool(attempt.events)
            until_ms = attempt.sent_ms if has_events else attempt.ended_ms
            if attempt.ending is stream_callers.Ending.UNCONNECTED:
                continue
            if not is_in_touch(attempt.gateway, attempt.sent_ms):
                continue
            if not is_in_touch(attempt.gateway, until_ms):
                continue
            if not attempt.resume_after:
                first.append(has_events)
            elif (
                _serving_count(serving, software, attempt.sent_ms, until_ms)
                >= MIN_SERVERS
            ):
                again.append(has_events)
                last_id = attempt.request_id
        new += [any(first)] if first else []
        resumed += [any(again)] if again else []
        failed += [last_id] if again and not any(again) else []
    return ResumeCounts(len(new), sum(new), len(resumed), sum(resumed), tuple(failed))


def _serving_count(
    serving: Iterable[ServingTime], software: str, from_ms: float, until_ms: float
) -> int:
    """Return how many servers of a version served during a whole span of time."""
    return sum(
        each.software == software
        and each.from_ms <= from_ms
        and until_ms <= each.until_ms
        for each in serving
    )


def lost_resumptions(counts: ResumeCounts) -> list[str]:
    """Return a line if resumed streams go on less than half as often as new ones."""
    if counts.resumed < MIN_RESUMED or not counts.new:
        return []
    if counts.continued / counts.resumed >= counts.begun / counts.new / 2:
        return []
    return [
        f"LOST: of {counts.resumed} resumed streams {counts.continued} went on, of"
        f" {counts.new} new ones {counts.begun} began; not {counts.failed_ids[:5]}"
    ]


def cut_answers(
    attempts: Iterable[stream_callers.Attempt],
    *,
    is_undisturbed: Callable[[str, float, float], bool],
    is_planned: Callable[[str, float, float], bool],
    arrived_ids: frozenset[str],
    is_excused: Callable[[stream_callers.Attempt], bool],
) -> list[str]:
    """Return a line if connections ended without the complete answer of a sound server.

    More than `MAX_CUT` are too many, and any beside planned work.

    Parameters
    ----------
    is_undisturbed : callable
        Returns whether a gateway had no unplanned fault from `CONTACT_MS` before a span
        of time to its end.
    is_planned : callable
        Returns whether a gateway had planned work in a span of time.
    arrived_ids : frozenset of str
        Ids of the attempts that reached a server.
    is_excused : callable
        Returns whether a server ended the answer to an attempt.
    """
    cut = []
    for attempt in attempts:
        span = attempt.gateway, attempt.sent_ms, attempt.ended_ms
        lasted_ms = attempt.ended_ms - attempt.sent_ms
        if attempt.ending is not stream_callers.Ending.CUT or not is_undisturbed(*span):
            continue
        was_passed_on = attempt.request_id in arrived_ids
        if not was_passed_on and lasted_ms <= LOSS_SLACK_MS:
            continue
        if lasted_ms >= DEADLINE_MS - LOSS_SLACK_MS or is_excused(attempt):
            continue
        cut.append(attempt)
    planned = [
        each for each in cut if is_planned(each.gateway, each.sent_ms, each.ended_ms)
    ]
    if len(cut) <= MAX_CUT and not planned:
        return []
    return [
        f"LOST: {len(cut)} answers were cut off at sound servers, {len(planned)} beside"
        f" planned work: {[each.request_id for each in (planned or cut)[:5]]}"
    ]


def outdated_runs(
    runs: Iterable[Run], acknowledged_ms: dict[int, float], is_in_touch: InTouch
) -> list[str]:
    """Return a line if runs began on outdated weights after the bound.

    Parameters
    ----------
    acknowledged_ms : dict
        Time at which each target version was acknowledged.
    """
    late = []
    for run in runs:
        newer_ms = [
            at_ms for version, at_ms in acknowledged_ms.items() if version > run.weights
        ]
        if not newer_ms or not is_in_touch(run.gateway, run.at_ms):
            continue
        late_ms = run.at_ms - min(newer_ms) - WEIGHTS_BOUND_MS
        if late_ms > 0:
            late.append((late_ms, run.request_id))
    if not late:
        return []
    late.sort(reverse=True)
    return [
        f"VERSION: {len(late)} runs began on outdated weights after the bound, the last"
        f" ones by ms: {[(round(ms), request_id) for ms, request_id in late[:3]]}"
    ]
