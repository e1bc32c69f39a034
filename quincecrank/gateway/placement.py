"""Chooses the backend server of a request, or none while all are full.

Load pattern: prompts with long shared parts return to a few replicas among many.  A
replica that holds the shared parts answers without computing them again, but a
popular prompt must not wait behind a backlog that another replica doesn't have.  So
each replica is evaluated by the estimated time until it has computed the prompt.

Terms
-----
replica
    Backend server of a service; an engine is one that runs a model.
shared part
    Leading part of a prompt that other requests repeat.
affinity server
    The one of the usable replicas that a prompt's last shared part hashes to.
penalty
    Time added to a replica's estimate to make another one preferable.
"""

import dataclasses
from collections.abc import Mapping, Sequence, Set
from typing import Final

from quincecrank import ids, rendezvous
from quincecrank.gateway import even_placement, loads, servers, service_times

RUNNING_REQUEST_PENALTY_MS: Final = 4.0
"""Penalty of a replica for each request that it runs, in the choice among those that
can take another: the fewer run, the faster are all their answers."""

MAX_MEMORY_FRACTION: Final = 0.95
"""Fraction of an engine's memory that requests may fill; the rest is for answers that
grow longer than expected, since an engine out of memory restarts a request."""

MAX_SLACK_FRACTION: Final = 0.8
"""Fraction of the time until a prompt must be computed that its estimated computation
may take; the rest is for errors of the estimate."""

MAX_LATE_BACKLOG_MS: Final = 0.0
"""Largest prompt backlog of an engine that gets a late request: none, so that it takes
no time from requests that are still on time."""

PLAIN_QUEUE_FRACTION: Final = 1.0
"""Requests that may queue at a plain backend server, as a fraction of its slots."""

MAX_EVALUATED: Final = 16
"""Replicas that are evaluated in full for one request, however many the service has:
planning the transfers of one takes as long as comparing the load of ten."""

MAX_EVALUATED_HOLDERS: Final = 6
"""Replicas among these that are chosen because they hold the prompt's last shared part;
the others are the affinity server and the least busy ones."""

