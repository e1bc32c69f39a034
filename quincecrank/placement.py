"""Placement: which blocks are written to which tier, freed and fetched in advance."""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Final

from quincecrank import (
    chain_view,
    configuration,
    ids,
    rendezvous,
    return_history,
    routing,
    sealed_block,
    tokenizers,
)

CLAIM_MS: Final = 15_000
"""Time for which one request may write blocks that others then leave alone."""

FULL_SHARE: Final = 0.85
"""Part of a tier's capacity above which new blocks go elsewhere."""

FREE_ABOVE_SHARE: Final = 0.9
"""Part of a tier's capacity above which blocks are freed."""

FREE_DOWN_TO_SHARE: Final = 0.8
"""Part of a tier's capacity that freeing leaves in use."""

GRACE_MS: Final = 30_000
"""Time between taking a copy out of the directory and deleting it."""

PREFETCH_CACHE_SHARE: Final = 0.5
"""Part of an engine's cache that a prefetch may fill."""


@dataclasses.dataclass(frozen=True, slots=True)
class TierState:
    """One tier at one store VM."""

    store: ids.VmName
    tier: ids.TierName
    kind: configuration.TierKind
    link_bytes_per_second: float
    capacity_bytes: int
    used_bytes: int

    def has_room(self, size_bytes: int) -> bool:
        """Return whether `size_bytes` more may be written."""
        return self.used_bytes + size_bytes <= self.capacity_bytes * FULL_SHARE

    def bytes_to_free(self) -> int:
        """Return how much is to be freed now."""
        if self.used_bytes <= self.capacity_bytes * FREE_ABOVE_SHARE:
            return 0
        return int(self.used_bytes - self.capacity_bytes * FREE_DOWN_TO_SHARE)


@dataclasses.dataclass(frozen=True, slots=True)
class KeepRequest:
    """A prompt whose blocks could be written.

    Attributes
    ----------
    keys : tuple of BlockKey
        Keys of the prompt's whole blocks.
    claimed : frozenset of int
        Indexes that this request may write, see `WriteClaims`.
    write_id : str
        Unique part of the objects' names.
    block_bytes : int
        Size of one sealed block.
    prefill_tokens_per_second : float
        Speed at which a lost block would be computed again.
    """

    keys: tuple[ids.BlockKey, ...]
    claimed: frozenset[int]
    write_id: str
    block_bytes: int
    prefill_tokens_per_second: float
    weights: configuration.PolicyWeights


@dataclasses.dataclass(frozen=True, slots=True)
class KeepPlan:
    """Blocks to write after a run, and why.

    The last block of the prompt comes first: engines evict the end of a prefix
    first, and an export counts as a use, which must leave the head of the prefix
    the most recently used part.
    """

    copies: tuple[chain_view.StoredBlock, ...]
    reason: str


class WriteClaims:
    """Grants each block to one writer at a time, so that it is written once.

    The agent that keeps a root's directory entry grants the claims with the answer
    to a lookup; an unused claim expires.
    """

    def __init__(self) -> None:
        self._until_by_key: dict[ids.BlockKey, int] = {}

    def grant(
        self, keys: Sequence[ids.BlockKey], chain: chain_view.ChainView, now_ms: int
    ) -> frozenset[int]:
        """Return the indexes of blocks without a copy that nobody else writes."""
        self._expire(now_ms)
        stored = {copy.index for copy in chain.copies}
        granted = frozenset(
            index
            for index, key in enumerate(keys)
            if index not in stored and key not in self._until_by_key
        )
        for index in granted:
            self._until_by_key[keys[index]] = now_ms + CLAIM_MS
        return granted

    def release(self, keys: Iterable[ids.BlockKey]) -> None:
        """Let others write `keys`, because their copies are announced or failed."""
        for key in keys:
            self._until_by_key.pop(key, None)

    def _expire(self, now_ms: int) -> None:
        # Claims are granted in order of time, so the first ones expire first.
        for key, until_ms in tuple(self._until_by_key.items()):
            if until_ms > now_ms:
                return
            del self._until_by_key[key]


def keep_plan(
    request: KeepRequest,
    forecast: return_history.Forecast,
    tiers: Sequence[TierState],
) -> KeepPlan:
    """Return which blocks of a prompt to write, and where.

    A block is written when its expected saving is above the cost of writing it;
    the blocks behind the shared part of a prefix are not expected to return.
    """
    depth = len(request.keys)
    if forecast.shared_blocks is not None:
        depth = min(depth, forecast.shared_blocks)
    wanted = [index for index in sorted(request.claimed) if index < depth]
    tier = _choose_tier(request, len(wanted), tiers)
    if not wanted or tier is None:
        place = "none with room" if tier is None else tier.tier
        return KeepPlan((), f"blocks={len(wanted)} depth={depth} tier={place}")
    saving = _saving_per_block(request, tier)
    link_cost = _link_cost(request)
    expected = forecast.return_probability * saving
    reason = (
        f"return={forecast.return_probability:.2f} saving={saving:.1f}ms "
        f"write={link_cost:.1f}ms blocks={len(wanted)} depth={depth}"
    )
    if expected <= link_cost:
        return KeepPlan((), reason)
    root = request.keys[0]
    copies = tuple(
        chain_view.StoredBlock(
            index,
            tier.store,
            sealed_block.BlockName(
                root, request.keys[index], request.write_id
            ).object_name(),
            tier.tier,
        )
        for index in reversed(wanted)
    )
    return KeepPlan(copies, reason)


