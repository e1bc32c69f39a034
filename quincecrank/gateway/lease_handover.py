"""Decides whether the order lease is free because its holder has said that it stopped.

Load pattern: target versions of weights follow each other within seconds while the
holder of the order lease can't reach the store.  It can't renew the lease, and others
wait for seconds until it has surely ended.  But it still reaches its peers.  So it says
in its reports that it has stopped, and which engines it ordered how long ago.

Invariant: the orders of two terms to one engine are apart by the required time.  A term
that was said to have ended gives no further order, and each order of it or of a term
before it that is younger than the required time is in the list, with an age that is
never too short.

Terms
-----
term
    The time from one acquisition of the lease to its end, under a random number.  The
    row of the lease has the number of the term whose holder wrote it.  A write that
    takes effect after its term has ended therefore still shows an ended term.
handover
    A gateway's statement that terms of its own have ended.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, NewType

from quincecrank import store_rows
from quincecrank.gateway import servers

TermId = NewType("TermId", int)

MAX_TERM_ID: Final = 2**53 - 1
"""Largest number of a term; exact as a float, for the row's JSON."""

MAX_TERMS: Final = 8
"""Most terms of a handover; a gateway that is cut off begins one in a second or so."""

MAX_ORDERS: Final = 256
"""Most orders of a handover, which then takes less than 10 KB.  A holder with more says
nothing."""

RETENTION_MS: Final = 30_000
"""Time for which a handover is retained: several times that of a takeover without."""

MAX_RETAINED_TERMS: Final = 256


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """The last order to an engine, `age_ms` ago."""

    server_id: servers.ServerId
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """Terms that have ended.

    Attributes
    ----------
    terms : tuple of TermId
        Terms of one gateway.
    position : Position
        Position of the row as last known to be written in one of them, of the era in
        which they ended; version 0 if none is known.
    orders : tuple of EngineOrder
        Last orders of these and of earlier terms.
    """

    terms: tuple[TermId, ...]
    position: store_rows.Position
    orders: tuple[EngineOrder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of the lease; the term is None if the row has none."""

    position: store_rows.Position
    term: TermId | None


@dataclasses.dataclass(frozen=True, slots=True)
class FreeRow:
    """A row that may be taken at once.

    Attributes
    ----------
    position : Position
        Position that the row must still have.
    order_ms_by_server : mapping of ServerId to int
        Times of the orders of earlier terms, never too early.
    since_ms : int
        Time at which the end of the term was first heard of.
    """

    position: store_rows.Position
    order_ms_by_server: Mapping[servers.ServerId, int]
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedTerm:
    position: store_rows.Position
    order_ms_by_server: Mapping[servers.ServerId, int]
    since_ms: int
    received_ms: int


class Handovers:
    """The terms that are known to have ended."""

    def __init__(self) -> None:
        self._ended_by_term: dict[TermId, _EndedTerm] = {}

    def record(self, handover: Handover, now_ms: int) -> bool:
        """Record a handover that arrives now; return whether it names a new term.

        Ages count from now: a late message makes the orders appear younger.
        """
        order_ms_by_server = {
            order.server_id: now_ms - order.age_ms for order in handover.orders
        }
        self._ended_by_term = {
            term: ended
            for term, ended in self._ended_by_term.items()
            if now_ms - ended.received_ms < RETENTION_MS
        }
        is_new = False
        for term in handover.terms:
            before = self._ended_by_term.pop(term, None)
            is_new |= before is None
            since_ms = now_ms if before is None else before.since_ms
            self._ended_by_term[term] = _EndedTerm(
                handover.position, order_ms_by_server, since_ms, now_ms
            )
        while len(self._ended_by_term) > MAX_RETAINED_TERMS:
            del self._ended_by_term[next(iter(self._ended_by_term))]
        return is_new

    def find_free(self, row: LeaseRow) -> FreeRow | None:
        """Return the row if its term has ended, or a later row whose term has.

        Only terms that ended in the row's era count.  After a restore, the row may be
        that of an ended term although another one followed, whose holder does not know
        of the restore.
        """
        of_era = {
            term: ended
            for term, ended in self._ended_by_term.items()
            if ended.position.era == row.position.era
        }
        if row.term in of_era:
            ended = of_era[row.term]
            position = max(row.position, ended.position)
            return FreeRow(position, ended.order_ms_by_server, ended.since_ms)
        later = [each for each in of_era.values() if each.position > row.position]
        if not later:
            return None
        ended = max(later, key=lambda each: each.position)
        return FreeRow(ended.position, ended.order_ms_by_server, ended.since_ms)


class OrderTimes:
    """The last orders to engines, in this gateway's term and in earlier ones.

    Parameters
    ----------
    required_ms : int
        Required time between the orders of two terms to one engine, with a margin.
    """

    def __init__(self, required_ms: int) -> None:
        self._required_ms = required_ms
        self._own_ms_by_server: dict[servers.ServerId, int] = {}
        self._earlier_ms_by_server: dict[servers.ServerId, int] = {}

    def begin_term(
        self, earlier_ms_by_server: Mapping[servers.ServerId, int], now_ms: int
    ) -> None:
        """Count all orders so far, and those given, as orders of earlier terms."""
        ages_ms = self._ages_ms(earlier_ms_by_server, now_ms)
        self._earlier_ms_by_server = {
            server_id: now_ms - age_ms for server_id, age_ms in ages_ms.items()
        }
        self._own_ms_by_server = {}

    def record(self, server_id: servers.ServerId, now_ms: int) -> None:
        """Record an order of the present term."""
        self._own_ms_by_server[server_id] = now_ms

    def blocked_ms(self, server_id: servers.ServerId, now_ms: int) -> int:
        """Return the time until an engine may be ordered; 0 if it may now."""
        order_ms = self._earlier_ms_by_server.get(server_id)
        if order_ms is None:
            return 0
        return max(0, order_ms + self._required_ms - now_ms)

    def to_hand_over(self, now_ms: int) -> tuple[EngineOrder, ...]:
        """Return the orders that the next holder has to respect."""
        return tuple(
            EngineOrder(server_id, age_ms)
            for server_id, age_ms in sorted(self._ages_ms({}, now_ms).items())
        )

    def _ages_ms(
        self, others: Mapping[servers.ServerId, int], now_ms: int
    ) -> dict[servers.ServerId, int]:
        """Return the age of the last order by engine, if below the required time."""
        last_ms: dict[servers.ServerId, int] = {}
        for each in (self._earlier_ms_by_server, self._own_ms_by_server, others):
            for server_id, order_ms in each.items():
                last_ms[server_id] = max(order_ms, last_ms.get(server_id, order_ms))
        return {
            server_id: now_ms - order_ms
            for server_id, order_ms in last_ms.items()
            if now_ms - order_ms < self._required_ms
        }
