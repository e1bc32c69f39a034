"""Placement of cached blocks: writes to store tiers, evictions and prefetches.

Terms
-----
tier
    One kind of storage, such as memory or disk, on one or more store VMs.
write claim
    Permission of one request to write a block, so that no block is written twice.
chain
    Keys of the blocks of one prompt, in order.
root
    Key of the first block of a chain.
prefix
    Leading blocks of a chain.
"""

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

WRITE_CLAIM_MS: Final = 15_000
"""Time after which a write claim expires."""

MAX_FILL_FRACTION: Final = 0.85
"""Fraction of a tier's capacity above which no new blocks are written to it."""

EVICT_ABOVE_FRACTION: Final = 0.9
"""Fraction of a tier's capacity above which blocks are evicted."""

EVICT_DOWN_TO_FRACTION: Final = 0.8
"""Fraction of a tier's capacity that an eviction leaves in use."""

DELETE_DELAY_MS: Final = 30_000
"""Time between removing a copy from the directory and deleting it."""

PREFETCH_CACHE_FRACTION: Final = 0.5
"""Fraction of an engine's cache that a prefetch may fill."""


@dataclasses.dataclass(frozen=True, slots=True)
class TierState:
    """One tier at one store VM."""

    store: ids.VmName
    tier: ids.TierName
    kind: configuration.TierKind
    link_bytes_per_second: float
    capacity_bytes: int
    used_bytes: int

    def has_space(self, size_bytes: int) -> bool:
        """Return whether `size_bytes` more fit below `MAX_FILL_FRACTION`."""
        return self.used_bytes + size_bytes <= self.capacity_bytes * MAX_FILL_FRACTION

    def bytes_to_evict(self) -> int:
        """Return the bytes to evict now.

        0 while at most `EVICT_ABOVE_FRACTION` of the capacity is used.
        """
        if self.used_bytes <= self.capacity_bytes * EVICT_ABOVE_FRACTION:
            return 0
        return int(self.used_bytes - self.capacity_bytes * EVICT_DOWN_TO_FRACTION)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRequest:
    """A prompt whose blocks may be written to a store.

    Attributes
    ----------
    keys : tuple of BlockKey
        Keys of the prompt's complete blocks.
    claimed : frozenset of int
        Indexes of the blocks that this request may write, see `WriteClaims`.
    write_id : str
        Unique part of the objects' names.
    block_bytes : int
        Size of one sealed block.
    prefill_tokens_per_second : float
        Speed at which a block that is not stored would be computed again.
    """

    keys: tuple[ids.BlockKey, ...]
    claimed: frozenset[int]
    write_id: str
    block_bytes: int
    prefill_tokens_per_second: float
    cost_weights: configuration.PolicyWeights


@dataclasses.dataclass(frozen=True, slots=True)
class WritePlan:
    """Blocks to write after a run, and why.

    The blocks are written in reverse order.  Exporting a block counts as a use in the
    engine.  Exporting the first block last makes the head of the prefix its most
    recently used part, which the engine evicts last.
    """

    copies: tuple[chain_view.StoredBlock, ...]
    reason: str


class WriteClaims:
    """Write claims on blocks, so that each block is written once.

    The directory agent that answers the lookup of a prompt grants them in its reply.
    They expire after `WRITE_CLAIM_MS`.
    """

    def __init__(self) -> None:
        self._expiry_ms_by_key: dict[ids.BlockKey, int] = {}

    def grant(
        self, keys: Sequence[ids.BlockKey], chain: chain_view.ChainView, now_ms: int
    ) -> frozenset[int]:
        """Claim the blocks that have neither a stored copy nor a write claim.

        Returns their indexes.
        """
        self._expire(now_ms)
        stored = {copy.index for copy in chain.copies}
        granted = frozenset(
            index
            for index, key in enumerate(keys)
            if index not in stored and key not in self._expiry_ms_by_key
        )
        for index in granted:
            self._expiry_ms_by_key[keys[index]] = now_ms + WRITE_CLAIM_MS
        return granted

    def release(self, keys: Iterable[ids.BlockKey]) -> None:
        """Remove the write claims on blocks that are stored or will not be written."""
        for key in keys:
            self._expiry_ms_by_key.pop(key, None)

    def _expire(self, now_ms: int) -> None:
        # The claims are in the order of their expiry, since all last equally long.
        for key, until_ms in tuple(self._expiry_ms_by_key.items()):
            if until_ms > now_ms:
                return
            del self._expiry_ms_by_key[key]


