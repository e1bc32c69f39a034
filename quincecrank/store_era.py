"""The newest era of the platform's store that one process has seen.

Load pattern: the store is unavailable for a moment and is restored from a snapshot some
seconds old.  Transactions that it acknowledged after the snapshot are undone, and every
process of the fleet learns of it at the same time.  Components whose state depends on
the store's versions are notified once for each era, before any answer of that era is
used.
"""

from collections.abc import Callable
from typing import Final

import structlog

from quincecrank import store_rows

EraListener = Callable[[int], None]

_LOG: Final = structlog.get_logger("store-era")


class StoreEra:
    """Newest era that an answer or a peer has named, and the listeners to new eras.

    Invariant: `current` never decreases, so an answer of a lower era is a late one.

    Attributes
    ----------
    current : int
        Newest era seen; the first one before any answer.
    """

    def __init__(self) -> None:
        self.current = store_rows.FIRST_ERA
        self._listeners: list[EraListener] = []

    def subscribe(self, listener: EraListener) -> None:
        """Register a listener that is called once with each later era.

        Listeners are called in the order of their registration.
        """
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Record the era of an answer and notify the listeners of a new one.

        Returns False if the era is lower than the current one: the answer is late.
        """
        before = self.current
        if era <= before:
            return era == before
        self.current = era
        _LOG.warning("store restored from a copy", era=era, before=before)
        for listener in self._listeners:
            listener(era)
        return True
