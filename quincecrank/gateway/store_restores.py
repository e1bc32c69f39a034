"""Recovery of the gateways after the platform's store is restored from a snapshot.

Load pattern: the change histories of all tables become unavailable to all gateways at
the same time.  If each read all tables in full at once, the reads would exceed the
store's rate limit, and the store would refuse the few important ones with the others.
So the readers of a table, which supply the other gateways, read it first.  Each of the
others reads it only if no peer has supplied the rows by the end of its own random
delay.
"""

import random
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import decision_log, gateway_metrics, tables

READER_READ_SPREAD_MS: Final = 100
"""Longest random delay of a reader's full read."""

PEER_ROWS_MS: Final = 600
"""Shortest delay before a non-reader's full read.  It covers a full read by a reader,
its report, and a call to it for the rows."""

SPREAD_PER_GATEWAY_MS: Final = 10
"""Longest random delay of a full read by a non-reader, or of a write, for each live
gateway.  It makes a hundred calls a second for each table, a twentieth of what small
stores allow."""

_LOG: Final = decision_log.logger("restores")


def read_delay_ms(is_reader: bool, gateway_count: int) -> float:
    """Return the random delay before a full read after a lost change history.

    Parameters
    ----------
    is_reader : bool
        Whether this gateway reads the table for the others.
    gateway_count : int
        Live gateways, this one included.
    """
    if is_reader:
        return random.uniform(0, READER_READ_SPREAD_MS)
    return PEER_ROWS_MS + write_delay_ms(gateway_count)


def write_delay_ms(gateway_count: int) -> float:
    """Return the random delay before a gateway rewrites its row after a restore."""
    return random.uniform(0, gateway_count * SPREAD_PER_GATEWAY_MS)


class StoreRestoreProgress:
    """Measures the time from a new era of the store until all tables are read in it."""

    def __init__(
        self, clock: clocks.Clock, metrics: gateway_metrics.GatewayMetrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._era = 0
        self._era_start_ms = clock.now_ms()
        self._unread_tables: set[tables.TableName] = set()

    def handle_new_era(self, era: int) -> None:
        """Start the measurement: the store was restored from a snapshot."""
        self._era = era
        self._era_start_ms = self._clock.now_ms()
        self._unread_tables = set(tables.TableName)
        self._metrics.store_era.set(era)

    def record_full_read(
        self, table: tables.TableName, era: int, missing_rows: int
    ) -> None:
        """Record a full read of a table; only the first in the current era counts.

        Parameters
        ----------
        era : int
            Era of the rows read.
        missing_rows : int
            Rows held before that the read lacks.
        """
        if era != self._era or table not in self._unread_tables:
            return
        self._unread_tables.discard(table)
        self._metrics.store_rows_lost.labels(table.value).inc(missing_rows)
        if not self._unread_tables:
            took_ms = self._clock.now_ms() - self._era_start_ms
            self._metrics.restore_seconds.observe(took_ms / clocks.MS_PER_SECOND)
            _LOG.info("tables whole after a restore", era=era, took_ms=took_ms)
