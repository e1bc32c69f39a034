"""Which parts of prompts which engines and kept-cache stores hold.

Fed by the cache events of each holder.  Events come late and some never come, so
this is a hint for engines: a wrong entry costs a miss.  For managed stores an entry
is a promise that the part is complete: it is made only by an event that reported the
whole part, and ends with the holder's epoch.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, NewType

from quincecrank import ids
from quincecrank.gateway import deployment, prompts

HolderName = NewType("HolderName", str)
"""Id of a backend server, or the name of a kept-cache store's service."""

CacheSalt = NewType("CacheSalt", str)

_SEPARATOR: Final = "."


class PartKey(NamedTuple):
    """A part as caches name it: parts are shared only under one salt."""

    salt: CacheSalt
    part_id: prompts.PartId


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChange:
    """A change of what a holder has of a part.

    Attributes
    ----------
    tokens : int
        Tokens that the holder has of the part now; 0 once it has none.
    """

    part: PartKey
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The weights that made the parts of a salt."""

    model: deployment.ModelName
    version: int


def make_salt(
    model: deployment.ModelName, version: int, owner: ids.AccountName | None
) -> CacheSalt:
    """Return the salt of requests that may share KV cache.

    It names the weights and, for an isolated account, the account: a request can't
    meet KV cache of other weights or of an isolated account.
    """
    return CacheSalt(f"{version}{_SEPARATOR}{model}{_SEPARATOR}{owner or ''}")


def origin_of(salt: CacheSalt) -> Origin | None:
    """Return the weights that a salt names; None for a salt of another writer."""
    version, _, rest = salt.partition(_SEPARATOR)
    model, separator, _ = rest.partition(_SEPARATOR)
    if not separator or not version.isdigit():
        return None
    return Origin(deployment.ModelName(model), int(version))


@dataclasses.dataclass(slots=True)
class _Held:
    """What is known of one holder since its start, or since it was heard again."""

    epoch: int
    since_ms: int
    is_whole: bool
    tokens_by_part: dict[PartKey, int] = dataclasses.field(default_factory=dict)


class CacheDirectory:
    """Aggregate of the parts held by each holder."""

    def __init__(self) -> None:
        self._held_by_holder: dict[HolderName, _Held] = {}

    def restart(
        self, holder: HolderName, epoch: int, now_ms: int, *, is_whole: bool = False
    ) -> None:
        """Begin anew with a holder.

        Parameters
        ----------
        is_whole : bool
            Whether the changes that follow tell all that it holds.
        """
        known = self._held_by_holder.get(holder)
        if known is not None and known.epoch == epoch:
            now_ms = known.since_ms
        self._held_by_holder[holder] = _Held(epoch, now_ms, is_whole)

    def apply(self, holder: HolderName, changes: Iterable[CacheChange]) -> None:
        """Take changes in the order in which the holder made them."""
        known = self._held_by_holder.get(holder)
        if known is None:
            return
        held = known.tokens_by_part
        for change in changes:
            if change.tokens:
                held[change.part] = change.tokens
            else:
                held.pop(change.part, None)

    def all_held(self, holder: HolderName) -> tuple[CacheChange, ...]:
        """Return all that a holder has, as changes to a holder with nothing."""
        held = self._held_by_holder.get(holder)
        parts = held.tokens_by_part if held else {}
        return tuple(CacheChange(part, tokens) for part, tokens in parts.items())

    def is_known(self, holder: HolderName) -> bool:
        """Return whether the holder answers, whatever it holds."""
        return holder in self._held_by_holder

    def is_whole(self, holder: HolderName) -> bool:
        """Return whether all that a holder has is known, but for lost events."""
        held = self._held_by_holder.get(holder)
        return held is not None and held.is_whole

    def known_for_ms(self, holder: HolderName, now_ms: int) -> int:
        """Return for how long a holder has been known since its start."""
        held = self._held_by_holder.get(holder)
        return now_ms - held.since_ms if held else 0

    def epoch_of(self, holder: HolderName) -> int | None:
        """Return the epoch of a holder."""
        held = self._held_by_holder.get(holder)
        return held.epoch if held else None

    def forget(self, holder: HolderName) -> None:
        """Forget a holder."""
        self._held_by_holder.pop(holder, None)

    def holds(
        self, holder: HolderName, salt: CacheSalt, part: prompts.PromptPart
    ) -> bool:
        """Return whether a holder has the whole part."""
        held = self._held_by_holder.get(holder)
        if held is None:
            return False
        key = PartKey(salt, part.part_id)
        return held.tokens_by_part.get(key, 0) >= part.tokens

    def holds_any(self, holder: HolderName, keys: Iterable[PartKey]) -> bool:
        """Return whether a holder has something of one of the parts."""
        held = self._held_by_holder.get(holder)
        return held is not None and not held.tokens_by_part.keys().isdisjoint(keys)

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
        held = self._held_by_holder.get(holder)
        return sum(held.tokens_by_part.values()) if held else 0

    def parts_of(self, holder: HolderName) -> tuple[PartKey, ...]:
        """Return the parts that a holder is known to have."""
        held = self._held_by_holder.get(holder)
        return tuple(held.tokens_by_part) if held else ()
