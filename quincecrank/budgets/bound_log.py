"""Logs bounds that were reached, without a line for each request.

Load pattern: hundreds of clients reach the same bound in the same second.
"""

from typing import Any, Final, Protocol

from quincecrank import clock as clocks

INTERVAL_MS: Final = 5_000
"""Interval of the log lines that name a bound, for each kind of line."""


class Logger(Protocol):
    """What writes a log line."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Write a line."""


class BoundLog:
    """Log of the bounds of one process or listener.

    Parameters
    ----------
    logger : Logger
        What writes the lines.
    clock : Clock
        Source of time.
    """

    def __init__(self, logger: Logger, clock: clocks.Clock) -> None:
        self._logger = logger
        self._clock = clock
        self._logged_ms_by_event: dict[str, int] = {}

    def write(self, event: str, **fields: int | str) -> None:
        """Log an event unless it was logged within `INTERVAL_MS`."""
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms_by_event.get(event)
        if logged_ms is None or now_ms - logged_ms >= INTERVAL_MS:
            self._logged_ms_by_event[event] = now_ms
            self._logger.warning(event, **fields)
