"""Moves KV blocks between the engine beside this agent and the store VMs.

A restore reads a sealed object, checks all of it and only then imports it; what
fails is recomputed by the engine.  A write seals the exported payload under a name
that was never used before and announces it to the directory after the store has
confirmed it.  Restores that a caller waits for start at once; prefetches and writes
are paced by the budget of the link.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Final, Protocol

from quincecrank import (
    block_keys,
    chain_view,
    configuration,
    engine_client,
    engine_messages,
    ids,
    link_budget,
    logs,
    metrics,
    object_client,
    sealed_block,
)
from quincecrank import clock as clocks

RESTORE_PARALLEL: Final = 4
"""Objects of one prompt that are read at once."""

ASSUMED_BLOCK_BYTES: Final = 64 * 1024
"""Size of a sealed block before one has been seen."""

RESTORES_FIRST_WAIT_MS: Final = 20
"""Time between two looks whether restores have left the link."""

_LOG: Final = logs.logger("block-mover")


class StoreFinder(Protocol):
    """Finds the client of a store VM."""

    def store(
        self, name: ids.VmName, tier: ids.TierName
    ) -> object_client.ObjectStore | None:
        """Return the client of a tier, None for an unknown or leaving VM."""


@dataclasses.dataclass(frozen=True)
class RestoreOutcome:
    """What a restore brought.

    Attributes
    ----------
    blocks : int
        Blocks imported into the engine.
    link_bytes : int
        Bytes read from stores, including those of objects that were refused.
    duration_ms : int
        Time from the first read to the last import.
    """

    blocks: int = 0
    link_bytes: int = 0
    duration_ms: int = 0


class BlockMover:
    """Restores and keeps blocks for one backend server.

    Parameters
    ----------
    secret : bytes
        Key of the checksums in sealed blocks; the same in the whole fleet.
    tiers : callable
        Returns the tiers of the current configuration by name.
    stored : callable
        Called with each block that a store has confirmed.

    Attributes
    ----------
    block_bytes : int
        Size of the last sealed block, 0 before the first one.
    """

    def __init__(
        self,
        engine: engine_client.EngineClient,
        stores: StoreFinder,
        secret: bytes,
        tiers: Callable[[], Mapping[ids.TierName, configuration.Tier]],
        stored: Callable[[chain_view.StoredBlock], None],
        figures: metrics.AgentMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._stores = stores
        self._secret = secret
        self._tiers = tiers
        self._stored = stored
        self._figures = figures
        self._clock = clock
        self._kept_now: set[ids.BlockKey] = set()
        self._budgets: dict[tuple[ids.VmName, ids.TierName], link_budget.LinkBudget]
        self._budgets = {}
        self._restoring_by_key: dict[ids.BlockKey, asyncio.Event] = {}
        self.block_bytes = 0

    async def restore(
        self,
        copies: tuple[chain_view.StoredBlock, ...],
        version: ids.WeightVersion,
        kind: link_budget.TransferKind = link_budget.TransferKind.RESTORE,
    ) -> RestoreOutcome:
        """Import `copies` into the engine as far as they can be read and verified."""
        started_ms = self._clock.now_ms()
        slots = asyncio.Semaphore(RESTORE_PARALLEL)

        async def restore_one(copy: chain_view.StoredBlock) -> RestoreOutcome:
            async with slots:
                return await self._restore_once(copy, version, kind)

        results = await asyncio.gather(*(restore_one(copy) for copy in copies))
        return RestoreOutcome(
            blocks=sum(result.blocks for result in results),
            link_bytes=sum(result.link_bytes for result in results),
            duration_ms=self._clock.now_ms() - started_ms,
        )

    async def settled(self, keys: tuple[ids.BlockKey, ...]) -> None:
        """Wait for the restores of `keys` that other requests have begun."""
        for key in keys:
            restoring = self._restoring_by_key.get(key)
            if restoring is not None:
                await restoring.wait()

    async def keep(
        self, copies: tuple[chain_view.StoredBlock, ...], version: ids.WeightVersion
    ) -> None:
        """Write blocks to stores, one after the other, each only once at a time."""
        for copy in copies:
            name = sealed_block.BlockName.parse(copy.object_name)
            if name is None or name.key in self._kept_now:
                continue
            self._kept_now.add(name.key)
            try:
                await self._keep_block(copy, name, version)
            finally:
                self._kept_now.discard(name.key)

    async def _restore_once(
        self,
        copy: chain_view.StoredBlock,
        version: ids.WeightVersion,
        kind: link_budget.TransferKind,
    ) -> RestoreOutcome:
        """Restore a block, or wait for the request that does so already."""
        name = sealed_block.BlockName.parse(copy.object_name)
        if name is None:
            return RestoreOutcome()
        restoring = self._restoring_by_key.get(name.key)
        if restoring is not None:
            await restoring.wait()
            return RestoreOutcome()
        restoring = self._restoring_by_key[name.key] = asyncio.Event()
        try:
            return await self._restore_block(copy, version, kind)
        finally:
            del self._restoring_by_key[name.key]
            restoring.set()

    async def _restore_block(
        self,
        copy: chain_view.StoredBlock,
        version: ids.WeightVersion,
        kind: link_budget.TransferKind,
    ) -> RestoreOutcome:
        name = sealed_block.BlockName.parse(copy.object_name)
        data = await self._read(copy, kind)
        if name is None or data is None:
            return RestoreOutcome()
        failed = RestoreOutcome(link_bytes=len(data))
        identity = sealed_block.BlockIdentity(name.key, copy.object_name, version)
        opened = sealed_block.open_sealed(self._secret, identity, data)
        if opened.is_error():
            self._log_failure("sealed block refused", copy, opened.error.value)
            return failed
        self.block_bytes = len(data)
        engine_name = block_keys.engine_name(name.root, name.key)
        try:
            await self._engine.import_block(engine_name, opened.ok, version)
        except engine_messages.EngineError as error:
            self._log_failure("import failed", copy, error)
            return failed
        return RestoreOutcome(blocks=1, link_bytes=len(data))

    async def _read(
        self, copy: chain_view.StoredBlock, kind: link_budget.TransferKind
    ) -> bytes | None:
        """Return the content of an object, None when it cannot be had."""
        store = self._stores.store(copy.store, copy.tier)
        budget = self._budget(copy)
        if store is None or budget is None:
            return None
        await self._wait_turn(budget, kind)
        started_ms = self._clock.now_ms()
        budget.started(kind, self.block_bytes, started_ms)
        size_bytes = 0
        try:
            data = await store.get(copy.object_name)
            size_bytes = len(data)
        except (
            object_client.ObjectMissingError,
            object_client.ObjectStoreError,
        ) as error:
            self._log_failure("restore failed", copy, error)
            return None
        finally:
            budget.ended(kind, size_bytes, self._clock.now_ms() - started_ms)
        self._figures.count_link(copy.tier, metrics.Direction.READ, size_bytes)
        return data

    async def _keep_block(
        self,
        copy: chain_view.StoredBlock,
        name: sealed_block.BlockName,
        version: ids.WeightVersion,
    ) -> None:
        store = self._stores.store(copy.store, copy.tier)
        tier = self._tiers().get(copy.tier)
        budget = self._budget(copy)
        if store is None or tier is None or budget is None:
            return
        kind = link_budget.TransferKind.WRITE_BACK
        await self._wait_turn(budget, kind)
        try:
            engine_name = block_keys.engine_name(name.root, name.key)
            exported = await self._engine.export_block(engine_name)
            if exported.weight_version != version:
                return
            identity = sealed_block.BlockIdentity(name.key, copy.object_name, version)
            data = sealed_block.seal(self._secret, identity, exported.data)
            started_ms = self._clock.now_ms()
            budget.started(kind, len(data), started_ms)
            try:
                await store.put(copy.object_name, data, tier.kind)
            finally:
                budget.ended(kind, len(data), self._clock.now_ms() - started_ms)
        except (
            engine_messages.EngineError,
            object_client.ObjectStoreError,
        ) as error:
            self._log_failure("write to store failed", copy, error)
            return
        self.block_bytes = len(data)
        self._figures.count_link(copy.tier, metrics.Direction.WRITE, len(data))
        _LOG.info(
            "block written",
            store=copy.store,
            tier=copy.tier,
            object_name=copy.object_name,
            size_bytes=len(data),
        )
        self._stored(copy)

    async def _wait_turn(
        self, budget: link_budget.LinkBudget, kind: link_budget.TransferKind
    ) -> None:
        """Wait until the budget lets a transfer start."""
        while True:
            delay_ms = budget.delay_ms(kind, self._clock.now_ms())
            if delay_ms == 0:
                return
            wait_ms = RESTORES_FIRST_WAIT_MS if delay_ms is None else delay_ms
            await self._clock.sleep(wait_ms)

    def _budget(self, copy: chain_view.StoredBlock) -> link_budget.LinkBudget | None:
        tier = self._tiers().get(copy.tier)
        if tier is None:
            return None
        place = (copy.store, copy.tier)
        budget = self._budgets.get(place)
        if budget is None:
            budget = link_budget.LinkBudget(
                tier.link_bytes_per_second, self._clock.now_ms()
            )
            self._budgets[place] = budget
        return budget

    def _log_failure(
        self, event: str, copy: chain_view.StoredBlock, reason: object
    ) -> None:
        _LOG.warning(
            event, store=copy.store, object_name=copy.object_name, reason=str(reason)
        )
