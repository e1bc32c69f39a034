"""Admits requests for engines by the demand at all gateways.

Load pattern: a burst of long prompts at many gateways, while fewer engines than usual
answer.  Each gateway starts too few requests to tell from them how long others will
wait.  Long prompts that may wait a second fill the engines' backlogs, so that short
prompts that are due in half a second are late at every engine.

Rules
-----
wait
    What waits at all gateways and goes before a request, in tokens, over the tokens
    that all gateways have started in the last second.  Zero while none was started:
    nothing shows then that the engines are full.
late requests
    A request that can't be on time waits behind those that can, until
    `MAX_LATE_WAIT_FRACTION` of the time has passed after which its caller leaves.  It
    is not rejected to come back: its second attempt would be late as well.
order
    By first attempt within a queue class, so that a request that was rejected goes
    before those that arrived since.
backlog
    A request goes only to engines whose backlog leaves time for requests with a shorter
    target, if some gateway has any now.  Its own prompt does not count.  Engines are as
    busy as without this; the request waits at its gateway instead, where others may go
    before it.
memory
    While requests with a shorter target exist, others fill an engine's memory up to
    `SHORTER_MEMORY_FRACTION` only.
floor
    A class that got less than `FLOOR_FRACTION` of the tokens started in the last second
    goes before more urgent ones, as long as its requests can be on time.
share
    The tokens of one urgency that were started in the last second, divided by the
    number of accounts with such requests that wait.  While another account waits, the
    requests of one that got more go last in their class, and only to engines with half
    of the usual backlog.
"""

from typing import Final

from quincecrank import ids
from quincecrank.gateway import request_queue, shared_demand

MAX_LATE_WAIT_FRACTION: Final = 0.6
"""Fraction of the time until its caller leaves that a request may wait.  The rest is
for running it, or for its return: callers that are held until they leave can't."""

MAX_RETRY_FRACTION: Final = 1 / 3
"""Fraction of their remaining time for which callers wait before a second attempt."""

SHORTER_SLACK_FRACTION: Final = 0.25
"""Fraction of the time until the prompt of a request with a shorter target must be
computed which the backlog may take before another prompt is added to it."""

SHORTER_MEMORY_FRACTION: Final = 0.8
"""Fraction of an engine's memory that requests may fill while others have a shorter
target; the rest is for those, which need a tenth of the memory of a long prompt."""

FLOOR_FRACTION: Final = 0.1
"""Fraction of the started tokens below which a class goes before more urgent ones: the
most that urgent requests lose to it."""

OVER_SHARE_BACKLOG_FRACTION: Final = 0.5
"""Fraction of the usual backlog at which engines get requests of accounts that got more
than their share; above it they are left to others."""

TOTAL_INTERVAL_MS: Final = 20
"""Time for which the demand of all gateways is kept: half of the interval at which the
queue is tried again."""

OVER_SHARE_DELAY_MS: Final = 1_000_000
"""Added to the first attempt of requests whose account got more than its share, to put
them last in their class."""


