"""Registers the address of this gateway in the store, for the other gateways.

Load pattern: one write at the start of each process.  When the store is restored from
a snapshot, it lacks the rows of the gateways that started after the snapshot; these
write their rows again, each after a random delay.
"""

import dataclasses
from collections.abc import Callable
from typing import Final, Protocol

from quincecrank import clock as clocks
from quincecrank import ids, store_rows
from quincecrank.gateway import decision_log, peers, store_restores, tables

RETRY_MS: Final = 1_000
"""Pause after a failed write."""

CHECK_MS: Final = 250
"""Interval of the checks whether the row still exists."""

_LOG: Final = decision_log.logger("registration")


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The registered row of a gateway.

    Attributes
    ----------
    written : Position
        Position at which the store acknowledged the row.
    """

    vm: ids.VmName
    ip: str
    written: store_rows.Position


class MemberTable(Protocol):
    """Current rows of the members table."""

    def has_lost_row(self, member: Member) -> bool:
        """Return whether a restored store lacks the row that a member wrote."""


class Registration:
    """Writes this gateway's row to the store, and again if a restored store lacks it.

    Parameters
    ----------
    members : MemberTable
        Current rows of the members table.
    gateways : callable
        Returns the number of live gateways, this one included.
    count_write : callable
        Called for each acknowledged write.

    Notes
    -----
    Invariant: at most one write is acknowledged in each era, so two processes with
    the same name never overwrite each other's rows in turn.
    """

    def __init__(
        self,
        vm: ids.VmName,
        ip: str,
        store: tables.TableStore,
        members: MemberTable,
        gateways: Callable[[], int],
        count_write: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._vm = vm
        self._ip = ip
        self._store = store
        self._members = members
        self._gateway_count = gateways
        self._count_write = count_write
        self._clock = clock

    async def run(self) -> None:
        """Write the row, and again if a restored store lacks it; never returns."""
        while True:
            member = await self._write()
            while not await self._is_row_lost(member):
                await self._clock.sleep(CHECK_MS)

    async def _is_row_lost(self, member: Member) -> bool:
        if not self._members.has_lost_row(member):
            return False
        await self._clock.sleep(store_restores.write_delay_ms(self._gateway_count()))
        return self._members.has_lost_row(member)

    async def _write(self) -> Member:
        while True:
            try:
                result = await self._store.write(
                    tables.TableName.MEMBERS,
                    peers.member_key(self._vm),
                    self._ip,
                    None,
                )
            except store_rows.StoreUnavailableError as error:
                _LOG.warning("not registered", reason=str(error))
                await self._clock.sleep(RETRY_MS)
                continue
            self._count_write()
            _LOG.info("registered", era=result.position.era)
            return Member(self._vm, self._ip, result.position)
