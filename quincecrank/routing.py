"""Routing decisions: which backend server runs a request, and which blocks it reuses.

Terms
-----
replica
    One backend server of a deployment, with its engine and the agent beside it.
candidate
    A replica that may run the request: it is live, not leaving and has the target
    version of the weights and the adapter loaded; its breaker is not open.
split
    Division of a prompt's blocks into cached, restored and recomputed ones.
"""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

from quincecrank import chain_view, clock, configuration, ids

BYTES_PER_MEBIBYTE: Final = 1 << 20
TOKENS_PER_RECOMPUTE_COST: Final = 1000
"""Number of recomputed tokens whose cost is `PolicyWeights.recomputed`."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaState:
    """State of a candidate as the entry estimates it now.

    Attributes
    ----------
    running, waiting : int
        Numbers of requests that run and that wait at the backend server.
    max_concurrent : int
        Number of requests that may run at once.
    queued_tokens : float
        Prompt tokens to be computed before those of a new request.
    prefill_tokens_per_second : float
        Tokens of prompts that the replica computes in a second.
    slot_ms : float
        Mean time for which a request holds one of the `max_concurrent` slots.
    correction : float
        Moving average of the observed over the estimated time to first token.
    round_trip_ms : float
        Round-trip time between the entry and the backend server.
    cache_capacity_blocks : int
        Number of blocks that fit into the engine's memory, 0 if unknown.
    blocks_by_root : mapping of BlockKey to int
        Number of blocks that the entry's requests in flight need, by their root.
    """

    server: ids.BackendServerName
    running: int
    waiting: int
    max_concurrent: int
    queued_tokens: float
    prefill_tokens_per_second: float
    slot_ms: float = 0.0
    correction: float = 1.0
    round_trip_ms: float = 0.0
    cache_capacity_blocks: int = 0
    blocks_by_root: Mapping[ids.BlockKey, int] = dataclasses.field(default_factory=dict)

    def cache_wait_ms(self, root: ids.BlockKey | None, blocks: int) -> float:
        """Return the estimated time until the engine's cache has space for `blocks`.

        Blocks in use by requests with the same `root` take no further space.
        """
        if not self.cache_capacity_blocks:
            return 0.0
        in_use = sum(
            count for other, count in self.blocks_by_root.items() if other != root
        )
        excess = in_use + blocks - self.cache_capacity_blocks
        if excess <= 0 or not in_use:
            return 0.0
        return self.slot_ms * min(1.0, excess / in_use)

    def wait_ms(self) -> float:
        """Return the estimated time until the prefill of a new request starts."""
        ahead = max(0, self.running + self.waiting + 1 - self.max_concurrent)
        slot_wait = ahead * self.slot_ms / self.max_concurrent
        return max(slot_wait, self.compute_ms(self.queued_tokens))

    def compute_ms(self, tokens: float) -> float:
        """Return the time to compute `tokens` of a prompt."""
        return tokens * clock.MS_PER_SECOND / self.prefill_tokens_per_second


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """The link of one tier at one store VM.

    Attributes
    ----------
    bytes_per_second : float
        Rate that is left for a new restore.
    waiting_bytes : float
        Bytes of earlier transfers that are still to be transferred.
    overhead_ms : float
        Time that a transfer takes in addition to the time for its bytes.
    """

    store: ids.VmName
    tier: ids.TierName
    bytes_per_second: float
    waiting_bytes: float = 0.0
    overhead_ms: float = 0.0

    def transfer_ms(self, size_bytes: float) -> float:
        """Return the time until `size_bytes` more have been transferred."""
        if self.bytes_per_second <= 0:
            return float("inf")
        total = self.waiting_bytes + size_bytes
        return self.overhead_ms + total * clock.MS_PER_SECOND / self.bytes_per_second


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that the routing decision uses.

    Attributes
    ----------
    root : BlockKey or None
        Key of the first block; None for a prompt without a complete block.
    prompt_tokens : int
        Number of tokens in the prompt.
    block_bytes : int
        Size of one sealed block.
    cost_weights : PolicyWeights
        Weights of the terms of a plan's cost.
    """

    request_id: ids.RequestId
    deployment: ids.DeploymentName
    cost_weights: configuration.PolicyWeights
    prompt_tokens: int
    block_bytes: int
    root: ids.BlockKey | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where a request runs and which of its blocks are reused.

    Attributes
    ----------
    cached_blocks : int
        Number of blocks that the engine is assumed to hold already.
    restore : tuple of StoredBlock
        Blocks to import before the run, ascending by index.
    recompute_tokens : int
        Number of prompt tokens that the engine computes.
    estimated_first_token_ms : float
        Estimated time to first token, before the correction of the replica.
    cost : float
        Weighted cost in milliseconds, after the correction.
    reuse : bool
        Whether the engine may use its prefix cache.
    reason : str
        Inputs of the decision, for the log.
    """

    server: ids.BackendServerName
    cached_blocks: int
    restore: tuple[chain_view.StoredBlock, ...]
    recompute_tokens: int
    estimated_first_token_ms: float
    cost: float
    reuse: bool = True
    reason: str = ""


class RestoreMode(enum.Enum):
    """Which blocks held by stores are restored.

    Attributes
    ----------
    NEVER
        None.
    CHEAPEST
        Those of the split with the lowest cost.
    ALWAYS
        All leading blocks that can be restored.
    """

    NEVER = "never"
    CHEAPEST = "cheapest"
    ALWAYS = "always"


Links = Mapping[tuple[ids.VmName, ids.TierName], LinkState]
"""Links by store VM and tier."""


class RoutingPolicy(Protocol):
    """Chooses the replica and the split of each request."""

    @property
    def name(self) -> str:
        """Name of the policy in the settings."""

    @property
    def uses_tiers(self) -> bool:
        """Whether blocks are written to and restored from stores."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[ReplicaState],
        chain: chain_view.ChainView,
        links: Sequence[LinkState],
        now_ms: int,
    ) -> Plan | None:
        """Return the plan for `request`, or None without candidates."""


def index_links(links: Sequence[LinkState]) -> Links:
    """Return `links` by store VM and tier."""
    return {(link.store, link.tier): link for link in links}
