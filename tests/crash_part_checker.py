"""Checks what gateways send of a prompt part that crashes servers, and of sound ones.

BUDGET: at most `MAX_SENDS` requests with the part reach servers, sent by gateways in
touch later than `CONTACT_MS` after the fifth crash.  LOST: from 2 x `CONTACT_MS` after
it (the last crash, if there are fewer), sound requests with the same account or first
part begin at the first attempt at least half as often as at other times.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence
from typing import Final

CONTACT_MS: Final = 3_000
MAX_CRASHES: Final = 5
MAX_SENDS: Final = 3
MIN_SAMPLES: Final = 20
"""Sound requests of each kind below which LOST is not judged."""


@dataclasses.dataclass(frozen=True)
class Send:
    """A request with the part that reached a server."""

    at_ms: float
    gateway: str


@dataclasses.dataclass(frozen=True)
class SoundRequest:
    """A sound request; `has_begun` if its first attempt began an answer."""

    at_ms: float
    has_begun: bool


InTouch = Callable[[str, float], bool]


def _always(_gateway: str, _at_ms: float) -> bool:
    return True


def excess_sends(
    crashes_ms: Iterable[float], sends: Iterable[Send], is_in_touch: InTouch = _always
) -> list[str]:
    """Return a line if too many requests with the part reached servers.

    Parameters
    ----------
    is_in_touch : callable
        Returns whether a gateway is in touch at a time.
    """
    crashes = sorted(crashes_ms)
    if len(crashes) < MAX_CRASHES:
        return []
    from_ms = crashes[MAX_CRASHES - 1] + CONTACT_MS
    late = [
        each
        for each in sends
        if each.at_ms > from_ms and is_in_touch(each.gateway, each.at_ms)
    ]
    if len(late) <= MAX_SENDS:
        return []
    return [
        f"{len(late)} requests with the part reached servers later than"
        f" {CONTACT_MS} ms after the fifth crash; {len(crashes)} crashes"
    ]


def lost_sound_requests(
    crashes_ms: Iterable[float], last_bad_ms: float, sound: Sequence[SoundRequest]
) -> list[str]:
    """Return a line if sound requests are served less than half as often as before.

    Parameters
    ----------
    last_bad_ms : float
        Arrival of the last request with the part; later sound requests don't count.
    sound : sequence of SoundRequest
        Requests of undisturbed times are those before the first crash.
    """
    crashes = sorted(crashes_ms)
    if not crashes:
        return []
    deciding = crashes[min(len(crashes), MAX_CRASHES) - 1]
    before = [each.has_begun for each in sound if each.at_ms < crashes[0]]
    after = [
        each.has_begun
        for each in sound
        if deciding + 2 * CONTACT_MS < each.at_ms < last_bad_ms
    ]
    if min(len(before), len(after)) < MIN_SAMPLES:
        return []
    if sum(after) / len(after) >= sum(before) / len(before) / 2:
        return []
    return [
        f"{sum(after)} of {len(after)} sound requests began at the first attempt,"
        f" {sum(before)} of {len(before)} before the first crash"
    ]
