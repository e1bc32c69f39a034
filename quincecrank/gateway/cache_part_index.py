"""Index of the prompt parts that each engine and KV cache store holds.

Maintained from the cache events of each holder.  Events arrive late and some are lost.
For engines an entry is therefore a hint; a wrong one costs a cache miss.  For managed
stores an entry guarantees that the part is complete: only an event that reported the
complete part creates it, and it ends with the holder's epoch.

Terms
-----
holder
    Engine or store that holds KV cache.
epoch
    Number of a holder that changes when it starts again with no contents.
managed store
    KV cache store that evicts nothing; gateways remove its parts.
salt
    Separates KV cache that must not be shared; see `make_salt`.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, NewType

from quincecrank import ids
from quincecrank.gateway import deployment, prompts

HolderName = NewType("HolderName", str)
"""Id of a backend server, or the service name of a KV cache store."""

CacheSalt = NewType("CacheSalt", str)

_SEPARATOR: Final = "."
_ESCAPED_SEPARATOR: Final = "%2E"
_ESCAPE: Final = "%"
_ESCAPED_ESCAPE: Final = "%25"
_FIELD_COUNT: Final = 3
"""Fields of a salt: version, model, isolated account."""


class PartKey(NamedTuple):
    """Identifies a part in a cache: only requests with the same salt share it."""

    salt: CacheSalt
    part_id: prompts.PartId


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChange:
    """A change of what a holder holds of a part.

    Attributes
    ----------
    tokens : int
        Tokens of the part that the holder holds now; 0 once it holds none.
    """

    part_key: PartKey
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaltWeights:
    """Weights that computed the KV cache of a salt."""

    model: deployment.ModelName
    version: int


def make_salt(
    model: deployment.ModelName, version: int, owner: ids.AccountName | None
) -> CacheSalt:
    """Return the salt of requests that may share KV cache.

    It contains the weights and, for an isolated account, the account.  So a request
    never uses KV cache of other weights or of another, isolated account.  Names are
    escaped, so that equal salts have equal fields.
    """
    fields = (str(version), _escape(model), _escape(owner or ""))
    return CacheSalt(_SEPARATOR.join(fields))


def parse_salt(salt: CacheSalt) -> SaltWeights | None:
    """Return the weights in a salt; None if `make_salt` can't have made it.

    Earlier releases did not escape names: the fields of such a salt are not known if a
    name contains the separator.
    """
    fields = salt.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT:
        return None
    version, model, _ = fields
    if not version.isdecimal():
        return None
    return SaltWeights(deployment.ModelName(_unescape(model)), int(version))


def _escape(name: str) -> str:
    escaped = name.replace(_ESCAPE, _ESCAPED_ESCAPE)
    return escaped.replace(_SEPARATOR, _ESCAPED_SEPARATOR)


def _unescape(name: str) -> str:
    unescaped = name.replace(_ESCAPED_SEPARATOR, _SEPARATOR)
    return unescaped.replace(_ESCAPED_ESCAPE, _ESCAPE)


@dataclasses.dataclass(slots=True)
class _HolderContents:
    """Contents of one holder, tracked since its start or the last reset."""

    epoch: int
    since_ms: int
    is_fully_tracked: bool
    tokens_by_part: dict[PartKey, int] = dataclasses.field(default_factory=dict)


class CacheIndex:
    """The parts that each holder holds."""

    def __init__(self) -> None:
        self._contents_by_holder: dict[HolderName, _HolderContents] = {}

    def reset(
        self,
        holder: HolderName,
        epoch: int,
        now_ms: int,
        *,
        is_fully_tracked: bool = False,
    ) -> None:
        """Discard the tracked contents of a holder and start to track it.

        Parameters
        ----------
        is_fully_tracked : bool
            Whether the changes that follow list all that it holds.
        """
        contents = self._contents_by_holder.get(holder)
        if contents is not None and contents.epoch == epoch:
            now_ms = contents.since_ms
        self._contents_by_holder[holder] = _HolderContents(
            epoch, now_ms, is_fully_tracked
        )

    def apply(self, holder: HolderName, changes: Iterable[CacheChange]) -> None:
        """Apply changes in the order in which the holder made them.

        Without effect for a holder that is not tracked.
        """
        contents = self._contents_by_holder.get(holder)
        if contents is None:
            return
        tokens_by_part = contents.tokens_by_part
        for change in changes:
            if change.tokens:
                tokens_by_part[change.part_key] = change.tokens
            else:
                tokens_by_part.pop(change.part_key, None)

    def snapshot(self, holder: HolderName) -> tuple[CacheChange, ...]:
        """Return all that a holder holds, as changes of an empty holder."""
        contents = self._contents_by_holder.get(holder)
        parts = contents.tokens_by_part if contents else {}
        return tuple(CacheChange(part, tokens) for part, tokens in parts.items())

    def is_tracked(self, holder: HolderName) -> bool:
        """Return whether a holder is tracked, even if it holds nothing."""
        return holder in self._contents_by_holder

    def is_fully_tracked(self, holder: HolderName) -> bool:
        """Return whether all that a holder holds is tracked, except for lost events."""
        contents = self._contents_by_holder.get(holder)
        return contents is not None and contents.is_fully_tracked

    def tracked_for_ms(self, holder: HolderName, now_ms: int) -> int:
        """Return the time since a holder was first tracked in its epoch; else 0."""
        contents = self._contents_by_holder.get(holder)
        return now_ms - contents.since_ms if contents else 0

    def epoch_of(self, holder: HolderName) -> int | None:
        """Return the epoch of a holder; None if it is not tracked."""
        contents = self._contents_by_holder.get(holder)
        return contents.epoch if contents else None

    def remove(self, holder: HolderName) -> None:
        """Stop tracking a holder."""
        self._contents_by_holder.pop(holder, None)

    def holds(
        self, holder: HolderName, salt: CacheSalt, part: prompts.PromptPart
    ) -> bool:
        """Return whether a holder holds the complete part."""
        contents = self._contents_by_holder.get(holder)
        if contents is None:
            return False
        key = PartKey(salt, part.part_id)
        return contents.tokens_by_part.get(key, 0) >= part.tokens

    def holds_any(self, holder: HolderName, keys: Iterable[PartKey]) -> bool:
        """Return whether a holder holds any of the parts, complete or not."""
        contents = self._contents_by_holder.get(holder)
        return contents is not None and not contents.tokens_by_part.keys().isdisjoint(
            keys
        )

    def held_prefix_length(
        self,
        holder: HolderName,
        salt: CacheSalt,
        parts: Sequence[prompts.PromptPart],
    ) -> int:
        """Return the number of leading `parts` that a holder holds complete."""
        for index, part in enumerate(parts):
            if not self.holds(holder, salt, part):
                return index
        return len(parts)

    def tokens_held(self, holder: HolderName) -> int:
        """Return the number of tokens that a holder holds."""
        contents = self._contents_by_holder.get(holder)
        return sum(contents.tokens_by_part.values()) if contents else 0

    def parts_of(self, holder: HolderName) -> tuple[PartKey, ...]:
        """Return the parts that a holder holds, complete or not."""
        contents = self._contents_by_holder.get(holder)
        return tuple(contents.tokens_by_part) if contents else ()
