"""The era of the platform's store, as one process knows it.

Load pattern: the store is away for a moment and comes back from a copy some seconds
old.  Transactions that it acknowledged since are gone, and every process of a fleet
learns so at the same moment.  Whoever keeps something by the store's versions is told
once for each era, before any answer of that era is used.
"""

from collections.abc import Callable
from typing import Final

import structlog

from quincecrank import store_rows

EraUser = Callable[[int], None]

_LOG: Final = structlog.get_logger("store-era")


class StoreEra:
    """Aggregate of the newest era that any answer or peer has told of.

    Invariant: `current` never falls, so an answer of a lower era is a late one.

    Attributes
    ----------
    current : int
        Newest known era; the first one before any answer.
    """

    def __init__(self) -> None:
        self.current = store_rows.FIRST_ERA
        self._users: list[EraUser] = []

    def tell(self, user: EraUser) -> None:
        """Call `user` with each later era once, in the order of registration."""
        self._users.append(user)

    def observe(self, era: int) -> bool:
        """Take the era that an answer names; return False for a late answer."""
        before = self.current
        if era <= before:
            return era == before
        self.current = era
        _LOG.warning("store restored from a copy", era=era, before=before)
        for user in self._users:
            user(era)
        return True
