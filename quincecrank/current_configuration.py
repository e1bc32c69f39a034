"""The configuration that is in force in this process.

That is the newest one that this process has, also called the current one.  Its
version only increases, by one committed row at a time or to a newer complete
configuration.  The last rows are retained to be sent to peers.
"""

import asyncio
import collections
import enum
from collections.abc import Iterable
from typing import Final

from quincecrank import clock as clocks
from quincecrank import configuration, ids

MAX_RETAINED_ROWS: Final = 256
"""Number of the last rows that are retained for peers."""


class UpdateResult(enum.Enum):
    """Result of an update.

    Attributes
    ----------
    ADVANCED
        The version increased.
    NOTHING_NEW
        All rows had already been applied.
    GAP
        Rows between the current version and these are missing; the version may
        have increased by the rows before the gap.
    """

    ADVANCED = "advanced"
    NOTHING_NEW = "nothing-new"
    GAP = "gap"


class DivergedError(Exception):
    """A received row differs from the retained row of the same version.

    One of the two was never committed, or was removed by a restore of the table.
    """


class CurrentConfiguration:
    """The configuration in force, and its last rows.

    Invariants: the version never decreases; retained rows are contiguous and end at the
    current version.

    Parameters
    ----------
    clock : Clock
        Source of time.
    known : Configuration, optional
        Initial configuration; empty at version 0 by default.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        known: configuration.Configuration | None = None,
    ) -> None:
        self._clock = clock
        self._configuration = known or configuration.Configuration()
        self._rows: collections.deque[configuration.ConfigurationRow] = (
            collections.deque(maxlen=MAX_RETAINED_ROWS)
        )
        self._confirmed_at_ms: int | None = None
        self._changed = asyncio.Event()

    @property
    def in_force(self) -> configuration.Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def version(self) -> ids.ConfigurationVersion:
        """The version in force."""
        return self._configuration.version

    @property
    def confirmed_at_ms(self) -> int | None:
        """Time at which the table last confirmed the version as the newest, or None.

        In milliseconds on the monotonic clock.
        """
        return self._confirmed_at_ms

    def confirm(self) -> None:
        """Record that the table was read just now and had nothing newer."""
        self._confirmed_at_ms = self._clock.now_ms()

    def apply(self, rows: Iterable[configuration.ConfigurationRow]) -> UpdateResult:
        """Apply committed rows, given in any order; rows already applied are skipped.

        Raises
        ------
        DivergedError
            If a row has another proposal id than the retained row of its version.
        """
        before = self.version
        has_gap = False
        for row in sorted(rows, key=lambda row: row.version):
            if row.version <= self.version:
                self._check_proposal_id(row)
            elif row.version == self.version + 1:
                self._configuration = self._configuration.apply(row)
                self._rows.append(row)
            else:
                has_gap = True
                break
        if self.version > before:
            self._wake_waiting()
        if has_gap:
            return UpdateResult.GAP
        return (
            UpdateResult.ADVANCED if self.version > before else UpdateResult.NOTHING_NEW
        )

    def adopt(self, candidate: configuration.Configuration) -> UpdateResult:
        """Replace the configuration by a newer `candidate`, and drop the rows."""
        if candidate.version <= self.version:
            return UpdateResult.NOTHING_NEW
        self._configuration = candidate
        self._rows.clear()
        self._wake_waiting()
        return UpdateResult.ADVANCED

    @property
    def retained_rows(self) -> tuple[configuration.ConfigurationRow, ...]:
        """The last rows applied, ordered by version without a gap."""
        return tuple(self._rows)

    def rows_after(
        self, version: ids.ConfigurationVersion, limit: int = MAX_RETAINED_ROWS
    ) -> tuple[configuration.ConfigurationRow, ...] | None:
        """Return up to `limit` retained rows above `version`, lowest first.

        Returns None if some of the rows above `version` are no longer retained.
        """
        if version >= self.version:
            return ()
        if not self._rows or self._rows[0].version > version + 1:
            return None
        first = version + 1 - self._rows[0].version
        return tuple(self._rows)[first : first + limit]

    async def wait_for(
        self, version: ids.ConfigurationVersion
    ) -> configuration.Configuration:
        """Wait until `version` or a later one is in force, and return it."""
        while self.version < version:
            await self._changed.wait()
        return self._configuration

    def _check_proposal_id(self, row: configuration.ConfigurationRow) -> None:
        if not self._rows or row.version < self._rows[0].version:
            return
        retained = self._rows[row.version - self._rows[0].version]
        if retained.proposal_id != row.proposal_id:
            raise DivergedError(
                f"version {row.version}: {retained.proposal_id} and {row.proposal_id}"
            )

    def _wake_waiting(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
