"""Moves KV blocks between the engine beside this agent and the store VMs.

A restore reads a sealed object, verifies all of it and only then imports it; the
engine recomputes blocks whose restore fails.  A write-back seals the exported payload
under a name that was never used before and announces it to the directory after the
store has confirmed it.  Restores that a caller waits for start at once; prefetches and
write-backs are rate-limited by the budget of the link.
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

MAX_PARALLEL_RESTORES: Final = 4
"""Maximum number of copies that one `restore` call reads concurrently."""

ASSUMED_BLOCK_BYTES: Final = 64 * 1024
"""Size of a sealed block that the agent assumes in placement decisions until the first
one has been moved."""

RESTORE_POLL_INTERVAL_MS: Final = 20
"""Polling interval while a transfer waits for the restores on its link to end."""

_LOG: Final = logs.logger("block-mover")


class StoreFinder(Protocol):
    """Finds the client of a store VM."""

    def store(
        self, name: ids.VmName, tier: ids.TierName
    ) -> object_client.ObjectStore | None:
        """Return the client of a tier, None for an unknown or leaving VM."""


@dataclasses.dataclass(frozen=True)
class RestoreOutcome:
    """Result of a restore.

    Attributes
    ----------
    blocks : int
        Blocks imported into the engine.
    link_bytes : int
        Bytes read from stores, including objects that failed verification.
    duration_ms : int
        Duration of the call, including waits for the budget and for restores of the
        same blocks by other requests.
    """

    blocks: int = 0
    link_bytes: int = 0
    duration_ms: int = 0


class BlockMover:
    """Restores blocks to one backend server and writes its blocks to stores.

    Parameters
    ----------
    stores : StoreFinder
        Finds the client of the store VM that has a block or shall get one.
    secret : bytes
        Key of the checksums in sealed blocks; the same in the entire fleet.
    tiers : callable
        Returns the tiers of the current configuration by name.
    on_stored : callable
        Called with each block whose write a store has confirmed.

    Attributes
    ----------
    block_bytes : int
        Size of the last sealed block moved, 0 before the first one.
    """

    def __init__(
        self,
        engine: engine_client.EngineClient,
        stores: StoreFinder,
        secret: bytes,
        tiers: Callable[[], Mapping[ids.TierName, configuration.Tier]],
        on_stored: Callable[[chain_view.StoredBlock], None],
        agent_metrics: metrics.AgentMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._stores = stores
        self._secret = secret
        self._tiers = tiers
        self._on_stored = on_stored
        self._metrics = agent_metrics
        self._clock = clock
        self._writing_keys: set[ids.BlockKey] = set()
        self._budgets_by_store_tier: dict[
            tuple[ids.VmName, ids.TierName], link_budget.LinkBudget
        ]
        self._budgets_by_store_tier = {}
        self._restore_ended_by_key: dict[ids.BlockKey, asyncio.Event] = {}
        self.block_bytes = 0

    async def restore(
        self,
        copies: tuple[chain_view.StoredBlock, ...],
        version: ids.WeightVersion,
        kind: link_budget.TransferKind = link_budget.TransferKind.RESTORE,
    ) -> RestoreOutcome:
        """Import `copies` into the engine.

        Copies that cannot be read, verified or imported are logged and skipped.
        Copies with an unknown store or tier or a malformed name are skipped without a
        log line.
        """
        started_ms = self._clock.now_ms()
        slots = asyncio.Semaphore(MAX_PARALLEL_RESTORES)

        async def restore_one(copy: chain_view.StoredBlock) -> RestoreOutcome:
            async with slots:
                return await self._restore_once(copy, version, kind)

        results = await asyncio.gather(*(restore_one(copy) for copy in copies))
        return RestoreOutcome(
            blocks=sum(result.blocks for result in results),
            link_bytes=sum(result.link_bytes for result in results),
            duration_ms=self._clock.now_ms() - started_ms,
        )

    async def wait_for_restores(self, keys: tuple[ids.BlockKey, ...]) -> None:
        """Wait for running restores of `keys`, including those of other requests."""
        for key in keys:
            restore_ended = self._restore_ended_by_key.get(key)
            if restore_ended is not None:
                await restore_ended.wait()

    async def write_back(
        self, copies: tuple[chain_view.StoredBlock, ...], version: ids.WeightVersion
    ) -> None:
        """Write blocks to stores sequentially.

        Blocks that cannot be exported or written are logged and skipped.  Blocks that
        another call is writing, that have another weight version, or whose store or
        tier is unknown are skipped without a log line.
        """
        for copy in copies:
            name = sealed_block.BlockName.parse(copy.object_name)
            if name is None or name.key in self._writing_keys:
                continue
            self._writing_keys.add(name.key)
            try:
                await self._write_block(copy, name, version)
            finally:
                self._writing_keys.discard(name.key)

    async def _restore_once(
        self,
        copy: chain_view.StoredBlock,
        version: ids.WeightVersion,
        kind: link_budget.TransferKind,
    ) -> RestoreOutcome:
        """Restore a block, or wait for the request that is already restoring it."""
        name = sealed_block.BlockName.parse(copy.object_name)
        if name is None:
            return RestoreOutcome()
        restore_ended = self._restore_ended_by_key.get(name.key)
        if restore_ended is not None:
            await restore_ended.wait()
            return RestoreOutcome()
        restore_ended = self._restore_ended_by_key[name.key] = asyncio.Event()
        try:
            return await self._restore_block(copy, version, kind)
        finally:
            del self._restore_ended_by_key[name.key]
            restore_ended.set()

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
            self._log_failure(
                "sealed block failed verification", copy, opened.error.value
            )
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
        """Return the content of an object, None when it cannot be read."""
        store = self._stores.store(copy.store, copy.tier)
        budget = self._budget(copy)
        if store is None or budget is None:
            return None
        await self._wait_for_budget(budget, kind)
        started_ms = self._clock.now_ms()
        # The size is not known before the read.  `block_bytes` is 0 until a block has
        # been moved, so the first transfers reserve no budget.
        budget.record_start(kind, self.block_bytes, started_ms)
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
            budget.record_end(kind, size_bytes, self._clock.now_ms() - started_ms)
        self._metrics.count_transfer(copy.tier, metrics.Direction.READ, size_bytes)
        return data

    async def _write_block(
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
        await self._wait_for_budget(budget, kind)
        try:
            engine_name = block_keys.engine_name(name.root, name.key)
            exported = await self._engine.export_block(engine_name)
            if exported.weight_version != version:
                return
            identity = sealed_block.BlockIdentity(name.key, copy.object_name, version)
            data = sealed_block.seal(self._secret, identity, exported.data)
            started_ms = self._clock.now_ms()
            budget.record_start(kind, len(data), started_ms)
            try:
                await store.put(copy.object_name, data, tier.kind)
            finally:
                budget.record_end(kind, len(data), self._clock.now_ms() - started_ms)
        except (
            engine_messages.EngineError,
            object_client.ObjectStoreError,
        ) as error:
            self._log_failure("write to store failed", copy, error)
            return
        self.block_bytes = len(data)
        self._metrics.count_transfer(copy.tier, metrics.Direction.WRITE, len(data))
        _LOG.info(
            "block written",
            store=copy.store,
            tier=copy.tier,
            object_name=copy.object_name,
            size_bytes=len(data),
        )
        self._on_stored(copy)

    async def _wait_for_budget(
        self, budget: link_budget.LinkBudget, kind: link_budget.TransferKind
    ) -> None:
        """Wait until the budget allows a transfer to start."""
        while True:
            delay_ms = budget.delay_ms(kind, self._clock.now_ms())
            if delay_ms == 0:
                return
            wait_ms = RESTORE_POLL_INTERVAL_MS if delay_ms is None else delay_ms
            await self._clock.sleep(wait_ms)

    def _budget(self, copy: chain_view.StoredBlock) -> link_budget.LinkBudget | None:
        tier = self._tiers().get(copy.tier)
        if tier is None:
            return None
        store_tier = (copy.store, copy.tier)
        budget = self._budgets_by_store_tier.get(store_tier)
        if budget is None:
            budget = link_budget.LinkBudget(
                tier.link_bytes_per_second, self._clock.now_ms()
            )
            self._budgets_by_store_tier[store_tier] = budget
        return budget

    def _log_failure(
        self, event: str, copy: chain_view.StoredBlock, reason: object
    ) -> None:
        _LOG.warning(
            event, store=copy.store, object_name=copy.object_name, reason=str(reason)
        )
