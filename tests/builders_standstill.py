"""A process that was stopped, for tests of what acts before it has read."""

import asyncio
import time
from typing import Any


def stand_still(duration_ms: int) -> None:
    """Block the event loop as the system's stop of its process does.

    The call in which the loop waits for events is interrupted by the stop.  It returns
    none once its timeout is over, so that timers act before what has arrived is read.
    """
    time.sleep(duration_ms / 1000)
    selector: Any = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]

    def select(_timeout_s: float | None = None) -> list[Any]:
        del selector.select
        return []

    selector.select = select
