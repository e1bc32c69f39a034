"""Decides when heads of many lines are parsed.

Invariant
    What one step of the event loop parses of such heads is at most one head, and on
    average `STEP_LINES` lines.  Heads of usual length don't wait for them.

Load pattern: hundreds of callers send heads of thousands of lines at once, complete and
within the limits or far beyond.  Parsing one takes up to some tens of milliseconds and
can't be divided, as the HTTP library does it.

Terms
-----
debt
    Lines that were parsed beyond those of the steps so far.
"""

from typing import Final

FREE_LINES: Final = 128
"""Most lines of a head that is parsed at once: some times as many as clients send."""

STEP_LINES: Final = 500
"""Lines of a step: some milliseconds, which other requests don't notice."""


class HeadBudget:
    """Budget of the lines that one process parses; performs no I/O."""

    def __init__(self) -> None:
        self._left = STEP_LINES

    def begin_step(self) -> None:
        """Begin a step of the event loop, which repays a part of the debt."""
        self._left = min(STEP_LINES, self._left + STEP_LINES)

    def try_parse(self, lines: int) -> bool:
        """Return whether a head may be parsed in this step, and count its lines."""
        if self._left <= 0:
            return False
        self._left -= lines
        return True
