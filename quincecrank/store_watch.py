"""Announces what the store VMs keep, and frees what no tier should keep.

For each store VM one agent of the deployment, chosen by rendezvous hash, lists the
objects from time to time and announces them, so that the directory is rebuilt after
agents or stores were replaced.  Two agents that both believe to be the chosen one
only announce the same things twice.
"""

from collections.abc import Callable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    directory,
    directory_client,
    ids,
    logs,
    membership,
    object_client,
    rendezvous,
    sealed_block,
)

CHECK_INTERVAL_MS: Final = 2_000
LIST_INTERVAL_MS: Final = 30_000

_LOG: Final = logs.logger("store-watch")


class StoreWatch:
    """Lists the stores that this agent is responsible for."""

    def __init__(
        self,
        own: ids.VmName,
        deployment: ids.DeploymentName,
        current: Callable[[], configuration.Configuration],
        members: membership.Membership,
        agents: Callable[[], tuple[ids.VmName, ...]],
        announcer: directory_client.Announcer,
        clock: clocks.Clock,
    ) -> None:
        self._own = own
        self._deployment = deployment
        self._current = current
        self._members = members
        self._agents = agents
        self._announcer = announcer
        self._clock = clock
        self._incarnation_by_store: dict[ids.VmName, ids.Incarnation] = {}
        self._listed_ms_by_tier: dict[tuple[ids.VmName, ids.TierName], int] = {}

    def incarnation(self, store: ids.VmName) -> ids.Incarnation:
        """Return the incarnation last seen of a store, empty when unknown."""
        return self._incarnation_by_store.get(store, ids.Incarnation(""))

    def announce_anew(self) -> None:
        """List everything at the next turn, as shards may have moved."""
        self._listed_ms_by_tier.clear()

    async def check(self) -> None:
        """Look at each store of the deployment once."""
        deployment = self._current().deployments_by_name.get(self._deployment)
        if deployment is None:
            return
        for tier_name in deployment.tiers:
            tier = self._current().tiers_by_name.get(tier_name)
            for store in tier.stores if tier is not None else ():
                await self._check_store(store, tier_name)

    async def _check_store(self, store: ids.VmName, tier: ids.TierName) -> None:
        client = self._members.store(store, tier)
        if client is None:
            return
        try:
            stats = await client.stats()
            restarted = stats.incarnation != self.incarnation(store)
            self._incarnation_by_store[store] = stats.incarnation
            if restarted or self._is_due(store, tier):
                await self._announce_all(store, tier, client)
        except object_client.ObjectStoreError as error:
            _LOG.info("store not reached", store=store, reason=str(error))

    def _is_due(self, store: ids.VmName, tier: ids.TierName) -> bool:
        if rendezvous.ranked(store, self._agents(), 1) != (self._own,):
            return False
        listed_ms = self._listed_ms_by_tier.get((store, tier))
        now_ms = self._clock.now_ms()
        return listed_ms is None or now_ms - listed_ms >= LIST_INTERVAL_MS

    async def _announce_all(
        self, store: ids.VmName, tier: ids.TierName, client: object_client.ObjectStore
    ) -> None:
        names = await client.list("")
        self._listed_ms_by_tier[(store, tier)] = self._clock.now_ms()
        for name in names:
            parts = sealed_block.BlockName.parse(name)
            if parts is not None:
                self._announcer.announce([self.announcement(store, tier, parts)])

    def announcement(
        self, store: ids.VmName, tier: ids.TierName, name: sealed_block.BlockName
    ) -> directory.Announcement:
        """Return the news that `store` keeps the block `name`."""
        holder = directory.StoreHolder(
            store, self.incarnation(store), tier, name.write_id
        )
        return directory.Announcement(name.root, (name.key,), holder)
