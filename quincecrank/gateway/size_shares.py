"""Keeps large prompts from being refused far more often than others of their kind.

Load pattern: engines are nearly full.  A large prompt finds room last, and its estimate
is the first to exceed the time in which it could be on time, so without a rule of its
own most large prompts of a kind are refused while nearly all small ones are served.
A size that is served much less often than its kind goes like a request that can be on
time, as long as it can be answered at all.
"""

import collections
import dataclasses
import math
from typing import Final

OWED_SHARE: Final = 0.6
"""A size is owed places below this part of the share to which its kind is served.  The
users want half; a large prompt takes the engine time of many small ones, so that more
makes others late."""

MIN_ASKED: Final = 3.0
"""Requests of a size from which its share counts: two refusals may be chance."""

MEMORY_MS: Final = 20_000.0
"""Time after which an outcome counts e times less: some bursts, and long enough for a
gateway to see several large prompts."""

MAX_KINDS: Final = 4_096
"""Kinds that are remembered: routes come and go with the configuration."""


@dataclasses.dataclass(slots=True)
class _Count:
    """Requests of one size; older ones count less."""

    asked: float = 0.0
    placed: float = 0.0
    at_ms: int = 0

    def decay_to(self, now_ms: int) -> None:
        kept = math.exp((self.at_ms - now_ms) / MEMORY_MS)
        self.asked *= kept
        self.placed *= kept
        self.at_ms = now_ms


class SizeShares:
    """Aggregate of how often each size of each kind of request found a place.

    Sizes are powers of two, so that a kind has few of them.
    """

    def __init__(self) -> None:
        self._count_by_size_by_kind: collections.defaultdict[
            str, collections.defaultdict[int, _Count]
        ] = collections.defaultdict(lambda: collections.defaultdict(_Count))

    def is_owed(self, kind: str, tokens: int, now_ms: int) -> bool:
        """Return whether a size was served too seldom lately."""
        counts = self._count_by_size_by_kind[kind]
        own = counts[_size(tokens)]
        if own.asked < MIN_ASKED:
            return False
        for count in counts.values():
            count.decay_to(now_ms)
        asked = sum(count.asked for count in counts.values())
        placed = sum(count.placed for count in counts.values())
        return own.placed * asked < OWED_SHARE * placed * own.asked

    def ended(self, kind: str, tokens: int, now_ms: int, *, is_placed: bool) -> None:
        """Count a request that found a place or was refused."""
        count = self._count_by_size_by_kind[kind][_size(tokens)]
        while len(self._count_by_size_by_kind) > MAX_KINDS:
            del self._count_by_size_by_kind[next(iter(self._count_by_size_by_kind))]
        count.decay_to(now_ms)
        count.asked += 1.0
        count.placed += is_placed


def _size(tokens: int) -> int:
    return max(1, tokens).bit_length()
