"""Limits how many replicas load new weights at once, without a controller.

Weights load slowly when more than `SLOTS_PER_DEPLOYMENT` replicas load them at once.
The platform table has one row for each slot.  An agent acquires a slot by
compare-and-set before it orders a load and releases it afterwards.  A slot is a lease:
it expires if its holder ends, so that a rollout never stops for good.  The limit only
makes rollouts faster; it does no harm if a paused process lets two agents hold one
slot.
"""

import enum
import random
from typing import Final

import pydantic

from quincecrank import clock as clocks
from quincecrank import configuration, ids, platform_table

SLOTS_PER_DEPLOYMENT: Final = 2
LEASE_MS: Final = 5_000
"""Duration of a slot's lease, which is not renewed during a load."""

_SLOTS: Final = platform_table.TableName.SLOTS


class LoadSlot(configuration.FrozenModel):
    """The row of one slot; an empty `holder` means that it is free.

    Attributes
    ----------
    until_wall_ms : int
        End of the lease, milliseconds since the epoch.
    """

    holder: ids.BackendServerName = ids.BackendServerName("")
    until_wall_ms: int = 0

    def is_free(self, own: ids.BackendServerName, wall_ms: int) -> bool:
        """Return whether `own` may acquire the slot at `wall_ms`."""
        return self.holder in ("", own) or wall_ms > self.until_wall_ms


class SlotResult(enum.Enum):
    """Whether a load may start.

    Attributes
    ----------
    TAKEN
        The agent holds a slot; the load may start.
    BUSY
        Other agents hold all slots; the load must wait.
    TABLE_OUT
        The table is unavailable; the load may start without a slot.
    """

    TAKEN = "taken"
    BUSY = "busy"
    TABLE_OUT = "table-out"


class LoadSlots:
    """One agent's access to the load slots of its deployment.

    Attributes
    ----------
    held : RowKey or None
        Row of the slot that this agent holds.
    """

    def __init__(
        self,
        table: platform_table.PlatformTable,
        deployment: ids.DeploymentName,
        own_server: ids.BackendServerName,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._deployment = deployment
        self._own_server = own_server
        self._clock = clock
        self.held: platform_table.RowKey | None = None

    async def acquire(self) -> SlotResult:
        """Try once to acquire a slot; the slots are tried in random order."""
        slot_numbers = list(range(SLOTS_PER_DEPLOYMENT))
        random.shuffle(slot_numbers)
        try:
            for number in slot_numbers:
                key = platform_table.RowKey(self._deployment, number)
                if await self._try_slot(key):
                    self.held = key
                    return SlotResult.TAKEN
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            return SlotResult.TABLE_OUT
        return SlotResult.BUSY

    async def release(self) -> None:
        """Release the held slot; if that fails, its lease expires."""
        key, self.held = self.held, None
        if key is None:
            return
        try:
            row = await self._table.read(_SLOTS, key)
            if row is None or _parse(row).holder != self._own_server:
                return
            body = LoadSlot().model_dump_json()
            await self._table.replace(_SLOTS, key, body, row.revision)
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            return

    async def _try_slot(self, key: platform_table.RowKey) -> bool:
        wall_ms = self._clock.wall_ms()
        body = LoadSlot(
            holder=self._own_server, until_wall_ms=wall_ms + LEASE_MS
        ).model_dump_json()
        row = await self._table.read(_SLOTS, key)
        if row is None:
            stored = await platform_table.insert_confirmed(
                self._table, _SLOTS, key, body
            )
            return _parse(stored).holder == self._own_server
        if not _parse(row).is_free(self._own_server, wall_ms):
            return False
        answer = await self._table.replace(_SLOTS, key, body, row.revision)
        return answer.outcome is platform_table.WriteOutcome.APPLIED


def _parse(row: platform_table.Row) -> LoadSlot:
    """Return the slot of a row; a malformed row counts as an unavailable table."""
    try:
        return LoadSlot.model_validate_json(row.body)
    except pydantic.ValidationError as error:
        raise platform_table.TableUnavailableError(
            "malformed row of a load slot"
        ) from error
