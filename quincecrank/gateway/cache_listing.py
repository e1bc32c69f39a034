"""Decides how a gateway obtains the complete content of an engine's KV cache.

Load pattern: all gateways lose power at once, or one starts alone, while the engines
retain their cached prompt parts.  An engine's events go back a short time only, and a
part that was cached earlier causes no further event while it stays cached.  Prompts
whose parts are cached there would be computed again.  Listing all parts stalls the
engine for a moment, so one gateway lists an engine and the others copy its list.

Terms
-----
incomplete
    Said of an engine of which this gateway does not know all cached prompt parts.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import cache_part_index

LISTS_AT_ONCE: Final = 4
"""Most engines that one gateway lists in a step, one after the other.  Bounds how many
of them stall within a short time."""

STEP_MS: Final = 200
"""Interval of the steps: each is at most one call to a peer and a few listings."""

RANK_DELAY_MS: Final = 800
"""Delay of a listing for each gateway that ranks before this one for the engine: the
time of a few steps and of passing the list on to the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListingStep:
    """How to obtain the content of incomplete engines in one step.

    Attributes
    ----------
    to_ask : tuple of HolderName
        Engines to ask a peer for.
    to_list : tuple of HolderName
        Engines to list, unless they are complete after the peer's answer.
    """

    to_ask: tuple[cache_part_index.HolderName, ...] = ()
    to_list: tuple[cache_part_index.HolderName, ...] = ()


class CacheListingPlanner:
    """Aggregate of the incomplete engines, each with the time since which it is so.

    Parameters
    ----------
    own : VmName
        Name of this gateway.
    """

    def __init__(self, own: ids.VmName) -> None:
        self._own = own
        self._incomplete_since_ms: dict[cache_part_index.HolderName, int] = {}

    def plan(
        self,
        incomplete: Iterable[cache_part_index.HolderName],
        readers: Sequence[ids.VmName],
        now_ms: int,
    ) -> ListingStep:
        """Return the next step.

        Parameters
        ----------
        incomplete : iterable of HolderName
            Incomplete engines that this gateway reads.
        readers : sequence of VmName
            All gateways that read the engines.
        """
        self._incomplete_since_ms = {
            name: self._incomplete_since_ms.get(name, now_ms) for name in incomplete
        }
        due = [
            name
            for name, since_ms in self._incomplete_since_ms.items()
            if now_ms - since_ms >= self._rank(name, readers) * RANK_DELAY_MS
        ]
        has_peers = any(each != self._own for each in readers)
        return ListingStep(
            tuple(self._incomplete_since_ms) if has_peers else (),
            tuple(due[:LISTS_AT_ONCE]),
        )

    def _rank(
        self, name: cache_part_index.HolderName, readers: Sequence[ids.VmName]
    ) -> int:
        """Return the number of gateways that rank before this one for an engine."""
        return rendezvous.ranked(name, readers, len(readers)).index(self._own)
