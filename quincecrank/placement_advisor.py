"""Placement decisions of a directory agent for the prefixes in its shard.

An entry looks a prompt up at one of the responsible agents, normally the first of
them.  The agent that answers can therefore record when the prefix returns and ensure
that each block is written once.
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
"""Time before a peak at which prefixes are prefetched, as a fraction of the period.

Two minutes of an hour.
"""

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
    """Decides placement by the history and the write claims of one directory shard.

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
        together evict enough without exchanging messages.  A copy is listed in several
        shards; the caller evicts only those of which its agent is the first
        responsible one.
        """
        bytes_to_evict = tier.bytes_to_evict()
        if not bytes_to_evict:
            return ()
        prefixes = list(self._stored_prefixes(tier, wall_ms))
        own_bytes = sum(len(prefix.copies) for prefix in prefixes) * block_bytes
        own_bytes_to_evict = int(bytes_to_evict * min(1.0, own_bytes / tier.used_bytes))
        return placement.choose_evictions(prefixes, own_bytes_to_evict, block_bytes)

    def prefetches(
        self,
        cache_blocks_by_server: Mapping[ids.BackendServerName, int],
        wall_ms: int,
    ) -> tuple[placement.PrefetchOrder, ...]:
        """Return what to import now: once, shortly before each learned peak.

        Empty at all other times.
        """
        time_to_peak_ms = self._history.time_to_peak_ms(wall_ms)
        lead_ms = self._period_ms * PREFETCH_LEAD_FRACTION
        if not time_to_peak_ms or time_to_peak_ms > lead_ms:
            return ()
        # Prefetches for this peak have been returned already.
        if wall_ms - self._last_prefetch_wall_ms < 2 * lead_ms:
            return ()
        self._last_prefetch_wall_ms = wall_ms
        # Covers the first part of the peak, twice as long as the lead.
        horizon_ms = int(time_to_peak_ms + 2 * lead_ms)
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
            shared_keys = self._history.shared_keys(stored.root)
            position_by_key = {
                key: position for position, key in enumerate(shared_keys)
            }
            # Blocks that are not shared sort last and are evicted first.
            keys = sorted(
                stored.holders_by_key,
                key=lambda key: position_by_key.get(key, len(position_by_key)),
            )
            # The index counts the stored copies; evictions do not use it.
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