def _choose_tier(
    request: KeepRequest, block_count: int, tiers: Sequence[TierState]
) -> TierState | None:
    """Return the fastest tier with room; one store VM keeps the whole chain."""
    size_bytes = block_count * request.block_bytes
    with_room = [tier for tier in tiers if tier.has_room(size_bytes)]
    if not with_room or not request.keys:
        return None
    root = request.keys[0]
    return max(
        with_room,
        key=lambda tier: (
            tier.kind is configuration.TierKind.MEMORY,
            rendezvous.weight(root, tier.store),
        ),
    )


def _link_cost(request: KeepRequest) -> float:
    mebibytes = request.block_bytes / routing.BYTES_PER_MEBIBYTE
    return request.weights.link * mebibytes


def _saving_per_block(request: KeepRequest, tier: TierState) -> float:
    """Return what one restored block saves over a recomputed one, in milliseconds."""
    weights = request.weights
    compute_ms = tokenizers.BLOCK_TOKENS * 1000 / request.prefill_tokens_per_second
    restore_ms = request.block_bytes * 1000 / tier.link_bytes_per_second
    recomputed = tokenizers.BLOCK_TOKENS / routing.TOKENS_PER_WEIGHT
    return (
        weights.first_token * (compute_ms - restore_ms)
        + weights.recomputed * recomputed
        - _link_cost(request)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPrefix:
    """The copies of one root in one tier of a store VM, in order of the chain."""

    root: ids.BlockKey
    copies: tuple[chain_view.StoredBlock, ...]
    forecast: return_history.Forecast


def choose_evictions(
    prefixes: Iterable[StoredPrefix], bytes_to_free: int, block_bytes: int
) -> tuple[chain_view.StoredBlock, ...]:
    """Return the copies to free: least expected reuse first, each from its end."""
    count = -(-bytes_to_free // block_bytes)
    ordered = sorted(
        prefixes, key=lambda prefix: (prefix.forecast.value_per_block(), prefix.root)
    )
    chosen: list[chain_view.StoredBlock] = []
    for prefix in ordered:
        if len(chosen) >= count:
            break
        chosen.extend(reversed(prefix.copies[-(count - len(chosen)) :]))
    return tuple(chosen)


@dataclasses.dataclass(frozen=True, slots=True)
class DuePrefix:
    """A prefix that is expected soon, the likeliest first in a list of them."""

    root: ids.BlockKey
    chain: chain_view.ChainView


@dataclasses.dataclass(frozen=True, slots=True)
class PrefetchOrder:
    """Blocks that one backend server should import now."""

    server: ids.BackendServerName
    root: ids.BlockKey
    copies: tuple[chain_view.StoredBlock, ...]


def choose_prefetches(
    due: Iterable[DuePrefix],
    cache_blocks_by_server: dict[ids.BackendServerName, int],
) -> tuple[PrefetchOrder, ...]:
    """Return what to import before a peak.

    A prefix goes to the replica that all entries prefer for it, unless some
    replica holds it already, until half of each engine's cache is spoken for.
    """
    room_by_server = {
        server: int(blocks * PREFETCH_CACHE_SHARE)
        for server, blocks in cache_blocks_by_server.items()
    }
    orders = []
    for prefix in due:
        if not room_by_server:
            break
        server = rendezvous.ranked(prefix.root, room_by_server, 1)[0]
        needed = prefix.chain.block_count
        holders = [
            name for name in room_by_server if prefix.chain.held_prefix(name) == needed
        ]
        copies = _first_copies(prefix.chain)
        if needed > room_by_server[server] or (not holders and not copies):
            continue
        if holders:
            room_by_server[holders[0]] -= needed
            continue
        room_by_server[server] -= needed
        orders.append(PrefetchOrder(server, prefix.root, copies))
    return tuple(orders)


def _first_copies(chain: chain_view.ChainView) -> tuple[chain_view.StoredBlock, ...]:
    """Return one copy of each leading block, up to the first that has none."""
    by_index = chain.copies_by_index()
    copies = []
    for index in range(chain.block_count):
        if index not in by_index:
            break
        copies.append(by_index[index][0])
    return tuple(copies)
