"""Brings the engine of this agent to the target version of the weights.

An order names the target version that the configuration states, not a change, so that
it may be repeated.  While the platform table is unavailable, the number of simultaneous
loads is not limited: a rollout whose configuration this agent has received continues
nevertheless, after a random delay.
"""

import random
from collections.abc import Callable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import engine_client, engine_messages, ids, load_slots, logs

MAX_OUTAGE_DELAY_MS: Final = 2_000
"""Upper bound of the random delay before a load while the table is unavailable."""

_LOG: Final = logs.logger("version-roll")


class VersionRollout:
    """Orders one engine to load and unload weights and adapters.

    Attributes
    ----------
    target_version : WeightVersion
        Weight version that the engine should have, empty before it is known.
    adapters : tuple of AdapterName
        Adapters that the engine should have loaded; others are unloaded.
    """

    def __init__(
        self,
        engine: engine_client.EngineClient,
        slots: load_slots.LoadSlots,
        fencing_number: Callable[[], ids.FencingNumber],
        clock: clocks.Clock,
    ) -> None:
        self._engine = engine
        self._slots = slots
        self._fencing_number = fencing_number
        self._clock = clock
        self.target_version = ids.WeightVersion("")
        self.adapters: tuple[ids.AdapterName, ...] = ()

    async def reconcile(self, load: engine_messages.EngineLoad) -> None:
        """Order the loads and unloads that the engine needs.

        Adapters are ordered only when the engine has the target version.
        """
        if self.target_version and load.weight_version != self.target_version:
            await self._load_version(self.target_version)
            return
        for adapter in self.adapters:
            if adapter not in load.adapters:
                await self._order(engine_messages.OrderKind.LOAD_ADAPTER, adapter)
        for adapter in load.adapters:
            if adapter not in self.adapters:
                await self._order(engine_messages.OrderKind.UNLOAD_ADAPTER, adapter)

    async def _load_version(self, version: ids.WeightVersion) -> None:
        result = await self._slots.acquire()
        if result is load_slots.SlotResult.BUSY:
            return
        if result is load_slots.SlotResult.TABLE_OUT:
            await self._clock.sleep(random.uniform(0, MAX_OUTAGE_DELAY_MS))
        _LOG.info(
            "loading weight version",
            decision="order",
            version=version,
            slot=result.value,
        )
        # Returns when the engine has loaded the weights or the order has failed.
        await self._order(engine_messages.OrderKind.LOAD_VERSION, version)
        await self._slots.release()

    async def _order(self, kind: engine_messages.OrderKind, value: str) -> None:
        try:
            await self._engine.order(kind, value, self._fencing_number())
        except engine_messages.EngineError as error:
            _LOG.warning(
                "order failed", kind=kind.value, value=value, reason=str(error)
            )