def plan_writes(
    request: WriteRequest,
    forecast: return_history.Forecast,
    tiers: Sequence[TierState],
) -> WritePlan:
    """Return which blocks of a prompt to write, and where.

    A block is written if its expected saving exceeds the cost of writing it.  Only the
    leading blocks that the prompts of one root have in common are written (`depth` is
    their number); the others are not expected to be requested again.
    """
    depth = len(request.keys)
    if forecast.shared_blocks is not None:
        depth = min(depth, forecast.shared_blocks)
    to_write = [index for index in sorted(request.claimed) if index < depth]
    tier = _choose_write_tier(request, len(to_write), tiers)
    if not to_write or tier is None:
        tier_name = "none with room" if tier is None else tier.tier
        return WritePlan((), f"blocks={len(to_write)} depth={depth} tier={tier_name}")
    saving = _saving_per_block(request, tier)
    write_cost = _transfer_cost(request)
    expected_saving = forecast.return_probability * saving
    reason = (
        f"return={forecast.return_probability:.2f} saving={saving:.1f}ms "
        f"write={write_cost:.1f}ms blocks={len(to_write)} depth={depth}"
    )
    if expected_saving <= write_cost:
        return WritePlan((), reason)
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
        for index in reversed(to_write)
    )
    return WritePlan(copies, reason)


def _choose_write_tier(
    request: WriteRequest, block_count: int, tiers: Sequence[TierState]
) -> TierState | None:
    """Return a tier with space for the blocks, or None.

    Memory is preferred.  All blocks of a root prefer the same store VM.
    """
    size_bytes = block_count * request.block_bytes
    with_space = [tier for tier in tiers if tier.has_space(size_bytes)]
    if not with_space or not request.keys:
        return None
    root = request.keys[0]
    return max(
        with_space,
        key=lambda tier: (
            tier.kind is configuration.TierKind.MEMORY,
            rendezvous.weight(root, tier.store),
        ),
    )


def _transfer_cost(request: WriteRequest) -> float:
    """Return the cost in ms of moving one block over a link, in either direction."""
    mebibytes = request.block_bytes / routing.BYTES_PER_MEBIBYTE
    return request.cost_weights.link * mebibytes


def _saving_per_block(request: WriteRequest, tier: TierState) -> float:
    """Return the cost of recomputing a block minus that of restoring it, in ms."""
    weights = request.cost_weights
    compute_ms = tokenizers.BLOCK_TOKENS * 1000 / request.prefill_tokens_per_second
    restore_ms = request.block_bytes * 1000 / tier.link_bytes_per_second
    recomputed = tokenizers.BLOCK_TOKENS / routing.TOKENS_PER_RECOMPUTE_COST
    return (
        weights.first_token * (compute_ms - restore_ms)
        + weights.recomputed * recomputed
        - _transfer_cost(request)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPrefix:
    """The copies of one root's blocks in one tier of a store VM.

    `copies` is in the order of the chain.
    """

    root: ids.BlockKey
    copies: tuple[chain_view.StoredBlock, ...]
    forecast: return_history.Forecast


def choose_evictions(
    prefixes: Iterable[StoredPrefix], bytes_to_free: int, block_bytes: int
) -> tuple[chain_view.StoredBlock, ...]:
    """Return the copies to evict.

    Prefixes with the least expected reuse are evicted first, each starting with its
    last block.
    """
    count = -(-bytes_to_free // block_bytes)
    ordered = sorted(
        prefixes, key=lambda prefix: (prefix.forecast.reuses_per_hour(), prefix.root)
    )
    chosen: list[chain_view.StoredBlock] = []
    for prefix in ordered:
        if len(chosen) >= count:
            break
        chosen.extend(reversed(prefix.copies[-(count - len(chosen)) :]))
    return tuple(chosen)


@dataclasses.dataclass(frozen=True, slots=True)
class DuePrefix:
    """A prefix that is expected to be requested soon."""

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
    """Return the blocks to import before a load peak; `due` is the likeliest first.

    A prefix that no replica holds completely goes to the replica that all entries
    prefer for it.  The due prefixes of an engine, including those that it already
    holds, fill at most `PREFETCH_CACHE_FRACTION` of its cache.
    """
    free_blocks_by_server = {
        server: int(blocks * PREFETCH_CACHE_FRACTION)
        for server, blocks in cache_blocks_by_server.items()
    }
    orders = []
    for prefix in due:
        if not free_blocks_by_server:
            break
        server = rendezvous.ranked(prefix.root, free_blocks_by_server, 1)[0]
        needed = prefix.chain.block_count
        holders = [
            name
            for name in free_blocks_by_server
            if prefix.chain.held_prefix(name) == needed
        ]
        copies = _first_copies(prefix.chain)
        if needed > free_blocks_by_server[server] or (not holders and not copies):
            continue
        if holders:
            free_blocks_by_server[holders[0]] -= needed
            continue
        free_blocks_by_server[server] -= needed
        orders.append(PrefetchOrder(server, prefix.root, copies))
    return tuple(orders)


def _first_copies(chain: chain_view.ChainView) -> tuple[chain_view.StoredBlock, ...]:
    """Return one copy of each leading block, up to the first without a copy."""
    by_index = chain.copies_by_index()
    copies = []
    for index in range(chain.block_count):
        if index not in by_index:
            break
        copies.append(by_index[index][0])
    return tuple(copies)
