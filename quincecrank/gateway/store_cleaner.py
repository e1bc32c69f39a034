"""Frees KV cache parts in managed stores that no request can use any more.

A managed store retains parts until they are freed and does not know who reads them.
Only parts of outdated weights are safe to free: once every engine has newer weights,
no engine runs a request that uses them, and a fetch that began before has ended or
been aborted at its time limit.
"""

from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import (
    cache_part_index,
    decision_log,
    deployment,
    fleet_state,
    peers,
)
from quincecrank.platform import engines

CHECK_INTERVAL_MS: Final = 1_000

MIN_SETTLED_MS: Final = 6_000
"""Time for which all engines must have had the target weights before parts are freed:
three times the time limit of a fetch."""

MAX_PARTS_PER_CALL: Final = 100
"""Maximum number of parts freed by one call."""

_LOG: Final = decision_log.logger("store-cleaner")


def obsolete_parts(
    parts: tuple[cache_part_index.PartKey, ...],
    target_by_model: dict[deployment.ModelName, int],
) -> tuple[cache_part_index.PartKey, ...]:
    """Return the parts of outdated weights, leaving out unknown models and salts."""
    obsolete = []
    for part in parts:
        salt_weights = cache_part_index.parse_salt(part.salt)
        if salt_weights is not None and salt_weights.version < target_by_model.get(
            salt_weights.model, 0
        ):
            obsolete.append(part)
    return tuple(obsolete)


class StoreCleaner:
    """Frees obsolete parts of the stores for which this gateway ranks first.

    The rank makes one gateway at a time responsible for a store.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        calls: engines.FleetEngineClient,
        peer_directory: peers.PeerDirectory,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._peers = peer_directory
        self._clock = clock
        self._settled_since_ms_by_target: dict[
            tuple[deployment.ModelName, int], int
        ] = {}

    async def run(self) -> None:
        """Free obsolete parts at intervals, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            configuration = self._fleet.configuration
            settled = self._settled_versions()
            if configuration is None or not settled:
                continue
            for store in configuration.stores_by_name.values():
                if store.is_managed and self._ranks_first(store.name):
                    await self._clean(store, settled)

    def _settled_versions(self) -> dict[deployment.ModelName, int]:
        """Return the target versions that all engines have had for `MIN_SETTLED_MS`."""
        now_ms = self._clock.now_ms()
        settled_since_ms_by_target = {}
        for model, target in self._fleet.target_versions.target_by_model().items():
            versions = [
                entry.weight_versions_by_model[model]
                for entry in self._fleet.registry.entries()
                if model in entry.weight_versions_by_model
            ]
            if versions and min(versions) >= target:
                settled_since_ms_by_target[model, target] = (
                    self._settled_since_ms_by_target.get((model, target), now_ms)
                )
        self._settled_since_ms_by_target = settled_since_ms_by_target
        return {
            model: target
            for (model, target), since_ms in settled_since_ms_by_target.items()
            if now_ms - since_ms >= MIN_SETTLED_MS
        }

    def _ranks_first(self, store: deployment.ServiceName) -> bool:
        return self._fleet.own_settings.vm in self._peers.first_ranked(store, 1)

    async def _clean(
        self,
        store: deployment.CacheStore,
        settled: dict[deployment.ModelName, int],
    ) -> None:
        holder = cache_part_index.HolderName(store.name)
        epoch = self._fleet.cache_index.epoch_of(holder)
        parts = obsolete_parts(self._fleet.cache_index.parts_of(holder), settled)
        batch = parts[:MAX_PARTS_PER_CALL]
        if not batch or epoch is None:
            return
        try:
            await self._calls.free_parts(store.address, epoch, batch)
        except engines.EngineCallError as error:
            _LOG.warning("parts not freed", store=store.name, error=str(error))
            return
        _LOG.info("parts freed", store=store.name, count=len(batch), left=len(parts))
