"""Placement decisions of the agent that holds a prefix's directory entry.

Each lookup of a prompt reaches this agent, so that it can record when the prefix
returns and ensure that each block is written once.
"""

import dataclasses
import secrets
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from quincecrank import (
    chain_view,
    configuration,
    directory,
    ids,
    placement,
    return_history,
    sealed_block,
)

PREFETCH_LEAD_FRACTION: Final = 1 / 30
"""Fraction of the period: how long before a peak prefixes are prefetched."""

_WRITE_ID_BYTES: Final = 9


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementInputs:
    """Inputs of a placement decision other than the prompt.

    Attributes
    ----------
    block_bytes : int
        Size of one sealed block.
    prefill_tokens_per_second : float
        Tokens of prompts that a replica computes in a second.
    tiers : tuple of TierState
        Tiers that store blocks of the deployment.
    """

    cost_weights: configuration.PolicyWeights
    block_bytes: int
    prefill_tokens_per_second: float
    tiers: tuple[placement.TierState, ...]


class PlacementAdvisor:
    """Aggregate of the history and the write claims of one directory shard.

    Parameters
    ----------
    shard : DirectoryShard
        The shard that this agent holds.
    period_ms : int
        Period of the load, see module ``return_history``.
    """

    def __init__(
        self,
        shard: directory.DirectoryShard,
        period_ms: int = return_history.HOUR_MS,
    ) -> None:
        self._shard = shard
        self._period_ms = period_ms
        self._history = return_history.ReturnHistory(period_ms)
        self._claims = placement.WriteClaims()
        self._last_prefetch_wall_ms = 0

    def plan_writes(
        self,
        keys: tuple[ids.BlockKey, ...],
        chain: chain_view.ChainView,
        inputs: PlacementInputs,
        now_ms: int,
        wall_ms: int,
    ) -> placement.WritePlan:
        """Record a lookup and return which blocks its request should write."""
        if not keys:
            return placement.WritePlan((), "no complete block")
        self._history.record_prompt(keys, wall_ms)
        request = placement.WriteRequest(
            keys,
            self._claims.grant(keys, chain, now_ms),
            secrets.token_hex(_WRITE_ID_BYTES),
            inputs.block_bytes,
            inputs.prefill_tokens_per_second,
            inputs.cost_weights,
        )
        forecast = self._history.forecast(keys[0], wall_ms)
        plan = placement.plan_writes(request, forecast, inputs.tiers)
        planned = {copy.index for copy in plan.copies}
        self._claims.release(
            keys[index] for index in request.claimed if index not in planned
        )
        return plan

    def record_stored(self, keys: Sequence[ids.BlockKey]) -> None:
        """Release the write claims on blocks whose copies have been announced."""
        self._claims.release(keys)

    def evictions(
        self, tier: placement.TierState, block_bytes: int, wall_ms: int
    ) -> tuple[chain_view.StoredBlock, ...]:
        """Return the copies of this shard that a full tier should evict.

        Each shard evicts in proportion to its copies in the tier, so that all shards
        together evict enough without exchanging messages.
        """
        excess = tier.bytes_to_evict()
        if not excess:
            return ()
        prefixes = list(self._stored_prefixes(tier, wall_ms))
        own_bytes = sum(len(prefix.copies) for prefix in prefixes) * block_bytes
        own_excess = int(excess * min(1.0, own_bytes / tier.used_bytes))
        return placement.choose_evictions(prefixes, own_excess, block_bytes)

    def prefetches(
        self,
        cache_blocks_by_server: Mapping[ids.BackendServerName, int],
        wall_ms: int,
    ) -> tuple[placement.PrefetchOrder, ...]:
        """Return what to import now; empty except shortly before a learned peak."""
        starts_in_ms = self._history.time_to_peak_ms(wall_ms)
        lead_ms = self._period_ms * PREFETCH_LEAD_FRACTION
        if not starts_in_ms or starts_in_ms > lead_ms:
            return ()
        if wall_ms - self._last_prefetch_wall_ms < 2 * lead_ms:
            return ()
        self._last_prefetch_wall_ms = wall_ms
        horizon_ms = int(starts_in_ms + 2 * lead_ms)
        due = [
            placement.DuePrefix(
                root, self._shard.lookup(self._history.shared_keys(root))
            )
            for root in self._history.due_roots(wall_ms, horizon_ms)
        ]
        return placement.choose_prefetches(due, dict(cache_blocks_by_server))

    def _stored_prefixes(
        self, tier: placement.TierState, wall_ms: int
    ) -> Iterator[placement.StoredPrefix]:
        for stored in self._shard.stored_chains(tier.store, tier.tier):
            order = self._history.shared_keys(stored.root)
            position_by_key = {key: position for position, key in enumerate(order)}
            # Blocks behind the shared part are not expected again: evicted first.
            keys = sorted(
                stored.holders_by_key,
                key=lambda key: position_by_key.get(key, len(position_by_key)),
            )
            copies = tuple(
                chain_view.StoredBlock(
                    index,
                    tier.store,
                    sealed_block.BlockName(
                        stored.root, key, stored.holders_by_key[key].write_id
                    ).object_name(),
                    tier.tier,
                )
                for index, key in enumerate(keys)
            )
            forecast = self._history.forecast(stored.root, wall_ms)
            yield placement.StoredPrefix(stored.root, copies, forecast)
