"""The admission queue of one service at one gateway.

Decides which waiting request is started next, which requests are rejected instead of
waiting, and when the caller of a rejected request may retry.

Load pattern: a burst brings more requests than the backend servers can take.  Each
late answer uses capacity that could have served another request on time.

Rules
-----
order
    Resumed streams go first, as their callers have a part of the answer already.  Then
    requests that can still be answered within their target go before late ones; then
    lower urgency number, then earlier arrival.
rejection
    A request is rejected as soon as it is not expected to start before
    `QueuedRequest.latest_start_ms`.  The expected wait is extrapolated from the
    requests that were started within the last `RATE_WINDOW_MS`.
retry time
    `MIN_RETRY_AFTER_MS` plus a random 0.5 to 1.5 times the expected wait.  The queue
    has moved on by then, and the callers rejected in a burst come back spread over
    that time: not all at once, and not so late that an answer is worthless.
"""

import collections
import dataclasses
import enum
import math
from typing import Final

from quincecrank import ids

RATE_WINDOW_MS: Final = 2_000
"""Length of the window whose starts give the rate at which the queue moves."""

MAX_WAIT_FRACTION: Final = 0.4
"""Fraction of the time between arrival and deadline that a request may wait; the rest
is for running it."""

MAX_RESUMED_WAIT_MS: Final = 1_500
"""Longest wait of a resumed stream: callers disconnect two seconds after an event."""

LATE_PAUSE_MS: Final = 1_000
"""Time for which late requests are not started after one that can be on time could not
be started on arrival: two to three times the target of model requests."""

MIN_RETRY_AFTER_MS: Final = 200
"""Shortest retry time: about the time that a model request takes."""

MAX_RETRY_AFTER_MS: Final = 4_000
"""Longest retry time: the shortest time limit that callers of engines set."""

MAX_COUNTED_WAIT_MS: Final = (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) / 1.5
"""Longer expected waits count as this long in the retry time: with the largest jitter,
1.5 times this wait, it is `MAX_RETRY_AFTER_MS`."""


RANKS_PER_TIMELINESS: Final = 256
"""Urgencies that are distinguished in the rank of a queue class."""


