"""Limits how many replicas load new weights at once, without a controller.

New weights load slowly while more than `SLOTS_PER_DEPLOYMENT` replicas load them.
The platform table keeps one row for each slot; an agent takes one by compare-and-set
before it orders a load and frees it afterwards.  A slot is a lease: it lapses when
its holder has died, so that a roll never stops for good.  The limit protects the
speed of a roll only; two holders of one slot, after a pause, do no harm.
"""

import enum
import random
from typing import Final

import pydantic

from quincecrank import clock as clocks
from quincecrank import configuration, ids, platform_table

SLOTS_PER_DEPLOYMENT: Final = 2
LEASE_MS: Final = 5_000

_SLOTS: Final = platform_table.TableName.SLOTS


class Slot(configuration.FrozenModel):
    """The row of one slot; a holder without a name has freed it.

    Attributes
    ----------
    until_wall_ms : int
        End of the lease, milliseconds since the epoch.
    """

    holder: ids.BackendServerName = ids.BackendServerName("")
    until_wall_ms: int = 0

    def is_free(self, own: ids.BackendServerName, wall_ms: int) -> bool:
        """Tell whether `own` may take the slot."""
        return self.holder in ("", own) or wall_ms > self.until_wall_ms


class SlotAnswer(enum.Enum):
    """Whether a load may start."""

    TAKEN = "taken"
    BUSY = "busy"
    TABLE_OUT = "table-out"


class LoadSlots:
    """The slots of one deployment as one agent uses them.

    Attributes
    ----------
    held : RowKey or None
        Row of the slot that this agent holds.
    """

    def __init__(
        self,
        table: platform_table.PlatformTable,
        deployment: ids.DeploymentName,
        own: ids.BackendServerName,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._deployment = deployment
        self._own = own
        self._clock = clock
        self.held: platform_table.RowKey | None = None

    async def take(self) -> SlotAnswer:
        """Try once to take a slot; the order in which they are tried is random."""
        numbers = list(range(SLOTS_PER_DEPLOYMENT))
        random.shuffle(numbers)
        try:
            for number in numbers:
                key = platform_table.RowKey(self._deployment, number)
                if await self._take_slot(key):
                    self.held = key
                    return SlotAnswer.TAKEN
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            return SlotAnswer.TABLE_OUT
        return SlotAnswer.BUSY

    async def free(self) -> None:
        """Free the slot that is held; a failure leaves it to lapse."""
        key, self.held = self.held, None
        if key is None:
            return
        try:
            row = await self._table.read(_SLOTS, key)
            if row is None or _parse(row).holder != self._own:
                return
            body = Slot().model_dump_json()
            await self._table.replace(_SLOTS, key, body, row.revision)
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ):
            return

    async def _take_slot(self, key: platform_table.RowKey) -> bool:
        wall_ms = self._clock.wall_ms()
        body = Slot(
            holder=self._own, until_wall_ms=wall_ms + LEASE_MS
        ).model_dump_json()
        row = await self._table.read(_SLOTS, key)
        if row is None:
            stored = await platform_table.insert_confirmed(
                self._table, _SLOTS, key, body
            )
            return _parse(stored).holder == self._own
        if not _parse(row).is_free(self._own, wall_ms):
            return False
        answer = await self._table.replace(_SLOTS, key, body, row.revision)
        return answer.outcome is platform_table.WriteOutcome.APPLIED


def _parse(row: platform_table.Row) -> Slot:
    try:
        return Slot.model_validate_json(row.body)
    except pydantic.ValidationError as error:
        raise platform_table.TableUnavailableError("malformed row") from error
