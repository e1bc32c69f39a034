"""Which parts of prompts which engines and kept-cache stores hold.

Fed by the cache events of each holder.  Events come late and some never come, so
this is a hint for engines: a wrong entry costs a miss.  For managed stores an entry
is a promise that the part is complete: it is made only by an event that reported the
whole part, and ends with the holder's epoch.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import NewType

from quincecrank.gateway import prompts

HolderName = NewType("HolderName", str)
"""Id of a backend server, or the name of a kept-cache store's service."""

CacheSalt = NewType("CacheSalt", str)


@dataclasses.dataclass(frozen=True, slots=True)
class PartKey:
    """A part as caches name it: parts are shared only under one salt."""

    salt: CacheSalt
    part_id: prompts.PartId


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChange:
    """A change of what a holder has of a part.

    Attributes
    ----------
    tokens : int
        Tokens that the holder has of the part now.
    """

    part: PartKey
    tokens: int
    is_removal: bool


class CacheDirectory:
    """Aggregate of the parts held by each holder."""

    def __init__(self) -> None:
        self._tokens_by_holder: dict[HolderName, dict[PartKey, int]] = {}

    def apply(self, holder: HolderName, changes: Iterable[CacheChange]) -> None:
        """Take changes in the order in which the holder made them."""
        held = self._tokens_by_holder.setdefault(holder, {})
        for change in changes:
            if change.is_removal and change.tokens == 0:
                held.pop(change.part, None)
            elif change.tokens:
                held[change.part] = change.tokens
            else:
                held.pop(change.part, None)

    def is_known(self, holder: HolderName) -> bool:
        """Return whether the holder answers, whatever it holds."""
        return holder in self._tokens_by_holder

    def forget(self, holder: HolderName) -> None:
        """Forget what a holder has."""
        self._tokens_by_holder.pop(holder, None)

    def holds(
        self, holder: HolderName, salt: CacheSalt, part: prompts.PromptPart
    ) -> bool:
        """Return whether a holder has the whole part."""
        held = self._tokens_by_holder.get(holder, {})
        return held.get(PartKey(salt, part.part_id), 0) >= part.tokens

    def held_prefix(
        self,
        holder: HolderName,
        salt: CacheSalt,
        parts: Sequence[prompts.PromptPart],
    ) -> int:
        """Return how many of the first parts a holder has without a gap."""
        for index, part in enumerate(parts):
            if not self.holds(holder, salt, part):
                return index
        return len(parts)

    def tokens_held(self, holder: HolderName) -> int:
        """Return the tokens that a holder is known to have."""
        return sum(self._tokens_by_holder.get(holder, {}).values())

    def parts_of(self, holder: HolderName) -> tuple[PartKey, ...]:
        """Return the parts that a holder is known to have."""
        return tuple(self._tokens_by_holder.get(holder, {}))
