"""The waiting line of one service at one gateway, and when a request is refused.

Load pattern: a burst brings more than the backend servers can take.  Each late
answer takes the place of one that could have been on time, so requests that can still
be on time go first, by urgency; late ones get what is left.  A request whose turn
would come too late is refused at once, with the time in which the line will have
moved on, so that the burst is spread instead of being held until it is worthless.
"""

import collections
import dataclasses
import enum
import math
from typing import Final

from quincecrank import ids

RATE_WINDOW_MS: Final = 2_000
"""Starts of requests within this time give the speed of the line."""

MAX_WAIT_SHARE: Final = 0.4
"""Part of the time that a request has for which it may wait; the rest is for its
run."""

LATE_PAUSE_MS: Final = 1_000
"""Time after a request that could be on time found no place, in which late ones are
not started: two to three times the target of the model requests."""

MIN_RETRY_AFTER_MS: Final = 200
"""Shortest time to come back: about the time that a model request takes."""

MAX_RETRY_AFTER_MS: Final = 4_000
"""Longest time to come back: the shortest time that callers of engines allow."""

MAX_BACKLOG_MS: Final = (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) / 1.5
"""Longest wait of the line over which refused callers are spread; the last of them
comes back one and a half times as late."""


class Chance(enum.IntEnum):
    """Whether a request that starts now can be on time; lower goes first."""

    ON_TIME = 0
    LATE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a backend server.

    Attributes
    ----------
    urgency : int
        Rank; 0 goes first.
    arrived_ms, deadline_ms : int
        Instants of its arrival and of the end of the time that it has.
    target_ms : int
        Time within which its answer is on time, from its first attempt.
    least_run_ms : float
        Time to its answer, or its first event, at an idle backend server.
    is_owed : bool
        Whether it goes like one that can be on time, because requests of its size
        are served too seldom.
    began_ms : int or None
        Instant of its first attempt if it was turned away before.
    """

    request_id: ids.RequestId
    urgency: int
    arrived_ms: int
    deadline_ms: int
    target_ms: int
    least_run_ms: float = 0.0
    is_owed: bool = False
    began_ms: int | None = None

    @property
    def latest_start_ms(self) -> float:
        """Instant after which the request is not started any more."""
        whole_ms = self.deadline_ms - self.arrived_ms
        return self.arrived_ms + whole_ms * MAX_WAIT_SHARE

    @property
    def first_asked_ms(self) -> int:
        """Instant from which its time counts."""
        return self.arrived_ms if self.began_ms is None else self.began_ms

    @property
    def on_time_until_ms(self) -> float:
        """Instant at which its answer stops being on time."""
        return self.first_asked_ms + self.target_ms

    def chance(self, now_ms: float) -> Chance:
        """Return whether it can be on time, or is to go so, if it starts now."""
        if self.is_owed or now_ms + self.least_run_ms <= self.on_time_until_ms:
            return Chance.ON_TIME
        return Chance.LATE


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests that wait for the same time."""

    chance: Chance
    urgency: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    at_ms: int
    kind: Kind


_Starts = collections.Counter[Kind]
"""Starts within the window."""


