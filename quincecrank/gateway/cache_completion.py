"""Decides how a gateway learns all that an engine keeps after changes were lost.

Load pattern: all gateways lose power at once, or one starts alone, while the engines
keep what they have.  An engine's events go back a short time only, and what it held
before is never told again while it keeps it, so prompts whose parts are there would be
computed anew.  Listing everything stalls the engine for a moment: one gateway lists an
engine, and the others take the list from it.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import cache_directory

LISTS_AT_ONCE: Final = 4
"""Engines that one gateway lists in one step, so that few of them stall together."""

STEP_MS: Final = 200
"""Interval of the steps while something is lacking: a call to a peer and some lists."""

RANK_DELAY_MS: Final = 800
"""Time given to each gateway that goes before this one: some steps, and a list's way
to the others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What to do about engines of which not everything is known.

    Attributes
    ----------
    to_ask : tuple of HolderName
        Engines to ask a peer for.
    to_list : tuple of HolderName
        Engines to list, if the peer did not have them.
    """

    to_ask: tuple[cache_directory.HolderName, ...] = ()
    to_list: tuple[cache_directory.HolderName, ...] = ()


class CacheCompletion:
    """Aggregate of the engines of which not everything is known, and since when.

    Parameters
    ----------
    own : VmName
        Name of this gateway.
    """

    def __init__(self, own: ids.VmName) -> None:
        self._own = own
        self._lacking_since_ms: dict[cache_directory.HolderName, int] = {}

    def plan(
        self,
        lacking: Iterable[cache_directory.HolderName],
        readers: Sequence[ids.VmName],
        now_ms: int,
    ) -> Step:
        """Return the next step.

        Parameters
        ----------
        lacking : iterable of HolderName
            Engines that this gateway reads and does not know whole.
        readers : sequence of VmName
            All gateways that read the engines.
        """
        self._lacking_since_ms = {
            name: self._lacking_since_ms.get(name, now_ms) for name in lacking
        }
        due = [
            name
            for name, since_ms in self._lacking_since_ms.items()
            if now_ms - since_ms >= self._rank(name, readers) * RANK_DELAY_MS
        ]
        has_peers = any(each != self._own for each in readers)
        return Step(
            tuple(self._lacking_since_ms) if has_peers else (),
            tuple(due[:LISTS_AT_ONCE]),
        )

    def _rank(
        self, name: cache_directory.HolderName, readers: Sequence[ids.VmName]
    ) -> int:
        """Return how many gateways go before this one in listing an engine."""
        return rendezvous.ranked(name, readers, len(readers)).index(self._own)
