"""Admission of requests to one deployment at one entry.

Requests wait in a queue that is weighted fair between client accounts: while several
accounts have waiting requests, each is granted prompt tokens in proportion to its
share, however long the queues of the others are.  A request that cannot be served in
time is rejected as soon as that is known, with the time after which a new attempt may
succeed.

Terms
-----
capacity
    The running requests and the prefill speed of the deployment's replicas that
    this entry may use.
virtual start
    Prompt tokens that an account has been granted, divided by its share; the
    account with the lowest value is served next.  When an account queues again after
    a pause, its value is raised to the virtual time, if that is higher.
virtual time
    Virtual start of the account that was served last.
"""

import dataclasses
import enum
import heapq
import itertools
from typing import Final

import expression

from quincecrank import clock, configuration, ids

PREFILL_WINDOW_MS: Final = 1500
"""A request starts only while the prompts in flight need at most this prefill time."""

MAX_QUEUED_REQUESTS: Final = 4096
"""Maximum number of requests of one deployment that wait at one entry."""

_MIN_RETRY_AFTER_MS: Final = 250
"""Minimum of the advised retry delay; also the estimated wait without capacity."""

_SMOOTHING: Final = 0.1
"""Weight of a new observation in an exponential moving average."""


class RefusalKind(enum.Enum):
    """Why a request was not admitted."""

    ACCOUNT_LIMIT = "account-limit"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """The rejection of a request that has not run.

    Attributes
    ----------
    retry_after_ms : int
        Time after which a new attempt may succeed.
    estimated_wait_ms : float
        Estimated time that the request would have waited in the queue.
    """

    kind: RefusalKind
    retry_after_ms: int
    estimated_wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks for admission.

    Attributes
    ----------
    share : float
        Weight of the account in the fair queue.
    max_concurrent : int
        Requests that the account may have queued or running.
    prompt_tokens : int
        Number of tokens in the prompt.
    deadline_at_ms : int
        Deadline of the request on the entry's clock.  A request is admitted only if
        it can start by then or, with `LATE_IS_WORSE`, compute its prompt by then.
    priority : int
        Order among the requests of one account; a higher priority goes first.
    """

    request_id: ids.RequestId
    account: ids.AccountName
    share: float
    max_concurrent: int
    prompt_tokens: int
    deadline_at_ms: int
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What this entry may use of the deployment's replicas.

    Attributes
    ----------
    slots : int
        Requests that may run at once.
    prefill_tokens_per_second : float
        Prefill speed of the replicas, in total, that this entry may use.
    """

    slots: int
    prefill_tokens_per_second: float

    def compute_ms(self, tokens: float) -> float:
        """Return the time to prefill `tokens`; infinite without any capacity."""
        if self.prefill_tokens_per_second <= 0:
            return float("inf") if tokens else 0.0
        return tokens * clock.MS_PER_SECOND / self.prefill_tokens_per_second


@dataclasses.dataclass(slots=True)
class _AccountQueue:
    """Waiting and running requests of one account."""

    share: float
    virtual_start: float = 0.0
    running: int = 0
    queued_tokens: int = 0
    heap: list[tuple[int, int, AdmissionRequest]] = dataclasses.field(
        default_factory=list
    )

    def in_flight(self) -> int:
        return self.running + len(self.heap)


@dataclasses.dataclass(slots=True)
class _RunningRequest:
    """A request that has left the queue and has not ended.

    `pending_tokens` is the part of its prompt still to be computed.
    """

    request: AdmissionRequest
    started_ms: int
    pending_tokens: float


