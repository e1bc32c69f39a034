"""Monitors the store VMs: which blocks they hold, their use, and what to evict.

For each store VM one agent of the deployment, chosen by rendezvous hashing, lists the
objects periodically and announces them, so the directory is rebuilt after agents or
stores were replaced.  If two agents both consider themselves chosen, they only announce
the same objects twice.

Eviction has two phases: a copy is first withdrawn from the directory, and deleted after
a grace time, so restores that are in progress still find it.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from quincecrank import (
    chain_view,
    configuration,
    directory,
    directory_client,
    directory_service,
    ids,
    logs,
    membership,
    object_client,
    placement,
    placement_advisor,
    rendezvous,
    sealed_block,
)
from quincecrank import clock as clocks

CHECK_CALL_INTERVAL_MS: Final = 200
"""Interval at which the agent calls `StoreMonitor.check`."""

CHECK_INTERVAL_MS: Final = 2_000
"""Interval of the checks while the configuration version is unchanged."""

LIST_INTERVAL_MS: Final = 30_000
"""Interval at which the objects of a tier are listed and announced."""

_LOG: Final = logs.logger("store-watch")


@dataclasses.dataclass(frozen=True)
class _StoreTier:
    """One tier of one store VM."""

    store: ids.VmName
    tier: ids.TierName


@dataclasses.dataclass(frozen=True)
class _WithdrawnCopy:
    """A copy that was withdrawn, and when to delete it on the monotonic clock."""

    copy: chain_view.StoredBlock
    delete_at_ms: int


class StoreMonitor:
    """State of a deployment's store VMs, as tracked by one of its agents.

    Attributes
    ----------
    block_bytes : int
        Size of a sealed block, set by the agent; 0 while unknown.
    prefill_tokens_per_second : float
        Prefill speed of the engine, set by the agent; 0 while unknown.
    """

    def __init__(
        self,
        own_vm: ids.VmName,
        deployment: ids.DeploymentName,
        current: Callable[[], configuration.Configuration],
        members: membership.Membership,
        directory_agents: Callable[[], tuple[ids.VmName, ...]],
        announcer: directory_client.Announcer,
        own_directory: directory_service.DirectoryService,
        clock: clocks.Clock,
    ) -> None:
        self._own_vm = own_vm
        self._deployment = deployment
        self._current = current
        self._members = members
        self._agents = directory_agents
        self._announcer = announcer
        self._directory = own_directory
        self._clock = clock
        self._incarnation_by_store: dict[ids.VmName, ids.Incarnation] = {}
        self._listed_ms_by_store_tier: dict[_StoreTier, int] = {}
        self._state_by_store_tier: dict[_StoreTier, placement.TierState] = {}
        self._withdrawn: list[_WithdrawnCopy] = []
        self._checked_version = configuration.INITIAL_VERSION
        self._checked_ms = 0
        self.block_bytes = 0
        self.prefill_tokens_per_second = 0.0

    def schedule_full_announcement(self) -> None:
        """List and announce all objects at the next check.

        Needed when directory shards may have moved to other agents.
        """
        self._listed_ms_by_store_tier.clear()

    def placement_inputs(self) -> placement_advisor.PlacementInputs | None:
        """Return the inputs of placement decisions; None while one is missing.

        They need the deployment's configuration, the block size and the state of at
        least one tier.
        """
        deployment = self._current().deployments_by_name.get(self._deployment)
        if deployment is None or not self.block_bytes or not self._state_by_store_tier:
            return None
        return placement_advisor.PlacementInputs(
            cost_weights=deployment.weights,
            block_bytes=self.block_bytes,
            prefill_tokens_per_second=self.prefill_tokens_per_second,
            tiers=tuple(self._state_by_store_tier.values()),
        )

    def announcement(self, copy: chain_view.StoredBlock) -> directory.Announcement:
        """Return the announcement that a store holds `copy`.

        Raises
        ------
        ValueError
            If the object name of the copy is not a block name.
        """
        name = sealed_block.BlockName.parse(copy.object_name)
        if name is None:
            raise ValueError(f"{copy.object_name!r} is not the name of a block")
        # Records with an empty incarnation are removed at the store's first stats.
        incarnation = self._incarnation_by_store.get(copy.store, ids.Incarnation(""))
        holder = directory.StoreHolder(
            copy.store, incarnation, copy.tier, name.write_id
        )
        return directory.Announcement(name.root, (name.key,), holder)

    async def check(self) -> None:
        """Check each store of the deployment if a check is due.

        Only directory agents do so, since only they decide on placement.
        """
        version = self._current().version
        now_ms = self._clock.now_ms()
        is_recent = now_ms - self._checked_ms < CHECK_INTERVAL_MS
        if self._own_vm not in self._agents():
            return
        if version == self._checked_version and is_recent:
            return
        self._checked_version = version
        self._checked_ms = now_ms
        store_tiers = self._store_tiers()
        for store_tier in set(self._state_by_store_tier) - set(store_tiers):
            del self._state_by_store_tier[store_tier]
        for store_tier, tier in store_tiers.items():
            await self._check_store_tier(store_tier, tier)
        await self._delete_withdrawn()

    def _store_tiers(self) -> dict[_StoreTier, configuration.Tier]:
        current = self._current()
        deployment = current.deployments_by_name.get(self._deployment)
        names = deployment.tiers if deployment is not None else ()
        tiers = [current.tiers_by_name[n] for n in names if n in current.tiers_by_name]
        return {
            _StoreTier(store, tier.name): tier
            for tier in tiers
            for store in tier.stores
        }

    async def _check_store_tier(
        self, store_tier: _StoreTier, tier: configuration.Tier
    ) -> None:
        client = self._members.store(store_tier.store, store_tier.tier)
        if client is None:
            self._state_by_store_tier.pop(store_tier, None)
            return
        try:
            stats = await client.stats()
            self._apply_stats(store_tier, tier, stats)
            if self._is_listing_due(store_tier):
                await self._announce_all(store_tier, client)
        except object_client.ObjectStoreError as error:
            self._state_by_store_tier.pop(store_tier, None)
            _LOG.info("store unreachable", store=store_tier.store, reason=str(error))
            return
        self._evict(store_tier)

    def _apply_stats(
        self,
        store_tier: _StoreTier,
        tier: configuration.Tier,
        stats: object_client.StoreStats,
    ) -> None:
        is_memory = tier.kind is configuration.TierKind.MEMORY
        store_capacity = stats.memory_capacity if is_memory else stats.disk_capacity
        self._state_by_store_tier[store_tier] = placement.TierState(
            store=store_tier.store,
            tier=store_tier.tier,
            kind=tier.kind,
            link_bytes_per_second=tier.link_bytes_per_second,
            capacity_bytes=min(tier.capacity_bytes, store_capacity),
            used_bytes=stats.memory_used if is_memory else stats.disk_used,
        )
        previous = self._incarnation_by_store.get(store_tier.store)
        if previous == stats.incarnation:
            return
        self._incarnation_by_store[store_tier.store] = stats.incarnation
        self._directory.remove_old_copies(store_tier.store, stats.incarnation)
        for listed in tuple(self._listed_ms_by_store_tier):
            if listed.store == store_tier.store:
                del self._listed_ms_by_store_tier[listed]

    def _is_listing_due(self, store_tier: _StoreTier) -> bool:
        if rendezvous.ranked(store_tier.store, self._agents(), 1) != (self._own_vm,):
            return False
        listed_ms = self._listed_ms_by_store_tier.get(store_tier)
        now_ms = self._clock.now_ms()
        return listed_ms is None or now_ms - listed_ms >= LIST_INTERVAL_MS

    async def _announce_all(
        self, store_tier: _StoreTier, client: object_client.ObjectStore
    ) -> None:
        names = await client.list("")
        self._listed_ms_by_store_tier[store_tier] = self._clock.now_ms()
        withdrawn = {item.copy.object_name for item in self._withdrawn}
        for name in names:
            if name in withdrawn or sealed_block.BlockName.parse(name) is None:
                continue
            copy = chain_view.StoredBlock(0, store_tier.store, name, store_tier.tier)
            self._announcer.announce([self.announcement(copy)])

    def _evict(self, store_tier: _StoreTier) -> None:
        """Withdraw copies to evict whose first responsible agent is this one.

        Nothing is withdrawn while copies of the same tier, in any store, still await
        their deletion.
        """
        state = self._state_by_store_tier[store_tier]
        wall_ms = self._clock.wall_ms()
        if not self.block_bytes:
            return
        pending = sum(item.copy.tier == store_tier.tier for item in self._withdrawn)
        if pending:
            return
        chosen = self._directory.advisor.evictions(state, self.block_bytes, wall_ms)
        for copy in chosen:
            announcement = self.announcement(copy)
            agents = directory.responsible_agents(announcement.root, self._agents())
            if agents[:1] != (self._own_vm,):
                continue
            self._announcer.withdraw([announcement])
            due_ms = self._clock.now_ms() + placement.DELETE_DELAY_MS
            self._withdrawn.append(_WithdrawnCopy(copy, due_ms))
            _LOG.info(
                "copy withdrawn",
                decision="eviction",
                store=copy.store,
                tier=copy.tier,
                object_name=copy.object_name,
            )

    async def _delete_withdrawn(self) -> None:
        now_ms = self._clock.now_ms()
        due = [item for item in self._withdrawn if item.delete_at_ms <= now_ms]
        for item in due:
            client = self._members.store(item.copy.store, item.copy.tier)
            if client is not None:
                try:
                    await client.delete(item.copy.object_name)
                except object_client.ObjectStoreError as error:
                    _LOG.info("delete failed", reason=str(error))
                    continue
            self._withdrawn.remove(item)
