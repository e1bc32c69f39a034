"""Decides how many engines of a service load weights at once.

Load pattern: all engines of a service must load a new version within the operator's
deadline, under any load.  An engine that loads takes no requests.  In a quiet hour half
of the engines can be spared and the new weights serve sooner; in a burst each missing
engine makes requests late.  So the number follows the room of the service, but never
falls below what the time left requires.  Otherwise the last engines would lose their
requests all at once at the deadline.
"""

import dataclasses
import math
from typing import Final

MIN_LOADINGS: Final = 2
"""Concurrent loadings that do not slow each other down, according to the operators.  As
many are allowed in a small service, as long as another of its engines serves."""

EASY_LOADINGS: Final = 10
"""Concurrent loadings that slow each other down only a little."""

USUAL_FRACTION: Final = 0.4
"""Fraction of a service's engines that may load at once whatever its room, if this is
more than `MIN_LOADINGS`; also once outdated weights get no requests."""

SPARE_FRACTION: Final = 0.5
"""Most of a service's engines that load at once while the others have room."""

WAITING_FRACTION: Final = 0.1
"""The same while requests wait."""

LATE_FRACTION: Final = 0.6
"""The same if the time left requires more; the rest serves meanwhile."""

BUSY_FRACTION: Final = 0.7
"""Fraction of the slots of the engines that serve which may be taken; at more, requests
begin to wait for each other."""

ROUND_MS: Final = 2_500
"""Time of one loading, with the announcement, the end of running requests and what
several loadings slow each other down."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a service has to do, and with how many engines.

    Attributes
    ----------
    engines : int
        Engines that are ready, those that load included.
    slots : int
        Requests that one engine runs at once; 0 if it is not known.
    running : int
        Requests that run at all engines.
    waiting : int
        Requests that wait for an engine.
    outdated : int
        Engines with outdated weights, those that load included.
    left_ms : float
        Time until the first engines with outdated weights get no requests.
    """

    engines: int
    slots: int
    running: int
    waiting: int
    outdated: int
    left_ms: float


def fixed_limit(engine_count: int) -> int:
    """Return how many engines may load at once if the room is not considered."""
    at_once = max(MIN_LOADINGS, int(engine_count * USUAL_FRACTION))
    return max(1, min(at_once, engine_count - 1))


def max_concurrent_loadings(room: Room) -> int:
    """Return how many of a service's engines may load weights at once."""
    by_room = max(MIN_LOADINGS, _by_room(room))
    if room.left_ms <= 0:
        # They serve nobody until they have loaded.
        wanted = max(by_room, EASY_LOADINGS, int(room.engines * USUAL_FRACTION))
    else:
        rounds = max(1, int(room.left_ms / ROUND_MS))
        required = math.ceil(room.outdated / rounds)
        wanted = max(by_room, min(required, int(room.engines * LATE_FRACTION)))
    return max(1, min(wanted, room.engines - 1))


def _by_room(room: Room) -> int:
    if room.waiting:
        return int(room.engines * WAITING_FRACTION)
    if not room.slots:
        return fixed_limit(room.engines)
    needed = math.ceil(room.running / (room.slots * BUSY_FRACTION))
    return min(room.engines - needed, math.ceil(room.engines * SPARE_FRACTION))
