"""Follows the store VMs: what they keep, how full they are, what to free.

For each store VM one agent of the deployment, chosen by rendezvous hash, lists the
objects from time to time and announces them, so that the directory is rebuilt after
agents or stores were replaced.  Two agents that both believe to be the chosen one
only announce the same things twice.

Freeing has two phases: a copy is first withdrawn from the directory and deleted
after a grace time, so that restores under way still find it.
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

TURN_INTERVAL_MS: Final = 200
CHECK_INTERVAL_MS: Final = 2_000
"""Time between two looks at the stores while the configuration is unchanged."""

LIST_INTERVAL_MS: Final = 30_000

_LOG: Final = logs.logger("store-watch")


@dataclasses.dataclass(frozen=True)
class _Place:
    """One tier of one store VM."""

    store: ids.VmName
    tier: ids.TierName


@dataclasses.dataclass(frozen=True)
class _Withdrawn:
    """A copy that is to be deleted."""

    copy: chain_view.StoredBlock
    delete_at_ms: int


class StoreWatch:
    """The store VMs of one deployment as one of its agents sees them."""

    def __init__(
        self,
        own: ids.VmName,
        deployment: ids.DeploymentName,
        current: Callable[[], configuration.Configuration],
        members: membership.Membership,
        agents: Callable[[], tuple[ids.VmName, ...]],
        announcer: directory_client.Announcer,
        shard: directory_service.DirectoryService,
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._deployment = deployment
        self._current = current
        self._members = members
        self._agents = agents
        self._announcer = announcer
        self._shard = shard
        self._clock = clock
        self._incarnation_by_store: dict[ids.VmName, ids.Incarnation] = {}
        self._listed_ms_by_place: dict[_Place, int] = {}
        self._state_by_place: dict[_Place, placement.TierState] = {}
        self._withdrawn: list[_Withdrawn] = []
        self._checked_version = configuration.CONFIGURATION_START
        self._checked_ms = 0
        self.block_bytes = 0
        self.prefill_tokens_per_second = 0.0

    def announce_anew(self) -> None:
        """List everything at the next turn, as shards may have moved."""
        self._listed_ms_by_place.clear()

    def around(self) -> placement_advisor.Surroundings | None:
        """Return what placement decisions depend on; None while it is not known."""
        deployment = self._current().deployments_by_name.get(self._deployment)
        if deployment is None or not self.block_bytes or not self._state_by_place:
            return None
        return placement_advisor.Surroundings(
            weights=deployment.weights,
            block_bytes=self.block_bytes,
            prefill_tokens_per_second=self.prefill_tokens_per_second,
            tiers=tuple(self._state_by_place.values()),
        )

    def announcement(self, copy: chain_view.StoredBlock) -> directory.Announcement:
        """Return the news that a store keeps `copy`.

        Raises
        ------
        ValueError
            If the copy's name is not that of a block.
        """
        name = sealed_block.BlockName.parse(copy.object_name)
        if name is None:
            raise ValueError(f"{copy.object_name!r} is not the name of a block")
        incarnation = self._incarnation_by_store.get(copy.store, ids.Incarnation(""))
        holder = directory.StoreHolder(
            copy.store, incarnation, copy.tier, name.write_id
        )
        return directory.Announcement(name.root, (name.key,), holder)

    async def check(self) -> None:
        """Look at each store of the deployment when it is due.

        Only directory agents look, since only they decide over placement.
        """
        version = self._current().version
        now_ms = self._clock.now_ms()
        is_early = now_ms - self._checked_ms < CHECK_INTERVAL_MS
        if self._own not in self._agents():
            return
        if version == self._checked_version and is_early:
            return
        self._checked_version = version
        self._checked_ms = now_ms
        places = self._places()
        for place in set(self._state_by_place) - set(places):
            del self._state_by_place[place]
        for place, tier in places.items():
            await self._check_place(place, tier)
        await self._delete_withdrawn()

    def _places(self) -> dict[_Place, configuration.Tier]:
        current = self._current()
        deployment = current.deployments_by_name.get(self._deployment)
        names = deployment.tiers if deployment is not None else ()
        tiers = [current.tiers_by_name[n] for n in names if n in current.tiers_by_name]
        return {
            _Place(store, tier.name): tier for tier in tiers for store in tier.stores
        }

    async def _check_place(self, place: _Place, tier: configuration.Tier) -> None:
        client = self._members.store(place.store, place.tier)
        if client is None:
            self._state_by_place.pop(place, None)
            return
        try:
            stats = await client.stats()
            self._take_stats(place, tier, stats)
            if self._is_due(place):
                await self._announce_all(place, client)
        except object_client.ObjectStoreError as error:
            self._state_by_place.pop(place, None)
            _LOG.info("store not reached", store=place.store, reason=str(error))
            return
        self._evict(place)

    def _take_stats(
        self,
        place: _Place,
        tier: configuration.Tier,
        stats: object_client.StoreStats,
    ) -> None:
        is_memory = tier.kind is configuration.TierKind.MEMORY
        held = stats.memory_capacity if is_memory else stats.disk_capacity
        self._state_by_place[place] = placement.TierState(
            store=place.store,
            tier=place.tier,
            kind=tier.kind,
            link_bytes_per_second=tier.link_bytes_per_second,
            capacity_bytes=min(tier.capacity_bytes, held),
            used_bytes=stats.memory_used if is_memory else stats.disk_used,
        )
        known = self._incarnation_by_store.get(place.store)
        if known == stats.incarnation:
            return
        self._incarnation_by_store[place.store] = stats.incarnation
        self._shard.store_restarted(place.store, stats.incarnation)
        for listed in tuple(self._listed_ms_by_place):
            if listed.store == place.store:
                del self._listed_ms_by_place[listed]

    def _is_due(self, place: _Place) -> bool:
        if rendezvous.ranked(place.store, self._agents(), 1) != (self._own,):
            return False
        listed_ms = self._listed_ms_by_place.get(place)
        now_ms = self._clock.now_ms()
        return listed_ms is None or now_ms - listed_ms >= LIST_INTERVAL_MS

    async def _announce_all(
        self, place: _Place, client: object_client.ObjectStore
    ) -> None:
        names = await client.list("")
        self._listed_ms_by_place[place] = self._clock.now_ms()
        withdrawn = {item.copy.object_name for item in self._withdrawn}
        for name in names:
            if name in withdrawn or sealed_block.BlockName.parse(name) is None:
                continue
            copy = chain_view.StoredBlock(0, place.store, name, place.tier)
            self._announcer.announce([self.announcement(copy)])

    def _evict(self, place: _Place) -> None:
        """Withdraw the copies that this agent's shard should free."""
        state = self._state_by_place[place]
        wall_ms = self._clock.wall_ms()
        if not self.block_bytes:
            return
        pending = sum(item.copy.tier == place.tier for item in self._withdrawn)
        if pending:
            return
        chosen = self._shard.advisor.evictions(state, self.block_bytes, wall_ms)
        for copy in chosen:
            news = self.announcement(copy)
            agents = directory.responsible_agents(news.root, self._agents())
            if agents[:1] != (self._own,):
                continue
            self._announcer.withdraw([news])
            due_ms = self._clock.now_ms() + placement.GRACE_MS
            self._withdrawn.append(_Withdrawn(copy, due_ms))
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