class SharedQueue(request_queue.RequestQueue):
    """The admission queue of an engine service at one of several gateways.

    Without figures of enough peers it behaves like any other `RequestQueue`.

    Parameters
    ----------
    demand : SharedDemand
        Figures of the peers.
    """

    def __init__(self, service: str, demand: shared_demand.SharedDemand) -> None:
        super().__init__()
        self._key = shared_demand.service_key(service)
        self._shared = demand
        self._own = shared_demand.OwnDemand()
        self._total: shared_demand.ServiceDemand | None = None
        self._total_ms = 0
        self._urgencies_below_floor: frozenset[int] = frozenset()
        self._over_share: frozenset[shared_demand.UrgencyAndAccount] = frozenset()

    def own_demand(self, now_ms: int) -> shared_demand.ServiceDemand:
        """Return the demand at this gateway."""
        return self._own.demand(self._request_by_id.values(), now_ms)

    def total_demand(self, now_ms: int) -> shared_demand.ServiceDemand | None:
        """Return the demand at all gateways; None without enough figures.

        It is kept for `TOTAL_INTERVAL_MS` unless a request is added, removed or
        started, as one pass over the queue reads it for each request.
        """
        totals = self._shared.totals(self._key, now_ms)
        if totals is None:
            return None
        if self._total is None or now_ms - self._total_ms >= TOTAL_INTERVAL_MS:
            self._total = totals.add(self.own_demand(now_ms))
            self._total_ms = now_ms
        return self._total

    def add(self, request: request_queue.QueuedRequest) -> None:
        """Add a request."""
        super().add(request)
        self._total = None

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a request that was started, cancelled or rejected."""
        super().remove(request_id)
        self._total = None

    def shorter_target_ms(
        self, request: request_queue.QueuedRequest, now_ms: int
    ) -> int | None:
        """Return the shortest target of other requests at any gateway.

        None if it is not shorter than that of the request, or the figures are missing.
        Requests that can't be on time don't count.
        """
        total = self.total_demand(now_ms)
        if total is None:
            return None
        shortest_ms = min(
            (
                demand.target_ms
                for rank, demand in total.by_rank.items()
                if rank < request_queue.RANKS_PER_TIMELINESS
            ),
            default=request.target_ms,
        )
        return shortest_ms if shortest_ms < request.target_ms else None

    def ordered(self, now_ms: int) -> tuple[request_queue.QueuedRequest, ...]:
        """Return the waiting requests in the order in which they are to start."""
        total = self.total_demand(now_ms) if self._request_by_id else None
        self._urgencies_below_floor = _below_floor(total)
        self._over_share = (
            frozenset()
            if total is None
            else frozenset(
                key for key in total.by_account if _is_over_share(key, total)
            )
        )
        return super().ordered(now_ms)

    def is_over_share(self, request: request_queue.QueuedRequest, now_ms: int) -> bool:
        """Return whether a request's account has got more than its share."""
        total = self.total_demand(now_ms)
        key = shared_demand.account_key(request)
        return total is not None and _is_over_share(key, total)

    def record_start(self, request: request_queue.QueuedRequest, now_ms: int) -> None:
        """Record that a request got a backend server, whether it waited or not."""
        super().record_start(request, now_ms)
        self._own.record_start(request, now_ms)
        self._total = None

    def may_start(self, request: request_queue.QueuedRequest, now_ms: int) -> bool:
        """Return whether a request may use free capacity.

        A late one may not while a request that can be on time waits at any gateway.
        """
        totals = self._shared.totals(self._key, now_ms)
        if totals is None:
            return super().may_start(request, now_ms)
        if request.timeliness(now_ms) is request_queue.Timeliness.ON_TIME:
            return True
        return not any(
            demand.waiting
            for rank, demand in totals.by_rank.items()
            if rank < request_queue.RANKS_PER_TIMELINESS
        )

    def remove_too_late(self, now_ms: int) -> tuple[request_queue.QueuedRequest, ...]:
        """Remove and return the requests that have waited as long as they may.

        The expected wait is not applied to those that wait already: it varies more
        from report to report than the level of the queue does.
        """
        if self._shared.totals(self._key, now_ms) is None:
            return super().remove_too_late(now_ms)
        too_late = tuple(
            each
            for each in self.ordered(now_ms)
            if now_ms >= self._latest_start_ms(each, now_ms)
        )
        for request in too_late:
            self.remove(request.request_id)
        return too_late

    def retry_after_ms(
        self, request: request_queue.QueuedRequest, now_ms: int, jitter_fraction: float
    ) -> int:
        """Return the time after which a rejected request may be sent again.

        It is all of the remaining time, longer than callers wait, if the request is not
        expected to be admitted on its return.
        """
        wait_ms = self._shared_wait_ms(request, now_ms)
        if wait_ms is None:
            return super().retry_after_ms(request, now_ms, jitter_fraction)
        remaining_ms = request.deadline_ms - now_ms
        return_ms = remaining_ms * MAX_RETRY_FRACTION * (0.5 + 0.5 * jitter_fraction)
        start_ms = max(wait_ms, return_ms)
        if start_ms >= return_ms + (remaining_ms - return_ms) * MAX_LATE_WAIT_FRACTION:
            return max(request_queue.MAX_RETRY_AFTER_MS, remaining_ms)
        return int(return_ms)

    def _rank(
        self, request: request_queue.QueuedRequest, now_ms: int
    ) -> tuple[bool, request_queue.Timeliness, int, int]:
        is_resumed, timeliness, urgency, _ = super()._rank(request, now_ms)
        if (
            timeliness is request_queue.Timeliness.ON_TIME
            and urgency in self._urgencies_below_floor
        ):
            urgency = -1
        # A first attempt is never this long ago: the account's requests go last.
        is_over_share = shared_demand.account_key(request) in self._over_share
        return (
            is_resumed,
            timeliness,
            urgency,
            request.first_attempt_ms + is_over_share * OVER_SHARE_DELAY_MS,
        )

    def _accepts(
        self,
        request: request_queue.QueuedRequest,
        now_ms: int,
        starts: request_queue.StartCounts,
    ) -> bool:
        if request.is_resumed:
            return super()._accepts(request, now_ms, starts)
        wait_ms = self._shared_wait_ms(request, now_ms)
        if wait_ms is None:
            return super()._accepts(request, now_ms, starts)
        return now_ms + wait_ms < self._latest_start_ms(request, now_ms)

    def _latest_start_ms(
        self, request: request_queue.QueuedRequest, now_ms: int
    ) -> float:
        if request.is_resumed or self._shared.totals(self._key, now_ms) is None:
            return super()._latest_start_ms(request, now_ms)
        until_ms = request.deadline_ms
        if request.leaves_ms is not None:
            until_ms = min(until_ms, request.leaves_ms)
        allowed_ms = until_ms - request.arrived_ms
        return request.arrived_ms + allowed_ms * MAX_LATE_WAIT_FRACTION

    def _shared_wait_ms(
        self, request: request_queue.QueuedRequest, now_ms: int
    ) -> float | None:
        """Return the expected wait by the shared figures; None without them."""
        total = self.total_demand(now_ms)
        if total is None:
            return None
        rank = request_queue.queue_class_of(request, now_ms).rank
        ahead_tokens = started_tokens = 0
        for other_rank, demand in total.by_rank.items():
            started_tokens += demand.started_tokens
            if other_rank <= rank:
                ahead_tokens += demand.waiting_tokens
        if not started_tokens:
            return 0.0
        return ahead_tokens * shared_demand.START_WINDOW_MS / started_tokens


