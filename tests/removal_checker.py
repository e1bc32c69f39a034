"""Checks that servers that were removed or evacuated get no requests, cold ones few.

DRAIN: a request reaches a server later than `DRAIN_MS` after the store acknowledged the
removal of its entry, taken from the caller and sent on by an undisturbed gateway: one
that was neither started nor signalled for `CONTACT_MS` before.  The store is stable all
the while.

EVAC: a request reaches a server of an evacuated data centre later than `EVACUATE_MS`
after the store acknowledged the evacuation, whatever gateway sent it.

COLD: in some second, a server that is cold gets more requests than `COLD_OVERSHOOT`
times its rate and `COLD_SLACK`.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

DRAIN_MS: Final = 2_000
CONTACT_MS: Final = 3_000
EVACUATE_MS: Final = 5_000
COLD_OVERSHOOT: Final = 1.5
COLD_SLACK: Final = 5
WINDOW_MS: Final = 1_000

Span = tuple[float, float]
"""Beginning and end of a time, in milliseconds of the time of day."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server, with the gateway that its id names."""

    at_ms: float
    server: str
    gateway: str
    request_id: str


def arrivals(log_by_server: Mapping[str, str]) -> list[Arrival]:
    """Read the logs of the stand-in servers."""
    found = []
    for server, log in log_by_server.items():
        for line in log.splitlines():
            match line.split():
                case ["arrived", at_ms, request]:
                    request_id = request.removeprefix("id=")
                    gateway = request_id.partition("/")[0]
                    found.append(Arrival(float(at_ms), server, gateway, request_id))
    return found


def late_arrivals(
    found: Iterable[Arrival],
    removed_ms_by_server: Mapping[str, float],
    operations_ms_by_gateway: Mapping[str, Sequence[float]],
) -> list[str]:
    """Return a line for each request that reached a server too late."""
    lines = []
    for each in found:
        late_ms = each.at_ms - removed_ms_by_server.get(each.server, float("inf"))
        if late_ms <= DRAIN_MS:
            continue
        operations_ms = operations_ms_by_gateway.get(each.gateway, ())
        if any(0 <= each.at_ms - at_ms <= CONTACT_MS for at_ms in operations_ms):
            continue
        lines.append(
            f"DRAIN: {each.request_id} reached {each.server} {late_ms:.0f} ms late"
        )
    return lines


def last_arrival_ms(found: Iterable[Arrival], evacuated: Span) -> float:
    """Return how long after its beginning an evacuated server got a request."""
    began_ms, ended_ms = evacuated
    return max(
        (each.at_ms - began_ms for each in found if began_ms <= each.at_ms < ended_ms),
        default=0.0,
    )


def evacuation_faults(found: Iterable[Arrival], evacuated: Span) -> list[str]:
    """Return a line for each request that reached an evacuated server too late."""
    began_ms, ended_ms = evacuated
    return [
        f"EVAC: {each.request_id} reached {each.server} {each.at_ms - began_ms:.0f} ms"
        " after the evacuation"
        for each in found
        if began_ms + EVACUATE_MS < each.at_ms < ended_ms
    ]


def most_in_a_second(found: Iterable[Arrival], cold: Span) -> int:
    """Return the most requests that one server gets in any second of a time."""
    times_by_server: dict[str, list[float]] = collections.defaultdict(list)
    for each in sorted(found, key=lambda each: each.at_ms):
        if cold[0] <= each.at_ms < cold[1]:
            times_by_server[each.server].append(each.at_ms)
    return max(
        (
            index + 1 - bisect.bisect_right(times, last_ms - WINDOW_MS)
            for times in times_by_server.values()
            for index, last_ms in enumerate(times)
        ),
        default=0,
    )


def cold_faults(found: Iterable[Arrival], cold: Span, per_second: float) -> list[str]:
    """Return a line if a cold server gets too many requests in some second."""
    most = most_in_a_second(found, cold)
    allowed = per_second * COLD_OVERSHOOT + COLD_SLACK
    if most <= allowed:
        return []
    return [f"COLD: {most} requests in a second, allowed {allowed:.1f}"]
