"""Structured log lines on standard output, bounded in volume and never blocking.

A line that can't be written at once, or that exceeds the rate, is dropped and
counted; the count is written with the next line that fits.
"""

import json
import os
import time
from typing import Any, Final

import structlog

MAX_LINES_PER_SECOND: Final = 400
"""Several lines for each request at the highest rate that one gateway serves."""

_STDOUT: Final = 1


class BoundedOutput:
    """Writes lines to a file descriptor up to a rate.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int = _STDOUT) -> None:
        self._descriptor = descriptor
        self._allowance = float(MAX_LINES_PER_SECOND)
        self._refilled_s = time.monotonic()
        self._rest = b""
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or drop it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_SECOND
        self._allowance = min(MAX_LINES_PER_SECOND, self._allowance + refill)
        self._refilled_s = now_s
        if self._allowance < 1:
            self.dropped += 1
            return
        self._allowance -= 1
        self._write(message)

    log = debug = info = warning = error = critical = exception = msg

    def _write(self, message: str) -> None:
        line = message.encode() + b"\n"
        if self.dropped:
            note = {"event": "lines dropped", "count": self.dropped}
            line = json.dumps(note).encode() + b"\n" + line
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
        # A line that was written in part is completed before the next one.
        self._rest = data[written:]


def configure(vm: str) -> None:
    """Set up the process's log output."""
    os.set_blocking(_STDOUT, False)
    output = BoundedOutput()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: output,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)


def logger(component: str) -> Any:
    """Return the logger of one component."""
    return structlog.get_logger(component=component)