def _below_floor(total: shared_demand.ServiceDemand | None) -> frozenset[int]:
    """Return the urgencies that got less than `FLOOR_FRACTION` of what started."""
    if total is None:
        return frozenset()
    started = sum(demand.started_tokens for demand in total.by_rank.values())
    return frozenset(
        rank
        for rank, demand in total.by_rank.items()
        if rank < request_queue.RANKS_PER_TIMELINESS
        and demand.started_tokens < started * FLOOR_FRACTION
    )


def _is_over_share(
    key: shared_demand.UrgencyAndAccount, total: shared_demand.ServiceDemand
) -> bool:
    """Return whether an account got more than its share, see "share" above."""
    urgency, _ = key
    waiting = {
        other
        for other, demand in total.by_account.items()
        if other[0] == urgency and demand.waiting and other != key
    }
    if not waiting or key not in total.by_account:
        return False
    started = sum(
        demand.started_tokens
        for rank, demand in total.by_rank.items()
        if rank % request_queue.RANKS_PER_TIMELINESS == urgency
    )
    return total.by_account[key].started_tokens * (1 + len(waiting)) > started


def max_backlog_ms(
    slack_ms: float,
    shorter_target_ms: int | None,
    base_ms: float,
    *,
    is_over_share: bool = False,
) -> float:
    """Return the longest backlog of an engine that gets a request, see above.

    The prompt itself does not count: a long one could start at no engine otherwise.

    Parameters
    ----------
    slack_ms : float
        Time within which an engine must compute the prompt.
    shorter_target_ms : int or None
        Shortest target of other requests; None if none is shorter than its own.
    base_ms : float
        Time to the first event that is spent besides the engine's computation.
    is_over_share : bool
        Whether the request's account has got more than its share.
    """
    backlog_ms = slack_ms
    if shorter_target_ms is not None:
        shorter_ms = (shorter_target_ms - base_ms) * SHORTER_SLACK_FRACTION
        backlog_ms = min(backlog_ms, max(0.0, shorter_ms))
    return backlog_ms * (OVER_SHARE_BACKLOG_FRACTION if is_over_share else 1.0)