class AdmissionQueue:
    """Tracks the requests that wait for and run on one deployment.

    Parameters
    ----------
    lateness : Lateness
        With `LATE_IS_WORSE`, a late answer is worse than a rejection: a request is
        rejected as soon as its first token would come after the deadline.  With
        `LOST_IS_WORSE`, a rejection is worse: a request may wait until the deadline
        itself, and its first token may come later.
    """

    def __init__(self, lateness: configuration.Lateness) -> None:
        self._lateness = lateness
        self._capacity = Capacity(0, 0.0)
        self._queues_by_account: dict[ids.AccountName, _AccountQueue] = {}
        self._runs_by_request: dict[ids.RequestId, _RunningRequest] = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._queued = 0
        self._recompute_ratio = 1.0
        self._mean_slot_ms = 0.0

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return self._queued

    @property
    def running(self) -> int:
        """Number of requests that have left the queue to run and have not ended."""
        return len(self._runs_by_request)

    def set_capacity(self, capacity: Capacity) -> None:
        """Replace the capacity that this entry may use."""
        self._capacity = capacity

    def offer(
        self, request: AdmissionRequest, now_ms: int
    ) -> expression.Result[None, AdmissionRefusal]:
        """Queue a request, or return why it is rejected."""
        queue = self._queues_by_account.setdefault(
            request.account, _AccountQueue(request.share)
        )
        queue.share = request.share
        wait_ms = self.estimated_wait_ms(request)
        if queue.in_flight() >= request.max_concurrent:
            return expression.Error(_refusal(RefusalKind.ACCOUNT_LIMIT, wait_ms))
        if self._queued >= MAX_QUEUED_REQUESTS:
            return expression.Error(_refusal(RefusalKind.QUEUE_FULL, wait_ms))
        if now_ms + wait_ms + self._start_margin_ms(request) > request.deadline_at_ms:
            return expression.Error(_refusal(RefusalKind.DEADLINE, wait_ms))
        if not queue.heap:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        entry = (-request.priority, next(self._sequence), request)
        heapq.heappush(queue.heap, entry)
        queue.queued_tokens += request.prompt_tokens
        self._queued += 1
        return expression.Ok(None)

    def start_next(self, now_ms: int) -> AdmissionRequest | None:
        """Remove the next request that may start now and count it as running.

        None if no request waits or the capacity is in use.
        """
        if not self._may_start():
            return None
        waiting = [queue for queue in self._queues_by_account.values() if queue.heap]
        if not waiting:
            return None
        queue = min(waiting, key=lambda queue: queue.virtual_start)
        request = self._pop_first(queue)
        self._virtual_time = queue.virtual_start
        queue.virtual_start += max(1, request.prompt_tokens) / queue.share
        queue.running += 1
        expected = request.prompt_tokens * self._recompute_ratio
        self._runs_by_request[request.request_id] = _RunningRequest(
            request, now_ms, expected
        )
        return request

    def remove_expired(
        self, now_ms: int
    ) -> tuple[tuple[AdmissionRequest, AdmissionRefusal], ...]:
        """Remove the waiting requests that can no longer meet their deadline."""
        expired = []
        for queue in self._queues_by_account.values():
            late = [
                entry
                for entry in queue.heap
                if now_ms + self._start_margin_ms(entry[2]) > entry[2].deadline_at_ms
            ]
            for entry in late:
                self._remove(queue, entry)
                wait_ms = self.estimated_wait_ms(entry[2])
                refusal = _refusal(RefusalKind.DEADLINE, wait_ms)
                expired.append((entry[2], refusal))
        return tuple(expired)

    def abandon(self, request: AdmissionRequest) -> bool:
        """Remove a waiting request whose caller left; False if it does not wait."""
        queue = self._queues_by_account.get(request.account)
        if queue is None:
            return False
        for entry in queue.heap:
            if entry[2].request_id == request.request_id:
                self._remove(queue, entry)
                return True
        return False

    def record_plan(self, request: ids.RequestId, recompute_tokens: int) -> None:
        """Replace the tokens that a running request is expected to compute.

        Also updates the mean fraction of prompt tokens that are computed, by which the
        work of waiting requests is estimated.
        """
        run = self._runs_by_request.get(request)
        if run is None:
            return
        run.pending_tokens = recompute_tokens
        ratio = recompute_tokens / max(1, run.request.prompt_tokens)
        self._recompute_ratio += _SMOOTHING * (ratio - self._recompute_ratio)

    def record_first_token(self, request: ids.RequestId) -> None:
        """Record that the prompt of a running request has been computed."""
        run = self._runs_by_request.get(request)
        if run is not None:
            run.pending_tokens = 0.0

    def record_end(self, request: ids.RequestId, now_ms: int) -> None:
        """Free the slot of a running request, however it ended."""
        run = self._runs_by_request.pop(request, None)
        if run is None:
            return
        queue = self._queues_by_account[run.request.account]
        queue.running -= 1
        # Retained while its virtual start is ahead of the virtual time, or the account
        # would be granted the same tokens again after a pause.
        if not queue.in_flight() and queue.virtual_start <= self._virtual_time:
            del self._queues_by_account[run.request.account]
        held_ms = now_ms - run.started_ms
        self._mean_slot_ms += _SMOOTHING * (held_ms - self._mean_slot_ms)

    def estimated_wait_ms(self, request: AdmissionRequest) -> float:
        """Return the estimated time until `request` would leave the queue.

        `_MIN_RETRY_AFTER_MS` while the deployment has no slots.
        """
        if self._capacity.slots <= 0:
            return float(_MIN_RETRY_AFTER_MS)
        requests, tokens = self._ahead_of(request)
        pending = self._pending_tokens() + tokens * self._recompute_ratio
        compute_ms = max(0.0, self._capacity.compute_ms(pending) - PREFILL_WINDOW_MS)
        over = self.running + requests + 1 - self._capacity.slots
        slot_ms = max(0, over) * self._mean_slot_ms / self._capacity.slots
        return max(compute_ms, slot_ms)

    def _ahead_of(self, request: AdmissionRequest) -> tuple[float, float]:
        """Return the requests and prompt tokens that are served before `request`.

        Another account's queue counts only up to the tokens that its share entitles it
        to until `request` is served.
        """
        own = self._queues_by_account.get(request.account)
        own_tokens = own.queued_tokens if own else 0
        requests = float(len(own.heap)) if own else 0.0
        tokens = float(own_tokens)
        own_tokens_per_share = (own_tokens + request.prompt_tokens) / request.share
        for account, queue in self._queues_by_account.items():
            if account == request.account or not queue.queued_tokens:
                continue
            fraction = min(
                1.0, own_tokens_per_share * queue.share / queue.queued_tokens
            )
            tokens += queue.queued_tokens * fraction
            requests += len(queue.heap) * fraction
        return requests, tokens

    def _pending_tokens(self) -> float:
        return sum(run.pending_tokens for run in self._runs_by_request.values())

    def _may_start(self) -> bool:
        if self.running >= self._capacity.slots:
            return False
        pending_ms = self._capacity.compute_ms(self._pending_tokens())
        return pending_ms <= PREFILL_WINDOW_MS

    def _start_margin_ms(self, request: AdmissionRequest) -> float:
        """Return how long before its deadline a request must start."""
        if self._lateness is configuration.Lateness.LOST_IS_WORSE:
            return 0.0
        if self._capacity.slots <= 0:
            return 0.0
        expected = request.prompt_tokens * self._recompute_ratio
        return self._capacity.compute_ms(expected)

    def _pop_first(self, queue: _AccountQueue) -> AdmissionRequest:
        _, _, request = heapq.heappop(queue.heap)
        queue.queued_tokens -= request.prompt_tokens
        self._queued -= 1
        return request

    def _remove(
        self, queue: _AccountQueue, entry: tuple[int, int, AdmissionRequest]
    ) -> None:
        queue.heap.remove(entry)
        heapq.heapify(queue.heap)
        queue.queued_tokens -= entry[2].prompt_tokens
        self._queued -= 1


def _refusal(kind: RefusalKind, wait_ms: float) -> AdmissionRefusal:
    return AdmissionRefusal(kind, max(_MIN_RETRY_AFTER_MS, int(wait_ms)), wait_ms)
