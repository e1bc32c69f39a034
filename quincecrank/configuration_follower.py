"""Polls the table for configuration rows.

A restore of the table from a snapshot removes the rows that were committed later.  They
are in force and must not be reverted, so each process that has them commits them again
before it applies newer rows; the first process to do so succeeds, the others find them.
"""

from typing import Final

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    configuration_store,
    current_configuration,
    logs,
    platform_table,
    store_era,
)

POLL_INTERVAL_MS: Final = 500

_LOG: Final = logs.logger("configuration-follower")


class ConfigurationFollower:
    """Applies committed rows of the table to the configuration in force.

    Invariant: after a restore of the table, newer rows are applied only once the
    retained rows were committed again.
    """

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        store: configuration_store.ConfigurationStore,
        clock: clocks.Clock,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._era = era or store_era.StoreEra()
        # Newest era in which the table was found to have the rows in force.
        self._synced_era = self._era.current
        self._current = current
        self._store = store
        self._clock = clock
        self._is_unavailable = False

    async def poll(self) -> None:
        """Read the table once; in an outage the configuration stays in force."""
        try:
            if not self._current.version:
                # Set before the load, so that a restore during it is noticed.
                self._synced_era = self._era.current
                self._current.adopt(await self._store.load())
            else:
                in_force = self._current.in_force
                rows = await self._store.catch_up(in_force)
                # The answer to this read may have shown a new era.
                if self._era.current != self._synced_era:
                    await self._recommit()
                    return
                self._current.apply(rows)
                if rows:
                    await self._store.save_snapshot(self._current.in_force)
            self._current.confirm()
            self._is_unavailable = False
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ) as error:
            if not self._is_unavailable:
                _LOG.warning("table is unavailable", reason=str(error))
            self._is_unavailable = True
        except (configuration.VersionGapError, current_configuration.DivergedError):
            _LOG.exception("configuration rows rejected")
        except configuration_store.HistoryDivergedError as error:
            # An operator must decide; the configuration in force stays.
            _LOG.error("table was restored and has other rows", reason=str(error))

    async def _recommit(self) -> None:
        """Commit the rows in force again that a restore of the table has removed."""
        era = self._era.current
        rows = self._current.retained_rows
        lacking = await self._store.recommit(rows)
        self._synced_era = era
        _LOG.warning(
            "table restored from a copy", era=era, kept=len(rows), lacking=lacking
        )