class WaitingLine:
    """Aggregate of the requests that wait for a service.

    They go by chance, urgency and arrival, in this order.
    """

    def __init__(self) -> None:
        self._ticket_by_id: dict[ids.RequestId, Ticket] = {}
        self._starts: list[_Start] = []
        self._full_ms: int | None = None

    def __len__(self) -> int:
        return len(self._ticket_by_id)

    def expected_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Return the time after which a request would be started.

        Zero if nothing goes before it; infinite if something does and nothing of
        that rank was started lately.
        """
        return self._expected_wait_ms(ticket, now_ms, self._recent_starts(now_ms))

    def accepts(self, ticket: Ticket, now_ms: int) -> bool:
        """Return whether a request may wait."""
        return self._accepts(ticket, now_ms, self._recent_starts(now_ms))

    def retry_after_ms(self, ticket: Ticket, now_ms: int, jitter: float) -> int:
        """Return when a refused request may come back.

        Parameters
        ----------
        jitter : float
            Uniform number from 0 to 1, which spreads callers over the time that the
            line needs.
        """
        wait_ms = min(self.expected_wait_ms(ticket, now_ms), MAX_BACKLOG_MS)
        return int(MIN_RETRY_AFTER_MS + wait_ms * (0.5 + jitter))

    def found_no_place(self, ticket: Ticket, now_ms: int) -> None:
        """Record that a request arrived and no backend server had room for it."""
        if ticket.chance(now_ms) is Chance.ON_TIME:
            self._full_ms = now_ms

    def may_start(self, ticket: Ticket, now_ms: int) -> bool:
        """Return whether a request may take a place if there is one."""
        if ticket.chance(now_ms) is Chance.ON_TIME or self._full_ms is None:
            return True
        return now_ms - self._full_ms >= LATE_PAUSE_MS

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._ticket_by_id[ticket.request_id] = ticket

    def in_order(self, now_ms: int) -> tuple[Ticket, ...]:
        """Return the waiting requests in the order of their turns."""
        return tuple(
            sorted(self._ticket_by_id.values(), key=lambda each: _rank(each, now_ms))
        )

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a request that starts, gave up or is refused."""
        self._ticket_by_id.pop(request_id, None)

    def started(self, ticket: Ticket, now_ms: int) -> None:
        """Count a request that got a backend server, whether it waited or not."""
        self._starts = [
            each for each in self._starts if now_ms - each.at_ms < RATE_WINDOW_MS
        ]
        self._starts.append(_Start(now_ms, kind_of(ticket, now_ms)))

    def take_hopeless(self, now_ms: int) -> tuple[Ticket, ...]:
        """Remove and return the requests whose turn would come too late."""
        ordered = self.in_order(now_ms)
        taken = [each for each in ordered if now_ms >= each.latest_start_ms]
        for ticket in taken:
            self.remove(ticket.request_id)
        starts = self._recent_starts(now_ms)
        for ticket in reversed(self.in_order(now_ms)):
            self.remove(ticket.request_id)
            if self._accepts(ticket, now_ms, starts):
                self.push(ticket)
            else:
                taken.append(ticket)
        return tuple(taken)

    def _accepts(self, ticket: Ticket, now_ms: int, starts: _Starts) -> bool:
        turn_ms = now_ms + self._expected_wait_ms(ticket, now_ms, starts)
        if turn_ms >= ticket.latest_start_ms:
            return False
        if ticket.chance(now_ms) is ticket.chance(turn_ms):
            return True
        # It would be late at its turn, behind the others that are.
        late_wait_ms = self._late_wait_ms(now_ms, starts)
        return now_ms + late_wait_ms < ticket.latest_start_ms

    def _expected_wait_ms(self, ticket: Ticket, now_ms: int, starts: _Starts) -> float:
        rank = _rank(ticket, now_ms)
        return sum(
            _turn_ms(each, now_ms, starts)
            for each in self._ticket_by_id.values()
            if _rank(each, now_ms) <= rank
        )

    def _late_wait_ms(self, now_ms: int, starts: _Starts) -> float:
        """Return the time in which all those are started that will be late."""
        turn_ms = float(now_ms)
        late_count = 0
        for ticket in self.in_order(now_ms):
            turn_ms += _turn_ms(ticket, now_ms, starts)
            late_count += ticket.chance(turn_ms) is Chance.LATE
        if not late_count:
            return 0.0
        late_starts = sum(
            count for kind, count in starts.items() if kind.chance is Chance.LATE
        )
        return late_count * RATE_WINDOW_MS / late_starts if late_starts else math.inf

    def _recent_starts(self, now_ms: int) -> _Starts:
        return collections.Counter(
            each.kind for each in self._starts if now_ms - each.at_ms < RATE_WINDOW_MS
        )


def _turn_ms(ticket: Ticket, now_ms: int, starts: _Starts) -> float:
    """Return the time in which one request of this kind is started."""
    count = starts[kind_of(ticket, now_ms)]
    return RATE_WINDOW_MS / count if count else math.inf


def kind_of(ticket: Ticket, now_ms: float) -> Kind:
    """Return the kind of a request at an instant: requests of one kind take turns."""
    return Kind(ticket.chance(now_ms), ticket.urgency)


def _rank(ticket: Ticket, now_ms: int) -> tuple[Chance, int, int]:
    return ticket.chance(now_ms), ticket.urgency, ticket.arrived_ms