AFFINITY_BONUS_MS: Final = 15.0
"""Time subtracted from the estimate of the affinity server.  It matters where no
replica holds the shared parts: later requests of any gateway find them there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may take a request.

    Attributes
    ----------
    slowness : float
        Ratio of its average slowness (`ServerHealth.slowness`) to the median of the
        usable servers of its service; 1 is usual.
    missing_tokens : int
        Tokens of the prompt that it would have to compute.
    transfer_ms : float
        Estimated time to fetch the parts that it gets from other holders.
    penalty_ms : float
        Penalty for outdated weights.
    is_cold : bool
        Whether it is cold, see `cold_servers`.
    """

    server: servers.ServerEntry
    load: loads.Load
    slowness: float = 1.0
    missing_tokens: int = 0
    transfer_ms: float = 0.0
    penalty_ms: float = 0.0
    is_cold: bool = False

    @property
    def work(self) -> service_times.Work:
        """What the backend server has to do before the first event."""
        return service_times.Work(
            self.missing_tokens,
            self.load.backlog_tokens,
            self.load.requests,
            self.transfer_ms,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineChoiceContext:
    """What the choice of an engine depends on besides the candidates.

    Attributes
    ----------
    affinity_server : ServerId
        Affinity server of the prompt.
    memory_tokens : int
        Engine memory that the request is expected to need.
    engine_memory_tokens : int
        Memory of one engine.
    slack_ms : float or None
        Time within which the prompt must be computed; None if the request is late, see
        `QueuedRequest.timeliness`.
    times : Times
        Service times of the service's engines.
    max_backlog_ms : float or None
        Longest backlog of an engine that gets the request if it is not late, see
        `shared_admission`; None for no bound.
    chooser : EngineChooser or None
        Spreads requests over engines with near-equal estimates; None for the engine
        with the lowest one.
    unseen_ms : float
        Unseen work of an engine, see `even_placement`.
    data_centre : DataCentre or None
        Data centre whose engines are preferred at near-equal estimates.
    """

    affinity_server: servers.ServerId
    memory_tokens: int
    engine_memory_tokens: int
    slack_ms: float | None = None
    times: service_times.Times = service_times.PRIOR
    max_backlog_ms: float | None = None
    chooser: even_placement.EngineChooser | None = None
    unseen_ms: float = 0.0
    data_centre: ids.DataCentre | None = None


def has_capacity(load: loads.Load, slots: int, context: EngineChoiceContext) -> bool:
    """Return whether an engine has a slot and memory for a request.

    An idle engine takes any request, also one that is larger than its memory.
    """
    if load.requests == 0:
        return True
    free_tokens = (
        context.engine_memory_tokens * MAX_MEMORY_FRACTION - load.memory_tokens
    )
    return load.requests < slots and context.memory_tokens <= free_tokens


def shortlist(
    with_capacity: Sequence[servers.ServerEntry],
    load_by_server: Mapping[servers.ServerId, loads.Load],
    holders: Set[servers.ServerId],
    affinity_server: servers.ServerId,
) -> tuple[servers.ServerEntry, ...]:
    """Return the replicas to evaluate in full, at most `MAX_EVALUATED`.

    These are the least busy holders of the prompt's shared parts, the affinity server
    and the least busy others.

    Load pattern: a large service, of which a few replicas hold the prompt's parts and
    the others differ only in their load.

    Parameters
    ----------
    with_capacity : sequence of ServerEntry
        Usable replicas that have capacity for the request.
    holders : set of ServerId
        Replicas that hold the prompt's last shared part.
    """
    if len(with_capacity) <= MAX_EVALUATED:
        return tuple(with_capacity)
    by_load = sorted(with_capacity, key=lambda each: _load_rank(each, load_by_server))
    evaluated = [each for each in by_load if each.server_id in holders]
    evaluated = evaluated[:MAX_EVALUATED_HOLDERS]
    evaluated += [each for each in by_load if each.server_id == affinity_server]
    chosen = {each.server_id for each in evaluated}
    others = [each for each in by_load if each.server_id not in chosen]
    return tuple((evaluated + others)[:MAX_EVALUATED])


def choose_engine(
    candidates: Sequence[Candidate], context: EngineChoiceContext
) -> Candidate | None:
    """Return the replica with the lowest estimated time, penalties included.

    If the context has a chooser, it is one of those with near-equal estimates.
    None if no replica has capacity and computes the prompt in time.  An idle replica
    always qualifies.  A cold replica is chosen for the prompts that return to it, whose
    affinity server it is; for others only if no warm replica qualifies.
    """
    eligible = [
        each
        for each in candidates
        if has_capacity(each.load, each.server.slots, context)
        and _computes_in_time(each, context)
    ]
    if not eligible:
        return None
    preferred = [
        each
        for each in eligible
        if not each.is_cold or each.server.server_id == context.affinity_server
    ]
    if context.chooser is None:
        return min(
            preferred or eligible,
            key=lambda each: (_ranking_ms(each, context), each.server.server_id),
        )
    by_server = {each.server.server_id: each for each in preferred or eligible}
    chosen = context.chooser.choose(
        {
            server_id: _ranking_ms(each, context)
            for server_id, each in by_server.items()
        },
        context.unseen_ms,
    )
    return by_server[chosen]


def _ranking_ms(candidate: Candidate, context: EngineChoiceContext) -> float:
    """Return the estimated time by which replicas are ranked, penalties included."""
    server = candidate.server
    is_affinity = server.server_id == context.affinity_server
    is_local = server.data_centre == context.data_centre
    recompute_ms = 0.0
    if context.chooser is not None:
        recompute_ms = context.times.token_ms * candidate.missing_tokens
    return (
        prefill_completion_ms(candidate, context.times)
        + even_placement.RECOMPUTE_RATIO * recompute_ms
        + candidate.load.requests * RUNNING_REQUEST_PENALTY_MS
        + candidate.penalty_ms
        - AFFINITY_BONUS_MS * is_affinity
        - even_placement.LOCAL_BONUS_MS * is_local
    )


def prefill_completion_ms(candidate: Candidate, times: service_times.Times) -> float:
    """Return the estimated time until a replica has computed the prompt.

    This is the estimated time to the first event less the service's `base_ms`.
    """
    expected_ms = times.expected_ms(candidate.work, candidate.slowness)
    return expected_ms - times.base_ms


def _load_rank(
    server: servers.ServerEntry, load_by_server: Mapping[servers.ServerId, loads.Load]
) -> tuple[int, int, str]:
    load = load_by_server[server.server_id]
    return load.backlog_tokens, load.requests, server.server_id


def choose_plain(candidates: Sequence[Candidate], tie_breaker: str) -> Candidate | None:
    """Return the least busy backend server; None if all are full.

    A cold server is chosen only if no warm one has a free slot.

    Parameters
    ----------
    tie_breaker : str
        Breaks ties, so that requests spread over equally busy servers.
    """
    eligible = [
        each
        for each in candidates
        if each.load.requests < each.server.slots * (1 + PLAIN_QUEUE_FRACTION)
    ]
    free = [
        each
        for each in eligible
        if not each.is_cold and each.load.requests < each.server.slots
    ]
    return min(
        free if any(each.is_cold for each in eligible) and free else eligible,
        key=lambda each: (
            (each.load.requests + 1) / max(1, each.server.slots) * each.slowness,
            rendezvous.weight(tie_breaker, each.server.server_id),
        ),
        default=None,
    )


def _computes_in_time(candidate: Candidate, context: EngineChoiceContext) -> bool:
    load = candidate.load
    if load.requests == 0:
        return True
    backlog_ms = context.times.backlog_ms(candidate.work, candidate.slowness)
    if context.slack_ms is None:
        return backlog_ms <= MAX_LATE_BACKLOG_MS
    if context.max_backlog_ms is not None and backlog_ms > context.max_backlog_ms:
        return False
    return (
        prefill_completion_ms(candidate, context.times)
        <= context.slack_ms * MAX_SLACK_FRACTION
    )
