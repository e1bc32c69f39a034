"""Paces the permits for one limited backend server and chooses who gets them.

Load pattern: more requests wait at several gateways than a server's rate limit allows.
Permits go to the most urgent request, and among equals to the one that has waited
longest, whatever gateway it waits at.
"""

import collections
import dataclasses
import math
import random
from typing import Final

from quincecrank import clock as clocks
from quincecrank import ids
from quincecrank.gateway import servers

ASK_MS: Final = 400
"""Time after its arrival in which an ask gets permits: longer than the longest interval
of reports, which repeat it, and shorter than a permit is valid."""

MAX_SAVED_MS: Final = 50
"""Time whose permits may be issued late, for the delays of the issuer's own process."""

TRIAL_INTERVAL_MS: Final = 2_000
"""Time without an answer of a limited server after which one request tries it."""

SPARSE_TRIAL_INTERVAL_MS: Final = 3_000
"""The same for a limit that allows fewer requests than one each `TRIAL_INTERVAL_MS`."""

MAX_WANTED: Final = 1_000
"""Most permits that one ask names."""

STOCK_RANK: Final = 0xFFFE
"""Rank of asks for stock, behind all requests that wait."""

STANDING_RANK: Final = 0xFFFF
"""Rank of asks that want nothing but trials."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What a gateway asks of the issuer of a server; replaces its earlier asks.

    Attributes
    ----------
    wanted : int
        Permits that it can use now; 0 if it only takes part in trials.
    rank : int
        Rank of its first waiting request; lower goes first.
    waited_ms : int
        Time for which that request has waited.
    asked_ms : int
        Time of the ask on the clock of the asking gateway.
    returned : int
        Permits that the gateway returns unused.
    """

    incarnation: servers.Incarnation
    wanted: int
    rank: int
    waited_ms: int
    asked_ms: int
    returned: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """Permits issued to a gateway; `asked_ms` is the time of its ask, on its clock."""

    gateway: ids.VmName
    count: int
    asked_ms: int
    is_trial: bool = False


@dataclasses.dataclass(slots=True)
class _PendingAsk:
    wanted: int
    rank: int
    since_ms: int
    asked_ms: int
    received_ms: int


class PermitPacer:
    """The asks for permits of one server, and the time up to which its rate is used.

    Invariant: in any time, `issue` issues at most one permit for each interval and one
    more, those of `MAX_SAVED_MS`, and those that were returned unused.

    Parameters
    ----------
    generator : Random
        Chooses the gateway that makes a trial if no request waits.
    """

    def __init__(self, now_ms: int, generator: random.Random) -> None:
        self._generator = generator
        self._ask_by_gateway: dict[ids.VmName, _PendingAsk] = {}
        self._paced_ms = float(now_ms)
        self._last_trial_ms = now_ms
        self._returned = 0

    def record_ask(self, gateway: ids.VmName, ask: Ask, now_ms: int) -> bool:
        """Replace a gateway's ask; return False for a repeated or overtaken one."""
        pending = self._ask_by_gateway.get(gateway)
        if (
            pending is not None
            and pending.asked_ms >= ask.asked_ms
            and now_ms - pending.received_ms < ASK_MS
        ):
            return False
        self._returned += ask.returned
        self._ask_by_gateway[gateway] = _PendingAsk(
            min(ask.wanted, MAX_WANTED),
            ask.rank,
            now_ms - ask.waited_ms,
            ask.asked_ms,
            now_ms,
        )
        return True

    def issue(self, interval_ms: float | None, now_ms: int) -> tuple[Issued, ...]:
        """Issue the permits that are due.

        Parameters
        ----------
        interval_ms : float or None
            Time between two permits; None if none may be issued.
        """
        self._remove_old_asks(now_ms)
        if interval_ms is not None:
            self._paced_ms -= self._returned * interval_ms
            self._returned = 0
        counts: collections.Counter[ids.VmName] = collections.Counter()
        while interval_ms is not None and self._paced_ms + interval_ms <= now_ms:
            gateway = self._first_asking()
            if gateway is None:
                break
            counts[gateway] += 1
            ask = self._ask_by_gateway[gateway]
            ask.wanted -= 1
            # The gateway's further requests arrived later.
            ask.since_ms = now_ms
            earliest_ms = now_ms - MAX_SAVED_MS - interval_ms
            self._paced_ms = max(self._paced_ms, earliest_ms) + interval_ms
        return tuple(
            Issued(gateway, count, self._ask_by_gateway[gateway].asked_ms)
            for gateway, count in counts.items()
        )

    def issue_trial(
        self, per_second: float, confirmed_ms: int, now_ms: int
    ) -> tuple[Issued, ...]:
        """Issue a trial if one is due and a gateway takes part.

        Parameters
        ----------
        per_second : float
            The limit.
        confirmed_ms : int
            Time of the last answer that confirmed the limit.
        """
        self._remove_old_asks(now_ms)
        is_sparse = per_second * TRIAL_INTERVAL_MS < clocks.MS_PER_SECOND
        due_ms = max(confirmed_ms, self._last_trial_ms) + (
            SPARSE_TRIAL_INTERVAL_MS if is_sparse else TRIAL_INTERVAL_MS
        )
        if not self._ask_by_gateway or now_ms < due_ms:
            return ()
        self._last_trial_ms = now_ms
        self._paced_ms = max(self._paced_ms, float(now_ms))
        gateway = self._first_asking() or self._generator.choice(
            tuple(self._ask_by_gateway)
        )
        ask = self._ask_by_gateway[gateway]
        ask.wanted = max(0, ask.wanted - 1)
        return (Issued(gateway, 1, ask.asked_ms, is_trial=True),)

    def next_issue_ms(self, interval_ms: float | None) -> float | None:
        """Return the time of the next permit; None if none is wanted or allowed."""
        if interval_ms is None or self._first_asking() is None:
            return None
        return self._paced_ms + interval_ms

    def wait_ms(self, interval_ms: float | None, now_ms: int) -> float:
        """Return the time after which a new ask gets a permit, infinite for never."""
        if interval_ms is None:
            return math.inf
        wanted = sum(
            ask.wanted
            for ask in self._ask_by_gateway.values()
            if ask.rank < STOCK_RANK and now_ms - ask.received_ms < ASK_MS
        )
        return max(0.0, self._paced_ms + interval_ms * (1 + wanted) - now_ms)

    def _first_asking(self) -> ids.VmName | None:
        """Return the gateway whose request goes first; None if none wants a permit."""
        return min(
            (name for name, ask in self._ask_by_gateway.items() if ask.wanted),
            key=lambda name: (
                self._ask_by_gateway[name].rank,
                self._ask_by_gateway[name].since_ms,
                name,
            ),
            default=None,
        )

    def _remove_old_asks(self, now_ms: int) -> None:
        for gateway, ask in tuple(self._ask_by_gateway.items()):
            if now_ms - ask.received_ms >= ASK_MS:
                del self._ask_by_gateway[gateway]
