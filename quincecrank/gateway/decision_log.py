"""Structured log lines on standard output, rate-limited and non-blocking.

A line that exceeds the rate limit, or that can't be written at once, is dropped and
counted; the count is logged before the next line that is written.
"""

import json
import os
import time
from typing import Any, Final

import structlog

MAX_LINES_PER_SECOND: Final = 400
"""Rate limit; several lines for each request at the highest request rate of one
gateway."""

_STDOUT: Final = 1


class BoundedOutput:
    """Writes lines to a file descriptor, up to `MAX_LINES_PER_SECOND`.

    Parameters
    ----------
    descriptor : int
        File descriptor in non-blocking mode.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last written one.
    """

    def __init__(self, descriptor: int = _STDOUT) -> None:
        self._descriptor = descriptor
        self._available_lines = float(MAX_LINES_PER_SECOND)
        self._refilled_s = time.monotonic()
        self._unwritten = b""
        self.dropped = 0

    def msg(self, message: str) -> None:
        """Write a line, or drop and count it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_SECOND
        self._available_lines = min(
            MAX_LINES_PER_SECOND, self._available_lines + refill
        )
        self._refilled_s = now_s
        if self._available_lines < 1:
            self.dropped += 1
            return
        self._available_lines -= 1
        self._write(message)

    log = debug = info = warning = error = critical = exception = msg

    def _write(self, message: str) -> None:
        line = message.encode() + b"\n"
        if self.dropped:
            dropped_lines = {"event": "lines dropped", "count": self.dropped}
            line = json.dumps(dropped_lines).encode() + b"\n" + line
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0
        # The rest of a partly written line goes before the next one.
        self._unwritten = data[written:]


def configure(vm: str) -> None:
    """Configure the log output of this process; every line gets the VM's name."""
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
    """Return a logger whose lines name the component."""
    return structlog.get_logger(component=component)