class Timeliness(enum.IntEnum):
    """Whether a request that starts now can be on time; lower goes first."""

    ON_TIME = 0
    LATE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that needs a backend server, as the queue sees it.

    Attributes
    ----------
    urgency : int
        Rank; 0 goes first.
    arrived_ms, deadline_ms : int
        Time of arrival, and time by which the caller must be answered.
    target_ms : int
        An answer is on time within this time after the first attempt.
    idle_answer_ms : float
        Time to the first event of the answer at an idle engine; 0 for a plain service.
    is_underserved : bool
        Whether the request counts as on time until it is started, because requests
        of its size class are underserved.
    earlier_first_attempt_ms : int or None
        Time of the first attempt, which may be this one; None stands for `arrived_ms`.
    resume_by_ms : int or None
        Time by which a resumed stream must go on; it counts as on time.  None for
        other requests.
    leaves_ms : int or None
        Time at which the caller leaves if the answer has not begun; None if it stays
        until `deadline_ms`.
    memory_tokens : int
        Engine memory that the request is expected to need; 0 for a plain service.
    account : str
        Name of the caller's account, if there is one.
    """

    request_id: ids.RequestId
    urgency: int
    arrived_ms: int
    deadline_ms: int
    target_ms: int
    idle_answer_ms: float = 0.0
    is_underserved: bool = False
    earlier_first_attempt_ms: int | None = None
    resume_by_ms: int | None = None
    leaves_ms: int | None = None
    memory_tokens: int = 0
    account: str = ""

    @property
    def is_resumed(self) -> bool:
        """Whether it resumes a stream."""
        return self.resume_by_ms is not None

    @property
    def latest_start_ms(self) -> float:
        """Time from which the request is not started any more."""
        if self.resume_by_ms is not None:
            return min(self.resume_by_ms, self.deadline_ms)
        allowed_ms = self.deadline_ms - self.arrived_ms
        return self.arrived_ms + allowed_ms * MAX_WAIT_FRACTION

    @property
    def first_attempt_ms(self) -> int:
        """Time of the first attempt, from which the target counts."""
        return (
            self.arrived_ms
            if self.earlier_first_attempt_ms is None
            else self.earlier_first_attempt_ms
        )

    @property
    def on_time_until_ms(self) -> float:
        """Time until which an answer is on time."""
        return self.first_attempt_ms + self.target_ms

    def timeliness(self, now_ms: float) -> Timeliness:
        """Return whether the request is on time if it starts at `now_ms`.

        Underserved requests and resumed streams are treated as on time.
        """
        if self.is_underserved or self.is_resumed:
            return Timeliness.ON_TIME
        if now_ms + self.idle_answer_ms <= self.on_time_until_ms:
            return Timeliness.ON_TIME
        return Timeliness.LATE


@dataclasses.dataclass(frozen=True, slots=True)
class QueueClass:
    """Requests of equal timeliness and urgency, which start in order of arrival."""

    timeliness: Timeliness
    urgency: int

    @property
    def rank(self) -> int:
        """Return a number by which gateways compare classes; lower goes first."""
        return self.timeliness * RANKS_PER_TIMELINESS + min(
            self.urgency, RANKS_PER_TIMELINESS - 1
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    at_ms: int
    queue_class: QueueClass


StartCounts = collections.Counter[QueueClass]
"""Number of starts of each queue class within the rate window."""


class RequestQueue:
    """The requests that wait for one service, and its recent starts.

    The requests are ordered by timeliness, then urgency, then arrival.
    """

    def __init__(self) -> None:
        self._request_by_id: dict[ids.RequestId, QueuedRequest] = {}
        self._starts: list[_Start] = []
        self._last_unplaced_ms: int | None = None

    def __len__(self) -> int:
        return len(self._request_by_id)

    def expected_wait_ms(self, request: QueuedRequest, now_ms: int) -> float:
        """Return the estimated time until a request would be started.

        Zero if no request goes before it; infinite if a request that goes before it
        belongs to a queue class of which none was started within the rate window.
        """
        return self._expected_wait_ms(request, now_ms, self._recent_starts(now_ms))

    def accepts(self, request: QueuedRequest, now_ms: int) -> bool:
        """Return whether a request may wait; False if it is to be rejected."""
        return self._accepts(request, now_ms, self._recent_starts(now_ms))

    def retry_after_ms(
        self, request: QueuedRequest, now_ms: int, jitter_fraction: float
    ) -> int:
        """Return the time after which a rejected request may be sent again.

        Parameters
        ----------
        jitter_fraction : float
            Uniform random number from 0 to 1, which spreads the retries over 0.5 to
            1.5 times the expected wait.
        """
        return spread_retry_ms(self.expected_wait_ms(request, now_ms), jitter_fraction)

    def record_unplaced(self, request: QueuedRequest, now_ms: int) -> None:
        """Record that a request could not be started on arrival.

        If it can be on time, late requests pause for `LATE_PAUSE_MS`; otherwise without
        effect.
        """
        if request.timeliness(now_ms) is Timeliness.ON_TIME:
            self._last_unplaced_ms = now_ms

    def may_start(self, request: QueuedRequest, now_ms: int) -> bool:
        """Return whether a request may use free capacity.

        Late requests may not for `LATE_PAUSE_MS` after a call of `record_unplaced`
        with one that could be on time.
        """
        if (
            request.timeliness(now_ms) is Timeliness.ON_TIME
            or self._last_unplaced_ms is None
        ):
            return True
        return now_ms - self._last_unplaced_ms >= LATE_PAUSE_MS

    def add(self, request: QueuedRequest) -> None:
        """Add a request."""
        self._request_by_id[request.request_id] = request

    def ordered(self, now_ms: int) -> tuple[QueuedRequest, ...]:
        """Return the waiting requests in the order in which they are to start."""
        return tuple(
            sorted(
                self._request_by_id.values(), key=lambda each: self._rank(each, now_ms)
            )
        )

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a request that was started, cancelled or rejected."""
        self._request_by_id.pop(request_id, None)

    def record_start(self, request: QueuedRequest, now_ms: int) -> None:
        """Record that a request got a backend server, whether it waited or not."""
        self._starts = [
            each for each in self._starts if now_ms - each.at_ms < RATE_WINDOW_MS
        ]
        self._starts.append(_Start(now_ms, queue_class_of(request, now_ms)))

    def remove_too_late(self, now_ms: int) -> tuple[QueuedRequest, ...]:
        """Remove and return the requests that are too late by the rule of `accepts`."""
        ordered = self.ordered(now_ms)
        too_late = [
            each for each in ordered if now_ms >= self._latest_start_ms(each, now_ms)
        ]
        for request in too_late:
            self.remove(request.request_id)
        starts = self._recent_starts(now_ms)
        # Back to front, as the requests before one count for its wait.  Each is removed
        # first so that it does not wait for itself, and added again if it may stay.
        for request in reversed(self.ordered(now_ms)):
            self.remove(request.request_id)
            if self._accepts(request, now_ms, starts):
                self.add(request)
            else:
                too_late.append(request)
        return tuple(too_late)

    def _rank(
        self, request: QueuedRequest, now_ms: int
    ) -> tuple[bool, Timeliness, int, int]:
        """Return the position of a request in the order; lower goes first."""
        return (
            not request.is_resumed,
            request.timeliness(now_ms),
            request.urgency,
            request.arrived_ms,
        )

    def _latest_start_ms(self, request: QueuedRequest, _now_ms: int) -> float:
        """Return the time from which a request is not started any more."""
        return request.latest_start_ms

    def _accepts(
        self, request: QueuedRequest, now_ms: int, starts: StartCounts
    ) -> bool:
        if request.is_resumed:
            return now_ms < request.latest_start_ms
        start_ms = now_ms + self._expected_wait_ms(request, now_ms, starts)
        if start_ms >= request.latest_start_ms:
            return False
        if request.timeliness(now_ms) is request.timeliness(start_ms):
            return True
        # It will be late when its turn comes, so it waits behind the other late ones.
        late_wait_ms = self._late_wait_ms(now_ms, starts)
        return now_ms + late_wait_ms < request.latest_start_ms

    def _expected_wait_ms(
        self, request: QueuedRequest, now_ms: int, starts: StartCounts
    ) -> float:
        rank = self._rank(request, now_ms)
        return sum(
            _start_interval_ms(each, now_ms, starts)
            for each in self._request_by_id.values()
            if self._rank(each, now_ms) <= rank
        )

    def _late_wait_ms(self, now_ms: int, starts: StartCounts) -> float:
        """Return the time to start all requests that are late when their turn comes.

        Infinite if there are any and no late request was started within the window.
        """
        start_ms = float(now_ms)
        late_count = 0
        for request in self.ordered(now_ms):
            start_ms += _start_interval_ms(request, now_ms, starts)
            late_count += request.timeliness(start_ms) is Timeliness.LATE
        if not late_count:
            return 0.0
        late_starts = sum(
            count
            for queue_class, count in starts.items()
            if queue_class.timeliness is Timeliness.LATE
        )
        return late_count * RATE_WINDOW_MS / late_starts if late_starts else math.inf

    def _recent_starts(self, now_ms: int) -> StartCounts:
        return collections.Counter(
            each.queue_class
            for each in self._starts
            if now_ms - each.at_ms < RATE_WINDOW_MS
        )


def spread_retry_ms(wait_ms: float, jitter_fraction: float) -> int:
    """Return the retry time for an expected wait, see "retry time" above."""
    counted_ms = min(wait_ms, MAX_COUNTED_WAIT_MS)
    return int(MIN_RETRY_AFTER_MS + counted_ms * (0.5 + jitter_fraction))


def _start_interval_ms(
    request: QueuedRequest, now_ms: int, starts: StartCounts
) -> float:
    """Return the mean time between starts of the request's queue class."""
    count = starts[queue_class_of(request, now_ms)]
    return RATE_WINDOW_MS / count if count else math.inf


def queue_class_of(request: QueuedRequest, now_ms: float) -> QueueClass:
    """Return the queue class of a request that starts at `now_ms`."""
    return QueueClass(request.timeliness(now_ms), request.urgency)
