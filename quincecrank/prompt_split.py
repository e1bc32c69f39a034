"""Ways to split a prompt between engine memory, restore and recomputation.

An engine can reuse only a contiguous prefix of cached blocks.  A split is therefore
given by one number, the leading blocks that need no recomputation; those of them that
the engine does not hold are restored, and everything after them is recomputed.
"""

import dataclasses
from collections.abc import Sequence

from quincecrank import chain_view, ids, routing, tokenizers


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One way to split a prompt.

    Attributes
    ----------
    blocks : int
        Leading blocks that need no recomputation.
    restored : int
        Number of these blocks that are restored.
    restore_ms : float
        Time until the last of them has been transferred.
    """

    blocks: int
    restored: int
    restore_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Splits:
    """The possible splits for one set of held blocks, the shortest first.

    Attributes
    ----------
    options : tuple of Split
        The first one restores nothing, the last one every block that can be restored.
    copies : tuple of StoredBlock
        Copies to restore; a split takes the first `Split.restored` of them.
    """

    options: tuple[Split, ...]
    copies: tuple[chain_view.StoredBlock, ...]


class SplitFinder:
    """Finds the splits of one prompt; engines that hold the same blocks share a result.

    Restores use all links concurrently; each block uses the copy whose link would
    deliver it first.

    Parameters
    ----------
    chain : ChainView
        Holders of the prompt's blocks.
    links : sequence of LinkState
        Links that restores may use; empty for a policy without tiers.
    block_bytes : int
        Size of one sealed block.
    """

    def __init__(
        self,
        chain: chain_view.ChainView,
        links: Sequence[routing.LinkState],
        block_bytes: int,
    ) -> None:
        self._chain = chain
        self._block_bytes = block_bytes
        self._links = routing.index_links(links)
        self._copies_by_index = chain.copies_by_index() if links else {}
        self._splits_by_held: dict[frozenset[int], Splits] = {}

    def splits(self, server: ids.BackendServerName) -> Splits:
        """Return the splits that are possible at `server`."""
        held = self._chain.held_by_server.get(server, frozenset())
        splits = self._splits_by_held.get(held)
        if splits is None:
            splits = self._find(held)
            self._splits_by_held[held] = splits
        return splits

    def _find(self, held: frozenset[int]) -> Splits:
        queued_bytes_by_link: dict[tuple[ids.VmName, ids.TierName], int] = {}
        copies: list[chain_view.StoredBlock] = []
        restore_ms = 0.0
        options = [Split(0, 0, 0.0)]
        for index in range(self._chain.block_count):
            if index not in held:
                found = self._first_copy(index, queued_bytes_by_link)
                if found is None:
                    break
                copy, done_ms = found
                copies.append(copy)
                restore_ms = max(restore_ms, done_ms)
            split = Split(index + 1, len(copies), restore_ms)
            # A held block costs nothing, so the shorter split is never better.
            if index in held:
                options[-1] = split
            else:
                options.append(split)
        return Splits(tuple(options), tuple(copies))

    def _first_copy(
        self,
        index: int,
        queued_bytes_by_link: dict[tuple[ids.VmName, ids.TierName], int],
    ) -> tuple[chain_view.StoredBlock, float] | None:
        """Return the copy that would arrive first, and its arrival time.

        `queued_bytes_by_link` holds the bytes queued so far; the copy's are added.
        """
        best: tuple[chain_view.StoredBlock, float] | None = None
        for copy in self._copies_by_index.get(index, ()):
            link = self._links.get((copy.store, copy.tier))
            if link is None:
                continue
            queued_bytes = (
                queued_bytes_by_link.get((copy.store, copy.tier), 0) + self._block_bytes
            )
            done_ms = link.transfer_ms(queued_bytes)
            if best is None or done_ms < best[1]:
                best = (copy, done_ms)
        if best is not None:
            link_key = (best[0].store, best[0].tier)
            queued_bytes_by_link[link_key] = (
                queued_bytes_by_link.get(link_key, 0) + self._block_bytes
            )
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class SplitCost:
    """Estimated time and weighted cost of one split at one replica."""

    split: Split
    recompute_tokens: int
    first_token_ms: float
    cost: float


def cost_of(
    request: routing.RoutingRequest, replica: routing.ReplicaState, split: Split
) -> SplitCost:
    """Return the estimated time and the weighted cost of a split.

    A restore runs while the request waits for the replica, so only the longer of the
    two counts.
    """
    reused = split.blocks * tokenizers.BLOCK_TOKENS
    recompute = max(0, request.prompt_tokens - reused)
    blocks = request.prompt_tokens // tokenizers.BLOCK_TOKENS
    cache_wait_ms = replica.cache_wait_ms(request.root, blocks)
    ready_ms = max(replica.wait_ms(), cache_wait_ms + split.restore_ms)
    first_token_ms = ready_ms + replica.compute_ms(recompute) + replica.round_trip_ms
    mebibytes = split.restored * request.block_bytes / routing.BYTES_PER_MEBIBYTE
    weights = request.cost_weights
    cost = (
        weights.first_token * first_token_ms * replica.correction
        + weights.recomputed * recompute / routing.TOKENS_PER_RECOMPUTE_COST
        + weights.link * mebibytes
    )
    return SplitCost(split, recompute, first_token_ms, cost)


def plan_of(
    replica: routing.ReplicaState, splits: Splits, chosen: SplitCost
) -> routing.Plan:
    """Return the routing plan for the chosen split."""
    split = chosen.split
    return routing.Plan(
        replica.server,
        split.blocks - split.restored,
        splits.copies[: split.restored],
        chosen.recompute_tokens,
        chosen.first_token_ms,
        chosen.cost,
        reason=(
            f"wait={replica.wait_ms():.0f}ms restore={split.restore_ms:.0f}ms "
            f"recompute={chosen.recompute_tokens} correction={replica.correction:.2f}"
        ),
    )
