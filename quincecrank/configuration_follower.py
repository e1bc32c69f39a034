"""Polls the table for configuration rows."""

from typing import Final

from quincecrank import clock as clocks
from quincecrank import (
    configuration,
    configuration_store,
    current_configuration,
    logs,
    platform_table,
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
    ) -> None:
        self._current = current
        self._store = store
        self._clock = clock
        self._is_out = False

    async def poll(self) -> None:
        """Read the table once; an outage leaves the configuration in force."""
        try:
            if not self._current.version:
                self._current.adopt(await self._store.load())
            else:
                known = self._current.in_force
                rows = await self._store.catch_up(known)
                self._current.apply(rows)
                if rows:
                    await self._store.save_snapshot(self._current.in_force)
            self._current.confirm()
            self._is_out = False
        except platform_table.TableUnavailableError as error:
            if not self._is_out:
                _LOG.warning("table is unavailable", reason=str(error))
            self._is_out = True
        except (configuration.VersionGapError, current_configuration.DivergedError):
            _LOG.exception("configuration rows are refused")
