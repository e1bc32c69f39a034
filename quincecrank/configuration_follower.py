"""Polls the table for configuration rows.

A restore of the table from a copy loses the rows committed since.  They are in force
and must not go back, so each process that knows them commits them again before the
table is asked for newer ones; whoever comes first does it.
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
    """Applies what the table has committed to the configuration in force."""

    def __init__(
        self,
        current: current_configuration.CurrentConfiguration,
        store: configuration_store.ConfigurationStore,
        clock: clocks.Clock,
        era: store_era.StoreEra | None = None,
    ) -> None:
        self._era = era or store_era.StoreEra()
        self._whole_era = self._era.current
        self._current = current
        self._store = store
        self._clock = clock
        self._is_out = False

    async def poll(self) -> None:
        """Read the table once; an outage leaves the configuration in force."""
        try:
            if not self._current.version:
                self._whole_era = self._era.current
                self._current.adopt(await self._store.load())
            else:
                known = self._current.in_force
                rows = await self._store.catch_up(known)
                if self._era.current != self._whole_era:
                    await self._commit_again()
                    return
                self._current.apply(rows)
                if rows:
                    await self._store.save_snapshot(self._current.in_force)
            self._current.confirm()
            self._is_out = False
        except (
            platform_table.TableUnavailableError,
            platform_table.OutcomeUnknownError,
        ) as error:
            if not self._is_out:
                _LOG.warning("table is unavailable", reason=str(error))
            self._is_out = True
        except (configuration.VersionGapError, current_configuration.DivergedError):
            _LOG.exception("configuration rows are refused")
        except configuration_store.HistoryDivergedError as error:
            # An operator has to decide; what is in force stays so.
            _LOG.error("table was restored and has other rows", reason=str(error))

    async def _commit_again(self) -> None:
        """Write what a restore of the table has lost."""
        era = self._era.current
        rows = self._current.kept_rows
        lacking = await self._store.commit_again(rows)
        self._whole_era = era
        _LOG.warning(
            "table restored from a copy", era=era, kept=len(rows), lacking=lacking
        )
