"""How a fleet recovers when the platform's store comes back from a copy.

Load pattern: all gateways lose the history of all tables in the same instant.  Were
each to read them in full at once, the reads would exceed the store's rate, and the
few that matter would be refused with the others.  So the gateways that read a table
for the others go first, and each of the others reads itself only if no peer has given
it the rows by its own random time.
"""

import random
from typing import Final

from quincecrank import clock as clocks
from quincecrank.gateway import decision_log, gateway_metrics, tables

READER_SPREAD_MS: Final = 100
"""Time over which the readers of a table spread their full reads."""

PEER_ROWS_MS: Final = 600
"""Time in which a gateway that is no reader gets the rows from a peer: a full read, a
report and a call to the peer."""

SPREAD_PER_GATEWAY_MS: Final = 10
"""Time over which the other gateways spread a full read or a write, for each of them:
a hundred calls a second for each table, a twentieth of what small stores allow."""

_LOG: Final = decision_log.logger("restores")


def read_delay_ms(is_reader: bool, gateways: int) -> float:
    """Return the time from a lost history to a full read.

    Parameters
    ----------
    is_reader : bool
        Whether other gateways wait for this one's rows.
    gateways : int
        Live gateways, this one included.
    """
    if is_reader:
        return random.uniform(0, READER_SPREAD_MS)
    return PEER_ROWS_MS + write_delay_ms(gateways)


def write_delay_ms(gateways: int) -> float:
    """Return the time from the loss of a gateway's own row to its new write."""
    return random.uniform(0, gateways * SPREAD_PER_GATEWAY_MS)


class RestoreProgress:
    """Records how long it takes until all tables are known in a new era."""

    def __init__(
        self, clock: clocks.Clock, metrics: gateway_metrics.GatewayMetrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._era = 0
        self._began_ms = clock.now_ms()
        self._missing: set[tables.TableName] = set()

    def era_began(self, era: int) -> None:
        """Take the news that the store was restored from a copy."""
        self._era = era
        self._began_ms = self._clock.now_ms()
        self._missing = set(tables.TableName)
        self._metrics.store_era.set(era)

    def table_read(self, table: tables.TableName, era: int, lost_rows: int) -> None:
        """Take the news that a table has been read in full."""
        if era != self._era or table not in self._missing:
            return
        self._missing.discard(table)
        self._metrics.store_rows_lost.labels(table.value).inc(lost_rows)
        if not self._missing:
            took_ms = self._clock.now_ms() - self._began_ms
            self._metrics.restore_seconds.observe(took_ms / clocks.MS_PER_SECOND)
            _LOG.info("tables whole after a restore", era=era, took_ms=took_ms)
